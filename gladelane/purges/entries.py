"""The entries that a purge log commits, and the futures that are resolved after the commit."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from ..control_plane.positions import Vector
from .low_watermark import Loss
from .purge import Purge
from .wire import Accepted


class NewPurge(NamedTuple):
    """A purge that was requested from this server and has no sequence number yet. `scope` is canonical;
    `accepted` is resolved once the purge is stored."""

    scope: str
    key: str
    accepted: asyncio.Future[Accepted]


class ReceivedPurge(NamedTuple):
    """A valid purge that a peer or a director sent."""

    purge: Purge


class ReachedPosition(NamedTuple):
    """A position up to which a peer has sent everything. The purges that it sent precede this entry in the
    queue."""

    vector: Vector


class LossUpdate(NamedTuple):
    """Losses that were detected or closed. `stored` is resolved once they are stored.

    An update without losses makes the store write what an earlier commit could not."""

    losses: list[Loss]
    stored: asyncio.Future[None] | None = None


LogEntry = NewPurge | ReceivedPurge | ReachedPosition | LossUpdate


def is_retried(entry: LogEntry) -> bool:
    """Returns whether an entry that could not be stored is retried.

    Entries that were received from others are, because the senders assume that this server has what they
    sent. A purge that was requested from this server is rejected instead. The store retries losses itself."""
    return isinstance(entry, ReceivedPurge | ReachedPosition)


def fail_waiters(batch: list[LogEntry], error: Exception) -> None:
    """Sets an error on the futures of all entries of a batch."""
    for entry in batch:
        waiter: asyncio.Future[Accepted] | asyncio.Future[None] | None = None
        if isinstance(entry, NewPurge):
            waiter = entry.accepted
        elif isinstance(entry, LossUpdate):
            waiter = entry.stored
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
