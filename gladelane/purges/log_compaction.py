"""When the logs of purges are replaced by a snapshot, in control servers and in directors."""

from __future__ import annotations

from ..storage.compaction import LogCompaction
from ..storage.log import WriteAheadLog
from ..storage.outage import Outage

SNAPSHOT_AFTER = 20_000  # records in the log
SNAPSHOT_RETRY_AFTER = 1_000  # further records, if a snapshot could not be stored


def create_log_compaction(log: WriteAheadLog, record_count: int, outage: Outage) -> LogCompaction:
    """Creates the compaction of a log of purges with `record_count` recovered records."""
    return LogCompaction(log, outage, record_count, SNAPSHOT_AFTER, SNAPSHOT_RETRY_AFTER)
