"""The control servers of the fleet: processes that accept purges and distribute them."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
from pathlib import Path

from gladelane.control_plane.http import fetch
from gladelane.lab.free_ports import free_port
from gladelane.lab.processes import ROOT, START_S

from .director_files import TOKEN, write_tokens

PROBE_INTERVAL_S = 0.05
DOWN_S = 0.2  # between a kill and the next start


class ControlServers:
    """A number of control servers, each with a folder that it keeps over restarts."""

    def __init__(self, folder: Path, count: int) -> None:
        self._folder = folder
        self.ports = [free_port() for _ in range(count)]
        self._processes: list[subprocess.Popen[bytes]] = []

    async def start(self) -> None:
        """Starts all control servers; returns once all answer. Raises TimeoutError."""
        write_tokens(self._folder)
        self._processes = [self._start(number) for number in range(len(self.ports))]
        await asyncio.gather(*(self._wait_ready(number) for number in range(len(self.ports))))

    def _start(self, number: int) -> subprocess.Popen[bytes]:
        peers = [f"127.0.0.1:{port}" for index, port in enumerate(self.ports) if index != number]
        options = {
            "--dir": str(self._folder / f"feed-{number}"),
            "--tokens": str(write_tokens(self._folder)),
            "--listen": f"127.0.0.1:{self.ports[number]}",
            "--name": f"feed-{number}",
        }
        command = [
            sys.executable,
            "-c",
            "from gladelane.cli import main; main()",
            "purge",
            "serve",
            "--first",
        ]
        command += [argument for option in options.items() for argument in option]
        command += [argument for peer in peers for argument in ("--peer", peer)]
        return subprocess.Popen(command, cwd=ROOT, stderr=subprocess.DEVNULL)

    async def _wait_ready(self, number: int) -> None:
        async with asyncio.timeout(START_S):
            while True:
                with contextlib.suppress(OSError, TimeoutError):
                    await fetch("127.0.0.1", self.ports[number], "GET", "/status", TOKEN)
                    return
                await asyncio.sleep(PROBE_INTERVAL_S)

    def kill(self) -> None:
        """Kills all control servers; `restart` and `close` wait for their ends."""
        for process in self._processes:
            process.kill()

    async def restart(self, number: int) -> None:
        """Restarts a control server by SIGKILL; returns once it answers again."""
        self._processes[number].kill()
        await asyncio.to_thread(self._processes[number].wait)
        await asyncio.sleep(DOWN_S)
        self._processes[number] = self._start(number)
        await self._wait_ready(number)

    async def close(self) -> None:
        """Kills all processes and waits for them."""
        self.kill()
        for process in self._processes:
            await asyncio.to_thread(process.wait)
