"""Runs a fleet with its load and a fault schedule, and returns its metrics."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

from .faults import Step, parse_schedule
from .fleet import Fleet
from .load import CLASSES, Load
from .report_positions import has_reached, positions_at
from .run_checks import (
    PurgeName,
    Service,
    find_late_duplicates,
    find_stale_replies,
    max_per_second,
    purge_name,
    purges_of_earlier_starts,
    time_back,
)
from .shape import Shape
from .world import CACHES, World

WARM_UP_S, BASELINE_S = 3.0, 2.0
#: called at the end of a run, while all processes still run
CollectMetrics = Callable[[Fleet, Load], Awaitable[dict[str, Any]]]
MIN_FAULT_INTERVAL_S = 3.0  # between faults whose recovery is measured separately
BACKFILL_S = 6.0  # until restarted control servers have the purges of the directors (`purges/backfill.py`)
POLL_INTERVAL_S = 0.2
REPLICATION_TIMEOUT_S = 60.0  # much longer than a restart with replication, also on a busy machine
STEP_END_TIMEOUT_S = 20.0  # for steps that still run when the clients have ended
IMMEDIATE_ACTIONS = (
    "save",
    "stop",
    "full",
    "cut",
    "board",
)  # steps after which the next one may follow at once
IMMEDIATE_MODES = ("save", "back")
REQUEST_COUNTS = ("asked", "served", "refused", "failed", "lost", "lost_by_kill", "nobody", "late_repeats")
MAX_REPORTED_VIOLATIONS = 20  # violations that a report lists
SETTLE_S = 0.3  # before the next fault; not part of the measurement


async def run_schedule(
    schedule: str,
    shape: Shape,
    seed: int,
    seconds: float,
    per_s: float = 250.0,
    purges: int = 0,
    table: Path | None = None,
    collect_metrics: CollectMetrics | None = None,
) -> dict[str, Any]:
    """Runs a fleet under a fault schedule.

    The times of the schedule count from the end of the warm-up and exclude those of `await`. `purges` is the
    number of purges sent during the warm-up. With the same seed the requests, their times and the affected
    processes are the same; the results may differ.
    """
    counts = {"directors": shape.directors, "feeds": shape.control_servers, "caches": CACHES}
    steps = parse_schedule(schedule, counts, Random(seed))
    with tempfile.TemporaryDirectory(prefix="gl", dir=memory_folder()) as name:
        world = World()
        fleet = Fleet(Path(name), world, shape, Random(seed + 1))
        try:
            await world.start()
            await fleet.start()
            load = Load(fleet, Random(seed + 2))
            metrics = await _run(fleet, load, steps, seconds, per_s, purges)
            if collect_metrics is not None:
                metrics |= await collect_metrics(fleet, load)
        finally:
            await fleet.close()
            await world.close()
    metrics = {"line": schedule, "seed": seed, **metrics}
    if table is not None:
        rows = [{"s": at, "what": what, "detail": detail} for at, what, detail in fleet.events]
        table.write_text("".join(json.dumps(row) + "\n" for row in (*rows, {"figures": metrics})))
    return metrics


def memory_folder() -> str | None:
    """A folder in memory, if the machine has one.

    Runs kill processes, never the machine, so durability on disk does not matter; a slow disk with some
    hundred syncs per second would only add variance.
    """
    return "/dev/shm" if os.access("/dev/shm", os.W_OK) else None


async def _run(
    fleet: Fleet, load: Load, steps: list[Step], seconds: float, per_s: float, purges: int
) -> dict[str, Any]:
    clients = asyncio.create_task(load.run(per_s, WARM_UP_S + seconds))
    purging = [asyncio.create_task(load.purge(purges, WARM_UP_S * 0.8))] if purges else []
    await asyncio.sleep(WARM_UP_S)
    if purging:
        await asyncio.gather(*purging)
    progress = await _run_steps(fleet, load, steps, seconds)
    await clients
    await _finish(progress.tasks)
    await load.settle()
    await wait_for_purges(fleet, load)
    return await _metrics(fleet, load, progress)


@dataclass
class ScheduleProgress:
    """When a schedule started, by both clocks, and its steps with the delays by `await`."""

    started_s: float  # Unix s
    started_loop_s: float  # s of the event loop's clock
    seconds: float
    steps: list[Step] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)  # of steps that run in the background


async def _run_steps(fleet: Fleet, load: Load, steps: list[Step], seconds: float) -> ScheduleProgress:
    """Starts each step at its time. Raises TimeoutError if `await` takes too long."""
    loop = asyncio.get_running_loop()
    progress = ScheduleProgress(time.time(), loop.time(), seconds)
    fleet.record_event("line begins")
    waited_s = 0.0
    for step in (replace(one, at=one.at + waited_s) for one in steps):
        await asyncio.sleep(max(progress.started_loop_s + step.at - loop.time(), 0.0))
        progress.steps.append(step)
        if step.action == "await":
            with load.extended():
                await wait_until_replicated(fleet, step)
            elapsed_s = loop.time() - (progress.started_loop_s + step.at)
            waited_s, progress.seconds = waited_s + elapsed_s, progress.seconds + elapsed_s
        elif step.action == "purges":
            fleet.record_event(step.action, step.text)
            progress.tasks.append(asyncio.create_task(load.purge(int(step.mode), step.duration_s or 1.0)))
        elif step.action in IMMEDIATE_ACTIONS or step.mode in IMMEDIATE_MODES:
            await fleet.inject(step)
        else:
            progress.tasks.append(asyncio.create_task(fleet.inject(step)))
    return progress


async def _finish(tasks: list[asyncio.Task[None]]) -> None:
    """Waits for the steps in the background, at most STEP_END_TIMEOUT_S.

    Raises RuntimeError if one failed.
    """
    with suppress(TimeoutError):
        async with asyncio.timeout(STEP_END_TIMEOUT_S):
            await asyncio.gather(*tasks)
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is not None:
            raise RuntimeError("a step failed") from task.exception()
        task.cancel()


async def _metrics(fleet: Fleet, load: Load, progress: ScheduleProgress) -> dict[str, Any]:
    """The results of a run, by their names in reports."""
    directors = await asyncio.gather(*(fleet.stats(one) for one in fleet.directors))
    statuses = await asyncio.gather(*(fleet.status(one) for one in fleet.control_servers))
    active_purges = await asyncio.gather(*(fleet.active_purges(one) for one in fleet.control_servers))
    return {
        **{name: load.counts[name] for name in REQUEST_COUNTS},
        "clients_late_s": round(load.late_s, 3),
        "answers": len(load.replies),
        **_purge_metrics(fleet, load, statuses, active_purges),
        "doubles": len(find_late_duplicates(fleet.world.keyed_requests, CLASSES["answer-submit"].window_ms)),
        "rules": [f"{one.rule}: {one.what}" for one in load.violations][:MAX_REPORTED_VIOLATIONS],
        "rules_broken": len(load.violations),
        **_service_metrics(fleet, load, progress, directors),
        **_origin_metrics(fleet, progress),
        "warm": sum(reply.get("warm_start", 0) for reply in directors),
        "phases": [reply.get("phase", 0) for reply in directors],
        "reseeded": sum(reply.get("reseeded", 0) for reply in directors),
        "standing": [reply.get("standing", -1) for reply in statuses],
        "horizon_open": [reply.get("horizon_ms", -1.0) > 0.0 for reply in statuses],
        "killed": sum(bool(one.unresponsive_periods) for one in fleet.directors),
        "kills": fleet.counts["kills"],
        "disk_faults": fleet.counts["disk_faults"],
        "failed_starts": [text for one in (*fleet.directors, *fleet.control_servers) for text in one.failed],
    }


def _purge_metrics(
    fleet: Fleet, load: Load, statuses: Sequence[dict[str, Any]], active_purges: Sequence[set[PurgeName]]
) -> dict[str, Any]:
    old = find_stale_replies(load.replies, load.purges, fleet.shape.delay_ms)
    strict = [reply for reply in old if reply.cls in fleet.shape.strict]
    acknowledged = {purge_name(purge) for purge in load.purges}
    latest = {reply["name"]: reply["epoch"] for reply in statuses if reply}
    return {
        "purges": len(load.purges),
        "purges_of_earlier_starts": len(purges_of_earlier_starts(load.purges, latest)),
        "purges_missing": max((len(acknowledged - known) for known in active_purges), default=0),
        "stale_strict": len(strict),
        "stale_other": len(old) - len(strict),
    }


def _service_metrics(
    fleet: Fleet, load: Load, progress: ScheduleProgress, directors: Sequence[dict[str, int]]
) -> dict[str, Any]:
    full = {
        period.text: round(full_service_after(period, fleet, load, progress.started_s), 2)
        for period in fault_periods(progress.steps, progress.seconds)
    }
    return {
        "full_service_s": max(full.values(), default=0.0),
        "full_by_fault": full,
        "full_by_phase_s": max((reply.get("full_service_ms", 0) for reply in directors), default=0) / 1000.0,
    }


def _origin_metrics(fleet: Fleet, progress: ScheduleProgress) -> dict[str, Any]:
    world, started_loop_s = fleet.world, progress.started_loop_s
    usual = max_per_second(world.origin.asked, started_loop_s - BASELINE_S, started_loop_s)
    peak = max_per_second(world.origin.asked, started_loop_s, started_loop_s + progress.seconds)
    return {
        "origin_usual": usual,
        "origin_peak": peak,
        "origin_peak_over_usual": round(peak / max(usual, 1), 2),
        "pushed_over": world.overloaded_servers(peak),
        "after_drain": world.after_drain,
    }


class FaultPeriod(NamedTuple):
    """The time from a fault to the next one that is measured separately, in seconds of the schedule.

    `last_fault_s`: the time of the last fault of each process.
    """

    text: str
    at: float
    until: float
    last_fault_s: dict[tuple[str, int], float]


def fault_periods(steps: list[Step], seconds: float) -> list[FaultPeriod]:
    """The periods after faults that end or suspend processes.

    Faults that are less than APART_S apart have one period, which starts with the last one.
    """
    found: list[FaultPeriod] = []
    for step in steps:
        if step.action not in ("kill", "term", "stop"):
            continue
        last_fault_s = dict.fromkeys(step.targets, step.at)
        if found and step.at - found[-1].at < MIN_FAULT_INTERVAL_S:
            found[-1] = FaultPeriod(
                found[-1].text, step.at, seconds, {**found[-1].last_fault_s, **last_fault_s}
            )
            continue
        if found:
            found[-1] = found[-1]._replace(until=step.at)
        found.append(FaultPeriod(step.text, step.at, seconds, last_fault_s))
    return found


def full_service_after(period: FaultPeriod, fleet: Fleet, load: Load, started_s: float) -> float:
    """Seconds until requests are served as before, also by the affected directors; infinity if never.

    All directors together often recover at once, because the unaffected ones take over the load. Therefore
    the affected ones are measured too: together, because each has too few requests for a share, and from
    when the last of them is back. A suspended director is back when it is resumed, since it may still
    answer requests from shortly before in time.
    """
    before = started_s - BASELINE_S, started_s
    fault_s, until_s = started_s + period.at, started_s + period.until - SETTLE_S
    of_all_s = load.service.seconds_until_full(fault_s, before, until_s)
    affected = {
        fleet.process_of(target): at for target, at in period.last_fault_s.items() if target[0] == "directors"
    }
    if not affected:
        return of_all_s
    back_s = max(
        time_back([*one.ups, *one.resumes], [*one.downs, *one.stops], started_s + at, until_s)
        for one, at in affected.items()
    )
    start_s = max(back_s, fault_s)
    service = Service.together(load.by_director[one.name] for one in affected)
    return max(of_all_s, start_s - fault_s + service.seconds_until_full(start_s, before, until_s))


async def wait_until_replicated(fleet: Fleet, step: Step) -> None:
    """Waits until each of these control servers has all intervals that any of them had at the call.

    Raises TimeoutError.
    """
    control_servers = [fleet.process_of(target) for target in step.targets]
    wanted = [await positions_at(one) for one in control_servers]
    async with asyncio.timeout(REPLICATION_TIMEOUT_S):
        while not all([has_reached(await positions_at(one), wanted) for one in control_servers]):
            await asyncio.sleep(POLL_INTERVAL_S)
    fleet.record_event("level", step.text)


async def wait_for_purges(fleet: Fleet, load: Load) -> None:
    """Waits for the backfill of restarted control servers, at most BACKFILL_S from their last start.

    Returns as soon as no purge is missing.
    """
    answered = {purge_name(purge) for purge in load.purges}
    last_start_s = max((one.ups[-1] for one in fleet.control_servers if len(one.ups) > 1), default=0.0)
    while time.time() < last_start_s + BACKFILL_S:
        active_purges = await asyncio.gather(*(fleet.active_purges(one) for one in fleet.control_servers))
        if all(answered <= known for known in active_purges):
            return
        await asyncio.sleep(POLL_INTERVAL_S)
