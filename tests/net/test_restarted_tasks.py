"""Tasks of a director that live as long as the process: an error in one of them does not end its work."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

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
from test_discovery_outages import Discovery, DiscoveryState

from gladelane.__main__ import reload_files
from gladelane.admin.metrics import Metrics
from gladelane.discovery.client import DiscoveryClient
from gladelane.net.cache_connection import Connection
from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameType
from gladelane.net.memory_budget import MemoryUse


def fail_once(patch: pytest.MonkeyPatch, owner: object, name: str, error: type[BaseException]) -> None:
    """Makes the next call of a method raise an error; later calls are as before."""

    def fail(*args: Any, **kwargs: Any) -> Any:
        patch.undo()
        raise error("planted")

    patch.setattr(owner, name, fail)


def count_calls(owner: object, name: str) -> list[None]:
    """Returns a list that grows with each call of a method."""
    calls: list[None] = []
    method = getattr(owner, name)

    def record(*args: Any, **kwargs: Any) -> Any:
        calls.append(None)
        return method(*args, **kwargs)

    setattr(owner, name, record)
    return calls


@async_test
async def test_timers_run_after_an_error_in_their_task() -> None:
    with pytest.MonkeyPatch.context() as patch:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            fail_once(patch, node.timers, "record_tick", RuntimeError)
            await wait_until(lambda: node._supervisor.failures == 1)
            client.ask(1, d="200")  # no cache responds, so only a timer ends it
            assert (await client.next(2.0))[1] == 1


@async_test
async def test_discovery_is_followed_after_its_task_was_ended_by_a_cancelled_wait() -> None:
    with pytest.MonkeyPatch.context() as patch:
        discovery = Discovery()
        raw = config({"r0": REFUSED_ADDRESS}, await discovery.start())
        async with running_director(raw) as (node, _):
            await wait_until(lambda: discovery.request_times_s)
            fail_once(patch, DiscoveryClient, "_receive", asyncio.CancelledError)
            discovery.publish_member("c0", "in_service", REFUSED_ADDRESS)
            await wait_until(lambda: node._supervisor.failures == 1)
            discovery.publish_member("c1", "in_service", REFUSED_ADDRESS)
            await wait_until(lambda: node.director.has("c1"))
        await discovery.set_state(DiscoveryState.REFUSES)


@pytest.mark.parametrize(
    "restarted", [lambda node: node._supervisor, lambda node: node.admin_endpoint._supervisor]
)
def test_restarted_tasks_are_counted_in_the_metrics(
    restarted: Callable[[Any], Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setitem(os.environ, "TMPDIR", "")

    async def scenario() -> None:
        raw = {**json.loads(config({"r0": REFUSED_ADDRESS})), "ops": "127.0.0.1:0"}
        async with running_director(json.dumps(raw).encode()) as (node, _):
            assert "director.task_failures=0\n" in node.director.report()
            restarted(node).failures += 2
            assert "director.task_failures=2\n" in node.director.report()

    asyncio.run(scenario())


@async_test
async def test_error_in_a_sweep_of_client_connections_ends_no_later_sweep() -> None:
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, client):
            await wait_until(lambda: node.client_listener.connections)
            connection = next(iter(node.client_listener.connections))
            fail_once(patch, ClientConnection, "sweep", RuntimeError)
            await wait_until(lambda: connection not in node.client_listener.connections)
            for use in (MemoryUse.FRAMES, MemoryUse.REQUESTS, MemoryUse.ANSWERS):
                node.memory.add(use, 1_000_000)
            await wait_until(lambda: node.memory.total() == 0)


@async_test
async def test_error_in_a_sweep_of_cache_connections_ends_no_later_sweep() -> None:
    with pytest.MonkeyPatch.context() as patch:
        cache = ScriptedCache(hit)
        raw = config({"c0": await cache.start(), "r0": REFUSED_ADDRESS}, conn_idle_ms=400.0)
        async with running_director(raw) as (_, client):
            client.ask(1)
            assert (await client.next())[1] == 1
            fail_once(patch, Connection, "sweep", RuntimeError)
            await wait_until(lambda: cache.closed_count == 1)
            client.ask(2)
            assert (await client.next())[1] == 2
            await wait_until(lambda: cache.closed_count == 2)


@async_test
async def test_error_in_the_check_for_overdue_requests_ends_no_later_check() -> None:
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            calls = count_calls(node.director._exchanges, "take_overdue")
            fail_once(patch, node.director._exchanges, "take_overdue", RuntimeError)
            await wait_until(lambda: len(calls) >= 2)


@async_test
async def test_error_in_the_periodic_work_of_the_router_does_not_end_it() -> None:
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            cold = node.director.router.cold
            calls = count_calls(cold, "learn")
            fail_once(patch, cold, "learn", RuntimeError)
            await wait_until(lambda: len(calls) >= 2)


@pytest.mark.parametrize("is_permanent", [False, True])
def test_event_of_the_list_that_fails_is_applied_again_and_holds_up_no_later_event(
    is_permanent: bool,
) -> None:
    async def scenario() -> None:
        discovery = Discovery()
        async with running_director(config({"r0": REFUSED_ADDRESS}, await discovery.start())) as (node, _):
            await wait_until(lambda: discovery.request_times_s)
            update, failures = node.endpoints.update, 0

            def fail_for_c1(listings: Any, *args: Any) -> Any:
                nonlocal failures
                if any(listing.server == "c1" for listing in listings) and (is_permanent or not failures):
                    failures += 1
                    raise RuntimeError("planted")
                return update(listings, *args)

            node.endpoints.update = fail_for_c1  # type: ignore[method-assign]
            discovery.publish_member("c1", "in_service", REFUSED_ADDRESS)
            discovery.publish_member("c2", "in_service", REFUSED_ADDRESS)
            await wait_until(lambda: "c2" in node.director.router.stores)
            assert ("c1" in node.director.router.stores) is not is_permanent
            assert failures == (2 if is_permanent else 1)
        await discovery.set_state(DiscoveryState.REFUSES)

    asyncio.run(scenario())


@async_test
async def test_error_at_the_end_of_one_request_leaves_no_other_request_without_an_answer() -> None:
    with pytest.MonkeyPatch.context() as patch:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(1)
            client.ask(2, o="1111111111111111")
            await wait_until(lambda: len(cache.received) == 2)
            fail_once(patch, node.director, "_abort", RuntimeError)
            node.director.fail_open_requests()
            assert (await client.next())[1] == 2


@async_test
async def test_error_in_closing_one_part_keeps_no_other_part_open() -> None:
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            tasks = {task for task in asyncio.all_tasks() if task.get_name() in ("timers", "discovery")}
            fail_once(patch, node.upstream, "close", RuntimeError)
            await node.close()
            assert len(tasks) == 2 and all(task.cancelled() for task in tasks)


@async_test
async def test_error_in_a_shutdown_leaves_no_open_request_without_an_answer() -> None:
    with pytest.MonkeyPatch.context() as patch:
        cache = ScriptedCache(never_respond)
        async with running_director(config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})) as (
            node,
            client,
        ):
            client.ask(1)
            await wait_until(lambda: cache.received)
            fail_once(patch, node.client_listener, "stop_listening", RuntimeError)
            await node.drain()
            frames = [await client.next() for _ in range(2)]
            assert [frame[:2] for frame in frames if frame[0] == FrameType.ANSWER] == [(FrameType.ANSWER, 1)]


@async_test
async def test_clients_are_accepted_after_the_event_loop_failed_to_watch_the_listening_socket() -> None:
    loop = asyncio.get_running_loop()
    with pytest.MonkeyPatch.context() as patch:
        async with running_director(config({"r0": REFUSED_ADDRESS})) as (node, _):
            listener = node.client_listener._listener
            assert listener is not None
            listener._accept_later()
            fail_once(patch, loop, "add_reader", OSError)
            await asyncio.sleep(0.1)
            other_client = await Client.connect(node.port)
            other_client.ask(1)
            assert (await other_client.next())[1] == 1
            other_client.writer.close()


@pytest.mark.parametrize("fails_at", ["read", "reload"])
def test_unexpected_error_at_sighup_is_counted_as_a_failed_reload(fails_at: str) -> None:
    def fail(*args: Any) -> Any:
        raise RuntimeError("planted")

    metrics = Metrics()
    server: Any = SimpleNamespace(director=SimpleNamespace(metrics=metrics), reload=fail)
    files: Any = SimpleNamespace(read=fail if fails_at == "read" else lambda: (None, None))
    reload_files(server, files)
    assert (metrics.reconfig_ok, metrics.reconfig_failed) == (0, 1)
