"""Two events that cross on a connection to a cache, each brought into the bad order by the peer or a barrier."""

from __future__ import annotations

import asyncio
import logging
import socket

import pytest
from harness import (
    Client,
    ScriptedCache,
    async_test,
    config,
    hit,
    never_respond,
    running_director,
    wait_until,
)
from raw_cache import OK, Peer, ask, asked, heard, only

import gladelane.net.carried_attempts as attempts_module
from gladelane.net.attempt_outcomes import AttemptOutcome
from gladelane.net.exchange import Attempt, FinalAnswer

REFUSED = "127.0.0.1:1"


@async_test
async def test_a_request_does_not_go_into_a_close_of_the_cache_that_was_not_read_yet() -> None:
    # it counted as run: a keyed one could be answered no better than by a failure
    peer = Peer()
    async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
        client.ask(1)
        first = await peer.accepted()
        await heard(first, b"\r\n")
        first.send(OK % (b"%016x" % 1, 2, b"ok"))
        assert (await client.next())[:3] == (17, 1, 0)
        finals: list[FinalAnswer] = []
        first.close()
        node.director.admit(ask(2), finals.append)  # in the same turn
        second = await peer.accepted()
        await heard(second, b"\r\n")
        second.send(OK % (b"%016x" % 2, 2, b"ok"))
        await wait_until(lambda: [final.code for final in finals] == [0])
        assert node.director.metrics.backend_calls == 2
        second.close()


@async_test
async def test_an_answer_that_has_come_is_read_before_its_connection_is_cut() -> None:
    # the sweep cancelled the reading task, and what lay in its reader or the system went with it
    peer = Peer()
    async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
        sock = await asked(peer, client)
        whole = OK % (b"%016x" % 1, 2, b"ok")
        sock.send(whole[:20])
        conn = only(node, "c0")
        await wait_until(lambda: conn.decoder.pending())
        sock.send(whole[20:])
        conn.sweep(node.clock.now() + 2000.0, 0.0)
        assert (await client.next())[:3] == (17, 1, 0) and not conn.finished
        sock.close()


@pytest.mark.parametrize("what", ["answer", "line", "answer to a request given up"])
def test_an_answer_that_trickles_without_end_costs_its_connection_in_time(
    what: str, caplog: pytest.LogCaptureFixture
) -> None:
    # each byte counted as life, and all others on the connection waited behind it until their time was over
    @async_test
    async def scene() -> None:
        peer = Peer()
        async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
            sock = await asked(peer, client)
            if what == "answer to a request given up":
                client.send(18, 1)
                await heard(sock, b"abort")
            sock.send((b"%016x served - 200000\r\n" % 1)[: None if what != "line" else 8])
            ended = False
            for _ in range(40):  # 2 s at the most: the request's own time
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
        scene()


@async_test
async def test_an_answer_that_is_slow_and_will_be_whole_in_time_is_waited_for() -> None:
    peer = Peer()
    async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
        sock = await asked(peer, client)
        conn = only(node, "c0")
        sock.send(b"%016x served - 8\r\nxxxx" % 1)
        await wait_until(lambda: conn.decoder.under_way()[1] == 0.4)
        conn.attempts.responses.begun_ms -= 400.0  # half of it in 0.4 s, and 2 s to go
        conn.sweep(conn.attempts.responses.heard_ms + 1.0, 0.0)
        sock.send(b"xxxx\r\n")
        assert (await client.next())[:3] == (17, 1, 0)
        sock.close()


@pytest.mark.parametrize("late", [False, True])
def test_a_keyed_repeat_whose_dial_comes_up_past_the_window_is_not_written(late: bool) -> None:
    # the window was looked at when the module decided, and a dial may take longer than it lasts
    @async_test
    async def scene() -> None:
        origin = ScriptedCache(hit)
        async with running_director(config({"c0": REFUSED, "r0": await origin.start()})) as (node, client):
            node.director.keys.take_over({"aa": [(node.clock.now() - 1000.0, "r0")]})
            send, clock = node.upstream.send, node.director.clock

            def sends(attempt: Attempt) -> None:
                send(attempt)
                if late:
                    node.director.clock = lambda: clock() + 1100.0

            node.upstream.send = sends  # type: ignore[method-assign]
            client.ask(1, c="sheet", k="aa", d="3000")
            assert (await client.next())[:3] == (17, 1, 1 if late else 0)
            assert len(origin.received) == (0 if late else 1)

    scene()


@async_test
async def test_a_repeat_of_the_same_request_past_the_window_is_not_written_either() -> None:
    # without a key of the client's nothing but the exchange knows of its first attempt
    async with running_director(config({"c0": REFUSED, "r0": REFUSED})) as (node, _):
        node.director.admit(ask(1, cls="sheet", key="bb"), lambda final: None)
        exchange = next(iter(node.director.live.values()))
        now = node.clock.now()
        exchange.ran_ms = now - 1500.0
        attempt = Attempt(exchange, 5, "r0", now, now + 2000.0)
        assert node.director.recheck(attempt) is None
        exchange.ran_ms = now - 2000.0
        assert node.director.recheck(attempt) is AttemptOutcome.EXPIRED


@async_test
async def test_a_second_copy_that_waits_for_a_dial_is_not_sent_once_the_first_was_answered() -> None:
    # with no cancels allowed nothing took it back
    cache = ScriptedCache(never_respond)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED}, cancel=False)) as (
        node,
        client,
    ):
        client.ask(1)
        await wait_until(lambda: cache.received)
        exchange = next(iter(node.director.live.values()))
        now = node.clock.now()
        second = Attempt(exchange, 1, "c0", now, now + 1000.0)
        exchange.sends, exchange.open[1] = 2, second
        node.upstream.send(second)  # its id is open there: a further connection is dialled
        cache.connections[0].write(OK % (b"%016x" % 1, 2, b"ok"))
        await cache.connections[0].drain()
        assert (await client.next())[:3] == (17, 1, 0)
        await wait_until(lambda: not exchange.open)
        assert len(cache.received) == 1


@async_test
async def test_a_request_given_up_behind_bytes_that_a_cache_does_not_take_goes_out_no_more() -> None:
    peer = Peer(takes=4096)
    async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
        sock = await asked(peer, client)
        conn = only(node, "c0")
        assert conn.writer is not None and conn.sock is not None
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        conn.writer.write(b"x" * 4_000_000)  # the peer reads no more: what is written from here on waits
        await wait_until(conn.attempts.queue.is_stuck)
        client.ask(2)
        fresh = await peer.accepted()  # and is sent elsewhere
        assert f"{2:016x}".encode() in await heard(fresh, b"\r\n")
        client.send(18, 1)
        await wait_until(lambda: conn.finished)
        fresh.close()
        sock.close()


@async_test
async def test_an_answer_under_an_id_that_was_never_asked_harms_no_other_request() -> None:
    cache = ScriptedCache(lambda command: hit(command) if command[1]["nth"] == "7" else None)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (_, client):
        client.ask(1)
        await wait_until(lambda: cache.received)
        cache.connections[0].write(
            OK % (b"%016x" % 99, 2, b"no") + OK % (b"%016x" % 1, 2, b"ok") + OK % (b"%016x" % 1, 2, b"no")
        )
        assert (await client.next())[4] == b"ok"
        client.ask(2, chunk="7")
        assert (await client.next())[:3] == (17, 2, 0) and len(cache.connections) == 1


@async_test
async def test_a_reset_long_after_an_answer_has_begun_ends_the_attempt_once() -> None:
    peer = Peer()
    async with running_director(config({"c0": peer.address, "r0": REFUSED}, max_attempts=1)) as (
        node,
        client,
    ):
        sock = await asked(peer, client)
        sock.send(b"%016x served - 8\r\nxxxx" % 1)
        await wait_until(lambda: only(node, "c0").decoder.pending())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        sock.close()
        assert (await client.next())[:3] == (17, 1, 1)
        assert await client.receives_nothing() and not node.director.live


@async_test
async def test_a_new_key_is_refused_where_no_further_one_can_be_kept() -> None:
    origin = ScriptedCache(never_respond)
    async with running_director(config({"c0": REFUSED, "r0": await origin.start()})) as (node, _):
        node.director.keys.max_keys = 1
        clients = [await Client.connect(node.port) for _ in range(2)]
        clients[0].ask(1, c="sheet", k="aa")
        await wait_until(lambda: origin.received)
        clients[1].ask(2, c="sheet", k="bb")
        assert (await clients[1].next())[:3] == (17, 2, 1) and len(origin.received) == 1
        for one in clients:
            one.writer.close()


@async_test
async def test_answers_that_nobody_waits_for_end_their_connection_where_they_do_not_end() -> None:
    # each was parsed and passed over, as many as the peer cared to send
    peer = Peer()
    async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
        sock = await asked(peer, client)
        conn = only(node, "c0")
        answer, second = OK % (b"%016x" % 1, 2, b"ok"), b"%016x served - 0\r\n\r\n" % 1
        sock.send(answer + second * attempts_module.MAX_UNEXPECTED_RESPONSES)
        assert (await client.next())[:3] == (17, 1, 0)
        await wait_until(
            lambda: conn.attempts.unexpected_responses == attempts_module.MAX_UNEXPECTED_RESPONSES
        )
        assert not conn.finished
        sock.send(second)
        await wait_until(lambda: conn.finished)
        assert conn.end is AttemptOutcome.GARBLED
        sock.close()


@async_test
async def test_a_silent_connection_is_told_also_where_it_carries_fewer_than_the_usual_count() -> None:
    # three attempts had to wait on it: with two streams a connection none was ever told to be silent
    cache = ScriptedCache(lambda command: None if len(cache.connections) == 1 else hit(command))
    async with running_director(
        config({"c0": await cache.start(), "r0": REFUSED}, max_streams=2, cancel=False)
    ) as (
        node,
        client,
    ):
        client.ask(1, d="5000")
        client.ask(2, d="5000")
        await wait_until(lambda: len(cache.received) == 2)
        conn, now = only(node, "c0"), node.clock.now()
        conn.sweep(now + 700.0, now + 600.0)  # past the aims, and a later one was answered elsewhere
        await wait_until(lambda: conn.finished)
        assert conn.end is AttemptOutcome.SILENT
