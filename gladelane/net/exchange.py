"""One client request: its attempts and its single final answer. Here, only, the two sides meet."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import IntEnum

import msgspec

from ..interface import ClassSpec, Request
from ..operations.figures import Figures
from .wheel import Entry


class Code(IntEnum):
    SERVED = 0
    REFUSED = 1
    FAILED = 2


class Ask(msgspec.Struct, frozen=True, gc=False):
    """A request as the client worded it; texts go on to the caches unaltered."""

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


class Final(msgspec.Struct, frozen=True, gc=False):
    code: Code
    body: bytes = b""
    valid: bool = False  # the client's copy is the one that would be served
    come_back_ms: float = 0.0


def never() -> bool:
    """Of a request whose client cannot leave."""
    return False


@dataclass(slots=True, eq=False)
class Exchange:
    ask: Ask
    request: Request  # the same in the module's words
    deliver: Callable[[Final], None]
    spec: ClassSpec  # as it came: settings may change while it is open
    most: int  # attempts, likewise
    sends: int = 0  # as the module counts them, moot ones too
    open: dict[int, Attempt] = field(default_factory=dict)
    done: bool = False
    ran_ms: float = 0.0  # when the first of its ended attempts that may have run was written, 0: none did
    figures: Figures | None = None
    has_left: Callable[[], bool] = never  # looks whether its client has gone, also where that lies unread

    def finish(self, final: Final | None) -> None:
        """The first call ends the request; None when its client has gone and is owed nothing."""
        if self.done:
            return
        self.done = True
        if self.figures is not None:
            self.figures.inflight -= 1
            if final is None:
                self.figures.withdrawn += 1
            else:
                self.figures.answered(self.ask.cls, final.code)
        if final is not None:
            self.deliver(final)


@dataclass(slots=True, eq=False)
class Attempt:
    exchange: Exchange
    number: int
    store: str
    sent_ms: float
    due_ms: float
    source: str = ""  # none: a miss is not filled
    rank: int = 0
    max_age_ms: float = 0.0
    hints: tuple[str, ...] = ()
    aim_ms: float = 0.0  # within which an answer earns its full worth
    timer: Entry | None = None
    bound_ms: float = 0.0  # the purge that held when it was written: no older copy may answer it
    ran_ms: float = 0.0  # of a keyed request: since when this attempt may have run, or 0
    written_ms: float = 0.0  # 0 until a byte of it may have left
    span: int = 0  # of the director's trail, in which it was sent; 0: none is kept

    def fields(self, now_ms: float) -> dict[str, str]:
        """The request as it goes to a cache. Ages are rounded down, but 0 would mean no bound at all."""
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
