"""Caches, parents and the origin as models on a timeline: what an attempt there comes to, and when.

A store that goes down ends all that is under way with RESET and comes up empty and cold. A fill whose client
has left runs on, and is given up if nothing comes. Sizes in KB, times in ms.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from ...routing.events import Note, Status
from .copies import Copies
from .pipe import Pipe
from .timeline import Timeline

PartKey = tuple[int, int]  # object, part
#: when the origin gave the copy out, or None: there is none; and whether the origin had to be asked. None
#: without asking it: the source gives only what it holds, and lacks this
Filled = Callable[[float | None, bool], None]
GIVE_UP = 2500.0  # a fill of which nothing has come
WARM_STEPS = 10  # in which a cold store's link widens


@dataclass(slots=True, eq=False)
class Work:
    """One attempt at a store. `end` is called once: what came of it, how, and the copy's date."""

    key: PartKey
    size: float
    end: Callable[[Status, Note, float], None]
    over: bool = False
    sending: int = 0  # the transfer to the client, once it runs
    least_date: float = 0.0  # of a copy that its class allows at all, also from a fill that it joined

    def finish(self, status: Status, note: Note = Note.NOT_REPORTED, dated: float = 0.0) -> None:
        """Ends the attempt; a second call changes nothing."""
        if not self.over:
            self.over = True
            self.end(status, note, dated)


class Origin:
    """Holds everything. Few workers and a thin link; above `max_requests` requests it refuses."""

    def __init__(self, line: Timeline, workers: int, service: float, max_requests: int, pipe: Pipe) -> None:
        self.line, self.workers, self.service, self.max_requests, self.pipe = (
            line,
            workers,
            service,
            max_requests,
            pipe,
        )
        self.slow = 1.0  # times its usual service
        self.busy = 0
        self.queue: deque[tuple[float, Callable[[float], None]]] = deque()
        self.asked = self.refused = 0

    def fetch(self, size: float, done: Callable[[float | None], None]) -> None:
        """`done` is called with the copy's date, or None where the origin refuses."""
        self.asked += 1
        if self.busy + len(self.queue) >= self.max_requests:
            self.refused += 1
            self.line.after(0.0, partial(done, None))
            return
        self.queue.append((size, done))
        self._next()

    def _next(self) -> None:
        while self.queue and self.busy < self.workers:
            size, done = self.queue.popleft()
            self.busy += 1
            self.line.after(self.service * self.slow, partial(self._served, size, done))

    def _served(self, size: float, done: Callable[[float], None]) -> None:
        self.busy -= 1
        self.pipe.start(size, partial(done, self.line.now))
        self._next()


@dataclass(slots=True, eq=False)
class _Fill:
    waiting: list[Filled] = field(default_factory=list)
    over: bool = False


@dataclass(frozen=True, slots=True)
class Build:
    """How a store is made: KB of copies, KB a ms of its link and of one transfer, and how it warms up."""

    storage_kb: float
    capacity: float
    flow: float
    cold_from: float
    warm_ms: float


class Store:
    """What caches and parents have in common: copies, a link out that warms up, fills and who joined them."""

    def __init__(self, line: Timeline, build: Build) -> None:
        self.line, self.build = line, build
        self.copies = Copies[PartKey](build.storage_kb)
        self.pipe = Pipe(line, build.capacity, build.flow)
        self.up = True
        self.incarnation = 0  # counts its processes
        self.filling: dict[PartKey, _Fill] = {}
        self.purged: list[tuple[Callable[[PartKey], bool], float]] = []  # what each covers, and before when
        self.hits = self.fills = self.joins = 0

    def crash(self) -> None:
        """The process dies: copies and fills are gone."""
        self.up = False
        self.incarnation += 1
        self.copies.clear()
        self.filling.clear()

    def start(self) -> None:
        """Empty and cold: its link widens evenly until it is warm."""
        self.up = True
        for step in range(WARM_STEPS + 1):
            part = self.build.cold_from + (1.0 - self.build.cold_from) * step / WARM_STEPS
            self.line.after(
                self.build.warm_ms * step / WARM_STEPS, partial(self._widen, self.incarnation, part)
            )

    def _widen(self, incarnation: int, part: float) -> None:
        if incarnation == self.incarnation:
            self.pipe.resize(self.build.capacity * part)

    def purge(self, covered: Callable[[PartKey], bool], before: float) -> None:
        """Drops covered copies from before then, and keeps none that a fill brings later."""
        self.copies.purge(covered, before)
        self.purged.append((covered, before))

    def _is_purged(self, key: PartKey, dated: float) -> bool:
        return any(dated < before and covered(key) for covered, before in self.purged)

    def cached_date(self, key: PartKey, oldest: float) -> float | None:
        """The date of a copy given out at `oldest` or later."""
        dated = self.copies.dated(key)
        return dated if dated is not None and dated >= oldest else None

    def fill(
        self, key: PartKey, size: float, rank: int, join: bool, source: Callable[[Filled], None], done: Filled
    ) -> None:
        """Asks `source`, keeps what comes at this rank, and tells all who joined. One that died in between
        tells nobody: its attempts have ended by then."""
        under_way = self.filling.get(key)
        if join and under_way is not None:
            self.joins += 1
            under_way.waiting.append(done)
            return
        self.fills += 1
        mine = self.filling[key] = _Fill([done])
        incarnation = self.incarnation

        def came(dated: float | None, asked: bool) -> None:
            if incarnation != self.incarnation or mine.over:
                return
            mine.over = True
            if self.filling.get(key) is mine:
                del self.filling[key]
            if dated is not None:
                stored_rank = 0 if self._is_purged(key, dated) else rank
                self.copies.keep(key, stored_rank, size, dated)
            for waiting in mine.waiting:
                waiting(dated, asked)

        source(came)
        self.line.after(GIVE_UP, partial(came, None, True))


class Parent(Store):
    """Keeps all that passes, and fetches what it lacks from the origin, each fill apart."""

    def __init__(self, origin: Origin, line: Timeline, build: Build) -> None:
        super().__init__(line, build)
        self.origin = origin

    def get(self, key: PartKey, size: float, oldest: float, done: Filled, holds_only: bool = False) -> None:
        """For a cache's fill; a parent that is down says nothing, as a machine that vanished. `holds_only`:
        it asks the origin for nothing."""
        if not self.up:
            return
        dated = self.cached_date(key, oldest)
        if dated is not None:
            self.hits += 1
            self.copies.use(key, 0)
            self.pipe.start(size, partial(done, dated, False))
            return
        if holds_only:
            self.line.after(0.0, partial(done, None, False))
            return

        def asked(came: Filled) -> None:
            self.origin.fetch(size, lambda dated: came(dated, True))

        def passed(dated: float | None, _: bool) -> None:
            if dated is None:
                done(None, True)
            else:
                self.pipe.start(size, partial(done, dated, True))

        self.fill(key, size, 1, False, asked, passed)


class Cache(Store):
    """Answers directors. `ingress` is its location's link in, which all fills share."""

    def __init__(self, ingress: Pipe, most_fills: int, line: Timeline, build: Build) -> None:
        super().__init__(line, build)
        self.ingress, self.most_fills = ingress, most_fills
        self.open: dict[Work, None] = {}

    def crash(self) -> None:
        """Also resets all attempts that are open."""
        super().crash()
        for work in list(self.open):
            self.abort(work)
            work.finish(Status.RESET)

    def serve(
        self, work: Work, rank: int, oldest: float, join: bool, source: Callable[[Filled], None] | None
    ) -> None:
        """`source` None: a miss is not filled."""
        dated = self.cached_date(work.key, oldest)
        if dated is not None:
            self.hits += 1
            self.copies.use(work.key, rank)
            self._send(work, Note.HIT, dated)
        elif source is None:
            work.finish(Status.MISS)
        elif len(self.filling) >= self.most_fills and work.key not in self.filling:
            work.finish(Status.FULL, Note.NO_FILL_PLACE)
        else:
            self.open[work] = None

            def filled(dated: float | None, asked: bool) -> None:
                if work.over:
                    self.open.pop(work, None)
                elif dated is None:
                    self.open.pop(work, None)
                    if asked:
                        work.finish(Status.ERROR, Note.ORIGIN_FAILED)
                    else:
                        work.finish(Status.MISS, Note.SOURCE_LACKS)
                elif dated < work.least_date:  # it joined a fill that was asked for less: for its own, then
                    self.fill(work.key, work.size, rank, False, self._through(work.size, source), filled)
                else:
                    self._send(work, Note.FROM_ORIGIN if asked else Note.PARENT_HELD, dated)

            self.fill(work.key, work.size, rank, join, self._through(work.size, source), filled)

    def renew(self, key: PartKey, size: float, rank: int, source: Callable[[Filled], None]) -> None:
        """Behind an answer from an ageing copy: nobody waits for it."""
        self.fill(key, size, rank, True, self._through(size, source), lambda _dated, _asked: None)

    def _through(self, size: float, source: Callable[[Filled], None]) -> Callable[[Filled], None]:
        return lambda came: source(partial(self._through_ingress, size, came))

    def abort(self, work: Work) -> None:
        """Work stops when its request is given up; a fill runs on."""
        self.open.pop(work, None)
        if work.sending:
            self.pipe.stop(work.sending)

    def _through_ingress(self, size: float, came: Filled, dated: float | None, asked: bool) -> None:
        if dated is None:
            came(None, asked)
        else:
            self.ingress.start(size, partial(came, dated, asked))

    def _send(self, work: Work, note: Note, dated: float) -> None:
        self.open[work] = None

        def sent() -> None:
            self.open.pop(work, None)
            work.finish(Status.OK, note, dated)

        work.sending = self.pipe.start(work.size, sent)
