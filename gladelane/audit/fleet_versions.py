"""The versions that were announced to the fleet, and when, by one control server's clock. No I/O, no clock.

A revision of the endpoint list counts as announced when the first director reports it, a purge or a new low
watermark when this control server stores it, and an operator's decision at the time that it names, but not
before it arrives here.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_right
from collections.abc import Iterable

from ..control_plane.positions import InvalidPositionError, Stream, Vector, format_vector
from .view import View, parse_positions
from .view_lease import MissingParts
from .wire import ExpectedDigests

MAX_REVISIONS = 4_096  # remembered revisions of one list source
MAX_STREAM_TIMES = 100_000  # remembered times of one stream's purges


class _RevisionHistory:
    """The revisions of one list source, ascending, and when each was first reported."""

    def __init__(self) -> None:
        self.revisions: list[int] = []
        self.announced_ms: list[float] = []

    def add(self, rev: int, now_ms: float) -> None:
        if self.revisions and rev <= self.revisions[-1]:
            return
        self.revisions.append(rev)
        self.announced_ms.append(now_ms)
        if len(self.revisions) > MAX_REVISIONS:
            del self.revisions[: MAX_REVISIONS // 2], self.announced_ms[: MAX_REVISIONS // 2]

    def first_after(self, rev: int) -> float | None:
        """When the first revision after `rev` was announced."""
        index = bisect_right(self.revisions, rev)
        return self.announced_ms[index] if index < len(self.revisions) else None


class _StreamHistory:
    """When each purge of one stream was stored, starting with number `first`."""

    def __init__(self, first: int) -> None:
        self.first = first
        self.stored_ms = array("d")

    def add(self, count: int, now_ms: float) -> None:
        self.stored_ms.extend([now_ms] * count)
        excess = len(self.stored_ms) - MAX_STREAM_TIMES // 2
        if len(self.stored_ms) > MAX_STREAM_TIMES:
            self.first += excess
            self.stored_ms = self.stored_ms[excess:]


class FleetVersions:
    """The versions that every director should have, each with the time of its announcement. All times are ms
    of the caller's clock."""

    def __init__(self, now_ms: float) -> None:
        self.purges: dict[Stream, int] = {}
        self.low_watermark_ms, self._low_watermark_since_ms = 0.0, now_ms
        self.expects: dict[str, ExpectedDigests] = {}  # by part
        self._expected_since_ms: dict[str, float] = {}
        self._started_ms = now_ms
        self._lists: dict[str, _RevisionHistory] = {}
        self._streams: dict[Stream, _StreamHistory] = {}

    def announce_list(self, list_source: str, rev: int, now_ms: float) -> None:
        """Records that a director reported this revision."""
        self._lists.setdefault(list_source, _RevisionHistory()).add(rev, now_ms)

    def announce_purges(self, vector: Vector, now_ms: float) -> None:
        """Records that this control server has stored all purges of `vector`."""
        for stream, last in vector.items():
            known = self.purges.get(stream, 0)
            if last <= known:
                continue
            history = self._streams.setdefault(stream, _StreamHistory(known + 1))
            history.add(last - known, now_ms)
            self.purges[stream] = last

    def announce_low_watermark(self, low_watermark_ms: float, now_ms: float) -> None:
        """Records that this control server has stored a low watermark."""
        if low_watermark_ms != self.low_watermark_ms:
            self.low_watermark_ms, self._low_watermark_since_ms = low_watermark_ms, now_ms

    def expect(self, expected: ExpectedDigests, now_ms: float) -> bool:
        """Records an operator's decision. Returns False if a later decision on the same part is known. It
        takes effect on arrival at the earliest, since its own time is of another machine's clock."""
        known = self.expects.get(expected.part)
        if known is not None:
            if (known.since_ms, known.digests) >= (expected.since_ms, expected.digests):
                return False
        self.expects[expected.part] = expected
        self._expected_since_ms[expected.part] = now_ms
        return True

    def missing_since(self, view: View) -> dict[str, float]:
        """The parts that a view lacks, each with the time at which it was announced."""
        found: dict[str, float] = {}
        history = self._lists.get(view.list_source)
        if history is not None and (since_ms := history.first_after(view.rev)) is not None:
            found["list"] = since_ms
        since_ms = self._purges_missing_since(view)
        if since_ms < math.inf:
            found["purges"] = since_ms
        if view.low_watermark_ms < self.low_watermark_ms:
            found["horizon"] = self._low_watermark_since_ms
        for part, expected in self.expects.items():
            if expected.digests and getattr(view, part) not in expected.digests:
                found[part] = max(expected.since_ms, self._expected_since_ms[part])
        return found

    def _purges_missing_since(self, view: View) -> float:
        """When the first purge was stored that the view lacks; infinity if it lacks none."""
        try:
            vector = parse_positions(view.purges)
        except InvalidPositionError:
            return self._started_ms
        since_ms = math.inf
        for stream, last in self.purges.items():
            next_number = vector.get(stream, 0) + 1
            if next_number > last:
                continue
            history = self._streams[stream]
            is_remembered = next_number >= history.first
            announced_ms = (
                history.stored_ms[next_number - history.first] if is_remembered else self._started_ms
            )
            since_ms = min(since_ms, announced_ms)
        return since_ms

    def required_for(self, view: View, parts: Iterable[str]) -> MissingParts:
        """The minimum that a view must have so that it lacks none of `parts`."""
        parts = set(parts)
        digests = {part: expected.digests for part, expected in self.expects.items() if part in parts}
        history = self._lists.get(view.list_source)
        latest_rev = history.revisions[-1] if history is not None and history.revisions else 0
        return MissingParts(
            list_source=view.list_source,
            rev=latest_rev if "list" in parts else 0,
            purges=format_vector(self.purges) if "purges" in parts else "",
            low_watermark_ms=self.low_watermark_ms if "horizon" in parts else 0.0,
            list="",
            **digests,
        )
