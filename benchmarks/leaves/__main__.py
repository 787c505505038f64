"""The command line of the benchmark, and its report."""

from __future__ import annotations

import random
import sys
import tempfile
from pathlib import Path
from typing import Any

import uvloop

from benchmarks import conclude

from .fleet import Fleet
from .scenario_run import run_scenario
from .scenarios import SCENARIOS


async def measure(quick: bool) -> dict[str, Any]:
    """Runs all scenarios with and without cancellation of attempts, and returns their counts."""
    figures: dict[str, Any] = {}
    rng = random.Random(9)
    for cancel in (True, False):
        with tempfile.TemporaryDirectory(prefix="leaves") as folder:
            fleet = Fleet(Path(folder), rng)
            director = await fleet.start(cancel)
            try:
                for scenario in SCENARIOS:
                    name = f"{scenario.name}, {'cancels' if cancel else 'no cancels'}"
                    figures[name] = await run_scenario(scenario, fleet, director, 40 if quick else 400, print)
            finally:
                await director.end()
                await fleet.close()
    return figures


def main() -> int:
    """Runs the benchmark, prints its results and returns the exit code."""
    scenarios = uvloop.run(measure("--quick" in sys.argv[1:]))
    counted = ("leaves", "attempts", "begun_after", "over", "unclear", "whole_over", "unanswered")
    total = {key: sum(counts[key] for counts in scenarios.values()) for key in counted}
    longest_ms = max(counts["longest_ms"] for counts in scenarios.values())
    broken = [
        f"{name}: {counts[key]} {key}"
        for name, counts in scenarios.items()
        for key in ("over", "unclear", "unanswered")
        if counts[key]
    ]
    return conclude({**total, "longest_ms": longest_ms, "places": scenarios}, broken)


if __name__ == "__main__":
    sys.exit(main())
