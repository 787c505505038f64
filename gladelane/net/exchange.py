"""One client request: its attempts and its one final answer.

`Exchange` is the only type that both sides of the director know, that of clients and that of servers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ..admin.metrics import Metrics
from ..clock import UnixMs
from ..routing.events import ClassSpec, Request
from ..timer_wheel import TimerHandle


class AnswerCode(IntEnum):
    """The first byte of a final answer."""

    SERVED = 0
    REFUSED = 1
    FAILED = 2


class ClientRequest(msgspec.Struct, frozen=True, gc=False):
    """A request as the client sent it; its texts are forwarded to servers unaltered. Times are ms."""

    id: str
    cls: str
    wait_ms: float
    object: str
    part: int
    group: int
    size_kb: float = 0.0
    key: str = ""
    known: str = ""
    body: bytes = b""


class FinalAnswer(msgspec.Struct, frozen=True, gc=False):
    """What a client is answered. `retry_after_ms` 0: none."""

    code: AnswerCode
    body: bytes = b""
    valid: bool = False  # the client's own copy is still valid, so no body is sent
    retry_after_ms: float = 0.0


def never() -> bool:
    """For a request whose client cannot leave: False."""
    return False


@dataclass(slots=True, eq=False)
class Exchange:
    """A client's request from its admission until it is answered and all its attempts have ended."""

    ask: ClientRequest
    request: Request  # the same as an event for the router
    deliver: Callable[[FinalAnswer], None]
    spec: ClassSpec  # at admission: settings may change while it is open
    max_attempts: int  # likewise
    sends: int = 0  # attempts, as the router counts them: also those never written
    open: dict[int, Attempt] = field(default_factory=dict)
    done: bool = False
    ran_ms: float = (
        0.0  # when the first of the ended attempts that may have run was written; 0: there is none
    )
    metrics: Metrics | None = None
    has_left: Callable[[], bool] = never  # whether its client has gone, as far as has been received

    def may_have_run(self) -> bool:
        """Whether a byte of any attempt, ended ones included, may have reached a server."""
        return bool(self.ran_ms) or any(attempt.written_ms for attempt in self.open.values())

    def finish(self, final: FinalAnswer | None) -> None:
        """Ends the request with its first call. None: its client has gone and needs no answer."""
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
    """One send of a request to one server. Times are ms of the director's clock."""

    exchange: Exchange
    number: int
    store: str
    sent_ms: float
    due_ms: float
    source: str = ""  # the server from which a miss is filled; empty: it is not filled
    rank: int = 0
    max_age_ms: float = 0.0
    hints: tuple[str, ...] = ()
    objective_ms: float = 0.0  # latency objective
    timer: TimerHandle | None = None
    oldest: UnixMs = UnixMs(0.0)  # no older copy may answer it, by the purges active when it was written
    ran_ms: float = 0.0  # with an idempotency key: since when it may have run; 0: it has not
    written_ms: float = 0.0  # 0 until a byte of it may have left this process
    activity_interval: int = 0  # of the activity log, in which it was sent; 0: no log is kept

    def fields(self, now_ms: float) -> dict[str, str]:
        """The fields of the command to a server. Ages are whole ms, at least 1, since 0 means no limit."""
        ask = self.exchange.ask
        fields = {"profile": ask.cls, "thing": ask.object, "nth": str(ask.part)}
        fields["max"] = str(max(int(self.due_ms - now_ms), 1))
        if ask.key:
            fields["replay"] = ask.key
        if self.source:
            fields["parent"] = self.source
        if self.rank:
            fields["shelf"] = str(self.rank)
        if self.max_age_ms:
            fields["accept"] = str(max(int(self.max_age_ms), 1))
        if self.hints:
            fields["hints"] = "+".join(self.hints)
        if ask.known:
            fields["got"] = ask.known
        return fields
