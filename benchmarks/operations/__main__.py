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
from .listener_handover import Change, measure_new_connections
from .metrics import measure_metrics
from .site import MEMORY_MB, SOCKETS, serve_site
from .upgrades import measure_upgrades

Result = TypeVar("Result")
UPGRADES, QUICK_UPGRADES = 20, 3
METRIC_REQUESTS, QUICK_METRIC_REQUESTS = 4_000, 400
ROUNDS, QUICK_ROUNDS = 60, 5
FIGURES_THAT_MUST_BE_ZERO = (
    "door_wrong",
    "lost",
    "figures_apart",
    "newcomers_lost_handed_over",
    "newcomers_lost_steered",
)


async def with_director(measure: Callable[[Processes], Awaitable[Result]]) -> Result:
    """Runs the measurement with a director of its own and returns the result."""
    async with serve_site() as serving:
        return await measure(serving.director)


def measure_all(quick: bool) -> dict[str, Any]:
    """Runs all measurements, one after the other, and returns the figures under the names of the report."""
    measure_endpoint = partial(measure_admin_endpoint, quick=quick)
    measure_upgrade_series = partial(measure_upgrades, count=QUICK_UPGRADES if quick else UPGRADES)
    figures: dict[str, Any] = {
        "quick": quick,
        **asdict(uvloop.run(with_director(measure_endpoint))),
        **asdict(uvloop.run(with_director(measure_upgrade_series))),
        **asdict(uvloop.run(measure_metrics(QUICK_METRIC_REQUESTS if quick else METRIC_REQUESTS))),
    }
    for change in Change:
        connections = measure_new_connections(change, QUICK_ROUNDS if quick else ROUNDS)
        figures[f"newcomers_lost_{change.value}"] = connections.lost
        figures[f"newcomers_{change.value}"] = connections.attempted
    return figures


def broken_rules(figures: dict[str, Any]) -> list[str]:
    """Returns the names of the figures that break a rule."""
    broken = [name for name in FIGURES_THAT_MUST_BE_ZERO if figures[name]]
    if figures["both_memory_mb"] > MEMORY_MB or figures["both_descriptors"] > SOCKETS:
        broken.append("limits")
    if not figures["last_took_over"]:
        broken.append("last_took_over")
    return broken


def main() -> int:
    """Runs the benchmark and returns the exit code."""
    figures = measure_all("--quick" in sys.argv[1:])
    return conclude(figures, broken_rules(figures))


if __name__ == "__main__":
    sys.exit(main())
