"""Who was kept out, held against who was behind by what the line of faults did. Pure.

A director is behind once it lacks what others have been notified of. The fleet has to detect that, to readmit
the director once it has caught up, and to keep out nobody else.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gladelane.audit.view_lease import Stage
from gladelane.lab.fleet.faults import Step

from .days import MOST_ARE_BEHIND
from .play import PlayedDay

ALLOWED_LAG_MS = 500.0  # who lacks a change for less is not behind
READMISSION_MS = 8_000.0  # for which one that was behind may still be restricted
SILENCING_FAULTS = ("stop", "cut")


class Lag(NamedTuple):
    """For how long a director was behind: until it could hear again. Unix ms."""

    director: str
    since_ms: float
    until_ms: float


@dataclass
class LagFigures:
    """Of all days: how long detection and readmission took, and who was kept out without a reason."""

    detected_ms: list[float] = field(default_factory=list)
    readmitted_ms: list[float] = field(default_factory=list)
    wrongly_restricted: list[str] = field(default_factory=list)

    def add(self, played: PlayedDay) -> None:
        """Where most are behind, the fault is the source's, and nobody is to be kept out for it."""
        if played.day.name == MOST_ARE_BEHIND:
            self.wrongly_restricted += wrongly_restricted(played, [])
            return
        missed = lags_behind_list(played)
        self.detected_ms += detection_ms(played, missed)
        self.readmitted_ms += readmission_ms(played, missed)
        self.wrongly_restricted += wrongly_restricted(played, missed + lags_of_silenced(played))


def lags_behind_list(played: PlayedDay) -> list[Lag]:
    """Of directors that were cut off from discovery while it listed a change."""
    steps = played.steps()
    changes_s = [step.at for step in steps if step.action == "drain"]
    return [
        lag
        for step in steps
        for director in _cut_off_from_discovery(step)
        for lag in _missed_change(played, step, director, changes_s)
    ]


def _cut_off_from_discovery(step: Step) -> list[str]:
    return [f"director-{near[1]}" for near, far in step.links if far[0] == "board"]


def _missed_change(played: PlayedDay, step: Step, director: str, changes_s: Iterable[float]) -> list[Lag]:
    """Since the first change during the cut, or none."""
    missed_s = [at_s for at_s in changes_s if step.at < at_s < step.at + step.duration_s]
    since_ms = [played.line_began_ms + at_s * 1000.0 + ALLOWED_LAG_MS for at_s in missed_s[:1]]
    return [Lag(director, since, played.step_ended_ms(step)) for since in since_ms]


def lags_of_silenced(played: PlayedDay) -> list[Lag]:
    """Of directors that were stopped or cut off: they may be behind when they are heard again."""
    found = []
    for step in played.steps():
        if step.action in SILENCING_FAULTS:
            names = [f"director-{number}" for kind, number in step.targets if kind == "directors"]
            names += [f"director-{near[1]}" for near, _ in step.links]
            began_ms, ended_ms = played.step_began_ms(step), played.step_ended_ms(step)
            found += [Lag(name, began_ms, ended_ms) for name in names]
    return found


def detection_ms(played: PlayedDay, lags: Iterable[Lag]) -> list[float]:
    """For each lag that was detected, the time until then."""
    found = []
    for lag in lags:
        stages = played.stages.get(lag.director, [])
        earliest_ms = lag.since_ms - ALLOWED_LAG_MS
        found += [at_ms - lag.since_ms for at_ms, stage in stages if stage and at_ms >= earliest_ms][:1]
    return found


def readmission_ms(played: PlayedDay, lags: Iterable[Lag]) -> list[float]:
    """For each director that was readmitted, the time until then from when it could hear again."""
    found = []
    for lag in lags:
        stages = played.stages.get(lag.director, [])
        found += [at_ms - lag.until_ms for at_ms, stage in stages if not stage and at_ms >= lag.until_ms][:1]
    return found


def wrongly_restricted(played: PlayedDay, lags: Sequence[Lag]) -> list[str]:
    """Directors that were restricted while they lacked nothing."""

    def is_behind(director: str, at_ms: float) -> bool:
        return any(
            lag.director == director and lag.since_ms <= at_ms <= lag.until_ms + READMISSION_MS
            for lag in lags
        )

    return [
        f"{director} at {at_ms:.0f}: stage {stage}"
        for director, stages in played.stages.items()
        for at_ms, stage in stages
        if stage >= Stage.RESTRICTED and not is_behind(director, at_ms)
    ]


def times_all_drained(played: PlayedDay) -> int:
    """How often no director of the site served anybody."""
    changes = sorted(
        (at_ms, director, stage) for director, stages in played.stages.items() for at_ms, stage in stages
    )
    drained: set[str] = set()
    times = 0
    for _, director, stage in changes:
        before = len(drained)
        (drained.add if stage >= Stage.DRAINED else drained.discard)(director)
        times += len(drained) == played.day.shape.directors > before
    return times
