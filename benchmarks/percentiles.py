"""Percentiles as the reports of the benchmarks give them."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: int) -> float:
    """Between the smallest and the largest value, which are the percentiles 0 and 100. Needs two values."""
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
