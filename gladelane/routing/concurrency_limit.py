"""Adaptive limit on concurrent attempts: additive increase, multiplicative decrease (AIMD). Pure.

There is one limit for each cache, for the fills at each cache, for each source, and for all fills of a zone.
Limits and counts are numbers of attempts, times are ms by the caller's clock; shares and steps have no unit.
"""

from __future__ import annotations

from collections.abc import Callable

LIMIT_LEAST, LIMIT_MOST = 2.0, 64.0  # bounds of a cache's limit; its weight may raise the upper one
GROW_NEAR = 0.7  # part of the limit that must be in use for a timely answer to raise it
GROW_MOST = 0.25  # the most by which one timely answer raises the limit, as a part of it
LATE_STEP, LATE_SHARE = 0.1, 0.15  # moving average of late answers, and above which share there is overload
LIMIT_CUT, LIMIT_CUT_MS = 0.8, 500.0  # factor of a decrease; one per overload, or per this interval


class ConcurrencyLimit:
    """Limits the attempts in flight: late answers lower the limit by a fifth, timely ones raise it slightly.

    `chance` returns a random number from [0, 1), which is used for limits below one."""

    __slots__ = ("share", "chance", "most", "least", "out", "limit", "cut_ms", "lateness")

    def __init__(
        self, share: float = LATE_SHARE, chance: Callable[[], float] = lambda: 0.0, most: float = LIMIT_MOST
    ) -> None:
        self.share, self.chance, self.most = share, chance, most
        self.least = LIMIT_LEAST
        self.out = 0
        self.limit = most
        self.cut_ms = -1.0
        self.lateness = 0.0

    def has_capacity(self, part: float = 1.0) -> bool:
        """Whether another attempt may be sent within this part of the limit. A limit below one, which occurs
        if many directors share a server, is the probability of admitting a single attempt."""
        capacity = self.limit * part
        return self.out < capacity if capacity >= 1.0 else not self.out and self.chance() < capacity

    def widen(self, most: float) -> None:
        """Raises the upper bound, and the limit to it; never lowers either."""
        if most > self.most:
            self.most = self.limit = most

    def divide(self, directors: int, chance: Callable[[], float]) -> None:
        """Divides the lower bound among the directors that use the same cache independently of each other, so
        that all of them together may have as many attempts in flight as a single one always may."""
        self.chance = chance
        self.least = LIMIT_LEAST / directors
        self.limit = max(self.limit, self.least)

    def release(self) -> None:
        """Records the end of an attempt that was counted."""
        self.out = max(self.out - 1, 0)

    def learn(self, now: float, sent_ms: float, late: bool) -> None:
        """Adapts the limit to an answer. Late answers to attempts sent before the last decrease belong to the
        same overload and do not lower the limit again, unless the lateness lasts."""
        self.lateness += LATE_STEP * (late - self.lateness)
        fresh = sent_ms > self.cut_ms or now - self.cut_ms > LIMIT_CUT_MS
        if late and fresh and self.lateness > self.share:
            self.limit = max(min(self.limit, self.out + 1.0) * LIMIT_CUT, self.least)
            self.cut_ms = now
        elif not late and self.out + 1.0 >= self.limit * GROW_NEAR:
            step = self.most / LIMIT_MOST / self.limit  # a high upper bound is regained in as many answers
            self.limit = min(self.limit + min(step, self.limit * GROW_MOST), self.most)
