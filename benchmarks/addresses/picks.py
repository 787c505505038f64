"""The time to choose an address in a large endpoint list, and the memory that an address takes."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from gladelane.endpoints.health import DialFailure
from gladelane.endpoints.plan import Endpoints, Options
from gladelane.endpoints.rules import Listing

SERVERS, ADDRESSES_PER_SERVER = 2000, 8
PICKS, OUTCOME_EVERY, CONNECTED_EVERY = 200_000, 20, 3
PLANS_PER_SERVER = 5
CONNECTED_MS = 3.0
FIRST_CONNECT_MS = (0.5, 30.0)  # range of the duration of first connections


@dataclass(frozen=True)
class PickFigures:
    """The figures, under the names of the report."""

    pick_us: float
    pick_anew_us: float
    bytes_per_address: int


def measure_picks() -> PickFigures:
    """Measures choices from a large list, one in twenty after an outcome was recorded, then new plans."""
    rng = random.Random(11)
    listings = [_listing(number) for number in range(SERVERS)]
    tracemalloc.start()
    endpoints = _connected_endpoints(listings, rng)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    names = [listing.server for listing in listings]
    chosen = [rng.choice(names) for _ in range(PICKS)]
    pick_s = _time_picks(endpoints, chosen)
    plan_s = _time_new_plans(endpoints, names * PLANS_PER_SERVER)
    return PickFigures(
        pick_us=round(pick_s / PICKS * 1e6, 2),
        pick_anew_us=round(plan_s / len(names) / PLANS_PER_SERVER * 1e6, 1),
        bytes_per_address=round(allocated / SERVERS / ADDRESSES_PER_SERVER),
    )


def _listing(number: int) -> Listing:
    half = ADDRESSES_PER_SERVER // 2
    network = f"10.{number >> 8}.{number & 255}"
    return Listing(
        f"s{number}",
        f"{network}.1:80",
        addresses=(
            *(f"{network}.{host}:80" for host in range(2, half + 1)),
            *(f"[2001:db8:{number:x}::{host}]:80" for host in range(1, half + 1)),
        ),
    )


def _connected_endpoints(listings: Sequence[Listing], rng: random.Random) -> Endpoints:
    """Returns endpoints that have connected to each address and have a plan for each server."""
    endpoints = Endpoints(rng, Options())
    endpoints.update(listings, complete=True)
    for listing in listings:
        for address in endpoints.registry.addresses(listing.server):
            endpoints.health.record_connect(listing.server, address, rng.uniform(*FIRST_CONNECT_MS))
        endpoints.plan(listing.server, 0.0)
    return endpoints


def _time_picks(endpoints: Endpoints, chosen: Sequence[str]) -> float:
    """Returns the seconds for all choices."""
    started_s = time.perf_counter()
    for index, server in enumerate(chosen):
        if not index % OUTCOME_EVERY:
            _record_outcome(endpoints, server, index)
        plan = endpoints.plan(server, float(index))
        if plan.address_to_check is not None:  # like the connection pool, with a check that succeeds
            endpoints.health.record_check_start(server, plan.address_to_check)
            endpoints.health.record_connect(server, plan.address_to_check, CONNECTED_MS)
    return time.perf_counter() - started_s


def _record_outcome(endpoints: Endpoints, server: str, index: int) -> None:
    address = endpoints.registry.addresses(server)[index % ADDRESSES_PER_SERVER]
    if index % CONNECTED_EVERY:
        endpoints.health.record_failure(server, address, DialFailure.REFUSED, float(index))
    else:
        endpoints.health.record_connect(server, address, CONNECTED_MS)


def _time_new_plans(endpoints: Endpoints, names: Sequence[str]) -> float:
    """Returns the seconds to make all plans anew."""
    started_s = time.perf_counter()
    for server in names:
        endpoints._plans.pop(server, None)
        endpoints.plan(server, float(PICKS))
    return time.perf_counter() - started_s
