"""Which entries other servers have stored: what each peer has reported, and answers that wait for it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Generic, NamedTuple, TypeVar

from .http import Refused
from .positions import Stream, Vector

Result = TypeVar("Result")


class PeerReport(NamedTuple):
    """A peer's latest. position: up to where it has told all, None: not yet; copies: how many servers store
    an entry before it answers for it."""

    position: Vector | None = None
    name: str = ""
    copies: int = 1


class PendingReplication(NamedTuple, Generic[Result]):
    """An entry that is stored here and waits for peers. until_s: of the loop's clock."""

    stream: Stream
    number: int
    done: asyncio.Future[Result]
    result: Result
    until_s: float


class NotReplicated(Refused):
    """Too few servers had stored an entry in time; it may be asked for again."""

    def __init__(self, copies: int) -> None:
        where = f"in force and stored here, but not at {copies} feeds yet"
        super().__init__(503, f"{where}; ask again with the same key")


class Replication(Generic[Result]):
    """copies: servers that must have stored an entry, this one included, before it is answered."""

    def __init__(self, copies: int) -> None:
        self.copies = copies
        self.peers: dict[str, PeerReport] = {}  # by place
        self._pending: deque[PendingReplication[Result]] = deque()

    def wait_for(self, pending: PendingReplication[Result]) -> None:
        self._pending.append(pending)

    def release(self, now_s: float) -> None:
        """Answers for what enough servers have stored, or for what waited too long."""
        waiting: deque[PendingReplication[Result]] = deque()
        positions = [peer.position for peer in self.peers.values() if peer.position is not None]
        for pending in self._pending:
            if pending.done.done():
                continue
            stored = 1 + sum(p.get(pending.stream, 0) >= pending.number for p in positions)
            if stored >= self.copies:
                pending.done.set_result(pending.result)
            elif now_s >= pending.until_s:
                pending.done.set_exception(NotReplicated(self.copies))
            else:
                waiting.append(pending)
        self._pending = waiting
