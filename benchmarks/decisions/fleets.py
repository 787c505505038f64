"""Scenes with fleets of routers and models of everything that the routers talk to."""

from __future__ import annotations

import random
from functools import partial

from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployment_draw import draw_deployment
from gladelane.lab.virtual import Fleet, Plan

from .site_settings import site_settings

DEPLOYED_FLEETS, LONG_DEPLOYED_FLEETS = 10, 100
FLEET_MS, LONG_FLEET_MS = 20_000.0, 120_000.0


def run_fleet(plan: Plan, seed: int, duration_ms: float) -> None:
    """Runs a fleet with crashes, drains, restarts and purges at random times."""
    fleet = Fleet(plan, seed)
    timeline, rng = fleet.line, random.Random(seed)
    at_ms = 1500.0
    while at_ms < duration_ms:
        store = rng.choice([*fleet.caches, *fleet.parents])
        if rng.random() < 0.7:
            timeline.at(at_ms, partial(fleet.crash, store))
        else:
            timeline.at(at_ms, partial(fleet.drain, store))
            timeline.at(at_ms + 1500.0, partial(fleet.crash, store))
        timeline.at(at_ms + rng.uniform(2000.0, 6000.0), partial(fleet.restart, store))
        timeline.at(at_ms + 300.0, partial(fleet.purge, rng.randrange(8)))
        at_ms += rng.uniform(700.0, 2500.0)
    fleet.run(duration_ms)


def run_site_hints(quick: bool) -> None:
    """Runs a fleet in which the sizes of objects are listed and notes report only hits."""
    plan = Plan(site_settings(), caches=5, locations=2, directors=2, parents=3, rate=150.0, link=1.8)
    run_fleet(plan, 11, FLEET_MS if quick else LONG_FLEET_MS)


def run_site_notes(quick: bool) -> None:
    """Runs a fleet in which no sizes are listed and notes report every outcome."""
    settings = site_settings(notes="all", weights="none", straight=False, joins=False, peers_fill="none")
    plan = Plan(settings, caches=4, locations=2, directors=2, parents=3, rate=150.0, link=2.2)
    run_fleet(plan, 12, FLEET_MS if quick else LONG_FLEET_MS)


def run_shared_zone(quick: bool) -> None:
    """Runs a fleet with many directors in one location."""
    settings = site_settings(proxies=16, seats_by_zone=[0, 8, 8])
    plan = Plan(
        settings, caches=10, locations=2, directors=8, parents=4, rate=220.0, link=1.3, origin_workers=6
    )
    run_fleet(plan, 13, FLEET_MS if quick else LONG_FLEET_MS)


def run_deployed(quick: bool) -> None:
    """Runs generated fleets with the real director."""
    for seed in range(DEPLOYED_FLEETS if quick else LONG_DEPLOYED_FLEETS):
        DeployedFleet(draw_deployment(random.Random(seed))).run()
