"""What all directors reported, and what can be said from it. Pure.

By director and start: spans by their numbers, kept encoded, with arrays of their moments to search in. A span
that comes twice is there once; one number with two contents is a conflict, and both are kept for whoever
looks. Views are kept once each by their names. Two ledgers that hand one another what they have end up with
the same, in whatever order.

Times in questions are the clock of the feed that took a report; a director's clock is known to stand within
its offset's bounds, and each answer says how far it may be out.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Iterator, Mapping
from enum import Enum

import msgspec

from ..control.positions import ISSUER
from .trail import Count, Lost, Span, first_seal, is_sealed
from .view import View, name_of
from .wire import Report

MOST_NAME = 64
MOST_RUNS = 65_536
MOST_CONFLICTS = 1_000
AHEAD_MS = 2_000.0  # a span that ends so long after its report was taken is dated wrongly
FORMAT = 1
Run = tuple[str, int]  # a director and one of its starts


class BadReport(ValueError):
    """A report that cannot be."""


class Conflict(msgspec.Struct, array_like=True):
    """One number, two contents."""

    director: str
    start: int
    number: int
    seal: str
    other: str


class Known(Enum):
    ACTED = "acted"
    UNKNOWN = "unknown"
    AWAY = "not running"


class Row(msgspec.Struct):
    """A stretch of one start of a director. known: `acted` with the span's view, `unknown` (killed, lost or
    not told yet: why says), or `not running`. offset: bounds of the feed's clock beyond the director's."""

    director: str
    start: int
    zone: str
    from_ms: float
    to_ms: float
    known: str
    number: int = 0
    view: str = ""
    counts: dict[str, Count] = {}
    worth: float = 0.0
    why: str = ""
    offset: tuple[float, float] | None = None
    by: str = ""


class Wrong(msgspec.Struct):
    """What does not fit together. what: altered, dropped, doubled, dated, unnamed; missing: the newest spans
    have not come yet."""

    director: str
    start: int
    number: int
    what: str


class _Started:
    """One start of a director."""

    __slots__ = (
        "zone",
        "numbers",
        "froms",
        "tos",
        "ends",
        "views",
        "blobs",
        "lost",
        "open",
        "offset",
        "clock",
        "by",
        "taken_ms",
        "current",
        "stage",
        "view",
        "upto",
    )

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.numbers = array("Q")
        self.froms = array("d")
        self.tos = array("d")
        self.ends: dict[int, str] = {}  # of spans that do not simply go on
        self.views: list[str] = []
        self.blobs: list[bytes] = []
        self.lost: list[Lost] = []
        self.open: Span | None = None
        self.offset: tuple[float, float] | None = None
        self.clock = self.by = ""
        self.taken_ms = 0.0  # of the latest report
        self.current = True
        self.stage = 0
        self.view = View()
        self.upto = 0

    def span(self, place: int) -> Span:
        return span_decoder.decode(self.blobs[place])

    def put(self, span: Span) -> Span | None:
        """None: it is new or known; else the other one of its number."""
        numbers = self.numbers
        later = not numbers or span.number > numbers[-1]  # nearly always
        place = len(numbers) if later else bisect_left(numbers, span.number)
        if place < len(numbers) and numbers[place] == span.number:
            known = self.span(place)
            if goes_on(known, span):
                self.tos[place], self.blobs[place] = span.to_ms, encode(span)
                self.ends[span.number] = span.end
                if not span.end:
                    del self.ends[span.number]
                return None
            return None if known == span or goes_on(span, known) else known
        numbers.insert(place, span.number)
        self.froms.insert(place, span.from_ms)
        self.tos.insert(place, span.to_ms)
        self.views.insert(place, span.view)
        self.blobs.insert(place, encode(span))
        if span.end:
            self.ends[span.number] = span.end
        self._count_on()
        return None

    def cut(self, place: int) -> int:
        """Forgets all spans before a place; what stays is that they were."""
        last = self.span(place - 1)
        begins = min([self.froms[0], *(one.from_ms for one in self.lost if one.first <= last.number)])
        self.lost = [one for one in self.lost if one.first > last.number]
        self.lost.insert(0, Lost(1, last.number, begins, last.to_ms, last.seal))
        for kept in (self.numbers, self.froms, self.tos, self.views, self.blobs):
            del kept[:place]
        for number in [number for number in self.ends if number <= last.number]:
            del self.ends[number]
        return place

    def has(self, number: int) -> bool:
        place = bisect_left(self.numbers, number)
        return place < len(self.numbers) and self.numbers[place] == number

    def _count_on(self) -> None:
        place = bisect_left(self.numbers, self.upto + 1)
        while True:
            if place < len(self.numbers) and self.numbers[place] == self.upto + 1:
                self.upto += 1
                place += 1
                continue
            gap = next((one for one in self.lost if one.first <= self.upto + 1 <= one.last), None)
            if gap is None:
                return
            self.upto = gap.last
            place = bisect_left(self.numbers, self.upto + 1)

    def lose(self, told: Iterable[Lost]) -> bool:
        """Whether any of it is new. What is here all the same is not lost."""
        new = [one for one in told if one not in self.lost]
        self.lost += new
        if new:
            self._count_on()
        return bool(new)


def goes_on(one: Span, other: Span) -> bool:
    """Whether the other is the same span as a checkpoint, further on or closed."""
    same_span = (one.number, one.from_ms, one.view) == (other.number, other.from_ms, other.view)
    return (
        one.end == "open"
        and same_span
        and one != other
        and one.to_ms <= other.to_ms
        and all(
            cls in other.counts and count.sent <= other.counts[cls].sent for cls, count in one.counts.items()
        )
    )


class Ledger:
    def __init__(self, retention_ms: float = 30 * 86_400_000.0) -> None:
        self.retention_ms = retention_ms
        self.views: dict[str, View] = {}
        self.conflicts: list[Conflict] = []
        self.unnamed: list[Run] = []  # told of views that do not have their names
        self.spans = 0
        self._runs: dict[Run, _Started] = {}
        self._starts: dict[str, list[int]] = {}  # by director, ascending

    # --- taking

    def check(self, report: Report) -> None:
        """Raises BadReport."""
        if not ISSUER.fullmatch(report.director) or not 0 < report.start < 2**53:
            who = f"director {report.director[:70]!r}, start {report.start}"
            raise BadReport(f"{who}; expected a name and a start")
        if len(report.zone) > MOST_NAME or not 0.0 <= report.sent_ms < 2**53:
            raise BadReport("zone, sent_ms; expected a short name and Unix ms")
        for span in report.spans if report.open is None else (*report.spans, report.open):
            if not 0 < span.number < 2**53 or not 0.0 <= span.from_ms <= span.to_ms < 2**53:
                raise BadReport(f"span {span.number}; expected a number and two moments in order")
        low, high = report.offset or (0.0, 0.0)
        if not low <= high:
            raise BadReport("offset; expected a lower and an upper bound")
        if (report.director, report.start) not in self._runs and len(self._runs) >= MOST_RUNS:
            raise BadReport(f"more than {MOST_RUNS} starts")

    def new_of(self, report: Report) -> bool:
        """Whether it holds anything that has to be stored."""
        run = self._runs.get((report.director, report.start))
        if run is None:
            return True
        if not report.current and run.current:
            return True
        if any(one not in run.lost for one in report.lost):
            return True
        return any(not run.has(span.number) for span in report.spans)

    def take(self, report: Report) -> int:
        """How many spans were new. Raises BadReport and changes nothing."""
        self.check(report)
        key = report.director, report.start
        run = self._runs.get(key)
        if run is None:
            run = self._runs[key] = _Started(report.zone)
            starts = self._starts.setdefault(report.director, [])
            starts.insert(bisect_left(starts, report.start), report.start)
        if report.current:
            self.views.setdefault(name_of(report.view), report.view)
        for name, view in report.views.items():
            if name_of(view) != name:
                if key not in self.unnamed:
                    self.unnamed.append(key)
                continue
            self.views.setdefault(name, view)
        before = len(run.numbers)
        for span in report.spans:
            other = run.put(span)
            if other is not None and len(self.conflicts) < MOST_CONFLICTS:
                conflict = Conflict(*key, span.number, *sorted((span.seal, other.seal)))
                if conflict not in self.conflicts:
                    self.conflicts.append(conflict)
        run.lose(report.lost)
        self._latest(run, report)
        self.spans += len(run.numbers) - before
        return len(run.numbers) - before

    def _latest(self, run: _Started, report: Report) -> None:
        """What the newest report says; reports may come out of order."""
        if report.offset is not None and (run.offset is None or not run.clock or run.clock == report.clock):
            low, high = run.offset or report.offset
            # bounds of one difference both hold; a clock that was set makes them disagree: the newer counts
            low, high = max(low, report.offset[0]), min(high, report.offset[1])
            run.offset = (low, high) if low <= high else report.offset
            run.clock = report.clock
        if report.taken_ms < run.taken_ms:
            return
        run.taken_ms, run.by, run.stage = report.taken_ms, report.by, report.stage
        run.current = report.current
        if report.current:
            run.view = report.view
        if report.open is not None and (run.open is None or report.open.to_ms >= run.open.to_ms):
            run.open = report.open

    # --- for other ledgers

    def upto(self, run: Run, first: int = 1) -> int:
        """The last number up to which all spans of a start are here, from one on: who tells them may have no
        earlier ones any more."""
        started = self._runs.get(run)
        if started is None:
            return 0
        if started.upto >= first - 1:
            return started.upto
        place, last = bisect_left(started.numbers, first), first - 1
        while place < len(started.numbers) and started.numbers[place] == last + 1:
            place, last = place + 1, last + 1
        return last

    def marks(self) -> dict[Run, int]:
        return {key: run.upto for key, run in self._runs.items()}

    def beyond(self, marks: Mapping[Run, int], most: int) -> Iterator[Report]:
        """What a ledger at these marks lacks, in reports of so many spans at the most."""
        for key in self._runs:
            yield from self.beyond_run(key, marks.get(key, 0), most)

    def beyond_run(self, key: Run, upto: int, most: int) -> Iterator[Report]:
        """The same of one start; at least one report, with how far its open span has come."""
        run = self._runs[key]
        place = bisect_right(run.numbers, upto)
        while True:
            part = [run.span(p) for p in range(place, min(place + most, len(run.numbers)))]
            yield self._report(key, run, part)
            place += len(part)
            if place >= len(run.numbers):
                return

    def _report(self, key: Run, run: _Started, spans: list[Span]) -> Report:
        views = {span.view: self.views[span.view] for span in spans if span.view in self.views}
        return Report(
            *key,
            run.zone,
            0.0,
            run.view,
            spans,
            views,
            run.open,
            run.lost,
            run.offset,
            run.clock,
            run.current,
            run.stage,
            run.taken_ms,
            run.by,
        )

    # --- questions

    def directors(self) -> list[str]:
        return sorted(self._starts)

    def latest(self) -> list[Row]:
        """The newest start of each director, and others that go on beside it, as their last reports said."""
        found = []
        for director, starts in sorted(self._starts.items()):
            for start in starts:
                run = self._runs[director, start]
                if start != starts[-1] and not self._beside(director, start):
                    continue
                known = Known.ACTED if self._lives(run) else Known.AWAY
                row = Row(
                    director,
                    start,
                    run.zone,
                    0.0,
                    run.taken_ms,
                    known.value,
                    run.upto,
                    name_of(run.view),
                    why=str(run.stage or ""),
                    offset=run.offset,
                    by=run.by,
                )
                if run.open is not None:
                    row.from_ms, row.number = run.open.from_ms, run.open.number
                    row.counts, row.worth = run.open.counts, run.open.worth
                found.append(row)
        return found

    def view_of(self, director: str, start: int) -> View:
        return self._runs[director, start].view

    def twins(self, within_ms: float) -> list[str]:
        """Directors of which two starts reported after the later had begun, for longer than an upgrade."""
        found = []
        for director, starts in self._starts.items():
            for older, newer in zip(starts, starts[1:], strict=False):
                began = self._began(self._runs[director, newer])
                run = self._runs[director, older]
                if began and run.taken_ms > began + within_ms and run.current:
                    found.append(director)
                    break
        return sorted(found)

    def _beside(self, director: str, start: int) -> bool:
        starts = self._starts[director]
        later = self._runs[director, starts[starts.index(start) + 1]]
        run = self._runs[director, start]
        return run.current and self._lives(run) and run.taken_ms > self._began(later) > 0.0

    @staticmethod
    def _lives(run: _Started) -> bool:
        return not run.ends  # neither stopped nor cut short

    @staticmethod
    def _began(run: _Started) -> float:
        if len(run.froms):
            return run.froms[0]
        return run.open.from_ms if run.open is not None else 0.0

    def at(self, moment_ms: float) -> list[Row]:
        """What each director acted on at a moment of the feed's clock: all rows that may cover it."""
        found: list[Row] = []
        for director in self.directors():
            found += self.of(director, moment_ms, moment_ms)
        return found

    def of(self, director: str, from_ms: float, to_ms: float) -> list[Row]:
        """All stretches of a director that may overlap one of the feed's clock, oldest first."""
        rows: list[Row] = []
        starts = self._starts.get(director, [])
        for place, start in enumerate(starts):
            run = self._runs[director, start]
            low, high = run.offset or (0.0, 0.0)
            mine = from_ms - high, to_ms - low  # by the director's clock, as wide as it may be
            rows += self._acted(director, start, run, *mine)
            next_run = self._runs[director, starts[place + 1]] if place + 1 < len(starts) else None
            rows += self._after(director, start, run, next_run, *mine)
        return sorted(rows, key=lambda row: (row.from_ms, row.start))

    def _acted(self, director: str, start: int, run: _Started, low: float, high: float) -> Iterator[Row]:
        first = bisect_left(run.tos, low)  # the first that ends no earlier
        for place in range(first, bisect_right(run.froms, high)):
            span = run.span(place)
            if span.end == "open" and run.open is not None and run.open.number == span.number:
                span = max(span, run.open, key=lambda one: one.to_ms)  # both are checkpoints of the same
            yield self._row(director, start, run, span)
        for gap in run.lost:
            if gap.from_ms <= high and gap.to_ms >= low and not run.has(gap.first):
                yield Row(
                    director,
                    start,
                    run.zone,
                    gap.from_ms,
                    gap.to_ms,
                    Known.UNKNOWN.value,
                    gap.first,
                    why=f"{gap.last - gap.first + 1} spans are gone",
                    offset=run.offset,
                )
        open_ = run.open
        if open_ is not None and not run.has(open_.number) and open_.from_ms <= high and open_.to_ms >= low:
            yield self._row(director, start, run, open_)

    def _row(self, director: str, start: int, run: _Started, span: Span) -> Row:
        return Row(
            director,
            start,
            run.zone,
            span.from_ms,
            span.to_ms,
            Known.ACTED.value,
            span.number,
            span.view,
            span.counts,
            span.worth,
            "" if span.view in self.views else "its view was not told",
            run.offset,
            run.by,
        )

    def _after(
        self, director: str, start: int, run: _Started, then: _Started | None, low: float, high: float
    ) -> Iterator[Row]:
        """Behind the last thing that is known of a start: nothing, or what nobody knows."""
        last = self._last(run)
        began = self._began(then) if then is not None else 0.0
        until = began or max(high, last)
        if until <= last or last > high or until < low:
            return
        stopped = "stopped" in run.ends.values()
        why = (
            ""
            if stopped
            else (
                "killed, or its last words were lost"
                if then is not None or not run.current
                else "not told yet"
            )
        )
        known = Known.AWAY if stopped else Known.UNKNOWN
        yield Row(director, start, run.zone, last, until, known.value, why=why, offset=run.offset)

    @staticmethod
    def _last(run: _Started) -> float:
        ended = run.tos[-1] if len(run.tos) else 0.0
        return max(ended, run.open.to_ms if run.open is not None else 0.0)

    def verify(self) -> list[Wrong]:
        """All that does not fit together."""
        found = [Wrong(*run, 0, "unnamed") for run in self.unnamed]
        found += [Wrong(c.director, c.start, c.number, "doubled") for c in self.conflicts]
        for (director, start), run in self._runs.items():
            found += [Wrong(director, start, number, what) for number, what in _faults(director, start, run)]
        return found

    # --- keeping

    def forget(self, now_ms: float) -> int:
        """Drops spans that ended before the retention, and starts whose last word is from before it; gives
        how many spans."""
        past, before = now_ms - self.retention_ms, self.spans
        for key, run in list(self._runs.items()):
            if max(self._last(run), run.taken_ms) < past:
                self.spans -= len(self._runs.pop(key).numbers)
                self._starts[key[0]].remove(key[1])
                if not self._starts[key[0]]:
                    del self._starts[key[0]]
            elif len(run.tos) and run.tos[0] < past:
                self.spans -= run.cut(bisect_left(run.tos, past))
        if self.spans < before:
            used = {view for run in self._runs.values() for view in run.views}
            used |= {run.open.view for run in self._runs.values() if run.open is not None}
            used |= {name_of(run.view) for run in self._runs.values()}
            self.views = {name: view for name, view in self.views.items() if name in used}
        return before - self.spans

    def snapshot(self) -> bytes:
        """The whole of it; spans go over as they are kept, since all of it is done at once."""
        runs = [(self._report(key, run, []), run.blobs) for key, run in self._runs.items()]
        return encode((FORMAT, runs, self.views, self.conflicts, self.unnamed))

    def restore(self, payload: bytes) -> None:
        """Into an empty one. Raises msgspec's errors and BadReport."""
        form, runs, self.views, self.conflicts, self.unnamed = _stored_decoder.decode(payload)
        if form != FORMAT:
            raise BadReport(f"snapshot of format {form}; expected {FORMAT}")
        for report, blobs in runs:
            self.take(report)
            run = self._runs[report.director, report.start]
            for blob in blobs:
                run.put(span_decoder.decode(blob))
            self.spans += len(run.numbers)


def _faults(director: str, start: int, run: _Started) -> Iterator[tuple[int, str]]:
    seal, end, number = first_seal(director, start), 0.0, 0
    for place in range(len(run.numbers)):
        span = run.span(place)
        gap = next((one for one in run.lost if one.first == number + 1), None)
        if gap is not None and not run.has(gap.first):
            seal, end, number = gap.seal, gap.to_ms, gap.last
        if span.number != number + 1:
            yield number + 1, "dropped"
        elif not is_sealed(seal, span):
            yield span.number, "altered"
        elif number and span.from_ms != end:
            yield span.number, "dated"
        if run.offset is not None and run.taken_ms and span.to_ms + run.offset[0] > run.taken_ms + AHEAD_MS:
            yield span.number, "dated"
        seal, end, number = span.seal, span.to_ms, span.number
    if run.open is not None and run.open.number > number + 1 and run.taken_ms:
        # its process has closed spans that did not come yet
        yield number + 1, "missing"
    if run.open is not None and run.open.number == number + 1 and number and run.open.from_ms != end:
        yield run.open.number, "dated"


encode = msgspec.msgpack.encode
span_decoder: msgspec.msgpack.Decoder[Span] = msgspec.msgpack.Decoder(Span)
Stored = tuple[int, list[tuple[Report, list[bytes]]], dict[str, View], list[Conflict], list[Run]]
_stored_decoder: msgspec.msgpack.Decoder[Stored] = msgspec.msgpack.Decoder(Stored)
