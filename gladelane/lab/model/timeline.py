"""Virtual time: moments in order, ties by the order in which they were set. Milliseconds."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Moment:
    """Cancelled, it holds on to nothing and is passed over."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """It is not called any more."""
        self.call = None


class Timeline:
    """Calls in the order of their times, ms; those of one time in the order in which they were set."""

    def __init__(self) -> None:
        self.now = 0.0
        self.passed = 0  # moments that were called
        self._set = 0
        self._heap: list[tuple[float, int, Moment]] = []

    def at(self, due: float, call: Callable[[], None]) -> Moment:
        """One that is due in the past comes next, after those set for now before it."""
        moment = Moment(call)
        self._set += 1
        heapq.heappush(self._heap, (max(due, self.now), self._set, moment))
        return moment

    def after(self, wait: float, call: Callable[[], None]) -> Moment:
        """Calls it `wait` ms from now."""
        return self.at(self.now + wait, call)

    def run(self, until: float) -> None:
        """All that is due by then; the time is `until` afterwards."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, moment = heapq.heappop(self._heap)
            if moment.call is not None:
                self.passed += 1
                moment.call()
        self.now = max(self.now, until)
