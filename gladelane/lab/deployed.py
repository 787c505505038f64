"""A generated deployment in virtual time: real directors, models of everything they talk to, and monitors.

The decisions are those of the real `Router`, and every attempt is checked by the real `net.director.Director`
just before its first byte. One deployment always gives the same run: nothing waits, reads a clock or opens a
socket.
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

START_MS = 10_000_000.0  # the time at the start; not 0, which means 'never' in many places
SLACK_MS = 50.0  # tolerance on every limit: the loops of directors run at intervals
MAX_NOTIFY_MS = 7000.0  # the longest delay of an event, with all factors
MIN_DRAIN_MS = 1000.0  # from the change to draining until the store leaves
RESETS_EVERY_MS = 150.0  # interval at which connections to a store are reset
PURGE_DELAY_MS = (30.0, 400.0)  # range of the delay until a director is notified of a purge
MAX_KEYS = 10_000  # windows of idempotency keys that a director stores
END_MS = 300.0  # from the last deadline until the run ends

#: makes a director: the real one, or one with a planted fault
MakeDirector = Callable[[Settings, int, Callable[[], float], TimerWheel, Endpoints, int], Director]


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of a run."""

    requests: int
    sends: int
    served: int
    falls: int  # stores overloaded in slow start, also where that is no breach
    broken: tuple[Broken, ...]
    digest: str  # of every written attempt and final answer, with its time


@dataclass(slots=True, eq=False)
class _Node:
    """A director and its parts. `notified_ms`: when its last event is due; the next one is not due
    earlier."""

    name: str
    director: Director
    sender: VirtualSender
    timers: VirtualTimers
    rev: int = 1
    notified_ms: float = 0.0


class DeployedFleet:
    """A generated deployment that `run` plays once. It also observes what its directors write."""

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
        self.side.broken_off = self._reset_connections
        self.stores = self.side.stores
        self._make_monitors()
        self.nodes = [self._make_node(place, make_director) for place in range(len(deployment.directors))]
        self._start()

    def run(self) -> Outcome:
        """Plays the deployment to its end. Errors that a director logs count as breaches."""
        faults = _FaultLog(self)
        program = logging.getLogger("gladelane")
        level, propagates = program.level, program.propagate
        program.addHandler(faults)
        program.setLevel(logging.ERROR)
        program.propagate = False
        try:
            self._run_until_done()
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

    def _run_until_done(self) -> None:
        """Runs until nothing is pending, at most until the last deadline has passed."""
        longest = max(spec.deadline_ms for spec in self.settings.classes.values())
        until = START_MS + self.deployment.duration_ms + longest + END_MS
        self.line.run(START_MS + self.deployment.duration_ms)
        while self.line.now < until and (
            self.clients.waiting or any(n.director.has_pending() for n in self.nodes)
        ):
            self.line.run(min(self.line.now + END_MS, until))

    # --- construction

    def _make_monitors(self) -> None:
        s, report = self.settings, self.broken.append
        self.monitor = Monitor(
            s.drain_grace_ms,
            s.purge_grace_ms,
            s.answer_grace_ms,
            report,
            s.second_copies,
            slack_ms=SLACK_MS,
            most_attempts=s.max_attempts,
            places={name: Place(store.spec.zone, store.spec.cell) for name, store in self.stores.items()},
        )
        self.reach = Reach(s, report)

    def _make_node(self, place: int, make_director: MakeDirector) -> _Node:
        settings = self.deployment.settings(place)
        seed = self.deployment.seed + place
        name = director_name(place)
        clock = self._director_clock(name)
        timers = VirtualTimers(clock)
        endpoints = Endpoints(random.Random(seed))
        director = make_director(settings, seed, clock, timers, endpoints, MAX_KEYS)
        limits = self.deployment.wire["limits"]
        conn = ConnLimits(limits["max_streams"], limits["dial_timeout_ms"], limits["conn_idle_ms"])
        sender = VirtualSender(name, director, self.line, self.side, self, conn)
        director.sender = sender
        return _Node(name, director, sender, timers)

    def _clock(self) -> float:
        return self.line.now

    def _director_clock(self, name: str) -> Callable[[], float]:
        """The clock that a director reads, made of both readings by `clock.Clock`.

        Without steps this is true time, unconverted: a conversion would change its last digits, and with them
        the run.
        """
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
            node.notified_ms = START_MS
            self._apply_list(node, first, reset=True)
        for fault in plan.faults:
            self.line.at(START_MS + fault.at_ms, partial(self._inject, fault))
        self.line.after(self.rng.uniform(0.0, TICK_MS), self._advance_timers)
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

    def _advance_timers(self) -> None:
        for node in self.nodes:
            node.timers.advance()
        self.line.after(TICK_MS, self._advance_timers)

    # --- events for the directors

    def _announce(self, store: Store, state: State) -> None:
        """Changes an entry of the endpoint list, and notifies each director after a delay of its own."""
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
            delay = min(self.rng.uniform(least, most) * self._list_factor, MAX_NOTIFY_MS)
            node.notified_ms = max(node.notified_ms, self.line.now + delay)
            self.line.at(node.notified_ms, partial(self._apply_list, node, [store.member]))

    def _apply_list(self, node: _Node, members: list[Member], reset: bool = False) -> None:
        for member in members:
            self.reach.listed(node.name, member.store)
            self.monitor.listed(node.name, member.store, member.state is State.READY, self.line.now)
            if member.state is State.READY and member.came_up_ms:
                self.falls.notified(node.name, member.store, member.came_up_ms)
        node.rev += 1
        instances = [_instance(member, self._start_date(member)) for member in members]
        node.director.apply_watch_event(WatchEvent(node.rev, pool=ListChange(instances, reset)))

    def _start_date(self, member: Member) -> UnixMs:
        """When the store started, by its own clock; 0 if it did not start lately."""
        came_up_ms = member.came_up_ms
        return self.clocks.of(member.store).date_at(came_up_ms) if came_up_ms else UnixMs(0.0)

    def _purge(self, fault: Fault) -> None:
        at = float(int(self.line.now))
        for store in self.stores.values():
            self.side.purge(store, fault, at)
        for node in self.nodes:
            node.notified_ms = max(node.notified_ms, self.line.now + self.rng.uniform(*PURGE_DELAY_MS))
            self.line.at(node.notified_ms, partial(self._apply_purge, node, fault, at))

    def _apply_purge(self, node: _Node, fault: Fault, at: float) -> None:
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

    def _inject(self, fault: Fault) -> None:
        if fault.kind in (FaultKind.PURGE_OBJECT, FaultKind.PURGE_GROUP):
            self._purge(fault)
        elif fault.kind is FaultKind.SLOW_ORIGIN:
            self._set_for_a_while(fault, partial(setattr, self.side.origin, "slow"), fault.factor, 1.0)
        elif fault.kind is FaultKind.LATE_LISTS:
            self._set_for_a_while(fault, partial(setattr, self, "_list_factor"), fault.factor, 1.0)
        else:
            self._inject_into_store(fault, self.stores[fault.store])

    def _inject_into_store(self, fault: Fault, store: Store) -> None:
        if fault.kind is FaultKind.JOIN:
            self._start_store(store)
        elif fault.kind is FaultKind.CRASH and store.up:
            self._crash(store)
            self.line.after(fault.lasts_ms, partial(self._start_store, store))
        elif fault.kind is FaultKind.DRAIN and store.up:
            self._announce(store, State.DRAINING)
            self.line.after(max(fault.lasts_ms, MIN_DRAIN_MS), partial(self._leave, store))
        elif fault.kind is FaultKind.ERRORS:
            self._set_for_a_while(fault, partial(setattr, store, "error_part"), fault.factor, 0.0)
        elif fault.kind is FaultKind.SILENCE:
            self._set_for_a_while(fault, partial(setattr, store, "silent"), True, False)
        elif fault.kind is FaultKind.RESETS:
            self._reset(store, fault.factor, self.line.now + fault.lasts_ms)

    def _set_for_a_while(self, fault: Fault, setter: Callable[[Any], None], value: Any, usual: Any) -> None:
        setter(value)
        self.line.after(fault.lasts_ms, partial(setter, usual))

    def _reset(self, store: Store, part: float, until: float) -> None:
        for node in self.nodes:
            node.sender.break_connections(store.spec.name, lambda: self.rng.random() < part)
        if self.line.now < until:
            self.line.after(RESETS_EVERY_MS, partial(self._reset, store, part, until))

    def _crash(self, store: Store) -> None:
        self._stop(store)
        self._announce(store, State.GONE)

    def _leave(self, store: Store) -> None:
        if store.up:
            store.fallen = True  # it does not restart
            self._crash(store)

    def _stop(self, store: Store) -> None:
        self.side.stop(store)
        for node in self.nodes:
            breaks = partial(node.sender.break_connections, store.spec.name)
            self.line.after(self.side.way(node.director.settings.zone, store.spec.name), breaks)

    def _reset_connections(self, sent: Sent) -> None:
        """An attempt reached a process that no longer runs: its director learns that the connections are
        reset."""
        node = next(node for node in self.nodes if node.name == sent.director)
        node.sender.break_connections(sent.store)

    def _start_store(self, store: Store) -> None:
        if store.up or store.fallen:
            return
        store.up = True
        store.started_ms = self.line.now
        self.side.begin_cold(store)
        self._announce(store, State.READY)

    # --- what the directors write

    def written(self, sent: Sent) -> None:
        """A director wrote an attempt."""
        number, now = sent.attempt.exchange.request.id, self.line.now
        self._trace("sent", sent.director, number, sent.attempt.number, sent.store, sent.source)
        source = self.stores[sent.source].member if sent.source else None
        self.reach.sent(sent.director, sent.zone, self.stores[sent.store].member, source, now)
        self.monitor.sent(sent.director, number, sent.attempt.number, sent.store, sent.source, now)

    def ended(self, sent: Sent, status: Status, dated_ms: float | None) -> None:
        """A written attempt ended."""
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
        """A director cancelled a written attempt."""
        if not self.settings.cancel:
            what = f"{sent.attempt.exchange.request.id} is cancelled, which is not allowed"
            self.broken.append(Broken("cancel", self.line.now, sent.director, what))

    def _answered(self, director: str, number: int, code: AnswerCode) -> None:
        self._trace("final", director, number, code)

    def _trace(self, *words: Any) -> None:
        self._digest.update(f"{self.line.now:.6f} {words}\n".encode())


class _FaultLog(logging.Handler):
    """Turns logged errors into breaches: a director meets no input here that justifies one."""

    def __init__(self, fleet: DeployedFleet) -> None:
        super().__init__(logging.ERROR)
        self.fleet = fleet

    def emit(self, record: logging.LogRecord) -> None:
        cause = f": {record.exc_info[1]!r}" if record.exc_info else ""
        broken = Broken("fault", self.fleet.line.now, "", f"{record.getMessage()}{cause}")
        self.fleet.broken.append(broken)


_LIFECYCLES = {state: word for word, state in STATES.items()}


def _instance(member: Member, started: UnixMs) -> Instance:
    """The entry as discovery sends it. Each store has an address of its own, derived from its name."""
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
