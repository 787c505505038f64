"""Whatever servers and other clients do, each request that was taken has one final answer in its time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from core_wait_time import get_core_wait_s
from harness import Client, Command, ScriptedCache, config, hit, running_director, wait_until
from raw_cache import RawCache
from raw_client import RawClient, encode_request

from gladelane.net.client_protocol import FrameType, encode_fields, encode_frame
from gladelane.server import Server

WAIT_MS = 600
LATEST_S = WAIT_MS / 1000.0 + 0.5  # later, the request is lost
HONEST, REQUESTS = 4, 6
PING = encode_frame(FrameType.ASK_READY, 0, encode_fields({}))
FLOODS = {
    "pings": PING * 3000,
    "requests that cannot be used": b"".join(encode_request(n, c="nothing") for n in range(1, 300)),
    "one stream again and again": encode_request(1, d="1") * 300,
    "more requests than may be open": b"".join(encode_request(n) for n in range(1, 200)),
    "half a frame": encode_request(1)[:30],
    "no framing": b"\xff" * 60_000,
    "cancels of nothing": struct.pack(">IBI", 5, FrameType.GONE, 77) * 3000,
}


def trouble(kind: str) -> Callable[[Command], tuple[str, bytes] | None]:
    """What a cache says to all it is asked."""
    said = {
        "hangs": None,
        "is full": ("overload -", b""),
        "fails": ("crashed -", b""),
        "has nothing": ("not_here -", b""),
    }
    return lambda command: said[kind]


async def asks(node: Server, number: int, answered: list[tuple[str, float]]) -> None:
    """An honest client: some requests of both classes at once, and nothing comes twice."""
    loop = asyncio.get_running_loop()
    client = await Client.connect(node.port)
    began = loop.time() - get_core_wait_s()
    for stream in range(1, REQUESTS + 1):
        id_ = f"{number * 100 + stream:016x}"
        keyed = {"c": "sheet", "k": id_} if stream % 2 else {}
        client.ask(stream, i=id_, d=str(WAIT_MS), o=id_, **keyed)
    for _ in range(REQUESTS):
        type_, stream, *_ = await client.next(LATEST_S + 5.0)
        assert type_ == FrameType.ANSWER
        answered.append((f"{number} {stream}", loop.time() - get_core_wait_s() - began))
    assert await client.receives_nothing(0.3)
    client.writer.close()


async def each_is_answered_once_in_time(node: Server) -> None:
    answered: list[tuple[str, float]] = []
    await asyncio.gather(*(asks(node, number, answered) for number in range(1, HONEST + 1)))
    assert set(Counter(name for name, _ in answered).values()) == {1}
    assert len(answered) == HONEST * REQUESTS
    assert max(after for _, after in answered) <= LATEST_S
    await wait_until(lambda: not node.director.live)


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("kind", ["hangs", "is full", "fails", "has nothing"])
def test_each_request_has_one_answer_in_time_while_all_servers_are_in_trouble(
    kind: str, runner: Callable[[Any], None]
) -> None:
    async def scene() -> None:
        servers = {name: await ScriptedCache(trouble(kind)).start() for name in ("c0", "c1", "p0", "r0")}
        async with running_director(config(servers)) as (node, _):
            await each_is_answered_once_in_time(node)

    runner(scene())


@pytest.mark.parametrize("ends", ["reset", "close", "half an answer", "garbage", "takes nothing"])
def test_each_request_has_one_answer_in_time_while_connections_to_servers_break(ends: str) -> None:
    async def breaks(peer: RawCache) -> None:
        loop, held = asyncio.get_running_loop(), list[socket.socket]()
        while True:
            sock = await loop.sock_accept(peer.listener)
            held.append(sock[0])
            if ends == "takes nothing":
                continue
            await loop.sock_recv(sock[0], 65_536)
            if ends == "half an answer":
                await loop.sock_sendall(sock[0], b"%016x served digest=aa,dated=1,remark=h 90\r\nx" % 101)
                continue
            if ends == "garbage":
                await loop.sock_sendall(sock[0], b"\xff\xff\r\n")
            if ends == "reset":
                sock[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock[0].close()

    async def scene() -> None:
        peers = {name: RawCache(receive_buffer_bytes=4096) for name in ("c0", "c1", "p0", "r0")}
        tasks = [asyncio.create_task(breaks(peer)) for peer in peers.values()]
        async with running_director(config({name: peer.address for name, peer in peers.items()})) as (
            node,
            _,
        ):
            await each_is_answered_once_in_time(node)
        for task in tasks:
            task.cancel()

    asyncio.run(scene())


@pytest.mark.parametrize("name", FLOODS)
def test_each_request_has_one_answer_in_time_while_other_clients_flood(name: str) -> None:
    async def floods(node: Server, over: asyncio.Event) -> None:
        """Sends on and on, takes nothing, and comes back when it is cut off."""
        loop = asyncio.get_running_loop()
        while not over.is_set():
            with (
                RawClient(node, receive_buffer_bytes=4096).sock as sock,
                contextlib.suppress(OSError, TimeoutError),
            ):
                while not over.is_set():
                    async with asyncio.timeout(0.2):
                        await loop.sock_sendall(sock, FLOODS[name])
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)

    async def scene() -> None:
        servers = {"c0": await ScriptedCache(lambda _: None).start(), "c1": await ScriptedCache(hit).start()}
        async with running_director(config({**servers, "r0": await ScriptedCache(hit).start()})) as (node, _):
            over = asyncio.Event()
            tasks = [asyncio.create_task(floods(node, over)) for _ in range(3)]
            await asyncio.sleep(0.05)
            await each_is_answered_once_in_time(node)
            over.set()
            await asyncio.gather(*tasks)

    asyncio.run(scene())
