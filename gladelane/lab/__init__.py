"""Emulation, load and fault injection for tests and benchmarks; the product imports nothing from here.

`fake_server`, `fake_cache_store` and `fake_discovery` replace what a director talks to on real sockets,
`client` sends requests, and `processes` starts directors. `call_faults` and `preload` inject faults of system
calls and steps of the wall clock, `simdisk` those of a disk. `model` and `virtual` are a fleet in virtual
time around real routers. `deployment_draw` draws generated deployments and `deployed` runs them in virtual
time with real directors; the modules `deployed_*` are its parts, `planted` and `deployed_clock_plants` its
planted faults. `checks` monitors the rules on real and virtual clocks. `modelcheck` searches state
machines: `leases`, `view_leases`, `losses`, `happy_eyeballs_interleavings`. `cold` simulates slow start,
`fleet` runs many real processes.
"""
