"""One scenario: processes that start at once, and the figures of their starts."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import compress
from pathlib import Path

from .discovery import DiscoveryState, serve_discovery
from .process import (
    READY_LIMIT_S,
    DirectorConfig,
    StartedProcess,
    distinct_ports,
    kill_all,
    start_process,
    wait_ready,
    write_config,
)

MIN_READY_SHARE = 0.9
SHOWN_LOG_CHARACTERS, SHOWN_LOGS = 200, 3


@dataclass(frozen=True)
class Scenario:
    """A number of processes that start at once.

    With `killed` they start at the addresses of processes that got SIGKILL a moment before.
    """

    processes: int
    discovery: DiscoveryState
    killed: bool


@dataclass(frozen=True)
class ReadyTimes:
    """Times until readiness in seconds, of the processes that became ready; None if none did."""

    p50: float | None
    p90: float | None
    max: float | None


@dataclass(frozen=True)
class ScenarioFigures:
    """The results. The fields have the names of the report.

    `why` has the ends of the logs of the processes that ended.
    """

    processes: int
    discovery: str
    killed: bool
    ended: int
    why: list[str]
    in_time: float
    ready_s: ReadyTimes
    cpu_s: float
    memory_mb: float


async def start_killed(configs: Sequence[DirectorConfig]) -> list[asyncio.StreamWriter]:
    """Starts a process for each configuration, connects to each, and kills them all.

    Returns the connections, which stay open at this side.
    """
    processes = [await start_process(config.path) for config in configs]
    writers = []
    started_at_s = asyncio.get_running_loop().time()
    try:
        for started, config in zip(processes, configs, strict=True):
            await wait_ready(started, config.port, started_at_s)
            writers.append((await asyncio.open_connection("127.0.0.1", config.port))[1])
    finally:
        await kill_all(processes)
    return writers


async def start_all(configs: Sequence[DirectorConfig]) -> list[StartedProcess]:
    """Starts all processes at once, waits until all are ready or MAX_WAIT_S is over, and kills them."""
    started_at_s = asyncio.get_running_loop().time()
    processes: list[StartedProcess] = []
    try:
        for config in configs:
            processes.append(await start_process(config.path))
        await asyncio.gather(
            *(
                wait_ready(started, config.port, started_at_s)
                for started, config in zip(processes, configs, strict=True)
            )
        )
        for started in processes:
            started.has_ended = started.process.returncode is not None
    finally:
        await kill_all(processes)
    return processes


async def measure(scenario: Scenario) -> ScenarioFigures:
    """Runs a scenario with a folder and a discovery server of its own."""
    server, discovery_address = await serve_discovery(scenario.discovery)
    writers: list[asyncio.StreamWriter] = []
    with tempfile.TemporaryDirectory() as folder:
        configs = [
            write_config(Path(folder), number, discovery_address, port)
            for number, port in enumerate(distinct_ports(scenario.processes))
        ]
        try:
            if scenario.killed:
                writers = await start_killed(configs)
            processes = await start_all(configs)
            ended = compress(configs, [started.has_ended for started in processes])
            logs = [config.log.read_text()[-SHOWN_LOG_CHARACTERS:] for config in ended]
        finally:
            for writer in writers:
                writer.close()
            if server is not None:
                server.close()
    return summarise(scenario, processes, logs)


def summarise(
    scenario: Scenario, processes: Sequence[StartedProcess], logs: Sequence[str]
) -> ScenarioFigures:
    """Returns the figures; `logs` has the ends of the logs of the processes that ended."""
    ready_s = sorted(started.ready_s for started in processes if started.ready_s is not None)
    in_time = sum(time_s <= READY_LIMIT_S for time_s in ready_s) / scenario.processes
    return ScenarioFigures(
        processes=scenario.processes,
        discovery=scenario.discovery.value,
        killed=scenario.killed,
        ended=sum(started.has_ended for started in processes),
        why=list(logs[:SHOWN_LOGS]),
        in_time=round(in_time, 3),
        ready_s=ReadyTimes(
            p50=round(ready_s[len(ready_s) // 2], 2) if ready_s else None,
            p90=round(ready_s[int(len(ready_s) * 0.9)], 2) if ready_s else None,
            max=round(ready_s[-1], 2) if ready_s else None,
        ),
        cpu_s=round(sum(started.cpu_s for started in processes) / scenario.processes, 3),
        memory_mb=round(max(started.memory_mb for started in processes), 1),
    )
