"""The snapshot of all active purges as it is stored. The field order is the stored form."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from .index import Index
from .low_watermark import Loss
from .purge import Purge, PurgeId
from .scope import InvalidScopeError, parse

FORMAT = 1
KEYS_MS = 3_600_000.0  # for which an idempotency key is remembered at least


class UnknownFormatError(InvalidScopeError):
    """A snapshot of another version. It is reported as other invalid stored data is."""

    def __init__(self, found: int) -> None:
        """`found`: the format that the snapshot says."""
        super().__init__(str(found), "an unknown format of snapshots", str(FORMAT))


class ServerStart(NamedTuple):
    """The server to which a folder belongs, empty if none, and the epoch of its latest start."""

    name: str = ""
    epoch: int = 0


class Snapshot(msgspec.Struct, array_like=True):
    """The stored state.

    Attributes: positions, the last of each stream; ahead, purges beyond a gap; by_age_ms, for each purge the
    moment by the local clock, 0.0 for its own moment, and an empty list if that holds for all."""

    format: int
    positions: list[PurgeId]
    purges: list[Purge]
    ahead: list[PurgeId] = []
    losses: list[Loss] = []
    start: ServerStart = ServerStart()
    by_age_ms: list[float] = []

    def moments(self) -> list[float]:
        """Returns `by_age_ms`, filled up for all purges."""
        return self.by_age_ms or [0.0] * len(self.purges)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Raises UnknownFormatError, or msgspec's errors for other data."""
    snapshot: Snapshot = msgspec.msgpack.decode(payload, type=Snapshot)
    if snapshot.format != FORMAT:
        raise UnknownFormatError(snapshot.format)
    return snapshot


def uncovered(purges: Iterable[Purge], last_at_ms: float, by_age_ms: Callable[[Purge], float]) -> list[Purge]:
    """Returns the purges that no newer and wider purge covers, newest first.

    A purge whose idempotency key may still be used is always included. `last_at_ms`: the latest moment of all
    purges; `by_age_ms`: returns a purge's moment by the local clock, or 0.0."""
    index = Index()
    selected: list[Purge] = []
    for purge in sorted(purges, key=lambda purge: -purge.at_ms):
        scope = parse(purge.scope)
        key_is_in_use = purge.key and purge.at_ms > last_at_ms - KEYS_MS
        binds_ms = max(purge.at_ms, by_age_ms(purge))
        if not key_is_in_use and all(index.covers(box, binds_ms) for box in scope.boxes):
            continue
        selected.append(purge)
        if not any(box.mask for box in scope.boxes):  # `Index.covers` does not consider globs
            index.add(scope, purge.at_ms)
    return selected
