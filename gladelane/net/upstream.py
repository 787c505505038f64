"""The client side: the pool of connections to caches, parents and the origin."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from ..endpoints.address import Address
from ..endpoints.dialling import try_again
from ..endpoints.plan import Endpoints
from .cache_connection import Connection, Owner
from .config import ConnLimits
from .ends import End
from .exchange import Attempt
from .wheel import Entry, Wheel

# How a store's attempts are spread follows from what one connection that goes silent may take along, not from
# classes or loads: it holds for any customer.
SWEEP_MS = 100.0
QUIET_MOST = 4  # quiet connections to a store, beyond which no further one is dialled
SPREAD, SPREAD_MOST = 6, 4  # attempts on each connection from which a store gets a further one, and how many
SPREAD_ROOM = 0.75  # part of the cap up to which that is done


class Upstream:
    """The pool: up to max_streams attempts share a connection to a store, more are dialled as needed. Another
    store at the same address inherits nothing."""

    def __init__(
        self, limits: ConnLimits, cap: int, clock: Callable[[], float], wheel: Wheel, endpoints: Endpoints
    ) -> None:
        self.endpoints = endpoints
        self.limits = limits
        self.cap = cap
        self.clock = clock
        self.wheel = wheel
        self.owner: Owner
        self._pool: dict[str, list[Connection]] = {}
        self._count = 0  # connections, each with one socket at least
        self._extra = 0  # further sockets: of races and of trials
        self._trials: set[asyncio.Task[None]] = set()
        self.sweep()

    # --- for races and trials

    def at(self, due_ms: float, call: Callable[[], None]) -> Entry:
        return self.wheel.at(due_ms, call)

    def room(self) -> int:
        if self._held() < self.cap or self._spare_one():
            return self.cap - self._held()
        return 0

    def hold(self, sockets: int) -> None:
        self._extra += sockets

    def _held(self) -> int:
        return self._count + self._extra

    def try_again(self, store: str, address: Address) -> None:
        if self._held() < self.cap * SPREAD_ROOM:  # never at the cost of a connection that is wanted
            trial = try_again(store, address, self.endpoints, self, self.limits.dial_timeout_ms)
            task = asyncio.ensure_future(trial)
            self._trials.add(task)
            task.add_done_callback(self._trials.discard)

    # --- for the director

    def send(self, attempt: Attempt) -> None:
        conns = self._pool.setdefault(attempt.store, [])
        now = self.clock()
        able = [c for c in conns if c.takes(attempt.exchange.ask.id)]
        conn = min((c for c in able if not c.quiet(now)), key=lambda c: len(c.open), default=None)
        full = conn is not None and len(conn.open) >= SPREAD and len(conns) < SPREAD_MOST
        if full and self._held() < self.cap * SPREAD_ROOM:
            conn = None
        if conn is None and len(able) <= QUIET_MOST and (self._held() < self.cap or self._spare_one()):
            conn = Connection(self, attempt.store)
            conns.append(conn)
            self._count += 1
        elif conn is None:
            if not able:
                self.owner.ended(attempt, End.CAPPED)
                return
            conn = able[-1]
        conn.carry(attempt)

    def abandon(self, attempt: Attempt, end: End) -> None:
        for conn in list(self._pool.get(attempt.store, ())):
            conn.drop(attempt, end)

    def take_back(self, attempt: Attempt) -> None:
        """Its client has gone, and it may not be cancelled: where no byte of it has left none is to."""
        for conn in list(self._pool.get(attempt.store, ())):
            conn.take_back(attempt)

    def forsake(self, store: str) -> None:
        """It left, came up anew or drains: what waits for a dial hears so now, what is open finishes."""
        for conn in list(self._pool.get(store, ())):
            conn.withdraw()

    def withdraw(self, store: str, address: Address) -> None:
        """It is no longer an address of this store."""
        for conn in list(self._pool.get(store, ())):
            conn.withdraw_address(address)

    def close(self) -> None:
        for trial in self._trials:
            trial.cancel()
        for conn in [c for conns in self._pool.values() for c in conns]:
            conn.close()

    def shrink(self, cap: int) -> None:
        """Another process has a part of the sockets: idle connections above this one's part go."""
        self.cap = cap
        while self._held() > cap and self._spare_one():
            pass

    def remove(self, conn: Connection) -> None:
        conns = self._pool.get(conn.store, [])
        if conn in conns:
            conns.remove(conn)
            self._count -= 1
        if not conns:
            self._pool.pop(conn.store, None)

    def _spare_one(self) -> bool:
        """At the cap an idle connection makes room for one that is needed."""
        every = (c for conns in self._pool.values() for c in conns)
        idle = next((c for c in every if c.writer and not c.open and not c.retired), None)
        if idle is not None:
            idle.close()
            self.remove(idle)
        return idle is not None

    def sweep(self) -> None:
        now = self.clock()
        for conns in list(self._pool.values()):
            answered = max(conn.answered_ms for conn in conns) if conns else 0.0
            for conn in list(conns):
                conn.sweep(now, answered)
        self.wheel.at(now + SWEEP_MS, self.sweep)
