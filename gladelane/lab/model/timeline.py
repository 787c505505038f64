"""Virtual time in ms: a queue of scheduled calls."""

from __future__ import annotations

import heapq
from collections.abc import Callable


class Moment:
    """A scheduled call. Once cancelled it keeps no reference and is skipped."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], None]) -> None:
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        """Prevents the call."""
        self.call = None


class Timeline:
    """Runs calls in the order of their times; those of one time in the order in which they were scheduled."""

    def __init__(self) -> None:
        self.now = 0.0
        self.passed = 0  # number of calls that were run
        self._set = 0
        self._heap: list[tuple[float, int, Moment]] = []

    def at(self, due: float, call: Callable[[], None]) -> Moment:
        """Schedules a call at `due`. One that is due in the past runs now, after those scheduled for now
        earlier."""
        moment = Moment(call)
        self._set += 1
        heapq.heappush(self._heap, (max(due, self.now), self._set, moment))
        return moment

    def after(self, wait: float, call: Callable[[], None]) -> Moment:
        """Schedules a call `wait` ms from now."""
        return self.at(self.now + wait, call)

    def run(self, until: float) -> None:
        """Runs all calls that are due at `until` or earlier, and sets the time to `until`."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, moment = heapq.heappop(self._heap)
            if moment.call is not None:
                self.passed += 1
                moment.call()
        self.now = max(self.now, until)
