"""The stored snapshot of all active purges. Structs are stored by field order, so the order is fixed."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

import msgspec

from .index import Index
from .low_watermark import Loss
from .purge import Purge, PurgeId
from .scope import InvalidScopeError, parse

FORMAT = 1
MIN_KEY_RETENTION_MS = 3_600_000.0  # how long an idempotency key is kept at least


class UnknownFormatError(InvalidScopeError):
    """A snapshot in an unknown format version. It is reported like other invalid stored data."""

    def __init__(self, found: int) -> None:
        """`found`: the format version in the snapshot."""
        super().__init__(str(found), "an unknown format of snapshots", str(FORMAT))


class ServerStart(NamedTuple):
    """The name of the server to which a folder belongs, or empty, and the epoch of its latest start."""

    name: str = ""
    epoch: int = 0


class Snapshot(msgspec.Struct, array_like=True):
    """The stored state.

    Attributes: positions, the last purge of each stream before any gap; ahead, the purges after a gap;
    by_age_ms, the local time of each purge, 0.0 if that is the purge's `at_ms`, or an empty list if it is for
    all purges."""

    format: int
    positions: list[PurgeId]
    purges: list[Purge]
    ahead: list[PurgeId] = []
    losses: list[Loss] = []
    start: ServerStart = ServerStart()
    by_age_ms: list[float] = []

    def all_by_age_ms(self) -> list[float]:
        """Returns `by_age_ms` with one item for each purge."""
        return self.by_age_ms or [0.0] * len(self.purges)


def decode_snapshot(payload: bytes) -> Snapshot:
    """Raises UnknownFormatError, or msgspec's errors for other data."""
    snapshot: Snapshot = msgspec.msgpack.decode(payload, type=Snapshot)
    if snapshot.format != FORMAT:
        raise UnknownFormatError(snapshot.format)
    return snapshot


def select_uncovered(
    purges: Iterable[Purge], last_at_ms: float, by_age_ms: Callable[[Purge], float]
) -> list[Purge]:
    """Returns the purges that no newer and wider purge covers, newest first.

    A purge whose idempotency key may still be used is always included. `last_at_ms`: the latest time of all
    purges; `by_age_ms`: returns the local time of a purge, or 0.0."""
    index = Index()
    selected: list[Purge] = []
    for purge in sorted(purges, key=lambda purge: -purge.at_ms):
        scope = parse(purge.scope)
        is_key_in_use = purge.key and purge.at_ms > last_at_ms - MIN_KEY_RETENTION_MS
        applies_from_ms = max(purge.at_ms, by_age_ms(purge))
        if not is_key_in_use and all(index.covers(box, applies_from_ms) for box in scope.boxes):
            continue
        selected.append(purge)
        if not any(box.mask for box in scope.boxes):  # `Index.covers` ignores globs
            index.add(scope, purge.at_ms)
    return selected
