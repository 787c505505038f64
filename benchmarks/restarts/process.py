"""One process: its configuration, its start, and the time until it is ready."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from benchmarks.example_site import example_config
from benchmarks.process_usage import ProcessUsage
from gladelane.lab.free_ports import free_port
from gladelane.lab.processes import ROOT
from gladelane.net.client_protocol import FrameDecoder, FrameType, FramingError, encode_fields, encode_frame

# the operators' limit for nine in ten processes, and the time for which this benchmark waits
READY_LIMIT_S, MAX_WAIT_S = 10.0, 60.0
PROBE_INTERVAL_S = 0.02
CACHES = 200
ANSWER_TIMEOUT_S = 5.0  # for an answer to a frame of type 32


class DirectorConfig(NamedTuple):
    """The configuration file of a process, and the port where it will listen."""

    path: Path
    port: int

    @property
    def log(self) -> Path:
        """The log file of the latest start."""
        return self.path.with_suffix(".log")


class StartedProcess:
    """One process and the cost of its start.

    `has_ended` says that it ended by itself before the wait for all processes was over.
    """

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.ready_s: float | None = None
        self.has_ended = False
        self.cpu_s = self.memory_mb = 0.0

    def measure(self) -> None:
        """Reads from the system the processor time and memory that the process has used so far."""
        usage = ProcessUsage(self.process.pid)
        with suppress(OSError):
            self.cpu_s = usage.processor_s()
            self.memory_mb = usage.resident_mb()


def distinct_ports(count: int) -> list[int]:
    """Returns free ports without repetition; two calls of `free_port` may return the same port."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port())
    return list(ports)


def write_config(folder: Path, number: int, discovery_address: str, port: int) -> DirectorConfig:
    """Writes a configuration with CACHES caches."""
    raw = example_config()
    raw.update(name=f"n{number}", listen=f"127.0.0.1:{port}", board=discovery_address)
    pool = raw["known"]["notices"][0]["pool"]
    first, *rest = pool["instances"]
    pool["instances"] = rest + [
        {**first, "instanceId": f"cache-{n}", "hostPort": f"127.0.0.1:{20_000 + n}"} for n in range(CACHES)
    ]
    path = folder / f"config{number}.json"
    path.write_text(json.dumps(raw))
    return DirectorConfig(path, port)


async def start_process(path: Path) -> StartedProcess:
    """Starts a process with this configuration; its log is written beside it."""
    env = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(path.parent)}
    env.pop("GW_OPS", None)
    env.pop("GW_OPERATOR", None)
    with open(path.with_suffix(".log"), "wb") as log:  # noqa: ASYNC230  once, before anything is measured
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladelane", cwd=ROOT, env=env, stderr=log
        )
    return StartedProcess(process)


async def is_ready(port: int) -> bool:
    """Returns whether the process answers a frame of type 32 with code 0."""
    with suppress(OSError, TimeoutError, FramingError):  # another process may have the port by now
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                writer.write(encode_frame(FrameType.ASK_READY, 1, encode_fields({})))
                decoder = FrameDecoder()
                while data := await reader.read(4096):
                    for frame in decoder.feed(data):
                        return frame.payload[0] == 0
            finally:
                writer.close()
    return False


async def wait_ready(started: StartedProcess, port: int, started_at_s: float) -> None:
    """Returns once the process is ready, has ended, or MAX_WAIT_S is over."""
    loop = asyncio.get_running_loop()
    while started.process.returncode is None and loop.time() - started_at_s < MAX_WAIT_S:
        if await is_ready(port):
            started.ready_s = loop.time() - started_at_s
            started.measure()
            return
        await asyncio.sleep(PROBE_INTERVAL_S)


async def kill_all(processes: list[StartedProcess]) -> None:
    """Kills all processes and waits for their ends."""
    for started in processes:
        with suppress(ProcessLookupError):
            started.process.send_signal(signal.SIGKILL)
    for started in processes:
        await started.process.wait()
