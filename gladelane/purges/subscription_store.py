"""The files of a director's subscription: purges, positions and losses as they were received."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator

import msgspec

from ..control_plane.positions import Vector
from ..storage import without_gc
from ..storage.files import Disk
from ..storage.log import WriteAheadLog, recover
from ..storage.outage import Outage
from .active_purges import ActivePurges
from .log_compaction import compaction_of
from .low_watermark import Loss
from .purge import Purge, PurgeId
from .wire import batches

log = logging.getLogger(__name__)


class Record(msgspec.Struct, array_like=True):
    """A record of the log. The field order is the stored form.

    Attributes: purges; reached, the position up to which a server had sent everything; losses; by_age_ms, for
    each purge the moment by the local clock, 0.0 for its own moment, empty if that holds for all."""

    purges: list[Purge] = []
    reached: list[PurgeId] = []
    losses: list[Loss] = []
    by_age_ms: list[float] = []

    def is_empty(self) -> bool:
        """Returns whether there is nothing to store."""
        return not (self.purges or self.reached or self.losses)

    def moments(self) -> list[float]:
        """Returns `by_age_ms`, filled up for all purges."""
        return self.by_age_ms or [0.0] * len(self.purges)

    def followed_by(self, later: Record) -> Record:
        """Returns a record of both."""
        return Record(
            self.purges + later.purges,
            self.reached + later.reached,
            self.losses + later.losses,
            self.by_age_ms + later.by_age_ms,
        )


def records_of(pending: Record) -> Iterator[Record]:
    """Yields records of a bounded size, with positions and losses after the purges that they may cover."""
    first = 0
    for purges in batches(pending.purges):
        last = first + len(purges)
        yield Record(purges, by_age_ms=pending.by_age_ms[first:last])
        first = last
    if pending.reached or pending.losses:
        yield Record(reached=pending.reached, losses=pending.losses)


class SubscriptionStore:
    """Stores what was received, if a disk is given.

    Attributes: log, or None without a disk; pending, what is not stored yet. It binds already, and after a
    restart without it the servers send it again."""

    def __init__(self, disk: Disk | None, active: ActivePurges, now_ms: float) -> None:
        """Recovers into `active`, which is empty. Raises CorruptLogError and OSError."""
        self.log: WriteAheadLog | None = None
        self.pending = Record()
        self._active = active
        self._outage = Outage(log, "director: purges")
        if disk is not None:
            self._recover(disk, now_ms)

    def _recover(self, disk: Disk, now_ms: float) -> None:
        self.log, found = recover(disk)
        with without_gc():
            if found.snapshot is not None:
                self._active.restore(found.snapshot, now_ms)
            for data in found.records:
                self._replay(msgspec.msgpack.decode(data, type=Record), now_ms)
        records = len(found.records)
        self._compaction = compaction_of(self.log, records, Outage(log, "director: snapshot of purges"))
        log.info(
            "purges recovered standing=%d records=%d cut=%d",
            len(self._active),
            records,
            found.truncated_bytes,
        )

    def _replay(self, record: Record, now_ms: float) -> None:
        for purge, by_age_ms in zip(record.purges, record.moments(), strict=True):
            self._active.apply(purge, now_ms, by_age_ms=by_age_ms)
        self._active.positions.advance_to({(issuer, epoch): last for issuer, epoch, last in record.reached})
        self._active.low_watermark.merge(record.losses, now_ms)

    @property
    def records(self) -> int:
        """The number of records since the latest snapshot."""
        return self._compaction.record_count if self.log is not None else 0

    def add_purge(self, purge: Purge) -> None:
        """Adds an active purge."""
        if self.log is not None:
            self.pending.purges.append(purge)
            self.pending.by_age_ms.append(self._active.by_age_ms(purge))

    def add_position(self, vector: Vector) -> None:
        """Adds a position that was adopted."""
        if self.log is not None:
            self.pending.reached += [PurgeId(issuer, epoch, last) for (issuer, epoch), last in vector.items()]

    def add_losses(self, losses: list[Loss]) -> None:
        """Adds losses that changed."""
        if self.log is not None:
            self.pending.losses += losses

    async def save(self) -> None:
        """Stores what is pending; if that fails, it stays pending."""
        saved = self.pending
        if self.log is None or saved.is_empty():
            return
        self.pending = Record()
        for record in records_of(saved):
            self.log.append(msgspec.msgpack.encode(record))
        try:
            await asyncio.to_thread(self.log.commit)
        except OSError as error:
            self.log.discard_uncommitted()
            self._outage.report_failure(error)
            self.pending = saved.followed_by(self.pending)
            return
        self._outage.report_success()
        self._compaction.add(len(saved.purges) or 1)
        if self._compaction.is_due:
            # not in a thread, because purges are applied meanwhile
            await self._compaction.write(self._active.snapshot())

    async def close(self) -> None:
        """Stores what is pending and closes the log."""
        if self.log is not None:
            await self.save()
            self.log.close()
