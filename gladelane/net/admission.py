"""Admits client requests: creates the event for the router, or the answer that rejects a request at once."""

from __future__ import annotations

from ..routing.events import ClassSpec, Effect, Request
from .exchange import AnswerCode, ClientRequest, Exchange, FinalAnswer
from .interfaces import DirectorContext


class Admission:
    """Numbers requests, and rejects those that may not be passed to the router."""

    def __init__(self, context: DirectorContext) -> None:
        self._context = context
        self._count = 0
        self._keys_unknown_until_ms = 0.0  # until then a key may have been used by another process

    def reject_keys_until(self, until_ms: float) -> None:
        """Rejects all requests with an idempotency key until `until_ms`. Keys that are known here are
        rejected too: the window of a key starts with its first attempt, and an earlier attempt than the known
        ones may have been made by another process."""
        self._keys_unknown_until_ms = until_ms

    def create_request(self, client_request: ClientRequest, now: float, margin_ms: float) -> Request:
        """Creates the event for the router. The deadline is brought forward by `margin_ms`."""
        self._count += 1
        ran_ms, ran_at = 0.0, ""
        is_keyed = self._context.settings.classes[client_request.cls].effect is Effect.KEYED
        if is_keyed and client_request.key:
            ran_ms, ran_at = self._context.keys.first_attempt(client_request.key, now)
        return Request(
            self._count,
            client_request.cls,
            int(client_request.object, 16) + 1,  # to the router, 0 stands for all objects of a group
            now + client_request.wait_ms - margin_ms,
            client_request.size_kb,
            client_request.group,
            client_request.part,
            ran_ms=ran_ms,
            ran_at=ran_at,
        )

    def rejection(self, exchange: Exchange, now: float) -> FinalAnswer | None:
        """The answer to a request that is rejected; None if it is admitted."""
        context, client_request, spec = self._context, exchange.ask, exchange.spec
        if context.audit is not None and (retry_after_ms := context.audit.retry_after_ms(client_request.cls)):
            return self._rejected(retry_after_ms)
        if spec.effect is Effect.UNSAFE and context.keys.has_attempt(exchange.keys, now):
            return FinalAnswer(AnswerCode.FAILED)  # its id or key came before, and it may have run then
        if context.keys.is_full(exchange.keys, now):
            return FinalAnswer(AnswerCode.REFUSED)
        if spec.effect is not Effect.SAFE and self._is_key_unknown(client_request.key, now):
            return FinalAnswer(AnswerCode.REFUSED)
        return self.refetch_rejection(exchange)

    def refetch_rejection(self, exchange: Exchange) -> FinalAnswer | None:
        """The answer to a request for which the budget for refetches permits no attempt now; None if it
        does."""
        guard, request, spec = self._context.guard, exchange.request, exchange.spec
        if guard is None or not spec.cacheable:
            return None
        part = request.object, request.part
        retry_after_ms = guard.admits(request.cls, part, self._relative_weight(spec))
        return self._rejected(retry_after_ms) if retry_after_ms else None

    def _is_key_unknown(self, key: str, now: float) -> bool:
        return bool(key) and now < self._keys_unknown_until_ms

    def _relative_weight(self, spec: ClassSpec) -> float:
        max_weight = max((one.worth for one in self._context.settings.classes.values()), default=1.0)
        return spec.worth / max_weight

    def _rejected(self, retry_after_ms: float) -> FinalAnswer:
        limit_ms = self._context.settings.max_retry_after_ms
        return FinalAnswer(AnswerCode.REFUSED, retry_after_ms=min(retry_after_ms, limit_ms))
