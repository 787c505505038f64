"""Operators' orders on a whole node between a client and scripted caches: the rules they bind, and the figures."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
from typing import Any

import pytest
from harness import (
    Client,
    Command,
    ScriptedCache,
    async_test,
    config,
    hit,
    never_respond,
    raw_frame,
    running_director,
    wait_until,
)

from gladelane.admin.requests import AdminAction, AdminRequest, AdminResponse
from gladelane.discovery.events import watch_event_decoder

REFUSED = "127.0.0.1:1"


def order(node: Any, word: AdminAction, store: str = "") -> AdminResponse:
    return node.admin_handler.accept(AdminRequest(word, store)) or node.admin_handler.complete(
        AdminRequest(word, store)
    )


def figures(node: Any) -> dict[str, int]:
    lines = order(node, AdminAction.STATS).text.splitlines()
    return {
        name.removeprefix("director."): int(value)
        for name, _, value in (line.partition("=") for line in lines)
    }


def listed(id_: str, address: str, lifecycle: str = "in_service", reset: bool = False, rev: int = 2) -> Any:
    kinds = {"c": ("edge", "box"), "p": ("hub", "mid")}
    return watch_event_decoder.decode(
        (f'{{"rev":{rev},"pool":{{"reset":{str(reset).lower()},"instances":[{{"instanceId":"{id_}","hostPort":"{address}",'
         f'"zone":"{kinds[id_[0]][0]}","machineType":"{kinds[id_[0]][1]}","lifecycle":"{lifecycle}","startedAtMs":0}}]}}}}').encode())  # fmt: skip


async def ask(client: Client, stream: int, **more: str) -> int:
    client.ask(stream, o=f"{stream:016x}", m="1", **more)
    return (await client.next())[2]


@async_test
async def test_a_cache_that_is_out_gets_nothing_whatever_the_board_says_until_it_is_put_back() -> None:
    one, two = ScriptedCache(hit), ScriptedCache(hit)
    places = {"c0": await one.start(), "c1": await two.start(), "p0": REFUSED, "r0": REFUSED}
    async with running_director(config(places)) as (node, client):
        for stream in range(1, 21):
            assert await ask(client, stream) == 0
        assert one.received and two.received
        assert order(node, AdminAction.MAINT, "nobody").status == 404
        assert (
            order(node, AdminAction.MAINT, "c0").is_success
            and order(node, AdminAction.MAINT, "c0").is_success
        )
        before = len(one.received)
        notices = [
            listed("c0", places["c0"], "terminated"),
            listed("c0", places["c0"], rev=3),
            listed("c1", places["c1"], rev=4),
        ]
        for stream, notice in enumerate([None, *notices], 21):
            if notice is not None:
                node.director.apply_watch_event(notice)
            for part in range(10):
                assert await ask(client, stream * 100 + part) == 0
        assert len(one.received) == before and figures(node)["hosts_down"] == 1
        assert (
            order(node, AdminAction.READY, "c0").is_success
            and order(node, AdminAction.READY, "nobody").status == 404
        )
        store = node.director.router.stores["c0"]
        assert store.member.came_up_ms > node.clock.now() - 1000.0  # cold: it was restarted in between
        node.director.router.cold.caches.usual = (
            1e6  # what warm ones are usually sent, and so what a cold one may be
        )
        for stream in range(4000, 4040):
            assert await ask(client, stream) == 0
        assert len(one.received) > before and figures(node)["hosts_down"] == 0


@async_test
async def test_a_parent_that_is_out_is_no_source_and_what_waits_for_a_dial_hears_so() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "p0": REFUSED, "r0": REFUSED})) as (
        node,
        client,
    ):
        assert await ask(client, 1) == 0 and cache.received[-1][1]["parent"] == "p0"
        node.admin_handler.accept(
            AdminRequest(AdminAction.MAINT, "p0")
        )  # accepted in the endpoint's thread; this loop has not heard of it yet
        client.ask(2, o=f"{2:016x}", m="1")
        await client.next()
        assert all(command[1].get("parent") != "p0" for command in cache.received[1:])
        node.admin_handler.complete(AdminRequest(AdminAction.MAINT, "p0"))
        assert await ask(client, 3) == 0 and cache.received[-1][1].get("parent") == "r0"


@async_test
async def test_a_drain_ends_with_no_idle_connection_no_lost_request_and_is_undone() -> None:
    slow = ScriptedCache(lambda command: None if command[1]["thing"].endswith("f") else hit(command))
    async with running_director(config({"c0": await slow.start(), "r0": REFUSED})) as (node, client):
        idle, busy = await Client.connect(node.port), await Client.connect(node.port)
        assert await ask(client, 1) == await ask(idle, 1) == 0
        busy.ask(1, o="00000000000000ff", d="1200", m="1")
        await wait_until(lambda: slow.received[-1][1]["thing"].endswith("f"))
        assert order(node, AdminAction.FAIL).is_success and order(node, AdminAction.FAIL).is_success
        late = await Client.connect(node.port)  # newcomers are served while they come
        late.send(32, 0, b"\x00")
        assert (await late.next())[2] == 1  # not ready
        assert await ask(late, 5) == 0 and (await late.next())[0] == 48
        for told in (client, idle, late):
            frame = await told.next(1.0) if told is not late else None
            assert frame is None or frame[0] == 48
            with pytest.raises(EOFError):
                await told.next(2.0)
        assert (await busy.next())[0] == 48 and (await busy.next())[
            2
        ] != 0  # its time is up: an answer all the same
        with pytest.raises(EOFError):
            await busy.next(2.0)
        await wait_until(
            lambda: not node.client_listener.connections
        )  # `busy` has not closed its own side yet
        assert node.client_listener.listener is not None
        assert order(node, AdminAction.OK).is_success
        again = await Client.connect(node.port)
        again.send(32, 0, b"\x00")
        assert (await again.next())[2] == 0 and await ask(again, 1) == 0 and await again.receives_nothing()


@async_test
async def test_a_client_that_goes_on_asking_while_the_director_empties_is_refused_in_the_end() -> None:
    async with running_director(config({"c0": await ScriptedCache(hit).start(), "r0": REFUSED})) as (
        node,
        client,
    ):
        client.ask(1, o="0000000000000001", m="1")
        await client.next()
        order(node, AdminAction.FAIL)
        conn = next(iter(node.client_listener.connections))
        conn.goaway_ms -= 2000.0  # told two seconds ago
        client.ask(2, o="0000000000000002", m="1")
        frames = [await client.next(), await client.next()]
        assert sorted(frame[0] for frame in frames) == [17, 48]
        assert next(frame for frame in frames if frame[0] == 17)[2] == 1
        assert figures(node)["calls.film.busy"] == 1


@pytest.mark.parametrize("seed", [1, 2])
def test_after_a_seeded_day_the_figures_are_what_clients_and_stores_counted(seed: int) -> None:
    @async_test
    async def day() -> None:
        rng = random.Random(seed)
        words = ["served digest=aa,dated=1,remark=h"] * 6 + ["overload -", "crashed -", "not_here -"]

        def script(command: Command) -> tuple[str, bytes] | None:
            return rng.choice(words), b""

        caches = [ScriptedCache(script), ScriptedCache(script)]
        origin = ScriptedCache(script)
        places = {"c0": await caches[0].start(), "c1": await caches[1].start(), "r0": await origin.start()}
        counted: Counter[tuple[str, int]] = Counter()
        async with running_director(config(places)) as (node, client):
            stream = 0
            for _ in range(150):
                stream += 1
                cls = rng.choice(["film", "film", "sheet"])
                kind = rng.random()
                if kind < 0.05:
                    client.ask(stream, c=cls, d="x")  # unusable, of a known class
                elif kind < 0.1:
                    client.ask(stream, c="nothing")
                    cls = "none"
                else:
                    client.ask(stream, c=cls, k="aa", o=f"{rng.randrange(1, 30):016x}", m="1")
                counted[cls, (await client.next())[2]] += 1
            client.send(16, stream + 1, b"\xff")  # no fields at all
            counted["none", (await client.next())[2]] += 1
            await wait_until(lambda: not node.director.live)
            await asyncio.sleep(0.25)  # a sweep of the connections
            told = figures(node)
        for cls in ("film", "sheet"):
            for code, word in enumerate(("success", "busy", "failure")):
                assert told[f"calls.{cls}.{word}"] == counted[cls, code], (cls, word)
        assert told["unusable"] == counted["none", 2] > 0 and told["inflight"] == 0
        assert told["backend_calls"] == sum(len(cache.received) for cache in (*caches, origin))
        assert told["hosts_listed"] == 3

    day()


@async_test
async def test_open_withdrawn_and_shed_requests_have_a_count() -> None:
    cache = ScriptedCache(never_respond)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
        client.ask(1)
        client.ask(2)
        await wait_until(lambda: len(cache.received) == 2)
        assert figures(node)["inflight"] == 2
        client.send(18, 1)
        await wait_until(lambda: figures(node)["inflight"] == 1)
        told = figures(node)
        assert told["withdrawn"] == 1 and not any(
            told[f"calls.film.{word}"] for word in ("success", "busy", "failure")
        )
        node.client_listener.rejects_requests = lambda: True
        client.ask(3)
        assert (await client.next())[1:3] == (3, 1) and figures(node)["calls.film.busy"] == 1
        client.writer.write(raw_frame(3, 16, 1))
        client.writer.close()
        await wait_until(lambda: figures(node)["inflight"] == 0)
        assert figures(node)["withdrawn"] == 2


@async_test
async def test_a_slow_reader_gets_all_it_asked_for_and_delays_no_other() -> None:
    part, asked = b"x" * 240_000, 30
    async with running_director(
        config(
            {
                "c0": await ScriptedCache(lambda _: ("served digest=aa,dated=1,remark=h", part)).start(),
                "r0": REFUSED,
            }
        )
    ) as (node, client):
        node.director.router.stores["c0"].concurrency.limit = 64.0
        plain = socket.create_connection(("127.0.0.1", node.port))
        plain.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        slow = Client(*await asyncio.open_connection(sock=plain))
        for stream in range(1, asked + 1):
            slow.ask(stream, o=f"{stream:016x}", m="1")
        await wait_until(lambda: any(conn.unsent() > 500_000 for conn in node.client_listener.connections))
        taken = 0
        for stream in range(1, 9):  # it takes little meanwhile
            client.ask(stream, o=f"{stream:016x}", m="1")
            assert (await client.next(1.0))[2] == 0
            taken += len((await slow.next())[4])
        assert node.client_listener.buffered_bytes < node.client_listener.max_buffered_bytes
        order(node, AdminAction.FAIL)
        while taken < asked * len(part):  # nor is it cut off by the drain: what it is owed is written first
            frame = await slow.next()
            assert frame[0] == 48 or frame[2] == 0
            taken += len(frame[4])
            await asyncio.sleep(0.02)
        with pytest.raises(EOFError):
            while True:
                assert (await slow.next(2.0))[0] == 48
