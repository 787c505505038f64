"""A limit on concurrent attempts that adapts by additive increase and multiplicative decrease (AIMD). Pure.

One limit each for a cache, the fills at a cache, a source, and all fills of a location. Limits and counts are
attempts, times are ms of the caller's clock; shares and steps carry no unit.
"""

from __future__ import annotations

from collections.abc import Callable

LIMIT_LEAST, LIMIT_MOST = 2.0, 64.0  # attempts out at one cache, least and most; by weight it may be more
GROW_NEAR = 0.7  # part of the limit that must be in use for a timely answer to raise it
GROW_MOST = 0.25  # most by which one timely answer raises it, as a part of it
LATE_STEP, LATE_SHARE = 0.1, 0.15  # aged share of late answers that tells of a crowd: one does not
LIMIT_CUT, LIMIT_CUT_MS = 0.8, 500.0  # what a late answer leaves of the limit, once a crowd or in so long


class ConcurrencyLimit:
    """Attempts out at once: cut by a fifth on late answers, raised a little by timely ones.

    `chance` draws from [0, 1) for limits below one."""

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
        """Whether one more attempt may be sent, within a part of the limit. A limit below one, where many
        directors share what is behind it, is the probability to admit one."""
        capacity = self.limit * part
        return self.out < capacity if capacity >= 1.0 else not self.out and self.chance() < capacity

    def widen(self, most: float) -> None:
        """Raises the greatest limit, and the limit to it; never lowers either."""
        if most > self.most:
            self.most = self.limit = most

    def divide(self, directors: int, chance: Callable[[], float]) -> None:
        """So many directors ask the same cache and know nothing of each other: each one's limit may become so
        low that all of them together may have out what one alone always may."""
        self.chance = chance
        self.least = LIMIT_LEAST / directors
        self.limit = max(self.limit, self.least)

    def release(self) -> None:
        """An attempt that was counted ended."""
        self.out = max(self.out - 1, 0)

    def learn(self, now: float, sent_ms: float, late: bool) -> None:
        """What was sent before the last cut tells of the same crowd, unless that stays late for long."""
        self.lateness += LATE_STEP * (late - self.lateness)
        fresh = sent_ms > self.cut_ms or now - self.cut_ms > LIMIT_CUT_MS
        if late and fresh and self.lateness > self.share:
            self.limit = max(min(self.limit, self.out + 1.0) * LIMIT_CUT, self.least)
            self.cut_ms = now
        elif not late and self.out + 1.0 >= self.limit * GROW_NEAR:
            step = self.most / LIMIT_MOST / self.limit  # a wide limit comes back in as many answers
            self.limit = min(self.limit + min(step, self.limit * GROW_MOST), self.most)
