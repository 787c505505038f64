"""The list of stores as one router uses it: what is known of each, and the order to choose in. Pure.

A list may have thousands of members, of which a router uses few: the caches of its own zone, the parents and
the origin. Those are kept apart in the order of names and changed as the list changes, so that a change costs
by its size, and a request nothing that grows with the list.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections import OrderedDict
from collections.abc import Iterator
from itertools import chain
from typing import NamedTuple

from ..structures.rendezvous import RendezvousTable
from .events import Member, Settings, State
from .server_credit import HeardStart
from .store import UNDIVIDED, LimitDivision, Store

# A director that spreads its requests over all caches of a large zone keeps a connection to each, which is
# idle nearly all the time, and learns little of any. In a fleet larger than any usual one it does so only for
# keys that it is asked for again, and for no more caches than it can keep busy.
MAX_CACHES_USED_ALIKE = 400  # caches in all zones up to which it uses those of its zone alike
OWN_LEAST, OWN_SHARE = 12, 1 / 32  # caches for its other keys: so many, and so large a part of its zone
SHARED_LEAST, SHARED_SHARE = 20, 1 / 32  # caches for keys that come again, likewise
SHARED_IDLE_MS = 30_000.0  # one that was not asked for so long gives its place to another
RECENT_REQUESTS = 1024  # among which a key has to come again
RING_STEP = 0x9E3779B97F4A7C15  # the golden ratio's part of 2^64: multiples of it lie evenly on the ring
RING = 1 << 64
MAX_REMOVED = 4096  # stores whose starts are remembered after they left the list


class _Removed(NamedTuple):
    """Of a store that left the list: the start of its process, as it is dated, and how that became known."""

    started_ms: float
    heard: HeardStart


class StoreList:
    """All stores by name; the zone's caches, the parents and the origins in the order of names."""

    def __init__(self, settings: Settings, division: LimitDivision = UNDIVIDED) -> None:
        """`division` is that of the zone's caches in a large fleet."""
        self._division = division
        self.stores: dict[str, Store] = {}
        self.caches: list[Store] = []
        self.parents: list[Store] = []
        self.origins: list[Store] = []
        self.sources_changed = False  # or `is_large`, since whoever reads this has set it back
        self._zone, self._parent_kind, self._origin_kind = _names(settings)
        self._ring_start = settings.me * RING_STEP % RING
        self._cache_count = 0  # of all zones
        self._cache_order: RendezvousTable[Store] | None = None  # None: to be made anew
        self._own_order: RendezvousTable[Store] | None = None  # of a part of them, in a large fleet
        self._removed: OrderedDict[str, _Removed] = OrderedDict()  # that left the list, the latest last
        self._recent_keys: OrderedDict[int, None] = OrderedDict()
        self._shared_used_ms: OrderedDict[str, float] = OrderedDict()  # caches for keys that come again
        self._parent_order: RendezvousTable[Store] | None = None

    @property
    def origin(self) -> Store | None:
        """The first of them."""
        return self.origins[0] if self.origins else None

    # --- changes

    def add(self, store: Store) -> Store:
        """A server that is new on the list. Returns it. One that left the list and is back with the start
        that was known did not start anew."""
        removed = self._removed.pop(store.member.store, None)
        if removed is not None and removed.started_ms == store.member.came_up_ms:
            store.heard = removed.heard
        self.stores[store.member.store] = store
        self._place(store)
        return store

    def remove(self, name: str) -> None:
        """A server that left the list; does nothing where it is not known."""
        store = self.stores.pop(name, None)
        if store is None:
            return
        self._displace(store)
        if store.member.came_up_ms:
            self._removed[name] = _Removed(store.member.came_up_ms, store.heard)
            if len(self._removed) > MAX_REMOVED:
                self._removed.popitem(last=False)

    def update(self, store: Store, member: Member, heard: HeardStart) -> None:
        """What the list says anew of a store that is known."""
        old = store.member
        # a later process may date its start earlier: its machine's clock was set back meanwhile
        if member.came_up_ms and member.came_up_ms != old.came_up_ms:
            store.renew(heard)
        if member == old:
            return
        moved = (member.kind, member.zone) != (old.kind, old.zone)
        if moved:
            self._displace(store)
        store.member = member
        if moved:
            self._place(store)
        elif (member.state, member.weight) != (old.state, old.weight):
            self._forget_order(self._part_of(store))

    def check_places(self, settings: Settings) -> None:
        """Where settings that came since name other kinds or another zone, all stores are placed anew."""
        if _names(settings) == (self._zone, self._parent_kind, self._origin_kind):
            return
        self._zone, self._parent_kind, self._origin_kind = _names(settings)
        self._cache_count = 0
        for part in (self.caches, self.parents, self.origins):
            part.clear()
            self._forget_order(part)
        for store in self.stores.values():
            self._place(store)

    def _part_of(self, store: Store) -> list[Store] | None:
        """Where a store belongs; None: a cache of another zone."""
        kind = store.member.kind
        if kind == self._parent_kind:
            return self.parents
        if kind == self._origin_kind:
            return self.origins
        return self.caches if store.member.zone == self._zone else None

    def _place(self, store: Store) -> None:
        part = self._part_of(store)
        self._count_cache(part, 1)
        if part is not None:
            insort(part, store, key=_store_name)
            self._part_changed(part)
        self._divide_limit(store, part)

    def _displace(self, store: Store) -> None:
        part = self._part_of(store)
        self._count_cache(part, -1)
        if part is not None:
            del part[bisect_left(part, store.member.store, key=_store_name)]
            self._part_changed(part)

    def _count_cache(self, part: list[Store] | None, change: int) -> None:
        if part is self.parents or part is self.origins:
            return
        was_large = self.is_large
        self._cache_count += change
        if self.is_large != was_large:
            self._cache_order = None
            self.sources_changed = True  # in what their limits start at
            for store in self.caches:
                self._divide_limit(store, self.caches)

    @property
    def is_large(self) -> bool:
        """Whether the fleet has more caches, in all zones, than a router uses alike."""
        return self._cache_count > MAX_CACHES_USED_ALIKE

    def _divide_limit(self, store: Store, part: list[Store] | None) -> None:
        """A small cache is crowded by a few attempts of each director. In a large fleet many caches are
        small, and there are others that can answer instead."""
        division = self._division if part is self.caches and self.is_large else UNDIVIDED
        if store.division is not division:
            store.divide_limit(division)

    def _part_changed(self, part: list[Store]) -> None:
        self._forget_order(part)
        if part is not self.caches:
            self.sources_changed = True

    def _forget_order(self, part: list[Store] | None) -> None:
        if part is self.caches:
            self._cache_order = None
        elif part is self.parents:
            self._parent_order = None

    # --- choices

    def record_key(self, key: int) -> bool:
        """To be asked once for each request: whether its key is among the recent ones."""
        if not self.is_large:
            return False
        known = key in self._recent_keys
        self._recent_keys[key] = None
        self._recent_keys.move_to_end(key)
        if len(self._recent_keys) > RECENT_REQUESTS:
            self._recent_keys.popitem(last=False)
        return known

    def caches_for(self, key: int, is_recent_key: bool, now: float) -> Iterator[Store]:
        """The zone's caches that are in service, in hash order; in a large fleet first those that this
        director prefers for the key. A cache that is preferred is named twice.

        What the shared cache of a key has no room for goes to this director's own part, not to the next
        shared ones: those would be caches that it keeps no connection to, for the most wanted keys of all
        directors at once."""
        if self._cache_order is None:
            ready = [store for store in self.caches if store.member.state is State.READY]
            self._cache_order = _hash_order(ready)
            self._own_order = _hash_order(self._own_part(ready)) if self.is_large else None
        all_caches = self._cache_order
        if self._own_order is None:
            return all_caches.ranked(key)
        own_first = chain(self._own_order.ranked(key), all_caches.ranked(key))
        if is_recent_key:
            shared = next(all_caches.ranked(key), None)
            if shared is not None and self._may_share(shared, now):
                return chain((shared,), own_first)
        return own_first

    def _own_part(self, ready: list[Store]) -> list[Store]:
        """Those that follow this director's place on the ring. Directors' places lie evenly there, so each
        cache is preferred by about as many directors as any other; one that comes or goes changes one."""
        ring = sorted(ready, key=lambda store: (store.salt - self._ring_start) % RING)
        return sorted(ring[: OWN_LEAST + int(len(ring) * OWN_SHARE)], key=_store_name)

    def _may_share(self, cache: Store, now: float) -> bool:
        """Whether a key that comes again may go to the cache that all directors of the zone ask for it."""
        name, used_ms = cache.member.store, self._shared_used_ms
        if name not in used_ms and len(used_ms) >= SHARED_LEAST + int(len(self.caches) * SHARED_SHARE):
            oldest = next(iter(used_ms))
            if now - used_ms[oldest] < SHARED_IDLE_MS and oldest in self.stores:
                return False
            del used_ms[oldest]
        used_ms[name] = now
        used_ms.move_to_end(name)
        return True

    def parents_for(self, key: int) -> Iterator[Store]:
        """The parents that are in service, in hash order."""
        if self._parent_order is None:
            ready = [store for store in self.parents if store.member.state is State.READY]
            self._parent_order = _hash_order(ready)
        return self._parent_order.ranked(key)


def _names(settings: Settings) -> tuple[str, str, str]:
    """What decides where a store belongs."""
    return settings.zone, settings.parent_kind, settings.origin_kind


def _store_name(store: Store) -> str:
    return store.member.store


def _hash_order(stores: list[Store]) -> RendezvousTable[Store]:
    return RendezvousTable(stores, [store.salt for store in stores], [store.order_weight for store in stores])
