"""Compaction of a write-ahead log: a snapshot of the state replaces a log that has become long.

A snapshot that cannot be stored harms nothing. The log still has every record and is only longer than
necessary, so the failure is logged and the snapshot is tried again later.
"""

from __future__ import annotations

import asyncio

from .log import WriteAheadLog
from .outage import Outage


class LogCompaction:
    """Counts the records of one log and stores its snapshots. Attributes: record_count, the records since
    the latest snapshot."""

    def __init__(
        self,
        log: WriteAheadLog,
        outage: Outage,
        record_count: int,
        after_records: int,
        retry_after_records: int = 0,
    ) -> None:
        """`record_count`: those that were recovered. A snapshot is due after `after_records`, and after a
        failure once `retry_after_records` more were added. `outage` logs failures."""
        self.record_count = record_count
        self._log, self._outage = log, outage
        self._after_records, self._retry_after_records = after_records, retry_after_records

    @property
    def is_due(self) -> bool:
        """Whether the log is so long that a snapshot should be written."""
        return self.record_count >= self._after_records

    def add(self, records: int) -> None:
        """Counts records that were stored."""
        self.record_count += records

    async def write(self, payload: bytes) -> None:
        """Stores a snapshot in place of the log, in a thread."""
        self._conclude(await asyncio.to_thread(self._store, payload))

    def write_blocking(self, payload: bytes) -> None:
        """Does the same in the calling thread."""
        self._conclude(self._store(payload))

    def _store(self, payload: bytes) -> OSError | None:
        try:
            self._log.snapshot(payload)
        except OSError as error:
            return error
        return None

    def _conclude(self, error: OSError | None) -> None:
        if error is None:
            self._outage.report_success()
            self.record_count = 0
        else:
            self._outage.report_failure(error)
            self.record_count = self._after_records - self._retry_after_records
