"""Measures stalls of this process's event loop, which delay its observations.

The fake servers, links and clients of a run are one process, beside the processes under test. On a busy or
suspended machine it reads late what was sent in time, so a check that uses the times of its observations
has to know how late they may be.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable

TICK_MS = 5.0
MAX_ITERATIONS = 4  # of the loop from an arrival to its observation: accept, read, parse, handle


class EventLoopStalls:
    """Records when the event loop ran, and bounds the delay of observations. Unix ms."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` returns Unix ms."""
        self._clock = clock
        self._ticks: list[float] = []

    async def watch(self) -> None:
        """Records the iterations of the running loop, until cancelled."""
        while True:
            self.tick(self._clock())
            await asyncio.sleep(TICK_MS / 1000.0)

    def tick(self, now_ms: float) -> None:
        """Records that the loop runs. Times must not decrease."""
        self._ticks.append(now_ms)

    def max_delay_ms(self, at_ms: float) -> float:
        """The largest possible delay of an observation at this time by a stall; 0 without a stall."""
        place = bisect_right(self._ticks, at_ms)
        if place == 0:
            return 0.0
        elapsed_ms = at_ms - self._ticks[max(place - MAX_ITERATIONS, 0)]
        # on an idle machine a tick may be late by almost a tick, since it waits for the current iteration
        return elapsed_ms - TICK_MS * MAX_ITERATIONS if elapsed_ms > 2.0 * TICK_MS * MAX_ITERATIONS else 0.0
