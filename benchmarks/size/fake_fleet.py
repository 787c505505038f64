"""The caches, parents and the origin, and the endpoint list that has them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from gladelane.endpoints.address import Family
from gladelane.lab.fake_server import FakeServer

SMALL, LARGE = 200, 3200  # caches
ZONES = 8
CACHE_WEIGHT = 8.0  # answers that the link of one of the small fleet's caches carries at full pace
PARENTS, PARENT_WEIGHT = 8, 60.0


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
