"""Timers as coarse ticks on a hashed wheel, and the clock: Unix milliseconds that never run backwards."""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable

log = logging.getLogger(__name__)

TICK_MS = 5.0
SLOTS = 2048  # most timers fall due within one turn
LATE_MS = 100.0  # a tick this late is logged: the loop was held up
WORST_KEPT = 0.998  # part of the worst lateness remembered after each tick: half of it after 2 s


class Clock:
    def __init__(self) -> None:
        self._last = 0.0

    def now(self) -> float:
        self._last = max(self._last, time.time() * 1000.0)
        return self._last


class Entry:
    """A timer; once cancelled it holds on to nothing."""

    __slots__ = ("call", "tick")

    def __init__(self, tick: int, call: Callable[[], None]) -> None:
        self.tick = tick
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Wheel:
    """`at` runs a callback on the first tick at or after its time; a tick keeps the order of the calls."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._slots: list[list[Entry]] = [[] for _ in range(SLOTS)]
        self._turned_ms = clock()
        self._tick = int(self._turned_ms // TICK_MS)
        self._late_ms = self._worst_ms = 0.0

    def lag(self) -> float:
        """How long what is read now may have lain unread: this round of the loop so far, and one before."""
        return max(self._clock() - self._turned_ms - TICK_MS, 0.0) + self._late_ms

    def margin(self) -> float:
        """What a deadline counted from now must spare: the lag behind, and a timer as late as lately."""
        return TICK_MS + self.lag() + self._worst_ms

    def at(self, due_ms: float, call: Callable[[], None]) -> Entry:
        tick = max(-int(-due_ms // TICK_MS), self._tick + 1)
        entry = Entry(tick, call)
        self._slots[tick % SLOTS].append(entry)
        return entry

    def turn(self) -> None:
        """Runs all that is due. After a long hold-up each slot is still visited once only."""
        now = int(self._clock() // TICK_MS)
        first = max(self._tick + 1, now - SLOTS + 1)
        self._tick = max(now, self._tick)
        for tick in range(first, now + 1):
            place = tick % SLOTS
            entries, self._slots[place] = self._slots[place], []
            for entry in entries:
                if entry.call is None:
                    continue
                if entry.tick > now:
                    self._slots[place].append(entry)
                    continue
                try:
                    entry.call()
                except Exception:  # one timer's fault must not stop the others
                    log.exception("timer failed")

    async def run(self) -> None:
        while True:
            before = self._clock()
            await asyncio.sleep(TICK_MS / 1000.0)
            self._turned_ms = self._clock()
            late = self._turned_ms - before - TICK_MS
            self._late_ms = max(late, 0.0)
            self._worst_ms = max(late, self._worst_ms * WORST_KEPT)
            if late > LATE_MS:
                log.warning("loop late ms=%.0f", late)
            self.turn()
