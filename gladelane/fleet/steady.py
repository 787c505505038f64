"""A clock that does not step and goes on while the process or the machine sleeps."""

from __future__ import annotations

import time


def steady_ms() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
