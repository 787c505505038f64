"""Pending requests and their attempts in flight.

The module does no I/O. Times are ms of the caller's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from .concurrency_limit import ConcurrencyLimit
from .events import ClassSpec, Request
from .slow_start import Work

#: Maximum number of attempts that are remembered after their request has ended; bounds memory.
MAX_LINGERING = 2048


@dataclass(slots=True)
class Attempt:
    """One attempt in flight. `limits` are the concurrency limits that count it until its outcome arrives."""

    store: str
    source: str
    sent_ms: float
    objective_ms: float
    #: Whether a miss at the store is filled from another server.
    is_fill: bool
    limits: list[ConcurrencyLimit]

    def elapsed_ms(self, now_ms: float, unread_ms: float) -> float:
        """A lower bound for how long the store took; `unread_ms` is how long the outcome may have waited
        unread. A process that was blocked reads all outcomes of that time at once. Without the correction
        they would count as late answers of every store, and all limits would drop to a few attempts for
        seconds."""
        return max(now_ms - self.sent_ms - unread_ms, 0.0)


@dataclass(slots=True)
class PendingRequest:
    """A request that has had no final answer yet. It keeps the class and the limit on attempts that applied
    when it arrived."""

    request: Request
    spec: ClassSpec
    arrived_ms: float
    objective_ms: float
    max_attempts: int
    work: Work
    #: Number of attempts sent so far, and thus the number of the next attempt.
    attempt_count: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    tried_stores: list[str] = field(default_factory=list)
    excluded_sources: list[str] = field(default_factory=list)
    #: Sources of fills that ended in an immediate error.
    suspect_sources: list[str] = field(default_factory=list)
    may_have_run: bool = False
    first_ran_ms: float = 0.0
    ran_at: str = ""
    #: Whether the stream of the answer has started, so that no further attempt is made.
    has_started: bool = False
    #: Whether an attempt was limited to existing copies, without a full fill; this is done only once.
    tried_copies_only: bool = False
    is_recent_key: bool = False
    immediate_errors: int = 0
    #: Number of answers that could not be used any more and were replaced by a free attempt.
    replacements: int = 0
    #: Whether the next attempt is free; it waits if no server can get it now.
    has_free_attempt: bool = False
    #: Number of waits of free attempts.
    replacement_waits: int = 0

    def mark_may_have_run(self, at_ms: float, store: str) -> None:
        """Records the first attempt that may have run."""
        self.may_have_run, self.first_ran_ms, self.ran_at = True, at_ms, store

    def retry_same_store(self, store: str) -> None:
        """Allows the store to be chosen again if it got the latest attempt."""
        if self.tried_stores and self.tried_stores[-1] == store:
            self.tried_stores.pop()

    def replace_answer(self, store: str) -> None:
        """Records that the answer of a store could not be used any more. The next attempt is free, and what
        was tried may be tried again."""
        self.replacements += 1
        self.has_free_attempt = True
        self.tried_copies_only = False
        if store in self.tried_stores:
            self.tried_stores.remove(store)


class RequestTable:
    """Pending requests by number, and attempts that are still in flight after their request ended."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingRequest] = {}
        #: By the numbers of request and attempt, the oldest first.
        self.lingering: OrderedDict[tuple[int, int], Attempt] = OrderedDict()

    def mark_started(self, number: int) -> None:
        """Records that the stream of the answer has started; does nothing if the request has ended."""
        if number in self.pending:
            self.pending[number].has_started = True

    def take_attempt(self, number: int, attempt_number: int) -> Attempt | None:
        """Removes and returns an attempt whose outcome arrived; None if it is not known."""
        pending = self.pending.get(number)
        attempt = pending.in_flight.pop(attempt_number, None) if pending else None
        return attempt or self.lingering.pop((number, attempt_number), None)

    def drop(self, pending: PendingRequest) -> None:
        """Removes a request that has ended. Its attempts in flight are kept, because their outcomes still say
        something about their servers."""
        number = pending.request.id
        self.pending.pop(number, None)
        for attempt_number, attempt in pending.in_flight.items():
            self.lingering[(number, attempt_number)] = attempt
        while len(self.lingering) > MAX_LINGERING:
            for limit in self.lingering.popitem(last=False)[1].limits:
                limit.release()
