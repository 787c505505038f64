"""Sends attempts: the first one of a request, retries and hedged requests.

The module does no I/O. Times are ms of the caller's clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from .cache_admission import CacheAdmission
from .context import HEDGE_TIMER, RETRY_TIMER, RoutingContext
from .events import Effect, Fetch, Lookup, Outcome, SetTimer, State, Status
from .freshness import Freshness
from .load_shedding import LoadShedding
from .request_state import Attempt, PendingRequest
from .retries import (
    HEDGE_DELAY_SHARE,
    HEDGE_MIN_LEFT_MS,
    MAX_IMMEDIATE_ERRORS,
    MAX_REPLACEMENTS,
    RETRY_MIN_LEFT_MS,
    RepeatRules,
    RetryBudgets,
    may_wait_for_origin,
    replacement_backoff_ms,
    write_backoff_ms,
)
from .selection import FillLimits, Route, Selection
from .store import MIN_EJECTION_MS, Store

#: Minimum part of the remaining time that the first attempt of a repeatable write gets.
FIRST_WRITE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class SendingParts:
    """The parts of the router that decide about an attempt."""

    admission: CacheAdmission
    freshness: Freshness
    shedding: LoadShedding
    selection: Selection
    fill_limits: FillLimits
    budgets: RetryBudgets
    rules: RepeatRules


class Attempts:
    """Makes an attempt of a request, or gives the request up."""

    def __init__(self, context: RoutingContext, parts: SendingParts) -> None:
        self._context = context
        self._admission = parts.admission
        self._freshness = parts.freshness
        self._shedding = parts.shedding
        self._selection = parts.selection
        self._fill_limits = parts.fill_limits
        self._budgets = parts.budgets
        self.rules = parts.rules

    def advance(self, pending: PendingRequest, after: Outcome | None = None) -> None:
        """Makes the first attempt, or the next one after an outcome or a backoff. Gives the request up if no
        attempt is possible."""
        left_ms = pending.request.deadline_ms - self._context.now_ms
        if not self._may_advance(pending, left_ms) or not self._pay_for_attempt(pending, after):
            self._shedding.give_up(pending)
            return
        if pending.spec.cacheable:
            is_sent = self._send_read(pending, left_ms)
        else:
            is_sent = self._send_write(pending, left_ms, after)
        if not is_sent and not self._wait_with_free_attempt(pending, left_ms):
            self._shedding.give_up(pending)

    def hedge(self, pending: PendingRequest) -> None:
        """Makes a second attempt at another store if the first one is likely to miss the latency
        objective."""
        if len(pending.in_flight) != 1 or pending.attempt_count >= pending.max_attempts:
            return
        if not self._budgets.take_hedge():
            return
        left_ms = pending.request.deadline_ms - self._context.now_ms
        if self.rules.may_repeat(pending) and left_ms > HEDGE_MIN_LEFT_MS:
            self._send_read(pending, left_ms)

    def record_superseded(self, pending: PendingRequest, store: str) -> None:
        """Makes the next attempt free after an answer that could not be used any more, up to a limit."""
        if pending.replacements < MAX_REPLACEMENTS:
            pending.replace_answer(store)

    def _may_advance(self, pending: PendingRequest, left_ms: float) -> bool:
        if pending.attempt_count >= pending.max_attempts or pending.immediate_errors >= MAX_IMMEDIATE_ERRORS:
            return False
        return left_ms > RETRY_MIN_LEFT_MS and self.rules.may_repeat(pending)

    def _pay_for_attempt(self, pending: PendingRequest, after: Outcome | None) -> bool:
        """Whether the retry budget covers an attempt. A retry at a store that only reported that it has no
        copy, or whose answer could not be used any more, is free, and the same store may be chosen again."""
        if after is not None and after.status is Status.MISS and pending.tried_stores:
            pending.tried_stores.pop()
            pending.has_free_attempt = pending.replacements > 0
            return True
        if not pending.attempt_count or pending.has_free_attempt:
            return True
        return self._budgets.take_retry()

    def _wait_with_free_attempt(self, pending: PendingRequest, left_ms: float) -> bool:
        """Tries a free attempt that no server could get again after a backoff, if there is time for that. An
        answer that could not be used any more is no reason to reject its request."""
        if not pending.has_free_attempt:
            return False
        pending.replacement_waits += 1
        wait_ms = replacement_backoff_ms(pending)
        if left_ms - wait_ms <= RETRY_MIN_LEFT_MS:
            return False
        self._context.emit(SetTimer(f"{RETRY_TIMER}:{pending.request.id}", self._context.now_ms + wait_ms))
        return True

    def _send_read(self, pending: PendingRequest, left_ms: float) -> bool:
        route = self._selection.select_route(pending)
        if route is None:
            return False
        request, spec = pending.request, pending.spec
        age_ms, is_purged = self._freshness.age_bound(request, spec.fresh_ms)
        store, source = route.store.member.store, route.source.member.store
        if route.bypasses_caches:
            self._fetch(pending, route, Fetch(request.id, store, left_ms, source, 0, age_ms))
            return True
        rank = self._admission.rank(request.object, route.store)
        self._admission.record_sent(request.object, route.store)
        fetch = Fetch(
            request.id,
            store,
            left_ms,
            source,
            rank,
            age_ms,
            join=not is_purged and self._context.settings.joins,
            source_holds_only=route.copies_only,
            renew=rank > 0 and spec.fresh_ms > 0 and not is_purged,
        )
        self._fetch(pending, route, fetch)
        return True

    def _send_write(self, pending: PendingRequest, left_ms: float, after: Outcome | None) -> bool:
        """Sends a request that cannot be cached: to the origin directly if that is allowed, otherwise through
        a cache."""
        context, request = self._context, pending.request
        origin = context.store_list.origin
        if origin is None or origin.member.state is not State.READY:
            return False
        is_rejected = after is not None and after.status is Status.FULL
        if is_rejected and may_wait_for_origin(pending, left_ms):
            due_ms = context.now_ms + write_backoff_ms(pending)
            context.emit(SetTimer(f"{RETRY_TIMER}:{request.id}", due_ms))
            return True
        timeout_ms = _write_timeout_ms(pending, left_ms)
        if context.settings.straight:
            if not self.rules.is_deduplicated_at(pending, origin):
                return False
            context.emit(Lookup(request.id, origin.member.store, timeout_ms))
            self._record_attempt(pending, Route(origin, origin))
            return True
        cache = self._selection.select_cache(pending)
        if cache is None:
            return False
        fetch = Fetch(request.id, cache.member.store, timeout_ms, origin.member.store)
        self._fetch(pending, Route(cache, origin), fetch)
        return True

    def _fetch(self, pending: PendingRequest, route: Route, fetch: Fetch) -> None:
        self._spend_budget(route.store, pending, fetch.timeout_ms)
        if route.source is not route.store:
            self._spend_budget(route.source, pending, fetch.timeout_ms)
        self._context.emit(fetch)
        self._record_attempt(pending, route)
        if pending.attempt_count == 1:
            self._schedule_hedge(pending)

    def _spend_budget(self, store: Store, pending: PendingRequest, timeout_ms: float) -> None:
        """Charges the slow start budget of a store, and marks the trial of a store that was ejected."""
        context = self._context
        if store is not context.store_list.origin:
            context.cold.spend(store.member, store.tokens, context.now_ms, pending.work)
        if store.ejection_ms > MIN_EJECTION_MS:
            store.trial_until_ms = context.now_ms + timeout_ms

    def _record_attempt(self, pending: PendingRequest, route: Route) -> None:
        store, source, origin = route.store, route.source, self._context.store_list.origin
        is_fill = source is not store
        limits = [store.concurrency]
        if is_fill:
            limits += [*self._fill_limits.of_cache(store), source.concurrency]
            if origin and source is not origin and not route.copies_only:
                limits.append(origin.concurrency)
        for limit in limits:
            limit.in_flight += 1
        name = store.member.store
        pending.in_flight[pending.attempt_count] = Attempt(
            name, source.member.store, self._context.now_ms, pending.objective_ms, is_fill, limits
        )
        pending.attempt_count += 1
        pending.has_free_attempt = False
        pending.tried_stores.append(name)

    def _schedule_hedge(self, pending: PendingRequest) -> None:
        if self._context.settings.second_copies and pending.spec.effect is Effect.SAFE:
            due_ms = pending.arrived_ms + pending.objective_ms * HEDGE_DELAY_SHARE
            if due_ms < pending.request.deadline_ms:
                self._context.emit(SetTimer(f"{HEDGE_TIMER}:{pending.request.id}", due_ms))


def _write_timeout_ms(pending: PendingRequest, left_ms: float) -> float:
    """The timeout of a write: the first attempt of a repeatable write leaves time for another one."""
    if pending.spec.effect is Effect.UNSAFE or pending.attempt_count:
        return left_ms
    return min(left_ms, max(pending.objective_ms, left_ms * FIRST_WRITE_SHARE))
