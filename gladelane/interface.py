"""What the router is told and what it may ask for: settings, events and actions. No decision stands here.

Times are milliseconds of the caller's clock. Stores, requests and objects are opaque identifiers.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from types import MappingProxyType
from typing import Any, Protocol


class Effect(Enum):
    """What a repeat of a request does: SAFE nothing, KEYED is dropped by a group for a while, UNSAFE harm."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class State(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Status(Enum):
    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    MOOT = "moot"
    MISS = "miss"


#: Outcomes that prove the attempt never ran.
NEVER_RAN = frozenset({Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS})


class Note(Enum):
    """How an attempt was answered, or why its fill failed; UNTOLD where the deployment does not say."""

    UNTOLD = 0
    HIT = 1
    PARENT_HELD = 2
    FROM_ORIGIN = 3
    JOINED = 4
    AGED = 5
    SOURCE_REFUSED = 6
    SOURCE_BROKEN = 7
    SOURCE_LACKS = 8
    NO_FILL_PLACE = 9
    ORIGIN_FAILED = 10


class ListKind(Enum):
    CHANGES = "changes"
    COMPLETE = "complete"
    REMEMBERED = "remembered"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class ClassSpec:
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
    keyless: bool = False  # keyed, but a request may lack its key: while settings change, by either file

    def aim_for(self, size_kb: float, flow_kb_per_s: float) -> float:
        """Within which an answer earns its full worth, ms. A size made up lengthens it to the deadline at
        most; one that is not told counts as nothing."""
        work = size_kb / flow_kb_per_s * 1000.0 if flow_kb_per_s else 0.0
        return min(self.aim_ms + self.aim_stretch * work, self.deadline_ms)


_BOOL, _INT, _NUM, _STR = "true or false", "a whole number", "a number", "a text"
_POS = "a number above 0"
#: key -> (form, least value, value where the key may be left out)
_NEEDED = object()
_PLAIN: dict[str, tuple[str, float | None, Any]] = {
    "me": (_INT, 0, _NEEDED),
    "proxies": (_INT, 1, _NEEDED),
    "zone": (_STR, None, _NEEDED),
    "origin_kind": (_STR, None, _NEEDED),
    "parent_kind": (_STR, None, ""),
    "subscribe": (_BOOL, None, False),
    "ask_within_ms": (_NUM, 0, 10000.0),
    "reports": (_STR, None, "none"),
    "notes": (_STR, None, "none"),
    "peers_fill": (_STR, None, "none"),
    "weights": (_STR, None, "none"),
    "straight": (_BOOL, None, False),
    "joins": (_BOOL, None, False),
    "flow_kb_per_s": (_NUM, 0, 0.0),
    "cancel": (_BOOL, None, False),
    "second_copies": (_BOOL, None, False),
    "probes": (_BOOL, None, False),
    "messages": (_BOOL, None, False),
    "retry_after": (_BOOL, None, False),
    "max_retry_after_ms": (_NUM, 0, 0.0),
    "max_attempts": (_INT, 1, _NEEDED),  # the least of whole numbers above 0
    "max_open": (_INT, 1, _NEEDED),
    "connect_timeout_ms": (_NUM, 0, _NEEDED),
    "drain_grace_ms": (_NUM, 0, _NEEDED),
    "answer_grace_ms": (_NUM, 0, 0.0),
    "tick_ms": (_NUM, 0, 0.0),
    "cold_from": (_NUM, 0, _NEEDED),
    "warm_after_ms": (_NUM, 0, _NEEDED),
    "fall_multiple": (_NUM, 0, _NEEDED),
    "fall_ms": (_NUM, 0, _NEEDED),
    "parent_cold_from": (_NUM, 0, 1.0),
    "parent_cold_ms": (_NUM, 0, 0.0),
    "parent_fall_multiple": (_NUM, 0, 1.0),
    "origin_fall_multiple": (_NUM, 0, 0.0),
    "origin_fall_ms": (_NUM, 0, 0.0),
    "purge_grace_ms": (_NUM, 0, 0.0),
    "purge_done_ms": (_NUM, 0, 0.0),
}
_CHOICES = {
    "reports": ("inline", "probe", "none"),
    "notes": ("all", "hit", "none"),
    "peers_fill": ("none", "zone", "any"),
    "weights": ("none", "nominal", "rough", "live"),
}
_CLASS: dict[str, tuple[str, float | None, Any]] = {
    "name": (_STR, None, _NEEDED),
    "effect": (_STR, None, _NEEDED),
    "group": (_STR, None, "all"),
    "window_ms": (_NUM, 0, 0.0),
    "aim_ms": (_NUM, 0, _NEEDED),
    "aim_stretch": (_NUM, 0, 0.0),
    "deadline_ms": (_POS, 0, _NEEDED),
    "worth": (_NUM, 0, _NEEDED),
    "late_worth": (_NUM, 0, 0.0),
    "stream": (_BOOL, None, False),
    "fresh_ms": (_NUM, 0, 0.0),
    "grace_ms": (_NUM, 0, 0.0),
    "parts": (_BOOL, None, False),
    "cacheable": (_BOOL, None, True),
}
_CLASS_CHOICES = {"effect": ("safe", "keyed", "unsafe"), "group": ("all", "zone", "cell")}


def _value(raw: Mapping[str, Any], key: str, where: str, spec: tuple[str, float | None, Any]) -> Any:
    form, least, default = spec
    if raw.get(key) is None:
        if default is _NEEDED:
            raise ValueError(f"settings: {where}{key} is missing; expected {form}")
        return default
    value = raw[key]
    number = isinstance(value, (int, float)) and not isinstance(value, bool)
    whole = number and float(value).is_integer()
    good = {_BOOL: isinstance(value, bool), _INT: whole, _NUM: number, _STR: isinstance(value, str),
            _POS: number and value > 0}[form]  # fmt: skip
    if not good or (least is not None and not least <= value < float("inf")):
        bound = "" if least is None or form == _POS else f" of {least} or more"
        raise ValueError(f"settings: {where}{key} is {value!r}; expected {form}{bound}")
    return int(value) if form == _INT else float(value) if form in (_NUM, _POS) else value


def _fields(
    raw: Any,
    where: str,
    specs: dict[str, tuple[str, float | None, Any]],
    choices: Mapping[str, tuple[str, ...]],
) -> dict[str, Any]:
    if not isinstance(raw, Mapping):
        raise ValueError(f"settings: {where or 'the whole'} is {raw!r}; expected an object")
    values = {key: _value(raw, key, where, spec) for key, spec in specs.items()}
    for key, allowed in choices.items():
        if values[key] not in allowed:
            wanted = ", ".join(allowed)
            raise ValueError(f"settings: {where}{key} is {values[key]!r}; expected one of {wanted}")
    return values


def _row(raw: Mapping[str, Any], key: str, form: Any, length: int | None) -> tuple[Any, ...]:
    row = raw.get(key)
    if row is None:
        return ()
    if not isinstance(row, (list, tuple)) or not all(
        isinstance(v, form) and (form is str or (not isinstance(v, bool) and v >= 0)) for v in row
    ):
        raise ValueError(f"settings: {key} is {row!r}; expected a list of texts or of numbers of 0 or more")
    if length is not None and len(row) not in (0, length):
        raise ValueError(f"settings: {key} holds {len(row)} values; expected {length}, one a zone")
    return tuple(row)


@dataclass(frozen=True, slots=True)
class Settings:
    """The facts of one deployment. Build it with `Settings.read`; keys it does not know are passed over.

    Told but not read by the router: hub_of, inlet_kb_per_s, report_fields, reports, peers_fill, me, proxies,
    ask_within_ms, probes, messages, max_open, connect_timeout_ms, drain_grace_ms (draining stores get nothing
    at once), answer_grace_ms, origin_fall_multiple, origin_fall_ms, purge_grace_ms (a purge binds at once);
    of a class: late_worth, stream, grace_ms."""

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
        values = _fields(raw, "", _PLAIN, _CHOICES)
        zones = _row(raw, "zones", str, None)
        if values["zone"] not in zones:
            raise ValueError(f"settings: zone is {values['zone']!r}; expected one of zones")
        rows = raw.get("classes")
        if not isinstance(rows, (list, tuple)) or not rows:
            raise ValueError(f"settings: classes is {rows!r}; expected a list of at least one class")
        classes = {}
        for place, row in enumerate(rows):
            spec = _fields(row, f"classes[{place}].", _CLASS, _CLASS_CHOICES)
            spec["effect"] = Effect(spec["effect"])
            if spec["name"] in classes:
                raise ValueError(f"settings: classes[{place}].name is {spec['name']!r}; expected a new name")
            classes[spec["name"]] = ClassSpec(**spec)
        hubs = _row(raw, "hub_of", int, len(zones))
        if any(hub >= len(zones) for hub in hubs):
            raise ValueError(f"settings: hub_of is {hubs!r}; expected places in zones")
        return cls(
            classes=MappingProxyType(classes),
            zones=zones,
            hub_of=hubs,
            seats_by_zone=_row(raw, "seats_by_zone", int, len(zones)),
            inlet_kb_per_s=_row(raw, "inlet_kb_per_s", (int, float), len(zones)),
            report_fields=_row(raw, "report_fields", str, None),
            **values,
        )

    def class_named(self, name: str) -> ClassSpec:
        if name not in self.classes:
            raise ValueError(f"unknown class {name!r}")
        return self.classes[name]

    def known_zone(self, name: str) -> str:
        if name not in self.zones:
            raise ValueError(f"unknown zone {name!r}")
        return name


# --- events ---------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Request:
    """A client asks. The router does not read repeat and tenant."""

    id: int
    cls: str
    object: int
    deadline_ms: float
    size_kb: float = 0.0
    group: int = 0
    part: int = 0
    repeat: bool = False
    tenant: str = ""
    ran_ms: float = 0.0  # when an earlier try of the same key first may have run, 0: none is known
    ran_at: str = ""  # and at which store


@dataclass(frozen=True, slots=True)
class Outcome:
    """An attempt ended. The router goes by its own clock and reads neither latency_ms nor report."""

    id: int
    attempt: int
    store: str
    status: Status
    latency_ms: float = 0.0
    note: Note = Note.UNTOLD
    source_wait_ms: float = 0.0
    over: bool = False
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Probed:
    """What a probe found; the router sends none and passes it over."""

    store: str
    status: Status
    latency_ms: float = 0.0
    report: Mapping[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Started:
    """The answer's stream has begun: the attempt belongs to the client now."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class ClientGone:
    id: int


@dataclass(frozen=True, slots=True)
class Purge:
    """An object, or a whole group where object is 0, was purged age_ms ago."""

    object: int
    group: int
    age_ms: float


@dataclass(frozen=True, slots=True)
class Message:
    """From another proxy; the router passes it over."""

    sender: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Timer:
    token: str


@dataclass(frozen=True, slots=True)
class Member:
    store: str
    zone: str
    kind: str
    cell: int = 0
    state: State = State.READY
    weight: float = 1.0
    came_up_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Members:
    kind: ListKind
    stores: tuple[Member, ...] = ()


Event = Request | Outcome | Probed | Started | ClientGone | Purge | Message | Timer | Members


# --- actions --------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Lookup:
    """Ask a store for what it holds, no fill."""

    id: int
    store: str
    timeout_ms: float


@dataclass(frozen=True, slots=True)
class Fetch:
    """Ask a store; a miss is filled from `source` (the store itself: no fill). max_age_ms 0: fresh time."""

    id: int
    store: str
    timeout_ms: float
    source: str
    rank: int = 0
    max_age_ms: float = 0.0
    join: bool = False
    source_holds_only: bool = False
    parent_keeps_none: bool = False
    renew: bool = False


@dataclass(frozen=True, slots=True)
class Cancel:
    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Ask a store for its load; the router does not."""

    store: str


@dataclass(frozen=True, slots=True)
class Refuse:
    id: int
    come_back_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Fail:
    id: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: str
    due_ms: float


@dataclass(frozen=True, slots=True)
class Subscribe:
    on: bool = True


@dataclass(frozen=True, slots=True)
class AskList:
    """Ask for the list once; the router subscribes instead."""


@dataclass(frozen=True, slots=True)
class Tell:
    """A message to one proxy, or to all where `to` is absent; the router sends none."""

    data: bytes
    to: int | None = None


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators; the router writes none."""

    text: str


Action = Lookup | Fetch | Cancel | Probe | Refuse | Fail | SetTimer | Subscribe | AskList | Tell | Log


# --- what the decisions ask of the fleet's purges


class PurgeIndex(Protocol):
    """The newest moment that any purge in force sets. Objects count from 0 here; times are Unix ms."""

    def add_one(self, object_: int, group: int, at: float, until: float) -> None:
        """Copies from before `at` are out of date up to `until`: of one object, or below 0 of a group."""

    def newest(self, cls: str, group: int, object_: int, part: int, now: float) -> float:
        """The newest moment from before which no copy may be served, 0: none."""

    def expire(self, now: float) -> int:
        """Forgets some of what has ended; gives how many."""
