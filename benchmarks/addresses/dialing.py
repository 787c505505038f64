"""Single dials without a director, and the baseline that they are compared with."""

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
SEED = 3  # for the order in which equal addresses are dialled


class UnlimitedSockets:
    """A socket budget without a limit, with the timers of the event loop."""

    def __init__(self) -> None:
        self.in_use = 0

    def clock(self) -> float:
        """Returns the monotonic time in milliseconds."""
        return time.monotonic() * 1000.0

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Schedules a call on the event loop."""
        delay_s = max(due_ms - self.clock(), 0.0) / 1000.0
        return asyncio.get_running_loop().call_later(delay_s, call)

    def spare_sockets(self) -> int:
        """Returns more sockets than any dial uses."""
        return 1000

    def hold(self, sockets: int) -> None:
        """Counts additional sockets in use; a negative number releases them."""
        self.in_use += sockets


class Stalls:
    """Measures for how long this process was not scheduled, which is no cost of an address."""

    STEP_S = 0.005

    def __init__(self) -> None:
        self.total_ms = 0.0
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        while True:
            started_s = time.monotonic()
            await asyncio.sleep(self.STEP_S)
            self.total_ms += max(time.monotonic() - started_s - self.STEP_S, 0.0) * 1000.0

    def close(self) -> None:
        """Stops measuring."""
        self._task.cancel()


def endpoints_of(server: str, listed: Sequence[str]) -> Endpoints:
    """Returns the endpoints of one server, of whose addresses nothing is known yet."""
    endpoints = Endpoints(random.Random(SEED))
    endpoints.update([Listing(server, listed[-1], addresses=tuple(listed))], complete=True)
    return endpoints


async def dial(server: str, endpoints: Endpoints, sockets: UnlimitedSockets) -> float:
    """Returns the ms until a connection is established. Raises RuntimeError if none is."""
    started_ms = sockets.clock()
    dialer = Dialer(server, endpoints.plan(server, started_ms), endpoints, sockets, DIAL_MS)
    winner = await dialer.winner()
    elapsed_ms = sockets.clock() - started_ms
    if isinstance(winner, DialFailure):
        raise RuntimeError(f"{server}: {winner.name}")
    dialer.start_writing()
    winner[0].close()
    dialer.close()
    return elapsed_ms


async def dial_in_turn(addresses: Sequence[str]) -> float:
    """Dials the addresses in the listed order, each with a full timeout and without memory: the baseline.

    Returns the ms until a connection is established. Raises RuntimeError if none is.
    """
    started_s = time.monotonic()
    for address in addresses:
        connected: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        connect = Connect(parse(address), lambda sock, _end, future=connected: future.set_result(sock))  # type: ignore[misc]
        try:
            async with asyncio.timeout(DIAL_MS / 1000.0):
                sock = await connected
        except TimeoutError:
            connect.cancel()
            continue
        if sock is not None:
            sock.close()
            return (time.monotonic() - started_s) * 1000.0
    raise RuntimeError("no address could be connected")


async def pays_for_family(
    server: str, endpoints: Endpoints, sockets: UnlimitedSockets, stalls: Stalls, broken: Family
) -> bool:
    """Dials a server and returns whether a broken family slowed the dial.

    It did if the dial began with an address of that family, or took more than half of the delay before the
    second address is dialled, not counting the time for which the process was not scheduled.
    """
    begins_with_broken = endpoints.plan(server, sockets.clock()).addresses[0].family is broken
    stalled_ms = stalls.total_ms
    elapsed_ms = await dial(server, endpoints, sockets)
    return (
        begins_with_broken
        or elapsed_ms - (stalls.total_ms - stalled_ms) > endpoints.options.delay_first_ms / 2.0
    )


async def run_concurrently(
    calls: Sequence[Callable[[], Coroutine[Any, Any, T]]], concurrency: int
) -> list[T]:
    """Runs all calls, at most `concurrency` at the same time, and returns their results."""
    semaphore = asyncio.Semaphore(concurrency)

    async def run_one(call: Callable[[], Coroutine[Any, Any, T]]) -> T:
        async with semaphore:
            return await call()

    return await asyncio.gather(*(run_one(call) for call in calls))
