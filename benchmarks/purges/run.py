"""One run: load, purges and restarts, then all control servers killed; and its figures."""

from __future__ import annotations

import asyncio
import tempfile
from dataclasses import dataclass
from pathlib import Path

from benchmarks.clients import count_answered_twice
from benchmarks.percentiles import percentile
from gladelane.lab.fleet.run_checks import find_stale_replies

from .director_files import DELAY_MS
from .fleet import CONTROL_SERVERS, Fleet
from .load import Load
from .measures import delays_ms, peak_per_s, stale_by_scan

CLIENT_TASKS = 24
WARM_UP_S = 1.0
SCANNED_ANSWERS = 2000  # sample size of the plain scan
EXTRA_LOAD_S = 0.5  # of load after the delay of the last purge
CUT_OFF_NOTICED_S = 1.0  # after the delay, until directors detect that they are cut off
CUT_OFF_S, RECOVERY_S = 3.0, 1.5


@dataclass(frozen=True)
class RunPlan:
    """The actions of a run. Without control servers the purges are recorded but not sent."""

    purges: int
    interval_s: float
    seed: int
    restarts: int = 0
    with_control_servers: bool = False


@dataclass(frozen=True)
class CutOffFigures:
    """The behaviour of directors while control servers are down. The fields have the names of the report."""

    origin_peak_ratio: float = 0.0
    refused_cut_off: int = 0


@dataclass(frozen=True)
class RunFigures:
    """The results of a run. The fields have the names of the report."""

    purges: int
    answers: int
    asked: int
    refused: int
    failed: int
    lost: int
    answered_twice: int
    restarts: dict[str, int]
    stale_by_scan: int
    delay_ms_p99: float
    delay_ms_most: float
    dropped_by_order: int
    joined_fills: int
    stale_after_delay: int


@dataclass(frozen=True)
class RunResult:
    """All figures of a run; `cut_off` has no meaning for a run without control servers."""

    cut_off: CutOffFigures
    figures: RunFigures


async def run_plan(plan: RunPlan) -> RunResult:
    """Starts a fleet, runs the plan, and stops the fleet."""
    with tempfile.TemporaryDirectory(prefix="gl") as folder:
        fleet = Fleet(Path(folder), plan.with_control_servers)
        try:
            await fleet.start()
            return await _run_on_fleet(fleet, plan)
        finally:
            await fleet.close()


async def _run_on_fleet(fleet: Fleet, plan: RunPlan) -> RunResult:
    loop = asyncio.get_running_loop()
    load = Load(fleet, plan.seed)
    workers = [asyncio.create_task(load.ask()) for _ in range(CLIENT_TASKS)]
    await asyncio.sleep(WARM_UP_S)
    started_s = loop.time()
    if plan.with_control_servers:
        purging = asyncio.create_task(load.purge(plan.purges, plan.interval_s))
        await fleet.restart_in_turn(plan.restarts)
        await purging
    else:
        await load.record_purges_without_sending(plan.purges, plan.interval_s)
    await asyncio.sleep(DELAY_MS / 1000.0 + EXTRA_LOAD_S)
    cut_off = CutOffFigures()
    if plan.with_control_servers:
        usual_peak = peak_per_s(fleet.site.origin.asked, started_s, loop.time())
        cut_off = await _measure_cut_off(fleet, load, usual_peak)
    load.is_running = False
    await asyncio.gather(*workers)
    return RunResult(cut_off, _figures(fleet, load))


async def _measure_cut_off(fleet: Fleet, load: Load, usual_peak: float) -> CutOffFigures:
    """Kills all control servers, restarts them, and returns the figures of the cut-off directors."""
    loop = asyncio.get_running_loop()
    rejected_before = load.rejected
    fleet.control_servers.kill()
    await asyncio.sleep(DELAY_MS / 1000.0 + CUT_OFF_NOTICED_S)
    start_s = loop.time()
    await asyncio.sleep(CUT_OFF_S)
    peak = peak_per_s(fleet.site.origin.asked, start_s, loop.time())
    figures = CutOffFigures(round(peak / usual_peak, 2), load.rejected - rejected_before)
    await asyncio.gather(*(fleet.restart_control_server(number) for number in range(CONTROL_SERVERS)))
    await asyncio.sleep(RECOVERY_S)
    return figures


def _figures(fleet: Fleet, load: Load) -> RunFigures:
    delays = delays_ms(load.answers, load.purges, DELAY_MS)
    return RunFigures(
        purges=len(load.purges),
        answers=len(load.answers),
        asked=load.asked,
        refused=load.rejected,
        failed=load.failed,
        lost=load.lost,
        answered_twice=count_answered_twice(fleet.directors.clients()),
        restarts=dict(fleet.restarts),
        stale_by_scan=stale_by_scan(load.answers, load.purges, DELAY_MS, SCANNED_ANSWERS),
        delay_ms_p99=round(percentile(delays, 99), 1),
        delay_ms_most=round(max(delays), 1),
        dropped_by_order=fleet.site.dropped_by_order(),
        joined_fills=fleet.site.joined_fills(),
        stale_after_delay=len(find_stale_replies(load.answers, load.purges, DELAY_MS)),
    )
