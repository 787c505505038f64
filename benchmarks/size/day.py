"""Runs one day of a fleet of one size."""

from __future__ import annotations

import asyncio
import json
import tempfile
from pathlib import Path
from statistics import fmean

from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.sse import encode_event

from .allowances import Figures
from .changes import replace_half, send_instances
from .directors import Directors
from .fake_fleet import FakeFleet

RUNNING_DIRECTORS, LONG_DIRECTORS = 2, 4  # processes that run, of the FLEET_DIRECTORS in the settings
DAY_S, LONG_DAY_S = 26.0, 60.0
SETTLE_S = 4.0  # traffic before the first change


async def run_day(caches: int, quick: bool) -> Figures:
    """Runs one fleet of this size from its start to its end and returns the figures."""
    fleet, discovery = FakeFleet(caches), FakeDiscovery()
    await fleet.start()
    address = await discovery.start()
    await send_instances(discovery, list(fleet.listed.values()), reset=True)
    known = discovery.known()
    with tempfile.TemporaryDirectory() as folder:
        directors = Directors(Path(folder))
        try:
            await directors.start(RUNNING_DIRECTORS if quick else LONG_DIRECTORS, address, known)
            await run_traffic_and_changes(fleet, discovery, directors, DAY_S if quick else LONG_DAY_S)
        finally:
            await directors.close()
            await discovery.close()
            connections = fleet.accepted_connections()
            await fleet.server.close()
    list_bytes = sum(len(encode_event(json.dumps(event))) for event in discovery.notices[known["rev"] :])
    return summarise(directors, connections, list_bytes)


async def run_traffic_and_changes(
    fleet: FakeFleet, discovery: FakeDiscovery, directors: Directors, duration_s: float
) -> None:
    """Runs the traffic for `duration_s`, and meanwhile changes the list."""
    traffic_tasks = [asyncio.create_task(traffic.run(duration_s)) for traffic in directors.traffic]
    await asyncio.sleep(SETTLE_S)
    await replace_half(fleet, discovery, duration_s / 2)
    await send_instances(discovery, list(fleet.listed.values()), reset=True)
    await asyncio.gather(*traffic_tasks)
    for meter in directors.meters:
        meter.read()


def summarise(directors: Directors, connections: int, list_bytes: int) -> Figures:
    """Returns the figures.

    `connections` is the sum over all directors, `list_bytes` the size of the list events that each received.
    """
    meters, traffic = directors.meters, directors.traffic
    return Figures(
        cpu=fmean(meter.cpu_s for meter in meters),
        memory=fmean(meter.memory_mb for meter in meters),
        descriptors=fmean(meter.descriptors for meter in meters),
        connections=connections / len(meters),
        list_bytes=list_bytes,
        served=sum(generator.served for generator in traffic)
        / max(sum(generator.asked for generator in traffic), 1),
    )
