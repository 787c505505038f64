"""One director's part of the audit, wired: it keeps the trail, reports to one feed at a time, holds the
tenure that the answers bring, and does what a verdict says. Decisions stand in `trail`, `tenure` and
`straggle`."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Protocol

from ..control.http import CALL_ERRORS, fetch
from ..control.positions import vector_text
from ..durable.files import InUse
from ..interface import Settings
from ..net.director import Director
from ..purges.holder import Holder
from ..recovery.warm import vars_of
from ..structures.backoff import Backoff
from .options import Options
from .steady import steady_ms
from .tenure import Stage, Tenure
from .trail import Span, Totals, Trail
from .trail_store import Page, TrailStore
from .view import DIGEST_BYTES, View, list_digest, name_of
from .wire import A_REPORT, Answer, Report, answer_decoder, encode_json

log = logging.getLogger(__name__)

LOOK_S = 0.1
ANSWER_S = 1.0  # for a feed to answer
LENGTH_MS = 3_000.0  # taken for a tenure's length until a feed has said it
START_S = 3.0  # for which a start waits for its first tenure
LAPSED_MS = 1_000.0  # after which one without a tenure says that it is not ready
BACK_MS = (400.0, 1_200.0)  # advice to who is refused meanwhile
BACKOFF_S, BACKOFF_MOST_S = 0.1, 1.0
START_SHIFT = 1024  # two starts of one millisecond are told apart by chance
OPEN_AGAIN_MS = 2_000.0
MOST_TRIES = 60  # to have a second feed say that it has what an earlier process left
LAST_S = 0.5  # for the last report


class Emptied(Protocol):
    """Who tells clients that this director takes none (`operations.drain`)."""

    def behind(self, now: float) -> bool: ...

    def forward(self) -> bool: ...


def program_digest() -> str:
    """Of the program's own files."""
    root, found = Path(__file__).parent.parent, blake2b(digest_size=DIGEST_BYTES)
    for path in sorted(root.rglob("*.py")):
        found.update(str(path.relative_to(root)).encode())
        found.update(path.read_bytes())
    return found.hexdigest()


def settings_digest(settings: Settings) -> str:
    """Of all but a director's own place among the others."""
    plain = {name: value for name, value in vars_of(settings).items() if name != "me"}
    return blake2b(repr(sorted(plain.items())).encode(), digest_size=DIGEST_BYTES).hexdigest()


class Prior:
    """What an earlier process left, told part by part until two feeds have it."""

    def __init__(self, page: Page, spans: list[Span]) -> None:
        self.page = page
        self._spans = spans
        self._stored = spans[0].number - 1
        self._tries = 0

    def report(self, director: str, zone: str) -> Report:
        part = [span for span in self._spans if span.number > self._stored][:A_REPORT] or self._spans[-1:]
        return Report(
            director,
            self.page.start,
            zone,
            0.0,
            spans=part,
            views=self.page.views,
            lost=self.page.lost,
            current=False,
            first=self._spans[0].number,
        )

    def told(self, answer: Answer) -> bool:
        """Whether it is done with; also after many tries: a feed that lost what came before it never says
        that two have all."""
        self._tries = 0 if answer.stored > self._stored else self._tries + 1
        self._stored = max(self._stored, answer.stored)
        last = self._spans[-1].number
        return answer.copied >= last or (answer.stored >= last and self._tries >= MOST_TRIES)


class Service:
    """`Director.audit`. empty: tells clients to go; again: follows the board anew."""

    def __init__(
        self,
        options: Options,
        name: str,
        director: Director,
        holder: Holder,
        clock: Callable[[], float],
        drain: Emptied,
        empty: Callable[[], None],
        again: Callable[[], None],
    ) -> None:
        """Opens the folder. Raises OSError."""
        self._options, self._director, self._holder, self._clock = options, director, holder, clock
        self._drain, self._empty, self._again = drain, empty, again
        self._strict, self._enforce = holder.options.strict, options.enforce
        self._rng = random.Random()
        self._store: TrailStore | None = None
        self._store_again_ms = 0.0
        left = self._open_store()
        now = clock()
        latest = max((page.start for page in left), default=0)
        start = max(latest + 1, int(now) * START_SHIFT + self._rng.randrange(START_SHIFT))
        self._program = program_digest()
        self._operator = options.digest
        self._settings: tuple[Settings, str] | None = None
        self._list = -1, ""  # revision and digest
        self.tenure = Tenure(options.alone, options.board_ms)
        self._view = self._look_at_view()
        self._name = name_of(self._view)
        self._views = {self._name: self._view}
        worths = {cls: spec.worth for cls, spec in director.settings.classes.items()}
        self.trail = Trail(name, start, self._name, worths, now, options.trail_bytes)
        self._prior = [Prior(page, spans) for page in left if page.director == name and (spans := ends(page))]
        self._written = 0  # the last span in the store
        self._feeds = list(holder.options.feeds)
        self._leaves = False  # its last span is closed
        self._more = False  # there is something to tell at once
        self._at = int(blake2b(name.encode(), digest_size=4).hexdigest(), 16) % len(self._feeds)
        self._offset: tuple[float, float] | None = None
        self._clock_of = ""
        self._length_ms = LENGTH_MS
        self._granted = asyncio.Event()
        self._lapsed_at = 0.0
        self._stage = Stage.WELL
        self._emptied = False
        self.refused = self.held_up = 0
        self._tasks: list[asyncio.Task[None]] = []

    def _open_store(self) -> list[Page]:
        """What processes before this one left there. One that still runs, as in an upgrade, has the folder:
        it is opened once that one has left."""
        if not self._options.dir:
            return []
        try:
            self._store = TrailStore(Path(self._options.dir))
        except InUse:
            log.info("audit: the process before this one has the trail's folder")
            self._store_again_ms = steady_ms() + OPEN_AGAIN_MS
            return []
        return self._store.left

    @staticmethod
    def steady() -> float:
        return steady_ms()

    # --- asked by the director, for each request, attempt and answer

    def admits(self, cls: str) -> float:
        """0: it may go on; else the moment to come back, in ms."""
        if not self._enforce or self.tenure.may(cls in self._strict, steady_ms()):
            return 0.0
        self.refused += 1
        return self._rng.uniform(*BACK_MS)

    def may(self, cls: str) -> bool:
        """Just before an attempt's first byte, or an answer's."""
        if not self._enforce or self.tenure.may(cls in self._strict, steady_ms()):
            return True
        self.held_up += 1
        return False

    def may_answer(self, cls: str) -> bool:
        return cls not in self._strict or self.may(cls)

    def sent(self, cls: str) -> int:
        return self.trail.sent(cls)

    def served(self, cls: str, number: int) -> None:
        self.trail.served(cls, number)

    def turned(self) -> None:
        """Something that decisions rest on may have changed."""
        view = self._look_at_view()
        if view == self._view:
            return
        self._view, self._name = view, name_of(view)
        self._views[self._name] = view
        self.trail.turn(self._name, self._totals(), self._clock())

    def reconfigured(self, operator: str) -> None:
        self._operator = operator
        self.turned()

    def _look_at_view(self) -> View:
        director, standing = self._director, self._holder.standing
        settings = director.settings
        if self._settings is None or self._settings[0] is not settings:
            self._settings = settings, settings_digest(settings)
        if self._list[0] != director.rev:
            told = director.told().items()
            self._list = (
                director.rev,
                list_digest({name: (i.host_port, m.state.name, m.came_up_ms) for name, (i, m) in told}),
            )
        return View(
            self._options.board,
            director.rev,
            self._list[1],
            tuple(sorted(director.register.out)),
            vector_text(standing.positions.vector()),
            standing.known_since(self._clock()),
            self._settings[1],
            self._operator,
            self._program,
        )

    def _totals(self) -> Totals:
        return self._director.figures.classes

    # --- reporting

    async def start(self) -> None:
        """Waits a while for the first tenure: a start acts on nothing without one."""
        self._tasks = [asyncio.create_task(self._report_all())]
        try:
            async with asyncio.timeout(START_S):
                await self._granted.wait()
        except TimeoutError:
            log.error("audit: no feed answered in ms=%.0f alone=%s", START_S * 1000.0, self._options.alone)
        self._tasks.append(asyncio.create_task(self._look_all()))

    async def _report_all(self) -> None:
        backoff = Backoff(self._rng, BACKOFF_S, BACKOFF_MOST_S)
        while True:
            try:
                heard = await self._report(ANSWER_S)
                await self._write()
            except Exception:  # one that no longer reports would shut itself out for good
                log.exception("audit: report failed")
                heard = False
            wait = backoff.after(heard)
            if heard and not self._more:
                wait = self._options.report_ms / 1000.0 * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(wait)

    async def _report(self, within_s: float) -> bool:
        """Asks one feed; the next one after a failure."""
        host, port = self._feeds[self._at]
        asked = steady_ms()  # before anything of the question is made
        report, prior = self._next()
        report.view, report.sent_ms = self._view, self._clock()
        try:
            body, token = encode_json(report), self._holder.own_token()
            headers = {"Content-Type": "application/json"}
            told = await fetch(host, port, "POST", "/reports", token, body, headers, within_s=within_s)
            answer = answer_decoder.decode(told)
        except CALL_ERRORS as error:
            self.tenure.unanswered(asked, self._length_ms)
            self._at = (self._at + 1) % len(self._feeds)
            why = type(error).__name__
            log.warning("audit: feed did not answer feed=%s:%d: %s %s", host, port, why, error)
            return False
        if prior is not None:
            self._more = True  # its own turn is next, without a wait
            if prior.told(answer):
                self._prior.pop(0)
            return True
        self._more = len(report.spans) == A_REPORT and answer.stored >= report.spans[-1].number
        self._answered(answer, report, asked)
        return True

    def _answered(self, answer: Answer, report: Report, asked: float) -> None:
        now = self._clock()
        self._length_ms = answer.tenure_ms
        self._offset = answer.now_ms - now, answer.now_ms - report.sent_ms
        self._clock_of = answer.feed
        self.trail.acknowledged(answer.stored, answer.copied)
        void = self.tenure.void
        self.tenure.judged(answer.verdict, report.view)
        if self.tenure.void > void:
            log.warning("audit: verdict not believed feed=%s: %s", answer.feed, answer.verdict.why)
        self.tenure.granted(asked, answer.tenure_ms)
        if self.tenure.stage < Stage.OUT:
            self._granted.set()
        if answer.verdict.stage is Stage.AGAIN:  # at another feed, which may have more, and may do more
            self._at = (self._at + 1) % len(self._feeds)
        self._forget_views()

    def _next(self) -> tuple[Report, Prior | None]:
        """What to report, and of which earlier process, where it is of one."""
        trail = self.trail
        zone = self._director.settings.zone
        if self._prior and self._granted.is_set() and not self._more:  # in turns: the tenure goes on
            prior = self._prior[0]
            return prior.report(trail.director, zone), prior
        spans = trail.waiting(A_REPORT)
        if self._leaves:
            named = {span.view for span in spans}
            views = {name: self._views[name] for name in named if name in self._views}
            last = Report(trail.director, trail.start, zone, 0.0, spans=spans, views=views, lost=trail.lost)
            last.first = trail.copied + 1
            return last, None
        open_ = trail.checkpoint(self._totals(), self._clock())
        named = {span.view for span in spans} - {open_.view}  # that one goes along as the report's own
        return Report(
            trail.director,
            trail.start,
            zone,
            0.0,
            spans=spans,
            views={name: self._views[name] for name in named if name in self._views},
            open=open_,
            lost=trail.lost,
            offset=self._offset,
            clock=self._clock_of,
            first=trail.copied + 1,
            stage=int(self.tenure.stage),
        ), None

    def _forget_views(self) -> None:
        used = {span.view for span in self.trail.kept()} | {self._name}
        self._views = {name: view for name, view in self._views.items() if name in used}

    async def _write(self) -> None:
        if self._store is None and self._options.dir and steady_ms() > self._store_again_ms:
            self._prior += [
                Prior(p, spans)
                for p in self._open_store()
                if p.director == self.trail.director and p.start < self.trail.start and (spans := ends(p))
            ]
        if self._store is None:
            return
        trail = self.trail
        kept = trail.kept()
        fresh = [span for span in kept if span.number > self._written]
        open_ = trail.checkpoint(self._totals(), self._clock())
        views = {span.view: self._views[span.view] for span in (*fresh, open_)}
        page = Page(trail.director, trail.start, fresh, views, open_, trail.lost, trail.copied)
        whole = None
        if self._store.full:
            mine = Page(trail.director, trail.start, kept, dict(self._views), open_, trail.lost, trail.copied)
            whole = [*(prior.page for prior in self._prior), mine]
        if await asyncio.to_thread(self._store.write, page, whole):
            self._written = max(self._written, fresh[-1].number if fresh else 0)

    # --- what becomes of it

    async def _look_all(self) -> None:
        while True:
            self.look()
            await asyncio.sleep(LOOK_S)

    def look(self) -> None:
        """Says what has changed, and empties or fills the director."""
        now, tenure = steady_ms(), self.tenure
        lapsed = tenure.lapsed(now)
        if lapsed and not self._lapsed_at:
            self._lapsed_at = now
            log.error("audit: shut out: %s", tenure.why or "no tenure: no feed or board has answered in time")
        elif not lapsed and self._lapsed_at:
            log.warning("audit: acts again after_ms=%.0f", now - self._lapsed_at)
            self._lapsed_at = 0.0
        if tenure.stage is not self._stage:
            log.warning(
                "audit: stage=%s was=%s: %s", tenure.stage.name.lower(), self._stage.name.lower(), tenure.why
            )
            if tenure.stage >= Stage.AGAIN > self._stage:
                self._holder.follow_again()
                self._again()
            self._stage = tenure.stage
        if not self._enforce:
            return
        empty = tenure.stage >= Stage.EMPTIED or (lapsed and now - self._lapsed_at > LAPSED_MS)
        if empty and not self._emptied:
            self._drain.behind(self._clock())
            self._empty()
        elif not empty and self._emptied:
            self._drain.forward()
        self._emptied = empty

    def lines(self) -> list[tuple[str, int]]:
        """For the operators' figures."""
        left = max(self.tenure.until - steady_ms(), 0.0)
        waiting = self.trail.number - 1 - self.trail.stored
        return [
            ("audit_stage", int(self.tenure.stage)),
            ("audit_tenure_ms", int(left)),
            ("audit_span", self.trail.number),
            ("audit_spans_waiting", waiting),
            ("audit_refused", self.refused),
            ("audit_held_up", self.held_up),
            ("audit_void", self.tenure.void),
        ]

    async def close(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._prior, self._leaves = [], True
        self.trail.turn(self._name, self._totals(), self._clock(), "stopped")
        await self._write()
        await self._report(LAST_S)
        if self._store is not None:
            await self._write()
            await asyncio.to_thread(self._store.close)


def ends(page: Page) -> list[Span]:
    """What a process left, as its spans: where it was killed the last one is its checkpoint."""
    return [*page.spans, page.open] if page.open is not None else list(page.spans)
