"""One server as one router uses it: what its outcomes showed, its limits, its ejection. Pure.

Times are ms of the caller's clock, limits are attempts in flight.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

from .concurrency_limit import LIMIT_MOST, ConcurrencyLimit
from .events import Member
from .server_credit import HeardStart, Tokens

DOWN_MS, DOWN_MOST_MS = 400.0, 4000.0  # first rest of a tripped store, doubling up to the most
START_BY_LINK = 2.5  # a store's limit at first, in answers that its link carries at full pace
DIVIDED_START_LEAST = 1.0  # where a limit that is divided among directors starts at least, in attempts
LEAST_WEIGHT = 0.01  # in the hash order: one whose weight is told as less still has a part


@dataclass(frozen=True, slots=True)
class LimitDivision:
    """Among how many directors the limit of a cache is divided; `chance` draws from [0, 1) for limits below
    one."""

    directors: int
    chance: Callable[[], float]


UNDIVIDED = LimitDivision(1, lambda: 0.0)
UNHEARD = HeardStart()


class Store:
    """One member of the list, what its outcomes told, and its cold budget.

    In a large fleet nearly all members are never sent to from here, so what only a member in use needs is
    made when it is first used."""

    def __init__(self, member: Member, weighted: bool = False, heard: HeardStart = UNHEARD) -> None:
        self.member = member
        self.weighted = weighted
        self.fails = 0.0
        self.answered_ms = 0.0  # when it last answered well
        self.lateness = 0.0  # aged share of late fills from here
        self.error_rate = 0.0  # aged share of fills from here that ended in an error at once
        self.filled_ms = 0.0  # when the latest fill from here ended
        self.down_until = 0.0
        self.rest_ms = DOWN_MS
        self.trial_at = -1.0
        # the weight, where told, is the answers the link carries at full pace
        self.first_weight = member.weight if weighted else 0.0
        self.timely_ms = 0.0  # when the latest attempt that was answered in time was sent
        self.heard = heard  # of the start of its present process
        self.renewed_ms = heard.at_ms  # when that was listed, or listed once more after it had left the list
        self.opened = False  # the origin, once parents tell how wide it may start
        self.cuts = (0.0, 0.0)
        self.division = UNDIVIDED

    @property
    def most_attempts(self) -> float:
        """The greatest limit on concurrent attempts."""
        return max(LIMIT_MOST, self.first_weight)

    @cached_property
    def concurrency(self) -> ConcurrencyLimit:
        """The limit on all attempts in flight here."""
        limit = ConcurrencyLimit(most=self.most_attempts)
        if self.first_weight > 1.0:
            limit.limit = min(limit.most, START_BY_LINK * self.first_weight)
        if self.division.directors > 1:
            part = START_BY_LINK * self.first_weight / self.division.directors
            limit.limit = min(limit.most, max(part, DIVIDED_START_LEAST))
            limit.divide(self.division.directors, self.division.chance)
        return limit

    @cached_property
    def fills(self) -> ConcurrencyLimit:
        """The limit on attempts in flight that are filled from another server."""
        return ConcurrencyLimit(most=self.most_attempts)

    @cached_property
    def tokens(self) -> Tokens:
        """Its budget while it warms up."""
        tokens = Tokens()
        tokens.renew(self.renewed_ms, self.heard)
        return tokens

    @cached_property
    def sent(self) -> OrderedDict[int, None]:
        """The objects that it was asked for last."""
        return OrderedDict()

    @cached_property
    def salt(self) -> int:
        """For the hash order."""
        return int.from_bytes(blake2b(self.member.store.encode(), digest_size=8).digest(), "big")

    @property
    def is_limit_in_use(self) -> bool:
        """Whether `concurrency` was read or set before: it is made then."""
        return "concurrency" in vars(self)

    @property
    def order_weight(self) -> float:
        """For the hash order."""
        return max(self.member.weight, LEAST_WEIGHT) if self.weighted else 1.0

    def divide_limit(self, division: LimitDivision) -> None:
        """A limit that is in use keeps what it learned; only how low it may become changes."""
        self.division = division
        if self.is_limit_in_use:
            self.concurrency.divide(division.directors, division.chance)

    def renew(self, heard: HeardStart) -> None:
        """A new process was listed under this name: what the old one did is void."""
        self.close()
        self.heard = heard
        self.renewed_ms = heard.at_ms
        if "tokens" in vars(self):  # else they start with this moment
            self.tokens.renew(heard.at_ms, heard)

    def resting(self, now: float) -> bool:
        """Down by its outcomes; once rested, one trial at a time is let through."""
        return now < self.down_until or (self.rest_ms > DOWN_MS and self.trial_at > now)

    def trip(self, now: float) -> None:
        """Ejects it, for twice as long as the last time."""
        self.fails = 0.0
        self.down_until = now + self.rest_ms
        self.rest_ms = min(self.rest_ms * 2, DOWN_MOST_MS)
        self.trial_at = -1.0

    def close(self) -> None:
        """Ends its ejection, and forgets failures."""
        self.fails = 0.0
        self.down_until = 0.0
        self.rest_ms = DOWN_MS
        self.trial_at = -1.0
