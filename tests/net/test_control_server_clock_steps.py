"""Real control servers whose wall clock is stepped while directors follow them: purges are taken, told and hold, no stale
copy is passed on, and nobody loses a follower, a tenure or a lease over it."""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
from harness import async_test, config, wait_until
from test_clock_steps import HOUR_MS, OLD_MS, READS, SERVED, Asker, LyingShelf

from gladelane.clock import REQUIRED_FRESH_COPIES, Clock
from gladelane.control_plane.http import HttpStatusError, fetch
from gladelane.endpoints.address import Family
from gladelane.lab.client import Answer, Client
from gladelane.lab.fake_cache_store import FakeCacheStore, now_ms
from gladelane.lab.fake_server import FakeServer, Said, Seen
from gladelane.lab.free_ports import free_port
from gladelane.lab.preload.clock import SteppedClock
from gladelane.lab.processes import ROOT, START_S
from gladelane.leases.shards import shard_resource
from gladelane.net.config import read_config
from gladelane.purges.cutoff import Link
from gladelane.server import Server
from gladelane.settings.operator import Operator, read_operator

TOKEN = "a-token-of-the-operators"
SERVE = "from gladelane.cli import main; main()"
STEPS_MS = (HOUR_MS, -HOUR_MS, 4000.0, -4000.0)
LEASE_MS = 1000.0
SHARDS = 4
SERVERS = 3
TENURE_MS = 2000.0
WATCHED_S = 2.5  # longer than a director is let go on unheard, and than a lease or a tenure lasts
READS_AFTER = 20
BUSY_SHARE = 0.2  # of the reads, that a busy test machine may have refused


class ControlServerProcess:
    """One `gladelane purge serve`, with the audit and leases, and its successors on the same folder."""

    def __init__(self, folder: Path, name: str, environment: dict[str, str]) -> None:
        self.name, self.port = name, free_port()
        self.peers: list[ControlServerProcess] = []
        self._folder, self._environment = folder, environment
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, is_first: bool = False) -> None:
        """Until it answers."""
        folder = self._folder / self.name
        options = {
            "--name": self.name,
            "--listen": f"127.0.0.1:{self.port}",
            "--tokens": str(self._folder / "tokens"),
            "--dir": str(folder / "purges"),
            "--audit": str(folder / "audit"),
            "--keeper": str(folder / "leases"),
            "--tenure-ms": str(TENURE_MS),
            "--lease-ms": str(LEASE_MS),
            "--copies": str(1 + len(self.peers)),
        }
        words = [word for option in options.items() for word in option]
        words += [word for peer in self.peers for word in ("--peer", f"127.0.0.1:{peer.port}")]
        words += ["--first"] if is_first else []
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                SERVE,
                "purge",
                "serve",
                *words,
                cwd=ROOT,
                env={**os.environ, **self._environment},
                stderr=log,
            )
        async with asyncio.timeout(START_S):
            while not await self._answers():
                assert self._process.returncode is None, self.log()
                await asyncio.sleep(0.02)

    async def _answers(self) -> bool:
        with suppress(OSError, TimeoutError, HttpStatusError):
            await self.status()
            return True
        return False

    def log(self) -> str:
        return (self._folder / f"{self.name}.log").read_text()

    async def status(self) -> dict[str, Any]:
        answer: dict[str, Any] = json.loads(await fetch("127.0.0.1", self.port, "GET", "/status", TOKEN))
        return answer

    async def purge(self, scope: str, key: str = "") -> dict[str, Any]:
        """Once it is stored at all servers."""
        body = json.dumps({"scope": scope}).encode()
        headers = {"Idempotency-Key": key} if key else {}
        async with asyncio.timeout(START_S):
            answer = await fetch("127.0.0.1", self.port, "POST", "/purges", TOKEN, body, headers)
        accepted: dict[str, Any] = json.loads(answer)
        return accepted

    async def end(self) -> None:
        if self._process is not None:
            with suppress(ProcessLookupError):
                self._process.kill()
            await self._process.wait()


class NotingShelf(LyingShelf):
    """Says of what it filled that the origin made it."""

    async def answer(self, seen: Seen) -> Said:
        said = await super().answer(seen)
        return said and (said[0].replace("remark=f", "remark=o"), said[1])


def dated(answer: Answer) -> float:
    """Of a copy: when the origin gave it out."""
    return float(answer.body[1:])


@dataclass
class Site:
    """Three control servers, the first of which has a clock to step, and two directors that follow all."""

    clock: SteppedClock
    servers: list[ControlServerProcess]
    cache: NotingShelf
    directors: list[Server] = field(default_factory=list)
    purges: int = 0

    @asynccontextmanager
    async def asking(self) -> AsyncIterator[list[Asker]]:
        """One client for each director, on connections that have not idled yet."""
        clients = [await Client.to("127.0.0.1", node.port) for node in self.directors]
        askers = [Asker(client) for client in clients]
        try:
            yield askers
            for asker in askers:
                asker.check_answers()
        finally:
            for client in clients:
                await client.close()

    async def step(self, by_ms: float) -> None:
        """Returns once the server has read the stepped clock, as it does to date what it tells."""
        self.clock.step(by_ms)
        await wait_until(lambda: self.clock.readings, START_S)

    async def check_purge(self, server: ControlServerProcess, when: str) -> None:
        """A copy from before it is served before, and by nobody once the purge is known there."""
        self.purges += 1
        thing, key = f"{self.purges:016x}", f"key-{self.purges}"
        self.cache.copies[thing, 3] = now_ms() - OLD_MS
        async with self.asking() as askers:
            answer = await askers[0].served(o=thing, chunk="3")
        assert dated(answer) < now_ms() - OLD_MS / 2.0, f"{when}: the copy was not from before"
        purged_ms = now_ms()
        accepted = await server.purge(f"object:{thing}", key)
        assert not accepted["again"]
        assert accepted["at_ms"] >= purged_ms - 1.0, f"{when}: dated before it was asked for"
        for node in self.directors:
            held = node.purges
            assert held is not None
            await wait_until(lambda held=held: len(held.active) >= self.purges, START_S)
        self.cache.copies[thing, 3] = purged_ms - OLD_MS  # another cache's fill that was under way
        async with self.asking() as askers:
            for node, asker in zip(self.directors, askers, strict=True):
                answers = []
                for _ in range(READS_AFTER):  # within less than the tick for which a held-up loop refuses
                    await wait_until(lambda node=node: not node.client_listener.rejects_requests(), START_S)
                    answers.append(await asker.ask(READS, o=thing, chunk="3"))
                served = [answer for answer in answers if answer.code == SERVED]
                assert all(dated(answer) >= purged_ms - 1.0 for answer in served), f"{when}: stale"
                assert (
                    len(served) >= (1.0 - BUSY_SHARE) * READS_AFTER
                ), f"{when}: {[answer.code for answer in answers]} {self._states()}"
        again = await server.purge(f"object:{thing}", key)
        assert again["again"] and again["seq"] == accepted["seq"], f"{when}: a repeat was purged anew"

    def _states(self) -> list[str]:
        """Whatever may make a director refuse."""
        return [
            f"{node.purges.cut_off.link} {node.purges.refetch_budget.causes} may send {node.audit.may_send(READS)}"
            for node in self.directors
            if node.purges is not None and node.audit is not None
        ]

    async def check_following(self, when: str) -> None:
        """Over a span in which each would have lost what it has."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + WATCHED_S
        while loop.time() < until_s:
            for node in self.directors:
                assert node.purges is not None and node.audit is not None
                assert node.purges.cut_off.link is not Link.CUT_OFF, when
                assert node.audit.may_send(READS), f"{when}: a director is shut out"
            held = self._leases()
            assert len(held) == len(set(held)), f"{when}: two owners of one: {held}"
            await asyncio.sleep(0.02)
        for server in self.servers:
            status = await server.status()
            assert not status["losses"] and not status["horizon_ms"], f"{when}: {status}"
            assert status["followers"] >= len(self.directors), f"{when}: {status}"
        await wait_until(lambda: len(self._leases()) == SHARDS, START_S)

    def _leases(self) -> list[str]:
        """That are held now, by whichever director."""
        clients = [node.lease_client for node in self.directors if node.lease_client is not None]
        resources = [shard_resource(shard) for shard in range(SHARDS)]
        return [resource for client in clients for resource in resources if client.is_held(resource)]


def operator(folder: Path, servers: list[ControlServerProcess]) -> Operator:
    feeds = [f"127.0.0.1:{server.port}" for server in servers]
    purges = {
        "feeds": feeds,
        "token_file": str(folder / "tokens"),
        "strict": [READS],
        "order_kinds": ["mid"],  # none is listed: owners need a kind, copies are not dropped by orders
        "delay_ms": 2000,
        "start_wait_ms": 3000,
    }
    fleet = {"alone": "out", "report_ms": 400, "enforce": True}
    owners = {"length_ms": LEASE_MS, "shards": SHARDS}
    return read_operator(json.dumps({"purges": purges, "fleet": fleet, "owners": owners}).encode())


@asynccontextmanager
async def site(folder: Path, stepped: int, shift_ms: float = 0.0) -> AsyncIterator[Site]:
    """`stepped`: how many of the servers are on the machine whose clock is stepped; it is off by `shift_ms`
    when they start."""
    (folder / "tokens").write_text(f"ops {TOKEN}\n")
    clock = SteppedClock(folder)
    clock.step(shift_ms)
    servers = [
        ControlServerProcess(folder, f"server-{number}", clock.environment if number < stepped else {})
        for number in range(SERVERS)
    ]
    for server in servers:
        server.peers = [other for other in servers if other is not server]
    origin = FakeCacheStore()
    cache = NotingShelf({"r0": origin})
    made = Site(clock, servers, cache)
    async with AsyncExitStack() as stack:
        for server in servers:
            stack.push_async_callback(server.end)
        await asyncio.gather(*(server.start(is_first=True) for server in servers))
        addresses = {
            name: await FakeServer(name, shelf.answer).listen(Family.V4)
            for name, shelf in {"c0": cache, "r0": origin}.items()
        }
        for number in range(2):
            raw = json.loads(config(addresses))
            raw["name"] = f"n{number}"
            raw["settings"] |= {"balancers": 2, "me": number}
            node = Server(read_config(json.dumps(raw).encode()), operator(folder, servers))
            stack.push_async_callback(node.close)
            await node.start()
            made.directors.append(node)
        yield made
    clock.close()


@pytest.mark.parametrize(
    ("by_ms", "stepped"), [(by_ms, SERVERS) for by_ms in STEPS_MS] + [(HOUR_MS, 1), (-HOUR_MS, 1)]
)
def test_a_step_of_control_servers_clocks_and_back_costs_no_purge_and_no_follower(
    tmp_path: Path, by_ms: float, stepped: int
) -> None:
    @async_test
    async def test() -> None:
        async with site(tmp_path, stepped) as made:
            first, last = made.servers[0], made.servers[-1]
            await made.check_purge(first, "before any step")
            for step_ms in (by_ms, -by_ms):
                when = f"after a step of {step_ms:.0f} ms"
                await made.step(step_ms)
                await made.check_purge(first, when)
                await made.check_purge(last, f"{when}, at another server")
                await made.check_following(when)
            assert not any("Traceback" in server.log() for server in made.servers)

    test()


@pytest.mark.parametrize("by_ms", [HOUR_MS, -HOUR_MS])
def test_a_control_server_that_starts_again_after_a_step_goes_on_where_it_was(
    tmp_path: Path, by_ms: float
) -> None:
    @async_test
    async def test() -> None:
        async with site(tmp_path, 1) as made:
            first, last = made.servers[0], made.servers[-1]
            await made.check_purge(first, "before any step")
            await made.step(by_ms)
            await made.check_purge(first, "while it runs")
            await first.end()
            await first.start()
            await made.check_purge(first, "started again with a wrong clock")
            await made.check_purge(last, "at another server")
            await made.step(-by_ms)
            await made.check_purge(first, "once it is set right")
            await made.check_following("once it is set right")
            assert not any("Traceback" in server.log() for server in made.servers)

    test()


def test_a_purge_of_a_server_that_is_ahead_as_its_directors_are_is_served_anew_and_never_stale(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Both are ahead of the origin: its new copies were refused until its clock reached theirs."""
    monkeypatch.setattr("gladelane.server.Clock", lambda: Clock(lambda: time.time() + HOUR_MS / 1000.0))

    @async_test
    async def test() -> None:
        async with site(tmp_path, SERVERS, HOUR_MS) as made:
            purged, thing = made.servers[0], f"{1:016x}"
            async with made.asking() as askers:
                for asker in askers:
                    made.cache.copies.clear()
                    for number in range(2 * REQUIRED_FRESH_COPIES):
                        await asker.served(o=f"{100 + number:016x}", chunk="3")
            made.cache.copies[thing, 3] = now_ms() - OLD_MS
            asked_ms = now_ms()
            await purged.purge(f"object:{thing}")
            for node in made.directors:
                held = node.purges
                assert held is not None
                await wait_until(lambda held=held: len(held.active) == 1, START_S)
            async with made.asking() as askers:
                for asker in askers:
                    made.cache.lies = True  # the date alone shows that its copy is from before
                    made.cache.copies[thing, 3] = asked_ms - OLD_MS
                    answer = await asker.ask(READS, o=thing, chunk="3")
                    assert answer.code != SERVED or dated(answer) >= asked_ms - 1.0, "stale"
                    made.cache.lies = False
                    assert dated(await asker.served(o=thing, chunk="3")) >= asked_ms - 1.0
            assert "outdated answer store=c0" in caplog.text

    test()
