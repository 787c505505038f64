"""All active purges: the index for requests, the positions, and the purges that have to be sent on.

This module does no I/O and reads no clock.

Retention: a purge is removed `active_duration_ms` after it was issued, which is the retention and a margin.
That alone would let a copy without a freshness limit, or a server that returns with old copies, outlive the
purge. So no copy older than the retention is accepted at all (`max_copy_age_ms`): any copy from before a
removed purge is older than that.

Clocks: a copy is dated by the clock of the origin, a purge by the clock of its issuer. `skew_ms` is added to
the time of every purge, because a copy that is dated up to `skew_ms` after a purge may be from before it. The
time of a purge is limited to `MAX_AHEAD_MS` ahead of the local clock. Otherwise every copy would be too old
until the local clock reaches that time, and all requests would go to the origin. `receipt` corrects for wrong
clocks. `CLOCK_MARGIN_MS` is added to the retention, so that a clock step ends no purge and no loss early.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from ..control_plane.positions import Positions, Stream, Vector
from .index import Index, UnsupportedPatternError
from .low_watermark import LowWatermark
from .purge import Purge, PurgeId, check_purge
from .receipt import EffectiveTimes, Receipt, effective_times
from .recent_purges import RecentPurge, RecentPurges
from .scope import Scope, parse
from .snapshot import FORMAT, ServerStart, Snapshot, decode_snapshot, select_uncovered

MAX_AHEAD_MS = 60_000.0
RETENTION_MS = 7 * 86_400_000.0
SKEW_MS = 0.0
CLOCK_MARGIN_MS = 7_200_000.0  # the largest clock error that ends no purge early


class ActivePurges:
    """The purges that are active, and how far each stream has been applied.

    Attributes: index; recent, the purges received last; positions; low_watermark; start, the latest start of
    the server whose folder this is; last_at_ms, the latest time of any purge, in Unix ms; widened_count, the
    number of purges that apply to more than their scope because their patterns cannot be indexed."""

    def __init__(
        self,
        index: Index | None = None,
        keeps_purges: bool = True,
        retention_ms: float = RETENTION_MS,
        skew_ms: float = SKEW_MS,
    ) -> None:
        """`keeps_purges`: whether purges are kept for subscribers and snapshots, and not only indexed."""
        self.index = Index() if index is None else index
        self.recent = RecentPurges()
        self.positions = Positions()
        self.low_watermark = LowWatermark()
        self.start = ServerStart()
        self.retention_ms, self.skew_ms = retention_ms, skew_ms
        self.last_at_ms = 0.0
        self.widened_count = 0
        self._keeps_purges = keeps_purges
        self._purges: dict[PurgeId, Purge] = {}
        self._by_age_ms: dict[PurgeId, float] = {}  # only where it differs from the purge's `at_ms`

    def __len__(self) -> int:
        """Returns the number of purges that are stored."""
        return len(self._purges)

    def apply(
        self, purge: Purge, now_ms: float, receipt: Receipt | None = None, by_age_ms: float = 0.0
    ) -> bool:
        """Makes a purge active, and returns whether it is new.

        `by_age_ms`: the stored value of `by_age_ms()`, or 0.0. Raises InvalidPurgeError, InvalidPositionError
        or InvalidScopeError and then changes nothing."""
        check_purge(purge)
        if self.positions.contains(purge.issuer, purge.epoch, purge.seq):
            return False
        self._activate(purge, now_ms, receipt, by_age_ms)
        self.positions.add(purge.issuer, purge.epoch, purge.seq)
        self._store(purge)
        return True

    def _store(self, purge: Purge) -> None:
        self.last_at_ms = max(self.last_at_ms, purge.at_ms)
        if self._keeps_purges:
            self._purges[purge.id] = purge

    def by_age_ms(self, purge: Purge) -> float:
        """Returns the local time of a purge, in Unix ms, or 0.0 if that is the purge's `at_ms`."""
        return self._by_age_ms.get(purge.id, 0.0)

    @property
    def active_duration_ms(self) -> float:
        """How long a purge or a loss stays active."""
        return self.retention_ms + CLOCK_MARGIN_MS

    def _activate(
        self, purge: Purge, now_ms: float, receipt: Receipt | None, stored_by_age_ms: float
    ) -> None:
        """Adds a purge to the index, unless it has expired. Raises InvalidScopeError."""
        scope = parse(purge.scope)
        latest_ms = now_ms + MAX_AHEAD_MS
        at_ms = min(purge.at_ms, latest_ms)
        if receipt is None:
            times = EffectiveTimes(at_ms, max(at_ms, min(stored_by_age_ms, latest_ms)))
        else:
            times = effective_times(at_ms, receipt, now_ms)
        if times.by_age_ms + self.skew_ms + self.active_duration_ms <= now_ms:
            return
        bounds = EffectiveTimes(times.by_date_ms + self.skew_ms, times.by_age_ms + self.skew_ms)
        self.recent.add(RecentPurge(scope, bounds, min(purge.at_ms, now_ms), now_ms))
        try:
            self._add_to_index(scope, bounds)
        except UnsupportedPatternError:
            # the issuer has accepted the purge, so it must apply; a wider scope costs fetches, a narrower one
            # would serve copies that are out of date
            self.widened_count += 1
            without_globs = tuple(box._replace(mask=0, value=0) for box in scope.boxes)
            self._add_to_index(Scope(without_globs), bounds)
        if self._keeps_purges and times.by_age_ms > purge.at_ms:
            self._by_age_ms[purge.id] = times.by_age_ms

    def _add_to_index(self, scope: Scope, bounds: EffectiveTimes) -> None:
        """`bounds` include `skew_ms`. Raises UnsupportedPatternError. Entries that were added before the
        error stay, which is correct because they are a part of the same purge."""
        by_date_ms, by_age_ms = bounds
        until_ms = by_age_ms + self.active_duration_ms
        self.index.add(scope, by_date_ms, until_ms)
        if by_age_ms > by_date_ms:
            self.index.add_by_age(scope, by_age_ms, until_ms)

    def purges_after(self, vector: Vector) -> Iterator[Purge]:
        """Returns the purges that a subscriber at a position lacks, oldest first."""
        missing = [p for p in self._purges.values() if p.seq > vector.get((p.issuer, p.epoch), 0)]
        return iter(sorted(missing, key=lambda purge: (purge.at_ms, purge.id)))

    def expire(self, now_ms: float) -> int:
        """Removes purges and losses that are no longer active. Returns the number of purges removed."""
        oldest_ms = now_ms - self.active_duration_ms - self.skew_ms
        expired = [
            purge_id
            for purge_id, purge in self._purges.items()
            if max(purge.at_ms, self._by_age_ms.get(purge_id, 0.0)) < oldest_ms
        ]
        for purge_id in expired:
            del self._purges[purge_id]
            self._by_age_ms.pop(purge_id, None)
        self.index.expire(now_ms)
        self.low_watermark.expire(now_ms, self.active_duration_ms)
        return len(expired)

    def max_copy_age_ms(self) -> float:
        """Returns the age above which no copy may be accepted, because older purges have been removed."""
        return self.retention_ms

    def low_watermark_ms(self, now_ms: float) -> float:
        """Returns the time before which copies may be older than a purge that was lost, in Unix ms; 0.0 if no
        purge is missing."""
        low_watermark_ms = self.low_watermark.value_ms(now_ms, self.active_duration_ms)
        return low_watermark_ms + self.skew_ms if low_watermark_ms else 0.0

    def snapshot(self) -> bytes:
        """Encodes the whole state. It omits purges that a newer and wider one covers; the positions include
        them."""
        vector = self.positions.vector()
        purges = select_uncovered(self._purges.values(), self.last_at_ms, self.by_age_ms)
        snapshot = Snapshot(
            FORMAT,
            [PurgeId(issuer, epoch, last) for (issuer, epoch), last in vector.items()],
            purges,
            [key for key in self._purges if key.seq > vector.get((key.issuer, key.epoch), 0)],
            self.low_watermark.losses(),
            self.start,
            [self.by_age_ms(purge) for purge in purges] if self._by_age_ms else [],
        )
        return msgspec.msgpack.encode(snapshot)

    def restore(self, payload: bytes, now_ms: float) -> None:
        """Decodes a snapshot into this state, which must be empty. Raises UnknownFormatError,
        InvalidScopeError, InvalidPurgeError, or msgspec's errors for other data."""
        snapshot = decode_snapshot(payload)
        for purge, by_age_ms in zip(snapshot.purges, snapshot.all_by_age_ms(), strict=True):
            check_purge(purge)
            self._activate(purge, now_ms, None, by_age_ms)
            self._store(purge)
        vector: dict[Stream, int] = {(issuer, epoch): last for issuer, epoch, last in snapshot.positions}
        self.positions.advance_to(vector)
        for issuer, epoch, seq in snapshot.ahead:
            self.positions.add(issuer, epoch, seq)
        self.low_watermark.merge(snapshot.losses, now_ms)
        self.start = snapshot.start
