"""Control server processes whose wall clock is stepped while directors follow them.

Purges must still be accepted, distributed and applied, no stale copy may be served, and no server may lose a
follower or its tenure, and no director a lease.
"""

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
from test_clock_steps import HOUR_MS, OLD_COPY_AGE_MS, READ_CLASS, SERVED, CheckedClient, StaleCacheStore

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
OBSERVED_S = 2.5  # longer than a lease, a tenure, and how long a director may serve without a report
READS_AFTER_PURGE = 20
MAX_REFUSED_SHARE = 0.2  # of the reads: a busy test machine may cause refusals


class ControlServerProcess:
    """A `gladelane purge serve` process with audit and leases. It can be started again on the same folder."""

    def __init__(self, folder: Path, name: str, environment: dict[str, str]) -> None:
        self.name, self.port = name, free_port()
        self.peers: list[ControlServerProcess] = []
        self._folder, self._environment = folder, environment
        self._process: asyncio.subprocess.Process | None = None

    async def start(self, is_first: bool = False) -> None:
        """Starts the process and waits until it answers."""
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
        arguments = [argument for option in options.items() for argument in option]
        arguments += [argument for peer in self.peers for argument in ("--peer", f"127.0.0.1:{peer.port}")]
        arguments += ["--first"] if is_first else []
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-c",
                SERVE,
                "purge",
                "serve",
                *arguments,
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
        """Requests a purge. Returns the reply, which is sent once all servers have stored the purge."""
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


class OriginReportingCacheStore(StaleCacheStore):
    """Reports that copies which it fetched were generated by the origin, not held by the parent."""

    async def answer(self, request: Seen) -> Said:
        response = await super().answer(request)
        return response and (response[0].replace("remark=f", "remark=o"), response[1])


def copy_date_ms(answer: Answer) -> float:
    """When the origin sent out the copy in the answer, from its body."""
    return float(answer.body[1:])


@dataclass
class ControlServersAndDirectors:
    """Three control servers, of which at least the first has a clock that can be stepped, and two directors that
    follow all of them."""

    clock: SteppedClock
    servers: list[ControlServerProcess]
    cache: OriginReportingCacheStore
    directors: list[Server] = field(default_factory=list)
    purges: int = 0

    @asynccontextmanager
    async def connect_clients(self) -> AsyncIterator[list[CheckedClient]]:
        """Connects one client to each director; new connections cannot have been closed as idle."""
        connections = [await Client.to("127.0.0.1", node.port) for node in self.directors]
        clients = [CheckedClient(connection) for connection in connections]
        try:
            yield clients
            for client in clients:
                client.check_answers()
        finally:
            for connection in connections:
                await connection.close()

    async def step(self, by_ms: float) -> None:
        """Steps the clock and waits until a server has read it, which it does to date its messages."""
        self.clock.step(by_ms)
        await wait_until(lambda: self.clock.readings, START_S)

    async def check_purge(self, server: ControlServerProcess, phase: str) -> None:
        """Asserts that an old copy is served before a purge, and by no director that knows of the purge."""
        self.purges += 1
        object_id, key = f"{self.purges:016x}", f"key-{self.purges}"
        self.cache.copies[object_id, 3] = now_ms() - OLD_COPY_AGE_MS
        async with self.connect_clients() as clients:
            answer = await clients[0].read_until_served(o=object_id, chunk="3")
        assert (
            copy_date_ms(answer) < now_ms() - OLD_COPY_AGE_MS / 2.0
        ), f"{phase}: the copy was not older than the purge"
        purged_ms = now_ms()
        accepted = await server.purge(f"object:{object_id}", key)
        assert not accepted["again"]
        assert accepted["at_ms"] >= purged_ms - 1.0, f"{phase}: dated before it was requested"
        for node in self.directors:
            purges = node.purges
            assert purges is not None
            await wait_until(lambda purges=purges: len(purges.active) >= self.purges, START_S)
        # as if another cache's fill, started before the purge, had just ended
        self.cache.copies[object_id, 3] = purged_ms - OLD_COPY_AGE_MS
        async with self.connect_clients() as clients:
            for node, client in zip(self.directors, clients, strict=True):
                answers = []
                # Each read is sent as soon as the director stops refusing requests because its event loop lags,
                # and arrives before the next timer tick can make it refuse again.
                for _ in range(READS_AFTER_PURGE):
                    await wait_until(lambda node=node: not node.client_listener.rejects_requests(), START_S)
                    answers.append(await client.ask(READ_CLASS, o=object_id, chunk="3"))
                served = [answer for answer in answers if answer.code == SERVED]
                assert all(copy_date_ms(answer) >= purged_ms - 1.0 for answer in served), f"{phase}: stale"
                assert (
                    len(served) >= (1.0 - MAX_REFUSED_SHARE) * READS_AFTER_PURGE
                ), f"{phase}: {[answer.code for answer in answers]} {self._states()}"
        repeated = await server.purge(f"object:{object_id}", key)
        assert (
            repeated["again"] and repeated["seq"] == accepted["seq"]
        ), f"{phase}: a repeated request was stored as a new purge"

    def _states(self) -> list[str]:
        """The state of each director that may cause refusals."""
        return [
            f"{node.purges.cut_off.link} {node.purges.refetch_budget.causes} may send {node.audit.may_send(READ_CLASS)}"
            for node in self.directors
            if node.purges is not None and node.audit is not None
        ]

    async def check_following(self, phase: str) -> None:
        """Asserts for OBSERVED_S that no director is cut off or loses a lease, and no server loses a follower."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + OBSERVED_S
        while loop.time() < end_s:
            for node in self.directors:
                assert node.purges is not None and node.audit is not None
                assert node.purges.cut_off.link is not Link.CUT_OFF, phase
                assert node.audit.may_send(READ_CLASS), f"{phase}: the audit stops a director"
            held = self._leases()
            assert len(held) == len(set(held)), f"{phase}: a lease has two owners: {held}"
            await asyncio.sleep(0.02)
        for server in self.servers:
            status = await server.status()
            assert not status["losses"] and not status["horizon_ms"], f"{phase}: {status}"
            assert status["followers"] >= len(self.directors), f"{phase}: {status}"
        await wait_until(lambda: len(self._leases()) == SHARDS, START_S)

    def _leases(self) -> list[str]:
        """The leases that are held now, by any director."""
        lease_clients = [node.lease_client for node in self.directors if node.lease_client is not None]
        resources = [shard_resource(shard) for shard in range(SHARDS)]
        return [
            resource
            for lease_client in lease_clients
            for resource in resources
            if lease_client.is_held(resource)
        ]


def operator_settings(folder: Path, servers: list[ControlServerProcess]) -> Operator:
    feeds = [f"127.0.0.1:{server.port}" for server in servers]
    purges = {
        "feeds": feeds,
        "token_file": str(folder / "tokens"),
        "strict": [READ_CLASS],
        "order_kinds": ["mid"],  # required by owners; no such store is listed, so no drop orders are sent
        "delay_ms": 2000,
        "start_wait_ms": 3000,
    }
    fleet = {"alone": "out", "report_ms": 400, "enforce": True}
    owners = {"length_ms": LEASE_MS, "shards": SHARDS}
    return read_operator(json.dumps({"purges": purges, "fleet": fleet, "owners": owners}).encode())


@asynccontextmanager
async def run_site(
    folder: Path, stepped_servers: int, shift_ms: float = 0.0
) -> AsyncIterator[ControlServersAndDirectors]:
    """Starts all servers and directors. `stepped_servers`: how many servers run with the stepped clock, which is
    wrong by `shift_ms` when they start."""
    (folder / "tokens").write_text(f"ops {TOKEN}\n")
    clock = SteppedClock(folder)
    clock.step(shift_ms)
    servers = [
        ControlServerProcess(
            folder, f"server-{number}", clock.environment if number < stepped_servers else {}
        )
        for number in range(SERVERS)
    ]
    for server in servers:
        server.peers = [other for other in servers if other is not server]
    origin = FakeCacheStore()
    cache = OriginReportingCacheStore({"r0": origin})
    site = ControlServersAndDirectors(clock, servers, cache)
    async with AsyncExitStack() as stack:
        for server in servers:
            stack.push_async_callback(server.end)
        await asyncio.gather(*(server.start(is_first=True) for server in servers))
        addresses = {
            name: await FakeServer(name, cache_store.answer).listen(Family.V4)
            for name, cache_store in {"c0": cache, "r0": origin}.items()
        }
        for number in range(2):
            raw = json.loads(config(addresses))
            raw["name"] = f"n{number}"
            raw["settings"] |= {"balancers": 2, "me": number}
            node = Server(read_config(json.dumps(raw).encode()), operator_settings(folder, servers))
            stack.push_async_callback(node.close)
            await node.start()
            site.directors.append(node)
        yield site
    clock.close()


@pytest.mark.parametrize(
    ("by_ms", "stepped_servers"), [(by_ms, SERVERS) for by_ms in STEPS_MS] + [(HOUR_MS, 1), (-HOUR_MS, 1)]
)
def test_a_clock_step_of_control_servers_and_back_loses_no_purge_and_no_follower(
    tmp_path: Path, by_ms: float, stepped_servers: int
) -> None:
    @async_test
    async def scenario() -> None:
        async with run_site(tmp_path, stepped_servers) as site:
            first, last = site.servers[0], site.servers[-1]
            await site.check_purge(first, "before any step")
            for step_ms in (by_ms, -by_ms):
                phase = f"after a step of {step_ms:.0f} ms"
                await site.step(step_ms)
                await site.check_purge(first, phase)
                await site.check_purge(last, f"{phase}, at another server")
                await site.check_following(phase)
            assert not any("Traceback" in server.log() for server in site.servers)

    scenario()


@pytest.mark.parametrize("by_ms", [HOUR_MS, -HOUR_MS])
def test_a_control_server_restarted_after_a_clock_step_continues_where_it_stopped(
    tmp_path: Path, by_ms: float
) -> None:
    @async_test
    async def scenario() -> None:
        async with run_site(tmp_path, 1) as site:
            first, last = site.servers[0], site.servers[-1]
            await site.check_purge(first, "before any step")
            await site.step(by_ms)
            await site.check_purge(first, "while it runs")
            await first.end()
            await first.start()
            await site.check_purge(first, "restarted with a wrong clock")
            await site.check_purge(last, "at another server")
            await site.step(-by_ms)
            await site.check_purge(first, "after the clock is corrected")
            await site.check_following("after the clock is corrected")
            assert not any("Traceback" in server.log() for server in site.servers)

    scenario()


def test_a_purged_object_is_refetched_when_servers_and_directors_are_ahead_of_the_origin(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """The clocks of servers and directors are ahead of the origin's. Its new copies used to be rejected until its
    clock reached theirs."""
    monkeypatch.setattr("gladelane.server.Clock", lambda: Clock(lambda: time.time() + HOUR_MS / 1000.0))

    @async_test
    async def scenario() -> None:
        async with run_site(tmp_path, SERVERS, HOUR_MS) as site:
            purging_server, object_id = site.servers[0], f"{1:016x}"
            async with site.connect_clients() as clients:
                for client in clients:
                    site.cache.copies.clear()
                    for number in range(2 * REQUIRED_FRESH_COPIES):
                        await client.read_until_served(o=f"{100 + number:016x}", chunk="3")
            site.cache.copies[object_id, 3] = now_ms() - OLD_COPY_AGE_MS
            purged_ms = now_ms()
            await purging_server.purge(f"object:{object_id}")
            for node in site.directors:
                purges = node.purges
                assert purges is not None
                await wait_until(lambda purges=purges: len(purges.active) == 1, START_S)
            async with site.connect_clients() as clients:
                for client in clients:
                    # only the date shows the director that the copy is older than the purge
                    site.cache.serves_any_copy = True
                    site.cache.copies[object_id, 3] = purged_ms - OLD_COPY_AGE_MS
                    answer = await client.ask(READ_CLASS, o=object_id, chunk="3")
                    assert answer.code != SERVED or copy_date_ms(answer) >= purged_ms - 1.0, "stale"
                    site.cache.serves_any_copy = False
                    assert (
                        copy_date_ms(await client.read_until_served(o=object_id, chunk="3"))
                        >= purged_ms - 1.0
                    )
            assert "outdated answer store=c0" in caplog.text

    scenario()
