"""Decides in which phase of its recovery a director is, and why it is not further. Pure.

The phase is not the readiness that health checks see: a director that is ramping up accepts clients. `FULL`
means that of the value requested within the last STABLE_MS at least FULL_SHARE was answered, and that nothing
limits what clients may have. A director without requests is in full service once nothing else is missing.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import NamedTuple

FULL_SHARE = 0.95
STABLE_MS = 2_000.0
DEGRADED_SHARE = 0.8  # a director in full service is ramping again below this share


class Phase(IntEnum):
    """The numbers are those of the admin endpoint's metrics."""

    STARTING = 1
    CATCHING_UP = 2
    RAMPING = 3
    FULL = 4


class Reason(IntEnum):
    """Why a director is not in full service. Numbers and names appear in metrics and logs."""

    NONE = 0
    NO_CLIENTS_YET = 1  # it does not listen yet
    NO_FEED = 2  # no purge log server has sent all that it knows
    CUT_OFF = 3  # no purge log server was heard from for the allowed delay
    RENEWING = 4  # copies are void, and the budget for refetching them is used up
    SERVED = 5  # too small a share of the requested value is answered
    TOO_YOUNG = 6  # nothing is missing, but not for long enough


class ServiceSnapshot(NamedTuple):
    """What is known of the service at one moment. `asked` and `earned` are values since the start: of all
    requests that were answered in any way, and of those answered well."""

    listens: bool
    caught_up: bool  # some purge log server has sent all it knows; also true where none is followed
    follows: bool  # some purge log server was heard from lately
    renewing: bool  # the budget for refetches is used up
    asked: float
    earned: float


class Phases:
    """The state machine of one director. All times are ms of the caller's clock."""

    def __init__(self, now_ms: float) -> None:
        self.phase, self.reason = Phase.STARTING, Reason.NO_CLIENTS_YET
        self.since_ms = now_ms  # the start, or when full service was last lost
        self.recovered_after_ms = 0.0  # from `since_ms` to full service; 0 before it is reached
        self._healthy_since_ms: float | None = None
        self._history: deque[tuple[float, float, float]] = deque()  # now_ms, asked, earned

    def update(self, snapshot: ServiceSnapshot, now_ms: float) -> bool:
        """Takes a new reading and returns whether the phase changed."""
        previous = self.phase
        self._history.append((now_ms, snapshot.asked, snapshot.earned))
        while len(self._history) > 2 and self._history[1][0] <= now_ms - STABLE_MS:
            self._history.popleft()
        self.phase, self.reason = self._next_phase(snapshot, now_ms)
        if self.phase is Phase.FULL and previous is not Phase.FULL:
            self.recovered_after_ms = max(now_ms - self.since_ms, 1.0)
        elif previous is Phase.FULL and self.phase is not Phase.FULL:
            self.since_ms, self.recovered_after_ms = now_ms, 0.0
        return self.phase is not previous

    def _share(self) -> float:
        """The share of the requested value that was answered within the history; 1 without requests."""
        _, asked_before, earned_before = self._history[0]
        _, asked, earned = self._history[-1]
        if asked <= asked_before:
            return 1.0
        return (earned - earned_before) / (asked - asked_before)

    def _next_phase(self, snapshot: ServiceSnapshot, now_ms: float) -> tuple[Phase, Reason]:
        if not snapshot.listens:
            self._healthy_since_ms = None
            return Phase.STARTING, Reason.NO_CLIENTS_YET
        reason = self._what_is_missing(snapshot)
        if reason is not Reason.NONE:
            self._healthy_since_ms = None
            return (Phase.CATCHING_UP if reason is Reason.NO_FEED else Phase.RAMPING), reason
        if self._healthy_since_ms is None:
            self._healthy_since_ms = now_ms
        if self.phase is Phase.FULL or now_ms - self._healthy_since_ms >= STABLE_MS:
            return Phase.FULL, Reason.NONE
        return Phase.RAMPING, Reason.TOO_YOUNG

    def _what_is_missing(self, snapshot: ServiceSnapshot) -> Reason:
        if not snapshot.follows:
            return Reason.CUT_OFF if snapshot.caught_up else Reason.NO_FEED
        if snapshot.renewing:
            return Reason.RENEWING
        if self._share() < (DEGRADED_SHARE if self.phase is Phase.FULL else FULL_SHARE):
            return Reason.SERVED
        return Reason.NONE
