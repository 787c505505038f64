"""Decides which phase of its recovery a director is in, and what keeps it from the next phase. Pure.

The phase is not the readiness that health checks see: a director that is ramping up accepts clients. A
director is in full service (`FULL`) if at least FULL_SHARE of the value requested within the last STABLE_MS
was answered well, and no purge or refetch limit restricts what it may serve. A director without requests is
in full service once no other condition is unmet.
"""

from __future__ import annotations

from collections import deque
from enum import IntEnum
from typing import NamedTuple

FULL_SHARE = 0.95
STABLE_MS = 2_000.0
DEGRADED_SHARE = 0.8  # below this share a director in full service goes back to ramping


class Phase(IntEnum):
    """The phase of a director's recovery. The numbers appear in the admin endpoint's metrics."""

    STARTING = 1
    CATCHING_UP = 2
    RAMPING = 3
    FULL = 4


class Reason(IntEnum):
    """What keeps a director from full service. The numbers appear in metrics, the names in logs."""

    NONE = 0
    NO_CLIENTS_YET = 1  # it does not listen yet
    NO_FEED = 2  # no purge log server has sent all of its purges
    CUT_OFF = 3  # no purge log server was heard from within the allowed delay
    RENEWING = 4  # purges made copies invalid, and the budget for refetching them is used up
    SERVED = 5  # too small a share of the requested value is answered well
    TOO_YOUNG = 6  # all conditions are met, but not yet for STABLE_MS


class ServiceSnapshot(NamedTuple):
    """The state of the service at one moment.

    `requested_value` is the total priority weight of all requests that have ended since the start, and
    `earned_value` that of the successful ones."""

    is_listening: bool
    has_caught_up: bool  # some purge log server has sent all of its purges; also true without such servers
    is_following: bool  # some purge log server was heard from lately; also true without such servers
    is_refetch_budget_exhausted: bool
    requested_value: float
    earned_value: float


class Phases:
    """The state machine of one director. All times are in ms of the caller's clock."""

    def __init__(self, now_ms: float) -> None:
        self.phase, self.reason = Phase.STARTING, Reason.NO_CLIENTS_YET
        self.since_ms = now_ms  # the start, or when full service was last lost
        self.recovered_after_ms = 0.0  # from `since_ms` to full service; 0 before it is reached
        self._healthy_since_ms: float | None = None
        self._history: deque[tuple[float, float, float]] = deque()  # now_ms, requested_value, earned_value

    def update(self, snapshot: ServiceSnapshot, now_ms: float) -> bool:
        """Updates phase and reason by a new snapshot; returns whether the phase changed."""
        previous = self.phase
        self._history.append((now_ms, snapshot.requested_value, snapshot.earned_value))
        while len(self._history) > 2 and self._history[1][0] <= now_ms - STABLE_MS:
            self._history.popleft()
        self.phase, self.reason = self._next_phase(snapshot, now_ms)
        if self.phase is Phase.FULL and previous is not Phase.FULL:
            self.recovered_after_ms = max(now_ms - self.since_ms, 1.0)
        elif previous is Phase.FULL and self.phase is not Phase.FULL:
            self.since_ms, self.recovered_after_ms = now_ms, 0.0
        return self.phase is not previous

    def _earned_share(self) -> float:
        """The share of the requested value that was earned within the history; 1 without requests."""
        _, requested_before, earned_before = self._history[0]
        _, requested, earned = self._history[-1]
        if requested <= requested_before:
            return 1.0
        return (earned - earned_before) / (requested - requested_before)

    def _next_phase(self, snapshot: ServiceSnapshot, now_ms: float) -> tuple[Phase, Reason]:
        if not snapshot.is_listening:
            self._healthy_since_ms = None
            return Phase.STARTING, Reason.NO_CLIENTS_YET
        reason = self._find_blocking_reason(snapshot)
        if reason is not Reason.NONE:
            self._healthy_since_ms = None
            return (Phase.CATCHING_UP if reason is Reason.NO_FEED else Phase.RAMPING), reason
        if self._healthy_since_ms is None:
            self._healthy_since_ms = now_ms
        if self.phase is Phase.FULL or now_ms - self._healthy_since_ms >= STABLE_MS:
            return Phase.FULL, Reason.NONE
        return Phase.RAMPING, Reason.TOO_YOUNG

    def _find_blocking_reason(self, snapshot: ServiceSnapshot) -> Reason:
        if not snapshot.is_following:
            return Reason.CUT_OFF if snapshot.has_caught_up else Reason.NO_FEED
        if snapshot.is_refetch_budget_exhausted:
            return Reason.RENEWING
        if self._earned_share() < (DEGRADED_SHARE if self.phase is Phase.FULL else FULL_SHARE):
            return Reason.SERVED
        return Reason.NONE
