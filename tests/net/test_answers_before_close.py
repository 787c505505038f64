"""Every request that was received is answered before its connection is closed, whatever closes it.

Each test makes a request and the end of its connection coincide: a raw socket writes within the same iteration
of the director's event loop, so its bytes are still unread in the kernel when the director decides to close.
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
from raw_client import (
    CLIENT_GONE_FRAME,
    RawClient,
    encode_request,
    hold_dials_until,
    wait_for_server_connection,
)

import gladelane.net.cache_protocol as cache_protocol_module
import gladelane.net.client_connection as client_module
import gladelane.net.client_listener as front_module
from gladelane import shutdown
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_answer
from gladelane.net.exchange import AnswerCode, Attempt, FinalAnswer
from gladelane.server import Server

BIG_BODY_BYTES = 240_000


def reply_with_big_body(command: Command) -> tuple[str, bytes]:
    return "served digest=aa,dated=1,remark=h", b"x" * BIG_BODY_BYTES


def sorted_answers(frames: list[tuple[int, int, bytes]]) -> list[tuple[int, AnswerCode]]:
    """The stream and code of each answer, without error frames on stream 0, which belong to no request."""
    decoded = [
        (stream, AnswerCode(payload[0])) for type_, stream, payload in frames if type_ == FrameType.ANSWER
    ]
    return sorted((stream, code) for stream, code in decoded if stream)


def shut_write_side(raw: RawClient) -> None:
    raw.sock.shutdown(socket.SHUT_WR)


# --- a client that shuts its write side down and waits for its answers


@async_test
async def test_a_running_request_of_a_client_that_shuts_its_write_side_is_answered_as_failed() -> None:
    cache = ScriptedCache(never_respond)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        raw.send(encode_request(1))
        await wait_until(lambda: cache.received)
        shut_write_side(raw)
        frames, end = await raw.receive_until_end()
        assert (sorted_answers(frames), end) == ([(1, AnswerCode.FAILED)], "end of file")
        assert len(cache.received) == 1 and not node.director.live
        raw.sock.close()


@pytest.mark.parametrize("cancel", [True, False])
def test_a_request_that_waits_for_a_dial_is_refused_when_its_client_shuts_its_write_side(
    cancel: bool,
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        addresses = {"c0": await cache.start(), "r0": REFUSED_ADDRESS}
        async with running_director(config(addresses, cancel=cancel)) as (node, _):
            raw = RawClient(node)

            async def shut_write_side_during_dial(attempt: Attempt) -> None:
                shut_write_side(raw)
                await wait_until(lambda: attempt.exchange.done)

            hold_dials_until(node, shut_write_side_during_dial)
            raw.send(encode_request(1))
            frames, end = await raw.receive_until_end()
            assert (sorted_answers(frames), end) == ([(1, AnswerCode.REFUSED)], "end of file")
            assert not cache.received
            raw.sock.close()

    scenario()


@async_test
async def test_requests_read_together_with_the_shutdown_of_the_write_side_are_refused() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (_, client):
        raw = RawClient.__new__(RawClient)
        raw.sock = socket.socket()
        port = client.writer.get_extra_info("peername")[1]
        raw.sock.connect(("127.0.0.1", port))
        raw.sock.setblocking(False)
        raw.send(
            encode_request(1) + encode_request(2) + encode_request(1) + CLIENT_GONE_FRAME + encode_request(3)
        )
        shut_write_side(raw)  # before the director has accepted the connection
        frames, end = await raw.receive_until_end()
        # request 1 was canceled, and a reused stream gets no second answer
        assert (sorted_answers(frames), end) == (
            [(2, AnswerCode.REFUSED), (3, AnswerCode.REFUSED)],
            "end of file",
        )
        assert not cache.received
        raw.sock.close()


# --- shutdown of the director


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_a_connection_whose_socket_was_just_closed_does_not_break_the_drain(
    runner: Callable[[Any], None],
) -> None:
    """Reading the number of unread bytes of a closed socket used to raise an exception, which ended the process
    while answers to other clients were still pending."""

    async def scenario() -> None:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            conn.sock = socket.socket()
            conn.sock.close()
            assert not conn.has_unread_bytes() and node.client_listener.has_no_pending_requests()
            raw.sock.close()

    runner(scenario())


@pytest.mark.parametrize("location", ["in the kernel", "in the reader", "behind half a frame"])
def test_requests_received_before_the_shutdown_are_refused_before_their_connection_is_closed(
    location: str,
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw, frame = RawClient(node), encode_request(1)
            conn = await wait_for_server_connection(node, raw)
            if location == "behind half a frame":
                raw.send(frame[:20])
                await wait_until(lambda: conn.incomplete_since_ms)
                raw.send(frame[20:] + encode_request(2))
            else:
                raw.send(frame + encode_request(2))
            close_task = asyncio.create_task(node.client_listener.close())
            if location == "in the reader":  # read from the socket after the close has started
                time.sleep(0.01)  # loopback delivers at once
                conn.reader.feed_data(conn.sock.recv(65_536))
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            await close_task
            assert (sorted_answers(frames), end) == (
                [(1, AnswerCode.REFUSED), (2, AnswerCode.REFUSED)],
                "end of file",
            )
            assert not cache.received

    scenario()


@async_test
async def test_all_frames_of_one_large_read_are_answered_before_the_shutdown() -> None:
    """Frames are handled in batches of 64. The close used to start between two batches, and all frames after
    the first batch were dropped."""
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        raw, streams = RawClient(node), range(1, 201)
        conn = await wait_for_server_connection(node, raw)
        real_handle_all, close_tasks = conn._handle_all, list[asyncio.Task[None]]()

        def handle_and_close(frames: list[Any]) -> None:
            if not close_tasks:
                close_tasks.append(asyncio.create_task(node.client_listener.close()))
            real_handle_all(frames)

        conn._handle_all = handle_and_close  # type: ignore[method-assign]
        # every request is invalid: its object is no hexadecimal number
        raw.send(b"".join(encode_request(stream, o="0" * 15 + "z") for stream in streams))
        frames, end = await raw.receive_until_end()
        raw.sock.close()
        await close_tasks[0]
        assert ([stream for stream, _ in sorted_answers(frames)], end) == (list(streams), "end of file")


@pytest.mark.parametrize("after_s", [0.0, 0.002, 0.005])
def test_answers_are_delivered_in_a_close_during_which_the_process_is_stalled(after_s: float) -> None:
    """The time for the close was used up by the stall, so connections were reset before their clients had a turn."""

    @async_test
    async def scenario() -> None:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            real_handle_all, close_tasks = conn._handle_all, list[asyncio.Task[None]]()

            def handle_and_close(frames: list[Any]) -> None:
                if not close_tasks:
                    close_tasks.append(asyncio.create_task(node.client_listener.close()))
                    stall = 2.0 * front_module.CLOSE_TIMEOUT_S
                    asyncio.get_running_loop().call_later(after_s, time.sleep, stall)
                real_handle_all(frames)

            conn._handle_all = handle_and_close  # type: ignore[method-assign]
            raw.send(b"".join(encode_request(stream, o="0" * 15 + "z") for stream in range(1, 201)))
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            await close_tasks[0]
            assert ([stream for stream, _ in sorted_answers(frames)], end) == (
                list(range(1, 201)),
                "end of file",
            )

    scenario()


@async_test
async def test_a_client_accepted_by_the_last_accept_before_the_shutdown_is_answered() -> None:
    cache = ScriptedCache(hit)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
        patch.setattr(shutdown, "ACCEPT_QUEUE_DELAY_S", 0.0)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            node.client_listener.cap = 1  # the new connection waits in the kernel's accept queue
            raw = RawClient(node)
            raw.send(encode_request(1))
            await node.drain()
            close_task = asyncio.create_task(node.client_listener.close())
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            await close_task
            assert (sorted_answers(frames), end) == ([(1, AnswerCode.SERVED)], "end of file")


# --- lost framing


@pytest.mark.parametrize("garbage", [struct.pack(">I", 3), struct.pack(">I", 2**31), b"\xff" * 5000])
def test_requests_before_invalid_bytes_in_the_same_read_are_served(garbage: bytes) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)  # the requests are the first bytes of a new connection
            raw.send(encode_request(1) + encode_request(2) + garbage)
            frames, end = await raw.receive_until_end()
            assert (sorted_answers(frames), end) == (
                [(1, AnswerCode.SERVED), (2, AnswerCode.SERVED)],
                "end of file",
            )
            raw.sock.close()

    scenario()


# --- closing connections to make room for new clients


async def connect_slow_client(node: Server) -> tuple[RawClient, ClientConnection]:
    """Connects a client that reads nothing, with small kernel buffers: its answers wait in the director."""
    raw = RawClient(node, receive_buffer_bytes=4096)
    conn = await wait_for_server_connection(node, raw)
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return raw, conn


@async_test
async def test_a_closing_connection_with_unsent_answers_is_not_closed_to_make_room() -> None:
    cache = ScriptedCache(reply_with_big_body)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(front_module, "MIN_IDLE_MS", -1.0)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            raw, conn = await connect_slow_client(node)
            raw.send(encode_request(1) + struct.pack(">I", 3))
            await wait_until(lambda: conn.write_closed_ms and conn.unsent_bytes())
            conn.write_closed_ms -= 60.0  # longer ago than it takes frames in flight to arrive
            node.client_listener.cap, node.client_listener.lingering = 0, 0
            await wait_until(lambda: not client.reader._buffer)  # type: ignore[attr-defined]
            assert (
                not node.client_listener._close_idle_connection()
            )  # the idle client is closed, and the cap is still exceeded
            node.client_listener.cap, node.client_listener.lingering = 100, 1
            frames, end = await raw.receive_until_end()
            assert (sorted_answers(frames), end) == ([(1, AnswerCode.SERVED)], "end of file")
            assert [len(payload) for _, stream, payload in frames if stream] == [BIG_BODY_BYTES + 2]
            raw.sock.close()


# --- a client that stops reading


@async_test
async def test_a_client_that_stops_reading_but_keeps_sending_gets_its_open_answers_later() -> None:
    """Such a client used to be reset, which lost its buffered answers and its open requests. The director must
    discard its further input and still send those answers once the client reads."""
    cache = ScriptedCache(lambda command: reply_with_big_body(command) if command[1]["nth"] == "7" else None)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "MAX_UNSENT_BYTES", 50_000)
        patch.setattr(client_module, "MAX_FRAMES_WHILE_BLOCKED", 40)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw, conn = await connect_slow_client(node)
            raw.send(encode_request(1, d="20000"))
            await wait_until(lambda: cache.received)
            raw.send(encode_request(2, chunk="7"))
            await wait_until(lambda: conn.unsent_bytes() > 50_000)
            for stream in range(3, 60):
                raw.send(encode_request(stream))
            await wait_until(lambda: conn.discards_input)
            cache.connections[0].write(b"0000000000000001 served digest=aa,dated=1,remark=h 2\r\nok\r\n")
            frames, end = await raw.receive_until_end()
            assert (
                sorted_answers(frames)[:2] == [(1, AnswerCode.SERVED), (2, AnswerCode.SERVED)]
                and end == "end of file"
            )
            assert (
                len(sorted_answers(frames)) == len({stream for stream, _ in sorted_answers(frames)}) == 2 + 41
            )
            assert len(cache.received) == 2
            raw.sock.close()


@pytest.mark.parametrize("size", [240_000, cache_protocol_module.MAX_BODY_BYTES])
def test_the_largest_body_accepted_from_a_cache_fits_in_a_frame_to_a_client(size: int) -> None:
    """A reply of 262,144 bytes used to be accepted, but the frame around it exceeded the frame limit and could
    not be decoded, so the request was lost."""
    reply = b"x" * size
    frame = encode_answer(1, FinalAnswer(AnswerCode.SERVED, reply, valid=True, retry_after_ms=1e9))
    (decoded,) = FrameDecoder().feed(frame)
    assert decoded.payload.endswith(reply)
