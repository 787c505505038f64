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
from typing import Any, NamedTuple

from .faults import Step, read_line
from .fleet import Fleet
from .load import CLASSES, Load
from .rules import Service, back_after, busiest, doubles, name_of, of_earlier_starts, stale
from .shape import Shape
from .world import CACHES, World

WARM_UP_S, BEFORE_S = 3.0, 2.0
Look = Callable[[Fleet, Load], Awaitable[dict[str, Any]]]  # at the end, while all still runs
APART_S = 3.0  # between faults that are timed apart
SENT_AGAIN_S = 6.0  # for feeds that came back to have what directors know: `purges/backfill.py`
LOOK_S = 0.2
SETTLE_S = 0.3  # before the next fault, which no longer counts


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
    await wait_for_purges(fleet, load)
    full = {
        span.text: round(full_service_after(span, fleet, load, began), 2) for span in spans(steps, seconds)
    }
    old = stale(load.made, load.purges, fleet.shape.delay_ms)
    usual = busiest(world.origin.asked, began_loop - BEFORE_S, began_loop)
    peak = busiest(world.origin.asked, began_loop, began_loop + seconds)
    directors = await asyncio.gather(*(fleet.stats(one) for one in fleet.directors))
    feeds = await asyncio.gather(*(fleet.status(one) for one in fleet.feeds))
    standing = await asyncio.gather(*(fleet.standing(one) for one in fleet.feeds))
    answered = {name_of(purge) for purge in load.purges}
    latest = {told["name"]: told["epoch"] for told in feeds if told}
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
        "clients_late_s": round(load.late_s, 3),
        "answers": len(load.made),
        "purges": len(load.purges),
        "purges_of_earlier_starts": len(of_earlier_starts(load.purges, latest)),
        "purges_missing": max((len(answered - known) for known in standing), default=0),
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
        "killed": sum(bool(one.held_up) for one in fleet.directors),
        "kills": fleet.counts["kills"],
        "disk_faults": fleet.counts["disk_faults"],
        "failed_starts": [text for one in (*fleet.directors, *fleet.feeds) for text in one.failed],
    }


class Span(NamedTuple):
    """From a fault up to the next one that is timed apart. Seconds of the line; struck: when each process was
    struck last."""

    text: str
    at: float
    until: float
    struck: dict[tuple[str, int], float]


def spans(steps: list[Step], seconds: float) -> list[Span]:
    """What ends or stops processes, each from its moment up to the next; those too close for full service in
    between count as one, from the last."""
    found: list[Span] = []
    for step in steps:
        if step.word not in ("kill", "term", "stop"):
            continue
        struck = dict.fromkeys(step.whom, step.at)
        if found and step.at - found[-1].at < APART_S:
            found[-1] = Span(found[-1].text, step.at, seconds, {**found[-1].struck, **struck})
            continue
        if found:
            found[-1] = found[-1]._replace(until=step.at)
        found.append(Span(step.text, step.at, seconds, struck))
    return found


def full_service_after(span: Span, fleet: Fleet, load: Load, began_s: float) -> float:
    """Seconds until all that clients ask for is served as before, by the directors that were struck as well:
    the others alone mostly do the work of all, so what clients see would always be full at once. The struck
    ones count together, from when the last of them is back: alone, each is asked for too little to tell a
    share. One that was stopped is back when it is resumed: what it was asked shortly before, it may answer in
    time still. Infinite: not within the span."""
    before = began_s - BEFORE_S, began_s
    fault_s, until_s = began_s + span.at, began_s + span.until - SETTLE_S
    of_all_s = load.service.full_after(fault_s, before, until_s)
    struck = {fleet.of(whom): at for whom, at in span.struck.items() if whom[0] == "directors"}
    if not struck:
        return of_all_s
    back_s = max(
        back_after([*one.ups, *one.resumes], [*one.downs, *one.stops], began_s + at, until_s)
        for one, at in struck.items()
    )
    start_s = max(back_s, fault_s)
    service = Service.together(load.by_director[one.name] for one in struck)
    return max(of_all_s, start_s - fault_s + service.full_after(start_s, before, until_s))


async def wait_for_purges(fleet: Fleet, load: Load) -> None:
    """Feeds that came back have had the time in which directors send them what they lack, however long their
    start took; ends as soon as nothing is missing."""
    answered = {name_of(purge) for purge in load.purges}
    last_start_s = max((one.ups[-1] for one in fleet.feeds if len(one.ups) > 1), default=0.0)
    while time.time() < last_start_s + SENT_AGAIN_S:
        standing = await asyncio.gather(*(fleet.standing(one) for one in fleet.feeds))
        if all(answered <= known for known in standing):
            return
        await asyncio.sleep(LOOK_S)
