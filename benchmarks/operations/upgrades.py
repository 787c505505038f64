"""Upgrades a director repeatedly under load and measures what both processes use while both run."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass

from gladelane.lab.processes import Load, Processes

CLASS_NAMES = ("video-part", "question-item")
UPGRADE_INTERVAL_S, BOTH_RUNNING_S, LAST_ANSWERS_S = 0.3, 0.1, 0.2


@dataclass(frozen=True)
class UpgradeFigures:
    """The results. The fields have the names of the report."""

    upgrades: int
    served_meanwhile: int
    lost: list[str]
    refused_meanwhile: int
    crossed: int
    last_took_over: int
    ready_most_s: float
    both_memory_mb: float
    both_descriptors: int


async def measure_upgrades(director: Processes, count: int) -> UpgradeFigures:
    """Performs `count` upgrades; the last process of the director keeps serving."""
    memory_mb, descriptors, ready_s = 0.0, 0, []
    load = Load(director.port, classes=CLASS_NAMES)
    for _ in range(count):
        await asyncio.sleep(UPGRADE_INTERVAL_S)
        started_s = time.perf_counter()
        await director.start()
        await director.serving()
        ready_s.append(time.perf_counter() - started_s)
        await asyncio.sleep(BOTH_RUNNING_S)
        memory_now_mb, descriptors_now = director.resource_usage()
        memory_mb, descriptors = max(memory_mb, memory_now_mb), max(descriptors, descriptors_now)
        director.all[-2].send_signal(signal.SIGTERM)
        await director.all[-2].wait()
    await asyncio.sleep(LAST_ANSWERS_S)
    await load.stop()
    return UpgradeFigures(
        upgrades=count,
        served_meanwhile=load.served,
        lost=load.lost,
        refused_meanwhile=load.refused,
        crossed=load.crossed,
        last_took_over=director.log().count("took over"),
        ready_most_s=round(max(ready_s), 2),
        both_memory_mb=round(memory_mb, 1),
        both_descriptors=descriptors,
    )
