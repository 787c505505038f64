"""Plays one run of a fleet with its load and a fault schedule, and returns its metrics."""

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

from .faults import Step, read_line
from .fleet import Fleet
from .load import CLASSES, Load
from .replicated import positions_at, reach
from .rules import PurgeName, Service, back_after, busiest, doubles, name_of, of_earlier_starts, stale
from .shape import Shape
from .world import CACHES, World

WARM_UP_S, BEFORE_S = 3.0, 2.0
Look = Callable[[Fleet, Load], Awaitable[dict[str, Any]]]  # called at the end, while all processes still run
APART_S = 3.0  # the least time between faults whose recovery is measured separately
BACKFILL_S = 6.0  # until restarted control servers have the purges of the directors (`purges/backfill.py`)
LOOK_S = 0.2
LEVEL_S = 60.0  # much longer than a restart with replication, also on a busy machine
FINISH_S = 20.0  # for steps that take their time, once the clients have ended
IMMEDIATE_WORDS = (
    "save",
    "stop",
    "full",
    "cut",
    "board",
)  # steps after which the next one may follow at once
IMMEDIATE_WAYS = ("save", "back")
REQUEST_COUNTS = ("asked", "served", "refused", "failed", "lost", "lost_by_kill", "nobody", "late_repeats")
MAX_RULES = 20  # breaches that a report spells out
SETTLE_S = 0.3  # before the next fault; not part of the measurement


async def play(
    line: str,
    shape: Shape,
    seed: int,
    seconds: float,
    per_s: float = 250.0,
    purges: int = 0,
    table: Path | None = None,
    look: Look | None = None,
) -> dict[str, Any]:
    """Plays a fault schedule.

    Its seconds count from the end of the warm-up and exclude the time of `await`. `purges` are sent during
    the warm-up. With the same seed the requests, their times and the affected processes are the same; the
    results may differ.
    """
    counts = {"directors": shape.directors, "feeds": shape.control_servers, "caches": CACHES}
    steps = read_line(line, counts, Random(seed))
    with tempfile.TemporaryDirectory(prefix="gl", dir=memory()) as name:
        world = World()
        fleet = Fleet(Path(name), world, shape, Random(seed + 1))
        try:
            await world.start()
            await fleet.start()
            load = Load(fleet, Random(seed + 2))
            metrics = await _run(fleet, load, steps, seconds, per_s, purges)
            if look is not None:
                metrics |= await look(fleet, load)
        finally:
            await fleet.close()
            await world.close()
    metrics = {"line": line, "seed": seed, **metrics}
    if table is not None:
        rows = [{"s": at, "what": what, "detail": detail} for at, what, detail in fleet.events]
        table.write_text("".join(json.dumps(row) + "\n" for row in (*rows, {"figures": metrics})))
    return metrics


def memory() -> str | None:
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
    played = await _play_steps(fleet, load, steps, seconds)
    await clients
    await _finish(played.tasks)
    await load.settle()
    await wait_for_purges(fleet, load)
    return await _metrics(fleet, load, played)


@dataclass
class PlayedSchedule:
    """When a schedule began, by both clocks, and its steps at the times that `await` moved them to."""

    began: float  # Unix s
    began_loop: float  # s of the event loop's clock
    seconds: float
    steps: list[Step] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)  # of steps that take their time


async def _play_steps(fleet: Fleet, load: Load, steps: list[Step], seconds: float) -> PlayedSchedule:
    """Starts each step at its time. Raises TimeoutError where `await` takes too long."""
    loop = asyncio.get_running_loop()
    played = PlayedSchedule(time.time(), loop.time(), seconds)
    fleet.note("line begins")
    waited_s = 0.0
    for step in (replace(one, at=one.at + waited_s) for one in steps):
        await asyncio.sleep(max(played.began_loop + step.at - loop.time(), 0.0))
        played.steps.append(step)
        if step.word == "await":
            with load.prolonged():
                await wait_until_level(fleet, step)
            elapsed_s = loop.time() - (played.began_loop + step.at)
            waited_s, played.seconds = waited_s + elapsed_s, played.seconds + elapsed_s
        elif step.word == "purges":
            fleet.note(step.word, step.text)
            played.tasks.append(asyncio.create_task(load.purge(int(step.how), step.last or 1.0)))
        elif step.word in IMMEDIATE_WORDS or step.how in IMMEDIATE_WAYS:
            await fleet.strike(step)
        else:
            played.tasks.append(asyncio.create_task(fleet.strike(step)))
    return played


async def _finish(tasks: list[asyncio.Task[None]]) -> None:
    """Waits a while for steps that take their time. Raises RuntimeError where one failed."""
    with suppress(TimeoutError):
        async with asyncio.timeout(FINISH_S):
            await asyncio.gather(*tasks)
    for task in tasks:
        if task.done() and not task.cancelled() and task.exception() is not None:
            raise RuntimeError("a step failed") from task.exception()
        task.cancel()


async def _metrics(fleet: Fleet, load: Load, played: PlayedSchedule) -> dict[str, Any]:
    """The results of a run, by their names in reports."""
    directors = await asyncio.gather(*(fleet.stats(one) for one in fleet.directors))
    statuses = await asyncio.gather(*(fleet.status(one) for one in fleet.control_servers))
    active_purges = await asyncio.gather(*(fleet.active_purges(one) for one in fleet.control_servers))
    return {
        **{name: load.counts[name] for name in REQUEST_COUNTS},
        "clients_late_s": round(load.late_s, 3),
        "answers": len(load.made),
        **_purge_metrics(fleet, load, statuses, active_purges),
        "doubles": len(doubles(fleet.world.ran, CLASSES["answer-submit"].window_ms)),
        "rules": [f"{one.rule}: {one.what}" for one in load.broken][:MAX_RULES],
        "rules_broken": len(load.broken),
        **_service_metrics(fleet, load, played, directors),
        **_origin_metrics(fleet, played),
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
    old = stale(load.made, load.purges, fleet.shape.delay_ms)
    strict = [made for made in old if made.cls in fleet.shape.strict]
    acknowledged = {name_of(purge) for purge in load.purges}
    latest = {reply["name"]: reply["epoch"] for reply in statuses if reply}
    return {
        "purges": len(load.purges),
        "purges_of_earlier_starts": len(of_earlier_starts(load.purges, latest)),
        "purges_missing": max((len(acknowledged - known) for known in active_purges), default=0),
        "stale_strict": len(strict),
        "stale_other": len(old) - len(strict),
    }


def _service_metrics(
    fleet: Fleet, load: Load, played: PlayedSchedule, directors: Sequence[dict[str, int]]
) -> dict[str, Any]:
    full = {
        period.text: round(full_service_after(period, fleet, load, played.began), 2)
        for period in fault_periods(played.steps, played.seconds)
    }
    return {
        "full_service_s": max(full.values(), default=0.0),
        "full_by_fault": full,
        "full_by_phase_s": max((reply.get("full_service_ms", 0) for reply in directors), default=0) / 1000.0,
    }


def _origin_metrics(fleet: Fleet, played: PlayedSchedule) -> dict[str, Any]:
    world, began = fleet.world, played.began_loop
    usual = busiest(world.origin.asked, began - BEFORE_S, began)
    peak = busiest(world.origin.asked, began, began + played.seconds)
    return {
        "origin_usual": usual,
        "origin_peak": peak,
        "origin_peak_over_usual": round(peak / max(usual, 1), 2),
        "pushed_over": world.pushed_over(peak),
        "after_drain": world.after_drain,
    }


class FaultPeriod(NamedTuple):
    """The time from a fault to the next one that is measured separately, in seconds of the schedule.

    `struck`: when the last fault of each process was.
    """

    text: str
    at: float
    until: float
    struck: dict[tuple[str, int], float]


def fault_periods(steps: list[Step], seconds: float) -> list[FaultPeriod]:
    """The periods after faults that end or suspend processes.

    Faults that are less than APART_S apart have one period, which starts with the last one.
    """
    found: list[FaultPeriod] = []
    for step in steps:
        if step.word not in ("kill", "term", "stop"):
            continue
        struck = dict.fromkeys(step.whom, step.at)
        if found and step.at - found[-1].at < APART_S:
            found[-1] = FaultPeriod(found[-1].text, step.at, seconds, {**found[-1].struck, **struck})
            continue
        if found:
            found[-1] = found[-1]._replace(until=step.at)
        found.append(FaultPeriod(step.text, step.at, seconds, struck))
    return found


def full_service_after(period: FaultPeriod, fleet: Fleet, load: Load, began_s: float) -> float:
    """Seconds until requests are served as before, also by the affected directors; infinity if never.

    All directors together often recover at once, because the unaffected ones take over the load. Therefore
    the affected ones are measured too: together, because each has too few requests for a share, and from
    when the last of them is back. A suspended director is back when it is resumed, since it may still
    answer requests from shortly before in time.
    """
    before = began_s - BEFORE_S, began_s
    fault_s, until_s = began_s + period.at, began_s + period.until - SETTLE_S
    of_all_s = load.service.full_after(fault_s, before, until_s)
    struck = {fleet.of(whom): at for whom, at in period.struck.items() if whom[0] == "directors"}
    if not struck:
        return of_all_s
    back_s = max(
        back_after([*one.ups, *one.resumes], [*one.downs, *one.stops], began_s + at, until_s)
        for one, at in struck.items()
    )
    start_s = max(back_s, fault_s)
    service = Service.together(load.by_director[one.name] for one in struck)
    return max(of_all_s, start_s - fault_s + service.full_after(start_s, before, until_s))


async def wait_until_level(fleet: Fleet, step: Step) -> None:
    """Waits until each of these control servers has all intervals that any of them had at the call.

    Raises TimeoutError.
    """
    control_servers = [fleet.of(whom) for whom in step.whom]
    wanted = [await positions_at(one) for one in control_servers]
    async with asyncio.timeout(LEVEL_S):
        while not all([reach(await positions_at(one), wanted) for one in control_servers]):
            await asyncio.sleep(LOOK_S)
    fleet.note("level", step.text)


async def wait_for_purges(fleet: Fleet, load: Load) -> None:
    """Waits for the backfill of restarted control servers, at most BACKFILL_S from their last start.

    Returns as soon as no purge is missing.
    """
    answered = {name_of(purge) for purge in load.purges}
    last_start_s = max((one.ups[-1] for one in fleet.control_servers if len(one.ups) > 1), default=0.0)
    while time.time() < last_start_s + BACKFILL_S:
        active_purges = await asyncio.gather(*(fleet.active_purges(one) for one in fleet.control_servers))
        if all(answered <= known for known in active_purges):
            return
        await asyncio.sleep(LOOK_S)
