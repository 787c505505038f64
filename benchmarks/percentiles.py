"""Percentiles for the reports of the benchmarks."""

from __future__ import annotations

import statistics
from collections.abc import Sequence


def percentile(values: Sequence[float], percent: int) -> float:
    """Returns an interpolated percentile; 0 and 100 are the smallest and the largest value.

    Needs at least two values, and a percent from 1 to 99.
    """
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
