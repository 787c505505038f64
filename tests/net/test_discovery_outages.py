"""Discovery that fails for a long time, is slow, sends bursts or invalid data: requests are still served, and no event
of the endpoint list or of a purge is lost."""

from __future__ import annotations

import asyncio
import json
import random
import time
from contextlib import suppress
from enum import Enum, auto
from typing import Any

import pytest
from harness import (
    REFUSED_ADDRESS,
    Client,
    Command,
    ScriptedCache,
    async_test,
    config,
    hit,
    running_director,
    wait_until,
)
from virtual_time import VirtualClock, virtual

import gladelane.discovery.client as discovery_client_module
from gladelane.discovery.client import DiscoveryClient
from gladelane.discovery.events import WatchEvent
from gladelane.net.config import read_config

HEADERS = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
OUTAGE_S = 40.0
#: By the protocol a director knows an event this long after discovery sent it.
MAX_EVENT_DELAY_S = 7.0


class DiscoveryState(Enum):
    """How the fake discovery service behaves."""

    UP = auto()
    REFUSES = auto()  # no listening socket
    HANGS = auto()  # accepts connections and never answers
    HALF_OPEN = auto()  # open watches stay open without data, new connections are never answered
    ERRORS = auto()  # answers 503
    EMPTY = auto()  # a complete response without a body
    NOT_HTTP = auto()
    INVALID_EVENTS = auto()


INVALID_EVENTS = b"".join(
    b"data: %b\n\n" % data
    for data in (b"", b"null", b"[]", b'{"rev":"x"}', b"{" * 2000, b'{"pool":{}}', b"\xff\xfe", b'{"rev":-1}')
)


class Discovery:
    """A fake discovery service that serves watches; `publish` adds an event in whatever state it is."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.request_times_s: list[float] = []
        self.state = DiscoveryState.UP
        self._server: asyncio.Server | None = None
        self._has_new_events = asyncio.Event()
        self._serving_tasks: set[asyncio.Task[None]] = set()
        self._port = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self._port}"

    async def set_state(self, state: DiscoveryState) -> None:
        self.state = state
        if self._server is not None and state is DiscoveryState.REFUSES:
            self._server.close()
            self._server = None
        elif self._server is None and state is not DiscoveryState.REFUSES:
            await self.start()
        if state is not DiscoveryState.HALF_OPEN:
            for task in self._serving_tasks:
                task.cancel()

    def publish(self, **event: Any) -> int:
        """Returns the revision of the event. Revision 1 is the event in the director's configuration."""
        rev = len(self.events) + 2
        self.events.append(b"id: %d\ndata: %s\n\n" % (rev, json.dumps({"rev": rev, **event}).encode()))
        self._has_new_events.set()
        return rev

    def publish_member(self, store: str, lifecycle: str, address: str) -> int:
        member = {"instanceId": store, "hostPort": address, "zone": "edge", "machineType": "box", "cell": 0,
                  "lifecycle": lifecycle, "weight": 1, "startedAtMs": 0}  # fmt: skip
        return self.publish(pool={"generation": 1, "reset": False, "instances": [member]})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving_tasks.add(task)
        self.request_times_s.append(time.monotonic())
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                await self._respond(int(head.split("last-event-id: ")[1].split()[0]), writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._serving_tasks.discard(task)
            writer.close()

    async def _respond(self, last_revision: int, writer: asyncio.StreamWriter) -> None:
        match self.state:
            case DiscoveryState.HANGS | DiscoveryState.HALF_OPEN:
                await asyncio.sleep(10 * OUTAGE_S)
            case DiscoveryState.ERRORS:
                writer.write(b"HTTP/1.1 503 Unavailable\r\ncontent-length: 5\r\n\r\nsorry")
            case DiscoveryState.EMPTY:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            case DiscoveryState.NOT_HTTP:
                writer.write(b"\x16\x03\x01 this is not what was asked for\r\n\r\n")
            case DiscoveryState.INVALID_EVENTS:
                writer.write(HEADERS + INVALID_EVENTS)
                await asyncio.sleep(1.0)
            case _:
                await self._stream_events(last_revision, writer)

    async def _stream_events(self, last_revision: int, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADERS)
        while self.state in (DiscoveryState.UP, DiscoveryState.HALF_OPEN):
            if self.state is DiscoveryState.UP:
                writer.write(b"".join(self.events[last_revision - 1 :]) + b": \n\n")
                last_revision = len(self.events) + 1
            await writer.drain()
            self._has_new_events.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._has_new_events.wait()


def serve_fresh_copy(_: Command) -> tuple[str, bytes]:
    return f"served digest=aa,dated={int(time.time() * 1000.0)},remark=f", b"new"


async def fetch_code(client: Client, stream: int) -> int:
    """The result code of a request on the stream."""
    client.ask(stream, i=f"{stream:016x}")
    return (await client.next())[2]


@pytest.mark.parametrize("state", [state for state in DiscoveryState if state is not DiscoveryState.UP])
def test_requests_are_served_during_a_long_outage_and_no_event_is_lost_after_it(
    state: DiscoveryState,
) -> None:
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        cache, other, discovery = ScriptedCache(hit), ScriptedCache(serve_fresh_copy), Discovery()
        address = await cache.start()
        raw = config({"c0": address, "r0": REFUSED_ADDRESS}, await discovery.start())
        async with running_director(raw) as (node, first):
            assert await fetch_code(first, 1) == 0
            await wait_until(lambda: discovery.request_times_s)
            await discovery.set_state(state)
            started_s, requests_before = clock.elapsed_s, len(discovery.request_times_s)
            while clock.elapsed_s < started_s + OUTAGE_S:
                clock.is_network_idle = True
                await asyncio.sleep(OUTAGE_S / 4)
                clock.is_network_idle = False
                client = await Client.connect(node.port)
                assert await fetch_code(client, 1) == 0
                client.writer.close()
            # during the outage one cache was replaced by another, and a purge was published
            discovery.publish_member("c0", "terminated", address)
            discovery.publish_member("c1", "in_service", await other.start())
            last = discovery.publish(flush={"collection": 17, "ms": int(time.time() * 1000.0)})
            request_count = len(discovery.request_times_s) - requests_before
            await discovery.set_state(DiscoveryState.UP)
            recovered_s = clock.elapsed_s
            await wait_until(lambda: node.director.rev == last, MAX_EVENT_DELAY_S)
            assert clock.elapsed_s - recovered_s < MAX_EVENT_DELAY_S
            client = await Client.connect(node.port)
            fetches_before = len(other.received)
            assert await fetch_code(client, 1) == 0
            assert len(other.received) == fetches_before + 1 and "accept" in other.received[-1][1]
            # two requests are a backoff apart, of which up to half is random
            assert request_count < OUTAGE_S / (discovery_client_module.BACKOFF_MAX_S / 2)
            client.writer.close()
            await discovery.set_state(DiscoveryState.REFUSES)

    scenario()


@async_test
async def test_a_burst_of_events_does_not_block_the_event_loop() -> None:
    # Earlier 500 changes of a list of 200 caches were applied in one loop iteration of 150 ms, and of 3,200 caches in one
    # of 1.4 s. A director whose loop is more than 150 ms late refuses every request.
    discovery = Discovery()
    async with running_director(config({"r0": REFUSED_ADDRESS}, await discovery.start())) as (node, _):
        events_per_iteration = [0]
        apply_watch_event = node.director.apply_watch_event

        def apply_slowly(event: WatchEvent) -> None:
            events_per_iteration[-1] += 1
            time.sleep(0.002)
            apply_watch_event(event)

        node.director.apply_watch_event = apply_slowly  # type: ignore[method-assign]
        node.follow_discovery()
        for number in range(100):
            discovery.publish(flush={"collection": number, "ms": 1})
        while node.director.rev < 101:
            await asyncio.sleep(0)
            events_per_iteration.append(0)
        # one more event may start when the earlier ones have taken almost APPLY_SLICE_S
        assert (
            sum(events_per_iteration) >= 100
            and max(events_per_iteration) <= discovery_client_module.APPLY_SLICE_S / 0.002 + 2
        )
        await discovery.set_state(DiscoveryState.REFUSES)


@async_test
async def test_a_burst_counts_as_received_only_once_all_of_it_is_applied() -> None:
    # A director that took its list for current in the middle of a burst would act on an incomplete list.
    discovery = Discovery()
    for number in range(100):
        last = discovery.publish(flush={"collection": number, "ms": 1})
    host, _, port = (await discovery.start()).rpartition(":")
    revisions, revisions_when_current = [1], list[int]()

    def apply_slowly(event: WatchEvent) -> None:
        time.sleep(0.002)
        revisions.append(event.rev)

    client = DiscoveryClient(host, int(port), lambda: revisions[-1], apply_slowly, random.Random(1))
    client.on_received = lambda _: revisions_when_current.append(revisions[-1])
    task = asyncio.create_task(client.run())
    await wait_until(lambda: revisions_when_current and revisions[-1] == last)
    task.cancel()
    assert set(revisions_when_current) == {last}
    await discovery.set_state(DiscoveryState.REFUSES)


class Delay(Enum):
    """Which part of the response is slow."""

    HEADERS = auto()  # the headers come late, everything after them immediately
    BYTES = auto()  # each event comes a few bytes at a time, over seconds
    PAUSES = auto()  # each event comes in a few pieces with pauses between them


DELAY_S = 4.0  # of the headers, or between the start and the end of one event


class SlowDiscovery(Discovery):
    """Sends everything, but slowly."""

    def __init__(self, delay: Delay) -> None:
        super().__init__()
        self.delay = delay

    async def _respond(self, last_revision: int, writer: asyncio.StreamWriter) -> None:
        if self.delay is Delay.HEADERS:
            await asyncio.sleep(DELAY_S)
            writer.write(HEADERS)
        else:
            writer.write(HEADERS + b": \n\n")
        pieces = 80 if self.delay is Delay.BYTES else 3
        for event in self.events[last_revision - 1 :]:
            if self.delay is Delay.HEADERS:
                writer.write(event)
                continue
            size = len(event) // pieces + 1
            for start in range(0, len(event), size):
                writer.write(event[start : start + size])
                await writer.drain()
                await asyncio.sleep(DELAY_S / pieces)
        while not writer.is_closing():
            writer.write(b": \n\n")
            await writer.drain()
            await asyncio.sleep(1.0)


@pytest.mark.parametrize("delay", list(Delay))
def test_events_of_a_slow_discovery_are_all_applied(delay: Delay) -> None:
    # Earlier headers that took 1.2 s, or an event that took 2.5 s, ended every watch, and no event was ever applied.
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        discovery = SlowDiscovery(delay)
        for number in range(3):
            last = discovery.publish(flush={"collection": number, "ms": 1})
        async with running_director(config({"r0": REFUSED_ADDRESS}, await discovery.start())) as (node, _):
            clock.is_network_idle = True  # all waiting is for timers of either side
            await wait_until(lambda: node.director.rev == last, 30.0)
            await discovery.set_state(DiscoveryState.REFUSES)

    scenario()


@virtual
async def test_a_long_list_that_arrives_slowly_is_applied_from_the_first_request(clock: VirtualClock) -> None:
    # Earlier pieces of under 1 KB did not count as progress: the watch ended, and the list started over each time.
    discovery = SlowDiscovery(Delay.BYTES)
    stores = {f"c{number}": f"127.1.{number // 250}.{1 + number % 250}:4100" for number in range(400)}
    pool = json.loads(config({**stores, "r0": REFUSED_ADDRESS}))["known"]["notices"][0]["pool"]
    last = discovery.publish(pool=pool)
    assert len(discovery.events[0]) > 50_000  # in 80 pieces within 4 s
    async with running_director(config({"r0": REFUSED_ADDRESS}, await discovery.start())) as (node, _):
        clock.is_network_idle = True
        await wait_until(lambda: node.director.rev == last, 30.0)
        assert len(discovery.request_times_s) == 1 and len(node.director.known_endpoints()) == 401
        await discovery.set_state(DiscoveryState.REFUSES)


@async_test
async def test_changes_of_the_discovery_address_during_a_burst_lose_and_repeat_no_event() -> None:
    first, second = Discovery(), Discovery()
    addresses = [await first.start(), await second.start()]
    async with running_director(config({"r0": REFUSED_ADDRESS}, addresses[0])) as (node, _):
        applied: list[int] = []
        apply_watch_event = node.director.apply_watch_event

        def apply_slowly(event: WatchEvent) -> None:
            if event.rev > node.director.rev:
                applied.append(event.rev)
                time.sleep(0.002)
            apply_watch_event(event)

        node.director.apply_watch_event = apply_slowly  # type: ignore[method-assign]
        node.follow_discovery()
        for number in range(150):
            for discovery in (first, second):
                last = discovery.publish(flush={"collection": number, "ms": 1})
        address_changes = 0
        while node.director.rev < last:
            if applied and applied[-1] > 20 * (address_changes + 1) and address_changes < 5:
                address_changes += 1
                host, _, port = addresses[address_changes % 2].rpartition(":")
                changed_config = read_config(config({"r0": REFUSED_ADDRESS}, f"{host}:{port}"))
                node.reload(changed_config)
                if address_changes % 2:  # two more changes in the same loop iteration
                    node.reload(read_config(config({"r0": REFUSED_ADDRESS}, addresses[0])))
                    node.reload(read_config(config({"r0": REFUSED_ADDRESS}, f"{host}:{port}")))
            await asyncio.sleep(0)
        assert applied == list(range(2, last + 1)) and address_changes == 5
        for discovery in (first, second):
            await discovery.set_state(DiscoveryState.REFUSES)
