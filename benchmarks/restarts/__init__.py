"""Time from a restart to readiness: many processes started at once on the cores there are.

`python -m benchmarks.restarts [--quick]`, real processes of this project on loopback. Each is ready once it
has answered type 32 with code 0. Discovery is up, accepts calls and never answers, or is down; `killed` puts
each process at the address of one that got SIGKILL a moment before, with clients connected. Exits with 1 if a
process ended, or if under nine in ten were ready in READY_S.

`discovery` is the fake server of the watch, `process` one process, `scene` many that start at once, and
`__main__` reports.
"""
