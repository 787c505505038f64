"""Applies the endpoint list and its changes, and sets where limits start. Pure.

Limits are in attempts in flight.
"""

from __future__ import annotations

from .concurrency_limit import LIMIT_LEAST, LIMIT_MOST, ConcurrencyLimit
from .context import LIST_TOKEN, RoutingContext
from .events import ListKind, Member, Members, SetTimer, State
from .server_credit import HeardStart
from .store import Store

POLL_BACKOFF_MS = 1000.0  # wait until a list that failed is asked for once more
START_SHARE = 1.2  # of a director's part of a link: where the limit of a source starts, in a large zone
MIN_INGRESS_FILLS = 1.0  # fills that a cache of the zone may always have, from all directors together


class EndpointUpdates:
    """Keeps the store list as the platform's endpoint list says."""

    def __init__(self, context: RoutingContext, ingress_limit: ConcurrencyLimit) -> None:
        self._context = context
        self._ingress_limit = ingress_limit
        self._is_weighted = context.settings.weights in ("nominal", "rough")

    def apply(self, event: Members) -> None:
        """A list that failed changes nothing and is asked for once more."""
        context, store_list = self._context, self._context.store_list
        if event.kind is ListKind.FAILED:
            context.emit(SetTimer(LIST_TOKEN, context.now_ms + POLL_BACKOFF_MS))
            return
        store_list.check_places(context.settings)
        listed = {member.store: member for member in event.stores}
        if event.kind is not ListKind.CHANGES:
            for name in [known for known in store_list.stores if known not in listed]:
                store_list.remove(name)
        heard = HeardStart(context.now_ms, event.kind is ListKind.CHANGES)
        for member in listed.values():
            self._apply_member(member, heard)
        self._set_least_ingress()
        if store_list.sources_changed:
            store_list.sources_changed = False
            self._open_origin()
            self._divide_starts()

    def _apply_member(self, member: Member, heard: HeardStart) -> None:
        store_list = self._context.store_list
        known = store_list.stores.get(member.store)
        if member.state is State.GONE:
            store_list.remove(member.store)
        elif known is not None:
            store_list.update(known, member, heard)
        else:
            store = store_list.add(Store(member, self._is_weighted, heard))
            if member.kind == self._context.settings.parent_kind:
                self._start_limit(store, self._context.cold.link_share(member))

    def _set_least_ingress(self) -> None:
        caches = max(len(self._context.store_list.caches), 1)
        directors = max(self._context.directors_in_zone, 1)
        self._ingress_limit.least = min(LIMIT_LEAST, MIN_INGRESS_FILLS * caches / directors)

    def _open_origin(self) -> None:
        """The list tells no size of the origin. All that parents lack passes it, so it starts as they do."""
        store_list = self._context.store_list
        origin, parents = store_list.origin, store_list.parents
        if not origin or not parents:
            return
        widest = max(parent.most_attempts for parent in parents)
        is_wider = widest > origin.most_attempts  # otherwise its limit is made where it is first used
        if not origin.opened:
            origin.opened = True
            if is_wider:
                origin.concurrency.widen(widest)
            self._start_limit(origin, sum(self._context.cold.link_share(parent.member) for parent in parents))
        elif is_wider:  # a larger parent that joins does not undo what was learned
            origin.concurrency.most = max(origin.concurrency.most, widest)

    def _divide_starts(self) -> None:
        """In a large fleet each director fills caches of its own, with objects that those of the others lack
        too. If each starts at the greatest limit at sources of unknown size, they fill links several times
        over. Where outcomes do not say how long a fill waited for its source, the late ones lower the limit
        of the zone's ingress link instead, and it refuses requests for seconds after the flood."""
        context, store_list = self._context, self._context.store_list
        if not context.is_scattered or not store_list.is_large:
            return
        share = LIMIT_MOST / context.directors_in_zone
        for parent in store_list.parents:
            if not parent.is_limit_in_use:
                _lower_start(parent, share)
        origin = store_list.origin
        if origin and not origin.is_limit_in_use:
            _lower_start(origin, share * max(len(store_list.parents), 1))

    def _start_limit(self, store: Store, link_share: float) -> None:
        """Many directors that each start at what a link carries send many times that before one learns.
        `link_share`: work a second that is this director's part of the link, 0: not known."""
        if self._context.is_scattered and link_share:
            _lower_start(store, START_SHARE * link_share / 1000.0)


def _lower_start(store: Store, share: float) -> None:
    """To this director's share of the attempts, with a margin for chance."""
    store.concurrency.limit = min(share + share**0.5 + 1.0, store.concurrency.limit)
