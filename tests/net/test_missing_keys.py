"""A missing key is never read as the least strict value. At SIGHUP a file that lacks any key of the file in use is
turned down, at the start one that lacks a key on which a rule depends; a server without a cell shares none."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from harness import REFUSED_ADDRESS, Client, Command, ScriptedCache, config, running_director
from virtual_time import VirtualClock, virtual

from gladelane.__main__ import reload_files
from gladelane.admin.live_settings import TRANSITION_MS
from gladelane.files import ConfigurationFiles
from gladelane.net.config import ConfigError, read_config

ROOT = Path(__file__).parents[2]
KeyPath = tuple[str | int, ...]
#: Keys that a file may lack, by the pages: GW_OPS may name the admin endpoint, and a class need not have `aim_stretch`.
OPTIONAL_KEYS = {"ops", "aim_stretch"}


def full_file() -> dict[str, Any]:
    """The example file with every key that the pages list for classes, and with tenants."""
    raw: dict[str, Any] = json.loads((ROOT / "example" / "config.json").read_text())
    raw["ops"] = "127.0.0.1:4200"
    settings = raw["settings"]
    for row in settings["classes"]:
        defaults = {
            "group": "cell",
            "window_ms": 2000.0,
            "late_worth": 0.1,
            "stream": False,
            "aim_stretch": 1.0,
        }
        row.update({**defaults, **row})
    settings["tenants"] = [
        {"name": "north", "quota_per_s": 10.0, "share": 0.6},
        {"name": "south", "quota_per_s": 5.0, "share": 0.4},
    ]
    settings["callers"] = {"marks_retry": False}
    return raw


FULL = full_file()


def key_paths(value: Any, path: KeyPath = ()) -> Iterator[KeyPath]:
    """The paths of all keys of a decoded file, except those of the watch events, which a new file replaces."""
    if isinstance(value, dict):
        for key, inner in value.items():
            yield (*path, key)
            yield from key_paths(inner, (*path, key)) if key != "notices" else ()
    elif isinstance(value, list):
        for index, inner in enumerate(value):
            yield from key_paths(inner, (*path, index))


def format_path(path: KeyPath) -> str:
    return "".join(f"[{step}]" if isinstance(step, int) else f".{step}" for step in path).removeprefix(".")


def without(raw: dict[str, Any], path: KeyPath, is_null: bool) -> bytes:
    """The file with one key removed, or with null as its value."""
    changed = copy.deepcopy(raw)
    parent: Any = changed
    for step in path[:-1]:
        parent = parent[step]
    if is_null:
        parent[path[-1]] = None
    else:
        del parent[path[-1]]
    return json.dumps(changed).encode()


PATHS = {format_path(path): path for path in key_paths(FULL)}


@pytest.mark.parametrize("is_null", [False, True], ids=["missing", "null"])
@pytest.mark.parametrize("path", PATHS)
def test_a_new_file_that_lacks_one_key_of_the_file_in_use_is_turned_down(path: str, is_null: bool) -> None:
    # Guards against a key that is missing in a list, such as the group of a class, and is read as its default.
    new = without(FULL, PATHS[path], is_null)
    if PATHS[path][-1] in OPTIONAL_KEYS:
        read_config(new, json.dumps(FULL).encode())
        return
    with pytest.raises(ConfigError) as caught:
        read_config(new, json.dumps(FULL).encode())
    assert caught.value.setting is not None and caught.value.setting.key == path
    assert "\n" not in str(caught.value)


def with_classes(classes: list[Any]) -> bytes:
    """The full file with these classes; each of them has the first class's values in `family_info`."""
    raw = copy.deepcopy(FULL)
    raw["settings"]["classes"] = classes
    for name in ("pass_on", "good_for_ms", "stale_for_ms", "segmented"):
        raw["settings"]["family_info"][name] = [raw["settings"]["family_info"][name][0]] * len(classes)
    return json.dumps(raw).encode()


CLASSES: list[dict[str, Any]] = FULL["settings"]["classes"]
NEW_CLASS = {**CLASSES[0], "name": "new-class"}


@pytest.mark.parametrize("key", sorted(NEW_CLASS.keys() - {"aim_stretch"}))
def test_a_class_with_a_new_name_needs_the_keys_that_all_classes_in_use_have(key: str) -> None:
    lacking = {name: value for name, value in NEW_CLASS.items() if name != key}
    read_config(with_classes([*CLASSES, NEW_CLASS]), json.dumps(FULL).encode())
    with pytest.raises(ConfigError) as caught:
        read_config(with_classes([*CLASSES, lacking]), json.dumps(FULL).encode())
    assert caught.value.setting is not None and caught.value.setting.key == f"settings.classes[3].{key}"


def test_a_class_is_compared_with_the_one_of_its_name_wherever_it_stands() -> None:
    in_use = with_classes([CLASSES[0], {**CLASSES[1], "later_key": 1}])
    read_config(with_classes([{**CLASSES[1], "later_key": 1}, CLASSES[0]]), in_use)
    with pytest.raises(ConfigError) as caught:
        read_config(with_classes([CLASSES[1], CLASSES[0]]), in_use)
    assert str(caught.value).startswith("settings.classes[0].later_key is missing; expected ")


@pytest.mark.parametrize("classes", [[CLASSES[2]], [*reversed(CLASSES)], [NEW_CLASS]])
def test_classes_may_be_removed_reordered_and_replaced(classes: list[dict[str, Any]]) -> None:
    read_config(with_classes(classes), json.dumps(FULL).encode())


@pytest.mark.parametrize(
    "in_use,new",
    [([], ["busy"]), (["busy"], []), (["busy"], ["rate", "busy"]), ([], []), ([{"name": "a"}], [])],
)
def test_lists_without_names_may_change(in_use: list[Any], new: list[Any]) -> None:
    texts = [json.dumps({**FULL, "later_list": rows}).encode() for rows in (in_use, new)]
    read_config(texts[1], texts[0])


@pytest.mark.parametrize("rows", [None, 5, {}, [5], [None], [[]], [{}], [{"name": []}], [{"name": None}]])
def test_a_list_of_objects_that_turns_into_something_else_is_turned_down(rows: Any) -> None:
    new = {**FULL, "settings": {**FULL["settings"], "tenants": rows}}
    with pytest.raises(ConfigError, match=r"^settings\.tenants.*; expected "):
        read_config(json.dumps(new).encode(), json.dumps(FULL).encode())


@pytest.mark.parametrize("is_null", [False, True], ids=["missing", "null"])
@pytest.mark.parametrize("key", ["group", "window_ms"])
def test_a_class_with_keys_has_no_default_group_or_window(key: str, is_null: bool) -> None:
    # Guards against a director that starts with such a file and repeats keyed requests in every cell.
    with pytest.raises(ConfigError) as caught:
        read_config(without(FULL, ("settings", "classes", 2, key), is_null))
    assert str(caught.value).startswith(f"settings.classes[2].{key} is missing; expected ")
    read_config(without(FULL, ("settings", "classes", 0, key), is_null))  # a class without keys


@pytest.mark.parametrize("is_null", [False, True], ids=["missing", "null"])
@pytest.mark.parametrize("key", ["parent_cold_from", "parent_cold_ms"])
def test_parents_have_no_default_warm_up(key: str, is_null: bool) -> None:
    # Guards against a director that starts with such a file and sends a cold parent as much as a warm one.
    path: KeyPath = ("settings", "family_info", key)
    with pytest.raises(ConfigError) as caught:
        read_config(without(FULL, path, is_null))
    assert str(caught.value).startswith(f"settings.family_info.{key} is missing; expected ")
    without_parents = copy.deepcopy(FULL)
    without_parents["settings"]["family_info"]["upper_kind"] = -1
    read_config(without(without_parents, path, is_null))


# --- in a running director --------------------------------------------------------------------------------


def file_with_two_cells(addresses: dict[str, str]) -> dict[str, Any]:
    """A file whose class `sheet` has the group `cell`. The caches are in cells 0 and 1 in turn."""
    raw: dict[str, Any] = json.loads(config(addresses))
    raw["settings"]["classes"][1]["group"] = "cell"
    raw["settings"]["family_info"]["straight"] = False
    for index, instance in enumerate(raw["known"]["notices"][0]["pool"]["instances"]):
        instance["cell"] = index % 2
    return raw


def respond_crashed(command: Command) -> tuple[str, bytes]:
    """A script that answers each fetch with an error, after which it may have run."""
    return "crashed -", b""


async def ask_with_keys(client: Client, caches: dict[str, ScriptedCache], count: int) -> list[set[str]]:
    """Sends requests of the class `sheet`, each with a key of its own. Returns the caches to which each was sent."""
    sent_to: list[set[str]] = []
    for number in range(1, count + 1):
        key = f"{number:032x}"
        client.ask(number, c="sheet", k=key, d="1500", o=f"{number:016x}")
        assert (await client.next())[:2] == (17, number)
        sent_to.append(
            {
                name
                for name, cache in caches.items()
                if any(fields["replay"] == key for _, fields, _ in cache.received)
            }
        )
    return sent_to


def test_keyed_requests_stay_at_one_cache_if_no_server_has_a_cell() -> None:
    # Guards against a keyed request that runs twice, because all servers without a cell were taken to be in cell 0.
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        caches = {f"c{number}": ScriptedCache(respond_crashed) for number in range(4)}
        addresses = {name: await cache.start() for name, cache in caches.items()}
        raw = file_with_two_cells({**addresses, "r0": REFUSED_ADDRESS})
        for instance in raw["known"]["notices"][0]["pool"]["instances"]:
            del instance["cell"]
        async with running_director(json.dumps(raw).encode()) as (_, client):
            for sent_to in await ask_with_keys(client, caches, 10):
                assert len(sent_to) == 1, sent_to

    scenario()


@pytest.mark.parametrize("is_null", [False, True], ids=["missing", "null"])
def test_keyed_requests_stay_in_one_cell_after_a_new_file_that_lacks_the_group(
    tmp_path: Path, is_null: bool
) -> None:
    # Guards against a keyed request that runs in two cells, because the missing group of its class was read as `all`.
    @virtual
    async def scenario(clock: VirtualClock) -> None:
        caches = {f"c{number}": ScriptedCache(respond_crashed) for number in range(4)}
        addresses = {name: await cache.start() for name, cache in caches.items()}
        raw = file_with_two_cells({**addresses, "r0": REFUSED_ADDRESS})
        path = tmp_path / "config.json"
        path.write_text(json.dumps(raw))
        files = ConfigurationFiles(str(path), "")
        files.read()
        async with running_director(json.dumps(raw).encode()) as (node, _):
            path.write_bytes(without(raw, ("settings", "classes", 1, "group"), is_null))
            reload_files(node, files)
            await asyncio.sleep(2 * TRANSITION_MS / 1000.0)
            client = await Client.connect(node.port)
            for sent_to in await ask_with_keys(client, caches, 10):
                cells = {int(name[1:]) % 2 for name in sent_to}
                assert len(cells) == 1, sent_to
            metrics = node.director.metrics
            assert (metrics.reconfig_ok, metrics.reconfig_failed) == (0, 1)
            assert node.director.settings.classes["sheet"].group == "cell"
            client.writer.close()

    scenario()
