"""The directors of the fleet: processes, and a connection to each that is running."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from gladelane.lab.client import Client
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.free_ports import free_port
from gladelane.lab.processes import ROOT, START_S

from .director_files import DirectorFiles

PROBE_INTERVAL_S = 0.02
LAST_ANSWERS_S = 0.05  # for requests in progress, between the last request and SIGTERM


@dataclass
class RunningDirector:
    """One director over all its starts.

    `client` is None while the director is down. No requests are sent to it unless `is_usable`.
    """

    files: DirectorFiles
    port: int
    process: subprocess.Popen[bytes]
    client: Client | None = None
    is_usable: bool = False

    async def wait_ready(self) -> None:
        """Connects to the director once it accepts connections. Raises TimeoutError."""
        async with asyncio.timeout(START_S):
            while True:
                with contextlib.suppress(OSError):
                    self.client = await Client.to("127.0.0.1", self.port)
                    break
                await asyncio.sleep(PROBE_INTERVAL_S)
        self.is_usable = True

    async def stop(self) -> None:
        """Ends the process by SIGTERM, after the requests that are in progress."""
        self.is_usable = False
        await asyncio.sleep(LAST_ANSWERS_S)
        self.process.send_signal(signal.SIGTERM)
        client, self.client = self.client, None
        await asyncio.to_thread(self.process.wait)
        if client is not None:
            await client.close()


class Directors:
    """A number of directors in front of the servers that discovery lists."""

    def __init__(self, folder: Path, discovery: FakeDiscovery) -> None:
        self._folder = folder
        self._discovery = discovery
        self._running: list[RunningDirector] = []

    async def start(self, count: int, discovery_address: str, control_ports: Sequence[int]) -> None:
        """Starts the directors; returns once all accept connections."""
        for number in range(count):
            files, port = DirectorFiles(self._folder, number), free_port()
            files.write(port, discovery_address, control_ports)
            self._running.append(RunningDirector(files, port, self._start(files)))
        await asyncio.gather(*(director.wait_ready() for director in self._running))

    def _start(self, files: DirectorFiles) -> subprocess.Popen[bytes]:
        files.update_known(self._discovery)
        env = {**os.environ, "GW_CONFIG": str(files.config), "GW_OPERATOR": str(files.operator)}
        with open(files.log, "ab") as log:
            return subprocess.Popen([sys.executable, "-m", "gladelane"], cwd=ROOT, env=env, stderr=log)

    async def restart(self, number: int) -> None:
        """Restarts a director by SIGTERM; returns once it accepts connections again."""
        director = self._running[number]
        await director.stop()
        director.process = self._start(director.files)
        await director.wait_ready()

    def clients(self) -> list[Client]:
        """Returns the connections to all running directors, usable or not."""
        return [director.client for director in self._running if director.client is not None]

    def usable_clients(self) -> list[Client | None]:
        """Returns the connections to usable directors; None if a connection was closed."""
        return [director.client for director in self._running if director.is_usable]

    async def close(self) -> None:
        """Kills all processes and waits for them."""
        for client in self.clients():
            await client.close()
        for director in self._running:
            director.process.kill()
            await asyncio.to_thread(director.process.wait)
