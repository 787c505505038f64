"""One client's connection: reads its frames, writes its answers, limits what it may cost, and closes it."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

from ..sockets import has_ended, has_unread, ms_since_last_data, peek_unread, shut_write_side
from .client_protocol import (
    Frame,
    FrameDecoder,
    FramingError,
    Type,
    encode_answer,
    encode_frame,
    encode_ready,
)
from .client_requests import FAILED, ClientRequests
from .client_requests import Shared as SharedByRequests
from .exchange import Exchange
from .streams import READ_BYTES, ClientReader

log = logging.getLogger(__name__)

# These limits follow from the protocol or the system, or bound what a client may cost. None depends on a
# deployment's settings.
FRAMES_AT_ONCE = 64  # of one client in one iteration of the loop, so that a flood delays no other client
UNSENT_BYTES = 524_288  # unsent answers on one connection, above which its requests are rejected
OVER_MOST = 256  # frames in a row above that; a client that reads its answers has 32 requests open at most
STALLED_MS = 10_000.0  # a client that reads no byte of its answers for so long is disconnected
FLOOD_STALLED_MS = 1_000.0  # likewise, once it has exceeded OVER_MOST
IDLE_MS = 4_200.0  # clients close after 4 s without a request, by the protocol; one that does not is closed
LINGER_MS = (
    500.0  # for the client's close after ours: many round trips; a request may cross ours within 50 ms
)
PAUSED_MS = 300.0  # an incomplete frame without a byte for so long does not delay the end of the process
FIRST_MS = 2_000.0  # a client without a usable frame so long after connecting is disconnected
FRAME_MS = 2_000.0  # and so is one whose frame does not end; the protocol has 3 s from connecting


class Shared(SharedByRequests, Protocol):
    """What all connections of clients share."""

    lingering: int  # connections shut here that wait for the client's close


class ClientConnection:
    """One client's connection. It ends in one of two ways. Either the client leaves: then no attempt begins
    or goes on for its open requests. Or this side closes it: open requests are answered, the write side is
    shut down, and what still arrives is discarded until the client closes too (a lingering close, RFC 9112
    section 9.6). A close with unread bytes would be a reset, which discards answers on their way."""

    def __init__(
        self,
        front: Shared,
        reader: ClientReader,
        writer: asyncio.StreamWriter,
        sock: socket.socket,
        queued_ms: float = 0.0,
    ) -> None:
        """`queued_ms`: since when it may have been in the system's queue; 0: it was accepted at once."""
        self.front = front
        self.reader = reader
        self.writer = writer
        self.sock = sock  # the transport's, for checks beside the stream
        self.requests = ClientRequests(front, self)
        self.goaway_ms = 0.0  # when it was asked to send no more requests; 0: it was not
        self.active_ms = self.born_ms = front.clock()
        self.proven = False  # has sent a usable frame
        self.partial_ms = 0.0  # since when a frame has been incomplete; 0: none is
        self.discards_input = False  # what arrives is discarded
        self.shut_ms = 0.0  # when the write side was shut down; 0: it is open
        self._taking = False  # received frames are being handled
        self._queued_ms = queued_ms  # until the first read
        self._came_ms = 0.0  # when the frames that are handled now arrived, at the latest
        self._lags = False  # more had arrived before the last of them was handled
        self._over = 0  # frames since it last read enough of its answers
        self._floods = False  # has exceeded OVER_MOST
        self._decoder = FrameDecoder()
        self._unsent = 0
        self._looked_to = 0  # bytes received that were searched for cancellations
        self._given_up: set[int] = set()  # the streams of those found
        writer.transport.set_write_buffer_limits(high=UNSENT_BYTES)

    @property
    def open(self) -> dict[int, Exchange]:
        """The requests that are open, by their stream."""
        return self.requests.open

    def answered(self) -> None:
        """A request was answered."""
        if self.front.drain.is_on:
            self.send_goaway()  # to a client that was accepted while the director drains
        self._shut_if_done()

    def unsent(self) -> int:
        """Bytes written that the system has not accepted."""
        return self.writer.transport.get_write_buffer_size()

    def buffered_bytes(self) -> int:
        """Bytes in memory for this client: unsent answers, open requests, the incomplete frame."""
        return self.unsent() + self._decoder.pending() + self.requests.buffered_bytes()

    def unread(self) -> bool:
        """Whether bytes were received that have not been read: they may be a request."""
        return bool(self.reader.waiting) or has_unread(self.sock)

    def arriving(self, now: float) -> bool:
        """Whether it may have sent a request: bytes are unread, or a frame is incomplete."""
        if self.discards_input:
            return False
        paused = now - self.active_ms > PAUSED_MS
        return self._taking or self.unread() or (bool(self.partial_ms) and not paused)

    def is_settled(self) -> bool:
        """Whether all that was received is answered, and the answers have left."""
        return not (self._taking or self.open or self.unsent() or self.unread())

    def stop_taking(self) -> None:
        """Discards what arrives from now on; open requests are answered before the close."""
        self.discards_input = True
        self._shut_if_done()

    def _shut_if_done(self) -> None:
        if self.discards_input and not self.open and not self.shut_ms and not self.writer.is_closing():
            self.shut_ms = self.front.clock()
            self.front.lingering += 1
            if self.unsent():
                self.writer.write_eof()  # once all is sent
            else:
                # at once: the transport would do it in the next iteration of the loop
                shut_write_side(self.sock)

    async def serve(self) -> None:
        """Reads until the client closes, whether or not it reads its answers: a close or a cancellation must
        not remain unread."""
        try:
            while data := await self.reader.read(READ_BYTES):
                if not self.discards_input:
                    await self._take(data)
        except OSError:
            pass  # the client has gone; its requests end below
        self.requests.end_all()
        self.writer.close()

    async def _take(self, data: bytes) -> None:
        self.active_ms = self.front.clock()
        self._came_ms = self._came_by(self.active_ms)
        self._lags = False
        self._taking = True
        frames: list[Frame] = []
        try:
            for frame in self._decoder.feed(data):
                self.partial_ms = 0.0
                frames.append(frame)
                if len(frames) == FRAMES_AT_ONCE:
                    self._handle_all(frames)
                    await asyncio.sleep(0)
                    self._lags = True
                    if self.discards_input:
                        return
            self._handle_all(frames)
        except FramingError as error:
            self._handle_all(frames)  # those before the error are complete
            log.warning("framing lost: %s", error)
            self.send(encode_answer(0, FAILED))
            self.stop_taking()
        finally:
            self._taking = False
            self._lags = self._lags and self.unread()
        if not self._decoder.pending():
            self.partial_ms = 0.0
        elif not self.partial_ms:
            self.partial_ms = self.active_ms

    def _came_by(self, now: float) -> float:
        """When what is read now arrived, at the latest, since the client's deadline counts from then. It may
        have waited with its connection for capacity, or behind earlier frames of the client. The lag of the
        event loop is added by the timer wheel."""
        if self._queued_ms:
            waited = min(ms_since_last_data(self.sock), now - self._queued_ms)
            self._queued_ms = 0.0
            return now - waited
        return self._came_ms if self._lags else now

    def _handle_all(self, frames: list[Frame]) -> None:
        """A request that was cancelled right after it was sent needs no answer. One that was followed by the
        client's close is rejected, since the client may still read (see `ClientRequests.end_all`)."""
        left = has_ended(self.sock)
        given_up = {frame.stream for frame in frames if frame.type == Type.GONE}
        for frame in frames:
            if frame.type == Type.REQUEST and (left or frame.stream in given_up):
                self.requests.reject_unless_cancelled(frame.stream, frame.stream in given_up)
            elif not self.discards_input:
                self._handle(frame)
        frames.clear()

    def _handle(self, frame: Frame) -> None:
        if frame.type == Type.GONE:
            self.requests.cancel(frame.stream)
            return
        slow = self._too_slow()
        if frame.type == Type.REQUEST and frame.stream:
            self.requests.take(frame, slow, self._came_ms)
        elif frame.type == Type.ASK_READY:
            self.proven = True
            self.send(encode_ready(frame.stream, self.front.drain.ready))
        else:
            log.warning("unexpected frame type=%d stream=%d", frame.type, frame.stream)
            self.send(encode_answer(0, FAILED))
        if self._floods:
            self.stop_taking()

    def has_left(self, stream: int) -> bool:
        """Whether the client waits no longer for an answer on this stream, as far as has been received: a
        loop that lags may handle a timer, a dial or a reply before it reads that."""
        unread = peek_unread(self.sock)
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
        """Whether it does not read its answers, so that further requests are rejected. Beyond OVER_MOST
        frames it is no longer read; its open requests are still answered."""
        if self.unsent() <= UNSENT_BYTES:
            self._over = 0
            return False
        self._over += 1
        if self._over > OVER_MOST:
            log.warning("client cut off: sends on, takes nothing unsent=%d", self.unsent())
            self._floods = True
        return True

    def send(self, data: bytes) -> None:
        """Sends a frame, unless the write side is closed."""
        if not self.writer.is_closing() and not self.shut_ms:
            self.writer.write(data)
            self.front.buffered_bytes += len(data)

    def send_goaway(self) -> None:
        """Asks the client, once, to send no more requests here."""
        if not self.goaway_ms:
            self.goaway_ms = self.front.clock()
            self.send(encode_frame(Type.NO_MORE, 0))

    def sweep(self, now: float) -> None:
        """Closes the connection if it was idle, stuck or incomplete for too long. Called periodically."""
        unsent = self.unsent()
        self._note_progress(unsent, now)
        idle = now - self.active_ms
        if unsent and self.shut_ms:
            self.shut_ms = now  # LINGER_MS counts from when all is sent
        if unsent and idle > (FLOOD_STALLED_MS if self._floods else STALLED_MS):
            log.info("client cut off unsent=%d", unsent)
            self.writer.transport.abort()
        elif self.writer.is_closing():
            return  # its last answers are being sent
        elif self.shut_ms:
            if now - self.shut_ms > LINGER_MS:
                self.writer.close()
        elif self.discards_input:
            return  # open requests are answered first
        elif self.partial_ms and now - self.partial_ms > FRAME_MS and not self._taking and not self.unread():
            log.warning("frame never ended")
            self.send(encode_answer(0, FAILED))
            self.stop_taking()
        elif not self.goaway_ms and self.front.drain.should_notify(self.born_ms, now):
            self.send_goaway()
        elif self.is_idle() and self._is_due_to_close(idle, now):
            self.stop_taking()

    def _note_progress(self, unsent: int, now: float) -> None:
        """A client that reads its answers is active."""
        if not unsent or unsent != self._unsent:
            self._unsent = unsent
            if unsent:
                self.active_ms = now

    def _is_due_to_close(self, idle_ms: float, now: float) -> bool:
        """Whether an idle connection should be closed."""
        if idle_ms > IDLE_MS or self.front.drain.should_close(self.goaway_ms, now):
            return True
        return not self.proven and now - self.born_ms > FIRST_MS

    def is_idle(self) -> bool:
        """Whether it may be closed: nothing is open, unsent or incomplete, as far as has been received."""
        busy = self.discards_input or self.open or self._taking or self.partial_ms or self.unsent()
        return not busy and not self.unread()
