"""One day of a fleet of one size."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from statistics import fmean

from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.sse import encode_event

from .allowances import Figures
from .changes import replace_half, tell
from .directors import Directors
from .fake_fleet import FakeFleet

DIRECTORS, DIRECTORS_LONG = 2, 4  # that run, of the fleet's PROXIES
DAY_S, DAY_LONG_S = 26.0, 60.0
SETTLE_S = 4.0  # traffic before the first change


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
