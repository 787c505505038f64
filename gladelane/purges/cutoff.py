"""A director that hears of no feed cannot know what it misses. What it still serves, and from how old a copy.
Pure.

The promise: `delay_ms` after a purge was taken, no answer comes from a copy older than it. While some feed
was heard of within the delay, all that it took before is known here. Beyond that a strict class accepts only
copies younger than the delay: a copy that is younger was made after any purge that is older than the delay,
known or not. Such requests go to the origin more often, so only `per_s` of them do; beyond that they are
refused. Other classes go on, and the log says so. Coming back is gradual: the limit on strict requests
doubles every second until it no longer binds.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

LIFT_MS = 10_000.0  # after coming back, in which the limit goes away
BURST_S = 0.5


class Link(Enum):
    FOLLOWS = auto()
    CUT_OFF = auto()
    RETURNING = auto()


class CutOff:
    """heard_ms of `update`: when a feed last said that all it has was told; 0: none ever did."""

    def __init__(
        self, delay_ms: float, strict: frozenset[str], per_s: float, now_ms: float,
        told: Callable[..., None] = lambda *_: None,
    ) -> None:
        self.delay_ms, self.strict, self.per_s = delay_ms, strict, per_s
        self.link = Link.CUT_OFF  # until a feed was heard of
        self.refused = 0
        self._told = told
        self._back_ms = 0.0
        self._tokens, self._at_ms = per_s * BURST_S, now_ms
        self._ever = False

    def update(self, heard_ms: float, now_ms: float) -> None:
        """Called whenever a feed was heard of, and every so often."""
        fresh = heard_ms > 0.0 and now_ms - heard_ms <= self.delay_ms
        if not fresh and self.link is not Link.CUT_OFF:
            self.link = Link.CUT_OFF
            self._tokens, self._at_ms = self.per_s * BURST_S, now_ms
            strict = ",".join(sorted(self.strict))
            self._told("cut off from all feeds for_ms=%.0f strict=%s", now_ms - heard_ms, strict)
        elif fresh and self.link is Link.CUT_OFF:
            # the first feed of a start is no return: nothing was held back before it
            self.link = Link.RETURNING if self._ever else Link.FOLLOWS
            self._ever = True
            self._back_ms = now_ms
            self._told("feeds are back refused=%d", self.refused)
            self.refused = 0
        elif self.link is Link.RETURNING and now_ms - self._back_ms > LIFT_MS:
            self.link = Link.FOLLOWS

    def oldest_ms(self, cls: str) -> float:
        """The oldest copy that a request of a class may be answered from, 0: no bound from here."""
        return self.delay_ms if self.link is Link.CUT_OFF and cls in self.strict else 0.0

    def admits(self, cls: str, now_ms: float) -> bool:
        """Whether one more request of a class may go on; a strict one takes of the limit."""
        if self.link is Link.FOLLOWS or cls not in self.strict:
            return True
        lifted = 2.0 ** ((now_ms - self._back_ms) / 1000.0) if self.link is Link.RETURNING else 1.0
        rate = self.per_s * lifted
        gained = max(now_ms - self._at_ms, 0.0) / 1000.0 * rate
        self._tokens, self._at_ms = min(self._tokens + gained, max(rate * BURST_S, 1.0)), now_ms
        if self._tokens < 1.0:
            self.refused += 1
            return False
        self._tokens -= 1.0
        return True
