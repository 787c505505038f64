"""A hashed timer wheel with ticks of 5 ms, which also measures how late the event loop runs. Times are ms."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

log = logging.getLogger(__name__)

TICK_MS = 5.0
SLOTS = 2048  # about 10 s: most timers fall due within one revolution
LATE_MS = 100.0  # a tick that is later is logged, because something has blocked the event loop
WORST_LATE_DECAY = 0.998  # factor of the worst lateness at each tick: it halves in 2 s
# Upper bound of the worst lateness. A loop that is later than this was stopped rather than busy, which does
# not predict the lateness of the next timers. Without the bound, requests with 1.4 s left would be rejected
# for 4 s after a stop of 6 s.
WORST_LATE_LIMIT_MS = LATE_MS


class TimerHandle:
    """A scheduled callback. Cancelling it drops the callback at once, with all that it refers to."""

    __slots__ = ("callback", "tick")

    def __init__(self, tick: int, callback: Callable[[], None]) -> None:
        self.tick = tick
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevents the callback; has no effect once it has run."""
        self.callback = None


class TimerWheel:
    """Runs callbacks at the first tick at or after their time; within a tick in the order of scheduling."""

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._slots: list[list[TimerHandle]] = [[] for _ in range(SLOTS)]
        self._last_tick_ms = clock()
        self._tick = int(self._last_tick_ms // TICK_MS)
        self._late_ms = self._worst_ms = 0.0

    def lag(self) -> float:
        """How long data that is read now may have been waiting: the overdue time of the next tick plus the
        lateness of the last tick."""
        return max(self._clock() - self._last_tick_ms - TICK_MS, 0.0) + self._late_ms

    def margin(self) -> float:
        """How much earlier than a deadline its timer must be set: one tick, the lag and the worst recent
        lateness."""
        return TICK_MS + self.lag() + self._worst_ms

    def schedule(self, due_ms: float, callback: Callable[[], None]) -> TimerHandle:
        """Runs `callback` at the first tick at or after `due_ms`, but never before the next tick."""
        tick = max(-int(-due_ms // TICK_MS), self._tick + 1)
        handle = TimerHandle(tick, callback)
        self._slots[tick % SLOTS].append(handle)
        return handle

    def repeat(self, interval_ms: float, callback: Callable[[], None]) -> None:
        """Runs `callback` after each `interval_ms` for as long as the wheel turns, also after an exception in
        it."""

        def run() -> None:
            self.repeat(interval_ms, callback)
            callback()

        self.schedule(self._clock() + interval_ms, run)

    def advance(self) -> None:
        """Runs all callbacks that are due. Visits each slot at most once, however late the tick is."""
        now_tick = int(self._clock() // TICK_MS)
        first_tick = max(self._tick + 1, now_tick - SLOTS + 1)
        self._tick = max(now_tick, self._tick)
        for tick in range(first_tick, now_tick + 1):
            slot = self._slots[tick % SLOTS]
            handles = tuple(slot)
            slot.clear()  # a new list would be a small object that keeps a larger block of memory in use
            for handle in handles:
                if handle.callback is None:
                    continue
                if handle.tick > now_tick:
                    slot.append(handle)
                    continue
                try:
                    handle.callback()
                except Exception:  # an error in one callback must not prevent the others
                    log.exception("timer callback failed")

    async def run(self) -> None:
        """Advances the wheel at each tick until cancelled."""
        while True:
            before_ms = self._clock()
            await asyncio.sleep(TICK_MS / 1000.0)
            self.record_tick(before_ms, self._clock())
            self.advance()

    def record_tick(self, before_ms: float, now_ms: float) -> None:
        """Updates the lateness after a tick at `now_ms`, the wait for which started at `before_ms`."""
        late_ms = now_ms - before_ms - TICK_MS
        self._last_tick_ms = now_ms
        self._late_ms = max(late_ms, 0.0)
        self._worst_ms = max(min(late_ms, WORST_LATE_LIMIT_MS), self._worst_ms * WORST_LATE_DECAY)
        if late_ms > LATE_MS:
            log.warning("event loop late ms=%.0f", late_ms)
