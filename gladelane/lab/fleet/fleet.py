"""The processes of a run: directors and feeds, each its own, with folders that faults change between two
lives."""

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
from .client_pool import Pool
from .commands import Command, director_command, feed_command, log_path
from .fault_injector import FaultInjector
from .faults import Step
from .ports import release_port, reserve_port
from .process import Life
from .relay import Relay
from .rules import PurgeName
from .shape import Shape
from .world import World

TOKEN = "token-of-a-run-in-the-laboratory"
START_S = 30.0
GONE_S = 6.0  # for SIGTERM
LOOK_S = 0.02  # between two looks whether a process that starts answers
LEAVING_S = 0.05  # after which a director that ends takes no requests of this run
ASK_S = 2.0  # for an answer to a question about a process
ASK_ERRORS = (OSError, TimeoutError, HttpStatusError, ValueError)


class Fleet:
    """`events`: what happened, in s since the start, for the table."""

    def __init__(self, folder: Path, world: World, shape: Shape, rng: Random) -> None:
        self.folder, self.world, self.shape, self.rng = folder, world, shape, rng
        ports = Random()  # not of the run's seed: runs beside this one may have the same
        self.directors = [
            Life(f"director-{n}", reserve_port(ports), folder / f"director-{n}", door=reserve_port(ports))
            for n in range(shape.directors)
        ]
        self.feeds = [
            Life(f"feed-{n}", reserve_port(ports), folder / f"feed-{n}") for n in range(shape.feeds)
        ]
        self.links: dict[tuple[str, str], Relay] = {}
        self.events: list[tuple[float, str, str]] = []
        self.counts: Counter[str] = Counter()
        self.changes: dict[str, dict[str, Any]] = {}  # of a director's operator file
        self.settings: dict[str, dict[str, Any]] = {}  # of a director's own
        self.seed = ""  # hexadecimal, of all directors; the example's where it is empty
        self.names: dict[str, str] = {}  # of directors that claim another's
        self.program: dict[str, Path] = {}  # folders of other versions of the program
        self.began = time.monotonic()
        self._fault_injector = FaultInjector(self)

    def note(self, what: str, detail: str = "") -> None:
        self.events.append((round(time.monotonic() - self.began, 3), what, detail))

    def of(self, whom: tuple[str, int]) -> Life:
        return (self.directors if whom[0] == "directors" else self.feeds)[whom[1]]

    async def start(self) -> None:
        (self.folder / "tokens").write_text(f"lab {TOKEN}\n")
        for one in (*self.directors, *self.feeds):
            for other in self.feeds:
                if one is not other:
                    await self._link(one.name, other.name, other.port)
        for one in self.directors:
            await self._link(one.name, "board", self.world.board_port)
        for one in (*self.feeds, *self.directors):
            one.folder.mkdir()
        await asyncio.gather(*(self._start(one, is_first_start=True) for one in self.feeds))
        await asyncio.gather(*(self._start(one) for one in self.directors))

    async def _link(self, near: str, far: str, port: int) -> None:
        relay = self.links[near, far] = Relay(port)
        await relay.start()

    # --- lives

    def command(self, director: Life) -> Command:
        """How a director is started, for a process beside it."""
        return director_command(self, director)

    async def again(self, one: Life) -> None:
        """Starts one that has ended."""
        await self._start(one)

    async def _start(self, one: Life, is_first_start: bool = False) -> None:
        """Until it answers, or has ended with an error."""
        one.starts += 1
        if one in self.feeds:
            command = feed_command(self, one, is_first_start)
        else:
            command = director_command(self, one)
        process = await self._spawn(one, command)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(START_S):
                if await self._is_answering(one, process):
                    return
        if one.process is process:
            tail = self.log(one).strip().splitlines()[-1:]
            one.failed.append(tail[0] if tail else "")
            self.note("start failed", f"{one.name}: {one.failed[-1][:200]}")

    async def _spawn(self, one: Life, command: Command) -> subprocess.Popen[bytes]:
        """In a thread, as all that touches folders: the clients' loop must not stand still for a disk."""
        folder = self.program.get(one.name, ROOT)
        arguments, environment = command
        with open(log_path(self, one), "ab") as log:  # noqa: ASYNC230  the file is in the cache
            async with one.spawning:  # who ends it meanwhile waits until there is something to end
                process = one.process = await asyncio.to_thread(
                    subprocess.Popen, arguments, cwd=folder, env=environment, stderr=log
                )
        return process

    async def _is_answering(self, one: Life, process: subprocess.Popen[bytes]) -> bool:
        """Waits until the process answers; false where it ends first or another takes its place."""
        is_feed = one in self.feeds
        while process.poll() is None and one.process is process:
            if await (self._feed_answers(one) if is_feed else self._director_answers(one)):
                if one.process is process and process.poll() is None:
                    one.up = True
                    one.ups.append(time.time())
                    self.note("up", one.name)
                return True
            await asyncio.sleep(LOOK_S)
        return False

    async def _feed_answers(self, one: Life) -> bool:
        with contextlib.suppress(OSError, TimeoutError, HttpStatusError):
            await fetch("127.0.0.1", one.port, "GET", "/status", TOKEN, within_s=1.0)
            return True
        return False

    async def _director_answers(self, one: Life) -> bool:
        with contextlib.suppress(OSError):
            pool = Pool(one.port)
            await pool.reach()
            one.client = pool
            return True
        return False

    def log(self, one: Life) -> str:
        return log_path(self, one).read_text(errors="replace")

    async def end(self, one: Life, number: signal.Signals) -> None:
        async with one.spawning:
            process, one.up = one.process, False
            one.downs.append(time.time())
        if number is signal.SIGKILL:
            one.process = None  # whoever waits for its start need not
        client, one.client = one.client, None
        if number is signal.SIGTERM:
            await asyncio.sleep(LEAVING_S)
            one.process = None
        if process is not None and process.poll() is None:
            process.send_signal(number)
            if number is signal.SIGKILL:
                one.hold_up(0.0)
            with contextlib.suppress(subprocess.TimeoutExpired):
                await asyncio.to_thread(process.wait, GONE_S)
        if client is not None:
            await client.close()

    async def strike(self, step: Step) -> None:
        """Carries out a step of a fault schedule."""
        await self._fault_injector.strike(step)

    # --- asking

    async def stats(self, one: Life) -> dict[str, int]:
        """What the admin endpoint says; empty where nobody answers."""
        with contextlib.suppress(*ASK_ERRORS):
            text = (await fetch("127.0.0.1", one.door, "GET", "/stats", within_s=ASK_S)).decode()
            pairs = (line.removeprefix("director.").partition("=") for line in text.splitlines())
            return {name: int(value) for name, _, value in pairs}
        return {}

    async def status(self, one: Life) -> dict[str, Any]:
        with contextlib.suppress(*ASK_ERRORS):
            status: dict[str, Any] = json.loads(await self._ask_feed(one, "/status"))
            return status
        return {}

    async def standing(self, one: Life) -> set[PurgeName]:
        """The purges that stand at a feed; empty where it does not answer."""
        with contextlib.suppress(*ASK_ERRORS):
            purges = json.loads(await self._ask_feed(one, "/purges"))
            return {PurgeName(issuer, epoch, seq) for issuer, epoch, seq, *_ in purges}
        return set()

    async def _ask_feed(self, feed: Life, target: str) -> bytes:
        return await fetch("127.0.0.1", feed.port, "GET", target, TOKEN, within_s=ASK_S)

    async def close(self) -> None:
        self._fault_injector.close()
        for one in (*self.directors, *self.feeds):
            if one.process is not None and one.process.poll() is None:
                one.process.kill()
                await asyncio.to_thread(one.process.wait)
            if one.client is not None:
                await one.client.close()
            release_port(one.port)
            release_port(one.door)
        for relay in self.links.values():
            await relay.close()


def kept_port(rng: Random) -> int:
    """A port for as long as this process runs."""
    return reserve_port(rng)
