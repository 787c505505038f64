"""A rate limit for refetching parts of objects whose cached copies may not be used, shared by all causes.

It does no I/O and reads no clock. Copies become unusable when a director is cut off from all purge log
servers, so that only young copies may be used (`cutoff`), when purges were lost with a disk
(`low_watermark`), and for a while after either. All directors notice this at the same time, and without a
limit all the requests that follow would reach the origin at once. So each director initially limits its
refetches to `rate_per_s`, which is its share of the origin's capacity, or a separate setting if the capacity
is unknown.

Directors do not communicate, so each one adapts the rate to whether its own refetches are answered in time.
While they are, the rate grows by half every second; if more than one in ten is late or fails, the rate is
halved. With a known capacity the rate does not exceed the director's share for the first half minute, so that
all directors together stay within the capacity while most copies are unusable. After that, most refetches are
ordinary cache misses.

A part that this director has refetched already, or is refetching, costs nothing, because the answer is
shared. A token that was spent on a part that another director had refetched before is given back. Requests
over the budget are rejected at once, with a Retry-After that grows with the load. Classes of lower value must
leave a reserve to those of higher value.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from enum import Enum
from typing import TypeAlias

#: The most tokens that accumulate, in seconds of the rate.
BURST_S = 0.5
GROWTH_PER_S, REDUCTION_PER_S = 1.5, 0.5
#: A larger share of late refetches in a second than this shows overload.
LATE_SHARE = 0.1
#: The rate is never reduced below this share of the initial one.
MIN_RATE_SHARE = 0.25
#: The share of the burst that the class of the lowest value must leave.
RESERVE_SHARE = 0.5
IDLE_MS = 1_000.0
#: After this time without a rejection the limit is regarded as no longer needed.
QUIET_MS = 10_000.0
#: How long the rate is capped at the director's share of the origin's capacity.
CAPPED_MS = 30_000.0
#: How long other requests may join a refetch that was sent.
SHARED_MS = 2_000.0
#: A copy that is older than its request by more than this was in a cache before.
PREEXISTING_MS = 100.0
MAX_REMEMBERED_PARTS = 65_536
RETRY_AFTER_MS = 1_000.0
MAX_RETRY_AFTER_FACTOR = 5.0

#: The number of an object, and of one of its parts.
PartKey: TypeAlias = tuple[int, int]


class Cause(Enum):
    """Why copies are unusable. Several causes may be active at once."""

    CUT_OFF = "cut off from all feeds"
    RECONNECTED = "feeds came back"
    LOST = "purges were lost"


class RefetchBudget:
    """Limits refetches while any cause is active. Times are in Unix ms.

    Attributes: causes, the active ones; rate_per_s, the current limit; refetched and rejected, the numbers of
    requests that were admitted as refetches or rejected."""

    def __init__(self, rate_per_s: float, max_rate_per_s: float, now_ms: float, rng: random.Random) -> None:
        """`rate_per_s`: the initial limit. `max_rate_per_s`: this director's share of the origin's capacity,
        0.0 if unknown."""
        self.causes: set[Cause] = set()
        self.rate_per_s = rate_per_s
        self.refetched = 0
        self.rejected = 0
        self._initial_rate_per_s, self._max_rate_per_s = rate_per_s, max_rate_per_s
        self._rng = rng
        self._tokens, self._tokens_at_ms = 0.0, now_ms
        self._newest_copies: OrderedDict[PartKey, float] = OrderedDict()  # their dates
        self._pending: OrderedDict[PartKey, float] = OrderedDict()  # when each refetch was sent
        self._sent_in_second = self._late_in_second = self._rejected_in_second = 0
        self._second_started_ms = now_ms
        self._activated_ms = self._last_rejected_ms = now_ms

    @property
    def is_active(self) -> bool:
        """Whether any cause is active, so that refetches are limited."""
        return bool(self.causes)

    def activate(self, cause: Cause, now_ms: float) -> None:
        """Activates a cause. The first active cause resets the budget; further ones share it."""
        if not self.causes:
            self.rate_per_s = self._initial_rate_per_s
            # random, so that not all directors start with a full burst at the same time
            self._tokens, self._tokens_at_ms = self._rng.random() * self._burst(), now_ms
            self._second_started_ms = self._activated_ms = now_ms
            self._reset_second()
        self._last_rejected_ms = now_ms
        self.causes.add(cause)

    def deactivate(self, cause: Cause) -> None:
        """Deactivates a cause."""
        self.causes.discard(cause)

    def has_no_recent_rejection(self, now_ms: float) -> bool:
        """Returns whether nothing was rejected for so long that the limit is no longer needed."""
        return now_ms - self._last_rejected_ms >= QUIET_MS

    def is_idle(self, now_ms: float) -> bool:
        """Returns whether nothing was rejected for a second, even if the limit is active."""
        return now_ms - self._last_rejected_ms >= IDLE_MS

    def admit(self, part: PartKey, value: float, max_age_ms: float, now_ms: float) -> float:
        """Returns 0.0 if a request is admitted; otherwise it is rejected, and this is its Retry-After in ms.

        `value`: of the request's class, 1.0 for the most valuable class; `max_age_ms`: the age up to which
        copies may be used."""
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
        """Records that an attempt ended with a copy of a date, or without one (0.0). Must also be called
        while no cause is active: copies that were seen before a cause need no refetch after it."""
        self._remember_copy(part, dated_ms)
        sent_ms = self._pending.pop(part, None)
        if sent_ms is None:
            return
        if 0.0 < dated_ms < sent_ms - PREEXISTING_MS:
            # another director had refetched the part, so this request did not reach the origin
            self._tokens = min(self._tokens + 1.0, self._burst())
            self.refetched -= 1
            self._sent_in_second -= 1
            return
        self._late_in_second += not in_time

    def _is_free(self, part: PartKey, max_age_ms: float, now_ms: float) -> bool:
        """Returns whether a usable copy of the part exists, or is being fetched."""
        dated_ms = self._newest_copies.get(part)
        if dated_ms is not None and dated_ms >= now_ms - max_age_ms:
            return True
        return self._pending.get(part, -SHARED_MS) > now_ms - SHARED_MS

    def _reject(self, now_ms: float) -> float:
        """Counts a rejection, and returns its Retry-After in ms."""
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
        """Adjusts the rate once a second, by the results of the last second's refetches."""
        while now_ms - self._second_started_ms >= 1000.0:
            if self._late_in_second > LATE_SHARE * self._sent_in_second:
                self.rate_per_s = max(
                    self.rate_per_s * REDUCTION_PER_S, self._initial_rate_per_s * MIN_RATE_SHARE
                )
            elif self._rejected_in_second and self._sent_in_second:
                # requests are rejected although the admitted ones are answered in time
                self.rate_per_s *= GROWTH_PER_S
            if self._max_rate_per_s and now_ms - self._activated_ms < CAPPED_MS:
                self.rate_per_s = min(self.rate_per_s, self._max_rate_per_s)
            self._reset_second()
            self._second_started_ms += 1000.0
            if now_ms - self._second_started_ms >= QUIET_MS:  # no request came for that long
                self._second_started_ms = now_ms
