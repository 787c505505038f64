"""The fake servers, and a director process in front of them."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path

from benchmarks.example_site import example_config, list_entry
from gladelane.endpoints.address import Family
from gladelane.lab.fake_discovery import FakeDiscovery
from gladelane.lab.fake_server import FakeServer, Fault, Said, Seen
from gladelane.lab.processes import Processes

from .scenarios import SCENARIOS, SMALL_RECEIVE_BUFFER

CACHES = 6
DIAL_MS = 1500.0  # a dial whose SYN is dropped connects at the kernel's second SYN, after 1 s


class Fleet:
    """Caches, a parent and the origin, and a director in front of them."""

    def __init__(self, folder: Path, rng: random.Random) -> None:
        self.folder, self.rng = folder, rng
        self.scenario = SCENARIOS[0]
        names = (*(f"cache-{n}" for n in range(CACHES)), "depot", "bank")
        self.servers = [FakeServer(name, self._answer) for name in names]
        self.addresses: dict[str, str] = {}
        self.discovery = FakeDiscovery()

    async def start(self, cancel: bool) -> Processes:
        """Starts the servers and a director, and returns once it serves. `cancel`: it may cancel attempts."""
        raw = example_config()
        raw["board"] = await self.discovery.start()
        raw["settings"]["limits"] |= {"cancel": cancel, "dial_timeout_ms": DIAL_MS}
        instances = []
        for server in self.servers:
            address = self.addresses[server.name] = await server.listen(
                Family.V4, receive_buffer=SMALL_RECEIVE_BUFFER
            )
            instances.append(list_entry(server.name, address, 5, cell=0, startedAtMs=0))
        self.discovery.tell({"pool": {"generation": 1, "reset": True, "instances": instances}})
        raw["known"] = self.discovery.known()
        processes = Processes(self.folder, raw)
        await processes.start()
        await processes.serving()
        return processes

    async def _answer(self, _seen: Seen) -> Said:
        await asyncio.sleep(self.rng.uniform(*self.scenario.response_s))
        if self.rng.random() < self.scenario.refused_share:
            return self.rng.choice(("overload -", "not_here -")), b""
        return "served digest=d,dated=1,remark=h", b"\x00" + b"k" * self.scenario.answer_bytes

    async def inject_faults(self) -> None:
        """Causes the late dials and the pauses of servers that the scenario asks for, until cancelled."""
        origin = self.servers[-1]
        while self.scenario.are_dials_late:
            await origin.set(self.addresses[origin.name], Fault.BLACK_HOLE)
            await asyncio.sleep(self.rng.uniform(0.5, 0.9))
            await origin.set(self.addresses[origin.name], Fault.NONE, drop=False)
            await asyncio.sleep(self.rng.uniform(0.4, 0.6))
        while self.scenario.do_servers_pause:
            paused = self.rng.sample(self.servers, 5)
            for server in paused:
                server.pause(self.addresses[server.name])
            await asyncio.sleep(self.rng.uniform(0.15, 0.4))
            for server in paused:
                server.resume(self.addresses[server.name])
            await asyncio.sleep(self.rng.uniform(0.1, 0.3))

    async def close(self) -> None:
        """Closes the discovery server and all other servers."""
        await self.discovery.close()
        for server in self.servers:
            await server.close()
