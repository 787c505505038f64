"""What a director needs as the fleet grows: real processes before 200 and before 3,200 fake caches.

`python -m benchmarks.size [--quick]`. One day in two sizes, on loopback: the same traffic a director, the
capacity of all caches together the same, eight zones, the directors that run in two of them. A day starts
with the list in the file; then half of the caches are replaced in steps, each by a drain, a new member and a
departure, and the whole list is told once. Each fake cache has an address of its own, served by this process.

The last line has for each row of the operators' table what the large fleet needed, less what the row allows
on top, as a multiple of what the small one needed; served_ratio is the share served there by the share here.
Exits with 1 if a ratio is over that of its row.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import tempfile
import time
from collections.abc import Iterator, Sequence
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from statistics import fmean
from typing import Any, NamedTuple

from benchmarks import conclude
from benchmarks.example_site import example_config, request_fields
from benchmarks.process_usage import ProcessUsage
from gladelane.endpoints.address import Family
from gladelane.lab.client import Client
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.fake_server import FakeServer
from gladelane.lab.processes import Processes
from gladelane.sse import encode_event

SMALL, LARGE = 200, 3200  # caches
ZONES = 8
DIRECTORS, DIRECTORS_LONG = 2, 4  # that run, of the fleet's PROXIES
PROXIES = 200
CACHE_WEIGHT = 8.0  # answers that the link of one of the small fleet's caches carries at full pace
PARENTS, PARENT_WEIGHT = 8, 60.0
RATE = 25.0  # requests a second and director
DAY_S, DAY_LONG_S = 26.0, 60.0
SETTLE_S = 4.0  # traffic before the first change
STEPS = 8  # of the replacement of half of the caches
OBJECTS, ZIPF = 4000, 1.0
SIZE_KB = 400
METER_S = 0.1


class Allowance(NamedTuple):
    """A row of the table: so many times the small fleet's figure, plus so much, plus so much for each
    thousand caches."""

    times: float
    plus: float
    plus_a_thousand: float = 0.0

    def ratio(self, small: float, large: float, caches: int) -> float:
        """What is left of the large fleet's figure, as a multiple of the small one's."""
        return max(large - self.plus - self.plus_a_thousand * caches / 1000.0, 0.0) / max(small, 1e-9)


ALLOWANCES = {
    "cpu": Allowance(1.4, 0.02, 0.12),  # s
    "memory": Allowance(1.5, 8.0, 4.0),  # MB
    "descriptors": Allowance(2.0, 40.0),
    "connections": Allowance(2.5, 40.0),
    "list_bytes": Allowance(2.0, 64e3, 500e3),
}
SERVED_LEAST = 0.85


@dataclass
class Figures:
    """Of one day: means over its directors, but for `served`, a share of all requests."""

    cpu: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
    connections: float = 0.0
    list_bytes: float = 0.0
    served: float = 0.0


class FakeFleet:
    """Caches, parents and an origin: addresses of their own on one fake server."""

    def __init__(self, caches: int) -> None:
        self.server = FakeServer("fleet")
        self.caches = caches
        self.weight = CACHE_WEIGHT * SMALL / caches
        self.all_addresses: list[str] = []
        self.addresses: list[str] = []  # those that nobody has yet
        self.listed: dict[str, dict[str, Any]] = {}

    async def start(self) -> None:
        """With addresses for the caches that come later."""
        hosts = _loopback_hosts()
        for _ in range(self.caches + self.caches // 2 + PARENTS + 1):
            self.all_addresses.append(await self.server.listen(Family.V4, next(hosts)))
        self.addresses = self.all_addresses[::-1]
        for place in range(self.caches):
            self.add_cache(f"cache-{place}", f"zone-{place % ZONES}", 0)
        for place in range(PARENTS):
            self._add(f"depot-{place}", "hub", "parent", PARENT_WEIGHT, 0)
        self._add("bank", "hub", "origin", 1.0, 0)

    def add_cache(self, name: str, zone: str, started_ms: int) -> dict[str, Any]:
        """Its entry in the endpoint list."""
        return self._add(name, zone, "standard", self.weight, started_ms)

    def _add(self, name: str, zone: str, kind: str, weight: float, started_ms: int) -> dict[str, Any]:
        self.listed[name] = {
            "instanceId": name,
            "hostPort": self.addresses.pop(),
            "zone": zone,
            "machineType": kind,
            "cell": 0,
            "lifecycle": "in_service",
            "weight": weight,
            "startedAtMs": started_ms,
        }
        return self.listed[name]

    def accepted(self) -> int:
        """Connections that came to any address."""
        return sum(self.server.accepted(address) for address in self.all_addresses)


def _loopback_hosts() -> Iterator[str]:
    for number in range(1 << 15):
        yield f"127.1.{number // 250}.{1 + number % 250}"


@dataclass
class Traffic:
    """Requests to one director at a steady mean pace, on a few connections that are kept."""

    port: int
    rng: random.Random
    asked: int = 0
    served: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, duration_s: float) -> None:
        """Returns once all requests of so many seconds are answered."""
        loop = asyncio.get_running_loop()
        clients = [await Client.to("127.0.0.1", self.port) for _ in range(4)]
        weights = [1.0 / place**ZIPF for place in range(1, OBJECTS + 1)]
        objects = self.rng.choices(range(OBJECTS), weights, k=int(duration_s * RATE * 2) + 100)
        due, ends = loop.time(), loop.time() + duration_s
        while due < ends:
            due += self.rng.expovariate(RATE)
            await asyncio.sleep(max(due - loop.time(), 0.0))
            task = asyncio.create_task(self._ask(self.rng.choice(clients), objects[self.asked]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        for client in clients:
            await client.close()

    async def _ask(self, client: Client, object_: int) -> None:
        self.asked += 1
        class_name = self.rng.choice(["video-part", "question-item"])
        request_id = f"{self.rng.getrandbits(64):016x}"
        fields = request_fields(class_name, request_id, 3000, f"{object_:016x}", size_kb=str(SIZE_KB))
        answer = await client.ask(fields)
        self.served += answer is not None and answer.code == 0


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


async def replace_half(fleet: FakeFleet, discovery: FakeDiscovery, duration_s: float) -> None:
    """In steps, each drains some, lists as many new ones, and a moment later tells that the old ones left."""
    old = [
        name for place, name in enumerate(fleet.listed) if name.startswith("cache-") and place // ZONES % 2
    ]
    loop = asyncio.get_running_loop()
    start_ms = int(time.time() * 1000)
    ends = loop.time() + duration_s
    for step in range(STEPS):
        going = old[step::STEPS]
        zones = {name: fleet.listed[name]["zone"] for name in going}
        drains = [{**fleet.listed[name], "lifecycle": "terminating"} for name in going]
        await tell(discovery, drains)
        started = start_ms + int((loop.time() - (ends - duration_s)) * 1000)
        await tell(discovery, [fleet.add_cache(f"{name}-new", zone, started) for name, zone in zones.items()])
        await asyncio.sleep(max(ends - duration_s * (1.0 - (step + 1) / STEPS) - loop.time(), 0.0))
        await tell(discovery, [{**fleet.listed.pop(name), "lifecycle": "terminated"} for name in going])


async def tell(discovery: FakeDiscovery, instances: Sequence[dict[str, Any]], reset: bool = False) -> None:
    """A few at once, as a platform tells of a release; a whole list in one."""
    size = len(instances) if reset else 10
    for first in range(0, len(instances), size):
        discovery.tell({"pool": {"reset": reset, "instances": list(instances[first : first + size])}})
        await asyncio.sleep(0)


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


async def play_day(caches: int, quick: bool) -> Figures:
    """One fleet of this size, from its start to its end."""
    fleet, discovery = FakeFleet(caches), FakeDiscovery()
    await fleet.start()
    address = await discovery.start()
    await tell(discovery, list(fleet.listed.values()), reset=True)
    known = discovery.known()
    with tempfile.TemporaryDirectory() as folder:
        directors = Directors(Path(folder))
        try:
            await directors.start(DIRECTORS if quick else DIRECTORS_LONG, address, known)
            await play_changes(fleet, discovery, directors, DAY_S if quick else DAY_LONG_S)
        finally:
            await directors.close()
            await discovery.close()
            connections = fleet.accepted()
            await fleet.server.close()
    list_bytes = sum(len(encode_event(json.dumps(event))) for event in discovery.notices[known["rev"] :])
    return summarise(directors, connections, list_bytes)


async def play_changes(
    fleet: FakeFleet, discovery: FakeDiscovery, directors: Directors, duration_s: float
) -> None:
    """Traffic for so long, and meanwhile the changes of the list."""
    asking = [asyncio.create_task(one.run(duration_s)) for one in directors.traffic]
    await asyncio.sleep(SETTLE_S)
    await replace_half(fleet, discovery, duration_s / 2)
    await tell(discovery, list(fleet.listed.values()), reset=True)
    await asyncio.gather(*asking)
    for meter in directors.meters:
        meter.read()


def summarise(directors: Directors, connections: int, list_bytes: int) -> Figures:
    """`connections`: of all directors; `list_bytes`: what each has got of the endpoint list."""
    meters, traffic = directors.meters, directors.traffic
    return Figures(
        cpu=fmean(meter.cpu_s for meter in meters),
        memory=fmean(meter.memory_mb for meter in meters),
        descriptors=fmean(meter.descriptors for meter in meters),
        connections=connections / len(meters),
        list_bytes=list_bytes,
        served=sum(one.served for one in traffic) / max(sum(one.asked for one in traffic), 1),
    )


async def run(quick: bool) -> int:
    """Plays both sizes and reports; the exit code."""
    small = await play_day(SMALL, quick)
    print(SMALL, small, flush=True)
    large = await play_day(LARGE, quick)
    print(LARGE, large, flush=True)
    ratios = {
        name: allowance.ratio(getattr(small, name), getattr(large, name), LARGE)
        for name, allowance in ALLOWANCES.items()
    }
    served = large.served / max(small.served, 1e-9)
    figures: dict[str, Any] = {"quick": quick, "caches": [SMALL, LARGE]}
    figures |= {f"{name}_ratio": round(ratio, 3) for name, ratio in ratios.items()}
    figures["served_ratio"] = round(served, 3)
    over = [name for name, ratio in ratios.items() if ratio > ALLOWANCES[name].times]
    return conclude(figures, over + ["served"] * (served < SERVED_LEAST))


def main() -> int:
    """The exit code."""
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
