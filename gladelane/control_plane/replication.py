"""Replication to peers: tracks which entries each peer has stored, and delays answers accordingly."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from .http import HttpStatusError
from .positions import Stream, Vector

Result = TypeVar("Result")


class PeerReport(NamedTuple):
    """The latest report of a peer.

    `position` is the vector up to which the peer has sent all its entries, or None before its first report.
    `copies` is the number of servers that must have stored an entry before that peer answers its request.
    """

    position: Vector | None = None
    name: str = ""
    copies: int = 1


class PendingReplication(NamedTuple, Generic[Result]):
    """An entry that is stored here, while its answer waits for peers to store it.

    `done` is completed with `result` once enough servers have stored the entry, and with `NotReplicatedError`
    after `deadline_s`, a time of the event loop's clock in seconds.
    """

    stream: Stream
    number: int
    done: asyncio.Future[Result]
    result: Result
    deadline_s: float


class NotReplicatedError(HttpStatusError):
    """Fewer than `copies` servers stored an entry in time. The request may be retried."""

    label = "NotReplicated"

    def __init__(self, copies: int) -> None:
        """Sets status 503."""
        state = f"in force and stored here, but not at {copies} feeds yet"
        super().__init__(503, f"{state}; ask again with the same key")
        self.copies = copies


class Replication(Generic[Result]):
    """Keeps the latest reports of all peers, and the entries that wait for peers."""

    def __init__(self, copies: int) -> None:
        """An entry is answered once `copies` servers, including this one, have stored it."""
        self.copies = copies
        self.peers: dict[str, PeerReport] = {}  # by address
        self._pending: deque[PendingReplication[Result]] = deque()

    def add_pending(self, pending: PendingReplication[Result]) -> None:
        """Adds an entry, to be answered by `resolve_pending`."""
        self._pending.append(pending)

    def resolve_pending(self, now_s: float) -> None:
        """Answers the entries that enough servers have stored, and those past their deadline.

        `now_s` is the current time of the event loop's clock, in seconds.
        """
        still_pending: deque[PendingReplication[Result]] = deque()
        positions = [peer.position for peer in self.peers.values() if peer.position is not None]
        for pending in self._pending:
            if pending.done.done():
                continue
            peer_copies = sum(position.get(pending.stream, 0) >= pending.number for position in positions)
            if 1 + peer_copies >= self.copies:
                pending.done.set_result(pending.result)
            elif now_s >= pending.deadline_s:
                pending.done.set_exception(NotReplicatedError(self.copies))
            else:
                still_pending.append(pending)
        self._pending = still_pending
