"""Adapts concurrency limits to the latency of outcomes.

The module does no I/O. Times are ms of the caller's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .concurrency_limit import LATENESS_LEARNING_RATE, ConcurrencyLimit
from .context import RoutingContext
from .events import Note, Outcome, Status
from .request_state import Attempt
from .selection import FillLimits
from .store import Store

RECENT_MS = 1000.0  # a source is in use if its latest fill ended within this time
# A source is late alone if its lateness exceeds that of every other source in use by this factor and margin.
ALONE_FACTOR, ALONE_MARGIN = 2.0, 0.1
# Lateness above which a source that is late alone is sent less. It is not lower, as any source is late at
# times.
MIN_LATENESS_ALONE = 0.5

_TIMED = (Status.OK, Status.TIMEOUT, Status.CANCELLED)  # outcomes whose latency is evaluated
_FROM_CACHE = (Note.HIT, Note.AGED)


@dataclass(frozen=True, slots=True)
class _Fill:
    """The outcome of an attempt that may have been filled from `source`."""

    source: Store | None
    note: Note
    status: Status
    is_late: bool
    #: Whether it may have spent most of its time waiting for the source.
    has_waited: bool


class LatencyFeedback:
    """Passes the latency of each outcome to the limits of the servers that it waited for."""

    def __init__(self, context: RoutingContext, fill_limits: FillLimits) -> None:
        self._context = context
        self._fill_limits = fill_limits
        #: By latest fill, the oldest first.
        self._sources_in_use: OrderedDict[str, Store] = OrderedDict()

    def learn(self, attempt: Attempt, event: Outcome, store: Store) -> None:
        """Adapts limits to an outcome. Late answers from the copies of a cache show that the cache is busy.
        Late fills show that filling at the cache or its source is busy, and late fills that are known to come
        from the origin show that the origin is busy. An attempt that timed out, while one sent later was
        answered in time, was lost and says nothing about load."""
        now_ms = self._context.now_ms
        elapsed_ms = attempt.elapsed_ms(now_ms, event.unread_ms)
        is_late = elapsed_ms > attempt.objective_ms
        if event.status is Status.OK and not is_late:
            store.timely_sent_ms = max(store.timely_sent_ms, attempt.sent_ms)
        elif event.status is Status.TIMEOUT and attempt.sent_ms < store.timely_sent_ms:
            return
        if event.status is Status.FULL and event.note is Note.NOT_REPORTED:
            self._learn_rejection(attempt, store)
        if event.status not in _TIMED:
            return
        if attempt.is_fill and event.note not in _FROM_CACHE:
            limits = self._limits_of_fill(self._fill(attempt, event, elapsed_ms), store)
        else:
            limits = [store.concurrency]
        for limit in limits:
            limit.learn(now_ms, attempt.sent_ms, is_late)

    def _learn_rejection(self, attempt: Attempt, store: Store) -> None:
        """Counts a rejection as a late answer. If notes do not distinguish a rejecting source from a full
        cache, the source is blamed, so that hits at the cache are not limited."""
        is_by_source = attempt.is_fill and self._context.settings.notes != "all"
        blamed = self._context.store_list.stores.get(attempt.source) if is_by_source else store
        if blamed:
            blamed.concurrency.learn(self._context.now_ms, attempt.sent_ms, True)

    def _fill(self, attempt: Attempt, event: Outcome, elapsed_ms: float) -> _Fill:
        store_list, note = self._context.store_list, event.note
        source = store_list.origin if note is Note.FROM_ORIGIN else store_list.stores.get(attempt.source)
        has_waited = note is Note.NOT_REPORTED or event.source_wait_ms > elapsed_ms / 2
        return _Fill(source, note, event.status, elapsed_ms > attempt.objective_ms, has_waited)

    def _limits_of_fill(self, fill: _Fill, store: Store) -> list[ConcurrencyLimit]:
        context, source = self._context, fill.source
        if source and context.settings.notes != "all" and self._is_late_alone(source, fill.is_late):
            return [source.concurrency] if source.lateness > MIN_LATENESS_ALONE else []
        limits: list[ConcurrencyLimit] = []
        if fill.note is Note.NOT_REPORTED or not (fill.is_late and fill.has_waited):
            limits.append(store.fills)
            if context.is_scattered and fill.status is Status.OK:  # a lost answer says nothing about a link
                limits.append(self._fill_limits.ingress_limit)
        if source and (fill.has_waited or not fill.is_late):
            limits.append(source.concurrency)
        origin = context.store_list.origin
        if context.is_scattered and origin and source is not origin and not fill.is_late:
            limits.append(origin.concurrency)  # too few fills go to the origin directly to learn from them
        return limits

    def _is_late_alone(self, source: Store, is_late: bool) -> bool:
        """Whether this source is late while the other sources in use are not, where no note says what a late
        fill waited for. The limits of the caches that ask it and of the ingress link are then left alone."""
        source.lateness += LATENESS_LEARNING_RATE * (is_late - source.lateness)
        self._mark_in_use(source)
        others = [
            other.lateness
            for name, other in self._sources_in_use.items()
            if other is not source and self._is_current_source(name, other)
        ]
        return is_late and bool(others) and source.lateness > ALONE_FACTOR * max(others) + ALONE_MARGIN

    def _mark_in_use(self, source: Store) -> None:
        now_ms, in_use = self._context.now_ms, self._sources_in_use
        source.filled_ms = now_ms
        in_use[source.member.store] = source
        in_use.move_to_end(source.member.store)
        while now_ms - next(iter(in_use.values())).filled_ms >= RECENT_MS:
            in_use.popitem(last=False)

    def _is_current_source(self, name: str, store: Store) -> bool:
        """Whether a server is still listed as a source."""
        store_list = self._context.store_list
        if store_list.stores.get(name) is not store:
            return False
        return store is store_list.origin or store.member.kind == self._context.settings.parent_kind
