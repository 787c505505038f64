"""When this process's event loop stood still. What it sees after that came to it earlier, by up to as much.

The servers, links and clients of a run are one process, beside the processes under test. On a busy or paused
machine it reads late what was sent in time, so whoever judges moments by its observations must know by how
much they may be late.
"""

from __future__ import annotations

import asyncio
from bisect import bisect_right
from collections.abc import Callable

TICK_MS = 5.0
STEPS = 4  # turns of the loop at most from an arrival to its observation: accept, read, parse, handle


class Standstills:
    """The moments at which the loop was seen to turn. Unix ms."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock` returns Unix ms."""
        self._clock = clock
        self._ticks: list[float] = []

    async def watch(self) -> None:
        """Notes the turns of the running loop, until cancelled."""
        while True:
            self.tick(self._clock())
            await asyncio.sleep(TICK_MS / 1000.0)

    def tick(self, now_ms: float) -> None:
        """The loop turns. Moments ascend."""
        self._ticks.append(now_ms)

    def late_ms(self, at_ms: float) -> float:
        """By how much at most an observation of this moment may have come late, beyond what it takes while
        the loop turns as it should; 0 where it did."""
        place = bisect_right(self._ticks, at_ms)
        if place == 0:
            return 0.0
        elapsed_ms = at_ms - self._ticks[max(place - STEPS, 0)]
        # at rest a tick may be late by nearly another one, since it waits for the turn that runs then
        return elapsed_ms - TICK_MS * STEPS if elapsed_ms > 2.0 * TICK_MS * STEPS else 0.0
