"""Draws generated deployments. Pure.

Each field that the program reads is drawn from a range of its own, which is wider than in any known
deployment; names of zones, kinds and classes are random. The source of randomness is a seeded
`random.Random` or the generator of a property test. The order of draws must not change, because findings
are recorded by their seeds.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass, replace
from typing import Any

from .deployed_clocks import draw_clock_plan
from .deployments import ClassLoad, Clients, Deployment, StoreSpec, director_name
from .draws import Draws
from .faults_draw import draw_faults
from .fleet_draw import (
    draw_caches,
    draw_directors,
    draw_inlets,
    draw_joining,
    draw_network,
    draw_origin,
    draw_parents,
)
from .settings_draw import draw_classes, draw_loads, draw_wire

MAX_REQUESTS = 400  # first attempts in a run, so that it takes well under 0.3 s of processor time
ORIGIN_CELL = 90  # no cache or parent has it


@dataclass(frozen=True, slots=True)
class _Sites:
    """Zones of parents (`hubs`) and of directors (`locations`), and the names of the kinds of servers."""

    hubs: list[str]
    locations: list[str]
    directors: list[str]
    cache_kind: str
    parent_kind: str
    origin_kind: str
    has_parents: bool


@dataclass(frozen=True, slots=True)
class _Traffic:
    """`flow`: rate of one transfer in KB per second. `link`: capacity of all caches together, in
    transfers."""

    flow: float
    classes: list[dict[str, Any]]
    loads: tuple[ClassLoad, ...]
    duration_ms: float
    rate: float
    link: float
    weights: str


@dataclass(frozen=True, slots=True)
class _Servers:
    caches: tuple[StoreSpec, ...]
    joining: tuple[StoreSpec, ...]
    parents: tuple[StoreSpec, ...]
    origin: StoreSpec
    inlets: Mapping[str, float]


def draw_deployment(rng: random.Random) -> Deployment:
    """Draws a deployment."""
    draws = Draws(rng)
    seed = rng.randrange(1 << 32)
    sites = _draw_sites(draws)
    traffic = _draw_traffic(draws)
    servers = _draw_servers(draws, sites, traffic)
    wire = _draw_settings(draws, sites, traffic, servers)
    clients = _draw_clients(draws)
    caches, parents, joining, origin = servers.caches, servers.parents, servers.joining, servers.origin
    link, flow = traffic.link, traffic.flow
    return Deployment(
        seed=seed,
        wire=wire,
        directors=tuple(sites.directors),
        caches=caches,
        parents=parents,
        joining=joining,
        origin=origin,
        origin_spec=draw_origin(draws, traffic.rate, link),
        inlets=servers.inlets,
        classes=traffic.loads,
        sizes_listed=rng.random() < 0.8,
        cache_storage_kb=link / len(caches) * flow * rng.uniform(2.0, 13.0),
        parent_storage_kb=link * flow * rng.uniform(2.0, 30.0),
        most_fills=rng.randint(6, 40),
        filled_at_start=rng.random() < 0.5,
        rate=traffic.rate,
        duration_ms=traffic.duration_ms,
        network=draw_network(draws),
        clients=clients,
        faults=draw_faults(draws, traffic.duration_ms, (*caches, *parents), joining, origin, traffic.loads),
    )


def draw_stepped(rng: random.Random) -> Deployment:
    """Draws the deployment that `draw_deployment` gives for this source, and steps of wall clocks after
    it."""
    drawn = draw_deployment(rng)
    stores = (*drawn.caches, *drawn.joining, *drawn.parents, drawn.origin)
    directors = [director_name(place) for place in range(len(drawn.directors))]
    machines = [*directors, *(store.name for store in stores)]
    plan = draw_clock_plan(rng, machines, drawn.origin.name, drawn.duration_ms)
    return replace(drawn, clocks=plan)


def _draw_sites(draws: Draws) -> _Sites:
    rng = draws.rng
    hubs = [draws.name() for _ in range(rng.randint(1, 3))]
    locations = [draws.name() for _ in range(rng.randint(1, 3))]
    directors = draw_directors(draws, locations)
    kinds = [draws.name() for _ in range(3)]
    rng.shuffle(kinds)
    cache_kind, parent_kind, origin_kind = kinds
    has_parents = rng.random() < 0.85
    return _Sites(hubs, locations, directors, cache_kind, parent_kind, origin_kind, has_parents)


def _draw_traffic(draws: Draws) -> _Traffic:
    rng = draws.rng
    flow = draws.between(1200.0, 15_000.0)
    classes = draw_classes(draws)
    loads = draw_loads(draws, classes, flow)
    work_ms = sum(load.share * (load.mean_kb / flow * 1000.0) for load in loads)
    duration_ms = rng.uniform(3000.0, 5000.0)
    rate = rng.uniform(25.0, MAX_REQUESTS / (duration_ms / 1000.0))
    utilization = rng.choice([rng.uniform(0.3, 0.75), rng.uniform(0.6, 1.3)])
    link = rate * work_ms / 1000.0 / utilization
    weights = rng.choice(["nominal", "nominal", "off", "rough", "live"])
    return _Traffic(flow, classes, loads, duration_ms, rate, link, weights)


def _draw_servers(draws: Draws, sites: _Sites, traffic: _Traffic) -> _Servers:
    link, weights = traffic.link, traffic.weights
    caches = draw_caches(draws, sites.locations, sites.cache_kind, link, weights)
    joining = draw_joining(draws, caches, weights)
    parents = draw_parents(draws, sites.hubs, sites.parent_kind, link, weights) if sites.has_parents else ()
    origin = StoreSpec(draws.name(), sites.hubs[0], sites.origin_kind, ORIGIN_CELL, 1.0, 1.0)
    return _Servers(caches, joining, parents, origin, draw_inlets(draws, sites.locations, caches))


def _draw_settings(draws: Draws, sites: _Sites, traffic: _Traffic, servers: _Servers) -> dict[str, Any]:
    kinds = [sites.cache_kind, sites.origin_kind, *([sites.parent_kind] if sites.has_parents else [])]
    draws.rng.shuffle(kinds)
    zones = [*sites.hubs, *sites.locations]
    flow, weights, inlets = traffic.flow, traffic.weights, servers.inlets
    wire = draw_wire(draws, zones, sites.hubs, sites.directors, traffic.classes, flow, weights, inlets)
    wire["kinds"] = kinds
    wire["family_info"]["store_kind"] = kinds.index(sites.origin_kind)
    wire["family_info"]["upper_kind"] = kinds.index(sites.parent_kind) if sites.has_parents else -1
    return wire


def _draw_clients(draws: Draws) -> Clients:
    rng = draws.rng
    return Clients(
        rng.randint(0, 2), rng.uniform(20.0, 400.0), rng.uniform(0.5, 1.0), rng.choice([0.0, 0.03])
    )
