"""Single dials without a director, and the plain way of dialling that they are compared with."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Sequence
from typing import Any, TypeVar

from gladelane.endpoints.address import Family, parse
from gladelane.endpoints.connect import Connect
from gladelane.endpoints.dialer import Dialer, Timer
from gladelane.endpoints.health import DialFailure
from gladelane.endpoints.plan import Endpoints
from gladelane.endpoints.rules import Listing

T = TypeVar("T")
DIAL_MS = 1000.0
SEED = 3  # of the order in which equal addresses are dialled


class UnlimitedSockets:
    """A socket budget without a bound, and the loop's own clock."""

    def __init__(self) -> None:
        self.in_use = 0

    def clock(self) -> float:
        """Milliseconds."""
        return time.monotonic() * 1000.0

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """A timer of the loop."""
        delay_s = max(due_ms - self.clock(), 0.0) / 1000.0
        return asyncio.get_running_loop().call_later(delay_s, call)

    def spare_sockets(self) -> int:
        """More than any dial takes."""
        return 1000

    def hold(self, sockets: int) -> None:
        """So many more are in use; fewer where it is negative."""
        self.in_use += sockets


class Stalls:
    """How long this process stood still, ms: what the machine took from it is no cost of an address."""

    STEP_S = 0.005

    def __init__(self) -> None:
        self.total_ms = 0.0
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            began_s = time.monotonic()
            await asyncio.sleep(self.STEP_S)
            self.total_ms += max(time.monotonic() - began_s - self.STEP_S, 0.0) * 1000.0

    def close(self) -> None:
        """Watches no longer."""
        self._task.cancel()


def endpoints_of(server: str, listed: Sequence[str]) -> Endpoints:
    """One server, of whose addresses nothing is known yet."""
    endpoints = Endpoints(random.Random(SEED))
    endpoints.update([Listing(server, listed[-1], addresses=tuple(listed))], complete=True)
    return endpoints


async def dial(server: str, endpoints: Endpoints, sockets: UnlimitedSockets) -> float:
    """The ms until a connection is up. Raises RuntimeError where none comes up."""
    began_ms = sockets.clock()
    dialer = Dialer(server, endpoints.plan(server, began_ms), endpoints, sockets, DIAL_MS)
    winner = await dialer.winner()
    elapsed_ms = sockets.clock() - began_ms
    if isinstance(winner, DialFailure):
        raise RuntimeError(f"{server}: {winner.name}")
    dialer.start_writing()
    winner[0].close()
    dialer.close()
    return elapsed_ms


async def dial_in_turn(addresses: Sequence[str]) -> float:
    """The baseline: the listed order, a full time-out each, nothing learnt. The ms until a connection is up;
    raises RuntimeError where none comes up."""
    began_s = time.monotonic()
    for text in addresses:
        connected: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        connect = Connect(parse(text), lambda sock, _end, future=connected: future.set_result(sock))  # type: ignore[misc]
        try:
            async with asyncio.timeout(DIAL_MS / 1000.0):
                sock = await connected
        except TimeoutError:
            connect.cancel()
            continue
        if sock is not None:
            sock.close()
            return (time.monotonic() - began_s) * 1000.0
    raise RuntimeError("no address came up")


async def pays_for_family(
    server: str, endpoints: Endpoints, sockets: UnlimitedSockets, stalls: Stalls, broken: Family
) -> bool:
    """Whether a server's dial pays for a broken family: it leads with it, or takes half the time that its
    first address has before the second is dialled, without the time that the process stood still."""
    leads = endpoints.plan(server, sockets.clock()).addresses[0].family is broken
    stalled_ms = stalls.total_ms
    elapsed_ms = await dial(server, endpoints, sockets)
    return leads or elapsed_ms - (stalls.total_ms - stalled_ms) > endpoints.options.delay_first_ms / 2.0


async def run_at_once(calls: Sequence[Callable[[], Coroutine[Any, Any, T]]], at_once: int) -> list[T]:
    """The results of all calls, of which so many run at once."""
    gate = asyncio.Semaphore(at_once)

    async def run_one(call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        async with gate:
            return await call()

    return await asyncio.gather(*(run_one(call) for call in calls))
