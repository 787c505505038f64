"""Settings that change while a director serves: rejection of invalid files, the settings during the
transition, and the settings that pending requests keep."""

from __future__ import annotations

import json
from typing import Any

import pytest
from harness import (
    REFUSED_ADDRESS,
    ScriptedCache,
    async_test,
    config,
    hit,
    running_director,
    settings,
    wait_until,
)
from hypothesis import given
from hypothesis import strategies as st

from gladelane.admin.live_settings import (
    STRICTNESS,
    apply_live,
    combine_strictest,
    describe_changes,
    transition_settings,
)
from gladelane.deployment.wire import settings_from_wire
from gladelane.net.config import ConfigError, read_config
from gladelane.routing.events import ClassSpec, Effect

VALID = json.loads(config({"c0": REFUSED_ADDRESS, "r0": REFUSED_ADDRESS}))
MISSING = object()


def changed(path: str, value: Any) -> bytes:
    raw = json.loads(json.dumps(VALID))
    *parents, last = path.split(".")
    node = raw
    for name in parents:
        node = node[int(name)] if name.isdecimal() else node[name]
    if value is MISSING:
        del node[last]
    else:
        node[last] = value
    return json.dumps(raw).encode()


@pytest.mark.parametrize("data,message", [
    (b"", "the whole file is empty"), (b" \n", "empty"), (json.dumps(VALID).encode()[:-40], "truncated"), (b"[]", "whole file|object"),
    (b"null", "whole file|object"), (b"[" * 100_000, "nested|recursion|truncated"),
    *((changed(path, MISSING), path.split(".")[-1]) for path in (
        "board", "name", "seed", "listen", "settings", "known.rev", "limits.sockets", "limits.cores", "settings.classes", "settings.limits",
        "settings.limits.max_attempts", "settings.classes.0.deadline_ms", "settings.classes.1.effect", "settings.classes.0.name",
        "settings.rules", "settings.rules.fall_ms", "settings.zone", "settings.family_info.store_kind")),
    *((changed(f"settings.{path}", value), path.split(".")[-1])
      for path in ("classes.0.deadline_ms", "limits.max_attempts") for value in ("5000", None, True, 0, -1, [], float("nan"), float("inf"))),
    (changed("settings.limits.max_attempts", 2.5), "max_attempts"), (changed("settings.classes.1.name", "film"), r"classes\[1\].name"),
])  # fmt: skip
def test_incomplete_or_invalid_file_is_rejected_with_an_error_of_one_line(data: bytes, message: str) -> None:
    with pytest.raises(
        ConfigError, match=message if b"NaN" not in data and b"Infinity" not in data else "JSON|" + message
    ) as caught:
        read_config(data, json.dumps(VALID).encode())
    assert "\n" not in str(caught.value)


@given(st.integers(0, len(json.dumps(VALID)) - 1))
def test_file_truncated_anywhere_is_rejected(length: int) -> None:
    text = json.dumps(VALID).encode()
    with pytest.raises(ConfigError):
        read_config(text[:length], text)


def class_spec(effect: Effect, **fields: Any) -> ClassSpec:
    defaults: dict[str, Any] = {
        "name": "x", "group": "all", "window_ms": 2000.0, "aim_ms": 1.0, "aim_stretch": 0.0, "deadline_ms": 9.0, "worth": 1.0,
        "late_worth": 0.0, "stream": False, "fresh_ms": 0.0, "grace_ms": 0.0, "parts": False, "cacheable": True}  # fmt: skip
    return ClassSpec(effect=effect, **{**defaults, **fields})


SPECS = st.builds(class_spec, st.sampled_from(list(Effect)), window_ms=st.sampled_from([1000.0, 2000.0]), group=st.sampled_from(["all", "zone"]),
                  fresh_ms=st.sampled_from([0.0, 5.0, 9.0]))  # fmt: skip


@given(SPECS, SPECS)
def test_combined_class_is_no_less_strict_than_either(one: ClassSpec, other: ClassSpec) -> None:
    """While clients use either file, a request must be handled safely by the rules of both."""
    combined = combine_strictest(one, other)
    for part in (one, other):
        assert STRICTNESS.index(combined.effect) >= STRICTNESS.index(part.effect)
        if combined.effect is Effect.KEYED and part.effect is Effect.KEYED:
            assert combined.window_ms <= part.window_ms and combined.group == part.group
        if part.fresh_ms:
            assert 0 < combined.fresh_ms <= part.fresh_ms
        if combined.effect is Effect.KEYED and part.effect is not Effect.KEYED:
            assert combined.keyless  # clients of the other file send no key


def test_changed_settings_apply_at_once_or_need_a_restart() -> None:
    current = settings_from_wire(settings())
    changed_settings = settings_from_wire(
        {
            **settings(max_attempts=2),
            "zone": "hub",
            "classes": [*settings()["classes"], {**settings()["classes"][0], "name": "new"}],
            "family_info": family_info_for(["film", "sheet", "new"]),
        }
    )
    applied, after_restart = apply_live(current, changed_settings)
    assert (
        after_restart == ["zone"]
        and applied.zone == current.zone
        and applied.max_attempts == 2
        and set(applied.classes) == {"film", "sheet", "new"}
    )
    transition = transition_settings(applied, current)
    assert set(transition.classes) == {"film", "sheet", "new"} and transition.max_attempts == min(
        2, current.max_attempts
    )


def test_each_changed_rule_is_described_for_the_log() -> None:
    classes = settings()["classes"]
    current = settings_from_wire({**settings(), "classes": [classes[0], {**classes[1], "group": "cell"}]})
    changes = [
        {**classes[0], "name": "new"},
        {**classes[1], "group": "all", "effect": "fragile", "deadline_ms": 1000},
    ]
    new = settings_from_wire({**settings(max_attempts=2), "classes": changes})
    assert describe_changes(current, new) == [
        "class new added",
        "class film removed",
        "class sheet effect keyed -> unsafe",
        "class sheet group cell -> all",
        "class sheet deadline_ms 3000.0 -> 1000.0",
        "max_attempts 6 -> 2",
    ]
    assert describe_changes(current, current) == []


def family_info_for(names: list[str]) -> dict[str, Any]:
    """The settings `family_info`, whose lists have one value for each of these classes."""
    lists = {
        "pass_on": [name == "sheet" for name in names],
        "good_for_ms": [0.0] * len(names),
        "segmented": [False] * len(names),
    }
    return {**settings()["family_info"], **lists}


def make_config(addresses: dict[str, str], classes: list[dict[str, Any]], **limits: Any) -> Any:
    raw = json.loads(config(addresses, **limits))
    raw["settings"]["classes"] = classes
    raw["settings"]["family_info"] = family_info_for([row["name"] for row in classes])
    return read_config(json.dumps(raw).encode())


@async_test
async def test_classes_are_added_and_removed_while_pending_requests_keep_their_class() -> None:
    """During the transition both files hold. Afterwards a removed class is rejected, and each class has the
    effect that the new file gives it."""
    film, sheet = settings()["classes"]
    cache = ScriptedCache(lambda command: None if command[1]["thing"].endswith("f") else hit(command))
    addresses = {"c0": await cache.start(), "r0": REFUSED_ADDRESS}
    async with running_director(config(addresses)) as (node, client):
        client.ask(1, o="00000000000000ff", d="900", m="1")
        await wait_until(lambda: len(cache.received) == 1)
        new = {**film, "name": "new"}
        node.reload(make_config(addresses, [{**film, "effect": "fragile"}, new], max_attempts=2))
        assert node.director.metrics.classes.keys() == {"film", "sheet", "new"}
        pending = next(iter(node.director.live.values()))
        assert (
            pending.spec.effect is Effect.SAFE
            and pending.max_attempts == node.director.router.pending[pending.request.id].max_attempts > 2
        )
        for stream, cls in enumerate(("new", "sheet", "film"), 2):
            client.ask(stream, c=cls, k="aa", o="0000000000000001", m="1")
            code = (await client.next())[2]
            assert code == 0 or cls == "sheet"  # both files hold: the removed class is still accepted
        pending_effects = [exchange.spec.effect for exchange in node.director.live.values()]
        assert (
            pending_effects == [Effect.SAFE]
            and node.director.settings.classes["film"].effect is Effect.UNSAFE
        )
        assert (await client.next())[1] == 1  # the pending request ends by its own rules
        await wait_until(lambda: "sheet" not in node.director.settings.classes)
        client.ask(9, c="sheet", k="aa")
        assert (await client.next())[1:3] == (9, 2) and node.director.metrics.unusable == 1
        moved = make_config(addresses, [film])
        moved.discovery = ("127.0.0.1", 2)  # a new discovery address in the same file
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
async def test_pending_request_of_a_removed_class_is_retried_by_its_old_rules() -> None:
    """The new file has neither the class of the request nor a second attempt."""
    film, sheet = settings()["classes"]
    answers = iter(["overload -", "served digest=aa,dated=1,remark=h"])
    origin = ScriptedCache(lambda command: (next(answers), b""))
    addresses = {"c0": REFUSED_ADDRESS, "r0": await origin.start()}
    async with running_director(config(addresses)) as (node, client):
        client.ask(1, c="sheet", k="aa")
        await wait_until(lambda: len(origin.received) == 1)
        node.director.retune(make_config(addresses, [film], max_attempts=1).settings)
        assert (await client.next())[1:3] == (1, 0) and len(origin.received) == 2


@async_test
async def test_class_that_becomes_keyed_requires_keys_only_after_the_transition() -> None:
    """Clients that still use the old file send no key, and must not fail."""
    film, _ = settings()["classes"]
    addresses = {"c0": await ScriptedCache(hit).start(), "r0": REFUSED_ADDRESS}
    async with running_director(config(addresses)) as (node, client):
        node.reload(
            make_config(addresses, [{**film, "effect": "dedup", "group": "all", "window_ms": 2000.0}])
        )
        client.ask(1)
        assert (await client.next())[2] == 0
        await wait_until(lambda: not node.director.settings.classes["film"].keyless)
        client.ask(2)
        assert (await client.next())[2] == 2
