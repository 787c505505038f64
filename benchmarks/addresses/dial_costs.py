"""What dials cost while one address or a whole family is dropped, and what they cost without this project."""

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
    run_at_once,
)

DIALS, QUICK_DIALS = 1000, 100
LEARNT_DIALS = 4  # times as many with what was learnt
FIRST_AT_ONCE, IN_TURN_AT_ONCE, FAMILY_AT_ONCE, COMPARED_AT_ONCE = 16, 50, 8, 250
FAULTS_AT_ONCE = 50


@dataclass(frozen=True)
class DialFigures:
    """One server whose first address is dropped. The names are those of the report."""

    dial_ms_p50: float
    first_dial_added_ms_p99: float
    learnt_added_ms_p99: float
    plain_added_ms_p99: float
    dial_sockets_left: int


@dataclass(frozen=True)
class FamilyFigures:
    """How many servers paid for a broken family. The names are those of the report."""

    family_servers: int
    family_paid: int
    family_paid_plain: int
    family_paid_race_without_memory: int


async def measure_dials(quick: bool) -> DialFigures:
    """One server at two addresses, of which the first is dropped after the first measurement."""
    server, sockets = FakeServer("s"), UnlimitedSockets()
    listed = [await server.listen(Family.V6), await server.listen(Family.V4)]
    count = QUICK_DIALS if quick else DIALS

    async def dial_anew() -> float:
        return await dial("s", endpoints_of("s", listed), sockets)

    usual_ms = statistics.median(await run_at_once([dial_anew] * count, 1))
    await server.set(listed[0], Fault.BLACK_HOLE)
    first_ms = await run_at_once([dial_anew] * count, FIRST_AT_ONCE)
    endpoints = endpoints_of("s", listed)
    await dial("s", endpoints, sockets)
    dial_learnt = partial(dial, "s", endpoints, sockets)
    learnt_ms = await run_at_once([dial_learnt] * (count * LEARNT_DIALS), 1)
    in_turn_ms = await run_at_once([partial(dial_in_turn, listed)] * count, IN_TURN_AT_ONCE)
    await server.close()
    return DialFigures(
        dial_ms_p50=round(usual_ms, 3),
        first_dial_added_ms_p99=_added_p99(first_ms, usual_ms),
        learnt_added_ms_p99=_added_p99(learnt_ms, usual_ms),
        plain_added_ms_p99=_added_p99(in_turn_ms, usual_ms),
        dial_sockets_left=sockets.in_use,
    )


def _added_p99(values_ms: Iterable[float], usual_ms: float) -> float:
    return round(percentile([value_ms - usual_ms for value_ms in values_ms], 99), 3)


async def measure_family(count: int) -> FamilyFigures:
    """So many servers, all of one family dropped: how many of their first dials pay for it."""
    servers = [FakeServer(f"s{number}") for number in range(count)]
    listed = {one.name: [await one.listen(Family.V6), await one.listen(Family.V4)] for one in servers}
    await _drop_first_addresses(servers, listed)
    sockets, endpoints = UnlimitedSockets(), Endpoints(random.Random(SEED))
    endpoints.update([Listing(name, texts[1], addresses=tuple(texts)) for name, texts in listed.items()])
    stalls = Stalls()
    paid = await run_at_once(
        [partial(pays_for_family, name, endpoints, sockets, stalls, Family.V6) for name in listed],
        FAMILY_AT_ONCE,
    )
    stalls.close()
    in_turn_ms = await run_at_once(
        [partial(dial_in_turn, texts) for texts in listed.values()], COMPARED_AT_ONCE
    )
    unlearnt_ms = await run_at_once(
        [partial(dial, name, endpoints_of(name, texts), sockets) for name, texts in listed.items()],
        COMPARED_AT_ONCE,
    )
    for server in servers:
        await server.close()
    pays_ms = endpoints.options.delay_first_ms / 2.0
    return FamilyFigures(
        family_servers=count,
        family_paid=sum(paid),
        family_paid_plain=sum(elapsed_ms > pays_ms for elapsed_ms in in_turn_ms),
        family_paid_race_without_memory=sum(elapsed_ms > pays_ms for elapsed_ms in unlearnt_ms),
    )


async def _drop_first_addresses(servers: Sequence[FakeServer], listed: dict[str, list[str]]) -> None:
    for start in range(0, len(servers), FAULTS_AT_ONCE):
        some = servers[start : start + FAULTS_AT_ONCE]
        await asyncio.gather(*(server.set(listed[server.name][0], Fault.BLACK_HOLE) for server in some))
