"""Races between two events on a client's connection. The raw client or a barrier forces the unfavourable order.

A raw client writes during the director's own loop iteration: what it sends is then in the receive buffer, unread.
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
    REFUSED_ADDRESS,
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
from raw_client import (
    CLIENT_GONE_FRAME,
    RawClient,
    encode_request,
    hold_dials_until,
    wait_for_server_connection,
)

import gladelane.net.client_connection as connection_module
import gladelane.net.client_listener as listener_module
from gladelane import shutdown
from gladelane.net import connection_end
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import encode_fields
from gladelane.net.exchange import Attempt
from gladelane.server import Server

LARGE_BODY_BYTES = 240_000


async def connect_with_small_buffers(node: Server) -> tuple[RawClient, ClientConnection]:
    """A client that reads nothing, on a connection with small buffers: answers wait in the director."""
    raw = RawClient(node, receive_buffer_bytes=4096)
    conn = await wait_for_server_connection(node, raw)
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return raw, conn


def serve_large_body(command: Any) -> tuple[str, bytes]:
    return "served digest=aa,dated=1,remark=h", b"x" * LARGE_BODY_BYTES


@async_test
async def test_a_request_during_the_close_of_an_idle_connection_is_read_and_not_forwarded() -> None:
    # Earlier both directions were shut down after the last check for unread bytes: a request in between caused a reset.
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        check = conn.has_unread_bytes

        def check_and_send() -> bool:
            result = check()
            raw.send(encode_request(1))
            return result

        conn.has_unread_bytes = check_and_send  # type: ignore[method-assign]
        conn.sweep(node.clock.now() + 5000.0)
        assert await raw.receive_until_end() == ([], "end of file")
        raw.send(encode_request(2))  # a request after the end of file causes no reset either
        assert raw.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0
        raw.sock.close()
        await wait_until(lambda: conn not in node.client_listener.connections)
        assert not cache.received and not node.client_listener.lingering


@async_test
async def test_answers_in_transit_are_not_lost_when_a_connection_with_unread_bytes_is_closed() -> None:
    # A plain close of a socket with unread bytes resets the connection, which discards the answers in the send buffer.
    cache = ScriptedCache(serve_large_body)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(listener_module, "CLOSE_TIMEOUT_S", 5.0)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node, receive_buffer_bytes=4096)
            raw.send(encode_request(1))
            conn = await wait_for_server_connection(node, raw)
            await wait_until(lambda: cache.received and not node.director.live and not conn.unsent_bytes())
            raw.send(encode_request(2))  # still unread by the director, which refuses it before the close
            closing = asyncio.create_task(node.client_listener.close())
            await asyncio.sleep(0)
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            await closing
            assert [(stream, payload[0], len(payload)) for _, stream, payload in frames] == [
                (1, 0, LARGE_BODY_BYTES + 2),
                (2, 1, 2),
            ]
            assert end == "end of file"
            assert len(cache.received) == 1


@pytest.mark.parametrize("is_partial", [False, True])
def test_a_drain_does_not_end_before_an_unread_or_partly_read_request_is_answered(is_partial: bool) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
            async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
                node,
                _,
            ):
                raw, frame = RawClient(node), encode_request(1)
                conn = await wait_for_server_connection(node, raw)
                if is_partial:
                    raw.send(frame[:20])
                    await wait_until(lambda: conn.incomplete_since_ms)
                else:
                    conn.writer.transport.pause_reading()  # type: ignore[attr-defined]
                    raw.send(frame)
                assert not node.client_listener.has_no_pending_requests()
                draining = asyncio.create_task(node.drain())
                await wait_until(lambda: node.client_listener.listener is None)
                if is_partial:
                    raw.send(frame[20:])
                else:
                    conn.writer.transport.resume_reading()  # type: ignore[attr-defined]
                await draining
                closing = asyncio.create_task(node.client_listener.close())
                frames, end = await raw.receive_until_end()
                raw.sock.close()
                await closing
                assert [(type_, stream) for type_, stream, _ in frames if type_ == 17] == [
                    (17, 1)
                ] and end == "end of file"

    scenario()


@async_test
async def test_a_partial_frame_that_is_never_completed_does_not_delay_a_drain() -> None:
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        raw.send(encode_request(1)[:20])
        conn = await wait_for_server_connection(node, raw)
        await wait_until(lambda: conn.incomplete_since_ms)
        assert conn.may_have_sent_request(conn.last_active_ms + 200.0) and not conn.may_have_sent_request(
            conn.last_active_ms + 400.0
        )


@async_test
async def test_a_request_after_the_end_of_a_drain_is_refused_and_not_forwarded() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, client):
        node.client_listener.is_closing = True  # as drain() leaves it
        client.ask(1)
        assert (await client.next())[:3] == (17, 1, 1) and not cache.received


@pytest.mark.parametrize("error", ["length", "frame that never ends"])
def test_open_requests_are_answered_before_a_connection_with_a_framing_error_is_closed(error: str) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)
            raw.send(encode_request(1))
            conn = await wait_for_server_connection(node, raw)
            await wait_until(lambda: cache.received)
            raw.send(struct.pack(">I", 3) if error == "length" else raw_frame(50_000, 16, 2, b"x" * 30_000))
            await wait_until(lambda: conn.discards_input or conn.incomplete_since_ms)
            conn.sweep(conn.last_active_ms + 2600.0)
            raw.send(encode_request(3))  # nothing after a framing error can be parsed
            await wait_until(lambda: conn.discards_input and not conn.has_unread_bytes())
            cache.connections[0].write(b"0000000000000001 served digest=aa,dated=1,remark=h 2\r\nok\r\n")
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            assert frames == [(17, 0, b"\x02\x00"), (17, 1, b"\x00\x00ok")] and end == "end of file"
            assert len(cache.received) == 1

    scenario()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("method", ["type 18", "close", "reset"])
def test_a_request_whose_client_leaves_while_it_waits_for_a_dial_is_not_forwarded(
    method: str, cancel: bool
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(
            config({"c0": await cache.start(), "r0": REFUSED_ADDRESS}, cancel=cancel)
        ) as (
            node,
            _,
        ):
            raw = RawClient(node)

            async def leave(attempt: Attempt) -> None:
                if method == "type 18":
                    raw.send(CLIENT_GONE_FRAME)
                else:
                    if method == "reset":
                        raw.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                    raw.sock.close()
                await wait_until(lambda: attempt.exchange.done)

            tasks = hold_dials_until(node, leave)
            raw.send(encode_request(1))
            await wait_until(lambda: tasks and tasks[0].done() and not node.director.live)
            await wait_until(lambda: len(cache.connections) == 1)  # the dial itself has succeeded
            checker = await Client.connect(node.port)
            checker.ask(9)
            assert (await checker.next())[:3] == (17, 9, 0)
            assert [command[0] for command in cache.received] == [f"{9:016x}"]
            checker.writer.close()

    scenario()


@pytest.mark.parametrize("method", ["type 18", "close"])
def test_a_request_that_is_read_together_with_the_departure_of_its_client_is_not_forwarded(
    method: str,
) -> None:
    # A client above the connection limit waits in the listen queue, where it sends a request and leaves. The director
    # later reads both at once.
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(lambda command: hit(command) if command[1]["nth"] == "7" else None)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(1)
            await wait_until(lambda: cache.received)
            node.client_listener.cap = 1
            ended: list[ClientConnection] = []
            serve = node.client_listener._serve

            async def serve_and_record(conn: ClientConnection) -> None:
                await serve(conn)
                ended.append(conn)

            node.client_listener._serve = serve_and_record  # type: ignore[method-assign]
            raw = RawClient(node)
            raw.send(encode_request(1, i=f"{77:016x}"))
            if method == "close":
                raw.sock.close()
            else:
                raw.send(CLIENT_GONE_FRAME)
            client.send(18, 1)  # the connection limit is no longer reached
            node.client_listener.cap = 2
            await wait_until(lambda: len(node.client_listener.connections) + len(ended) == 2)
            if method == "close":
                await wait_until(lambda: ended)
            client.ask(2, chunk="7")
            assert (await client.next())[:3] == (17, 2, 0)
            assert [command[0] for command in cache.received] == [f"{n:016x}" for n in (1, 2)]
            raw.sock.close()

    scenario()


@pytest.mark.parametrize("method", ["type 18", "close"])
def test_the_departure_of_a_client_is_noticed_also_while_it_reads_no_answers(method: str) -> None:
    cache = ScriptedCache(lambda command: serve_large_body(command) if command[1]["nth"] == "7" else None)

    @async_test
    async def scenario() -> None:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(connection_module, "MAX_UNSENT_BYTES", 50_000)
            async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
                node,
                _,
            ):
                raw, conn = await connect_with_small_buffers(node)
                raw.send(encode_request(1, d="20000"))
                await wait_until(lambda: cache.received)
                raw.send(encode_request(2, chunk="7"))
                await wait_until(lambda: conn.unsent_bytes() > 50_000)
                raw.send(encode_request(3))  # refused, since its answer would wait in the director
                await wait_until(lambda: conn._frames_while_blocked == 1)
                if method == "close":
                    raw.sock.close()
                else:
                    raw.send(CLIENT_GONE_FRAME)
                await wait_until(lambda: cache.aborted_ids == [f"{1:016x}"])
                assert len(cache.received) == 2 and cache.received[1][1]["nth"] == "7"
                with contextlib.suppress(OSError):
                    raw.sock.close()

    scenario()


@async_test
async def test_a_client_that_reads_nothing_and_keeps_sending_requests_is_disconnected() -> None:
    cache = ScriptedCache(serve_large_body)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_module, "MAX_UNSENT_BYTES", 50_000)
        patch.setattr(connection_module, "MAX_FRAMES_WHILE_BLOCKED", 40)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            raw, conn = await connect_with_small_buffers(node)
            raw.send(encode_request(1))
            await wait_until(lambda: conn.unsent_bytes() > 50_000)
            for stream in range(2, 60):
                raw.send(encode_request(stream))
            await wait_until(lambda: conn not in node.client_listener.connections)
            assert len(cache.received) == 1
            client.ask(1)
            assert (await client.next())[:3] == (17, 1, 0)
            raw.sock.close()


@async_test
async def test_a_flood_of_frames_does_not_block_the_event_loop() -> None:
    # Earlier 64 KB of the smallest frames were handled in one loop iteration, with 7,000 answers and log lines.
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, client):
        raw, frames_per_iteration = RawClient(node), [0]
        conn = await wait_for_server_connection(node, raw)
        handle = conn._handle

        def handle_and_count(frame: Any) -> None:
            frames_per_iteration[-1] += 1
            handle(frame)

        conn._handle = handle_and_count  # type: ignore[method-assign]
        raw.send(struct.pack(">IBI", 5, 99, 7) * 7000)
        raw.sock.close()
        while conn in node.client_listener.connections:
            await asyncio.sleep(0)
            frames_per_iteration.append(0)
        assert max(frames_per_iteration) == connection_module.MAX_FRAMES_PER_TURN
        client.send(32, 5, encode_fields({}))
        assert (await client.next())[:3] == (33, 5, 0)


@async_test
async def test_a_keyed_request_whose_client_leaves_before_a_retry_is_not_sent_again() -> None:
    # The origin is overloaded, so the router waits for a retry timer.
    origin = ScriptedCache(lambda _: ("overload -", b""))
    async with running_director(config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})) as (
        node,
        client,
    ):
        client.ask(1, c="sheet", k="5c")
        await wait_until(lambda: origin.received)
        client.send(18, 1)
        await wait_until(lambda: not node.director.live)
        attempts = len(origin.received)
        # the retries of request 2 come later than those of request 1 would have
        client.ask(2, c="sheet", k="5d", d="400")
        assert (await client.next())[:3] == (17, 2, 1)
        assert [command[0] for command in origin.received].count(f"{1:016x}") == attempts


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_all_connections_send_small_writes_without_delay(runner: Callable[[Any], None]) -> None:
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(1)
            await client.next()
            sockets = [c.sock for c in node.client_listener.connections]
            sockets += [c.sock for c in node.upstream._pool["c0"] if c.sock is not None]
            assert len(sockets) == 2
            assert all(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for sock in sockets)

    runner(scenario())


@async_test
async def test_memory_for_a_client_that_reads_nothing_is_limited_for_frames_of_any_type() -> None:
    # Earlier only requests were counted, while the answers to all other frames accumulated unread.
    cache = ScriptedCache(serve_large_body)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(connection_module, "MAX_UNSENT_BYTES", 50_000)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            raw, conn = await connect_with_small_buffers(node)
            raw.send(encode_request(1))
            await wait_until(lambda: conn.unsent_bytes() > 50_000)
            raw.send(struct.pack(">IBI", 5, 32, 0) * (connection_module.MAX_FRAMES_WHILE_BLOCKED + 1))
            await wait_until(lambda: conn not in node.client_listener.connections)
            client.ask(1)
            assert (await client.next())[:3] == (17, 1, 0)
            raw.sock.close()


@async_test
async def test_a_client_that_was_refused_because_the_loop_was_late_is_not_closed_as_unused() -> None:
    # Earlier its connection was closed 2 s after it was opened, and was the first to be closed at the connection limit.
    async with running_director(config({"c0": await ScriptedCache(hit).start(), "r0": REFUSED_ADDRESS})) as (
        node,
        client,
    ):
        (conn,) = node.client_listener.connections
        node.timers.lag = lambda: 2 * listener_module.MAX_LAG_MS  # type: ignore[method-assign]
        client.ask(1)
        assert (await client.next())[:3] == (17, 1, 1)
        conn.sweep(conn.last_active_ms + connection_end.IDLE_TIMEOUT_MS)
        assert conn.has_sent_valid_frame and not conn.write_closed_ms
        conn.sweep(conn.last_active_ms + connection_end.IDLE_TIMEOUT_MS + 1.0)
        assert conn.write_closed_ms


@async_test
async def test_a_client_that_never_sent_a_valid_request_is_closed_as_unused() -> None:
    async with running_director(config({"c0": await ScriptedCache(hit).start(), "r0": REFUSED_ADDRESS})) as (
        node,
        client,
    ):
        (conn,) = node.client_listener.connections
        client.ask(1, drop="c")
        assert (await client.next())[:3] == (17, 1, 2)
        conn.sweep(conn.accepted_ms + connection_end.FIRST_FRAME_TIMEOUT_MS + 1.0)
        assert not conn.has_sent_valid_frame and conn.write_closed_ms
