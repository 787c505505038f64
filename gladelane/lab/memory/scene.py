"""A real director with stores and discovery on loopback, and a sound client beside the floods."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sysconfig
import venv
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ...endpoints.address import Family
from ..call_faults import add_unsafe_class
from ..client import Answer, Client
from ..fake_discovery import FakeDiscovery
from ..fake_server import FakeServer, Said, Seen, hit
from ..processes import ROOT, Processes
from .floods import request_fields
from .sampler import MemorySampler

STORES = {"cache-1": "standard", "cache-2": "standard", "depot": "parent", "bank": "origin"}
READ_CLASS = "question-item"
PROGRAM_MODULES = "ctypes, gladelane.__main__, gladelane.admin.endpoint, gladelane.hot_restart.coordinator"
ANSWER_TIMEOUT_S = 4.0
REQUEST_INTERVAL_S = 0.05
EXIT_TIMEOUT_S = 8.0
START_TIMEOUT_S = 20.0


@dataclass(frozen=True)
class Deployment:
    """An interpreter with the packages that a deployment has, and no others: a development environment adds
    several MB to each process."""

    executable: str
    environment: Mapping[str, str]

    @classmethod
    def build(cls, folder: Path) -> Deployment:
        """Links the required packages into `folder`, and compiles the program as a deployment's build does:
        compiling it at the start takes several MB."""
        packages = folder / "packages"
        packages.mkdir()
        installed = Path(sysconfig.get_paths()["platlib"])
        for line in (ROOT / "requirements.txt").read_text().split():
            for path in installed.glob(f"{line.partition('==')[0]}*"):
                (packages / path.name).symlink_to(path)
        environment = {
            "PYTHONPATH": str(packages),
            "PYTHONPYCACHEPREFIX": str(folder / "bytecode"),
            "PYTHONDONTWRITEBYTECODE": "",
        }
        venv.create(folder / "venv", symlinks=True)
        executable = str(folder / "venv" / "bin" / "python")
        command = [executable, "-c", f"import {PROGRAM_MODULES}"]
        subprocess.run(command, cwd=ROOT, env={**os.environ, **environment}, check=True)
        return cls(executable, environment)


@dataclass
class SoundClient:
    """Sends a request every REQUEST_INTERVAL_S, on the same connection while that is open. A request that
    crosses the close of a connection that was used before is sent once more, as the protocol says."""

    port: int
    codes: list[int | None] = field(default_factory=list)  # None: no answer
    slowest_ms: float = 0.0
    _client: Client | None = None
    _is_stopping: bool = False
    _task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Begins to send requests."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Sends no further requests, and waits for the pending one."""
        self._is_stopping = True
        if self._task is not None:
            await self._task
        if self._client is not None:
            await self._client.close()

    def served_share(self) -> float:
        """The share of all requests that were served."""
        return self.codes.count(0) / max(len(self.codes), 1)

    async def _run(self) -> None:
        rng = random.Random(1)
        while not self._is_stopping:
            fields = request_fields(rng, READ_CLASS)
            was_used = self._client is not None
            answer = await self._ask(fields)
            if answer is None and was_used and self._client is None:
                answer = await self._ask(fields)
            self.codes.append(None if answer is None else answer.code)
            if answer is not None:
                self.slowest_ms = max(self.slowest_ms, answer.elapsed_ms)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _ask(self, fields: dict[str, str]) -> Answer | None:
        """Sends one request. The client is dropped if its connection has ended."""
        try:
            if self._client is None:
                self._client = await Client.to("127.0.0.1", self.port)
            answer = await self._client.ask(fields, patience_s=ANSWER_TIMEOUT_S)
        except OSError:
            answer = None
        client = self._client
        if client is not None and (client.ended or client.no_more_requests):
            await client.close()
            self._client = None
        return answer


class Scene:
    """A director with these limits, its stores and discovery. `answer` is how all stores answer."""

    def __init__(
        self,
        folder: Path,
        deployment: Deployment,
        memory_mb: float = 192.0,
        sockets: int = 1024,
        has_admin_endpoint: bool = True,
    ) -> None:
        self.memory_mb, self.sockets = memory_mb, sockets
        self._has_admin_endpoint = has_admin_endpoint
        self.stores = {name: FakeServer(name, self._answer) for name in STORES}
        self.discovery = FakeDiscovery()
        self.hangs = False  # stores answer nothing
        self.body_bytes = 100
        self.director: Processes
        self.sampler: MemorySampler
        self._folder, self._deployment = folder, deployment

    def _answer(self, seen: Seen) -> Said:
        return None if self.hangs else (hit(seen) or ("", b""))[:1] + (bytes(self.body_bytes),)

    async def start(self) -> None:
        """Starts everything, and waits until the director serves."""
        raw = json.loads((ROOT / "example" / "config.json").read_text())
        raw["board"] = await self.discovery.start()
        add_unsafe_class(raw)
        raw["limits"] |= {"memory_mb": self.memory_mb, "sockets": self.sockets}
        instances = [await self._instance(name, kind) for name, kind in STORES.items()]
        self.discovery.tell({"pool": {"generation": 1, "reset": True, "instances": instances}})
        raw["known"] = self.discovery.known()
        environment = dict(self._deployment.environment)
        if not self._has_admin_endpoint:
            environment["GW_OPS"] = ""
        self.director = Processes(self._folder, raw, environment, self._deployment.executable)
        self.sampler = MemorySampler(self.running_pids)
        await self.start_process()

    async def start_process(self) -> None:
        """Starts a further process of the director, and waits until it serves."""
        await self.director.start(descriptors=self.sockets)
        if self._has_admin_endpoint:
            await self.director.serving()
        else:
            await self._serves_clients()

    async def _serves_clients(self) -> None:
        """Waits until a client is answered. Raises TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                try:
                    client = await Client.to("127.0.0.1", self.director.port)
                except OSError:
                    await asyncio.sleep(REQUEST_INTERVAL_S)
                    continue
                await client.close()
                return

    def running_pids(self) -> list[int]:
        """The processes that have not ended."""
        return [process.pid for process in self.director.all if process.returncode is None]

    async def end_process(self, number: int = -1) -> int | None:
        """Sends SIGTERM to a process and returns its exit code; None if it does not end."""
        process = self.director.all[number]
        process.send_signal(signal.SIGTERM)
        try:
            return await asyncio.wait_for(process.wait(), EXIT_TIMEOUT_S)
        except TimeoutError:
            return None

    async def close(self) -> None:
        """Stops everything."""
        await self.sampler.stop()
        await self.director.end()
        await self.discovery.close()
        for store in self.stores.values():
            await store.close()

    async def _instance(self, name: str, kind: str) -> dict[str, Any]:
        return {
            "instanceId": name,
            "hostPort": await self.stores[name].listen(Family.V4),
            "weight": 64,
            "lifecycle": "in_service",
            "machineType": kind,
            "zone": "branch" if kind == "standard" else "hub",
        }
