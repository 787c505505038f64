"""Whole routers before one server that has just started: the cases of `lab/cold.py`, where further attempts
and second copies are the routers' own. Pure: virtual time, one seed."""

from __future__ import annotations

import heapq
from dataclasses import replace
from typing import NamedTuple

from ..routing.events import (
    Event,
    Fetch,
    ListKind,
    Member,
    Members,
    Note,
    Outcome,
    Request,
    SetTimer,
    Status,
    Timer,
)
from ..routing.router import Router
from ..routing.slow_start import MEAN_OF
from .cold import (
    CLASSES,
    DEADLINE_MS,
    FAILED,
    START_MS,
    WARM_MS,
    Case,
    Measured,
    Ramp,
    Run,
    measure,
    settings_for,
)

ANSWER_MS, LATE_ANSWER_MS, LATE = (
    50.0,
    500.0,
    0.1,
)  # an answer's time, a late one's, and the share of late ones


class _Due(NamedTuple):
    """What a router hears, and when."""

    at_ms: float
    order: int
    director: int
    event: Event


class _Asked(NamedTuple):
    """A request that a client has sent."""

    kind: int
    own: float


class _Routers:
    """The routers of a case, what they are owed and what is on its way to them."""

    def __init__(self, case: Case) -> None:
        self.run = Run(case)
        self.due: list[_Due] = []
        self.asked: dict[int, _Asked] = {}
        self.tries: dict[int, int] = {}
        self.order = 0
        self.routers = [self._router(me) for me in range(case.directors)]

    def _router(self, me: int) -> Router:
        """With a warm cache where the hub starts, and with a warm hub where the cache does."""
        run = self.run
        router = Router(settings_for(run.case, me), run.rng.getrandbits(32))
        cold = run.member
        other = replace(cold, store="warm", kind="box" if cold.kind == "mid" else "mid", came_up_ms=0.0)
        origin = Member("origin", "hub", "root")
        router.handle(START_MS - 1.0, Members(ListKind.COMPLETE, (other, origin)))
        for kind, mean in enumerate(CLASSES):
            for _ in range(0 if run.case.fresh else MEAN_OF):
                router.cold.work(str(kind), mean * run.unit)
        self._later(run.told(), me, Members(ListKind.CHANGES, (cold,)))
        return router

    def _later(self, at_ms: float, director: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.due, _Due(at_ms, self.order, director, event))

    def play(self) -> Measured:
        run = self.run
        run.plan()
        for number, ask in enumerate(run.asks):
            self.asked[number] = _Asked(ask.kind, ask.own)
            deadline = ask.at_ms + DEADLINE_MS
            request = Request(number, str(ask.kind), number, deadline, ask.own)
            self._later(ask.at_ms, ask.director, request)
        while self.due:
            due = heapq.heappop(self.due)
            if due.at_ms < START_MS + WARM_MS:
                self._tell(due)
        return measure(run.arrivals, Ramp(run.case.requests))

    def _tell(self, due: _Due) -> None:
        for action in self.routers[due.director].handle(due.at_ms, due.event):
            if isinstance(action, SetTimer):
                self._later(max(action.due_ms, due.at_ms), due.director, Timer(action.token))
            elif isinstance(action, Fetch):
                self._fetch(due, action)

    def _fetch(self, due: _Due, fetch: Fetch) -> None:
        run, asked = self.run, self.asked[fetch.id]
        number = self.tries[fetch.id] = self.tries.get(fetch.id, -1) + 1
        if run.member.store in (fetch.store, fetch.source):
            run.arrived(due.at_ms, asked.kind, asked.own)
        failed = run.rng.random() < FAILED
        took = LATE_ANSWER_MS if run.rng.random() < LATE else ANSWER_MS
        status = Status.RESET if failed else Status.OK
        note = Note.NOT_REPORTED if failed else Note.PARENT_HELD
        outcome = Outcome(fetch.id, number, fetch.store, status, took, note, over=not failed)
        self._later(due.at_ms + took, due.director, outcome)


def play(case: Case) -> Measured:
    return _Routers(case).play()
