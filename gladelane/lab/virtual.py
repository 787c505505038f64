"""A fleet in virtual time: real routers, models of all they talk to, clients, and the rules watched.

Nothing here waits or asks a clock. One seed gives one run: randomness comes from generators of the fleet's
own, and what falls on one instant comes in the order in which it was set.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from hashlib import blake2b
from typing import Any

from ..choice import Router
from ..interface import (
    Action,
    Cancel,
    ClassSpec,
    Event,
    Fail,
    Fetch,
    ListKind,
    Lookup,
    Member,
    Members,
    Note,
    Outcome,
    Purge,
    Refuse,
    Request,
    SetTimer,
    Settings,
    State,
    Status,
    Timer,
)
from .checks import Broken, Monitor
from .model.pipe import Pipe
from .model.stores import Build, Cache, Filled, Keeper, Origin, Parent, Work
from .model.timeline import Moment, Timeline

WRITE_KB = 1.0
FILL_PACE = 3.0  # a fill is so many times as fast as a transfer to a client
CLIENT_WAIT_MS = 100.0  # before a client asks again
CLASS_SHARES = (0.5, 0.4, 0.08, 0.02)  # of the requests, as the settings list their classes


@dataclass(frozen=True, slots=True)
class Plan:
    """Sizes and paces of a fleet. KB, ms; `rate` requests a second in all."""

    settings: Settings
    caches: int = 3  # a location
    locations: int = 3
    parents: int = 2
    directors: int = 1  # a location
    rate: float = 200.0
    objects: int = 2000
    zipf: float = 0.9
    mean_kb: float = 400.0
    cache_room_kb: float = 60_000.0
    parent_room_kb: float = 300_000.0
    link: float = 8.0  # of a cache, in transfers at full pace
    parent_link: float = 40.0
    near_ms: float = 0.5
    far_ms: float = 10.0
    origin_workers: int = 16
    origin_ms: float = 30.0
    origin_room: int = 400
    origin_link: float = 60.0
    cache_fills: int = 64  # under way at one cache at most
    client_tries: int = 2
    list_ms: float = 1500.0  # until a director hears of a change
    drop_ms: float = 4000.0  # until stores have dropped what was purged


@dataclass(slots=True)
class _Asked:
    """A request at a director, and the client behind it."""

    number: int
    spec: ClassSpec
    size: float
    thing: tuple[int, int]
    came: float
    tries_left: int
    done: bool = False
    works: dict[int, tuple[Work, Callable[[Work], None], Moment]] = field(default_factory=dict)
    sends: int = 0


class Director:
    """Drives one router, as `net.director` does, against models in place of sockets."""

    def __init__(self, fleet: Fleet, name: str, zone: str, seed: int) -> None:
        self.fleet, self.name = fleet, name
        self.settings = replace(fleet.plan.settings, zone=zone)
        self.router = Router(self.settings, seed)
        self.open: dict[int, _Asked] = {}
        self.numbers = 0

    def tell(self, event: Event) -> None:
        for action in self.router.handle(self.fleet.line.now, event):
            self._act(action)

    def ask(self, spec: ClassSpec, thing: tuple[int, int], size: float, tries_left: int) -> None:
        now = self.fleet.line.now
        self.numbers += 1
        asked = _Asked(self.numbers, spec, size, thing, now, tries_left)
        self.open[asked.number] = asked
        due = now + spec.deadline_ms
        self.fleet.monitor.request(self.name, asked.number, spec, due)
        self.tell(Request(asked.number, spec.name, thing[0] + 1, due, size, 0, thing[1]))

    def _act(self, action: Action) -> None:
        match action:
            case Fetch() | Lookup():
                self._send(action)
            case Cancel():
                asked = self.open.get(action.id)
                if asked is not None and action.attempt in asked.works:
                    self._ended(asked, action.attempt, Status.CANCELLED)
            case Refuse():
                self._final(action.id, Status.FULL, refused=True)
            case Fail():
                self._final(action.id, Status.ERROR)
            case SetTimer():
                self.fleet.line.at(action.due_ms, partial(self.tell, Timer(action.token)))
            case _:
                pass

    def _send(self, action: Fetch | Lookup) -> None:
        asked = self.open.get(action.id)
        if asked is not None:
            self._send_for(asked, action)

    def _send_for(self, asked: _Asked, action: Fetch | Lookup) -> None:
        fleet = self.fleet
        number = asked.sends
        asked.sends += 1
        source = action.source if isinstance(action, Fetch) and action.source != action.store else ""
        if asked.done:
            moot = Outcome(asked.number, number, action.store, Status.MOOT, over=True)
            fleet.line.after(0.0, partial(self.tell, moot))
            return
        fleet.monitor.sent(self.name, asked.number, number, action.store, source, fleet.line.now)
        fleet.trace(self.name, asked.number, number, action.store, source)

        def end(status: Status, note: Note, dated: float) -> None:
            back = fleet.way(self.settings.zone, action.store)
            fleet.line.after(back, lambda: self._ended(asked, number, status, note, dated))

        work = Work(asked.thing, asked.size, end)
        stop = fleet.send(self.settings.zone, action, source, asked.spec, work)
        due = min(fleet.line.now + action.timeout_ms, asked.came + asked.spec.deadline_ms)
        timer = fleet.line.at(due, partial(self._ended, asked, number, Status.TIMEOUT))
        asked.works[number] = work, stop, timer

    def _ended(
        self,
        asked: _Asked,
        number: int,
        status: Status,
        note: Note = Note.UNTOLD,
        dated: float | None = None,
    ) -> None:
        if number not in asked.works:
            return
        work, stop, timer = asked.works.pop(number)
        timer.cancel()
        if not work.over:
            work.over = True
            stop(work)
        now = self.fleet.line.now
        self.fleet.monitor.ended(self.name, asked.number, number, status, now, asked.thing[0], dated)
        if status is Status.OK and not asked.done:
            self._finish(asked, status, note)
        told = note if self.settings.notes == "all" or note in (Note.HIT, Note.AGED) else Note.UNTOLD
        store = self.fleet.sent_to(work)
        self.tell(Outcome(asked.number, number, store, status, note=told, over=asked.done))
        if asked.done and not asked.works:
            self.open.pop(asked.number, None)

    def _final(self, number: int, status: Status, refused: bool = False) -> None:
        asked = self.open.get(number)
        if asked is not None and not asked.done:
            self._finish(asked, status, refused=refused)
            if not asked.works:
                self.open.pop(number, None)

    def _finish(self, asked: _Asked, status: Status, note: Note = Note.UNTOLD, refused: bool = False) -> None:
        asked.done = True
        self.fleet.monitor.final(self.name, asked.number, self.fleet.line.now, refused)
        self.fleet.answered(self, asked, status, note)


class Fleet:
    """All of it. `run` may be called again to go on."""

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
        self.worth = self.worth_asked = 0.0
        flow = s.flow_kb_per_s / 1000.0
        out = Pipe(self.line, flow * plan.origin_link, flow * FILL_PACE)
        self.origin = Origin(self.line, plan.origin_workers, plan.origin_ms, plan.origin_room, out)
        hub = Build(
            plan.parent_room_kb,
            flow * plan.parent_link,
            flow * FILL_PACE,
            s.parent_cold_from,
            s.parent_cold_ms,
        )
        self.parents = {f"p{n}": Parent(self.origin, self.line, hub) for n in range(plan.parents)}
        edge = Build(plan.cache_room_kb, flow * plan.link, flow, s.cold_from, s.warm_after_ms)
        self.zones = [f"z{n}" for n in range(plan.locations)]
        self.caches: dict[str, Cache] = {}
        self.members: dict[str, Member] = {}
        for zone in self.zones:
            inlet = Pipe(self.line, flow * plan.link * plan.caches, flow * FILL_PACE)
            for n in range(plan.caches):
                name = f"{zone}c{n}"
                self.caches[name] = Cache(inlet, plan.cache_fills, self.line, edge)
                self.members[name] = Member(name, zone, "box", weight=plan.link)
        for name in self.parents:
            self.members[name] = Member(name, "hub", s.parent_kind, weight=plan.parent_link)
        self.members["root"] = Member("root", "hub", s.origin_kind)
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

    def run(self, until_ms: float) -> None:
        self.line.run(until_ms)
        # each try has one end or is still open: what went missing would be neither
        open_ = sum(not asked.done for director in self.directors for asked in director.open.values())
        if self.monitor.requests != self.monitor.answers + open_:
            told = f"{self.monitor.requests} tries, {self.monitor.answers} answers, {open_} open"
            raise AssertionError(told)

    def digest(self) -> str:
        """Of every send and answer so far, with its moment."""
        return self._digest.hexdigest()

    def trace(self, *words: Any) -> None:
        self._digest.update(f"{self.line.now:.6f} {words}\n".encode())

    # --- faults

    def crash(self, store: str) -> None:
        self._keeper(store).crash()
        self._list(replace(self.members[store], state=State.GONE))

    def restart(self, store: str) -> None:
        self._keeper(store).start()
        self._list(replace(self.members[store], state=State.READY, came_up_ms=self.line.now))

    def drain(self, store: str) -> None:
        self._list(replace(self.members[store], state=State.DRAINING))

    def purge(self, object_: int) -> None:
        at = self.line.now
        for keeper in (*self.caches.values(), *self.parents.values()):
            self.line.after(self.plan.drop_ms, partial(_drop, keeper, object_, at))
        for director in self.directors:
            self.line.after(self.plan.list_ms, partial(self._told_purge, director, object_, at))

    def _told_purge(self, director: Director, object_: int, at: float) -> None:
        self.monitor.purged(director.name, object_, at, self.line.now)
        director.tell(Purge(object_ + 1, 0, self.line.now - at))

    def _keeper(self, store: str) -> Cache | Parent:
        return self.caches[store] if store in self.caches else self.parents[store]

    def _list(self, member: Member) -> None:
        self.members[member.store] = member
        for director in self.directors:
            self.line.after(self.plan.list_ms, partial(self._told, director, member))

    def _told(self, director: Director, member: Member) -> None:
        self.monitor.listed(director.name, member.store, member.state is State.READY, self.line.now)
        director.tell(Members(ListKind.CHANGES, (member,)))

    # --- the network

    def way(self, zone: str, store: str) -> float:
        return self.plan.near_ms if self.members[store].zone == zone else self.plan.far_ms

    def sent_to(self, work: Work) -> str:
        return self._to.pop(work)

    def send(
        self, zone: str, action: Fetch | Lookup, source: str, spec: ClassSpec, work: Work
    ) -> Callable[[Work], None]:
        """Starts it after its way there; what is given stops it."""
        self._to[work] = action.store
        there = partial(self._arrived, zone, action, source, spec, work)
        self.line.after(self.way(zone, action.store), there)
        cache = self.caches.get(action.store)
        return cache.abort if cache is not None else (lambda work: None)

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
        oldest = self._oldest(action, spec)
        if action.store in self.parents:
            self.parents[action.store].get(work.thing, work.size, oldest, straight)
            return
        cache = self.caches[action.store]
        if not cache.up:
            work.finish(Status.CONNECT_FAILED)
            return
        rank, join = (action.rank, action.join) if isinstance(action, Fetch) else (0, False)
        fill = self._from(zone, source, work.thing, work.size, oldest) if source else None
        cache.serve(work, rank, oldest, join, fill)

    def _oldest(self, action: Fetch | Lookup, spec: ClassSpec) -> float:
        age = (action.max_age_ms if isinstance(action, Fetch) else 0.0) or spec.fresh_ms
        return self.line.now - age if age else 0.0

    def _from(
        self, zone: str, source: str, thing: tuple[int, int], size: float, oldest: float
    ) -> Callable[[Filled], None]:
        def ask(came: Filled) -> None:
            back, way = partial(self._back, zone, source, came), self.way(zone, source)
            if source == "root":
                self.line.after(way, partial(self.origin.fetch, size, lambda dated: back(dated, True)))
            elif source in self.parents:
                self.line.after(way, partial(self.parents[source].get, thing, size, oldest, back))

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
        sizes = random.Random(object_)  # an object's size is its own
        size = max(sizes.lognormvariate(0.0, 0.8) * self.plan.mean_kb, 1.0) if spec.cacheable else WRITE_KB
        self.worth_asked += spec.worth
        self.counts["asked"] += 1
        self._try(zone, spec, (object_, 0), size, self.plan.client_tries)

    def _try(self, zone: str, spec: ClassSpec, thing: tuple[int, int], size: float, left: int) -> None:
        self.rng.choice(self._there[zone]).ask(spec, thing, size, left)

    def answered(self, director: Director, asked: _Asked, status: Status, note: Note) -> None:
        self.trace(director.name, asked.number, status.value, note.value)
        self.counts[f"{status.value}"] += 1
        if status is Status.OK:
            self.counts["hits"] += note is Note.HIT
            aim = asked.spec.aim_for(asked.size, self.plan.settings.flow_kb_per_s)
            late = self.line.now - asked.came > aim
            self.worth += asked.spec.worth * (asked.spec.late_worth if late else 1.0)
        elif asked.tries_left and status is Status.FULL:
            self.counts["tried again"] += 1
            zone, left = director.settings.zone, asked.tries_left - 1
            again = partial(self._try, zone, asked.spec, asked.thing, asked.size, left)
            self.line.after(CLIENT_WAIT_MS, again)


def _drop(keeper: Keeper, object_: int, before: float) -> None:
    keeper.purge(lambda thing: thing[0] == object_, before)


def _zipf(count: int, skew: float) -> list[float]:
    total, sums = 0.0, []
    for place in range(1, count + 1):
        total += place**-skew
        sums.append(total)
    return sums
