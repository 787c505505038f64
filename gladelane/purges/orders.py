"""Schedules orders to cache servers to drop purged copies: what each server lacks, retries and a rate limit.
It does no I/O and reads no clock.

Correctness does not depend on orders: a director never serves a copy that is older than a purge of it. An
order frees the space of such copies and saves the next request a fill. All active purges are in one
list, in their order of arrival, and each server has a position in it. A server is purged once its position is
the end of the list. A server that restarted may have old copies again, so it begins at the start of the list.
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
#: The list is compacted once its inactive purges exceed its active ones by this number.
COMPACTION_SLACK = 1_000


class Order(NamedTuple):
    """An order to send now.

    Attributes: server; process_start, when the server's process started, by which responses of an earlier
    process are ignored; end_position, the server's position in the list once it has acknowledged the
    order."""

    server: str
    process_start: float
    end_position: int
    purges: tuple[Purge, ...]


class _ServerState:
    """The progress of one server.

    Attributes: process_start, when its process started; position, in the list; is_in_flight, whether an order
    to it is in flight; due_ms, before which no order is sent; failures, since the last acknowledgement;
    acknowledged, what the server has acknowledged to another director."""

    __slots__ = ("process_start", "position", "is_in_flight", "due_ms", "failures", "acknowledged")

    def __init__(self, process_start: float) -> None:
        self.process_start = process_start
        self.position = 0
        self.is_in_flight = False
        self.due_ms = 0.0
        self.failures = 0
        self.acknowledged: Vector = {}


class Orders:
    """The orders of one director.

    Attributes: per_s, the most orders a second to all servers together; max_in_flight, the most orders in
    flight; is_responsible_for, returns whether this director sends the orders to a server. It does for all
    servers, unless leases divide them among the directors."""

    def __init__(self, per_s: float, max_in_flight: int, now_ms: float) -> None:
        """Starts with a full rate limit budget."""
        self.per_s, self.max_in_flight = per_s, max_in_flight
        self.is_responsible_for: Callable[[str], bool] = _is_responsible_for_all
        self._servers: dict[str, _ServerState] = {}
        self._purges: list[Purge] = []
        self._in_flight = 0
        self._tokens, self._refilled_ms = per_s, now_ms
        self._rotation = 0

    def set_servers(self, process_starts: Mapping[str, float]) -> None:
        """Sets the servers that accept orders, each with the start of its process; others are removed."""
        for name in [name for name in self._servers if name not in process_starts]:
            self._in_flight -= self._servers.pop(name).is_in_flight
        for name, process_start in process_starts.items():
            known = self._servers.get(name)
            if known is None or known.process_start != process_start:
                self._in_flight -= known.is_in_flight if known is not None else False
                self._servers[name] = _ServerState(process_start)

    def add(self, purges: Iterable[Purge]) -> None:
        """Appends purges to the list."""
        self._purges += purges

    def compact(self, active: Iterable[Purge], count: int) -> None:
        """Replaces the list by the `count` active purges once many in it are inactive.

        Servers that have all purges stay so. Others start again at the beginning of the list, since a
        repeated order does no harm."""
        if len(self._purges) <= 2 * count + COMPACTION_SLACK or self._in_flight:
            return
        complete = [server for server in self._servers.values() if self._has_all(server)]
        self._purges = list(active)
        for server in self._servers.values():
            server.position = 0
        for server in complete:
            server.position = len(self._purges)

    def _has_all(self, server: _ServerState) -> bool:
        return server.position >= len(self._purges)

    def is_purged(self, server: str) -> bool:
        """Returns whether a server has acknowledged all purges."""
        known = self._servers.get(server)
        return known is not None and self._has_all(known)

    def pending_count(self) -> int:
        """Returns the number of purges that servers lack, summed over servers."""
        return sum(len(self._purges) - server.position for server in self._servers.values())

    def next_orders(self, now_ms: float) -> list[Order]:
        """Returns the orders to send now. The servers take turns, so that a long backlog of one of them
        delays no other."""
        self._refill(now_ms)
        orders: list[Order] = []
        names = list(self._servers)
        for step in range(len(names)):
            if self._tokens < 1.0 or self._in_flight >= self.max_in_flight:
                break
            name = names[(self._rotation + step) % len(names)]
            order = self._next_order_to(name, now_ms)
            if order is not None:
                orders.append(order)
        self._rotation += 1
        return orders

    def _refill(self, now_ms: float) -> None:
        gained = max(now_ms - self._refilled_ms, 0.0) / 1000.0 * self.per_s
        self._tokens = min(self._tokens + gained, max(self.per_s, 1.0))
        self._refilled_ms = now_ms

    def _next_order_to(self, name: str, now_ms: float) -> Order | None:
        server = self._servers[name]
        if (
            server.is_in_flight
            or server.due_ms > now_ms
            or self._has_all(server)
            or not self.is_responsible_for(name)
        ):
            return None
        end_position = min(server.position + MAX_BATCH, len(self._purges))
        missing = tuple(
            purge
            for purge in self._purges[server.position : end_position]
            if purge.seq > server.acknowledged.get((purge.issuer, purge.epoch), 0)
        )
        if not missing:
            server.position = end_position
            return None
        server.is_in_flight = True
        self._in_flight += 1
        self._tokens -= 1.0
        return Order(name, server.process_start, end_position, missing)

    def adopt_progress(self, server: str, process_start: float, vector: Vector) -> None:
        """Adopts the position that this process of a server has acknowledged to another director."""
        known = self._servers.get(server)
        if known is not None and known.process_start == process_start:
            known.acknowledged = merge_vectors((known.acknowledged, vector))

    def acknowledged_by(self, reached: Vector) -> dict[str, tuple[float, Vector]]:
        """Returns for each server the start of its process, and the position that it is known to have
        acknowledged. `reached`: the position that the whole list amounts to."""
        return {
            name: (server.process_start, reached if self._has_all(server) else server.acknowledged)
            for name, server in self._servers.items()
        }

    def record_acknowledged(self, order: Order) -> None:
        """Records that a server has carried out an order."""
        server = self._finish(order)
        if server is not None:
            server.position, server.failures, server.due_ms = order.end_position, 0, 0.0

    def record_failure(self, order: Order, now_ms: float) -> None:
        """Schedules a retry with exponential backoff. The server may have carried out the order or not."""
        server = self._finish(order)
        if server is not None:
            retry_ms = min(FIRST_RETRY_MS * 2.0 ** min(server.failures, MAX_DOUBLINGS), MAX_RETRY_MS)
            server.due_ms = now_ms + retry_ms
            server.failures += 1

    def _finish(self, order: Order) -> _ServerState | None:
        """Ends an order in flight. Returns its server, or None if the order was for an earlier process."""
        server = self._servers.get(order.server)
        if server is None or server.process_start != order.process_start or not server.is_in_flight:
            return None
        server.is_in_flight = False
        self._in_flight -= 1
        return server


def _is_responsible_for_all(_server: str) -> bool:
    return True
