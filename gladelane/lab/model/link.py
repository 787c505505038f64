"""A link that its transfers share equally (processor sharing), each at no more than one transfer's own pace.

All transfers run at one rate, so the work done for each since a common start orders their ends: what starts
and ends costs O(log n), and nothing is stepped through in between."""

from __future__ import annotations

import heapq


class Link:
    """`capacity` and `flow` in KB a ms: of the link, and of one transfer at most. Times in ms.

    A transfer that has ended is told by `ended`, to be asked before the time of the next `start` or `stop`;
    one that is stopped is not told. Raises ValueError for a key in use, a size that is not positive, a time
    before the last, or one past an end that was not asked for."""

    def __init__(self, capacity: float, flow: float) -> None:
        if capacity <= 0.0 or flow <= 0.0:
            raise ValueError(f"capacity {capacity}, flow {flow}; expected more than 0")
        self.capacity, self.flow = capacity, flow
        self.now = 0.0
        self._done = 0.0  # KB that a transfer under way all the time would have got
        self._ends: dict[int, float] = {}  # where `_done` will stand as it ends
        self._heap: list[tuple[float, int]] = []  # stopped ones stay until they come up

    def __len__(self) -> int:
        return len(self._ends)

    def rate(self) -> float:
        """Of each transfer now, KB a ms."""
        return min(self.flow, self.capacity / max(len(self._ends), 1))

    def start(self, now: float, key: int, size: float) -> None:
        """A transfer of `size` KB begins. Raises ValueError as the class says."""
        if key in self._ends or size <= 0.0:
            raise ValueError(f"transfer {key} of {size} KB; expected a new key and a size over 0")
        self._go_on(now)
        self._ends[key] = self._done + size
        heapq.heappush(self._heap, (self._ends[key], key))

    def stop(self, now: float, key: int) -> float:
        """KB that were still to come; 0: it is not under way."""
        self._go_on(now)
        return max(self._ends.pop(key, self._done) - self._done, 0.0)

    def resize(self, now: float, capacity: float) -> None:
        """It can do more or less from now on; asked after `ended`, as `start` is."""
        if capacity <= 0.0:
            raise ValueError(f"capacity {capacity}; expected more than 0")
        self._go_on(now)
        self.capacity = capacity

    def next_end(self) -> float | None:
        """When the next transfer ends if none starts or stops before."""
        self._drop_stopped()
        return self.now + max(self._heap[0][0] - self._done, 0.0) / self.rate() if self._heap else None

    def ended(self, now: float) -> list[tuple[float, int]]:
        """Transfers that have ended by then, with their times, in order; ties by key."""
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
