"""Group commit: what comes in while one batch is being stored is stored with the next one."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")


class GroupCommit(Generic[Entry]):
    """A bounded queue and the one task that empties it.

    commit: stores a batch; failed: hears of a batch whose commit raised, and answers who waits for it."""

    def __init__(
        self,
        commit: Callable[[list[Entry]], Awaitable[None]],
        failed: Callable[[list[Entry], Exception], None],
        max_waiting: int,
        max_batch: int,
    ) -> None:
        self._commit, self._failed = commit, failed
        self._max_batch = max_batch
        self._queue: asyncio.Queue[Entry] = asyncio.Queue(max_waiting)

    def put(self, entry: Entry) -> None:
        """Raises asyncio.QueueFull."""
        self._queue.put_nowait(entry)

    def is_empty(self) -> bool:
        return self._queue.empty()

    async def run(self) -> None:
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < self._max_batch:
                batch.append(self._queue.get_nowait())
            try:
                await self._commit(batch)
            except Exception as error:
                self._failed(batch, error)
