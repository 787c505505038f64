"""One scene: so many processes that start at once, and what their starts took."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import compress
from pathlib import Path

from .discovery import Discovery, serve_discovery
from .process import READY_S, Configured, Started, distinct_ports, end, start, wait_ready, write_config

READY_SHARE = 0.9
SHOWN_LOG_CHARACTERS, SHOWN_LOGS = 200, 3


@dataclass(frozen=True)
class Scene:
    """So many starts at once. `killed`: at the addresses of processes that got SIGKILL a moment before."""

    processes: int
    discovery: Discovery
    killed: bool


@dataclass(frozen=True)
class ReadyTimes:
    """Of those that were ready, s; None where none was."""

    p50: float | None
    p90: float | None
    max: float | None


@dataclass(frozen=True)
class SceneFigures:
    """The names are those of the report."""

    processes: int
    discovery: str
    killed: bool
    ended: int
    why: list[str]
    in_time: float
    ready_s: ReadyTimes
    cpu_s: float
    memory_mb: float


async def start_killed(places: Sequence[Configured]) -> list[asyncio.StreamWriter]:
    """Starts a process at each place, connects to each, and kills them all. The connections stay open at this
    side."""
    processes = [await start(place.path) for place in places]
    writers = []
    began = asyncio.get_running_loop().time()
    try:
        for one, place in zip(processes, places, strict=True):
            await wait_ready(one, place.port, began)
            writers.append((await asyncio.open_connection("127.0.0.1", place.port))[1])
    finally:
        await end(processes)
    return writers


async def start_all(places: Sequence[Configured]) -> list[Started]:
    """Starts a process at each place at once, waits until all are ready or given up, and kills them."""
    began = asyncio.get_running_loop().time()
    processes: list[Started] = []
    try:
        for place in places:
            processes.append(await start(place.path))
        await asyncio.gather(
            *(wait_ready(one, place.port, began) for one, place in zip(processes, places, strict=True))
        )
        for one in processes:
            one.has_ended = one.process.returncode is not None
    finally:
        await end(processes)
    return processes


async def measure(scene: Scene) -> SceneFigures:
    """With a folder and a discovery of its own."""
    server, discovery_address = await serve_discovery(scene.discovery)
    writers: list[asyncio.StreamWriter] = []
    with tempfile.TemporaryDirectory() as folder:
        places = [
            write_config(Path(folder), number, discovery_address, port)
            for number, port in enumerate(distinct_ports(scene.processes))
        ]
        try:
            if scene.killed:
                writers = await start_killed(places)
            processes = await start_all(places)
            ended = compress(places, [one.has_ended for one in processes])
            logs = [place.log.read_text()[-SHOWN_LOG_CHARACTERS:] for place in ended]
        finally:
            for writer in writers:
                writer.close()
            if server is not None:
                server.close()
    return summarise(scene, processes, logs)


def summarise(scene: Scene, processes: Sequence[Started], logs: Sequence[str]) -> SceneFigures:
    """`logs`: the ends of the logs of those that ended."""
    ready_s = sorted(one.ready_s for one in processes if one.ready_s is not None)
    in_time = sum(one_s <= READY_S for one_s in ready_s) / scene.processes
    return SceneFigures(
        processes=scene.processes,
        discovery=scene.discovery.value,
        killed=scene.killed,
        ended=sum(one.has_ended for one in processes),
        why=list(logs[:SHOWN_LOGS]),
        in_time=round(in_time, 3),
        ready_s=ReadyTimes(
            p50=round(ready_s[len(ready_s) // 2], 2) if ready_s else None,
            p90=round(ready_s[int(len(ready_s) * 0.9)], 2) if ready_s else None,
            max=round(ready_s[-1], 2) if ready_s else None,
        ),
        cpu_s=round(sum(one.cpu_s for one in processes) / scene.processes, 3),
        memory_mb=round(max(one.memory_mb for one in processes), 1),
    )
