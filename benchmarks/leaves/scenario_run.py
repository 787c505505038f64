"""Runs one scenario: clients abandon requests while the director is stopped repeatedly, until enough have."""

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

from .abandoning_client import AbandoningClient
from .abandonments import Abandonments
from .fleet import Fleet
from .scenarios import Scenario

CLIENTS = 24
CHECK_S = 0.002  # between two checks for arrivals: the precision of the measured times
STOP_S = (0.12, 0.35)  # for which the director is stopped each time
STOP_INTERVAL_S = (0.2, 0.6)
SETTLE_S = 1.5  # after the last abandoned request: longer than a repeated SYN and any delayed attempt


async def stop_repeatedly(process: asyncio.subprocess.Process, rng: random.Random) -> None:
    """Stops the director for a moment at random intervals, until cancelled."""
    try:
        while True:
            await asyncio.sleep(rng.uniform(*STOP_INTERVAL_S))
            os.kill(process.pid, signal.SIGSTOP)
            await asyncio.sleep(rng.uniform(*STOP_S))
            os.kill(process.pid, signal.SIGCONT)
    finally:
        os.kill(process.pid, signal.SIGCONT)


async def check_arrivals(checks_s: list[float], servers: list[FakeServer]) -> None:
    """Checks for arrivals at all servers periodically and records the times of the checks."""
    while True:
        for server in servers:
            server.look()
        checks_s.append(asyncio.get_running_loop().time())
        await asyncio.sleep(CHECK_S)


@asynccontextmanager
async def run_in_background(*tasks: Awaitable[None]) -> AsyncIterator[None]:
    """Runs tasks while the context is open, then cancels them; raises the error of one that failed."""
    running = [asyncio.ensure_future(task) for task in tasks]
    try:
        yield
    finally:
        for task in running:
            task.cancel()
        for result in await asyncio.gather(*running, return_exceptions=True):
            if isinstance(result, Exception):
                raise result


async def run_scenario(
    scenario: Scenario, fleet: Fleet, director: Processes, wanted: int, report: Callable[[str], None]
) -> dict[str, Any]:
    """Runs a scenario until this number of requests has been abandoned, and returns its counts."""
    rng, abandonments = fleet.rng, Abandonments(wanted=wanted)
    fleet.scenario = scenario
    since = {server.name: len(server.seen) for server in fleet.servers}
    clients = [AbandoningClient(director.port, scenario, rng, abandonments) for _ in range(CLIENTS)]
    async with run_in_background(check_arrivals(abandonments.checks_s, fleet.servers)):
        async with run_in_background(
            stop_repeatedly(director.all[0], rng),
            fleet.inject_faults(),
            *(client.run() for client in clients),
        ):
            await abandonments.are_complete.wait()
        for server in fleet.servers:
            server.resume(fleet.addresses[server.name])
            await server.set(fleet.addresses[server.name], Fault.NONE, drop=False)
        await asyncio.sleep(SETTLE_S)
    counts = abandonments.count(fleet.servers, since)
    report(f"{scenario.name}: {counts}")
    return counts
