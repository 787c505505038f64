"""What travels between feeds, their followers and those who send purges. No I/O.

A stream of server-sent events, each one JSON object: `{"purges": [...]}` with some that the follower lacks,
oldest first, and `{"mark": "issuer:epoch=last,..."}` once it lacks none: all up to there was told on this
stream, or is past its retention. A mark comes every second also where nothing is new, so silence means that
the line is dead. With the first mark, and when they change, come `losses` (see `horizon`), the feed's `name`
and how many `copies` it answers for. A director that knows purges which a feed lacks sends it such events
(`POST /events`).
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from .horizon import Loss
from .order import Purge

MAX_BATCH = 500  # purges in one event
BATCH_BYTES = 1_000_000  # of scopes in one event
HEARTBEAT_S = 1.0  # between two marks of a stream on which nothing is new
HEARTBEAT_TIMEOUT_S = 3.0  # without a byte for so long a stream is given up


class Submit(msgspec.Struct, forbid_unknown_fields=True):
    """A purge as it is asked for. tags: names and scopes sent along, beside the feed's catalog."""

    scope: str
    tags: dict[str, str] = {}


class Vouch(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's word about all feeds: all purges from `since_ms` on are known; 0: none is missing."""

    since_ms: float
    why: str = ""


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
    losses: list[Loss] = []
    name: str = ""
    copies: int = 1


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
    horizon_ms: float = 0.0  # all purges from here on are known; 0: all that bind are
    losses: list[Loss] = []
    copies: int = 1


event_decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
vouch_decoder: msgspec.json.Decoder[Vouch] = msgspec.json.Decoder(Vouch)
submit_decoder: msgspec.json.Decoder[Submit] = msgspec.json.Decoder(Submit)
purge_decoder: msgspec.msgpack.Decoder[Purge] = msgspec.msgpack.Decoder(Purge)
encode_json = msgspec.json.encode
encode_purge = msgspec.msgpack.encode


def batches(purges: Iterable[Purge]) -> Iterator[list[Purge]]:
    """So many purges to an event, and so many bytes of scopes."""
    batch: list[Purge] = []
    size = 0
    for purge in purges:
        if batch and (len(batch) >= MAX_BATCH or size + len(purge.scope) > BATCH_BYTES):
            yield batch
            batch, size = [], 0
        batch.append(purge)
        size += len(purge.scope)
    if batch:
        yield batch
