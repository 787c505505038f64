"""Requests with very little time left, which caches may drop without an answer; in virtual time over real sockets."""

from __future__ import annotations

import asyncio

import pytest
from harness import REFUSED_ADDRESS, Client, Command, ScriptedCache, config, hit, running_director
from virtual_time import VirtualClock, virtual

from gladelane.net.client_protocol import FrameType

SHORT_MS = 60
#: An answer up to this long after the deadline is late; after that the request is lost.
LATE_S = 0.5


def drop_short_requests(command: Command) -> tuple[str, bytes] | None:
    return hit(command) if int(command[1]["max"]) > SHORT_MS else None


@pytest.mark.parametrize("cls", ["film", "sheet"])
def test_requests_with_1_to_60_ms_left_get_one_answer_each_before_it_counts_as_lost(cls: str) -> None:
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        cache = ScriptedCache(drop_short_requests)
        address = await cache.start()
        async with running_director(config({"c0": address, "r0": address})) as (node, client):
            for remaining_ms in range(1, SHORT_MS + 1):
                requested_s = clock.elapsed_s
                client.ask(remaining_ms, c=cls, k=f"{remaining_ms:032x}", d=str(remaining_ms))
                type_, stream, code, *_ = await client.next()
                assert (type_, stream) == (FrameType.ANSWER, remaining_ms) and code in (1, 2)
                assert clock.elapsed_s - requested_s < remaining_ms / 1000.0 + LATE_S
            assert await client.receives_nothing() and not node.director.live

    scenario()


@virtual
async def test_short_requests_that_a_cache_drops_neither_close_its_connection_nor_eject_it(
    clock: VirtualClock,
) -> None:
    cache = ScriptedCache(drop_short_requests)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, client):
        client.ask(1)
        assert (await client.next())[2] == 0
        for stream in range(2, 12):
            client.ask(stream, d=str(SHORT_MS - 10))
            assert (await client.next())[:3] == (17, stream, 1)
        assert len(cache.received) == 11
        assert not node.director.router.stores["c0"].is_ejected(node.clock.now())
        client.ask(12)
        assert (await client.next())[:3] == (17, 12, 0)
        assert len(cache.connections) == 1


@virtual
async def test_a_cache_that_stops_answering_is_ejected_also_if_most_requests_are_short(
    clock: VirtualClock,
) -> None:
    cache = ScriptedCache(lambda command: hit(command) if len(cache.received) < 2 else None)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, client):
        client.ask(1)
        assert (await client.next())[2] == 0
        clients = [await Client.connect(node.port) for _ in range(3)]
        for stream, other in enumerate(clients, 2):
            other.ask(stream, d="400")
        for other in clients:
            assert (await other.next())[2] == 1
        assert node.director.router.stores["c0"].is_ejected(node.clock.now())
        for other in clients:
            other.writer.close()
        await asyncio.sleep(0)
