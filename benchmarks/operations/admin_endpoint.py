"""Calls at the admin endpoint: at rest, while clients ask for more than it can serve, beside slow callers."""

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
BETWEEN_CALLS_S = 0.005
SLOW_CALLERS = 60
FLOODING_CLIENTS, REQUESTS_AT_ONCE = 12, 32
FLOOD_S = 0.5  # before calls are measured in it
DEADLINE_MS = 1000


class Call(NamedTuple):
    """A call, and the status that it has to get."""

    method: str
    target: str
    status: int


CALLS_IN_TURN = (
    Call("GET", "/healthcheck", 200),
    Call("GET", "/stats", 200),
    Call("POST", "/caches/cache-0/maint", 200),
    Call("POST", "/caches/cache-0/ready", 200),
    Call("POST", "/caches/nobody/maint", 404),
    Call("PUT", "/stats", 405),
)


@dataclass(frozen=True)
class Spread:
    """Of times. The names are those of the report."""

    p50_ms: float
    p99_ms: float
    most_ms: float

    @classmethod
    def of(cls, times_ms: Sequence[float]) -> Spread:
        """Needs two times."""
        p50, p99 = percentile(times_ms, 50), percentile(times_ms, 99)
        return cls(round(p50, 2), round(p99, 2), round(max(times_ms), 2))


@dataclass(frozen=True)
class AdminEndpointFigures:
    """The names are those of the report."""

    door_rest: Spread
    door_saturated: Spread
    door_beside_slow_callers: Spread
    door_wrong: list[str]
    loop_late_lines: int


@dataclass
class Caller:
    """`wrong`: the calls that got another status than they have to, 0 for none."""

    director: Processes
    count: int
    wrong: list[str] = field(default_factory=list)

    async def measure(self) -> Spread:
        """Questions and orders in turn."""
        times_ms = []
        for number in range(self.count):
            call = CALLS_IN_TURN[number % len(CALLS_IN_TURN)]
            began_s = time.perf_counter()
            status, _ = await self.director.call(call.method, call.target)
            times_ms.append((time.perf_counter() - began_s) * 1000.0)
            if status != call.status:
                self.wrong.append(f"{call.method} {call.target}: {status}")
            await asyncio.sleep(BETWEEN_CALLS_S)
        return Spread.of(times_ms)


async def _flood_from(port: int, place: int) -> None:
    number = place * 10_000_000
    client = await Client.to("127.0.0.1", port)
    while True:
        number += REQUESTS_AT_ONCE
        waves = (
            client.ask(request_fields("video-part", f"{number + n:016x}", DEADLINE_MS, f"{n:016x}"))
            for n in range(REQUESTS_AT_ONCE)
        )
        await asyncio.gather(*waves)


@asynccontextmanager
async def flooded(port: int) -> AsyncIterator[None]:
    """Meanwhile clients ask for more than the director can serve."""
    flood = asyncio.gather(*(_flood_from(port, place) for place in range(FLOODING_CLIENTS)))
    try:
        await asyncio.sleep(FLOOD_S)
        yield
    finally:
        flood.cancel()
        await asyncio.gather(flood, return_exceptions=True)


@asynccontextmanager
async def beside_slow_callers(port: int) -> AsyncIterator[None]:
    """Meanwhile callers say nothing, or half a request."""
    slow = [await asyncio.open_connection("127.0.0.1", port) for _ in range(SLOW_CALLERS)]
    for place, (_, writer) in enumerate(slow):
        writer.write(b"" if place % 2 else b"GET /stats HTTP/1.1\r\nHos")
    yield
    for _, writer in slow:
        writer.close()


async def measure_admin_endpoint(director: Processes, quick: bool) -> AdminEndpointFigures:
    """At rest, flooded, and beside slow callers."""
    caller = Caller(director, QUICK_CALLS if quick else CALLS)
    at_rest = await caller.measure()
    async with flooded(director.port):
        saturated = await caller.measure()
    async with beside_slow_callers(director.ops[0]):
        beside = await caller.measure()
    late_lines = director.log().count("loop late")
    return AdminEndpointFigures(at_rest, saturated, beside, caller.wrong, late_lines)
