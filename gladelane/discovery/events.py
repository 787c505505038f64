"""Watch events of the platform's discovery service. Their fields have the names used on the wire and in the
file that GW_CONFIG names."""

from __future__ import annotations

import msgspec

from ..clock import UnixMs
from ..deployment import UNKNOWN_KEY_GROUP


class Instance(msgspec.Struct, rename="camel"):
    """A server in the endpoint list."""

    instance_id: str
    host_port: str
    zone: str
    machine_type: str
    lifecycle: str
    cell: int = UNKNOWN_KEY_GROUP
    weight: float = 1.0
    started_at_ms: UnixMs = UnixMs(0.0)
    addresses: list[str] = []  # further addresses of the server; this platform sends none


class ListChange(msgspec.Struct):
    """A change of the endpoint list. With `reset`, `instances` is the complete list."""

    instances: list[Instance]
    reset: bool = False


class PurgeEvent(msgspec.Struct):
    """A purge of one object (`asset`, 16 hex digits) or of one group (`collection`). `ms` is its date."""

    ms: UnixMs
    asset: str | None = None
    collection: int | None = None


class WatchEvent(msgspec.Struct):
    """One event of the stream. Each event has a greater revision (`rev`) than the one before it."""

    rev: int
    pool: ListChange | None = None
    flush: PurgeEvent | None = None


class KnownEvents(msgspec.Struct):
    """The events up to revision `rev` that a director's configuration file contains at its start."""

    rev: int
    notices: list[WatchEvent]


watch_event_decoder: msgspec.json.Decoder[WatchEvent] = msgspec.json.Decoder(WatchEvent)
