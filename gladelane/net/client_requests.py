"""The requests of one client's connection: checked, admitted and answered, each once. Times are ms."""

from __future__ import annotations

import logging
from functools import partial
from typing import Protocol

import msgspec

from ..admin.drain import Drain
from .client_protocol import (
    Frame,
    InvalidRequestError,
    decode_request,
    encode_answer,
    peek_class,
)
from .director import Director
from .exchange import AnswerCode, ClientRequest, Exchange, FinalAnswer

log = logging.getLogger(__name__)

MOST_OPEN = 32  # requests on one connection, by the protocol
OUT_OF_ORDER = 1024  # stream numbers that came ahead of their turn on one connection

FAILED = FinalAnswer(AnswerCode.FAILED)
REFUSED = FinalAnswer(AnswerCode.REFUSED)


class Shared(Protocol):
    """What the requests of all clients share."""

    director: Director
    drain: Drain
    buffered_bytes: int

    def clock(self) -> float:
        """The time in ms."""

    def rejects_requests(self) -> bool:
        """Whether requests are rejected before they are decoded."""


class RequestOwner(Protocol):
    """The connection, as its requests use it."""

    goaway_ms: float  # when the client was asked to send no more requests; 0: it was not
    active_ms: float  # when the client last sent something
    proven: bool  # the client has sent a usable frame

    def has_left(self, stream: int) -> bool:
        """Whether the client waits no longer for an answer on this stream."""

    def send(self, data: bytes) -> None:
        """Sends a frame."""

    def answered(self) -> None:
        """A request was answered."""


class StreamNumbers:
    """The stream numbers that a connection has used: all up to one, and a few above it."""

    def __init__(self) -> None:
        self._upto = 0
        self._ahead: set[int] = set()

    def use(self, stream: int) -> bool:
        """Marks a number as used; returns whether it was new."""
        if stream <= self._upto or stream in self._ahead or len(self._ahead) >= OUT_OF_ORDER:
            return False
        self._ahead.add(stream)
        while self._upto + 1 in self._ahead:
            self._upto += 1
            self._ahead.remove(self._upto)
        return True


class ClientRequests:
    """The requests of one connection by their stream."""

    def __init__(self, shared: Shared, owner: RequestOwner) -> None:
        self.open: dict[int, Exchange] = {}
        self._shared = shared
        self._owner = owner
        self._streams = StreamNumbers()

    def buffered_bytes(self) -> int:
        """Bytes of the bodies of open requests."""
        return sum(len(exchange.ask.body) for exchange in self.open.values())

    def cancel(self, stream: int) -> None:
        """The client has given a request up."""
        exchange = self.open.pop(stream, None)
        if exchange is not None:
            self._shared.director.gone(exchange)

    def end_all(self) -> None:
        """The client sends nothing more. Whether it closed, or only shut its sending side down, shows once it
        is written to: so nothing goes on for its requests, and each is answered at once all the same."""
        while self.open:
            stream, exchange = self.open.popitem()
            final = FAILED if exchange.may_have_run() else REFUSED
            self._shared.director.gone(exchange)
            self._owner.send(encode_answer(stream, final))

    def reject_unless_cancelled(self, stream: int, is_cancelled: bool) -> None:
        """A request that the client no longer waits for, as far as has been received."""
        if self._streams.use(stream) and not is_cancelled:
            self._owner.send(encode_answer(stream, REFUSED))

    def take(self, frame: Frame, is_slow: bool, came_ms: float) -> None:
        """Takes in a request, which arrived at `came_ms`. `is_slow`: its client does not read its answers."""
        if not self._streams.use(frame.stream):
            log.warning("stream used twice stream=%d", frame.stream)
            self._owner.send(encode_answer(0, FAILED))
            return
        if len(self.open) >= MOST_OPEN:
            log.warning("more than %d requests open", MOST_OPEN)
            self._answer_undecoded(frame, FAILED)
            return
        if is_slow or self._is_rejected():
            self._owner.proven = True  # as far as can be seen: it was not decoded, which is not its fault
            self._answer_undecoded(frame, REFUSED)
            return
        ask = self._decode(frame)
        if ask is None:
            self._answer_undecoded(frame, FAILED)
            return
        self._owner.proven = True
        passed_ms = self._shared.clock() - came_ms
        if passed_ms >= 1.0:
            ask = msgspec.structs.replace(ask, wait_ms=max(ask.wait_ms - passed_ms, 0.0))
        self._admit(frame.stream, ask)

    def _is_rejected(self) -> bool:
        owner = self._owner
        return self._shared.rejects_requests() or self._shared.drain.rejects(owner.goaway_ms, owner.active_ms)

    def _decode(self, frame: Frame) -> ClientRequest | None:
        director = self._shared.director
        try:
            ask = decode_request(frame.payload, director.settings)
        except InvalidRequestError as error:
            log.warning("bad request stream=%d: %s", frame.stream, error)
            return None
        if director.disputes(ask):
            log.warning("open id asks for something else stream=%d id=%s", frame.stream, ask.id)
            return None
        return ask

    def _admit(self, stream: int, ask: ClientRequest) -> None:
        self._shared.buffered_bytes += len(ask.body)
        answered: list[FinalAnswer] = []
        try:
            exchange = self._shared.director.admit(
                ask,
                lambda final: self._answer(stream, final, answered),
                partial(self._owner.has_left, stream),
            )
        except Exception:  # an error ends this request only
            log.exception("request failed id=%s", ask.id)
            self._answer(stream, FAILED, answered)
            return
        if not answered:
            self.open[stream] = exchange

    def _answer(self, stream: int, final: FinalAnswer, answered: list[FinalAnswer]) -> None:
        """Answers a request once; `answered` may be filled before `admit` returns."""
        if answered:
            return
        answered.append(final)
        self.open.pop(stream, None)
        self._owner.send(encode_answer(stream, final))
        self._owner.answered()

    def _answer_undecoded(self, frame: Frame, final: FinalAnswer) -> None:
        """Answers a request that the director has not seen."""
        director = self._shared.director
        director.metrics.answered(peek_class(frame.payload, director.settings), final.code)
        self._owner.send(encode_answer(frame.stream, final))
