"""The caches, the parents and the origin, and the endpoint list that contains them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from gladelane.endpoints.address import Family
from gladelane.lab.fake_server import FakeServer

SMALL_CACHES, LARGE_CACHES = 200, 3200  # numbers of caches
ZONE_COUNT = 8
CACHE_WEIGHT = 8.0  # answers at full speed that the link of one cache of the small fleet carries
PARENT_COUNT, PARENT_WEIGHT = 8, 60.0


class FakeFleet:
    """Caches, parents and an origin: one fake server with an address for each."""

    def __init__(self, caches: int) -> None:
        self.server = FakeServer("fleet")
        self.caches = caches
        self.weight = CACHE_WEIGHT * SMALL_CACHES / caches
        self.all_addresses: list[str] = []
        self.free_addresses: list[str] = []  # addresses that no server has yet
        self.listed: dict[str, dict[str, Any]] = {}

    async def start(self) -> None:
        """Opens all addresses, also for the caches that are added later, and lists the first servers."""
        hosts = _loopback_hosts()
        for _ in range(self.caches + self.caches // 2 + PARENT_COUNT + 1):
            self.all_addresses.append(await self.server.listen(Family.V4, next(hosts)))
        self.free_addresses = self.all_addresses[::-1]
        for number in range(self.caches):
            self.add_cache(f"cache-{number}", f"zone-{number % ZONE_COUNT}", 0)
        for number in range(PARENT_COUNT):
            self._add(f"depot-{number}", "hub", "parent", PARENT_WEIGHT, 0)
        self._add("bank", "hub", "origin", 1.0, 0)

    def add_cache(self, name: str, zone: str, started_ms: int) -> dict[str, Any]:
        """Adds a cache and returns its entry in the endpoint list."""
        return self._add(name, zone, "standard", self.weight, started_ms)

    def _add(self, name: str, zone: str, machine_type: str, weight: float, started_ms: int) -> dict[str, Any]:
        self.listed[name] = {
            "instanceId": name,
            "hostPort": self.free_addresses.pop(),
            "zone": zone,
            "machineType": machine_type,
            "cell": 0,
            "lifecycle": "in_service",
            "weight": weight,
            "startedAtMs": started_ms,
        }
        return self.listed[name]

    def accepted_connections(self) -> int:
        """Returns the number of connections accepted at all addresses."""
        return sum(self.server.accepted(address) for address in self.all_addresses)


def _loopback_hosts() -> Iterator[str]:
    for number in range(1 << 15):
        yield f"127.1.{number // 250}.{1 + number % 250}"
