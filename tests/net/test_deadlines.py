"""What a cache is told to wait (`max`) is at most what the client has left, wherever the request lay before.

Each test holds a request up for at least so long, and allows the slack of the operators' page beyond that.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any

import pytest
import uvloop
from core_wait_time import get_core_wait_s
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
from raw_cache import RawCache, get_single_connection, receive_until
from raw_client import (
    CLIENT_GONE_FRAME,
    RawClient,
    encode_request,
    hold_dials_until,
    wait_for_server_connection,
)

import gladelane.net.client_connection as client_module
import gladelane.net.client_listener as front_module
import gladelane.net.outgoing as outgoing_module
from gladelane.net.client_protocol import FrameType, encode_fields, encode_frame
from gladelane.net.exchange import AnswerCode, Attempt
from gladelane.sockets import ms_since_last_data, unsent_bytes

REFUSED_ADDRESS = "127.0.0.1:1"
WAIT_MS, HELD_UP_MS, SLACK_MS = 1500, 400, 150
ANSWERED_S = 20.0  # many times what any answer takes
LATEST_S = 0.5  # after its deadline an answer only earns nothing; later the request is lost
BODY = 200_000  # more than a narrow cache and the system between take at once


def stated_ms(command: Command) -> int:
    return int(command[1]["max"])


def is_honest(command: Command) -> bool:
    return stated_ms(command) <= WAIT_MS - HELD_UP_MS + SLACK_MS


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_the_time_in_the_queue_for_room_counts(runner: Callable[[Any], None]) -> None:
    # it was counted from the accept, however long the connection had waited in the system's queue
    async def scene() -> None:
        cache = ScriptedCache(lambda command: hit(command) if command[0] == f"{2:016x}" else None)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(1)
            await wait_until(lambda: cache.received)
            node.client_listener.cap = 1
            raw = RawClient(node)
            raw.send(encode_request(2, d=str(WAIT_MS)))
            await asyncio.sleep(HELD_UP_MS / 1000.0)
            client.send(FrameType.GONE, 1)
            node.client_listener.cap = 9
            await wait_until(lambda: len(cache.received) == 2)
            assert is_honest(cache.received[1])
            late = RawClient(node)  # nobody waits any more: nothing is taken off
            conn = await wait_for_server_connection(node, late)
            assert conn._queued_ms == 0.0
            late.sock.close()
            raw.sock.close()

    runner(scene())


@pytest.mark.parametrize("read_bytes", [65_536, 100])  # in one read, in a later one
def test_the_time_behind_what_the_same_client_sent_before_counts(read_bytes: int) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            handle = conn._handle_all

            def handled(frames: list[Any]) -> None:
                time.sleep(HELD_UP_MS / 20_000.0)
                handle(frames)

            conn._handle_all = handled  # type: ignore[method-assign]
            ping = encode_frame(FrameType.ASK_READY, 0, encode_fields({}))
            raw.send(ping * 20 + encode_request(1, d=str(WAIT_MS)))
            await wait_until(lambda: cache.received)
            assert is_honest(cache.received[0])
            raw.sock.close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "MAX_FRAMES_PER_TURN", 1)
        patch.setattr(client_module, "READ_BYTES", read_bytes)
        scene()


@async_test
async def test_the_time_of_a_loop_that_was_held_up_counts() -> None:
    cache = ScriptedCache(hit)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(front_module, "MAX_LAG_MS", 1e9)  # else so late a request is refused at sight
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            del node.timers.lag, node.timers.margin  # type: ignore[misc]
            raw = RawClient(node)
            await wait_for_server_connection(node, raw)
            raw.send(encode_request(1, d=str(WAIT_MS)))
            time.sleep(HELD_UP_MS / 1000.0)
            await wait_until(lambda: cache.received)
            assert is_honest(cache.received[0])
            raw.sock.close()


@async_test
async def test_the_time_of_a_dial_counts() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)

        async def waits(attempt: Attempt) -> None:
            await asyncio.sleep(HELD_UP_MS / 1000.0)

        hold_dials_until(node, waits)
        raw.send(encode_request(1, d=str(WAIT_MS)))
        await wait_until(lambda: cache.received)
        assert is_honest(cache.received[0])
        raw.sock.close()


@pytest.mark.parametrize("hedge", [False, True])
def test_the_time_before_a_further_attempt_counts(hedge: bool) -> None:
    @async_test
    async def scene() -> None:
        caches = [ScriptedCache(never_respond) for _ in range(2)]
        listed = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        listed["r0"] = REFUSED_ADDRESS
        async with running_director(config(listed, may_duplicate=hedge)) as (node, _):
            if hedge:
                node.director.router.budgets.hedges = 5.0
            attempts, send = list[Attempt](), node.upstream.send

            def sends(attempt: Attempt) -> None:
                attempts.append(attempt)
                send(attempt)

            node.upstream.send = sends  # type: ignore[method-assign]
            raw = RawClient(node)
            raw.send(encode_request(1, d=str(WAIT_MS)))
            await wait_until(lambda: any(cache.received for cache in caches))
            (first,) = (cache for cache in caches if cache.received)
            if not hedge:
                await asyncio.sleep(HELD_UP_MS / 1000.0)
                first.connections[0].write(b"%016x overload - 0\r\n\r\n" % 1)
            await wait_until(lambda: all(cache.received for cache in caches))
            (second,) = (cache for cache in caches if cache is not first)
            # by the moments of writing: what this loop was late by when it looked is in neither
            waited_ms = attempts[1].written_ms - attempts[0].written_ms
            assert waited_ms >= (0.0 if hedge else HELD_UP_MS)
            assert stated_ms(second.received[0]) <= WAIT_MS - waited_ms + SLACK_MS
            raw.sock.close()

    scene()


@async_test
async def test_a_request_that_a_cache_does_not_take_lies_in_no_buffer_until_its_time_is_wrong() -> None:
    # it lay in the system's buffer with the time it had when it was written, and left when the cache read on
    peer = RawCache(receive_buffer_bytes=4096)
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"c0": peer.address, "r0": REFUSED_ADDRESS})) as (node, client):
            client.ask(9, body=b"x" * BODY, d="20000")
            slow = await peer.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            raw, look = RawClient(node), outgoing_module.unsent_bytes

            def looks(sock: Any) -> int:
                """As if the cache had taken all until the second was written, and no more from then on."""
                latest = conn.attempts.queue.out.latest if conn.attempts.queue.out is not None else None
                return look(sock) if latest is not None and latest.exchange.ask.id == f"{1:016x}" else 0

            patch.setattr(outgoing_module, "unsent_bytes", looks)
            raw.send(encode_request(1, d=str(WAIT_MS)))
            await wait_until(lambda: len(conn.open) == 2)
            await asyncio.sleep(HELD_UP_MS / 1000.0)
            came = b""
            with contextlib.suppress(ConnectionError, TimeoutError):
                while data := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(slow, 65_536), 0.3):
                    came += data
            assert came.count(b"fetch") == 1 and b"%016x" % 1 not in came
            fresh = await peer.accept_connection()
            assert b"fetch" in await receive_until(fresh, b"\r\n")  # it is tried on another connection
            raw.sock.close()
            fresh.close()
            slow.close()


@pytest.mark.parametrize("dials", [False, True])
@pytest.mark.parametrize("wait_ms", ["0.5", "1", "3", "6", "10", "20", "40", "60"])
def test_a_request_with_very_little_time_is_answered_once_and_never_sent_with_more(
    wait_ms: str, dials: bool
) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            if not dials:
                client.ask(9, d="300")
                await wait_until(lambda: cache.received)
            raw = RawClient(node)
            await wait_for_server_connection(node, raw)
            loop = asyncio.get_running_loop()
            began = loop.time() - get_core_wait_s()
            raw.send(encode_request(1, d=wait_ms))
            frame = await asyncio.wait_for(loop.sock_recv(raw.sock, 65_536), ANSWERED_S)
            took_s = loop.time() - get_core_wait_s() - began
            assert took_s <= float(wait_ms) / 1000.0 + LATEST_S
            assert frame[4] == FrameType.ANSWER and frame[9] in (AnswerCode.REFUSED, AnswerCode.FAILED)
            await wait_until(lambda: not any(e.ask.id == f"{1:016x}" for e in node.director.live.values()))
            assert all(
                stated_ms(command) <= float(wait_ms)
                for command in cache.received
                if command[0] == f"{1:016x}"
            )
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(loop.sock_recv(raw.sock, 65_536), 0.05)
            raw.sock.close()

    scene()


@async_test
async def test_the_system_tells_how_long_ago_bytes_came() -> None:
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        conn.writer.transport.pause_reading()  # type: ignore[attr-defined]
        raw.send(CLIENT_GONE_FRAME)
        await asyncio.sleep(0.1)
        assert 90.0 <= ms_since_last_data(conn.sock) <= 5000.0
        raw.sock.close()
        assert ms_since_last_data(raw.sock) == 0.0
