"""Real directors before one real server that has just started, counted where requests arrive.

All servers are warm until one of them, a cache or a hub, comes up anew; the board tells all directors at
once.
Each request is for another object, so every one that reaches a cache is a fill.
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
from .process import Life
from .shape import Shape
from .world import HUB_S, World, object_id

COLD_FROM, MULTIPLE, LINK = 0.15, 3.0, 4.0
PATIENCE_S, TOLD_S = 8.0, 30.0
LEARNED = 12  # requests a director has served before the server starts: it knows the mean work of their class
CLASS = "video-part"
SERVERS = {Server.CACHE: "cache-0", Server.HUB: "depot"}


@dataclass(frozen=True)
class Plan:
    """requests: N when the server starts. Each director is asked for one request when all have been told, and
    after idle_s for `at_once` more in one moment; from then on for `per_s` a second, for flood_s."""

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
        """Of a request."""
        return LINK * COLD_FROM * MULTIPLE * self.window_ms / self.requests


class _Counted(FakeCacheStore):
    """A hub that notes when it was asked for a fill."""

    def __init__(self, sources: Mapping[str, FakeCacheStore], fill_s: float) -> None:
        super().__init__(sources, fill_s)
        self.asked_ms: list[float] = []

    async def get(self, thing: PartKey, accept: float) -> float:
        self.asked_ms.append(now_ms())
        return await super().get(thing, accept)


class ColdWorld(World):
    """One cache, one hub and the origin; `arrived`: when requests reached the server that starts."""

    def __init__(self, server: Server) -> None:
        super().__init__()
        self.name = SERVERS[server]
        self.hub = counted = _Counted({"bank": self.origin}, HUB_S)
        self.caches = [FakeCacheStore({"depot": self.hub, "bank": self.origin})]
        self.shelves = {"cache-0": self.caches[0], "depot": self.hub, "bank": self.origin}
        self.arrived = counted.asked_ms if server is Server.HUB else list[float]()
        self.watch = self._note

    def _note(self, name: str, _seen: Seen) -> None:
        if name == self.name:
            self.arrived.append(now_ms())

    def instance(self, name: str) -> dict[str, Any]:
        return {**super().instance(name), "weight": LINK}

    def restart(self) -> float:
        """The server is a new process, and the directors are told; when, Unix ms."""
        self.started[self.name] = now_ms()
        self.arrived.clear()
        spare = {**self.instance(self.name), "instanceId": "spare", "lifecycle": "terminating"}
        spare["hostPort"] = "127.0.0.1:1"
        self.board.tell({"pool": {"instances": [self.instance(self.name), spare]}})
        return self.started[self.name]


def settings_for(plan: Plan) -> dict[str, Any]:
    """What differs from the example's."""
    told = json.loads((ROOT / "example" / "config.json").read_text())["settings"]
    hub = plan.server is Server.HUB
    family = {
        "seats_by_zone": [0, plan.directors],
        "parent_cold_from": COLD_FROM if hub else 1.0,
        "parent_cold_ms": plan.warm_ms if hub else 0.0,
        "parent_breaks_at": MULTIPLE,
    }
    rules = {
        "cold_from": COLD_FROM,
        "warm_after_ms": plan.warm_ms,
        "fall_multiple": MULTIPLE,
        "fall_ms": plan.window_ms,
    }
    return {"family_info": told["family_info"] | family, "rules": told["rules"] | rules}


class _Asking:
    """Clients of all directors."""

    def __init__(self, plan: Plan, fleet: Fleet) -> None:
        self.plan, self.fleet = plan, fleet
        flow = fleet_flow()
        self.size_kb = plan.work_ms * flow / 1000.0
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    async def ask(self, one: Life) -> None:
        number = next(self.numbers)
        fields = {
            "c": CLASS,
            "i": f"{number:016x}",
            "d": "6000",
            "o": object_id(number),
            "chunk": "0",
            "tag": "1",
            "m": f"{self.size_kb:.1f}",
        }
        if one.client is not None:
            await one.client.ask(fields, PATIENCE_S)

    async def all(self, each: int) -> None:
        await asyncio.gather(*(self.ask(one) for one in self.fleet.directors for _ in range(each)))

    async def flood(self) -> None:
        loop = asyncio.get_running_loop()
        due = loop.time()
        end = due + self.plan.flood_s
        for one in itertools.cycle(self.fleet.directors):
            due += 1.0 / self.plan.per_s / len(self.fleet.directors)
            if due >= end:
                break
            await asyncio.sleep(max(due - loop.time(), 0.0))
            task = asyncio.create_task(self.ask(one))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)


def fleet_flow() -> float:
    """One transfer's pace in the example's settings, kB/s."""
    told = json.loads((ROOT / "example" / "config.json").read_text())["settings"]
    return float(told["family_info"]["one_flow_kb_per_s"])


def _fleet(folder: Path, world: World, plan: Plan) -> Fleet:
    """With ports of its own: runs beside each other are not to choose the same, nor one run one twice."""
    while True:
        fleet = Fleet(folder, world, Shape(plan.directors, feeds=0, warm=False), SystemRandom())
        ports = {port for one in fleet.directors for port in (one.port, one.door)}
        if len(ports) == 2 * plan.directors:
            return fleet


async def _told(fleet: Fleet, one: Life, listed: int) -> None:
    async with asyncio.timeout(TOLD_S):
        while (await fleet.stats(one)).get("hosts_listed") != listed:
            await asyncio.sleep(0.02)


async def play(folder: Path, plan: Plan, seed: int, program: Path | None = None) -> Measured:
    """program: the folder of another version, to measure it in the same way. Raises RuntimeError where a
    director did not start."""
    world = ColdWorld(plan.server)
    fleet = _fleet(folder, world, plan)
    fleet.seed = f"{seed:016x}"  # one for all directors: their numbers make their draws differ
    for one in fleet.directors:
        fleet.settings[one.name] = settings_for(plan)
        if program is not None:
            fleet.program[one.name] = program
    try:
        await world.start()
        await fleet.start()
        if failed := [one.name for one in fleet.directors if not one.up]:
            raise RuntimeError(f"not started: {failed}")
        asking = _Asking(plan, fleet)
        for _ in range(LEARNED):
            await asking.all(1)
        listed = len(world.shelves) + 1  # with the spare one, which tells who has heard of the start
        ramp = Ramp(plan.requests, world.restart(), COLD_FROM, plan.warm_ms, plan.window_ms)
        await asyncio.gather(*(_told(fleet, one, listed) for one in fleet.directors))
        await asking.all(1)
        await asyncio.sleep(plan.idle_s)
        await asking.all(plan.at_once)
        if plan.per_s:
            await asking.flood()
        end = ramp.start_ms + plan.warm_ms
        return measure([Arrival(at_ms, 1.0) for at_ms in world.arrived if at_ms < end], ramp)
    finally:
        await fleet.close()
        await world.close()
