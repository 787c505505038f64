"""The state of one warming server at one director: how its start became known, and its credit. Pure.

Times are ms by the caller's clock; credit is work, measured as sending time in ms.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from .events import Member

SLOTS = 8  # slots of a window in which spending is recorded; the limit applies to a window plus one slot
NOT_YET = -math.inf  # earlier than any reading of a clock


@dataclass(frozen=True, slots=True)
class HeardStart:
    """How this director learned of the start of a server's current process: when, by its own clock, and
    whether by a list change, which reports recent starts, or by a complete list, which also contains old
    ones."""

    at_ms: float = NOT_YET
    by_change: bool = False


class ListedServer(Protocol):
    """A server on the endpoint list."""

    member: Member
    heard: HeardStart


class Tokens:
    """The token bucket of one cold server at this director; amounts are work in ms.

    `left`: credit, negative for a debt; `at_ms`: the time up to which credit was added; `recent`: credit
    staked or spent within the last window; `won`: the cost of a request that was admitted at random at this
    moment and is not sent yet; `staked`: the credit that this request takes; `heard`: how the start became
    known."""

    __slots__ = ("left", "at_ms", "recent", "won", "staked", "heard", "_slots")

    def __init__(self) -> None:
        self.renew(NOT_YET)

    def renew(self, now: float, heard: HeardStart | None = None) -> None:
        """Resets the bucket for a new process of the server: it has no credit, and earns it from now on.
        Without `heard`, its start became known now by a complete list."""
        self.heard = heard or HeardStart(now)
        self.left, self.at_ms, self.recent = 0.0, now, 0.0
        self.won = self.staked = 0.0
        self._slots: deque[tuple[int, float]] = deque()  # slot number, and the credit taken in it

    def take(self, work: float, slot: int) -> None:
        """Deducts credit that was staked and lost, or spent."""
        self.left -= work
        self.recent += work
        if self._slots and self._slots[-1][0] == slot:
            work += self._slots.pop()[1]
        self._slots.append((slot, work))

    def forget(self, slot: int) -> None:
        """Removes the credit taken more than a window before this slot from `recent`."""
        while self._slots and self._slots[0][0] < slot - SLOTS:
            self.recent -= self._slots.popleft()[1]
        if not self._slots:
            self.recent = 0.0  # removes rounding errors
