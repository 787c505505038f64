"""A request that was read has its answer before its connection ends, whatever ends it.

Each test brings a request and the end of its connection together: a raw socket writes within the director's
own turn of the loop, so that what it sends lies in the system, unread, when the end is decided on.
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

import gladelane.net.cache_protocol as lines_module
import gladelane.net.client_connection as client_module
import gladelane.net.client_listener as front_module
from gladelane import shutdown
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_answer
from gladelane.net.exchange import AnswerCode, Attempt, FinalAnswer
from gladelane.server import Server

REFUSED_ADDRESS = "127.0.0.1:1"
BIG = 240_000  # bytes of an object


def big(command: Command) -> tuple[str, bytes]:
    return "served digest=aa,dated=1,remark=h", b"x" * BIG


def answers(frames: list[tuple[int, int, bytes]]) -> list[tuple[int, AnswerCode]]:
    """Stream and code of each, but for notices of errors that belong to no request."""
    found = [
        (stream, AnswerCode(payload[0])) for type_, stream, payload in frames if type_ == FrameType.ANSWER
    ]
    return sorted((stream, code) for stream, code in found if stream)


def shut_write_side(raw: RawClient) -> None:
    raw.sock.shutdown(socket.SHUT_WR)


# --- a client that shuts its write side and waits for its answers


@async_test
async def test_a_client_that_shuts_its_write_side_is_told_that_its_running_request_failed() -> None:
    cache = ScriptedCache(never_respond)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        raw.send(encode_request(1))
        await wait_until(lambda: cache.received)
        shut_write_side(raw)
        frames, end = await raw.receive_until_end()
        assert (answers(frames), end) == ([(1, AnswerCode.FAILED)], "end of file")
        assert len(cache.received) == 1 and not node.director.live
        raw.sock.close()


@pytest.mark.parametrize("cancel", [True, False])
def test_a_client_that_shuts_its_write_side_while_it_waits_for_a_dial_is_refused(cancel: bool) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        listed = {"c0": await cache.start(), "r0": REFUSED_ADDRESS}
        async with running_director(config(listed, cancel=cancel)) as (node, _):
            raw = RawClient(node)

            async def shuts(attempt: Attempt) -> None:
                shut_write_side(raw)
                await wait_until(lambda: attempt.exchange.done)

            hold_dials_until(node, shuts)
            raw.send(encode_request(1))
            frames, end = await raw.receive_until_end()
            assert (answers(frames), end) == ([(1, AnswerCode.REFUSED)], "end of file")
            assert not cache.received
            raw.sock.close()

    scene()


@async_test
async def test_requests_that_are_read_together_with_the_shutdown_of_the_write_side_are_refused() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
        _,
        node_client,
    ):
        raw = RawClient.__new__(RawClient)
        raw.sock = socket.socket()
        port = node_client.writer.get_extra_info("peername")[1]
        raw.sock.connect(("127.0.0.1", port))
        raw.sock.setblocking(False)
        raw.send(
            encode_request(1) + encode_request(2) + encode_request(1) + CLIENT_GONE_FRAME + encode_request(3)
        )
        shut_write_side(raw)  # before the director has accepted it
        frames, end = await raw.receive_until_end()
        # 1 was given up; a stream that is used again has no second answer
        assert (answers(frames), end) == ([(2, AnswerCode.REFUSED), (3, AnswerCode.REFUSED)], "end of file")
        assert not cache.received
        raw.sock.close()


# --- the end of the process


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_a_connection_whose_socket_has_just_closed_fails_no_drain(runner: Callable[[Any], None]) -> None:
    # a look at its descriptor raised, and ended the process over what others were owed
    async def scene() -> None:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            conn.sock = socket.socket()
            conn.sock.close()
            assert not conn.has_unread_bytes() and node.client_listener.has_no_pending_requests()
            raw.sock.close()

    runner(scene())


@pytest.mark.parametrize("lies", ["in the system", "in the reader", "behind half a frame"])
def test_what_has_come_when_the_process_ends_is_refused_before_its_connection_is_shut(lies: str) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw, whole = RawClient(node), encode_request(1)
            conn = await wait_for_server_connection(node, raw)
            if lies == "behind half a frame":
                raw.send(whole[:20])
                await wait_until(lambda: conn.incomplete_since_ms)
                raw.send(whole[20:] + encode_request(2))
            else:
                raw.send(whole + encode_request(2))
            closing = asyncio.create_task(node.client_listener.close())
            if lies == "in the reader":  # it is read once the close has begun
                time.sleep(0.01)  # loopback delivers at once
                conn.reader.feed_data(conn.sock.recv(65_536))
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            await closing
            assert (answers(frames), end) == (
                [(1, AnswerCode.REFUSED), (2, AnswerCode.REFUSED)],
                "end of file",
            )
            assert not cache.received

    scene()


@async_test
async def test_many_frames_that_were_read_in_one_go_are_answered_before_the_process_ends() -> None:
    # all behind the first 64 frames were dropped, since the close came between two batches
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        raw, streams = RawClient(node), range(1, 201)
        conn = await wait_for_server_connection(node, raw)
        handle, closing = conn._handle_all, list[asyncio.Task[None]]()

        def handled(frames: list[Any]) -> None:
            if not closing:
                closing.append(asyncio.create_task(node.client_listener.close()))
            handle(frames)

        conn._handle_all = handled  # type: ignore[method-assign]
        raw.send(b"".join(encode_request(stream, o="0" * 15 + "z") for stream in streams))  # each is unusable
        frames, end = await raw.receive_until_end()
        raw.sock.close()
        await closing[0]
        assert ([stream for stream, _ in answers(frames)], end) == (list(streams), "end of file")


@async_test
async def test_a_newcomer_that_is_let_in_by_the_last_accept_is_answered() -> None:
    cache = ScriptedCache(hit)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(shutdown, "ACCEPT_PERIOD_S", 0.0)
        patch.setattr(shutdown, "ACCEPT_QUEUE_DELAY_S", 0.0)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            node.client_listener.cap = 1  # it waits in the system's queue
            raw = RawClient(node)
            raw.send(encode_request(1))
            await node.drain()
            closing = asyncio.create_task(node.client_listener.close())
            frames, end = await raw.receive_until_end()
            raw.sock.close()
            await closing
            assert (answers(frames), end) == ([(1, AnswerCode.SERVED)], "end of file")


# --- lost framing, and a frame that never ends


@pytest.mark.parametrize("garbage", [struct.pack(">I", 3), struct.pack(">I", 2**31), b"\xff" * 5000])
def test_requests_in_front_of_garbage_in_the_same_read_are_served(garbage: bytes) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)  # the first that comes on a new connection
            raw.send(encode_request(1) + encode_request(2) + garbage)
            frames, end = await raw.receive_until_end()
            assert (answers(frames), end) == ([(1, AnswerCode.SERVED), (2, AnswerCode.SERVED)], "end of file")
            raw.sock.close()

    scene()


# --- room for newcomers


async def slow(node: Server) -> tuple[RawClient, ClientConnection]:
    """A client that takes nothing, on a connection on which the system holds little: answers wait here."""
    raw = RawClient(node, receive_buffer_bytes=4096)
    conn = await wait_for_server_connection(node, raw)
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return raw, conn


@async_test
async def test_a_connection_that_is_being_closed_makes_no_room_while_its_answers_have_not_left() -> None:
    cache = ScriptedCache(big)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(front_module, "MIN_IDLE_MS", -1.0)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            raw, conn = await slow(node)
            raw.send(encode_request(1) + struct.pack(">I", 3))
            await wait_until(lambda: conn.write_closed_ms and conn.unsent_bytes())
            conn.write_closed_ms -= 60.0  # longer ago than a crossing takes
            node.client_listener.cap, node.client_listener.lingering = 0, 0
            await wait_until(lambda: not client.reader._buffer)  # type: ignore[attr-defined]
            assert (
                not node.client_listener._close_idle_connection()
            )  # the resting client goes, and the cap is not met all the same
            node.client_listener.cap, node.client_listener.lingering = 100, 1
            frames, end = await raw.receive_until_end()
            assert (answers(frames), end) == ([(1, AnswerCode.SERVED)], "end of file")
            assert [len(payload) for _, stream, payload in frames if stream] == [BIG + 2]
            raw.sock.close()


# --- a client that is cut off


@async_test
async def test_a_client_that_sends_on_while_it_takes_nothing_gets_what_it_had_open_if_it_reads_again() -> (
    None
):
    # it was reset, and with it went the answers that lay here and the requests that were open
    cache = ScriptedCache(lambda command: big(command) if command[1]["nth"] == "7" else None)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "MAX_UNSENT_BYTES", 50_000)
        patch.setattr(client_module, "MAX_FRAMES_WHILE_BLOCKED", 40)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw, conn = await slow(node)
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
                answers(frames)[:2] == [(1, AnswerCode.SERVED), (2, AnswerCode.SERVED)]
                and end == "end of file"
            )
            assert len(answers(frames)) == len({stream for stream, _ in answers(frames)}) == 2 + 41
            assert len(cache.received) == 2
            raw.sock.close()


@pytest.mark.parametrize("size", [240_000, lines_module.MAX_BODY_BYTES])
def test_the_largest_body_that_is_taken_from_a_cache_fits_a_frame_to_a_client(size: int) -> None:
    # 262,144 bytes were, and the frame that carried them could not be read: the request was lost
    reply = b"x" * size
    frame = encode_answer(1, FinalAnswer(AnswerCode.SERVED, reply, valid=True, retry_after_ms=1e9))
    (found,) = FrameDecoder().feed(frame)
    assert found.payload.endswith(reply)
