"""Resource usage of a process, read from its folder in `/proc`."""

from __future__ import annotations

import os
from pathlib import Path

TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


class ProcessUsage:
    """Reads the resource usage of one process. Each method raises OSError if the process has ended."""

    def __init__(self, pid: int) -> None:
        self._folder = Path(f"/proc/{pid}")

    def processor_s(self) -> float:
        """User and system time since the process started."""
        fields = (self._folder / "stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) * TICK_S

    def resident_mb(self) -> float:
        """Resident memory now."""
        pages = int((self._folder / "statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / 1e6

    def peak_resident_mb(self) -> float:
        """Peak resident memory since the process started."""
        status = (self._folder / "status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) * 1024 / 1e6

    def descriptors(self) -> int:
        """The number of open file descriptors."""
        return len(list((self._folder / "fd").iterdir()))
