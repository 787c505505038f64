"""The command line of the benchmark, and its report."""

from __future__ import annotations

import sys
from dataclasses import asdict
from typing import Any

import uvloop

from benchmarks import conclude

from .run import RunPlan, run_plan
from .structures import measure_structures

INTERVAL_S = 0.02  # between purges
PLAN = RunPlan(5_000, INTERVAL_S, seed=5, restarts=50, with_control_servers=True)
QUICK_PLAN = RunPlan(300, INTERVAL_S, seed=5, restarts=3, with_control_servers=True)
WITHOUT_CONTROL_PLAN, QUICK_WITHOUT_CONTROL_PLAN = (
    RunPlan(300, INTERVAL_S, seed=6),
    RunPlan(40, INTERVAL_S, seed=6),
)
ACTIVE_PURGES = 100_000  # in the benchmark of the data structures
MIN_LOOKUP_SPEEDUP = 100  # times that the index must be faster than a scan
FIGURES_THAT_MUST_BE_ZERO = ("stale_after_delay", "stale_by_scan", "lost", "answered_twice")


def broken_rules(figures: dict[str, Any]) -> list[str]:
    """Returns the names of the figures that break a rule."""
    broken = [name for name in FIGURES_THAT_MUST_BE_ZERO if figures[name]]
    if not figures["stale_without_bound"]:
        broken.append("stale_without_bound")
    if figures["lookup_us_scan"] < MIN_LOOKUP_SPEEDUP * figures["lookup_us"]:
        broken.append("lookup_us")
    return broken


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    quick = "--quick" in sys.argv[1:]
    with_control = uvloop.run(run_plan(QUICK_PLAN if quick else PLAN))
    without_control = uvloop.run(run_plan(QUICK_WITHOUT_CONTROL_PLAN if quick else WITHOUT_CONTROL_PLAN))
    figures: dict[str, Any] = {
        "quick": quick,
        **asdict(with_control.cut_off),
        **asdict(with_control.figures),
        "stale_without_bound": without_control.figures.stale_after_delay,
        **asdict(measure_structures(ACTIVE_PURGES)),
    }
    return conclude(figures, broken_rules(figures))


if __name__ == "__main__":
    sys.exit(main())
