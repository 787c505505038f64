"""Budgets for retries and hedged requests, backoff, and the rules for repeating requests.

Budgets are numbers of attempts, times are ms of the caller's clock. The module does no I/O.
"""

from __future__ import annotations

from ..deployment import UNKNOWN_KEY_GROUP
from .context import RoutingContext
from .events import Effect
from .request_state import PendingRequest
from .store import Store

RETRY_SHARE, MAX_RETRIES = 0.3, 30.0  # retries earned by each request, and the upper bound of the budget
HEDGE_SHARE, MAX_HEDGES = 0.05, 5.0  # the same for hedged requests
INITIAL_BUDGET_SHARE = 0.5  # initial budget of a router, relative to its upper bound
HEDGE_MIN_LEFT_MS, RETRY_MIN_LEFT_MS = 60.0, 15.0  # minimum time until the deadline for either
HEDGE_DELAY_SHARE = 0.5  # part of the latency objective after which a hedged request is sent
#: Answers of one request that could not be used any more and are replaced by a free attempt, as no server
#: failed.
MAX_REPLACEMENTS = 2
REPLACEMENT_BACKOFF_MS = 50.0  # of a free attempt that no server can get, times the number of such waits
MAX_IMMEDIATE_ERRORS = 2  # immediate errors from different servers that show that the request is at fault
WINDOW_MARGIN_TICKS = 2  # a key's window ends earlier by this many ticks of a store's clock

# Both are parts of a class's deadline: the backoff after a write was rejected by the origin, for each attempt
# made so far, and the time that must be left for another attempt.
WRITE_BACKOFF_SHARE, WRITE_MIN_LEFT_SHARE = 1 / 30, 0.1
MAX_WRITE_ATTEMPTS = 5


class RetryBudgets:
    """The saved budgets for retries and hedged requests; they may be split between two processes."""

    def __init__(self) -> None:
        self.retries = MAX_RETRIES * INITIAL_BUDGET_SHARE
        self.hedges = MAX_HEDGES * INITIAL_BUDGET_SHARE

    def earn(self) -> None:
        """Increases both budgets for a request that arrived."""
        self.retries = min(self.retries + RETRY_SHARE, MAX_RETRIES)
        self.hedges = min(self.hedges + HEDGE_SHARE, MAX_HEDGES)

    def take_retry(self) -> bool:
        """Takes one retry from the budget; returns whether the budget covered it."""
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True

    def take_hedge(self) -> bool:
        """Takes one hedged request from the budget; returns whether the budget covered it."""
        if self.hedges < 1.0:
            return False
        self.hedges -= 1.0
        return True


class RepeatRules:
    """Rules for when and where a further attempt of a request is harmless."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context

    def may_repeat(self, pending: PendingRequest) -> bool:
        """Whether a further attempt is harmless, given the class and the outcomes of earlier attempts."""
        settings, spec = self._context.settings, pending.spec
        if pending.in_flight and not settings.second_copies:
            return False
        if spec.effect is Effect.SAFE or not (pending.may_have_run or pending.in_flight):
            return True
        if spec.effect is Effect.UNSAFE:
            return False
        if pending.may_have_run:
            first_ms = pending.first_ran_ms
        else:
            first_ms = min(attempt.sent_ms for attempt in pending.in_flight.values())
        margin_ms = WINDOW_MARGIN_TICKS * settings.tick_ms
        return self._context.now_ms - first_ms < spec.window_ms - margin_ms

    def is_deduplicated_at(self, pending: PendingRequest, store: Store) -> bool:
        """Whether a repeated request would not run a second time at this store: it never ran, it has no key,
        or the store shares its keys with the one where it may have run."""
        if not pending.may_have_run or pending.spec.effect is not Effect.KEYED or pending.spec.group == "all":
            return True
        ran = self._context.store_list.stores.get(pending.ran_at)
        if ran is None:
            return False
        if pending.spec.group == "zone":
            return store.member.zone == ran.member.zone
        if store.member.cell == UNKNOWN_KEY_GROUP:
            return store.member.store == ran.member.store
        return store.member.cell == ran.member.cell


def may_wait_for_origin(pending: PendingRequest, left_ms: float) -> bool:
    """Whether a write that the origin rejected may be sent again after a backoff."""
    is_early = left_ms > WRITE_MIN_LEFT_SHARE * pending.spec.deadline_ms
    return is_early and pending.attempt_count < MAX_WRITE_ATTEMPTS


def replacement_backoff_ms(pending: PendingRequest) -> float:
    """The backoff before a free attempt that no server could get; it grows with each wait."""
    return REPLACEMENT_BACKOFF_MS * pending.replacement_waits


def write_backoff_ms(pending: PendingRequest) -> float:
    """The backoff before the next attempt of a write; it grows with each attempt."""
    return WRITE_BACKOFF_SHARE * pending.spec.deadline_ms * pending.attempt_count
