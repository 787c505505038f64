"""The requests of one client connection: checks, admits and answers each of them once. Times are in ms."""

from __future__ import annotations

import logging
from functools import partial
from typing import Protocol
from weakref import proxy

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
from .memory_budget import MemoryBudget, MemoryUse, request_bytes
from .stream_numbers import StreamNumbers

log = logging.getLogger(__name__)

MAX_OPEN_REQUESTS = 32  # on one connection, by the protocol

FAILED = FinalAnswer(AnswerCode.FAILED)
REFUSED = FinalAnswer(AnswerCode.REFUSED)


class RequestContext(Protocol):
    """What the requests of all client connections share."""

    director: Director
    drain: Drain
    memory: MemoryBudget

    def clock(self) -> float:
        """The current time in ms."""

    def rejects_requests(self) -> bool:
        """Whether requests are rejected before they are decoded."""


class RequestOwner(Protocol):
    """The part of a client connection that its requests use."""

    goaway_ms: float  # when the client was asked to send no more requests; 0: it was not
    last_active_ms: float  # when the client last sent something
    has_sent_valid_frame: bool  # by the client

    def is_client_gone(self, stream: int) -> bool:
        """Whether the client no longer waits for an answer on this stream."""

    def send(self, data: bytes) -> None:
        """Sends a frame."""

    def answered(self) -> None:
        """Called after a request was answered."""

    def close_gracefully(self) -> None:
        """Starts to close the connection; open requests are answered before."""


class ClientRequests:
    """The open requests of one connection by stream number."""

    __slots__ = ("_context", "_duplicates", "_owner", "_streams", "open")

    def __init__(self, context: RequestContext, owner: RequestOwner) -> None:
        self.open: dict[int, Exchange] = {}
        self._context = context
        # without a reference cycle, which would keep a closed connection until the next garbage collection
        self._owner: RequestOwner = proxy(owner)
        self._streams = StreamNumbers()
        self._duplicates: dict[int, int] = {}  # stream of an open request -> later requests on it

    def buffered_bytes(self) -> int:
        """The total size of the bodies of open requests."""
        return sum(len(exchange.ask.body) for exchange in self.open.values())

    def reserved_bytes(self) -> int:
        """The memory that is reserved for the open requests."""
        return sum(request_bytes(len(exchange.ask.body)) for exchange in self.open.values())

    def cancel(self, stream: int) -> None:
        """Ends a request that the client has cancelled."""
        self._duplicates.pop(stream, None)
        exchange = self.open.pop(stream, None)
        if exchange is not None:
            self._release(exchange.ask)
            self._context.director.handle_disconnect(exchange)

    def end_open_requests(self) -> None:
        """Ends and answers all open requests, after the client has stopped sending. A client that closed its
        connection cannot be told from one that shut down only its sending side and still reads. Therefore no
        attempt for its requests goes on, and each request is still answered, at once."""
        while self.open:
            stream, exchange = self.open.popitem()
            final = FAILED if exchange.may_have_run() else REFUSED
            self._release(exchange.ask)
            self._context.director.handle_disconnect(exchange)
            self._send_answer(stream, final)

    def reject(self, frame: Frame) -> None:
        """Rejects a request whose client has closed its sending side."""
        if self._use_stream(frame):
            self._owner.send(encode_answer(frame.stream, REFUSED))

    def refuse(self, frame: Frame) -> None:
        """Refuses a request that was not decoded. `frame` may have the start of its payload only."""
        if self._use_stream(frame):
            self._answer_undecoded(frame, REFUSED)

    def skip_cancelled(self, stream: int) -> None:
        """Takes note of a request that its client has already cancelled, and which gets no answer."""
        self._streams.use(stream)

    def handle(self, frame: Frame, is_slow: bool, received_ms: float) -> None:
        """Checks a request that arrived at `received_ms`, and admits, rejects or fails it. `is_slow` means
        that the client does not read its answers."""
        if not self._use_stream(frame):
            return
        if len(self.open) >= MAX_OPEN_REQUESTS:
            log.warning("more than %d requests open", MAX_OPEN_REQUESTS)
            self._answer_undecoded(frame, FAILED)
            return
        if is_slow or self._is_rejected():
            # the frame was not decoded, for reasons that are not the client's fault, so it counts as valid
            self._owner.has_sent_valid_frame = True
            self._answer_undecoded(frame, REFUSED)
            return
        client_request = self._decode(frame)
        if client_request is None:
            self._answer_undecoded(frame, FAILED)
            return
        self._owner.has_sent_valid_frame = True
        if not self._context.memory.try_reserve(MemoryUse.REQUESTS, request_bytes(len(client_request.body))):
            log.warning("no memory for a request bytes=%d", len(client_request.body))
            self._answer_undecoded(frame, REFUSED)
            return
        elapsed_ms = self._context.clock() - received_ms
        if elapsed_ms >= 1.0:
            client_request = msgspec.structs.replace(
                client_request, wait_ms=max(client_request.wait_ms - elapsed_ms, 0.0)
            )
        self._admit(frame.stream, client_request)

    def _use_stream(self, frame: Frame) -> bool:
        """Marks the stream of a request as used. Returns False if it was used before; the request then fails
        on its own stream, after the open request there, if there is one, was answered."""
        if frame.stream in self.open:
            self._add_duplicate(frame)
            return False
        if not self._streams.use(frame.stream):
            log.warning("stream number reused stream=%d", frame.stream)
            self._answer_undecoded(frame, FAILED)
            return False
        return True

    def _add_duplicate(self, frame: Frame) -> None:
        log.warning("stream number of an open request reused stream=%d", frame.stream)
        if len(self.open) + sum(self._duplicates.values()) >= MAX_OPEN_REQUESTS:
            self._owner.send(encode_answer(0, FAILED))
            self._owner.close_gracefully()
            return
        self._count_answer(frame, FAILED)
        self._duplicates[frame.stream] = self._duplicates.get(frame.stream, 0) + 1

    def _is_rejected(self) -> bool:
        owner = self._owner
        return self._context.rejects_requests() or self._context.drain.rejects(
            owner.goaway_ms, owner.last_active_ms
        )

    def _decode(self, frame: Frame) -> ClientRequest | None:
        director = self._context.director
        try:
            client_request = decode_request(frame.payload, director.settings)
        except InvalidRequestError as error:
            log.warning("invalid request stream=%d: %s", frame.stream, error)
            return None
        if director.conflicts_with_open_request(client_request):
            log.warning(
                "id is in use by an open request for another object stream=%d id=%s",
                frame.stream,
                client_request.id,
            )
            return None
        return client_request

    def _admit(self, stream: int, client_request: ClientRequest) -> None:
        answered: list[FinalAnswer] = []
        try:
            exchange = self._context.director.admit(
                client_request,
                lambda final: self._answer(stream, client_request, final, answered),
                partial(self._owner.is_client_gone, stream),
            )
        except Exception:  # an error fails this request only
            log.exception("request failed id=%s", client_request.id)
            self._answer(stream, client_request, FAILED, answered)
            return
        if not answered:
            self.open[stream] = exchange

    def _release(self, client_request: ClientRequest) -> None:
        self._context.memory.release(MemoryUse.REQUESTS, request_bytes(len(client_request.body)))

    def _answer(
        self, stream: int, client_request: ClientRequest, final: FinalAnswer, answered: list[FinalAnswer]
    ) -> None:
        """Answers a request unless `answered` already holds its answer. This may be called before `admit`
        returns."""
        if answered:
            return
        answered.append(final)
        self._release(client_request)
        self.open.pop(stream, None)
        self._send_answer(stream, final)
        self._owner.answered()

    def _send_answer(self, stream: int, final: FinalAnswer) -> None:
        """Sends the answer of an open request, and fails the later requests that used its stream."""
        self._owner.send(encode_answer(stream, final))
        for _ in range(self._duplicates.pop(stream, 0)):
            self._owner.send(encode_answer(stream, FAILED))

    def _answer_undecoded(self, frame: Frame, final: FinalAnswer) -> None:
        """Answers a request that was not passed to the director."""
        self._count_answer(frame, final)
        self._owner.send(encode_answer(frame.stream, final))

    def _count_answer(self, frame: Frame, final: FinalAnswer) -> None:
        director = self._context.director
        director.metrics.answered(peek_class(frame.payload, director.settings), final.code)
