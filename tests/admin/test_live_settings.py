"""Settings that change under load: what is turned down whole, what holds meanwhile, and what open requests keep."""

from __future__ import annotations

import json
from typing import Any

import pytest
from harness import ScriptedCache, async_test, config, hit, running_director, settings, wait_until
from hypothesis import given
from hypothesis import strategies as st

from gladelane.admin.live_settings import STRICTNESS, apply_live, stricter, transition_settings
from gladelane.deployment.wire import settings_from_wire
from gladelane.net.config import ConfigError, read_config
from gladelane.routing.events import ClassSpec, Effect

REFUSED = "127.0.0.1:1"
WHOLE = json.loads(config({"c0": REFUSED, "r0": REFUSED}))
MISSING = object()


def changed(path: str, value: Any) -> bytes:
    raw = json.loads(json.dumps(WHOLE))
    *steps, last = path.split(".")
    at = raw
    for step in steps:
        at = at[int(step)] if step.isdecimal() else at[step]
    if value is MISSING:
        del at[last]
    else:
        at[last] = value
    return json.dumps(raw).encode()


@pytest.mark.parametrize("data,says", [
    (b"", "the whole file is empty"), (b" \n", "empty"), (json.dumps(WHOLE).encode()[:-40], "truncated"), (b"[]", "whole file|object"),
    (b"null", "whole file|object"), (b"[" * 100_000, "nested|recursion|truncated"),
    *((changed(path, MISSING), path.split(".")[-1]) for path in (
        "board", "name", "seed", "listen", "settings", "known.rev", "limits.sockets", "limits.cores", "settings.classes", "settings.limits",
        "settings.limits.max_attempts", "settings.classes.0.deadline_ms", "settings.classes.1.effect", "settings.classes.0.name",
        "settings.rules", "settings.rules.fall_ms", "settings.zone", "settings.family_info.store_kind")),
    *((changed(f"settings.{path}", value), path.split(".")[-1])
      for path in ("classes.0.deadline_ms", "limits.max_attempts") for value in ("5000", None, True, 0, -1, [], float("nan"), float("inf"))),
    (changed("settings.limits.max_attempts", 2.5), "max_attempts"), (changed("settings.classes.1.name", "film"), r"classes\[1\].name"),
])  # fmt: skip
def test_a_file_that_is_not_whole_or_has_a_figure_that_is_none_is_turned_down_in_one_line(
    data: bytes, says: str
) -> None:
    with pytest.raises(
        ConfigError, match=says if b"NaN" not in data and b"Infinity" not in data else "JSON|" + says
    ) as caught:
        read_config(data, json.dumps(WHOLE).encode())
    assert "\n" not in str(caught.value)


@given(st.integers(0, len(json.dumps(WHOLE)) - 1))
def test_a_file_cut_short_anywhere_is_turned_down(length: int) -> None:
    text = json.dumps(WHOLE).encode()
    with pytest.raises(ConfigError):
        read_config(text[:length], text)


def spec(effect: Effect, **more: Any) -> ClassSpec:
    plain: dict[str, Any] = {
        "name": "x", "group": "all", "window_ms": 2000.0, "aim_ms": 1.0, "aim_stretch": 0.0, "deadline_ms": 9.0, "worth": 1.0,
        "late_worth": 0.0, "stream": False, "fresh_ms": 0.0, "grace_ms": 0.0, "parts": False, "cacheable": True}  # fmt: skip
    return ClassSpec(effect=effect, **{**plain, **more})


SPECS = st.builds(spec, st.sampled_from(list(Effect)), window_ms=st.sampled_from([1000.0, 2000.0]), group=st.sampled_from(["all", "zone"]),
                  fresh_ms=st.sampled_from([0.0, 5.0, 9.0]))  # fmt: skip


@given(SPECS, SPECS)
def test_while_both_hold_a_class_is_no_freer_than_either(one: ClassSpec, other: ClassSpec) -> None:
    both = stricter(one, other)
    for alone in (one, other):
        assert STRICTNESS.index(both.effect) >= STRICTNESS.index(alone.effect)
        if both.effect is Effect.KEYED and alone.effect is Effect.KEYED:
            assert both.window_ms <= alone.window_ms and both.group == alone.group
        if alone.fresh_ms:
            assert 0 < both.fresh_ms <= alone.fresh_ms
        if both.effect is Effect.KEYED and alone.effect is not Effect.KEYED:
            assert both.keyless  # its clients send no key


def test_what_applies_and_what_takes_a_restart() -> None:
    used = settings_from_wire(settings())
    told = settings_from_wire(
        {
            **settings(max_attempts=2),
            "zone": "hub",
            "classes": [*settings()["classes"], {**settings()["classes"][0], "name": "new"}],
            "family_info": rows_for(["film", "sheet", "new"]),
        }
    )
    now, later = apply_live(used, told)
    assert (
        later == ["zone"]
        and now.zone == used.zone
        and now.max_attempts == 2
        and set(now.classes) == {"film", "sheet", "new"}
    )
    back = transition_settings(now, used)
    assert set(back.classes) == {"film", "sheet", "new"} and back.max_attempts == min(2, used.max_attempts)


def rows_for(names: list[str]) -> dict[str, Any]:
    """What the settings say by class, for these: each list has one value for each."""
    lists = {
        "pass_on": [name == "sheet" for name in names],
        "good_for_ms": [0.0] * len(names),
        "segmented": [False] * len(names),
    }
    return {**settings()["family_info"], **lists}


def retuned(places: dict[str, str], classes: list[dict[str, Any]], **limits: Any) -> Any:
    raw = json.loads(config(places, **limits))
    raw["settings"]["classes"] = classes
    raw["settings"]["family_info"] = rows_for([row["name"] for row in classes])
    return read_config(json.dumps(raw).encode())


@async_test
async def test_classes_come_and_go_and_open_requests_keep_the_class_they_came_with() -> None:
    film, sheet = settings()["classes"]
    cache = ScriptedCache(lambda command: None if command[1]["thing"].endswith("f") else hit(command))
    places = {"c0": await cache.start(), "r0": REFUSED}
    async with running_director(config(places)) as (node, client):
        client.ask(1, o="00000000000000ff", d="900", m="1")
        await wait_until(lambda: len(cache.received) == 1)
        new = {**film, "name": "new"}
        node.reload(retuned(places, [{**film, "effect": "fragile"}, new], max_attempts=2))
        assert node.director.metrics.classes.keys() == {"film", "sheet", "new"}
        open_ = next(iter(node.director.live.values()))
        assert (
            open_.spec.effect is Effect.SAFE
            and open_.max_attempts == node.director.router.pending[open_.request.id].max_attempts > 2
        )
        for stream, cls in enumerate(("new", "sheet", "film"), 2):
            client.ask(stream, c=cls, k="aa", o="0000000000000001", m="1")
            code = (await client.next())[2]
            assert code == 0 or cls == "sheet"  # both files hold: the class that goes is still taken up
        later = [exchange.spec.effect for exchange in node.director.live.values()]
        assert later == [Effect.SAFE] and node.director.settings.classes["film"].effect is Effect.UNSAFE
        assert (await client.next())[1] == 1  # the open one ends in its own time
        await wait_until(lambda: "sheet" not in node.director.settings.classes)
        client.ask(9, c="sheet", k="aa")
        assert (await client.next())[1:3] == (9, 2) and node.director.metrics.unusable == 1
        moved = retuned(places, [film])
        moved.discovery = ("127.0.0.1", 2)  # both in one file
        node.reload(moved)
        assert node.config.discovery == ("127.0.0.1", 2)
        assert (
            node.director.settings.classes["film"].effect is Effect.UNSAFE
            and "new" in node.director.settings.classes
        )
        await wait_until(lambda: node.director.settings.classes.keys() == {"film"})
        assert node.director.settings.classes["film"].effect is Effect.SAFE
        client.ask(10, o="0000000000000001", m="1")
        assert (await client.next())[1:3] == (10, 0)


@async_test
async def test_a_request_of_a_class_that_goes_while_it_is_open_is_sent_again_by_its_old_rules() -> None:
    film, sheet = settings()["classes"]
    answers = iter(["overload -", "served digest=aa,dated=1,remark=h"])
    origin = ScriptedCache(lambda command: (next(answers), b""))
    places = {"c0": REFUSED, "r0": await origin.start()}
    async with running_director(config(places)) as (node, client):
        client.ask(1, c="sheet", k="aa")
        await wait_until(lambda: len(origin.received) == 1)
        node.director.retune(retuned(places, [film], max_attempts=1).settings)
        assert (await client.next())[1:3] == (1, 0) and len(origin.received) == 2


@async_test
async def test_a_keyed_class_needs_its_key_only_once_clients_know_that_it_is_keyed() -> None:
    film, _ = settings()["classes"]
    places = {"c0": await ScriptedCache(hit).start(), "r0": REFUSED}
    async with running_director(config(places)) as (node, client):
        node.reload(retuned(places, [{**film, "effect": "dedup", "window_ms": 2000.0}]))
        client.ask(1)
        assert (await client.next())[2] == 0
        await wait_until(lambda: not node.director.settings.classes["film"].keyless)
        client.ask(2)
        assert (await client.next())[2] == 2
