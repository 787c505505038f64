"""Reads settings in the format of the simulator's protocol and of GW_CONFIG into `deployment.Settings`. Pure.

The director and the simulator's adapter both use it. Errors have the path in the file: keys that
`Settings.read` reports by this program's names are translated back.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any

from . import Settings
from .checks import (
    MISSING,
    BadSetting,
    Choice,
    Field,
    Flag,
    Number,
    Text,
    ValueType,
    read_fields,
    read_list,
    read_object,
    read_value,
)

#: key of `Settings` -> enumerated value in the file -> value in `Settings`
_ENUM_VALUES: dict[str, dict[str, Any]] = {
    "effect": {"retryable": "safe", "dedup": "keyed", "fragile": "unsafe"},
    "reports": {"inline": "inline", "on_probe": "probe", "off": "none"},
    "notes": {"all": "all", "hit": "hit", "off": "none"},
    "peers_fill": {"off": "none", "location": "zone", "any": "any"},
    "weights": {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"},
    "subscribe": {"automatic": False, "subscribe": True},
}
#: key of `Settings` -> its path in the file
_PATHS = {
    "me": "me",
    "proxies": "balancers",
    "zone": "zone",
    "zones": "areas",
    "hub_of": "family_info.hub_of",
    "seats_by_zone": "family_info.seats_by_zone",
    "inlet_kb_per_s": "family_info.inlet_kb_per_s",
    "report_fields": "report.fields",
    "subscribe": "registry_mode",
    "ask_within_ms": "rules.ask_within_ms",
    "reports": "report.how",
    "notes": "family_info.notes_given",
    "peers_fill": "family_info.peers_fill",
    "weights": "weights",
    "straight": "family_info.straight",
    "joins": "family_info.merges_fills",
    "flow_kb_per_s": "family_info.one_flow_kb_per_s",
    "cancel": "limits.cancel",
    "second_copies": "limits.may_duplicate",
    "probes": "limits.probes",
    "messages": "limits.may_tell",
    "retry_after": "limits.retry_after",
    "max_retry_after_ms": "limits.max_retry_after_ms",
    "max_attempts": "limits.max_attempts",
    "max_open": "limits.max_open",
    "connect_timeout_ms": "limits.dial_timeout_ms",
    "drain_grace_ms": "rules.drain_grace_ms",
    "answer_grace_ms": "rules.grace_to_answer_ms",
    "tick_ms": "tick_ms",
    "cold_from": "rules.cold_from",
    "warm_after_ms": "rules.warm_after_ms",
    "fall_multiple": "rules.fall_multiple",
    "fall_ms": "rules.fall_ms",
    "parent_cold_from": "family_info.parent_cold_from",
    "parent_cold_ms": "family_info.parent_cold_ms",
    "parent_fall_multiple": "family_info.parent_breaks_at",
    "origin_fall_multiple": "family_info.origin_fall_multiple",
    "origin_fall_ms": "family_info.origin_bears_ms",
    "purge_grace_ms": "family_info.notice_time_ms",
    "purge_done_ms": "family_info.gone_everywhere_ms",
}
#: the same for kinds of servers: the file has an index into the list `kinds`, `Settings` has the name
_KIND_PATHS = {"origin_kind": "family_info.store_kind", "parent_kind": "family_info.upper_kind"}
_CLASS_KEYS = {
    "name": "name",
    "effect": "effect",
    "group": "group",
    "window_ms": "window_ms",
    "aim_ms": "aim_ms",
    "aim_stretch": "aim_stretch",
    "deadline_ms": "deadline_ms",
    "worth": "value",
    "late_worth": "late_worth",
    "stream": "stream",
}
#: key of a class -> the list in `family_info` that has one value for each class
_CLASS_LISTS = {
    "fresh_ms": "good_for_ms",
    "grace_ms": "stale_for_ms",
    "parts": "segmented",
    "cacheable": "pass_on",
}
#: the objects in the file that contain the paths above
_SECTIONS = ("family_info", "limits", "rules", "report")
#: `Settings.read` has defaults for these, but a default could break a rule unnoticed: the answer to a write
#: would be cached like a copy, a copy would be served although it is too old, a purge would expire while old
#: copies still exist, or a cold parent would be sent as much as a warm one. They are therefore required here.
_REQUIRED_LISTS = ("pass_on", "good_for_ms")
_REQUIRED_FIELDS = {"gone_everywhere_ms": Field(Number())}
_REQUIRED_PARENT_FIELDS = {"parent_cold_from": Field(Number(0, 1)), "parent_cold_ms": Field(Number())}
_CLASS_KEY = re.compile(r"classes\[([0-9]+)\]\.(\w+)")


def settings_from_wire(raw: Mapping[str, Any]) -> Settings:
    """Reads the settings of a decoded file. Raises BadSetting, whose key is the path in `raw`."""
    fields = read_object(raw, "")
    for section in _SECTIONS:
        if fields.get(section) is not None or section != "report":  # `report` may be absent
            read_object(fields.get(section), section)
    values = {key: _translate_value(key, _value_at(fields, path), path) for key, path in _PATHS.items()}
    values.update(_read_kinds(fields))
    rows = fields.get("classes")
    values["classes"] = _translate_classes(fields, rows) if isinstance(rows, list) and rows else rows
    try:
        settings = Settings.read(values)
    except BadSetting as error:
        key = _path_in_file(error.key)
        found = _value_at(fields, key) if key in (*_PATHS.values(), *_KIND_PATHS.values()) else error.found
        raise BadSetting(key, MISSING if found is None else found, error.expected) from None
    read_fields(fields["family_info"], _REQUIRED_FIELDS, "family_info")
    if settings.parent_kind:
        read_fields(fields["family_info"], _REQUIRED_PARENT_FIELDS, "family_info")
    return settings


def _value_at(raw: Any, path: str) -> Any:
    """The value at a path; None if there is none."""
    for step in path.split("."):
        raw = raw.get(step) if isinstance(raw, Mapping) else None
    return raw


def _translate_value(key: str, value: Any, path: str) -> Any:
    """Translates an enumerated value of the file to the value in `Settings`; other values are returned
    unchanged. Raises BadSetting for an enumerated value that the file format does not define."""
    translations = _ENUM_VALUES.get(key)
    if translations is None or value is None:
        return value
    return translations[read_value(value, Choice(tuple(translations)), path)]


def _read_kinds(raw: Mapping[str, Any]) -> dict[str, str]:
    """The names of the kinds of the origin and of the parents; the latter is empty without parents."""
    kinds = read_list(raw.get("kinds"), Text(), "kinds")
    if not kinds:
        raise BadSetting("kinds", raw.get("kinds", MISSING), "a list of at least one kind")
    index_types: dict[str, ValueType] = {
        "store_kind": Number(0, len(kinds) - 1, integer=True),
        "upper_kind": Number(-1, len(kinds) - 1, integer=True),
    }
    fields = {
        "store_kind": Field(index_types["store_kind"]),
        "upper_kind": Field(index_types["upper_kind"], -1),
    }
    indices = read_fields(raw["family_info"], fields, "family_info")
    parent_index = indices["upper_kind"]
    return {
        "origin_kind": kinds[indices["store_kind"]],
        "parent_kind": kinds[parent_index] if parent_index >= 0 else "",
    }


def _translate_classes(raw: Mapping[str, Any], rows: list[Any]) -> list[dict[str, Any]]:
    lists = {key: _read_class_list(raw, key, name, len(rows)) for key, name in _CLASS_LISTS.items()}
    classes = []
    for index, row in enumerate(rows):
        fields = read_object(row, f"classes[{index}]")
        spec = {
            key: _translate_value(key, fields.get(name), f"classes[{index}].{name}")
            for key, name in _CLASS_KEYS.items()
        }
        spec.update({key: values[index] for key, values in lists.items() if values})
        classes.append(spec)
    return classes


def _read_class_list(raw: Mapping[str, Any], key: str, name: str, class_count: int) -> tuple[Any, ...]:
    """Reads the list `name` of `family_info`, which has the value of `key` for each class."""
    path = f"family_info.{name}"
    values = _value_at(raw, path)
    if not values and name in _REQUIRED_LISTS:
        raise BadSetting(
            path, MISSING if values is None else values, f"a list of {class_count}, one for each class"
        )
    value_type: ValueType = Number() if key.endswith("_ms") else Flag()
    checked = read_list(values, value_type, path, class_count, "class")
    return tuple(not value for value in checked) if key == "cacheable" else checked


def _path_in_file(key: str) -> str:
    """The path in the file that a key of `Settings` was read from."""
    if class_key := _CLASS_KEY.fullmatch(key):
        index, name = class_key.groups()
        if name in _CLASS_LISTS:
            return f"family_info.{_CLASS_LISTS[name]}[{index}]"
        return f"classes[{index}].{_CLASS_KEYS[name]}"
    name, bracket, rest = key.partition("[")
    return {**_PATHS, **_KIND_PATHS}.get(name, name) + bracket + rest
