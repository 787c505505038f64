"""Timestamps that a later process can compare with its own time, even if the wall clock was stepped in
between.

They count from the boot of the machine, by a clock that cannot be stepped. After a reboot they are no longer
comparable, so each timestamp carries the identity of its boot.
"""

from __future__ import annotations

import time
from functools import cache
from pathlib import Path
from typing import NamedTuple

BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")
BOOT_ID_CHARS = 13  # of 36: enough to distinguish the boots of one machine
MS_PER_S = 1000.0


class BootTimestamp(NamedTuple):
    """A timestamp as time since the machine's boot.

    `boot` is the identity of that boot, empty if unknown. `since_boot_ms` is the time since the boot in
    milliseconds, including time during which the machine was suspended.
    """

    boot: str
    since_boot_ms: float

    def age_ms(self, now: BootTimestamp) -> float | None:
        """Milliseconds from this timestamp until `now`, or None if the two cannot be compared."""
        if not self.boot or self.boot != now.boot or self.since_boot_ms > now.since_boot_ms:
            return None
        return now.since_boot_ms - self.since_boot_ms


@cache
def read_boot_id() -> str:
    """The shortened identity of the machine's current boot; empty if the system does not provide one."""
    try:
        return BOOT_ID_FILE.read_text().strip()[:BOOT_ID_CHARS]
    except OSError:
        return ""


def read_boot_clock() -> BootTimestamp:
    """The present time."""
    return BootTimestamp(read_boot_id(), time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_S)
