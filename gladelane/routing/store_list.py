"""The servers on the endpoint list as one router uses them: their state and the order of preference.

The list may have thousands of members, of which a router uses few: the caches of its own zone, the parents
and the origin. These are stored separately, sorted by name, and updated incrementally, so that the cost of a
list change depends on the size of the change, and the cost of a request does not depend on the size of the
list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

from ..structures.rendezvous import RendezvousTable
from .events import Member, Settings, State
from .server_credit import ObservedStart
from .store import UNDIVIDED, LimitDivision, Store

# A director that distributes its requests over all caches of a large zone has a connection to each of them
# that is idle most of the time, and learns little about any of them. In an unusually large fleet it therefore
# uses the cache that all directors share for a key only for keys that are requested repeatedly, and limits
# the number of these caches to what it can keep busy. All other keys go to a subset of its own.
MAX_CACHES_USED_ALIKE = 400  # number of caches in all zones up to which all caches of the zone are used alike
# Size of the own subset: a constant, plus a part of the zone's caches.
MIN_OWN_CACHES, OWN_CACHES_SHARE = 12, 1 / 32
# Number of shared caches for repeated keys, computed likewise.
MIN_SHARED_CACHES, SHARED_CACHES_SHARE = 20, 1 / 32
SHARED_IDLE_MS = 30_000.0  # a shared cache that was not used for this long may be replaced by another
RECENT_REQUESTS = 1024  # a key is repeated if it is among the keys of this many recent requests
RING_STEP = 0x9E3779B97F4A7C15  # 2^64 divided by the golden ratio: multiples are evenly spaced on a ring
RING = 1 << 64
MAX_REMOVED = 4096  # servers whose start is remembered after they were removed from the list


class _Removed(NamedTuple):
    """A server that was removed from the list: the date of its start, and when and how that became known."""

    started_ms: float
    observed_start: ObservedStart


class StoreList:
    """All servers by name; the caches of the zone, the parents and the origins also sorted by name."""

    def __init__(self, settings: Settings, division: LimitDivision = UNDIVIDED) -> None:
        """`division` divides the concurrency limits of the zone's caches in a large fleet."""
        self._division = division
        self.stores: dict[str, Store] = {}
        self.caches: list[Store] = []
        self.parents: list[Store] = []
        self.origins: list[Store] = []
        self.sources_changed = False  # whether parents, origins or `is_large` changed; the reader resets it
        self._zone, self._parent_kind, self._origin_kind = _classifying_settings(settings)
        self._ring_start = settings.me * RING_STEP % RING
        self._cache_count = 0  # of all zones
        self._cache_order: RendezvousTable[Store] | None = None  # None: to be recomputed
        self._own_order: RendezvousTable[Store] | None = None  # of the own subset, in a large fleet
        self._removed: OrderedDict[str, _Removed] = OrderedDict()  # the latest last
        self._recent_keys: OrderedDict[int, None] = OrderedDict()
        self._shared_used_ms: OrderedDict[str, float] = OrderedDict()  # shared caches for repeated keys
        self._parent_order: RendezvousTable[Store] | None = None

    @property
    def origin(self) -> Store | None:
        """The first origin by name; None if there is none."""
        return self.origins[0] if self.origins else None

    # --- changes

    def add(self, store: Store) -> Store:
        """Adds a server that is new on the list, and returns it. If it was removed earlier and has the same
        start date, it was not restarted, and when that start became known is restored."""
        removed = self._removed.pop(store.member.store, None)
        if removed is not None and removed.started_ms == store.member.started_at_ms:
            store.observed_start = removed.observed_start
        self.stores[store.member.store] = store
        self._place(store)
        return store

    def remove(self, name: str) -> None:
        """Removes a server; does nothing if it is not known."""
        store = self.stores.pop(name, None)
        if store is None:
            return
        self._unplace(store)
        if store.member.started_at_ms:
            self._removed[name] = _Removed(store.member.started_at_ms, store.observed_start)
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)

    def update(self, store: Store, member: Member, observed_start: ObservedStart) -> None:
        """Applies a new list entry to a known server."""
        old = store.member
        # Any other date means a restart, also an earlier one: the machine's clock may have been set back.
        if member.started_at_ms and member.started_at_ms != old.started_at_ms:
            store.record_restart(observed_start)
        if member == old:
            return
        is_moved = (member.kind, member.zone) != (old.kind, old.zone)
        if is_moved:
            self._unplace(store)
        store.member = member
        if is_moved:
            self._place(store)
        elif (member.state, member.weight) != (old.state, old.weight):
            self._invalidate_order(self._list_of(store))

    def apply_settings(self, settings: Settings) -> None:
        """Applies settings: reclassifies all servers if they name other kinds or another zone."""
        if _classifying_settings(settings) == (self._zone, self._parent_kind, self._origin_kind):
            return
        self._zone, self._parent_kind, self._origin_kind = _classifying_settings(settings)
        self._cache_count = 0
        for servers in (self.caches, self.parents, self.origins):
            servers.clear()
            self._invalidate_order(servers)
        for store in self.stores.values():
            self._place(store)

    def _list_of(self, store: Store) -> list[Store] | None:
        """The list that a server belongs to; None for a cache of another zone."""
        kind = store.member.kind
        if kind == self._parent_kind:
            return self.parents
        if kind == self._origin_kind:
            return self.origins
        return self.caches if store.member.zone == self._zone else None

    def _place(self, store: Store) -> None:
        servers = self._list_of(store)
        self._update_cache_count(servers, 1)
        if servers is not None:
            insort(servers, store, key=_store_name)
            self._mark_list_changed(servers)
        self._divide_limit(store, servers)

    def _unplace(self, store: Store) -> None:
        servers = self._list_of(store)
        self._update_cache_count(servers, -1)
        if servers is not None:
            del servers[bisect_left(servers, store.member.store, key=_store_name)]
            self._mark_list_changed(servers)

    def _update_cache_count(self, servers: list[Store] | None, change: int) -> None:
        if servers is self.parents or servers is self.origins:
            return
        was_large = self.is_large
        self._cache_count += change
        if self.is_large != was_large:
            self._cache_order = None
            self.sources_changed = True  # their initial limits depend on it
            for store in self.caches:
                self._divide_limit(store, self.caches)

    @property
    def is_large(self) -> bool:
        """Whether the fleet has more caches, in all zones, than a router uses alike."""
        return self._cache_count > MAX_CACHES_USED_ALIKE

    def _divide_limit(self, store: Store, servers: list[Store] | None) -> None:
        """Sets how the concurrency limit of a server is divided among directors. A few attempts of each
        director overload a small cache; in a large fleet many caches are small, and others can answer
        instead."""
        division = self._division if servers is self.caches and self.is_large else UNDIVIDED
        if store.division is not division:
            store.divide_limit(division)

    def _mark_list_changed(self, servers: list[Store]) -> None:
        self._invalidate_order(servers)
        if servers is not self.caches:
            self.sources_changed = True

    def _invalidate_order(self, servers: list[Store] | None) -> None:
        if servers is self.caches:
            self._cache_order = None
        elif servers is self.parents:
            self._parent_order = None

    # --- choices

    def record_key(self, key: int) -> bool:
        """Records the key of a request, once per request; returns whether it is among the recent keys."""
        if not self.is_large:
            return False
        is_known = key in self._recent_keys
        self._recent_keys[key] = None
        self._recent_keys.move_to_end(key)
        if len(self._recent_keys) > RECENT_REQUESTS:
            self._recent_keys.popitem(last=False)
        return is_known

    def caches_for(self, key: int, is_recent_key: bool, now: float) -> Iterator[Store]:
        """The ready caches of the zone in hash order; in a large fleet preceded by those that this director
        prefers for the key, which are then listed twice.

        Requests that exceed the capacity of a key's shared cache go to this director's own subset rather than
        to the next shared caches: it has no connections to those, and the most popular keys would make all
        directors connect to them at once."""
        if self._cache_order is None:
            ready = [store for store in self.caches if store.member.state is State.READY]
            self._cache_order = _hash_order(ready)
            self._own_order = _hash_order(self._own_subset(ready)) if self.is_large else None
        all_caches = self._cache_order
        if self._own_order is None:
            return all_caches.ranked(key)
        own_first = chain(self._own_order.ranked(key), all_caches.ranked(key))
        if is_recent_key:
            shared = next(all_caches.ranked(key), None)
            if shared is not None and self._may_share(shared, now):
                return chain((shared,), own_first)
        return own_first

    def _own_subset(self, ready: list[Store]) -> list[Store]:
        """This director's own subset: the caches that follow its position on the ring. The positions of
        directors are evenly spaced, so all caches are in about equally many subsets; adding or removing a
        cache changes a subset by one cache."""
        ring = sorted(ready, key=lambda store: (store.salt - self._ring_start) % RING)
        return sorted(ring[: MIN_OWN_CACHES + int(len(ring) * OWN_CACHES_SHARE)], key=_store_name)

    def _may_share(self, cache: Store, now: float) -> bool:
        """Whether a repeated key may go to the cache that all directors of the zone use for it."""
        name, used_ms = cache.member.store, self._shared_used_ms
        if name not in used_ms and len(used_ms) >= MIN_SHARED_CACHES + int(
            len(self.caches) * SHARED_CACHES_SHARE
        ):
            oldest = next(iter(used_ms))
            if now - used_ms[oldest] < SHARED_IDLE_MS and oldest in self.stores:
                return False
            del used_ms[oldest]
        used_ms[name] = now
        used_ms.move_to_end(name)
        return True

    def parents_for(self, key: int) -> Iterator[Store]:
        """The ready parents, in hash order."""
        if self._parent_order is None:
            ready = [store for store in self.parents if store.member.state is State.READY]
            self._parent_order = _hash_order(ready)
        return self._parent_order.ranked(key)


def _classifying_settings(settings: Settings) -> tuple[str, str, str]:
    """The settings that determine which list a server belongs to."""
    return settings.zone, settings.parent_kind, settings.origin_kind


def _store_name(store: Store) -> str:
    return store.member.store


def _hash_order(stores: list[Store]) -> RendezvousTable[Store]:
    return RendezvousTable(stores, [store.salt for store in stores], [store.order_weight for store in stores])
