"""A link on a timeline: transfers with a callback at their end."""

from __future__ import annotations

from collections.abc import Callable

from .link import Link
from .timeline import Moment, Timeline


class Pipe:
    """A `Link` in KB and ms. Callbacks are scheduled on the timeline, so that they may start further
    transfers."""

    def __init__(self, line: Timeline, capacity: float, flow: float) -> None:
        self._line = line
        self._link = Link(capacity, flow)
        self._done: dict[int, Callable[[], None]] = {}
        self._keys = 0
        self._next: Moment | None = None
        self.carried = 0.0  # KB of all started transfers, less the missing part of stopped ones

    def __len__(self) -> int:
        return len(self._done)

    def start(self, size: float, done: Callable[[], None]) -> int:
        """Starts a transfer of `size` KB; `done` is called at its end. Returns the key for `stop`."""
        self._collect()
        self._keys += 1
        self._done[self._keys] = done
        self._link.start(self._line.now, self._keys, size)
        self.carried += size
        self._plan()
        return self._keys

    def stop(self, key: int) -> None:
        """Stops a transfer without its callback. No effect on one that has ended."""
        self._collect()
        if self._done.pop(key, None) is not None:
            self.carried -= self._link.stop(self._line.now, key)
            self._plan()

    def resize(self, capacity: float) -> None:
        """Changes the capacity of the link to `capacity` KB per ms."""
        self._collect()
        self._link.resize(self._line.now, capacity)
        self._plan()

    def _collect(self) -> None:
        for _, key in self._link.ended(self._line.now):
            done = self._done.pop(key)
            self._line.at(self._line.now, done)

    def _plan(self) -> None:
        if self._next is not None:
            self._next.cancel()
        end = self._link.next_end()
        self._next = None if end is None else self._line.at(end, self._due)

    def _due(self) -> None:
        self._collect()
        self._plan()
