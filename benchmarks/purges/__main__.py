"""The command line of the benchmark, and its report."""

from __future__ import annotations

import sys
from dataclasses import asdict
from typing import Any

import uvloop

from benchmarks import conclude

from .run import RunPlan, play
from .structures import measure_structures

INTERVAL_S = 0.02  # between purges
PLAN = RunPlan(5_000, INTERVAL_S, seed=5, restarts=50, with_control_servers=True)
QUICK_PLAN = RunPlan(300, INTERVAL_S, seed=5, restarts=3, with_control_servers=True)
UNBOUND_PLAN, QUICK_UNBOUND_PLAN = RunPlan(300, INTERVAL_S, seed=6), RunPlan(40, INTERVAL_S, seed=6)
ACTIVE_PURGES = 100_000  # of the data structures
LEAST_LOOKUP_GAIN = 100  # of the index over a scan
NONE_ALLOWED = ("stale_after_delay", "stale_by_scan", "lost", "answered_twice")


def broken_rules(figures: dict[str, Any]) -> list[str]:
    """The names of the figures that are not as they must be."""
    broken = [name for name in NONE_ALLOWED if figures[name]]
    if not figures["stale_without_bound"]:
        broken.append("stale_without_bound")
    if figures["lookup_us_scan"] < LEAST_LOOKUP_GAIN * figures["lookup_us"]:
        broken.append("lookup_us")
    return broken


def main() -> int:
    """The exit code."""
    quick = "--quick" in sys.argv[1:]
    bound = uvloop.run(play(QUICK_PLAN if quick else PLAN))
    unbound = uvloop.run(play(QUICK_UNBOUND_PLAN if quick else UNBOUND_PLAN))
    figures: dict[str, Any] = {
        "quick": quick,
        **asdict(bound.cut_off),
        **asdict(bound.figures),
        "stale_without_bound": unbound.figures.stale_after_delay,
        **asdict(measure_structures(ACTIVE_PURGES)),
    }
    return conclude(figures, broken_rules(figures))


if __name__ == "__main__":
    sys.exit(main())
