"""A real director with stores and discovery on loopback, and a sound client beside the floods."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ...endpoints.address import Family
from ..client import Client
from ..fake_discovery import FakeDiscovery
from ..fake_server import FakeServer, Said, Seen, hit
from ..processes import ROOT, Processes
from .floods import request_fields
from .sampler import MemorySampler

STORES = {"cache-1": "standard", "cache-2": "standard", "depot": "parent", "bank": "origin"}
READ_CLASS = "question-item"
PROGRAM_MODULES = "gladelane.__main__, gladelane.admin.endpoint, gladelane.hot_restart.coordinator"
ANSWER_TIMEOUT_S = 4.0
REQUEST_INTERVAL_S = 0.05
EXIT_TIMEOUT_S = 8.0


def bytecode_environment(folder: Path) -> dict[str, str]:
    """Compiles the program into `folder` as a deployment's build does, and returns the variables that make a
    process use it: compiling at the start takes several MB."""
    environment = {"PYTHONPYCACHEPREFIX": str(folder), "PYTHONDONTWRITEBYTECODE": ""}
    subprocess.run(
        [sys.executable, "-c", f"import {PROGRAM_MODULES}"],
        cwd=ROOT,
        env={**os.environ, **environment},
        check=True,
    )
    return environment


@dataclass
class SoundClient:
    """Sends a request every REQUEST_INTERVAL_S, each on the same connection while that is open."""

    port: int
    codes: list[int | None] = field(default_factory=list)  # None: no answer
    slowest_ms: float = 0.0

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        rng = random.Random(1)
        client: Client | None = None
        while True:
            try:
                if client is None or client.ended or client.no_more_requests:
                    client = await Client.to("127.0.0.1", self.port)
                answer = await client.ask(request_fields(rng, READ_CLASS), patience_s=ANSWER_TIMEOUT_S)
            except OSError:
                client, answer = None, None
            self.codes.append(None if answer is None else answer.code)
            if answer is not None:
                self.slowest_ms = max(self.slowest_ms, answer.elapsed_ms)
            await asyncio.sleep(REQUEST_INTERVAL_S)

    def served_share(self) -> float:
        """The share of all requests that were served."""
        return self.codes.count(0) / max(len(self.codes), 1)


class Scene:
    """A director with these limits, its stores and discovery. `answer` is how all stores answer."""

    def __init__(
        self, folder: Path, memory_mb: float, sockets: int, environment: Mapping[str, str] | None = None
    ) -> None:
        self.memory_mb, self.sockets = memory_mb, sockets
        self.stores = {name: FakeServer(name, self._answer) for name in STORES}
        self.discovery = FakeDiscovery()
        self.hangs = False  # stores answer nothing
        self.body_bytes = 100
        self.director: Processes
        self.sampler: MemorySampler
        self._folder, self._environment = folder, environment

    def _answer(self, seen: Seen) -> Said:
        return None if self.hangs else (hit(seen) or ("", b""))[:1] + (bytes(self.body_bytes),)

    async def start(self) -> None:
        """Starts everything, and waits until the director serves."""
        raw = json.loads((ROOT / "example" / "config.json").read_text())
        raw["board"] = await self.discovery.start()
        raw["limits"] |= {"memory_mb": self.memory_mb, "sockets": self.sockets}
        instances = [await self._instance(name, kind) for name, kind in STORES.items()]
        self.discovery.tell({"pool": {"generation": 1, "reset": True, "instances": instances}})
        raw["known"] = self.discovery.known()
        self.director = Processes(self._folder, raw, self._environment)
        self.sampler = MemorySampler(self.running_pids)
        await self.start_process()

    async def start_process(self) -> None:
        """Starts a further process of the director, and waits until it serves."""
        await self.director.start(descriptors=self.sockets)
        await self.director.serving()

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
