"""Scenes with a single router: with a large endpoint list, and with the servers of generated deployments."""

from __future__ import annotations

import random

from gladelane.lab.deployment_draw import draw_deployment
from gladelane.lab.deployments import StoreSpec
from gladelane.routing.events import (
    Member,
    State,
)

from .script import START_MS, Script
from .site_settings import site_settings

GENERATED_DEPLOYMENTS, LONG_GENERATED_DEPLOYMENTS = 50, 500
SCRIPT_MS = 8000.0
LARGE_CACHES, LARGER_CACHES, LARGE_MS = 200, 400, 8000.0  # caches in each of two zones


def run_large_list(_quick: bool, caches: int = LARGE_CACHES) -> None:
    """Runs a router with many caches in its own location and elsewhere, with equal and unequal weights."""
    for seed, (weights, directors) in enumerate((("nominal", 2), ("rough", 60), ("none", 60))):
        rng = random.Random(seed)
        settings = site_settings(
            weights=weights, seats_by_zone=[0, directors, directors], proxies=directors * 2
        )
        members = [
            Member(f"{zone}-{index}", zone, "box", index % 7, weight=weight)
            for zone in ("z0", "z1")
            for index in range(caches)
            for weight in [rng.choice([4.0, 6.0, rng.uniform(1.0, 9.0)])]
        ]
        members += [Member(f"p{index}", "hub", "mid", weight=30.0) for index in range(40)]
        members.append(Member("root", "hub", "root"))
        Script(settings, members, seed, sizes_listed=True).run(LARGE_MS)


def run_generated(quick: bool) -> None:
    """Runs one router for each generated deployment."""
    for seed in range(GENERATED_DEPLOYMENTS if quick else LONG_GENERATED_DEPLOYMENTS):
        plan = draw_deployment(random.Random(seed))
        specs = (*plan.caches, *plan.joining, *plan.parents, plan.origin)
        members = [_member(spec) for spec in specs]
        Script(plan.settings(0), members, seed, plan.sizes_listed).run(SCRIPT_MS)


def _member(spec: StoreSpec) -> Member:
    started_at_ms = START_MS - spec.age_ms if spec.age_ms else 0.0
    return Member(spec.name, spec.zone, spec.kind, spec.cell, State.READY, spec.weight, started_at_ms)
