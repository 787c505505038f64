"""Which cache a request goes to, and which source fills a miss: rendezvous hashing with spill-over. Pure."""

from __future__ import annotations

from typing import NamedTuple

from .concurrency_limit import ConcurrencyLimit
from .context import RoutingContext
from .events import Request, State
from .load_shedding import LoadShedding
from .request_state import PendingRequest
from .retries import RepeatRules
from .store import Store

#: Part of its capacity that a cache gives to requests that the caches before it had no capacity for.
SPILL_SHARE = 0.8
PARTS_PER_OBJECT = 64  # told apart in hash keys


class Route(NamedTuple):
    """Where an attempt goes. A miss at `store` is filled from `source`; if both are one, it is not filled."""

    store: Store
    source: Store
    #: The source answers from its copies only.
    copies_only: bool = False
    #: The store is a source that is asked without a cache.
    bypasses_caches: bool = False


def hash_key(request: Request) -> int:
    """The key by which parts of an object are spread over caches."""
    return request.object * PARTS_PER_OBJECT + (request.part & (PARTS_PER_OBJECT - 1))


class FillLimits:
    """The limits that count fills. Where many directors share a zone, each sees too few fills of a cache to
    learn in time that the zone's ingress link is full, so they are also counted together."""

    def __init__(self, context: RoutingContext, ingress_limit: ConcurrencyLimit) -> None:
        self._context = context
        self.ingress_limit = ingress_limit

    def of_cache(self, cache: Store) -> list[ConcurrencyLimit]:
        """Each of them must have capacity for one more fill."""
        return [cache.fills, self.ingress_limit] if self._context.is_scattered else [cache.fills]


class Selection:
    """Picks servers that are in service, not ejected, and have capacity for the request's class.

    Budgets and divided limits may draw at random, so servers are asked in hash order, and no further than
    the first that is picked."""

    def __init__(
        self, context: RoutingContext, shedding: LoadShedding, rules: RepeatRules, fill_limits: FillLimits
    ) -> None:
        self._context = context
        self._shedding = shedding
        self._rules = rules
        self._fill_limits = fill_limits

    def select_route(self, pending: PendingRequest) -> Route | None:
        """Where to send a read; None: no server may get it now."""
        share = self._shedding.capacity_share(pending.spec.name)
        cache = self._pick_cache(pending, share)
        source = self._pick_source(pending, share)
        if cache is None:
            return self._route_past_caches(pending, source)
        if not self._rules.is_deduplicated_at(pending, cache):
            return None
        return self._route_through(pending, cache, source, share)

    def select_cache(self, pending: PendingRequest) -> Store | None:
        """The cache for a write that has to pass one."""
        cache = self._pick_cache(pending, self._shedding.capacity_share(pending.spec.name))
        if cache is None or not self._rules.is_deduplicated_at(pending, cache):
            return None
        return cache

    def _pick_cache(self, pending: PendingRequest, share: float) -> Store | None:
        """The first usable cache of the zone in hash order."""
        now_ms, key = self._context.now_ms, hash_key(pending.request)
        for cache in self._context.store_list.caches_for(key, pending.is_recent_key, now_ms):
            if cache.member.store in pending.tried_stores or cache.resting(now_ms):
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
            if parent.member.store in pending.excluded_sources or parent.resting(now_ms):
                continue
            if parent.concurrency.has_capacity(share) and self._is_within_budget(parent, pending):
                return parent
        origin = store_list.origin
        return origin if origin and origin.member.state is State.READY else None

    def _is_within_budget(self, store: Store, pending: PendingRequest) -> bool:
        return self._context.cold.allows(store.member, store.tokens, self._context.now_ms, pending.work)

    def _route_past_caches(self, pending: PendingRequest, source: Store | None) -> Route | None:
        """Only where no cache runs: bypassing busy caches would only move the congestion."""
        if source is None or not self._context.settings.straight or self._is_any_cache_running():
            return None
        if not self._rules.is_deduplicated_at(pending, source):
            return None
        return Route(source, source, bypasses_caches=True)

    def _is_any_cache_running(self) -> bool:
        now_ms = self._context.now_ms
        return any(
            cache.member.state is State.READY and not cache.resting(now_ms)
            for cache in self._context.store_list.caches
        )

    def _route_through(
        self, pending: PendingRequest, cache: Store, source: Store | None, share: float
    ) -> Route | None:
        """Where a fill has no capacity, the cache alone is asked for its copy; where the origin has none, the
        parent is asked for its copy. Either is done once."""
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
