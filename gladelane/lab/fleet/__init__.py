"""Runs many real processes of the program on loopback and injects faults from a schedule.

A fault schedule is a line of text; with a seed it determines the faults of a run. `faults` parses it (pure),
`fault_injector` executes it, `relay` is a link that can be cut, `world` has the fake servers, `fleet` the
processes, `load` the clients and operators, `run_checks` checks replies and attempts, and `schedule_run` runs
a fleet under a schedule and returns its metrics.
"""
