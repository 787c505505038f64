"""The files of a purge log server: the write-ahead log with its snapshots, and the checkpoint. Only I/O."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

from ..storage import without_gc
from ..storage.files import Disk
from ..storage.log import SyncPolicy, WriteAheadLog, recover
from ..storage.outage import Outage
from .active_purges import ActivePurges
from .batch import Batch, OwnRecord, decode_own, encode_own, is_own
from .checkpoint_file import CheckpointFile
from .log_compaction import compaction_of
from .loss_detection import Checkpoint
from .low_watermark import Loss
from .wire import purge_decoder

log = logging.getLogger(__name__)


class PurgeStore:
    """Stores batches of purges and losses.

    Attributes: log; was_empty, whether the start found nothing; recovered, what it found, as text; unsaved,
    the start and the losses that a failed commit could not store although they hold already. They are stored
    with the next commit, so that it shows that the disk accepts purges again."""

    def __init__(
        self,
        disk: Disk,
        sync: SyncPolicy,
        active: ActivePurges,
        checkpoint_file: CheckpointFile | None,
        now_ms: float,
    ) -> None:
        """Recovers into `active`, which is empty. Raises CorruptLogError, FolderInUseError and OSError."""
        self.log: WriteAheadLog
        self.log, found = recover(disk, sync)
        self.unsaved = OwnRecord()
        self.was_empty = found.snapshot is None and not found.records
        self._active, self._checkpoint_file = active, checkpoint_file
        self._outage = Outage(log, "feed: purges")
        self._checkpoint_outage = Outage(log, "feed: mark")
        records = len(found.records)
        self._compaction = compaction_of(self.log, records, Outage(log, "feed: snapshot of purges"))
        with without_gc():
            if found.snapshot is not None:
                active.restore(found.snapshot, now_ms)
            for record in found.records:
                self._replay(record, now_ms)
        self.recovered = f"{len(active)} purges, {records} from the log"
        if found.truncated_bytes:
            self.recovered += f", {found.truncated_bytes} bytes cut at {found.truncated_at}"
            log.warning("torn tail cut bytes=%d at=%s", found.truncated_bytes, found.truncated_at)

    def _replay(self, record: bytes, now_ms: float) -> None:
        if not is_own(record):
            self._active.apply(purge_decoder.decode(record), now_ms)
            return
        own = decode_own(record)
        self._active.low_watermark.merge(own.losses, now_ms)
        if own.start.name:
            self._active.start = own.start

    def read_checkpoint(self) -> Checkpoint | None:
        """Returns None if there is none. Raises InvalidCheckpointError and OSError."""
        return self._checkpoint_file.read() if self._checkpoint_file is not None else None

    def save_start(self, record: OwnRecord, checkpoint: Checkpoint) -> None:
        """Stores that a server started. If the disk is full, this is stored with the first purge that it
        accepts."""
        self.unsaved = record
        self.log.append(encode_own(record))
        try:
            self.log.commit()
        except OSError as error:
            self.log.discard_uncommitted()
            self._outage.report_failure(error)
        else:
            self._write_checkpoint(checkpoint)
            self.unsaved = OwnRecord()

    @property
    def can_store(self) -> bool:
        """Whether the disk accepted the last write."""
        return not self._outage.is_ongoing

    def has_unsaved_start(self) -> bool:
        """Returns whether the start could not be stored yet."""
        return bool(self.unsaved.start.name)

    def has_unsaved(self) -> bool:
        """Returns whether anything that holds already could not be stored yet."""
        return self.has_unsaved_start() or self._checkpoint_outage.is_ongoing

    async def commit(self, batch: Batch, checkpoint: Checkpoint) -> None:
        """Stores a batch. The checkpoint is replaced if purges of the batch were issued here.

        Raises OSError if nothing of it may be regarded as stored; it may be tried again. The losses hold all
        the same, so they are then stored with the next commit."""
        if self.has_unsaved_start():
            self.log.append(encode_own(self.unsaved))
        for record in batch.records:
            self.log.append(record)
        try:
            await asyncio.to_thread(self._write, checkpoint, batch.issued > 0)
        except OSError as error:
            self.log.discard_uncommitted()
            self._outage.report_failure(error)
            self._keep_unsaved(batch.losses)
            raise
        self._outage.report_success()

    def _keep_unsaved(self, losses: Sequence[Loss]) -> None:
        self.unsaved = OwnRecord(self._active.start, [*self.unsaved.losses, *losses])

    def _write(self, checkpoint: Checkpoint, moves_checkpoint: bool) -> None:
        """Runs in a thread. Raises OSError."""
        self.log.commit()
        if moves_checkpoint or self.has_unsaved():
            self._write_checkpoint(checkpoint)
        self.unsaved = OwnRecord()

    def _write_checkpoint(self, checkpoint: Checkpoint) -> None:
        """Runs after the log was stored, and before any purge of it is acknowledged."""
        if self._checkpoint_file is None:
            return
        try:
            self._checkpoint_file.write(checkpoint)
        except OSError as error:  # an older checkpoint is true as well, and reveals a little less
            self._checkpoint_outage.report_failure(error)
        else:
            self._checkpoint_outage.report_success()

    async def count(self, stored: int) -> None:
        """Counts purges that were stored and applied, and writes a snapshot if the log is long."""
        self._compaction.add(stored)
        if self._compaction.is_due:
            await self._compaction.write(await asyncio.to_thread(self._active.snapshot))

    def close(self) -> None:
        """Closes the log."""
        self.log.close()
