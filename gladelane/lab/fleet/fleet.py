"""The processes of a run: directors and control servers, with folders that faults may damage."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import subprocess
import time
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from ...control_plane.http import HttpStatusError, fetch
from ..processes import ROOT
from .client_pool import ClientPool
from .commands import Command, control_server_command, director_command, log_path
from .fault_injector import FaultInjector
from .faults import Step
from .ports import release_port, reserve_port
from .process import FleetProcess
from .relay import Relay
from .run_checks import PurgeName
from .shape import Shape
from .world import World

TOKEN = "token-of-a-run-in-the-laboratory"
START_TIMEOUT_S = 30.0
EXIT_TIMEOUT_S = 6.0  # after SIGTERM
POLL_INTERVAL_S = 0.02  # between two checks whether a started process replies
LAST_REQUESTS_S = 0.05  # from the decision to end a director until no further request is sent to it
QUERY_TIMEOUT_S = 2.0
QUERY_ERRORS = (OSError, TimeoutError, HttpStatusError, ValueError)


class Fleet:
    """The processes of a run and the links between them.

    `events`: (seconds since the start, event, detail).
    """

    def __init__(self, folder: Path, world: World, shape: Shape, rng: Random) -> None:
        self.folder, self.world, self.shape, self.rng = folder, world, shape, rng
        ports = Random()  # not from the seed of the run, which concurrent runs may share
        self.directors = [
            FleetProcess(
                f"director-{n}", reserve_port(ports), folder / f"director-{n}", admin_port=reserve_port(ports)
            )
            for n in range(shape.directors)
        ]
        self.control_servers = [
            FleetProcess(f"feed-{n}", reserve_port(ports), folder / f"feed-{n}")
            for n in range(shape.control_servers)
        ]
        self.links: dict[tuple[str, str], Relay] = {}
        self.events: list[tuple[float, str, str]] = []
        self.counts: Counter[str] = Counter()
        self.changes: dict[str, dict[str, Any]] = {}  # director -> what is added to its operator file
        self.settings: dict[str, dict[str, Any]] = {}  # director -> settings that differ
        self.seed = ""  # of all directors, hexadecimal; empty for that of the example
        self.names: dict[str, str] = {}  # director -> the name that it uses instead of its own
        self.program: dict[str, Path] = {}  # director -> folder of another version of the program
        self.started_s = time.monotonic()
        self._spawned: list[subprocess.Popen[bytes]] = []
        self._fault_injector = FaultInjector(self)

    def record_event(self, what: str, detail: str = "") -> None:
        """Records an event."""
        self.events.append((round(time.monotonic() - self.started_s, 3), what, detail))

    def process_of(self, target: tuple[str, int]) -> FleetProcess:
        """The process that a fault schedule names."""
        return (self.directors if target[0] == "directors" else self.control_servers)[target[1]]

    async def start(self) -> None:
        """Starts the links and all processes."""
        (self.folder / "tokens").write_text(f"lab {TOKEN}\n")
        for one in (*self.directors, *self.control_servers):
            for other in self.control_servers:
                if one is not other:
                    await self._link(one.name, other.name, other.port)
        for one in self.directors:
            await self._link(one.name, "board", self.world.discovery_port)
        for one in (*self.control_servers, *self.directors):
            one.folder.mkdir()
        await asyncio.gather(*(self._start(one, is_first_start=True) for one in self.control_servers))
        await asyncio.gather(*(self._start(one) for one in self.directors))

    async def _link(self, near: str, far: str, port: int) -> None:
        relay = self.links[near, far] = Relay(port)
        await relay.start()

    # --- starts and ends

    def command(self, director: FleetProcess) -> Command:
        """The command of a director, for a test that starts another process like it."""
        return director_command(self, director)

    async def restart(self, one: FleetProcess) -> None:
        """Starts a process that has ended."""
        await self._start(one)

    async def _start(self, one: FleetProcess, is_first_start: bool = False) -> None:
        """Starts a process; returns when it replies or has ended with an error."""
        one.starts += 1
        if one in self.control_servers:
            command = control_server_command(self, one, is_first_start)
        else:
            command = director_command(self, one)
        process = await self._spawn(one, command)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_TIMEOUT_S):
                if await self._is_answering(one, process):
                    return
        if one.process is process:
            tail = self.log(one).strip().splitlines()[-1:]
            one.failed.append(tail[0] if tail else "")
            self.record_event("start failed", f"{one.name}: {one.failed[-1][:200]}")

    async def _spawn(self, one: FleetProcess, command: Command) -> subprocess.Popen[bytes]:
        """Starts the command in a thread: disk access must not block the event loop of the clients."""
        folder = self.program.get(one.name, ROOT)
        arguments, environment = command
        with open(log_path(self, one), "ab") as log:  # noqa: ASYNC230  the file is cached
            async with one.spawning:  # `end` waits until there is a process to end
                process = one.process = await asyncio.to_thread(
                    subprocess.Popen, arguments, cwd=folder, env=environment, stderr=log
                )
                self._spawned.append(process)
        return process

    async def _is_answering(self, one: FleetProcess, process: subprocess.Popen[bytes]) -> bool:
        """Waits until the process replies; false if it ends first or another one replaces it."""
        is_control_server = one in self.control_servers
        while process.poll() is None and one.process is process:
            if await (
                self._control_server_answers(one) if is_control_server else self._director_answers(one)
            ):
                if one.process is process and process.poll() is None:
                    one.up = True
                    one.ups.append(time.time())
                    self.record_event("up", one.name)
                return True
            await asyncio.sleep(POLL_INTERVAL_S)
        return False

    async def _control_server_answers(self, one: FleetProcess) -> bool:
        with contextlib.suppress(OSError, TimeoutError, HttpStatusError):
            await fetch("127.0.0.1", one.port, "GET", "/status", TOKEN, within_s=1.0)
            return True
        return False

    async def _director_answers(self, one: FleetProcess) -> bool:
        with contextlib.suppress(OSError):
            pool = ClientPool(one.port)
            await pool.open_connection()
            one.client = pool
            return True
        return False

    def log(self, one: FleetProcess) -> str:
        """The standard error of a process and its predecessors. Raises OSError."""
        return log_path(self, one).read_text(errors="replace")

    async def end(self, one: FleetProcess, number: signal.Signals) -> None:
        """Ends a process by a signal and waits for its exit."""
        async with one.spawning:
            process, one.up = one.process, False
            one.downs.append(time.time())
        if number is signal.SIGKILL:
            one.process = None  # `_is_answering` stops waiting for it
        client, one.client = one.client, None
        if number is signal.SIGTERM:
            await asyncio.sleep(LAST_REQUESTS_S)
            one.process = None
        if process is not None and process.poll() is None:
            process.send_signal(number)
            if number is signal.SIGKILL:
                one.begin_unresponsive_period(0.0)
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, EXIT_TIMEOUT_S)
        if client is not None:
            await client.close()

    async def inject(self, step: Step) -> None:
        """Carries out a step of a fault schedule."""
        await self._fault_injector.inject(step)

    # --- queries

    async def stats(self, one: FleetProcess) -> dict[str, int]:
        """The metrics of a director's admin endpoint; empty if it does not reply."""
        with contextlib.suppress(*QUERY_ERRORS):
            text = (
                await fetch("127.0.0.1", one.admin_port, "GET", "/stats", within_s=QUERY_TIMEOUT_S)
            ).decode()
            pairs = (line.removeprefix("director.").partition("=") for line in text.splitlines())
            return {name: int(value) for name, _, value in pairs}
        return {}

    async def status(self, one: FleetProcess) -> dict[str, Any]:
        """The status of a control server; empty if it does not reply."""
        with contextlib.suppress(*QUERY_ERRORS):
            status: dict[str, Any] = json.loads(await self._query_control_server(one, "/status"))
            return status
        return {}

    async def active_purges(self, one: FleetProcess) -> set[PurgeName]:
        """The active purges of a control server; empty if it does not reply."""
        with contextlib.suppress(*QUERY_ERRORS):
            purges = json.loads(await self._query_control_server(one, "/purges"))
            return {PurgeName(issuer, epoch, seq) for issuer, epoch, seq, *_ in purges}
        return set()

    async def _query_control_server(self, control_server: FleetProcess, target: str) -> bytes:
        return await fetch("127.0.0.1", control_server.port, "GET", target, TOKEN, within_s=QUERY_TIMEOUT_S)

    async def close(self) -> None:
        """Kills all processes, closes the links and releases the ports."""
        self._fault_injector.close()
        for process in self._spawned:  # also those that ignored SIGTERM, since they are suspended
            if process.poll() is None:
                process.kill()
                await asyncio.to_thread(process.wait)
        for one in (*self.directors, *self.control_servers):
            if one.client is not None:
                await one.client.close()
            release_port(one.port)
            release_port(one.admin_port)
        for relay in self.links.values():
            await relay.close()
