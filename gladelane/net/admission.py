"""Admission of client requests: the event for the router, or an answer that rejects it at once."""

from __future__ import annotations

from ..routing.events import ClassSpec, Effect, Request
from .exchange import AnswerCode, ClientRequest, Exchange, FinalAnswer
from .interfaces import DirectorContext


class Admission:
    """Numbers requests and rejects those that may not reach the router."""

    def __init__(self, context: DirectorContext) -> None:
        self._context = context
        self._count = 0
        self._keys_unknown_until_ms = 0.0  # until then a key may have run at another process

    def reject_keys_until(self, until_ms: float) -> None:
        """Rejects all requests with an idempotency key until then, also with a key that is known here: an
        earlier attempt may not be, and the window of a key starts with the first."""
        self._keys_unknown_until_ms = until_ms

    def request_of(self, ask: ClientRequest, now: float, margin_ms: float) -> Request:
        """The request as an event; its deadline is brought forward by `margin_ms`."""
        self._count += 1
        ran_ms, ran_at = 0.0, ""
        is_keyed = self._context.settings.classes[ask.cls].effect is Effect.KEYED
        if is_keyed and ask.key:
            ran_ms, ran_at = self._context.keys.first_attempt(ask.key, now)
        return Request(
            self._count,
            ask.cls,
            int(ask.object, 16) + 1,  # the router has 0 for all objects of a group
            now + ask.wait_ms - margin_ms,
            ask.size_kb,
            ask.group,
            ask.part,
            ran_ms=ran_ms,
            ran_at=ran_at,
        )

    def rejection(self, exchange: Exchange, now: float) -> FinalAnswer | None:
        """The answer to a request that may not reach the router; None: it is admitted."""
        context, ask, spec = self._context, exchange.ask, exchange.spec
        if context.audit is not None and (retry_after_ms := context.audit.retry_after_ms(ask.cls)):
            return self._rejected(retry_after_ms)
        if spec.effect is Effect.KEYED and self._may_not_use_key(ask.key, now):
            return FinalAnswer(AnswerCode.REFUSED)
        if context.guard is not None and spec.cacheable:
            part = exchange.request.object, exchange.request.part
            if retry_after_ms := context.guard.admits(ask.cls, part, self._relative_weight(spec)):
                return self._rejected(retry_after_ms)
        return None

    def _may_not_use_key(self, key: str, now: float) -> bool:
        return self._context.keys.is_full(key, now) or (bool(key) and now < self._keys_unknown_until_ms)

    def _relative_weight(self, spec: ClassSpec) -> float:
        most = max((one.worth for one in self._context.settings.classes.values()), default=1.0)
        return spec.worth / most

    def _rejected(self, retry_after_ms: float) -> FinalAnswer:
        limit_ms = self._context.settings.max_retry_after_ms
        return FinalAnswer(AnswerCode.REFUSED, retry_after_ms=min(retry_after_ms, limit_ms))
