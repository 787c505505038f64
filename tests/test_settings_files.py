"""The platform's file with one setting that is missing, of a wrong type or out of range: the error must be one
line with the setting's key."""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest
from harness import Client
from hypothesis import given
from hypothesis import strategies as st
from test_net_rules import start_process, wait_for_port

from gladelane.deployment.checks import MISSING, BadSetting
from gladelane.net.client_protocol import encode_fields
from gladelane.net.config import ConfigError, read_config

ROOT = Path(__file__).parent.parent
VALID = json.loads((ROOT / "example" / "config.json").read_text())
VALID["ops"] = ""
VALID["settings"]["family_info"].setdefault("inlet_kb_per_s", [0.0, 9000.0])
NOT_A_NUMBER = ["5", True, [], {}, -1, float("nan"), float("inf"), float("-inf"), 1e300, 10**400]
NOT_AN_INTEGER = [*NOT_A_NUMBER, 2.5]
NOT_A_SHARE = [*NOT_A_NUMBER, 1.5]
NOT_A_FLAG = ["yes", 1, 0.0, []]
NOT_A_CHOICE = ["nobody-knows", "", 1, [], True]
NOT_A_NAME = ["", 1, [], True]
NOT_AN_OBJECT = ["x", 1, [], True]
NOT_A_LIST = ["x", 1, {}, True]

#: path in the file -> whether the setting is optional, and invalid values
FIELDS: dict[str, tuple[bool, list[Any]]] = {
    "name": (False, NOT_A_NAME),
    "listen": (False, [1, "", "4100", "a:b", "a:70000", "a:-1", "a:²"]),
    "seed": (False, [1, "", "xyz", "0x5", "-5", "1_0"]),
    "board": (False, [1, "", "4100"]),
    "ops": (True, [1, "4100"]),
    "limits": (False, NOT_AN_OBJECT),
    "limits.memory_mb": (False, [*NOT_A_NUMBER, 0]),
    "limits.sockets": (False, [*NOT_AN_INTEGER, 0]),
    "known": (False, NOT_AN_OBJECT),
    "known.rev": (False, ["1", True, [], 2.5]),
    "known.notices": (False, ["x", 1, {}]),
    "known.notices[0].rev": (False, ["1", True]),
    "known.notices[0].pool.instances": (False, ["x", {}]),
    "known.notices[0].pool.instances[1].instanceId": (False, [1, []]),
    "known.notices[0].pool.instances[1].hostPort": (False, [1, []]),
    "known.notices[0].pool.instances[1].zone": (False, [1]),
    "known.notices[0].pool.instances[1].machineType": (False, [1]),
    "known.notices[0].pool.instances[1].lifecycle": (False, [1]),
    "known.notices[0].pool.instances[1].weight": (True, ["4", True]),
    "known.notices[0].pool.instances[1].startedAtMs": (True, ["4", True]),
    "settings": (False, NOT_AN_OBJECT),
    "settings.me": (False, [*NOT_AN_INTEGER, 1]),  # must be below the number of directors, which is 1
    "settings.balancers": (False, [*NOT_AN_INTEGER, 0]),
    "settings.zone": (False, [*NOT_A_NAME, "nowhere"]),
    "settings.areas": (False, [*NOT_A_LIST, []]),
    "settings.kinds": (False, [*NOT_A_LIST, []]),
    "settings.registry_mode": (True, NOT_A_CHOICE),
    "settings.weights": (True, NOT_A_CHOICE),
    "settings.tick_ms": (True, NOT_A_NUMBER),
    "settings.report": (True, NOT_AN_OBJECT),
    "settings.report.how": (True, NOT_A_CHOICE),
    "settings.report.fields": (True, NOT_A_LIST),
    "settings.classes": (False, [*NOT_A_LIST, []]),
    "settings.classes[0].name": (False, NOT_A_NAME),
    "settings.classes[0].effect": (False, NOT_A_CHOICE),
    "settings.classes[0].group": (True, NOT_A_CHOICE),
    "settings.classes[0].window_ms": (True, NOT_A_NUMBER),
    "settings.classes[2].group": (False, NOT_A_CHOICE),  # required for a class with keys
    "settings.classes[2].window_ms": (False, NOT_A_NUMBER),
    "settings.classes[0].aim_ms": (False, NOT_A_NUMBER),
    "settings.classes[0].aim_stretch": (True, NOT_A_NUMBER),
    "settings.classes[0].deadline_ms": (False, [*NOT_A_NUMBER, 0]),
    "settings.classes[0].value": (False, NOT_A_NUMBER),
    "settings.classes[0].late_worth": (True, NOT_A_SHARE),
    "settings.classes[0].stream": (True, NOT_A_FLAG),
    "settings.family_info": (False, NOT_AN_OBJECT),
    "settings.family_info.store_kind": (False, [*NOT_AN_INTEGER, 3]),
    "settings.family_info.upper_kind": (True, ["1", True, 1.5, -2, 3, 2]),  # 2 is the kind of the origin
    "settings.family_info.hub_of": (True, [*NOT_A_LIST, [0], [0, 0, 0]]),
    "settings.family_info.hub_of[1]": (False, [*NOT_AN_INTEGER, 2]),
    "settings.family_info.seats_by_zone": (True, [*NOT_A_LIST, [0], [0, 0, 0]]),
    "settings.family_info.seats_by_zone[1]": (False, NOT_AN_INTEGER),
    "settings.family_info.inlet_kb_per_s": (True, [*NOT_A_LIST, [0], [0, 0, 0]]),
    "settings.family_info.inlet_kb_per_s[0]": (False, NOT_A_NUMBER),
    "settings.family_info.pass_on": (False, [*NOT_A_LIST, [], [False]]),
    "settings.family_info.pass_on[0]": (False, NOT_A_FLAG),
    "settings.family_info.good_for_ms": (False, [*NOT_A_LIST, [], [0.0]]),
    "settings.family_info.good_for_ms[1]": (False, NOT_A_NUMBER),
    "settings.family_info.stale_for_ms": (True, [*NOT_A_LIST, [0.0]]),
    "settings.family_info.stale_for_ms[1]": (False, NOT_A_NUMBER),
    "settings.family_info.segmented": (True, [*NOT_A_LIST, [False]]),
    "settings.family_info.segmented[1]": (False, NOT_A_FLAG),
    "settings.family_info.notes_given": (True, NOT_A_CHOICE),
    "settings.family_info.peers_fill": (True, NOT_A_CHOICE),
    "settings.family_info.straight": (True, NOT_A_FLAG),
    "settings.family_info.merges_fills": (True, NOT_A_FLAG),
    "settings.family_info.one_flow_kb_per_s": (True, NOT_A_NUMBER),
    "settings.family_info.parent_cold_from": (False, NOT_A_SHARE),
    "settings.family_info.parent_cold_ms": (False, NOT_A_NUMBER),
    "settings.family_info.parent_breaks_at": (True, NOT_A_NUMBER),
    "settings.family_info.origin_fall_multiple": (True, NOT_A_NUMBER),
    "settings.family_info.origin_bears_ms": (True, NOT_A_NUMBER),
    "settings.family_info.notice_time_ms": (True, NOT_A_NUMBER),
    "settings.family_info.gone_everywhere_ms": (False, NOT_A_NUMBER),
    "settings.limits": (False, NOT_AN_OBJECT),
    "settings.limits.cancel": (True, NOT_A_FLAG),
    "settings.limits.may_duplicate": (True, NOT_A_FLAG),
    "settings.limits.probes": (True, NOT_A_FLAG),
    "settings.limits.may_tell": (True, NOT_A_FLAG),
    "settings.limits.retry_after": (True, NOT_A_FLAG),
    "settings.limits.max_retry_after_ms": (True, NOT_A_NUMBER),
    "settings.limits.max_attempts": (False, [*NOT_AN_INTEGER, 0]),
    "settings.limits.max_open": (False, [*NOT_AN_INTEGER, 0]),
    "settings.limits.dial_timeout_ms": (False, [*NOT_A_NUMBER, 0]),
    "settings.limits.conn_idle_ms": (False, [*NOT_A_NUMBER, 0]),
    "settings.limits.max_streams": (False, [*NOT_AN_INTEGER, 0]),
    "settings.rules": (False, NOT_AN_OBJECT),
    "settings.rules.ask_within_ms": (True, NOT_A_NUMBER),
    "settings.rules.grace_to_answer_ms": (True, NOT_A_NUMBER),
    "settings.rules.drain_grace_ms": (False, NOT_A_NUMBER),
    "settings.rules.cold_from": (False, NOT_A_SHARE),
    "settings.rules.warm_after_ms": (False, NOT_A_NUMBER),
    "settings.rules.fall_multiple": (False, NOT_A_NUMBER),
    "settings.rules.fall_ms": (False, NOT_A_NUMBER),
}  # fmt: skip


def split_path(path: str) -> list[str | int]:
    parts = path.replace("[", ".[").split(".")
    return [int(part[1:-1]) if part.startswith("[") else part for part in parts]


def file_with(path: str, value: Any) -> bytes:
    """The example file with one value replaced, or removed if `value` is MISSING."""
    raw = copy.deepcopy(VALID)
    *steps, last = split_path(path)
    parent: Any = raw
    for step in steps:
        parent = parent[step]
    if value is MISSING:
        parent.pop(last, None)
    else:
        parent[last] = value
    return json.dumps(raw).encode()


def read_error(data: bytes) -> BadSetting:
    """Reads an invalid file; returns the error, after checking that its message is one short line."""
    with pytest.raises(ConfigError) as caught:
        read_config(data)
    assert len(str(caught.value).splitlines()) == 1 and len(str(caught.value)) < 400
    assert caught.value.setting is not None and str(caught.value.setting) == str(caught.value)
    return caught.value.setting


@pytest.mark.parametrize("path", [path for path in FIELDS if not path.endswith("]")])
def test_a_missing_setting_is_optional_or_an_error_with_its_key(path: str) -> None:
    for data in (file_with(path, MISSING), file_with(path, None)):
        if FIELDS[path][0] and data == file_with(path, MISSING):
            read_config(data)
        elif not FIELDS[path][0]:
            error = read_error(data)
            assert error.key == path and error.expected
            assert error.found is MISSING or error.found is None


@pytest.mark.parametrize(
    "path,value", [(path, value) for path, (_, invalid) in FIELDS.items() for value in invalid]
)
def test_a_setting_of_a_wrong_type_or_out_of_range_is_an_error_with_its_key(path: str, value: Any) -> None:
    error = read_error(file_with(path, value))
    assert error.key == path and error.expected
    assert str(error).startswith(f"{path} is ") and "; expected " in str(error)
    if isinstance(value, (str, bool, int, list, dict)):
        assert error.found == value


def test_the_table_of_these_tests_has_every_setting_that_is_read() -> None:
    from gladelane.deployment import wire

    paths = {f"settings.{path}" for path in wire._PATHS.values()}
    paths |= {f"settings.classes[0].{name}" for name in wire._CLASS_KEYS.values()}
    paths |= {f"settings.family_info.{name}" for name in wire._CLASS_LISTS.values()}
    assert paths <= FIELDS.keys()


@pytest.mark.parametrize("path,value,key", [
    ("settings.classes[1].name", VALID["settings"]["classes"][0]["name"], "settings.classes[1].name"),
    ("settings.areas[1]", VALID["settings"]["areas"][0], "settings.areas[1]"),
    ("settings.areas[1]", 5, "settings.areas[1]"),
    ("settings.kinds[0]", 5, "settings.kinds[0]"),
    ("settings.report.fields", ["busy", 5], "settings.report.fields[1]"),
    ("settings.classes[1]", 5, "settings.classes[1]"),
])  # fmt: skip
def test_a_duplicate_or_invalid_list_element_is_an_error_with_its_key(
    path: str, value: Any, key: str
) -> None:
    assert read_error(file_with(path, value)).key == key


@pytest.mark.parametrize("path", [
    "colour", "limits.colour", "known.colour", "known.notices[0].colour", "known.notices[0].pool.instances[0].colour", "settings.colour",
    "settings.classes[0].colour", "settings.family_info.colour", "settings.limits.colour", "settings.rules.colour", "settings.report.colour",
])  # fmt: skip
def test_an_unknown_key_is_ignored(path: str) -> None:
    assert read_config(file_with(path, {"red": [1]})) == read_config(json.dumps(VALID).encode())


def test_the_expected_enumerated_values_are_those_of_the_file() -> None:
    error = read_error(file_with("settings.classes[0].effect", "safe"))
    assert str(error) == "settings.classes[0].effect is 'safe'; expected one of retryable, dedup, fragile"


def test_the_error_has_file_key_and_value_and_its_message_begins_with_the_file() -> None:
    with pytest.raises(ConfigError) as caught:
        read_config(file_with("settings.rules.fall_ms", "soon"))
    error = caught.value.in_file("/etc/config.json")
    assert error.setting is not None
    assert (error.setting.file, error.setting.key, error.setting.found) == (
        "/etc/config.json", "settings.rules.fall_ms", "soon")  # fmt: skip
    assert str(error).startswith(
        "/etc/config.json: settings.rules.fall_ms is 'soon'; expected a number from 0"
    )
    assert str(ConfigError("nothing is there").in_file("a.json")) == "a.json: nothing is there"


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3), max_leaves=6),
       st.sampled_from(sorted(FIELDS)))  # fmt: skip
def test_any_value_at_any_path_is_accepted_or_gives_an_error_of_one_line(value: Any, path: str) -> None:
    try:
        read_config(file_with(path, value))
    except ConfigError as error:
        assert len(str(error).splitlines()) == 1 and "expected" in str(error)


@pytest.mark.parametrize("path,value", [
    ("settings.rules.drain_grace_ms", MISSING), ("settings.limits.max_streams", "many"), ("settings.classes[0].effect", "maybe"),
    ("settings.family_info.pass_on", [False]), ("settings.classes[2].group", MISSING),
])  # fmt: skip
def test_a_director_does_not_start_with_an_invalid_file_and_prints_one_line(
    tmp_path: Path, path: str, value: Any
) -> None:
    file = tmp_path / "config.json"
    file.write_bytes(file_with(path, value))
    process = subprocess.run(
        [sys.executable, "-m", "gladelane"], cwd=ROOT, env={**os.environ, "GW_CONFIG": str(file)},
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert process.returncode != 0 and process.stdout == ""
    assert len(process.stderr.splitlines()) == 1
    assert str(file) in process.stderr and f"{path} is " in process.stderr and "expected " in process.stderr


@pytest.mark.parametrize("path,value", [
    ("settings.rules.fall_ms", MISSING), ("settings.limits.max_attempts", "three"), ("settings.classes[0].deadline_ms", float("nan")),
    ("settings.classes[2].group", MISSING), ("settings.classes[2].group", None),
])  # fmt: skip
def test_a_reload_of_an_invalid_file_logs_the_key_and_keeps_the_old_configuration(
    tmp_path: Path, path: str, value: Any
) -> None:
    async def reload_invalid_file() -> None:
        valid = json.dumps({**VALID, "listen": "127.0.0.1:0", "board": "127.0.0.1:1"}).encode()
        process = start_process(valid, tmp_path)
        try:
            port = await wait_for_port(process)
            (tmp_path / "config.json").write_bytes(file_with(path, value))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            line = ""
            while "reload failed" not in line:
                line = await asyncio.to_thread(process.stderr.readline)
            assert "the old configuration stays" in line and f"{path} is " in line and "config.json" in line
            client = await Client.connect(port)
            client.send(32, 5, encode_fields({}))
            assert (await client.next())[:3] == (33, 5, 0)
            client.writer.close()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, 30) == 0
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.communicate()

    asyncio.run(reload_invalid_file())
