"""The state of one server in one router: what was learned from its outcomes, its limits and its ejection.

Times are ms of the caller's clock, limits are numbers of attempts in flight. The module does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from functools import cached_property
from hashlib import blake2b

from .concurrency_limit import MAX_LIMIT, ConcurrencyLimit
from .events import Member
from .server_credit import ObservedStart, Tokens

# Duration of the first ejection, which doubles with each further one up to the maximum.
MIN_EJECTION_MS, MAX_EJECTION_MS = 400.0, 4000.0
INITIAL_LIMIT_PER_WEIGHT = 2.5  # initial limit per transfer that the link carries at the full rate
MIN_DIVIDED_INITIAL_LIMIT = 1.0  # minimum of an initial limit that is divided among directors
MIN_ORDER_WEIGHT = 0.01  # minimum weight in the hash order, so that each server gets some keys


@dataclass(frozen=True, slots=True)
class LimitDivision:
    """The number of directors among which the limit of a cache is divided. `chance` returns a random number
    from [0, 1), which decides about attempts while the limit is below one."""

    directors: int
    chance: Callable[[], float]


UNDIVIDED = LimitDivision(1, lambda: 0.0)
UNOBSERVED_START = ObservedStart()


class Store:
    """One server on the endpoint list, what was learned from its outcomes, and its slow start budget.

    In a large fleet a router sends nothing to most servers, so attributes that only a server in use needs
    are created at their first use."""

    def __init__(
        self, member: Member, is_weighted: bool = False, observed_start: ObservedStart = UNOBSERVED_START
    ) -> None:
        self.member = member
        self.is_weighted = is_weighted
        self.failure_score = 0.0
        self.answered_ms = 0.0  # when it last answered successfully
        self.lateness = 0.0  # moving average of the share of late fills from it
        self.error_rate = 0.0  # moving average of the share of fills from it that ended in an immediate error
        self.filled_ms = 0.0  # when the latest fill from it ended
        self.ejected_until_ms = 0.0
        self.ejection_ms = MIN_EJECTION_MS
        self.trial_until_ms = -1.0
        # if weights are listed, a weight is the number of transfers that the link carries at the full rate
        self.initial_weight = member.weight if is_weighted else 0.0
        self.timely_sent_ms = 0.0  # when the attempt was sent that is the latest to be answered in time
        self.observed_start = observed_start  # how the start of its process became known
        self.listed_ms = observed_start.at_ms  # when that start was listed, or listed again after a removal
        # only used for the origin, whose initial limit depends on those of the parents
        self.is_initial_limit_set = False
        self.rank_thresholds = (0.0, 0.0)  # utilities of its objects from which the rank is 2 and 3
        self.division = UNDIVIDED

    @property
    def max_concurrent_attempts(self) -> float:
        """The upper bound of the limits on concurrent attempts."""
        return max(MAX_LIMIT, self.initial_weight)

    @cached_property
    def concurrency(self) -> ConcurrencyLimit:
        """The limit on all attempts in flight at this server."""
        limit = ConcurrencyLimit(max_limit=self.max_concurrent_attempts)
        if self.initial_weight > 1.0:
            limit.limit = min(limit.max_limit, INITIAL_LIMIT_PER_WEIGHT * self.initial_weight)
        if self.division.directors > 1:
            share = INITIAL_LIMIT_PER_WEIGHT * self.initial_weight / self.division.directors
            limit.limit = min(limit.max_limit, max(share, MIN_DIVIDED_INITIAL_LIMIT))
            limit.divide(self.division.directors, self.division.chance)
        return limit

    @cached_property
    def fills(self) -> ConcurrencyLimit:
        """The limit on attempts in flight that are filled from another server."""
        return ConcurrencyLimit(max_limit=self.max_concurrent_attempts)

    @cached_property
    def tokens(self) -> Tokens:
        """The slow start budget of the server."""
        tokens = Tokens()
        tokens.reset(self.listed_ms, self.observed_start)
        return tokens

    @cached_property
    def sent_objects(self) -> OrderedDict[int, None]:
        """The objects most recently requested from it, the latest last."""
        return OrderedDict()

    @cached_property
    def salt(self) -> int:
        """The hash of its name, which determines its place in the hash order."""
        return int.from_bytes(blake2b(self.member.store.encode(), digest_size=8).digest(), "big")

    @property
    def is_limit_in_use(self) -> bool:
        """Whether `concurrency` was read or set before, and thus exists."""
        return "concurrency" in vars(self)

    @property
    def order_weight(self) -> float:
        """Its weight in the hash order."""
        return max(self.member.weight, MIN_ORDER_WEIGHT) if self.is_weighted else 1.0

    def divide_limit(self, division: LimitDivision) -> None:
        """Divides the concurrency limit among directors. A limit that is in use keeps its learned value; only
        its lower bound changes."""
        self.division = division
        if self.is_limit_in_use:
            self.concurrency.divide(division.directors, division.chance)

    def record_restart(self, observed_start: ObservedStart) -> None:
        """Resets failures and the slow start budget, because a new process was listed under this name."""
        self.reset_failures()
        self.observed_start = observed_start
        self.listed_ms = observed_start.at_ms
        if "tokens" in vars(self):  # if not, they are created with this start
            self.tokens.reset(observed_start.at_ms, observed_start)

    def is_ejected(self, now: float) -> bool:
        """Whether the server is ejected. After the ejection, one trial at a time is admitted until one
        succeeds."""
        return now < self.ejected_until_ms or (
            self.ejection_ms > MIN_EJECTION_MS and self.trial_until_ms > now
        )

    def eject(self, now: float) -> None:
        """Ejects the server, for twice as long as the last time."""
        self.failure_score = 0.0
        self.ejected_until_ms = now + self.ejection_ms
        self.ejection_ms = min(self.ejection_ms * 2, MAX_EJECTION_MS)
        self.trial_until_ms = -1.0

    def reset_failures(self) -> None:
        """Ends the ejection and resets the failures."""
        self.failure_score = 0.0
        self.ejected_until_ms = 0.0
        self.ejection_ms = MIN_EJECTION_MS
        self.trial_until_ms = -1.0
