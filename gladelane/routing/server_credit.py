"""The slow start state of one server at one director: how its start became known, and its credit.

Times are ms of the caller's clock. Credit is work, measured as sending time in ms. The module does no I/O.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from typing import Protocol

from .events import Member

SLOTS = 8  # slots of a window by which spending is recorded; the limit applies to a window plus one slot
NEVER_MS = -math.inf  # earlier than any reading of a clock


@dataclass(frozen=True, slots=True)
class ObservedStart:
    """How this director learned of the start of a server's current process: when, by its own clock, and
    whether by a list change, which reports recent starts, or by a complete list, which also contains old
    ones."""

    at_ms: float = NEVER_MS
    by_change: bool = False


class ListedServer(Protocol):
    """A server on the endpoint list."""

    member: Member
    observed_start: ObservedStart


class Tokens:
    """The token bucket of one cold server at this director; amounts are work in ms.

    `credit`: the available credit, negative for a debt; `at_ms`: the time up to which credit was added;
    `recently_taken`: credit staked or spent within the last window; `admitted_cost`: the cost of a request
    that was admitted at random at this moment and is not sent yet; `stake`: the credit that this request
    takes; `observed_start`: how the start of the server became known."""

    __slots__ = ("credit", "at_ms", "recently_taken", "admitted_cost", "stake", "observed_start", "_slots")

    def __init__(self) -> None:
        self.reset(NEVER_MS)

    def reset(self, now: float, observed_start: ObservedStart | None = None) -> None:
        """Resets the bucket for a new process of the server: it has no credit, and earns it from now on.
        Without `observed_start`, its start became known now by a complete list."""
        self.observed_start = observed_start or ObservedStart(now)
        self.credit, self.at_ms, self.recently_taken = 0.0, now, 0.0
        self.admitted_cost = self.stake = 0.0
        self._slots: deque[tuple[int, float]] = deque()  # slot number, and the credit taken in it

    def take(self, work: float, slot: int) -> None:
        """Deducts credit that was staked and lost, or spent."""
        self.credit -= work
        self.recently_taken += work
        if self._slots and self._slots[-1][0] == slot:
            work += self._slots.pop()[1]
        self._slots.append((slot, work))

    def drop_expired_usage(self, slot: int) -> None:
        """Subtracts from `recently_taken` what was taken more than a window before this slot."""
        while self._slots and self._slots[0][0] < slot - SLOTS:
            self.recently_taken -= self._slots.popleft()[1]
        if not self._slots:
            self.recently_taken = 0.0  # removes rounding errors
