"""One process after the other under load, with what both use while both run."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass

from gladelane.lab.processes import Load, Processes

CLASSES = ("video-part", "question-item")
BETWEEN_UPGRADES_S, BOTH_S, LAST_ANSWERS_S = 0.3, 0.1, 0.2


@dataclass(frozen=True)
class UpgradeFigures:
    """The names are those of the report."""

    upgrades: int
    served_meanwhile: int
    lost: list[str]
    refused_meanwhile: int
    crossed: int
    last_took_over: int
    ready_most_s: float
    both_memory_mb: float
    both_descriptors: int


async def measure_upgrades(director: Processes, times: int) -> UpgradeFigures:
    """So many upgrades; the director's last process goes on serving."""
    memory_mb, descriptors, ready_s = 0.0, 0, []
    load = Load(director.port, classes=CLASSES)
    for _ in range(times):
        await asyncio.sleep(BETWEEN_UPGRADES_S)
        began_s = time.perf_counter()
        await director.start()
        await director.serving()
        ready_s.append(time.perf_counter() - began_s)
        await asyncio.sleep(BOTH_S)
        memory_now_mb, descriptors_now = director.resource_usage()
        memory_mb, descriptors = max(memory_mb, memory_now_mb), max(descriptors, descriptors_now)
        director.all[-2].send_signal(signal.SIGTERM)
        await director.all[-2].wait()
    await asyncio.sleep(LAST_ANSWERS_S)
    await load.stop()
    return UpgradeFigures(
        upgrades=times,
        served_meanwhile=load.served,
        lost=load.lost,
        refused_meanwhile=load.refused,
        crossed=load.crossed,
        last_took_over=director.log().count("took over"),
        ready_most_s=round(max(ready_s), 2),
        both_memory_mb=round(memory_mb, 1),
        both_descriptors=descriptors,
    )
