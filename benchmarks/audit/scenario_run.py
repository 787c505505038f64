"""Runs one scenario and holds its results."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

import uvloop

from benchmarks.fleet_scenarios import Scenario
from gladelane.lab.fleet.audit_comparison import run_with_audit
from gladelane.lab.fleet.faults import Step, parse_schedule
from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.world import CACHES

SEED = 11
# too long to print
HIDDEN_METRICS = ("ledger", "load", "lists", "events", "line", "phases", "stages")


@dataclass(frozen=True)
class ScenarioRun:
    """A scenario that has run, and its metrics under the names of `lab.fleet.audit_comparison`."""

    scenario: Scenario
    metrics: Mapping[str, Any]
    seed: int = SEED

    @property
    def schedule_started_ms(self) -> float:
        """The time from which the fault schedule counts, in Unix ms."""
        return next(float(at_ms) for at_ms, event in self.metrics["events"] if event == "line begins")

    @property
    def stages(self) -> dict[str, list[tuple[float, int]]]:
        """The escalation stages of each director, with their start in Unix ms."""
        stages: dict[str, list[tuple[float, int]]] = self.metrics["stages"]
        return stages

    def steps(self) -> list[Step]:
        """Returns the steps of the fault schedule, with the same random targets as in the run."""
        shape = self.scenario.shape
        counts = {"directors": shape.directors, "feeds": shape.control_servers, "caches": CACHES}
        return parse_schedule(self.scenario.schedule, counts, Random(self.seed))

    def step_started_ms(self, step: Step) -> float:
        """Returns the start of a step in Unix ms."""
        return self.schedule_started_ms + step.at * 1000.0

    def step_ended_ms(self, step: Step) -> float:
        """Returns the end of a step that has a duration, in Unix ms."""
        return self.schedule_started_ms + (step.at + step.duration_s) * 1000.0

    def printed_metrics(self) -> dict[str, Any]:
        """Returns the metrics that are short enough to print."""
        return {name: value for name, value in self.metrics.items() if name not in HIDDEN_METRICS}


async def _read_events(fleet: Fleet, _load: Load) -> dict[str, Any]:
    """Returns the events of the fault schedule with their times in Unix ms."""
    started_s = time.time() - time.monotonic() + fleet.started_s
    return {"events": [((started_s + at_s) * 1000.0, event) for at_s, event, _ in fleet.events]}


def run_scenario(scenario: Scenario) -> ScenarioRun:
    """Runs a scenario with processes of its own."""

    async def run() -> dict[str, Any]:
        metrics: dict[str, Any] = await run_with_audit(
            scenario.schedule,
            scenario.shape,
            SEED,
            scenario.seconds,
            purges=scenario.purges,
            collect_metrics=_read_events,
        )
        return metrics

    return ScenarioRun(scenario, uvloop.run(run()))
