"""Wall clocks of the machines of a generated deployment, wrong from the start or stepped in the run. Pure.

Moments of a run are true time, which no step affects: the rules are checked in true time, and servers compute
the ages of copies in it. A wall clock converts a moment to the date that its machine writes at that moment:

- a director reads its wall clock at its start, and again for everything that it dates itself;
- the origin dates the copies that it sends out;
- a cache or parent dates its own starts;
- discovery dates purges with a correct clock or, if `dates_purges` says so, with the origin's clock.
"""

from __future__ import annotations

import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from ..clock import Clock, UnixMs
from .model.timeline import Timeline

FROM_THE_START_MS = -math.inf  # `at_ms` of a step that precedes the run
HOUR_MS, SECONDS_MS, SLIGHT_MS = 3_600_000.0, 4000.0, 50.0
STEP_SIZES_MS = tuple(sign * size for size in (HOUR_MS, SECONDS_MS, SLIGHT_MS) for sign in (1.0, -1.0))
STEPPED_CHANCE = 0.5  # that a machine's clock is stepped
SECOND_STEP_CHANCE = 0.3  # that a stepped clock is stepped once more
WRONG_FROM_THE_START_CHANCE = 0.25  # that a step precedes the run


@dataclass(frozen=True, slots=True)
class ClockStep:
    """One machine's wall clock is set forward or back by `by_ms`. `at_ms` counts from the start of the
    run."""

    machine: str
    at_ms: float
    by_ms: float


@dataclass(frozen=True, slots=True)
class ClockPlan:
    """All steps of a run. `dates_purges` names the machine whose clock dates purges; empty: a correct
    clock."""

    steps: tuple[ClockStep, ...] = ()
    dates_purges: str = ""

    @property
    def is_stepped(self) -> bool:
        """Whether any clock of the run is ever wrong."""
        return bool(self.steps)


class WallClock:
    """One machine's wall clock, as a function of true time."""

    def __init__(self, machine: str, steps: Iterable[ClockStep] = (), start_ms: float = 0.0) -> None:
        self._steps = [(start_ms + step.at_ms, step.by_ms) for step in steps if step.machine == machine]

    def date_at(self, moment_ms: float) -> UnixMs:
        """What the wall clock shows at this moment."""
        return UnixMs(moment_ms + sum(by_ms for at_ms, by_ms in self._steps if at_ms <= moment_ms))

    def process_clock(self, line: Timeline) -> Clock:
        """The clock of a process that starts now on this machine: wall clock and monotonic clock."""
        return Clock(
            read_unix=lambda: float(self.date_at(line.now)) / 1000.0,
            read_monotonic=lambda: line.now / 1000.0,
            boot_id="",
        )


class WallClocks:
    """The wall clocks of all machines of a run. `start_ms`: the moment at which the run begins."""

    def __init__(self, plan: ClockPlan, start_ms: float) -> None:
        self._plan, self._start_ms = plan, start_ms
        self._clocks: dict[str, WallClock] = {}

    def of(self, machine: str) -> WallClock:
        """The wall clock of a machine; the name of an unknown machine gives a correct clock."""
        clock = self._clocks.get(machine)
        if clock is None:
            clock = self._clocks[machine] = WallClock(machine, self._plan.steps, self._start_ms)
        return clock

    def purge_date(self, moment_ms: float) -> UnixMs:
        """The date that a purge of this moment carries."""
        return self.of(self._plan.dates_purges).date_at(moment_ms)


def draw_clock_plan(
    rng: random.Random, machines: Sequence[str], origin: str, duration_ms: float
) -> ClockPlan:
    """Draws steps for some of the machines; each machine is stepped independently of the others."""
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
