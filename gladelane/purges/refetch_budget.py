"""A budget for refetching objects whose cached copies may not be used: one for all causes. Pure.

Copies become unusable when a director hears of no purge log server (only young copies will do), when purges
were lost with a disk (`purges/horizon.py`), and for a while after either. Every director notices at the same
moment, and all requests that follow would reach the origin at once. So each director limits its refetches to
`rate_per_s` at first: its share of the origin's capacity, or a figure of its own where that is not known.

Directors do not communicate, so each one adapts to what it sees, which is whether its own refetches come in
time. While they do, the rate grows by half every second; where one in ten is late or fails, it is halved.
With a known capacity the rate does not exceed the director's share for the first half minute, so that all
directors together keep to the capacity while most copies are unusable. After that most refetches are usual
ones.

Parts that were refetched by this director already, or are being refetched, are free: their answers are
shared. A token that was spent on a part that another director had refetched is given back. Requests over the
budget are rejected at once, with a Retry-After that grows with the load. Classes of lower value must leave a
reserve to those of higher value.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from enum import Enum
from typing import TypeAlias

#: Tokens that collect while nothing is refetched, in seconds of the rate.
BURST_S = 0.5
GROWTH_PER_S, REDUCTION_PER_S = 1.5, 0.5
#: The share of late refetches in a second that shows overload.
LATE_SHARE = 0.1
#: The rate is never reduced below this share of the initial one.
MIN_RATE_SHARE = 0.25
#: The share of the burst that the class of the lowest value must leave.
RESERVE_SHARE = 0.5
IDLE_MS = 1_000.0
#: Without a rejection for so long, the limit no longer matters.
QUIET_MS = 10_000.0
#: How long the director's share of the origin's capacity is not exceeded.
CAPPED_MS = 30_000.0
#: How long other requests join a refetch that was sent.
SHARED_MS = 2_000.0
#: A copy that is older than its request by this was in a cache before.
PREEXISTING_MS = 100.0
MAX_REMEMBERED_PARTS = 65_536
RETRY_AFTER_MS = 1_000.0
MAX_RETRY_AFTER_FACTOR = 5.0

#: The number of an object, and of one of its parts.
PartKey: TypeAlias = tuple[int, int]


class Cause(Enum):
    """Why copies are unusable; several causes may hold at once."""

    CUT_OFF = "cut off from all feeds"
    BACK = "feeds came back"
    LOST = "purges were lost"


class RefetchBudget:
    """Limits refetches while any cause holds. Times are Unix ms."""

    def __init__(self, rate_per_s: float, max_rate_per_s: float, now_ms: float, rng: random.Random) -> None:
        """`rate_per_s`: refetches a second at first. `max_rate_per_s`: this director's share of the origin's
        capacity; 0: not known."""
        self.causes: set[Cause] = set()
        self.rate_per_s = rate_per_s
        self.refetched = 0
        self.rejected = 0
        self._initial_rate_per_s, self._max_rate_per_s = rate_per_s, max_rate_per_s
        self._rng = rng
        self._tokens, self._tokens_at_ms = 0.0, now_ms
        self._newest_copies: OrderedDict[PartKey, float] = OrderedDict()  # dates
        self._pending: OrderedDict[PartKey, float] = OrderedDict()  # since when each is being refetched
        self._sent_in_second = self._late_in_second = self._rejected_in_second = 0
        self._second_began_ms = now_ms
        self._activated_ms = self._last_rejected_ms = now_ms

    @property
    def is_active(self) -> bool:
        """Whether any cause holds, so that refetches are limited."""
        return bool(self.causes)

    def activate(self, cause: Cause, now_ms: float) -> None:
        """A cause begins to hold. The first one resets the budget; further ones share it."""
        if not self.causes:
            self.rate_per_s = self._initial_rate_per_s
            # Not all directors may start with a full burst at the same moment.
            self._tokens, self._tokens_at_ms = self._rng.random() * self._burst(), now_ms
            self._second_began_ms = self._activated_ms = now_ms
            self._reset_second()
        self._last_rejected_ms = now_ms
        self.causes.add(cause)

    def deactivate(self, cause: Cause) -> None:
        """A cause has ended."""
        self.causes.discard(cause)

    def is_quiet(self, now_ms: float) -> bool:
        """Whether nothing was rejected for so long that the limit no longer matters."""
        return now_ms - self._last_rejected_ms >= QUIET_MS

    def is_idle(self, now_ms: float) -> bool:
        """Whether nothing was rejected for a second, though the limit may be active."""
        return now_ms - self._last_rejected_ms >= IDLE_MS

    def admit(self, part: PartKey, value: float, max_age_ms: float, now_ms: float) -> float:
        """0 if a request may go on; else it is rejected, and this is its Retry-After in ms.

        `value`: of the request's class, 1 for the most valuable class. `max_age_ms`: the age up to which
        copies may be used.
        """
        if not self.causes:
            return 0.0
        self._adapt_rate(now_ms)
        if self._is_free(part, max_age_ms, now_ms):
            return 0.0
        self._refill(now_ms)
        reserve = RESERVE_SHARE * (self._burst() - 1.0) * (1.0 - min(max(value, 0.0), 1.0))
        if self._tokens < 1.0 + reserve:
            return self._reject(now_ms)
        self._tokens -= 1.0
        self.refetched += 1
        self._sent_in_second += 1
        self._add_pending(part, now_ms)
        return 0.0

    def record_answer(self, part: PartKey, dated_ms: float, in_time: bool) -> None:
        """An attempt has ended with a copy of this date, or without one (0). Must be called whether a cause
        holds or not: copies that were seen before a cause need no refetch after it."""
        self._remember_copy(part, dated_ms)
        sent_ms = self._pending.pop(part, None)
        if sent_ms is None:
            return
        if 0.0 < dated_ms < sent_ms - PREEXISTING_MS:
            # Another director had refetched the part, so this request has not reached the origin.
            self._tokens = min(self._tokens + 1.0, self._burst())
            self.refetched -= 1
            self._sent_in_second -= 1
            return
        self._late_in_second += not in_time

    def _is_free(self, part: PartKey, max_age_ms: float, now_ms: float) -> bool:
        """Whether a usable copy of the part exists, or is being fetched."""
        dated_ms = self._newest_copies.get(part)
        if dated_ms is not None and dated_ms >= now_ms - max_age_ms:
            return True
        return self._pending.get(part, -SHARED_MS) > now_ms - SHARED_MS

    def _reject(self, now_ms: float) -> float:
        """The Retry-After, in ms."""
        self.rejected += 1
        self._rejected_in_second += 1
        self._last_rejected_ms = now_ms
        load = self._rejected_in_second / max(self.rate_per_s, 1.0)
        factor = min(max(load, 1.0), MAX_RETRY_AFTER_FACTOR)
        return RETRY_AFTER_MS * factor * (0.5 + self._rng.random())

    def _add_pending(self, part: PartKey, now_ms: float) -> None:
        self._pending[part] = now_ms
        self._pending.move_to_end(part)
        while self._pending and next(iter(self._pending.values())) <= now_ms - SHARED_MS:
            self._pending.popitem(last=False)

    def _remember_copy(self, part: PartKey, dated_ms: float) -> None:
        if dated_ms <= self._newest_copies.get(part, 0.0):
            return
        self._newest_copies[part] = dated_ms
        self._newest_copies.move_to_end(part)
        if len(self._newest_copies) > MAX_REMEMBERED_PARTS:
            self._newest_copies.popitem(last=False)

    def _burst(self) -> float:
        return max(self.rate_per_s * BURST_S, 1.0)

    def _refill(self, now_ms: float) -> None:
        gained = max(now_ms - self._tokens_at_ms, 0.0) / 1000.0 * self.rate_per_s
        self._tokens, self._tokens_at_ms = min(self._tokens + gained, self._burst()), now_ms

    def _reset_second(self) -> None:
        self._sent_in_second = self._late_in_second = self._rejected_in_second = 0

    def _adapt_rate(self, now_ms: float) -> None:
        """Sets the rate once a second, by what became of the last second's refetches."""
        while now_ms - self._second_began_ms >= 1000.0:
            if self._late_in_second > LATE_SHARE * self._sent_in_second:
                self.rate_per_s = max(
                    self.rate_per_s * REDUCTION_PER_S, self._initial_rate_per_s * MIN_RATE_SHARE
                )
            elif self._rejected_in_second and self._sent_in_second:
                # The limit is felt, and what it admits comes in time.
                self.rate_per_s *= GROWTH_PER_S
            if self._max_rate_per_s and now_ms - self._activated_ms < CAPPED_MS:
                self.rate_per_s = min(self.rate_per_s, self._max_rate_per_s)
            self._reset_second()
            self._second_began_ms += 1000.0
            if now_ms - self._second_began_ms >= QUIET_MS:  # nothing was asked for so long
                self._second_began_ms = now_ms
