"""The director processes, each with its traffic and its meter."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from pathlib import Path
from typing import Any

from benchmarks.example_site import example_config
from benchmarks.process_usage import ProcessUsage
from gladelane.lab.processes import Processes

from .fake_fleet import ZONES
from .traffic import Traffic

PROXIES = 200
METER_S = 0.1


class Meter:
    """Processor time, peak memory and most descriptors of one process, from the system."""

    def __init__(self, pid: int) -> None:
        self._usage = ProcessUsage(pid)
        self.cpu_s = self.memory_mb = 0.0
        self.descriptors = 0

    def read(self) -> None:
        """Leaves the figures as they are where the process has ended."""
        with suppress(OSError):
            self.cpu_s = self._usage.processor_s()
            self.memory_mb = self._usage.peak_resident_mb()
            self.descriptors = max(self.descriptors, self._usage.descriptors())

    async def run(self) -> None:
        """Reads again and again, until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(METER_S)


def director_file(discovery_address: str, known: dict[str, Any], me: int) -> dict[str, Any]:
    """The configuration of the director of this index, with the list as it is known before its start."""
    raw = example_config()
    zones = ["hub", *(f"zone-{place}" for place in range(ZONES))]
    raw["settings"] |= {"areas": zones, "zone": f"zone-{me % 2}", "me": me, "balancers": PROXIES}
    raw["settings"]["family_info"] |= {
        "hub_of": [0] * len(zones),
        "seats_by_zone": [0] + [PROXIES // ZONES] * ZONES,
    }
    return {**raw, "name": f"n{me}", "seed": f"{me + 1:x}", "board": discovery_address, "known": known}


class Directors:
    """So many director processes, each with its traffic and its meter."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: list[Processes] = []
        self._watching: list[asyncio.Task[None]] = []
        self.meters: list[Meter] = []
        self.traffic: list[Traffic] = []

    async def start(self, count: int, discovery_address: str, known: dict[str, Any]) -> None:
        """One after the other; returns once all serve."""
        for me in range(count):
            folder = self._folder / str(me)
            folder.mkdir()
            director = Processes(folder, director_file(discovery_address, known, me))
            self._processes.append(director)
            self.meters.append(Meter((await director.start()).pid))
            await director.serving()
            self._watching.append(asyncio.create_task(self.meters[-1].run()))
            self.traffic.append(Traffic(director.port, random.Random(me)))

    async def close(self) -> None:
        """Kills all processes."""
        for task in self._watching:
            task.cancel()
        for director in self._processes:
            await director.end()
