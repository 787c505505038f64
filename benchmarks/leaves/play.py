"""Plays one place: clients leave while the director is held up, until enough have left."""

from __future__ import annotations

import asyncio
import os
import random
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

from gladelane.lab.fake_server import FakeServer, Fault
from gladelane.lab.processes import Processes

from .client import Leaver
from .counts import Leaves
from .fleet import Fleet
from .places import Place

CLIENTS = 24
BEAT_S = 0.002  # how exactly this process knows when it last looked for arrivals
STALL_S = (0.12, 0.35)  # of the director, each time
STALL_APART_S = (0.2, 0.6)
SETTLE_S = 1.5  # after the last leave: longer than a repeated SYN and any held-up attempt


async def hold_up(process: asyncio.subprocess.Process, rng: random.Random) -> None:
    """Stops the director for a moment, again and again."""
    try:
        while True:
            await asyncio.sleep(rng.uniform(*STALL_APART_S))
            os.kill(process.pid, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*STALL_S))
            os.kill(process.pid, signal.SIGCONT)
    finally:
        os.kill(process.pid, signal.SIGCONT)


async def beat(beats: list[float], servers: list[FakeServer]) -> None:
    """Looks for arrivals at all servers again and again, and notes when."""
    while True:
        for server in servers:
            server.look()
        beats.append(asyncio.get_running_loop().time())
        await asyncio.sleep(BEAT_S)


@asynccontextmanager
async def going(*tasks: Awaitable[None]) -> AsyncIterator[None]:
    """These tasks run meanwhile; one that failed raises at the end."""
    running = [asyncio.ensure_future(task) for task in tasks]
    try:
        yield
    finally:
        for task in running:
            task.cancel()
        for ended in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(ended, Exception):
                raise ended


async def play(
    place: Place, fleet: Fleet, director: Processes, most: int, report: Callable[[str], None]
) -> dict[str, Any]:
    """One place until it has been left so often."""
    rng, leaves = fleet.rng, Leaves(wanted=most)
    fleet.place = place
    since = {server.name: len(server.seen) for server in fleet.servers}
    clients = [Leaver(director.port, place, rng, leaves) for _ in range(CLIENTS)]
    async with going(beat(leaves.beats, fleet.servers)):
        async with going(
            hold_up(director.all[0], rng), fleet.trouble(), *(client.run() for client in clients)
        ):
            await leaves.are_complete.wait()
        for server in fleet.servers:
            server.resume(fleet.addresses[server.name])
            await server.set(fleet.addresses[server.name], Fault.NONE, drop=False)
        await asyncio.sleep(SETTLE_S)
    found = leaves.count(fleet.servers, since)
    report(f"{place.name}: {found}")
    return found
