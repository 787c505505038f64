"""Two events that cross on a client's connection, each brought into the bad order by the peer or a barrier.

A raw socket writes within the director's own turn of the loop: what it sends then is in the system, unread.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from harness import (
    Client,
    ScriptedCache,
    async_test,
    config,
    hit,
    never_respond,
    raw_frame,
    running_director,
    wait_until,
)
from raw_client import GONE, Raw, connected, request, waits_for_a_dial

import gladelane.net.client_connection as client_module
import gladelane.net.client_listener as front_module
from gladelane import shutdown
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import encode_fields
from gladelane.net.exchange import Attempt
from gladelane.server import Server

REFUSED = "127.0.0.1:1"
BIG = 240_000


async def narrow(node: Server) -> tuple[Raw, ClientConnection]:
    """A client that takes nothing, on a connection on which the system holds little: answers wait here."""
    raw = Raw(node, takes=4096)
    conn = await connected(node, raw)
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return raw, conn


def big(command: Any) -> tuple[str, bytes]:
    return "served digest=aa,dated=1,remark=h", b"x" * BIG


@async_test
async def test_a_request_that_crosses_the_close_of_a_resting_connection_is_read_and_not_sent_on() -> None:
    # the close looked, then shut both ways: what came between was answered by a reset
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, _):
        raw = Raw(node)
        conn = await connected(node, raw)
        look = conn.unread

        def looked() -> bool:
            seen = look()
            raw.send(request(1))
            return seen

        conn.unread = looked  # type: ignore[method-assign]
        conn.sweep(node.clock.now() + 5000.0)
        assert await raw.rest() == ([], "end of file")
        raw.send(request(2))  # nor does one that comes after the end of file
        assert raw.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        raw.sock.close()
        await wait_until(lambda: conn not in node.client_listener.connections)
        assert not cache.received and not node.client_listener.lingering


@async_test
async def test_answers_under_way_survive_a_close_over_bytes_that_were_not_read() -> None:
    # a plain close over them resets the connection, and what the system holds of an answer goes with it
    cache = ScriptedCache(big)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(front_module, "CLOSE_S", 5.0)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, _):
            raw = Raw(node, takes=4096)
            raw.send(request(1))
            conn = await connected(node, raw)
            await wait_until(lambda: cache.received and not node.director.live and not conn.unsent())
            raw.send(request(2))  # not read by the director yet: it is refused before the close
            closing = asyncio.create_task(node.client_listener.close())
            await asyncio.sleep(0)
            frames, end = await raw.rest()
            raw.sock.close()
            await closing
            assert [(stream, payload[0], len(payload)) for _, stream, payload in frames] == [
                (1, 0, BIG + 2),
                (2, 1, 2),
            ]
            assert end == "end of file"
            assert len(cache.received) == 1


@pytest.mark.parametrize("half", [False, True])
def test_a_drain_does_not_end_over_a_request_that_has_come_or_is_coming(half: bool) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
            async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, _):
                raw, whole = Raw(node), request(1)
                conn = await connected(node, raw)
                if half:
                    raw.send(whole[:20])
                    await wait_until(lambda: conn.partial_ms)
                else:
                    conn.writer.transport.pause_reading()  # type: ignore[attr-defined]
                    raw.send(whole)
                assert not node.client_listener.quiet()
                draining = asyncio.create_task(node.drain())
                await wait_until(lambda: node.client_listener.listener is None)
                if half:
                    raw.send(whole[20:])
                else:
                    conn.writer.transport.resume_reading()  # type: ignore[attr-defined]
                await draining
                closing = asyncio.create_task(node.client_listener.close())
                frames, end = await raw.rest()
                raw.sock.close()
                await closing
                assert [(t, s) for t, s, _ in frames if t == 17] == [(17, 1)] and end == "end of file"

    scene()


@async_test
async def test_half_a_frame_that_brings_nothing_more_holds_up_no_drain() -> None:
    async with running_director(config({"r0": REFUSED})) as (node, _):
        raw = Raw(node)
        raw.send(request(1)[:20])
        conn = await connected(node, raw)
        await wait_until(lambda: conn.partial_ms)
        assert conn.arriving(conn.active_ms + 200.0) and not conn.arriving(conn.active_ms + 400.0)


@async_test
async def test_what_comes_once_a_restart_has_answered_all_is_refused_and_not_sent_on() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
        node.client_listener.is_closing = True  # as drain() leaves it
        client.ask(1)
        assert (await client.next())[:3] == (17, 1, 1) and not cache.received


@pytest.mark.parametrize("bad", ["length", "frame that never ends"])
def test_what_was_open_is_answered_before_a_connection_without_framing_is_closed(bad: str) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, _):
            raw = Raw(node)
            raw.send(request(1))
            conn = await connected(node, raw)
            await wait_until(lambda: cache.received)
            raw.send(struct.pack(">I", 3) if bad == "length" else raw_frame(50_000, 16, 2, b"x" * 30_000))
            await wait_until(lambda: conn.discards_input or conn.partial_ms)
            conn.sweep(conn.active_ms + 2600.0)
            raw.send(request(3))  # nothing after it can be trusted
            await wait_until(lambda: conn.discards_input and not conn.unread())
            cache.connections[0].write(b"0000000000000001 served digest=aa,dated=1,remark=h 2\r\nok\r\n")
            frames, end = await raw.rest()
            raw.sock.close()
            assert frames == [(17, 0, b"\x02\x00"), (17, 1, b"\x00\x00ok")] and end == "end of file"
            assert len(cache.received) == 1

    scene()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["type 18", "close", "reset"])
def test_a_request_whose_client_leaves_while_it_waits_for_a_dial_is_not_sent_on(
    how: str, cancel: bool
) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED}, cancel=cancel)) as (
            node,
            _,
        ):
            raw = Raw(node)

            async def leaves(attempt: Attempt) -> None:
                if how == "type 18":
                    raw.send(GONE)
                else:
                    if how == "reset":
                        raw.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    raw.sock.close()
                await wait_until(lambda: attempt.exchange.done)

            tasks = waits_for_a_dial(node, leaves)
            raw.send(request(1))
            await wait_until(lambda: tasks and tasks[0].done() and not node.director.live)
            await wait_until(lambda: len(cache.connections) == 1)  # the dial itself has come up
            checker = await Client.connect(node.port)
            checker.ask(9)
            assert (await checker.next())[:3] == (17, 9, 0)
            assert [command[0] for command in cache.received] == [f"{9:016x}"]
            checker.writer.close()

    scene()


@pytest.mark.parametrize("how", ["type 18", "close"])
def test_a_request_whose_client_left_behind_it_in_the_same_read_is_not_sent_on(how: str) -> None:
    # a client at the cap waits in the system's queue, asks and leaves there: all of it is read at once
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(lambda command: hit(command) if command[1]["nth"] == "7" else None)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
            client.ask(1)
            await wait_until(lambda: cache.received)
            node.client_listener.cap = 1
            served: list[ClientConnection] = []
            serve = node.client_listener._serve

            async def counted(conn: ClientConnection) -> None:
                await serve(conn)
                served.append(conn)

            node.client_listener._serve = counted  # type: ignore[method-assign]
            raw = Raw(node)
            raw.send(request(1, i=f"{77:016x}"))
            if how == "close":
                raw.sock.close()
            else:
                raw.send(GONE)
            client.send(18, 1)  # there is room now
            node.client_listener.cap = 2
            await wait_until(lambda: len(node.client_listener.connections) + len(served) == 2)
            if how == "close":
                await wait_until(lambda: served)
            client.ask(2, chunk="7")
            assert (await client.next())[:3] == (17, 2, 0)
            assert [command[0] for command in cache.received] == [f"{n:016x}" for n in (1, 2)]
            raw.sock.close()

    scene()


@pytest.mark.parametrize("how", ["type 18", "close"])
def test_that_a_client_leaves_is_read_also_while_it_takes_no_answers(how: str) -> None:
    cache = ScriptedCache(lambda command: big(command) if command[1]["nth"] == "7" else None)

    @async_test
    async def scene() -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(client_module, "UNSENT_BYTES", 50_000)
            async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, _):
                raw, conn = await narrow(node)
                raw.send(request(1, d="20000"))
                await wait_until(lambda: cache.received)
                raw.send(request(2, chunk="7"))
                await wait_until(lambda: conn.unsent() > 50_000)
                raw.send(request(3))  # more work for it would lie here: refused
                await wait_until(lambda: conn._over == 1)
                if how == "close":
                    raw.sock.close()
                else:
                    raw.send(GONE)
                await wait_until(lambda: cache.aborted_ids == [f"{1:016x}"])
                assert len(cache.received) == 2 and cache.received[1][1]["nth"] == "7"
                with contextlib.suppress(OSError):
                    raw.sock.close()

    scene()


@async_test
async def test_a_client_that_takes_nothing_and_asks_on_is_cut_off_and_harms_nobody() -> None:
    cache = ScriptedCache(big)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "UNSENT_BYTES", 50_000)
        patch.setattr(client_module, "OVER_MOST", 40)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
            raw, conn = await narrow(node)
            raw.send(request(1))
            await wait_until(lambda: conn.unsent() > 50_000)
            for stream in range(2, 60):
                raw.send(request(stream))
            await wait_until(lambda: conn not in node.client_listener.connections)
            assert len(cache.received) == 1
            client.ask(1)
            assert (await client.next())[:3] == (17, 1, 0)
            raw.sock.close()


@async_test
async def test_a_flood_of_frames_holds_no_turn_of_the_loop() -> None:
    # 64 KB of the smallest frames were answered in one turn: 7,000 answers and log lines
    async with running_director(config({"r0": REFUSED})) as (node, client):
        raw, counts = Raw(node), [0]
        conn = await connected(node, raw)
        handle = conn._handle

        def counted(frame: Any) -> None:
            counts[-1] += 1
            handle(frame)

        conn._handle = counted  # type: ignore[method-assign]
        raw.send(struct.pack(">IBI", 5, 99, 7) * 7000)
        raw.sock.close()
        while conn in node.client_listener.connections:
            await asyncio.sleep(0)
            counts.append(0)
        assert max(counts) == client_module.FRAMES_AT_ONCE
        client.send(32, 5, encode_fields({}))
        assert (await client.next())[:3] == (33, 5, 0)


@async_test
async def test_a_client_that_leaves_while_its_write_waits_for_a_further_try_is_not_sent_on() -> None:
    # ruled out as it was, and to stay so: the origin refuses, the module waits with a timer
    origin = ScriptedCache(lambda _: ("overload -", b""))
    async with running_director(config({"c0": REFUSED, "r0": await origin.start()})) as (node, client):
        client.ask(1, c="sheet", k="5c")
        await wait_until(lambda: origin.received)
        client.send(18, 1)
        await wait_until(lambda: not node.director.live)
        tries = len(origin.received)
        client.ask(2, c="sheet", k="5d", d="400")  # its own further tries come later than those would have
        assert (await client.next())[:3] == (17, 2, 1)
        assert [command[0] for command in origin.received].count(f"{1:016x}") == tries


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_small_writes_wait_in_no_socket(runner: Callable[[Any], None]) -> None:
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
            client.ask(1)
            await client.next()
            ours = [c.sock for c in node.client_listener.connections]
            ours += [c.sock for c in node.upstream._pool["c0"] if c.sock is not None]
            assert len(ours) == 2
            assert all(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for sock in ours)

    runner(scene())


@async_test
async def test_frames_of_any_kind_from_a_client_that_takes_nothing_cost_bounded_memory() -> None:
    # only requests were counted, and each other frame left an answer that nobody took
    cache = ScriptedCache(big)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "UNSENT_BYTES", 50_000)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
            raw, conn = await narrow(node)
            raw.send(request(1))
            await wait_until(lambda: conn.unsent() > 50_000)
            raw.send(struct.pack(">IBI", 5, 32, 0) * (client_module.OVER_MOST + 1))
            await wait_until(lambda: conn not in node.client_listener.connections)
            client.ask(1)
            assert (await client.next())[:3] == (17, 1, 0)
            raw.sock.close()


@async_test
async def test_a_client_that_was_refused_while_the_loop_was_behind_is_not_closed_as_a_silent_one() -> None:
    # its connection was closed 2 s after it was made, and made room at the cap before all others
    async with running_director(config({"c0": await ScriptedCache(hit).start(), "r0": REFUSED})) as (
        node,
        client,
    ):
        (conn,) = node.client_listener.connections
        node.timers.lag = lambda: 2 * front_module.SHED_MS  # type: ignore[method-assign]
        client.ask(1)
        assert (await client.next())[:3] == (17, 1, 1)
        conn.sweep(conn.active_ms + client_module.IDLE_MS)
        assert conn.proven and not conn.shut_ms
        conn.sweep(conn.active_ms + client_module.IDLE_MS + 1.0)
        assert conn.shut_ms


@async_test
async def test_a_client_that_never_sent_a_usable_request_is_closed_as_a_silent_one() -> None:
    async with running_director(config({"c0": await ScriptedCache(hit).start(), "r0": REFUSED})) as (
        node,
        client,
    ):
        (conn,) = node.client_listener.connections
        client.ask(1, drop="c")
        assert (await client.next())[:3] == (17, 1, 2)
        conn.sweep(conn.born_ms + client_module.FIRST_MS + 1.0)
        assert not conn.proven and conn.shut_ms
