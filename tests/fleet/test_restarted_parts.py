"""All long-lived tasks of control servers and of a director with every optional part: each is ended by an exception, at its
start and in service, and what it is for must hold again shortly after."""

from __future__ import annotations

import asyncio
import json
import re
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from random import Random

import pytest
from harness import REFUSED_ADDRESS, config, wait_until

from gladelane.cli.purge_server import (
    AuditOptions,
    LeaseServerOptions,
    PurgeServerOptions,
    TlsFiles,
    open_audit,
    open_leases,
    open_purge_log,
)
from gladelane.control_plane.http import fetch
from gladelane.control_plane.server import ControlServer
from gladelane.lab.fleet.ports import release_port, reserve_port
from gladelane.net.config import read_config
from gladelane.purges.control_part import PurgePart
from gladelane.server import Server
from gladelane.settings.operator import read_operator
from gladelane.supervision import Supervisor

TOKEN = "a-token-of-enough-length"
RESTORED_S = 4.0  # the longest backoff, and the time that a part needs for its work
PORT = re.compile(r":\d+")
#: Tasks that end once their work is done.
FINITE_TASKS = {"settling losses", "settling clocks", "lease tokens of peers"}
TASKS = FINITE_TASKS | {
    "audit lease",
    "audit peers",
    "audit replication to 127.0.0.1",
    "audit reports",
    "discovery",
    "learned state",
    "leases",
    "link to purge servers",
    "purge maintenance",
    "purge orders",
    "purges from 127.0.0.1",
    "recovery phases",
    "storing purges",
    "storing received purges",
    "storing reports",
    "timers",
}


class PlantedErrors:
    """Ends supervised tasks by an exception at whatever they wait for."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.supervisors: set[Supervisor] = set()
        self.runs: dict[str, int] = {}
        self._events: dict[str, list[asyncio.Event]] = {}
        start = Supervisor.start

        def start_with_error(
            supervisor: Supervisor, name: str, run: Callable[[], Awaitable[None]], may_end: bool = False
        ) -> asyncio.Task[None]:
            self.supervisors.add(supervisor)
            event = asyncio.Event()
            event.set()  # at the start of the task as well
            kind = PORT.sub("", name)
            self._events.setdefault(kind, []).append(event)
            return start(supervisor, name, lambda: self._run(kind, run, event), may_end)

        patch.setattr(Supervisor, "start", start_with_error)

    @property
    def failures(self) -> int:
        return sum(supervisor.failures for supervisor in self.supervisors)

    def plant(self, kind: str) -> int:
        """Ends all tasks of a kind; returns their number."""
        for event in self._events[kind]:
            event.set()
        return len(self._events[kind])

    async def _run(self, kind: str, run: Callable[[], Awaitable[None]], event: asyncio.Event) -> None:
        self.runs[kind] = self.runs.get(kind, 0) + 1
        work, error = asyncio.ensure_future(run()), asyncio.ensure_future(event.wait())
        try:
            await asyncio.wait([work, error], return_when=asyncio.FIRST_COMPLETED)
            if event.is_set():
                event.clear()
                raise RuntimeError("planted")
            await work
        finally:
            work.cancel()
            error.cancel()
            with suppress(asyncio.CancelledError):
                await work


class OrderedCache:
    """A cache that accepts orders to drop copies and nothing else."""

    def __init__(self) -> None:
        self.orders: list[bytes] = []

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        _, tag, length = (await reader.readline()).decode().split()
        self.orders.append(await reader.readexactly(int(length) + 2))
        writer.write(f"{tag} dropped 1\r\n".encode())
        writer.close()


def server_options(folder: Path, number: int, ports: list[int]) -> PurgeServerOptions:
    base = folder / f"server{number}"
    return PurgeServerOptions(
        name=f"server{number}", folder=base / "purges", tokens=folder / "tokens",
        listen=("127.0.0.1", ports[number]), peers=tuple(("127.0.0.1", port) for port in ports if port != ports[number]),
        catalog={}, copies=1, is_first=True, checkpoint=base / "checkpoint", retention_ms=600_000.0, tls=TlsFiles(),
        audit=AuditOptions(base / "audit", 3_000.0, 8_000.0, 0.25), leases=LeaseServerOptions(base / "leases", 1_000.0),
    )  # fmt: skip


@asynccontextmanager
async def running_control_server(options: PurgeServerOptions) -> AsyncIterator[None]:
    assert options.audit is not None and options.leases is not None
    purge_log = open_purge_log(options)
    parts = [
        PurgePart(purge_log),
        open_audit(options, options.audit, purge_log),
        open_leases(options, options.leases, purge_log),
    ]
    for address in options.peers:
        purge_log.subscribe_to_peer(*address)
    server = ControlServer(purge_log.tokens, parts)
    await server.start(*options.listen)
    try:
        yield
    finally:
        await server.close()


@asynccontextmanager
async def running_fleet(folder: Path, cache: str) -> AsyncIterator[tuple[Server, list[int]]]:
    """Three control servers with all parts, and a director with all parts."""
    (folder / "tokens").write_text(f"ops {TOKEN}\n")
    ports = [reserve_port(Random()) for _ in range(3)]
    operator = {
        "purges": {"feeds": [f"127.0.0.1:{port}" for port in ports], "token_file": str(folder / "tokens"),
                   "dir": str(folder / "director" / "purges"), "strict": ["film"], "order_kinds": ["box"]},
        "recovery": {"dir": str(folder / "director" / "recovery"), "every_s": 1},
        "fleet": {"dir": str(folder / "director" / "fleet")},
        "owners": {"length_ms": 1000, "shards": 2},
    }  # fmt: skip
    servers = [running_control_server(server_options(folder, number, ports)) for number in range(3)]
    async with servers[0], servers[1], servers[2]:
        raw = config({"c0": cache, "r0": REFUSED_ADDRESS})
        node = Server(read_config(raw), read_operator(json.dumps(operator).encode()))
        await node.start()
        try:
            yield node, ports
        finally:
            await node.close()
    for port in ports:
        release_port(port)


async def check_promises(node: Server, ports: list[int], cache: OrderedCache, number: int) -> None:
    """Checks that every part does its work: purges are accepted, received, stored and ordered, and leases and reports are
    answered."""
    assert node.purges is not None and node.audit is not None and node.lease_client is not None
    purges, audit, recovery = node.purges, node.audit, node.recovery
    assert recovery is not None and recovery.state_store is not None
    log = recovery.state_store._log
    written = log.next_index
    headers = {"Idempotency-Key": f"key{number}"}
    body = json.dumps({"scope": f"object:{number:016x}"}).encode()
    known, ordered, reported = len(purges.active), len(cache.orders), audit._recorder.log.stored
    await fetch("127.0.0.1", ports[number % 3], "POST", "/purges", TOKEN, body, headers)
    await wait_until(lambda: len(purges.active) > known, RESTORED_S)
    await wait_until(lambda: purges.store.pending.is_empty() and purges.follows, RESTORED_S)
    await wait_until(lambda: len(cache.orders) > ordered, RESTORED_S)
    await wait_until(lambda: audit.retry_after_ms("film") == 0.0, RESTORED_S)
    await wait_until(lambda: audit._recorder.log.stored > reported, RESTORED_S)
    await wait_until(lambda: log.next_index > written, RESTORED_S)
    await wait_until(lambda: recovery.phases.phase.name != "STARTING", RESTORED_S)


def test_every_part_does_its_work_after_each_of_its_tasks_was_ended_by_an_exception(tmp_path: Path) -> None:
    async def scenario(patch: pytest.MonkeyPatch) -> None:
        errors, cache = PlantedErrors(patch), OrderedCache()
        async with running_fleet(tmp_path, await cache.start()) as (node, ports):
            await check_promises(node, ports, cache, 1)
            assert set(errors.runs) == TASKS
            assert all(runs > 1 for runs in errors.runs.values())
            for number, kind in enumerate(sorted(TASKS - FINITE_TASKS), start=2):
                failures, runs = errors.failures, errors.runs[kind]
                planted = errors.plant(kind)
                await check_promises(node, ports, cache, number)
                assert errors.failures - failures == errors.runs[kind] - runs == planted

    with pytest.MonkeyPatch.context() as patch:
        asyncio.run(scenario(patch))
