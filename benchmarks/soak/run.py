"""One run of the soak test: directors with clients, an operator and faults, all drawn from the seed."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

from gladelane.lab.call_faults import Clients, Scene
from gladelane.lab.preload.build import compile_library

from .faults import FAULTS, Target, crowd_of_callers
from .operators import Operator, Stops

DIRECTORS = 2
SOCKETS = (256, 512, 1024)  # limits of descriptors, which determine how many callers are accepted
CROWD_SHARE = 0.3  # of the runs
MAX_PAUSE_S = 0.8  # between two faults
#: By the protocol SIGKILL comes no earlier after SIGTERM than the longest deadline, 3 s at most, and 0.7 s.
EARLIEST_KILL_S = 3.0 + 0.7
#: By the protocol new connections come for up to 0.4 s after SIGTERM if no other process has the address.
NEW_CONNECTIONS_S = 0.4
AFTER_KILL_S = 0.1  # in which clients notice that their connections have ended
LAST_REQUESTS_S = 1.0  # after the last process has ended


@dataclass
class Result:
    """What one run found. `problems` are broken promises and rules."""

    seed: int
    problems: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)  # of the directors with problems, with their times
    calls: int = 0
    kills: int = 0  # processes that had not ended at the earliest kill, which the protocol allows
    slowest_s: float = 0.0
    served: int = 0


class DirectorRun:
    """One director under faults for a time, with one upgrade."""

    def __init__(self, scene: Scene, rng: random.Random, has_crowd: bool) -> None:
        self._scene, self._rng = scene, rng
        self._stops = Stops()
        self._target = Target(scene, rng, self._stops)
        self._applied: list[str] = []
        self._faults = (*FAULTS, crowd_of_callers, crowd_of_callers) if has_crowd else FAULTS

    async def run(self, duration_s: float, result: Result) -> None:
        """Runs the director and adds what was found to the result."""
        scene = self._scene
        await scene.prepare()
        scene.director.raw["limits"]["sockets"] = self._rng.choice(SOCKETS)
        await scene.start()
        clients = scene.clients(ignores_goaway=True)
        operator = Operator(scene, self._rng, self._stops)
        await self._apply_faults(duration_s / 2.0)
        await self._upgrade(operator, clients, result)
        await self._apply_faults(duration_s / 2.0)
        await operator.stop()
        asyncio.get_running_loop().call_later(NEW_CONNECTIONS_S, setattr, clients, "may_connect", False)
        await self._end(scene.director.all[-1], clients, result)
        await self._stop_clients(clients)
        verdict = scene.verdict(clients)
        problems = [*operator.problems, *verdict.broken()]
        result.problems += problems
        result.faults += self._applied if problems else []
        result.calls += operator.calls
        result.slowest_s = max(result.slowest_s, operator.slowest_s)
        result.served += clients.served

    async def _apply_faults(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        while loop.time() < until_s:
            apply = self._rng.choice(self._faults)
            started_s = loop.time()
            details = await apply(self._target)
            self._applied.append(f"{apply.__name__} {details} {started_s:.2f} to {loop.time():.2f} s")
            await asyncio.sleep(self._rng.uniform(0.0, MAX_PAUSE_S))

    async def _upgrade(self, operator: Operator, clients: Clients, result: Result) -> None:
        old = self._scene.director.all[-1]
        await self._scene.start()
        operator.process = len(self._scene.director.all) - 1
        await self._end(old, clients, result)

    async def _end(self, process: asyncio.subprocess.Process, clients: Clients, result: Result) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time that the protocol allows. All requests must have
        been answered by then."""
        self._applied.append(f"SIGTERM at {asyncio.get_running_loop().time():.2f} s")
        self._scene.expect_exit(process)
        process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), EARLIEST_KILL_S)
        except TimeoutError:
            ended_before = len(clients.ended_unanswered_s)
            with suppress(ProcessLookupError):  # it may have ended just now
                process.kill()
            result.kills += 1
            await process.wait()
            await asyncio.sleep(AFTER_KILL_S)
            unanswered = len(clients.ended_unanswered_s) - ended_before
            if unanswered:
                result.problems.append(f"{unanswered} requests without an answer at the earliest kill")
        else:
            if code:
                result.problems.append(f"a process ended with {code} at SIGTERM")

    @staticmethod
    async def _stop_clients(clients: Clients) -> None:
        clients.breaks_connections = True  # there is no director any more
        await asyncio.sleep(LAST_REQUESTS_S)
        await clients.stop()


async def run_seed(seed: int, duration_s: float) -> Result:
    """One run with all directors at the same time."""
    rng = random.Random(seed)
    result = Result(seed)
    has_crowd = rng.random() < CROWD_SHARE
    with tempfile.TemporaryDirectory() as folder:
        library = compile_library("syscalls", Path(folder))
        scenes = []
        for number in range(DIRECTORS):
            scene_folder = Path(folder) / str(number)
            scene_folder.mkdir()
            scenes.append(Scene(scene_folder, library))
        runs = [DirectorRun(scene, random.Random(rng.random()), has_crowd) for scene in scenes]
        try:
            await asyncio.gather(*(run.run(duration_s, result) for run in runs))
        finally:
            for scene in scenes:
                await scene.close()
    return result
