"""An event loop over real sockets whose clocks jump to the next timer while no socket is ready.

Ten quiet minutes take seconds: both clocks of the process, `time.time` and `time.monotonic`, run on from where
the test began and move only by what the loop would have waited for. Everything that talks has to live in this
loop; on loopback what one side has written is readable at the other at once.
"""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any

import pytest

UNIX_START_S = 1_800_000_000.0
MONOTONIC_START_S = 50_000.0
#: of real time that a packet on loopback is given to arrive before the clocks jump. A softirq that is late on a
#: busy machine would otherwise look like a network that loses bytes for as long as the jump
ARRIVAL_S = 0.0003


class VirtualClock:
    """What `time.time` and `time.monotonic` say."""

    def __init__(self) -> None:
        self.elapsed_s = 0.0
        #: nothing is under way: no real time is spent on waiting for packets
        self.is_quiet = False

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

    def _gettime_s(self, clock: int) -> float:
        return self.unix_s() if clock == time.CLOCK_REALTIME else self.monotonic_s()


class _JumpingSelector(selectors.DefaultSelector):
    """Instead of waiting it moves the clock on."""

    def __init__(self, clock: VirtualClock) -> None:
        super().__init__()
        self._clock = clock

    def select(self, timeout: float | None = None) -> Any:
        if timeout is None:
            return super().select(None)
        ready = super().select(0)
        if ready or timeout <= 0:
            return ready
        if not self._clock.is_quiet:
            ready = super().select(ARRIVAL_S)
            if ready:
                return ready
        self._clock.elapsed_s += timeout
        return ready


def virtual(test: Callable[[VirtualClock], Coroutine[Any, Any, None]]) -> Callable[[], None]:
    """A test that runs in such a loop and is given its clock."""

    def run() -> None:
        clock = VirtualClock()
        with pytest.MonkeyPatch.context() as patch:
            clock.install(patch)
            with asyncio.Runner(
                loop_factory=lambda: asyncio.SelectorEventLoop(_JumpingSelector(clock))
            ) as runner:
                runner.run(test(clock))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run
