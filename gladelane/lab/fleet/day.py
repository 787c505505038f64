"""One run: a fleet, its load, a line of faults, and one table of what happened and what it came to."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any

from .faults import Step, read_line
from .fleet import Fleet, Shape
from .load import CLASSES, Load
from .rules import busiest, doubles, stale
from .world import CACHES, World

WARM_UP_S, BEFORE_S = 3.0, 2.0
Look = Callable[[Fleet, Load], Awaitable[dict[str, Any]]]  # at the end, while all still runs
APART_S = 3.0  # between faults that are timed apart


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
    """The line's seconds count from the end of the warm-up. purges: during the warm-up. The same seed asks
    for the same things at the same moments and strikes the same processes; what the machine makes of it may
    differ."""
    counts = {"directors": shape.directors, "feeds": shape.feeds, "caches": CACHES}
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
    """A folder in memory, where there is one: processes are killed here, never the machine, so nothing hangs
    on what was synced; a slow disk under some hundred syncs a second would only make runs differ."""
    return "/dev/shm" if os.access("/dev/shm", os.W_OK) else None


async def _run(
    fleet: Fleet, load: Load, steps: list[Step], seconds: float, per_s: float, purges: int
) -> dict[str, Any]:
    world, loop = fleet.world, asyncio.get_running_loop()
    clients = asyncio.create_task(load.run(per_s, WARM_UP_S + seconds))
    purging = [asyncio.create_task(load.purge(purges, WARM_UP_S * 0.8))] if purges else []
    await asyncio.sleep(WARM_UP_S)
    if purging:
        await asyncio.gather(*purging)
    began, began_loop = time.time(), loop.time()
    fleet.note("line begins")
    striking: list[asyncio.Task[None]] = []
    for step in steps:
        await asyncio.sleep(max(began_loop + step.at - loop.time(), 0.0))
        if step.word == "purges":
            fleet.note(step.word, step.text)
            striking.append(asyncio.create_task(load.purge(int(step.how), step.last or 1.0)))
        elif step.word in ("save", "stop", "full", "cut", "board") or step.how in ("save", "back"):
            await fleet.strike(step)
        else:
            striking.append(asyncio.create_task(fleet.strike(step)))
    await clients
    with suppress(TimeoutError):
        async with asyncio.timeout(20.0):
            await asyncio.gather(*striking)
    for task in striking:
        if task.done() and task.exception() is not None:
            raise RuntimeError("a step failed") from task.exception()
        task.cancel()
    await load.settle()
    full = {
        text: round(load.service.full_after(began + at, (began - BEFORE_S, began), began + until - 0.3), 2)
        for text, at, until in spans(steps, seconds)
    }
    old = stale(load.made, load.purges, fleet.shape.delay_ms)
    usual = busiest(world.origin.asked, began_loop - BEFORE_S, began_loop)
    peak = busiest(world.origin.asked, began_loop, began_loop + seconds)
    directors = await asyncio.gather(*(fleet.stats(one) for one in fleet.directors))
    feeds = await asyncio.gather(*(fleet.status(one) for one in fleet.feeds))
    strict = [made for made in old if made.cls in fleet.shape.strict]
    return {
        **{
            name: load.counts[name]
            for name in (
                "asked",
                "served",
                "refused",
                "failed",
                "lost",
                "lost_by_kill",
                "nobody",
                "late_repeats",
            )
        },
        "answers": len(load.made),
        "purges": len(load.purges),
        "stale_strict": len(strict),
        "stale_other": len(old) - len(strict),
        "doubles": len(doubles(world.ran, CLASSES["answer-submit"].window_ms)),
        "rules": [f"{one.rule}: {one.what}" for one in load.broken][:20],
        "rules_broken": len(load.broken),
        "full_service_s": max(full.values(), default=0.0),
        "full_by_fault": full,
        "full_by_phase_s": max((told.get("full_service_ms", 0) for told in directors), default=0) / 1000.0,
        "origin_usual": usual,
        "origin_peak": peak,
        "origin_peak_over_usual": round(peak / max(usual, 1), 2),
        "pushed_over": world.pushed_over(peak),
        "after_drain": world.after_drain,
        "warm": sum(told.get("warm_start", 0) for told in directors),
        "phases": [told.get("phase", 0) for told in directors],
        "reseeded": sum(told.get("reseeded", 0) for told in directors),
        "standing": [told.get("standing", -1) for told in feeds],
        "horizon_open": [told.get("horizon_ms", -1.0) > 0.0 for told in feeds],
        "killed": sum(name in fleet.held_up for name in (one.name for one in fleet.directors)),
        "kills": fleet.counts["kills"],
        "disk_faults": fleet.counts["disk_faults"],
        "failed_starts": [text for one in (*fleet.directors, *fleet.feeds) for text in one.failed],
    }


def spans(steps: list[Step], seconds: float) -> list[tuple[str, float, float]]:
    """What ends or stops processes, each from its moment up to the next; those too close for full service in
    between count as one, from the last."""
    found: list[tuple[str, float, float]] = []
    for step in steps:
        if step.word in ("kill", "term", "stop"):
            if found and step.at - found[-1][1] < APART_S:
                found[-1] = found[-1][0], step.at, seconds
            else:
                if found:
                    found[-1] = *found[-1][:2], step.at
                found.append((step.text, step.at, seconds))
    return found
