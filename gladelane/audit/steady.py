"""A clock that does not step, and that runs while the process or the machine sleeps."""

from __future__ import annotations

import time


def steady_ms() -> float:
    """The time since the machine's boot, in ms."""
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
