"""Measurements, one a module: `python -m benchmarks.NAME [--quick]`. The last line is one JSON object."""
