"""Calls to the admin endpoint of a real process after other callers have used up its connections and left."""

from __future__ import annotations

import asyncio
import json
import signal
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest
from harness import REFUSED_ADDRESS, Client, ScriptedCache, config, hit

from gladelane.lab.processes import Processes
from gladelane.net.descriptors import share_descriptors
from gladelane.process import STANDARD_DESCRIPTORS

DESCRIPTORS = 256
MAX_CALLERS = share_descriptors(DESCRIPTORS, STANDARD_DESCRIPTORS, 0).callers
ANSWER_LIMIT_S = 1.0
CALLER_TIMEOUT_S = 2.2  # by then, the endpoint has closed each connection without a request
HEALTH_CHECK = b"GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n"

Disturbance = Callable[[Processes], Awaitable[None]]


def connect(processes: Processes, count: int) -> list[socket.socket]:
    address = "127.0.0.1", processes.ops[0]
    return [socket.create_connection(address, timeout=CALLER_TIMEOUT_S) for _ in range(count)]


async def silent_callers_that_close(processes: Processes) -> None:
    callers = connect(processes, MAX_CALLERS)
    await asyncio.sleep(CALLER_TIMEOUT_S)
    for caller in callers:
        caller.close()


async def callers_with_half_a_request(processes: Processes) -> None:
    callers = connect(processes, MAX_CALLERS)
    for caller in callers:
        caller.sendall(HEALTH_CHECK[:10])
    await asyncio.sleep(CALLER_TIMEOUT_S)
    for caller in callers:
        caller.close()


async def callers_of_a_stopped_process(processes: Processes) -> None:
    processes.all[0].send_signal(signal.SIGSTOP)
    callers = connect(processes, MAX_CALLERS * 2)
    for caller in callers:
        caller.sendall(HEALTH_CHECK)
        caller.close()
    processes.all[0].send_signal(signal.SIGCONT)
    await asyncio.sleep(0.2)


@asynccontextmanager
async def running_process(folder: Path) -> AsyncIterator[tuple[Processes, ScriptedCache]]:
    """A director with two caches, of which the second one is returned."""
    caches = [ScriptedCache(hit) for _ in range(3)]
    addresses = [await cache.start() for cache in caches]
    raw = json.loads(config(dict(zip(("c0", "c1", "r0"), addresses, strict=True)), REFUSED_ADDRESS))
    raw["limits"]["sockets"] = DESCRIPTORS
    processes = Processes(folder, raw)
    try:
        await processes.start()
        await processes.serving()
        yield processes, caches[1]
    finally:
        await processes.end()
        for cache in caches:
            cache.server.close()


@pytest.mark.parametrize(
    "disturb", [silent_callers_that_close, callers_with_half_a_request, callers_of_a_stopped_process]
)
def test_maintenance_takes_effect_after_callers_used_up_all_connections_and_left(
    disturb: Disturbance, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with running_process(tmp_path) as (processes, cache):
            await disturb(processes)
            try:
                async with asyncio.timeout(ANSWER_LIMIT_S):
                    status, _ = await processes.call("POST", "/caches/c1/maint")
            except TimeoutError:
                status = 0
            await asyncio.sleep(ANSWER_LIMIT_S if status == 0 else 0.0)
            received = len(cache.received)
            client = await Client.connect(processes.port)
            for stream in range(1, 33):
                client.ask(stream, i=f"{stream:016x}", o=f"{stream:016x}")
                assert (await client.next())[1] == stream
            client.writer.close()
            assert (status, len(cache.received) - received) == (200, 0)

    asyncio.run(scenario())
