"""Real directors in front of a server that has just started; requests are counted on arrival.

All servers are warm until one of them, a cache or a hub, restarts; the discovery server notifies all
directors at once. Each request is for another object, so every request that reaches a cache is a fill.
"""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from random import SystemRandom
from typing import Any

from ..cold import Arrival, Measured, Ramp, Server, measure
from ..fake_cache_store import FakeCacheStore, PartKey, now_ms
from ..fake_server import Seen
from ..processes import ROOT
from .fleet import Fleet
from .process import FleetProcess
from .shape import Shape
from .world import HUB_S, World, object_id

COLD_FROM, BUDGET_MULTIPLE, SERVER_WEIGHT = 0.15, 3.0, 4.0
REQUEST_TIMEOUT_S, NOTIFICATION_TIMEOUT_S = 8.0, 30.0
# requests per director before the restart, from which it learns the mean work of their class
WARM_UP_REQUESTS = 12
CLASS = "video-part"
SERVERS = {Server.CACHE: "cache-0", Server.HUB: "depot"}


@dataclass(frozen=True)
class Plan:
    """The load on a server after its restart.

    - `requests`: the number of requests that the budget of a time window allows right after the restart.
    - Each director gets one request once all directors were notified, `at_once` more at the same time after
      `idle_s`, and from then on `per_s` requests per second for `flood_s`.
    """

    server: Server
    directors: int
    requests: float
    window_ms: float
    warm_ms: float
    idle_s: float
    at_once: int = 1
    per_s: float = 0.0
    flood_s: float = 0.0

    @property
    def work_ms(self) -> float:
        """The work of one request."""
        return SERVER_WEIGHT * COLD_FROM * BUDGET_MULTIPLE * self.window_ms / self.requests


class _RecordingHub(FakeCacheStore):
    """A hub that records the times of its fills."""

    def __init__(self, sources: Mapping[str, FakeCacheStore], fill_s: float) -> None:
        super().__init__(sources, fill_s)
        self.requested_ms: list[float] = []

    async def get(self, key: PartKey, accept: float) -> float:
        self.requested_ms.append(now_ms())
        return await super().get(key, accept)


class ColdWorld(World):
    """One cache, one hub and the origin. `arrived`: when requests reached the restarted server, Unix ms."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self.name = SERVERS[server]
        self.hub = recording_hub = _RecordingHub({"bank": self.origin}, HUB_S)
        self.caches = [FakeCacheStore({"depot": self.hub, "bank": self.origin})]
        self.stores = {"cache-0": self.caches[0], "depot": self.hub, "bank": self.origin}
        self.arrived = recording_hub.requested_ms if server is Server.HUB else list[float]()
        self.on_attempt = self._record_arrival

    def _record_arrival(self, name: str, _seen: Seen) -> None:
        if name == self.name:
            self.arrived.append(now_ms())

    def instance(self, name: str) -> dict[str, Any]:
        """As in World, with an equal weight for all."""
        return {**super().instance(name), "weight": SERVER_WEIGHT}

    def restart(self) -> float:
        """Restarts the server and notifies the directors; returns the time, Unix ms."""
        self.started[self.name] = now_ms()
        self.arrived.clear()
        spare = {**self.instance(self.name), "instanceId": "spare", "lifecycle": "terminating"}
        spare["hostPort"] = "127.0.0.1:1"
        self.discovery.tell({"pool": {"instances": [self.instance(self.name), spare]}})
        return self.started[self.name]


def settings_for(plan: Plan) -> dict[str, Any]:
    """The settings that differ from the example."""
    example = json.loads((ROOT / "example" / "config.json").read_text())["settings"]
    hub = plan.server is Server.HUB
    family = {
        "seats_by_zone": [0, plan.directors],
        "parent_cold_from": COLD_FROM if hub else 1.0,
        "parent_cold_ms": plan.warm_ms if hub else 0.0,
        "parent_breaks_at": BUDGET_MULTIPLE,
    }
    rules = {
        "cold_from": COLD_FROM,
        "warm_after_ms": plan.warm_ms,
        "fall_multiple": BUDGET_MULTIPLE,
        "fall_ms": plan.window_ms,
    }
    return {"family_info": example["family_info"] | family, "rules": example["rules"] | rules}


class _Clients:
    """The clients of all directors."""

    def __init__(self, plan: Plan, fleet: Fleet) -> None:
        self.plan, self.fleet = plan, fleet
        flow = transfer_rate_kb_per_s()
        self.size_kb = plan.work_ms * flow / 1000.0
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    async def request(self, director: FleetProcess) -> None:
        request_number = next(self.numbers)
        fields = {
            "c": CLASS,
            "i": f"{request_number:016x}",
            "d": "6000",
            "o": object_id(request_number),
            "chunk": "0",
            "tag": "1",
            "m": f"{self.size_kb:.1f}",
        }
        if director.client is not None:
            await director.client.ask(fields, REQUEST_TIMEOUT_S)

    async def request_from_all(self, each: int) -> None:
        await asyncio.gather(
            *(self.request(director) for director in self.fleet.directors for _ in range(each))
        )

    async def flood(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + self.plan.flood_s
        for director in itertools.cycle(self.fleet.directors):
            due += 1.0 / self.plan.per_s / len(self.fleet.directors)
            if due >= end:
                break
            await asyncio.sleep(max(due - loop.time(), 0.0))
            task = asyncio.create_task(self.request(director))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)


def transfer_rate_kb_per_s() -> float:
    """The rate of one transfer in the settings of the example, kB/s."""
    example = json.loads((ROOT / "example" / "config.json").read_text())["settings"]
    return float(example["family_info"]["one_flow_kb_per_s"])


def _fleet(folder: Path, world: World, plan: Plan) -> Fleet:
    """A fleet with distinct random ports, also beside other runs."""
    while True:
        fleet = Fleet(folder, world, Shape(plan.directors, control_servers=0, warm=False), SystemRandom())
        ports = {port for director in fleet.directors for port in (director.port, director.admin_port)}
        if len(ports) == 2 * plan.directors:
            return fleet


async def _wait_until_notified(fleet: Fleet, director: FleetProcess, listed: int) -> None:
    async with asyncio.timeout(NOTIFICATION_TIMEOUT_S):
        while (await fleet.stats(director)).get("hosts_listed") != listed:
            await asyncio.sleep(0.02)


async def play(folder: Path, plan: Plan, seed: int, program: Path | None = None) -> Measured:
    """Plays a plan. `program`: the folder of another version to measure.

    Raises RuntimeError if a director does not start.
    """
    world = ColdWorld(plan.server)
    fleet = _fleet(folder, world, plan)
    fleet.seed = f"{seed:016x}"  # shared by all directors, whose random draws differ by their numbers
    for director in fleet.directors:
        fleet.settings[director.name] = settings_for(plan)
        if program is not None:
            fleet.program[director.name] = program
    try:
        await world.start()
        await fleet.start()
        if failed := [director.name for director in fleet.directors if not director.up]:
            raise RuntimeError(f"not started: {failed}")
        clients = _Clients(plan, fleet)
        for _ in range(WARM_UP_REQUESTS):
            await clients.request_from_all(1)
        listed = len(world.stores) + 1  # the spare instance shows that a director was notified
        ramp = Ramp(plan.requests, world.restart(), COLD_FROM, plan.warm_ms, plan.window_ms)
        await asyncio.gather(*(_wait_until_notified(fleet, director, listed) for director in fleet.directors))
        await clients.request_from_all(1)
        await asyncio.sleep(plan.idle_s)
        await clients.request_from_all(plan.at_once)
        if plan.per_s:
            await clients.flood()
        end = ramp.start_ms + plan.warm_ms
        return measure([Arrival(at_ms, 1.0) for at_ms in world.arrived if at_ms < end], ramp)
    finally:
        await fleet.close()
        await world.close()
