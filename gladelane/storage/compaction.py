"""Compaction of a write-ahead log: a snapshot of the state replaces a log that has become long.

A failed snapshot loses nothing: the log still has every record and is only longer than necessary. The failure
is logged and the snapshot is tried again later.
"""

from __future__ import annotations

from ..worker_threads import run_in_thread
from .log import WriteAheadLog
from .outage import Outage


class LogCompaction:
    """Counts the records of one log and stores its snapshots.

    `record_count` is the number of records since the latest snapshot.
    """

    def __init__(
        self,
        log: WriteAheadLog,
        outage: Outage,
        record_count: int,
        after_records: int,
        retry_after_records: int = 0,
    ) -> None:
        """`record_count` is the number of recovered records. A snapshot is due after `after_records` records,
        and after a failed snapshot once `retry_after_records` more were added. `outage` logs failures."""
        self.record_count = record_count
        self._log, self._outage = log, outage
        self._after_records, self._retry_after_records = after_records, retry_after_records

    @property
    def is_due(self) -> bool:
        """Whether the log is so long that a snapshot should be written."""
        return self.record_count >= self._after_records

    def add(self, records: int) -> None:
        """Adds the number of records that were stored."""
        self.record_count += records

    async def write(self, payload: bytes) -> None:
        """Replaces the log by a snapshot, in a worker thread. Failures are logged, not raised."""
        try:
            await run_in_thread(self._log.snapshot, payload)
        except OSError as error:
            self.record_failure(error)
        else:
            self._record_success()

    def write_blocking(self, payload: bytes) -> None:
        """Replaces the log by a snapshot in the calling thread. Failures are logged, not raised."""
        try:
            self._log.snapshot(payload)
        except OSError as error:
            self.record_failure(error)
        else:
            self._record_success()

    def record_failure(self, error: OSError) -> None:
        """Logs that no snapshot could be written, and makes the next one due later."""
        self._outage.report_failure(error)
        self.record_count = self._after_records - self._retry_after_records

    def _record_success(self) -> None:
        self._outage.report_success()
        self.record_count = 0
