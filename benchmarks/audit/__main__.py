"""The command line of the benchmark."""

from __future__ import annotations

import sys
from dataclasses import asdict
from functools import partial
from typing import Any

from benchmarks import conclude
from benchmarks.planted_searches import PlantedSearches
from gladelane.lab.view_leases import ESCALATION_PLANTS, LEASE_PLANTS, searched, searched_all

from .attempt_cost import measure_attempt_us
from .lag import LagFigures
from .report import audit_figures, broken_rules, lag_figures, service_figures, size_figures
from .scenario_run import SEED, ScenarioRun, run_scenario
from .scenarios import NOT_ENFORCED, scenarios
from .tampered import detect_tampering
from .week import measure_week

LEASE_STEPS = 6  # depth of the search
ESCALATION_STEPS, QUICK_ESCALATION_STEPS = 3, 2
WEEK_DIRECTORS = 300
WEEK_INTERVALS, QUICK_WEEK_INTERVALS = 2016, 170  # of each director
MAX_WRONG_SHOWN = 5


def start_searches(quick: bool) -> PlantedSearches[dict[str, int | str]]:
    """Starts the searches of the state machines, which run in parallel with the scenarios."""
    steps = QUICK_ESCALATION_STEPS if quick else ESCALATION_STEPS
    planted = {plant.name: partial(searched, plant) for plant in (*LEASE_PLANTS, *ESCALATION_PLANTS)}
    return PlantedSearches(partial(searched_all, LEASE_STEPS, steps), planted)


def run_scenarios(quick: bool) -> list[ScenarioRun]:
    """Runs all scenarios, one after the other, and prints their metrics."""
    runs = []
    for scenario in scenarios(quick):
        runs.append(run_scenario(scenario))
        print(f"{scenario.name}: {runs[-1].printed_metrics()}", flush=True)
    return runs


def run_not_enforced() -> ScenarioRun:
    """Runs the scenario without enforcement, in which directors must act after their view lease expired."""
    run = run_scenario(NOT_ENFORCED)
    attempts, acted_after_out = run.metrics["attempts"], run.metrics["acted_after_out"]
    print(f"not enforced: attempts {attempts}, after out {acted_after_out}", flush=True)
    return run


def main() -> int:
    """Runs the benchmark, prints its results and returns the exit code."""
    quick = "--quick" in sys.argv
    searches = start_searches(quick)
    runs = run_scenarios(quick)
    not_enforced = run_not_enforced()
    lag = LagFigures()
    for run in runs:
        lag.add(run)
    detected = detect_tampering(runs[0].metrics, SEED)
    search_result = searches.result()
    week = measure_week(WEEK_DIRECTORS, QUICK_WEEK_INTERVALS if quick else WEEK_INTERVALS)
    figures: dict[str, Any] = {
        "quick": quick,
        **size_figures(runs),
        **audit_figures(runs, not_enforced, detected),
        **lag_figures(runs, lag),
        **service_figures(runs, measure_attempt_us()),
        **asdict(week),
        "search_states": search_result.clean,
        "search_planted": search_result.planted,
        "search_caught": search_result.caught,
    }
    for name in lag.wrongly_restricted[:MAX_WRONG_SHOWN]:
        print(name)
    return conclude(figures, broken_rules(figures))


if __name__ == "__main__":
    sys.exit(main())
