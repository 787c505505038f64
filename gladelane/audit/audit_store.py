"""The audit store: all reports of all directors, in memory. No I/O, no clock.

Intervals are stored by director, start and number. An interval that arrives twice is stored once. Two
intervals with the same number and different content are a conflict, of which both seals are kept. Each view
is stored once, by its id. Two stores that exchange their reports end up equal, in whatever order the messages
arrive. `audit_queries` answers
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
MAX_NUMBER = 2**53  # the largest integer that JSON numbers represent exactly
DAY_MS = 86_400_000.0
SNAPSHOT_FORMAT = 1


class StoredRun(msgspec.Struct, array_like=True):
    """One start in a snapshot: a report without intervals, and its encoded intervals."""

    report: Report
    intervals: list[bytes]


class AuditSnapshot(msgspec.Struct, array_like=True):
    """The stored form of an `AuditStore`. Fields are stored by their position."""

    format: int
    runs: list[StoredRun]
    views: dict[str, View]
    conflicts: list[Conflict]
    runs_with_wrong_view_id: list[RunId]


_snapshot_decoder: msgspec.msgpack.Decoder[AuditSnapshot] = msgspec.msgpack.Decoder(AuditSnapshot)


class AuditStore:
    """All reports. `runs` and `starts` (the ascending start numbers of each director) are read-only for
    callers."""

    def __init__(self, retention_ms: float = 30 * DAY_MS) -> None:
        """`retention_ms` is how long intervals are stored after their end."""
        self.retention_ms = retention_ms
        self.views: dict[str, View] = {}
        self.conflicts: list[Conflict] = []
        #: starts that reported a view under an id that does not match its content
        self.runs_with_wrong_view_id: list[RunId] = []
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

    def has_new_content(self, report: Report) -> bool:
        """Whether a report contains anything that must be written to disk."""
        run = self.runs.get(report.run_id)
        if run is None:
            return True
        if not report.current and run.current:
            return True
        if any(lost_range not in run.lost for lost_range in report.lost):
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
            conflicting = run.add(interval)
            if conflicting is not None:
                self._add_conflict(report, interval, conflicting)
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
            elif report.run_id not in self.runs_with_wrong_view_id:
                self.runs_with_wrong_view_id.append(report.run_id)

    def _add_conflict(self, report: Report, interval: ActivityInterval, known: ActivityInterval) -> None:
        seals = sorted((interval.seal, known.seal))
        conflict = Conflict(report.director, report.start, interval.number, *seals)
        if conflict not in self.conflicts and len(self.conflicts) < MAX_CONFLICTS:
            self.conflicts.append(conflict)

    def stored_upto(self, run_id: RunId, first: int = 1) -> int:
        """The last number up to which all intervals of a start are stored. `first` is the first interval that
        the sender still has."""
        run = self.runs.get(run_id)
        return 0 if run is None else run.contiguous_from(first)

    def positions(self) -> dict[RunId, int]:
        """The last number up to which all intervals are stored, by start."""
        return {run_id: run.last_contiguous for run_id, run in self.runs.items()}

    def missing_reports(self, positions: Mapping[RunId, int], max_intervals: int) -> Iterator[Report]:
        """Reports with what another store at `positions` lacks, each with at most `max_intervals`
        intervals."""
        for run_id in self.runs:
            yield from self.missing_reports_of(run_id, positions.get(run_id, 0), max_intervals)

    def missing_reports_of(self, run_id: RunId, last_stored: int, max_intervals: int) -> Iterator[Report]:
        """Reports with what another store lacks that has one start up to `last_stored`. Yields at least one
        report, which contains the latest checkpoint."""
        run = self.runs[run_id]
        index = bisect_right(run.numbers, last_stored)
        while True:
            part = run.intervals(index, max_intervals)
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
        """Drops intervals that ended longer than the retention time ago, and starts that were last reported
        longer ago. Returns the number of dropped intervals."""
        expired_ms, before = now_ms - self.retention_ms, self.interval_count
        for run_id, run in list(self.runs.items()):
            if max(run.last_known_ms, run.taken_ms) < expired_ms:
                self._drop_run(run_id)
            elif len(run.to_times_ms) and run.to_times_ms[0] < expired_ms:
                self.interval_count -= run.drop_before(bisect_left(run.to_times_ms, expired_ms))
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
        """The whole store, encoded. Since a snapshot holds all intervals, they are copied in their encoded
        form."""
        runs = [
            StoredRun(self._report(run_id, run, []), run.encoded_intervals)
            for run_id, run in self.runs.items()
        ]
        return msgspec.msgpack.encode(
            AuditSnapshot(SNAPSHOT_FORMAT, runs, self.views, self.conflicts, self.runs_with_wrong_view_id)
        )

    def restore(self, payload: bytes) -> None:
        """Reads a snapshot into an empty store. Raises msgspec's errors and BadReportError."""
        snapshot = _snapshot_decoder.decode(payload)
        if snapshot.format != SNAPSHOT_FORMAT:
            raise BadReportError(f"snapshot of format {snapshot.format}", f"{SNAPSHOT_FORMAT}")
        self.views, self.conflicts = snapshot.views, snapshot.conflicts
        self.runs_with_wrong_view_id = snapshot.runs_with_wrong_view_id
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
