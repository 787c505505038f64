"""The server side: accepts clients, keeps the set of their connections, limits what they use together."""

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
from .listener import Listener, open_listener
from .streams import accept_stream

log = logging.getLogger(__name__)

# None of these depends on a deployment's settings.
LINGERING_SHARE = 0.1  # lingering connections that may be open beyond the cap, as a share of it
CROSSING_MS = 50.0  # the protocol's: a client resends a request that crossed a close by no more
SPARE_MS = 100.0  # at the cap, a client that was idle for less is not closed for another
CLOSE_S = 0.15  # for the last connections to end when the process stops
CLOSE_LOOK_S = 0.005  # between checks of them
SWEEP_MS = 250.0
STOP_DESCRIPTORS = (
    8  # left free when the last connections are accepted: stopping opens files and imports modules
)
SHED_MS = 150.0  # with so much lag of the loop, requests are rejected until it has caught up


class ClientListener:
    """The connections of all clients, `cap` at most; further clients wait in the system's queue."""

    def __init__(
        self,
        director: Director,
        clock: Callable[[], float],
        timers: TimerWheel,
        cap: int,
        max_buffered_bytes: float,
        descriptors: int = sys.maxsize,
    ) -> None:
        """`descriptors` limits the whole process, `max_buffered_bytes` the bodies and unsent answers."""
        self.director = director
        self.clock = clock
        self.timers = timers
        self.cap = cap
        self.max_buffered_bytes = max_buffered_bytes
        self._descriptors = descriptors
        self.drain = Drain()
        self.buffered_bytes = 0  # added to as bytes arrive, recounted by each sweep
        self.lingering = 0  # connections shut here that wait for the client's close
        self.is_closing = False  # the process stops: requests are rejected while that can be sent
        self.connections: dict[ClientConnection, asyncio.Task[None]] = {}
        self._listener: Listener | None = None
        self._arriving = 0  # accepted, without a stream yet
        self._full_ms = 0.0  # since when new clients have waited for capacity; 0: none waits
        self._has_found_capacity = False  # at the last check, and nobody has connected since
        self._welcomes: set[asyncio.Task[None]] = set()

    async def listen(
        self, host: str, port: int, given: socket.socket | None = None, shared: bool = False
    ) -> int:
        """Starts to accept, on a predecessor's socket or on a new one, and returns the port. `shared` lets a
        successor listen at the same address. Raises OSError."""
        sock = given or open_listener(host, port, shared)
        self._listener = Listener(sock, shared, self._has_capacity, self._accepted)
        self.timers.schedule(self.clock() + SWEEP_MS, self._sweep)
        return int(sock.getsockname()[1])

    @property
    def listener(self) -> socket.socket | None:
        """The listening socket; None before the start and once this process has stopped listening."""
        return self._listener.sock if self._listener is not None else None

    def _has_capacity(self) -> bool:
        """At the cap, whether an idle connection could be closed for a new client."""
        if self._has_found_capacity:
            self._full_ms = 0.0  # the queue was empty then
        self._has_found_capacity = self._connected() < self.cap or self._spare_one()
        if not self._has_found_capacity:
            self._full_ms = self._full_ms or self.clock()
            log.warning("clients wait for room open=%d", len(self.connections))
        return self._has_found_capacity

    def _accepted(self, accepted: socket.socket) -> None:
        self._arriving += 1
        self._has_found_capacity = False
        task = asyncio.get_running_loop().create_task(self._welcome(accepted, self._full_ms))
        self._welcomes.add(task)
        task.add_done_callback(self._welcomes.discard)

    def _connected(self) -> int:
        """Connections that count against the cap. Those shut here end soon, so some of them do not count."""
        beside = min(self.lingering, max(int(self.cap * LINGERING_SHARE), 1))
        return len(self.connections) + self._arriving - beside

    async def _welcome(self, accepted: socket.socket, queued_ms: float) -> None:
        try:
            reader, writer = await accept_stream(accepted)
        except OSError as error:
            log.warning("accept failed: %s", error)
            accepted.close()
            return
        finally:
            self._arriving -= 1
        conn = ClientConnection(self, reader, writer, accepted, queued_ms)
        self.connections[conn] = asyncio.create_task(self._serve(conn))

    async def _serve(self, conn: ClientConnection) -> None:
        try:
            await conn.serve()
            with suppress(OSError):
                await conn.writer.wait_closed()  # until then it has a descriptor, and the sweep checks it
        except Exception:
            log.exception("connection failed")
            conn.writer.transport.abort()
        finally:
            self.connections.pop(conn, None)
            self.lingering -= bool(conn.shut_ms)

    def _spare_one(self) -> bool:
        """Closes an idle connection for a new client, and returns whether that helped: first one that never
        sent a request, then the one idle for longest. So clients that only connect cannot keep others out."""
        latest = self.clock() - SPARE_MS
        idle = [c for c in self.connections if c.active_ms < latest]
        idle.sort(key=lambda c: (c.proven, c.active_ms))
        spare = next((c for c in idle if not c.writer.is_closing() and c.is_idle()), None)
        if spare is None:
            return False
        spare.stop_taking()
        if self._connected() >= self.cap:  # too many linger: those past CROSSING_MS are aborted
            for conn in self.connections:
                if conn.shut_ms and not conn.unsent() and self.clock() - conn.shut_ms > CROSSING_MS:
                    conn.writer.transport.abort()
        return self._connected() < self.cap

    def rejects_requests(self) -> bool:
        """Whether requests are rejected before they are decoded, to save memory and CPU time: over the limit
        of buffered bytes, while the event loop lags, and once the process stops."""
        return self.is_closing or self.buffered_bytes > self.max_buffered_bytes or self.timers.lag() > SHED_MS

    def send_goaway_to_all(self) -> None:
        """Asks clients to use another director; requests that still arrive are served. A client without a
        request so far is asked after its first one, or later by the sweep."""
        for conn in self.connections:
            if conn.proven or self.drain.should_notify(conn.born_ms, self.clock()):
                conn.send_goaway()

    def steer_away(self) -> None:
        """Directs new connections to another process that listens at the same address, if there is one."""
        if self._listener is not None:
            self._listener.steer_away()

    def stop_listening(self, queued: bool = True) -> None:
        """Stops accepting. `queued`: no other process listens here, so all queued connections are accepted
        first, beyond the cap but within the descriptors, since the close resets the others."""
        listener = self._listener
        if listener is not None:
            if queued:
                free = self._descriptors - count_open_descriptors() - STOP_DESCRIPTORS
                self.cap = max(self.cap, self._connected() + max(free, 0))
                listener.accept_last()
            self._listener = None
            listener.close()

    async def close(self) -> None:
        """Shuts all connections and waits for their end. Requests that have arrived are read and rejected
        first."""
        self.is_closing = True
        self.stop_listening()
        loop = asyncio.get_running_loop()
        ends = loop.time() + CLOSE_S
        while (self._arriving or self.connections) and loop.time() < ends:
            for conn in list(self.connections):
                if conn.is_settled():
                    conn.stop_taking()
            await asyncio.sleep(CLOSE_LOOK_S)
        for conn in list(self.connections):
            conn.stop_taking()
            conn.writer.close()

    def quiet(self) -> bool:
        """Whether no client waits for an answer or may just have sent a request."""
        now = self.clock()
        return not self._arriving and not any(
            c.open or c.unsent() or c.arriving(now) for c in self.connections
        )

    def _sweep(self) -> None:
        now = self.clock()
        self.buffered_bytes = 0
        for conn in list(self.connections):
            conn.sweep(now)
            self.buffered_bytes += conn.buffered_bytes()
        self.timers.schedule(now + SWEEP_MS, self._sweep)
