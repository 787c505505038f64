"""What a director may still serve while it receives nothing from any purge log server. Pure.

The promise: `delay_ms` after a purge was accepted, no response comes from a copy older than it. While some
server was heard of within the delay, everything that it accepted before is known here. After that a strict
class accepts only copies younger than the delay: such a copy was made after any purge that is older than the
delay, known or not. Other classes are served as before, and the log says so. What strict classes fetch from
the origin meanwhile, and after the return, shares one budget with everything else that makes copies void:
`refetch_budget.py`.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

RETURN_PERIOD_MS = 10_000.0  # after the return of a server, for which the state is RETURNING


class ChangeLog(Protocol):
    """Receives changes of state as a logger does: a format and its arguments."""

    def __call__(self, message: str, /, *args: object) -> None:
        """Logs one change."""


class Link(Enum):
    """The state of the link to the purge log servers."""

    FOLLOWS = auto()
    CUT_OFF = auto()
    RETURNING = auto()


class CutOff:
    """Decides whether a director is cut off from all servers.

    Attributes: delay_ms; strict, the classes that are bound while cut off; link, the current state."""

    def __init__(
        self, delay_ms: float, strict: frozenset[str], log_change: ChangeLog = lambda *_: None
    ) -> None:
        """Starts cut off, until a server was heard of."""
        self.delay_ms, self.strict = delay_ms, strict
        self.link = Link.CUT_OFF
        self._log_change = log_change
        self._returned_ms = 0.0
        self._was_connected = False

    def update(self, heard_ms: float, now_ms: float) -> None:
        """Updates the state; called regularly. `heard_ms`: when a server last said that it had sent all that
        it knows, in Unix ms, 0.0 if none ever did."""
        is_fresh = heard_ms > 0.0 and now_ms - heard_ms <= self.delay_ms
        if not is_fresh and self.link is not Link.CUT_OFF:
            self.link = Link.CUT_OFF
            strict = ",".join(sorted(self.strict))
            self._log_change("cut off from all feeds for_ms=%.0f strict=%s", now_ms - heard_ms, strict)
        elif is_fresh and self.link is Link.CUT_OFF:
            # the first server after a start is no return: nothing was withheld before it
            self.link = Link.RETURNING if self._was_connected else Link.FOLLOWS
            self._was_connected = True
            self._returned_ms = now_ms
            self._log_change("feeds are back")
        elif self.link is Link.RETURNING and now_ms - self._returned_ms > RETURN_PERIOD_MS:
            self.link = Link.FOLLOWS

    def max_copy_age_ms(self, cls: str) -> float:
        """Returns the age above which no copy may be used for a class; 0.0 if this sets no limit."""
        return self.delay_ms if self.link is Link.CUT_OFF and cls in self.strict else 0.0
