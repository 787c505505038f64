"""A batch of log entries with the records that store them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

import msgspec

from .entries import LogEntry, LossUpdate, NewPurge, ReachedPosition
from .low_watermark import Loss
from .purge import Purge
from .snapshot import ServerStart
from .wire import encode_purge

OWN = b"\xc1"  # before a record that is not a purge; msgpack never begins with this byte


class OwnRecord(msgspec.Struct, array_like=True):
    """A record that is not a purge: the start of a server, and losses that were found or closed."""

    start: ServerStart = ServerStart()
    losses: list[Loss] = []


def encode_own(record: OwnRecord) -> bytes:
    """Returns the stored form, which `is_own` recognizes."""
    return OWN + msgspec.msgpack.encode(record)


def is_own(record: bytes) -> bool:
    """Returns whether a stored record is an OwnRecord."""
    return record.startswith(OWN)


def decode_own(record: bytes) -> OwnRecord:
    """Raises msgspec's errors."""
    return msgspec.msgpack.decode(record[len(OWN) :], type=OwnRecord)


class PreparedPurge(NamedTuple):
    """An entry with its purge, which has a number now."""

    entry: LogEntry
    purge: Purge


class Batch(NamedTuple):
    """What one commit stores. `issued`: how many purges of it were issued here."""

    entries: Sequence[LogEntry]
    purges: Sequence[PreparedPurge]
    records: Sequence[bytes]
    losses: Sequence[Loss]
    issued: int


def prepare_batch(entries: Sequence[LogEntry], issue: Callable[[NewPurge], Purge]) -> Batch:
    """Encodes entries in their order; `issue` numbers the purges that were requested here."""
    purges: list[PreparedPurge] = []
    records: list[bytes] = []
    losses: list[Loss] = []
    issued = 0
    for entry in entries:
        if isinstance(entry, ReachedPosition):
            continue
        if isinstance(entry, LossUpdate):
            if entry.losses:
                records.append(encode_own(OwnRecord(losses=entry.losses)))
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
