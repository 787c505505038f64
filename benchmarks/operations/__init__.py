"""Measures daily operation: the admin endpoint under load, upgrades, metrics, and use of resources.

`python -m benchmarks.operations [--quick]` runs real processes of this project on loopback. Exits with 1 if a
call at the admin endpoint got no answer or a wrong one, a request or a new connection was lost in an upgrade,
a metric differs from what clients and servers counted, or the old and the new process together used more than
the limits. Times are reported only.

`site` has the servers and the director, `admin_endpoint`, `upgrades`, `metrics` and `listener_handover` have
one measurement each, and `__main__` reports.
"""
