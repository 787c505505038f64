"""Generated deployments: whether any decision or send breaks a rule, and whether planted faults are found.

`python -m benchmarks.deployments [--quick]` runs 2,000 of them, or 200, and each of them again while the wall
clocks of its directors, caches, parents and origin are wrong or stepped. `--seed N [--steps]` makes the N-th,
with steps or without, as small as it goes while it still breaks the same rule, and prints it. Exits with 1 if
a rule is broken or a plant is not caught.
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

LONG, QUICK = 2000, 200  # deployments
PLANT_DEPLOYMENTS = 100  # tried for each plant, until it is caught


Draw = Callable[[int], Deployment]


def deployment(seed: int) -> Deployment:
    """The deployment of this number."""
    return draw_deployment(random.Random(seed))


def stepped_deployment(seed: int) -> Deployment:
    """The same, with wall clocks that are wrong or stepped."""
    return draw_stepped(random.Random(seed))


def breaks(fleet: DeployedFleet, rule: str) -> bool:
    """Whether the run of this fleet breaks this rule."""
    return any(broken.rule == rule for broken in fleet.run().broken)


def caught_at(plant: Plant) -> int | None:
    """The first deployment whose run breaks the plant's rule, and no rule without the plant."""
    for seed in range(PLANT_DEPLOYMENTS):
        if breaks(DeployedFleet(deployment(seed), plant.make_director), plant.rule):
            if not breaks(DeployedFleet(deployment(seed)), plant.rule):
                return seed
    return None


def clock_plant_caught_at(plant: ClockPlant) -> int | None:
    """The same among deployments whose clocks are stepped, where the plant breaks nothing without steps."""
    for seed in range(PLANT_DEPLOYMENTS):
        if breaks(plant.make_fleet(stepped_deployment(seed)), plant.rule):
            sound = DeployedFleet(stepped_deployment(seed)), plant.make_fleet(deployment(seed))
            if not any(breaks(fleet, plant.rule) for fleet in sound):
                return seed
    return None


def run_all(count: int, draw: Draw = deployment) -> dict[str, Any]:
    """The sums of so many deployments, by the names of the report; prints what they break."""
    requests = sends = served = falls = steps = 0
    breaches: Counter[str] = Counter()
    for seed in range(count):
        drawn = draw(seed)
        outcome = DeployedFleet(drawn).run()
        requests, sends = requests + outcome.requests, sends + outcome.sends
        served, falls = served + outcome.served, falls + outcome.falls
        steps += len(drawn.clocks.steps)
        rules = {broken.rule: broken for broken in reversed(outcome.broken)}
        for rule, broken in sorted(rules.items()):
            breaches[rule] += 1
            print(f"seed {seed}{' --steps' if draw is stepped_deployment else ''}: {broken}", flush=True)
    return {
        "deployments": count,
        "clock_steps": steps,
        "requests": requests,
        "sends": sends,
        "served": served,
        "cold_falls": falls,
        "breaches": dict(sorted(breaches.items())),
    }


def reduce_seed(seed: int, draw: Draw) -> int:
    """Prints the smallest deployment that breaks the same rule; the exit code."""
    outcome = DeployedFleet(draw(seed)).run()
    if not outcome.broken:
        print(f"seed {seed} breaks no rule")
        return 0
    rule = outcome.broken[0].rule
    smallest = reduced(draw(seed), lambda smaller: breaks(DeployedFleet(smaller), rule))
    print(smallest)
    for broken in DeployedFleet(smallest).run().broken:
        print(broken)
    return 1


def plants() -> Iterator[str]:
    """Those that are caught."""
    found = {name: caught_at(plant) for name, plant in PLANTS.items()}
    found |= {name: clock_plant_caught_at(plant) for name, plant in CLOCK_PLANTS.items()}
    for name, seed in found.items():
        print(f"planted: {name}: {'not caught' if seed is None else f'caught at seed {seed}'}")
        if seed is not None:
            yield name


def main() -> int:
    """The exit code."""
    words = sys.argv[1:]
    if "--seed" in words:
        draw = stepped_deployment if "--steps" in words else deployment
        return reduce_seed(int(words[words.index("--seed") + 1]), draw)
    began = time.process_time()
    quick = "--quick" in words
    count = QUICK if quick else LONG
    figures: dict[str, Any] = {"quick": quick, **run_all(count)}
    figures["stepped"] = run_all(count, stepped_deployment)
    caught, planted = list(plants()), len(PLANTS) + len(CLOCK_PLANTS)
    figures |= {
        "planted": planted,
        "planted_caught": len(caught),
        "seconds": round(time.process_time() - began, 1),
    }
    must_hold = {
        "rules": not figures["breaches"],
        "rules while clocks are stepped": not figures["stepped"]["breaches"],
        "planted": len(caught) == planted,
    }
    return conclude(figures, [name for name, holds in must_hold.items() if not holds])


if __name__ == "__main__":
    sys.exit(main())
