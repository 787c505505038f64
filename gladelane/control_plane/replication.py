"""Replication to other servers: which entries each peer has stored, and answers that wait for that."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from .http import HttpStatusError
from .positions import Stream, Vector

Result = TypeVar("Result")


class PeerReport(NamedTuple):
    """What a peer reported last.

    `position` is the vector up to which it has sent all entries, None before its first report. `copies` is
    the number of servers that must have stored an entry before that peer answers for it.
    """

    position: Vector | None = None
    name: str = ""
    copies: int = 1


class PendingReplication(NamedTuple, Generic[Result]):
    """An entry that is stored here and whose answer waits for peers.

    `done` gets `result` once enough servers have stored the entry. `deadline_s` is a time of the event loop's
    clock, in seconds, after which it gets `NotReplicatedError` instead.
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
        """Status 503."""
        where = f"in force and stored here, but not at {copies} feeds yet"
        super().__init__(503, f"{where}; ask again with the same key")
        self.copies = copies


class Replication(Generic[Result]):
    """The latest reports of all peers, and the entries that wait for them."""

    def __init__(self, copies: int) -> None:
        """`copies` servers must have stored an entry before it is answered, including this one."""
        self.copies = copies
        self.peers: dict[str, PeerReport] = {}  # by address
        self._pending: deque[PendingReplication[Result]] = deque()

    def add_pending(self, pending: PendingReplication[Result]) -> None:
        """Adds an entry that `resolve_pending` answers."""
        self._pending.append(pending)

    def resolve_pending(self, now_s: float) -> None:
        """Answers entries that enough servers have stored, and those past their deadline.

        `now_s` is the present time of the event loop's clock, in seconds.
        """
        waiting: deque[PendingReplication[Result]] = deque()
        positions = [peer.position for peer in self.peers.values() if peer.position is not None]
        for pending in self._pending:
            if pending.done.done():
                continue
            at_peers = sum(position.get(pending.stream, 0) >= pending.number for position in positions)
            if 1 + at_peers >= self.copies:
                pending.done.set_result(pending.result)
            elif now_s >= pending.deadline_s:
                pending.done.set_exception(NotReplicatedError(self.copies))
            else:
                waiting.append(pending)
        self._pending = waiting
