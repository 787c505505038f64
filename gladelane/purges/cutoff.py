"""A director that hears of no feed cannot know what it misses. What it still serves, and from how old a copy.
Pure.

The promise: `delay_ms` after a purge was taken, no answer comes from a copy older than it. While some feed
was heard of within the delay, all that it took before is known here. Beyond that a strict class accepts only
copies younger than the delay: a copy that is younger was made after any purge that is older than the delay,
known or not. Other classes go on, and the log says so. What the strict ones ask of the origin then, and after
the return, has one budget with all that makes copies void: `routes/renewal.py`.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto

LIFT_MS = 10_000.0  # after coming back, for which it counts as returning


class Link(Enum):
    FOLLOWS = auto()
    CUT_OFF = auto()
    RETURNING = auto()


class CutOff:
    """heard_ms of `update`: when a feed last said that all it has was told; 0: none ever did."""

    def __init__(
        self,
        delay_ms: float,
        strict: frozenset[str],
        told: Callable[..., None] = lambda *_: None,
    ) -> None:
        self.delay_ms, self.strict = delay_ms, strict
        self.link = Link.CUT_OFF  # until a feed was heard of
        self._told = told
        self._back_ms = 0.0
        self._ever = False

    def update(self, heard_ms: float, now_ms: float) -> None:
        """Called whenever a feed was heard of, and every so often."""
        fresh = heard_ms > 0.0 and now_ms - heard_ms <= self.delay_ms
        if not fresh and self.link is not Link.CUT_OFF:
            self.link = Link.CUT_OFF
            strict = ",".join(sorted(self.strict))
            self._told("cut off from all feeds for_ms=%.0f strict=%s", now_ms - heard_ms, strict)
        elif fresh and self.link is Link.CUT_OFF:
            # the first feed of a start is no return: nothing was held back before it
            self.link = Link.RETURNING if self._ever else Link.FOLLOWS
            self._ever = True
            self._back_ms = now_ms
            self._told("feeds are back")
        elif self.link is Link.RETURNING and now_ms - self._back_ms > LIFT_MS:
            self.link = Link.FOLLOWS

    def oldest_ms(self, cls: str) -> float:
        """The oldest copy that a request of a class may be answered from, 0: no bound from here."""
        return self.delay_ms if self.link is Link.CUT_OFF and cls in self.strict else 0.0
