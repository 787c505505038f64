"""Fleets of routers before models of all that they talk to."""

from __future__ import annotations

import random
from functools import partial

from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployment_draw import draw_deployment
from gladelane.lab.virtual import Fleet, Plan

from .site_settings import site_settings

DEPLOYED, DEPLOYED_LONG = 10, 100
FLEET_MS, FLEET_LONG_MS = 20_000.0, 120_000.0


def run_fleet(plan: Plan, seed: int, duration_ms: float) -> None:
    """Crashes, drains, restarts and purges all along."""
    fleet = Fleet(plan, seed)
    line, rng = fleet.line, random.Random(seed)
    at = 1500.0
    while at < duration_ms:
        store = rng.choice([*fleet.caches, *fleet.parents])
        if rng.random() < 0.7:
            line.at(at, partial(fleet.crash, store))
        else:
            line.at(at, partial(fleet.drain, store))
            line.at(at + 1500.0, partial(fleet.crash, store))
        line.at(at + rng.uniform(2000.0, 6000.0), partial(fleet.restart, store))
        line.at(at + 300.0, partial(fleet.purge, rng.randrange(8)))
        at += rng.uniform(700.0, 2500.0)
    fleet.run(duration_ms)


def run_site_hints(quick: bool) -> None:
    """Sizes of objects are listed, and notes tell of hits only."""
    plan = Plan(site_settings(), caches=5, locations=2, directors=2, parents=3, rate=150.0, link=1.8)
    run_fleet(plan, 11, FLEET_MS if quick else FLEET_LONG_MS)


def run_site_notes(quick: bool) -> None:
    """No sizes are listed, and notes tell of everything."""
    settings = site_settings(notes="all", weights="none", straight=False, joins=False, peers_fill="none")
    plan = Plan(settings, caches=4, locations=2, directors=2, parents=3, rate=150.0, link=2.2)
    run_fleet(plan, 12, FLEET_MS if quick else FLEET_LONG_MS)


def run_shared_zone(quick: bool) -> None:
    """Many directors in one location."""
    settings = site_settings(proxies=16, seats_by_zone=[0, 8, 8])
    plan = Plan(
        settings, caches=10, locations=2, directors=8, parents=4, rate=220.0, link=1.3, origin_workers=6
    )
    run_fleet(plan, 13, FLEET_MS if quick else FLEET_LONG_MS)


def run_deployed(quick: bool) -> None:
    """Generated fleets with the real director."""
    for seed in range(DEPLOYED if quick else DEPLOYED_LONG):
        DeployedFleet(draw_deployment(random.Random(seed))).run()
