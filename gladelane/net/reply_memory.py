"""Memory for the replies of servers: a connection reads on only once its reply has been reserved.

Bytes that are not read stay in the system's buffers, so that the server waits (backpressure).
"""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable

from .memory_budget import MemoryBudget, MemoryUse

log = logging.getLogger(__name__)

UNRESERVED_REPLY_BYTES = 4_096  # shorter replies are counted, but never wait
RETRY_S = 0.01  # interval between checks whether clients have read their answers


class ReplyMemory:
    """Reserves memory for replies in the order of their requests for it.

    A reply becomes the answer to a client, so it is also reserved only while there is room for answers.
    `recount_answers` counts those that clients have not read."""

    def __init__(self, budget: MemoryBudget, recount_answers: Callable[[], None]) -> None:
        self.budget = budget
        self._recount_answers = recount_answers
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()
        self._retry: asyncio.TimerHandle | None = None

    async def reserve(self, size: int) -> None:
        """Returns once `size` bytes are reserved."""
        if size <= UNRESERVED_REPLY_BYTES:
            self.budget.add(MemoryUse.REPLIES, size)
            return
        if not self._waiting and self._try_reserve(size):
            return
        log.warning("no memory for a reply, reading pauses bytes=%d", size)
        future = asyncio.get_running_loop().create_future()
        self._waiting.append((size, future))
        self._retry_later()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(size)
            raise

    def release(self, size: int) -> None:
        """Ends a reservation, and grants waiting ones."""
        self.budget.release(MemoryUse.REPLIES, size)
        self._grant()

    def _try_reserve(self, size: int) -> bool:
        if not self.budget.fits(MemoryUse.ANSWERS, size):
            self._recount_answers()
        return self.budget.fits(MemoryUse.ANSWERS, size) and self.budget.try_reserve(MemoryUse.REPLIES, size)

    def _grant(self) -> None:
        while self._waiting:
            size, future = self._waiting[0]
            if not future.done():
                if not self._try_reserve(size):
                    return
                future.set_result(None)
            self._waiting.popleft()

    def _retry_later(self) -> None:
        if self._retry is None:
            self._retry = asyncio.get_running_loop().call_later(RETRY_S, self._retry_waiting)

    def _retry_waiting(self) -> None:
        self._retry = None
        self._grant()
        if self._waiting:
            self._retry_later()
