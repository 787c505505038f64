"""GW_CONFIG and the notices, decoded once by msgspec into the values that are used."""

from __future__ import annotations

from typing import Any

import msgspec

from ..interface import Settings
from ..settings_wire import settings_from_wire

MAY_GO = frozenset({"ops"})  # GW_OPS names it too


class BadConfig(Exception):
    """What is wrong, in one line."""


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


class _Raw(msgspec.Struct):
    name: str
    listen: str
    seed: str
    limits: Limits
    board: str
    known: Known
    settings: dict[str, Any]
    ops: str = ""


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
    if not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ValueError(f"{text!r} is no address; expected host:port")
    return host, int(port)


def read_config(data: bytes, used: bytes | None = None) -> Config:
    """`used` is the file in use: one that lacks a key which that has is not whole. Raises BadConfig."""
    if not data.strip():
        raise BadConfig("the whole file is empty; expected a JSON object")
    try:
        if used is not None:
            _check_whole(msgspec.json.decode(data), msgspec.json.decode(used))
        raw: _Raw = msgspec.json.decode(data, type=_Raw)
        return Config(
            raw.name,
            host_port(raw.listen),
            int(raw.seed, 16),
            raw.limits,
            host_port(raw.board),
            raw.known,
            settings_from_wire(raw.settings),
            msgspec.convert(raw.settings.get("limits"), ConnLimits),
            host_port(raw.ops) if raw.ops else None,
        )
    except RecursionError:
        raise BadConfig("the whole file is nested too deep") from None
    except (msgspec.MsgspecError, ValueError) as error:
        raise BadConfig(" ".join(str(error).split())) from None


def _check_whole(told: Any, used: Any, where: str = "") -> None:
    """Objects only: lists are of classes, zones, notices, of which there may be fewer."""
    if not isinstance(used, dict):
        return
    if not isinstance(told, dict):
        raise ValueError(f"{where or 'the whole file'} is {told!r:.40}; expected an object")
    for key, value in used.items():
        if key not in told and key not in MAY_GO:
            raise ValueError(f"{where}{key} is missing; expected it as in the file in use")
        if key in told:
            _check_whole(told[key], value, f"{where}{key}.")


notice_decoder: msgspec.json.Decoder[Notice] = msgspec.json.Decoder(Notice)
