"""Wall clocks of a generated deployment, one a machine, wrong from the start or stepped in the run. Pure.

Moments of the run are true time, which no step reaches: the rules are judged by it, and servers count ages of
copies by it. A wall clock turns a moment into the date that its machine writes at that moment:

- a director reads its wall clock at its start, and again for whatever it dates itself;
- the origin dates the copies that it gives out;
- a cache or parent dates its own starts;
- discovery dates purges, by a clock that is right; where `dates_purges` says so, by the origin's.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..clock import Clock, UnixMs
from .model.timeline import Timeline

FROM_THE_START_MS = -math.inf  # of a clock that is wrong already when the run begins
HOUR_MS, SECONDS_MS, SLIGHT_MS = 3_600_000.0, 4000.0, 50.0
STEP_SIZES_MS = tuple(sign * size for size in (HOUR_MS, SECONDS_MS, SLIGHT_MS) for sign in (1.0, -1.0))
STEPPED_CHANCE = 0.5  # of a machine
SECOND_STEP_CHANCE = 0.3  # of a machine whose clock is stepped
WRONG_FROM_THE_START_CHANCE = 0.25  # of a step


@dataclass(frozen=True, slots=True)
class ClockStep:
    """The wall clock of one machine is set forward or back. `at_ms` counts from the run's start."""

    machine: str
    at_ms: float
    by_ms: float


@dataclass(frozen=True, slots=True)
class ClockPlan:
    """All steps of a run. `dates_purges`: whose clock dates purges, a machine's name; empty: one that is
    right."""

    steps: tuple[ClockStep, ...] = ()
    dates_purges: str = ""

    @property
    def is_stepped(self) -> bool:
        return bool(self.steps)


class WallClock:
    """One machine's, as a function of true time."""

    def __init__(self, machine: str, steps: Iterable[ClockStep] = (), start_ms: float = 0.0) -> None:
        self._steps = [(start_ms + step.at_ms, step.by_ms) for step in steps if step.machine == machine]

    def date_at(self, moment_ms: float) -> UnixMs:
        """What the machine's wall clock shows at this moment."""
        return UnixMs(moment_ms + sum(by_ms for at_ms, by_ms in self._steps if at_ms <= moment_ms))

    def process_clock(self, line: Timeline) -> Clock:
        """Both readings of a process that starts now on this machine."""
        return Clock(
            read_unix=lambda: float(self.date_at(line.now)) / 1000.0,
            read_monotonic=lambda: line.now / 1000.0,
            boot_id="",
        )


class WallClocks:
    """The wall clocks of all machines of a run. `start_ms`: the moment at which it begins."""

    def __init__(self, plan: ClockPlan, start_ms: float) -> None:
        self._plan, self._start_ms = plan, start_ms
        self._clocks: dict[str, WallClock] = {}

    def of(self, machine: str) -> WallClock:
        clock = self._clocks.get(machine)
        if clock is None:
            clock = self._clocks[machine] = WallClock(machine, self._plan.steps, self._start_ms)
        return clock

    def purge_date(self, moment_ms: float) -> UnixMs:
        return self.of(self._plan.dates_purges).date_at(moment_ms)


def draw_clock_plan(
    rng: random.Random, machines: Sequence[str], origin: str, duration_ms: float
) -> ClockPlan:
    """Steps for some of the machines, the origin among them or not; each machine's are its own."""
    steps: list[ClockStep] = []
    for machine in machines:
        if rng.random() >= STEPPED_CHANCE:
            continue
        for _ in range(1 + (rng.random() < SECOND_STEP_CHANCE)):
            wrong = rng.random() < WRONG_FROM_THE_START_CHANCE
            at_ms = FROM_THE_START_MS if wrong else rng.uniform(0.0, duration_ms)
            steps.append(ClockStep(machine, at_ms, rng.choice(STEP_SIZES_MS)))
    dates_purges = rng.choice(["", origin])
    return ClockPlan(tuple(sorted(steps, key=lambda step: step.at_ms)), dates_purges)
