"""The control server's log of reports and operators' decisions, on disk. Makes no decisions."""

from __future__ import annotations

import logging
from contextlib import suppress

import msgspec

from ..storage import without_gc
from ..storage.compaction import LogCompaction
from ..storage.files import Disk
from ..storage.log import recover
from ..storage.outage import Outage
from ..worker_threads import run_in_thread
from .audit_store import AuditStore
from .records import BadReportError
from .wire import ExpectedDigests, Report

log = logging.getLogger(__name__)

SNAPSHOT_AFTER = 100_000  # records in the log


class ReportRecord(msgspec.Struct, array_like=True):
    """One record of the log. Fields are stored by their position."""

    reports: list[Report] = []
    expects: list[ExpectedDigests] = []


class ReportSnapshot(msgspec.Struct, array_like=True):
    """A snapshot of the log: the encoded audit store, and operators' decisions."""

    store: bytes
    expects: list[ExpectedDigests]


_record_decoder: msgspec.msgpack.Decoder[ReportRecord] = msgspec.msgpack.Decoder(ReportRecord)
_snapshot_decoder: msgspec.msgpack.Decoder[ReportSnapshot] = msgspec.msgpack.Decoder(ReportSnapshot)


class ReportLog:
    """The log of one control server. `expects` are the operators' decisions that it held when it was opened,
    in their order."""

    def __init__(self, disk: Disk, store: AuditStore) -> None:
        """Recovers all reports into an empty store. Raises CorruptLogError and OSError."""
        self.outage = Outage(log, "audit: reports")
        self.snapshot_outage = Outage(log, "audit: snapshot")
        self.expects: list[ExpectedDigests] = []
        self._store = store
        self._log, found = recover(disk)
        with without_gc():
            if found.snapshot is not None:
                snapshot = _snapshot_decoder.decode(found.snapshot)
                store.restore(snapshot.store)
                self.expects = snapshot.expects
            for data in found.records:
                self._recover_record(_record_decoder.decode(data))
        self._compaction = LogCompaction(self._log, self.snapshot_outage, len(found.records), SNAPSHOT_AFTER)

    def _recover_record(self, record: ReportRecord) -> None:
        self.expects += record.expects
        for report in record.reports:
            with suppress(BadReportError):
                self._store.add(report)

    async def write(self, records: list[ReportRecord]) -> None:
        """Returns once the records are synced to disk. Raises OSError; the caller must then call
        `discard`."""
        for record in records:
            self._log.append(msgspec.msgpack.encode(record))
        await run_in_thread(self._log.commit)
        self._compaction.add(len(records))
        self.outage.report_success()

    def discard(self, error: Exception) -> None:
        """Drops the records that could not be written because of `error`, and logs it."""
        if isinstance(error, OSError):
            self.outage.report_failure(error)
        else:
            log.error("audit: storing reports failed", exc_info=error)
        self._log.discard_uncommitted()

    async def shorten(self, expects: list[ExpectedDigests]) -> None:
        """Replaces the log by a snapshot of the store if the log has grown long enough."""
        if self._compaction.is_due:
            snapshot = ReportSnapshot(self._store.snapshot(), expects)
            await self._compaction.write(msgspec.msgpack.encode(snapshot))

    def close(self) -> None:
        """Releases the folder."""
        self._log.close()
