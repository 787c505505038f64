"""The settings of one deployment that the router, the director and the simulator's adapter use: classes,
kinds of servers, limits and rules.

`Settings.read` checks each value by the value types in `checks`, and then against the other values. Keys and
enumerated values have this program's names; `wire` translates them from the platform's file. Times are in
milliseconds. All modules are pure. The settings are defined here and not in a separate module, so that a
starting director loads fewer modules.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Any

from .checks import (
    MISSING,
    BadSetting,
    Choice,
    Field,
    Flag,
    Number,
    Text,
    read_fields,
    read_list,
    read_object,
)

# The upper bounds detect wrong units and typing errors; they are not meant to limit large deployments.
MAX_MS = 31_536_000_000.0  # a year
MAX_COUNT = 1_000_000_000.0  # of directors, attempts, open requests
MAX_FACTOR = 1_000_000.0  # priority weights and multiples of a rate
MAX_KB_PER_S = 1e12
MAX_REPORT_FIELDS = 16  # the platform has at most four today; the others are reserved for new fields


#: The servers that drop repeats of a request with an idempotency key: all of them, those of one zone or those
#: of one cell.
GROUPS = ("all", "zone", "cell")
#: The `cell` of a server whose entry names none. It shares the keys that it knows with no other server.
UNKNOWN_KEY_GROUP = -1


class Effect(Enum):
    """Whether a request may be executed twice.

    SAFE requests are idempotent. KEYED requests carry an idempotency key, by which a group of servers drops
    repeats within a window. UNSAFE requests must not be repeated.
    """

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


@dataclass(frozen=True, slots=True)
class ClassSpec:
    """One class of requests.

    `worth` is its priority weight, and `late_worth` the share of it that an answer still earns after the
    latency objective `aim_ms`. `window_ms` is how long servers recognize a repeated idempotency key, and
    `group` which servers share that knowledge. `fresh_ms` and `grace_ms` bound the age of copies.
    """

    name: str
    effect: Effect
    group: str
    window_ms: float
    aim_ms: float
    aim_stretch: float
    deadline_ms: float
    worth: float
    late_worth: float
    stream: bool
    fresh_ms: float
    grace_ms: float
    parts: bool
    cacheable: bool
    keyless: bool = False  # KEYED requests may lack the key; true while new settings replace old ones

    def aim_for(self, size_kb: float, flow_kb_per_s: float) -> float:
        """The latency objective in ms for an answer of `size_kb`. It grows with the transfer time, up to the
        deadline; an unknown size or rate, given as 0, adds nothing."""
        transfer_ms = size_kb / flow_kb_per_s * 1000.0 if flow_kb_per_s else 0.0
        return min(self.aim_ms + self.aim_stretch * transfer_ms, self.deadline_ms)


_FLAG, _NAME = Flag(), Text()
_MS, _MS_ABOVE_0 = Number(0, MAX_MS), Number(0, MAX_MS, exclusive_min=True)
_SHARE = Number(0, 1)
_FACTOR = Number(0, MAX_FACTOR)
_RATE = Number(0, MAX_KB_PER_S)
_COUNT, _COUNT_FROM_1 = Number(0, MAX_COUNT, integer=True), Number(1, MAX_COUNT, integer=True)

_FIELDS: Mapping[str, Field] = {
    "me": Field(_COUNT),
    "proxies": Field(_COUNT_FROM_1),
    "zone": Field(_NAME),
    "origin_kind": Field(_NAME),
    "parent_kind": Field(Text(min_length=0), ""),  # empty: there are no parents
    "subscribe": Field(_FLAG, False),
    "ask_within_ms": Field(_MS, 10000.0),
    "reports": Field(Choice(("inline", "probe", "none")), "none"),
    "notes": Field(Choice(("all", "hit", "none")), "none"),
    "peers_fill": Field(Choice(("none", "zone", "any")), "none"),
    "weights": Field(Choice(("none", "nominal", "rough", "live")), "none"),
    "straight": Field(_FLAG, False),
    "joins": Field(_FLAG, False),
    "flow_kb_per_s": Field(_RATE, 0.0),
    "cancel": Field(_FLAG, False),
    "second_copies": Field(_FLAG, False),
    "probes": Field(_FLAG, False),
    "messages": Field(_FLAG, False),
    "retry_after": Field(_FLAG, False),
    "max_retry_after_ms": Field(_MS, 0.0),
    "max_attempts": Field(_COUNT_FROM_1),
    "max_open": Field(_COUNT_FROM_1),
    "connect_timeout_ms": Field(_MS),
    "drain_grace_ms": Field(_MS),
    "answer_grace_ms": Field(_MS, 0.0),
    "tick_ms": Field(_MS, 0.0),
    "cold_from": Field(_SHARE),
    "warm_after_ms": Field(_MS),
    "fall_multiple": Field(_FACTOR),
    "fall_ms": Field(_MS),
    "parent_cold_from": Field(_SHARE, 1.0),
    "parent_cold_ms": Field(_MS, 0.0),
    "parent_fall_multiple": Field(_FACTOR, 1.0),
    "origin_fall_multiple": Field(_FACTOR, 0.0),
    "origin_fall_ms": Field(_MS, 0.0),
    "purge_grace_ms": Field(_MS, 0.0),
    "purge_done_ms": Field(_MS, 0.0),
}
_CLASS_FIELDS: Mapping[str, Field] = {
    "name": Field(_NAME),
    "effect": Field(Choice(tuple(effect.value for effect in Effect))),
    "group": Field(Choice(GROUPS), "all"),
    "window_ms": Field(_MS, 0.0),
    "aim_ms": Field(_MS),
    "aim_stretch": Field(_FACTOR, 0.0),
    "deadline_ms": Field(_MS_ABOVE_0),
    "worth": Field(_FACTOR),
    "late_worth": Field(_SHARE, 0.0),
    "stream": Field(_FLAG, False),
    "fresh_ms": Field(_MS, 0.0),
    "grace_ms": Field(_MS, 0.0),
    "parts": Field(_FLAG, False),
    "cacheable": Field(_FLAG, True),
}
#: Required for classes with idempotency keys, because no default is right: with a larger group than the true
#: one a request is repeated where it runs a second time.
_KEYED_CLASS_FIELDS: Mapping[str, Field] = {"group": Field(Choice(GROUPS)), "window_ms": Field(_MS)}


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one deployment. Create them with `Settings.read`, which ignores unknown keys.

    The router does not use hub_of, inlet_kb_per_s, report_fields, reports, peers_fill, ask_within_ms, probes,
    messages, max_open, connect_timeout_ms, drain_grace_ms (a server gets no requests as soon as it is
    draining), answer_grace_ms, origin_fall_multiple, origin_fall_ms and purge_grace_ms (a purge applies
    immediately), nor late_worth, stream, grace_ms and parts of a class."""

    classes: Mapping[str, ClassSpec]
    zones: tuple[str, ...]
    hub_of: tuple[int, ...]
    seats_by_zone: tuple[int, ...]
    inlet_kb_per_s: tuple[float, ...]
    report_fields: tuple[str, ...]
    me: int
    proxies: int
    zone: str
    origin_kind: str
    parent_kind: str
    subscribe: bool
    ask_within_ms: float
    reports: str
    notes: str
    peers_fill: str
    weights: str
    straight: bool
    joins: bool
    flow_kb_per_s: float
    cancel: bool
    second_copies: bool
    probes: bool
    messages: bool
    retry_after: bool
    max_retry_after_ms: float
    max_attempts: int
    max_open: int
    connect_timeout_ms: float
    drain_grace_ms: float
    answer_grace_ms: float
    tick_ms: float
    cold_from: float
    warm_after_ms: float
    fall_multiple: float
    fall_ms: float
    parent_cold_from: float
    parent_cold_ms: float
    parent_fall_multiple: float
    origin_fall_multiple: float
    origin_fall_ms: float
    purge_grace_ms: float
    purge_done_ms: float

    @classmethod
    def read(cls, raw: Mapping[str, Any]) -> Settings:
        """Checks and converts `raw`. Raises BadSetting, whose key is the path in `raw`."""
        values = read_fields(raw, _FIELDS)
        zones = _read_zones(raw, values["zone"])
        zone_count = len(zones)
        if values["me"] >= values["proxies"]:
            expected = f"a number below that of the directors, {values['proxies']}"
            raise BadSetting("me", values["me"], expected)
        if values["parent_kind"] == values["origin_kind"]:
            raise BadSetting("parent_kind", values["parent_kind"], "another kind than the origin's")
        return cls(
            classes=MappingProxyType(_read_classes(raw)),
            zones=zones,
            hub_of=read_list(
                raw.get("hub_of"), Number(0, zone_count - 1, integer=True), "hub_of", zone_count, "zone"
            ),
            seats_by_zone=read_list(raw.get("seats_by_zone"), _COUNT, "seats_by_zone", zone_count, "zone"),
            inlet_kb_per_s=read_list(raw.get("inlet_kb_per_s"), _RATE, "inlet_kb_per_s", zone_count, "zone"),
            report_fields=_read_report_fields(raw),
            **values,
        )

    def get_class(self, name: str) -> ClassSpec:
        """The class with this name. Raises ValueError if there is none."""
        if name not in self.classes:
            raise ValueError(f"unknown class {name!r}")
        return self.classes[name]

    def check_zone(self, name: str) -> str:
        """Returns `name` if it is the name of a listed zone. Raises ValueError otherwise."""
        if name not in self.zones:
            raise ValueError(f"unknown zone {name!r}")
        return name


def _read_zones(raw: Mapping[str, Any], own_zone: str) -> tuple[str, ...]:
    if not raw.get("zones"):
        raise BadSetting("zones", raw.get("zones", MISSING), "a list of at least one zone")
    zones = read_list(raw["zones"], _NAME, "zones")
    for index, zone in enumerate(zones):
        if zone in zones[:index]:
            raise BadSetting(f"zones[{index}]", zone, "a name that no other zone has")
    if own_zone not in zones:
        raise BadSetting("zone", own_zone, "the name of a listed zone")
    return zones


def _read_classes(raw: Mapping[str, Any]) -> dict[str, ClassSpec]:
    rows = raw.get("classes", MISSING)
    if not isinstance(rows, (list, tuple)) or not rows:
        raise BadSetting("classes", rows, "a list of at least one class")
    classes: dict[str, ClassSpec] = {}
    for index, row in enumerate(rows):
        path = f"classes[{index}]"
        values = read_fields(read_object(row, path), _CLASS_FIELDS, path)
        if values["effect"] == Effect.KEYED.value:
            read_fields(row, _KEYED_CLASS_FIELDS, path)
        name = values["name"]
        if name in classes:
            raise BadSetting(f"{path}.name", name, "a name that no other class has")
        classes[name] = ClassSpec(**{**values, "effect": Effect(values["effect"])})
    return classes


def _read_report_fields(raw: Mapping[str, Any]) -> tuple[str, ...]:
    names = read_list(raw.get("report_fields"), _NAME, "report_fields")
    if len(names) > MAX_REPORT_FIELDS:
        raise BadSetting("report_fields", names, f"{MAX_REPORT_FIELDS} names at the most")
    return names
