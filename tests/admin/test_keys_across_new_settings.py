"""A request that a client repeats under its idempotency key runs once more at most, and only as its class permits, also
if new settings have changed the class in between. The tests run in virtual time over real sockets."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple

import pytest
from harness import REFUSED_ADDRESS, Command, ScriptedCache, config, hit, never_respond, running_director
from virtual_time import VirtualClock, run_in_virtual_time

from gladelane.net.config import read_config
from gladelane.routing.events import Effect
from gladelane.routing.idempotency import KeyWindows, attempt_keys

WINDOW_MS = 1000.0
SERVED, FAILED = 0, 2
KEY = "5c0f6e1a2b3d4c59"
KEYED = {"effect": "dedup", "group": "all", "window_ms": WINDOW_MS}
KEYED_IN_CELL = {**KEYED, "group": "cell"}
UNSAFE = {"effect": "fragile"}


def config_with(sheet: dict[str, Any], address: str) -> bytes:
    """A configuration in which the class `sheet` has these rules, and its requests go to the origin at `address`."""
    raw = json.loads(config({"c0": REFUSED_ADDRESS, "r0": address}, max_attempts=1))
    (row,) = [row for row in raw["settings"]["classes"] if row["name"] == "sheet"]
    for name in KEYED:
        row.pop(name)
    row.update(sheet)
    return json.dumps(raw).encode()


def reject(command: Command) -> tuple[str, bytes]:
    """A script that proves of each attempt that it did not run."""
    return "overload -", b""


class Order(NamedTuple):
    """A first try, and a retry under the same key. Times are from the reload, in seconds."""

    before: dict[str, Any]
    after: dict[str, Any]
    first_s: float
    retry_s: float
    attempts: int  # that the origin receives


ORDERS = {
    "keyed from now on, retry past the window": Order(UNSAFE, KEYED, 1.2, 2.5, 1),
    "keyed from now on, retry within the window": Order(UNSAFE, KEYED, 1.2, 1.8, 2),
    "keyed from now on, both tries while the settings change": Order(UNSAFE, KEYED, 0.1, 0.9, 1),
    "other group, retry past the window": Order(KEYED_IN_CELL, KEYED, 1.2, 2.5, 1),
    "other group, retry within the window": Order(KEYED_IN_CELL, KEYED, 1.2, 1.8, 2),
    "other group, first try before the change": Order(KEYED, KEYED_IN_CELL, -0.3, 0.1, 1),
    "unsafe from now on, first try before the change": Order(KEYED, UNSAFE, -0.3, 0.1, 1),
    "unsafe from now on, both tries while the settings change": Order(KEYED, UNSAFE, 0.1, 0.9, 1),
    "unsafe from now on, retry after the change": Order(KEYED, UNSAFE, 1.2, 1.8, 1),
    "same rules, retry past the window": Order(KEYED, KEYED, 1.2, 2.5, 1),
    "same rules, retry within the window": Order(KEYED, KEYED, 0.1, 0.9, 2),
}


@pytest.mark.parametrize("name", ORDERS)
def test_a_retry_under_the_key_of_a_request_that_may_have_run_is_bound_by_it_across_new_settings(
    name: str,
) -> None:
    """Attempts of an unsafe request were recorded under its id only, so its key was unknown to the retry."""
    order = ORDERS[name]

    async def scenario(clock: VirtualClock) -> None:
        origin = ScriptedCache(never_respond)
        address = await origin.start()
        async with running_director(config_with(order.before, address)) as (node, client):
            reload_s = clock.elapsed_s + 0.5

            async def wait_until_s(moment_s: float) -> None:
                await asyncio.sleep(reload_s + moment_s - clock.elapsed_s)

            async def reload() -> None:
                await wait_until_s(0.0)
                node.reload(read_config(config_with(order.after, address)))

            task = asyncio.create_task(reload())
            await wait_until_s(order.first_s)
            client.ask(1, c="sheet", k=KEY, d="300")
            await wait_until_s(order.retry_s)
            client.ask(2, c="sheet", k=KEY, d="300")
            answers = [await client.next() for _ in range(2)]
            await task
            assert [answer[1] for answer in answers] == [1, 2]
            assert len(origin.received) == order.attempts
            assert all(command[1]["replay"] == KEY for command in origin.received)

    run_in_virtual_time(scenario)


class Replica:
    """Records what another process of the same director is told."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def may_have_run(self, key: str, at_ms: float, store: str) -> None:
        self.keys.append(key)

    def never_ran(self, key: str, at_ms: float, store: str) -> None:
        self.keys.remove(key)


def test_an_attempt_that_never_ran_does_not_bind_a_retry_here_or_at_another_process() -> None:
    async def scenario(_: VirtualClock) -> None:
        origin = ScriptedCache(reject)
        address = await origin.start()
        async with running_director(config_with(UNSAFE, address)) as (node, client):
            replica = node.director.key_observer = Replica()
            node.reload(read_config(config_with(KEYED, address)))
            client.ask(1, c="sheet", k=KEY, d="300")
            assert (await client.next())[2] != SERVED and len(origin.received) == 1
            assert replica.keys == [] and len(node.director.keys) == 0
            origin.script = hit
            client.ask(2, c="sheet", k=KEY, d="300")
            assert (await client.next())[2] == SERVED
            assert sorted(replica.keys) == [KEY, f"id={2:016x}"]

    run_in_virtual_time(scenario)


def test_a_retry_of_an_unsafe_request_is_bound_by_what_another_process_sent_under_its_key() -> None:
    async def scenario(_: VirtualClock) -> None:
        origin = ScriptedCache(hit)
        address = await origin.start()
        async with running_director(config_with(UNSAFE, address)) as (node, client):
            node.reload(read_config(config_with(KEYED, address)))
            node.director.keys.may_have_run(KEY, node.clock.now(), "r0")
            client.ask(1, c="sheet", k=KEY, d="300")
            assert (await client.next())[2] == FAILED and not origin.received

    run_in_virtual_time(scenario)


def test_no_unsafe_request_is_sent_while_its_key_may_be_unknown() -> None:
    """Only requests of keyed classes were rejected then."""

    async def scenario(_: VirtualClock) -> None:
        origin = ScriptedCache(hit)
        address = await origin.start()
        async with running_director(config_with(UNSAFE, address)) as (node, client):
            node.reload(read_config(config_with(KEYED, address)))
            node.director.reject_keys_until(node.clock.now() + 1000.0)
            client.ask(1, c="sheet", k=KEY, d="300")
            assert (await client.next())[2] != SERVED and not origin.received
            client.ask(2, c="sheet", d="300")
            assert (await client.next())[2] == SERVED

    run_in_virtual_time(scenario)


@pytest.mark.parametrize(
    ("effect", "key", "keys"),
    [
        (Effect.SAFE, KEY, ()),
        (Effect.KEYED, KEY, (KEY,)),
        (Effect.KEYED, "", ()),
        (Effect.UNSAFE, "", ("id=1f",)),
        (Effect.UNSAFE, KEY, ("id=1f", KEY)),
    ],
)
def test_attempts_are_recorded_under_each_key_that_a_retry_may_carry(
    effect: Effect, key: str, keys: tuple[str, ...]
) -> None:
    assert attempt_keys(effect, "1f", key) == keys


def test_a_table_is_full_if_it_lacks_room_for_one_of_the_keys() -> None:
    windows = KeyWindows(1000.0, max_keys=3)
    assert not windows.is_full(("a", "b"), 1.0)
    windows.may_have_run("a", 1.0, "r0")
    windows.may_have_run("b", 1.0, "r0")
    assert windows.is_full(("c", "d"), 1.0) and not windows.is_full(("b", "c"), 1.0)
    assert not windows.is_full((), 1.0) and not windows.is_full(("c", "d"), 1002.0)
