"""Measures calls at the admin endpoint: idle, with an overloaded director, and beside slow callers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import NamedTuple

from benchmarks.example_site import request_fields
from benchmarks.percentiles import percentile
from gladelane.lab.client import Client
from gladelane.lab.processes import Processes

CALLS, QUICK_CALLS = 300, 60
CALL_INTERVAL_S = 0.005
SLOW_CALLERS = 60
FLOODING_CLIENTS, CONCURRENT_REQUESTS = 12, 32
FLOOD_WARM_UP_S = 0.5  # load before the calls are measured
DEADLINE_MS = 1000


class Call(NamedTuple):
    """A call and the status that it must get."""

    method: str
    target: str
    status: int


CALL_SEQUENCE = (
    Call("GET", "/healthcheck", 200),
    Call("GET", "/stats", 200),
    Call("POST", "/caches/cache-0/maint", 200),
    Call("POST", "/caches/cache-0/ready", 200),
    Call("POST", "/caches/nobody/maint", 404),
    Call("PUT", "/stats", 405),
)


@dataclass(frozen=True)
class Spread:
    """Percentiles and the maximum of times. The fields have the names of the report."""

    p50_ms: float
    p99_ms: float
    most_ms: float

    @classmethod
    def of(cls, times_ms: Sequence[float]) -> Spread:
        """Returns the spread of at least two times."""
        p50, p99 = percentile(times_ms, 50), percentile(times_ms, 99)
        return cls(round(p50, 2), round(p99, 2), round(max(times_ms), 2))


@dataclass(frozen=True)
class AdminEndpointFigures:
    """The results. The fields have the names of the report; `door` means the admin endpoint there."""

    door_rest: Spread
    door_saturated: Spread
    door_beside_slow_callers: Spread
    door_wrong: list[str]
    loop_late_lines: int


@dataclass
class Caller:
    """Calls the admin endpoint and checks the answers.

    `wrong` lists each call that got an unexpected status, with that status (0: no answer).
    """

    director: Processes
    count: int
    wrong: list[str] = field(default_factory=list)

    async def measure(self) -> Spread:
        """Sends the calls of CALL_SEQUENCE in turn and returns the spread of their times."""
        times_ms = []
        for number in range(self.count):
            call = CALL_SEQUENCE[number % len(CALL_SEQUENCE)]
            started_s = time.perf_counter()
            status, _ = await self.director.call(call.method, call.target)
            times_ms.append((time.perf_counter() - started_s) * 1000.0)
            if status != call.status:
                self.wrong.append(f"{call.method} {call.target}: {status}")
            await asyncio.sleep(CALL_INTERVAL_S)
        return Spread.of(times_ms)


async def _send_flood(port: int, index: int) -> None:
    number = index * 10_000_000
    client = await Client.to("127.0.0.1", port)
    while True:
        number += CONCURRENT_REQUESTS
        requests = (
            client.ask(request_fields("video-part", f"{number + n:016x}", DEADLINE_MS, f"{n:016x}"))
            for n in range(CONCURRENT_REQUESTS)
        )
        await asyncio.gather(*requests)


@asynccontextmanager
async def flood_director(port: int) -> AsyncIterator[None]:
    """Overloads the director with requests inside the context."""
    flood = asyncio.gather(*(_send_flood(port, index) for index in range(FLOODING_CLIENTS)))
    try:
        await asyncio.sleep(FLOOD_WARM_UP_S)
        yield
    finally:
        flood.cancel()
        await asyncio.gather(flood, return_exceptions=True)


@asynccontextmanager
async def open_slow_callers(port: int) -> AsyncIterator[None]:
    """Keeps callers connected that send nothing, or half a request, inside the context."""
    slow_connections = [await asyncio.open_connection("127.0.0.1", port) for _ in range(SLOW_CALLERS)]
    for index, (_, writer) in enumerate(slow_connections):
        writer.write(b"" if index % 2 else b"GET /stats HTTP/1.1\r\nHos")
    yield
    for _, writer in slow_connections:
        writer.close()


async def measure_admin_endpoint(director: Processes, quick: bool) -> AdminEndpointFigures:
    """Measures the calls when idle, under overload, and beside slow callers."""
    caller = Caller(director, QUICK_CALLS if quick else CALLS)
    when_idle = await caller.measure()
    async with flood_director(director.port):
        saturated = await caller.measure()
    async with open_slow_callers(director.ops[0]):
        with_slow_callers = await caller.measure()
    late_lines = director.log().count("loop late")
    return AdminEndpointFigures(when_idle, saturated, with_slow_callers, caller.wrong, late_lines)
