"""Each accepted request gets exactly one final answer in time, whatever servers and other clients do."""

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

DEADLINE_MS = 600
MAX_ANSWER_S = DEADLINE_MS / 1000.0 + 0.5  # a request without an answer by then is lost
CLIENTS, REQUESTS_PER_CLIENT = 4, 6
PING = encode_frame(FrameType.ASK_READY, 0, encode_fields({}))
FLOODS = {
    "pings": PING * 3000,
    "invalid requests": b"".join(encode_request(n, c="nothing") for n in range(1, 300)),
    "repeated use of one stream": encode_request(1, d="1") * 300,
    "too many open requests": b"".join(encode_request(n) for n in range(1, 200)),
    "half a frame": encode_request(1)[:30],
    "bytes without framing": b"\xff" * 60_000,
    "cancels of unknown streams": struct.pack(">IBI", 5, FrameType.GONE, 77) * 3000,
}


def failing_script(kind: str) -> Callable[[Command], tuple[str, bytes] | None]:
    """The script of a cache that answers every request in the same way."""
    reply_by_kind = {
        "hangs": None,
        "is overloaded": ("overload -", b""),
        "fails": ("crashed -", b""),
        "lacks the object": ("not_here -", b""),
    }
    return lambda command: reply_by_kind[kind]


async def run_client(node: Server, number: int, answered: list[tuple[str, float]]) -> None:
    """A well-behaved client sends several requests of both classes at once, and gets no answer twice."""
    loop = asyncio.get_running_loop()
    client = await Client.connect(node.port)
    started_s = loop.time() - get_core_wait_s()
    for stream in range(1, REQUESTS_PER_CLIENT + 1):
        id_ = f"{number * 100 + stream:016x}"
        write_fields = {"c": "sheet", "k": id_} if stream % 2 else {}
        client.ask(stream, i=id_, d=str(DEADLINE_MS), o=id_, **write_fields)
    for _ in range(REQUESTS_PER_CLIENT):
        type_, stream, *_ = await client.next(MAX_ANSWER_S + 5.0)
        assert type_ == FrameType.ANSWER
        answered.append((f"{number} {stream}", loop.time() - get_core_wait_s() - started_s))
    assert await client.receives_nothing(0.3)
    client.writer.close()


async def assert_each_answered_once_in_time(node: Server) -> None:
    answered: list[tuple[str, float]] = []
    await asyncio.gather(*(run_client(node, number, answered) for number in range(1, CLIENTS + 1)))
    assert set(Counter(name for name, _ in answered).values()) == {1}
    assert len(answered) == CLIENTS * REQUESTS_PER_CLIENT
    assert max(elapsed_s for _, elapsed_s in answered) <= MAX_ANSWER_S
    await wait_until(lambda: not node.director.live)


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("kind", ["hangs", "is overloaded", "fails", "lacks the object"])
def test_each_request_gets_one_answer_in_time_while_all_servers_fail(
    kind: str, runner: Callable[[Any], None]
) -> None:
    async def scenario() -> None:
        servers = {
            name: await ScriptedCache(failing_script(kind)).start() for name in ("c0", "c1", "p0", "r0")
        }
        async with running_director(config(servers)) as (node, _):
            await assert_each_answered_once_in_time(node)

    runner(scenario())


@pytest.mark.parametrize("failure", ["reset", "close", "half an answer", "garbage", "reads nothing"])
def test_each_request_gets_one_answer_in_time_while_connections_to_servers_break(failure: str) -> None:
    async def break_connections(peer: RawCache) -> None:
        loop, held = asyncio.get_running_loop(), list[socket.socket]()
        while True:
            sock = await loop.sock_accept(peer.listener)
            held.append(sock[0])
            if failure == "reads nothing":
                continue
            await loop.sock_recv(sock[0], 65_536)
            if failure == "half an answer":
                await loop.sock_sendall(sock[0], b"%016x served digest=aa,dated=1,remark=h 90\r\nx" % 101)
                continue
            if failure == "garbage":
                await loop.sock_sendall(sock[0], b"\xff\xff\r\n")
            if failure == "reset":
                sock[0].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock[0].close()

    async def scenario() -> None:
        peers = {name: RawCache(receive_buffer_bytes=4096) for name in ("c0", "c1", "p0", "r0")}
        tasks = [asyncio.create_task(break_connections(peer)) for peer in peers.values()]
        async with running_director(config({name: peer.address for name, peer in peers.items()})) as (
            node,
            _,
        ):
            await assert_each_answered_once_in_time(node)
        for task in tasks:
            task.cancel()

    asyncio.run(scenario())


@pytest.mark.parametrize("name", FLOODS)
def test_each_request_gets_one_answer_in_time_while_other_clients_flood(name: str) -> None:
    async def flood(node: Server, stop: asyncio.Event) -> None:
        """Keeps sending without reading, and reconnects when it is disconnected."""
        loop = asyncio.get_running_loop()
        while not stop.is_set():
            with (
                RawClient(node, receive_buffer_bytes=4096).sock as sock,
                contextlib.suppress(OSError, TimeoutError),
            ):
                while not stop.is_set():
                    async with asyncio.timeout(0.2):
                        await loop.sock_sendall(sock, FLOODS[name])
                    await asyncio.sleep(0.01)
            await asyncio.sleep(0.01)

    async def scenario() -> None:
        servers = {"c0": await ScriptedCache(lambda _: None).start(), "c1": await ScriptedCache(hit).start()}
        async with running_director(config({**servers, "r0": await ScriptedCache(hit).start()})) as (node, _):
            stop = asyncio.Event()
            tasks = [asyncio.create_task(flood(node, stop)) for _ in range(3)]
            await asyncio.sleep(0.05)
            await assert_each_answered_once_in_time(node)
            stop.set()
            await asyncio.gather(*tasks)

    asyncio.run(scenario())
