"""A purge log's files: the write-ahead log with its snapshots, and the mark beside it. Decides nothing."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Sequence

import msgspec

from ..durable import without_gc
from ..durable.files import Disk
from ..durable.log import Broken, Log, Policy, recover
from .active_purges import ActivePurges
from .horizon import Loss, Mark
from .markfile import MarkFile
from .wire import purge_decoder

log = logging.getLogger(__name__)

SNAPSHOT_AFTER = 20_000  # records in the log
OWN = b"\xc1"  # before a record that is no purge; msgpack never begins so


class OwnRecord(msgspec.Struct, array_like=True):
    """A record beside the purges: whose folder it is, with the epoch of a start, and losses as they became
    known."""

    start: tuple[str, int] = ("", 0)
    losses: list[Loss] = []


def encode_own(record: OwnRecord) -> bytes:
    return OWN + msgspec.msgpack.encode(record)


class PurgeStore:
    """broken: why nothing more is stored, empty: it is. unsaved: a start that could not be stored yet."""

    def __init__(
        self, disk: Disk, sync: Policy, active: ActivePurges, mark_file: MarkFile | None, now_ms: float
    ) -> None:
        """Recovers into `active_purges`, which is empty. Raises Damaged, InUse and OSError."""
        self.log: Log
        self.log, found = recover(disk, sync)
        self.broken = ""
        self.unsaved = OwnRecord()
        self.was_empty = found.snapshot is None and not found.records
        self._active, self._mark_file = active, mark_file
        self._records = len(found.records)
        with without_gc():
            if found.snapshot is not None:
                active.restore(found.snapshot, now_ms)
            for record in found.records:
                self._replay(record, now_ms)
        self.recovered = f"{len(active)} purges, {len(found.records)} from the log"
        if found.cut:
            self.recovered += f", {found.cut} bytes cut at {found.cut_at}"
            log.warning("torn tail cut bytes=%d at=%s", found.cut, found.cut_at)

    def _replay(self, record: bytes, now_ms: float) -> None:
        if not record.startswith(OWN):
            self._active.take(purge_decoder.decode(record), now_ms)
            return
        own: OwnRecord = msgspec.msgpack.decode(record[len(OWN) :], type=OwnRecord)
        self._active.horizon.tell(own.losses, now_ms)
        if own.start[0]:
            self._active.start = own.start

    def read_mark(self) -> Mark | None:
        """Raises BadMark and OSError."""
        return self._mark_file.read() if self._mark_file is not None else None

    def save_start(self, record: OwnRecord, mark: Mark) -> None:
        """A disk that is full now takes it with the first purge that it takes."""
        self.unsaved = record
        self.log.append(encode_own(record))
        try:
            self.log.commit()
            self._move_mark(mark)
        except (OSError, Broken) as error:
            self.log.drop()
            self.broken = str(error) if isinstance(error, Broken) else ""
            log.error("start not stored: %s", error)
        else:
            self.unsaved = OwnRecord()

    def owes_start(self) -> bool:
        return bool(self.unsaved.start[0])

    async def commit(
        self, records: Sequence[bytes], losses: Sequence[Loss], mark: Mark, moves_mark: bool
    ) -> None:
        """All of it is stored when this returns. OSError: nothing is, and it may be tried again; Broken:
        unknown, and nothing more will be. losses: those among the records; they bind, so after a failure
        they are stored with the next commit."""
        if self.owes_start():
            self.log.append(encode_own(self.unsaved))
        for record in records:
            self.log.append(record)
        try:
            await asyncio.to_thread(self._write, mark, moves_mark)
        except (OSError, Broken) as error:
            if isinstance(error, Broken):
                self.broken = str(error)
            self.log.drop()
            log.error("purges not stored: %s", error)
            unsaved = [*self.unsaved.losses, *losses]
            if unsaved:
                self.unsaved = OwnRecord(self._active.start, unsaved)
            raise

    def _write(self, mark: Mark, moves_mark: bool) -> None:
        """In a thread of its own."""
        self.log.commit()
        if moves_mark or self.owes_start():
            self._move_mark(mark)
        self.unsaved = OwnRecord()

    def _move_mark(self, mark: Mark) -> None:
        """Behind what the folder holds, before anyone is answered."""
        if self._mark_file is None:
            return
        try:
            self._mark_file.write(mark)
        except OSError as error:  # an older mark is true as well, and shows a little less
            log.error("mark not stored path=%s: %s", self._mark_file.path, error)

    async def count(self, stored: int) -> None:
        """So many purges were stored and are in force; takes a snapshot once the log is long."""
        self._records += stored
        if self._records >= SNAPSHOT_AFTER:
            payload = await asyncio.to_thread(self._active.snapshot)
            await asyncio.to_thread(self.log.snapshot, payload)
            self._records = 0

    def close(self) -> None:
        self.log.close()
