"""An event loop over real sockets whose clocks jump to the next timer while no socket is ready.

Ten idle minutes take seconds of real time: `time.time` and `time.monotonic` start at fixed values and advance only by
the time for which the loop would have waited. All peers have to run in this loop, since the clocks would jump past
their answers otherwise, and blocking calls run in it in place of a thread for the same reason. On loopback, what one
side writes is readable at the other side immediately.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from types import SimpleNamespace
from typing import Any

import pytest

from gladelane import worker_threads

UNIX_START_S = 1_800_000_000.0
MONOTONIC_START_S = 50_000.0
#: Real time that the loop waits for packets on loopback before the clocks jump. Without it, a softirq that is late on
#: a busy machine would look like a network that delivers nothing for the length of the jump.
ARRIVAL_S = 0.0003


class VirtualClock:
    """The values of `time.time` and `time.monotonic`."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        #: no packets are in transit: the loop spends no real time on waiting for them
        self.is_network_idle = False

    def unix_s(self) -> float:
        return UNIX_START_S + self.elapsed_s

    def monotonic_s(self) -> float:
        return MONOTONIC_START_S + self.elapsed_s

    def install(self, patch: pytest.MonkeyPatch) -> None:
        patch.setattr(time, "time", self.unix_s)
        patch.setattr(time, "monotonic", self.monotonic_s)
        patch.setattr(time, "time_ns", lambda: int(self.unix_s() * 1e9))
        patch.setattr(time, "monotonic_ns", lambda: int(self.monotonic_s() * 1e9))
        patch.setattr(time, "clock_gettime", self._gettime_s)
        patch.setattr(time, "clock_gettime_ns", lambda clock: int(self._gettime_s(clock) * 1e9))
        patch.setattr(worker_threads, "threading", SimpleNamespace(Thread=_InlineThread))

    def _gettime_s(self, clock: int) -> float:
        return self.unix_s() if clock == time.CLOCK_REALTIME else self.monotonic_s()


class _InlineThread:
    """Makes its call at once, in the thread that starts it."""

    def __init__(self, target: Callable[[], None]) -> None:
        self.start = target


class _JumpingSelector(selectors.DefaultSelector):
    """A selector that advances the clock instead of waiting."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if ready or timeout <= 0:
            return ready
        if not self._clock.is_network_idle:
            ready = super().select(ARRIVAL_S)
            if ready:
                return ready
        self._clock.elapsed_s += timeout
        return ready


def run_in_virtual_time(test: Callable[[VirtualClock], Coroutine[Any, Any, None]]) -> None:
    """Runs a test in an event loop with a virtual clock, which is passed to it."""
    clock = VirtualClock()
    with pytest.MonkeyPatch.context() as patch:
        clock.install(patch)
        with asyncio.Runner(
            loop_factory=lambda: asyncio.SelectorEventLoop(_JumpingSelector(clock))
        ) as runner:
            runner.run(test(clock))


def virtual(test: Callable[[VirtualClock], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """Decorates a test so that it runs in an event loop with a virtual clock, which is passed to it."""

    def run() -> None:
        run_in_virtual_time(test)

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
