"""Time from a restart to readiness: many processes started at once on the cores there are.

`python -m benchmarks.restarts [--quick]`, real processes of this project on loopback. Each is ready once it
has answered type 32 with code 0. Discovery is up, accepts calls and never answers, or is down; `killed` puts
each process at the address of one that got SIGKILL a moment before, with clients connected. Exits with 1 if a
process ended, or if under nine in ten were ready in READY_S.
"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import sys
import tempfile
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass
from enum import Enum
from itertools import compress
from pathlib import Path
from typing import NamedTuple

from benchmarks.example_site import example_config
from benchmarks.process_usage import ProcessUsage
from gladelane.lab.processes import ROOT, free_port
from gladelane.net.client_protocol import FrameDecoder, FramingError, Type, encode_fields, encode_frame

READY_S, GIVE_UP_S = 10.0, 60.0  # the operators' bound for nine in ten, and how long this benchmark waits
READY_SHARE = 0.9
PROBE_S = 0.02
CACHES = 200
MANY, QUICK = (10, 50, 200), (10, 50)
BACKLOG = 512  # of discovery
ANSWER_S = 5.0  # for an answer to type 32
SHOWN_LOG_CHARACTERS, SHOWN_LOGS = 200, 3


class Discovery(Enum):
    """Whether discovery answers, accepts and says nothing, or refuses."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"


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


async def serve_discovery(how: Discovery) -> tuple[asyncio.Server | None, str]:
    """A server for the watch, None where it is down, and its address."""
    if how is Discovery.DOWN:
        return None, f"127.0.0.1:{free_port()}"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if how is Discovery.UP:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: \n\n")
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=BACKLOG)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def distinct_ports(count: int) -> list[int]:
    """All are held until the last is known: one asked for after the other may come twice."""
    listeners = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(one.getsockname()[1]) for one in listeners]
    for one in listeners:
        one.close()
    return ports


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
                writer.write(encode_frame(Type.ASK_READY, 1, encode_fields({})))
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


async def run(quick: bool) -> int:
    """Plays all scenes, one after the other, and reports; the exit code."""
    kinds = [(how, False) for how in Discovery] + [(Discovery.UP, True)]
    results = []
    for count in QUICK if quick else MANY:
        for how, killed in kinds:
            results.append(await measure(Scene(count, how, killed)))
            print(json.dumps(asdict(results[-1])), flush=True)
    failed = sum(one.ended > 0 or one.in_time < READY_SHARE for one in results)
    rows = [asdict(one) for one in results]
    print(json.dumps({"cores": os.cpu_count(), "failed": failed, "results": rows}))
    return 1 if failed else 0


def main() -> int:
    """The exit code."""
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
