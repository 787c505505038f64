"""GW_CONFIG and the notices, checked once and decoded into the values that are used.

A file that cannot be used is told in one line: the key as the file has it, what stands there, what was
expected. Keys that nobody here knows are passed over.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

import msgspec

from ..interface import Settings
from ..settings_checks import (
    MISSING,
    BadSetting,
    Field,
    Number,
    Parsed,
    Text,
    read_fields,
    read_object,
)
from ..settings_wire import settings_from_wire

MAY_GO = frozenset({"ops"})  # GW_OPS names it too
SEED = re.compile(r"[0-9a-fA-F]{1,64}")  # int() also takes signs, 0x and 1_0
MOST_SOCKETS = 10_000_000  # more than any system gives a process
MOST_MEMORY_MB = 100_000_000.0  # a hundred terabytes: the value is in bytes, or a slip
MOST_STREAMS = 1_000_000  # attempts on one connection
MOST_MS = 31_536_000_000.0  # a year


class BadConfig(Exception):
    """What is wrong, in one line; `setting` has the facts of it where one key is at fault."""

    def __init__(self, why: str | BadSetting) -> None:
        super().__init__(str(why))
        self.setting = why if isinstance(why, BadSetting) else None

    def in_file(self, path: str) -> BadConfig:
        """The same with the name of the file before it."""
        if self.setting is None:
            return BadConfig(f"{path}: {self}")
        return BadConfig(BadSetting(self.setting.key, self.setting.found, self.setting.expected, path))


class Limits(msgspec.Struct):
    memory_mb: float
    sockets: int


class Instance(msgspec.Struct, rename="camel"):
    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    lifecycle: str
    cell: int = 0
    weight: float = 1.0
    started_at_ms: float = 0.0
    addresses: list[str] = []  # further ways to reach it; this platform tells none


class Pool(msgspec.Struct):
    instances: list[Instance]
    reset: bool = False


class Flush(msgspec.Struct):
    ms: float
    asset: str | None = None
    collection: int | None = None


class Notice(msgspec.Struct):
    rev: int
    pool: Pool | None = None
    flush: Flush | None = None


class Known(msgspec.Struct):
    rev: int
    notices: list[Notice]


class ConnLimits(msgspec.Struct):
    """What the settings say of connections to caches."""

    max_streams: int
    dial_timeout_ms: float
    conn_idle_ms: float


class Config(msgspec.Struct):
    name: str
    listen: tuple[str, int]
    seed: int
    limits: Limits
    board: tuple[str, int]
    known: Known
    settings: Settings
    conn: ConnLimits
    ops: tuple[str, int] | None = None  # where operators call; older deployments name no such place


def host_port(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not (port.isascii() and port.isdecimal()) or not 0 <= int(port[:6]) < 65536:
        raise ValueError(f"{text!r} is no address; expected host:port")
    return host, int(port)


def _seed(text: str) -> int:
    if not SEED.fullmatch(text):
        raise ValueError(text)
    return int(text, 16)


_ADDRESS = Parsed("an address, as host:port", host_port)
_FIELDS = {
    "name": Field(Text()),
    "listen": Field(_ADDRESS),
    "seed": Field(Parsed("hex digits", _seed)),
    "board": Field(_ADDRESS),
    "ops": Field(
        Parsed("an address, as host:port, or an empty text", lambda t: host_port(t) if t else None), None
    ),
}
_LIMITS = {
    "memory_mb": Field(Number(0, MOST_MEMORY_MB, above=True)),
    "sockets": Field(Number(1, MOST_SOCKETS, whole=True)),
}
_CONN_LIMITS = {
    "max_streams": Field(Number(1, MOST_STREAMS, whole=True)),
    "dial_timeout_ms": Field(Number(0, MOST_MS, above=True)),
    "conn_idle_ms": Field(Number(0, MOST_MS, above=True)),
}


def read_config(data: bytes, used: bytes | None = None) -> Config:
    """`used` is the file in use: one that lacks a key which that has is not whole. Raises BadConfig."""
    if not data.strip():
        raise BadConfig("the whole file is empty; expected a JSON object")
    try:
        raw = read_object(_decode(data), "")
        if used is not None:
            _check_whole(raw, _decode(used))
        plain = read_fields(raw, _FIELDS)
        return Config(
            plain["name"],
            plain["listen"],
            plain["seed"],
            Limits(**read_fields(raw.get("limits"), _LIMITS, "limits")),
            plain["board"],
            _read_known(raw.get("known", MISSING)),
            _read_settings(raw.get("settings")),
            ConnLimits(**read_fields(raw["settings"]["limits"], _CONN_LIMITS, "settings.limits")),
            plain["ops"],
        )
    except BadSetting as error:
        raise BadConfig(error) from None
    except RecursionError:
        raise BadConfig("the whole file is nested too deep; expected a JSON object") from None


def _decode(data: bytes) -> Any:
    """Raises BadConfig. NaN and infinities are no JSON, but some writers put them in: they are read so that
    the check of their key can name it."""
    try:
        return msgspec.json.decode(data)
    except msgspec.MsgspecError as error:
        why = " ".join(str(error).split())
    try:
        return json.loads(data)
    except ValueError:
        raise BadConfig(f"the whole file is no JSON: {why}; expected a JSON object") from None


def _read_settings(raw: Any) -> Settings:
    try:
        return settings_from_wire(raw)
    except BadSetting as error:
        raise error.within("settings") from None


#: what the fields that a notice may not leave out hold; the others are texts
_NOTICE_FIELDS = {
    "rev": "a whole number",
    "notices": "a list",
    "instances": "a list",
    "ms": "a number",
}
#: msgspec's names of kinds
_KINDS = {
    "int": "a whole number",
    "float": "a number",
    "str": "a text",
    "bool": "true or false",
    "array": "a list",
    "object": "an object",
}
_MISSING = re.compile(r"Object missing required field `(\w+)`")
_WRONG_KIND = re.compile(r"Expected `(\w+)(?: \| null)?`, got .*")


def _read_known(raw: Any) -> Known:
    """The notice board's events up to the start. Raises BadSetting."""
    read_object(raw, "known")
    try:
        return msgspec.convert(raw, Known)
    except msgspec.ValidationError as error:
        raise _worded(str(error), raw) from None


def _worded(message: str, raw: Any) -> BadSetting:
    """msgspec's words in ours: ``Expected `int`, got `str` - at `$.notices[0].rev` ``."""
    what, _, place = message.partition(" - at `$")
    path = place.rstrip("`")
    if missing := _MISSING.fullmatch(what):
        name = missing[1]
        return BadSetting(f"known{path}.{name}", MISSING, _NOTICE_FIELDS.get(name, "a text"))
    wrong = _WRONG_KIND.fullmatch(what)
    expected = _KINDS.get(wrong[1], wrong[1]) if wrong else f"{what[:1].lower()}{what[1:]}"
    return BadSetting(f"known{path}", _found_at(raw, path), expected)


def _found_at(raw: Any, path: str) -> Any:
    """The value at a path such as `.notices[0].rev`."""
    for name, place in re.findall(r"\.(\w+)|\[(\d+)\]", path):
        raw = raw[name] if name else raw[int(place)]
    return raw


def _check_whole(told: Any, used: Any, where: str = "") -> None:
    """Objects only: lists are of classes, zones, notices, of which there may be fewer."""
    if not isinstance(used, Mapping):
        return
    if not isinstance(told, Mapping):
        raise BadSetting(where, told, "an object")
    for key, value in used.items():
        path = f"{where}.{key}" if where else key
        if key not in told and key not in MAY_GO:
            raise BadSetting(path, MISSING, "it as in the file in use")
        if key in told:
            _check_whole(told[key], value, path)


notice_decoder: msgspec.json.Decoder[Notice] = msgspec.json.Decoder(Notice)
