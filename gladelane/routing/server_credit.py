"""What one director knows of one server that warms up: how its start became known, and the credit left. Pure.

Times are ms of the caller's clock, credit is work in ms of sending time.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from .events import Member

SLOTS = 8  # parts of a window by which stakes are remembered: the limit holds for a window and one part more
NOT_YET = -math.inf  # a moment before any of a clock, wherever that clock begins


@dataclass(frozen=True, slots=True)
class HeardStart:
    """How this director heard of a server's present process: when, on its own clock, and whether by a change
    of the list, which tells what has just started, or by a whole list, which tells old starts too."""

    at_ms: float = NOT_YET
    by_change: bool = False


class ListedServer(Protocol):
    """A server as the list has it."""

    member: Member
    heard: HeardStart


class Tokens:
    """The bucket of one cold server at this director, work in ms. `left`: credit, below 0 a debt; `at_ms`:
    until when it is counted; `recent`: staked and spent within the last window; `won`: the cost of a request
    that won its draw in this moment and is not sent yet, `staked`: what it takes; `heard`: of its start."""

    __slots__ = ("left", "at_ms", "recent", "won", "staked", "heard", "_slots")

    def __init__(self) -> None:
        self.renew(NOT_YET)

    def renew(self, now: float, heard: HeardStart | None = None) -> None:
        """A new process was told of, by a whole list unless `heard` says more: nothing is saved up, credit
        comes from now on."""
        self.heard = heard or HeardStart(now)
        self.left, self.at_ms, self.recent = 0.0, now, 0.0
        self.won = self.staked = 0.0
        self._slots: deque[tuple[int, float]] = (
            deque()
        )  # number of a part of a window, and what was taken in it

    def take(self, work: float, slot: int) -> None:
        """Staked and lost, or spent."""
        self.left -= work
        self.recent += work
        if self._slots and self._slots[-1][0] == slot:
            work += self._slots.pop()[1]
        self._slots.append((slot, work))

    def forget(self, slot: int) -> None:
        """What was taken more than a window before this part of one."""
        while self._slots and self._slots[0][0] < slot - SLOTS:
            self.recent -= self._slots.popleft()[1]
        if not self._slots:
            self.recent = 0.0  # without what rounding has left
