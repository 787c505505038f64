"""New configurations in a row: what holds while clients go by any of the last ones."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from conftest import settings as plain_settings
from harness import ScriptedCache, config, hit, never_respond, running_director
from hypothesis import given
from hypothesis import strategies as st
from virtual_time import VirtualClock, virtual

from gladelane.admin.live_settings import PERMISSIONS, STRICTNESS, transition_settings
from gladelane.net.config import Config, read_config
from gladelane.routing.events import ClassSpec, Effect, Settings

REFUSED = "127.0.0.1:1"
EFFECTS = {Effect.SAFE: "retryable", Effect.KEYED: "dedup", Effect.UNSAFE: "fragile"}


def with_film(one: Settings, film: ClassSpec) -> Settings:
    return replace(one, classes={**one.classes, "film": film})


@st.composite
def some_settings(draw: Any) -> Settings:
    plain = plain_settings()
    film = replace(
        plain.classes["film"],
        effect=draw(st.sampled_from(list(Effect))),
        window_ms=draw(st.sampled_from([1000.0, 2000.0])),
        fresh_ms=draw(st.sampled_from([0.0, 5.0, 9.0])),
    )
    flags = {name: draw(st.booleans()) for name in PERMISSIONS}
    most = draw(st.integers(1, 6))
    return replace(with_film(plain, film), max_attempts=most, max_retry_after_ms=100.0 * most, **flags)


@given(st.lists(some_settings(), min_size=2, max_size=5))
def test_while_several_hold_nothing_is_freer_than_any_of_them(row: list[Settings]) -> None:
    both = row[0]
    for told in row[1:]:
        both = transition_settings(both, told)
    film, alone = both.classes["film"], [one.classes["film"] for one in row]
    assert all(STRICTNESS.index(film.effect) >= STRICTNESS.index(one.effect) for one in alone)
    assert both.max_attempts == min(one.max_attempts for one in row)
    assert both.max_retry_after_ms == min(one.max_retry_after_ms for one in row)
    for name in PERMISSIONS:
        assert getattr(both, name) == all(getattr(one, name) for one in row)
    if film.effect is Effect.KEYED:
        assert film.keyless == any(one.effect is not Effect.KEYED for one in alone)
        assert film.window_ms == min(one.window_ms for one in alone if one.effect is Effect.KEYED)


def configured(places: dict[str, str], film: Effect, **limits: Any) -> Config:
    raw = json.loads(config(places, **limits))
    raw["settings"]["classes"][0].update(effect=EFFECTS[film], window_ms=2000.0)
    return read_config(json.dumps(raw).encode())


@pytest.mark.parametrize("gap_s", [0.0, 0.002, 0.3, 1.0])
def test_clients_of_the_first_of_three_configurations_in_a_row_are_served(gap_s: float) -> None:
    # the third one took it for known that the class is keyed, and requests without a key were failed
    @virtual
    async def scene(clock: VirtualClock) -> None:
        cache = ScriptedCache(hit)
        places = {"c0": await cache.start(), "r0": REFUSED}
        async with running_director(config(places)) as (node, client):
            node.reload(configured(places, Effect.KEYED))
            await asyncio.sleep(gap_s)
            node.reload(configured(places, Effect.KEYED, max_attempts=3))
            client.ask(1)
            assert (await client.next())[:3] == (17, 1, 0)
            await asyncio.sleep(0.15)
            client.ask(2, k="aa")
            assert (await client.next())[:3] == (17, 2, 0)
            await asyncio.sleep(1.6)  # clients know by now
            client.ask(3)
            assert (await client.next())[:3] == (17, 3, 2)
            client.ask(4, k="bb")
            assert (await client.next())[:3] == (17, 4, 0)
            assert node.director.settings.max_attempts == 3

    scene()


@virtual
async def test_a_second_copy_waits_until_all_go_by_the_file_that_permits_it(clock: VirtualClock) -> None:
    caches = [ScriptedCache(never_respond), ScriptedCache(never_respond)]
    places = {**{f"c{n}": await cache.start() for n, cache in enumerate(caches)}, "r0": REFUSED}
    async with running_director(config(places, may_duplicate=False)) as (node, client):
        node.reload(read_config(config(places, may_duplicate=True)))
        client.ask(1, d="1000")
        assert (await client.next())[2] == 1
        assert sum(len(cache.received) for cache in caches) == 1
        await asyncio.sleep(1.6)
        client.ask(2, d="1000", i=f"{2:016x}")
        assert (await client.next())[2] == 1
        assert sum(len(cache.received) for cache in caches) == 3
