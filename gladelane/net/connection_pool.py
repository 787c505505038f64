"""The client side: the pool of connections to caches, parents and the origin."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable

from ..endpoints.address import Address
from ..endpoints.health_check import check_health
from ..endpoints.plan import Endpoints
from ..timer_wheel import TimerHandle, TimerWheel
from .attempt_outcomes import AttemptOutcome
from .cache_connection import Connection
from .carried_attempts import AttemptOwner
from .config import ConnLimits
from .exchange import Attempt
from .reply_memory import ReplyMemory

log = logging.getLogger(__name__)

# These limits bound how many attempts one unresponsive connection can delay. They depend neither on request
# classes nor on load, so they are not settings.
SWEEP_MS = 100.0
MAX_SUSPECT_CONNECTIONS = 4  # to one server; above this no further connection to it is dialled
#: While each connection to a server carries at least SPREAD_ATTEMPTS, further ones are dialled, up to
#: MAX_SPREAD_CONNECTIONS.
SPREAD_ATTEMPTS, MAX_SPREAD_CONNECTIONS = 6, 4
SPREAD_CAP_SHARE = 0.75  # share of the cap above which no connection is dialled only to spread attempts
MAX_CLOSING_TURNS = 4  # iterations of the event loop; an aborted connection needs fewer to be closed


class ConnectionPool:
    """The connections to all servers, with at most `cap` sockets in total. Each connection is shared by up to
    `max_streams` attempts. A server that takes over the address of another does not take over its
    connections."""

    def __init__(
        self,
        limits: ConnLimits,
        cap: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
        reply_memory: ReplyMemory,
    ) -> None:
        self.endpoints = endpoints
        self.reply_memory = reply_memory
        self.limits = limits
        self.cap = cap
        self.clock = clock
        self.timers = timers
        self.owner: AttemptOwner
        self._pool: dict[str, list[Connection]] = {}
        self._count = 0  # connections; each has at least one socket
        self._closing: list[socket.socket] = []  # sockets of ended connections, until they are closed
        self._extra_sockets = 0  # further sockets, for parallel dials and for health checks
        self._health_checks: set[asyncio.Task[None]] = set()
        self.timers.repeat(SWEEP_MS, self.sweep)

    # --- for dials and health checks (`endpoints.dialer.Budget`)

    def at(self, due_ms: float, call: Callable[[], None]) -> TimerHandle:
        """Schedules a callback."""
        return self.timers.schedule(due_ms, call)

    def spare_sockets(self) -> int:
        """How many sockets may be opened now; closes an idle connection if there is no other."""
        if self._sockets_in_use() < self.cap or self._close_idle_connection():
            return self.cap - self._sockets_in_use()
        return 0

    def hold(self, sockets: int) -> None:
        """Counts sockets other than the first one of each connection. A negative number stands for sockets
        that were closed."""
        self._extra_sockets += sockets

    async def wait_for_descriptor(self) -> None:
        """Returns once the connections that were closed to make room for this dial have released their
        descriptors."""
        for _ in range(MAX_CLOSING_TURNS):
            self._closing = [sock for sock in self._closing if sock.fileno() >= 0]
            if not self._closing or self._sockets_in_use() + len(self._closing) <= self.cap:
                return
            await asyncio.sleep(0)

    def _sockets_in_use(self) -> int:
        return self._count + self._extra_sockets

    def start_health_check(self, store: str, address: Address) -> None:
        """Dials an ejected address to see whether it works again, unless few sockets are left."""
        if self._sockets_in_use() < self.cap * SPREAD_CAP_SHARE:
            check = check_health(store, address, self.endpoints, self, self.limits.dial_timeout_ms)
            task = asyncio.ensure_future(check)
            self._health_checks.add(task)
            task.add_done_callback(self._health_checks.discard)

    # --- for the director

    def send(self, attempt: Attempt) -> None:
        """Writes the attempt to a connection, or queues it until a dial completes. If the cap permits
        neither, the attempt ends as CAPPED."""
        conns = self._pool.setdefault(attempt.store, [])
        now = self.clock()
        available = [c for c in conns if c.accepts(attempt.exchange.ask.id)]
        conn = min((c for c in available if not c.is_suspect(now)), key=lambda c: len(c.open), default=None)
        is_busy = (
            conn is not None and len(conn.open) >= SPREAD_ATTEMPTS and len(conns) < MAX_SPREAD_CONNECTIONS
        )
        if is_busy and self._sockets_in_use() < self.cap * SPREAD_CAP_SHARE:
            conn = None
        if (
            conn is None
            and len(available) <= MAX_SUSPECT_CONNECTIONS
            and (self._sockets_in_use() < self.cap or self._close_idle_connection())
        ):
            conn = Connection(self, attempt.store)
            conns.append(conn)
            self._count += 1
        elif conn is None:
            if not available:
                self.owner.ended(attempt, AttemptOutcome.CAPPED)
                return
            conn = available[-1]
        conn.attempts.add(attempt)

    def abandon(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Cancels an attempt at its server."""
        for conn in list(self._pool.get(attempt.store, ())):
            conn.drop(attempt, outcome)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Keeps an attempt that may not be cancelled at its server from being sent, if it has not left this
        machine yet."""
        for conn in list(self._pool.get(attempt.store, ())):
            conn.attempts.queue.cancel_unsent(attempt)

    def drop_server(self, store: str) -> None:
        """Retires the connections to a server that left, restarted or drains: attempts that wait for a dial
        end, and attempts that were written finish."""
        for conn in list(self._pool.get(store, ())):
            conn.drain()

    def remove_address(self, store: str, address: Address) -> None:
        """Retires the connections to an address that the server no longer has."""
        for conn in list(self._pool.get(store, ())):
            conn.remove_address(address)

    def close(self) -> None:
        """Ends all connections and health checks."""
        for check in self._health_checks:
            check.cancel()
        for conn in [c for conns in self._pool.values() for c in conns]:
            conn.close()

    def shrink(self, cap: int) -> None:
        """Changes the cap and closes idle connections above it."""
        self.cap = cap
        while self._sockets_in_use() > cap and self._close_idle_connection():
            pass

    def remove(self, conn: Connection) -> None:
        """Forgets a connection that has ended."""
        conns = self._pool.get(conn.store, [])
        if conn in conns:
            conns.remove(conn)
            self._count -= 1
            if conn.sock is not None:
                self._closing.append(conn.sock)
        if not conns:
            self._pool.pop(conn.store, None)

    def _close_idle_connection(self) -> bool:
        """Closes an idle connection to make room for another one. Returns whether there was one."""
        all_connections = (c for conns in self._pool.values() for c in conns)
        idle = next((c for c in all_connections if c.writer and not c.open and not c.retired), None)
        if idle is not None:
            idle.close()
            self.remove(idle)
        return idle is not None

    def sweep(self) -> None:
        """Checks all connections. Called periodically."""
        now = self.clock()
        for conns in list(self._pool.values()):
            answered_ms = max(conn.attempts.answered_ms for conn in conns) if conns else 0.0
            for conn in list(conns):
                try:
                    conn.sweep(now, answered_ms)
                except Exception:  # ends this connection only
                    log.exception("connection failed peer=%s", conn.peer)
                    conn.fail()
