"""Models of caches, parents and the origin on a timeline: how and when an attempt at them ends.

A store that crashes ends all its attempts with RESET and restarts empty, in slow start. A fill continues when
its client has left, and is abandoned after GIVE_UP without an answer. Sizes are in KB, times in ms.
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
#: called with the date of the copy (None: there is none) and whether the origin was asked for it. None
#: without asking the origin means that the source serves only cached copies and has none of this part
Filled = Callable[[float | None, bool], None]
GIVE_UP = 2500.0  # until a fill without an answer is abandoned
WARM_STEPS = 10  # steps in which the link of a store in slow start grows


@dataclass(slots=True, eq=False)
class Work:
    """One attempt at a store. `end` is called once, with the status, the note and the date of the copy."""

    key: PartKey
    size: float
    end: Callable[[Status, Note, float], None]
    over: bool = False
    sending: int = 0  # key of the transfer to the director; 0 before it starts
    least_date: float = 0.0  # the oldest date that the class allows, also for a copy from a joined fill

    def finish(self, status: Status, note: Note = Note.NOT_REPORTED, dated: float = 0.0) -> None:
        """Ends the attempt. Further calls have no effect."""
        if not self.over:
            self.over = True
            self.end(status, note, dated)


class Origin:
    """The origin, which has all objects, few workers and a slow link. It rejects more than `max_requests`
    requests."""

    def __init__(self, line: Timeline, workers: int, service: float, max_requests: int, pipe: Pipe) -> None:
        self.line, self.workers, self.service, self.max_requests, self.pipe = (
            line,
            workers,
            service,
            max_requests,
            pipe,
        )
        self.slow = 1.0  # factor on the service time
        self.busy = 0
        self.queue: deque[tuple[float, Callable[[float], None]]] = deque()
        self.asked = self.refused = 0

    def fetch(self, size: float, done: Callable[[float | None], None]) -> None:
        """Requests a copy; `done` is called with its date, or None if the origin rejects the request."""
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
    """Parameters of a store: KB of copies, rates of its link and of one transfer in KB per ms, and slow
    start."""

    storage_kb: float
    capacity: float
    flow: float
    cold_from: float
    warm_ms: float


class Store:
    """The common part of caches and parents: copies, an outgoing link with slow start, and fills."""

    def __init__(self, line: Timeline, build: Build) -> None:
        self.line, self.build = line, build
        self.copies = Copies[PartKey](build.storage_kb)
        self.pipe = Pipe(line, build.capacity, build.flow)
        self.up = True
        self.incarnation = 0  # number of its process
        self.filling: dict[PartKey, _Fill] = {}
        self.purged: list[tuple[Callable[[PartKey], bool], float]] = []  # coverage and date of each
        self.hits = self.fills = self.joins = 0

    def crash(self) -> None:
        """Crashes the process: copies and fills are lost."""
        self.up = False
        self.incarnation += 1
        self.copies.clear()
        self.filling.clear()

    def start(self) -> None:
        """Starts an empty process; the capacity of its link grows evenly during slow start."""
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
        """Removes the covered copies that are older than `before`, and stores none that a fill brings
        later."""
        self.copies.purge(covered, before)
        self.purged.append((covered, before))

    def _is_purged(self, key: PartKey, dated: float) -> bool:
        return any(dated < before and covered(key) for covered, before in self.purged)

    def cached_date(self, key: PartKey, oldest: float) -> float | None:
        """The date of the stored copy, if the origin sent it out at `oldest` or later."""
        dated = self.copies.dated(key)
        return dated if dated is not None and dated >= oldest else None

    def fill(
        self, key: PartKey, size: float, rank: int, join: bool, source: Callable[[Filled], None], done: Filled
    ) -> None:
        """Fetches from `source`, stores the copy with this rank, and calls `done` of all that joined the
        fill.

        If the process crashed meanwhile nothing is called, because its attempts have ended already."""
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
    """A parent: stores all copies that pass through it, and fetches missing ones from the origin."""

    def __init__(self, origin: Origin, line: Timeline, build: Build) -> None:
        super().__init__(line, build)
        self.origin = origin

    def get(self, key: PartKey, size: float, oldest: float, done: Filled, holds_only: bool = False) -> None:
        """Serves a fill of a cache. A parent that is down does not answer. `holds_only`: from its cache
        only."""
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
    """A cache, which answers directors. `ingress` is the incoming link of its location, shared by all
    fills."""

    def __init__(self, ingress: Pipe, most_fills: int, line: Timeline, build: Build) -> None:
        super().__init__(line, build)
        self.ingress, self.most_fills = ingress, most_fills
        self.open: dict[Work, None] = {}

    def crash(self) -> None:
        """Crashes the store, and resets all its attempts."""
        super().crash()
        for work in list(self.open):
            self.abort(work)
            work.finish(Status.RESET)

    def serve(
        self, work: Work, rank: int, oldest: float, join: bool, source: Callable[[Filled], None] | None
    ) -> None:
        """Answers an attempt from a copy or by a fill. `source` None: a miss is not filled."""
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
                elif dated < work.least_date:  # the joined fill brought too old a copy: it fills itself
                    self.fill(work.key, work.size, rank, False, self._through(work.size, source), filled)
                else:
                    self._send(work, Note.FROM_ORIGIN if asked else Note.PARENT_HELD, dated)

            self.fill(work.key, work.size, rank, join, self._through(work.size, source), filled)

    def renew(self, key: PartKey, size: float, rank: int, source: Callable[[Filled], None]) -> None:
        """Renews an ageing copy in the background."""
        self.fill(key, size, rank, True, self._through(size, source), lambda _dated, _asked: None)

    def _through(self, size: float, source: Callable[[Filled], None]) -> Callable[[Filled], None]:
        return lambda came: source(partial(self._through_ingress, size, came))

    def abort(self, work: Work) -> None:
        """Stops the transfer of an attempt that was given up; its fill continues."""
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
