"""Measures the time from start to readiness of many processes that start at once on the available cores.

`python -m benchmarks.restarts [--quick]` runs real processes of this project on loopback. A process is ready
once it has answered a frame of type 32 with code 0. Discovery is up, accepts calls and never answers, or is
down; with `killed` each process starts at the address of one that got SIGKILL a moment before, while clients
were connected to it. Exits with 1 if a process ended, or if less than nine in ten were ready within
READY_LIMIT_S.

`discovery` has the fake discovery server, `process` one process, `scenario` many that start at once, and
`__main__` reports.
"""
