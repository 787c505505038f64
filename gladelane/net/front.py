"""The server side: client connections, their streams, readiness, and bounds on what they hold."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
import sys
from collections.abc import Callable
from contextlib import suppress
from functools import partial

from ..operations.drain import Drain
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
from .sockets import has_ended, has_unread, look_ahead, shut_write_side
from .streams import READ_BYTES, Reader, accept_stream
from .wheel import Wheel

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
LINGERING_SHARE = 0.1  # lingering connections, as a part of the cap, that may be held beside it
CROSSING_MS = 50.0  # the protocol's: a request that crosses a close by no more is sent once more
SPARE_MS = 100.0  # at the cap, a client idle for less is not closed for another
PAUSED_MS = 300.0  # half a frame that has brought no byte for so long holds up no end of the process
SO_ATTACH_REUSEPORT_CBPF = 51  # asm-generic/socket.h; the socket module has no name for it
ACCEPT_AT_ONCE = 1100  # connections in one turn of the loop: more than the queue holds
BACKLOG = 512  # connections that the system holds until there is room for them
CLOSE_S = 0.15  # for the last connections to end, at the end of the process
ROOM_S = 0.005  # how often room is looked for then
FIRST_MS = 2_000.0  # a client that has sent no usable frame so long after connecting is cut off
FRAME_MS = 2_000.0  # and so is one whose frame does not end; 3 s after connecting it is owed some end
SWEEP_MS = 250.0
SHED_MS = 150.0  # a loop this far behind serves late whatever it takes: it must catch up first
OUT_OF_ORDER = 1024  # stream numbers seen ahead of their turn on one connection

FAILED = Final(Code.FAILED)


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
        self, front: Front, reader: Reader, writer: asyncio.StreamWriter, sock: socket.socket
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
        self.deaf = False  # nothing that comes is taken any more
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
        if self.deaf:
            return False
        paused = now - self.active_ms > PAUSED_MS
        return self._taking or self.unread() or (bool(self.partial_ms) and not paused)

    def stop_taking(self) -> None:
        """What comes from here on is thrown away; what is open is answered before the close."""
        self.deaf = True
        self._shut_if_done()

    def _shut_if_done(self) -> None:
        if self.deaf and not self.open and not self.shut_ms and not self.writer.is_closing():
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
                if not self.deaf:
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
                    if self.deaf:
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
            elif not self.deaf:
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
        come = self.reader.fed + len(unread.data)
        if come != self._looked_to and not self.deaf:
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
            self.deaf = True
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
            self.no_more()  # a newcomer, let in while the director empties
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

    def no_more(self) -> None:
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
        elif self.deaf:
            return  # what is open is waited for
        elif self.partial_ms and now - self.partial_ms > FRAME_MS and not self._taking and not self.unread():
            log.warning("frame never ended")
            self._send(encode_answer(0, FAILED))
            self.stop_taking()
        elif not self.told_ms and self.front.drain.tells(self.born_ms, now):
            self.no_more()
        elif self.spare() and (
            idle > IDLE_MS
            or (not self.proven and now - self.born_ms > FIRST_MS)
            or self.front.drain.closes(self.told_ms, now)
        ):
            self.stop_taking()

    def spare(self) -> bool:
        """May be closed at any time: nothing is owed here, nor under way as far as can be seen."""
        busy = self.deaf or self.open or self._taking or self.partial_ms or self.unsent()
        return not busy and not self.unread()


def open_listener(host: str, port: int, shared: bool) -> socket.socket:
    """`shared` only where a new version may come beside this one: elsewhere an address that is taken is a
    mistake, and is to stop the start. Raises OSError."""
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    return socket.create_server((host, port), family=family, backlog=BACKLOG, reuse_port=shared)


def steer_away(listener: socket.socket) -> None:
    """Has the system give newcomers to whoever listens here second, the new version (SO_REUSEPORT orders by
    age): what it puts into the queue of this one between the last accept and the close would be reset.
    Without a second one nothing changes."""
    import ctypes  # for this moment alone

    return_second = ctypes.create_string_buffer(struct.pack("=HBBI", 0x06, 0, 0, 1))  # BPF_RET | BPF_K, 1
    program = struct.pack("@HP", 1, ctypes.addressof(return_second))
    with suppress(OSError):
        listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_REUSEPORT_CBPF, program)


class Front:
    def __init__(
        self, director: Director, clock: Callable[[], float], wheel: Wheel, cap: int, held_bytes: float
    ) -> None:
        self.director = director
        self.clock = clock
        self.wheel = wheel
        self.cap = cap
        self.held_bytes = held_bytes
        self.drain = Drain()
        self.held = 0  # counted up as bytes come, counted anew each sweep
        self.lingering = 0  # connections that are shut and wait for the client's close
        self.over = False  # the process ends: whatever comes is refused, which it still can be
        self.connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self._listener: socket.socket | None = None
        self._shared = False
        self._arriving = 0  # accepted, without streams yet
        self._welcomes: set[asyncio.Task[None]] = set()

    async def listen(
        self, host: str, port: int, given: socket.socket | None = None, shared: bool = False
    ) -> int:
        """On a socket that the process before this one listens on, or on one of our own; `shared` lets one
        that comes after listen beside it."""
        self._shared = shared
        self._listener = given or open_listener(host, port, shared)
        self._listener.setblocking(False)
        self._accept_more()
        self.wheel.at(self.clock() + SWEEP_MS, self._sweep)
        return int(self._listener.getsockname()[1])

    @property
    def listener(self) -> socket.socket | None:
        """None while nobody is let in: before the start and once this process has stopped listening."""
        return self._listener

    def _accept_more(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().add_reader(self._listener.fileno(), self._acceptable)

    def _accept_later(self) -> None:
        assert self._listener is not None
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._listener.fileno())
        loop.call_later(ROOM_S, self._accept_more)

    def _acceptable(self) -> None:
        """At the cap newcomers wait in the system's queue: a crowd that comes at once is served by and by.
        Accepted here and not in a task: one cancelled in between would lose the connection it was given."""
        for _ in range(ACCEPT_AT_ONCE):
            if self._listener is None:
                return
            if self._connected() >= self.cap and not self._spare_one():
                log.warning("clients wait for room open=%d", len(self.connections))
                return self._accept_later()
            try:
                accepted, _ = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:  # the client has gone already, or descriptors are out
                log.warning("accept failed: %s", error)
                return self._accept_later()
            self._arriving += 1
            task = asyncio.get_running_loop().create_task(self._welcome(accepted))
            self._welcomes.add(task)
            task.add_done_callback(self._welcomes.discard)

    def _connected(self) -> int:
        """Those that are shut give their descriptors back soon and count above a bound only."""
        beside = min(self.lingering, max(int(self.cap * LINGERING_SHARE), 1))
        return len(self.connections) + self._arriving - beside

    async def _welcome(self, accepted: socket.socket) -> None:
        try:
            reader, writer = await accept_stream(accepted)
        except OSError as error:
            log.warning("accept failed: %s", error)
            accepted.close()
            return
        finally:
            self._arriving -= 1
        conn = ClientConnection(self, reader, writer, accepted)
        self.connections[conn] = asyncio.create_task(self._serve(conn))

    async def _serve(self, conn: ClientConnection) -> None:
        try:
            await conn.serve()
            with suppress(OSError):
                await conn.writer.wait_closed()  # until then it holds a descriptor, and the sweep watches it
        except Exception:
            log.exception("connection failed")
            conn.writer.transport.abort()
        finally:
            self.connections.pop(conn, None)
            self.lingering -= bool(conn.shut_ms)

    def _spare_one(self) -> bool:
        """At the cap those who never asked for anything make room first, then who has been idle for longest:
        a crowd that holds connections must not keep out those who have something to ask."""
        latest = self.clock() - SPARE_MS
        idle = [c for c in self.connections if c.active_ms < latest]
        idle.sort(key=lambda c: (c.proven, c.active_ms))
        spare = next((c for c in idle if not c.writer.is_closing() and c.spare()), None)
        if spare is None:
            return False
        spare.stop_taking()
        if self._connected() >= self.cap:  # too many linger: who has had the time that a crossing takes goes
            for conn in self.connections:
                if conn.shut_ms and self.clock() - conn.shut_ms > CROSSING_MS:
                    conn.writer.transport.abort()
        return self._connected() < self.cap

    def turns_away(self) -> bool:
        """Past these bounds a request is turned away at sight, before it costs memory or much of the core;
        and once the process ends, while that can still be answered."""
        return self.over or self.held > self.held_bytes or self.wheel.lag() > SHED_MS

    def empty(self) -> None:
        """Tells clients to go elsewhere; what still arrives is served all the same. Who has not come to its
        first request yet is told after it, or in a while."""
        for conn in self.connections:
            if conn.proven or self.drain.tells(conn.born_ms, self.clock()):
                conn.no_more()

    def steer_away(self) -> None:
        """Newcomers go to the process beside this one, where each has a queue of its own."""
        if self._shared and self._listener is not None:
            steer_away(self._listener)

    def stop_listening(self, queued: bool = True) -> None:
        """`queued`: nobody else takes what waits in the system's queue, so it is let in first, past the cap:
        whatever is still in there at the close is reset."""
        listener = self._listener
        if listener is not None:
            if queued:
                self.cap = sys.maxsize
                self._acceptable()
            self._listener = None
            asyncio.get_running_loop().remove_reader(listener.fileno())
            listener.close()

    async def close(self) -> None:
        """Ends what is still connected, orderly, and waits: a task cancelled half-way leaves a trace."""
        self.stop_listening()
        for conn in list(self.connections):
            conn.stop_taking()
        if self.connections:
            await asyncio.wait(self.connections.values(), timeout=CLOSE_S)
        for conn in self.connections:
            conn.writer.close()

    def quiet(self) -> bool:
        """Whether nothing is owed to any client, nor can be, as far as is seen."""
        now = self.clock()
        return not self._arriving and not any(
            c.open or c.unsent() or c.arriving(now) for c in self.connections
        )

    def _sweep(self) -> None:
        now = self.clock()
        self.held = 0
        for conn in list(self.connections):
            conn.sweep(now)
            self.held += conn.held()
        self.wheel.at(now + SWEEP_MS, self._sweep)
