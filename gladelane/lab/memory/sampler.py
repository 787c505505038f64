"""Samples the resident memory of processes."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

SAMPLE_INTERVAL_S = 0.02
BYTES_PER_MB = 1e6
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_mb(pids: list[int]) -> float:
    """The resident memory of all these processes together, in MB; ended processes have none."""
    pages = 0
    for pid in pids:
        with suppress(OSError, IndexError):
            pages += int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * PAGE_BYTES / BYTES_PER_MB


class MemorySampler:
    """Samples the processes that `pids` returns until it is stopped. `peak_mb` is the highest sum so far."""

    def __init__(self, pids: Callable[[], list[int]]) -> None:
        self.peak_mb = 0.0
        self._pids = pids
        self._task = asyncio.create_task(self._run())

    def restart(self) -> float:
        """Returns the peak so far, and begins again."""
        peak_mb, self.peak_mb = self.peak_mb, 0.0
        return peak_mb

    def current_mb(self) -> float:
        """The resident memory now, in MB."""
        return resident_mb(self._pids())

    async def stop(self) -> None:
        """Takes no further samples."""
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _run(self) -> None:
        while True:
            self.peak_mb = max(self.peak_mb, self.current_mb())
            await asyncio.sleep(SAMPLE_INTERVAL_S)
