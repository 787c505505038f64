"""When a director is back: starting, catching up, ramping, full, with the reason it is not further. Pure.

Readiness is something else and is answered as ever: a director that ramps takes clients. `full` means that
of the worth asked for in each of the last looks, HELD_MS long, 95 % was answered, and that nothing holds
back what clients may have. A director that nobody asks is full once nothing else is missing.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import NamedTuple

SHARE = 0.95
HELD_MS = 2_000.0
LOST_SHARE = 0.8  # under which a full director is ramping again, over as long


class Phase(IntEnum):
    """The numbers are those of the figures."""

    STARTING = 1
    CATCHING_UP = 2
    RAMPING = 3
    FULL = 4


class Reason(IntEnum):
    NONE = 0
    NO_CLIENTS_YET = 1  # it does not listen yet
    NO_FEED = 2  # no feed has told all that it knows
    CUT_OFF = 3  # no feed was heard of for the delay
    RENEWING = 4  # copies are void, and what renews them is bounded
    SERVED = 5  # too little of what is asked is answered
    TOO_YOUNG = 6  # all is well, not for long enough


class Seen(NamedTuple):
    """asked, earned: worth since the start, answered in whatever way, and answered well; caught_up: some
    feed has told all (also where none is followed); follows: one was heard of lately; renewing: a budget
    binds."""

    listens: bool
    caught_up: bool
    follows: bool
    renewing: bool
    asked: float
    earned: float


class Phases:
    """Milliseconds of the caller's clock. back_ms: from the start, or from what ended full service, to full;
    0: not yet."""

    def __init__(self, now_ms: float) -> None:
        self.phase, self.reason = Phase.STARTING, Reason.NO_CLIENTS_YET
        self.since_ms = now_ms  # of what has to be made good
        self.back_ms = 0.0
        self._well_ms = -1.0  # since when all is well, -1: it is not
        self._looks: deque[tuple[float, float, float]] = deque()

    def update(self, seen: Seen, now_ms: float) -> bool:
        """Whether the phase changed."""
        was = self.phase
        self._looks.append((now_ms, seen.asked, seen.earned))
        while len(self._looks) > 2 and self._looks[1][0] <= now_ms - HELD_MS:
            self._looks.popleft()
        share = self._share()
        self.phase, self.reason = self._judge(seen, share, now_ms)
        if self.phase is Phase.FULL and was is not Phase.FULL:
            self.back_ms = max(now_ms - self.since_ms, 1.0)
        elif was is Phase.FULL and self.phase is not Phase.FULL:
            self.since_ms, self.back_ms = now_ms, 0.0
        return self.phase is not was

    def _share(self) -> float:
        _, asked, earned = self._looks[0]
        _, asked_now, earned_now = self._looks[-1]
        return (earned_now - earned) / (asked_now - asked) if asked_now > asked else 1.0

    def _judge(self, seen: Seen, share: float, now_ms: float) -> tuple[Phase, Reason]:
        if not seen.listens:
            self._well_ms = -1.0
            return Phase.STARTING, Reason.NO_CLIENTS_YET
        wrong = Reason.NONE
        if not seen.follows:
            wrong = Reason.CUT_OFF if seen.caught_up else Reason.NO_FEED
        elif seen.renewing:
            wrong = Reason.RENEWING
        elif share < (LOST_SHARE if self.phase is Phase.FULL else SHARE):
            wrong = Reason.SERVED
        if wrong is not Reason.NONE:
            self._well_ms = -1.0
            return (Phase.CATCHING_UP if wrong is Reason.NO_FEED else Phase.RAMPING), wrong
        if self._well_ms < 0.0:
            self._well_ms = now_ms
        if self.phase is Phase.FULL or now_ms - self._well_ms >= HELD_MS:
            return Phase.FULL, Reason.NONE
        return Phase.RAMPING, Reason.TOO_YOUNG
