"""Accepts reports and operators' decisions on a control server. New content is stored before the reply is
sent, and the reply contains the lag monitor's verdict on the director."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from ..control_plane.group_commit import GroupCommit
from ..control_plane.http import HttpStatusError
from .audit_store import AuditStore
from .lag_monitor import LagMonitor
from .records import BadReportError
from .report_log import ReportLog, ReportRecord
from .report_replication import ReportReplication
from .view_lease import DIGEST_PARTS, Stage, Verdict
from .wire import ExpectedDigests, ReplicatedReports, Report, ReportReply, StoredPosition, StoredPositions

log = logging.getLogger(__name__)

MAX_WAITING = 4_000  # records that wait to be stored
MAX_BATCH = 500  # records that are stored together
MAX_DIGEST_LENGTH = 64


class NotStoredError(HttpStatusError):
    """The content of a request could not be stored, so none of it takes effect."""

    def __init__(self, error: Exception) -> None:
        super().__init__(507, f"not stored: {error}")


class _PendingRecord(NamedTuple):
    """A record that is not stored yet."""

    record: ReportRecord
    done: asyncio.Future[None]
    source: str  # the control server that replicated it; empty if it came from a director or an operator


class ServerIdentity(NamedTuple):
    """The name of a control server, and the number of its start."""

    name: str
    epoch: int


class ReportIntake:
    """Accepts the messages to one control server."""

    def __init__(
        self,
        identity: ServerIdentity,
        store: AuditStore,
        monitor: LagMonitor,
        report_log: ReportLog,
        replication: ReportReplication,
        clock: Callable[[], float],
        lease_ms: float,
    ) -> None:
        """`clock` returns Unix ms. `lease_ms` is the duration of the leases that replies grant."""
        self._identity, self._store, self._monitor = identity, store, monitor
        self._report_log, self._replication = report_log, replication
        self._clock, self._lease_ms = clock, lease_ms
        self._committer = GroupCommit(self._commit, self._commit_failed, MAX_WAITING, MAX_BATCH)
        #: how far other servers' clocks are ahead, from their latest messages
        self._clocks_ahead_ms: dict[str, float] = {}

    async def run(self) -> None:
        """Stores accepted records until cancelled."""
        await self._committer.run()

    async def handle_report(self, report: Report) -> ReportReply:
        """Stores a director's report and returns the reply. Raises HttpStatusError."""
        now_ms = self._clock()
        report.taken_ms, report.by = now_ms, self._identity.name
        self._check(report)
        if report.current:
            self._monitor.observe(report.director, report.zone, report.view, now_ms, report.start)
        is_stored = True
        try:
            await self._store_new([report], [], "")
        except NotStoredError:  # lease and verdict depend only on the view, so they are granted nevertheless
            is_stored = False
        reply = self._reply_to(report, is_stored)
        if report.current and report.open is None:
            self._monitor.remove(report.director)
        elif report.current:
            reply.verdict = self._monitor.verdict(report.director, now_ms)
            _log_escalation(report, reply.verdict)
        return reply

    def _reply_to(self, report: Report, is_stored: bool) -> ReportReply:
        stored = self._store.stored_upto(report.run_id, report.first)
        stored_elsewhere = self._replication.max_stored_by_peers(report.run_id, stored)
        return ReportReply(
            server=self._identity.name,
            epoch=self._identity.epoch,
            now_ms=self._clock(),
            stored=stored,
            copied=min(stored, stored_elsewhere),
            lease_ms=self._lease_ms,
            stores=is_stored,
        )

    def _check(self, report: Report) -> None:
        try:
            self._store.check(report)
        except BadReportError as error:
            raise HttpStatusError(400, str(error)) from None

    async def handle_replicated(self, message: ReplicatedReports) -> StoredPositions:
        """Stores reports that another control server sent. Raises HttpStatusError."""
        if message.sent_ms:
            self._clocks_ahead_ms[message.server] = message.sent_ms - self._clock()
        for report in message.reports:
            self._check(report)
            if report.current and report.taken_ms:
                self._observe_replicated(report)
        await self._store_new(message.reports, message.expects, message.server)
        run_ids = {report.run_id for report in message.reports}
        marks = [StoredPosition(*run_id, self._store.stored_upto(run_id)) for run_id in run_ids]
        return StoredPositions(self._identity.name, self._identity.epoch, marks)

    def _observe_replicated(self, report: Report) -> None:
        """Observes the view of a replicated report. The time of the report is converted from the clock of the
        server that accepted it to the clock of this server."""
        stage = Stage(min(max(report.stage, 0), Stage.QUARANTINED))
        taken_ms = report.taken_ms - self._clocks_ahead_ms.get(report.by, 0.0)
        reported_ms = min(taken_ms, self._clock())
        self._monitor.observe(report.director, report.zone, report.view, reported_ms, report.start, stage)

    async def handle_expected(self, expected: ExpectedDigests, caller: str) -> None:
        """Stores an operator's decision. Raises HttpStatusError."""
        is_too_long = any(len(text) > MAX_DIGEST_LENGTH for text in expected.digests)
        if expected.part not in DIGEST_PARTS or is_too_long:
            parts = ", ".join(DIGEST_PARTS)
            raise HttpStatusError(400, f"part {expected.part[:40]!r}; expected one of {parts}, and digests")
        expected.since_ms, expected.by = expected.since_ms or self._clock(), caller
        await self._store_new([], [expected], "")

    async def _store_new(self, reports: list[Report], expects: list[ExpectedDigests], source: str) -> None:
        """Returns once all new content is stored. Raises HttpStatusError, and NotStoredError if the disk
        fails."""
        new_reports = [report for report in reports if self._store.has_new_content(report)]
        known = self._monitor.versions.expects
        new_expects = [expected for expected in expects if known.get(expected.part) != expected]
        if new_reports or new_expects:
            done: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            record = ReportRecord(new_reports, new_expects)
            try:
                self._committer.put(_PendingRecord(record, done, source))
            except asyncio.QueueFull:
                raise HttpStatusError(503, "too many reports wait to be stored") from None
            await asyncio.shield(done)
        for report in reports:
            if report not in new_reports:  # it only contains a later checkpoint, which is not written to disk
                self._apply(report, source)

    def _apply(self, report: Report, source: str) -> None:
        self._store.add(report)
        self._replication.record_stored(report, source)

    def _commit_failed(self, batch: list[_PendingRecord], error: Exception) -> None:
        self._report_log.discard(error)
        for pending in batch:
            if not pending.done.done():
                pending.done.set_exception(NotStoredError(error))

    async def _commit(self, batch: list[_PendingRecord]) -> None:
        await self._report_log.write([pending.record for pending in batch])
        for pending in batch:
            for expected in pending.record.expects:
                self._monitor.versions.expect(expected, self._clock())
            for report in pending.record.reports:
                self._apply(report, pending.source)
            if not pending.done.done():
                pending.done.set_result(None)
        await self._report_log.shorten(list(self._monitor.versions.expects.values()))


def _log_escalation(report: Report, verdict: Verdict) -> None:
    """Logs a change of the stage if the old or the new one is beyond `NOTIFIED`."""
    previous = Stage(min(report.stage, Stage.QUARANTINED))
    if verdict.stage is previous or max(verdict.stage, previous) <= Stage.NOTIFIED:
        return
    log.warning(
        "lagging director=%s stage=%s was=%s: %s",
        report.director,
        verdict.stage.label,
        previous.label,
        verdict.reason,
    )
