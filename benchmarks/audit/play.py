"""Plays one day, and has what it gave."""

from __future__ import annotations

import time
from collections.abc import Mapping
from dataclasses import dataclass
from random import Random
from typing import Any

import uvloop

from benchmarks.fleet_days import Day
from gladelane.lab.fleet.audit_comparison import run_with_audit
from gladelane.lab.fleet.faults import Step, parse_schedule
from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.world import CACHES

SEED = 11
HIDDEN = ("ledger", "load", "lists", "events", "line", "phases", "stages")  # too long to print


@dataclass(frozen=True)
class PlayedDay:
    """A day and its metrics, as `lab.fleet.audit_comparison` names them."""

    day: Day
    metrics: Mapping[str, Any]
    seed: int = SEED

    @property
    def line_began_ms(self) -> float:
        """Unix ms of the moment from which the line counts."""
        return next(float(at_ms) for at_ms, what in self.metrics["events"] if what == "line begins")

    @property
    def stages(self) -> dict[str, list[tuple[float, int]]]:
        """Each director's stages, with the Unix ms at which they began."""
        stages: dict[str, list[tuple[float, int]]] = self.metrics["stages"]
        return stages

    def steps(self) -> list[Step]:
        """The faults, drawn as in the run."""
        shape = self.day.shape
        counts = {"directors": shape.directors, "feeds": shape.control_servers, "caches": CACHES}
        return parse_schedule(self.day.line, counts, Random(self.seed))

    def step_began_ms(self, step: Step) -> float:
        """Unix ms."""
        return self.line_began_ms + step.at * 1000.0

    def step_ended_ms(self, step: Step) -> float:
        """Unix ms, for a fault that lasts."""
        return self.line_began_ms + (step.at + step.duration_s) * 1000.0

    def shown(self) -> dict[str, Any]:
        """The metrics that fit a line."""
        return {name: value for name, value in self.metrics.items() if name not in HIDDEN}


async def _events(fleet: Fleet, _load: Load) -> dict[str, Any]:
    """What the line did, in Unix ms."""
    began_s = time.time() - time.monotonic() + fleet.started_s
    return {"events": [((began_s + at) * 1000.0, what) for at, what, _ in fleet.events]}


def play_day(day: Day) -> PlayedDay:
    """With processes of its own."""

    async def play() -> dict[str, Any]:
        metrics: dict[str, Any] = await run_with_audit(
            day.line, day.shape, SEED, day.seconds, purges=day.purges, collect_metrics=_events
        )
        return metrics

    return PlayedDay(day, uvloop.run(play()))
