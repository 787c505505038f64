"""A cache is given (`max`) at most the time left until the client's deadline, wherever the request waited.

Each test delays a request for at least DELAY_MS and allows SLACK_MS of inaccuracy, as the operators specify.
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

DEADLINE_MS, DELAY_MS, SLACK_MS = 1500, 400, 150
ANSWERED_S = 20.0  # far longer than any answer takes
MAX_LATENESS_S = 0.5  # a later answer counts as a lost request, an earlier one only as worthless
BODY_BYTES = 200_000  # more than the buffers between the director and a cache with a small window hold


def stated_time_ms(command: Command) -> int:
    return int(command[1]["max"])


def states_remaining_time(command: Command) -> bool:
    return stated_time_ms(command) <= DEADLINE_MS - DELAY_MS + SLACK_MS


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_the_time_in_the_accept_queue_counts_for_the_deadline(runner: Callable[[Any], None]) -> None:
    """The deadline used to be counted from the accept, however long the connection had waited in the kernel's
    accept queue."""

    async def scenario() -> None:
        cache = ScriptedCache(lambda command: hit(command) if command[0] == f"{2:016x}" else None)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(1)
            await wait_until(lambda: cache.received)
            node.client_listener.cap = 1
            raw = RawClient(node)
            raw.send(encode_request(2, d=str(DEADLINE_MS)))
            await asyncio.sleep(DELAY_MS / 1000.0)
            client.send(FrameType.GONE, 1)
            node.client_listener.cap = 9
            await wait_until(lambda: len(cache.received) == 2)
            assert states_remaining_time(cache.received[1])
            later_client = RawClient(node)  # no connection waits any more, so no time is subtracted
            conn = await wait_for_server_connection(node, later_client)
            assert conn._queued_ms == 0.0
            later_client.sock.close()
            raw.sock.close()

    runner(scenario())


@pytest.mark.parametrize("read_bytes", [65_536, 100])  # all frames in one read, the request in a later read
def test_the_time_behind_earlier_frames_of_the_client_counts_for_the_deadline(read_bytes: int) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            real_handle_all = conn._handle_all

            def handle_slowly(frames: list[Any]) -> None:
                time.sleep(DELAY_MS / 20_000.0)
                real_handle_all(frames)

            conn._handle_all = handle_slowly  # type: ignore[method-assign]
            ping = encode_frame(FrameType.ASK_READY, 0, encode_fields({}))
            raw.send(ping * 20 + encode_request(1, d=str(DEADLINE_MS)))
            await wait_until(lambda: cache.received)
            assert states_remaining_time(cache.received[0])
            raw.sock.close()

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(client_module, "MAX_FRAMES_PER_TURN", 1)
        patch.setattr(front_module, "MAX_READ_BYTES", read_bytes)
        scenario()


@async_test
async def test_the_time_in_which_the_event_loop_was_blocked_counts_for_the_deadline() -> None:
    cache = ScriptedCache(hit)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            front_module, "MAX_LAG_MS", 1e9
        )  # otherwise a request read this late is refused at once
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
            del node.timers.lag, node.timers.margin  # type: ignore[misc]
            raw = RawClient(node)
            await wait_for_server_connection(node, raw)
            raw.send(encode_request(1, d=str(DEADLINE_MS)))
            time.sleep(DELAY_MS / 1000.0)
            await wait_until(lambda: cache.received)
            assert states_remaining_time(cache.received[0])
            raw.sock.close()


@async_test
async def test_the_time_of_a_dial_counts_for_the_deadline() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)

        async def delay_dial(attempt: Attempt) -> None:
            await asyncio.sleep(DELAY_MS / 1000.0)

        hold_dials_until(node, delay_dial)
        raw.send(encode_request(1, d=str(DEADLINE_MS)))
        await wait_until(lambda: cache.received)
        assert states_remaining_time(cache.received[0])
        raw.sock.close()


@pytest.mark.parametrize("is_hedge", [False, True])
def test_the_time_before_a_retry_or_hedge_counts_for_the_deadline(is_hedge: bool) -> None:
    @async_test
    async def scenario() -> None:
        caches = [ScriptedCache(never_respond) for _ in range(2)]
        addresses = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        addresses["r0"] = REFUSED_ADDRESS
        async with running_director(config(addresses, may_duplicate=is_hedge)) as (node, _):
            if is_hedge:
                node.director.router.budgets.hedges = 5.0
            attempts, real_send = list[Attempt](), node.upstream.send

            def record_and_send(attempt: Attempt) -> None:
                attempts.append(attempt)
                real_send(attempt)

            node.upstream.send = record_and_send  # type: ignore[method-assign]
            raw = RawClient(node)
            raw.send(encode_request(1, d=str(DEADLINE_MS)))
            await wait_until(lambda: any(cache.received for cache in caches))
            (first_cache,) = (cache for cache in caches if cache.received)
            if not is_hedge:
                await asyncio.sleep(DELAY_MS / 1000.0)
                first_cache.connections[0].write(b"%016x overload - 0\r\n\r\n" % 1)
            await wait_until(lambda: all(cache.received for cache in caches))
            (second_cache,) = (cache for cache in caches if cache is not first_cache)
            # measured between the writes, so that delays of the test's own polling do not count
            between_attempts_ms = attempts[1].written_ms - attempts[0].written_ms
            assert between_attempts_ms >= (0.0 if is_hedge else DELAY_MS)
            assert stated_time_ms(second_cache.received[0]) <= DEADLINE_MS - between_attempts_ms + SLACK_MS
            raw.sock.close()

    scenario()


@async_test
async def test_a_request_that_a_cache_does_not_read_is_not_sent_later_with_an_outdated_time() -> None:
    """The request used to wait in the kernel's send buffer with the time that was left when it was written, and was
    sent with that outdated time when the cache resumed reading."""
    cache = RawCache(receive_buffer_bytes=4096)
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
            client.ask(9, body=b"x" * BODY_BYTES, d="20000")
            slow_cache_sock = await cache.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            raw, real_unsent_bytes = RawClient(node), outgoing_module.unsent_bytes

            def fake_unsent_bytes(sock: Any) -> int:
                """Reports an empty send buffer until the second request is written, then the real one."""
                last_attempt = conn.attempts.queue.out.latest if conn.attempts.queue.out is not None else None
                return (
                    real_unsent_bytes(sock)
                    if last_attempt is not None and last_attempt.exchange.ask.id == f"{1:016x}"
                    else 0
                )

            patch.setattr(outgoing_module, "unsent_bytes", fake_unsent_bytes)
            raw.send(encode_request(1, d=str(DEADLINE_MS)))
            await wait_until(lambda: len(conn.open) == 2)
            await asyncio.sleep(DELAY_MS / 1000.0)
            received = b""
            with contextlib.suppress(ConnectionError, TimeoutError):
                while data := await asyncio.wait_for(
                    asyncio.get_running_loop().sock_recv(slow_cache_sock, 65_536), 0.3
                ):
                    received += data
            assert received.count(b"fetch") == 1 and b"%016x" % 1 not in received
            new_cache_sock = await cache.accept_connection()
            assert b"fetch" in await receive_until(
                new_cache_sock, b"\r\n"
            )  # it is retried on another connection
            raw.sock.close()
            new_cache_sock.close()
            slow_cache_sock.close()


@pytest.mark.parametrize("must_dial", [False, True])
@pytest.mark.parametrize("deadline_ms", ["0.5", "1", "3", "6", "10", "20", "40", "60"])
def test_a_request_with_very_little_time_is_answered_once_and_never_sent_with_more_time(
    deadline_ms: str, must_dial: bool
) -> None:
    @async_test
    async def scenario() -> None:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            if not must_dial:
                client.ask(9, d="300")
                await wait_until(lambda: cache.received)
            raw = RawClient(node)
            await wait_for_server_connection(node, raw)
            loop = asyncio.get_running_loop()
            started_s = loop.time() - get_core_wait_s()
            raw.send(encode_request(1, d=deadline_ms))
            frame = await asyncio.wait_for(loop.sock_recv(raw.sock, 65_536), ANSWERED_S)
            elapsed_s = loop.time() - get_core_wait_s() - started_s
            assert elapsed_s <= float(deadline_ms) / 1000.0 + MAX_LATENESS_S
            assert frame[4] == FrameType.ANSWER and frame[9] in (AnswerCode.REFUSED, AnswerCode.FAILED)
            await wait_until(
                lambda: not any(exchange.ask.id == f"{1:016x}" for exchange in node.director.live.values())
            )
            assert all(
                stated_time_ms(command) <= float(deadline_ms)
                for command in cache.received
                if command[0] == f"{1:016x}"
            )
            with pytest.raises(TimeoutError):
                await asyncio.wait_for(loop.sock_recv(raw.sock, 65_536), 0.05)
            raw.sock.close()

    scenario()


@async_test
async def test_the_kernel_reports_how_long_ago_bytes_arrived() -> None:
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        conn.writer.transport.pause_reading()  # type: ignore[attr-defined]
        raw.send(CLIENT_GONE_FRAME)
        await asyncio.sleep(0.1)
        assert 90.0 <= ms_since_last_data(conn.sock) <= 5000.0
        raw.sock.close()
        assert ms_since_last_data(raw.sock) == 0.0
