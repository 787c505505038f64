"""Daily operation: the admin endpoint under load, upgrades in turn, metrics, what both processes use in sum.

`python -m benchmarks.operations [--quick]`, real processes of this project on loopback. Exits with 1 if a
call at the admin endpoint went unanswered or was answered wrongly, a request or a newcomer was lost in an
upgrade, a metric differs from what clients and servers counted, or the two processes used more than the
limits. Times fail nothing.

`site` has the servers and the director, `admin_endpoint`, `upgrades`, `metrics` and `newcomers` measure one
thing each, and `__main__` reports.
"""
