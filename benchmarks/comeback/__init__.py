"""Coming back: most directors restarted at once, and stored state that is lost or older, with real processes.

`python -m benchmarks.comeback [--quick]`: fleets of directors and control servers as processes of their own,
faults by name (`lab/fleet`). Each day's answers are held against all purges; the same loss without low
watermarks must show old copies, else the check proves nothing. Then the state machine of losses is searched
with its planted faults. Exits with 1 if an answer was stale, a request was lost that no killed process had, a
key ran twice after its window, a server was pushed over, full service came late, or the check proved nothing.
`--line` plays a single run by its line of faults.

`days` has the runs, `runs` plays them, `first_restart` measures the first restart of a run, `loss_search`
searches, `report` sums up, and `__main__` is the command line. The share that is served counts against what
was served before the fault.
"""
