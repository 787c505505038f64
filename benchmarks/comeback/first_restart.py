"""Measures the first restart of a run: the start of the processes, and the recovery after it.

The time until the processes answer depends on the machine. It is therefore compared with the time that the
same number of processes takes only to import the program, right before and right after the run; a start that
waits or does additional work exceeds that time. The recovery after the start depends on the directors alone
and has a limit in seconds. A start that is delayed on purpose has to be reported as late.
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

from .scenarios import REQUESTS_PER_S, SEED, WARM, WARM_AFTER_S

DELAY_S = 2.0  # minimum of the planted delay of a start, which the report must show
# The limit of a start, relative to the imports, which are most of it. It has slack because the clients use a
# part of the machine meanwhile.
START_FACTOR, START_SLACK_S = 2.0, 0.5
# Without the check, an editable install of another checkout would be imported if this one has no program.
IMPORT_THIS_CHECKOUT = """
import os
import gladelane.__main__
raise SystemExit(not os.path.samefile(os.path.dirname(gladelane.__file__), "gladelane"))
"""
AFTER_START_S = 1.0  # from the answer of the last restarted director until full service


class ProcessTimes(Protocol):
    """The times at which a process began to answer and at which it was ended, Unix s."""

    ups: list[float]
    downs: list[float]


class Restart(NamedTuple):
    """The first restart of a run.

    `import_s` is the time that as many processes, started together, took to import the program. `start_s` is
    the time from the fault until the last affected director answers.
    """

    import_s: float
    start_s: float

    @property
    def start_limit_s(self) -> float:
        """The maximum time of the start."""
        return START_FACTOR * self.import_s + START_SLACK_S

    def is_late(self, full_service_s: float) -> bool:
        """Whether the start, or the time from it until full service, took too long."""
        after_s = full_service_s - self.start_s
        return not (self.start_s <= self.start_limit_s and after_s <= AFTER_START_S)


def first_start_s(directors: Sequence[ProcessTimes]) -> float:
    """Returns the time from the first fault until all directors that it ended answer again.

    It is infinite if one of them never does.
    """
    fault_s = min(moment for one in directors for moment in one.downs)
    ended = [one for one in directors if one.downs and one.downs[0] < fault_s + MIN_FAULT_INTERVAL_S]
    recovered_s = max(
        min((up_s for up_s in one.ups if up_s > one.downs[0]), default=math.inf) for one in ended
    )
    return recovered_s - fault_s


async def measure_restart(fleet: Fleet, _load: Load) -> dict[str, Any]:
    """Returns the start time of the first restart of a run, as a metric."""
    return {"start_s": first_start_s(fleet.directors)}


def time_imports(count: int) -> float:
    """Returns how long `count` processes, started together, take to import the program of this checkout.

    Raises RuntimeError if an import fails or finds a program that is installed elsewhere.
    """
    started_s = time.monotonic()
    command = [sys.executable, "-c", IMPORT_THIS_CHECKOUT]
    processes = [subprocess.Popen(command, cwd=ROOT) for _ in range(count)]
    if any([process.wait() for process in processes]):
        raise RuntimeError("the program cannot be imported")
    return time.monotonic() - started_s


def run_restart(schedule: str, shape: Shape, seconds: float, table: Path | None = None) -> dict[str, Any]:
    """Runs a fault schedule and returns its metrics, with its first restart as `restart`."""
    before_s = time_imports(shape.directors)
    metrics = uvloop.run(
        run_schedule(
            schedule, shape, SEED, seconds, REQUESTS_PER_S, table=table, collect_metrics=measure_restart
        )
    )
    import_s = max(before_s, time_imports(shape.directors))
    return {**metrics, "restart": Restart(import_s, metrics["start_s"])}


class DelayedStart(NamedTuple):
    """The measurement of a restart whose processes are started `delay_s` late."""

    delay_s: float
    full_service_s: float
    restart: Restart

    @property
    def is_noticed(self) -> bool:
        """Whether the measurement includes the delay and counts the restart as late."""
        return self.full_service_s >= self.delay_s and self.restart.is_late(self.full_service_s)


def run_delayed_start(shape: Shape, min_delay_s: float) -> DelayedStart:
    """Runs a delayed restart. A delay below `min_delay_s` could be taken for a slow start."""
    delay_s = round(max(DELAY_S, min_delay_s), 1)
    schedule = f"{WARM_AFTER_S} {WARM} for {delay_s}"
    metrics = run_restart(schedule, shape, 12.0 + delay_s)
    return DelayedStart(delay_s, metrics["full_service_s"], metrics["restart"])
