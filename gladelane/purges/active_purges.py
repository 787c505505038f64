"""All purges in force: the index that answers, the positions, and, where they are told on, the records.

Retention. A purge is forgotten `retention_ms` after its moment. That alone would let a copy without a fresh
limit, or a server that comes back with old copies, outlive it; so no copy older than the retention is
accepted at all (`oldest_ms`): any copy from before a forgotten purge is older than that.

Clocks. A copy's date is the origin's clock, a purge's moment its issuer's. `skew_ms` is added to every
moment: a copy dated up to so long after a purge may be from before it. A moment further ahead than `AHEAD_MS`
of ours is taken as ours plus that: believed, it would make every copy too old until the clock gets there, and
send all to the origin.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec

from ..control.positions import Positions, Stream, Vector
from .horizon import Horizon, Loss
from .index import Index, UnsupportedPattern
from .order import Purge, check
from .scope import BadScope, parse

AHEAD_MS = 60_000.0
RETENTION_MS = 7 * 86_400_000.0
SKEW_MS = 0.0
KEYS_MS = 3_600_000.0  # for which an idempotency key is remembered at least
FORMAT = 1


class Stored(msgspec.Struct, array_like=True):
    """A snapshot's payload."""

    format: int
    positions: list[tuple[str, int, int]]
    purges: list[Purge]
    ahead: list[tuple[str, int, int]] = []
    losses: list[Loss] = []
    start: tuple[str, int] = ("", 0)  # of a feed: whose folder it is, and the epoch of its latest start


class ActivePurges:
    """`take` is the one way in. keep: whether records are kept, for subscribers and snapshots."""

    def __init__(
        self,
        index: Index | None = None,
        keep: bool = True,
        retention_ms: float = RETENTION_MS,
        skew_ms: float = SKEW_MS,
    ) -> None:
        self.index = Index() if index is None else index
        self.positions = Positions()
        self.horizon = Horizon()
        self.start = ("", 0)
        self.retention_ms, self.skew_ms = retention_ms, skew_ms
        self.last_at_ms = 0.0
        self.widened = 0  # purges whose patterns cannot be looked up, and bind by their prefix
        self._keep = keep
        self._purges: dict[tuple[str, int, int], Purge] = {}

    def __len__(self) -> int:
        return len(self._purges)

    def take(self, purge: Purge, now_ms: float) -> bool:
        """Whether it is new; it binds from here on. Raises BadPurge, BadPosition or BadScope and changes
        nothing."""
        check(purge)
        if self.positions.taken(purge.issuer, purge.epoch, purge.seq):
            return False
        self._bind(purge, now_ms)
        self.positions.take(purge.issuer, purge.epoch, purge.seq)
        self.last_at_ms = max(self.last_at_ms, purge.at_ms)
        if self._keep:
            self._purges[purge.issuer, purge.epoch, purge.seq] = purge
        return True

    def _bind(self, purge: Purge, now_ms: float) -> None:
        scope = parse(purge.scope)
        at = min(purge.at_ms, now_ms + AHEAD_MS) + self.skew_ms
        until = at + self.retention_ms
        if until <= now_ms:
            return
        try:
            self.index.add(scope, at, until)
        except UnsupportedPattern:
            # its issuer took it, so it stands: wider than asked costs fetches, narrower would be an exam
            # error
            self.widened += 1
            plain = tuple(box._replace(mask=0, value=0) for box in scope.boxes)
            self.index.add(type(scope)(plain), at, until)

    def beyond(self, vector: Vector) -> Iterator[Purge]:
        """Those that a subscriber at a position lacks, oldest first."""
        lacking = [p for p in self._purges.values() if p.seq > vector.get((p.issuer, p.epoch), 0)]
        return iter(sorted(lacking, key=lambda p: (p.at_ms, p.issuer, p.epoch, p.seq)))

    def recorded(self, issuer: str, epoch: int, seq: int) -> Purge | None:
        return self._purges.get((issuer, epoch, seq))

    def forget(self, now_ms: float) -> int:
        """Drops records past the retention, and what the index holds of them; gives how many records went."""
        past = now_ms - self.retention_ms - self.skew_ms
        gone = [name for name, purge in self._purges.items() if purge.at_ms < past]
        for name in gone:
            del self._purges[name]
        self.index.expire(now_ms)
        self.horizon.forget(now_ms, self.retention_ms)
        return len(gone)

    def oldest_ms(self) -> float:
        """The oldest copy that may be accepted of anything: nothing older can be vouched for."""
        return self.retention_ms

    def known_since(self, now_ms: float) -> float:
        """Copies from before this moment may be older than a purge that nobody here knows; 0: none is."""
        moment = self.horizon.moment(now_ms, self.retention_ms)
        return moment + self.skew_ms if moment else 0.0

    # --- snapshots

    def snapshot(self) -> bytes:
        """The whole state; a purge that a newer, wider one covers is left out, its number counts as taken."""
        kept = self._uncovered()
        positions = [(issuer, epoch, last) for (issuer, epoch), last in self.positions.vector().items()]
        ahead = [(i, e, s) for i, e, s in self._purges if s > self.positions.vector().get((i, e), 0)]
        return msgspec.msgpack.encode(
            Stored(FORMAT, positions, kept, ahead, self.horizon.losses(), self.start)
        )

    def restore(self, payload: bytes, now_ms: float) -> None:
        """Into an empty one. Raises BadScope, BadPurge, or msgspec's errors for what no snapshot of ours
        is."""
        stored: Stored = msgspec.msgpack.decode(payload, type=Stored)
        if stored.format != FORMAT:
            raise BadScope(str(stored.format), "an unknown format of snapshots", str(FORMAT))
        for purge in stored.purges:
            check(purge)
            self._bind(purge, now_ms)
            self.last_at_ms = max(self.last_at_ms, purge.at_ms)
            if self._keep:
                self._purges[purge.issuer, purge.epoch, purge.seq] = purge
        vector: dict[Stream, int] = {(issuer, epoch): last for issuer, epoch, last in stored.positions}
        self.positions.adopt(vector)
        for issuer, epoch, seq in stored.ahead:
            self.positions.take(issuer, epoch, seq)
        self.horizon.tell(stored.losses, now_ms)
        self.start = stored.start

    def _uncovered(self) -> list[Purge]:
        """Newest first, each against an index of those already kept."""
        seen = Index()
        kept: list[Purge] = []
        for purge in sorted(self._purges.values(), key=lambda p: -p.at_ms):
            scope = parse(purge.scope)
            young = purge.key and purge.at_ms > self.last_at_ms - KEYS_MS  # its key may be used again
            if not young and all(seen.covers(box, purge.at_ms) for box in scope.boxes):
                continue
            kept.append(purge)
            if not any(box.mask for box in scope.boxes):
                seen.add(scope, purge.at_ms)
        return kept


def merged(streams: Iterable[Vector]) -> dict[Stream, int]:
    """The furthest that any of several has come."""
    most: dict[Stream, int] = {}
    for vector in streams:
        for stream, last in vector.items():
            most[stream] = max(most.get(stream, 0), last)
    return most
