"""Clients that leave, where that lies unread at the moment in which an attempt for them falls due.

The client's connection is not read from the leave on, as in a loop that is behind: what then happens to the
request happens in the bad order, on any machine.
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

import gladelane.net.client_connection as client_module
import gladelane.net.outgoing as outgoing_module
import gladelane.net.write_queue as queue_module
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_frame
from gladelane.net.exchange import Attempt
from gladelane.server import Server
from gladelane.sockets import unsent_bytes

BODY = 200_000  # more than a narrow cache and the system between take at once
REFUSED = "127.0.0.1:1"
HALF = encode_request(9)[:30]
OVERLOAD = b"%016x overload - 0\r\n\r\n"


def leave(raw: RawClient, how: str) -> None:
    if "behind" in how:
        raw.send(HALF if how == "close behind half a frame" else encode_request(7, c="nothing") * 3)
    if how == "type 18 in pieces":
        raw.send(CLIENT_GONE_FRAME[:3])
        raw.send(CLIENT_GONE_FRAME[3:])
    elif "type 18" in how:
        raw.send(CLIENT_GONE_FRAME)
    else:
        if how == "reset":
            raw.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        raw.sock.close()


WAYS = (
    "type 18",
    "type 18 in pieces",
    "type 18 behind requests",
    "close",
    "close behind half a frame",
    "reset",
)


def with_length(frame: bytes) -> bytes:
    """A frame to whose payload something was added."""
    return struct.pack(">I", len(frame) - 4) + frame[4:]


def unread(conn: ClientConnection) -> None:
    conn.writer.transport.pause_reading()  # type: ignore[attr-defined]


async def rest(sock: socket.socket) -> tuple[bytes, str]:
    """All bytes to the end, and how it ended."""
    came = b""
    try:
        while data := await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65_536), 5.0):
            came += data
    except ConnectionError:
        return came, "reset"
    return came, "end of file"


async def none_begins(node: Server, caches: list[ScriptedCache], begun: int) -> None:
    """The request ends without a further attempt and without an answer."""
    await wait_until(lambda: not node.director.live)
    assert [node.director.metrics.withdrawn, sum(len(cache.received) for cache in caches)] == [1, begun]


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", WAYS)
def test_a_dial_that_comes_up_before_a_leave_is_read_carries_no_attempt(how: str, cancel: bool) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED}, cancel=cancel)) as (
            node,
            _,
        ):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)

            async def leaves(attempt: Attempt) -> None:
                unread(conn)
                leave(raw, how)

            hold_dials_until(node, leaves)
            raw.send(encode_request(1))
            await wait_until(lambda: cache.connections)
            await none_begins(node, [cache], 0)
            raw.sock.close()

    scene()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", WAYS)
def test_a_late_answer_that_is_read_before_a_leave_begins_no_further_attempt(how: str, cancel: bool) -> None:
    @async_test
    async def scene() -> None:
        caches = [ScriptedCache(never_respond) for _ in range(2)]
        listed = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        async with running_director(config({**listed, "r0": REFUSED}, cancel=cancel)) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            raw.send(encode_request(1))
            await wait_until(lambda: any(cache.received for cache in caches))
            unread(conn)
            leave(raw, how)
            (asked,) = (cache for cache in caches if cache.received)
            asked.connections[0].write(OVERLOAD % 1)
            await none_begins(node, caches, 1)
            raw.sock.close()

    scene()


def refuses(command: Command) -> tuple[str, bytes] | None:
    return "overload -", b""


@pytest.mark.parametrize("how", WAYS)
def test_a_retry_whose_timer_fires_before_a_leave_is_read_is_not_sent(how: str) -> None:
    @async_test
    async def scene() -> None:
        origin = ScriptedCache(refuses)
        async with running_director(config({"c0": REFUSED, "r0": await origin.start()})) as (node, _):
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            raw.send(encode_request(1, c="sheet", k="aa"))
            await wait_until(lambda: origin.received)
            unread(conn)
            leave(raw, how)
            await none_begins(node, [origin], 1)
            raw.sock.close()

    scene()


@pytest.mark.parametrize("cancel", [True, False])
def test_a_second_copy_that_falls_due_before_a_leave_is_read_is_not_sent(cancel: bool) -> None:
    @async_test
    async def scene() -> None:
        caches = [ScriptedCache(never_respond) for _ in range(2)]
        listed = {f"c{n}": await cache.start() for n, cache in enumerate(caches)}
        async with running_director(config({**listed, "r0": REFUSED}, cancel=cancel)) as (node, _):
            node.director.router.budgets.hedges = 5.0
            raw = RawClient(node)
            conn = await wait_for_server_connection(node, raw)
            raw.send(encode_request(1))
            await wait_until(lambda: any(cache.received for cache in caches))
            unread(conn)
            leave(raw, "type 18")
            await wait_until(lambda: node.director.metrics.withdrawn == 1)
            await wait_until(lambda: not node.director.live)
            assert sum(len(cache.received) for cache in caches) == 1
            raw.sock.close()

    scene()


def test_a_request_whose_cancel_comes_in_a_later_read_is_not_sent_on(monkeypatch: pytest.MonkeyPatch) -> None:
    @async_test
    async def scene() -> None:
        cache = ScriptedCache(hit)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
            client.ask(3)
            assert (await client.next())[:3] == (17, 3, 0)  # from here on no request waits for a dial
            raw = RawClient(node)
            raw.send(
                encode_request(1) + encode_request(2) + CLIENT_GONE_FRAME
            )  # all of it lies there before it is accepted
            await wait_until(lambda: len(cache.received) > 1 and not node.director.live)
            assert [command[0] for command in cache.received] == [f"{n:016x}" for n in (3, 2)]
            raw.sock.close()

    monkeypatch.setattr(client_module, "READ_BYTES", len(encode_request(1)) + 20)
    scene()


CANCELS = encode_frame(FrameType.GONE, 3) + encode_frame(FrameType.GONE, 5)


@pytest.mark.parametrize(
    ("held", "unread", "found"),
    [
        (b"", b"", set()),
        (b"", CANCELS, {3, 5}),
        (CANCELS[:4], CANCELS[4:], {3, 5}),
        (b"", CANCELS[:-1], {3}),
        (encode_request(1)[:50], encode_request(1)[50:] + CANCELS, {3, 5}),
        (encode_request(1)[:50], CANCELS, set()),  # they lie within the frame that is under way
        (b"", b"\0\0\0\1" + CANCELS, set()),  # no frame can be so short: nothing after it can be trusted
    ],
)
def test_cancels_are_found_in_what_was_not_read(held: bytes, unread: bytes, found: set[int]) -> None:
    decoder = FrameDecoder()
    assert not list(decoder.feed(held))
    assert decoder.find_cancelled_streams(unread) == found
    assert decoder.incomplete_bytes() == len(held)


@async_test
async def test_a_request_behind_bytes_that_a_cache_does_not_take_waits_and_goes_elsewhere() -> None:
    # it lay in the system's buffer, where nothing could take it back
    peer = RawCache(receive_buffer_bytes=4096)
    async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
        client.ask(1, body=b"x" * BODY)
        slow = await peer.accept_connection()
        conn = get_single_connection(node, "c0")
        await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
        client.ask(2)
        fresh = await peer.accept_connection()
        line = await receive_until(fresh, b"\r\n")
        assert (
            f"{2:016x}".encode() in line
            and not conn.attempts.queue.waiting
            and list(conn.open) == [f"{1:016x}"]
        )
        fresh.close()
        slow.close()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["type 18", "close"])
def test_a_client_that_leaves_while_a_cache_takes_no_bytes_costs_it_no_attempt(
    how: str, cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    @async_test
    async def scene() -> None:
        peer = RawCache(receive_buffer_bytes=4096)
        async with running_director(config({"c0": peer.address, "r0": REFUSED}, cancel=cancel)) as (
            node,
            client,
        ):
            client.ask(9, body=b"x" * BODY)
            slow = await peer.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            raw = RawClient(node)
            raw.send(encode_request(1))
            await wait_until(lambda: len(node.director.live) == 2)
            assert len(conn.open) == 2
            leave(raw, how)
            await wait_until(lambda: len(node.director.live) == 1)
            whole = await receive_until(slow, b"x\r\n")
            client.ask(3)  # nothing that was held back comes between
            assert (whole + await receive_until(slow, b"\r\n")).count(b"fetch") == 2
            raw.sock.close()
            slow.close()

    monkeypatch.setattr(queue_module, "STUCK_AFTER_MS", 10_000.0)  # what waits goes nowhere else meanwhile
    scene()


@pytest.mark.parametrize("cancel", [True, False])
def test_a_request_in_the_buffer_of_the_system_goes_out_no_more_once_its_client_has_left(
    cancel: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    # the connection was closed, and the system sent on what it held
    @async_test
    async def scene() -> None:
        peer = RawCache(receive_buffer_bytes=4096)
        async with running_director(config({"c0": peer.address, "r0": REFUSED}, cancel=cancel)) as (
            node,
            client,
        ):
            client.ask(9, body=b"x" * BODY, d="20000")  # nothing but the leave ends an attempt
            slow = await peer.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            raw, look = RawClient(node), outgoing_module.unsent_bytes

            def looks(sock: socket.socket) -> int:
                """As if the cache had taken all until the second was written, and no more from then on."""
                latest = conn.attempts.queue.out.latest if conn.attempts.queue.out is not None else None
                return look(sock) if latest is not None and latest.exchange.ask.id == f"{1:016x}" else 0

            monkeypatch.setattr(outgoing_module, "unsent_bytes", looks)
            raw.send(encode_request(1, d="20000"))
            await wait_until(lambda: len(conn.open) == 2)
            assert all(attempt.written_ms for attempt in conn.open.values())
            leave(raw, "type 18")
            await wait_until(lambda: conn.finished)
            came, ended = await rest(slow)
            assert ended == "reset"
            assert came.count(b"fetch") == 1
            raw.sock.close()
            slow.close()

    scene()


@pytest.mark.parametrize("cancel", [True, False])
@pytest.mark.parametrize("how", ["type 18", "close"])
def test_a_request_that_has_left_in_part_does_not_become_whole_once_its_client_has_left(
    how: str, cancel: bool
) -> None:
    # its line had left and its body had not: it became whole, and could begin, when the cache read on
    @async_test
    async def scene() -> None:
        peer = RawCache(receive_buffer_bytes=4096)
        async with running_director(config({"c0": peer.address, "r0": REFUSED}, cancel=cancel)) as (node, _):
            raw = RawClient(node)
            whole = encode_request(1, d="20000") + b"x" * BODY
            raw.sock.setblocking(True)
            sending = asyncio.create_task(asyncio.to_thread(raw.sock.sendall, with_length(whole)))
            slow = await peer.accept_connection()
            conn = get_single_connection(node, "c0")
            await wait_until(lambda: conn.sock is not None and unsent_bytes(conn.sock))
            await sending
            leave(raw, how)
            await wait_until(lambda: not node.director.live)
            await asyncio.sleep(0.2)  # the cache reads on later than a leave allows
            came, ended = await rest(slow)
            assert ended == "reset"
            assert b"fetch" in came and len(came) < BODY
            raw.sock.close()
            slow.close()

    scene()


@pytest.mark.parametrize("runner", [asyncio.run, uvloop.run])
def test_an_attempt_leaves_in_the_turn_of_the_loop_in_which_its_client_was_looked_at(
    runner: Callable[[Any], None],
) -> None:
    # the look is worth nothing if the loop writes at the end of its turn only, which may take long
    async def scene() -> None:
        peer = RawCache()
        async with running_director(config({"c0": peer.address, "r0": REFUSED})) as (node, client):
            sock = await asked(peer, client)
            for number in (2, 3):
                node.director.admit(build_client_request(number), lambda final: None)
            time.sleep(0.02)  # in the same turn; loopback delivers at once
            assert sock.recv(65_536).count(b"fetch") == 2
            for number in (1, 2, 3):
                sock.send(SERVED_RESPONSE % (b"%016x" % number, 2, b"ok"))
            await wait_until(lambda: not node.director.live)
            sock.close()

    runner(scene())


@async_test
async def test_half_a_cancel_is_none() -> None:
    origin = ScriptedCache(refuses)
    async with running_director(config({"c0": REFUSED, "r0": await origin.start()})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        raw.send(encode_request(1, c="sheet", k="aa"))
        await wait_until(lambda: origin.received)
        unread(conn)
        raw.send(CLIENT_GONE_FRAME[:-1])
        await wait_until(lambda: len(origin.received) > 1)  # it is tried again
        raw.sock.close()


@async_test
async def test_a_request_in_pieces_is_sent_on_once_it_is_whole_and_not_before() -> None:
    cache = ScriptedCache(hit)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED})) as (node, _):
        raw = RawClient(node)
        conn = await wait_for_server_connection(node, raw)
        whole = encode_request(1)
        for at in range(0, len(whole) - 1, 7):
            raw.send(whole[at : min(at + 7, len(whole) - 1)])
            await wait_until(lambda: not conn.has_unread_bytes())
        assert not node.director.live and not cache.received
        raw.send(whole[-1:])
        await wait_until(lambda: cache.received)
        raw.sock.close()
