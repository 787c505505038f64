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
from contextlib import suppress
from enum import Enum
from itertools import compress
from pathlib import Path
from typing import Any

from benchmarks.example_site import example_config
from gladelane.lab.processes import ROOT, free_port
from gladelane.net.client_protocol import FrameDecoder, FramingError, Type, encode_fields, encode_frame

READY_S, GIVE_UP_S = 10.0, 60.0  # the operators' bound for nine in ten, and when this bench waits no more
READY_SHARE = 0.9
ASK_AGAIN_S = 0.02
CACHES = 200
MANY, QUICK = (10, 50, 200), (10, 50)
TICK_S = 1.0 / os.sysconf("SC_CLK_TCK")


class Discovery(Enum):
    UP = "up"
    SLOW = "slow"
    DOWN = "down"


class Started:
    """One process and what its start took."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.ready_s: float | None = None
        self.cpu_s = self.memory_mb = 0.0

    def measure(self) -> None:
        folder = Path(f"/proc/{self.process.pid}")
        with suppress(OSError):
            fields = (folder / "stat").read_text().rpartition(")")[2].split()
            self.cpu_s = (int(fields[11]) + int(fields[12])) * TICK_S
            pages = int((folder / "statm").read_text().split()[1])
            self.memory_mb = pages * os.sysconf("SC_PAGE_SIZE") / 1e6


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

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=512)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def distinct_ports(count: int) -> list[int]:
    """All are held until the last is known: one asked for after the other may come twice."""
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [int(one.getsockname()[1]) for one in held]
    for one in held:
        one.close()
    return ports


def write_config(folder: Path, number: int, board: str, port: int) -> tuple[Path, int]:
    """A file with CACHES caches; its port."""
    raw = example_config()
    raw.update(name=f"n{number}", listen=f"127.0.0.1:{port}", board=board)
    pool = raw["known"]["notices"][0]["pool"]
    first, *rest = pool["instances"]
    pool["instances"] = rest + [
        {**first, "instanceId": f"cache-{n}", "hostPort": f"127.0.0.1:{20_000 + n}"} for n in range(CACHES)
    ]
    path = folder / f"config{number}.json"
    path.write_text(json.dumps(raw))
    return path, port


async def start(path: Path) -> Started:
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
        async with asyncio.timeout(5.0):
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
    loop = asyncio.get_running_loop()
    while started.process.returncode is None and loop.time() - began < GIVE_UP_S:
        if await is_ready(port):
            started.ready_s = loop.time() - began
            started.measure()
            return
        await asyncio.sleep(ASK_AGAIN_S)


async def end(processes: list[Started]) -> None:
    for one in processes:
        with suppress(ProcessLookupError):
            one.process.send_signal(signal.SIGKILL)
    for one in processes:
        await one.process.wait()


async def measure(count: int, how: Discovery, killed: bool) -> dict[str, Any]:
    server, board = await serve_discovery(how)
    loop = asyncio.get_running_loop()
    writers: list[asyncio.StreamWriter] = []
    with tempfile.TemporaryDirectory() as folder:
        places = [
            write_config(Path(folder), number, board, port)
            for number, port in enumerate(distinct_ports(count))
        ]
        processes: list[Started] = []
        try:
            if killed:
                processes = [await start(path) for path, _ in places]
                began = loop.time()
                for one, (_, port) in zip(processes, places, strict=True):
                    await wait_ready(one, port, began)
                    writers.append((await asyncio.open_connection("127.0.0.1", port))[1])
                await end(processes)
            began = loop.time()
            processes = []
            for path, _ in places:
                processes.append(await start(path))
            waits = (wait_ready(one, port, began) for one, (_, port) in zip(processes, places, strict=True))
            await asyncio.gather(*waits)
            ended = [one.process.returncode is not None for one in processes]
            why = [path.with_suffix(".log").read_text()[-200:] for path, _ in compress(places, ended)]
        finally:
            await end(processes)
            for writer in writers:
                writer.close()
            if server is not None:
                server.close()
    took = sorted(one.ready_s for one in processes if one.ready_s is not None)
    in_time = sum(ready_s <= READY_S for ready_s in took) / count
    return {
        "processes": count,
        "discovery": how.value,
        "killed": killed,
        "ended": sum(ended),
        "why": why[:3],
        "in_time": round(in_time, 3),
        "ready_s": {
            "p50": round(took[len(took) // 2], 2) if took else None,
            "p90": round(took[int(len(took) * 0.9)], 2) if took else None,
            "max": round(took[-1], 2) if took else None,
        },
        "cpu_s": round(sum(one.cpu_s for one in processes) / count, 3),
        "memory_mb": round(max(one.memory_mb for one in processes), 1),
    }


async def run(quick: bool) -> int:
    scenes = [(how, False) for how in Discovery] + [(Discovery.UP, True)]
    results = []
    for count in QUICK if quick else MANY:
        for how, killed in scenes:
            results.append(await measure(count, how, killed))
            print(json.dumps(results[-1]), flush=True)
    failed = sum(one["ended"] > 0 or one["in_time"] < READY_SHARE for one in results)
    print(json.dumps({"cores": os.cpu_count(), "failed": failed, "results": results}))
    return 1 if failed else 0


def main() -> int:
    return asyncio.run(run("--quick" in sys.argv[1:]))


if __name__ == "__main__":
    sys.exit(main())
