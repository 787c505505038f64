"""Replaces a long log by a snapshot of the state that it describes."""

from __future__ import annotations

import asyncio

from ..storage.log import WriteAheadLog
from ..storage.outage import Outage

SNAPSHOT_AFTER = 20_000  # records in the log
SNAPSHOT_RETRY_AFTER = 1_000  # further records, if a snapshot could not be stored


class SnapshotWriter:
    """Counts the records of a log. Attributes: records, in the log since the latest snapshot."""

    def __init__(self, log: WriteAheadLog, records: int, outage: Outage) -> None:
        """`records`: those that were recovered; `outage` logs failures."""
        self.records = records
        self._log, self._outage = log, outage

    def add(self, records: int) -> bool:
        """Counts stored records, and returns whether a snapshot is due."""
        self.records += records
        return self.records >= SNAPSHOT_AFTER

    async def write(self, payload: bytes) -> None:
        """Stores a snapshot in place of the log. If that fails the log has everything, and is only longer
        than necessary, so it is tried again later."""
        try:
            await asyncio.to_thread(self._log.snapshot, payload)
        except OSError as error:
            self._outage.report_failure(error)
            self.records = SNAPSHOT_AFTER - SNAPSHOT_RETRY_AFTER
        else:
            self._outage.report_success()
            self.records = 0
