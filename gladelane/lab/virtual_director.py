"""A director in virtual time: drives a real router as `net.director` does, against models."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from typing import Any, Protocol

from ..routing.events import (
    Action,
    Cancel,
    ClassSpec,
    Event,
    Fail,
    Fetch,
    Lookup,
    Note,
    Outcome,
    Refuse,
    Request,
    SetTimer,
    Status,
    Timer,
)
from ..routing.router import Router
from .checks import Monitor
from .model.stores import Work
from .model.timeline import Moment, Timeline
from .virtual_plan import Plan


class Surroundings(Protocol):
    """What a director requires from its fleet. Times are in ms of the timeline."""

    plan: Plan
    line: Timeline
    monitor: Monitor

    def trace(self, *words: Any) -> None:
        """Adds an entry to the digest of the run."""

    def way(self, zone: str, store: str) -> float:
        """The one-way delay between a zone and a store, in ms."""

    def oldest(self, action: Fetch | Lookup, spec: ClassSpec) -> float:
        """The date of the oldest copy that may be the answer; 0: any."""

    def send(
        self, zone: str, action: Fetch | Lookup, source: str, spec: ClassSpec, work: Work
    ) -> Callable[[Work], None]:
        """Starts an attempt. The returned function aborts it."""

    def sent_to(self, work: Work) -> str:
        """The store of an attempt that has ended. May be called once for each attempt."""

    def answered(self, director: Director, pending: PendingRequest, status: Status, note: Note) -> None:
        """A client got its final answer."""


@dataclass(slots=True)
class PendingRequest:
    """A pending request at a director, with the data of its client."""

    number: int
    spec: ClassSpec
    size: float
    key: tuple[int, int]
    arrived_ms: float
    tries_left: int
    done: bool = False
    attempts: dict[int, tuple[Work, Callable[[Work], None], Moment]] = field(default_factory=dict)
    sends: int = 0


class Director:
    """Drives one router with events, and carries out its actions on the models."""

    def __init__(self, fleet: Surroundings, name: str, zone: str, seed: int) -> None:
        self.fleet, self.name = fleet, name
        self.settings = replace(fleet.plan.settings, zone=zone)
        self.router = Router(self.settings, seed)
        self.open: dict[int, PendingRequest] = {}
        self.numbers = 0

    def tell(self, event: Event) -> None:
        """Passes an event to the router and carries out the resulting actions."""
        for action in self.router.handle(self.fleet.line.now, event):
            self._act(action)

    def ask(self, spec: ClassSpec, key: tuple[int, int], size: float, tries_left: int) -> None:
        """Accepts a request of a client for an object part; `size` in KB."""
        now = self.fleet.line.now
        self.numbers += 1
        pending = PendingRequest(self.numbers, spec, size, key, now, tries_left)
        self.open[pending.number] = pending
        due = now + spec.deadline_ms
        self.fleet.monitor.request(self.name, pending.number, spec, due)
        self.tell(Request(pending.number, spec.name, key[0] + 1, due, size, 0, key[1]))

    def _act(self, action: Action) -> None:
        match action:
            case Fetch() | Lookup():
                self._send(action)
            case Cancel():
                pending = self.open.get(action.id)
                if pending is not None and action.attempt in pending.attempts:
                    self._ended(pending, action.attempt, Status.CANCELLED)
            case Refuse():
                self._final(action.id, Status.FULL, refused=True)
            case Fail():
                self._final(action.id, Status.ERROR)
            case SetTimer():
                self.fleet.line.at(action.due_ms, partial(self.tell, Timer(action.token)))
            case _:
                pass

    def _send(self, action: Fetch | Lookup) -> None:
        pending = self.open.get(action.id)
        if pending is not None:
            self._send_for(pending, action)

    def _send_for(self, pending: PendingRequest, action: Fetch | Lookup) -> None:
        fleet = self.fleet
        number = pending.sends
        pending.sends += 1
        source = action.source if isinstance(action, Fetch) and action.source != action.store else ""
        if pending.done:
            moot = Outcome(pending.number, number, action.store, Status.MOOT, over=True)
            fleet.line.after(0.0, partial(self.tell, moot))
            return
        fleet.monitor.sent(self.name, pending.number, number, action.store, source, fleet.line.now)
        fleet.trace(self.name, pending.number, number, action.store, source)

        def end(status: Status, note: Note, dated: float) -> None:
            back = fleet.way(self.settings.zone, action.store)
            fleet.line.after(back, lambda: self._ended(pending, number, status, note, dated))

        oldest = fleet.oldest(action, pending.spec)
        work = Work(pending.key, pending.size, end, least_date=oldest)
        stop = fleet.send(self.settings.zone, action, source, pending.spec, work)
        due = min(fleet.line.now + action.timeout_ms, pending.arrived_ms + pending.spec.deadline_ms)
        timer = fleet.line.at(due, partial(self._ended, pending, number, Status.TIMEOUT))
        pending.attempts[number] = work, stop, timer

    def _ended(
        self,
        pending: PendingRequest,
        number: int,
        status: Status,
        note: Note = Note.NOT_REPORTED,
        dated: float | None = None,
    ) -> None:
        if number not in pending.attempts:
            return
        work, stop, timer = pending.attempts.pop(number)
        timer.cancel()
        if not work.over:
            work.over = True
            stop(work)
        now = self.fleet.line.now
        self.fleet.monitor.ended(self.name, pending.number, number, status, now, pending.key[0], dated)
        if status is Status.OK and not pending.done:
            self._finish(pending, status, note)
        given = note if self.settings.notes == "all" or note in (Note.HIT, Note.AGED) else Note.NOT_REPORTED
        store = self.fleet.sent_to(work)
        self.tell(Outcome(pending.number, number, store, status, note=given, over=pending.done))
        if pending.done and not pending.attempts:
            self.open.pop(pending.number, None)

    def _final(self, number: int, status: Status, refused: bool = False) -> None:
        pending = self.open.get(number)
        if pending is not None and not pending.done:
            self._finish(pending, status, refused=refused)
            if not pending.attempts:
                self.open.pop(number, None)

    def _finish(
        self, pending: PendingRequest, status: Status, note: Note = Note.NOT_REPORTED, refused: bool = False
    ) -> None:
        pending.done = True
        self.fleet.monitor.final(self.name, pending.number, self.fleet.line.now, refused)
        self.fleet.answered(self, pending, status, note)
