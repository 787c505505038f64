"""Selects the cache for a request and the source that fills a miss: rendezvous hashing with spill-over.

The module does no I/O.
"""

from __future__ import annotations

from typing import NamedTuple

from .concurrency_limit import ConcurrencyLimit
from .context import RoutingContext
from .events import Request, State
from .load_shedding import LoadShedding
from .request_state import PendingRequest
from .retries import RepeatRules
from .store import Store

#: Part of its capacity that a cache gives to requests for which the caches before it in the hash order had
#: none. It applies once for each of these caches.
SPILL_SHARE = 0.8
PARTS_PER_OBJECT = 64  # number of parts of an object that hash keys distinguish


class Route(NamedTuple):
    """The servers of an attempt. A miss at `store` is filled from `source`; if both are the same, it is not
    filled."""

    store: Store
    source: Store
    #: Whether the source answers from its existing copies only.
    copies_only: bool = False
    #: Whether the store is a source that is asked directly, without a cache.
    bypasses_caches: bool = False


def hash_key(request: Request) -> int:
    """The hash key that distributes the parts of an object over caches."""
    return request.object * PARTS_PER_OBJECT + (request.part & (PARTS_PER_OBJECT - 1))


class FillLimits:
    """The concurrency limits on fills. If many directors share a zone, each sees too few fills of any one
    cache to learn in time that the zone's ingress link is full, so the fills of all caches are also counted
    together."""

    def __init__(self, context: RoutingContext, ingress_limit: ConcurrencyLimit) -> None:
        self._context = context
        self.ingress_limit = ingress_limit

    def of_cache(self, cache: Store) -> list[ConcurrencyLimit]:
        """The limits on fills at a cache; each of them must have capacity for one more."""
        return [cache.fills, self.ingress_limit] if self._context.is_scattered else [cache.fills]


class Selection:
    """Selects servers that are in service, not ejected, and have capacity for the request's class.

    Budgets and divided limits may decide at random. For reproducible results, servers are therefore checked
    in hash order, and none after the one that is selected."""

    def __init__(
        self, context: RoutingContext, shedding: LoadShedding, rules: RepeatRules, fill_limits: FillLimits
    ) -> None:
        self._context = context
        self._shedding = shedding
        self._rules = rules
        self._fill_limits = fill_limits

    def select_route(self, pending: PendingRequest) -> Route | None:
        """The route of a read; None if no server may get it now."""
        share = self._shedding.capacity_share(pending.spec.name)
        cache = self._pick_cache(pending, share)
        source = self._pick_source(pending, share)
        if cache is None:
            return self._route_past_caches(pending, source)
        if not self._rules.is_deduplicated_at(pending, cache):
            return None
        return self._route_through(pending, cache, source, share)

    def select_cache(self, pending: PendingRequest) -> Store | None:
        """The cache for a write that has to go through one; None if no cache may get it now."""
        cache = self._pick_cache(pending, self._shedding.capacity_share(pending.spec.name))
        if cache is None or not self._rules.is_deduplicated_at(pending, cache):
            return None
        return cache

    def _pick_cache(self, pending: PendingRequest, share: float) -> Store | None:
        """The first usable cache of the zone in hash order."""
        now_ms, key = self._context.now_ms, hash_key(pending.request)
        for cache in self._context.store_list.caches_for(key, pending.is_recent_key, now_ms):
            if cache.member.store in pending.tried_stores or cache.is_ejected(now_ms):
                continue
            if self._is_within_budget(cache, pending):
                if cache.concurrency.has_capacity(share):
                    return cache
                share *= SPILL_SHARE
        return None

    def _pick_source(self, pending: PendingRequest, share: float) -> Store | None:
        """The first usable parent in hash order, otherwise the origin."""
        store_list, now_ms = self._context.store_list, self._context.now_ms
        for parent in store_list.parents_for(pending.request.object):
            if parent.member.store in pending.excluded_sources or parent.is_ejected(now_ms):
                continue
            if parent.concurrency.has_capacity(share) and self._is_within_budget(parent, pending):
                return parent
        origin = store_list.origin
        return origin if origin and origin.member.state is State.READY else None

    def _is_within_budget(self, store: Store, pending: PendingRequest) -> bool:
        return self._context.cold.allows(store.member, store.tokens, self._context.now_ms, pending.work)

    def _route_past_caches(self, pending: PendingRequest, source: Store | None) -> Route | None:
        """The route directly to a source, only if no cache runs: bypassing busy caches would only move the
        congestion."""
        if source is None or not self._context.settings.straight or self._is_any_cache_running():
            return None
        if not self._rules.is_deduplicated_at(pending, source):
            return None
        return Route(source, source, bypasses_caches=True)

    def _is_any_cache_running(self) -> bool:
        now_ms = self._context.now_ms
        return any(
            cache.member.state is State.READY and not cache.is_ejected(now_ms)
            for cache in self._context.store_list.caches
        )

    def _route_through(
        self, pending: PendingRequest, cache: Store, source: Store | None, share: float
    ) -> Route | None:
        """The route through a cache. If there is no capacity for a fill, only the cache is asked for its
        copy. If the origin has no capacity, only the parent is asked for its copy. Either is done once per
        request."""
        if source is None or not all(
            limit.has_capacity(share) for limit in self._fill_limits.of_cache(cache)
        ):
            return self._route_to_copies(pending, cache, cache)
        origin = self._context.store_list.origin
        if origin and not origin.concurrency.has_capacity(share):
            return self._route_to_copies(pending, cache, cache if source is origin else source)
        return Route(cache, source)

    def _route_to_copies(self, pending: PendingRequest, cache: Store, source: Store) -> Route | None:
        if pending.tried_copies_only:
            return None
        pending.tried_copies_only = True
        return Route(cache, source, copies_only=source is not cache)
