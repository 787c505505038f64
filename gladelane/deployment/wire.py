"""Reads settings in the format of the simulator's wire and of GW_CONFIG into `deployment.Settings`. Pure.

The director and the simulator's adapter share it. Errors name the path in the file: keys that `Settings.read`
reports under this program's names are translated back.
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
    Kind,
    Number,
    Text,
    read_fields,
    read_list,
    read_object,
    read_value,
)

#: key of `Settings` -> enumerated word in the file -> value in `Settings`
_WORDS: dict[str, dict[str, Any]] = {
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
#: the same for kinds of servers, which the file gives as an index into `kinds` and `Settings` by name
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
#: key of a class -> the list in `family_info` that has one value per class
_CLASS_ROWS = {
    "fresh_ms": "good_for_ms",
    "grace_ms": "stale_for_ms",
    "parts": "segmented",
    "cacheable": "pass_on",
}
#: the objects in the file that contain the paths above
_SECTIONS = ("family_info", "limits", "rules", "report")
#: A default for these could break a rule unnoticed: a write would be cached as if it were a copy, a copy
#: would be served although it is too old, or a purge would expire while old copies still exist. They are
#: therefore required here, although `Settings.read` has defaults for them.
_NEEDED_LISTS = ("pass_on", "good_for_ms")
_NEEDED = {"gone_everywhere_ms": Field(Number())}
_CLASS_KEY = re.compile(r"classes\[([0-9]+)\]\.(\w+)")


def settings_from_wire(raw: Mapping[str, Any]) -> Settings:
    """Reads the settings of a decoded file. Raises BadSetting, whose key is the path in `raw`."""
    fields = read_object(raw, "")
    for section in _SECTIONS:
        if fields.get(section) is not None or section != "report":  # optional: without reports
            read_object(fields.get(section), section)
    plain = {key: _plain(key, _at(fields, path), path) for key, path in _PATHS.items()}
    plain.update(_kinds(fields))
    rows = fields.get("classes")
    plain["classes"] = _classes(fields, rows) if isinstance(rows, list) and rows else rows
    try:
        settings = Settings.read(plain)
    except BadSetting as error:
        key = _file_key(error.key)
        found = _at(fields, key) if key in (*_PATHS.values(), *_KIND_PATHS.values()) else error.found
        raise BadSetting(key, MISSING if found is None else found, error.expected) from None
    read_fields(fields["family_info"], _NEEDED, "family_info")
    return settings


def _at(raw: Any, path: str) -> Any:
    """The value at a path; None if there is none."""
    for step in path.split("."):
        raw = raw.get(step) if isinstance(raw, Mapping) else None
    return raw


def _plain(key: str, value: Any, path: str) -> Any:
    """Translates an enumerated word of the file to the value in `Settings`; other values are returned as they
    are. Raises BadSetting for a word that the file format does not define."""
    words = _WORDS.get(key)
    if words is None or value is None:
        return value
    return words[read_value(value, Choice(tuple(words)), path)]


def _kinds(raw: Mapping[str, Any]) -> dict[str, str]:
    """The names of the kinds of the origin and of the parents; the latter is empty without parents."""
    kinds = read_list(raw.get("kinds"), Text(), "kinds")
    if not kinds:
        raise BadSetting("kinds", raw.get("kinds", MISSING), "a list of at least one kind")
    place: dict[str, Kind] = {
        "store_kind": Number(0, len(kinds) - 1, integer=True),
        "upper_kind": Number(-1, len(kinds) - 1, integer=True),
    }
    fields = {"store_kind": Field(place["store_kind"]), "upper_kind": Field(place["upper_kind"], -1)}
    places = read_fields(raw["family_info"], fields, "family_info")
    upper = places["upper_kind"]
    return {"origin_kind": kinds[places["store_kind"]], "parent_kind": kinds[upper] if upper >= 0 else ""}


def _classes(raw: Mapping[str, Any], rows: list[Any]) -> list[dict[str, Any]]:
    lists = {key: _class_list(raw, key, name, len(rows)) for key, name in _CLASS_ROWS.items()}
    classes = []
    for place, row in enumerate(rows):
        fields = read_object(row, f"classes[{place}]")
        spec = {
            key: _plain(key, fields.get(name), f"classes[{place}].{name}")
            for key, name in _CLASS_KEYS.items()
        }
        spec.update({key: values[place] for key, values in lists.items() if values})
        classes.append(spec)
    return classes


def _class_list(raw: Mapping[str, Any], key: str, name: str, count: int) -> tuple[Any, ...]:
    path = f"family_info.{name}"
    values = _at(raw, path)
    if not values and name in _NEEDED_LISTS:
        raise BadSetting(
            path, MISSING if values is None else values, f"a list of {count}, one for each class"
        )
    kind: Kind = Number() if key.endswith("_ms") else Flag()
    read = read_list(values, kind, path, count, "class")
    return tuple(not value for value in read) if key == "cacheable" else read


def _file_key(key: str) -> str:
    """The path in the file that a key of `Settings` was read from."""
    if of_class := _CLASS_KEY.fullmatch(key):
        place, name = of_class.groups()
        if name in _CLASS_ROWS:
            return f"family_info.{_CLASS_ROWS[name]}[{place}]"
        return f"classes[{place}].{_CLASS_KEYS[name]}"
    name, bracket, rest = key.partition("[")
    return {**_PATHS, **_KIND_PATHS}.get(name, name) + bracket + rest
