"""Orders to servers to drop what was purged: who is owed what, retried, within a budget, resumed. Pure.

The director's own bounds keep old copies from clients; an order frees their room and spares the next request
a fill. One list holds all that stands, in the order it came; each server has a place in it. A server counts
as purged once its place is the end. One that came up anew, perhaps with old copies, begins at the start again
and gets all that stands.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from ..control.positions import Vector
from .order import Purge

MAX_BATCH = 200  # purges in one order
FIRST_RETRY_MS, MAX_RETRY_MS = 200.0, 10_000.0
SLACK = 1_000  # purges past what stands before the list is made anew


class Order(NamedTuple):
    """To be sent now. run: of the server's process, so that an answer to an earlier one does not count."""

    server: str
    run: float
    upto: int
    purges: tuple[Purge, ...]


class _Server:
    __slots__ = ("run", "place", "out", "due_ms", "fails", "done")

    def __init__(self, run: float) -> None:
        self.run = run
        self.place = 0
        self.out = False
        self.due_ms = 0.0
        self.fails = 0
        self.done: Vector = {}  # what another director has had acknowledged


class Orders:
    """per_s: orders a second over all servers; at_once: orders under way."""

    def __init__(self, per_s: float, at_once: int, now_ms: float) -> None:
        self.per_s, self.at_once = per_s, at_once
        self._servers: dict[str, _Server] = {}
        self._all: list[Purge] = []
        self._out = 0
        self._tokens, self._at_ms = per_s, now_ms
        self._turn = 0
        self.owned: Callable[[str], bool] = lambda server: True  # whether its orders are this director's

    def servers(self, runs: Mapping[str, float]) -> None:
        """The servers that take orders, each with the start of its process; others are forgotten."""
        for name in [name for name in self._servers if name not in runs]:
            self._out -= self._servers.pop(name).out
        for name, run in runs.items():
            known = self._servers.get(name)
            if known is None or known.run != run:
                self._out -= known.out if known is not None else False
                self._servers[name] = _Server(run)

    def add(self, purges: Iterable[Purge]) -> None:
        self._all += purges

    def compact(self, active: Iterable[Purge], count: int) -> None:
        """Makes the list anew from what stands, once much of it no longer does. Who had all of it still has;
        others begin again: an order repeated does no harm."""
        if len(self._all) <= 2 * count + SLACK or self._out:
            return
        done = [server for server in self._servers.values() if server.place >= len(self._all)]
        self._all = list(active)
        for server in self._servers.values():
            server.place = 0
        for server in done:
            server.place = len(self._all)

    def purged(self, server: str) -> bool:
        known = self._servers.get(server)
        return known is not None and known.place >= len(self._all)

    def owed(self) -> int:
        """Purges that servers lack, summed."""
        return sum(len(self._all) - server.place for server in self._servers.values())

    def next(self, now_ms: float) -> list[Order]:
        """What to send now. The servers take turns, so that one with a long backlog holds up no other."""
        gained = max(now_ms - self._at_ms, 0.0) / 1000.0 * self.per_s
        self._tokens, self._at_ms = min(self._tokens + gained, max(self.per_s, 1.0)), now_ms
        made: list[Order] = []
        names = list(self._servers)
        for step in range(len(names)):
            if self._tokens < 1.0 or self._out >= self.at_once:
                break
            name = names[(self._turn + step) % len(names)]
            server = self._servers[name]
            if server.out or server.due_ms > now_ms or server.place >= len(self._all) or not self.owned(name):
                continue
            upto = min(server.place + MAX_BATCH, len(self._all))
            owed = tuple(
                purge
                for purge in self._all[server.place : upto]
                if purge.seq > server.done.get((purge.issuer, purge.epoch), 0)
            )
            if not owed:
                server.place = upto
                continue
            made.append(Order(name, server.run, upto, owed))
            server.out = True
            self._out += 1
            self._tokens -= 1.0
        self._turn += 1
        return made

    def resume(self, server: str, run: float, vector: Vector) -> None:
        """Another director has had so much acknowledged by this process of a server."""
        known = self._servers.get(server)
        if known is not None and known.run == run:
            streams = known.done.keys() | vector.keys()
            known.done = {s: max(known.done.get(s, 0), vector.get(s, 0)) for s in streams}

    def acknowledged_by(self, reached: Vector) -> dict[str, tuple[float, Vector]]:
        """Each server's process, and up to where it is known to have acknowledged; reached: all that the list
        has."""
        return {
            name: (server.run, reached if server.place >= len(self._all) else server.done)
            for name, server in self._servers.items()
        }

    def acknowledged(self, order: Order) -> None:
        server = self._over(order)
        if server is not None:
            server.place, server.fails, server.due_ms = order.upto, 0, 0.0

    def failed(self, order: Order, now_ms: float) -> None:
        """It may have been carried out or not: it is sent again, later and later."""
        server = self._over(order)
        if server is not None:
            server.due_ms = now_ms + min(FIRST_RETRY_MS * 2.0 ** min(server.fails, 10), MAX_RETRY_MS)
            server.fails += 1

    def _over(self, order: Order) -> _Server | None:
        server = self._servers.get(order.server)
        if server is None or server.run != order.run or not server.out:
            return None
        server.out = False
        self._out -= 1
        return server
