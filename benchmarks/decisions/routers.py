"""One router before a large list, and before the servers of generated deployments."""

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

GENERATED, GENERATED_LONG = 50, 500  # deployments
SCRIPT_MS = 8000.0
LARGE_CACHES, LARGER_CACHES, LARGE_MS = 200, 400, 8000.0  # of one zone


def run_large_list(_quick: bool, caches: int = LARGE_CACHES) -> None:
    """Many caches in the router's own location, and as many elsewhere; weights that differ, or do not."""
    for seed, (weights, directors) in enumerate((("nominal", 2), ("rough", 60), ("none", 60))):
        rng = random.Random(seed)
        settings = site_settings(
            weights=weights, seats_by_zone=[0, directors, directors], proxies=directors * 2
        )
        members = [
            Member(f"{zone}-{place}", zone, "box", place % 7, weight=weight)
            for zone in ("z0", "z1")
            for place in range(caches)
            for weight in [rng.choice([4.0, 6.0, rng.uniform(1.0, 9.0)])]
        ]
        members += [Member(f"p{place}", "hub", "mid", weight=30.0) for place in range(40)]
        members.append(Member("root", "hub", "root"))
        Script(settings, members, seed, sizes_listed=True).run(LARGE_MS)


def run_generated(quick: bool) -> None:
    """One router for each generated deployment."""
    for seed in range(GENERATED if quick else GENERATED_LONG):
        plan = draw_deployment(random.Random(seed))
        specs = (*plan.caches, *plan.joining, *plan.parents, plan.origin)
        members = [_member(spec) for spec in specs]
        Script(plan.settings(0), members, seed, plan.sizes_listed).run(SCRIPT_MS)


def _member(spec: StoreSpec) -> Member:
    came_up = START_MS - spec.age_ms if spec.age_ms else 0.0
    return Member(spec.name, spec.zone, spec.kind, spec.cell, State.READY, spec.weight, came_up)
