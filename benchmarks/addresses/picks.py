"""Picks of addresses in a large list, and the memory that an address takes."""

from __future__ import annotations

import random
import time
import tracemalloc
from collections.abc import Sequence
from dataclasses import dataclass

from gladelane.endpoints.health import DialFailure
from gladelane.endpoints.plan import Endpoints, Options
from gladelane.endpoints.rules import Listing

SERVERS, ADDRESSES = 2000, 8  # of each server
PICKS, LEARNT_EVERY, REFUSED_EVERY = 200_000, 20, 3
NEW_PLANS = 5  # of each server
CONNECTED_MS = 3.0
SLOWEST_MS = (0.5, 30.0)  # between which first connections take


@dataclass(frozen=True)
class PickFigures:
    """The names are those of the report."""

    pick_us: float
    pick_anew_us: float
    bytes_per_address: int


def measure_picks() -> PickFigures:
    """Picks over a large list, one in twenty after something was learnt; then plans made anew."""
    rng = random.Random(11)
    listings = [_listing(number) for number in range(SERVERS)]
    tracemalloc.start()
    endpoints = _connected_endpoints(listings, rng)
    allocated = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    names = [listing.server for listing in listings]
    chosen = [rng.choice(names) for _ in range(PICKS)]
    pick_s = _time_picks(endpoints, chosen)
    plan_s = _time_new_plans(endpoints, names * NEW_PLANS)
    return PickFigures(
        pick_us=round(pick_s / PICKS * 1e6, 2),
        pick_anew_us=round(plan_s / len(names) / NEW_PLANS * 1e6, 1),
        bytes_per_address=round(allocated / SERVERS / ADDRESSES),
    )


def _listing(number: int) -> Listing:
    half = ADDRESSES // 2
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
    """With a connection to each address behind them, and a plan for each server."""
    endpoints = Endpoints(rng, Options())
    endpoints.update(listings, complete=True)
    for listing in listings:
        for address in endpoints.registry.addresses(listing.server):
            endpoints.health.record_connect(listing.server, address, rng.uniform(*SLOWEST_MS))
        endpoints.plan(listing.server, 0.0)
    return endpoints


def _time_picks(endpoints: Endpoints, chosen: Sequence[str]) -> float:
    """Seconds for all."""
    began_s = time.perf_counter()
    for place, server in enumerate(chosen):
        if not place % LEARNT_EVERY:
            _learn(endpoints, server, place)
        plan = endpoints.plan(server, float(place))
        if plan.address_to_check is not None:  # as the pool does, and it gets through
            endpoints.health.record_check_start(server, plan.address_to_check)
            endpoints.health.record_connect(server, plan.address_to_check, CONNECTED_MS)
    return time.perf_counter() - began_s


def _learn(endpoints: Endpoints, server: str, place: int) -> None:
    address = endpoints.registry.addresses(server)[place % ADDRESSES]
    if place % REFUSED_EVERY:
        endpoints.health.record_failure(server, address, DialFailure.REFUSED, float(place))
    else:
        endpoints.health.record_connect(server, address, CONNECTED_MS)


def _time_new_plans(endpoints: Endpoints, names: Sequence[str]) -> float:
    """Seconds for all."""
    began_s = time.perf_counter()
    for server in names:
        endpoints._plans.pop(server, None)
        endpoints.plan(server, float(PICKS))
    return time.perf_counter() - began_s
