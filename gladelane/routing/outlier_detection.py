"""Finds servers that are at fault from the outcomes of attempts: failure scores and ejection.

Scores and shares have no unit. Times are ms of the caller's clock. `store.Store` determines for how long a
server is ejected and when it gets a trial. The module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from .context import RoutingContext
from .events import Note, Outcome, Status
from .request_state import Attempt, PendingRequest
from .store import Store

EJECT_AFTER_FAILURES = 3  # failed attempts in a row after which a store is ejected
ALIVE_MS = 500.0  # a store that answered within this time is not ejected for errors and resets
IMMEDIATE_ERROR_MS = 50.0  # an error within this time after the send may be the fault of the request
MAX_SOURCE_SCORE = 2.0  # failure score at which a source is ejected
SCORE_DECAY = 0.75  # factor for a source's score after a success, if notes do not identify fills
# Learning rate of the share of a source's fills that end in an immediate error, and the share that ejects it.
ERROR_RATE_STEP, MAX_ERROR_RATE = 0.2, 0.6

_FROM_SOURCE = (Note.PARENT_HELD, Note.FROM_ORIGIN)
_SOURCE_FAULTS = (Note.SOURCE_REFUSED, Note.SOURCE_BROKEN, Note.ORIGIN_FAILED)
_NO_FAILURE = (Status.CANCELLED, Status.MOOT, Status.MISS, Status.SUPERSEDED)
_STORE_FAULTS = (Status.RESET, Status.CONNECT_FAILED)


@dataclass(frozen=True, slots=True)
class _Failure:
    """An attempt that failed. `is_immediate`: it ended in an error soon after the send; `is_lost`: it timed
    out while attempts sent later were answered; `is_source_blamed`: the cache reported that its source is at
    fault."""

    attempt: Attempt
    status: Status
    note: Note
    is_immediate: bool
    is_lost: bool
    is_source_blamed: bool

    @property
    def is_by_store(self) -> bool:
        """Whether the failure says more about the store than about its source."""
        return self.is_immediate or self.is_lost or self.status in _STORE_FAULTS


class OutlierDetection:
    """Scores servers by outcomes and ejects those that are at fault."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context

    def record_outcome(
        self, pending: PendingRequest | None, attempt: Attempt, event: Outcome, store: Store | None
    ) -> None:
        """Learns from an outcome. `pending`: None if the request has ended; `store`: None if the store is no
        longer listed."""
        source = None
        if attempt.source != attempt.store:
            source = self._context.store_list.stores.get(attempt.source)
        if event.status is Status.OK:
            self._record_success(pending, event.note, store, source)
        elif event.status not in _NO_FAILURE:
            self._record_failure(pending, self._failure(attempt, event, store), store, source)

    def _record_success(
        self, pending: PendingRequest | None, note: Note, store: Store | None, source: Store | None
    ) -> None:
        for name in pending.suspect_sources if pending else ():
            self._blame_suspect(name)
        if store:
            store.reset_failures()
            store.answered_ms = self._context.now_ms
        if source and note in _FROM_SOURCE:
            source.error_rate *= 1.0 - ERROR_RATE_STEP
            if source.error_rate < MAX_ERROR_RATE:
                source.reset_failures()
        elif source and note is Note.NOT_REPORTED:
            source.failure_score *= SCORE_DECAY

    def _blame_suspect(self, name: str) -> None:
        """Counts an immediate error of a fill from this source. The same request was answered elsewhere, so
        the request was not at fault. A source is at fault if most of its fills end that way at any cache."""
        source = self._context.store_list.stores.get(name)
        if source:
            source.error_rate += ERROR_RATE_STEP * (1.0 - source.error_rate)
            if source.error_rate >= MAX_ERROR_RATE and self._context.now_ms >= source.ejected_until_ms:
                source.eject(self._context.now_ms)

    def _failure(self, attempt: Attempt, event: Outcome, store: Store | None) -> _Failure:
        is_early = self._context.now_ms - attempt.sent_ms < IMMEDIATE_ERROR_MS
        is_overtaken = store is not None and attempt.sent_ms < store.timely_sent_ms
        return _Failure(
            attempt,
            event.status,
            event.note,
            is_immediate=event.status is Status.ERROR and is_early,
            is_lost=event.status is Status.TIMEOUT and is_overtaken,
            is_source_blamed=event.note in _SOURCE_FAULTS,
        )

    def _record_failure(
        self,
        pending: PendingRequest | None,
        failure: _Failure,
        store: Store | None,
        source: Store | None,
    ) -> None:
        if pending and failure.is_immediate:
            self._suspect_source(pending, failure, source)
        is_source_unknown = failure.note is Note.NOT_REPORTED and self._context.settings.notes != "all"
        if failure.is_source_blamed or (is_source_unknown and not failure.is_by_store):
            self._score_source(pending, failure, source)
        if failure.is_source_blamed:
            if pending:  # the cache is not at fault: it may be asked again, with another source
                pending.retry_same_store(failure.attempt.store)
        elif store and failure.status is not Status.FULL:
            self._score_store(pending, failure, store, source)

    def _suspect_source(self, pending: PendingRequest, failure: _Failure, source: Store | None) -> None:
        """Directs the next attempt to another cache and another source, whose outcome shows whether the
        request, the cache or the source is at fault."""
        pending.immediate_errors += 1
        if source is None or source is self._context.store_list.origin:
            return
        if failure.note is Note.NOT_REPORTED and self._context.settings.notes != "all":
            pending.excluded_sources.append(failure.attempt.source)
            pending.suspect_sources.append(failure.attempt.source)

    def _score_source(self, pending: PendingRequest | None, failure: _Failure, source: Store | None) -> None:
        if pending:
            pending.excluded_sources.append(failure.attempt.source)
        if source:
            source.failure_score += 1.0
            is_origin = source is self._context.store_list.origin or failure.note is Note.ORIGIN_FAILED
            if not is_origin and source.failure_score >= MAX_SOURCE_SCORE:
                source.eject(self._context.now_ms)

    def _score_store(
        self, pending: PendingRequest | None, failure: _Failure, store: Store, source: Store | None
    ) -> None:
        if self._is_store_at_fault(failure, store, source):
            store.failure_score += 1.0
        if failure.status is Status.CONNECT_FAILED or store.failure_score >= EJECT_AFTER_FAILURES:
            store.eject(self._context.now_ms)
        elif pending and failure.status is Status.RESET:
            # the store runs but loses answers: the next attempt may go to it again, because it has the copy
            pending.retry_same_store(failure.attempt.store)

    def _is_store_at_fault(self, failure: _Failure, store: Store, source: Store | None) -> bool:
        """Whether a failure counts against the store. When one connection ends, many attempts on it fail, so
        errors and resets count only if the store has not answered recently. Immediate errors do not count if
        the source is known to cause them."""
        if failure.is_lost:
            return False
        if failure.is_immediate and source is not None and source.error_rate >= MAX_ERROR_RATE:
            return False
        is_alive = self._context.now_ms - store.answered_ms < ALIVE_MS
        return not (is_alive and failure.status in (Status.RESET, Status.ERROR))
