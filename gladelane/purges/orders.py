"""Orders to cache servers to drop purged copies: which server lacks what, retries, a budget, resumption.
Pure.

The bounds of a director keep old copies from clients anyway; an order frees their space and saves the next
request a fill. One list has all active purges in the order of arrival, and each server has a position in it.
A server is purged once its position is the end of the list. A server that restarted, perhaps with old copies,
begins at the start of the list again.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from ..control_plane.positions import Vector
from .purge import Purge
from .vectors import merge_vectors

MAX_BATCH = 200  # purges in one order
FIRST_RETRY_MS, MAX_RETRY_MS = 200.0, 10_000.0
MAX_DOUBLINGS = 10  # of the retry interval
COMPACTION_SLACK = (
    1_000  # inactive purges, in addition to as many as are active, before the list is compacted
)


class Order(NamedTuple):
    """An order to send now.

    Attributes: server; run, the start of the server's process, so that the response of an earlier process
    does not count; upto, the position in the list that the order completes."""

    server: str
    run: float
    upto: int
    purges: tuple[Purge, ...]


class _ServerState:
    """Attributes: run, the start of the process; place, the position in the list; out, whether an order is in
    flight; due_ms, before which no order is sent; failures, since the last acknowledgement; acknowledged,
    what the server has acknowledged to another director."""

    __slots__ = ("run", "place", "out", "due_ms", "failures", "acknowledged")

    def __init__(self, run: float) -> None:
        self.run = run
        self.place = 0
        self.out = False
        self.due_ms = 0.0
        self.failures = 0
        self.acknowledged: Vector = {}


class Orders:
    """The orders of one director.

    Attributes: per_s, orders a second over all servers; at_once, orders in flight; owned, returns whether the
    orders to a server are this director's, which is so for all until leases say otherwise."""

    def __init__(self, per_s: float, at_once: int, now_ms: float) -> None:
        """The budget is full at first."""
        self.per_s, self.at_once = per_s, at_once
        self.owned: Callable[[str], bool] = _owns_all
        self._servers: dict[str, _ServerState] = {}
        self._purges: list[Purge] = []
        self._out = 0
        self._tokens, self._refilled_ms = per_s, now_ms
        self._rotation = 0

    def servers(self, runs: Mapping[str, float]) -> None:
        """Sets the servers that take orders, each with the start of its process; others are removed."""
        for name in [name for name in self._servers if name not in runs]:
            self._out -= self._servers.pop(name).out
        for name, run in runs.items():
            known = self._servers.get(name)
            if known is None or known.run != run:
                self._out -= known.out if known is not None else False
                self._servers[name] = _ServerState(run)

    def add(self, purges: Iterable[Purge]) -> None:
        """Appends purges to the list."""
        self._purges += purges

    def compact(self, active: Iterable[Purge], count: int) -> None:
        """Replaces the list by the `count` active purges once many in it are inactive. Servers that have
        everything keep this state; others start again, since a repeated order does no harm."""
        if len(self._purges) <= 2 * count + COMPACTION_SLACK or self._out:
            return
        complete = [server for server in self._servers.values() if self._has_all(server)]
        self._purges = list(active)
        for server in self._servers.values():
            server.place = 0
        for server in complete:
            server.place = len(self._purges)

    def _has_all(self, server: _ServerState) -> bool:
        return server.place >= len(self._purges)

    def purged(self, server: str) -> bool:
        """Returns whether a server has acknowledged everything."""
        known = self._servers.get(server)
        return known is not None and self._has_all(known)

    def pending_count(self) -> int:
        """Returns the number of purges that servers lack, summed over servers."""
        return sum(len(self._purges) - server.place for server in self._servers.values())

    def next(self, now_ms: float) -> list[Order]:
        """Returns the orders to send now. Servers take turns, so that a long backlog of one delays no
        other."""
        self._refill(now_ms)
        orders: list[Order] = []
        names = list(self._servers)
        for step in range(len(names)):
            if self._tokens < 1.0 or self._out >= self.at_once:
                break
            name = names[(self._rotation + step) % len(names)]
            order = self._next_for(name, now_ms)
            if order is not None:
                orders.append(order)
        self._rotation += 1
        return orders

    def _refill(self, now_ms: float) -> None:
        gained = max(now_ms - self._refilled_ms, 0.0) / 1000.0 * self.per_s
        self._tokens = min(self._tokens + gained, max(self.per_s, 1.0))
        self._refilled_ms = now_ms

    def _next_for(self, name: str, now_ms: float) -> Order | None:
        server = self._servers[name]
        if server.out or server.due_ms > now_ms or self._has_all(server) or not self.owned(name):
            return None
        upto = min(server.place + MAX_BATCH, len(self._purges))
        missing = tuple(
            purge
            for purge in self._purges[server.place : upto]
            if purge.seq > server.acknowledged.get((purge.issuer, purge.epoch), 0)
        )
        if not missing:
            server.place = upto
            return None
        server.out = True
        self._out += 1
        self._tokens -= 1.0
        return Order(name, server.run, upto, missing)

    def resume(self, server: str, run: float, vector: Vector) -> None:
        """Takes over what this process of a server has acknowledged to another director."""
        known = self._servers.get(server)
        if known is not None and known.run == run:
            known.acknowledged = merge_vectors((known.acknowledged, vector))

    def acknowledged_by(self, reached: Vector) -> dict[str, tuple[float, Vector]]:
        """Returns the process of each server, and the position that it is known to have acknowledged.
        `reached`: the position of the whole list."""
        return {
            name: (server.run, reached if self._has_all(server) else server.acknowledged)
            for name, server in self._servers.items()
        }

    def acknowledged(self, order: Order) -> None:
        """Records that a server has carried out an order."""
        server = self._finish(order)
        if server is not None:
            server.place, server.failures, server.due_ms = order.upto, 0, 0.0

    def failed(self, order: Order, now_ms: float) -> None:
        """Schedules an order again, with exponential backoff. It may have been carried out or not."""
        server = self._finish(order)
        if server is not None:
            retry_ms = min(FIRST_RETRY_MS * 2.0 ** min(server.failures, MAX_DOUBLINGS), MAX_RETRY_MS)
            server.due_ms = now_ms + retry_ms
            server.failures += 1

    def _finish(self, order: Order) -> _ServerState | None:
        """Returns the server, or None if the order was for an earlier process of it."""
        server = self._servers.get(order.server)
        if server is None or server.run != order.run or not server.out:
            return None
        server.out = False
        self._out -= 1
        return server


def _owns_all(_server: str) -> bool:
    return True
