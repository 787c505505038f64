"""The messages between purge log servers, their subscribers, and the clients that send purges.

A subscription is a stream of server-sent events, each of which is one JSON object. `{"purges": [...]}`
contains purges that the subscriber lacks, oldest first. `{"mark": "issuer:epoch=last,..."}` follows once it
lacks none: everything up to this position was sent on this stream, or is past its retention. A position is
sent every second even if nothing is new, so a stream without events means that the connection is dead. The
first position, and the first one after each change of the losses, comes with the `losses` (see
`low_watermark`), the `name` of the server, and the number of `copies` that it waits for. Each event has the
clock of the server as `sent_ms`. A director that has purges which a server lacks sends it the same events
(`POST /events`).

The names on the wire are fixed. A field whose attribute has another name sets it by `msgspec.field`.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from .low_watermark import Loss
from .purge import Purge

MAX_BATCH = 500  # purges in one event
MAX_BATCH_BYTES = 1_000_000  # of scopes in one event
HEARTBEAT_S = 1.0  # between two positions of a stream without new purges
HEARTBEAT_TIMEOUT_S = 3.0  # after which a stream that receives no byte is closed


class SubmitRequest(msgspec.Struct, forbid_unknown_fields=True):
    """A request for a purge. `tags`: scopes by name, in addition to the catalog of the server."""

    scope: str
    tags: dict[str, str] = {}


class AttestRequest(msgspec.Struct, forbid_unknown_fields=True):
    """An operator's attestation for all servers: every purge from `since_ms` on is known, in Unix ms; 0 if
    none is missing."""

    since_ms: float
    reason: str = msgspec.field(name="why", default="")


class Accepted(msgspec.Struct):
    """The response for a purge that was stored. `is_repeated`: whether an earlier request with the same key
    caused the purge."""

    issuer: str
    epoch: int
    seq: int
    at_ms: float
    scope: str
    is_repeated: bool = msgspec.field(name="again", default=False)


class Event(msgspec.Struct, omit_defaults=True):
    """An event of a subscription.

    Attributes: position, see above; name and copies, of the server; sent_ms, the server's own clock in Unix
    ms, 0.0 if unknown. The age of a purge by that clock is right even if the clock is wrong."""

    purges: list[Purge] = []
    position: str | None = msgspec.field(name="mark", default=None)
    losses: list[Loss] = []
    name: str = ""
    copies: int = 1
    sent_ms: float = 0.0


class Status(msgspec.Struct):
    """The state of a purge log server.

    Attributes: active, the number of active purges; subscribers, their number; peers, the state of the
    subscription to each; can_store, whether the disk accepted the last write; recovered, what the start read
    from the disk; low_watermark_ms, the time from which on all purges are known, in Unix ms, 0.0 if all
    active ones are."""

    name: str
    epoch: int
    active: int = msgspec.field(name="standing")
    positions: str
    gaps: list[str]
    subscribers: int = msgspec.field(name="followers")
    peers: dict[str, str]
    can_store: bool = msgspec.field(name="takes")
    recovered: str
    low_watermark_ms: float = msgspec.field(name="horizon_ms", default=0.0)
    losses: list[Loss] = []
    copies: int = 1


event_decoder: msgspec.json.Decoder[Event] = msgspec.json.Decoder(Event)
attest_decoder: msgspec.json.Decoder[AttestRequest] = msgspec.json.Decoder(AttestRequest)
submit_decoder: msgspec.json.Decoder[SubmitRequest] = msgspec.json.Decoder(SubmitRequest)
purge_decoder: msgspec.msgpack.Decoder[Purge] = msgspec.msgpack.Decoder(Purge)
encode_json = msgspec.json.encode
encode_purge = msgspec.msgpack.encode


def batches(purges: Iterable[Purge]) -> Iterator[list[Purge]]:
    """Yields purges in lists that fit into one event each."""
    batch: list[Purge] = []
    size = 0
    for purge in purges:
        if batch and (len(batch) >= MAX_BATCH or size + len(purge.scope) > MAX_BATCH_BYTES):
            yield batch
            batch, size = [], 0
        batch.append(purge)
        size += len(purge.scope)
    if batch:
        yield batch
