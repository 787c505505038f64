"""The fake servers of a site: four caches, a parent, the origin, and the discovery server that lists them."""

from __future__ import annotations

import asyncio
from typing import Any

from benchmarks.example_site import ORIGIN, PARENT, list_entry
from gladelane.endpoints.address import Family
from gladelane.lab.fake_cache_store import FakeCacheStore, now_ms
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.fake_server import FakeServer, Fault

from .random_scopes import OBJECT_COUNT, group_of, object_id

CACHES = 4
WEIGHT = 20
PARENT_FILL_S, CACHE_FILL_S = 0.02, 0.01
PARENT_COPIES_AGE_S = 1.0  # age of the copies with which the parent restarts
PARENT_DOWN_S = 0.3


class FakeSite:
    """The fake servers, whose copies have dates, so that the age of each answer is known."""

    def __init__(self) -> None:
        self.discovery = FakeDiscovery()
        self.origin = FakeCacheStore()
        self.parent = FakeCacheStore({ORIGIN: self.origin}, PARENT_FILL_S)
        sources = {PARENT: self.parent, ORIGIN: self.origin}
        self.caches = [FakeCacheStore(sources, CACHE_FILL_S) for _ in range(CACHES)]
        self._servers: dict[str, FakeServer] = {}
        self._addresses: dict[str, str] = {}

    async def start(self) -> str:
        """Starts all servers and returns the address of discovery."""
        stores = {PARENT: self.parent, ORIGIN: self.origin}
        stores |= {f"cache-{number}": store for number, store in enumerate(self.caches)}
        groups = {object_id(number): group_of(number) for number in range(OBJECT_COUNT)}
        for name, store in stores.items():
            store.groups = groups
            server = self._servers[name] = FakeServer(name, store.answer)
            server.drop = store.drop
            self._addresses[name] = await server.listen(Family.V4)
        address = await self.discovery.start()
        instances = [self._list_entry(name) for name in stores]
        self.discovery.tell({"pool": {"generation": 1, "reset": True, "instances": instances}})
        return address

    def _list_entry(self, name: str, started_at_ms: float = 0.0) -> dict[str, Any]:
        return list_entry(name, self._addresses[name], WEIGHT, startedAtMs=started_at_ms)

    async def restart_parent(self) -> None:
        """Restarts the parent with the copies that it had PARENT_COPIES_AGE_S before."""
        old_copies = dict(self.parent.copies)
        await asyncio.sleep(PARENT_COPIES_AGE_S)
        await self._servers[PARENT].set(self._addresses[PARENT], Fault.REFUSED)
        terminated = {**self._list_entry(PARENT), "lifecycle": "terminated"}
        self.discovery.tell({"pool": {"instances": [terminated]}})
        await asyncio.sleep(PARENT_DOWN_S)
        self.parent.copies = old_copies
        await self._servers[PARENT].set(self._addresses[PARENT], Fault.NONE)
        self.discovery.tell({"pool": {"instances": [self._list_entry(PARENT, now_ms())]}})

    def dropped_by_order(self) -> int:
        """Returns the number of copies that the caches and the parent dropped on a director's order."""
        return sum(store.dropped for store in (*self.caches, self.parent))

    def joined_fills(self) -> int:
        """Returns the number of requests that waited at a cache for the fill of another request."""
        return sum(store.joins for store in self.caches)

    async def close(self) -> None:
        """Stops all servers."""
        await self.discovery.close()
        for server in self._servers.values():
            await server.close()
