"""Replaces half of the caches in steps, and sends changes of the list as a platform does."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from typing import Any

from gladelane.lab.fake_discovery import FakeDiscovery

from .fake_fleet import ZONE_COUNT, FakeFleet

REPLACEMENT_STEPS = 8  # of the replacement of half of the caches


async def replace_half(fleet: FakeFleet, discovery: FakeDiscovery, duration_s: float) -> None:
    """Replaces half of the caches in steps.

    Each step drains some, lists as many new ones, and a moment later announces that the old ones have left.
    """
    old_names = [
        name
        for index, name in enumerate(fleet.listed)
        if name.startswith("cache-") and index // ZONE_COUNT % 2
    ]
    loop = asyncio.get_running_loop()
    start_wall_ms = int(time.time() * 1000)
    end_s = loop.time() + duration_s
    for step in range(REPLACEMENT_STEPS):
        leaving = old_names[step::REPLACEMENT_STEPS]
        zones = {name: fleet.listed[name]["zone"] for name in leaving}
        drains = [{**fleet.listed[name], "lifecycle": "terminating"} for name in leaving]
        await send_instances(discovery, drains)
        started_ms = start_wall_ms + int((loop.time() - (end_s - duration_s)) * 1000)
        await send_instances(
            discovery, [fleet.add_cache(f"{name}-new", zone, started_ms) for name, zone in zones.items()]
        )
        await asyncio.sleep(
            max(end_s - duration_s * (1.0 - (step + 1) / REPLACEMENT_STEPS) - loop.time(), 0.0)
        )
        await send_instances(
            discovery, [{**fleet.listed.pop(name), "lifecycle": "terminated"} for name in leaving]
        )


async def send_instances(
    discovery: FakeDiscovery, instances: Sequence[dict[str, Any]], reset: bool = False
) -> None:
    """Sends a whole list in one event, or changes in events of ten as a platform does in a release."""
    size = len(instances) if reset else 10
    for first in range(0, len(instances), size):
        discovery.tell({"pool": {"reset": reset, "instances": list(instances[first : first + size])}})
        await asyncio.sleep(0)
