"""The server side: accepts clients, keeps the set of their connections, and limits their total resources."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections.abc import Callable
from contextlib import suppress

from ..admin.drain import Drain
from ..process import count_open_descriptors
from ..timer_wheel import TimerWheel
from .client_connection import ClientConnection
from .director import Director
from .frame_memory import choose_frame_to_discard
from .listener import Listener, open_listener
from .memory_budget import MAX_READ_BYTES, MemoryBudget, MemoryUse, request_bytes
from .streams import accept_stream

log = logging.getLogger(__name__)

# None of these depends on a deployment's settings.
LINGERING_SHARE = 0.1  # share of the cap by which lingering connections may exceed it
MAX_CROSSING_MS = 50.0  # by the protocol, clients resend a request that crossed a close by at most this much
MIN_IDLE_MS = 100.0  # at the cap, a connection that was idle for less is not closed to admit another client
CLOSE_TIMEOUT_S = 0.15  # how long the last connections may take to end when the process stops
CLOSE_POLL_S = 0.005  # interval between checks whether they have ended
MIN_CLOSE_POLLS = 4  # checks that are made even if the process was stalled for longer than that time
SWEEP_MS = 250.0
#: Left free when the last queued connections are accepted, since stopping opens files and imports modules.
RESERVED_DESCRIPTORS = 8
MAX_LAG_MS = 150.0  # while the event loop lags by more than this, requests are rejected


class ClientListener:
    """Accepts clients and holds their connections, at most `cap`. Further clients wait in the system's accept
    queue."""

    def __init__(
        self,
        director: Director,
        clock: Callable[[], float],
        timers: TimerWheel,
        cap: int,
        memory: MemoryBudget,
        descriptors: int = sys.maxsize,
    ) -> None:
        """`descriptors` is the limit of the whole process."""
        self.director = director
        self.clock = clock
        self.timers = timers
        self.cap = cap
        self.memory = memory
        self.read_bytes = MAX_READ_BYTES  # of one client at once
        self._descriptors = descriptors
        self.drain = Drain()
        self.ended_connections = 0  # since the start
        self.lingering = 0  # connections whose write side was shut down here and that wait for the close
        self.is_closing = False  # the process stops; requests that still arrive are rejected
        self.connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self._holding_frames: set[ClientConnection] = set()  # with memory reserved for incomplete frames
        self._listener: Listener | None = None
        self._being_set_up = 0  # accepted connections without a stream yet
        self._full_since_ms = 0.0  # since when new clients have waited for capacity; 0: no client waits
        self._has_found_capacity = False  # at the last check, and no client has connected since
        self._setup_tasks: set[asyncio.Task[None]] = set()

    async def listen(
        self, host: str, port: int, inherited: socket.socket | None = None, shared: bool = False
    ) -> int:
        """Starts to accept clients and returns the port. Listens on `inherited`, the socket of a predecessor,
        or else on a new socket. `shared` lets a successor process listen at the same address. Raises
        OSError."""
        sock = inherited or open_listener(host, port, shared)
        self._listener = Listener(sock, shared, self._has_capacity, self._accepted)
        self.timers.repeat(SWEEP_MS, self._sweep)
        return int(sock.getsockname()[1])

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None before the start and once this process has stopped listening."""
        return self._listener.sock if self._listener is not None else None

    @property
    def max_buffered_bytes(self) -> float:
        """The limit on the memory that is held for clients and servers."""
        return self.memory.limit_bytes

    @max_buffered_bytes.setter
    def max_buffered_bytes(self, size: float) -> None:
        self.memory.limit_bytes = size

    def _has_capacity(self) -> bool:
        """Whether a new client may be accepted. At the cap, closes an idle connection if there is one."""
        if self._has_found_capacity:
            self._full_since_ms = 0.0  # no client connected after the last check, so the queue was empty
        self._has_found_capacity = self._counted_connections() < self.cap or self._close_idle_connection()
        if not self._has_found_capacity:
            self._full_since_ms = self._full_since_ms or self.clock()
            log.warning("connection limit reached, new clients wait open=%d", len(self.connections))
        return self._has_found_capacity

    def _accepted(self, accepted: socket.socket) -> None:
        self._being_set_up += 1
        self._has_found_capacity = False
        task = asyncio.get_running_loop().create_task(self._set_up(accepted, self._full_since_ms))
        self._setup_tasks.add(task)
        task.add_done_callback(self._setup_tasks.discard)

    def _counted_connections(self) -> int:
        """The number of connections that count against the cap. Lingering connections end soon, so a limited
        number of them does not count."""
        uncounted = min(self.lingering, max(int(self.cap * LINGERING_SHARE), 1))
        return len(self.connections) + self._being_set_up - uncounted

    async def _set_up(self, accepted: socket.socket, queued_ms: float) -> None:
        try:
            reader, writer = await accept_stream(accepted, self.read_bytes)
        except OSError as error:
            log.warning("accept failed: %s", error)
            accepted.close()
            return
        finally:
            self._being_set_up -= 1
        conn = ClientConnection(self, reader, writer, accepted, queued_ms)
        self.connections[conn] = asyncio.create_task(self._serve(conn))

    async def _serve(self, conn: ClientConnection) -> None:
        try:
            await conn.serve()
            with suppress(OSError):
                await conn.writer.wait_closed()  # until then it holds a descriptor and is swept
        except Exception:
            log.exception("connection failed")
            conn.writer.transport.abort()
            conn.release()
        finally:
            self.connections.pop(conn, None)
            self.ended_connections += 1
            self.lingering -= bool(conn.write_closed_ms)

    def _close_idle_connection(self) -> bool:
        """Closes an idle connection to make room for a new client, and returns whether there is room now. A
        connection that never sent a valid frame is closed first, so that clients that only connect cannot
        keep others out; otherwise the one that was idle for longest. Those come last whose client may still
        have answers to read and so write requests without noticing the close."""
        now = self.clock()
        idle = [c for c in self.connections if c.last_active_ms < now - MIN_IDLE_MS]
        idle.sort(key=lambda c: (c.has_sent_valid_frame, not c.delivery.has_been_read(now), c.last_active_ms))
        victim = next((c for c in idle if not c.writer.is_closing() and c.is_idle()), None)
        if victim is not None:
            victim.close_gracefully()
        elif not self._close_silent_connection():
            return False
        if self._counted_connections() >= self.cap:  # too many linger: abort those past MAX_CROSSING_MS
            for conn in self.connections:
                if (
                    conn.write_closed_ms
                    and not conn.unacknowledged_bytes()
                    and self.clock() - conn.write_closed_ms > MAX_CROSSING_MS
                ):
                    conn.writer.transport.abort()
        return self._counted_connections() < self.cap

    def _close_silent_connection(self) -> bool:
        """Closes a connection of which only a frame without memory is open. Returns whether there was one."""
        now = self.clock()
        silent = (conn for conn in self.connections if conn.gives_way(now))
        victim = min(silent, key=lambda conn: conn.last_active_ms, default=None)
        if victim is not None:
            victim.refuse_skipped_frame()
        return victim is not None

    def rejects_requests(self) -> bool:
        """Whether requests are rejected before they are decoded, to save memory and CPU time. This is so
        while memory is short, while the event loop lags, and once the process stops."""
        return self.is_closing or self._is_memory_short() or self.timers.lag() > MAX_LAG_MS

    def _is_memory_short(self) -> bool:
        memory = self.memory
        if memory.is_exhausted(MemoryUse.ANSWERS):
            self.recount_answers()  # most of them have been sent since they were counted
        return memory.is_exhausted(MemoryUse.REQUESTS) or memory.is_exhausted(MemoryUse.ANSWERS)

    def recount_answers(self) -> None:
        """Counts the answers that clients have not read."""
        self.memory.recount(MemoryUse.ANSWERS, sum(conn.unsent_bytes() for conn in self.connections))

    def reserve_frame(self, conn: ClientConnection, size: int) -> bool:
        """Reserves memory for `size` further bytes of a client's incomplete frame. Discards frames that are
        less likely to be completed if there is no room otherwise. Returns False if there are none."""
        while not self.memory.fits(MemoryUse.FRAMES, size):
            holders = [holder for holder in self._holding_frames if not holder.is_handling_frames]
            discarded = choose_frame_to_discard(holders, conn, self.clock())
            if discarded is None:
                break
            discarded.discard_incomplete_frame()
        if not self.memory.try_reserve(MemoryUse.FRAMES, size):
            return False
        self._holding_frames.add(conn)
        return True

    def shed_frames(self) -> None:
        """Discards the largest incomplete frames until the others have room."""
        holders = sorted(self._holding_frames, key=lambda conn: conn.reserved_bytes)
        while holders and self.memory.is_exhausted(MemoryUse.FRAMES):
            conn = holders.pop()
            if not conn.is_handling_frames:
                conn.discard_incomplete_frame()

    def release_frame(self, conn: ClientConnection, size: int) -> None:
        """Ends the reservation of all bytes of a client's incomplete frame."""
        self._holding_frames.discard(conn)
        self.memory.release(MemoryUse.FRAMES, size)

    def send_goaway_to_all(self) -> None:
        """Asks all clients to use another director; requests that still arrive are served. A client that has
        sent no request yet is asked after its first request, or later by the sweep."""
        for conn in self.connections:
            if conn.has_sent_valid_frame or self.drain.should_notify(conn.accepted_ms, self.clock()):
                conn.send_goaway()

    def redirect_new_connections(self) -> None:
        """Has the system queue new connections for another process that listens at the same address, if there
        is one."""
        if self._listener is not None:
            self._listener.redirect_new_connections()

    def stop_listening(self, accept_queued: bool = True) -> None:
        """Stops accepting. Closing the socket resets connections that are still queued. With `accept_queued`,
        for when no other process listens here, they are accepted first, beyond the cap but within the limit
        of descriptors."""
        listener = self._listener
        if listener is not None:
            if accept_queued:
                free = self._descriptors - count_open_descriptors() - RESERVED_DESCRIPTORS
                self.cap = max(self.cap, self._counted_connections() + max(free, 0))
                listener.accept_remaining()
            self._listener = None
            listener.close()

    async def close(self) -> None:
        """Closes all connections and waits for their end. Requests that have already arrived are read and
        rejected first."""
        self.is_closing = True
        self.stop_listening()
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CLOSE_TIMEOUT_S
        polls = 0
        while (self._being_set_up or self.connections) and (
            loop.time() < deadline_s or polls < MIN_CLOSE_POLLS
        ):
            polls += 1
            for conn in list(self.connections):
                if conn.is_settled():
                    conn.close_gracefully()
            await asyncio.sleep(CLOSE_POLL_S)
        self._log_unacknowledged_answers()
        for conn in list(self.connections):
            conn.close_gracefully()
            conn.writer.close()

    def _log_unacknowledged_answers(self) -> None:
        """Logs what the system has to deliver after the process has ended; a client that sends something
        before it has all of that loses the rest."""
        counts = [count for conn in self.connections if (count := conn.unacknowledged_bytes())]
        if counts:
            log.warning("closing before clients have read: connections=%d bytes=%d", len(counts), sum(counts))

    def has_no_pending_requests(self) -> bool:
        """Whether no client waits for an answer, still has to read some, or may have sent a request that was
        not handled yet."""
        now = self.clock()
        return not self._being_set_up and not any(
            c.open or c.unsent_bytes() or c.has_backlog(now) or c.may_have_sent_request(now)
            for c in self.connections
        )

    def _sweep(self) -> None:
        now = self.clock()
        for conn in list(self.connections):
            try:
                conn.sweep(now)
            except Exception:  # ends this connection only
                log.exception("connection failed")
                conn.writer.transport.abort()
        self._recount_memory()

    def _recount_memory(self) -> None:
        """Corrects what is recorded as held for clients."""
        self.recount_answers()
        frames = sum(conn.reserved_bytes for conn in self._holding_frames)
        self.memory.recount(MemoryUse.FRAMES, frames)
        bodies = (len(exchange.ask.body) for exchange in self.director.live.values())
        self.memory.recount(MemoryUse.REQUESTS, sum(map(request_bytes, bodies)))
