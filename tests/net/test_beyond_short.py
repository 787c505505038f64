"""Requests with very little time left, which caches may drop without a word; in virtual time, real sockets."""

from __future__ import annotations

import asyncio

import pytest
from harness import Client, Command, ScriptedCache, config, hit, running_director
from virtual_time import VirtualClock, virtual

from gladelane.net.client_protocol import Type

REFUSED = "127.0.0.1:1"
SHORT_MS = 60
#: after its time, within which an answer is merely late; later the request is lost
LATE_S = 0.5


def drops_short(command: Command) -> tuple[str, bytes] | None:
    return hit(command) if int(command[1]["max"]) > SHORT_MS else None


@pytest.mark.parametrize("cls", ["film", "sheet"])
def test_requests_with_1_to_60_ms_left_get_one_answer_each_in_time(cls: str) -> None:
    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache = ScriptedCache(drops_short)
        address = await cache.start()
        async with running_director(config({"c0": address, "r0": address})) as (node, client):
            for left_ms in range(1, SHORT_MS + 1):
                asked_s = clock.elapsed_s
                client.ask(left_ms, c=cls, k=f"{left_ms:032x}", d=str(left_ms))
                type_, stream, code, *_ = await client.next()
                assert (type_, stream) == (Type.ANSWER, left_ms) and code in (1, 2)
                assert clock.elapsed_s - asked_s < left_ms / 1000.0 + LATE_S
            assert await client.receives_nothing() and not node.director.live

    scene()


@virtual
async def test_short_requests_that_a_cache_drops_cost_it_neither_its_connection_nor_others_their_answer(
    clock: VirtualClock,
) -> None:
    cache = ScriptedCache(drops_short)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
        client.ask(1)
        assert (await client.next())[2] == 0
        for stream in range(2, 12):
            client.ask(stream, d=str(SHORT_MS - 10))
            assert (await client.next())[:3] == (17, stream, 1)
        assert len(cache.received) == 11
        assert not node.director.router.stores["c0"].resting(node.clock.now())
        client.ask(12)
        assert (await client.next())[:3] == (17, 12, 0)
        assert len(cache.connections) == 1


@virtual
async def test_a_cache_that_has_gone_silent_is_left_also_when_most_requests_are_short(
    clock: VirtualClock,
) -> None:
    cache = ScriptedCache(lambda command: hit(command) if len(cache.received) < 2 else None)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
        client.ask(1)
        assert (await client.next())[2] == 0
        clients = [await Client.connect(node.port) for _ in range(3)]
        for stream, one in enumerate(clients, 2):
            one.ask(stream, d="400")
        for one in clients:
            assert (await one.next())[2] == 1
        assert node.director.router.stores["c0"].resting(node.clock.now())
        for one in clients:
            one.writer.close()
        await asyncio.sleep(0)
