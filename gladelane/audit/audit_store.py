"""The audit store: all reports of all directors, in memory. Pure.

Intervals are stored by director, start and number. An interval that arrives twice is stored once; a number
with two contents is a conflict, of which both seals are kept. Views are stored once each, by their ids. Two
stores that exchange what they have end up equal, in whatever order messages arrive. `audit_queries` answers
questions from a store and `verification` checks it.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Iterator, Mapping

import msgspec

from ..control_plane.positions import ISSUER_PATTERN
from .activity_log import ActivityInterval
from .records import BadReportError, Conflict
from .run_history import RunHistory
from .view import View, view_id
from .wire import Report, RunId

MAX_ZONE_LENGTH = 64
MAX_RUNS = 65_536
MAX_CONFLICTS = 1_000
MAX_NUMBER = 2**53  # that JSON numbers hold exactly
DAY_MS = 86_400_000.0
FORMAT = 1


class StoredRun(msgspec.Struct, array_like=True):
    """One start in a snapshot: a report without intervals, and its intervals as they are encoded."""

    report: Report
    intervals: list[bytes]


class AuditSnapshot(msgspec.Struct, array_like=True):
    """The stored form of a store; fields are stored by their position."""

    format: int
    runs: list[StoredRun]
    views: dict[str, View]
    conflicts: list[Conflict]
    unnamed: list[RunId]


_snapshot_decoder: msgspec.msgpack.Decoder[AuditSnapshot] = msgspec.msgpack.Decoder(AuditSnapshot)


class AuditStore:
    """All that was reported. `runs` and `starts` (ascending, by director) are for reading only."""

    def __init__(self, retention_ms: float = 30 * DAY_MS) -> None:
        """`retention_ms` is how long intervals are stored after their end."""
        self.retention_ms = retention_ms
        self.views: dict[str, View] = {}
        self.conflicts: list[Conflict] = []
        self.unnamed: list[RunId] = []  # starts that reported a view under an id that is not its own
        self.interval_count = 0
        self.runs: dict[RunId, RunHistory] = {}
        self.starts: dict[str, list[int]] = {}

    def check(self, report: Report) -> None:
        """Raises BadReportError for a report with impossible content."""
        if not ISSUER_PATTERN.fullmatch(report.director) or not 0 < report.start < MAX_NUMBER:
            found = f"director {report.director[:70]!r}, start {report.start}"
            raise BadReportError(found, "a name and a start")
        if len(report.zone) > MAX_ZONE_LENGTH or not 0.0 <= report.sent_ms < MAX_NUMBER:
            raise BadReportError("zone, sent_ms", "a short name and Unix ms")
        for interval in report.intervals if report.open is None else (*report.intervals, report.open):
            _check_interval(interval)
        if report.offset is not None and not report.offset[0] <= report.offset[1]:
            raise BadReportError("offset", "a lower and an upper bound")
        if report.run_id not in self.runs and len(self.runs) >= MAX_RUNS:
            raise BadReportError(f"more than {MAX_RUNS} starts")

    def has_news(self, report: Report) -> bool:
        """Whether a report holds anything that has to be stored."""
        run = self.runs.get(report.run_id)
        if run is None:
            return True
        if not report.current and run.current:
            return True
        if any(one not in run.lost for one in report.lost):
            return True
        return any(not run.has(interval.number) for interval in report.intervals)

    def add(self, report: Report) -> int:
        """Adds a report and returns how many of its intervals were new. Raises BadReportError, and then
        changes nothing."""
        self.check(report)
        run = self.runs.get(report.run_id)
        if run is None:
            run = self._add_run(report)
        self._add_views(report)
        before = len(run.numbers)
        for interval in report.intervals:
            other = run.add(interval)
            if other is not None:
                self._add_conflict(report, interval, other)
        run.add_lost(report.lost)
        run.update_latest(report)
        added = len(run.numbers) - before
        self.interval_count += added
        return added

    def _add_run(self, report: Report) -> RunHistory:
        run = self.runs[report.run_id] = RunHistory(report.zone)
        starts = self.starts.setdefault(report.director, [])
        starts.insert(bisect_left(starts, report.start), report.start)
        return run

    def _add_views(self, report: Report) -> None:
        if report.current:
            self.views.setdefault(view_id(report.view), report.view)
        for name, view in report.views.items():
            if view_id(view) == name:
                self.views.setdefault(name, view)
            elif report.run_id not in self.unnamed:
                self.unnamed.append(report.run_id)

    def _add_conflict(self, report: Report, one: ActivityInterval, other: ActivityInterval) -> None:
        seals = sorted((one.seal, other.seal))
        conflict = Conflict(report.director, report.start, one.number, *seals)
        if conflict not in self.conflicts and len(self.conflicts) < MAX_CONFLICTS:
            self.conflicts.append(conflict)

    def stored_upto(self, run_id: RunId, first: int = 1) -> int:
        """The last number up to which all intervals of a start are here. `first` is the first interval that
        its sender still has."""
        run = self.runs.get(run_id)
        return 0 if run is None else run.contiguous_from(first)

    def positions(self) -> dict[RunId, int]:
        """Up to which number each start is stored."""
        return {run_id: run.upto for run_id, run in self.runs.items()}

    def missing_reports(self, positions: Mapping[RunId, int], most: int) -> Iterator[Report]:
        """What a store at these positions lacks, in reports of `most` intervals at most."""
        for run_id in self.runs:
            yield from self.missing_of(run_id, positions.get(run_id, 0), most)

    def missing_of(self, run_id: RunId, upto: int, most: int) -> Iterator[Report]:
        """What a store lacks that has one start up to `upto`. Yields at least one report, which has the
        latest checkpoint."""
        run = self.runs[run_id]
        index = bisect_right(run.numbers, upto)
        while True:
            part = run.intervals(index, most)
            yield self._report(run_id, run, part)
            index += len(part)
            if index >= len(run.numbers):
                return

    def _report(self, run_id: RunId, run: RunHistory, intervals: list[ActivityInterval]) -> Report:
        view_ids = [interval.view for interval in intervals]
        return Report(
            director=run_id[0],
            start=run_id[1],
            zone=run.zone,
            sent_ms=run.sent_ms,
            view=run.view,
            intervals=intervals,
            views={name: self.views[name] for name in view_ids if name in self.views},
            open=run.open,
            lost=run.lost,
            offset=run.offset,
            clock=run.clock,
            current=run.current,
            stage=run.stage,
            taken_ms=run.taken_ms,
            by=run.by,
        )

    def forget_expired(self, now_ms: float) -> int:
        """Drops intervals that ended before the retention, and starts that were last heard of before it.
        Returns how many intervals."""
        expired_ms, before = now_ms - self.retention_ms, self.interval_count
        for run_id, run in list(self.runs.items()):
            if max(run.last_known_ms, run.taken_ms) < expired_ms:
                self._drop_run(run_id)
            elif len(run.tos_ms) and run.tos_ms[0] < expired_ms:
                self.interval_count -= run.drop_before(bisect_left(run.tos_ms, expired_ms))
        if self.interval_count < before:
            self._drop_unused_views()
        return before - self.interval_count

    def _drop_run(self, run_id: RunId) -> None:
        self.interval_count -= len(self.runs.pop(run_id).numbers)
        director, start = run_id
        self.starts[director].remove(start)
        if not self.starts[director]:
            del self.starts[director]

    def _drop_unused_views(self) -> None:
        used: set[str] = set()
        for run in self.runs.values():
            used.update(run.view_ids)
            used.add(view_id(run.view))
            if run.open is not None:
                used.add(run.open.view)
        self.views = {name: view for name, view in self.views.items() if name in used}

    def snapshot(self) -> bytes:
        """The whole store, encoded. Intervals are copied as they are, since all of them are written at
        once."""
        runs = [StoredRun(self._report(run_id, run, []), run.encoded) for run_id, run in self.runs.items()]
        return msgspec.msgpack.encode(AuditSnapshot(FORMAT, runs, self.views, self.conflicts, self.unnamed))

    def restore(self, payload: bytes) -> None:
        """Reads a snapshot into an empty store. Raises msgspec's errors and BadReportError."""
        snapshot = _snapshot_decoder.decode(payload)
        if snapshot.format != FORMAT:
            raise BadReportError(f"snapshot of format {snapshot.format}", f"{FORMAT}")
        self.views, self.conflicts = snapshot.views, snapshot.conflicts
        self.unnamed = snapshot.unnamed
        for stored in snapshot.runs:
            self.add(stored.report)
            run = self.runs[stored.report.run_id]
            for encoded in stored.intervals:
                run.add(msgspec.msgpack.decode(encoded, type=ActivityInterval))
            self.interval_count += len(run.numbers)


def _check_interval(interval: ActivityInterval) -> None:
    is_ordered = 0.0 <= interval.from_ms <= interval.to_ms < MAX_NUMBER
    if not 0 < interval.number < MAX_NUMBER or not is_ordered:
        raise BadReportError(f"span {interval.number}", "a number and two moments in order")
