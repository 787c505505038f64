"""Watches the resident memory of the process, and frees what is not needed. Sizes are in bytes.

Reservations (`memory_budget`) bound what clients and servers can make the process hold. This is the check
that the process as a whole stays within its limit, whatever takes the memory.
"""

from __future__ import annotations

import gc
import logging
import math
from collections.abc import Callable

from .client_listener import ClientListener
from .memory_budget import MemoryBudget, MemoryUse

log = logging.getLogger(__name__)

BYTES_PER_MB = 1_000_000
CHECK_MS = 100.0
HIGH_MARK_BYTES = 500_000  # below the limit, from which on memory is short
#: Between two times that unused memory is freed: the longer interval if that had little effect.
MIN_INTERVAL_MS, MAX_INTERVAL_MS = 500.0, 2_000.0
UNUSED_BYTES = 1_000_000  # beyond the lowest level and what is reserved, which is worth freeing
ENDED_CONNECTIONS = 32  # whose objects are worth a garbage collection: they refer to one another


class MemoryMonitor:
    """Compares the resident memory with the limit. `check` is called every CHECK_MS."""

    def __init__(
        self,
        budget: MemoryBudget,
        client_listener: ClientListener,
        clock: Callable[[], float],
        resident_bytes: Callable[[], float],
        limit_bytes: float,
    ) -> None:
        self.limit_bytes = limit_bytes
        self.trim_heap: Callable[[], None] = lambda: None  # gives free memory back to the system
        self.peak_bytes = 0.0
        self._budget = budget
        self._client_listener = client_listener
        self._clock = clock
        self._resident_bytes = resident_bytes
        self._freed_ms = clock()
        self._interval_ms = MIN_INTERVAL_MS
        self._ended_connections = 0  # at the latest collection
        self._lowest_bytes = math.inf  # resident memory

    def check(self) -> None:
        """Sheds load while the process has too much memory, and collects garbage after connections have
        ended."""
        resident = self._resident_bytes()
        self.peak_bytes = max(self.peak_bytes, resident)
        self._lowest_bytes = min(self._lowest_bytes, resident)
        was_above, self._budget.is_above_limit = (
            self._budget.is_above_limit,
            resident > self.limit_bytes - HIGH_MARK_BYTES,
        )
        if self._budget.is_above_limit:
            if not was_above:
                self._log_use(resident)
            self._client_listener.shed_frames()
        if self._budget.is_above_limit or self._is_garbage_likely(resident):
            self._free(resident)

    def lines(self) -> list[tuple[str, int]]:
        """The metrics of the admin endpoint."""
        budget = self._budget
        metrics = [
            ("memory_resident", int(self._resident_bytes())),
            ("memory_peak", int(self.peak_bytes)),
            ("memory_budget", round(budget.limit_bytes)),
        ]
        metrics += [(f"memory_used.{use.value}", budget.used[use]) for use in MemoryUse]
        return metrics + [(f"memory_denied.{use.value}", budget.denied[use]) for use in MemoryUse]

    def _is_garbage_likely(self, resident: float) -> bool:
        """Whether much of the memory is no longer in use."""
        ended = self._client_listener.ended_connections - self._ended_connections
        unused = resident - self._lowest_bytes - self._budget.total()
        return ended >= ENDED_CONNECTIONS or unused > UNUSED_BYTES

    def _free(self, resident: float) -> None:
        now = self._clock()
        if now - self._freed_ms < self._interval_ms:
            return
        self._ended_connections = self._client_listener.ended_connections
        gc.collect()
        self.trim_heap()
        self._freed_ms = self._clock()
        has_freed = resident - self._resident_bytes() > UNUSED_BYTES / 2
        self._interval_ms = MIN_INTERVAL_MS if has_freed else MAX_INTERVAL_MS

    def _log_use(self, resident: float) -> None:
        used = " ".join(f"{use.value}={size}" for use, size in self._budget.used.items())
        log.warning(
            "memory is short resident_mb=%.1f limit_mb=%.1f connections=%d %s",
            resident / BYTES_PER_MB,
            self.limit_bytes / BYTES_PER_MB,
            len(self._client_listener.connections),
            used,
        )
