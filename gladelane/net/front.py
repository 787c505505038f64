"""The server side: the connections of all clients, and bounds on what they hold together."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections.abc import Callable
from contextlib import suppress

from ..operations.drain import Drain
from .client_connection import ClientConnection
from .director import Director
from .listener import Listener, open_listener
from .streams import accept_stream
from .wheel import Wheel

log = logging.getLogger(__name__)

# None of these follows from a deployment's settings: they hold for any customer.
LINGERING_SHARE = 0.1  # lingering connections, as a part of the cap, that may be held beside it
CROSSING_MS = 50.0  # the protocol's: a request that crosses a close by no more is sent once more
SPARE_MS = 100.0  # at the cap, a client idle for less is not closed for another
CLOSE_S = 0.15  # for the last connections to end, at the end of the process
SWEEP_MS = 250.0
SHED_MS = 150.0  # a loop this far behind serves late whatever it takes: it must catch up first


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
        self._listener: Listener | None = None
        self._arriving = 0  # accepted, without streams yet
        self._welcomes: set[asyncio.Task[None]] = set()

    async def listen(
        self, host: str, port: int, given: socket.socket | None = None, shared: bool = False
    ) -> int:
        """On a socket that the process before this one listens on, or on one of our own; `shared` lets one
        that comes after listen beside it."""
        sock = given or open_listener(host, port, shared)
        self._listener = Listener(sock, shared, self._has_room, self._accepted)
        self.wheel.at(self.clock() + SWEEP_MS, self._sweep)
        return int(sock.getsockname()[1])

    @property
    def listener(self) -> socket.socket | None:
        """None while nobody is let in: before the start and once this process has stopped listening."""
        return self._listener.sock if self._listener is not None else None

    def _has_room(self) -> bool:
        """At the cap newcomers wait in the system's queue."""
        if self._connected() < self.cap or self._spare_one():
            return True
        log.warning("clients wait for room open=%d", len(self.connections))
        return False

    def _accepted(self, accepted: socket.socket) -> None:
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
        spare = next((c for c in idle if not c.writer.is_closing() and c.is_idle()), None)
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
                conn.send_goaway()

    def steer_away(self) -> None:
        if self._listener is not None:
            self._listener.steer_away()

    def stop_listening(self, queued: bool = True) -> None:
        """`queued`: nobody else takes what waits in the system's queue, so it is let in first, past the cap:
        whatever is still in there at the close is reset."""
        listener = self._listener
        if listener is not None:
            if queued:
                self.cap = sys.maxsize
                listener.accept_all()
            self._listener = None
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
