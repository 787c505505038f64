"""A link that transfers share equally (processor sharing), each limited to a rate of its own.

All transfers run at the same rate, so the amount that a transfer of unlimited size would have got since the
start orders their ends. A start or an end costs O(log n); the time between them is not stepped through."""

from __future__ import annotations

import heapq


class Link:
    """`capacity` is the rate of the link and `flow` the maximum rate of one transfer, in KB per ms. Times
    are in ms.

    `ended` returns the transfers that have ended, but not the stopped ones. It must be called up to the
    time of a `start`, `stop` or `resize` before that. Methods raise ValueError for a key in use, a size
    that is not positive, a time before the last one, or a time past an end that `ended` has not returned."""

    def __init__(self, capacity: float, flow: float) -> None:
        if capacity <= 0.0 or flow <= 0.0:
            raise ValueError(f"capacity {capacity}, flow {flow}; expected more than 0")
        self.capacity, self.flow = capacity, flow
        self.now = 0.0
        self._done = 0.0  # KB that a transfer running since the start would have got
        self._ends: dict[int, float] = {}  # the value of `_done` at the end of each transfer
        self._heap: list[tuple[float, int]] = []  # stopped transfers are removed when they come first

    def __len__(self) -> int:
        return len(self._ends)

    def rate(self) -> float:
        """The current rate of each transfer, in KB per ms."""
        return min(self.flow, self.capacity / max(len(self._ends), 1))

    def start(self, now: float, key: int, size: float) -> None:
        """Starts a transfer of `size` KB."""
        if key in self._ends or size <= 0.0:
            raise ValueError(f"transfer {key} of {size} KB; expected a new key and a size over 0")
        self._go_on(now)
        self._ends[key] = self._done + size
        heapq.heappush(self._heap, (self._ends[key], key))

    def stop(self, now: float, key: int) -> float:
        """Stops a transfer and returns the KB that were missing; 0 if it is not running."""
        self._go_on(now)
        return max(self._ends.pop(key, self._done) - self._done, 0.0)

    def resize(self, now: float, capacity: float) -> None:
        """Changes the capacity from now on."""
        if capacity <= 0.0:
            raise ValueError(f"capacity {capacity}; expected more than 0")
        self._go_on(now)
        self.capacity = capacity

    def next_end(self) -> float | None:
        """When the next transfer ends if none starts or stops before; None if none runs."""
        self._drop_stopped()
        return self.now + max(self._heap[0][0] - self._done, 0.0) / self.rate() if self._heap else None

    def ended(self, now: float) -> list[tuple[float, int]]:
        """Returns the transfers that ended up to `now`, as times and keys in this order, and removes them."""
        ended: list[tuple[float, int]] = []
        while (at := self.next_end()) is not None and at <= now:
            end, key = heapq.heappop(self._heap)
            self.now, self._done = at, max(self._done, end)
            del self._ends[key]
            ended.append((at, key))
        self._go_on(now)
        return ended

    def _go_on(self, now: float) -> None:
        if now < self.now:
            raise ValueError(f"time {now} after {self.now}")
        if (end := self.next_end()) is not None and end < now:
            raise ValueError(f"time {now} past an end at {end}; expected `ended` first")
        self._done += (now - self.now) * self.rate()
        self.now = now

    def _drop_stopped(self) -> None:
        while self._heap and self._ends.get(self._heap[0][1]) != self._heap[0][0]:
            heapq.heappop(self._heap)
