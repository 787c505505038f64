"""A fleet in virtual time: real routers, models of everything they talk to, clients, and monitors.

Nothing here waits or reads a clock. One seed gives one run: all random numbers come from generators of the
fleet, and calls that are due at the same time run in the order in which they were scheduled.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from hashlib import blake2b
from typing import Any

from ..routing.events import (
    ClassSpec,
    Fetch,
    ListKind,
    Lookup,
    Member,
    Members,
    Note,
    Purge,
    State,
    Status,
)
from .checks import Broken, Monitor
from .model.pipe import Pipe
from .model.stores import Build, Cache, Filled, Origin, Parent, Store, Work
from .model.timeline import Timeline
from .virtual_director import Director, PendingRequest
from .virtual_plan import Plan

__all__ = ["Director", "Fleet", "Plan"]

WRITE_KB = 1.0
FILL_PACE = 3.0  # rate of a fill, as a multiple of the rate of a transfer to a client
CLIENT_WAIT_MS = 100.0  # before a client retries
CLASS_SHARES = (0.5, 0.4, 0.08, 0.02)  # shares of the requests, in the order of the classes in the settings


class Fleet:
    """The fleet with all its parts. `run` may be called repeatedly, to continue."""

    def __init__(self, plan: Plan, seed: int) -> None:
        self.plan, self.line = plan, Timeline()
        self.rng = random.Random(seed)
        self.broken: list[Broken] = []
        s = plan.settings
        self.monitor = Monitor(
            s.drain_grace_ms, s.purge_grace_ms, s.answer_grace_ms, self.broken.append, s.second_copies
        )
        self._digest = blake2b(digest_size=16)
        self.counts: Counter[str] = Counter()
        self.served_weight = self.requested_weight = 0.0
        self._build_stores(plan)
        self._to: dict[Work, str] = {}
        self.directors = [
            Director(self, f"n{place}", zone, seed * 1000 + place)
            for place, zone in enumerate(zone for zone in self.zones for _ in range(plan.directors))
        ]
        for director in self.directors:
            director.tell(Members(ListKind.COMPLETE, tuple(self.members.values())))
        self._there = {z: [d for d in self.directors if d.settings.zone == z] for z in self.zones}
        self.specs = list(s.classes.values())
        self._popular = _zipf(plan.objects, plan.zipf)
        for zone in self.zones:
            self.line.after(self._gap(), partial(self._arrive, zone))

    def _build_stores(self, plan: Plan) -> None:
        """Makes the origin `root`, the parents, and the caches of each zone with their shared incoming
        link."""
        s, flow = plan.settings, plan.settings.flow_kb_per_s / 1000.0
        out = Pipe(self.line, flow * plan.origin_link, flow * FILL_PACE)
        self.origin = Origin(self.line, plan.origin_workers, plan.origin_ms, plan.origin_max_requests, out)
        hub = Build(
            plan.parent_storage_kb,
            flow * plan.parent_link,
            flow * FILL_PACE,
            s.parent_cold_from,
            s.parent_cold_ms,
        )
        self.parents = {f"p{n}": Parent(self.origin, self.line, hub) for n in range(plan.parents)}
        edge = Build(plan.cache_storage_kb, flow * plan.link, flow, s.cold_from, s.warm_after_ms)
        self.zones = [f"z{n}" for n in range(plan.locations)]
        self.caches: dict[str, Cache] = {}
        self.members: dict[str, Member] = {}
        for zone in self.zones:
            ingress = Pipe(self.line, flow * plan.link * plan.caches, flow * FILL_PACE)
            for n in range(plan.caches):
                name = f"{zone}c{n}"
                self.caches[name] = Cache(ingress, plan.cache_fills, self.line, edge)
                self.members[name] = Member(name, zone, "box", weight=plan.link)
        for name in self.parents:
            self.members[name] = Member(name, "hub", s.parent_kind, weight=plan.parent_link)
        self.members["root"] = Member("root", "hub", s.origin_kind)

    def run(self, until_ms: float) -> None:
        """Runs until this time. Raises AssertionError if an attempt of a client was lost: neither ended nor
        open."""
        self.line.run(until_ms)
        open_ = sum(not asked.done for director in self.directors for asked in director.open.values())
        if self.monitor.requests != self.monitor.answers + open_:
            counted = f"{self.monitor.requests} tries, {self.monitor.answers} answers, {open_} open"
            raise AssertionError(counted)

    def digest(self) -> str:
        """The digest of all attempts and final answers so far, with their times."""
        return self._digest.hexdigest()

    def trace(self, *words: Any) -> None:
        """Adds an entry to the digest."""
        self._digest.update(f"{self.line.now:.6f} {words}\n".encode())

    # --- faults

    def crash(self, store: str) -> None:
        """Crashes a store; directors are notified later."""
        self._store(store).crash()
        self._list(replace(self.members[store], state=State.GONE))

    def restart(self, store: str) -> None:
        """Restarts a store, which is empty and in slow start."""
        self._store(store).start()
        self._list(replace(self.members[store], state=State.READY, started_at_ms=self.line.now))

    def drain(self, store: str) -> None:
        """Lists a store as draining; it continues to serve."""
        self._list(replace(self.members[store], state=State.DRAINING))

    def purge(self, object_: int) -> None:
        """Purges all parts of an object: stores remove them, and directors are notified."""
        at = self.line.now
        for store in (*self.caches.values(), *self.parents.values()):
            self.line.after(self.plan.drop_ms, partial(_drop, store, object_, at))
        for director in self.directors:
            self.line.after(self.plan.list_ms, partial(self._notify_purge, director, object_, at))

    def _notify_purge(self, director: Director, object_: int, at: float) -> None:
        self.monitor.purged(director.name, object_, at, self.line.now)
        director.tell(Purge(object_ + 1, 0, self.line.now - at))

    def _store(self, store: str) -> Cache | Parent:
        return self.caches[store] if store in self.caches else self.parents[store]

    def _list(self, member: Member) -> None:
        self.members[member.store] = member
        for director in self.directors:
            self.line.after(self.plan.list_ms, partial(self._notify_list, director, member))

    def _notify_list(self, director: Director, member: Member) -> None:
        self.monitor.listed(director.name, member.store, member.state is State.READY, self.line.now)
        director.tell(Members(ListKind.CHANGES, (member,)))

    # --- the network

    def way(self, zone: str, store: str) -> float:
        """The one-way delay between a zone and a store, in ms."""
        return self.plan.near_ms if self.members[store].zone == zone else self.plan.far_ms

    def sent_to(self, work: Work) -> str:
        """The store of an attempt that has ended. May be called once for each attempt."""
        return self._to.pop(work)

    def send(
        self, zone: str, action: Fetch | Lookup, source: str, spec: ClassSpec, work: Work
    ) -> Callable[[Work], None]:
        """Starts an attempt, after the delay to its store. The returned function aborts it."""
        self._to[work] = action.store
        there = partial(self._arrived, zone, action, source, spec, work)
        self.line.after(self.way(zone, action.store), there)
        cache = self.caches.get(action.store)
        return cache.abort if cache is not None else (lambda _work: None)

    def _arrived(self, zone: str, action: Fetch | Lookup, source: str, spec: ClassSpec, work: Work) -> None:
        if work.over:
            return

        def straight(dated: float | None, asked: bool = True) -> None:
            if dated is None:
                work.finish(Status.FULL)
            else:
                work.finish(Status.OK, Note.FROM_ORIGIN if asked else Note.HIT, dated)

        if action.store == "root":
            self.origin.fetch(work.size, straight)
            return
        oldest = self.oldest(action, spec)
        if action.store in self.parents:
            self.parents[action.store].get(work.key, work.size, oldest, straight)
            return
        cache = self.caches[action.store]
        if not cache.up:
            work.finish(Status.CONNECT_FAILED)
            return
        rank, join = (action.rank, action.join) if isinstance(action, Fetch) else (0, False)
        fill = self._from(zone, source, work.key, work.size, oldest) if source else None
        cache.serve(work, rank, oldest, join, fill)

    def oldest(self, action: Fetch | Lookup, spec: ClassSpec) -> float:
        """The date of the oldest copy that may be the answer; 0: any."""
        age = (action.max_age_ms if isinstance(action, Fetch) else 0.0) or spec.fresh_ms
        return self.line.now - age if age else 0.0

    def _from(
        self, zone: str, source: str, key: tuple[int, int], size: float, oldest: float
    ) -> Callable[[Filled], None]:
        def ask(came: Filled) -> None:
            back, way = partial(self._back, zone, source, came), self.way(zone, source)
            if source == "root":
                self.line.after(way, partial(self.origin.fetch, size, lambda dated: back(dated, True)))
            elif source in self.parents:
                self.line.after(way, partial(self.parents[source].get, key, size, oldest, back))

        return ask

    def _back(self, zone: str, source: str, came: Filled, dated: float | None, asked: bool) -> None:
        self.line.after(self.way(zone, source), partial(came, dated, asked))

    # --- clients

    def _gap(self) -> float:
        return self.rng.expovariate(self.plan.rate / len(self.zones) / 1000.0)

    def _arrive(self, zone: str) -> None:
        self.line.after(self._gap(), partial(self._arrive, zone))
        spec = self.rng.choices(self.specs, CLASS_SHARES[: len(self.specs)])[0]
        object_ = self.rng.choices(range(self.plan.objects), cum_weights=self._popular)[0]
        sizes = random.Random(object_)  # the same size at each request of an object
        size = max(sizes.lognormvariate(0.0, 0.8) * self.plan.mean_kb, 1.0) if spec.cacheable else WRITE_KB
        self.requested_weight += spec.worth
        self.counts["asked"] += 1
        self._try(zone, spec, (object_, 0), size, self.plan.client_tries)

    def _try(self, zone: str, spec: ClassSpec, key: tuple[int, int], size: float, left: int) -> None:
        self.rng.choice(self._there[zone]).ask(spec, key, size, left)

    def answered(self, director: Director, asked: PendingRequest, status: Status, note: Note) -> None:
        """Counts a final answer. A rejected client retries, up to its limit."""
        self.trace(director.name, asked.number, status.value, note.value)
        self.counts[f"{status.value}"] += 1
        if status is Status.OK:
            self.counts["hits"] += note is Note.HIT
            aim = asked.spec.aim_for(asked.size, self.plan.settings.flow_kb_per_s)
            late = self.line.now - asked.arrived_ms > aim
            self.served_weight += asked.spec.worth * (asked.spec.late_worth if late else 1.0)
        elif asked.tries_left and status is Status.FULL:
            self.counts["tried again"] += 1
            zone, left = director.settings.zone, asked.tries_left - 1
            retry = partial(self._try, zone, asked.spec, asked.key, asked.size, left)
            self.line.after(CLIENT_WAIT_MS, retry)


def _drop(store: Store, object_: int, before: float) -> None:
    store.purge(lambda key: key[0] == object_, before)


def _zipf(count: int, skew: float) -> list[float]:
    total, sums = 0.0, []
    for place in range(1, count + 1):
        total += place**-skew
        sums.append(total)
    return sums
