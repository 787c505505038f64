"""Steps the wall clock of a process at given times.

`GLADELANE_CLOCK_STEPS`: a comma-separated list of SECONDS:MS; from so many seconds after the start the wall
clock is off by so many ms. The monotonic clock is not affected, as with a real step.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable

STEPS_VARIABLE = "GLADELANE_CLOCK_STEPS"


def stepped_clock(
    steps: str, read_unix: Callable[[], float], read_monotonic: Callable[[], float]
) -> Callable[[], float]:
    """A function that reads the wall clock with its steps. Raises ValueError."""
    pairs = [step.partition(":") for step in steps.split(",") if step]
    offsets = sorted((float(after_s), float(off_ms)) for after_s, _, off_ms in pairs)
    start_s = read_monotonic()

    def read() -> float:
        passed_s = read_monotonic() - start_s
        off_ms = 0.0
        for after_s, step_ms in offsets:
            if after_s <= passed_s:
                off_ms = step_ms
        return read_unix() + off_ms / 1000.0

    return read


def install_steps() -> None:
    """Installs the steps in this process; no effect without the environment variable."""
    time.time = stepped_clock(os.environ.get(STEPS_VARIABLE, ""), time.time, time.monotonic)
