"""Applies the endpoint list and its changes, and sets the initial concurrency limits of servers.

Limits are numbers of attempts in flight. The module does no I/O.
"""

from __future__ import annotations

from .concurrency_limit import MAX_LIMIT, MIN_LIMIT, ConcurrencyLimit
from .context import LIST_TOKEN, RoutingContext
from .events import ListKind, Member, Members, SetTimer, State
from .server_credit import ObservedStart
from .store import Store

POLL_BACKOFF_MS = 1000.0  # delay before a list that could not be read is requested again
# Initial limit of a source in a large zone, relative to this director's share of its link.
INITIAL_LINK_SHARE = 1.2
MIN_INGRESS_FILLS = 1.0  # minimum of fills per cache of the zone, for all directors together


class EndpointUpdates:
    """Keeps the store list consistent with the endpoint list."""

    def __init__(self, context: RoutingContext, ingress_limit: ConcurrencyLimit) -> None:
        self._context = context
        self._ingress_limit = ingress_limit
        self._is_weighted = context.settings.weights in ("nominal", "rough")

    def apply(self, event: Members) -> None:
        """Applies a list or changes to it. After a list that could not be read, a timer requests it again."""
        context, store_list = self._context, self._context.store_list
        if event.kind is ListKind.FAILED:
            context.emit(SetTimer(LIST_TOKEN, context.now_ms + POLL_BACKOFF_MS))
            return
        store_list.apply_settings(context.settings)
        listed = {member.store: member for member in event.stores}
        if event.kind is not ListKind.CHANGES:
            for name in [name for name in store_list.stores if name not in listed]:
                store_list.remove(name)
        observed_start = ObservedStart(context.now_ms, event.kind is ListKind.CHANGES)
        for member in listed.values():
            self._apply_member(member, observed_start)
        self._set_min_ingress_limit()
        if store_list.sources_changed:
            store_list.sources_changed = False
            self._set_initial_origin_limit()
            self._divide_initial_limits()

    def _apply_member(self, member: Member, observed_start: ObservedStart) -> None:
        store_list = self._context.store_list
        known = store_list.stores.get(member.store)
        if member.state is State.GONE:
            store_list.remove(member.store)
        elif known is not None:
            store_list.update(known, member, observed_start)
        else:
            store = store_list.add(Store(member, self._is_weighted, observed_start))
            if member.kind == self._context.settings.parent_kind:
                self._set_initial_limit(store, self._context.cold.link_share(member))

    def _set_min_ingress_limit(self) -> None:
        caches = max(len(self._context.store_list.caches), 1)
        directors = max(self._context.directors_in_zone, 1)
        self._ingress_limit.min_limit = min(MIN_LIMIT, MIN_INGRESS_FILLS * caches / directors)

    def _set_initial_origin_limit(self) -> None:
        """Sets the initial limit of the origin. The endpoint list does not give its size. All misses of the
        parents go to the origin, so it starts with the limits of the parents."""
        store_list = self._context.store_list
        origin, parents = store_list.origin, store_list.parents
        if not origin or not parents:
            return
        max_parent_limit = max(parent.max_concurrent_attempts for parent in parents)
        # if this is false, the limit of the origin is created at its first use
        exceeds_origin_limit = max_parent_limit > origin.max_concurrent_attempts
        if not origin.is_initial_limit_set:
            origin.is_initial_limit_set = True
            if exceeds_origin_limit:
                origin.concurrency.raise_max_limit(max_parent_limit)
            self._set_initial_limit(
                origin, sum(self._context.cold.link_share(parent.member) for parent in parents)
            )
        elif exceeds_origin_limit:  # a larger parent that joins must not undo what was learned
            origin.concurrency.max_limit = max(origin.concurrency.max_limit, max_parent_limit)

    def _divide_initial_limits(self) -> None:
        """Divides the initial limits of unused sources among the directors of a large fleet.

        Each director there fills caches of its own, with objects that the caches of other directors lack as
        well. If each director started with the maximum limit at sources of unknown size, together they would
        exceed the capacity of the links several times. If outcomes do not say how long a fill waited for its
        source, its late fills would lower the limit of the zone's ingress link instead, and requests would be
        rejected for seconds after the overload."""
        context, store_list = self._context, self._context.store_list
        if not context.is_scattered or not store_list.is_large:
            return
        share = MAX_LIMIT / context.directors_in_zone
        for parent in store_list.parents:
            if not parent.is_limit_in_use:
                _lower_initial_limit(parent, share)
        origin = store_list.origin
        if origin and not origin.is_limit_in_use:
            _lower_initial_limit(origin, share * max(len(store_list.parents), 1))

    def _set_initial_limit(self, store: Store, link_share: float) -> None:
        """Lowers the initial limit of a source if many directors share it. If each of them started with the
        capacity of the link, they would send many times that before the first one learns.

        `link_share`: this director's share of the link in work per second; 0: not known."""
        if self._context.is_scattered and link_share:
            _lower_initial_limit(store, INITIAL_LINK_SHARE * link_share / 1000.0)


def _lower_initial_limit(store: Store, share: float) -> None:
    """Lowers a limit to this director's share of the attempts, with a margin for random variation."""
    store.concurrency.limit = min(share + share**0.5 + 1.0, store.concurrency.limit)
