"""Checks in generated deployments that no decision or send breaks a rule and planted faults are detected.

`python -m benchmarks.deployments [--quick]` runs 2,000 deployments (200 with `--quick`), and each of them
again while the wall clocks of its directors, caches, parents and origin are wrong or stepped.
`--seed N [--steps]` reduces the deployment with this seed, with stepped clocks or without, to the smallest
one that breaks the same rule, and prints it. Exits with 1 if a rule is broken or a planted fault is not
detected.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from benchmarks import conclude
from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployed_clock_plants import CLOCK_PLANTS, ClockPlant
from gladelane.lab.deployment_draw import draw_deployment, draw_stepped
from gladelane.lab.deployments import Deployment
from gladelane.lab.planted import PLANTS, Plant
from gladelane.lab.reduction import reduced

DEPLOYMENT_COUNT, QUICK_DEPLOYMENT_COUNT = 2000, 200  # number of deployments
MAX_DEPLOYMENTS_PER_PLANT = 100  # tried for each planted fault until it is detected


Draw = Callable[[int], Deployment]


def draw_plain_deployment(seed: int) -> Deployment:
    """Draws the deployment of this seed."""
    return draw_deployment(random.Random(seed))


def draw_stepped_deployment(seed: int) -> Deployment:
    """Draws the deployment of this seed with wall clocks that are wrong or stepped."""
    return draw_stepped(random.Random(seed))


def breaks_rule(fleet: DeployedFleet, rule: str) -> bool:
    """Returns whether the run of this fleet breaks this rule."""
    return any(broken.rule == rule for broken in fleet.run().broken)


def first_detecting_seed(plant: Plant) -> int | None:
    """Returns the first seed whose run breaks the rule of the plant with the plant, and not without it."""
    for seed in range(MAX_DEPLOYMENTS_PER_PLANT):
        if breaks_rule(DeployedFleet(draw_plain_deployment(seed), plant.make_director), plant.rule):
            if not breaks_rule(DeployedFleet(draw_plain_deployment(seed)), plant.rule):
                return seed
    return None


def first_detecting_stepped_seed(plant: ClockPlant) -> int | None:
    """Returns the first seed whose run breaks the plant's rule only with the plant and stepped clocks."""
    for seed in range(MAX_DEPLOYMENTS_PER_PLANT):
        if breaks_rule(plant.make_fleet(draw_stepped_deployment(seed)), plant.rule):
            control_fleets = (
                DeployedFleet(draw_stepped_deployment(seed)),
                plant.make_fleet(draw_plain_deployment(seed)),
            )
            if not any(breaks_rule(fleet, plant.rule) for fleet in control_fleets):
                return seed
    return None


def run_all(count: int, draw: Draw = draw_plain_deployment) -> dict[str, Any]:
    """Runs deployments, prints the broken rules, and returns the sums under the names of the report."""
    requests = sends = served = cold_falls = steps = 0
    breaches: Counter[str] = Counter()
    for seed in range(count):
        drawn = draw(seed)
        outcome = DeployedFleet(drawn).run()
        requests, sends = requests + outcome.requests, sends + outcome.sends
        served, cold_falls = served + outcome.served, cold_falls + outcome.falls
        steps += len(drawn.clocks.steps)
        rules = {broken.rule: broken for broken in reversed(outcome.broken)}
        for rule, broken in sorted(rules.items()):
            breaches[rule] += 1
            print(f"seed {seed}{' --steps' if draw is draw_stepped_deployment else ''}: {broken}", flush=True)
    return {
        "deployments": count,
        "clock_steps": steps,
        "requests": requests,
        "sends": sends,
        "served": served,
        "cold_falls": cold_falls,
        "breaches": dict(sorted(breaches.items())),
    }


def print_reduced_deployment(seed: int, draw: Draw) -> int:
    """Prints the smallest deployment that breaks the same rule, and returns the exit code."""
    outcome = DeployedFleet(draw(seed)).run()
    if not outcome.broken:
        print(f"seed {seed} breaks no rule")
        return 0
    rule = outcome.broken[0].rule
    smallest = reduced(draw(seed), lambda smaller: breaks_rule(DeployedFleet(smaller), rule))
    print(smallest)
    for broken in DeployedFleet(smallest).run().broken:
        print(broken)
    return 1


def run_plants() -> Iterator[str]:
    """Runs all planted faults and yields the names of those that are detected."""
    found = {name: first_detecting_seed(plant) for name, plant in PLANTS.items()}
    found |= {name: first_detecting_stepped_seed(plant) for name, plant in CLOCK_PLANTS.items()}
    for name, seed in found.items():
        print(f"planted: {name}: {'not caught' if seed is None else f'caught at seed {seed}'}")
        if seed is not None:
            yield name


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    argv = sys.argv[1:]
    if "--seed" in argv:
        draw = draw_stepped_deployment if "--steps" in argv else draw_plain_deployment
        return print_reduced_deployment(int(argv[argv.index("--seed") + 1]), draw)
    started_s = time.process_time()
    quick = "--quick" in argv
    count = QUICK_DEPLOYMENT_COUNT if quick else DEPLOYMENT_COUNT
    figures: dict[str, Any] = {"quick": quick, **run_all(count)}
    figures["stepped"] = run_all(count, draw_stepped_deployment)
    caught, planted = list(run_plants()), len(PLANTS) + len(CLOCK_PLANTS)
    figures |= {
        "planted": planted,
        "planted_caught": len(caught),
        "seconds": round(time.process_time() - started_s, 1),
    }
    must_hold = {
        "rules": not figures["breaches"],
        "rules while clocks are stepped": not figures["stepped"]["breaches"],
        "planted": len(caught) == planted,
    }
    return conclude(figures, [name for name, holds in must_hold.items() if not holds])


if __name__ == "__main__":
    sys.exit(main())
