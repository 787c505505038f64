"""A generated deployment in virtual time: real directors, models of all they talk to, and the rules watched.

The decisions are those of the real `Router`, and what is sent is what the real `net.director.Director` lets
through just before a first byte. One deployment gives one run: nothing waits, asks a clock or opens a socket.
"""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from hashlib import blake2b
from typing import Any

from ..clock import UnixMs
from ..discovery.events import Instance, ListChange, PurgeEvent, WatchEvent
from ..endpoints.plan import Endpoints
from ..net.config import ConnLimits
from ..net.director import Director
from ..net.endpoint_list import STATES
from ..net.exchange import AnswerCode
from ..routing.events import Member, Settings, State, Status
from ..timer_wheel import TICK_MS, TimerWheel
from .checks import Broken, Monitor, Place, Reach
from .cold_falls import ColdFalls
from .deployed_clients import ClientSide, DirectorHandle
from .deployed_clocks import WallClocks
from .deployed_stores import Store, StoreSide, object_of
from .deployments import Deployment, Fault, FaultKind, director_name, group_of
from .model.timeline import Timeline
from .virtual_sender import Sent, VirtualSender, VirtualTimers

START_MS = 10_000_000.0  # the clock at the start: 0 stands for 'never' in many places
SLACK_MS = 50.0  # on every limit, since directors are real and their loops have a pace
TOLD_MOST_MS = 7000.0  # an event counts as told so long after it, whether it has arrived or not
DRAIN_LEAST_MS = 1000.0  # from the word that a store drains until it leaves
RESETS_EVERY_MS = 150.0  # between moments at which connections to a store break
PURGE_TOLD_MS = (30.0, 400.0)  # until a director hears of a purge
KEYS_MOST = 10_000  # windows of keys that a director keeps
END_MS = 300.0  # after the last deadline, until the run is over

#: what makes a director: the real one, or one with a planted fault
MakeDirector = Callable[[Settings, int, Callable[[], float], TimerWheel, Endpoints, int], Director]


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
class _Node:
    """A director with what belongs to it. `heard_ms`: events reach it in order."""

    name: str
    director: Director
    sender: VirtualSender
    wheel: VirtualTimers
    rev: int = 1
    heard_ms: float = 0.0


class DeployedFleet:
    """One deployment, run once by `run`. It watches what crosses the wire."""

    def __init__(self, deployment: Deployment, make_director: MakeDirector = Director) -> None:
        self.deployment = deployment
        self.line = Timeline()
        self.line.now = START_MS
        self.rng = random.Random(deployment.seed)
        self.settings = deployment.settings(0)
        self.clocks = WallClocks(deployment.clocks, START_MS)
        self.broken: list[Broken] = []
        self._digest = blake2b(digest_size=16)
        self._list_factor = 1.0
        self.falls = ColdFalls(self.broken.append)
        self.side = StoreSide(deployment, self.line, self.rng, self.falls, self._crash)
        self.side.broken_off = self._break_off
        self.stores = self.side.stores
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
            self._run_to_the_end()
        finally:
            program.removeHandler(faults)
            program.setLevel(level)
            program.propagate = propagates
        self.monitor.close(self.line.now)
        return Outcome(
            self.monitor.requests,
            self.monitor.sends,
            self.clients.counts["served"],
            self.falls.falls,
            tuple(self.broken),
            self._digest.hexdigest(),
        )

    def _run_to_the_end(self) -> None:
        """Until nobody waits for anything, or all ought to have been answered."""
        longest = max(spec.deadline_ms for spec in self.settings.classes.values())
        until = START_MS + self.deployment.duration_ms + longest + END_MS
        self.line.run(START_MS + self.deployment.duration_ms)
        while self.line.now < until and (
            self.clients.waiting or any(n.director.has_pending() for n in self.nodes)
        ):
            self.line.run(min(self.line.now + END_MS, until))

    # --- making it

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

    def _make_node(self, place: int, make_director: MakeDirector) -> _Node:
        settings = self.deployment.settings(place)
        seed = self.deployment.seed + place
        name = director_name(place)
        clock = self._director_clock(name)
        wheel = VirtualTimers(clock)
        endpoints = Endpoints(random.Random(seed))
        director = make_director(settings, seed, clock, wheel, endpoints, KEYS_MOST)
        limits = self.deployment.wire["limits"]
        conn = ConnLimits(limits["max_streams"], limits["dial_timeout_ms"], limits["conn_idle_ms"])
        sender = VirtualSender(name, director, self.line, self.side, self, conn)
        director.sender = sender
        return _Node(name, director, sender, wheel)

    def _clock(self) -> float:
        return self.line.now

    def _director_clock(self, name: str) -> Callable[[], float]:
        """Its timeline, as `clock.Clock` makes it of both readings. Where no clock is stepped that is true
        time, read as it is: converting it would change its last digits, and with them the run."""
        if not self.deployment.clocks.is_stepped:
            return self._clock
        return self.clocks.of(name).process_clock(self.line).now

    def _start(self) -> None:
        plan = self.deployment
        joining = {spec.name for spec in plan.joining}
        for name, store in self.stores.items():
            if name in joining:
                store.up = False
            elif store.started_ms:
                self.side.begin_cold(store)
        if plan.filled_at_start:
            self.side.fill_at_start()
        first = [store.member for name, store in self.stores.items() if name not in joining]
        for node in self.nodes:
            node.heard_ms = START_MS
            self._hear_list(node, first, reset=True)
        for fault in plan.faults:
            self.line.at(START_MS + fault.at_ms, partial(self._strike, fault))
        self.line.after(self.rng.uniform(0.0, TICK_MS), self._turn_wheels)
        self.clients = ClientSide(
            plan,
            self.line,
            self.rng,
            [DirectorHandle(node.name, node.director) for node in self.nodes],
            self.monitor,
            self.side.size,
            self._answered,
            self.broken.append,
        )

    def _turn_wheels(self) -> None:
        for node in self.nodes:
            node.wheel.advance()
        self.line.after(TICK_MS, self._turn_wheels)

    # --- the list and purges

    def _announce(self, store: Store, state: State) -> None:
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
                self.falls.notified(node.name, member.store, member.came_up_ms)
        node.rev += 1
        instances = [_instance(member, self._start_date(member)) for member in members]
        node.director.apply_watch_event(WatchEvent(node.rev, pool=ListChange(instances, reset)))

    def _start_date(self, member: Member) -> UnixMs:
        """As the store dated it; 0: not lately."""
        came_up_ms = member.came_up_ms
        return self.clocks.of(member.store).date_at(came_up_ms) if came_up_ms else UnixMs(0.0)

    def _purge(self, fault: Fault) -> None:
        at = float(int(self.line.now))
        for store in self.stores.values():
            self.side.purge(store, fault, at)
        for node in self.nodes:
            node.heard_ms = max(node.heard_ms, self.line.now + self.rng.uniform(*PURGE_TOLD_MS))
            self.line.at(node.heard_ms, partial(self._hear_purge, node, fault, at))

    def _hear_purge(self, node: _Node, fault: Fault, at: float) -> None:
        node.rev += 1
        dated = UnixMs(float(int(float(self.clocks.purge_date(at)))))
        if fault.kind is FaultKind.PURGE_OBJECT:
            self.monitor.purged(node.name, fault.object, at, self.line.now)
            flush = PurgeEvent(dated, asset=f"{fault.object:016x}")
        else:
            self.monitor.purged_group(node.name, fault.group, at, self.line.now)
            flush = PurgeEvent(dated, collection=fault.group)
        node.director.apply_watch_event(WatchEvent(node.rev, flush=flush))

    # --- faults

    def _strike(self, fault: Fault) -> None:
        if fault.kind in (FaultKind.PURGE_OBJECT, FaultKind.PURGE_GROUP):
            self._purge(fault)
        elif fault.kind is FaultKind.SLOW_ORIGIN:
            self._for_a_while(fault, partial(setattr, self.side.origin, "slow"), fault.factor, 1.0)
        elif fault.kind is FaultKind.LATE_LISTS:
            self._for_a_while(fault, partial(setattr, self, "_list_factor"), fault.factor, 1.0)
        else:
            self._strike_store(fault, self.stores[fault.store])

    def _strike_store(self, fault: Fault, store: Store) -> None:
        if fault.kind is FaultKind.JOIN:
            self._begin(store)
        elif fault.kind is FaultKind.CRASH and store.up:
            self._crash(store)
            self.line.after(fault.lasts_ms, partial(self._begin, store))
        elif fault.kind is FaultKind.DRAIN and store.up:
            self._announce(store, State.DRAINING)
            self.line.after(max(fault.lasts_ms, DRAIN_LEAST_MS), partial(self._leave, store))
        elif fault.kind is FaultKind.ERRORS:
            self._for_a_while(fault, partial(setattr, store, "error_part"), fault.factor, 0.0)
        elif fault.kind is FaultKind.SILENCE:
            self._for_a_while(fault, partial(setattr, store, "silent"), True, False)
        elif fault.kind is FaultKind.RESETS:
            self._reset(store, fault.factor, self.line.now + fault.lasts_ms)

    def _for_a_while(self, fault: Fault, put: Callable[[Any], None], value: Any, usual: Any) -> None:
        put(value)
        self.line.after(fault.lasts_ms, partial(put, usual))

    def _reset(self, store: Store, part: float, until: float) -> None:
        for node in self.nodes:
            node.sender.break_connections(store.spec.name, lambda: self.rng.random() < part)
        if self.line.now < until:
            self.line.after(RESETS_EVERY_MS, partial(self._reset, store, part, until))

    def _crash(self, store: Store) -> None:
        self._die(store)
        self._announce(store, State.GONE)

    def _leave(self, store: Store) -> None:
        if store.up:
            store.fallen = True  # it does not come back
            self._crash(store)

    def _die(self, store: Store) -> None:
        self.side.stop(store)
        for node in self.nodes:
            breaks = partial(node.sender.break_connections, store.spec.name)
            self.line.after(self.side.way(node.director.settings.zone, store.spec.name), breaks)

    def _break_off(self, sent: Sent) -> None:
        """It came to a process that is gone."""
        node = next(node for node in self.nodes if node.name == sent.director)
        node.sender.break_connections(sent.store)

    def _begin(self, store: Store) -> None:
        if store.up or store.fallen:
            return
        store.up = True
        store.started_ms = self.line.now
        self.side.begin_cold(store)
        self._announce(store, State.READY)

    # --- what is watched on the wire

    def written(self, sent: Sent) -> None:
        number, now = sent.attempt.exchange.request.id, self.line.now
        self._trace("sent", sent.director, number, sent.attempt.number, sent.store, sent.source)
        source = self.stores[sent.source].member if sent.source else None
        self.reach.sent(sent.director, sent.zone, self.stores[sent.store].member, source, now)
        self.monitor.sent(sent.director, number, sent.attempt.number, sent.store, sent.source, now)

    def ended(self, sent: Sent, status: Status, dated_ms: float | None) -> None:
        number, object_ = sent.attempt.exchange.request.id, object_of(sent)
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

    def _answered(self, director: str, number: int, code: AnswerCode) -> None:
        self._trace("final", director, number, code)

    def _trace(self, *words: Any) -> None:
        self._digest.update(f"{self.line.now:.6f} {words}\n".encode())


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


def _instance(member: Member, started: UnixMs) -> Instance:
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
        started_at_ms=started,
    )
