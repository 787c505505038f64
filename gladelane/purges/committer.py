"""Commits the entries of a purge log: stores them in batches, applies them, and resolves their futures."""

from __future__ import annotations

import asyncio
import logging
from http import HTTPStatus
from typing import Protocol

from ..control_plane.group_commit import GroupCommit
from ..control_plane.http import HttpStatusError
from ..control_plane.positions import InvalidPositionError
from ..control_plane.replication import PendingReplication, Replication
from .active_purges import ActivePurges
from .batch import Batch, prepare_batch
from .entries import LogEntry, LossUpdate, NewPurge, ReachedPosition, fail_waiters, is_retried
from .idempotency import accepted_response
from .loss_detection import Checkpoint
from .purge import InvalidPurgeError, IssuerSequence, Purge, log_invalid_purge
from .purge_store import PurgeStore
from .scope import InvalidScopeError
from .server_clock import ServerClock
from .wire import MAX_BATCH, Accepted

log = logging.getLogger(__name__)

MAX_WAITING = 10_000  # queued entries that are not stored yet
REPLICATION_TIMEOUT_S = 2.0  # in which other servers have to store a purge, or its request fails


class CommitObserver(Protocol):
    """Is notified of what was committed."""

    def on_purge(self, purge: Purge) -> None:
        """Handles a purge that has just become active."""

    def on_commit(self) -> None:
        """Handles that a batch was applied."""


class Committer:
    """The queue of entries and the single task that commits them. Only this task applies purges."""

    def __init__(
        self,
        active: ActivePurges,
        store: PurgeStore,
        sequence: IssuerSequence,
        replication: Replication[Accepted],
        clock: ServerClock,
        observer: CommitObserver,
    ) -> None:
        """`sequence` assigns the numbers of purges that are requested from this server."""
        self._active, self._store, self._sequence = active, store, sequence
        self._replication, self._clock, self._observer = replication, clock, observer
        self._queue: GroupCommit[LogEntry] = GroupCommit(self.commit, _fail_batch, MAX_WAITING, MAX_BATCH)
        self._retried: list[LogEntry] = []  # received entries that an earlier commit could not store

    async def run(self) -> None:
        """Commits what is queued until it is cancelled."""
        await self._queue.run()

    def put(self, entry: LogEntry) -> None:
        """Queues an entry. Raises asyncio.QueueFull."""
        if is_retried(entry) and len(self._retried) >= MAX_WAITING:
            raise asyncio.QueueFull
        self._queue.put(entry)

    async def commit(self, entries: list[LogEntry]) -> None:
        """Stores entries, applies them, and resolves the futures of those that wait for them.

        Received entries that an earlier commit could not store come first, because a position has to come
        after the purges that it covers."""
        entries = [*self._retried, *entries]
        now_ms = self._clock.timeline_ms()
        batch = prepare_batch(entries, self._issue)
        try:
            await self._store.commit(batch, self.checkpoint())
        except Exception as error:
            if not isinstance(error, OSError):
                log.exception("cannot store purges")
            for _ in range(batch.issued):
                self._sequence.cancel_last()
            self._retried = [entry for entry in entries if is_retried(entry)]
            fail_waiters(entries, HttpStatusError(HTTPStatus.INSUFFICIENT_STORAGE, f"not stored: {error}"))
            return
        self._retried = []
        self._apply(batch, now_ms)
        await self._store.count(len(batch.purges))

    def checkpoint(self) -> Checkpoint:
        """Returns the current checkpoint."""
        return Checkpoint(self._sequence.issuer, self._sequence.epoch, self._sequence.seq)

    def _issue(self, entry: NewPurge) -> Purge:
        return self._sequence.next(entry.scope, self._clock.issue_ms(), entry.key)

    def _apply(self, batch: Batch, now_ms: float) -> None:
        """Applies a batch that was stored."""
        until_s = asyncio.get_running_loop().time() + REPLICATION_TIMEOUT_S
        for entry, purge in batch.purges:
            self._apply_purge(purge, now_ms)
            if isinstance(entry, NewPurge):
                stream = purge.issuer, purge.epoch
                self._replication.add_pending(
                    PendingReplication(stream, purge.seq, entry.accepted, accepted_response(purge), until_s)
                )
        for entry in batch.entries:
            if isinstance(entry, ReachedPosition):
                self._active.positions.advance_to(entry.vector)
            elif isinstance(entry, LossUpdate) and entry.stored is not None and not entry.stored.done():
                entry.stored.set_result(None)
        self._observer.on_commit()

    def _apply_purge(self, purge: Purge, now_ms: float) -> None:
        try:
            is_new = self._active.apply(purge, now_ms)
        except (InvalidPurgeError, InvalidPositionError, InvalidScopeError) as error:
            log_invalid_purge(log, purge, error)
            return
        if is_new:
            self._observer.on_purge(purge)

    def retry(self) -> None:
        """Queues an empty entry if something is unsaved and no other entry is queued that would cause a
        commit."""
        if (self._retried or self._store.has_unsaved()) and self._queue.is_empty():
            self.put(LossUpdate([]))


def _fail_batch(batch: list[LogEntry], error: Exception) -> None:
    log.error("cannot store purges", exc_info=error)
    fail_waiters(batch, HttpStatusError(HTTPStatus.INTERNAL_SERVER_ERROR, f"not stored: {error}"))
