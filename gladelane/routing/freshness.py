"""How old a copy may be after purges. Pure. Times are ms of the caller's clock."""

from __future__ import annotations

from ..purges.purge_index import PurgeIndex
from .context import RoutingContext
from .events import Purge, Request

#: A purge binds this much longer than the caches need to drop old copies.
PURGE_SLACK_MS = 500.0
#: No copy is younger than this; an age of 0 stands for the class's own fresh time.
MIN_AGE_BOUND_MS = 1.0


class Freshness:
    """Age bounds from active purges, which `purges` holds; objects count from 0 there."""

    def __init__(self, context: RoutingContext, purges: PurgeIndex) -> None:
        self._context = context
        self.purges = purges

    def add_purge(self, event: Purge) -> None:
        """A purge binds until all caches have dropped what it names."""
        settings = self._context.settings
        at_ms = self._context.now_ms - event.age_ms
        until_ms = at_ms + settings.purge_done_ms + PURGE_SLACK_MS
        self.purges.add_object_or_group(event.object - 1, event.group, at_ms, until_ms)

    def age_bound(self, request: Request, fresh_ms: float) -> tuple[float, bool]:
        """The oldest copy that may be served (0: up to its class's fresh time), and if a purge set it."""
        now_ms = self._context.now_ms
        purged_ms = self.purges.newest_purge_by_age_ms(
            request.cls, request.group, request.object - 1, request.part, now_ms
        )
        if not purged_ms:
            return 0.0, False
        bound_ms = max(now_ms - purged_ms - self._context.settings.tick_ms, MIN_AGE_BOUND_MS)
        return (min(bound_ms, fresh_ms) if fresh_ms else bound_ms), True
