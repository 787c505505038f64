"""The queue of attempts that one connection has not sent yet. Times are ms of the connection's clock."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..timer_wheel import TimerHandle, TimerWheel
from .exchange import Attempt
from .outgoing import Outgoing

#: An attempt states its remaining time when it is written. If no byte of it has left after this time, it
#: would arrive with too long a time stated: the permitted error is 150 ms, of which the tick, the system
#: and the server need a part.
MAX_UNSENT_MS = 100.0
STUCK_AFTER_MS = 50.0  # a connection with bytes unsent for this long takes no more: its server does not read


class QueueOwner(Protocol):
    """The part of a connection that its queue uses."""

    finished: bool

    def is_open(self, attempt: Attempt) -> bool:
        """Whether the attempt is still wanted on this connection."""

    def write(self, attempt: Attempt) -> bool:
        """Writes an attempt, or ends it; returns whether it was written."""

    def send_elsewhere(self, attempts: list[Attempt]) -> None:
        """Moves attempts, which would wait here for too long, to other connections."""

    def reset(self) -> None:
        """Ends the connection so that bytes that have not left this machine are discarded."""


class WriteQueue:
    """Writes attempts in order, each only after all earlier bytes have left this machine. An attempt that is
    queued behind bytes that the server does not read could not be cancelled, and the server would start it
    long after its client has gone."""

    def __init__(self, owner: QueueOwner, clock: Callable[[], float], timers: TimerWheel) -> None:
        self.waiting: deque[Attempt] = deque()  # may include attempts that have ended
        self.out: Outgoing | None = None  # set once the connection is established
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
            self.waiting.popleft()  # before the write, since the write may add a further attempt
            if is_open and self._owner.write(attempt):
                self._limit_unsent_time(attempt)

    def cancel_check(self) -> None:
        """Cancels the scheduled check whether waiting attempts can be written."""
        if self._next_check is not None:
            self._next_check.cancel()
            self._next_check = None

    def unsent_since_ms(self) -> float:
        """Since when bytes have been unsent; 0: all bytes have left."""
        return self.out.unsent_since_ms() if self.out is not None else 0.0

    def is_stuck(self) -> bool:
        """Whether bytes have been unsent for so long that no attempt should be written after them."""
        since_ms = self.unsent_since_ms()
        return bool(since_ms) and self._clock() - since_ms > STUCK_AFTER_MS + self._timers.lag()

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Keeps an attempt that is no longer wanted from being started by the server. If a part of it has not
        left this machine, the connection is reset as soon as it counts as stuck. Otherwise the server would
        start the attempt when it reads again."""
        since_ms = self.unsent_since_ms()
        if self._owner.finished or self.out is None or not since_ms:
            return
        if not self.out.is_partly_unsent(attempt):
            return
        if self._clock() >= since_ms + STUCK_AFTER_MS:
            self._owner.reset()
        else:
            self._timers.schedule(since_ms + STUCK_AFTER_MS, partial(self.cancel_unsent, attempt))

    def _wait(self) -> None:
        if not self.is_stuck():
            self._next_check = self._timers.schedule(self._clock(), self.write_waiting)
            return
        waiting, self.waiting = self.waiting, deque()
        self._owner.send_elsewhere(list(waiting))

    def _limit_unsent_time(self, attempt: Attempt) -> None:
        if self.out is not None and self.out.latest is attempt:
            due_ms = attempt.written_ms + MAX_UNSENT_MS
            self._timers.schedule(due_ms, partial(self._reset_if_unsent, attempt))

    def _reset_if_unsent(self, attempt: Attempt) -> None:
        if self._owner.finished or self.out is None or not self._owner.is_open(attempt):
            return
        if self.out.is_entirely_unsent(attempt):
            self._owner.reset()
