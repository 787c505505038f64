"""One client request with its attempts and its one final answer.

`Exchange` is the only type that both the client side and the server side of the director use.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ..admin.metrics import Metrics
from ..clock import UnixMs
from ..routing.events import ClassSpec, Request
from ..routing.idempotency import attempt_keys
from ..timer_wheel import TimerHandle


class AnswerCode(IntEnum):
    """The first byte of a final answer."""

    SERVED = 0
    REFUSED = 1
    FAILED = 2


class ClientRequest(msgspec.Struct, frozen=True, gc=False):
    """A request as the client sent it. Its texts are forwarded to servers unaltered."""

    id: str
    cls: str
    wait_ms: float  # how long the client waits for the answer
    object: str
    part: int
    group: int
    size_kb: float = 0.0
    key: str = ""  # idempotency key
    known: str = ""  # version of the client's own copy
    body: bytes = b""


class FinalAnswer(msgspec.Struct, frozen=True, gc=False):
    """The answer to a client."""

    code: AnswerCode
    body: bytes = b""
    valid: bool = False  # the client's own copy is still valid, so no body is sent
    retry_after_ms: float = 0.0  # 0: not stated


def never_gone() -> bool:
    """Returns False; for a request whose client cannot disconnect."""
    return False


@dataclass(slots=True, eq=False)
class Exchange:
    """A client's request, from its admission until it is answered and all its attempts have ended."""

    ask: ClientRequest
    request: Request  # the same request as an event for the router
    deliver: Callable[[FinalAnswer], None]
    spec: ClassSpec  # as of admission, since settings may change while the exchange is open
    max_attempts: int  # as of admission
    attempt_count: int = 0  # as the router counts attempts, which includes those that were never written
    open: dict[int, Attempt] = field(default_factory=dict)  # attempts by number
    done: bool = False  # answered, or the client has disconnected
    ran_ms: float = 0.0  # earliest write time of the ended attempts that may have run; 0: there are none
    metrics: Metrics | None = None
    is_client_gone: Callable[[], bool] = never_gone  # judges by the bytes received so far

    @property
    def keys(self) -> tuple[str, ...]:
        """The keys under which its attempts are recorded; empty if they need no record."""
        return attempt_keys(self.spec.effect, self.ask.id, self.ask.key)

    def may_have_run(self) -> bool:
        """Whether a byte of any attempt, including ended ones, may have reached a server."""
        return bool(self.ran_ms) or any(attempt.written_ms for attempt in self.open.values())

    def finish(self, final: FinalAnswer | None) -> None:
        """Ends the request; only the first call has an effect. `final` is None if the client has disconnected
        and needs no answer."""
        if self.done:
            return
        self.done = True
        if self.metrics is not None:
            self.metrics.inflight -= 1
            if final is None:
                self.metrics.withdrawn += 1
            else:
                self.metrics.answered(self.ask.cls, final.code)
        if final is not None:
            self.deliver(final)


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to have a request answered by one server. Times are ms of the director's clock."""

    exchange: Exchange
    number: int
    store: str
    sent_ms: float
    due_ms: float
    source: str = ""  # the server from which a miss is filled; empty: a miss is not filled
    rank: int = 0
    max_age_ms: float = 0.0
    hints: tuple[str, ...] = ()
    objective_ms: float = 0.0  # latency objective
    timer: TimerHandle | None = None
    min_copy_date: UnixMs = UnixMs(0.0)  # of a copy that answers it, by the purges active when it was written
    ran_ms: float = (
        0.0  # set only if it is recorded under a key: since when it may have run; 0: it has not run
    )
    written_ms: float = 0.0  # 0 until a byte of it may have left this process
    activity_interval: int = 0  # interval of the activity log in which it was sent; 0: no log is kept

    def fields(self, now_ms: float) -> dict[str, str]:
        """The fields of the command to a server. Ages are rounded to ms and are at least 1, since 0 means no
        limit."""
        request = self.exchange.ask
        fields = {"profile": request.cls, "thing": request.object, "nth": str(request.part)}
        fields["max"] = str(max(int(self.due_ms - now_ms), 1))
        if request.key:
            fields["replay"] = request.key
        if self.source:
            fields["parent"] = self.source
        if self.rank:
            fields["shelf"] = str(self.rank)
        if self.max_age_ms:
            fields["accept"] = str(max(int(self.max_age_ms), 1))
        if self.hints:
            fields["hints"] = "+".join(self.hints)
        if request.known:
            fields["got"] = request.known
        return fields
