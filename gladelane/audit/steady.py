"""A monotonic clock that also advances while the machine is suspended."""

from __future__ import annotations

import time


def steady_ms() -> float:
    """The time since the machine's boot, in ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
