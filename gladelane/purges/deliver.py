"""Carries orders out: `drop TAG LENGTH`, the scopes as lines, and the answer `TAG dropped`. Decides
nothing."""

from __future__ import annotations

import asyncio
import logging
import os
import socket

from ..endpoints.dialling import Budget, Dialling
from ..endpoints.health import DialEnd
from ..endpoints.plan import Endpoints
from .orders import Order, Orders

log = logging.getLogger(__name__)

WITHIN_S = 2.0
LOOK_S = 0.05
ANSWER_BYTES = 256


class Deliver:
    """Sends what `orders` asks for, over the same addresses and socket budget as requests."""

    def __init__(self, orders: Orders, endpoints: Endpoints, budget: Budget, dial_timeout_ms: float) -> None:
        self.orders, self.endpoints, self.budget = orders, endpoints, budget
        self.dial_timeout_ms = dial_timeout_ms
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        try:
            while True:
                for order in self.orders.next(self.budget.clock()):
                    task = asyncio.create_task(self._send(order))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(LOOK_S)
        finally:
            for task in self._tasks:
                task.cancel()

    async def _send(self, order: Order) -> None:
        self.budget.hold(1)
        try:
            async with asyncio.timeout(WITHIN_S):
                dropped = await self._drop(order)
        except (OSError, TimeoutError):
            dropped = False
        except Exception:
            log.exception("order failed server=%s", order.server)
            dropped = False
        finally:
            self.budget.hold(-1)
        if dropped:
            self.orders.acknowledged(order)
        else:
            log.info("order not acknowledged server=%s purges=%d", order.server, len(order.purges))
            self.orders.failed(order, self.budget.clock())

    async def _drop(self, order: Order) -> bool:
        plan = self.endpoints.plan(order.server, self.budget.clock())
        if not plan.addresses:
            return False
        race = Dialling(order.server, plan, self.endpoints, self.budget, self.dial_timeout_ms)
        try:
            won = await race.winner()
            if isinstance(won, DialEnd):
                return False
            race.written()
        finally:
            race.close()
        return await self._ask(won[0], order)

    @staticmethod
    async def _ask(sock: socket.socket, order: Order) -> bool:
        loop, tag = asyncio.get_running_loop(), os.urandom(8).hex()
        body = "\n".join(f"{purge.at_ms:.3f} {purge.scope}" for purge in order.purges).encode()
        held = b""
        with sock:
            await loop.sock_sendall(sock, f"drop {tag} {len(body)}\r\n".encode() + body + b"\r\n")
            while b"\r\n" not in held and len(held) < ANSWER_BYTES:
                data = await loop.sock_recv(sock, ANSWER_BYTES)
                if not data:
                    break
                held += data
        return held.startswith(f"{tag} dropped ".encode())
