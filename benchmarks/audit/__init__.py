"""The audit of the fleet: what it reports, held against what servers, links and discovery itself saw.

`python -m benchmarks.audit [--quick]`: fleets of directors and control servers as processes of their own,
with faults between them (`lab/fleet`). Every attempt that a server saw must fit an activity interval of its
director, reports that were tampered with must be noticed, and a director whose view lease is over must do
nothing; the same without enforcement must show some that do, else the check proves nothing. Then the state
machines of view lease and escalation are searched with planted faults, and a simulated week of 300 directors
is queried. Exits with 1 if any of this fails.

`days` has the runs, `play` plays one, `lag` holds who was kept out against who was behind, `tampered` the
reports that were altered, `week` the simulated week, `attempt_cost` what an attempt pays, `report` the
figures, and `__main__` is the command line.
"""
