"""Whole routers in front of one server that has just started: the cases of `lab/cold.py`, in which retries
and hedged requests are those of the routers. Pure: virtual time, one seed."""

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
from ..routing.slow_start import MEAN_SAMPLES
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

ANSWER_MS, LATE_ANSWER_MS = 50.0, 500.0
LATE = 0.1  # share of late answers


class _Due(NamedTuple):
    """An event for a router, and when it is due."""

    at_ms: float
    order: int
    director: int
    event: Event


class _Asked(NamedTuple):
    """A client's request: its class and its work in ms."""

    kind: int
    own: float


class _Routers:
    """The routers of a case and the events that are due for them."""

    def __init__(self, case: Case) -> None:
        self.run = Run(case)
        self.due: list[_Due] = []
        self.asked: dict[int, _Asked] = {}
        self.attempts: dict[int, int] = {}
        self.order = 0
        self.routers = [self._router(me) for me in range(case.directors)]

    def _router(self, me: int) -> Router:
        """A router that also knows a warm cache if the hub is the starting server, else a warm hub."""
        run = self.run
        router = Router(settings_for(run.case, me), run.rng.getrandbits(32))
        cold = run.member
        other = replace(cold, store="warm", kind="box" if cold.kind == "mid" else "mid", started_at_ms=0.0)
        origin = Member("origin", "hub", "root")
        router.handle(START_MS - 1.0, Members(ListKind.COMPLETE, (other, origin)))
        for kind, mean in enumerate(CLASSES):
            for _ in range(0 if run.case.fresh else MEAN_SAMPLES):
                router.cold.work(str(kind), mean * run.unit)
        self._schedule(run.draw_informed_ms(), me, Members(ListKind.CHANGES, (cold,)))
        return router

    def _schedule(self, at_ms: float, director: int, event: Event) -> None:
        self.order += 1
        heapq.heappush(self.due, _Due(at_ms, self.order, director, event))

    def play(self) -> Measured:
        """Runs the case until the end of slow start."""
        run = self.run
        run.plan()
        for number, ask in enumerate(run.asks):
            self.asked[number] = _Asked(ask.kind, ask.own)
            deadline = ask.at_ms + DEADLINE_MS
            request = Request(number, str(ask.kind), number, deadline, ask.own)
            self._schedule(ask.at_ms, ask.director, request)
        while self.due:
            due = heapq.heappop(self.due)
            if due.at_ms < START_MS + WARM_MS:
                self._handle(due)
        return measure(run.arrivals, Ramp(run.case.requests))

    def _handle(self, due: _Due) -> None:
        for action in self.routers[due.director].handle(due.at_ms, due.event):
            if isinstance(action, SetTimer):
                self._schedule(max(action.due_ms, due.at_ms), due.director, Timer(action.token))
            elif isinstance(action, Fetch):
                self._fetch(due, action)

    def _fetch(self, due: _Due, fetch: Fetch) -> None:
        run, asked = self.run, self.asked[fetch.id]
        number = self.attempts[fetch.id] = self.attempts.get(fetch.id, -1) + 1
        if run.member.store in (fetch.store, fetch.source):
            run.arrived(due.at_ms, asked.kind, asked.own)
        failed = run.rng.random() < FAILED
        elapsed_ms = LATE_ANSWER_MS if run.rng.random() < LATE else ANSWER_MS
        status = Status.RESET if failed else Status.OK
        note = Note.NOT_REPORTED if failed else Note.PARENT_HELD
        outcome = Outcome(fetch.id, number, fetch.store, status, elapsed_ms, note, over=not failed)
        self._schedule(due.at_ms + elapsed_ms, due.director, outcome)


def play(case: Case) -> Measured:
    """Runs one case with whole routers."""
    return _Routers(case).play()
