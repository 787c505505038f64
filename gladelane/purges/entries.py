"""What a purge log commits: each entry that waits to be stored, and who waits for it."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from ..control.positions import Vector
from .horizon import Loss
from .order import Purge
from .wire import Accepted


class NewPurge(NamedTuple):
    """Asked for here; it has no number yet. scope: canonical."""

    scope: str
    key: str
    accepted: asyncio.Future[Accepted]


class ReceivedPurge(NamedTuple):
    """Told by a peer or a director, and checked."""

    purge: Purge


class ReachedPosition(NamedTuple):
    """Up to there a peer has told all; what it told before stands ahead of this in the queue."""

    vector: Vector


class LossUpdate(NamedTuple):
    """Losses as they became known or were closed. None at all: only what an earlier start owes is stored."""

    losses: list[Loss]
    stored: asyncio.Future[None] | None = None


LogEntry = NewPurge | ReceivedPurge | ReachedPosition | LossUpdate


def fail(batch: list[LogEntry], error: Exception) -> None:
    """Tells all who wait for a batch."""
    for entry in batch:
        waiting: asyncio.Future[Accepted] | asyncio.Future[None] | None = None
        if isinstance(entry, NewPurge):
            waiting = entry.accepted
        elif isinstance(entry, LossUpdate):
            waiting = entry.stored
        if waiting is not None and not waiting.done():
            waiting.set_exception(error)
