"""Soak test of the memory limit: `python -m benchmarks.memory [--first N] [--seeds N] [--quick]`.

Each seed runs one director under floods, with limits drawn from the seed. Its resident memory is sampled each
20 ms, over all its processes, and compared with the limit in its configuration.
"""
