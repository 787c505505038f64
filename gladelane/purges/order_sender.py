"""Sends orders to drop purged copies to cache servers.

An order is `drop TAG LENGTH` and one line for each purge; its response is `TAG dropped`. This module only
does I/O: `orders` decides which orders are sent when.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
from functools import partial

from ..endpoints.dialer import Budget, Dialer
from ..endpoints.health import DialFailure
from ..endpoints.plan import Endpoints
from .orders import Order, Orders

log = logging.getLogger(__name__)

ORDER_TIMEOUT_S = 2.0
POLL_INTERVAL_S = 0.05  # between two checks for orders to send
MAX_RESPONSE_BYTES = 256
TAG_BYTES = 8


class OrderSender:
    """Sends orders to the addresses that requests use, within the socket budget that requests use."""

    def __init__(self, orders: Orders, endpoints: Endpoints, budget: Budget, dial_timeout_ms: float) -> None:
        """`dial_timeout_ms` limits each attempt to connect."""
        self.orders, self.endpoints, self.budget = orders, endpoints, budget
        self.dial_timeout_ms = dial_timeout_ms
        self._tasks: set[asyncio.Task[bool]] = set()

    async def run(self) -> None:
        """Sends orders until it is cancelled, which also cancels those in flight."""
        try:
            while True:
                for order in self.orders.next_orders(self.budget.clock()):
                    self._start(order)
                await asyncio.sleep(POLL_INTERVAL_S)
        finally:
            for task in self._tasks:
                task.cancel()

    def _start(self, order: Order) -> None:
        self.budget.hold(1)
        task = asyncio.create_task(self._send(order))
        self._tasks.add(task)
        # as a callback, because a task that is cancelled before its first step runs none of its code
        task.add_done_callback(partial(self._record_result, order))

    def _record_result(self, order: Order, task: asyncio.Task[bool]) -> None:
        """Records how an order ended. Otherwise its server would count as busy and get no further order."""
        self._tasks.discard(task)
        self.budget.hold(-1)
        if not task.cancelled() and task.exception() is not None:
            log.error("order failed server=%s", order.server, exc_info=task.exception())
        elif not task.cancelled() and task.result():
            self.orders.record_acknowledged(order)
            return
        log.info("order not acknowledged server=%s purges=%d", order.server, len(order.purges))
        self.orders.record_failure(order, self.budget.clock())

    async def _send(self, order: Order) -> bool:
        """Sends an order. Returns whether the server has acknowledged it in time."""
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                return await self._drop(order)
        except (OSError, TimeoutError):
            return False

    async def _drop(self, order: Order) -> bool:
        """Connects to a server and sends an order. Returns whether the server has acknowledged it."""
        plan = self.endpoints.plan(order.server, self.budget.clock())
        if not plan.addresses:
            return False
        dialer = Dialer(order.server, plan, self.endpoints, self.budget, self.dial_timeout_ms)
        try:
            winner = await dialer.winner()
            if isinstance(winner, DialFailure):
                return False
            dialer.start_writing()
        finally:
            dialer.close()
        return await self._ask(winner[0], order)

    @staticmethod
    async def _ask(sock: socket.socket, order: Order) -> bool:
        loop, tag = asyncio.get_running_loop(), os.urandom(TAG_BYTES).hex()
        body = "\n".join(f"{purge.at_ms:.3f} {purge.scope}" for purge in order.purges).encode()
        response = b""
        with sock:
            await loop.sock_sendall(sock, f"drop {tag} {len(body)}\r\n".encode() + body + b"\r\n")
            while b"\r\n" not in response and len(response) < MAX_RESPONSE_BYTES:
                data = await loop.sock_recv(sock, MAX_RESPONSE_BYTES)
                if not data:
                    break
                response += data
        return response.startswith(f"{tag} dropped ".encode())
