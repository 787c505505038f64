"""The entries that a purge log commits, and the futures of those that wait for them."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from ..control_plane.positions import Vector
from .low_watermark import Loss
from .purge import Purge
from .wire import Accepted


class NewPurge(NamedTuple):
    """A purge that was requested here and has no number yet. `scope` is canonical; `accepted` is set once the
    purge was stored."""

    scope: str
    key: str
    accepted: asyncio.Future[Accepted]


class ReceivedPurge(NamedTuple):
    """A valid purge that a peer or a director sent."""

    purge: Purge


class ReachedPosition(NamedTuple):
    """A position up to which a peer has sent everything; what it sent is ahead of this entry in the queue."""

    vector: Vector


class LossUpdate(NamedTuple):
    """Losses that were found or closed. `stored` is set once they were stored.

    An update without losses makes the store write what an earlier commit could not."""

    losses: list[Loss]
    stored: asyncio.Future[None] | None = None


LogEntry = NewPurge | ReceivedPurge | ReachedPosition | LossUpdate


def is_retried(entry: LogEntry) -> bool:
    """Returns whether an entry that could not be stored is stored later.

    It is if others sent it, because they assume that we have what they sent. A purge that was requested here
    is rejected instead, and the store retries losses itself."""
    return isinstance(entry, ReceivedPurge | ReachedPosition)


def fail_waiters(batch: list[LogEntry], error: Exception) -> None:
    """Raises an error for all that wait for an entry of a batch."""
    for entry in batch:
        waiter: asyncio.Future[Accepted] | asyncio.Future[None] | None = None
        if isinstance(entry, NewPurge):
            waiter = entry.accepted
        elif isinstance(entry, LossUpdate):
            waiter = entry.stored
        if waiter is not None and not waiter.done():
            waiter.set_exception(error)
