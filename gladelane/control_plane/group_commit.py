"""Group commit: entries that arrive while a batch is being stored form the next batch."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

Entry = TypeVar("Entry")


class GroupCommit(Generic[Entry]):
    """A bounded queue of entries, and the task that commits them in batches."""

    def __init__(
        self,
        commit: Callable[[list[Entry]], Awaitable[None]],
        on_failure: Callable[[list[Entry], Exception], None],
        max_waiting: int,
        max_batch: int,
    ) -> None:
        """`commit` stores a batch. `on_failure` receives a batch whose commit raised, and the exception."""
        self._commit = commit
        self._on_failure = on_failure
        self._max_batch = max_batch
        self._queue: asyncio.Queue[Entry] = asyncio.Queue(max_waiting)

    def put(self, entry: Entry) -> None:
        """Queues an entry. Raises asyncio.QueueFull if `max_waiting` entries are queued."""
        self._queue.put_nowait(entry)

    def is_empty(self) -> bool:
        """Returns whether the queue is empty; a batch may still be in progress."""
        return self._queue.empty()

    async def run(self) -> None:
        """Commits batches until it is cancelled, and continues after a failed batch."""
        while True:
            batch = [await self._queue.get()]
            while not self._queue.empty() and len(batch) < self._max_batch:
                batch.append(self._queue.get_nowait())
            try:
                await self._commit(batch)
            except Exception as error:
                self._on_failure(batch, error)
