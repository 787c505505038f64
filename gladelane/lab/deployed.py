"""A generated deployment in virtual time: real directors, models of all they talk to, and the rules watched.

The decisions are those of the real `Router`, and what is sent is what the real `net.director.Director` lets
through just before a first byte. One deployment gives one run: nothing waits, asks a clock or opens a socket.
"""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from hashlib import blake2b
from typing import Any

from ..endpoints.plan import Endpoints
from ..interface import ClassSpec, Effect, Member, Note, Settings, State, Status
from ..net.config import ConnLimits, Flush, Instance, Notice, Pool
from ..net.director import STATES, Director
from ..net.ends import End
from ..net.exchange import Ask, Code, Exchange, Final
from ..net.wheel import TICK_MS, Wheel
from .checks import Broken, Monitor, Place, Reach
from .cold_falls import ColdFalls, ColdRule
from .deployments import (
    OBJECTS_OF_CLASS,
    Deployment,
    Fault,
    FaultKind,
    StoreSpec,
    class_of,
    group_of,
)
from .model.pipe import Pipe
from .model.stores import Build, Cache, Filled, Origin, Parent, Thing, Work
from .model.timeline import Timeline
from .virtual_sender import Sent, VirtualSender, VirtualWheel

START_MS = 10_000_000.0  # the clock at the start: 0 stands for 'never' in many places
SLACK_MS = 50.0  # on every limit, since directors are real and their loops have a pace
TOLD_MOST_MS = 7000.0  # an event counts as told so long after it, whether it has arrived or not
FILL_PACE = 3.0  # a fill is so many times as fast as a transfer to a client
ZIPF = 0.9  # skew of objects within a class
SIZE_SIGMA = 0.7  # of the logarithm of sizes
ERROR_MS = 2.0  # until a store that fails says so
RESETS_EVERY_MS = 150.0  # between moments at which connections to a store break
PURGE_TOLD_MS = (30.0, 400.0)  # until a director hears of a purge
AGEING_FROM = 0.8  # of the fresh time, from which a copy is renewed behind
KEYS_MOST = 10_000  # windows of keys that a director keeps
END_MS = 300.0  # after the last deadline, until the run is over

#: what makes a director: the real one, or one with a planted fault
MakeDirector = Callable[[Settings, int, Callable[[], float], Wheel, Endpoints, int], Director]


@dataclass(frozen=True, slots=True)
class Outcome:
    """What a run came to."""

    requests: int
    sends: int
    served: int
    falls: int  # cold stores that fell over, also where no rule was broken
    broken: tuple[Broken, ...]
    digest: str  # of every send and answer, with its moment


@dataclass(slots=True, eq=False)
class _Store:
    """A store as it truly is. `instance` is what the list would say now."""

    spec: StoreSpec
    model: Cache | Parent | None  # None: the origin
    member: Member
    up: bool = True
    started_ms: float = 0.0
    fallen: bool = False
    silent: bool = False
    error_part: float = 0.0


@dataclass(slots=True, eq=False)
class _Client:
    """One client's request through all its tries."""

    place: int  # of its class
    thing: Thing
    key: str
    due_ms: float  # of all its tries
    tries_left: int
    first_ms: float = 0.0


@dataclass(slots=True, eq=False)
class _Node:
    """A director with what belongs to it. `heard_ms`: events reach it in order."""

    name: str
    director: Director
    sender: VirtualSender
    wheel: VirtualWheel
    admitted: int = 0
    rev: int = 1
    heard_ms: float = 0.0
    works: dict[Sent, Work] = field(default_factory=dict)


class DeployedFleet:
    """One deployment, run once by `run`."""

    def __init__(self, deployment: Deployment, make_director: MakeDirector = Director) -> None:
        self.deployment = deployment
        self.line = Timeline()
        self.line.now = START_MS
        self.rng = random.Random(deployment.seed)
        self.settings = deployment.settings(0)
        self.specs = list(self.settings.classes.values())
        self.broken: list[Broken] = []
        self.counts: Counter[str] = Counter()
        self._digest = blake2b(digest_size=16)
        self._sizes: dict[Thing, float] = {}
        self._clients = 0
        self._list_factor = 1.0
        self.flow = self.settings.flow_kb_per_s / 1000.0  # KB a ms
        self._make_stores()
        self._make_monitors()
        self.nodes = [self._make_node(place, make_director) for place in range(len(deployment.directors))]
        self._start()

    def run(self) -> Outcome:
        faults = _FaultLog(self)
        program = logging.getLogger("gladelane")
        level, propagates = program.level, program.propagate
        program.addHandler(faults)
        program.setLevel(logging.ERROR)
        program.propagate = False
        try:
            longest = max(spec.deadline_ms for spec in self.specs)
            self.line.run(START_MS + self.deployment.span_ms + longest + END_MS)
        finally:
            program.removeHandler(faults)
            program.setLevel(level)
            program.propagate = propagates
        self.monitor.close(self.line.now)
        return Outcome(
            self.monitor.requests,
            self.monitor.sends,
            self.counts["served"],
            self.falls.falls,
            tuple(self.broken),
            self._digest.hexdigest(),
        )

    # --- making it

    def _make_stores(self) -> None:
        plan, line = self.deployment, self.line
        wide = self.flow * FILL_PACE
        self.origin = Origin(
            line,
            plan.origin_spec.workers,
            plan.origin_spec.service_ms,
            plan.origin_spec.room,
            Pipe(line, self.flow * plan.origin_spec.link, wide),
        )
        self.inlets = {z: Pipe(line, self.flow * link, wide) for z, link in plan.inlets.items()}
        self.stores: dict[str, _Store] = {}
        for spec in (*plan.caches, *plan.joining):
            cache = Cache(self.inlets[spec.zone], plan.most_fills, line, self._build_cache(spec))
            self._add_store(spec, cache)
        for spec in plan.parents:
            self._add_store(spec, Parent(self.origin, line, self._build_parent(spec)))
        self._add_store(plan.origin, None)

    def _build_cache(self, spec: StoreSpec) -> Build:
        link, s = self.flow * spec.link, self.settings
        return Build(self.deployment.cache_room_kb, link, self.flow, s.cold_from, s.warm_after_ms)

    def _build_parent(self, spec: StoreSpec) -> Build:
        link, s = self.flow * spec.link, self.settings
        room = self.deployment.parent_room_kb
        return Build(room, link, self.flow * FILL_PACE, s.parent_cold_from, s.parent_cold_ms)

    def _add_store(self, spec: StoreSpec, model: Cache | Parent | None) -> None:
        started = START_MS - spec.age_ms if spec.age_ms else 0.0
        member = Member(spec.name, spec.zone, spec.kind, spec.cell, State.READY, spec.weight, started)
        self.stores[spec.name] = _Store(spec, model, member, started_ms=started)

    def _make_monitors(self) -> None:
        s, told = self.settings, self.broken.append
        self.monitor = Monitor(
            s.drain_grace_ms,
            s.purge_grace_ms,
            s.answer_grace_ms,
            told,
            s.second_copies,
            slack_ms=SLACK_MS,
            most_attempts=s.max_attempts,
            places={name: Place(store.spec.zone, store.spec.cell) for name, store in self.stores.items()},
        )
        self.reach = Reach(s, told)
        self.falls = ColdFalls(told)
        self._cold_cache = ColdRule(s.cold_from, s.warm_after_ms, s.fall_multiple, s.fall_ms)
        self._cold_parent = ColdRule(s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple, s.fall_ms)

    def _make_node(self, place: int, make_director: MakeDirector) -> _Node:
        settings = self.deployment.settings(place)
        seed = self.deployment.seed + place
        name = f"d{place}"
        wheel = VirtualWheel(self._clock)
        endpoints = Endpoints(random.Random(seed))
        director = make_director(settings, seed, self._clock, wheel, endpoints, KEYS_MOST)
        limits = self.deployment.wire["limits"]
        conn = ConnLimits(limits["max_streams"], limits["dial_timeout_ms"], limits["conn_idle_ms"])
        sender = VirtualSender(name, director, self.line, self, self, conn)
        director.sender = sender
        return _Node(name, director, sender, wheel)

    def _clock(self) -> float:
        return self.line.now

    def _start(self) -> None:
        plan = self.deployment
        joining = {spec.name for spec in plan.joining}
        for name, store in self.stores.items():
            if name in joining:
                store.up = False
            elif store.started_ms:
                self._begin_cold(store)
        if plan.filled_at_start:
            self._fill_stores()
        first = [store.member for name, store in self.stores.items() if name not in joining]
        for node in self.nodes:
            node.heard_ms = START_MS
            self._hear_list(node, first, reset=True)
        for fault in plan.faults:
            self.line.at(START_MS + fault.at_ms, partial(self._strike, fault))
        self._popular = [_zipf(load.objects) for load in plan.classes]
        self.line.after(self.rng.uniform(0.0, TICK_MS), self._turn_wheels)
        self.line.after(self._gap(), self._arrive)

    def _fill_stores(self) -> None:
        """What was asked for lately, at the lowest rank."""
        for store in self.stores.values():
            if store.model is None or store.started_ms or not store.up:
                continue
            for place, load in enumerate(self.deployment.classes):
                if not self.specs[place].cacheable:
                    continue
                for object_ in range(min(load.objects, 25)):
                    thing = place * OBJECTS_OF_CLASS + object_, self.rng.randrange(load.parts)
                    dated = START_MS - self.rng.uniform(0.0, 20_000.0)
                    store.model.copies.keep(thing, 1, self._size(thing), dated)

    def _turn_wheels(self) -> None:
        for node in self.nodes:
            node.wheel.turn()
        self.line.after(TICK_MS, self._turn_wheels)

    # --- the list and purges

    def _announce(self, store: _Store, state: State) -> None:
        """A change of the list, to each director in its time."""
        store.member = Member(
            store.spec.name,
            store.spec.zone,
            store.spec.kind,
            store.spec.cell,
            state,
            store.spec.weight,
            store.started_ms,
        )
        least, most = self.deployment.network.list_delay_ms
        for node in self.nodes:
            delay = min(self.rng.uniform(least, most) * self._list_factor, TOLD_MOST_MS)
            node.heard_ms = max(node.heard_ms, self.line.now + delay)
            self.line.at(node.heard_ms, partial(self._hear_list, node, [store.member]))

    def _hear_list(self, node: _Node, members: list[Member], reset: bool = False) -> None:
        for member in members:
            self.reach.listed(node.name, member.store)
            self.monitor.listed(node.name, member.store, member.state is State.READY, self.line.now)
            if member.state is State.READY and member.came_up_ms:
                self.falls.told(node.name, member.store, member.came_up_ms)
        node.rev += 1
        node.director.notice(Notice(node.rev, pool=Pool([_instance(m) for m in members], reset)))

    def _purge(self, fault: Fault) -> None:
        at = float(int(self.line.now))
        for store in self.stores.values():
            if store.model is not None:
                drop = self.rng.uniform(0.2, 1.0) * self.settings.purge_done_ms
                self.line.after(drop, partial(_drop, store.model, fault, at))
        for node in self.nodes:
            node.heard_ms = max(node.heard_ms, self.line.now + self.rng.uniform(*PURGE_TOLD_MS))
            self.line.at(node.heard_ms, partial(self._hear_purge, node, fault, at))

    def _hear_purge(self, node: _Node, fault: Fault, at: float) -> None:
        node.rev += 1
        if fault.kind is FaultKind.PURGE_OBJECT:
            self.monitor.purged(node.name, fault.object, at, self.line.now)
            flush = Flush(at, asset=f"{fault.object:016x}")
        else:
            self.monitor.purged_group(node.name, fault.group, at, self.line.now)
            flush = Flush(at, collection=fault.group)
        node.director.notice(Notice(node.rev, flush=flush))

    # --- faults

    def _strike(self, fault: Fault) -> None:
        if fault.kind in (FaultKind.PURGE_OBJECT, FaultKind.PURGE_GROUP):
            self._purge(fault)
        elif fault.kind is FaultKind.SLOW_ORIGIN:
            self._for_a_while(fault, partial(setattr, self.origin, "slow"), fault.factor, 1.0)
        elif fault.kind is FaultKind.LATE_LISTS:
            self._for_a_while(fault, partial(setattr, self, "_list_factor"), fault.factor, 1.0)
        else:
            self._strike_store(fault, self.stores[fault.store])

    def _strike_store(self, fault: Fault, store: _Store) -> None:
        if fault.kind is FaultKind.JOIN:
            self._begin(store)
        elif fault.kind is FaultKind.CRASH and store.up:
            self._crash(store)
            self.line.after(fault.lasts_ms, partial(self._begin, store))
        elif fault.kind is FaultKind.DRAIN and store.up:
            self._announce(store, State.DRAINING)
            self.line.after(max(fault.lasts_ms, 1000.0), partial(self._leave, store))
        elif fault.kind is FaultKind.ERRORS:
            self._for_a_while(fault, partial(setattr, store, "error_part"), fault.factor, 0.0)
        elif fault.kind is FaultKind.SILENCE:
            self._for_a_while(fault, partial(setattr, store, "silent"), True, False)
        elif fault.kind is FaultKind.RESETS:
            self._reset(store, fault.factor, self.line.now + fault.lasts_ms)

    def _for_a_while(self, fault: Fault, put: Callable[[Any], None], value: Any, usual: Any) -> None:
        put(value)
        self.line.after(fault.lasts_ms, partial(put, usual))

    def _reset(self, store: _Store, part: float, until: float) -> None:
        for node in self.nodes:
            node.sender.break_connections(store.spec.name, lambda: self.rng.random() < part)
        if self.line.now < until:
            self.line.after(RESETS_EVERY_MS, partial(self._reset, store, part, until))

    def _crash(self, store: _Store) -> None:
        self._die(store)
        self._announce(store, State.GONE)

    def _leave(self, store: _Store) -> None:
        if store.up:
            store.fallen = True  # it does not come back
            self._crash(store)

    def _die(self, store: _Store) -> None:
        store.up = False
        self.falls.stopped(store.spec.name)
        if store.model is not None:
            store.model.crash()
        for node in self.nodes:
            breaks = partial(node.sender.break_connections, store.spec.name)
            self.line.after(self.way(node.director.settings.zone, store.spec.name), breaks)

    def _begin(self, store: _Store) -> None:
        if store.up or store.fallen:
            return
        store.up = True
        store.started_ms = self.line.now
        self._begin_cold(store)
        self._announce(store, State.READY)

    def _begin_cold(self, store: _Store) -> None:
        if store.model is None:
            return
        store.model.start()
        rule = self._cold_parent if isinstance(store.model, Parent) else self._cold_cache
        self.falls.started(store.spec.name, store.started_ms, store.spec.link, rule)

    def _reached(self, store: _Store, sent: Sent) -> bool:
        """Whether a store still stands after this came to it."""
        work = self.deployment.mean_work_ms(class_of(_object(sent)))
        told = self.falls.is_told(sent.director, store.spec.name)
        if not self.falls.reached(store.spec.name, work, told, self.line.now):
            return True
        store.fallen = True
        self._crash(store)
        return False

    # --- the network, for the senders

    def way(self, zone: str, store: str) -> float:
        net = self.deployment.network
        way = net.near_ms if self.stores[store].spec.zone == zone else net.far_ms
        return way * (1.0 + net.jitter * self.rng.random())

    def dial_ms(self, zone: str, store: str) -> float:
        net = self.deployment.network
        slow = net.slow_dial_ms if self.rng.random() < net.slow_dial_chance else 0.0
        return 2.0 * self.way(zone, store) + slow

    def dial_end(self, store: str) -> End | None:
        one = self.stores[store]
        if one.silent:
            return End.DIAL_TIMED_OUT
        return None if one.up else End.REFUSED

    def answer_ms(self, sent: Sent) -> float | None:
        net = self.deployment.network
        if self.rng.random() < net.lost_answer_chance or self.stores[sent.store].silent:
            return None
        late = net.late_answer_ms if self.rng.random() < net.late_answer_chance else 0.0
        return self.way(sent.zone, sent.store) + late

    def aborted(self, sent: Sent) -> None:
        node = self._node(sent)
        work = node.works.pop(sent, None)
        if work is not None and not work.over:
            work.over = True
            model = self.stores[sent.store].model
            if isinstance(model, Cache):
                model.abort(work)

    def _node(self, sent: Sent) -> _Node:
        return self.nodes[int(sent.director[1:])]

    # --- what is watched on the wire

    def written(self, sent: Sent) -> None:
        number, now = sent.attempt.exchange.request.id, self.line.now
        self._trace("sent", sent.director, number, sent.attempt.number, sent.store, sent.source)
        source = self.stores[sent.source].member if sent.source else None
        self.reach.sent(sent.director, sent.zone, self.stores[sent.store].member, source, now)
        self.monitor.sent(sent.director, number, sent.attempt.number, sent.store, sent.source, now)

    def ended(self, sent: Sent, status: Status, dated_ms: float | None) -> None:
        number, object_ = sent.attempt.exchange.request.id, _object(sent)
        cacheable = sent.attempt.exchange.spec.cacheable
        self.monitor.ended(
            sent.director,
            number,
            sent.attempt.number,
            status,
            self.line.now,
            object_,
            dated_ms if cacheable else None,
            group_of(object_),
        )

    def cancelled(self, sent: Sent) -> None:
        if not self.settings.cancel:
            what = f"{sent.attempt.exchange.request.id} is cancelled, which is not allowed"
            self.broken.append(Broken("cancel", self.line.now, sent.director, what))

    def _trace(self, *words: Any) -> None:
        self._digest.update(f"{self.line.now:.6f} {words}\n".encode())

    # --- at the stores

    def arrived(self, sent: Sent) -> None:
        store = self.stores[sent.store]
        if store.silent:
            return
        if not store.up:
            self._node(sent).sender.break_connections(sent.store)
            return
        if not self._reached(store, sent) or sent.given_up:
            return
        thing = _object(sent), sent.attempt.exchange.request.part
        work = Work(thing, self._size(thing), partial(self._answer, sent), least_date=self._least_date(sent))
        self._node(sent).works[sent] = work
        if self.rng.random() < store.error_part:
            self.line.after(ERROR_MS, partial(work.finish, Status.ERROR))
        elif store.model is None:
            self.origin.fetch(work.size, partial(_finish_straight, work))
        elif isinstance(store.model, Parent):
            straight = partial(_finish_straight, work)
            store.model.get(thing, work.size, self._oldest(sent), straight, not sent.source)
        else:
            self._serve(store.model, sent, work)

    def _serve(self, cache: Cache, sent: Sent, work: Work) -> None:
        spec, oldest = sent.attempt.exchange.spec, self._oldest(sent)
        fill = partial(self._ask_source, sent, work) if sent.source else None
        rank = sent.rank if spec.cacheable else 0
        held = cache.held(work.thing, oldest)
        ageing = held is not None and self.line.now - held >= spec.fresh_ms * AGEING_FROM > 0.0
        cache.serve(work, rank, oldest, "coalesce" in sent.hints and self.settings.joins, fill)
        if ageing and "freshen" in sent.hints and fill is not None:
            cache.renew(work.thing, work.size, rank, fill)

    def _oldest(self, sent: Sent) -> float:
        """The date of the oldest copy that will do."""
        spec = sent.attempt.exchange.spec
        if not spec.cacheable:
            return float("inf")
        age = sent.max_age_ms or spec.fresh_ms
        if spec.fresh_ms:
            age = min(age, spec.fresh_ms + spec.grace_ms)
        return self.line.now - age if age else 0.0

    def _least_date(self, sent: Sent) -> float:
        spec = sent.attempt.exchange.spec
        return self.line.now - spec.fresh_ms - spec.grace_ms if spec.fresh_ms and spec.cacheable else 0.0

    def _ask_source(self, sent: Sent, work: Work, came: Filled) -> None:
        way = self.way(sent.zone, sent.source)

        def back(dated: float | None, asked: bool) -> None:
            self.line.after(self.way(sent.zone, sent.source), partial(came, dated, asked))

        self.line.after(way, partial(self._at_source, sent, work, back))

    def _at_source(self, sent: Sent, work: Work, back: Filled) -> None:
        source = self.stores[sent.source]
        if source.silent or not source.up:
            return  # the cache gives the fill up
        if not self._reached(source, sent):
            return
        if self.rng.random() < source.error_part:
            self.line.after(ERROR_MS, partial(back, None, True))
        elif source.model is None:
            self.origin.fetch(work.size, lambda dated: back(dated, True))
        elif isinstance(source.model, Parent):
            holds_only = "shallow" in sent.hints
            source.model.get(work.thing, work.size, self._oldest(sent), back, holds_only)
        else:  # another cache gives only what it holds
            back(source.model.held(work.thing, self._oldest(sent)), False)

    def _answer(self, sent: Sent, status: Status, note: Note, dated: float) -> None:
        self._node(sent).works.pop(sent, None)
        if status is Status.RESET:
            return  # the connection has ended, and tells more
        request = sent.attempt.exchange.request
        sent.body = _body(request.object - 1, request.part)
        sent.answer(status, self._note_told(note), dated)

    def _note_told(self, note: Note) -> Note:
        notes = self.settings.notes
        if notes == "hit":
            if note in (Note.PARENT_HELD, Note.FROM_ORIGIN):
                return Note.PARENT_HELD
            return note if note in (Note.HIT, Note.JOINED, Note.AGED) else Note.UNTOLD
        return note if notes == "all" else Note.UNTOLD

    def _size(self, thing: Thing) -> float:
        size = self._sizes.get(thing)
        if size is None:
            mean = self.deployment.classes[class_of(thing[0])].mean_kb
            spread = self.rng.lognormvariate(-SIZE_SIGMA * SIZE_SIGMA / 2.0, SIZE_SIGMA)
            size = self._sizes[thing] = max(mean * spread, 0.5)
        return size

    # --- clients

    def _gap(self) -> float:
        return self.rng.expovariate(self.deployment.rate / 1000.0)

    def _arrive(self) -> None:
        plan = self.deployment
        if self.line.now > START_MS + plan.span_ms:
            return
        self.line.after(self._gap(), self._arrive)
        shares = [load.share for load in plan.classes]
        place = self.rng.choices(range(len(shares)), shares)[0]
        load, spec = plan.classes[place], self.specs[place]
        object_ = self.rng.choices(range(load.objects), cum_weights=self._popular[place])[0]
        self._clients += 1
        key = f"{self._clients:032x}" if spec.effect is Effect.KEYED else ""
        thing = place * OBJECTS_OF_CLASS + object_, self.rng.randrange(load.parts)
        due = self.line.now + spec.deadline_ms
        client = _Client(place, thing, key, due, plan.clients.retries, self.line.now)
        self._try(client)

    def _try(self, client: _Client) -> None:
        plan, now = self.deployment, self.line.now
        spec = self.specs[client.place]
        wait = min(self.rng.uniform(plan.clients.patience, 1.0) * spec.deadline_ms, client.due_ms - now)
        if wait < 1.0:
            return
        node = self.rng.choice(self.nodes)
        node.admitted += 1
        number = node.admitted  # as the director counts them
        object_, part = client.thing
        self.counts["asked"] += 1
        ask = Ask(
            id=f"{self.counts['asked']:016x}",
            cls=spec.name,
            wait_ms=wait,
            object=f"{object_:016x}",
            part=part,
            group=group_of(object_),
            size_kb=self._size(client.thing) if plan.sizes_told else 0.0,
            key=client.key,
        )
        self.monitor.request(node.name, number, spec, now + wait, client.key)
        exchange = node.director.admit(ask, partial(self._deliver, node, number, client))
        if self.rng.random() < plan.clients.leave_chance:
            self.line.after(wait * self.rng.random(), partial(self._leave_early, node, number, exchange))

    def _leave_early(self, node: _Node, number: int, exchange: Exchange) -> None:
        if not exchange.done:
            self.monitor.withdrawn(node.name, number)
            node.director.gone(exchange)

    def _deliver(self, node: _Node, number: int, client: _Client, final: Final) -> None:
        self._trace("final", node.name, number, final.code)
        self.monitor.final(node.name, number, self.line.now, refused=final.code is Code.REFUSED)
        self.counts[final.code.name.lower()] += 1
        if final.code is Code.SERVED:
            if final.body != _body(*client.thing):
                what = f"{number} is answered with what no cache made for it"
                self.broken.append(Broken("answer", self.line.now, node.name, what))
        elif client.tries_left and self._comes_again(client, final):
            client.tries_left -= 1
            wait = self.deployment.clients.wait_ms + final.come_back_ms
            self.line.after(wait, partial(self._try, client))

    def _comes_again(self, client: _Client, final: Final) -> bool:
        spec: ClassSpec = self.specs[client.place]
        if final.code is Code.REFUSED or spec.effect is Effect.SAFE:
            return True
        within = self.line.now - client.first_ms < spec.window_ms
        return spec.effect is Effect.KEYED and spec.group == "all" and within


class _FaultLog(logging.Handler):
    """A director that logs an error has met a fault of its own: none of what comes to it here is odd."""

    def __init__(self, fleet: DeployedFleet) -> None:
        super().__init__(logging.ERROR)
        self.fleet = fleet

    def emit(self, record: logging.LogRecord) -> None:
        cause = f": {record.exc_info[1]!r}" if record.exc_info else ""
        broken = Broken("fault", self.fleet.line.now, "", f"{record.getMessage()}{cause}")
        self.fleet.broken.append(broken)


_LIFECYCLES = {state: word for word, state in STATES.items()}


def _instance(member: Member) -> Instance:
    """As the notice board words it. Each store has an address of its own, made of its name."""
    digest = blake2b(member.store.encode(), digest_size=3).digest()
    return Instance(
        instance_id=member.store,
        host_port=f"10.{digest[0]}.{digest[1]}.{digest[2]}:4100",
        zone=member.zone,
        machine_type=member.kind,
        lifecycle=_LIFECYCLES[member.state],
        cell=member.cell,
        weight=member.weight,
        started_at_ms=member.came_up_ms,
    )


def _object(sent: Sent) -> int:
    """The module counts objects from 1."""
    return sent.attempt.exchange.request.object - 1


def _body(object_: int, part: int) -> bytes:
    return f"{object_}:{part}".encode()


def _finish_straight(work: Work, dated: float | None, asked: bool = True) -> None:
    if dated is not None:
        work.finish(Status.OK, Note.FROM_ORIGIN if asked else Note.HIT, dated)
    else:
        work.finish(Status.FULL if asked else Status.MISS)


def _drop(model: Cache | Parent, fault: Fault, before_ms: float) -> None:
    def covered(thing: Thing) -> bool:
        return thing[0] == fault.object or (fault.group >= 0 and group_of(thing[0]) == fault.group)

    model.purge(covered, before_ms)


def _zipf(count: int) -> list[float]:
    total, sums = 0.0, []
    for place in range(1, count + 1):
        total += place**-ZIPF
        sums.append(total)
    return sums
