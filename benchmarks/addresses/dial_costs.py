"""The cost of dials while the packets to one address or a whole family are dropped, and of baseline dials."""

from __future__ import annotations

import asyncio
import random
import statistics
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from functools import partial

from benchmarks.percentiles import percentile
from gladelane.endpoints.address import Family
from gladelane.endpoints.plan import Endpoints
from gladelane.endpoints.rules import Listing
from gladelane.lab.fake_server import FakeServer, Fault

from .dialing import (
    SEED,
    Stalls,
    UnlimitedSockets,
    dial,
    dial_in_turn,
    endpoints_of,
    pays_for_family,
    run_concurrently,
)

DIALS, QUICK_DIALS = 1000, 100
LEARNED_DIALS_FACTOR = 4  # times as many dials after the fault is known
FIRST_CONCURRENCY, IN_TURN_CONCURRENCY, FAMILY_CONCURRENCY, COMPARED_CONCURRENCY = 16, 50, 8, 250
FAULT_CONCURRENCY = 50


@dataclass(frozen=True)
class DialFigures:
    """Dials to one server whose first address drops all packets. The names are those of the report."""

    dial_ms_p50: float
    first_dial_added_ms_p99: float
    learnt_added_ms_p99: float
    plain_added_ms_p99: float
    dial_sockets_left: int


@dataclass(frozen=True)
class FamilyFigures:
    """How many servers had slow dials due to a broken family. The names are those of the report."""

    family_servers: int
    family_paid: int
    family_paid_plain: int
    family_paid_race_without_memory: int


async def measure_dials(quick: bool) -> DialFigures:
    """Measures dials to a server with two addresses; the first drops packets after the first measurement."""
    server, sockets = FakeServer("s"), UnlimitedSockets()
    listed = [await server.listen(Family.V6), await server.listen(Family.V4)]
    count = QUICK_DIALS if quick else DIALS

    async def dial_first_time() -> float:
        return await dial("s", endpoints_of("s", listed), sockets)

    usual_ms = statistics.median(await run_concurrently([dial_first_time] * count, 1))
    await server.set(listed[0], Fault.BLACK_HOLE)
    first_ms = await run_concurrently([dial_first_time] * count, FIRST_CONCURRENCY)
    endpoints = endpoints_of("s", listed)
    await dial("s", endpoints, sockets)
    dial_again = partial(dial, "s", endpoints, sockets)
    learned_ms = await run_concurrently([dial_again] * (count * LEARNED_DIALS_FACTOR), 1)
    in_turn_ms = await run_concurrently([partial(dial_in_turn, listed)] * count, IN_TURN_CONCURRENCY)
    await server.close()
    return DialFigures(
        dial_ms_p50=round(usual_ms, 3),
        first_dial_added_ms_p99=_added_p99(first_ms, usual_ms),
        learnt_added_ms_p99=_added_p99(learned_ms, usual_ms),
        plain_added_ms_p99=_added_p99(in_turn_ms, usual_ms),
        dial_sockets_left=sockets.in_use,
    )


def _added_p99(values_ms: Iterable[float], usual_ms: float) -> float:
    return round(percentile([value_ms - usual_ms for value_ms in values_ms], 99), 3)


async def measure_family(count: int) -> FamilyFigures:
    """Counts the servers whose first dial is slowed while all addresses of one family drop packets."""
    servers = [FakeServer(f"s{number}") for number in range(count)]
    listed = {one.name: [await one.listen(Family.V6), await one.listen(Family.V4)] for one in servers}
    await _drop_first_addresses(servers, listed)
    sockets, endpoints = UnlimitedSockets(), Endpoints(random.Random(SEED))
    endpoints.update([Listing(name, texts[1], addresses=tuple(texts)) for name, texts in listed.items()])
    stalls = Stalls()
    paid = await run_concurrently(
        [partial(pays_for_family, name, endpoints, sockets, stalls, Family.V6) for name in listed],
        FAMILY_CONCURRENCY,
    )
    stalls.close()
    in_turn_ms = await run_concurrently(
        [partial(dial_in_turn, texts) for texts in listed.values()], COMPARED_CONCURRENCY
    )
    without_memory_ms = await run_concurrently(
        [partial(dial, name, endpoints_of(name, texts), sockets) for name, texts in listed.items()],
        COMPARED_CONCURRENCY,
    )
    for server in servers:
        await server.close()
    paid_limit_ms = endpoints.options.delay_first_ms / 2.0
    return FamilyFigures(
        family_servers=count,
        family_paid=sum(paid),
        family_paid_plain=sum(elapsed_ms > paid_limit_ms for elapsed_ms in in_turn_ms),
        family_paid_race_without_memory=sum(elapsed_ms > paid_limit_ms for elapsed_ms in without_memory_ms),
    )


async def _drop_first_addresses(servers: Sequence[FakeServer], listed: dict[str, list[str]]) -> None:
    for start in range(0, len(servers), FAULT_CONCURRENCY):
        batch = servers[start : start + FAULT_CONCURRENCY]
        await asyncio.gather(*(server.set(listed[server.name][0], Fault.BLACK_HOLE) for server in batch))
