"""Admin actions on a complete director between clients and scripted caches: their effects on requests, and
the metrics."""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter
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
    never_respond,
    raw_frame,
    running_director,
    wait_until,
)

from gladelane.admin.drain import DRAINED_MS
from gladelane.admin.requests import AdminAction, AdminRequest, AdminResponse
from gladelane.discovery.events import watch_event_decoder


def run_action(node: Any, action: AdminAction, store: str = "") -> AdminResponse:
    return node.admin_handler.accept(AdminRequest(action, store)) or node.admin_handler.complete(
        AdminRequest(action, store)
    )


def read_metrics(node: Any) -> dict[str, int]:
    lines = run_action(node, AdminAction.STATS).text.splitlines()
    return {
        name.removeprefix("director."): int(value)
        for name, _, value in (line.partition("=") for line in lines)
    }


def list_change(
    id_: str, address: str, lifecycle: str = "in_service", reset: bool = False, rev: int = 2
) -> Any:
    kinds = {"c": ("edge", "box"), "p": ("hub", "mid")}
    return watch_event_decoder.decode(
        (f'{{"rev":{rev},"pool":{{"reset":{str(reset).lower()},"instances":[{{"instanceId":"{id_}","hostPort":"{address}",'
         f'"zone":"{kinds[id_[0]][0]}","machineType":"{kinds[id_[0]][1]}","lifecycle":"{lifecycle}","startedAtMs":0}}]}}}}').encode())  # fmt: skip


async def ask(client: Client, stream: int, **fields: str) -> int:
    """Sends a request and returns the code of its answer."""
    client.ask(stream, o=f"{stream:016x}", m="1", **fields)
    return (await client.next())[2]


@async_test
async def test_cache_in_maintenance_gets_no_requests_until_it_is_put_back() -> None:
    """The endpoint list may remove and list the cache again meanwhile. After it is put back, it counts as
    cold."""
    first, second = ScriptedCache(hit), ScriptedCache(hit)
    addresses = {
        "c0": await first.start(),
        "c1": await second.start(),
        "p0": REFUSED_ADDRESS,
        "r0": REFUSED_ADDRESS,
    }
    async with running_director(config(addresses)) as (node, client):
        for stream in range(1, 21):
            assert await ask(client, stream) == 0
        assert first.received and second.received
        assert run_action(node, AdminAction.MAINT, "nobody").status == 404
        assert (
            run_action(node, AdminAction.MAINT, "c0").is_success
            and run_action(node, AdminAction.MAINT, "c0").is_success
        )
        before = len(first.received)
        list_changes = [
            list_change("c0", addresses["c0"], "terminated"),
            list_change("c0", addresses["c0"], rev=3),
            list_change("c1", addresses["c1"], rev=4),
        ]
        for stream, change in enumerate([None, *list_changes], 21):
            if change is not None:
                node.director.apply_watch_event(change)
            for number in range(10):
                assert await ask(client, stream * 100 + number) == 0
        assert len(first.received) == before and read_metrics(node)["hosts_down"] == 1
        assert (
            run_action(node, AdminAction.READY, "c0").is_success
            and run_action(node, AdminAction.READY, "nobody").status == 404
        )
        store = node.director.router.stores["c0"]
        assert store.member.started_at_ms > node.clock.now() - 1000.0  # cold: it was restarted in between
        # the usual rate of warm caches, and so the upper bound for a cold one
        node.director.router.cold.caches.usual = 1e6
        for stream in range(4000, 4040):
            assert await ask(client, stream) == 0
        assert len(first.received) > before and read_metrics(node)["hosts_down"] == 0


@async_test
async def test_parent_in_maintenance_is_no_source_even_before_the_serving_loop_applies_it() -> None:
    """The action takes effect before the serving loop applies it to routing. A request that is routed in
    between must not name the parent when it is sent."""
    cache = ScriptedCache(hit)
    async with running_director(
        config({"c0": await cache.start(), "p0": REFUSED_ADDRESS, "r0": REFUSED_ADDRESS})
    ) as (
        node,
        client,
    ):
        assert await ask(client, 1) == 0 and cache.received[-1][1]["parent"] == "p0"
        # accepted in the endpoint's thread, but not completed in this loop yet
        node.admin_handler.accept(AdminRequest(AdminAction.MAINT, "p0"))
        client.ask(2, o=f"{2:016x}", m="1")
        await client.next()
        assert all(command[1].get("parent") != "p0" for command in cache.received[1:])
        node.admin_handler.complete(AdminRequest(AdminAction.MAINT, "p0"))
        assert await ask(client, 3) == 0 and cache.received[-1][1].get("parent") == "r0"


@async_test
async def test_drain_closes_idle_connections_loses_no_request_and_can_be_cancelled() -> None:
    """New clients are told to leave after their first request, and pending requests get their answers before
    their connection closes."""
    slow = ScriptedCache(lambda command: None if command[1]["thing"].endswith("f") else hit(command))
    async with running_director(config({"c0": await slow.start(), "r0": REFUSED_ADDRESS})) as (node, client):
        idle, busy = await Client.connect(node.port), await Client.connect(node.port)
        assert await ask(client, 1) == await ask(idle, 1) == 0
        busy.ask(1, o="00000000000000ff", d="1200", m="1")
        await wait_until(lambda: slow.received[-1][1]["thing"].endswith("f"))
        assert run_action(node, AdminAction.FAIL).is_success and run_action(node, AdminAction.FAIL).is_success
        late = await Client.connect(node.port)  # new clients are still served for a while
        late.send(32, 0, b"\x00")
        assert (await late.next())[2] == 1  # not ready
        assert await ask(late, 5) == 0 and (await late.next())[0] == 48
        for notified in (client, idle, late):
            frame = await notified.next(1.0) if notified is not late else None
            assert frame is None or frame[0] == 48
            with pytest.raises(EOFError):
                await notified.next(2.0)
        # its deadline has passed: it still gets an answer
        assert (await busy.next())[0] == 48 and (await busy.next())[2] != 0
        with pytest.raises(EOFError):
            await busy.next(2.0)
        await wait_until(
            lambda: not node.client_listener.connections
        )  # `busy` has not closed its own side yet
        assert node.client_listener.listener is not None
        assert run_action(node, AdminAction.OK).is_success
        again = await Client.connect(node.port)
        again.send(32, 0, b"\x00")
        assert (await again.next())[2] == 0 and await ask(again, 1) == 0 and await again.receives_nothing()


@async_test
async def test_client_that_keeps_sending_requests_during_a_drain_is_rejected() -> None:
    """A client that ignores the notification must not keep the director busy for ever."""
    async with running_director(config({"c0": await ScriptedCache(hit).start(), "r0": REFUSED_ADDRESS})) as (
        node,
        client,
    ):
        client.ask(1, o="0000000000000001", m="1")
        await client.next()
        run_action(node, AdminAction.FAIL)
        conn = next(iter(node.client_listener.connections))
        conn.goaway_ms -= 2000.0  # notified two seconds ago
        client.ask(2, o="0000000000000002", m="1")
        frames = [await client.next(), await client.next()]
        assert sorted(frame[0] for frame in frames) == [17, 48]
        assert next(frame for frame in frames if frame[0] == 17)[2] == 1
        assert read_metrics(node)["calls.film.busy"] == 1


@pytest.mark.parametrize("seed", [1, 2])
def test_metrics_equal_the_counts_of_clients_and_stores(seed: int) -> None:
    """Each request must be counted once, whichever way it ends."""

    @async_test
    async def run() -> None:
        rng = random.Random(seed)
        responses = ["served digest=aa,dated=1,remark=h"] * 6 + ["overload -", "crashed -", "not_here -"]

        def script(command: Command) -> tuple[str, bytes] | None:
            return rng.choice(responses), b""

        caches = [ScriptedCache(script), ScriptedCache(script)]
        origin = ScriptedCache(script)
        addresses = {"c0": await caches[0].start(), "c1": await caches[1].start(), "r0": await origin.start()}
        counted: Counter[tuple[str, int]] = Counter()
        async with running_director(config(addresses)) as (node, client):
            stream = 0
            for _ in range(150):
                stream += 1
                cls = rng.choice(["film", "film", "sheet"])
                kind = rng.random()
                if kind < 0.05:
                    client.ask(stream, c=cls, d="x")  # unusable, of a known class
                elif kind < 0.1:
                    client.ask(stream, c="nothing")
                    cls = "none"
                else:
                    client.ask(stream, c=cls, k="aa", o=f"{rng.randrange(1, 30):016x}", m="1")
                counted[cls, (await client.next())[2]] += 1
            client.send(16, stream + 1, b"\xff")  # no fields at all
            counted["none", (await client.next())[2]] += 1
            await wait_until(lambda: not node.director.live)
            await asyncio.sleep(0.25)  # until the connections have been swept once
            metrics = read_metrics(node)
        for cls in ("film", "sheet"):
            for code, result in enumerate(("success", "busy", "failure")):
                assert metrics[f"calls.{cls}.{result}"] == counted[cls, code], (cls, result)
        assert metrics["unusable"] == counted["none", 2] > 0 and metrics["inflight"] == 0
        assert metrics["backend_calls"] == sum(len(cache.received) for cache in (*caches, origin))
        assert metrics["hosts_listed"] == 3

    run()


@async_test
async def test_metrics_count_pending_cancelled_and_rejected_requests() -> None:
    cache = ScriptedCache(never_respond)
    async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (node, client):
        client.ask(1)
        client.ask(2)
        await wait_until(lambda: len(cache.received) == 2)
        assert read_metrics(node)["inflight"] == 2
        client.send(18, 1)
        await wait_until(lambda: read_metrics(node)["inflight"] == 1)
        metrics = read_metrics(node)
        assert metrics["withdrawn"] == 1 and not any(
            metrics[f"calls.film.{result}"] for result in ("success", "busy", "failure")
        )
        node.client_listener.rejects_requests = lambda: True
        client.ask(3)
        assert (await client.next())[1:3] == (3, 1) and read_metrics(node)["calls.film.busy"] == 1
        client.writer.write(raw_frame(3, 16, 1))
        client.writer.close()
        await wait_until(lambda: read_metrics(node)["inflight"] == 0)
        assert read_metrics(node)["withdrawn"] == 2


@async_test
async def test_slow_reader_gets_all_its_answers_and_delays_no_other_client() -> None:
    """Its unsent answers are buffered up to a limit. A drain must not close its connection before they are
    written."""
    body, request_count = b"x" * 240_000, 30
    async with running_director(
        config(
            {
                "c0": await ScriptedCache(lambda _: ("served digest=aa,dated=1,remark=h", body)).start(),
                "r0": REFUSED_ADDRESS,
            }
        )
    ) as (node, client):
        node.director.router.stores["c0"].concurrency.limit = 64.0
        sock = socket.create_connection(("127.0.0.1", node.port))
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        slow = Client(*await asyncio.open_connection(sock=sock))
        for stream in range(1, request_count + 1):
            slow.ask(stream, o=f"{stream:016x}", m="1")
        await wait_until(
            lambda: any(conn.unsent_bytes() > 500_000 for conn in node.client_listener.connections)
        )
        received = 0
        for stream in range(1, 9):  # the slow client reads little meanwhile
            client.ask(stream, o=f"{stream:016x}", m="1")
            assert (await client.next(1.0))[2] == 0
            received += len((await slow.next())[4])
        assert node.memory.total() < node.memory.limit_bytes
        run_action(node, AdminAction.FAIL)
        drained_by_ms = node.clock.now() + DRAINED_MS
        # the drain does not close this connection before its answers are written
        while received < request_count * len(body):
            frame = await slow.next()
            assert frame[0] == 48 or frame[2] == 0
            received += len(frame[4])
            await asyncio.sleep(0.02)
        with pytest.raises(EOFError):
            while True:
                assert (await slow.next((drained_by_ms - node.clock.now()) / 1000.0))[0] == 48
