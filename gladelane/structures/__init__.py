"""General data structures and algorithms, independent of this product: no I/O, no clock.

`rendezvous.RendezvousTable` ranks weighted members for a key, `step_map.StepMap` maps ranges of integers to
values, and `backoff.Backoff` computes the waits between retries.
"""
