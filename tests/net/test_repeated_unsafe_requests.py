"""An unsafe request whose id comes again, after its client has left or its connection has ended, runs once."""

from __future__ import annotations

import asyncio
import json

import pytest
from harness import (
    CLASSES,
    FAMILY,
    REFUSED_ADDRESS,
    Client,
    Command,
    ScriptedCache,
    async_test,
    config,
    hit,
    never_respond,
    running_director,
    wait_until,
)

UNSAFE = {"name": "pay", "effect": "fragile", "aim_ms": 800.0, "deadline_ms": 3000.0, "value": 3.0}
ID = "00000000000000aa"


def unsafe_config(caches: dict[str, str]) -> bytes:
    raw = json.loads(config(caches))
    raw["settings"]["classes"] = [*CLASSES, UNSAFE]
    raw["settings"]["family_info"] = {
        **FAMILY, "pass_on": [False, True, True], "good_for_ms": [0.0] * 3, "stale_for_ms": [0.0] * 3,
        "segmented": [False] * 3, "aged_worth": [0.7] * 3,
    }  # fmt: skip
    return json.dumps(raw).encode()


def count(origin: ScriptedCache) -> int:
    return [command[0] for command in origin.received].count(ID)


@pytest.mark.parametrize("leaves", ["cancels", "closes", "stays"])
def test_unsafe_request_that_may_have_run_is_not_sent_again_under_its_id(leaves: str) -> None:
    @async_test
    async def scenario() -> None:
        origin = ScriptedCache(never_respond)
        caches = {"c0": REFUSED_ADDRESS, "r0": await origin.start()}
        async with running_director(unsafe_config(caches)) as (node, client):
            client.ask(1, c="pay", i=ID)
            await wait_until(lambda: count(origin) == 1)
            if leaves == "cancels":
                client.send(18, 1)
            elif leaves == "closes":
                client.writer.close()
            await asyncio.sleep(0.2)
            origin.script = hit
            again = await Client.connect(node.port)
            again.ask(1, c="pay", i=ID)
            assert (await again.next())[:3] == (17, 1, 2)
            assert count(origin) == 1

    scenario()


@async_test
async def test_unsafe_request_that_never_ran_may_be_sent_again_under_its_id() -> None:
    def reject(command: Command) -> tuple[str, bytes]:
        return "overload -", b""

    origin = ScriptedCache(reject)
    caches = {"c0": REFUSED_ADDRESS, "r0": await origin.start()}
    async with running_director(unsafe_config(caches)) as (node, client):
        client.ask(1, c="pay", i=ID, d="300")
        assert (await client.next())[:3] == (17, 1, 1)
        origin.script = hit
        again = await Client.connect(node.port)
        again.ask(1, c="pay", i=ID)
        assert (await again.next())[:3] == (17, 1, 0)


@async_test
async def test_unsafe_request_that_another_process_may_have_run_fails() -> None:
    origin = ScriptedCache(hit)
    caches = {"c0": REFUSED_ADDRESS, "r0": await origin.start()}
    async with running_director(unsafe_config(caches)) as (node, client):
        observed: list[str] = []

        class Observer:
            def may_have_run(self, key: str, at_ms: float, store: str) -> None:
                observed.append(key)

            def never_ran(self, key: str, at_ms: float, store: str) -> None:
                raise AssertionError

        node.director.key_observer = Observer()
        client.ask(1, c="pay", i=ID)
        assert (await client.next())[:3] == (17, 1, 0)
    async with running_director(unsafe_config(caches)) as (node, client):
        node.director.keys.may_have_run(observed[0], node.clock.now(), "r0")
        client.ask(1, c="pay", i=ID)
        assert (await client.next())[:3] == (17, 1, 2)
        assert count(origin) == 1
