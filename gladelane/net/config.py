"""Checks and decodes the configuration file that GW_CONFIG names.

An invalid file is reported in one line: the key as it is in the file, its value, and what was expected.
Unknown keys are ignored.
"""

from __future__ import annotations

import json
import re
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
from .missing_keys import check_no_key_is_missing

SEED = re.compile(r"[0-9a-fA-F]{1,64}")  # int() would also accept signs, 0x and 1_0
MAX_SOCKETS = 10_000_000  # more than any system permits to a process
MAX_MEMORY_MB = 100_000_000.0  # a hundred terabytes; a larger value is in bytes, or a typing error
MAX_STREAMS = 1_000_000  # attempts on one connection
MAX_MS = 31_536_000_000.0  # a year


class ConfigError(Exception):
    """An invalid configuration, described in one line. `setting` has the details if one key is wrong."""

    def __init__(self, reason: str | BadSetting) -> None:
        super().__init__(str(reason))
        self.setting = reason if isinstance(reason, BadSetting) else None

    def in_file(self, path: str) -> ConfigError:
        """The same error with the file's name."""
        if self.setting is None:
            return ConfigError(f"{path}: {self}")
        return ConfigError(BadSetting(self.setting.key, self.setting.found, self.setting.expected, path))


class Limits(msgspec.Struct):
    """Limits on the resources of the process."""

    memory_mb: float
    sockets: int  # open file descriptors


class ConnLimits(msgspec.Struct):
    """Limits of a connection to a server."""

    max_streams: int  # attempts that may share it
    dial_timeout_ms: float
    conn_idle_ms: float  # the server closes the connection after being idle for this long


class Config(msgspec.Struct):
    """The decoded configuration file. Addresses are pairs of host and port."""

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
    """Splits an address of the form `host:port`. Raises ValueError."""
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
    "memory_mb": Field(Number(0, MAX_MEMORY_MB, exclusive_min=True)),
    "sockets": Field(Number(1, MAX_SOCKETS, integer=True)),
}
_CONN_LIMITS = {
    "max_streams": Field(Number(1, MAX_STREAMS, integer=True)),
    "dial_timeout_ms": Field(Number(0, MAX_MS, exclusive_min=True)),
    "conn_idle_ms": Field(Number(0, MAX_MS, exclusive_min=True)),
}


def read_config(data: bytes, current: bytes | None = None) -> Config:
    """Decodes the file `data`. `current` is the file in use, if there is one; the new file must have all of
    its keys. Raises ConfigError."""
    if not data.strip():
        raise ConfigError("the whole file is empty; expected a JSON object")
    try:
        raw = read_object(_decode(data), "")
        if current is not None:
            check_no_key_is_missing(raw, _decode(current))
        fields = read_fields(raw, _FIELDS)
        return Config(
            fields["name"],
            fields["listen"],
            fields["seed"],
            Limits(**read_fields(raw.get("limits"), _LIMITS, "limits")),
            fields["board"],
            _read_known(raw.get("known", MISSING)),
            _read_settings(raw.get("settings")),
            ConnLimits(**read_fields(raw["settings"]["limits"], _CONN_LIMITS, "settings.limits")),
            fields["ops"],
        )
    except BadSetting as error:
        raise ConfigError(error) from None
    except RecursionError:
        raise ConfigError("the whole file is nested too deep; expected a JSON object") from None


def _decode(data: bytes) -> Any:
    """Decodes JSON. NaN and infinities, which are not JSON but are produced by some writers, are accepted
    here, so that the check of their key can report it. Raises ConfigError."""
    try:
        return msgspec.json.decode(data)
    except msgspec.MsgspecError as error:
        reason = " ".join(str(error).split())
    try:
        return json.loads(data)
    except ValueError:
        raise ConfigError(f"the whole file is no JSON: {reason}; expected a JSON object") from None


def _read_settings(raw: Any) -> Settings:
    try:
        return settings_from_wire(raw)
    except BadSetting as error:
        raise error.within("settings") from None


#: The kinds of the required fields of a watch event, for error messages. All other fields are texts.
_EVENT_FIELD_DESCRIPTIONS = {
    "rev": "a whole number",
    "notices": "a list",
    "instances": "a list",
    "ms": "a number",
}
#: The kinds of values by msgspec's names for them, for error messages.
_KIND_DESCRIPTIONS = {
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
    """Decodes the watch events up to the start. Raises BadSetting."""
    read_object(raw, "known")
    try:
        return msgspec.convert(raw, KnownEvents)
    except msgspec.ValidationError as error:
        raise _describe_validation_error(str(error), raw) from None


def _describe_validation_error(message: str, raw: Any) -> BadSetting:
    """Converts a message of msgspec, such as ``Expected `int`, got `str` - at `$.notices[0].rev` ``, to an
    error that names the key."""
    description, _, location = message.partition(" - at `$")
    path = location.rstrip("`")
    if missing := _MISSING.fullmatch(description):
        name = missing[1]
        return BadSetting(f"known{path}.{name}", MISSING, _EVENT_FIELD_DESCRIPTIONS.get(name, "a text"))
    wrong = _WRONG_KIND.fullmatch(description)
    expected = (
        _KIND_DESCRIPTIONS.get(wrong[1], wrong[1]) if wrong else f"{description[:1].lower()}{description[1:]}"
    )
    return BadSetting(f"known{path}", _value_at(raw, path), expected)


def _value_at(raw: Any, path: str) -> Any:
    """The value at a path such as `.notices[0].rev`."""
    for name, index in re.findall(r"\.(\w+)|\[(\d+)\]", path):
        raw = raw[name] if name else raw[int(index)]
    return raw
