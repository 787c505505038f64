"""Answers that are out when something changes that limits their copies: they are passed on until the stated delay of a
purge is over, and asked for again after it."""

from __future__ import annotations

import asyncio
import dataclasses
import re
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from harness import REFUSED_ADDRESS, Client, Command, config, wait_until
from test_director import operator
from test_net_rules import outcomes, record_events
from test_purge_log import ServedLog, running_server, send
from virtual_time import VirtualClock, run_in_virtual_time

from gladelane.net.config import read_config
from gladelane.routing.events import Effect, Event, Status
from gladelane.server import Server
from gladelane.settings.operator import Operator

SERVED, REFUSED, FAILED = 0, 1, 2
OBJECT = "7f3a9c21e0b4d655"  # as `Client.ask` sends it, with group 17, part 3 and class film
DELAY_MS = 300.0  # shorter than an operator's file permits, so that the tests are
OLD_COPY_MS = 100.0
MANY_REQUESTS = 60  # more than the initial budget for retries


class GatedCache:
    """A fake cache that answers from a copy as old as `accept` permits, or from a new one. An answer is composed at
    once, and sent once the gate is open."""

    def __init__(self, word: str = "served", has_dates: bool = True) -> None:
        self.gate = asyncio.Event()
        self.received: list[Command] = []
        self._word, self._has_dates = word, has_dates

    async def start(self) -> str:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        tasks = []
        while tokens := (await reader.readline()).decode().split():
            if tokens[0] != "fetch":
                continue
            body = (await reader.readexactly(int(tokens[3]) + 2))[:-2]
            command = tokens[1], dict(pair.split("=", 1) for pair in tokens[2].split(",")), body
            self.received.append(command)
            tasks.append(asyncio.ensure_future(self._answer(command, writer)))
        writer.close()

    async def _answer(self, command: Command, writer: asyncio.StreamWriter) -> None:
        id_, fields, _ = command
        age_ms = OLD_COPY_MS if float(fields.get("accept", "inf")) > OLD_COPY_MS * 20.0 else 0.0
        dated = f"dated={int(time.time() * 1000.0 - age_ms)}," if self._has_dates else ""
        await self.gate.wait()
        body = b"" if self._word == "still_good" else b"\x00bytes"
        writer.write(
            f"{id_} {self._word} digest=aa,{dated}remark=h {len(body)}\r\n".encode() + body + b"\r\n"
        )


def with_short_delay(tmp_path: Path, port: int, **more: Any) -> Operator:
    op = operator(tmp_path, port, **more)
    assert op.purges is not None
    return msgspec.structs.replace(op, purges=msgspec.structs.replace(op.purges, delay_ms=DELAY_MS))


class Site(NamedTuple):
    node: Server
    port: int
    client: Client
    purge_server: ServedLog | None
    events: list[Event]

    async def purge(self, scope: str) -> float:
        """Sends a purge and returns when it was accepted, once the director knows it."""
        assert self.purge_server is not None
        await send(self.purge_server.port, scope)
        accepted_s = time.monotonic()
        purges = self.node.purges
        assert purges is not None
        await wait_until(lambda: len(purges.active))
        return accepted_s

    async def answer_after_purge(self, cache: GatedCache, scope: str = "all", **fields: str) -> int:
        """Sends request 1, lets its first answer come after the delay of a purge, and returns the code of the final
        answer."""
        self.client.ask(1, **fields)
        await wait_until(lambda: cache.received)
        await until_after_delay(await self.purge(scope))
        cache.gate.set()
        return (await self.client.next())[2]

    def superseded(self) -> int:
        found = re.search(r"answers_superseded=(\d+)", self.node.director.report())
        assert found is not None
        return int(found[1])


@asynccontextmanager
async def running_site(tmp_path: Path, *caches: GatedCache, **limits: Any) -> AsyncIterator[Site]:
    """The last of the caches is the origin, which gets the writes."""
    names = [f"c{number}" for number in range(max(len(caches) - 1, 1))] + ["r0"]
    servers = {"r0": REFUSED_ADDRESS}
    for name, cache in zip(names, caches, strict=False):
        servers[name] = await cache.start()
    async with running_server(tmp_path) as purge_server:
        op = with_short_delay(tmp_path, purge_server.port, strict=[])
        node = Server(read_config(config(servers, **limits)), op)
        port = await node.start()
        client = await Client.connect(port)
        try:
            yield Site(node, port, client, purge_server, record_events(node.director))
        finally:
            client.writer.close()
            await node.close()


async def until_after_delay(accepted_s: float) -> None:
    await asyncio.sleep(accepted_s + DELAY_MS / 1000.0 - time.monotonic() + 0.05)


@pytest.mark.parametrize("scope", [f"object:{OBJECT}", "group:17", "objects:7f* & class:film", "all"])
def test_an_answer_that_is_out_when_its_object_is_purged_is_asked_for_again_after_the_stated_delay(
    tmp_path: Path, scope: str
) -> None:
    """The date was compared only with the purges known at the send, so the old copy was passed on at any time."""

    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache()
        async with running_site(tmp_path, cache, may_duplicate=False) as site:
            assert await site.answer_after_purge(cache, scope) == SERVED
            assert len(cache.received) == 2 and float(cache.received[1][1]["accept"]) < 2000.0
            assert [status for _, _, status, _ in outcomes(site.events)] == [Status.SUPERSEDED, Status.OK]
            assert site.superseded() == 1

    run_in_virtual_time(scenario)


def test_an_answer_is_passed_on_until_the_stated_delay_of_a_purge_is_over(tmp_path: Path) -> None:
    """To refuse or repeat it would cost its caller time for nothing: the promise begins with the delay."""

    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache()
        async with running_site(tmp_path, cache, may_duplicate=False) as site:
            site.client.ask(1)
            await wait_until(lambda: cache.received)
            await asyncio.sleep(DELAY_MS / 1000.0)  # how long it is out does not matter
            await site.purge("all")
            cache.gate.set()
            assert (await site.client.next())[2] == SERVED
            assert [status for _, _, status, _ in outcomes(site.events)] == [Status.OK]

    run_in_virtual_time(scenario)


def test_a_newer_purge_does_not_put_off_the_end_of_the_delay_of_an_older_one(tmp_path: Path) -> None:
    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache()
        async with running_site(tmp_path, cache, may_duplicate=False) as site:
            site.client.ask(1)
            await wait_until(lambda: cache.received)
            await until_after_delay(await site.purge("all"))
            assert site.purge_server is not None
            await send(site.purge_server.port, "all")
            purges = site.node.purges
            assert purges is not None
            await wait_until(lambda: len(purges.active) == 2)
            cache.gate.set()
            assert (await site.client.next())[2] == SERVED
            assert len(cache.received) == 2 and site.superseded() == 1

    run_in_virtual_time(scenario)


def test_the_clients_own_copy_is_not_confirmed_after_the_stated_delay(tmp_path: Path) -> None:
    """`still_good` carries the date of the copy that it confirms, which the same limits bind."""

    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache("still_good")
        async with running_site(tmp_path, cache, may_duplicate=False) as site:
            assert await site.answer_after_purge(cache, known="aa") == SERVED
            assert len(cache.received) == 2 and site.superseded() == 1

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("word", ["served", "still_good"])
def test_an_answer_without_a_date_is_asked_for_again_if_a_purge_came_while_it_was_out(
    tmp_path: Path, word: str
) -> None:
    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache(word, has_dates=False)
        async with running_site(tmp_path, cache, may_duplicate=False) as site:
            # the second attempt states the limit, so its answer needs no date
            assert await site.answer_after_purge(cache, known="aa") == SERVED
            assert len(cache.received) == 2 and site.superseded() == 1

    run_in_virtual_time(scenario)


def test_a_request_that_cannot_be_repeated_is_refused_once_and_at_once(tmp_path: Path) -> None:
    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache()
        async with running_site(tmp_path, cache, may_duplicate=False, max_attempts=1) as site:
            site.client.ask(1)
            await wait_until(lambda: cache.received)
            await until_after_delay(await site.purge("all"))
            started_s = time.monotonic()
            cache.gate.set()
            assert (await site.client.next())[2] == REFUSED
            assert time.monotonic() - started_s < 0.2 and len(cache.received) == 1
            assert await site.client.receives_nothing()

    run_in_virtual_time(scenario)


def test_a_write_that_is_out_during_a_purge_of_everything_is_answered_once(tmp_path: Path) -> None:
    async def scenario(_: VirtualClock) -> None:
        origin = GatedCache(has_dates=False)
        async with running_site(tmp_path, GatedCache(), origin) as site:
            assert await site.answer_after_purge(origin, c="sheet", k="5c") == SERVED
            assert len(origin.received) == 1

    run_in_virtual_time(scenario)


def test_a_purge_of_everything_with_many_answers_out_causes_no_refusal_and_no_ejection(
    tmp_path: Path,
) -> None:
    """The answers come from sound caches within one moment: they cost no retry budget and eject no cache."""

    async def scenario(_: VirtualClock) -> None:
        caches = [GatedCache() for _ in range(5)]
        async with running_site(tmp_path, *caches, may_duplicate=False) as site:
            clients = [site.client, await Client.connect(site.port), await Client.connect(site.port)]
            numbers = range(1, MANY_REQUESTS + 1)
            for number in numbers:
                clients[number % 3].ask(number, o=f"{number:016x}")
            await wait_until(lambda: sum(len(cache.received) for cache in caches) == MANY_REQUESTS)
            budget = site.node.director.router.budgets.retries
            await until_after_delay(await site.purge("all"))
            for cache in caches:
                cache.gate.set()
            codes = [(await clients[number % 3].next())[2] for number in numbers]
            assert codes == [SERVED] * MANY_REQUESTS
            assert sum(len(cache.received) for cache in caches) >= 2 * MANY_REQUESTS
            assert site.superseded() == MANY_REQUESTS
            router = site.node.director.router
            assert router.budgets.retries == budget
            assert not any(store.is_ejected(site.node.clock.now()) for store in router.stores.values())
            for client in clients[1:]:
                client.writer.close()

    run_in_virtual_time(scenario)


@asynccontextmanager
async def cut_off_site(tmp_path: Path, cache: GatedCache, cut_off_per_s: float) -> AsyncIterator[Site]:
    """A director that no control server reaches."""
    op = with_short_delay(tmp_path, 1, cut_off_per_s=cut_off_per_s)
    servers = {"c0": await cache.start(), "r0": REFUSED_ADDRESS}
    node = Server(read_config(config(servers, may_duplicate=False)), op)
    port = await node.start()
    client = await Client.connect(port)
    try:
        yield Site(node, port, client, None, record_events(node.director))
    finally:
        client.writer.close()
        await node.close()


def test_while_cut_off_the_age_of_a_copy_is_limited_when_its_answer_is_passed_on(tmp_path: Path) -> None:
    """A strict class takes copies younger than the delay. The age was limited as of the send only."""

    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache()
        async with cut_off_site(tmp_path, cache, cut_off_per_s=40.0) as site:
            await asyncio.sleep(0.2)  # for the budget of refetches
            site.client.ask(1)
            await wait_until(lambda: cache.received)
            await asyncio.sleep(DELAY_MS / 1000.0 + 0.05)
            cache.gate.set()
            assert (await site.client.next())[2] == SERVED and len(cache.received) == 2
            assert [status for _, _, status, _ in outcomes(site.events)] == [Status.SUPERSEDED, Status.OK]

    run_in_virtual_time(scenario)


@pytest.mark.parametrize("effect, code", [(Effect.SAFE, REFUSED), (Effect.UNSAFE, FAILED)])
def test_a_superseded_answer_without_budget_for_another_fetch_ends_its_request_honestly(
    tmp_path: Path, effect: Effect, code: int
) -> None:
    """A request that has run may be refused only if a retry is harmless."""

    async def scenario(_: VirtualClock) -> None:
        cache = GatedCache()
        async with cut_off_site(tmp_path, cache, cut_off_per_s=40.0) as site:
            await asyncio.sleep(0.2)
            site.client.ask(1)
            await wait_until(lambda: cache.received)
            (exchange,) = site.node.director.live.values()
            exchange.spec = dataclasses.replace(exchange.spec, effect=effect)
            purges = site.node.purges
            assert purges is not None
            await asyncio.sleep(DELAY_MS / 1000.0 + 0.05)
            purges.admits = lambda *_: 700.0  # type: ignore[method-assign]
            cache.gate.set()
            assert (await site.client.next())[2] == code and len(cache.received) == 1

    run_in_virtual_time(scenario)
