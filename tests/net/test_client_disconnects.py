"""Clients that cancel or disconnect, while the director has not read it yet and an attempt for them falls due.

Each test stops reading the client's connection before the client disconnects, as an event loop that is behind
does. The unfavourable order of events then occurs on any machine.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from harness import (
    REFUSED_ADDRESS,
    Command,
    ScriptedCache,
    async_test,
    config,
    hit,
    never_respond,
    running_director,
    wait_until,
)
from raw_cache import (
    SERVED_RESPONSE,
    RawCache,
    asked,
    build_client_request,
    get_single_connection,
    receive_until,
)
from raw_client import (
    CLIENT_GONE_FRAME,
    RawClient,
    encode_request,
    hold_dials_until,
    wait_for_server_connection,
)

import gladelane.net.client_listener as listener_module
import gladelane.net.outgoing as outgoing_module
import gladelane.net.write_queue as queue_module
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_frame
from gladelane.net.exchange import Attempt
from gladelane.server import Server
from gladelane.sockets import unsent_bytes

BODY_BYTES = 200_000  # more than the buffers between the director and a cache with a small window hold
HALF_FRAME = encode_request(9)[:30]
OVERLOAD_REPLY = b"%016x overload - 0\r\n\r\n"


def disconnect_client(raw: RawClient, method: str) -> None:
    if "behind" in method:
        raw.send(HALF_FRAME if method == "close behind half a frame" else encode_request(7, c="nothing") * 3)
    if method == "cancel frame in pieces":
        raw.send(CLIENT_GONE_FRAME[:3])
        raw.send(CLIENT_GONE_FRAME[3:])
    elif "cancel frame" in method:
        raw.send(CLIENT_GONE_FRAME)
    else:
        if method == "reset":
            raw.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        raw.sock.close()


DISCONNECT_METHODS = (
    "cancel frame",
    "cancel frame in pieces",
    "cancel frame behind requests",
    "close",
    "close behind half a frame",
    "reset",
)


def fix_frame_length(frame: bytes) -> bytes:
    """The frame with its length field corrected, after bytes were appended to its payload."""
    return struct.pack(">I", len(frame) - 4) + frame[4:]


def pause_reading(conn: ClientConnection) -> None:
    conn.writer.transport.pause_reading()  # type: ignore[attr-defined]


async def read_to_end(sock: socket.socket) -> tuple[bytes, str]:
    """Returns all bytes up to the end of the connection, and how it ended."""
    received = b""
    try:
        while data := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65_536), 5.0):
            received += data
    except ConnectionError:
        return received, "reset"
    return received, "end of file"


async def assert_no_further_attempt(node: Server, caches: list[ScriptedCache], attempts_before: int) -> None:
    """Asserts that the request ends without another attempt and without an answer."""
    await wait_until(lambda: not node.director.live)
    assert [node.director.metrics.withdrawn, sum(len(cache.received) for cache in caches)] == [
        1,
        attempts_before,
    ]


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("method", DISCONNECT_METHODS)
def test_a_dial_that_succeeds_before_a_disconnect_is_read_carries_no_attempt(
    method: str, cancel: bool
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(never_respond)
        async with running_director(
            config({"c0": await cache.start(), "r0": REFUSED_ADDRESS}, cancel=cancel)
        ) as (
            node,
            _,
        ):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)

            async def disconnect_during_dial(attempt: Attempt) -> None:
                pause_reading(conn)
                disconnect_client(raw, method)

            hold_dials_until(node, disconnect_during_dial)
            raw.send(encode_request(1))
            await wait_until(lambda: cache.connections)
            await assert_no_further_attempt(node, [cache], 0)
            raw.sock.close()

    scenario()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("method", DISCONNECT_METHODS)
def test_an_overload_reply_read_before_a_disconnect_starts_no_further_attempt(
    method: str, cancel: bool
) -> None:
    @async_test
    async def scenario() -> None:
        caches = [ScriptedCache(never_respond) for _ in range(2)]
        addresses = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        async with running_director(config({**addresses, "r0": REFUSED_ADDRESS}, cancel=cancel)) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            raw.send(encode_request(1))
            await wait_until(lambda: any(cache.received for cache in caches))
            pause_reading(conn)
            disconnect_client(raw, method)
            (requested_cache,) = (cache for cache in caches if cache.received)
            requested_cache.connections[0].write(OVERLOAD_REPLY % 1)
            await assert_no_further_attempt(node, caches, 1)
            raw.sock.close()

    scenario()


def reply_overloaded(command: Command) -> tuple[str, bytes] | None:
    return "overload -", b""


@pytest.mark.parametrize("method", DISCONNECT_METHODS)
def test_a_retry_whose_timer_fires_before_a_disconnect_is_read_is_not_sent(method: str) -> None:
    @async_test
    async def scenario() -> None:
        origin = ScriptedCache(reply_overloaded)
        async with running_director(config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            raw.send(encode_request(1, c="sheet", k="aa"))
            await wait_until(lambda: origin.received)
            pause_reading(conn)
            disconnect_client(raw, method)
            await assert_no_further_attempt(node, [origin], 1)
            raw.sock.close()

    scenario()


@pytest.mark.parametrize("cancel", [True, False])
def test_a_hedge_that_falls_due_before_a_cancel_is_read_is_not_sent(cancel: bool) -> None:
    @async_test
    async def scenario() -> None:
        caches = [ScriptedCache(never_respond) for _ in range(2)]
        addresses = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        async with running_director(config({**addresses, "r0": REFUSED_ADDRESS}, cancel=cancel)) as (node, _):
            node.director.router.budgets.hedges = 5.0
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            raw.send(encode_request(1))
            await wait_until(lambda: any(cache.received for cache in caches))
            pause_reading(conn)
            disconnect_client(raw, "cancel frame")
            await wait_until(lambda: node.director.metrics.withdrawn == 1)
            await wait_until(lambda: not node.director.live)
            assert sum(len(cache.received) for cache in caches) == 1
            raw.sock.close()

    scenario()


def test_a_request_whose_cancel_arrives_in_a_later_read_is_not_forwarded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(3)
            assert (await client.next())[:3] == (17, 3, 0)  # later requests find an open connection
            raw = RawClient(node)
            # all bytes have arrived before the connection is accepted
            raw.send(encode_request(1) + encode_request(2) + CLIENT_GONE_FRAME)
            await wait_until(lambda: len(cache.received) > 1 and not node.director.live)
            assert [command[0] for command in cache.received] == [f"{n:016x}" for n in (3, 2)]
            raw.sock.close()

    monkeypatch.setattr(listener_module, "MAX_READ_BYTES", len(encode_request(1)) + 20)
    scenario()


CANCEL_FRAMES = encode_frame(FrameType.GONE, 3) + encode_frame(FrameType.GONE, 5)


@pytest.mark.parametrize(
    ("buffered", "unread", "canceled_streams"),
    [
        (b"", b"", set()),
        (b"", CANCEL_FRAMES, {3, 5}),
        (CANCEL_FRAMES[:4], CANCEL_FRAMES[4:], {3, 5}),
        (b"", CANCEL_FRAMES[:-1], {3}),
        (encode_request(1)[:50], encode_request(1)[50:] + CANCEL_FRAMES, {3, 5}),
        (encode_request(1)[:50], CANCEL_FRAMES, set()),  # they are part of the incomplete frame
        (b"", b"\0\0\0\1" + CANCEL_FRAMES, set()),  # no frame is this short: the framing after it is unknown
    ],
)
def test_cancels_are_found_in_unread_bytes(
    buffered: bytes, unread: bytes, canceled_streams: set[int]
) -> None:
    decoder = FrameDecoder()
    assert not list(decoder.feed(buffered))
    assert decoder.find_cancelled_streams(unread) == canceled_streams
    assert decoder.incomplete_bytes() == len(buffered)


@async_test
async def test_a_request_behind_unread_bytes_of_a_cache_waits_and_moves_to_another_connection() -> None:
    """A second request used to be written behind the first into the kernel's send buffer, from which it could
    not be withdrawn. It must wait, and then go to another connection."""
    cache = RawCache(receive_buffer_bytes=4096)
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
        client.ask(1, body=b"x" * BODY_BYTES)
        slow_cache_sock = await cache.accept_connection()
        conn = get_single_connection(node, "c0")
        await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
        client.ask(2)
        new_cache_sock = await cache.accept_connection()
        request_line = await receive_until(new_cache_sock, b"\r\n")
        assert (
            f"{2:016x}".encode() in request_line
            and not conn.attempts.queue.waiting
            and list(conn.open) == [f"{1:016x}"]
        )
        new_cache_sock.close()
        slow_cache_sock.close()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("method", ["cancel frame", "close"])
def test_a_client_that_disconnects_while_a_cache_reads_nothing_costs_the_cache_no_attempt(
    method: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def scenario() -> None:
        cache = RawCache(receive_buffer_bytes=4096)
        async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS}, cancel=cancel)) as (
            node,
            client,
        ):
            client.ask(9, body=b"x" * BODY_BYTES)
            slow_cache_sock = await cache.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            raw = RawClient(node)
            raw.send(encode_request(1))
            await wait_until(lambda: len(node.director.live) == 2)
            assert len(conn.open) == 2
            disconnect_client(raw, method)
            await wait_until(lambda: len(node.director.live) == 1)
            first_fetch = await receive_until(slow_cache_sock, b"x\r\n")
            client.ask(3)  # no withheld request is sent before it
            assert (first_fetch + await receive_until(slow_cache_sock, b"\r\n")).count(b"fetch") == 2
            raw.sock.close()
            slow_cache_sock.close()

    monkeypatch.setattr(
        queue_module, "STUCK_AFTER_MS", 10_000.0
    )  # the waiting request is not moved elsewhere
    scenario()


@pytest.mark.parametrize("cancel", [True, False])
def test_a_request_in_the_kernel_send_buffer_is_not_sent_after_its_client_disconnected(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The connection used to be closed without a reset, so the kernel still sent what its buffer held."""

    @async_test
    async def scenario() -> None:
        cache = RawCache(receive_buffer_bytes=4096)
        async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS}, cancel=cancel)) as (
            node,
            client,
        ):
            client.ask(
                9, body=b"x" * BODY_BYTES, d="20000"
            )  # long enough that only the cancel ends an attempt
            slow_cache_sock = await cache.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            raw, real_unsent_bytes = RawClient(node), outgoing_module.unsent_bytes

            def fake_unsent_bytes(sock: socket.socket) -> int:
                """Reports an empty send buffer until the second request is written, and the real one afterwards."""
                last_attempt = conn.attempts.queue.out.latest if conn.attempts.queue.out is not None else None
                return (
                    real_unsent_bytes(sock)
                    if last_attempt is not None and last_attempt.exchange.ask.id == f"{1:016x}"
                    else 0
                )

            monkeypatch.setattr(outgoing_module, "unsent_bytes", fake_unsent_bytes)
            raw.send(encode_request(1, d="20000"))
            await wait_until(lambda: len(conn.open) == 2)
            assert all(attempt.written_ms for attempt in conn.open.values())
            disconnect_client(raw, "cancel frame")
            await wait_until(lambda: conn.finished)
            received, end = await read_to_end(slow_cache_sock)
            assert end == "reset"
            assert received.count(b"fetch") == 1
            raw.sock.close()
            slow_cache_sock.close()

    scenario()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("method", ["cancel frame", "close"])
def test_a_partly_sent_request_is_not_completed_after_its_client_disconnected(
    method: str, cancel: bool
) -> None:
    """The request line had been sent and part of the body had not. When the cache resumed reading, the kernel
    completed the request, and the cache could run it although its client had gone."""

    @async_test
    async def scenario() -> None:
        cache = RawCache(receive_buffer_bytes=4096)
        async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS}, cancel=cancel)) as (
            node,
            _,
        ):
            raw = RawClient(node)
            frame = encode_request(1, d="20000") + b"x" * BODY_BYTES
            raw.sock.setblocking(True)
            sending = asyncio.create_task(asyncio.to_thread(raw.sock.sendall, fix_frame_length(frame)))
            slow_cache_sock = await cache.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            await sending
            disconnect_client(raw, method)
            await wait_until(lambda: not node.director.live)
            await asyncio.sleep(0.2)  # the cache resumes reading only after the request was withdrawn
            received, end = await read_to_end(slow_cache_sock)
            assert end == "reset"
            assert b"fetch" in received and len(received) < BODY_BYTES
            raw.sock.close()
            slow_cache_sock.close()

    scenario()


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_an_attempt_is_sent_in_the_loop_iteration_in_which_its_client_was_checked(
    runner: Callable[[Any], None],
) -> None:
    """The check that the client is still connected is outdated if the event loop writes only at the end of its
    iteration, which may take long."""

    async def scenario() -> None:
        cache = RawCache()
        async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
            sock = await asked(cache, client)
            for number in (2, 3):
                node.director.admit(build_client_request(number), lambda final: None)
            time.sleep(0.02)  # in the same iteration of the loop; loopback delivers at once
            assert sock.recv(65_536).count(b"fetch") == 2
            for number in (1, 2, 3):
                sock.send(SERVED_RESPONSE % (b"%016x" % number, 2, b"ok"))
            await wait_until(lambda: not node.director.live)
            sock.close()

    runner(scenario())


@async_test
async def test_half_a_cancel_frame_cancels_nothing() -> None:
    origin = ScriptedCache(reply_overloaded)
    async with running_director(config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        raw.send(encode_request(1, c="sheet", k="aa"))
        await wait_until(lambda: origin.received)
        pause_reading(conn)
        raw.send(CLIENT_GONE_FRAME[:-1])
        await wait_until(lambda: len(origin.received) > 1)  # the request is retried
        raw.sock.close()


@async_test
async def test_a_request_received_in_pieces_is_forwarded_only_once_it_is_complete() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        frame = encode_request(1)
        for start in range(0, len(frame) - 1, 7):
            raw.send(frame[start : min(start + 7, len(frame) - 1)])
            await wait_until(lambda: not conn.has_unread_bytes())
        assert not node.director.live and not cache.received
        raw.send(frame[-1:])
        await wait_until(lambda: cache.received)
        raw.sock.close()
