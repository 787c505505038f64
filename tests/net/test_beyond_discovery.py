"""Discovery that is away for long, slow, crowded or odd; requests go on and nothing that it tells is missed."""

from __future__ import annotations

import asyncio
import json
import random
import time
from contextlib import suppress
from enum import Enum, auto
from typing import Any

import pytest
from harness import Client, Command, ScriptedCache, async_test, config, hit, running_director, wait_until
from virtual_time import VirtualClock, virtual

import gladelane.discovery.client as board_module
from gladelane.discovery.client import DiscoveryClient
from gladelane.discovery.events import WatchEvent
from gladelane.net.config import read_config

REFUSED = "127.0.0.1:1"
HEADERS = b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n"
OUTAGE_S = 40.0
#: after which the protocol takes what discovery says for told
TOLD_S = 7.0


class State(Enum):
    UP = auto()
    REFUSES = auto()  # nothing listens
    HANGS = auto()  # takes calls and says nothing
    HALF_OPEN = auto()  # open watches stay open and silent, new calls are never answered
    ERRORS = auto()  # 503
    EMPTY = auto()  # a whole answer without a body
    ODD = auto()  # no HTTP at all
    ODD_EVENTS = auto()  # events that cannot be used


ODD_EVENTS = b"".join(
    b"data: %b\n\n" % odd
    for odd in (b"", b"null", b"[]", b'{"rev":"x"}', b"{" * 2000, b'{"pool":{}}', b"\xff\xfe", b'{"rev":-1}')
)


class Discovery:
    """A server of watches; `tell` adds an event, whatever its state."""

    def __init__(self) -> None:
        self.events: list[bytes] = []
        self.calls_s: list[float] = []
        self.state = State.UP
        self._server: asyncio.Server | None = None
        self._told = asyncio.Event()
        self._open: set[asyncio.Task[None]] = set()
        self._port = 0

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        self._port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{self._port}"

    async def become(self, state: State) -> None:
        self.state = state
        if self._server is not None and state is State.REFUSES:
            self._server.close()
            self._server = None
        elif self._server is None and state is not State.REFUSES:
            await self.start()
        if state is not State.HALF_OPEN:
            for task in self._open:
                task.cancel()

    def tell(self, **event: Any) -> int:
        """The first event of a director's configuration is number 1."""
        rev = len(self.events) + 2
        self.events.append(b"id: %d\ndata: %s\n\n" % (rev, json.dumps({"rev": rev, **event}).encode()))
        self._told.set()
        return rev

    def tell_state(self, store: str, lifecycle: str, address: str) -> int:
        member = {"instanceId": store, "hostPort": address, "zone": "edge", "machineType": "box", "cell": 0,
                  "lifecycle": lifecycle, "weight": 1, "startedAtMs": 0}  # fmt: skip
        return self.tell(pool={"generation": 1, "reset": False, "instances": [member]})

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        self.calls_s.append(time.monotonic())
        try:
            with suppress(OSError, asyncio.IncompleteReadError):
                head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
                await self._answer(int(head.split("last-event-id: ")[1].split()[0]), writer)
        except asyncio.CancelledError:
            pass
        finally:
            self._open.discard(task)
            writer.close()

    async def _answer(self, last: int, writer: asyncio.StreamWriter) -> None:
        match self.state:
            case State.HANGS | State.HALF_OPEN:
                await asyncio.sleep(10 * OUTAGE_S)
            case State.ERRORS:
                writer.write(b"HTTP/1.1 503 Unavailable\r\ncontent-length: 5\r\n\r\nsorry")
            case State.EMPTY:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n")
            case State.ODD:
                writer.write(b"\x16\x03\x01 this is not what was asked for\r\n\r\n")
            case State.ODD_EVENTS:
                writer.write(HEADERS + ODD_EVENTS)
                await asyncio.sleep(1.0)
            case _:
                await self._tell_all(last, writer)

    async def _tell_all(self, last: int, writer: asyncio.StreamWriter) -> None:
        writer.write(HEADERS)
        while self.state in (State.UP, State.HALF_OPEN):
            if self.state is State.UP:
                writer.write(b"".join(self.events[last - 1 :]) + b": \n\n")
                last = len(self.events) + 1
            await writer.drain()
            self._told.clear()
            with suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self._told.wait()


def fetched_now(_: Command) -> tuple[str, bytes]:
    return f"served digest=aa,dated={int(time.time() * 1000.0)},remark=f", b"new"


async def asked(client: Client, stream: int) -> int:
    client.ask(stream, i=f"{stream:016x}")
    return (await client.next())[2]


@pytest.mark.parametrize("state", [state for state in State if state is not State.UP])
def test_requests_go_on_through_a_long_outage_and_nothing_is_missed_at_its_end(state: State) -> None:
    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache, other, discovery = ScriptedCache(hit), ScriptedCache(fetched_now), Discovery()
        address = await cache.start()
        raw = config({"c0": address, "r0": REFUSED}, await discovery.start())
        async with running_director(raw) as (node, first):
            assert await asked(first, 1) == 0
            await wait_until(lambda: discovery.calls_s)
            await discovery.become(state)
            began_s, calls = clock.elapsed_s, len(discovery.calls_s)
            while clock.elapsed_s < began_s + OUTAGE_S:
                clock.is_quiet = True
                await asyncio.sleep(OUTAGE_S / 4)
                clock.is_quiet = False
                client = await Client.connect(node.port)
                assert await asked(client, 1) == 0
                client.writer.close()
            # meanwhile one cache was replaced by another, and a purge was told
            discovery.tell_state("c0", "terminated", address)
            discovery.tell_state("c1", "in_service", await other.start())
            last = discovery.tell(flush={"collection": 17, "ms": int(time.time() * 1000.0)})
            calls = len(discovery.calls_s) - calls
            await discovery.become(State.UP)
            back_s = clock.elapsed_s
            await wait_until(lambda: node.director.rev == last, TOLD_S)
            assert clock.elapsed_s - back_s < TOLD_S
            client = await Client.connect(node.port)
            before = len(other.received)
            assert await asked(client, 1) == 0
            assert len(other.received) == before + 1 and "accept" in other.received[-1][1]
            # each call comes a backoff after the last at the soonest, half of it by chance
            assert calls < OUTAGE_S / (board_module.BACKOFF_MOST_S / 2)
            client.writer.close()
            await discovery.become(State.REFUSES)

    scene()


@async_test
async def test_a_burst_of_events_holds_up_no_turn_of_the_loop() -> None:
    # 500 changes of a list of 200 caches were applied in one turn of 150 ms, of 3,200 caches in one of 1.4 s:
    # past 150 ms behind every request is turned away
    discovery = Discovery()
    async with running_director(config({"r0": REFUSED}, await discovery.start())) as (node, _):
        turns = [0]
        notice = node.director.apply_watch_event

        def slowly(one: WatchEvent) -> None:
            turns[-1] += 1
            time.sleep(0.002)
            notice(one)

        node.director.apply_watch_event = slowly  # type: ignore[method-assign]
        node.follow_discovery()
        for number in range(100):
            discovery.tell(flush={"collection": number, "ms": 1})
        while node.director.rev < 101:
            await asyncio.sleep(0)
            turns.append(0)
        # an event may begin once the others have taken APPLY_S
        assert sum(turns) >= 100 and max(turns) <= board_module.APPLY_S / 0.002 + 2
        await discovery.become(State.REFUSES)


@async_test
async def test_a_burst_counts_as_heard_once_all_of_it_is_applied() -> None:
    # who acts on what was heard would act on a view that lacks the rest of it
    discovery = Discovery()
    for number in range(100):
        last = discovery.tell(flush={"collection": number, "ms": 1})
    host, _, port = (await discovery.start()).rpartition(":")
    revisions, heard_at = [1], list[int]()

    def slowly(one: WatchEvent) -> None:
        time.sleep(0.002)
        revisions.append(one.rev)

    board = DiscoveryClient(host, int(port), lambda: revisions[-1], slowly, random.Random(1))
    board.heard = lambda _: heard_at.append(revisions[-1])
    task = asyncio.create_task(board.run())
    await wait_until(lambda: heard_at and revisions[-1] == last)
    task.cancel()
    assert set(heard_at) == {last}
    await discovery.become(State.REFUSES)


class Slow(Enum):
    HEADERS = auto()  # they come late, all else at once
    BYTES = auto()  # an event comes over seconds, a few bytes at a time
    PAUSES = auto()  # in a few pieces, with pauses between them


SLOW_S = 4.0  # for the headers, or for one event


class SlowDiscovery(Discovery):
    def __init__(self, how: Slow) -> None:
        super().__init__()
        self.how = how

    async def _answer(self, last: int, writer: asyncio.StreamWriter) -> None:
        if self.how is Slow.HEADERS:
            await asyncio.sleep(SLOW_S)
            writer.write(HEADERS)
        else:
            writer.write(HEADERS + b": \n\n")
        pieces = 80 if self.how is Slow.BYTES else 3
        for event in self.events[last - 1 :]:
            if self.how is Slow.HEADERS:
                writer.write(event)
                continue
            size = len(event) // pieces + 1
            for start in range(0, len(event), size):
                writer.write(event[start : start + size])
                await writer.drain()
                await asyncio.sleep(SLOW_S / pieces)
        while not writer.is_closing():
            writer.write(b": \n\n")
            await writer.drain()
            await asyncio.sleep(1.0)


@pytest.mark.parametrize("how", list(Slow))
def test_discovery_that_is_slow_is_heard_to_the_end(how: Slow) -> None:
    # headers after 1.2 s, or an event of 2.5 s, ended each watch in turn, and nothing was ever known again
    @virtual
    async def scene(clock: VirtualClock) -> None:
        discovery = SlowDiscovery(how)
        for number in range(3):
            last = discovery.tell(flush={"collection": number, "ms": 1})
        async with running_director(config({"r0": REFUSED}, await discovery.start())) as (node, _):
            clock.is_quiet = True  # what is waited for is a timer of one side or the other
            await wait_until(lambda: node.director.rev == last, 30.0)
            await discovery.become(State.REFUSES)

    scene()


@virtual
async def test_a_long_list_that_comes_slowly_is_heard_at_the_first_call(clock: VirtualClock) -> None:
    # pieces of under 1 KB were no sign of life, and the list began anew with each call
    discovery = SlowDiscovery(Slow.BYTES)
    stores = {f"c{number}": f"127.1.{number // 250}.{1 + number % 250}:4100" for number in range(400)}
    pool = json.loads(config({**stores, "r0": REFUSED}))["known"]["notices"][0]["pool"]
    last = discovery.tell(pool=pool)
    assert len(discovery.events[0]) > 50_000  # in 80 pieces within 4 s
    async with running_director(config({"r0": REFUSED}, await discovery.start())) as (node, _):
        clock.is_quiet = True
        await wait_until(lambda: node.director.rev == last, 30.0)
        assert len(discovery.calls_s) == 1 and len(node.director.known_endpoints()) == 401
        await discovery.become(State.REFUSES)


@async_test
async def test_moves_of_discovery_in_the_middle_of_a_burst_miss_and_repeat_nothing() -> None:
    first, second = Discovery(), Discovery()
    addresses = [await first.start(), await second.start()]
    async with running_director(config({"r0": REFUSED}, addresses[0])) as (node, _):
        known: list[int] = []
        notice = node.director.apply_watch_event

        def slowly(one: WatchEvent) -> None:
            if one.rev > node.director.rev:
                known.append(one.rev)
                time.sleep(0.002)
            notice(one)

        node.director.apply_watch_event = slowly  # type: ignore[method-assign]
        node.follow_discovery()
        for number in range(150):
            for one in (first, second):
                last = one.tell(flush={"collection": number, "ms": 1})
        moves = 0
        while node.director.rev < last:
            if known and known[-1] > 20 * (moves + 1) and moves < 5:
                moves += 1
                host, _, port = addresses[moves % 2].rpartition(":")
                fresh = read_config(config({"r0": REFUSED}, f"{host}:{port}"))
                node.reload(fresh)
                if moves % 2:  # twice in one turn
                    node.reload(read_config(config({"r0": REFUSED}, addresses[0])))
                    node.reload(read_config(config({"r0": REFUSED}, f"{host}:{port}")))
            await asyncio.sleep(0)
        assert known == list(range(2, last + 1)) and moves == 5
        for one in (first, second):
            await one.become(State.REFUSES)
