"""One client connection: reads its frames, writes the answers, limits its resource use, and closes it."""

from __future__ import annotations

import asyncio
import logging
import socket
from typing import Protocol

from ..sockets import (
    has_ended,
    has_unread,
    ms_since_last_data,
    peek_unread,
    shut_write_side,
    unacknowledged_bytes,
)
from .client_protocol import (
    Frame,
    FrameDecoder,
    FrameType,
    FramingError,
    SkippedFrame,
    encode_answer,
    encode_frame,
    encode_ready,
)
from .client_requests import FAILED, ClientRequests, RequestContext
from .connection_end import Step, next_step
from .delivery import Delivery
from .exchange import Exchange
from .frame_memory import MAX_REQUEST_FRAME_BYTES, SILENCE_MS
from .memory_budget import MemoryUse
from .streams import Reader, Writer

log = logging.getLogger(__name__)

# These limits follow from the protocol or the operating system, or bound the resources that one client may
# use. None of them depends on a deployment's settings.

#: Frames of one client that are handled in one iteration of the event loop. The limit keeps a client that
#: floods the director from delaying the others.
MAX_FRAMES_PER_TURN = 64
MAX_UNSENT_BYTES = 524_288  # unsent answers on one connection; above this its new requests are rejected
#: Frames that a client may send in a row while it is above MAX_UNSENT_BYTES. A client that reads its answers
#: has at most 32 open requests.
MAX_FRAMES_WHILE_BLOCKED = 256
#: An incomplete frame that has received no byte for this long does not delay the end of the process.
INCOMPLETE_FRAME_PAUSE_MS = 300.0
UNRESERVED_FRAME_BYTES = 512  # of an incomplete frame; a connection's own memory has room for them


class ConnectionContext(RequestContext, Protocol):
    """What all client connections share."""

    lingering: int  # connections whose write side was shut down here and that wait for the client's close
    read_bytes: int  # how many bytes of one client are read at once

    def reserve_frame(self, conn: ClientConnection, size: int) -> bool:
        """Reserves memory for `size` further bytes of the client's incomplete frame. Returns False if there
        is no room."""

    def release_frame(self, conn: ClientConnection, size: int) -> None:
        """Ends the reservation of all bytes of the client's incomplete frame."""


class ClientConnection:
    """One client connection, which ends in one of two ways.

    - The client disconnects: no attempt is started or continued for its open requests.
    - This side closes the connection: open requests are answered, the write side is shut down, and input that
      still arrives is discarded until the client closes too (a lingering close, RFC 9112 section 9.6).
      Closing a socket with unread bytes would reset the connection and so discard answers in transit.
    """

    __slots__ = (
        "__dict__",  # empty, unless a test replaces a method
        "__weakref__",
        "_cancelled_streams",
        "_decoder",
        "_frames_while_blocked",
        "_has_backlog",
        "_queued_ms",
        "_received_ms",
        "_reserved_bytes",
        "_searched_bytes",
        "_skipped_frame",
        "accepted_ms",
        "context",
        "delivery",
        "discards_input",
        "goaway_ms",
        "has_sent_valid_frame",
        "incomplete_since_ms",
        "is_flooding",
        "is_handling_frames",
        "last_active_ms",
        "reader",
        "requests",
        "sock",
        "write_closed_ms",
        "writer",
    )

    def __init__(
        self,
        context: ConnectionContext,
        reader: Reader,
        writer: Writer,
        sock: socket.socket,
        queued_ms: float = 0.0,
    ) -> None:
        """`queued_ms` is the earliest time at which the connection may have entered the system's accept
        queue; 0 means that it was accepted at once."""
        self.context = context
        self.reader = reader
        self.writer = writer
        self.sock = sock  # the transport's socket, for checks outside of the stream
        self.requests = ClientRequests(context, self)
        self.delivery = Delivery()
        self.goaway_ms = 0.0  # when the client was asked to send no more requests; 0: it was not
        self.last_active_ms = self.accepted_ms = context.clock()
        self.has_sent_valid_frame = False
        self.incomplete_since_ms = 0.0  # since when a frame has been incomplete; 0: no frame is
        self.discards_input = False  # received bytes are discarded
        self.write_closed_ms = 0.0  # when the write side was shut down; 0: it is open
        self.is_flooding = False  # the client has exceeded MAX_FRAMES_WHILE_BLOCKED
        self.is_handling_frames = False  # frames that were received completely
        self._queued_ms = queued_ms  # reset to 0 by the first read
        self._received_ms = 0.0  # latest time at which the frames being handled can have arrived
        self._has_backlog = False  # more bytes had arrived before the last of these frames was handled
        self._frames_while_blocked = 0  # frames in a row received while above MAX_UNSENT_BYTES
        self._decoder = FrameDecoder()
        self._reserved_bytes = 0  # for the incomplete frame
        self._skipped_frame: SkippedFrame | None = None  # the incomplete frame, if it is discarded
        self._searched_bytes = 0  # count of received bytes at the latest search for cancellations
        self._cancelled_streams: set[int] = set()  # streams whose cancellation that search found

    @property
    def open(self) -> dict[int, Exchange]:
        """The open requests by stream number."""
        return self.requests.open

    def answered(self) -> None:
        """Called after a request was answered."""
        if self.context.drain.is_draining:
            self.send_goaway()  # has an effect for a client that was accepted while the director drains
        self._close_write_side_if_done()

    def unsent_bytes(self) -> int:
        """The number of written bytes that the operating system has not accepted yet."""
        return self.writer.transport.get_write_buffer_size()

    def unacknowledged_bytes(self, now: float | None = None) -> int:
        """The number of written bytes that the client's system has not acknowledged. They are lost if the
        connection is reset. `now` is the time of the measurement, if it is known."""
        if not self.delivery.is_complete:
            count = self.unsent_bytes() + unacknowledged_bytes(self.sock)
            self.delivery.update(count, self.context.clock() if now is None else now)
        return self.delivery.unacknowledged

    def buffered_bytes(self) -> int:
        """The number of bytes held in memory for this client: unsent answers, open requests, and the
        incomplete frame."""
        return self.unsent_bytes() + self._decoder.incomplete_bytes() + self.requests.buffered_bytes()

    @property
    def reserved_bytes(self) -> int:
        """The number of bytes that are reserved for the incomplete frame."""
        return self._reserved_bytes

    def frame_bytes(self) -> int:
        """The size that the incomplete frame will have; 0 if there is none."""
        return self._decoder.frame_bytes()

    def has_unread_bytes(self) -> bool:
        """Whether received bytes have not been read yet. They may be a request."""
        return bool(self.reader.buffered_bytes) or has_unread(self.sock)

    def may_have_sent_request(self, now: float) -> bool:
        """Whether the client may have sent a request that was not handled yet: bytes are unread, or a frame
        is incomplete."""
        if self.discards_input:
            return False
        is_paused = now - self.last_active_ms > INCOMPLETE_FRAME_PAUSE_MS
        return (
            self.is_handling_frames
            or self.has_unread_bytes()
            or (bool(self.incomplete_since_ms) and not is_paused)
        )

    def is_settled(self) -> bool:
        """Whether all received requests are answered and all answers have been sent."""
        return not (self.is_handling_frames or self.open or self.unsent_bytes() or self.has_unread_bytes())

    def has_backlog(self, now: float) -> bool:
        """Whether answers wait for the client to read."""
        return bool(self.unacknowledged_bytes(now)) and self.delivery.has_backlog(now)

    def is_closing(self) -> bool:
        """Whether the socket is closed, or about to be once the last bytes are sent."""
        return self.writer.is_closing()

    def is_receiving(self) -> bool:
        """Whether received bytes are being handled or wait to be read."""
        return self.is_handling_frames or self.has_unread_bytes()

    def close_gracefully(self) -> None:
        """Starts to close the connection: further input is discarded, and open requests are answered before
        the write side is shut down."""
        self.discards_input = True
        self._close_write_side_if_done()

    def _close_write_side_if_done(self) -> None:
        if (
            self.discards_input
            and not self.open
            and not self.write_closed_ms
            and not self.writer.is_closing()
        ):
            self.write_closed_ms = self.context.clock()
            self.context.lingering += 1
            if self.unsent_bytes():
                self.writer.write_eof()  # takes effect once all bytes are sent
            else:
                # takes effect at once; the transport would wait for the next iteration of the event loop
                shut_write_side(self.sock)

    async def serve(self) -> None:
        """Reads until the client closes. Reading goes on even if the client does not read its answers, so
        that its close and its cancellations are noticed."""
        try:
            while data := await self.reader.read(self.context.read_bytes):
                if not self.discards_input:
                    await self._handle_input(data)
        except OSError:
            pass  # the client has disconnected; its requests are ended below
        self.requests.end_open_requests()
        self.writer.close()
        self.release()

    def release(self) -> None:
        """Drops the received bytes at the end of the connection, which may stay referred to for longer."""
        self._release_frame()
        self._decoder = FrameDecoder()
        self.reader.release()

    async def _handle_input(self, data: bytes) -> None:
        self.last_active_ms = self.context.clock()
        self._received_ms = self._latest_receipt_ms(self.last_active_ms)
        self._has_backlog = False
        self.is_handling_frames = True
        frames: list[Frame] = []
        try:
            for frame in self._decoder.feed(data):
                self.incomplete_since_ms = 0.0
                frames.append(frame)
                if len(frames) == MAX_FRAMES_PER_TURN:
                    self._handle_all(frames)
                    await asyncio.sleep(0)
                    self._has_backlog = True
                    if self.discards_input:
                        return
            self._handle_all(frames)
        except FramingError as error:
            self._handle_all(frames)  # the frames before the error are complete
            log.warning("invalid framing: %s", error)
            self.send(encode_answer(0, FAILED))
            self.close_gracefully()
        finally:
            self.is_handling_frames = False
            self._has_backlog = self._has_backlog and self.has_unread_bytes()
        if not self._decoder.incomplete_bytes():
            self.incomplete_since_ms = 0.0
        elif not self.incomplete_since_ms:
            self.incomplete_since_ms = self.last_active_ms
        self._reserve_incomplete_frame()

    def _reserve_incomplete_frame(self) -> None:
        """Reserves memory for what was received of the incomplete frame. If there is no room, the frame is
        discarded."""
        size = self._decoder.incomplete_bytes()
        if size <= UNRESERVED_FRAME_BYTES or self.discards_input:
            self._release_frame()
        elif size < self._reserved_bytes:  # of an earlier frame
            self._release_frame()
            self._reserve_incomplete_frame()
        elif self.context.reserve_frame(self, size - self._reserved_bytes):
            self._reserved_bytes = size
        else:
            self.discard_incomplete_frame()

    def _release_frame(self) -> None:
        size, self._reserved_bytes = self._reserved_bytes, 0
        if size:
            self.context.release_frame(self, size)

    def discard_incomplete_frame(self) -> None:
        """Drops what was received of the incomplete frame, and discards the rest of it as it arrives. A
        request is refused once it has arrived, since the client may still be writing."""
        log.warning("no memory for an incomplete frame bytes=%d", self._decoder.frame_bytes())
        self._skipped_frame = self._decoder.skip_incomplete_frame()
        self._release_frame()
        self.reader.discard(self._skipped_frame.missing_bytes, self._handle_skipped_frame)

    def gives_way(self, now: float) -> bool:
        """Whether the connection may be closed so that another client is accepted: its only frame is
        incomplete and would be refused, and is longer than requests are or has received no byte for long."""
        frame = self._skipped_frame
        if frame is None or self.open or self.unacknowledged_bytes(now) or self.discards_input:
            return False
        if frame.frame_bytes > MAX_REQUEST_FRAME_BYTES:
            return True
        return ms_since_last_data(self.sock) >= SILENCE_MS and now - self.last_active_ms >= SILENCE_MS

    def refuse_skipped_frame(self) -> None:
        """Refuses the frame that is discarded, although it is not complete, and closes the connection."""
        self._handle_skipped_frame()
        self.close_gracefully()

    def _handle_skipped_frame(self) -> None:
        """Answers a frame that was discarded, once all of it has arrived."""
        frame, self._skipped_frame = self._skipped_frame, None
        if frame is None or self.discards_input or self.writer.is_closing():
            return
        self.last_active_ms = self.context.clock()
        self.incomplete_since_ms = 0.0
        if frame.type == FrameType.REQUEST and frame.stream:
            self.requests.refuse(Frame(frame.type, frame.stream, frame.payload))
        else:
            log.warning("unexpected frame type=%d stream=%d", frame.type, frame.stream)
            self.send(encode_answer(0, FAILED))

    def _latest_receipt_ms(self, now: float) -> float:
        """The latest time at which the bytes being read now can have arrived. The client's deadline counts
        from then. The bytes may have waited with their connection in the accept queue, or behind earlier
        frames of the client. The lag of the event loop is accounted for separately, by the timer wheel."""
        if self._queued_ms:
            waited_ms = min(ms_since_last_data(self.sock), now - self._queued_ms)
            self._queued_ms = 0.0
            return now - waited_ms
        return self._received_ms if self._has_backlog else now

    def _handle_all(self, frames: list[Frame]) -> None:
        """Handles frames in order. A request that a later one of these frames cancels gets no answer. A
        request that was followed by the client's close is rejected, since the client may still read (see
        `ClientRequests.end_open_requests`)."""
        has_closed = has_ended(self.sock)
        cancelled_at = {frame.stream: at for at, frame in enumerate(frames) if frame.type == FrameType.GONE}
        for at, frame in enumerate(frames):
            is_request = frame.type == FrameType.REQUEST and frame.stream
            if is_request and cancelled_at.get(frame.stream, -1) > at:
                self.requests.skip_cancelled(frame.stream)
            elif is_request and has_closed:
                self.requests.reject(frame)
            elif not self.discards_input:
                self._handle(frame)
        frames.clear()

    def _handle(self, frame: Frame) -> None:
        if frame.type == FrameType.GONE:
            self.requests.cancel(frame.stream)
            return
        is_slow = self._reads_too_slowly()
        if frame.type == FrameType.REQUEST and frame.stream:
            self.requests.handle(frame, is_slow, self._received_ms)
        elif frame.type == FrameType.ASK_READY:
            self.has_sent_valid_frame = True
            self.send(encode_ready(frame.stream, self.context.drain.is_ready))
        else:
            log.warning("unexpected frame type=%d stream=%d", frame.type, frame.stream)
            self.send(encode_answer(0, FAILED))
        if self.is_flooding:
            self.close_gracefully()

    def is_client_gone(self, stream: int) -> bool:
        """Whether the received bytes, read or not, show that the client no longer waits for an answer on this
        stream. An event loop that lags may handle a timer, a dial or a reply before it reads these bytes."""
        unread = peek_unread(self.sock)
        if unread.ended or self.reader.exception() is not None:
            return True
        if self.discards_input or not (
            unread.data or self.reader.buffered_bytes or self._decoder.incomplete_bytes()
        ):
            return False
        received_bytes = self.reader.received_bytes + len(unread.data)
        if received_bytes != self._searched_bytes:
            self._searched_bytes = received_bytes
            following = self.reader.peek() + unread.data[self.reader.discard_bytes :]
            self._cancelled_streams = self._decoder.find_cancelled_streams(following)
        return stream in self._cancelled_streams

    def _reads_too_slowly(self) -> bool:
        """Whether the client does not read its answers, so that its further requests are rejected. Counts one
        frame. Beyond MAX_FRAMES_WHILE_BLOCKED frames the client's input is discarded; its open requests are
        still answered."""
        if self.unsent_bytes() <= MAX_UNSENT_BYTES:
            self._frames_while_blocked = 0
            return False
        self._frames_while_blocked += 1
        if self._frames_while_blocked > MAX_FRAMES_WHILE_BLOCKED:
            log.warning(
                "disconnecting client: sends requests but reads no answers unsent=%d", self.unsent_bytes()
            )
            self.is_flooding = True
        return True

    def send(self, data: bytes) -> None:
        """Sends a frame unless the write side is closed."""
        if not self.writer.is_closing() and not self.write_closed_ms:
            self.writer.write(data)
            self.delivery.add_written(len(data), self.context.clock())
            self.context.memory.add(MemoryUse.ANSWERS, len(data))

    def send_goaway(self) -> None:
        """Asks the client to send no more requests on this connection. Only the first call has an effect."""
        if not self.goaway_ms:
            self.goaway_ms = self.context.clock()
            self.send(encode_frame(FrameType.NO_MORE, 0))

    def sweep(self, now: float) -> None:
        """Notifies or ends the connection if it is time to, as `connection_end` decides. Called
        periodically."""
        if self.unacknowledged_bytes(now) and self.delivery.progress_ms == now:
            self.last_active_ms = now  # the client has read some of its answers
        match next_step(self, self.context.drain, now):
            case Step.ABORT:
                log.info("disconnecting stalled client unacknowledged=%d", self.delivery.unacknowledged)
                self.writer.transport.abort()
            case Step.CLOSE:
                self.writer.close()
            case Step.FAIL_FRAME:
                log.warning("frame not completed in time")
                self.send(encode_answer(0, FAILED))
                self.close_gracefully()
            case Step.NOTIFY:
                self.send_goaway()
            case Step.SHUT_WRITE_SIDE:
                self.close_gracefully()

    def is_idle(self) -> bool:
        """Whether the connection may be closed: no request is open, no answer unacknowledged, no frame
        incomplete, and no received byte unread."""
        is_busy = (
            self.discards_input
            or self.open
            or self.is_handling_frames
            or self.incomplete_since_ms
            or self.unacknowledged_bytes()
        )
        return not is_busy and not self.has_unread_bytes()
