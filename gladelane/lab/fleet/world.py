"""The fake servers of a run: four caches, a hub, the origin and the discovery server.

They run in this process and record the requests of the program's processes.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial
from random import Random
from typing import Any

from ...endpoints.address import Family
from ..fake_cache_store import FakeCacheStore, PartKey, now_ms
from ..fake_discovery import FakeDiscovery
from ..fake_server import FakeServer, Fault, Said, Seen
from .ports import release_port, reserve_port
from .rules import Ran

OBJECTS, GROUPS = 300, 16
CACHES = 4
ORIGIN_S, HUB_S, CACHE_S = 0.002, 0.004, 0.002
CACHE_MOST, HUB_MOST = 400, 400  # concurrent requests that overload a server
ORIGIN_PER_S = 900.0  # its capacity per second


def object_id(number: int) -> str:
    """The identifier of an object, hexadecimal."""
    return f"{number * 0x9E3779B97F4A7C15 & (2**64 - 1):016x}"


def group_of(number: int) -> int:
    """The group of an object."""
    return number % GROUPS


class World:
    """The fake servers and what they recorded."""

    def __init__(self) -> None:
        self.discovery = FakeDiscovery()
        self.origin = FakeCacheStore()
        self.hub = FakeCacheStore({"bank": self.origin}, HUB_S)
        self.caches = [
            FakeCacheStore({"depot": self.hub, "bank": self.origin}, CACHE_S) for _ in range(CACHES)
        ]
        self.stores = {"depot": self.hub, "bank": self.origin}
        self.stores |= {f"cache-{n}": store for n, store in enumerate(self.caches)}
        self.fake_servers: dict[str, FakeServer] = {}
        self.addresses: dict[str, str] = {}
        self.started: dict[str, float] = dict.fromkeys(self.stores, 0.0)
        self.lifecycle: dict[str, str] = dict.fromkeys(self.stores, "in_service")
        self.saved: dict[str, dict[PartKey, float]] = {}
        self.ran: list[Ran] = []
        self.at_once: Counter[str] = Counter()
        self.most_at_once: Counter[str] = Counter()
        self.drained_ms: dict[str, float] = {}
        self.after_drain = 0  # requests to a draining cache later than the second that directors may take
        self.discovery_port = 0
        self.orders: list[tuple[str, float, str]] = []  # purge orders: server, time, order
        self.watch: Callable[[str, Seen], None] = lambda _name, _seen: None  # called for each attempt
        self._late: list[dict[str, Any]] = []
        self._holding = False
        self._ports: list[int] = []

    async def start(self) -> None:
        """Starts all servers and publishes the endpoint list."""
        groups = {object_id(n): group_of(n) for n in range(OBJECTS)}
        for name, store in self.stores.items():
            fake_server = FakeServer(name, partial(self._answer, name))
            self.fake_servers[name] = fake_server
            store.groups = groups
            fake_server.drop = partial(self._drop, name)
            port = reserve_port(Random())  # not of the run's seed: runs beside this one may have the same
            self._ports.append(port)
            self.addresses[name] = await fake_server.listen(Family.V4, port=port)
        self.discovery_port = int((await self.discovery.start()).rpartition(":")[2])
        self.discovery.tell(
            {
                "pool": {
                    "generation": 1,
                    "reset": True,
                    "instances": [self.instance(name) for name in self.stores],
                }
            }
        )

    def _drop(self, name: str, order: str) -> None:
        self.orders.append((name, now_ms(), order))
        self.stores[name].drop(order)

    def instance(self, name: str) -> dict[str, Any]:
        """A server as the endpoint list has it."""
        kind = {"depot": "parent", "bank": "origin"}.get(name, "standard")
        return {
            "instanceId": name,
            "hostPort": self.addresses[name],
            "machineType": kind,
            "cell": 0,
            "zone": "branch" if kind == "standard" else "hub",
            "lifecycle": self.lifecycle[name],
            "weight": 60,
            "startedAtMs": self.started[name],
        }

    def _answer(self, name: str, seen: Seen) -> Said | Awaitable[Said]:
        if name in self.drained_ms and now_ms() > self.drained_ms[name] + 1000.0:
            self.after_drain += 1
        self.watch(name, seen)
        key = seen.fields.get("replay")
        if key:
            self.ran.append(Ran(key, now_ms()))
            return "served digest=d,dated=0,remark=h", b"\x00"
        return self._answer_counted(name, seen)

    async def _answer_counted(self, name: str, seen: Seen) -> Said:
        self.at_once[name] += 1
        self.most_at_once[name] = max(self.most_at_once[name], self.at_once[name])
        try:
            return await self.stores[name].answer(seen)
        finally:
            self.at_once[name] -= 1

    # --- changes

    def tell(self, name: str) -> None:
        """Publishes the present state of a server; delayed while watch events are held back."""
        watch_event = {"pool": {"instances": [self.instance(name)]}}
        if self._holding:
            self._late.append(watch_event)
        else:
            self.discovery.tell(watch_event)

    def hold_discovery(self, on: bool) -> None:
        """Holds watch events back, or publishes those that were held back."""
        self._holding = on
        if not on:
            late, self._late = self._late, []
            for watch_event in late:
                self.discovery.tell(watch_event)

    def drain(self, name: str, out: bool) -> None:
        """Publishes that a server is draining, or in service again."""
        self.lifecycle[name] = "terminating" if out else "in_service"
        if out and not self._holding:
            self.drained_ms[name] = now_ms()
        elif not out:
            self.drained_ms.pop(name, None)
        self.tell(name)

    async def renew(self, name: str) -> None:
        """Simulates a restart of a server, with the saved copies or none."""
        fake_server, address = self.fake_servers[name], self.addresses[name]
        await fake_server.set(address, Fault.REFUSED)
        self.lifecycle[name] = "terminated"
        self.tell(name)
        await asyncio.sleep(0.3)
        self.stores[name].copies = dict(self.saved.get(name, {}))
        await fake_server.set(address, Fault.NONE)
        self.lifecycle[name], self.started[name] = "in_service", now_ms()
        self.tell(name)

    def pushed_over(self, per_s: int) -> list[str]:
        """The servers that were overloaded. `per_s`: the most requests to the origin in a second."""
        most = dict.fromkeys(self.stores, CACHE_MOST) | {"depot": HUB_MOST}
        pushed = [name for name, count in self.most_at_once.items() if count > most[name]]
        return pushed + (["bank"] if per_s > ORIGIN_PER_S else [])

    async def close(self) -> None:
        """Stops all servers."""
        await self.discovery.close()
        for fake_server in self.fake_servers.values():
            await fake_server.close()
        for port in self._ports:
            release_port(port)
