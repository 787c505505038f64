"""Directors that subscribe to purge log servers: limits on responses, readiness, being cut off, and restarts."""

from __future__ import annotations

import asyncio
import json
import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import pytest
from harness import Client, Command, ScriptedCache, async_test, config, wait_until
from test_net_rules import REFUSED_ADDRESS, make_flush, outcomes, record_events
from test_purge_log import running_server, send, tokens

from gladelane.discovery.events import WatchEvent
from gladelane.lab.simdisk import Lost, SimDisk
from gladelane.net.config import ConfigError, read_config
from gladelane.purges.cutoff import RETURN_PERIOD_MS, CutOff, Link
from gladelane.purges.index import Index
from gladelane.purges.low_watermark import Loss
from gladelane.purges.subscription import PurgeSubscription
from gladelane.purges.wire import Event
from gladelane.routing.events import Status
from gladelane.server import Server
from gladelane.settings.operator import Operator, OperatorFileError, read_operator


def operator(tmp: Path, *ports: int, **more: Any) -> Operator:
    tokens(tmp)
    feeds = [f"127.0.0.1:{port}" for port in ports]
    text = {
        "feeds": feeds,
        "token_file": str(tmp / "tokens"),
        "strict": ["film"],
        "delay_ms": 2000,
        "start_wait_ms": 300,
        **more,
    }
    return read_operator(json.dumps({"purges": text}).encode())


def serve_fresh_copy(command: Command) -> tuple[str, bytes]:
    return f"served digest=aa,dated={int(time.time() * 1000)},remark=h", b"\x00bytes"


def serve_old_copy(command: Command) -> tuple[str, bytes]:
    return f"served digest=aa,dated={int(time.time() * 1000) - 2100},remark=h", b"\x00bytes"


@asynccontextmanager
async def director(cache: str, op: Operator) -> AsyncIterator[tuple[Server, Client]]:
    node = Server(read_config(config({"c0": cache, "r0": REFUSED_ADDRESS})), op)
    client = await Client.connect(await node.start())
    try:
        yield node, client
    finally:
        client.writer.close()
        await node.close()


def test_a_director_is_ready_once_caught_up_and_applies_new_purges_within_a_second(tmp_path: Path) -> None:
    async def scenario() -> None:
        cache = ScriptedCache(serve_fresh_copy)
        address = await cache.start()
        async with running_server(tmp_path) as purge_server:
            await send(purge_server.port, "objects:7f* & class:film")
            async with director(address, operator(tmp_path, purge_server.port)) as (node, client):
                client.ask(1)  # covered by a purge from before the start
                await client.next()
                client.ask(2, o="1111111111111111", tag="9")
                await client.next()
                started = time.time()
                await send(purge_server.port, "group:9 & parts:0-7")
                await wait_until(
                    lambda: node.director.router.purges.newest_purge_ms("film", 9, 5, 3, node.clock.now())
                    > 0.0
                )
                assert time.time() - started < 1.0
                client.ask(3, o="1111111111111111", tag="9")
                await client.next()
                client.ask(4, o="1111111111111111", tag="9", chunk="8")
                await client.next()
                ages = [int(request[1].get("accept", 0)) for request in cache.received]
                assert 0 < ages[0] < 60_000 and 0 < ages[2] < 2_000
                assert ages[1] == ages[3] == 604_800_000  # nothing older than the retention is accepted
                assert node.purges is not None and node.purges.cut_off.link is Link.FOLLOWS

    asyncio.run(scenario())


@async_test
async def test_a_response_from_a_copy_older_than_a_known_purge_is_not_forwarded() -> None:
    copy_date_ms = [0.0]

    def serve_dated_copy(command: Command) -> tuple[str, bytes]:
        return f"served digest=aa,dated={int(copy_date_ms[0])},remark=h", b"\x00bytes"

    cache = ScriptedCache(serve_dated_copy)
    node = Server(read_config(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})))
    client = await Client.connect(await node.start())
    events = record_events(node.director)
    now = node.clock.now()
    node.director.apply_watch_event(
        WatchEvent(2, flush=make_flush(asset="7f3a9c21e0b4d655", ms=now - 1000.0))
    )
    for stream, age, served in ((1, 900.0, True), (2, 1004.0, True), (3, 1200.0, False)):
        copy_date_ms[0] = now - age
        client.ask(stream, d="3000" if served else "400")
        assert ((await client.next())[2] == 0) is served
    assert Status.ERROR in {status for _, _, status, _ in outcomes(events)}
    client.writer.close()
    await node.close()


def test_cut_off_from_all_servers_strict_classes_use_young_copies_within_a_limit(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        cache = ScriptedCache(serve_fresh_copy)
        address = await cache.start()
        op = operator(tmp_path, 1, cut_off_per_s=4)
        async with director(address, op) as (node, client):
            codes = []
            for stream in range(1, 9):
                client.ask(stream, o=f"{stream:016x}")
                codes.append((await client.next())[2])
            served = codes.index(0) + 1
            # the budget holds at most half a second's tokens
            assert 1 <= codes.count(0) <= 3 and codes.count(0) + codes.count(1) == 8
            client.ask(10, o=f"{served:016x}")  # a part that was refetched costs no token
            assert (await client.next())[2] == 0
            assert all(int(request[1]["accept"]) <= 2000 for request in cache.received)
            # a copy older than the delay, as from joining an older fill, is not forwarded
            cache.script = serve_old_copy
            await asyncio.sleep(0.6)
            request_count = len(cache.received)
            client.ask(9, o=f"{99:016x}", d="300")
            assert (await client.next())[2] != 0 and len(cache.received) > request_count
            cache.script = serve_fresh_copy
            client.ask(20, c="sheet", k="5c")  # not a strict class, so not limited
            await client.next()
            assert (
                node.director.router.pending == {}
                and node.purges is not None
                and node.purges.refetch_budget.rejected >= 5
            )

    asyncio.run(scenario())


def test_a_link_is_cut_off_after_the_delay_and_then_returning_for_a_period() -> None:
    messages: list[Any] = []
    link = CutOff(2000.0, frozenset({"film"}), lambda *message: messages.append(message[0].split()[0]))
    link.update(100.0, 100.0)
    assert link.link is Link.FOLLOWS and link.max_copy_age_ms("film") == 0.0  # a start is not a return
    link.update(100.0, 2100.0)
    assert link.link is Link.FOLLOWS
    link.update(100.0, 2101.0)
    assert (
        link.link is Link.CUT_OFF
        and link.max_copy_age_ms("film") == 2000.0
        and link.max_copy_age_ms("page") == 0.0
    )
    link.update(5000.0, 5000.0)
    assert link.link is Link.RETURNING and link.max_copy_age_ms("film") == 0.0  # all purges are known again
    link.update(15_100.0, 5000.0 + RETURN_PERIOD_MS + 1.0)
    assert link.link is Link.FOLLOWS and messages == ["connected", "cut", "connected"]


def test_the_limit_of_being_cut_off_applies_at_once_and_not_from_the_next_check_on(tmp_path: Path) -> None:
    """For up to 0.2 s after the delay, answers of strict classes came from copies of any age."""
    options = operator(tmp_path, 1).purges
    assert options is not None
    now = [1_000_000.0]
    subscription = PurgeSubscription(options, Index(), lambda: now[0])
    subscription.subscribers[0].caught_up_ms = now[0]
    subscription.check_link()
    now[0] += 2000.0
    part = "film", 17, 5, 3
    assert subscription.answer_limits(*part, now[0]).max_age_ms == math.inf
    assert subscription.max_copy_age_ms("film") == options.retention_ms
    now[0] += 1.0
    assert subscription.answer_limits(*part, now[0]).max_age_ms == options.delay_ms
    assert subscription.answer_limits("sheet", *part[1:], now[0]).max_age_ms == math.inf
    assert subscription.max_copy_age_ms("film") == options.delay_ms
    assert subscription.refetch_budget.is_active and subscription.cut_off.link is Link.CUT_OFF


def test_a_loss_limits_the_copies_of_answers_that_are_out_when_it_is_reported(tmp_path: Path) -> None:
    """What was lost may be older than the stated delay, so the limit applies at once."""
    options = operator(tmp_path, 1).purges
    assert options is not None
    now_ms = 1_000_000.0
    subscription = PurgeSubscription(options, Index(), lambda: now_ms)
    source = subscription.subscribers[0]
    source.caught_up_ms = now_ms
    subscription.check_link()
    part = "film", 17, 5, 3
    assert subscription.answer_limits(*part, now_ms - 500.0).max_age_ms == math.inf
    loss = Loss("a", 1, now_ms - 100.0, now_ms - 400.0)
    subscription.on_losses(Event(losses=[loss]), source)
    assert subscription.answer_limits(*part, now_ms - 500.0).max_age_ms == 400.0
    assert subscription.answer_limits("sheet", *part[1:], now_ms - 500.0).max_age_ms == math.inf


def test_stored_purges_apply_after_a_restart_and_only_newer_ones_are_requested(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        disk, server_disk = SimDisk(), SimDisk()
        node = Server(read_config(config({"r0": REFUSED_ADDRESS})))
        async with running_server(tmp_path, disk=server_disk) as purge_server:
            for n in range(300):
                await send(purge_server.port, f"object:{n:016x}")
            options = operator(tmp_path, purge_server.port).purges
            assert options is not None
            subscription = PurgeSubscription(options, node.director.router.purges, node.clock.now, disk)
            subscription.start()
            await subscription.ready()
            assert len(subscription.active) == 300
            await wait_until(lambda: subscription.store.records >= 300)  # stored
            tasks = {task.get_name(): task for task in asyncio.all_tasks()}
            tasks["storing received purges"].cancel()  # a crash: nothing more is stored
            remaining_disk = disk.after_crash(Lost.ALL, False)
            restored = PurgeSubscription(
                options, type(node.director.router.purges)(), node.clock.now, remaining_disk
            )
            assert len(restored.active) == 300 and restored.active.index.newest_purge_ms(
                "film", 0, 7, 0, node.clock.now()
            )
            received: list[int] = []
            receive = restored.receive
            restored.on_purges = lambda purges, source: (received.append(len(purges)), receive(purges))[1]
            restored.start()
            await restored.ready()
            assert not received
            await send(purge_server.port, "group:1")
            await wait_until(lambda: received == [1])
            await subscription.close()
            await restored.close()

    asyncio.run(scenario())


def test_an_invalid_purges_section_is_reported_in_one_line(tmp_path: Path) -> None:
    for more, message in (({"feeds": []}, "purges.feeds: expected at least one"), ({"feeds": ["x:1"]}, r"purges.feeds\[0\]: 'x:1'"),
                       ({"delay_ms": 100}, "purges.delay_ms: 100; expected a number from 2000"), ({"dirr": "x"}, "purges.dirr: unknown key")):  # fmt: skip
        with pytest.raises(OperatorFileError, match=message):
            operator(tmp_path, 1, **more)
    config_ = read_config(config({"r0": REFUSED_ADDRESS}))
    with pytest.raises(ConfigError, match="purges.strict: 'song'; expected classes"):
        Server(config_, operator(tmp_path, 1, strict=["song"]))
    valid = operator(tmp_path, 1)
    assert valid.purges is not None
    (tmp_path / "tokens").write_text("short x\n")
    with pytest.raises(ConfigError, match="tokens: line 1"):
        Server(config_, valid)
