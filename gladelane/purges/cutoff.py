"""Decides what a director may serve while it receives nothing from any purge log server.

It does no I/O and reads no clock. It guarantees that from `delay_ms` after a purge was accepted, no response
is forwarded from a copy older than the purge, however long ago its request was sent. If a server has sent its
position within the delay, the director has all purges that the server had accepted before. Otherwise the
director is cut off, and a strict class accepts only copies younger than the delay: such a copy was made after
any purge that is older than the delay, known or not. Other classes are served as before, which is logged.
Fetches of strict classes from the origin, while cut off and after that, share one budget with those for all
other causes that invalidate copies (`refetch_budget`).
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

RETURN_PERIOD_MS = 10_000.0  # how long the state is RETURNING after a server is reachable again


class ChangeLog(Protocol):
    """Logs changes of state like a logger's method: with a format and its arguments."""

    def __call__(self, message: str, /, *args: object) -> None:
        """Logs one change."""


class Link(Enum):
    """The state of the link to the purge log servers."""

    FOLLOWS = auto()
    CUT_OFF = auto()
    RETURNING = auto()


class CutOff:
    """Decides whether a director is cut off from all servers.

    Attributes: delay_ms; strict, the classes that are limited while cut off; link, the current state."""

    def __init__(
        self, delay_ms: float, strict: frozenset[str], log_change: ChangeLog = lambda *_: None
    ) -> None:
        """Starts in the state CUT_OFF, until the first server has sent its position."""
        self.delay_ms, self.strict = delay_ms, strict
        self.link = Link.CUT_OFF
        self._log_change = log_change
        self._reconnected_ms = 0.0
        self._was_connected = False

    def update(self, caught_up_ms: float, now_ms: float) -> None:
        """Updates the state; must be called regularly. `caught_up_ms`: when this director last had all
        purges of some server, in Unix ms, 0.0 if never."""
        is_fresh = self.is_fresh(caught_up_ms, now_ms)
        if not is_fresh and self.link is not Link.CUT_OFF:
            self.link = Link.CUT_OFF
            strict = ",".join(sorted(self.strict))
            self._log_change("cut off from all feeds for_ms=%.0f strict=%s", now_ms - caught_up_ms, strict)
        elif is_fresh and self.link is Link.CUT_OFF:
            # the first connection after a start is not a return, as nothing was rejected before it
            self.link = Link.RETURNING if self._was_connected else Link.FOLLOWS
            self._was_connected = True
            self._reconnected_ms = now_ms
            self._log_change("connected to feeds")
        elif self.link is Link.RETURNING and now_ms - self._reconnected_ms > RETURN_PERIOD_MS:
            self.link = Link.FOLLOWS

    def is_fresh(self, caught_up_ms: float, now_ms: float) -> bool:
        """Returns whether all purges of some server were known recently enough."""
        return caught_up_ms > 0.0 and now_ms - caught_up_ms <= self.delay_ms

    def max_copy_age_ms(self, cls: str) -> float:
        """Returns the age above which no copy may be used for a class; 0.0 if being cut off sets no limit."""
        return self.delay_ms if self.link is Link.CUT_OFF and cls in self.strict else 0.0
