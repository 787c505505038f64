"""The files of a director's subscription: the purges, positions and losses that it received."""

from __future__ import annotations

import logging
from collections.abc import Iterator

import msgspec

from ..control_plane.positions import Vector
from ..storage import without_gc
from ..storage.files import Disk
from ..storage.log import WriteAheadLog, recover
from ..storage.outage import Outage
from ..worker_threads import run_in_thread
from .active_purges import ActivePurges
from .log_compaction import create_log_compaction
from .low_watermark import Loss
from .purge import Purge, PurgeId
from .wire import batches

log = logging.getLogger(__name__)


class Record(msgspec.Struct, array_like=True):
    """A record of the log. It is stored by field order, so the order is fixed.

    Attributes: purges; reached, the position up to which a server had sent everything; losses; by_age_ms, the
    local time of each purge, 0.0 if that is the purge's `at_ms`, or an empty list if it is for all purges."""

    purges: list[Purge] = []
    reached: list[PurgeId] = []
    losses: list[Loss] = []
    by_age_ms: list[float] = []

    def is_empty(self) -> bool:
        """Returns whether there is nothing to store."""
        return not (self.purges or self.reached or self.losses)

    def all_by_age_ms(self) -> list[float]:
        """Returns `by_age_ms` with one item for each purge."""
        return self.by_age_ms or [0.0] * len(self.purges)

    def concatenated_with(self, later: Record) -> Record:
        """Returns a record with the contents of both."""
        return Record(
            self.purges + later.purges,
            self.reached + later.reached,
            self.losses + later.losses,
            self.by_age_ms + later.by_age_ms,
        )


def split_record(pending: Record) -> Iterator[Record]:
    """Splits a record into records of limited size. Positions and losses come after the purges that they may
    cover."""
    first = 0
    for purges in batches(pending.purges):
        last = first + len(purges)
        yield Record(purges, by_age_ms=pending.by_age_ms[first:last])
        first = last
    if pending.reached or pending.losses:
        yield Record(reached=pending.reached, losses=pending.losses)


class SubscriptionStore:
    """Stores what was received, if a disk is given.

    Attributes: log, or None without a disk; pending, what is not stored yet. That is already in effect, and
    if it is lost in a restart, the servers send it again."""

    def __init__(self, disk: Disk | None, active: ActivePurges, now_ms: float) -> None:
        """Recovers into `active`, which must be empty. Raises CorruptLogError and OSError."""
        self.log: WriteAheadLog | None = None
        self.pending = Record()
        self._active = active
        self._outage = Outage(log, "director: purges")
        if disk is not None:
            self._recover(disk, now_ms)

    def _recover(self, disk: Disk, now_ms: float) -> None:
        self.log, recovery = recover(disk)
        with without_gc():
            if recovery.snapshot is not None:
                self._active.restore(recovery.snapshot, now_ms)
            for data in recovery.records:
                self._replay(msgspec.msgpack.decode(data, type=Record), now_ms)
        records = len(recovery.records)
        self._compaction = create_log_compaction(
            self.log, records, Outage(log, "director: snapshot of purges")
        )
        log.info(
            "purges recovered standing=%d records=%d cut=%d",
            len(self._active),
            records,
            recovery.truncated_bytes,
        )

    def _replay(self, record: Record, now_ms: float) -> None:
        for purge, by_age_ms in zip(record.purges, record.all_by_age_ms(), strict=True):
            self._active.apply(purge, now_ms, by_age_ms=by_age_ms)
        self._active.positions.advance_to({(issuer, epoch): last for issuer, epoch, last in record.reached})
        self._active.low_watermark.merge(record.losses, now_ms)

    @property
    def records(self) -> int:
        """The number of records since the latest snapshot."""
        return self._compaction.record_count if self.log is not None else 0

    def add_purge(self, purge: Purge) -> None:
        """Adds an active purge to the pending record."""
        if self.log is not None:
            self.pending.purges.append(purge)
            self.pending.by_age_ms.append(self._active.by_age_ms(purge))

    def add_position(self, vector: Vector) -> None:
        """Adds an adopted position to the pending record."""
        if self.log is not None:
            self.pending.reached += [PurgeId(issuer, epoch, last) for (issuer, epoch), last in vector.items()]

    def add_losses(self, losses: list[Loss]) -> None:
        """Adds changed losses to the pending record."""
        if self.log is not None:
            self.pending.losses += losses

    async def save(self) -> None:
        """Stores what is pending. If that fails, it stays pending."""
        saved = self.pending
        if self.log is None or saved.is_empty():
            return
        self.pending = Record()
        for record in split_record(saved):
            self.log.append(msgspec.msgpack.encode(record))
        try:
            await run_in_thread(self.log.commit)
        except Exception as error:
            self.log.discard_uncommitted()
            self._outage.report_failure(error)
            self.pending = saved.concatenated_with(self.pending)
            return
        self._outage.report_success()
        self._compaction.add(len(saved.purges) or 1)
        if self._compaction.is_due:
            # encode the snapshot here and not in a thread, because this thread applies purges
            await self._compaction.write(self._active.snapshot())

    async def close(self) -> None:
        """Stores what is pending and closes the log."""
        if self.log is not None:
            await self.save()
            self.log.close()
