"""The real processes of one director, and clients that send requests all the time and count failures.

At a hot restart the platform starts a new process beside the older ones."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import sys
from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import SystemRandom
from typing import Any

from .client import Client
from .fleet.ports import release_port, reserve_port

ROOT = Path(__file__).parent.parent.parent
START_S = 20.0
CALL_S = 5.0


def _limit_descriptors(limit: int) -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))


class Processes:
    """The processes, oldest first. Each has its own configuration file, log and admin address; they share a
    folder.

    `environment`: variables in addition to those that each process gets. `executable`: the interpreter."""

    def __init__(
        self,
        folder: Path,
        raw: Mapping[str, Any],
        environment: Mapping[str, str] | None = None,
        executable: str = sys.executable,
    ) -> None:
        self._rng = SystemRandom()
        # reserved until the end: another run could take a port before a process listens there
        self.folder, self.port = folder, reserve_port(self._rng)
        self.environment = dict(environment or {})
        self._executable = executable
        self.raw = {**raw, "listen": f"127.0.0.1:{self.port}"}
        self.ops: list[int] = []
        self.all: list[asyncio.subprocess.Process] = []

    async def start(
        self, descriptors: int = 0, program: Path = ROOT, **changes: Any
    ) -> asyncio.subprocess.Process:
        """Starts a further process. `descriptors`: its limit (RLIMIT_NOFILE), 0 for the limit of this
        process.

        `program`: the checkout that is started. `changes`: changes to its configuration."""
        self.ops.append(reserve_port(self._rng))
        path = self.folder / f"config{len(self.ops)}.json"
        path.write_text(json.dumps({**self.raw, **changes}))
        ops = f"127.0.0.1:{self.ops[-1]}"
        env = {**os.environ, "GW_CONFIG": str(path), "GW_OPS": ops, "TMPDIR": str(self.folder)}
        env |= self.environment
        env.pop("GW_OPERATOR", None)
        with open(self.folder / f"log{len(self.ops)}", "wb") as log:  # noqa: ASYNC230  a few bytes at a start
            process = await asyncio.create_subprocess_exec(
                self._executable,
                "-m",
                "gladelane",
                cwd=program,
                env=env,
                stderr=log,
                preexec_fn=partial(_limit_descriptors, descriptors) if descriptors else None,
            )
        self.all.append(process)
        return process

    def log(self, number: int = -1) -> str:
        """The log of a process so far."""
        return (self.folder / f"log{range(1, len(self.ops) + 1)[number]}").read_text()

    async def call(self, method: str, target: str, number: int = -1) -> tuple[int, str]:
        """Calls the admin endpoint; returns status and text, status 0 if there is no answer."""
        try:
            async with asyncio.timeout(CALL_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ops[number])
                try:
                    writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                    response = (await reader.read()).decode()
                finally:
                    writer.close()
            return int(response.split()[1]), response.partition("\r\n\r\n")[2]
        except (OSError, IndexError, TimeoutError):
            return 0, ""

    async def serving(self, number: int = -1) -> None:
        """Waits until a process serves. Raises RuntimeError with its log if it ends instead."""
        async with asyncio.timeout(START_S):
            while (await self.call("GET", "/healthcheck", number))[0] != 200:
                if self.all[number].returncode is not None:
                    raise RuntimeError(self.log(number))
                await asyncio.sleep(0.02)

    async def figures(self, number: int = -1) -> dict[str, int]:
        """The metrics of a process by name without prefix; empty if there is no answer."""
        lines = (await self.call("GET", "/stats", number))[1].splitlines()
        pairs = (line.removeprefix("director.").partition("=") for line in lines)
        return {name: int(value) for name, _, value in pairs}

    def resource_usage(self) -> tuple[float, int]:
        """Resident memory in MB and open descriptors, summed over all running processes."""
        memory, descriptors = 0.0, 0
        for process in self.all:
            with suppress(OSError):
                folder = Path(f"/proc/{process.pid}")
                pages = int((folder / "statm").read_text().split()[1])
                memory += pages * os.sysconf("SC_PAGE_SIZE") / 1e6
                descriptors += len(list((folder / "fd").iterdir()))
        return memory, descriptors

    async def end(self) -> None:
        """Kills all processes, waits for them, and releases their ports."""
        for process in self.all:
            with suppress(ProcessLookupError):
                process.kill()
            await process.wait()
        for port in (self.port, *self.ops):
            release_port(port)


class Load:
    """Clients that reuse their connections until the director closes them, and others that use a new one
    each time.

    `lost`: requests on new connections without an answer, or with a failure. `refused`: rejected requests,
    as of an overloaded director. `crossed`: requests that crossed the close of a reused connection and were
    retried, as the protocol allows.
    """

    def __init__(self, port: int, clients: int = 8, classes: tuple[str, ...] = ("film",)) -> None:
        self.port, self.classes = port, classes
        self.served = self.refused = self.crossed = 0
        self.lost: list[str] = []
        asking = (self._ask(keeps_connections=n % 2 == 0, first=1 + n * 1_000_000) for n in range(clients))
        self._tasks = [asyncio.create_task(task) for task in asking]

    async def _ask(self, keeps_connections: bool, first: int) -> None:
        client: Client | None = None
        fresh, number = True, first
        while True:
            try:
                if client is None:
                    client, fresh = await Client.to("127.0.0.1", self.port), True
                answer = await client.ask(
                    {
                        "c": self.classes[number % len(self.classes)],
                        "i": f"{number:016x}",
                        "d": "2000",
                        "o": f"{number % 50:016x}",
                        "chunk": "0",
                        "tag": "1",
                        "m": "1",
                        "k": f"{number:032x}",
                    }
                )
            except OSError as error:
                self.lost.append(repr(error))
                client = None
                continue
            number += 1
            if answer is not None and answer.code in (0, 1):
                self.served += answer.code == 0
                self.refused += answer.code == 1
                fresh = False
                if keeps_connections and not client.no_more_requests:
                    continue
            elif answer is None and not fresh:
                self.crossed += 1
                number -= 1
            else:
                self.lost.append(f"{number - 1}: {answer and answer.code}")
            await client.close()
            client = None

    async def stop(self) -> None:
        """Cancels all requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
