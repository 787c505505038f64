"""One client's connection: its streams, what it may cost, and how it ends."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from functools import partial
from typing import Protocol

from ..operations.drain import Drain
from ..sockets import has_ended, has_unread, look_ahead, shut_write_side
from .director import Director
from .exchange import Code, Exchange, Final
from .frames import (
    BadRequest,
    Frame,
    FrameDecoder,
    FramingLost,
    Type,
    decode_request,
    encode_answer,
    encode_frame,
    encode_ready,
    peek_class,
)
from .streams import READ_BYTES, Reader

log = logging.getLogger(__name__)

# The figures below are the protocol's, or the system's, or bounds on what a client may cost; none follows
# from a deployment's settings, so they hold for any customer.
FRAMES_AT_ONCE = 64  # of one client in a turn of the loop, so that a flood holds up nobody else
MOST_OPEN = 32  # the protocol's
UNSENT_BYTES = 524_288  # unsent answers on one connection above which it is given no further work
OVER_MOST = 256  # frames in a row above that: a client that knows of its answers has 32 open at the most
STALLED_MS = 10_000.0  # a client that takes no byte of its answers for so long is cut off
IDLE_MS = 4_200.0  # clients close after 4 s without a request, by the protocol; one that does not is closed
LINGER_MS = 500.0  # for a client's own close after ours: many round trips; a request crosses within 50 ms
PAUSED_MS = 300.0  # half a frame that has brought no byte for so long holds up no end of the process
FIRST_MS = 2_000.0  # a client that has sent no usable frame so long after connecting is cut off
FRAME_MS = 2_000.0  # and so is one whose frame does not end; 3 s after connecting it is owed some end
OUT_OF_ORDER = 1024  # stream numbers seen ahead of their turn on one connection

FAILED = Final(Code.FAILED)


class Shared(Protocol):
    """What all connections of clients share."""

    director: Director
    clock: Callable[[], float]
    drain: Drain
    held: int
    lingering: int

    def turns_away(self) -> bool:
        """Whether a request is refused unread."""


class Streams:
    """The stream numbers a connection has used: all up to a mark, and the few that came before their turn."""

    def __init__(self) -> None:
        self._upto = 0
        self._ahead: set[int] = set()

    def use(self, stream: int) -> bool:
        """Whether the number is new."""
        if stream <= self._upto or stream in self._ahead or len(self._ahead) >= OUT_OF_ORDER:
            return False
        self._ahead.add(stream)
        while self._upto + 1 in self._ahead:
            self._upto += 1
            self._ahead.remove(self._upto)
        return True


class ClientConnection:
    """One client's connection. It ends in one of two ways: the client leaves, and nobody waits for what it
    had open; or it is closed from here, orderly: what is open is answered, the write side is shut down, what
    still comes is read and thrown away until the client closes too (a lingering close, RFC 9112 section 9.6).
    A plain close over unread bytes would be a reset, which takes answers under way along."""

    def __init__(
        self, front: Shared, reader: Reader, writer: asyncio.StreamWriter, sock: socket.socket
    ) -> None:
        self.front = front
        self.reader = reader
        self.writer = writer
        self.sock = sock  # the transport's, for looks beside it
        self.open: dict[int, Exchange] = {}
        self.told_ms = 0.0  # when it was told to send no more requests
        self.active_ms = self.born_ms = front.clock()
        self.proven = False  # has sent a frame that could be used
        self.partial_ms = 0.0  # since when a frame has been under way, 0: none is
        self.discards_input = False  # nothing that comes is taken any more
        self.shut_ms = 0.0  # when the write side was shut down, 0: it is open
        self._taking = False  # in the middle of what it sent
        self._over = 0  # requests since it last took enough of its answers
        self._decoder = FrameDecoder()
        self._streams = Streams()
        self._unsent = 0
        self._looked_to = 0  # up to which byte that has come cancels were looked for
        self._given_up: set[int] = set()  # and which streams they name
        writer.transport.set_write_buffer_limits(high=UNSENT_BYTES)

    def unsent(self) -> int:
        return self.writer.transport.get_write_buffer_size()

    def held(self) -> int:
        """Bytes kept for this client: what it has not taken, its open requests, the frame under way."""
        return self.unsent() + self._decoder.pending() + sum(len(e.ask.body) for e in self.open.values())

    def unread(self) -> bool:
        """Whether the reader or the system holds bytes: a request that has come must not meet a close."""
        return bool(self.reader.waiting) or has_unread(self.sock)

    def arriving(self, now: float) -> bool:
        """Whether something that it sent may still be a request: bytes unread, or a frame half read."""
        if self.discards_input:
            return False
        paused = now - self.active_ms > PAUSED_MS
        return self._taking or self.unread() or (bool(self.partial_ms) and not paused)

    def stop_taking(self) -> None:
        """What comes from here on is thrown away; what is open is answered before the close."""
        self.discards_input = True
        self._shut_if_done()

    def _shut_if_done(self) -> None:
        if self.discards_input and not self.open and not self.shut_ms and not self.writer.is_closing():
            self.shut_ms = self.front.clock()
            self.front.lingering += 1
            if self.unsent():
                self.writer.write_eof()  # once all has left
            else:
                # at once: the transport would do it a turn of the loop later
                shut_write_side(self.sock)

    async def serve(self) -> None:
        """Reads on whatever the client does with its answers: that it has left, or given a request up, must
        not lie behind bytes that nobody reads."""
        try:
            while data := await self.reader.read(READ_BYTES):
                if not self.discards_input:
                    await self._take(data)
        except OSError:
            pass  # the client has gone; what it had open is given up below
        for exchange in list(self.open.values()):
            self.front.director.gone(exchange)
        self.open.clear()
        self.writer.close()

    async def _take(self, data: bytes) -> None:
        self.active_ms = self.front.clock()
        self._taking = True
        frames: list[Frame] = []
        try:
            for frame in self._decoder.feed(data):
                self.partial_ms = 0.0
                frames.append(frame)
                if len(frames) == FRAMES_AT_ONCE:
                    self._handle_all(frames)
                    await asyncio.sleep(0)
                    if self.discards_input:
                        return
            self._handle_all(frames)
        except FramingLost as error:
            self._handle_all(frames)  # what stood before is whole
            log.warning("framing lost: %s", error)
            self._send(encode_answer(0, FAILED))
            self.stop_taking()
        finally:
            self._taking = False
        if not self._decoder.pending():
            self.partial_ms = 0.0
        elif not self.partial_ms:
            self.partial_ms = self.active_ms

    def _handle_all(self, frames: list[Frame]) -> None:
        """Nobody waits for a request that its client gave up, or left behind, right after it was sent."""
        left = has_ended(self.sock)
        given_up = {frame.stream for frame in frames if frame.type == Type.GONE}
        for frame in frames:
            if frame.type == Type.REQUEST and (left or frame.stream in given_up):
                self._streams.use(frame.stream)
            elif not self.discards_input:
                self._handle(frame)
        frames.clear()

    def _handle(self, frame: Frame) -> None:
        if frame.type == Type.GONE:
            exchange = self.open.pop(frame.stream, None)
            if exchange is not None:
                self.front.director.gone(exchange)
            return
        slow = self._too_slow()
        if frame.type == Type.REQUEST and frame.stream:
            self._request(frame, slow)
        elif frame.type == Type.ASK_READY:
            self.proven = True
            self._send(encode_ready(frame.stream, self.front.drain.ready))
        else:
            log.warning("unexpected frame type=%d stream=%d", frame.type, frame.stream)
            self._send(encode_answer(0, FAILED))

    def _request(self, frame: Frame, slow: bool) -> None:
        stream = frame.stream
        if not self._streams.use(stream):
            log.warning("stream used twice stream=%d", stream)
            self._send(encode_answer(0, FAILED))
            return
        if len(self.open) >= MOST_OPEN:
            log.warning("more than %d requests open", MOST_OPEN)
            self._answer_unread(frame, FAILED)
            return
        drain = self.front.drain
        if slow or self.front.turns_away() or drain.turns_away(self.told_ms, self.active_ms):
            self._answer_unread(frame, Final(Code.REFUSED))
            return
        try:
            ask = decode_request(frame.payload, self.front.director.settings)
        except BadRequest as error:
            log.warning("bad request stream=%d: %s", stream, error)
            self._answer_unread(frame, FAILED)
            return
        front = self.front
        if front.director.disputes(ask):
            log.warning("open id asks for something else stream=%d id=%s", stream, ask.id)
            self._answer_unread(frame, FAILED)
            return
        self.proven = True
        front.held += len(ask.body)
        answered: list[Final] = []
        try:
            exchange = front.director.admit(
                ask, lambda final: self._answer(stream, final, answered), partial(self.has_left, stream)
            )
        except Exception:  # a fault here ends this request only
            log.exception("request failed id=%s", ask.id)
            self._answer(stream, FAILED, answered)
            return
        if not answered:
            self.open[stream] = exchange

    def has_left(self, stream: int) -> bool:
        """Whether nobody waits for what is open there, as far as has come: a loop that is behind may act on
        a timer, a dial or a late answer before it reads that."""
        unread = look_ahead(self.sock)
        if unread.ended or self.reader.exception() is not None:
            return True
        if self.discards_input or not (unread.data or self.reader.waiting or self._decoder.pending()):
            return False
        come = self.reader.fed + len(unread.data)
        if come != self._looked_to:
            self._looked_to = come
            self._given_up = self._decoder.given_up(self.reader.peek() + unread.data)
        return stream in self._given_up

    def _too_slow(self) -> bool:
        """Whether it has not taken what it was answered: more work for it would only lie here. One that sends
        on and on all the same, whatever it is that has to be answered, is cut off."""
        if self.unsent() <= UNSENT_BYTES:
            self._over = 0
            return False
        self._over += 1
        if self._over > OVER_MOST:
            log.warning("client cut off: sends on, takes nothing unsent=%d", self.unsent())
            self.discards_input = True
            self.writer.transport.abort()
        return True

    def _answer(self, stream: int, final: Final, answered: list[Final]) -> None:
        """`answered` may be filled before `admit` returns; nothing is answered twice."""
        if answered:
            return
        answered.append(final)
        self.open.pop(stream, None)
        self._send(encode_answer(stream, final))
        if self.front.drain.on:
            self.send_goaway()  # a newcomer, let in while the director empties
        self._shut_if_done()

    def _answer_unread(self, frame: Frame, final: Final) -> None:
        """Without the module: it has not heard of this request."""
        director = self.front.director
        director.figures.answered(peek_class(frame.payload, director.settings), final.code)
        self._send(encode_answer(frame.stream, final))

    def _send(self, data: bytes) -> None:
        if not self.writer.is_closing() and not self.shut_ms:
            self.writer.write(data)
            self.front.held += len(data)

    def send_goaway(self) -> None:
        if not self.told_ms:
            self.told_ms = self.front.clock()
            self._send(encode_frame(Type.NO_MORE, 0))

    def sweep(self, now: float) -> None:
        unsent = self.unsent()
        if not unsent or unsent != self._unsent:
            self._unsent = unsent
            if unsent:
                self.active_ms = now
        idle = now - self.active_ms
        if unsent and self.shut_ms:
            self.shut_ms = now  # the client's own close is waited for from when all has left
        if unsent and idle > STALLED_MS:
            log.info("client cut off unsent=%d", unsent)
            self.writer.transport.abort()
        elif self.writer.is_closing():
            return  # its last answers are on their way
        elif self.shut_ms:
            if now - self.shut_ms > LINGER_MS:
                self.writer.close()
        elif self.discards_input:
            return  # what is open is waited for
        elif self.partial_ms and now - self.partial_ms > FRAME_MS and not self._taking and not self.unread():
            log.warning("frame never ended")
            self._send(encode_answer(0, FAILED))
            self.stop_taking()
        elif not self.told_ms and self.front.drain.tells(self.born_ms, now):
            self.send_goaway()
        elif self.is_idle() and (
            idle > IDLE_MS
            or (not self.proven and now - self.born_ms > FIRST_MS)
            or self.front.drain.closes(self.told_ms, now)
        ):
            self.stop_taking()

    def is_idle(self) -> bool:
        """May be closed at any time: nothing is owed here, nor under way as far as can be seen."""
        busy = self.discards_input or self.open or self._taking or self.partial_ms or self.unsent()
        return not busy and not self.unread()
