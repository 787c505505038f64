"""Races on the discovery watch: data that never completes an event, and address changes while an event is partly read."""

from __future__ import annotations

import asyncio
import json
import random
import time
from collections.abc import Callable, Coroutine
from contextlib import suppress
from typing import Any

import pytest
from harness import REFUSED_ADDRESS, async_test, config, running_director, wait_until

import gladelane.discovery.client as discovery_client_module
import gladelane.sse as sse_module
from gladelane.discovery.client import DiscoveryClient
from gladelane.server import Server
from gladelane.sse import EventStream

HEADERS = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
Response = Callable[[asyncio.StreamWriter], Coroutine[Any, Any, None]]


def encode_event(rev: int) -> bytes:
    return b'id: %d\ndata: {"rev":%d,"flush":{"collection":1,"ms":1}}\n\n' % (rev, rev)


class FakeDiscovery:
    """Runs one response function for each request; the last one is used for all further requests."""

    def __init__(self, *responses: Response) -> None:
        self.responses = list(responses)
        self.requested_revisions: list[int] = []
        self.finished_responses = 0
        self.writers: list[asyncio.StreamWriter] = []

    async def start(self) -> tuple[str, int]:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address: tuple[str, int] = server.sockets[0].getsockname()
        return address

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        self.requested_revisions.append(int(head.split("last-event-id: ")[1].split()[0]))
        self.writers.append(writer)
        with suppress(OSError):
            await self.responses[min(len(self.requested_revisions), len(self.responses)) - 1](writer)
        self.finished_responses += 1
        writer.close()


def send_forever(start: bytes, piece: bytes) -> Response:
    """A response that sends the same bytes over and over until the director closes the connection."""

    async def respond(writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        while not writer.is_closing():
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(0.02)

    return respond


async def send_event_2(writer: asyncio.StreamWriter) -> None:
    writer.write(HEADERS + encode_event(2))
    await asyncio.sleep(5.0)


@pytest.mark.parametrize("incomplete", ["headers", "comment", "event"])
def test_a_watch_that_sends_bytes_but_never_a_complete_event_is_closed_in_time(incomplete: str) -> None:
    # Earlier each byte counted as progress: the watch hung forever, and no drain or purge arrived.
    start, piece = {
        "headers": (HEADERS[:20], b"x"),
        "comment": (HEADERS + b":", b"x"),
        "event": (HEADERS + b"data: {", b" "),
    }[incomplete]

    @async_test
    async def scenario() -> None:
        discovery = FakeDiscovery(send_forever(start, piece), send_event_2)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery_client_module, "IDLE_TIMEOUT_S", 0.3)
            patch.setattr(discovery_client_module, "HEADER_TIMEOUT_S", 0.3)
            async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
                client = DiscoveryClient(
                    *await discovery.start(),
                    lambda: node.director.rev,
                    node.director.apply_watch_event,
                    random.Random(1),
                )
                task = asyncio.create_task(client.run())
                await wait_until(lambda: node.director.rev == 2)
                task.cancel()
                assert discovery.requested_revisions[:2] == [1, 1]

    scenario()


def test_the_sum_of_all_watch_timeouts_stays_below_the_maximum_event_delay() -> None:
    # In the worst case a watch falls silent, a dial times out and a request is not answered before the next request is.
    # All of this has to fit in the 7 s of the protocol.
    c = discovery_client_module
    backoffs_s = c.BACKOFF_START_S + 2 * c.BACKOFF_START_S + c.BACKOFF_MAX_S
    assert (
        c.IDLE_TIMEOUT_S + c.CONNECT_TIMEOUT_S + c.CONNECT_TIMEOUT_S + c.HEADER_TIMEOUT_S + backoffs_s < 7.0
    )


async def follow_discovery_at(node: Server, address: tuple[str, int]) -> None:
    node.config.discovery = address
    node.follow_discovery()


@async_test
async def test_an_address_change_while_an_event_is_partly_read_loses_and_mixes_no_events() -> None:
    # The old watch ends in the same loop iteration as the change, and the new one starts from the last applied revision.
    may_continue = asyncio.Event()

    async def send_partly(writer: asyncio.StreamWriter) -> None:
        writer.write(HEADERS + encode_event(2) + encode_event(3)[:20])
        await may_continue.wait()
        writer.write(encode_event(3)[20:] + encode_event(9))

    async def send_events(writer: asyncio.StreamWriter) -> None:
        writer.write(HEADERS + encode_event(3) + encode_event(4))
        await asyncio.sleep(5.0)

    first, second = FakeDiscovery(send_partly), FakeDiscovery(send_events)
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        await follow_discovery_at(node, await first.start())
        await wait_until(lambda: node.director.rev == 2)
        await follow_discovery_at(node, await second.start())
        may_continue.set()
        await wait_until(lambda: node.director.rev == 4 and first.finished_responses)
        assert second.requested_revisions == [2] and node.director.rev == 4


@async_test
async def test_an_address_change_during_a_dial_leaves_one_watch() -> None:
    # The listen queue of the first address is full, so the dial hangs.
    import socket

    full_listener = socket.create_server(("127.0.0.1", 0), backlog=0)
    fillers = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(full_listener.getsockname())
        fillers.append(filler)
    discovery = FakeDiscovery(send_event_2)
    async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
        await follow_discovery_at(node, full_listener.getsockname())
        await asyncio.sleep(0)
        await follow_discovery_at(node, await discovery.start())
        await wait_until(lambda: node.director.rev == 2)
        assert discovery.requested_revisions == [1]
    for sock in (*fillers, full_listener):
        sock.close()


def encode_pool_event(rev: int, *stores: str, reset: bool = True) -> bytes:
    known = json.loads(config(dict.fromkeys(stores, REFUSED_ADDRESS)))["known"]["notices"][0]
    known["rev"], known["pool"]["reset"] = rev, reset
    return b"id: %d\ndata: %s\n\n" % (rev, json.dumps(known).encode())


def listed_stores(node: Server) -> set[str]:
    pool = node.director.watch_events()[-1].pool
    return {instance.instance_id for instance in pool.instances} if pool is not None else set()


@async_test
async def test_a_complete_list_that_arrives_in_pieces_is_applied_at_once_and_removes_missing_stores() -> None:
    # No part of a list may be applied before the rest has arrived, and a shorter list must remove stores.
    may_continue = asyncio.Event()

    async def respond(writer: asyncio.StreamWriter) -> None:
        data = encode_pool_event(2, "c1", "r0")
        writer.write(HEADERS + data[:-2])
        await may_continue.wait()
        for byte in data[-2:]:
            writer.write(bytes([byte]))
            await writer.drain()
        await asyncio.sleep(5.0)

    discovery = FakeDiscovery(respond)
    async with running_director(
        config({"c0": REFUSED_ADDRESS, "c1": REFUSED_ADDRESS, "r0": REFUSED_ADDRESS})
    ) as (node, _):
        await follow_discovery_at(node, await discovery.start())
        await wait_until(lambda: discovery.requested_revisions)
        await asyncio.sleep(0.1)
        assert node.director.rev == 1 and listed_stores(node) == {"c0", "c1", "r0"}
        may_continue.set()
        await wait_until(lambda: node.director.rev == 2)
        assert listed_stores(node) == {"c1", "r0"}


def test_a_watch_that_falls_silent_within_a_list_is_closed_and_the_partial_list_is_dropped() -> None:
    # The next request starts from the last applied revision, and its bytes must not be appended to the partial list.

    @async_test
    async def scenario() -> None:
        async def send_partly(writer: asyncio.StreamWriter) -> None:
            writer.write(HEADERS + encode_pool_event(2, "r0")[:-30])
            await asyncio.sleep(5.0)

        async def send_events(writer: asyncio.StreamWriter) -> None:
            writer.write(HEADERS + encode_pool_event(2, "c1", "r0") + encode_event(3))
            await asyncio.sleep(5.0)

        discovery = FakeDiscovery(send_partly, send_events)
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(discovery_client_module, "IDLE_TIMEOUT_S", 0.3)
            async with running_director(config({"c0": REFUSED_ADDRESS, "r0": REFUSED_ADDRESS})) as (node, _):
                await follow_discovery_at(node, await discovery.start())
                await wait_until(lambda: node.director.rev == 3)
                assert discovery.requested_revisions[:2] == [1, 1]
                assert listed_stores(node) == {"c1", "r0"}

    scenario()


def test_an_event_of_endless_lines_is_limited_like_a_single_line(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Earlier the length of a line was limited and the number of lines was not: memory grew until the platform killed the
    # process.
    monkeypatch.setattr(sse_module, "MAX_EVENT_BYTES", 1000)
    stream = EventStream()
    assert list(stream.feed(b"data: x\n" * 100)) == []
    with pytest.raises(OSError, match="event too long"):
        list(stream.feed(b"data: x\n" * 100))
    other_stream = EventStream()
    assert [list(other_stream.feed(b"data: x\n\n")) for _ in range(500)] == [["x"]] * 500


@pytest.mark.parametrize("steady_ms", [0.0, 10_000.0])
def test_events_received_while_the_process_was_suspended_are_applied_before_the_watch_is_closed(
    steady_ms: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """After a suspension the timers run before the sockets are read. If the steady_clock clock shows the suspension, the watch
    is renewed all the same, and the events just applied do not count as current, since they may be old."""
    monkeypatch.setattr(discovery_client_module, "IDLE_TIMEOUT_S", 0.2)

    @async_test
    async def scenario() -> None:
        applied: list[int] = []
        sent_after_ms: list[float] = []
        resumed = asyncio.Event()

        async def respond(writer: asyncio.StreamWriter) -> None:
            writer.write(HEADERS + encode_event(2))
            await writer.drain()
            await resumed.wait()
            await asyncio.sleep(5.0)

        discovery = FakeDiscovery(respond)
        host, port = await discovery.start()
        client = DiscoveryClient(
            host,
            port,
            lambda: max(applied, default=0),
            lambda event: applied.append(event.rev),
            random.Random(1),
        )
        clock_ms = [0.0]
        client.steady_clock, client.on_received = lambda: clock_ms[0], sent_after_ms.append
        task = asyncio.create_task(client.run())
        await wait_until(lambda: applied == [2])
        writer = discovery.writers[0]
        writer.write(encode_event(3))
        time.sleep(0.5)  # suspends the process for longer than the timeout of a watch
        clock_ms[0] += steady_ms
        reports_before = len(sent_after_ms)
        await asyncio.sleep(0)
        await asyncio.sleep(discovery_client_module.BACKLOG_READ_S / 2)
        assert applied == [2, 3] and discovery.requested_revisions == [0]
        if steady_ms:
            await wait_until(lambda: len(discovery.requested_revisions) == 2)
            assert len(sent_after_ms) == reports_before or sent_after_ms[-1] >= steady_ms
        task.cancel()

    scenario()
