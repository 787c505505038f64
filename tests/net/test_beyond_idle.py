"""Caches that close, reset or forget connections that rest; attempts that fail at once. Virtual time, real sockets."""

from __future__ import annotations

import asyncio
import json
from enum import Enum, auto
from typing import Any

import pytest
from harness import Client, ScriptedCache, config, hit, never_respond, running_director, wait_until
from virtual_time import VirtualClock, virtual

from gladelane.lab.fleet.relay import reset

REFUSED = "127.0.0.1:1"
REST_S = 6.0  # under what the settings give a connection that rests
SERVED, REFUSED_CODE, FAILED = 0, 1, 2


class Trouble(Enum):
    """What a cache does to the connections that rest."""

    CLOSED = auto()
    RESET = auto()
    RESET_AT_WRITE = auto()  # it has forgotten them, and its system answers what comes with a reset
    SILENT = auto()  # what comes is answered with nothing


class ForgetfulCache(ScriptedCache):
    """Answers what comes on new connections."""

    def __init__(self) -> None:
        super().__init__(hit)
        self.forgotten: set[asyncio.StreamWriter] = set()
        self.trouble = Trouble.SILENT

    def forget(self, trouble: Trouble) -> None:
        self.trouble = trouble
        self.forgotten = {writer for writer in self.connections if not writer.is_closing()}
        for writer in self.forgotten:
            if trouble is Trouble.CLOSED:
                writer.close()
            elif trouble is Trouble.RESET:
                reset(writer)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections.append(writer)
        try:
            while line := (await reader.readline()).decode().split():
                if line[0] == "abort":
                    continue
                body = (await reader.readexactly(int(line[3]) + 2))[:-2]
                self.received.append((line[1], dict(pair.split("=", 1) for pair in line[2].split(",")), body))
                if writer not in self.forgotten:
                    head, content = hit(self.received[-1]) or ("", b"")
                    writer.write(f"{line[1]} {head} {len(content)}\r\n".encode() + content + b"\r\n")
                elif self.trouble is Trouble.RESET_AT_WRITE:
                    reset(writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        writer.close()


def three_classes(address: str, **limits: Any) -> bytes:
    """The harness's, and one whose requests may never run twice."""
    raw = json.loads(config({"c0": address, "r0": address}, **limits))
    raw["settings"]["classes"] = [
        *raw["settings"]["classes"],
        {"name": "order", "effect": "fragile", "aim_ms": 800.0, "deadline_ms": 3000.0, "value": 3.0},
    ]
    raw["settings"]["family_info"].update(
        pass_on=[False, True, True], good_for_ms=[0.0, 0.0, 0.0], segmented=[False, False, False]
    )
    return json.dumps(raw).encode()


#: code and the most it may take, by class and trouble; all others are served at once on a new connection
SLOW_S, AT_ONCE_S = 1.2, 0.05
EXPECTED = {
    ("film", Trouble.SILENT): (SERVED, SLOW_S),  # by a second copy
    ("sheet", Trouble.SILENT): (SERVED, SLOW_S),  # within its window
    ("order", Trouble.SILENT): (FAILED, 2.0),  # nothing tells that it did not run
    ("order", Trouble.RESET_AT_WRITE): (FAILED, AT_ONCE_S),
}


async def rest(clock: VirtualClock, seconds: float = REST_S) -> None:
    clock.is_quiet = True
    await asyncio.sleep(seconds)
    clock.is_quiet = False


@pytest.mark.parametrize("trouble", list(Trouble))
@pytest.mark.parametrize("cls", ["film", "sheet", "order"])
def test_a_request_for_a_connection_that_rested_is_answered_as_its_class_allows(
    cls: str, trouble: Trouble
) -> None:
    code, most_s = EXPECTED.get((cls, trouble), (SERVED, AT_ONCE_S))

    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache = ForgetfulCache()
        async with running_director(three_classes(await cache.start())) as (node, client):
            client.ask(1, c=cls, k="aa")
            assert (await client.next())[:3] == (17, 1, SERVED)
            await rest(clock)
            cache.forget(trouble)
            late = await Client.connect(node.port)  # the first one's connection has rested, too
            asked_s = clock.elapsed_s
            late.ask(1, i=f"{2:016x}", c=cls, k="bb")
            assert (await late.next())[:3] == (17, 1, code)
            assert clock.elapsed_s - asked_s <= most_s
            assert await late.receives_nothing()
            if cls == "order":
                assert [command[0] for command in cache.received] == [f"{n:016x}" for n in (1, 2)]
            late.writer.close()

    scene()


@pytest.mark.parametrize("cls", ["film", "sheet", "order"])
def test_many_requests_at_once_for_connections_that_were_closed_are_all_served(cls: str) -> None:
    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache = ForgetfulCache()
        async with running_director(three_classes(await cache.start())) as (node, client):
            for stream in range(1, 21):
                client.ask(stream, c=cls, k=f"{stream:032x}", o=f"{stream:016x}")
            for _ in range(20):
                assert (await client.next())[2] == SERVED
            await rest(clock)
            cache.forget(Trouble.RESET)
            late = await Client.connect(node.port)
            for stream in range(1, 21):
                late.ask(stream, i=f"{99 + stream:016x}", c=cls, k=f"{99 + stream:032x}", o=f"{stream:016x}")
            answered = [await late.next() for _ in range(20)]
            assert {(type_, code) for type_, _, code, *_ in answered} == {(17, SERVED)}
            assert len({stream for _, stream, *_ in answered}) == 20
            late.writer.close()

    scene()


def overloaded(command: Any) -> tuple[str, bytes]:
    return "overload -", b""


@virtual
async def test_a_second_copy_that_is_refused_at_once_leaves_the_first_its_time(clock: VirtualClock) -> None:
    first = ScriptedCache(never_respond)
    async with running_director(config({"c0": await first.start(), "r0": REFUSED})) as (node, client):
        client.ask(1)
        await wait_until(lambda: first.received)
        attempt = first.received[0][0]
        first.server.close()  # the second copy wants a connection of its own, and is refused
        await asyncio.sleep(1.0)
        assert len(first.received) == 1 and len(node.director.live) == 1
        first.connections[0].write(f"{attempt} served digest=aa,dated=1,remark=h 2\r\nok\r\n".encode())
        assert (await client.next())[:3] == (17, 1, SERVED)
        assert await client.receives_nothing() and not node.director.live


@pytest.mark.parametrize("second", ["refused", "overloaded", "reset"])
@pytest.mark.parametrize("cls", ["film", "sheet", "order"])
def test_attempts_that_all_fail_at_once_get_one_answer_at_once(cls: str, second: str) -> None:
    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache = ForgetfulCache() if second == "reset" else ScriptedCache(overloaded)
        address = await cache.start()
        async with running_director(three_classes(REFUSED if second == "refused" else address)) as (
            node,
            client,
        ):
            if isinstance(cache, ForgetfulCache):
                cache.trouble, cache.forgotten = Trouble.RESET_AT_WRITE, Always()
            asked_s = clock.elapsed_s
            client.ask(1, c=cls, k="aa", d="1000")
            _, stream, code, *_ = await client.next()
            assert stream == 1 and code == (FAILED if (cls, second) == ("order", "reset") else REFUSED_CODE)
            # a refusing origin is asked again for a part of the time by classes that only it can answer
            most_s = 1.0 if cls != "film" and second == "overloaded" else AT_ONCE_S
            assert clock.elapsed_s - asked_s <= most_s
            assert await client.receives_nothing() and not node.director.live

    scene()


class Always(set[asyncio.StreamWriter]):
    """Holds every connection."""

    def __contains__(self, _: object) -> bool:
        return True


async def ask_once(port: int, number: int, cls: str, wait_ms: int = 2000) -> int:
    """The code of the answer to one request of a client of its own."""
    client = await Client.connect(port)
    client.ask(1, i=f"{number:016x}", o=f"{number:016x}", c=cls, k=f"{number:032x}", d=str(wait_ms))
    code = (await client.next())[2]
    client.writer.close()
    return code


@pytest.mark.parametrize("second_copies", [False, True])
def test_connections_that_were_forgotten_in_silence_cost_few_requests(second_copies: bool) -> None:
    # two attempts had to time out on each: of 50 requests in 5 s many waited out their time for nothing
    @virtual
    async def scene(clock: VirtualClock) -> None:
        caches = [ForgetfulCache() for _ in range(6)]
        places = {f"c{number}": await cache.start() for number, cache in enumerate(caches)}
        raw = config({**places, "r0": REFUSED}, may_duplicate=second_copies)
        async with running_director(raw) as (node, _):
            first = [ask_once(node.port, number, "film") for number in range(40)]
            assert set(await asyncio.gather(*first)) == {SERVED}
            await rest(clock)
            for cache in caches:
                cache.forget(Trouble.SILENT)
            assert sum(len(cache.forgotten) for cache in caches) >= 6
            asked = []
            for number in range(50):
                asked.append(asyncio.create_task(ask_once(node.port, 1000 + number, "film")))
                await asyncio.sleep(0.1)
            codes = await asyncio.gather(*asked)
            assert codes.count(SERVED) >= 47

    scene()


@pytest.mark.parametrize("cls", ["film", "order"])
def test_an_answer_that_is_slow_on_a_connection_that_rested_is_waited_for(cls: str) -> None:
    # what may not be sent again is never given up for it; what may is only where later ones are answered
    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache = ScriptedCache(lambda command: None if command[1]["nth"] == "9" else hit(command))
        async with running_director(three_classes(await cache.start(), may_duplicate=False)) as (
            node,
            client,
        ):
            client.ask(1, c=cls)
            assert (await client.next())[2] == SERVED
            await rest(clock)
            slow = await Client.connect(node.port)
            slow.ask(1, i=f"{2:016x}", c=cls, chunk="9", d="3000")
            await asyncio.sleep(0.4)
            other = (
                [ask_once(node.port, number, "order") for number in range(10, 13)] if cls == "order" else []
            )
            assert await asyncio.gather(*other) == [SERVED] * len(other)
            await asyncio.sleep(1.6)
            (writer,) = cache.connections[:1]
            writer.write(f"{2:016x} served digest=aa,dated=1,remark=h 4\r\nslow\r\n".encode())
            assert (await slow.next())[2:] == (SERVED, {}, b"slow")
            assert [command[0] for command in cache.received].count(f"{2:016x}") == 1
            slow.writer.close()

    scene()


@virtual
async def test_a_connection_that_was_forgotten_says_nothing_of_its_address(clock: VirtualClock) -> None:
    # where a store has further addresses this one would have been passed over as if it had stalled
    cache = ForgetfulCache()
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED}, may_duplicate=False)) as (
        node,
        _,
    ):
        assert await ask_once(node.port, 1, "film") == SERVED
        await rest(clock)
        cache.forget(Trouble.SILENT)
        stalled: list[str] = []
        node.endpoints.stalled = lambda store, *_: bool(stalled.append(store))  # type: ignore[method-assign, func-returns-value]
        asked = []
        for number in range(2, 22):
            asked.append(asyncio.create_task(ask_once(node.port, number, "film")))
            await asyncio.sleep(0.1)
        codes = await asyncio.gather(*asked)
        # of those that came within a quarter of a second all but the first one have to wait it out
        assert codes.count(SERVED) >= 18
        assert not stalled and len(cache.connections) == 2
