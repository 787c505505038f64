"""Connects to servers with several addresses, on real loopback sockets. Fake servers count what they
receive."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from harness import Client, async_test, config, running_director, wait_until
from test_net_rules import REFUSED_ADDRESS, make_pool_event, outcomes, record_events, wait_for_port

from gladelane.discovery.events import WatchEvent
from gladelane.endpoints import connect as connect_module
from gladelane.endpoints.address import Family, parse
from gladelane.endpoints.connect import Connect
from gladelane.endpoints.dialer import Dialer
from gladelane.endpoints.health import DialFailure
from gladelane.endpoints.health_check import check_health
from gladelane.endpoints.plan import Endpoints, Options, Plan
from gladelane.endpoints.rules import Listing
from gladelane.lab.fake_server import FakeServer, Fault
from gladelane.net import cache_connection as connection_module
from gladelane.net.exchange import Attempt
from gladelane.routing.events import Status
from gladelane.server import Server

ROOT = Path(__file__).parents[2]
V6_FIRST = (Family.V6, Family.V4)
ALL = (Family.UNIX, Family.V6, Family.V4)  # in the order in which they are dialled


async def start_fake_server(name: str, families: tuple[Family, ...]) -> tuple[FakeServer, list[str]]:
    fake_server = FakeServer(name)
    return fake_server, [await fake_server.listen(family) for family in families]


def fleet_config(addresses: dict[str, list[str]], **limits: Any) -> bytes:
    raw = json.loads(config({name: listed[0] for name, listed in addresses.items()}, **limits))
    for instance in raw["known"]["notices"][0]["pool"]["instances"]:
        instance["addresses"] = addresses[instance["instanceId"]]
    return json.dumps(raw).encode()


@asynccontextmanager
async def origin(
    families: tuple[Family, ...], host_port_is_last: bool = False, **limits: Any
) -> AsyncIterator[tuple[FakeServer, list[str], Server, Client]]:
    """A director with one origin at several addresses. Requests of class `sheet` are sent directly to it. Its
    `hostPort` is the first address, or the last one, which is dialled last."""
    fake_server, listed = await start_fake_server("r0", families)
    addresses = listed[::-1] if host_port_is_last else listed
    try:
        async with running_director(fleet_config({"r0": addresses, "c0": [REFUSED_ADDRESS]}, **limits)) as (
            node,
            client,
        ):
            yield fake_server, listed, node, client
    finally:
        await fake_server.close()


def submit(client: Client, stream: int, deadline_ms: int = 2900) -> None:
    client.ask(stream, c="sheet", k=f"key{stream}", d=str(deadline_ms), body=b"answers")


@async_test
async def test_stalled_keyed_request_is_retried_at_an_address_without_a_stall() -> None:
    """A server that took a request may have executed it. So only the router may send it again, as a further
    attempt within the window of its key, and never the dialer."""
    async with origin(V6_FIRST) as (fake_server, listed, node, client):
        await fake_server.set(listed[0], Fault.STALL)
        events = record_events(node.director)
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 0)
        assert [seen.address for seen in fake_server.seen] == listed  # the retry avoids the stalled address
        assert fake_server.seen[1].at - fake_server.seen[0].at < 2.0
        assert outcomes(events) == [(0, "r0", Status.TIMEOUT, False), (1, "r0", Status.OK, True)]
        submit(client, 2)
        assert (await client.next())[:3] == (17, 2, 0)
        assert fake_server.seen[2].address == listed[1] and max(fake_server.counts.values()) == 1


@async_test
async def test_stalled_keyed_request_is_not_sent_again_when_no_further_attempt_is_allowed() -> None:
    """The dialer must not send a request to another address by itself after a server took it."""
    async with origin(V6_FIRST, max_attempts=1) as (fake_server, listed, _, client):
        await fake_server.set(listed[0], Fault.STALL)
        submit(client, 1, 1500)
        assert (await client.next())[:2] == (17, 1)
        await asyncio.sleep(0.3)
        assert [seen.address for seen in fake_server.seen] == listed[:1]


@async_test
async def test_unresponsive_address_delays_only_the_first_connect_until_it_recovers() -> None:
    """The first connect waits for the delay before it dials the second address. Later ones dial the second
    address first, until a health check shows that the first one works again."""
    async with origin(V6_FIRST) as (fake_server, listed, node, client):
        await fake_server.set(listed[0], Fault.BLACK_HOLE)
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 0)
        assert node.endpoints.health.is_avoided("r0", parse(listed[0]))
        plan = node.endpoints.plan("r0", node.clock.now())
        assert [a.text for a in plan.addresses] == listed[::-1] and plan.address_to_check is None
        # once a check is due and the address works again, a health check beside an ordinary dial recovers it
        await fake_server.set(listed[0], Fault.NONE)
        node.endpoints.health.get("r0", parse(listed[0])).avoided_until_ms = 1.0  # type: ignore[union-attr]
        await fake_server.set(listed[1], Fault.NONE)  # closes the open connections
        await wait_until(lambda: not node.upstream._pool)
        submit(client, 2)
        assert (await client.next())[:3] == (17, 2, 0)
        await wait_until(lambda: not node.endpoints.health.is_avoided("r0", parse(listed[0])))
        assert fake_server.seen[1].address == listed[1] and node.upstream._extra_sockets == 0
        assert [a.text for a in node.endpoints.plan("r0", node.clock.now()).addresses] == listed


@async_test
async def test_broken_family_is_detected_at_few_servers() -> None:
    """If IPv6 is broken at all servers, only connects to the first few of them may lose time on it."""
    fake_servers = {f"c{n}": await start_fake_server(f"c{n}", V6_FIRST) for n in range(8)}
    for fake_server, listed in fake_servers.values():
        await fake_server.set(listed[0], Fault.BLACK_HOLE)
    async with running_director(
        fleet_config({n: listed for n, (_, listed) in fake_servers.items()} | {"r0": [REFUSED_ADDRESS]})
    ) as (node, client):
        dialled_v6_first = []
        for name in fake_servers:
            connection = connection_module.Connection(node.upstream, name)
            first_family = node.endpoints.plan(name, node.clock.now()).addresses[0].family
            await wait_until(lambda c=connection: c.writer is not None)  # type: ignore[misc]
            dialled_v6_first.append(first_family is Family.V6)
            connection.close()
        assert dialled_v6_first == [True] * 3 + [False] * 5
        assert node.endpoints.health.families[Family.V6].is_broken()
        client.writer.close()
    for fake_server, _ in fake_servers.values():
        await fake_server.close()


#: A fault that prevents connects, and the family of the address that has it. The next address serves the
#: request.
DIAL_FAULTS: list[tuple[Fault, Family]] = [
    (Fault.REFUSED, Family.UNIX), (Fault.MISSING, Family.UNIX), (Fault.NOT_A_SOCKET, Family.UNIX),
    (Fault.BLACK_HOLE, Family.UNIX), (Fault.REFUSED, Family.V6), (Fault.BLACK_HOLE, Family.V6),
]  # fmt: skip


@pytest.mark.parametrize(
    "fault,family", DIAL_FAULTS, ids=[f"{case[1].value} {case[0].value}" for case in DIAL_FAULTS]
)
def test_failed_dial_does_not_count_as_an_attempt(fault: Fault, family: Family) -> None:
    """If the first address cannot be dialled, the next one serves the same attempt of the request."""

    async def run() -> None:
        async with origin(ALL[ALL.index(family) :]) as (fake_server, listed, node, client):
            events = record_events(node.director)
            await fake_server.set(listed[0], fault)
            submit(client, 1)
            assert (await client.next())[:3] == (17, 1, 0)
            assert [seen.address for seen in fake_server.seen] == listed[1:2]
            assert outcomes(events) == [(0, "r0", Status.OK, True)]

    asyncio.run(run())


#: Faults of established connections. A server that takes bytes gets a request at most once per attempt.
CONNECTION_FAULTS = [
    Fault.RESET_ON_ACCEPT, Fault.CLOSED_ON_ACCEPT, Fault.LATE, Fault.CUT, Fault.CUT_SILENT, Fault.GARBLED,
    Fault.RESET_ON_REQUEST, Fault.STALL, Fault.FULL,
]  # fmt: skip


@pytest.mark.parametrize("fault", CONNECTION_FAULTS, ids=[fault.value for fault in CONNECTION_FAULTS])
def test_failing_connection_gives_one_answer_and_no_transmission_beyond_the_attempts(
    fault: Fault,
) -> None:
    """Each request gets exactly one final answer, and no fake server receives a request more often than the
    router sent it."""

    async def run() -> None:
        async with origin(ALL) as (fake_server, listed, node, client):
            sent: Counter[str] = Counter()
            send = node.upstream.send

            def counting_send(attempt: Attempt) -> None:
                sent[attempt.exchange.ask.id] += 1
                send(attempt)

            node.upstream.send = counting_send  # type: ignore[method-assign]
            await fake_server.set(listed[0], fault)
            for stream in (1, 2, 3):
                submit(client, stream, 2500)
            answers = [await client.next() for _ in range(3)]
            assert sorted(answer[1] for answer in answers) == [1, 2, 3] and await client.receives_nothing()
            await wait_until(lambda: not node.director.live)
            for stream in (1, 2, 3):
                assert fake_server.times(f"{stream:016x}") <= sent[f"{stream:016x}"]
            # A late answer or a full server is not a fault of the address. After any other fault, later
            # requests use another address.
            is_address_fault = fault not in (Fault.LATE, Fault.FULL)
            assert node.endpoints.health.is_avoided("r0", parse(listed[0])) is is_address_fault
            assert fault is not Fault.LATE or [answer[2] for answer in answers] == [0, 0, 0]
            if is_address_fault:
                await asyncio.sleep(0.6)  # the router avoids an origin that failed for a while
                submit(client, 4)
                assert (await client.next())[:3] == (17, 4, 0)
                assert fake_server.seen[-1].address != listed[0]

    asyncio.run(run())


@async_test
async def test_refusal_by_all_addresses_fails_early_and_proves_that_nothing_ran() -> None:
    """The client gets an answer that allows a retry, before the timeout of the connect."""
    async with origin(ALL) as (fake_server, listed, node, client):
        events = record_events(node.director)
        for address in listed:
            await fake_server.set(address, Fault.REFUSED)
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 1)  # busy: the client may safely retry
        assert {status for _, store, status, _ in outcomes(events) if store == "r0"} == {
            Status.CONNECT_FAILED
        }
        assert not fake_server.seen and not node.upstream._sockets_in_use()


def make_dialer(endpoints: Endpoints, budget: Any, addresses: list[str], delay_ms: float) -> Dialer:
    parsed = tuple(map(parse, addresses))
    endpoints.update([Listing("r0", addresses[0], addresses=tuple(addresses))], complete=True)
    return Dialer("r0", Plan(parsed, delay_ms), endpoints, budget, 1000.0)


class ManualBudget:
    """A budget whose clock the test sets. Its timers never fire."""

    def __init__(self, spare: int = 9) -> None:
        self.now, self.socket_limit, self.held = 1000.0, spare, 0
        self.due: list[tuple[float, Any]] = []

    def clock(self) -> float:
        return self.now

    def at(self, due_ms: float, call: Any) -> Any:
        self.due.append((due_ms, call))
        return self

    def cancel(self) -> None:
        pass

    def spare_sockets(self) -> int:
        return self.socket_limit - self.held

    def hold(self, sockets: int) -> None:
        self.held += sockets


@async_test
async def test_of_two_dials_that_connect_at_once_one_wins_and_the_other_is_closed_unused() -> None:
    """Both sockets are writable in the same iteration of the event loop. Nothing may be sent on the second
    one."""
    fake_server, listed = await start_fake_server("r0", V6_FIRST)
    budget = ManualBudget()
    dialer = make_dialer(Endpoints(random.Random(1)), budget, listed, 0.0)
    dialer._wake()  # dials the second address before the event loop has handled the first
    assert budget.held == 1
    winner = await dialer.winner()
    assert not isinstance(winner, DialFailure) and budget.held == 0
    dialer.start_writing()
    await wait_until(lambda: sum(fake_server.accepted(a) for a in listed) == 2)
    await wait_until(lambda: sum(fake_server.open(a) for a in listed) == 1)
    assert fake_server.open(winner[1].text) == 1 and not fake_server.seen
    winner[0].close()
    await fake_server.close()


@async_test
async def test_connect_without_spare_sockets_dials_one_address_at_a_time() -> None:
    """Without a further socket, the next address is dialled only once the first dial has had its share of the
    timeout."""
    fake_server, listed = await start_fake_server("r0", V6_FIRST)
    await fake_server.set(listed[0], Fault.BLACK_HOLE)
    budget = ManualBudget(spare=0)
    dialer = make_dialer(Endpoints(random.Random(1)), budget, listed, 100.0)
    for at in (1100.0, 1400.0):
        budget.now = at
        dialer._wake()
        assert dialer.machine.count_open() == 1 and not dialer._result.done()
    budget.now = 1500.0
    dialer._wake()
    winner = await dialer.winner()
    assert not isinstance(winner, DialFailure) and winner[1].text == listed[1] and budget.held == 0
    winner[0].close()
    await fake_server.close()


@async_test
async def test_winner_closed_before_the_first_byte_is_replaced_once() -> None:
    """A server that resets connections after accepting them must not fail the request if another address
    works."""
    for faulty_count, code, status in ((1, 0, Status.OK), (2, 1, Status.CONNECT_FAILED)):
        async with origin(ALL, max_attempts=1) as (fake_server, listed, node, client):
            for address in listed[:faulty_count]:
                await fake_server.set(address, Fault.RESET_ON_ACCEPT)
            open_stream = connection_module.open_stream

            async def slow_open_stream(sock: socket.socket, open_stream: Any = open_stream) -> Any:
                streams = await open_stream(sock)
                await asyncio.sleep(0.05)  # the reset arrives during this time
                return streams

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(connection_module, "open_stream", slow_open_stream)
                events = record_events(node.director)
                submit(client, 1)
                assert (await client.next())[:3] == (17, 1, code)
                assert [outcome[2] for outcome in outcomes(events)] == [status]
            assert [seen.address for seen in fake_server.seen] == (listed[1:2] if faulty_count == 1 else [])


LIFECYCLES = [("terminating", "drained"), ("terminated", "gone")]


@pytest.mark.parametrize(
    "lifecycle", [lifecycle for lifecycle, _ in LIFECYCLES], ids=[name for _, name in LIFECYCLES]
)
def test_connect_ends_at_once_when_its_server_drains_or_is_removed(lifecycle: str) -> None:
    """The request is answered at once and does not wait for the timeout of the connect, and no socket is left
    open."""

    async def run() -> None:
        async with origin(V6_FIRST) as (fake_server, listed, node, client):
            for address in listed:
                await fake_server.set(address, Fault.BLACK_HOLE)
            events = record_events(node.director)
            submit(client, 1)
            await wait_until(
                lambda: [c.dialer for conns in node.upstream._pool.values() for c in conns if c.dialer]
            )
            leaving = {
                "instanceId": "r0",
                "hostPort": listed[0],
                "lifecycle": lifecycle,
                "zone": "hub",
                "machineType": "root",
            }
            node.director.apply_watch_event(make_pool_event(2, leaving))
            assert (await client.next(0.2))[:3] == (17, 1, 1)
            assert outcomes(events)[0][1:3] == ("r0", Status.MOOT) and not node.upstream._sockets_in_use()

    asyncio.run(run())


def relisted(rev: int, host_port: str, addresses: list[str]) -> WatchEvent:
    """An event that lists the origin with `addresses` as its further addresses."""
    instance = {"instanceId": "r0", "hostPort": host_port, "lifecycle": "in_service", "zone": "hub"}
    return make_pool_event(rev, {**instance, "machineType": "root", "addresses": addresses})


@async_test
async def test_next_address_is_dialled_when_the_dialled_one_is_removed() -> None:
    """The delay before the next address does not apply when the endpoint list removes the address that is
    being dialled."""
    async with origin(V6_FIRST, host_port_is_last=True, dial_timeout_ms=20_000.0) as (
        fake_server,
        listed,
        node,
        client,
    ):
        node.endpoints.options = Options(delay_first_ms=9_000.0, delay_most_ms=9_000.0)
        await fake_server.set(listed[0], Fault.BLACK_HOLE)
        submit(client, 1)
        await wait_until(
            lambda: [c.dialer for conns in node.upstream._pool.values() for c in conns if c.dialer]
        )
        node.director.apply_watch_event(relisted(2, listed[1], []))
        assert (await client.next(1.0))[:3] == (17, 1, 0)
        assert fake_server.seen[0].address == listed[1]


@async_test
async def test_connections_to_a_removed_address_close_once_their_requests_end() -> None:
    """New requests use another address, but a pending request keeps its connection until it ends."""
    async with origin(ALL, host_port_is_last=True) as (fake_server, listed, node, client):
        fake_server.answer = lambda seen: None
        submit(client, 1)
        await wait_until(lambda: fake_server.seen)
        node.director.apply_watch_event(relisted(2, listed[2], [listed[1]]))
        submit(client, 2)
        await wait_until(lambda: len(fake_server.seen) == 2)
        assert [seen.address for seen in fake_server.seen] == listed[:2] and fake_server.open(listed[0]) == 1
        client.send(18, 1)
        await wait_until(lambda: fake_server.open(listed[0]) == 0)


@async_test
async def test_new_owner_of_an_address_takes_over_neither_its_connections_nor_its_health() -> None:
    """Otherwise requests for the previous owner would reach the new one, and a stall of the previous one
    would count against it."""
    async with origin(ALL, host_port_is_last=True) as (fake_server, listed, node, client):
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 0)
        node.endpoints.health.record_stall("r0", parse(listed[0]), node.clock.now())
        other = {"instanceId": "c1", "hostPort": listed[0], "lifecycle": "in_service", "startedAtMs": 5.0}
        node.director.apply_watch_event(make_pool_event(2, other))
        assert node.endpoints.registry.owner(parse(listed[0])) == "c1"
        assert not node.endpoints.health.is_avoided("c1", parse(listed[0]))
        await wait_until(lambda: fake_server.open(listed[0]) == 0)
        submit(client, 2)
        assert (await client.next())[:3] == (17, 2, 0)
        assert fake_server.seen[-1].address == listed[1]


@async_test
async def test_lack_of_descriptors_does_not_count_against_an_address() -> None:
    """When this process has no descriptors left, that says nothing about the server."""
    endpoints = Endpoints(random.Random(1))
    with pytest.MonkeyPatch.context() as patch:

        def raise_emfile(*_: Any) -> Any:
            raise OSError(24, "Too many open files")

        patch.setattr(connect_module.socket, "socket", raise_emfile)
        dialer = make_dialer(endpoints, ManualBudget(), ["[::1]:9", "127.0.0.1:9"], 10.0)
        assert await dialer.winner() is DialFailure.NO_SOCKET
    assert not endpoints.health.is_avoided("r0", parse("[::1]:9"))


@async_test
async def test_unusable_addresses_fail_without_leaking_descriptors() -> None:
    before = len(os.listdir("/proc/self/fd"))
    for text in ("[fe80::1%nosuchzone]:80", "unix:/nowhere/at/all.sock", "unix:@nobody-listens-here"):
        result: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        Connect(parse(text), lambda sock, failure, result=result: result.set_result((sock, failure)))  # type: ignore[misc]
        sock, failure = await result
        assert sock is None and failure in (DialFailure.UNREACHABLE, DialFailure.REFUSED)
    assert len(os.listdir("/proc/self/fd")) == before


@async_test
async def test_stalled_address_is_checked_by_a_request_that_executes_nothing() -> None:
    """A stalled server still accepts connections, so a connect alone must not count as recovery."""
    async with origin(V6_FIRST) as (fake_server, listed, node, client):
        first = parse(listed[0])
        node.endpoints.health.record_stall("r0", first, node.clock.now())
        for fault, is_recovered in ((Fault.STALL, False), (Fault.NONE, True)):
            await fake_server.set(listed[0], fault)
            node.endpoints.health.get("r0", first).avoided_until_ms = 1.0  # type: ignore[union-attr]
            await check_health("r0", first, node.endpoints, node.upstream, 200.0)
            assert (
                node.endpoints.health.is_avoided("r0", first) is not is_recovered
                and fake_server.probed == 1 + is_recovered
            )
        assert not fake_server.seen and node.upstream._sockets_in_use() == 0
        submit(client, 1)
        await client.next()
        assert fake_server.seen[0].address == listed[0]


def test_sighup_applies_a_new_operator_file_under_load_and_ignores_an_invalid_one(tmp_path: Path) -> None:
    """A rule that adds an address takes effect without closing a connection, and its removal closes the
    connections to that address. No request fails or is sent twice."""

    async def run() -> None:
        fake_server, (tcp, unix) = await start_fake_server("r0", (Family.V4, Family.UNIX))
        file = tmp_path / "operator.json5"
        rule = f"{{endpoints: {{rules: [{{name: 'box', match: {{id: 'r*'}}, add: ['{unix}']}}]}}}}"
        file.write_text("{}")
        (tmp_path / "config.json").write_bytes(config({"r0": tcp, "c0": REFUSED_ADDRESS}))
        env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json"), "GW_OPERATOR": str(file)}
        process = subprocess.Popen(
            [sys.executable, "-m", "gladelane"], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )
        try:
            client = await Client.connect(await wait_for_port(process))
            stream = 0

            async def burst(count: int) -> None:
                nonlocal stream
                for _ in range(count):
                    stream += 1
                    submit(client, stream)
                for _ in range(count):
                    assert (await client.next())[2] == 0

            await burst(8)
            for content, log_text in (
                ("{endpoints: {rule: []}}", "endpoints.rule: unknown key"),
                (rule, "reloaded discovery"),
            ):
                file.write_text(content)
                process.send_signal(signal.SIGHUP)
                assert process.stderr is not None
                while log_text not in await asyncio.to_thread(process.stderr.readline):
                    pass
                await burst(8)
                assert fake_server.open(unix) == 0  # a further address closes no connection
            await fake_server.set(tcp, Fault.NONE)
            await asyncio.sleep(0.2)  # until the director has read the resets of its open connections
            await burst(4)
            assert fake_server.open(unix) > 0
            file.write_text("{}")
            process.send_signal(signal.SIGHUP)
            await wait_until(lambda: fake_server.open(unix) == 0)
            await burst(4)
            assert fake_server.seen[-1].address == tcp and max(fake_server.counts.values()) == 1
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, 20) == 0
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.communicate()
            await fake_server.close()

    asyncio.run(run())
