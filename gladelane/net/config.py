"""The configuration file that GW_CONFIG names, checked once and decoded into values.

A file that cannot be used is reported in one line: the key as the file has it, its value, what was expected.
Unknown keys are ignored.
"""

from __future__ import annotations

import json
import re
from collections.abc import Mapping
from typing import Any

import msgspec

from ..deployment.checks import (
    MISSING,
    BadSetting,
    Field,
    Number,
    Parsed,
    Text,
    read_fields,
    read_object,
)
from ..deployment.wire import settings_from_wire
from ..discovery.events import KnownEvents
from ..routing.events import Settings

OPTIONAL_KEYS = frozenset({"ops"})  # GW_OPS names it too
SEED = re.compile(r"[0-9a-fA-F]{1,64}")  # int() also takes signs, 0x and 1_0
MOST_SOCKETS = 10_000_000  # more than any system gives a process
MOST_MEMORY_MB = 100_000_000.0  # a hundred terabytes: the value is in bytes, or a slip
MOST_STREAMS = 1_000_000  # attempts on one connection
MOST_MS = 31_536_000_000.0  # a year


class ConfigError(Exception):
    """A configuration that cannot be used, in one line; `setting` has the facts where one key is wrong."""

    def __init__(self, why: str | BadSetting) -> None:
        super().__init__(str(why))
        self.setting = why if isinstance(why, BadSetting) else None

    def in_file(self, path: str) -> ConfigError:
        """The same error with the file's name."""
        if self.setting is None:
            return ConfigError(f"{path}: {self}")
        return ConfigError(BadSetting(self.setting.key, self.setting.found, self.setting.expected, path))


class Limits(msgspec.Struct):
    """Resources of the process: memory in MB, open file descriptors."""

    memory_mb: float
    sockets: int


class ConnLimits(msgspec.Struct):
    """Limits of a connection to a server: attempts that share it, ms until a dial fails or it is idle."""

    max_streams: int
    dial_timeout_ms: float
    conn_idle_ms: float


class Config(msgspec.Struct):
    """The complete configuration. Addresses are pairs of host and port."""

    name: str
    listen: tuple[str, int]
    seed: int
    limits: Limits
    discovery: tuple[str, int]
    known: KnownEvents
    settings: Settings
    conn: ConnLimits
    ops: tuple[str, int] | None = None  # the admin endpoint; older deployments have none


def host_port(text: str) -> tuple[str, int]:
    """Raises ValueError."""
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
    "memory_mb": Field(Number(0, MOST_MEMORY_MB, exclusive_min=True)),
    "sockets": Field(Number(1, MOST_SOCKETS, integer=True)),
}
_CONN_LIMITS = {
    "max_streams": Field(Number(1, MOST_STREAMS, integer=True)),
    "dial_timeout_ms": Field(Number(0, MOST_MS, exclusive_min=True)),
    "conn_idle_ms": Field(Number(0, MOST_MS, exclusive_min=True)),
}


def read_config(data: bytes, used: bytes | None = None) -> Config:
    """`used` is the file in use, whose keys the new one must have too. Raises ConfigError."""
    if not data.strip():
        raise ConfigError("the whole file is empty; expected a JSON object")
    try:
        raw = read_object(_decode(data), "")
        if used is not None:
            _check_no_key_is_missing(raw, _decode(used))
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
        raise ConfigError(error) from None
    except RecursionError:
        raise ConfigError("the whole file is nested too deep; expected a JSON object") from None


def _decode(data: bytes) -> Any:
    """Raises ConfigError. NaN and infinities, which some writers produce, are accepted here although they are
    no JSON, so that the check of their key can name it."""
    try:
        return msgspec.json.decode(data)
    except msgspec.MsgspecError as error:
        why = " ".join(str(error).split())
    try:
        return json.loads(data)
    except ValueError:
        raise ConfigError(f"the whole file is no JSON: {why}; expected a JSON object") from None


def _read_settings(raw: Any) -> Settings:
    try:
        return settings_from_wire(raw)
    except BadSetting as error:
        raise error.within("settings") from None


#: Kinds of the required fields of a watch event; all others are texts.
_EVENT_FIELDS = {
    "rev": "a whole number",
    "notices": "a list",
    "instances": "a list",
    "ms": "a number",
}
#: Kinds by msgspec's names.
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


def _read_known(raw: Any) -> KnownEvents:
    """The watch events up to the start. Raises BadSetting."""
    read_object(raw, "known")
    try:
        return msgspec.convert(raw, KnownEvents)
    except msgspec.ValidationError as error:
        raise _worded(str(error), raw) from None


def _worded(message: str, raw: Any) -> BadSetting:
    """The error for a message such as ``Expected `int`, got `str` - at `$.notices[0].rev` ``."""
    what, _, place = message.partition(" - at `$")
    path = place.rstrip("`")
    if missing := _MISSING.fullmatch(what):
        name = missing[1]
        return BadSetting(f"known{path}.{name}", MISSING, _EVENT_FIELDS.get(name, "a text"))
    wrong = _WRONG_KIND.fullmatch(what)
    expected = _KINDS.get(wrong[1], wrong[1]) if wrong else f"{what[:1].lower()}{what[1:]}"
    return BadSetting(f"known{path}", _found_at(raw, path), expected)


def _found_at(raw: Any, path: str) -> Any:
    """The value at a path such as `.notices[0].rev`."""
    for name, place in re.findall(r"\.(\w+)|\[(\d+)\]", path):
        raw = raw[name] if name else raw[int(place)]
    return raw


def _check_no_key_is_missing(new: Any, used: Any, where: str = "") -> None:
    """Raises BadSetting for a key of `used` that `new` lacks. Lists may be shorter: they are not compared."""
    if not isinstance(used, Mapping):
        return
    if not isinstance(new, Mapping):
        raise BadSetting(where, new, "an object")
    for key, value in used.items():
        path = f"{where}.{key}" if where else key
        if key not in new and key not in OPTIONAL_KEYS:
            raise BadSetting(path, MISSING, "it as in the file in use")
        if key in new:
            _check_no_key_is_missing(new[key], value, path)
