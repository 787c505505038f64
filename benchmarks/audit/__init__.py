"""Compares the reports of the fleet's audit with what servers, links and discovery themselves observed.

`python -m benchmarks.audit [--quick]` runs fleets of directors and control servers, each in a process of its
own, with faults between them (`lab/fleet`). Every attempt that a server received must fit an activity
interval of its director, tampered reports must be detected, and a director whose view lease has expired must
not act. The same without enforcement must show directors that act; otherwise the check proves nothing. Then
the state machines of view leases and escalation are searched with planted faults, and a simulated week of 300
directors is queried. Exits with 1 if any of this fails.

`scenarios` lists the runs, `scenario_run` runs one, `lag` compares the restricted directors with those that
were behind, `tampered` checks tampered reports, `week` simulates the week, `attempt_cost` measures the cost
per attempt, `report` has the figures and their rules, and `__main__` is the command line.
"""
