"""One run of the soak test: a director under floods, signals and upgrades, all drawn from the seed."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from gladelane.lab.call_faults import Clients, find_repeated
from gladelane.lab.memory.floods import FLOODS, FloodClients
from gladelane.lab.memory.leavers import Leavers
from gladelane.lab.memory.scene import Deployment, Scene

MEMORY_MB = (32, 64, 128, 192)
SOCKETS = (256, 512, 1024)
CROWD_SHARE = 0.3  # of the runs: as many clients as the descriptors of two directors
UPGRADE_SHARE = 0.5  # of the runs
HANG_SHARE = 0.4  # of the floods
MIN_CLIENTS, MAX_FLOOD_S = 20, 3.0
SIGNALS_IN_SERIES, SIGNAL_INTERVAL_S = 4, 0.05
RETURN_S, RETURNED_MB = 5.0, 2.0  # after the last client; above the level before
#: By the protocol SIGKILL comes no earlier after SIGTERM than the longest deadline, 3 s at most, and 0.7 s.
EARLIEST_KILL_S = 3.0 + 0.7
NEW_CONNECTIONS_S = 0.4  # after SIGTERM
WARM_UP_S = 1.0


@dataclass
class Result:
    """What one run found. `problems` are broken limits, promises and rules."""

    seed: int
    memory_mb: int
    sockets: int
    has_upgrade: bool
    problems: list[str] = field(default_factory=list)
    returns_slowly: bool = (
        False  # more than RETURNED_MB above the level before, RETURN_S after the last client
    )
    floods: list[str] = field(default_factory=list)
    before_mb: float = 0.0
    peak_mb: float = 0.0  # of one process
    upgrade_peak_mb: float = 0.0  # of two processes
    after_mb: float = 0.0
    requests: int = 0
    served: int = 0
    kills: int = 0


class SoakRun:
    """One director with sound clients, from its start to its end."""

    def __init__(self, scene: Scene, rng: random.Random, duration_s: float, result: Result) -> None:
        self._scene, self._rng, self._result = scene, rng, result
        self._duration_s = duration_s
        self._has_crowd = rng.random() < CROWD_SHARE
        self._clients: Clients
        self._leavers: Leavers

    async def run(self) -> None:
        """Runs the director and records what was found."""
        scene, result = self._scene, self._result
        await scene.start()
        self._clients = Clients(scene.director.port, 1 << 24, ignores_goaway=True)
        self._leavers = Leavers(scene, random.Random(self._rng.random()))
        await asyncio.sleep(WARM_UP_S)
        result.before_mb = scene.sampler.current_mb()
        await self._flood_for(self._duration_s / 2.0)
        if result.has_upgrade:
            result.peak_mb = scene.sampler.restart()
            await self._upgrade()
            result.upgrade_peak_mb = scene.sampler.restart()
        await self._flood_for(self._duration_s / 2.0)
        await asyncio.sleep(RETURN_S)
        result.peak_mb = max(result.peak_mb, scene.sampler.peak_mb)
        result.after_mb = scene.sampler.current_mb()
        asyncio.get_running_loop().call_later(NEW_CONNECTIONS_S, setattr, self._clients, "may_connect", False)
        await self._end(-1)
        self._clients.breaks_connections = True
        await self._clients.stop()
        self._judge()

    async def _flood_for(self, duration_s: float) -> None:
        loop = asyncio.get_running_loop()
        until_s = loop.time() + duration_s
        while loop.time() < until_s:
            await self._flood()
            await self._send_signals()
            await self._leavers.leave_and_return()

    async def _flood(self) -> None:
        rng, scene = self._rng, self._scene
        flood = rng.choice(list(FLOODS.values()))
        most = scene.sockets * (2 if self._has_crowd else 1)
        count = rng.randint(MIN_CLIENTS, min(most, 1200))
        scene.hangs = rng.random() < HANG_SHARE
        self._result.floods.append(f"{flood.name} {count}{' hangs' if scene.hangs else ''}")
        clients = FloodClients(scene.director.port, flood, random.Random(rng.random()))
        clients.start(count)
        await asyncio.sleep(rng.uniform(0.3, MAX_FLOOD_S))
        await clients.close(by_reset=rng.random() < 0.5)
        scene.hangs = False

    async def _send_signals(self) -> None:
        for _ in range(self._rng.randrange(SIGNALS_IN_SERIES)):
            self._scene.director.all[-1].send_signal(signal.SIGHUP)
            await asyncio.sleep(SIGNAL_INTERVAL_S)

    async def _upgrade(self) -> None:
        old = len(self._scene.director.all) - 1
        await self._scene.start_process()
        await asyncio.gather(self._end(old), self._flood())

    async def _end(self, number: int) -> None:
        """Sends SIGTERM, and SIGKILL at the earliest time that the protocol allows."""
        process = self._scene.director.all[number]
        self._check_running()
        process.send_signal(signal.SIGTERM)
        try:
            code = await asyncio.wait_for(process.wait(), EARLIEST_KILL_S)
        except TimeoutError:
            process.kill()
            self._result.kills += 1
            await process.wait()
            return
        if code:
            self._result.problems.append(f"a process ended with {code} at SIGTERM")

    def _check_running(self) -> None:
        if len(self._scene.running_pids()) < len(self._scene.director.all) - self._ended_on_purpose():
            self._result.problems.append("a process ended by itself")

    def _ended_on_purpose(self) -> int:
        return len(self._scene.director.all) - 1 if self._result.has_upgrade else 0

    def _judge(self) -> None:
        result, clients, limit_mb = self._result, self._clients, self._result.memory_mb
        result.requests, result.served = len(clients.requests), clients.served
        for name, peak_mb in (("", result.peak_mb), (" in the upgrade", result.upgrade_peak_mb)):
            if peak_mb > limit_mb:
                result.problems.append(f"over the limit{name}: {peak_mb:.1f} of {limit_mb} MB")
        result.returns_slowly = result.after_mb > result.before_mb + RETURNED_MB
        result.problems += [f"lost: {text}" for text in clients.lost]
        result.problems += [f"unanswered: {text}" for text in clients.unanswered]
        result.problems += [f"answered twice: {text}" for text in clients.answered_twice]
        result.problems += find_repeated(self._scene.stores.values(), clients.requests)
        result.problems += self._leavers.problems
        for number in range(len(self._scene.director.all)):
            log = self._scene.director.log(number)
            if "Traceback" in log:
                result.problems.append(log[log.index("Traceback") :][-600:])


async def run_seed(deployment: Deployment, seed: int, duration_s: float) -> Result:
    """One run with its own director, stores and discovery."""
    rng = random.Random(seed)
    result = Result(seed, rng.choice(MEMORY_MB), rng.choice(SOCKETS), rng.random() < UPGRADE_SHARE)
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(Path(folder), deployment, result.memory_mb, result.sockets, result.has_upgrade)
        try:
            await SoakRun(scene, rng, duration_s, result).run()
        finally:
            await scene.close()
    return result
