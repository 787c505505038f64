"""The attempts of one connection that wait for earlier bytes to leave this machine, and those that have not
left yet. Times are ms of the connection's clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..timer_wheel import TimerHandle, TimerWheel
from .exchange import Attempt
from .outgoing import Outgoing

#: An attempt of which no byte has left for so long would arrive with more time stated than is left: the slack
#: on that is 150 ms, of which the tick, the system and the server need a part.
UNSENT_MOST_MS = 100.0
STUCK_MS = 50.0  # a connection with bytes unsent for so long takes no more: its server reads nothing


class QueueOwner(Protocol):
    """The connection, as its queue uses it."""

    finished: bool

    def is_open(self, attempt: Attempt) -> bool:
        """Whether the attempt is still wanted on this connection."""

    def write(self, attempt: Attempt) -> bool:
        """Writes an attempt, or ends it; returns whether it was written."""

    def send_elsewhere(self, attempts: list[Attempt]) -> None:
        """These attempts would wait here for too long."""

    def reset(self) -> None:
        """Ends the connection so that what has not left this machine never does."""


class WriteQueue:
    """Writes attempts in order, each once all before it has left: behind bytes that the server does not read,
    an attempt could not be cancelled, and would begin long after its client has gone."""

    def __init__(self, owner: QueueOwner, clock: Callable[[], float], timers: TimerWheel) -> None:
        self.waiting: deque[Attempt] = deque()  # some may have ended
        self.out: Outgoing | None = None  # once the connection is up
        self._owner = owner
        self._clock = clock
        self._timers = timers
        self._next_check: TimerHandle | None = None

    def add(self, attempt: Attempt) -> None:
        """Writes the attempt now or later."""
        self.waiting.append(attempt)
        self.write_waiting()

    def write_waiting(self) -> None:
        """Writes what can be written now."""
        self.cancel_check()
        while self.waiting and not self._owner.finished:
            attempt = self.waiting[0]
            is_open = self._owner.is_open(attempt)
            if is_open and self.unsent_since_ms():
                self._wait()
                return
            self.waiting.popleft()  # before the write, which may add a further attempt
            if is_open and self._owner.write(attempt):
                self._limit_unsent_time(attempt)

    def cancel_check(self) -> None:
        """Nothing more is written until the next call."""
        if self._next_check is not None:
            self._next_check.cancel()
            self._next_check = None

    def unsent_since_ms(self) -> float:
        """Since when bytes have been unsent; 0: all have left."""
        return self.out.backed_since_ms() if self.out is not None else 0.0

    def is_stuck(self) -> bool:
        """Whether bytes have been unsent for so long that nothing should be written after them."""
        since_ms = self.unsent_since_ms()
        return bool(since_ms) and self._clock() - since_ms > STUCK_MS + self._timers.lag()

    def cancel_unsent(self, attempt: Attempt) -> None:
        """The attempt is not wanted any more. If a part of it has not left, the connection is reset once it
        has been stuck for long enough: else the attempt would begin when the server reads again."""
        since_ms = self.unsent_since_ms()
        if self._owner.finished or self.out is None or not since_ms:
            return
        if not self.out.is_partly_unsent(attempt):
            return
        if self._clock() >= since_ms + STUCK_MS:
            self._owner.reset()
        else:
            self._timers.schedule(since_ms + STUCK_MS, partial(self.cancel_unsent, attempt))

    def _wait(self) -> None:
        if not self.is_stuck():
            self._next_check = self._timers.schedule(self._clock(), self.write_waiting)
            return
        waiting, self.waiting = self.waiting, deque()
        self._owner.send_elsewhere(list(waiting))

    def _limit_unsent_time(self, attempt: Attempt) -> None:
        if self.out is not None and self.out.latest is attempt:
            due_ms = attempt.written_ms + UNSENT_MOST_MS
            self._timers.schedule(due_ms, partial(self._reset_if_unsent, attempt))

    def _reset_if_unsent(self, attempt: Attempt) -> None:
        if self._owner.finished or self.out is None or not self._owner.is_open(attempt):
            return
        if self.out.is_entirely_unsent(attempt):
            self._owner.reset()
