"""Tasks of a director that live as long as the process: an error in one of them does not end its work."""

from __future__ import annotations

import asyncio
import json
import os
from collections.abc import Callable
from typing import Any

import pytest
from harness import REFUSED_ADDRESS, ScriptedCache, async_test, config, running_director, wait_until
from test_discovery_outages import Discovery, DiscoveryState

from gladelane.discovery.client import DiscoveryClient


def fail_once(patch: pytest.MonkeyPatch, owner: object, name: str, error: type[BaseException]) -> None:
    """Makes the next call of a method raise an error; later calls are as before."""

    def fail(*args: Any, **kwargs: Any) -> Any:
        patch.undo()
        raise error("planted")

    patch.setattr(owner, name, fail)


@async_test
async def test_timers_run_after_an_error_in_their_task() -> None:
    with pytest.MonkeyPatch.context() as patch:
        cache = ScriptedCache(lambda command: None)
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
