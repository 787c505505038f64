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
from .run_checks import KeyedRequest

OBJECTS, GROUPS = 300, 16
CACHES = 4
ORIGIN_S, HUB_S, CACHE_S = 0.002, 0.004, 0.002
MAX_CACHE_CONCURRENCY, MAX_HUB_CONCURRENCY = 400, 400  # concurrent requests that overload a server
ORIGIN_CAPACITY_PER_S = 900.0  # requests per second


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
        self.keyed_requests: list[KeyedRequest] = []
        self.concurrent: Counter[str] = Counter()
        self.max_concurrent: Counter[str] = Counter()
        self.drained_ms: dict[str, float] = {}
        self.after_drain = 0  # requests to a draining cache after the second that directors have to react
        self.discovery_port = 0
        self.orders: list[tuple[str, float, str]] = []  # purge orders: server, time, order
        self.on_attempt: Callable[[str, Seen], None] = lambda _name, _seen: None  # called for each attempt
        self._delayed_events: list[dict[str, Any]] = []
        self._is_holding_back = False
        self._ports: list[int] = []

    async def start(self) -> None:
        """Starts all servers and publishes the endpoint list."""
        groups = {object_id(n): group_of(n) for n in range(OBJECTS)}
        for name, store in self.stores.items():
            fake_server = FakeServer(name, partial(self._answer, name))
            self.fake_servers[name] = fake_server
            store.groups = groups
            fake_server.drop = partial(self._drop, name)
            port = reserve_port(Random())  # not from the seed of the run, which concurrent runs may share
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
        self.on_attempt(name, seen)
        key = seen.fields.get("replay")
        if key:
            self.keyed_requests.append(KeyedRequest(key, now_ms()))
            return "served digest=d,dated=0,remark=h", b"\x00"
        return self._answer_counted(name, seen)

    async def _answer_counted(self, name: str, seen: Seen) -> Said:
        self.concurrent[name] += 1
        self.max_concurrent[name] = max(self.max_concurrent[name], self.concurrent[name])
        try:
            return await self.stores[name].answer(seen)
        finally:
            self.concurrent[name] -= 1

    # --- changes

    def publish_state(self, name: str) -> None:
        """Publishes the present state of a server; delayed while watch events are held back."""
        watch_event = {"pool": {"instances": [self.instance(name)]}}
        if self._is_holding_back:
            self._delayed_events.append(watch_event)
        else:
            self.discovery.tell(watch_event)

    def hold_discovery(self, is_held: bool) -> None:
        """Holds watch events back, or publishes those that were held back."""
        self._is_holding_back = is_held
        if not is_held:
            delayed_events, self._delayed_events = self._delayed_events, []
            for watch_event in delayed_events:
                self.discovery.tell(watch_event)

    def drain(self, name: str, is_draining: bool) -> None:
        """Publishes that a server is draining, or in service again."""
        self.lifecycle[name] = "terminating" if is_draining else "in_service"
        if is_draining and not self._is_holding_back:
            self.drained_ms[name] = now_ms()
        elif not is_draining:
            self.drained_ms.pop(name, None)
        self.publish_state(name)

    async def simulate_restart(self, name: str) -> None:
        """Simulates a restart of a server, with the saved copies or none."""
        fake_server, address = self.fake_servers[name], self.addresses[name]
        await fake_server.set(address, Fault.REFUSED)
        self.lifecycle[name] = "terminated"
        self.publish_state(name)
        await asyncio.sleep(0.3)
        self.stores[name].copies = dict(self.saved.get(name, {}))
        await fake_server.set(address, Fault.NONE)
        self.lifecycle[name], self.started[name] = "in_service", now_ms()
        self.publish_state(name)

    def overloaded_servers(self, per_s: int) -> list[str]:
        """The servers that were overloaded. `per_s`: the peak of requests to the origin per second."""
        limits = dict.fromkeys(self.stores, MAX_CACHE_CONCURRENCY) | {"depot": MAX_HUB_CONCURRENCY}
        overloaded = [name for name, count in self.max_concurrent.items() if count > limits[name]]
        return overloaded + (["bank"] if per_s > ORIGIN_CAPACITY_PER_S else [])

    async def close(self) -> None:
        """Stops all servers."""
        await self.discovery.close()
        for fake_server in self.fake_servers.values():
            await fake_server.close()
        for port in self._ports:
            release_port(port)
