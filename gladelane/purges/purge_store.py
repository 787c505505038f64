"""The files of a purge log server: the write-ahead log with its snapshots, and the checkpoint.

This module only does I/O.
"""

from __future__ import annotations

import logging
import threading
from collections.abc import Sequence

from ..storage import without_gc
from ..storage.files import Disk
from ..storage.log import SyncPolicy, WriteAheadLog, recover
from ..storage.outage import Outage
from ..worker_threads import run_in_thread
from .active_purges import ActivePurges
from .batch import Batch, ServerRecord, decode_server_record, encode_server_record, is_server_record
from .checkpoint_file import CheckpointFile
from .log_compaction import create_log_compaction
from .loss_detection import Checkpoint
from .low_watermark import Loss
from .wire import purge_decoder

log = logging.getLogger(__name__)


class PurgeStore:
    """Stores batches of purges and losses.

    Attributes: log; was_empty, whether the folder was empty at the start; recovered, a text about what was
    recovered; unsaved, the start and the losses that are already in effect but that a failed commit could not
    store. They are stored with the next commit, which therefore also shows whether the disk accepts writes
    again."""

    def __init__(
        self,
        disk: Disk,
        sync: SyncPolicy,
        active: ActivePurges,
        checkpoint_file: CheckpointFile | None,
        now_ms: float,
    ) -> None:
        """Recovers into `active`, which must be empty. Raises CorruptLogError, FolderInUseError and
        OSError."""
        self.log: WriteAheadLog
        self.log, recovery = recover(disk, sync)
        self.unsaved = ServerRecord()
        self._writing = threading.Lock()
        self.was_empty = recovery.snapshot is None and not recovery.records
        self._active, self._checkpoint_file = active, checkpoint_file
        self._outage = Outage(log, "feed: purges")
        self._checkpoint_outage = Outage(log, "feed: mark")
        records = len(recovery.records)
        self._compaction = create_log_compaction(self.log, records, Outage(log, "feed: snapshot of purges"))
        with without_gc():
            if recovery.snapshot is not None:
                active.restore(recovery.snapshot, now_ms)
            for record in recovery.records:
                self._replay(record, now_ms)
        self.recovered = f"{len(active)} purges, {records} from the log"
        if recovery.truncated_bytes:
            self.recovered += f", {recovery.truncated_bytes} bytes cut at {recovery.truncated_at}"
            log.warning(
                "truncated an incomplete record at the end of the log bytes=%d at=%s",
                recovery.truncated_bytes,
                recovery.truncated_at,
            )

    def _replay(self, record: bytes, now_ms: float) -> None:
        if not is_server_record(record):
            self._active.apply(purge_decoder.decode(record), now_ms)
            return
        server_record = decode_server_record(record)
        self._active.low_watermark.merge(server_record.losses, now_ms)
        if server_record.start.name:
            self._active.start = server_record.start

    def read_checkpoint(self) -> Checkpoint | None:
        """Returns the checkpoint, or None if there is none. Raises InvalidCheckpointError and OSError."""
        return self._checkpoint_file.read() if self._checkpoint_file is not None else None

    def save_start(self, record: ServerRecord, checkpoint: Checkpoint) -> None:
        """Stores that a server started. If that fails, the start is stored with the next commit that
        succeeds."""
        self.unsaved = record
        self.log.append(encode_server_record(record))
        try:
            self.log.commit()
        except OSError as error:
            self.log.discard_uncommitted()
            self._outage.report_failure(error)
        else:
            self._write_checkpoint(checkpoint)
            self.unsaved = ServerRecord()

    @property
    def can_store(self) -> bool:
        """Whether the disk accepted the last write."""
        return not self._outage.is_ongoing

    def has_unsaved_start(self) -> bool:
        """Returns whether the start could not be stored yet."""
        return bool(self.unsaved.start.name)

    def has_unsaved(self) -> bool:
        """Returns whether anything that is already in effect could not be stored yet."""
        return self.has_unsaved_start() or self._checkpoint_outage.is_ongoing

    async def commit(self, batch: Batch, checkpoint: Checkpoint) -> None:
        """Stores a batch. The checkpoint is replaced if this server issued purges of the batch.

        If it raises any exception, mostly OSError, the batch must be regarded as not stored; it may be
        retried. The losses of the batch stay in effect, so they are then stored with the next commit."""
        try:
            if self.has_unsaved_start():
                self.log.append(encode_server_record(self.unsaved))
            for record in batch.records:
                self.log.append(record)
            await run_in_thread(self._write, checkpoint, batch.issued > 0)
        except Exception as error:
            self.log.discard_uncommitted()
            self._outage.report_failure(error)
            self._keep_unsaved(batch.losses)
            raise
        self._outage.report_success()

    def _keep_unsaved(self, losses: Sequence[Loss]) -> None:
        self.unsaved = ServerRecord(self._active.start, [*self.unsaved.losses, *losses])

    def _write(self, checkpoint: Checkpoint, replaces_checkpoint: bool) -> None:
        """Commits the log and writes the checkpoint; runs in a thread. Raises OSError."""
        with self._writing:
            self.log.commit()
            if replaces_checkpoint or self.has_unsaved():
                self._write_checkpoint(checkpoint)
            self.unsaved = ServerRecord()

    def _write_checkpoint(self, checkpoint: Checkpoint) -> None:
        """Writes the checkpoint, after the log was stored and before any purge in it is acknowledged."""
        if self._checkpoint_file is None:
            return
        try:
            self._checkpoint_file.write(checkpoint)
        except OSError as error:  # the older checkpoint stays valid, and reveals a little less
            self._checkpoint_outage.report_failure(error)
        else:
            self._checkpoint_outage.report_success()

    async def count(self, stored: int) -> None:
        """Counts purges that were stored and applied, and writes a snapshot if the log is long."""
        self._compaction.add(stored)
        if not self._compaction.is_due:
            return
        try:
            snapshot = await run_in_thread(self._active.snapshot)
        except OSError as error:
            self._compaction.record_failure(error)
        else:
            await self._compaction.write(snapshot)

    def close(self) -> None:
        """Closes the log, after a write that is in progress in a thread."""
        with self._writing:
            self.log.close()
