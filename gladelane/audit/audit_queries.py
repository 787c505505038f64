"""Queries over an audit store. No I/O, no clock.

Times in queries are of the control server's clock. A director's clock differs from it by an offset of which
only bounds are known; each row contains these bounds.
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
class _TimeRange:
    """A time range of a director's clock, in ms; both ends are included."""

    from_ms: float
    to_ms: float

    def overlaps(self, from_ms: float, to_ms: float) -> bool:
        return from_ms <= self.to_ms and to_ms >= self.from_ms


def directors(store: AuditStore) -> list[str]:
    """The names of all directors that have reported, sorted."""
    return sorted(store.starts)


def view_of(store: AuditStore, director: str, start: int) -> View:
    """The view that a start reported last. Raises KeyError for an unknown start."""
    return store.runs[RunId(director, start)].view


def latest_rows(store: AuditStore) -> list[AuditRow]:
    """The latest state of each director's newest start, and of older starts that still run in parallel."""
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
        known=(Knowledge.ACTED if run.is_running else Knowledge.NOT_RUNNING).value,
        number=run.last_contiguous,
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
    return run.current and run.is_running and run.taken_ms > successor.started_ms > 0.0


def directors_running_twice(store: AuditStore, overlap_tolerance_ms: float) -> list[str]:
    """Directors of which an older process still reported more than `overlap_tolerance_ms` after a newer one
    had started. Such an overlap is too long for an upgrade, so two processes share one name."""
    found = []
    for director, starts in store.starts.items():
        runs = [store.runs[RunId(director, start)] for start in starts]
        if any(_outlives(older, newer, overlap_tolerance_ms) for older, newer in pairwise(runs)):
            found.append(director)
    return sorted(found)


def _outlives(older: RunHistory, newer: RunHistory, tolerance_ms: float) -> bool:
    return newer.started_ms > 0.0 and older.taken_ms > newer.started_ms + tolerance_ms and older.current


def rows_at(store: AuditStore, at_ms: float) -> list[AuditRow]:
    """What each director acted on at `at_ms`: all rows that may cover this time."""
    found: list[AuditRow] = []
    for director in directors(store):
        found += rows_between(store, director, at_ms, at_ms)
    return found


def rows_between(store: AuditStore, director: str, from_ms: float, to_ms: float) -> list[AuditRow]:
    """All rows of a director that may overlap a time range, oldest first."""
    rows: list[AuditRow] = []
    starts = store.starts.get(director, [])
    for index, start in enumerate(starts):
        run_id = RunId(director, start)
        run = store.runs[run_id]
        low_ms, high_ms = run.offset or (0.0, 0.0)
        possible_range = _TimeRange(from_ms - high_ms, to_ms - low_ms)
        is_last = index + 1 == len(starts)
        successor = None if is_last else store.runs[RunId(director, starts[index + 1])]
        rows += _known_rows(store, run_id, run, possible_range)
        rows += _rows_after_end(run_id, run, successor, possible_range)
    return sorted(rows, key=lambda row: (row.from_ms, row.start))


def _known_rows(
    store: AuditStore, run_id: RunId, run: RunHistory, requested: _TimeRange
) -> Iterator[AuditRow]:
    """The rows of closed intervals, of lost ranges and of the open interval."""
    # the first interval that ends within or after the range
    first = bisect_left(run.to_times_ms, requested.from_ms)
    for index in range(first, bisect_right(run.from_times_ms, requested.to_ms)):
        interval = run.interval(index)
        if interval.end == "open" and run.open is not None and run.open.number == interval.number:
            interval = max(interval, run.open, key=lambda candidate: candidate.to_ms)  # of two checkpoints
        yield _interval_row(store, run_id, run, interval)
    for lost_range in run.lost:
        if requested.overlaps(lost_range.from_ms, lost_range.to_ms) and not run.has(lost_range.first):
            yield _lost_row(run_id, run, lost_range)
    checkpoint = run.open
    if checkpoint is not None and not run.has(checkpoint.number):
        if requested.overlaps(checkpoint.from_ms, checkpoint.to_ms):
            yield _interval_row(store, run_id, run, checkpoint)


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


def _lost_row(run_id: RunId, run: RunHistory, lost_range: LostIntervals) -> AuditRow:
    return AuditRow(
        director=run_id.director,
        start=run_id.start,
        zone=run.zone,
        from_ms=lost_range.from_ms,
        to_ms=lost_range.to_ms,
        known=Knowledge.UNKNOWN.value,
        number=lost_range.first,
        why=f"{lost_range.last - lost_range.first + 1} spans are gone",
        offset=run.offset,
    )


def _rows_after_end(
    run_id: RunId, run: RunHistory, successor: RunHistory | None, requested: _TimeRange
) -> Iterator[AuditRow]:
    """The row for the time from the end of what is known of a start to the beginning of the next start."""
    last_ms = run.last_known_ms
    successor_started_ms = successor.started_ms if successor is not None else 0.0
    until_ms = successor_started_ms or max(requested.to_ms, last_ms)
    if until_ms <= last_ms or not requested.overlaps(last_ms, until_ms):
        return
    if "stopped" in run.end_markers.values():
        known, reason = Knowledge.NOT_RUNNING, ""
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
