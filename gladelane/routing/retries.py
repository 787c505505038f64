"""Budgets of retries and hedged requests, backoff, and which requests may be repeated. Pure.

Budgets are in attempts; times are ms of the caller's clock.
"""

from __future__ import annotations

from .context import RoutingContext
from .events import Effect
from .request_state import PendingRequest
from .store import Store

RETRY_SHARE, MAX_RETRIES = 0.3, 30.0  # retries earned by each request, and how many can be saved up
HEDGE_SHARE, MAX_HEDGES = 0.05, 5.0  # hedged requests, likewise
START_SHARE = 0.5  # of the most that can be saved up: what a router begins with
HEDGE_MIN_LEFT_MS, RETRY_MIN_LEFT_MS = 60.0, 15.0  # least time until the deadline for either
HEDGE_AT = 0.5  # part of the latency objective after which a hedged request is sent
MAX_IMMEDIATE_ERRORS = 2  # errors at once, from different servers, that show that the request is at fault
WINDOW_MARGIN_TICKS = 2  # the window of a key ends earlier by so many ticks of a store's clock

# Parts of the deadline: each wait for an origin that rejects writes, times the attempts made so far; and what
# must be left of it for another one.
WRITE_BACKOFF_SHARE, WRITE_MIN_LEFT_SHARE = 1 / 30, 0.1
MAX_WRITE_ATTEMPTS = 5


class RetryBudgets:
    """Retries and hedged requests saved up; may be split between two processes."""

    def __init__(self) -> None:
        self.retries = MAX_RETRIES * START_SHARE
        self.hedges = MAX_HEDGES * START_SHARE

    def earn(self) -> None:
        """A request arrived."""
        self.retries = min(self.retries + RETRY_SHARE, MAX_RETRIES)
        self.hedges = min(self.hedges + HEDGE_SHARE, MAX_HEDGES)

    def take_retry(self) -> bool:
        """Whether the budget has covered one more retry."""
        if self.retries < 1.0:
            return False
        self.retries -= 1.0
        return True

    def take_hedge(self) -> bool:
        """Whether the budget has covered one more hedged request."""
        if self.hedges < 1.0:
            return False
        self.hedges -= 1.0
        return True


class RepeatRules:
    """Where a further attempt of a request can do no harm."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context

    def may_repeat(self, pending: PendingRequest) -> bool:
        """Whether a further attempt is harmless, by class and by what earlier attempts proved."""
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
        """Whether a repeat at this store does not run twice: the request never ran, it has no key, or the
        store shares its keys with the one where it may have run."""
        if not pending.may_have_run or pending.spec.effect is not Effect.KEYED or pending.spec.group == "all":
            return True
        ran = self._context.store_list.stores.get(pending.ran_at)
        if ran is None:
            return False
        if pending.spec.group == "zone":
            return store.member.zone == ran.member.zone
        return store.member.cell == ran.member.cell


def may_wait_for_origin(pending: PendingRequest, left_ms: float) -> bool:
    """Whether a write that the origin rejected is sent again after a backoff."""
    is_early = left_ms > WRITE_MIN_LEFT_SHARE * pending.spec.deadline_ms
    return is_early and pending.attempt_count < MAX_WRITE_ATTEMPTS


def write_backoff_ms(pending: PendingRequest) -> float:
    """The wait before a write's next attempt; it grows with each."""
    return WRITE_BACKOFF_SHARE * pending.spec.deadline_ms * pending.attempt_count
