"""Servers with several addresses, on real loopback sockets: each hard case, with the stand-ins' own books."""

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
from harness import Client, config, running, trial, until
from test_net_rules import REFUSED_ADDRESS, make_pool_event, outcomes, record_events, wait_for_port

from gladelane.discovery.events import WatchEvent
from gladelane.endpoints import connect as connect_module
from gladelane.endpoints.address import Family, parse
from gladelane.endpoints.connect import Connect
from gladelane.endpoints.dialer import Dialer
from gladelane.endpoints.health import DialEnd
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


async def listening(name: str, families: tuple[Family, ...]) -> tuple[FakeServer, list[str]]:
    standin = FakeServer(name)
    return standin, [await standin.listen(family) for family in families]


def fleet(addresses: dict[str, list[str]], **limits: Any) -> bytes:
    raw = json.loads(config({name: listed[0] for name, listed in addresses.items()}, **limits))
    for instance in raw["known"]["notices"][0]["pool"]["instances"]:
        instance["addresses"] = addresses[instance["instanceId"]]
    return json.dumps(raw).encode()


@asynccontextmanager
async def origin(
    families: tuple[Family, ...], host_port_is_last: bool = False, **limits: Any
) -> AsyncIterator[tuple[FakeServer, list[str], Server, Client]]:
    """A director with one origin at several addresses; `sheet` goes straight there. Its `hostPort` is the
    first of them, or the last, which is dialled last."""
    standin, listed = await listening("r0", families)
    record_events = listed[::-1] if host_port_is_last else listed
    try:
        async with running(fleet({"r0": record_events, "c0": [REFUSED_ADDRESS]}, **limits)) as (node, client):
            yield standin, listed, node, client
    finally:
        await standin.close()


def submit(client: Client, stream: int, wait: int = 2900) -> None:
    client.ask(stream, c="sheet", k=f"key{stream}", d=str(wait), body=b"answers")


@trial
async def test_a_submit_that_was_taken_and_stalled_is_sent_again_by_the_module_only_and_within_its_window() -> (
    None
):
    async with origin(V6_FIRST) as (standin, listed, node, client):
        await standin.set(listed[0], Fault.STALL)
        events = record_events(node.director)
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 0)
        assert [
            seen.address for seen in standin.seen
        ] == listed  # the further attempt goes where nothing stalled
        assert standin.seen[1].at - standin.seen[0].at < 2.0
        assert outcomes(events) == [(0, "r0", Status.TIMEOUT, False), (1, "r0", Status.OK, True)]
        submit(client, 2)
        assert (await client.next())[:3] == (17, 2, 0)
        assert standin.seen[2].address == listed[1] and max(standin.counts.values()) == 1


@trial
async def test_a_submit_that_stalled_reaches_no_other_address_when_the_module_may_not_send_again() -> None:
    async with origin(V6_FIRST, max_attempts=1) as (standin, listed, _, client):
        await standin.set(listed[0], Fault.STALL)
        submit(client, 1, 1500)
        assert (await client.next())[:2] == (17, 1)
        await asyncio.sleep(0.3)
        assert [seen.address for seen in standin.seen] == listed[:1]


@trial
async def test_a_black_hole_costs_the_first_dial_its_delay_and_later_ones_nothing() -> None:
    async with origin(V6_FIRST) as (standin, listed, node, client):
        await standin.set(listed[0], Fault.BLACK_HOLE)
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 0)
        assert node.endpoints.health.is_avoided("r0", parse(listed[0]))
        plan = node.endpoints.plan("r0", node.clock.now())
        assert [a.text for a in plan.addresses] == listed[::-1] and plan.address_to_check is None
        # once it is due, and heals, a trial beside an ordinary dial brings it back
        await standin.set(listed[0], Fault.NONE)
        node.endpoints.health.of("r0", parse(listed[0])).until_ms = 1.0  # type: ignore[union-attr]
        await standin.set(listed[1], Fault.NONE)  # drops what is connected
        await until(lambda: not node.upstream._pool)
        submit(client, 2)
        assert (await client.next())[:3] == (17, 2, 0)
        await until(lambda: not node.endpoints.health.is_avoided("r0", parse(listed[0])))
        assert standin.seen[1].address == listed[1] and node.upstream._extra == 0
        assert [a.text for a in node.endpoints.plan("r0", node.clock.now()).addresses] == listed


@trial
async def test_a_family_that_drops_everywhere_is_learnt_from_few_servers() -> None:
    standins = {f"c{n}": await listening(f"c{n}", V6_FIRST) for n in range(8)}
    for standin, listed in standins.values():
        await standin.set(listed[0], Fault.BLACK_HOLE)
    async with running(
        fleet({n: listed for n, (_, listed) in standins.items()} | {"r0": [REFUSED_ADDRESS]})
    ) as (
        node,
        client,
    ):
        paid = []
        for name in standins:
            connection = connection_module.Connection(node.upstream, name)
            led = node.endpoints.plan(name, node.clock.now()).addresses[0].family
            await until(lambda c=connection: c.writer is not None)  # type: ignore[misc]
            paid.append(led is Family.V6)
            connection.close()
        assert paid == [True] * 3 + [False] * 5
        assert node.endpoints.health.families[Family.V6].is_broken()
        client.writer.close()
    for standin, _ in standins.values():
        await standin.close()


#: fault, which addresses have it; the submit is served elsewhere, with so many arrivals at all
DIALS: list[tuple[Fault, Family]] = [
    (Fault.REFUSED, Family.UNIX), (Fault.MISSING, Family.UNIX), (Fault.NOT_A_SOCKET, Family.UNIX),
    (Fault.BLACK_HOLE, Family.UNIX), (Fault.REFUSED, Family.V6), (Fault.BLACK_HOLE, Family.V6),
]  # fmt: skip


@pytest.mark.parametrize("fault,family", DIALS, ids=[f"{d[1].value} {d[0].value}" for d in DIALS])
def test_a_dial_that_fails_costs_the_module_no_attempt(fault: Fault, family: Family) -> None:
    async def scene() -> None:
        async with origin(ALL[ALL.index(family) :]) as (standin, listed, node, client):
            events = record_events(node.director)
            await standin.set(listed[0], fault)
            submit(client, 1)
            assert (await client.next())[:3] == (17, 1, 0)
            assert [seen.address for seen in standin.seen] == listed[1:2]
            assert outcomes(events) == [(0, "r0", Status.OK, True)]

    asyncio.run(scene())


#: what a connection does once it is up: whoever takes bytes is asked once an attempt
CONNECTIONS = [
    Fault.RESET_ON_ACCEPT, Fault.CLOSED_ON_ACCEPT, Fault.LATE, Fault.CUT, Fault.CUT_SILENT, Fault.GARBLED,
    Fault.RESET_ON_REQUEST, Fault.STALL, Fault.FULL,
]  # fmt: skip


@pytest.mark.parametrize("fault", CONNECTIONS, ids=[fault.value for fault in CONNECTIONS])
def test_a_connection_that_fails_gets_one_final_answer_and_no_address_more_than_the_module_sent(
    fault: Fault,
) -> None:
    async def scene() -> None:
        async with origin(ALL) as (standin, listed, node, client):
            sent: Counter[str] = Counter()
            send = node.upstream.send

            def counted(attempt: Attempt) -> None:
                sent[attempt.exchange.ask.id] += 1
                send(attempt)

            node.upstream.send = counted  # type: ignore[method-assign]
            await standin.set(listed[0], fault)
            for stream in (1, 2, 3):
                submit(client, stream, 2500)
            answers = [await client.next() for _ in range(3)]
            assert sorted(answer[1] for answer in answers) == [1, 2, 3] and await client.silent()
            await until(lambda: not node.director.live)
            for stream in (1, 2, 3):
                assert standin.times(f"{stream:016x}") <= sent[f"{stream:016x}"]
            # late or full is no fault of an address; all else is passed over, and a further submit goes elsewhere
            blamed = fault not in (Fault.LATE, Fault.FULL)
            assert node.endpoints.health.is_avoided("r0", parse(listed[0])) is blamed
            assert fault is not Fault.LATE or [answer[2] for answer in answers] == [0, 0, 0]
            if blamed:
                await asyncio.sleep(0.6)  # the module leaves an origin that failed alone for a while
                submit(client, 4)
                assert (await client.next())[:3] == (17, 4, 0)
                assert standin.seen[-1].address != listed[0]

    asyncio.run(scene())


@trial
async def test_all_addresses_bad_at_once_end_before_the_dial_timeout_and_prove_that_nothing_ran() -> None:
    async with origin(ALL) as (standin, listed, node, client):
        events = record_events(node.director)
        for address in listed:
            await standin.set(address, Fault.REFUSED)
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 1)  # refused: a further try does no harm
        assert {status for _, store, status, _ in outcomes(events) if store == "r0"} == {
            Status.CONNECT_FAILED
        }
        assert not standin.seen and not node.upstream._sockets_in_use()


def dialer_of(endpoints: Endpoints, budget: Any, addresses: list[str], delay_ms: float) -> Dialer:
    parsed = tuple(map(parse, addresses))
    endpoints.update([Listing("r0", addresses[0], addresses=tuple(addresses))], complete=True)
    return Dialer("r0", Plan(parsed, delay_ms), endpoints, budget, 1000.0)


class ManualBudget:
    """A budget without a wheel: the test turns the time."""

    def __init__(self, spare: int = 9) -> None:
        self.now, self.free, self.held = 1000.0, spare, 0
        self.due: list[tuple[float, Any]] = []

    def clock(self) -> float:
        return self.now

    def at(self, due_ms: float, call: Any) -> Any:
        self.due.append((due_ms, call))
        return self

    def cancel(self) -> None:
        pass

    def spare_sockets(self) -> int:
        return self.free - self.held

    def hold(self, sockets: int) -> None:
        self.held += sockets


@trial
async def test_of_two_dials_that_come_up_in_one_tick_one_wins_and_the_other_is_closed_unwritten() -> None:
    standin, listed = await listening("r0", V6_FIRST)
    budget = ManualBudget()
    dialer = dialer_of(Endpoints(random.Random(1)), budget, listed, 0.0)
    dialer._wake()  # the second is dialled before the loop has looked at the first
    assert budget.held == 1
    won = await dialer.winner()
    assert not isinstance(won, DialEnd) and budget.held == 0
    dialer.written()
    await until(lambda: sum(standin.accepted(a) for a in listed) == 2)
    await until(lambda: sum(standin.open(a) for a in listed) == 1)
    assert standin.open(won[1].text) == 1 and not standin.seen
    won[0].close()
    await standin.close()


@trial
async def test_a_race_without_room_goes_on_one_address_at_a_time() -> None:
    standin, listed = await listening("r0", V6_FIRST)
    await standin.set(listed[0], Fault.BLACK_HOLE)
    budget = ManualBudget(spare=0)
    dialer = dialer_of(Endpoints(random.Random(1)), budget, listed, 100.0)
    for at in (1100.0, 1400.0):
        budget.now = at
        dialer._wake()
        assert dialer.machine.count_open() == 1 and not dialer._result.done()
    budget.now = 1500.0
    dialer._wake()
    won = await dialer.winner()
    assert not isinstance(won, DialEnd) and won[1].text == listed[1] and budget.held == 0
    won[0].close()
    await standin.close()


@trial
async def test_a_winner_that_dies_before_the_first_byte_is_replaced_once() -> None:
    for deaths, code, status in ((1, 0, Status.OK), (2, 1, Status.CONNECT_FAILED)):
        async with origin(ALL, max_attempts=1) as (standin, listed, node, client):
            for address in listed[:deaths]:
                await standin.set(address, Fault.RESET_ON_ACCEPT)
            opened = connection_module.open_stream

            async def slowly(sock: socket.socket, opened: Any = opened) -> Any:
                streams = await opened(sock)
                await asyncio.sleep(0.05)  # the reset arrives in here
                return streams

            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(connection_module, "open_stream", slowly)
                events = record_events(node.director)
                submit(client, 1)
                assert (await client.next())[:3] == (17, 1, code)
                assert [o[2] for o in outcomes(events)] == [status]
            assert [seen.address for seen in standin.seen] == (listed[1:2] if deaths == 1 else [])


BOARD = [("terminating", "drained"), ("terminated", "gone")]


@pytest.mark.parametrize("lifecycle", [word for word, _ in BOARD], ids=[name for _, name in BOARD])
def test_a_server_drained_or_gone_in_the_middle_of_a_race_ends_it_at_once(lifecycle: str) -> None:
    async def scene() -> None:
        async with origin(V6_FIRST) as (standin, listed, node, client):
            for address in listed:
                await standin.set(address, Fault.BLACK_HOLE)
            events = record_events(node.director)
            submit(client, 1)
            await until(
                lambda: [c.dialling for conns in node.upstream._pool.values() for c in conns if c.dialling]
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

    asyncio.run(scene())


def relisted(rev: int, host_port: str, addresses: list[str]) -> WatchEvent:
    """The origin again, with so many addresses beside its own."""
    instance = {"instanceId": "r0", "hostPort": host_port, "lifecycle": "in_service", "zone": "hub"}
    return make_pool_event(rev, {**instance, "machineType": "root", "addresses": addresses})


@trial
async def test_an_address_withdrawn_in_the_middle_of_a_race_gives_its_turn_to_the_next() -> None:
    async with origin(V6_FIRST, host_port_is_last=True, dial_timeout_ms=20_000.0) as (
        standin,
        listed,
        node,
        client,
    ):
        node.endpoints.options = Options(delay_first_ms=9_000.0, delay_most_ms=9_000.0)
        await standin.set(listed[0], Fault.BLACK_HOLE)
        submit(client, 1)
        await until(
            lambda: [c.dialling for conns in node.upstream._pool.values() for c in conns if c.dialling]
        )
        node.director.apply_watch_event(relisted(2, listed[1], []))
        assert (await client.next(1.0))[:3] == (17, 1, 0)
        assert standin.seen[0].address == listed[1]


@trial
async def test_a_removed_address_retires_its_connections_and_what_is_open_finishes() -> None:
    async with origin(ALL, host_port_is_last=True) as (standin, listed, node, client):
        standin.answer = lambda seen: None
        submit(client, 1)
        await until(lambda: standin.seen)
        node.director.apply_watch_event(relisted(2, listed[2], [listed[1]]))
        submit(client, 2)
        await until(lambda: len(standin.seen) == 2)
        assert [seen.address for seen in standin.seen] == listed[:2] and standin.open(listed[0]) == 1
        client.send(18, 1)
        await until(lambda: standin.open(listed[0]) == 0)


@trial
async def test_an_address_that_passes_to_another_server_takes_over_neither_connections_nor_health() -> None:
    async with origin(ALL, host_port_is_last=True) as (standin, listed, node, client):
        submit(client, 1)
        assert (await client.next())[:3] == (17, 1, 0)
        node.endpoints.health.stalled("r0", parse(listed[0]), node.clock.now())
        other = {"instanceId": "c1", "hostPort": listed[0], "lifecycle": "in_service", "startedAtMs": 5.0}
        node.director.apply_watch_event(make_pool_event(2, other))
        assert node.endpoints.registry.owner(parse(listed[0])) == "c1"
        assert not node.endpoints.health.is_avoided("c1", parse(listed[0]))
        await until(lambda: standin.open(listed[0]) == 0)
        submit(client, 2)
        assert (await client.next())[:3] == (17, 2, 0)
        assert standin.seen[-1].address == listed[1]


@trial
async def test_no_descriptor_left_blames_no_address() -> None:
    endpoints = Endpoints(random.Random(1))
    with pytest.MonkeyPatch.context() as patch:

        def full(*_: Any) -> Any:
            raise OSError(24, "Too many open files")

        patch.setattr(connect_module.socket, "socket", full)
        dialer = dialer_of(endpoints, ManualBudget(), ["[::1]:9", "127.0.0.1:9"], 10.0)
        assert await dialer.winner() is DialEnd.NO_SOCKET
    assert not endpoints.health.is_avoided("r0", parse("[::1]:9"))


@trial
async def test_what_cannot_be_dialled_is_unreachable_and_leaves_no_descriptor() -> None:
    before = len(os.listdir("/proc/self/fd"))
    for text in ("[fe80::1%nosuchzone]:80", "unix:/nowhere/at/all.sock", "unix:@nobody-listens-here"):
        heard: asyncio.Future[Any] = asyncio.get_running_loop().create_future()
        Connect(parse(text), lambda sock, end, heard=heard: heard.set_result((sock, end)))  # type: ignore[misc]
        sock, end = await heard
        assert sock is None and end in (DialEnd.UNREACHABLE, DialEnd.REFUSED)
    assert len(os.listdir("/proc/self/fd")) == before


@trial
async def test_a_stalled_address_is_tried_again_by_a_question_that_runs_nothing() -> None:
    async with origin(V6_FIRST) as (standin, listed, node, client):
        first = parse(listed[0])
        node.endpoints.health.stalled("r0", first, node.clock.now())
        for fault, back in ((Fault.STALL, False), (Fault.NONE, True)):
            await standin.set(listed[0], fault)
            node.endpoints.health.of("r0", first).until_ms = 1.0  # type: ignore[union-attr]
            await check_health("r0", first, node.endpoints, node.upstream, 200.0)
            assert node.endpoints.health.is_avoided("r0", first) is not back and standin.probed == 1 + back
        assert not standin.seen and node.upstream._sockets_in_use() == 0
        submit(client, 1)
        await client.next()
        assert standin.seen[0].address == listed[0]


def test_sighup_takes_a_new_operator_file_under_load_and_a_bad_one_changes_nothing(tmp_path: Path) -> None:
    async def scene() -> None:
        standin, (plain, unix) = await listening("r0", (Family.V4, Family.UNIX))
        file = tmp_path / "operator.json5"
        rule = f"{{endpoints: {{rules: [{{name: 'box', match: {{id: 'r*'}}, add: ['{unix}']}}]}}}}"
        file.write_text("{}")
        (tmp_path / "config.json").write_bytes(config({"r0": plain, "c0": REFUSED_ADDRESS}))
        env = {**os.environ, "GW_CONFIG": str(tmp_path / "config.json"), "GW_OPERATOR": str(file)}
        process = subprocess.Popen(
            [sys.executable, "-m", "gladelane"], cwd=ROOT, env=env, stderr=subprocess.PIPE, text=True
        )
        try:
            client = await Client.to(await wait_for_port(process))
            stream = 0

            async def burst(count: int) -> None:
                nonlocal stream
                for _ in range(count):
                    stream += 1
                    submit(client, stream)
                for _ in range(count):
                    assert (await client.next())[2] == 0

            await burst(8)
            for content, says in (
                ("{endpoints: {rule: []}}", "endpoints.rule: unknown key"),
                (rule, "reloaded discovery"),
            ):
                file.write_text(content)
                process.send_signal(signal.SIGHUP)
                assert process.stderr is not None
                while says not in await asyncio.to_thread(process.stderr.readline):
                    pass
                await burst(8)
                assert standin.open(unix) == 0  # an address more ends no connection
            await standin.set(plain, Fault.NONE)
            await asyncio.sleep(0.2)  # the director has read the resets of what was open
            await burst(4)
            assert standin.open(unix) > 0
            file.write_text("{}")
            process.send_signal(signal.SIGHUP)
            await until(lambda: standin.open(unix) == 0)
            await burst(4)
            assert standin.seen[-1].address == plain and max(standin.counts.values()) == 1
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, 20) == 0
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.communicate()
            await standin.close()

    asyncio.run(scene())
