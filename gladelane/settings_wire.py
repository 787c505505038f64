"""The settings as the wire and GW_CONFIG name them, read into the module's own. Shared by both hosts."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from . import interface as api

_WORDS: dict[str, dict[str, Any]] = {
    "effect": {"retryable": "safe", "dedup": "keyed", "fragile": "unsafe"},
    "reports": {"inline": "inline", "on_probe": "probe", "off": "none"},
    "notes": {"all": "all", "hit": "hit", "off": "none"},
    "peers_fill": {"off": "none", "location": "zone", "any": "any"},
    "weights": {"off": "none", "nominal": "nominal", "rough": "rough", "live": "live"},
    "subscribe": {"automatic": False, "subscribe": True},
}
#: plain key -> where the wire has it
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
_CLASS_ROWS = {
    "fresh_ms": "good_for_ms",
    "grace_ms": "stale_for_ms",
    "parts": "segmented",
    "cacheable": "pass_on",
}


def _at(raw: Any, path: str) -> Any:
    for step in path.split("."):
        raw = raw.get(step) if isinstance(raw, Mapping) else None
    return raw


def _word(key: str, value: Any) -> Any:
    table = _WORDS.get(key, {})
    return table.get(value, value) if isinstance(value, str) else value


def settings_from_wire(raw: Mapping[str, Any]) -> api.Settings:
    plain = {key: _word(key, _at(raw, path)) for key, path in _PATHS.items()}
    kinds = _at(raw, "kinds") or []
    for key, path in (("origin_kind", "family_info.store_kind"), ("parent_kind", "family_info.upper_kind")):
        place = _at(raw, path)
        plain[key] = kinds[place] if isinstance(place, int) and 0 <= place < len(kinds) else None
    rows = _at(raw, "classes")
    if isinstance(rows, list):
        plain["classes"] = [_class_from_wire(raw, place, row) for place, row in enumerate(rows)]
    return api.Settings.read(plain)


def _class_from_wire(raw: Mapping[str, Any], place: int, row: Any) -> Any:
    if not isinstance(row, Mapping):
        return row
    spec = {key: _word(key, row.get(name)) for key, name in _CLASS_KEYS.items()}
    for key, name in _CLASS_ROWS.items():
        values = _at(raw, f"family_info.{name}")
        if isinstance(values, list) and place < len(values):
            spec[key] = values[place]
    if isinstance(spec.get("cacheable"), bool):
        spec["cacheable"] = not spec["cacheable"]
    return spec
