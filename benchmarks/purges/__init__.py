"""Checks fleet-wide purges: no answer may come from a copy older than a purge once the stated delay is over.

`python -m benchmarks.purges [--quick]` runs directors and control servers as processes on loopback; caches, a
parent, an origin and discovery are fakes in this process. Purges go to either control server while directors
are restarted, control servers are killed, and the parent comes back with old copies. The body of each answer
is the date of its copy. Then both control servers are killed, to measure the requests to the origin of
directors that are cut off. A run without control servers must show old copies: otherwise the check could not
detect any. Exits with 1 if an answer was stale after the delay, an answer was lost or sent twice, that run
showed no old copy, or the index was not MIN_LOOKUP_SPEEDUP times as fast as a scan.

`random_scopes` has the objects and random scopes, `fake_site` the fake servers, `director_files` the
configuration, `control_servers`, `directors` and `fleet` the processes, `load` the clients and the operator,
`run` one run, `measures` the figures from its answers, `structures` the benchmark of the data structures
alone, and `__main__` reports.
"""
