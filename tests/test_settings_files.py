"""The platform's file with one setting missing, of a wrong kind or out of range: its key is named, in one line."""

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
from test_net_rules import ready, start_process

from gladelane.deployment.checks import MISSING, BadSetting
from gladelane.net.client_protocol import encode_fields
from gladelane.net.config import ConfigError, read_config

ROOT = Path(__file__).parent.parent
WHOLE = json.loads((ROOT / "example" / "config.json").read_text())
WHOLE["ops"] = ""
WHOLE["settings"]["family_info"].setdefault("inlet_kb_per_s", [0.0, 9000.0])
NOT_A_NUMBER = ["5", True, [], {}, -1, float("nan"), float("inf"), float("-inf"), 1e300, 10**400]
NOT_WHOLE = [*NOT_A_NUMBER, 2.5]
NOT_A_SHARE = [*NOT_A_NUMBER, 1.5]
NOT_A_FLAG = ["yes", 1, 0.0, []]
NOT_A_WORD = ["nobody-knows", "", 1, [], True]
NOT_A_NAME = ["", 1, [], True]
NOT_AN_OBJECT = ["x", 1, [], True]
NOT_A_LIST = ["x", 1, {}, True]

#: path in the file -> whether it may be left out, and values that will not do
FIELDS: dict[str, tuple[bool, list[Any]]] = {
    "name": (False, NOT_A_NAME),
    "listen": (False, [1, "", "4100", "a:b", "a:70000", "a:-1", "a:²"]),
    "seed": (False, [1, "", "xyz", "0x5", "-5", "1_0"]),
    "board": (False, [1, "", "4100"]),
    "ops": (True, [1, "4100"]),
    "limits": (False, NOT_AN_OBJECT),
    "limits.memory_mb": (False, [*NOT_A_NUMBER, 0]),
    "limits.sockets": (False, [*NOT_WHOLE, 0]),
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
    "settings.me": (False, [*NOT_WHOLE, 1]),  # of one director
    "settings.balancers": (False, [*NOT_WHOLE, 0]),
    "settings.zone": (False, [*NOT_A_NAME, "nowhere"]),
    "settings.areas": (False, [*NOT_A_LIST, []]),
    "settings.kinds": (False, [*NOT_A_LIST, []]),
    "settings.registry_mode": (True, NOT_A_WORD),
    "settings.weights": (True, NOT_A_WORD),
    "settings.tick_ms": (True, NOT_A_NUMBER),
    "settings.report": (True, NOT_AN_OBJECT),
    "settings.report.how": (True, NOT_A_WORD),
    "settings.report.fields": (True, NOT_A_LIST),
    "settings.classes": (False, [*NOT_A_LIST, []]),
    "settings.classes[0].name": (False, NOT_A_NAME),
    "settings.classes[0].effect": (False, NOT_A_WORD),
    "settings.classes[0].group": (True, NOT_A_WORD),
    "settings.classes[0].window_ms": (True, NOT_A_NUMBER),
    "settings.classes[0].aim_ms": (False, NOT_A_NUMBER),
    "settings.classes[0].aim_stretch": (True, NOT_A_NUMBER),
    "settings.classes[0].deadline_ms": (False, [*NOT_A_NUMBER, 0]),
    "settings.classes[0].value": (False, NOT_A_NUMBER),
    "settings.classes[0].late_worth": (True, NOT_A_SHARE),
    "settings.classes[0].stream": (True, NOT_A_FLAG),
    "settings.family_info": (False, NOT_AN_OBJECT),
    "settings.family_info.store_kind": (False, [*NOT_WHOLE, 3]),
    "settings.family_info.upper_kind": (True, ["1", True, 1.5, -2, 3, 2]),  # 2 is the origin's
    "settings.family_info.hub_of": (True, [*NOT_A_LIST, [0], [0, 0, 0]]),
    "settings.family_info.hub_of[1]": (False, [*NOT_WHOLE, 2]),
    "settings.family_info.seats_by_zone": (True, [*NOT_A_LIST, [0], [0, 0, 0]]),
    "settings.family_info.seats_by_zone[1]": (False, NOT_WHOLE),
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
    "settings.family_info.notes_given": (True, NOT_A_WORD),
    "settings.family_info.peers_fill": (True, NOT_A_WORD),
    "settings.family_info.straight": (True, NOT_A_FLAG),
    "settings.family_info.merges_fills": (True, NOT_A_FLAG),
    "settings.family_info.one_flow_kb_per_s": (True, NOT_A_NUMBER),
    "settings.family_info.parent_cold_from": (True, NOT_A_SHARE),
    "settings.family_info.parent_cold_ms": (True, NOT_A_NUMBER),
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
    "settings.limits.max_attempts": (False, [*NOT_WHOLE, 0]),
    "settings.limits.max_open": (False, [*NOT_WHOLE, 0]),
    "settings.limits.dial_timeout_ms": (False, [*NOT_A_NUMBER, 0]),
    "settings.limits.conn_idle_ms": (False, [*NOT_A_NUMBER, 0]),
    "settings.limits.max_streams": (False, [*NOT_WHOLE, 0]),
    "settings.rules": (False, NOT_AN_OBJECT),
    "settings.rules.ask_within_ms": (True, NOT_A_NUMBER),
    "settings.rules.grace_to_answer_ms": (True, NOT_A_NUMBER),
    "settings.rules.drain_grace_ms": (False, NOT_A_NUMBER),
    "settings.rules.cold_from": (False, NOT_A_SHARE),
    "settings.rules.warm_after_ms": (False, NOT_A_NUMBER),
    "settings.rules.fall_multiple": (False, NOT_A_NUMBER),
    "settings.rules.fall_ms": (False, NOT_A_NUMBER),
}  # fmt: skip


def steps_of(path: str) -> list[str | int]:
    parts = path.replace("[", ".[").split(".")
    return [int(part[1:-1]) if part.startswith("[") else part for part in parts]


def changed(path: str, value: Any) -> bytes:
    """The example with one value put in, or taken out where it is MISSING."""
    raw = copy.deepcopy(WHOLE)
    *steps, last = steps_of(path)
    at: Any = raw
    for step in steps:
        at = at[step]
    if value is MISSING:
        at.pop(last, None)
    else:
        at[last] = value
    return json.dumps(raw).encode()


def told_of(data: bytes) -> BadSetting:
    with pytest.raises(ConfigError) as caught:
        read_config(data)
    assert len(str(caught.value).splitlines()) == 1 and len(str(caught.value)) < 400
    assert caught.value.setting is not None and str(caught.value.setting) == str(caught.value)
    return caught.value.setting


@pytest.mark.parametrize("path", [path for path in FIELDS if not path.endswith("]")])
def test_a_setting_that_is_missing_is_named_or_may_be_left_out(path: str) -> None:
    for data in (changed(path, MISSING), changed(path, None)):
        if FIELDS[path][0] and data == changed(path, MISSING):
            read_config(data)
        elif not FIELDS[path][0]:
            told = told_of(data)
            assert told.key == path and told.expected
            assert told.found is MISSING or told.found is None


@pytest.mark.parametrize("path,value", [(path, value) for path, (_, bad) in FIELDS.items() for value in bad])
def test_a_setting_of_a_wrong_kind_or_out_of_range_is_named(path: str, value: Any) -> None:
    told = told_of(changed(path, value))
    assert told.key == path and told.expected
    assert str(told).startswith(f"{path} is ") and "; expected " in str(told)
    if isinstance(value, (str, bool, int, list, dict)):
        assert told.found == value


def test_the_table_has_every_setting_that_the_reader_knows() -> None:
    from gladelane.deployment import wire as reader

    paths = {f"settings.{path}" for path in reader._PATHS.values()}
    paths |= {f"settings.classes[0].{name}" for name in reader._CLASS_KEYS.values()}
    paths |= {f"settings.family_info.{name}" for name in reader._CLASS_LISTS.values()}
    assert paths <= FIELDS.keys()


@pytest.mark.parametrize("path,value,key", [
    ("settings.classes[1].name", WHOLE["settings"]["classes"][0]["name"], "settings.classes[1].name"),
    ("settings.areas[1]", WHOLE["settings"]["areas"][0], "settings.areas[1]"),
    ("settings.areas[1]", 5, "settings.areas[1]"),
    ("settings.kinds[0]", 5, "settings.kinds[0]"),
    ("settings.report.fields", ["busy", 5], "settings.report.fields[1]"),
    ("settings.classes[1]", 5, "settings.classes[1]"),
])  # fmt: skip
def test_settings_that_contradict_each_other_are_named(path: str, value: Any, key: str) -> None:
    assert told_of(changed(path, value)).key == key


@pytest.mark.parametrize("path", [
    "colour", "limits.colour", "known.colour", "known.notices[0].colour", "known.notices[0].pool.instances[0].colour", "settings.colour",
    "settings.classes[0].colour", "settings.family_info.colour", "settings.limits.colour", "settings.rules.colour", "settings.report.colour",
])  # fmt: skip
def test_a_field_that_nobody_knows_is_passed_over(path: str) -> None:
    assert read_config(changed(path, {"red": [1]})) == read_config(json.dumps(WHOLE).encode())


def test_the_words_that_are_expected_are_those_of_the_file() -> None:
    told = told_of(changed("settings.classes[0].effect", "safe"))
    assert str(told) == "settings.classes[0].effect is 'safe'; expected one of retryable, dedup, fragile"


def test_the_facts_stand_on_the_error_and_the_file_before_the_key() -> None:
    with pytest.raises(ConfigError) as caught:
        read_config(changed("settings.rules.fall_ms", "soon"))
    told = caught.value.in_file("/etc/config.json")
    assert told.setting is not None
    assert (told.setting.file, told.setting.key, told.setting.found) == (
        "/etc/config.json", "settings.rules.fall_ms", "soon")  # fmt: skip
    assert str(told).startswith(
        "/etc/config.json: settings.rules.fall_ms is 'soon'; expected a number from 0"
    )
    assert str(ConfigError("nothing is there").in_file("a.json")) == "a.json: nothing is there"


@given(st.recursive(st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=9),
                    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner, max_size=3), max_leaves=6),
       st.sampled_from(sorted(FIELDS)))  # fmt: skip
def test_any_value_anywhere_is_used_or_told_in_one_line(value: Any, path: str) -> None:
    try:
        read_config(changed(path, value))
    except ConfigError as error:
        assert len(str(error).splitlines()) == 1 and "expected" in str(error)


@pytest.mark.parametrize("path,value", [
    ("settings.rules.drain_grace_ms", MISSING), ("settings.limits.max_streams", "many"), ("settings.classes[0].effect", "maybe"),
    ("settings.family_info.pass_on", [False]),
])  # fmt: skip
def test_a_director_does_not_start_on_a_bad_file_and_says_why_in_one_line(
    tmp_path: Path, path: str, value: Any
) -> None:
    file = tmp_path / "config.json"
    file.write_bytes(changed(path, value))
    done = subprocess.run(
        [sys.executable, "-m", "gladelane"], cwd=ROOT, env={**os.environ, "GW_CONFIG": str(file)},
        capture_output=True, text=True, timeout=60, check=False,
    )  # fmt: skip
    assert done.returncode != 0 and done.stdout == ""
    assert len(done.stderr.splitlines()) == 1
    assert str(file) in done.stderr and f"{path} is " in done.stderr and "expected " in done.stderr


@pytest.mark.parametrize("path,value", [
    ("settings.rules.fall_ms", MISSING), ("settings.limits.max_attempts", "three"), ("settings.classes[0].deadline_ms", float("nan")),
])  # fmt: skip
def test_a_bad_file_at_a_reload_is_named_and_the_one_in_use_stays(
    tmp_path: Path, path: str, value: Any
) -> None:
    async def scene() -> None:
        good = json.dumps({**WHOLE, "listen": "127.0.0.1:0", "board": "127.0.0.1:1"}).encode()
        process = start_process(good, tmp_path)
        try:
            port = await ready(process)
            (tmp_path / "config.json").write_bytes(changed(path, value))
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            line = ""
            while "reload failed" not in line:
                line = await asyncio.to_thread(process.stderr.readline)
            assert "the old configuration stays" in line and f"{path} is " in line and "config.json" in line
            client = await Client.to(port)
            client.send(32, 5, encode_fields({}))
            assert (await client.next())[:3] == (33, 5, 0)
            client.writer.close()
            process.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(process.wait, 30) == 0
        finally:
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.communicate()

    asyncio.run(scene())
