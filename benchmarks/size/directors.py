"""The director processes, each with its traffic and its resource meter."""

from __future__ import annotations

import asyncio
import random
from contextlib import suppress
from pathlib import Path
from typing import Any

from benchmarks.example_site import example_config
from benchmarks.process_usage import ProcessUsage
from gladelane.lab.processes import Processes

from .fake_fleet import ZONE_COUNT
from .traffic import Traffic

FLEET_DIRECTORS = 200
METER_INTERVAL_S = 0.1


class Meter:
    """Processor time, peak memory and maximum of descriptors of one process, read from the system."""

    def __init__(self, pid: int) -> None:
        self._usage = ProcessUsage(pid)
        self.cpu_s = self.memory_mb = 0.0
        self.descriptors = 0

    def read(self) -> None:
        """Reads the figures; keeps the latest ones if the process has ended."""
        with suppress(OSError):
            self.cpu_s = self._usage.processor_s()
            self.memory_mb = self._usage.peak_resident_mb()
            self.descriptors = max(self.descriptors, self._usage.descriptors())

    async def run(self) -> None:
        """Reads the figures every METER_INTERVAL_S until cancelled."""
        while True:
            self.read()
            await asyncio.sleep(METER_INTERVAL_S)


def director_file(discovery_address: str, known: dict[str, Any], director_index: int) -> dict[str, Any]:
    """Returns the configuration of the director with this index and the list known before its start."""
    raw = example_config()
    zones = ["hub", *(f"zone-{zone}" for zone in range(ZONE_COUNT))]
    raw["settings"] |= {
        "areas": zones,
        "zone": f"zone-{director_index % 2}",
        "me": director_index,
        "balancers": FLEET_DIRECTORS,
    }
    raw["settings"]["family_info"] |= {
        "hub_of": [0] * len(zones),
        "seats_by_zone": [0] + [FLEET_DIRECTORS // ZONE_COUNT] * ZONE_COUNT,
    }
    return {
        **raw,
        "name": f"n{director_index}",
        "seed": f"{director_index + 1:x}",
        "board": discovery_address,
        "known": known,
    }


class Directors:
    """A number of director processes, each with its traffic and its resource meter."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: list[Processes] = []
        self._meter_tasks: list[asyncio.Task[None]] = []
        self.meters: list[Meter] = []
        self.traffic: list[Traffic] = []

    async def start(self, count: int, discovery_address: str, known: dict[str, Any]) -> None:
        """Starts the directors one after the other; returns once all serve."""
        for director_index in range(count):
            folder = self._folder / str(director_index)
            folder.mkdir()
            director = Processes(folder, director_file(discovery_address, known, director_index))
            self._processes.append(director)
            self.meters.append(Meter((await director.start()).pid))
            await director.serving()
            self._meter_tasks.append(asyncio.create_task(self.meters[-1].run()))
            self.traffic.append(Traffic(director.port, random.Random(director_index)))

    async def close(self) -> None:
        """Kills all processes."""
        for task in self._meter_tasks:
            task.cancel()
        for director in self._processes:
            await director.end()
