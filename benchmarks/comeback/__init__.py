"""Recovery of real processes: mass restarts of directors, and stored state that is lost or out of date.

`python -m benchmarks.comeback [--quick]` runs fleets of directors and control servers, each in a process of
its own, under fault schedules (`lab/fleet`). The answers of each run are checked against all purges. The same
loss of state without low watermarks must produce stale copies; otherwise the check proves nothing. Then the
state machine of losses is searched, with and without planted faults.

Exits with 1 if an answer was stale, a request was lost that was not in a killed process, a keyed request ran
twice after its window, a server was overloaded, full service came back late, or a check proved nothing.
`--line` runs a single fault schedule.

`scenarios` lists the runs, `runs` runs them, `first_restart` measures the first restart of a run,
`loss_search` searches, `report` sums up, and `__main__` is the command line. Full service is judged by the
share of served requests relative to that before the fault.
"""
