"""Health checks: connects to an avoided address while no request waits for them. This module does the I/O;
`health` decides when a check is due."""

from __future__ import annotations

import asyncio
import os
import socket
from contextlib import suppress

from ..sockets import close_socket
from .address import Address
from .connect import Connect
from .dialer import Budget
from .health import DialFailure, Health
from .plan import Endpoints

MAX_RESPONSE_BYTES = 256
TAG_BYTES = 8


async def check_health(
    server: str, address: Address, endpoints: Endpoints, budget: Budget, timeout_ms: float
) -> None:
    """Checks one address and reports the result to `endpoints.health`. Takes one socket from the budget."""
    health = endpoints.health
    health.record_check_start(server, address)
    budget.hold(1)
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            await _check(server, address, health, budget)
    except TimeoutError:
        health.record_failure(server, address, DialFailure.TIMED_OUT, budget.clock())
    except BaseException:
        health.record_cancel(server, address)
        raise
    finally:
        budget.hold(-1)


async def _check(server: str, address: Address, health: Health, budget: Budget) -> None:
    """Connects to the address. If it had stalled, which does not prevent connects, also sends an `alive`
    request."""
    started_ms = budget.clock()
    address_health = health.get(server, address)
    sock = await _connect(address)
    if isinstance(sock, DialFailure):
        health.record_failure(server, address, sock, budget.clock())
        return
    try:
        elapsed_ms = budget.clock() - started_ms
        had_stalled = address_health is not None and address_health.has_stalled
        if had_stalled and not await _answers_alive(sock):
            health.record_failure(server, address, DialFailure.DIED, budget.clock())
            return
        if had_stalled:
            health.record_answer(server, address)
        health.record_connect(server, address, elapsed_ms)
    finally:
        close_socket(sock)


async def _connect(address: Address) -> socket.socket | DialFailure:
    result: asyncio.Future[socket.socket | DialFailure] = asyncio.get_running_loop().create_future()

    def on_done(sock: socket.socket | None, failure: DialFailure | None) -> None:
        if not result.done():
            result.set_result(sock if sock is not None else failure or DialFailure.UNREACHABLE)

    connect = Connect(address, on_done)
    try:
        return await result
    finally:
        connect.cancel()


async def _answers_alive(sock: socket.socket) -> bool:
    """Whether the server answers an `alive` request, which executes nothing, with the tag that was sent."""
    loop, tag = asyncio.get_running_loop(), os.urandom(TAG_BYTES).hex()
    response = b""
    with suppress(OSError):
        await loop.sock_sendall(sock, f"alive {tag}\r\n".encode())
        while b"\n" not in response and len(response) < MAX_RESPONSE_BYTES:
            chunk = await loop.sock_recv(sock, MAX_RESPONSE_BYTES)
            if not chunk:
                break
            response += chunk
    return response.startswith(f"{tag} green".encode())
