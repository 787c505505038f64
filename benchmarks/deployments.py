"""Generated deployments: whether any decision or send breaks a rule, and whether planted faults are found.

`python -m benchmarks.deployments [--quick]` runs 2,000 of them, or 200; `--seed N` makes the N-th as small as
it goes while it still breaks the same rule, and prints it. Exits with 1 if a rule is broken or a plant is
not caught.
"""

from __future__ import annotations

import random
import sys
import time
from collections import Counter
from collections.abc import Iterator
from typing import Any

from benchmarks import conclude
from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployments import Deployment, draw_deployment
from gladelane.lab.planted import PLANTS, Plant
from gladelane.lab.reduction import reduced

LONG, QUICK = 2000, 200  # deployments
PLANT_DEPLOYMENTS = 100  # tried for each plant, until it is caught


def deployment(seed: int) -> Deployment:
    return draw_deployment(random.Random(seed))


def caught_at(plant: Plant) -> int | None:
    """The first deployment whose run breaks the plant's rule, and no rule without the plant."""
    for seed in range(PLANT_DEPLOYMENTS):
        outcome = DeployedFleet(deployment(seed), plant.make_director).run()
        if any(broken.rule == plant.rule for broken in outcome.broken):
            sound = DeployedFleet(deployment(seed)).run()
            if not any(broken.rule == plant.rule for broken in sound.broken):
                return seed
    return None


def run_all(count: int) -> dict[str, Any]:
    requests = sends = served = falls = 0
    breaches: Counter[str] = Counter()
    for seed in range(count):
        outcome = DeployedFleet(deployment(seed)).run()
        requests, sends = requests + outcome.requests, sends + outcome.sends
        served, falls = served + outcome.served, falls + outcome.falls
        rules = {broken.rule: broken for broken in reversed(outcome.broken)}
        for rule, broken in sorted(rules.items()):
            breaches[rule] += 1
            print(f"seed {seed}: {broken}")
    return {
        "deployments": count,
        "requests": requests,
        "sends": sends,
        "served": served,
        "cold_falls": falls,
        "breaches": dict(sorted(breaches.items())),
    }


def reduce_seed(seed: int) -> int:
    outcome = DeployedFleet(deployment(seed)).run()
    if not outcome.broken:
        print(f"seed {seed} breaks no rule")
        return 0
    rule = outcome.broken[0].rule

    def breaks(smaller: Deployment) -> bool:
        return any(broken.rule == rule for broken in DeployedFleet(smaller).run().broken)

    smallest = reduced(deployment(seed), breaks)
    print(smallest)
    for broken in DeployedFleet(smallest).run().broken:
        print(broken)
    return 1


def plants() -> Iterator[str]:
    """Those that are caught."""
    for name, plant in PLANTS.items():
        seed = caught_at(plant)
        print(f"planted: {name}: {'not caught' if seed is None else f'caught at seed {seed}'}")
        if seed is not None:
            yield name


def main() -> int:
    words = sys.argv[1:]
    if "--seed" in words:
        return reduce_seed(int(words[words.index("--seed") + 1]))
    began = time.process_time()
    quick = "--quick" in words
    figures: dict[str, Any] = {"quick": quick, **run_all(QUICK if quick else LONG)}
    caught = list(plants())
    figures |= {
        "planted": len(PLANTS),
        "planted_caught": len(caught),
        "seconds": round(time.process_time() - began, 1),
    }
    must_hold = {"rules": not figures["breaches"], "planted": len(caught) == len(PLANTS)}
    return conclude(figures, [name for name, holds in must_hold.items() if not holds])


if __name__ == "__main__":
    sys.exit(main())
