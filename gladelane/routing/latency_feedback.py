"""Which concurrency limits learn from the latency of an outcome. Pure. Times are ms of the caller's clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from .concurrency_limit import LATE_STEP, ConcurrencyLimit
from .context import RoutingContext
from .events import Note, Outcome, Status
from .request_state import Attempt
from .selection import FillLimits
from .store import Store

RECENT_MS = 1000.0  # a source that filled so lately is in use
ALONE_FACTOR, ALONE_MARGIN = (
    2.0,
    0.1,
)  # a source is late alone where it is so much more than each other in use
ALONE_CUT = 0.5  # lateness from which a source that is late alone is sent less: any is late now and then

_TIMED = (Status.OK, Status.TIMEOUT, Status.CANCELLED)  # outcomes that tell of latency
_FROM_CACHE = (Note.HIT, Note.AGED)


@dataclass(frozen=True, slots=True)
class _Fill:
    """The outcome of an attempt that may have been filled from `source`."""

    source: Store | None
    note: Note
    status: Status
    is_late: bool
    #: Whether most of its time may have passed at the source.
    has_waited: bool


class LatencyFeedback:
    """Passes the latency of each outcome to the limits of what it waited for."""

    def __init__(self, context: RoutingContext, fill_limits: FillLimits) -> None:
        self._context = context
        self._fill_limits = fill_limits
        #: By their latest fill, the oldest first.
        self._sources_in_use: OrderedDict[str, Store] = OrderedDict()

    def learn(self, attempt: Attempt, event: Outcome, store: Store) -> None:
        """Late answers from a cache's copies show that the cache is busy; late fills, that filling there or
        the source is; late fills known to come from the origin, that the origin is. An attempt that ran out
        of time, while one sent later was answered in time, was lost and says nothing of load."""
        now_ms = self._context.now_ms
        elapsed_ms = attempt.elapsed_ms(now_ms, event.unread_ms)
        is_late = elapsed_ms > attempt.aim_ms
        if event.status is Status.OK and not is_late:
            store.timely_ms = max(store.timely_ms, attempt.sent_ms)
        elif event.status is Status.TIMEOUT and attempt.sent_ms < store.timely_ms:
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
        """Where notes do not tell a rejecting source from a full cache, hits there must not pay for it."""
        is_by_source = attempt.is_fill and self._context.settings.notes != "all"
        blamed = self._context.store_list.stores.get(attempt.source) if is_by_source else store
        if blamed:
            blamed.concurrency.learn(self._context.now_ms, attempt.sent_ms, True)

    def _fill(self, attempt: Attempt, event: Outcome, elapsed_ms: float) -> _Fill:
        store_list, note = self._context.store_list, event.note
        source = store_list.origin if note is Note.FROM_ORIGIN else store_list.stores.get(attempt.source)
        has_waited = note is Note.NOT_REPORTED or event.source_wait_ms > elapsed_ms / 2
        return _Fill(source, note, event.status, elapsed_ms > attempt.aim_ms, has_waited)

    def _limits_of_fill(self, fill: _Fill, store: Store) -> list[ConcurrencyLimit]:
        context, source = self._context, fill.source
        if source and context.settings.notes != "all" and self._is_late_alone(source, fill.is_late):
            return [source.concurrency] if source.lateness > ALONE_CUT else []
        limits: list[ConcurrencyLimit] = []
        if fill.note is Note.NOT_REPORTED or not (fill.is_late and fill.has_waited):
            limits.append(store.fills)
            if context.is_scattered and fill.status is Status.OK:  # what is lost says nothing of a link
                limits.append(self._fill_limits.ingress_limit)
        if source and (fill.has_waited or not fill.is_late):
            limits.append(source.concurrency)
        origin = context.store_list.origin
        if context.is_scattered and origin and source is not origin and not fill.is_late:
            limits.append(origin.concurrency)  # few fills go there directly: too few to learn from
        return limits

    def _is_late_alone(self, source: Store, is_late: bool) -> bool:
        """Where no note says what a late fill waited for: whether this source is late and the others in use
        are not, so that neither the caches that ask it nor the ingress link are to pay for it."""
        source.lateness += LATE_STEP * (is_late - source.lateness)
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
        """Whether the list still has it, as a source."""
        store_list = self._context.store_list
        if store_list.stores.get(name) is not store:
            return False
        return store is store_list.origin or store.member.kind == self._context.settings.parent_kind
