"""Storage of a lease server's fencing tokens and progress, in a write-ahead log with snapshots.

A granted token has to be on disk before the reply is sent; progress may be lost. Records are staged first and
committed together. While the disk fails, each commit drops the staged tokens, since their grants are revoked,
and staged progress is kept for the next commit.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping

import msgspec

from ..storage.compaction import LogCompaction
from ..storage.files import Disk
from ..storage.log import RecoveredLog, WriteAheadLog, recover
from ..storage.outage import Outage
from ..worker_threads import run_in_thread
from .messages import ResourceProgress

log = logging.getLogger(__name__)

SNAPSHOT_AFTER_RECORDS = 20_000


class StoredRecord(msgspec.Struct, array_like=True):
    """A record of the log: a fencing token of a resource, or the progress that was reported under a token."""

    resource: str
    fencing_token: int
    progress: str = ""


class StagedBatch(msgspec.Struct, frozen=True):
    """The records to commit together, by resource."""

    tokens: Mapping[str, StoredRecord]
    progress: Mapping[str, StoredRecord]

    def records(self) -> list[StoredRecord]:
        """Returns all records in the order in which they are written."""
        return [*self.tokens.values(), *self.progress.values()]


class TokenStore:
    """Recovers the stored records, then stages and commits new ones.

    `is_empty` is true if the disk was empty at the start, because it is new or was lost. `recovered_tokens`
    has the highest token of each resource at the start, and `progress` the last known progress at any time.
    """

    def __init__(self, disk: Disk) -> None:
        """Recovers from the disk. Raises CorruptLogError, FolderInUseError and OSError."""
        self._log: WriteAheadLog
        self._log, recovery = recover(disk)
        self.is_empty = recovery.snapshot is None and not recovery.records
        self.recovered_tokens: dict[str, int] = {}
        self.progress: dict[str, ResourceProgress] = {}
        self._staged_tokens: dict[str, StoredRecord] = {}
        self._staged_progress: dict[str, StoredRecord] = {}
        self._outage = Outage(log, "lease server: tokens")
        self._compaction = LogCompaction(
            self._log, Outage(log, "lease server: snapshot"), len(recovery.records), SNAPSHOT_AFTER_RECORDS
        )
        for record in _recovered_records(recovery):
            token = max(self.recovered_tokens.get(record.resource, 0), record.fencing_token)
            self.recovered_tokens[record.resource] = token
            self.learn_progress(record.resource, ResourceProgress(record.fencing_token, record.progress))

    def learn_progress(self, resource: str, progress: ResourceProgress) -> None:
        """Merges progress that was stored, here or at a peer, unless it is older or empty."""
        known = self.progress.get(resource)
        if progress.text and (known is None or progress.fencing_token >= known.fencing_token):
            self.progress[resource] = progress

    def stage_token(self, resource: str, fencing_token: int) -> None:
        """Adds a token to the next commit."""
        self._staged_tokens[resource] = StoredRecord(resource, fencing_token)

    def stage_progress(self, resource: str, progress: ResourceProgress) -> None:
        """Records the progress that a holder reports, and adds it to the next commit if it has changed."""
        known = self.progress.get(resource)
        if known is not None and known.text == progress.text:
            return
        self.progress[resource] = progress
        self._staged_progress[resource] = StoredRecord(resource, progress.fencing_token, progress.text)

    def has_staged(self, resources: set[str]) -> bool:
        """Returns whether records of these resources are staged."""
        return bool(resources & (self._staged_tokens.keys() | self._staged_progress.keys()))

    def staged(self) -> StagedBatch:
        """Returns all records that are staged now."""
        return StagedBatch(dict(self._staged_tokens), dict(self._staged_progress))

    async def commit(self, batch: StagedBatch) -> bool:
        """Stores a batch; returns whether it is on disk. Only one commit may run at a time.

        Records that are staged during the commit stay staged.
        """
        for record in batch.records():
            self._log.append(msgspec.msgpack.encode(record))
        try:
            await run_in_thread(self._log.commit)
        except Exception as error:
            self._log.discard_uncommitted()
            self._outage.report_failure(error)
            _unstage(self._staged_tokens, batch.tokens)
            return False
        self._outage.report_success()
        self._compaction.add(len(batch.records()))
        _unstage(self._staged_tokens, batch.tokens)
        _unstage(self._staged_progress, batch.progress)
        return True

    async def compact(self, tokens: Mapping[str, int]) -> None:
        """Replaces a long log by a snapshot of these tokens and of the progress.

        A failed snapshot is only logged, since the log still has all records; the next call tries again.
        """
        if self._compaction.is_due and not self._outage.is_ongoing:
            await self._compaction.write(self._encode_snapshot(tokens))

    def close(self) -> None:
        """Closes the log, after a write that is in progress."""
        self._log.close()

    def _encode_snapshot(self, tokens: Mapping[str, int]) -> bytes:
        records = [StoredRecord(resource, token) for resource, token in tokens.items()]
        records += [
            StoredRecord(resource, progress.fencing_token, progress.text)
            for resource, progress in self.progress.items()
        ]
        return msgspec.msgpack.encode(records)


def _recovered_records(recovery: RecoveredLog) -> Iterator[StoredRecord]:
    if recovery.snapshot is not None:
        snapshot: list[StoredRecord] = msgspec.msgpack.decode(recovery.snapshot, type=list[StoredRecord])
        yield from snapshot
    for record in recovery.records:
        yield msgspec.msgpack.decode(record, type=StoredRecord)


def _unstage(staged: dict[str, StoredRecord], committed: Mapping[str, StoredRecord]) -> None:
    """Removes the committed records, but not newer records of the same resources."""
    for resource, record in committed.items():
        if staged.get(resource) is record:
            del staged[resource]
