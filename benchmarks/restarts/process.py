"""One process: its configuration, its start, and when it is ready."""

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

READY_S, GIVE_UP_S = 10.0, 60.0  # the operators' bound for nine in ten, and how long this benchmark waits
PROBE_S = 0.02
CACHES = 200
ANSWER_S = 5.0  # for an answer to type 32


class Configured(NamedTuple):
    """The configuration of a process, and the port where it will listen."""

    path: Path
    port: int

    @property
    def log(self) -> Path:
        """Of the latest start."""
        return self.path.with_suffix(".log")


class Started:
    """One process and what its start took. `has_ended`: before all had been waited for."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.ready_s: float | None = None
        self.has_ended = False
        self.cpu_s = self.memory_mb = 0.0

    def measure(self) -> None:
        """Reads from the system what it has used so far."""
        usage = ProcessUsage(self.process.pid)
        with suppress(OSError):
            self.cpu_s = usage.processor_s()
            self.memory_mb = usage.resident_mb()


def distinct_ports(count: int) -> list[int]:
    """Free ones; two calls of `free_port` may give the same."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port())
    return list(ports)


def write_config(folder: Path, number: int, discovery_address: str, port: int) -> Configured:
    """A configuration with CACHES caches."""
    raw = example_config()
    raw.update(name=f"n{number}", listen=f"127.0.0.1:{port}", board=discovery_address)
    pool = raw["known"]["notices"][0]["pool"]
    first, *rest = pool["instances"]
    pool["instances"] = rest + [
        {**first, "instanceId": f"cache-{n}", "hostPort": f"127.0.0.1:{20_000 + n}"} for n in range(CACHES)
    ]
    path = folder / f"config{number}.json"
    path.write_text(json.dumps(raw))
    return Configured(path, port)


async def start(path: Path) -> Started:
    """A process with this configuration; its log lies beside it."""
    env = {**os.environ, "GW_CONFIG": str(path), "TMPDIR": str(path.parent)}
    env.pop("GW_OPS", None)
    env.pop("GW_OPERATOR", None)
    with open(path.with_suffix(".log"), "wb") as log:  # noqa: ASYNC230  once, before anything is measured
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "gladelane", cwd=ROOT, env=env, stderr=log
        )
    return Started(process)


async def is_ready(port: int) -> bool:
    """Whether type 32 is answered with code 0."""
    with suppress(OSError, TimeoutError, FramingError):  # the port may be somebody else's by now
        async with asyncio.timeout(ANSWER_S):
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


async def wait_ready(started: Started, port: int, began: float) -> None:
    """Returns once it is ready, has ended, or is given up."""
    loop = asyncio.get_running_loop()
    while started.process.returncode is None and loop.time() - began < GIVE_UP_S:
        if await is_ready(port):
            started.ready_s = loop.time() - began
            started.measure()
            return
        await asyncio.sleep(PROBE_S)


async def end(processes: list[Started]) -> None:
    """Kills all and waits for them."""
    for one in processes:
        with suppress(ProcessLookupError):
            one.process.send_signal(signal.SIGKILL)
    for one in processes:
        await one.process.wait()
