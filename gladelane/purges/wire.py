"""What travels between feeds, their followers and those who send purges. No I/O.

A stream of server-sent events, each one JSON object: `{"purges": [...]}` with some that the follower lacks,
oldest first, and `{"mark": "issuer:epoch=last,..."}` once it lacks none: all up to there was told on this
stream, or is past its retention. A mark comes every second also where nothing is new, so silence means that
the line is dead.
"""

from __future__ import annotations

import msgspec

from .order import Purge

MOST_BODY = 65_536  # bytes of a request
A_BATCH = 500  # purges in one event
BEAT_S = 1.0
SILENT_S = 3.0


class Submit(msgspec.Struct, forbid_unknown_fields=True):
    """A purge as it is asked for. tags: names and scopes sent along, beside the feed's catalog."""

    scope: str
    tags: dict[str, str] = {}


class Accepted(msgspec.Struct):
    """It is stored. again: an earlier request with this key had asked for it."""

    issuer: str
    epoch: int
    seq: int
    at_ms: float
    scope: str
    again: bool = False


class Event(msgspec.Struct, omit_defaults=True):
    purges: list[Purge] = []
    mark: str | None = None


class Status(msgspec.Struct):
    name: str
    epoch: int
    standing: int
    positions: str
    gaps: list[str]
    followers: int
    peers: dict[str, str]
    takes: bool
    recovered: str


event_decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
submit_decoder: msgspec.json.Decoder[Submit] = msgspec.json.Decoder(Submit)
purge_decoder: msgspec.msgpack.Decoder[Purge] = msgspec.msgpack.Decoder(Purge)
encode_json = msgspec.json.encode
encode_purge = msgspec.msgpack.encode
