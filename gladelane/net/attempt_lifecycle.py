"""Sends attempts as the router decided, cancels them, and reports their outcomes to the router."""

from __future__ import annotations

import logging
from functools import partial

from ..routing.events import NEVER_RAN, Cancel, Effect, Fetch, Lookup, Note, Outcome, Status
from ..timer_wheel import TICK_MS
from .admission import Admission
from .attempt_checks import AttemptChecks
from .attempt_outcomes import STATUS, AttemptOutcome
from .cache_protocol import Reply
from .copy_acceptance import CopyVerdict, judge_copy
from .copy_dates import CopyDates
from .endpoint_list import EndpointList
from .exchange import AnswerCode, Attempt, Exchange, FinalAnswer
from .interfaces import DirectorContext
from .new_attempt import create_attempt

log = logging.getLogger(__name__)

#: Not reported to the guard, since these say nothing about how a fetch would have ended.
UNREPORTED_STATUSES = (
    Status.CANCELLED,
    Status.MOOT,
    Status.MISS,
)


class AttemptLifecycle:
    """Handles the attempts of all exchanges. Each attempt ends once, in `end`, which is the only place where
    its outcome is mapped to the router's Status."""

    def __init__(
        self,
        context: DirectorContext,
        endpoint_list: EndpointList,
        checks: AttemptChecks,
        copy_dates: CopyDates,
        admission: Admission,
    ) -> None:
        self._context = context
        self._endpoint_list = endpoint_list
        self._checks = checks
        self._copy_dates = copy_dates
        self._admission = admission

    def send(self, exchange: Exchange, action: Fetch | Lookup) -> None:
        """Starts an attempt, which ends at once if it may not be sent."""
        context = self._context
        attempt = create_attempt(exchange, action, context.clock(), context.settings)
        if exchange.done or exchange.attempt_count > exchange.max_attempts:
            self.end(attempt, AttemptOutcome.SURPLUS)
        elif not self._endpoint_list.is_ready(action.store):
            self.end(attempt, AttemptOutcome.WITHDRAWN)
        else:
            time_out = partial(self.abandon, attempt, AttemptOutcome.TIMED_OUT)
            attempt.timer = context.timers.schedule(attempt.due_ms, time_out)
            context.sender.send(attempt)

    def check_before_write(self, attempt: Attempt) -> AttemptOutcome | None:
        """Checks an attempt just before its first byte is written. Returns the outcome with which it ends
        unwritten; or None, after the attempt was recorded and its limits on copies were updated."""
        now = self._context.clock()
        if self._checks.has_run_elsewhere(attempt.exchange, now):
            attempt.exchange.finish(FinalAnswer(AnswerCode.FAILED))
        rejection = self._checks.rejection(attempt, now)
        if rejection is None:
            self._checks.record_start(attempt, now)
            self._copy_dates.limit_copies(attempt, now)
        return rejection

    def cancel(self, exchange: Exchange, action: Cancel) -> None:
        """Cancels an attempt as the router decided."""
        attempt = exchange.open.get(action.attempt)
        if attempt is not None:
            # In the tick in which an attempt times out, the router may cancel it too. The router must learn
            # of the timeout, since nothing else shows that a server drops requests.
            is_due = attempt.due_ms <= self._context.clock() + TICK_MS
            self.abandon(attempt, AttemptOutcome.TIMED_OUT if is_due else AttemptOutcome.CANCELLED)

    def abandon(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Ends an attempt from this side and cancels it at its server."""
        if attempt.number in attempt.exchange.open:
            self._context.sender.abandon(attempt, outcome)
            self.end(attempt, outcome)

    def end(self, attempt: Attempt, outcome: AttemptOutcome, reply: Reply | None = None) -> None:
        """Ends an attempt. Only the first call for an attempt has an effect."""
        exchange = attempt.exchange
        if exchange.open.pop(attempt.number, None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()  # otherwise the timer would keep the request and its body in memory
        outcome = self._adjust_outcome(attempt, outcome, reply)
        status = STATUS[outcome]
        self._record_run(attempt, status)
        if status is Status.OK and reply is not None:
            self._answer(attempt, outcome, reply)
        now = self._context.clock()
        self._report_to_guard(attempt, status, reply, now)
        if status is Status.SUPERSEDED:
            self._reject_over_budget(exchange)
        self._context.post(
            Outcome(
                exchange.request.id,
                attempt.number,
                attempt.store,
                status,
                now - attempt.sent_ms,
                reply.note if reply else Note.NOT_REPORTED,
                reply.source_wait_ms if reply else 0.0,
                exchange.done,
                reply.report if reply else None,
                self._context.timers.lag(),
            )
        )

    def _adjust_outcome(
        self, attempt: Attempt, outcome: AttemptOutcome, reply: Reply | None
    ) -> AttemptOutcome:
        """Changes the outcome of a response that may not be used, because its copy is older than a purge or
        because the audit does not permit an answer now."""
        exchange, audit = attempt.exchange, self._context.audit
        if reply is not None and reply.dated_ms:
            self._copy_dates.record_reply(attempt, reply, self._is_origin(attempt.store))
        if reply is not None and exchange.spec.cacheable and STATUS[outcome] is Status.OK:
            outcome = self._judge_copy(attempt, outcome, reply)
        if audit is not None and exchange.spec.cacheable and STATUS[outcome] is Status.OK:
            # the answer to a write is always forwarded, since the write has run
            if not audit.may_answer(exchange.ask.cls):
                outcome = AttemptOutcome.WITHHELD
        return outcome

    def _judge_copy(self, attempt: Attempt, outcome: AttemptOutcome, reply: Reply) -> AttemptOutcome:
        """Changes the outcome of a reply whose copy may not answer the request now."""
        now = self._context.clock()
        bounds = self._copy_dates.answer_bounds(attempt, now)
        verdict, excess_ms = judge_copy(reply.dated_ms, attempt.min_copy_date, bounds)
        if verdict is CopyVerdict.ACCEPTED:
            return outcome
        if verdict is CopyVerdict.NONCOMPLIANT:
            log.warning("outdated answer store=%s by_ms=%.0f", attempt.store, excess_ms)
            return AttemptOutcome.OUTDATED
        if attempt.exchange.done:  # nothing would be passed on, so this is an ordinary surplus answer
            return outcome
        log.warning(
            "superseded answer store=%s reason=%s by_ms=%s out_ms=%.0f",
            attempt.store,
            verdict.name.lower(),
            f"{excess_ms:.0f}" if reply.dated_ms else "undated",
            now - attempt.written_ms,
        )
        if self._context.guard is not None:
            self._context.guard.superseded()
        return AttemptOutcome.SUPERSEDED

    def _reject_over_budget(self, exchange: Exchange) -> None:
        """Ends a request whose answer was not passed on, if no attempt is left and none may be added: limits
        that bind all requests at once must not send all of them to the origin at once."""
        if exchange.done or exchange.open:
            return
        rejection = self._admission.refetch_rejection(exchange)
        if rejection is None:
            return
        is_retry_harmless = exchange.spec.effect is Effect.SAFE  # an attempt has run
        exchange.finish(rejection if is_retry_harmless else FinalAnswer(AnswerCode.FAILED))

    def _is_origin(self, store: str) -> bool:
        listed = self._endpoint_list.listed.get(store)
        return listed is not None and listed.kind == self._context.settings.origin_kind

    def _record_run(self, attempt: Attempt, status: Status) -> None:
        """Records whether an attempt may have run, under its keys and in its exchange."""
        exchange = attempt.exchange
        if status in NEVER_RAN:
            if attempt.ran_ms:
                self._remove_record(attempt)
        elif attempt.written_ms:
            exchange.ran_ms = min(exchange.ran_ms or attempt.written_ms, attempt.written_ms)

    def _remove_record(self, attempt: Attempt) -> None:
        """Removes an attempt that is proven never to have run from the records of its keys."""
        context = self._context
        for key in attempt.exchange.keys:
            context.keys.never_ran(key, attempt.ran_ms, attempt.store)
            if context.key_observer is not None:
                context.key_observer.never_ran(key, attempt.ran_ms, attempt.store)

    def _answer(self, attempt: Attempt, outcome: AttemptOutcome, reply: Reply) -> None:
        exchange, audit = attempt.exchange, self._context.audit
        if audit is not None and not exchange.done:
            audit.record_answer(exchange.ask.cls, attempt.activity_interval)
        is_still_valid = outcome is AttemptOutcome.STILL_GOOD
        exchange.finish(FinalAnswer(AnswerCode.SERVED, reply.body, valid=is_still_valid))

    def _report_to_guard(self, attempt: Attempt, status: Status, reply: Reply | None, now: float) -> None:
        exchange, guard = attempt.exchange, self._context.guard
        if guard is None or not exchange.spec.cacheable or status in UNREPORTED_STATUSES:
            return
        request = exchange.request
        served = reply if status in (Status.OK, Status.SUPERSEDED) else None
        guard.answered(
            request.cls,
            (request.object, request.part),
            float(served.dated_ms) if served is not None else 0.0,
            served is not None and now - attempt.sent_ms <= attempt.objective_ms,
        )
