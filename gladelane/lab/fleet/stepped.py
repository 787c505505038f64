"""A process whose wall clock is wrong from the start, or stepped as it runs.

`GLADELANE_CLOCK_STEPS`: SECONDS:MS, joined by commas: so many seconds after the start the wall clock is off
by so many ms. The monotonic clock runs on, as with a real step."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

STEPS = "GLADELANE_CLOCK_STEPS"


def stepped(
    steps: str, read_unix: Callable[[], float], read_monotonic: Callable[[], float]
) -> Callable[[], float]:
    """A reading of the wall clock with its steps. Raises ValueError."""
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
    """For this process from here on; without the variable nothing changes."""
    time.time = stepped(os.environ.get(STEPS, ""), time.time, time.monotonic)
