"""Half of the caches are replaced in steps, and the list is sent as a platform sends it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import Any

from gladelane.lab.fake_discovery import FakeDiscovery

from .fake_fleet import ZONES, FakeFleet

STEPS = 8  # of the replacement of half of the caches


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
