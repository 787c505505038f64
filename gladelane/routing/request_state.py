"""Requests without a final answer, and their attempts in flight. Pure. Times are ms of the caller's clock."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from .concurrency_limit import ConcurrencyLimit
from .events import ClassSpec, Request
from .slow_start import Work

#: Attempts still in flight whose requests have ended; bounds memory.
MAX_LINGERING = 2048


@dataclass(slots=True)
class Attempt:
    """One send in flight. `limits` are those that count it until its outcome comes."""

    store: str
    source: str
    sent_ms: float
    aim_ms: float
    #: Whether a miss at the store is filled from another server.
    is_fill: bool
    limits: list[ConcurrencyLimit]

    def elapsed_ms(self, now_ms: float, unread_ms: float) -> float:
        """How long the store took at least. A process that is held up reads all that came meanwhile at once:
        taken for late answers of every store, that would cut all limits to a few attempts, for seconds."""
        return max(now_ms - self.sent_ms - unread_ms, 0.0)


@dataclass(slots=True)
class PendingRequest:
    """A request that has had no final answer yet. It keeps the class and the limit of attempts that were in
    force when it arrived."""

    request: Request
    spec: ClassSpec
    arrived_ms: float
    aim_ms: float
    max_attempts: int
    work: Work
    #: Attempts sent so far; the next attempt's number.
    attempt_count: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)
    tried_stores: list[str] = field(default_factory=list)
    excluded_sources: list[str] = field(default_factory=list)
    #: Sources of fills that ended in an error at once.
    suspect_sources: list[str] = field(default_factory=list)
    may_have_run: bool = False
    first_ran_ms: float = 0.0
    ran_at: str = ""
    #: The answer's stream has begun, so that no further attempt is made.
    has_started: bool = False
    #: An attempt was limited to copies, without a full fill; that is done once.
    tried_copies_only: bool = False
    is_recent_key: bool = False
    immediate_errors: int = 0

    def mark_may_have_run(self, at_ms: float, store: str) -> None:
        """Records the first attempt that is not proven never to have run."""
        self.may_have_run, self.first_ran_ms, self.ran_at = True, at_ms, store

    def retry_same_store(self, store: str) -> None:
        """Allows the store of the latest attempt to be chosen again."""
        if self.tried_stores and self.tried_stores[-1] == store:
            self.tried_stores.pop()


class RequestTable:
    """Pending requests by number, and attempts that are still in flight after their request ended."""

    def __init__(self) -> None:
        self.pending: dict[int, PendingRequest] = {}
        #: By numbers of request and attempt, the oldest first.
        self.lingering: OrderedDict[tuple[int, int], Attempt] = OrderedDict()

    def mark_started(self, number: int) -> None:
        """Does nothing where the request has ended."""
        if number in self.pending:
            self.pending[number].has_started = True

    def take_attempt(self, number: int, attempt_number: int) -> Attempt | None:
        """Removes an attempt whose outcome came; None where it is not known."""
        pending = self.pending.get(number)
        attempt = pending.in_flight.pop(attempt_number, None) if pending else None
        return attempt or self.lingering.pop((number, attempt_number), None)

    def drop(self, pending: PendingRequest) -> None:
        """The request has ended. Outcomes of its attempts in flight still say something of their servers."""
        number = pending.request.id
        self.pending.pop(number, None)
        for attempt_number, attempt in pending.in_flight.items():
            self.lingering[(number, attempt_number)] = attempt
        while len(self.lingering) > MAX_LINGERING:
            for limit in self.lingering.popitem(last=False)[1].limits:
                limit.release()
