"""The first restart of a run: its start, held against imports of the program, and what comes after it.

How long the processes take to answer depends on the machine, so it is measured against what as many processes
take that only import the program, right before the run and right after it: a start that waits, or does more
than it did, is no part of that. What is left after the start is the directors' own doing and has a limit in
seconds. A start that is delayed on purpose has to count as late.
"""

from __future__ import annotations

import math
import subprocess
import sys
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple, Protocol

import uvloop

from gladelane.lab.fleet.fleet import Fleet
from gladelane.lab.fleet.load import Load
from gladelane.lab.fleet.schedule_run import MIN_FAULT_INTERVAL_S, run_schedule
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.processes import ROOT

from .days import RATE, SEED, WARM, WARM_AFTER_S

DELAY_S = 2.0  # least delay of a start that is planted late: the figure must show it
# Limit on the start, by the imports, which are most of it; clients take a part of the machine meanwhile.
START_FACTOR, START_SLACK_S = 2.0, 0.5
# An editable install of any checkout would be imported where this one has no program.
IMPORT_THIS_CHECKOUT = """
import os
import gladelane.__main__
raise SystemExit(not os.path.samefile(os.path.dirname(gladelane.__file__), "gladelane"))
"""
AFTER_START_S = 1.0  # from when the last of them answers until service is full


class ProcessTimes(Protocol):
    """When a process began to answer and when one was ended, Unix s."""

    ups: list[float]
    downs: list[float]


class Restart(NamedTuple):
    """The first restart of a run. `import_s`: what as many processes took to import the program, together;
    `start_s`: from the fault until the last director that was struck answers."""

    import_s: float
    start_s: float

    @property
    def start_limit_s(self) -> float:
        """What the start may take."""
        return START_FACTOR * self.import_s + START_SLACK_S

    def is_late(self, full_service_s: float) -> bool:
        """Whether the start, or what is left until full service after it, took too long."""
        after_s = full_service_s - self.start_s
        return not (self.start_s <= self.start_limit_s and after_s <= AFTER_START_S)


def first_start_s(directors: Sequence[ProcessTimes]) -> float:
    """Infinite: one that was struck never came back."""
    fault_s = min(moment for one in directors for moment in one.downs)
    struck = [one for one in directors if one.downs and one.downs[0] < fault_s + MIN_FAULT_INTERVAL_S]
    back_s = max(min((up for up in one.ups if up > one.downs[0]), default=math.inf) for one in struck)
    return back_s - fault_s


async def look_at_restart(fleet: Fleet, _load: Load) -> dict[str, Any]:
    """The start of a run's first restart, for its metrics."""
    return {"start_s": first_start_s(fleet.directors)}


def time_imports(count: int) -> float:
    """Seconds until all of so many processes, started together, have imported the program of this checkout.
    Raises RuntimeError where one did not, also where it imported one that is installed elsewhere."""
    began_s = time.monotonic()
    command = [sys.executable, "-c", IMPORT_THIS_CHECKOUT]
    processes = [subprocess.Popen(command, cwd=ROOT) for _ in range(count)]
    if any([process.wait() for process in processes]):
        raise RuntimeError("the program cannot be imported")
    return time.monotonic() - began_s


def play_restart(line: str, shape: Shape, seconds: float, table: Path | None = None) -> dict[str, Any]:
    """A run's metrics, and its first restart under `restart`."""
    before_s = time_imports(shape.directors)
    metrics = uvloop.run(
        run_schedule(line, shape, SEED, seconds, RATE, table=table, collect_metrics=look_at_restart)
    )
    import_s = max(before_s, time_imports(shape.directors))
    return {**metrics, "restart": Restart(import_s, metrics["start_s"])}


class DelayedStart(NamedTuple):
    """A restart whose processes are started later by `delay_s`, as the figures show it."""

    delay_s: float
    full_service_s: float
    restart: Restart

    @property
    def is_noticed(self) -> bool:
        """Whether the figures show the delay and count it as late."""
        return self.full_service_s >= self.delay_s and self.restart.is_late(self.full_service_s)


def play_delayed_start(shape: Shape, least_s: float) -> DelayedStart:
    """`least_s`: a delay below it might pass for a slow start."""
    delay_s = round(max(DELAY_S, least_s), 1)
    line = f"{WARM_AFTER_S} {WARM} for {delay_s}"
    metrics = play_restart(line, shape, 12.0 + delay_s)
    return DelayedStart(delay_s, metrics["full_service_s"], metrics["restart"])
