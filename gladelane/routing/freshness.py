"""Limits the age of copies that may be served after purges.

The module does no I/O. Times are ms of the caller's clock.
"""

from __future__ import annotations

from ..purges.purge_index import PurgeIndex
from .context import RoutingContext
from .events import Purge, Request

#: A purge stays in force for this much longer than the caches need to drop old copies.
PURGE_SLACK_MS = 500.0
#: Lower bound of an age bound, because an age bound of 0 stands for the fresh time of the class.
MIN_AGE_BOUND_MS = 1.0


class Freshness:
    """Computes age bounds from the active purges. `purges` numbers objects from 0, events from 1."""

    def __init__(self, context: RoutingContext, purges: PurgeIndex) -> None:
        self._context = context
        self.purges = purges

    def add_purge(self, event: Purge) -> None:
        """Adds a purge, which is in force until all caches have dropped the copies that it names."""
        settings = self._context.settings
        at_ms = self._context.now_ms - event.age_ms
        until_ms = at_ms + settings.purge_done_ms + PURGE_SLACK_MS
        self.purges.add_object_or_group(event.object - 1, event.group, at_ms, until_ms)

    def age_bound(self, request: Request, fresh_ms: float) -> tuple[float, bool]:
        """The age of the oldest copy that may be served (0: limited only by the fresh time of the class), and
        whether a purge determined it."""
        now_ms = self._context.now_ms
        purged_ms = self.purges.newest_purge_by_age_ms(
            request.cls, request.group, request.object - 1, request.part, now_ms
        )
        if not purged_ms:
            return 0.0, False
        bound_ms = max(now_ms - purged_ms - self._context.settings.tick_ms, MIN_AGE_BOUND_MS)
        return (min(bound_ms, fresh_ms) if fresh_ms else bound_ms), True
