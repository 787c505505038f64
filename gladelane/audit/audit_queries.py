"""Answers questions from an audit store. Pure.

Moments in questions are of the control server's clock. A director's clock is known to differ from it by the
bounds of its offset, which each row names.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator
from dataclasses import dataclass
from itertools import pairwise

from .activity_log import ActivityInterval, LostIntervals
from .audit_store import AuditStore
from .records import AuditRow, Knowledge
from .run_history import RunHistory
from .view import View, view_id
from .wire import RunId


@dataclass(frozen=True)
class _Range:
    """A time range of a director's clock, in ms; both ends are included."""

    from_ms: float
    to_ms: float

    def overlaps(self, from_ms: float, to_ms: float) -> bool:
        return from_ms <= self.to_ms and to_ms >= self.from_ms


def directors(store: AuditStore) -> list[str]:
    """All directors that reported, by name."""
    return sorted(store.starts)


def view_of(store: AuditStore, director: str, start: int) -> View:
    """The view that a start reported last. Raises KeyError for an unknown start."""
    return store.runs[RunId(director, start)].view


def latest_rows(store: AuditStore) -> list[AuditRow]:
    """The latest state of each director's newest start, and of older starts that still run beside it."""
    found = []
    for director, starts in sorted(store.starts.items()):
        for start in starts:
            if start == starts[-1] or _runs_beside_next(store, director, start):
                found.append(_latest_row(RunId(director, start), store.runs[RunId(director, start)]))
    return found


def _latest_row(run_id: RunId, run: RunHistory) -> AuditRow:
    row = AuditRow(
        director=run_id.director,
        start=run_id.start,
        zone=run.zone,
        from_ms=0.0,
        to_ms=run.taken_ms,
        known=(Knowledge.ACTED if run.is_running else Knowledge.AWAY).value,
        number=run.upto,
        view=view_id(run.view),
        why=str(run.stage or ""),
        offset=run.offset,
        by=run.by,
    )
    if run.open is not None:
        row.from_ms, row.number = run.open.from_ms, run.open.number
        row.counts, row.value = run.open.counts, run.open.value
    return row


def _runs_beside_next(store: AuditStore, director: str, start: int) -> bool:
    starts = store.starts[director]
    successor = store.runs[RunId(director, starts[starts.index(start) + 1])]
    run = store.runs[RunId(director, start)]
    return run.current and run.is_running and run.taken_ms > successor.began_ms > 0.0


def directors_running_twice(store: AuditStore, tolerated_ms: float) -> list[str]:
    """Directors of which an older process still reported `tolerated_ms` after a newer one had begun, so that
    they are not one director in an upgrade."""
    found = []
    for director, starts in store.starts.items():
        runs = [store.runs[RunId(director, start)] for start in starts]
        if any(_outlives(older, newer, tolerated_ms) for older, newer in pairwise(runs)):
            found.append(director)
    return sorted(found)


def _outlives(older: RunHistory, newer: RunHistory, tolerated_ms: float) -> bool:
    return newer.began_ms > 0.0 and older.taken_ms > newer.began_ms + tolerated_ms and older.current


def rows_at(store: AuditStore, moment_ms: float) -> list[AuditRow]:
    """What each director acted on at a moment: all rows that may cover it."""
    found: list[AuditRow] = []
    for director in directors(store):
        found += rows_between(store, director, moment_ms, moment_ms)
    return found


def rows_between(store: AuditStore, director: str, from_ms: float, to_ms: float) -> list[AuditRow]:
    """All rows of a director that may overlap a time range, oldest first."""
    rows: list[AuditRow] = []
    starts = store.starts.get(director, [])
    for index, start in enumerate(starts):
        run_id = RunId(director, start)
        run = store.runs[run_id]
        low_ms, high_ms = run.offset or (0.0, 0.0)
        widest = _Range(from_ms - high_ms, to_ms - low_ms)
        is_last = index + 1 == len(starts)
        successor = None if is_last else store.runs[RunId(director, starts[index + 1])]
        rows += _known_rows(store, run_id, run, widest)
        rows += _rows_after_end(run_id, run, successor, widest)
    return sorted(rows, key=lambda row: (row.from_ms, row.start))


def _known_rows(store: AuditStore, run_id: RunId, run: RunHistory, wanted: _Range) -> Iterator[AuditRow]:
    """Of intervals, of ranges that were lost, and of the open interval."""
    first = bisect_left(run.tos_ms, wanted.from_ms)  # the first that ends no earlier
    for index in range(first, bisect_right(run.froms_ms, wanted.to_ms)):
        interval = run.interval(index)
        if interval.end == "open" and run.open is not None and run.open.number == interval.number:
            interval = max(interval, run.open, key=lambda one: one.to_ms)  # two checkpoints of the same
        yield _interval_row(store, run_id, run, interval)
    for gap in run.lost:
        if wanted.overlaps(gap.from_ms, gap.to_ms) and not run.has(gap.first):
            yield _lost_row(run_id, run, gap)
    current = run.open
    if current is not None and not run.has(current.number):
        if wanted.overlaps(current.from_ms, current.to_ms):
            yield _interval_row(store, run_id, run, current)


def _interval_row(store: AuditStore, run_id: RunId, run: RunHistory, interval: ActivityInterval) -> AuditRow:
    return AuditRow(
        director=run_id.director,
        start=run_id.start,
        zone=run.zone,
        from_ms=interval.from_ms,
        to_ms=interval.to_ms,
        known=Knowledge.ACTED.value,
        number=interval.number,
        view=interval.view,
        counts=interval.counts,
        value=interval.value,
        why="" if interval.view in store.views else "its view was not told",
        offset=run.offset,
        by=run.by,
    )


def _lost_row(run_id: RunId, run: RunHistory, gap: LostIntervals) -> AuditRow:
    return AuditRow(
        director=run_id.director,
        start=run_id.start,
        zone=run.zone,
        from_ms=gap.from_ms,
        to_ms=gap.to_ms,
        known=Knowledge.UNKNOWN.value,
        number=gap.first,
        why=f"{gap.last - gap.first + 1} spans are gone",
        offset=run.offset,
    )


def _rows_after_end(
    run_id: RunId, run: RunHistory, successor: RunHistory | None, wanted: _Range
) -> Iterator[AuditRow]:
    """Of the time from the last thing that is known of a start to the next start."""
    last_ms = run.last_known_ms
    successor_began_ms = successor.began_ms if successor is not None else 0.0
    until_ms = successor_began_ms or max(wanted.to_ms, last_ms)
    if until_ms <= last_ms or not wanted.overlaps(last_ms, until_ms):
        return
    if "stopped" in run.ends.values():
        known, reason = Knowledge.AWAY, ""
    elif successor is not None or not run.current:
        known, reason = Knowledge.UNKNOWN, "killed, or its last words were lost"
    else:
        known, reason = Knowledge.UNKNOWN, "not told yet"
    yield AuditRow(
        director=run_id.director,
        start=run_id.start,
        zone=run.zone,
        from_ms=last_ms,
        to_ms=until_ms,
        known=known.value,
        why=reason,
        offset=run.offset,
    )
