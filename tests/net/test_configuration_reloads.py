"""Several new configurations in quick succession: which settings are in force while clients still use earlier ones."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace
from typing import Any

import pytest
from conftest import settings as plain_settings
from harness import REFUSED_ADDRESS, ScriptedCache, config, hit, never_respond, running_director
from hypothesis import given
from hypothesis import strategies as st
from virtual_time import VirtualClock, virtual

from gladelane.admin.live_settings import PERMISSIONS, STRICTNESS, transition_settings
from gladelane.net.config import Config, read_config
from gladelane.routing.events import ClassSpec, Effect, Settings

EFFECT_KEYS = {Effect.SAFE: "retryable", Effect.KEYED: "dedup", Effect.UNSAFE: "fragile"}


def with_film(settings: Settings, film: ClassSpec) -> Settings:
    return replace(settings, classes={**settings.classes, "film": film})


@st.composite
def draw_settings(draw: Any) -> Settings:
    defaults = plain_settings()
    film = replace(
        defaults.classes["film"],
        effect=draw(st.sampled_from(list(Effect))),
        window_ms=draw(st.sampled_from([1000.0, 2000.0])),
        fresh_ms=draw(st.sampled_from([0.0, 5.0, 9.0])),
    )
    flags = {name: draw(st.booleans()) for name in PERMISSIONS}
    max_attempts = draw(st.integers(1, 6))
    return replace(
        with_film(defaults, film), max_attempts=max_attempts, max_retry_after_ms=100.0 * max_attempts, **flags
    )


@given(st.lists(draw_settings(), min_size=2, max_size=5))
def test_transition_settings_are_at_least_as_strict_as_each_configuration(sequence: list[Settings]) -> None:
    combined = sequence[0]
    for added in sequence[1:]:
        combined = transition_settings(combined, added)
    film, originals = combined.classes["film"], [settings.classes["film"] for settings in sequence]
    assert all(STRICTNESS.index(film.effect) >= STRICTNESS.index(spec.effect) for spec in originals)
    assert combined.max_attempts == min(settings.max_attempts for settings in sequence)
    assert combined.max_retry_after_ms == min(settings.max_retry_after_ms for settings in sequence)
    for name in PERMISSIONS:
        assert getattr(combined, name) == all(getattr(settings, name) for settings in sequence)
    if film.effect is Effect.KEYED:
        assert film.keyless == any(spec.effect is not Effect.KEYED for spec in originals)
        assert film.window_ms == min(spec.window_ms for spec in originals if spec.effect is Effect.KEYED)


def make_config(addresses: dict[str, str], film: Effect, **limits: Any) -> Config:
    raw = json.loads(config(addresses, **limits))
    raw["settings"]["classes"][0].update(effect=EFFECT_KEYS[film], group="all", window_ms=2000.0)
    return read_config(json.dumps(raw).encode())


@pytest.mark.parametrize("gap_s", [0.0, 0.002, 0.3, 1.0])
def test_clients_that_still_use_the_first_of_three_configurations_are_served(gap_s: float) -> None:
    # Earlier the third configuration was applied as if all clients already used the second one, in which the class is
    # keyed: requests without a key failed.
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        cache = ScriptedCache(hit)
        addresses = {"c0": await cache.start(), "r0": REFUSED_ADDRESS}
        async with running_director(config(addresses)) as (node, client):
            node.reload(make_config(addresses, Effect.KEYED))
            await asyncio.sleep(gap_s)
            node.reload(make_config(addresses, Effect.KEYED, max_attempts=3))
            client.ask(1)
            assert (await client.next())[:3] == (17, 1, 0)
            await asyncio.sleep(0.15)
            client.ask(2, k="aa")
            assert (await client.next())[:3] == (17, 2, 0)
            await asyncio.sleep(1.6)  # by now all clients use the latest configuration
            client.ask(3)
            assert (await client.next())[:3] == (17, 3, 2)
            client.ask(4, k="bb")
            assert (await client.next())[:3] == (17, 4, 0)
            assert node.director.settings.max_attempts == 3

    scenario()


@virtual
async def test_no_second_copy_is_sent_until_all_clients_use_the_configuration_that_permits_it(
    clock: VirtualClock,
) -> None:
    caches = [ScriptedCache(never_respond), ScriptedCache(never_respond)]
    addresses = {**{f"c{n}": await cache.start() for n, cache in enumerate(caches)}, "r0": REFUSED_ADDRESS}
    async with running_director(config(addresses, may_duplicate=False)) as (node, client):
        node.reload(read_config(config(addresses, may_duplicate=True)))
        client.ask(1, d="1000")
        assert (await client.next())[2] == 1
        assert sum(len(cache.received) for cache in caches) == 1
        await asyncio.sleep(1.6)
        client.ask(2, d="1000", i=f"{2:016x}")
        assert (await client.next())[2] == 1
        assert sum(len(cache.received) for cache in caches) == 3
