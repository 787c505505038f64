"""The laboratory: all that plays, breaks and watches the program, imported by tests and benchmarks only.

`fake_server`, `fake_cache_store` and `fake_discovery` stand for what a director talks to on real sockets,
`client` for who asks it, and `processes` starts directors; `call_faults` and `preload` inject faults of
system calls and steps of the wall clock, `simdisk` those of a disk. `model` and `virtual` are a fleet in
virtual time around real routers, `deployment_draw` and `deployed` generated deployments around real
directors, and `checks` the rules that are watched on either clock. `modelcheck` searches state machines:
`leases`, `view_leases`, `losses`, `happy_eyeballs_interleavings`. `cold` plays slow start, `fleet` many
real processes.
"""
