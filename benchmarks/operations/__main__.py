"""The command line of the benchmark, and its report."""

from __future__ import annotations

import sys
from collections.abc import Awaitable, Callable
from dataclasses import asdict
from functools import partial
from typing import Any, TypeVar

import uvloop

from benchmarks import conclude
from gladelane.lab.processes import Processes

from .admin_endpoint import measure_admin_endpoint
from .metrics import measure_metrics
from .newcomers import Change, measure_newcomers
from .site import MEMORY_MB, SOCKETS, serving_site
from .upgrades import measure_upgrades

T = TypeVar("T")
UPGRADES, QUICK_UPGRADES = 20, 3
METRIC_REQUESTS, QUICK_METRIC_REQUESTS = 4_000, 400
ROUNDS, QUICK_ROUNDS = 60, 5
NONE_ALLOWED = (
    "door_wrong",
    "lost",
    "figures_apart",
    "newcomers_lost_handed_over",
    "newcomers_lost_steered",
)


async def with_director(measure: Callable[[Processes], Awaitable[T]]) -> T:
    """What this gives for a director of its own."""
    async with serving_site() as serving:
        return await measure(serving.director)


def measure_all(quick: bool) -> dict[str, Any]:
    """One after the other."""
    measure_endpoint = partial(measure_admin_endpoint, quick=quick)
    measure_some_upgrades = partial(measure_upgrades, times=QUICK_UPGRADES if quick else UPGRADES)
    figures: dict[str, Any] = {
        "quick": quick,
        **asdict(uvloop.run(with_director(measure_endpoint))),
        **asdict(uvloop.run(with_director(measure_some_upgrades))),
        **asdict(uvloop.run(measure_metrics(QUICK_METRIC_REQUESTS if quick else METRIC_REQUESTS))),
    }
    for how in Change:
        newcomers = measure_newcomers(how, QUICK_ROUNDS if quick else ROUNDS)
        figures[f"newcomers_lost_{how.value}"] = newcomers.lost
        figures[f"newcomers_{how.value}"] = newcomers.came
    return figures


def broken_rules(figures: dict[str, Any]) -> list[str]:
    """The names of the figures that are not as they must be."""
    broken = [name for name in NONE_ALLOWED if figures[name]]
    if figures["both_memory_mb"] > MEMORY_MB or figures["both_descriptors"] > SOCKETS:
        broken.append("limits")
    if not figures["last_took_over"]:
        broken.append("last_took_over")
    return broken


def main() -> int:
    """The exit code."""
    figures = measure_all("--quick" in sys.argv[1:])
    return conclude(figures, broken_rules(figures))


if __name__ == "__main__":
    sys.exit(main())
