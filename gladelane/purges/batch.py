"""A batch of log entries, and the records as which it is stored."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from .entries import LogEntry, LossUpdate, NewPurge, ReachedPosition
from .low_watermark import Loss
from .purge import Purge
from .snapshot import ServerStart
from .wire import encode_purge

SERVER_RECORD_PREFIX = b"\xc1"  # marks a record that is not a purge; msgpack never begins with this byte


class ServerRecord(msgspec.Struct, array_like=True):
    """A record that is not a purge: a start of the server, and losses that were detected or closed."""

    start: ServerStart = ServerStart()
    losses: list[Loss] = []


def encode_server_record(record: ServerRecord) -> bytes:
    """Encodes a record with the prefix by which `is_server_record` recognizes it."""
    return SERVER_RECORD_PREFIX + msgspec.msgpack.encode(record)


def is_server_record(record: bytes) -> bool:
    """Returns whether a stored record is a ServerRecord."""
    return record.startswith(SERVER_RECORD_PREFIX)


def decode_server_record(record: bytes) -> ServerRecord:
    """Decodes a record with its prefix. Raises msgspec's errors."""
    return msgspec.msgpack.decode(record[len(SERVER_RECORD_PREFIX) :], type=ServerRecord)


class PreparedPurge(NamedTuple):
    """An entry and its purge, which has a sequence number."""

    entry: LogEntry
    purge: Purge


class Batch(NamedTuple):
    """What one commit stores. `issued`: the number of purges that this server issued."""

    entries: Sequence[LogEntry]
    purges: Sequence[PreparedPurge]
    records: Sequence[bytes]
    losses: Sequence[Loss]
    issued: int


def prepare_batch(entries: Sequence[LogEntry], issue: Callable[[NewPurge], Purge]) -> Batch:
    """Encodes entries in their order. `issue` assigns sequence numbers to the purges that were requested from
    this server."""
    purges: list[PreparedPurge] = []
    records: list[bytes] = []
    losses: list[Loss] = []
    issued = 0
    for entry in entries:
        if isinstance(entry, ReachedPosition):
            continue
        if isinstance(entry, LossUpdate):
            if entry.losses:
                records.append(encode_server_record(ServerRecord(losses=entry.losses)))
                losses += entry.losses
            continue
        if isinstance(entry, NewPurge):
            purge = issue(entry)
            issued += 1
        else:
            purge = entry.purge
        purges.append(PreparedPurge(entry, purge))
        records.append(encode_purge(purge))
    return Batch(entries, purges, records, losses, issued)
