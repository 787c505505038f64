"""Compares the restricted directors with those that were behind according to the fault schedule. Pure.

A director is behind while it lacks a change that others have been notified of. The fleet has to detect that,
to readmit the director once it has caught up, and to restrict no other director.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gladelane.audit.view_lease import Stage
from gladelane.lab.fleet.faults import Step

from .scenario_run import ScenarioRun
from .scenarios import MOST_ARE_BEHIND

ALLOWED_LAG_MS = 500.0  # a director that lacks a change for a shorter time is not behind
READMISSION_MS = 8_000.0  # for which a director may stay restricted after it could catch up
ISOLATING_FAULTS = ("stop", "cut")


class Lag(NamedTuple):
    """The time in which a director was behind, until it could receive changes again. Unix ms."""

    director: str
    since_ms: float
    until_ms: float


@dataclass
class LagFigures:
    """Over all runs: the times of detection and readmission, and directors restricted without reason."""

    detected_ms: list[float] = field(default_factory=list)
    readmitted_ms: list[float] = field(default_factory=list)
    wrongly_restricted: list[str] = field(default_factory=list)

    def add(self, run: ScenarioRun) -> None:
        """Adds a run.

        If most directors are behind, the source of the changes is at fault and none may be restricted.
        """
        if run.scenario.name == MOST_ARE_BEHIND:
            self.wrongly_restricted += wrongly_restricted(run, [])
            return
        missed_lags = lags_of_missed_changes(run)
        self.detected_ms += detection_ms(run, missed_lags)
        self.readmitted_ms += readmission_ms(run, missed_lags)
        self.wrongly_restricted += wrongly_restricted(run, missed_lags + lags_of_isolated(run))


def lags_of_missed_changes(run: ScenarioRun) -> list[Lag]:
    """Returns the lags of directors that were cut off from discovery while it listed a change."""
    steps = run.steps()
    changes_s = [step.at for step in steps if step.action == "drain"]
    return [
        lag
        for step in steps
        for director in _cut_off_from_discovery(step)
        for lag in _missed_change(run, step, director, changes_s)
    ]


def _cut_off_from_discovery(step: Step) -> list[str]:
    return [f"director-{source[1]}" for source, target in step.links if target[0] == "board"]


def _missed_change(run: ScenarioRun, step: Step, director: str, changes_s: Iterable[float]) -> list[Lag]:
    """Returns the lag since the first change during the cut, or nothing if there was no change."""
    missed_s = [at_s for at_s in changes_s if step.at < at_s < step.at + step.duration_s]
    since_ms = [run.schedule_started_ms + at_s * 1000.0 + ALLOWED_LAG_MS for at_s in missed_s[:1]]
    return [Lag(director, since, run.step_ended_ms(step)) for since in since_ms]


def lags_of_isolated(run: ScenarioRun) -> list[Lag]:
    """Returns lags for directors that were stopped or cut off, as they may be behind when they reconnect."""
    found = []
    for step in run.steps():
        if step.action in ISOLATING_FAULTS:
            names = [f"director-{number}" for kind, number in step.targets if kind == "directors"]
            names += [f"director-{source[1]}" for source, _ in step.links]
            started_ms, ended_ms = run.step_started_ms(step), run.step_ended_ms(step)
            found += [Lag(name, started_ms, ended_ms) for name in names]
    return found


def detection_ms(run: ScenarioRun, lags: Iterable[Lag]) -> list[float]:
    """Returns the time until detection of each lag that was detected."""
    found = []
    for lag in lags:
        stages = run.stages.get(lag.director, [])
        earliest_ms = lag.since_ms - ALLOWED_LAG_MS
        found += [at_ms - lag.since_ms for at_ms, stage in stages if stage and at_ms >= earliest_ms][:1]
    return found


def readmission_ms(run: ScenarioRun, lags: Iterable[Lag]) -> list[float]:
    """Returns, for each readmitted director, the time since it could receive changes again."""
    found = []
    for lag in lags:
        stages = run.stages.get(lag.director, [])
        found += [at_ms - lag.until_ms for at_ms, stage in stages if not stage and at_ms >= lag.until_ms][:1]
    return found


def wrongly_restricted(run: ScenarioRun, lags: Sequence[Lag]) -> list[str]:
    """Returns a description of each restriction of a director that was not behind."""

    def is_behind(director: str, at_ms: float) -> bool:
        return any(
            lag.director == director and lag.since_ms <= at_ms <= lag.until_ms + READMISSION_MS
            for lag in lags
        )

    return [
        f"{director} at {at_ms:.0f}: stage {stage}"
        for director, stages in run.stages.items()
        for at_ms, stage in stages
        if stage >= Stage.RESTRICTED and not is_behind(director, at_ms)
    ]


def times_all_drained(run: ScenarioRun) -> int:
    """Returns how often all directors of the site became drained at the same time."""
    changes = sorted(
        (at_ms, director, stage) for director, stages in run.stages.items() for at_ms, stage in stages
    )
    drained: set[str] = set()
    times = 0
    for _, director, stage in changes:
        before = len(drained)
        (drained.add if stage >= Stage.DRAINED else drained.discard)(director)
        times += len(drained) == run.scenario.shape.directors > before
    return times
