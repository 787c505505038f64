"""The periodic work of a router, which does not depend on requests.

The module does no I/O. Times are ms of the caller's clock.
"""

from __future__ import annotations

from ..purges.purge_index import PurgeIndex
from .cache_admission import AGEING_MS, CacheAdmission
from .context import SWEEP_TOKEN, RoutingContext
from .events import SetTimer

SWEEP_MS = 250.0
RANK_THRESHOLDS_MS = 1000.0  # interval at which the rank thresholds are recomputed


class Housekeeping:
    """Ages request counts, learns the usual load of servers, and removes purges that are no longer in
    force."""

    def __init__(self, context: RoutingContext, admission: CacheAdmission, purges: PurgeIndex) -> None:
        self._context = context
        self._admission = admission
        self._purges = purges
        self.aged_ms = self.thresholds_ms = -1.0

    def start(self) -> None:
        """Starts the periodic work at the first event of the router."""
        now_ms = self._context.now_ms
        self.aged_ms = self.thresholds_ms = self._context.cold.learned_ms = now_ms
        self._schedule()

    def sweep(self) -> None:
        """Does one round of the periodic work and schedules the next one."""
        self._schedule()
        now_ms, store_list = self._context.now_ms, self._context.store_list
        self._context.cold.learn(now_ms, store_list.caches, store_list.parents)
        if now_ms - self.aged_ms >= AGEING_MS:
            self.aged_ms = now_ms
            self._admission.age_counts()
        if now_ms - self.thresholds_ms >= RANK_THRESHOLDS_MS:
            self.thresholds_ms = now_ms
            self._admission.update_rank_thresholds(store_list.caches)
        self._purges.expire(now_ms)

    def _schedule(self) -> None:
        self._context.emit(SetTimer(SWEEP_TOKEN, self._context.now_ms + SWEEP_MS))
