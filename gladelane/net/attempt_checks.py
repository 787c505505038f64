"""Checks an attempt again just before its first byte is written. A dial takes time, during which the client,
the endpoint list, purges and key windows may have changed."""

from __future__ import annotations

from ..routing.events import Effect
from ..routing.idempotency import is_past_window
from ..timer_wheel import TICK_MS
from .attempt_outcomes import AttemptOutcome
from .endpoint_list import EndpointList
from .exchange import Attempt, Exchange
from .interfaces import DirectorContext


class AttemptChecks:
    """Decides whether an attempt may still be written, and records that it is."""

    def __init__(self, context: DirectorContext, endpoint_list: EndpointList) -> None:
        self._context = context
        self._endpoint_list = endpoint_list

    def rejection(self, attempt: Attempt, now: float) -> AttemptOutcome | None:
        """The outcome with which the attempt ends unwritten; None if it may be written."""
        if attempt.exchange.done:
            return AttemptOutcome.SURPLUS
        if attempt.due_ms - now < 1.0:
            return AttemptOutcome.EXPIRED
        if not self._are_servers_ready(attempt):
            return AttemptOutcome.WITHDRAWN
        if self.is_past_window(attempt, now):
            return AttemptOutcome.EXPIRED
        audit = self._context.audit
        if audit is not None and not audit.may_send(attempt.exchange.request.cls):
            return AttemptOutcome.SHUT_OUT
        return None

    def record_start(self, attempt: Attempt, now: float) -> None:
        """Records an attempt that is about to be written, with the audit and under its keys."""
        context, exchange = self._context, attempt.exchange
        if context.audit is not None:
            attempt.activity_interval = context.audit.record_attempt(exchange.request.cls)
        for key in exchange.keys:
            attempt.ran_ms = now
            context.keys.may_have_run(key, now, attempt.store)
            if context.key_observer is not None:
                context.key_observer.may_have_run(key, now, attempt.store)

    def has_run_elsewhere(self, exchange: Exchange, now: float) -> bool:
        """Whether another request with the id or the idempotency key of this unsafe one may have run, so that
        this one may not. An unsafe request has no earlier attempt of its own that may have run."""
        if exchange.spec.effect is not Effect.UNSAFE or exchange.may_have_run():
            return False
        return self._context.keys.has_attempt(exchange.keys, now)

    def is_past_window(self, attempt: Attempt, now: float) -> bool:
        """Whether the window of a request with an idempotency key is over. The router checked this when it
        decided on the attempt, but a dial may take longer than a window."""
        exchange = attempt.exchange
        if exchange.spec.effect is not Effect.KEYED:
            return False
        ran_ms = [other.written_ms for other in exchange.open.values() if other.written_ms]
        if exchange.ran_ms:
            ran_ms.append(exchange.ran_ms)
        if exchange.ask.key and (first_ms := self._context.keys.first_attempt(exchange.ask.key, now)[0]):
            ran_ms.append(first_ms)
        slack_ms = self._context.settings.tick_ms + TICK_MS
        return is_past_window(ran_ms, now, exchange.spec.window_ms, slack_ms)

    def _are_servers_ready(self, attempt: Attempt) -> bool:
        is_ready = self._endpoint_list.is_ready
        return is_ready(attempt.store) and (not attempt.source or is_ready(attempt.source))
