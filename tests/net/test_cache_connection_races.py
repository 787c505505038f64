"""Races between two events on a connection to a cache. The fake cache or a barrier forces the unfavourable order."""

from __future__ import annotations

import asyncio
import logging
import socket

import pytest
from harness import (
    REFUSED_ADDRESS,
    Client,
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

import gladelane.net.carried_attempts as carried_attempts_module
from gladelane.net.attempt_outcomes import AttemptOutcome
from gladelane.net.exchange import Attempt, FinalAnswer


@async_test
async def test_a_request_is_not_written_to_a_connection_whose_close_by_the_cache_is_still_unread() -> None:
    # Earlier the request was written and counted as possibly executed, so one with a key could only be answered by a
    # failure.
    cache = RawCache()
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
        client.ask(1)
        first = await cache.accept_connection()
        await receive_until(first, b"\r\n")
        first.send(SERVED_RESPONSE % (b"%016x" % 1, 2, b"ok"))
        assert (await client.next())[:3] == (17, 1, 0)
        finals: list[FinalAnswer] = []
        first.close()
        node.director.admit(build_client_request(2), finals.append)  # in the same loop iteration as the close
        second = await cache.accept_connection()
        await receive_until(second, b"\r\n")
        second.send(SERVED_RESPONSE % (b"%016x" % 2, 2, b"ok"))
        await wait_until(lambda: [final.code for final in finals] == [0])
        assert node.director.metrics.backend_calls == 2
        second.close()


@async_test
async def test_an_answer_that_has_arrived_is_read_before_its_connection_is_closed() -> None:
    # Earlier the sweep cancelled the reading task, which lost the bytes in its reader and in the receive buffer.
    cache = RawCache()
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
        sock = await asked(cache, client)
        response = SERVED_RESPONSE % (b"%016x" % 1, 2, b"ok")
        sock.send(response[:20])
        conn = get_single_connection(node, "c0")
        await wait_until(lambda: conn.decoder.has_incomplete_reply())
        sock.send(response[20:])
        conn.sweep(node.clock.now() + 2000.0, 0.0)
        assert (await client.next())[:3] == (17, 1, 0) and not conn.finished
        sock.close()


@pytest.mark.parametrize("incomplete", ["answer", "line", "answer to an abandoned request"])
def test_a_connection_whose_answer_trickles_endlessly_is_closed_in_time(
    incomplete: str, caplog: pytest.LogCaptureFixture
) -> None:
    # Earlier each byte counted as progress, and all other requests on the connection waited until their deadline.
    @async_test
    async def scenario() -> None:
        cache = RawCache()
        async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
            sock = await asked(cache, client)
            if incomplete == "answer to an abandoned request":
                client.send(18, 1)
                await receive_until(sock, b"abort")
            sock.send((b"%016x served - 200000\r\n" % 1)[: None if incomplete != "line" else 8])
            ended = False
            for _ in range(40):  # 2 s at most, the deadline of the request
                try:
                    sock.send(b"x")
                    await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65_536), 0.05)
                    ended = True
                except TimeoutError:
                    continue
                except ConnectionError:
                    ended = True
                break
            assert ended and "cut short" in caplog.text
            sock.close()

    with caplog.at_level(logging.INFO):
        scenario()


@async_test
async def test_a_slow_answer_that_will_be_complete_before_its_deadline_is_awaited() -> None:
    cache = RawCache()
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
        sock = await asked(cache, client)
        conn = get_single_connection(node, "c0")
        sock.send(b"%016x served - 8\r\nxxxx" % 1)
        await wait_until(lambda: conn.decoder.reply_in_progress()[1] == 0.4)
        conn.attempts.responses.reply_started_ms -= 400.0  # half of the answer took 0.4 s, and 2 s remain
        conn.sweep(conn.attempts.responses.received_ms + 1.0, 0.0)
        sock.send(b"xxxx\r\n")
        assert (await client.next())[:3] == (17, 1, 0)
        sock.close()


@pytest.mark.parametrize("is_late", [False, True])
def test_a_keyed_repeat_is_not_written_if_its_dial_succeeds_after_the_window(is_late: bool) -> None:
    # Earlier the window was checked only when the router decided, and a dial may take longer than the window.
    @async_test
    async def scenario() -> None:
        origin = ScriptedCache(hit)
        async with running_director(config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})) as (
            node,
            client,
        ):
            node.director.keys.take_over({"aa": [(node.clock.now() - 1000.0, "r0")]})
            send, clock = node.upstream.send, node.director.clock

            def send_and_step_clock(attempt: Attempt) -> None:
                send(attempt)
                if is_late:
                    node.director.clock = lambda: clock() + 1100.0

            node.upstream.send = send_and_step_clock  # type: ignore[method-assign]
            client.ask(1, c="sheet", k="aa", d="3000")
            assert (await client.next())[:3] == (17, 1, 1 if is_late else 0)
            assert len(origin.received) == (0 if is_late else 1)

    scenario()


@async_test
async def test_a_further_attempt_of_the_same_request_is_not_written_after_the_window() -> None:
    # If the client sent no key, only the exchange knows of the first attempt.
    async with running_director(config({"c0": REFUSED_ADDRESS, "r0": REFUSED_ADDRESS})) as (node, _):
        node.director.admit(build_client_request(1, cls="sheet", key="bb"), lambda final: None)
        exchange = next(iter(node.director.live.values()))
        now = node.clock.now()
        exchange.ran_ms = now - 1500.0
        attempt = Attempt(exchange, 5, "r0", now, now + 2000.0)
        assert node.director.check_before_write(attempt) is None
        exchange.ran_ms = now - 2000.0
        assert node.director.check_before_write(attempt) is AttemptOutcome.EXPIRED


@async_test
async def test_a_second_copy_that_waits_for_a_dial_is_not_sent_after_the_first_is_answered() -> None:
    # Earlier nothing withdrew the second copy if the settings forbid cancels.
    cache = ScriptedCache(never_respond)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS}, cancel=False)) as (
        node,
        client,
    ):
        client.ask(1)
        await wait_until(lambda: cache.received)
        exchange = next(iter(node.director.live.values()))
        now = node.clock.now()
        second = Attempt(exchange, 1, "c0", now, now + 1000.0)
        exchange.attempt_count, exchange.open[1] = 2, second
        node.upstream.send(second)  # its id is open on the first connection, so another one is dialled
        cache.connections[0].write(SERVED_RESPONSE % (b"%016x" % 1, 2, b"ok"))
        await cache.connections[0].drain()
        assert (await client.next())[:3] == (17, 1, 0)
        await wait_until(lambda: not exchange.open)
        assert len(cache.received) == 1


@async_test
async def test_an_abandoned_request_on_a_connection_whose_cache_stops_reading_is_never_sent() -> None:
    cache = RawCache(receive_buffer_bytes=4096)
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
        sock = await asked(cache, client)
        conn = get_single_connection(node, "c0")
        assert conn.writer is not None and conn.sock is not None
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        conn.writer.write(b"x" * 4_000_000)  # the cache stops reading, so all later writes wait
        await wait_until(conn.attempts.queue.is_stuck)
        client.ask(2)
        other_sock = await cache.accept_connection()  # request 2 is sent on another connection
        assert f"{2:016x}".encode() in await receive_until(other_sock, b"\r\n")
        client.send(18, 1)
        await wait_until(lambda: conn.finished)
        other_sock.close()
        sock.close()


@async_test
async def test_an_answer_with_an_unknown_id_does_not_affect_other_requests() -> None:
    cache = ScriptedCache(lambda command: hit(command) if command[1]["nth"] == "7" else None)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (_, client):
        client.ask(1)
        await wait_until(lambda: cache.received)
        cache.connections[0].write(
            SERVED_RESPONSE % (b"%016x" % 99, 2, b"no")
            + SERVED_RESPONSE % (b"%016x" % 1, 2, b"ok")
            + SERVED_RESPONSE % (b"%016x" % 1, 2, b"no")
        )
        assert (await client.next())[4] == b"ok"
        client.ask(2, chunk="7")
        assert (await client.next())[:3] == (17, 2, 0) and len(cache.connections) == 1


@async_test
async def test_a_reset_in_the_middle_of_an_answer_ends_the_attempt_once() -> None:
    cache = RawCache()
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS}, max_attempts=1)) as (
        node,
        client,
    ):
        sock = await asked(cache, client)
        sock.send(b"%016x served - 8\r\nxxxx" % 1)
        await wait_until(lambda: get_single_connection(node, "c0").decoder.has_incomplete_reply())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        assert (await client.next())[:3] == (17, 1, 1)
        assert await client.receives_nothing() and not node.director.live


@async_test
async def test_a_request_with_a_new_key_is_refused_when_the_key_store_is_full() -> None:
    origin = ScriptedCache(never_respond)
    async with running_director(config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})) as (node, _):
        node.director.keys.max_keys = 1
        clients = [await Client.connect(node.port) for _ in range(2)]
        clients[0].ask(1, c="sheet", k="aa")
        await wait_until(lambda: origin.received)
        clients[1].ask(2, c="sheet", k="bb")
        assert (await clients[1].next())[:3] == (17, 2, 1) and len(origin.received) == 1
        for client in clients:
            client.writer.close()


@async_test
async def test_a_connection_is_closed_after_too_many_unexpected_answers() -> None:
    # Earlier each one was parsed and ignored, without any limit.
    cache = RawCache()
    async with running_director(config({"c0": cache.address, "r0": REFUSED_ADDRESS})) as (node, client):
        sock = await asked(cache, client)
        conn = get_single_connection(node, "c0")
        answer, unexpected = SERVED_RESPONSE % (b"%016x" % 1, 2, b"ok"), b"%016x served - 0\r\n\r\n" % 1
        sock.send(answer + unexpected * carried_attempts_module.MAX_UNEXPECTED_RESPONSES)
        assert (await client.next())[:3] == (17, 1, 0)
        await wait_until(
            lambda: conn.attempts.unexpected_responses == carried_attempts_module.MAX_UNEXPECTED_RESPONSES
        )
        assert not conn.finished
        sock.send(unexpected)
        await wait_until(lambda: conn.finished)
        assert conn.end is AttemptOutcome.GARBLED
        sock.close()


@async_test
async def test_an_unresponsive_connection_is_detected_also_with_only_two_open_attempts() -> None:
    # Earlier the detection needed three waiting attempts, which a connection limited to two streams never has.
    cache = ScriptedCache(lambda command: None if len(cache.connections) == 1 else hit(command))
    async with running_director(
        config({"c0": await cache.start(), "r0": REFUSED_ADDRESS}, max_streams=2, cancel=False)
    ) as (
        node,
        client,
    ):
        client.ask(1, d="5000")
        client.ask(2, d="5000")
        await wait_until(lambda: len(cache.received) == 2)
        conn, now = get_single_connection(node, "c0"), node.clock.now()
        # past the latency targets, and a later request was answered elsewhere
        conn.sweep(now + 700.0, now + 600.0)
        await wait_until(lambda: conn.finished)
        assert conn.end is AttemptOutcome.SILENT
