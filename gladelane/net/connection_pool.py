"""The client side: the pool of connections to caches, parents and the origin."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..endpoints.address import Address
from ..endpoints.health_check import check_health
from ..endpoints.plan import Endpoints
from ..timer_wheel import TimerHandle, TimerWheel
from .attempt_outcomes import AttemptOutcome
from .cache_connection import Connection
from .carried_attempts import Owner
from .config import ConnLimits
from .exchange import Attempt

# How attempts are spread depends on how many one silent connection may delay, not on classes or loads, so it
# is no setting.
SWEEP_MS = 100.0
QUIET_MOST = 4  # quiet connections to a server, above which no further one is dialled
SPREAD, SPREAD_MOST = 6, 4  # attempts on each connection from which a further one is dialled, and how many
SPREAD_CAP_SHARE = 0.75  # of the cap, up to which that is done
CLOSING_TURNS = 4  # iterations of the event loop, more than an aborted connection needs to be closed


class ConnectionPool:
    """Connections by server, `cap` sockets in all, each shared by up to `max_streams` attempts. A server that
    takes over another's address does not take over its connections."""

    def __init__(
        self,
        limits: ConnLimits,
        cap: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
    ) -> None:
        self.endpoints = endpoints
        self.limits = limits
        self.cap = cap
        self.clock = clock
        self.timers = timers
        self.owner: Owner
        self._pool: dict[str, list[Connection]] = {}
        self._count = 0  # connections, each with one socket at least
        self._closing: list[socket.socket] = []  # of ended connections, until they are closed
        self._extra = 0  # further sockets, of dials in parallel and of health checks
        self._trials: set[asyncio.Task[None]] = set()
        self.sweep()

    # --- for dials and health checks (`endpoints.dialer.Budget`)

    def at(self, due_ms: float, call: Callable[[], None]) -> TimerHandle:
        """Schedules a callback."""
        return self.timers.schedule(due_ms, call)

    def spare_sockets(self) -> int:
        """How many sockets may be opened now; closes an idle connection if there is no other."""
        if self._sockets_in_use() < self.cap or self._spare_one():
            return self.cap - self._sockets_in_use()
        return 0

    def hold(self, sockets: int) -> None:
        """Counts sockets beside those of connections; negative: they were closed."""
        self._extra += sockets

    async def wait_for_descriptor(self) -> None:
        """Returns once connections that were closed for this dial have given back their descriptors."""
        for _ in range(CLOSING_TURNS):
            self._closing = [sock for sock in self._closing if sock.fileno() >= 0]
            if not self._closing or self._sockets_in_use() + len(self._closing) <= self.cap:
                return
            await asyncio.sleep(0)

    def _sockets_in_use(self) -> int:
        return self._count + self._extra

    def start_health_check(self, store: str, address: Address) -> None:
        """Dials an ejected address to see whether it works again, unless sockets are short."""
        if self._sockets_in_use() < self.cap * SPREAD_CAP_SHARE:
            trial = check_health(store, address, self.endpoints, self, self.limits.dial_timeout_ms)
            task = asyncio.ensure_future(trial)
            self._trials.add(task)
            task.add_done_callback(self._trials.discard)

    # --- for the director

    def send(self, attempt: Attempt) -> None:
        """Writes the attempt to a connection, or lets it wait for a dial. At the cap it ends as CAPPED."""
        conns = self._pool.setdefault(attempt.store, [])
        now = self.clock()
        able = [c for c in conns if c.takes(attempt.exchange.ask.id)]
        conn = min((c for c in able if not c.is_quiet(now)), key=lambda c: len(c.open), default=None)
        full = conn is not None and len(conn.open) >= SPREAD and len(conns) < SPREAD_MOST
        if full and self._sockets_in_use() < self.cap * SPREAD_CAP_SHARE:
            conn = None
        if (
            conn is None
            and len(able) <= QUIET_MOST
            and (self._sockets_in_use() < self.cap or self._spare_one())
        ):
            conn = Connection(self, attempt.store)
            conns.append(conn)
            self._count += 1
        elif conn is None:
            if not able:
                self.owner.ended(attempt, AttemptOutcome.CAPPED)
                return
            conn = able[-1]
        conn.attempts.add(attempt)

    def abandon(self, attempt: Attempt, end: AttemptOutcome) -> None:
        """Cancels an attempt at its server."""
        for conn in list(self._pool.get(attempt.store, ())):
            conn.drop(attempt, end)

    def cancel_unsent(self, attempt: Attempt) -> None:
        """Keeps an attempt that may not be cancelled from being sent if it has not left this machine yet."""
        for conn in list(self._pool.get(attempt.store, ())):
            conn.attempts.queue.cancel_unsent(attempt)

    def drop_server(self, store: str) -> None:
        """The server left, restarted or drains: attempts that wait for a dial end, those written finish."""
        for conn in list(self._pool.get(store, ())):
            conn.drain()

    def remove_address(self, store: str, address: Address) -> None:
        """The server no longer has this address."""
        for conn in list(self._pool.get(store, ())):
            conn.remove_address(address)

    def close(self) -> None:
        """Ends all connections and health checks."""
        for trial in self._trials:
            trial.cancel()
        for conn in [c for conns in self._pool.values() for c in conns]:
            conn.close()

    def shrink(self, cap: int) -> None:
        """Changes the cap and closes idle connections above it."""
        self.cap = cap
        while self._sockets_in_use() > cap and self._spare_one():
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

    def _spare_one(self) -> bool:
        """Closes an idle connection for one that is needed, and returns whether there was one."""
        every = (c for conns in self._pool.values() for c in conns)
        idle = next((c for c in every if c.writer and not c.open and not c.retired), None)
        if idle is not None:
            idle.close()
            self.remove(idle)
        return idle is not None

    def sweep(self) -> None:
        """Checks all connections, periodically."""
        now = self.clock()
        self.timers.schedule(now + SWEEP_MS, self.sweep)  # first, so that an error does not end the period
        for conns in list(self._pool.values()):
            answered = max(conn.attempts.answered_ms for conn in conns) if conns else 0.0
            for conn in list(conns):
                conn.sweep(now, answered)
