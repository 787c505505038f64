"""Moments that a later process can compare with its own time, even if the wall clock was stepped in between.

They are counted from the start of the machine by a clock that cannot be stepped. They say nothing after a
restart of the machine, so each carries the identity of its boot.
"""

from __future__ import annotations

import time
from functools import cache
from pathlib import Path
from typing import NamedTuple

BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_CHARS = 13  # of 36: enough to distinguish the boots of one machine
MS_PER_S = 1000.0


class BootMoment(NamedTuple):
    """A moment as time since the machine started.

    `boot` is the identity of that start, empty if unknown; `since_ms` is in milliseconds, including time that
    the machine was suspended.
    """

    boot: str
    since_ms: float

    def age_ms(self, now: BootMoment) -> float | None:
        """Milliseconds from this moment until `now`, or None if they cannot be compared."""
        if not self.boot or self.boot != now.boot or self.since_ms > now.since_ms:
            return None
        return now.since_ms - self.since_ms


@cache
def boot_id() -> str:
    """The identity of the machine's current start, shortened; empty if the system does not give one."""
    try:
        return BOOT_ID.read_text().strip()[:BOOT_ID_CHARS]
    except OSError:
        return ""


def boot_moment() -> BootMoment:
    """The present moment."""
    return BootMoment(boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S)
