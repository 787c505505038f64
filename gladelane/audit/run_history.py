"""Everything that was reported about one start of a director. No I/O, no clock.

Intervals are kept encoded. Parallel arrays of their numbers and times are searched by bisection.
"""

from __future__ import annotations

from array import array
from bisect import bisect_left
from collections.abc import Iterable

import msgspec

from .activity_log import ActivityInterval, LostIntervals
from .view import View
from .wire import ClockOffset, Report

_encode = msgspec.msgpack.encode
_decoder: msgspec.msgpack.Decoder[ActivityInterval] = msgspec.msgpack.Decoder(ActivityInterval)


def is_checkpoint_of(earlier: ActivityInterval, later: ActivityInterval) -> bool:
    """Whether `earlier` is a checkpoint, and `later` a later state of the same interval."""
    if earlier.end != "open" or earlier == later or earlier.to_ms > later.to_ms:
        return False
    if (earlier.number, earlier.from_ms, earlier.view) != (later.number, later.from_ms, later.view):
        return False
    return all(
        cls in later.counts and count.sent <= later.counts[cls].sent for cls, count in earlier.counts.items()
    )


class RunHistory:
    """One start of a director. `froms_ms`, `tos_ms`, `view_ids` and the encoded intervals are parallel to
    `numbers`, which ascends."""

    __slots__ = (
        "zone",
        "numbers",
        "from_times_ms",
        "to_times_ms",
        "end_markers",
        "view_ids",
        "encoded_intervals",
        "lost",
        "open",
        "offset",
        "clock",
        "by",
        "sent_ms",
        "taken_ms",
        "current",
        "stage",
        "view",
        "last_contiguous",
    )

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.numbers = array("Q")
        self.from_times_ms = array("d")
        self.to_times_ms = array("d")
        self.end_markers: dict[int, str] = {}  # `end` by number, of intervals after which a gap follows
        self.view_ids: list[str] = []
        self.encoded_intervals: list[bytes] = []
        self.lost: list[LostIntervals] = []
        self.open: ActivityInterval | None = None
        self.offset: ClockOffset | None = None
        self.clock = self.by = ""
        self.sent_ms = self.taken_ms = 0.0  # times of the latest report
        self.current = True
        self.stage = 0
        self.view = View()
        self.last_contiguous = 0  # all intervals up to this number are stored, or known to be lost

    def interval(self, index: int) -> ActivityInterval:
        """Decodes the interval at an index."""
        return _decoder.decode(self.encoded_intervals[index])

    def intervals(self, first: int, count: int) -> list[ActivityInterval]:
        """Decodes at most `count` intervals, starting at index `first`."""
        return [self.interval(index) for index in range(first, min(first + count, len(self.numbers)))]

    def has(self, number: int) -> bool:
        """Whether the interval with this number is stored."""
        index = bisect_left(self.numbers, number)
        return index < len(self.numbers) and self.numbers[index] == number

    @property
    def started_ms(self) -> float:
        """When the first interval began; 0 if nothing is known."""
        if len(self.from_times_ms):
            return self.from_times_ms[0]
        return self.open.from_ms if self.open is not None else 0.0

    @property
    def last_known_ms(self) -> float:
        """The end of the latest interval or checkpoint."""
        ended_ms = self.to_times_ms[-1] if len(self.to_times_ms) else 0.0
        return max(ended_ms, self.open.to_ms if self.open is not None else 0.0)

    @property
    def is_running(self) -> bool:
        """Whether no stored interval shows that the process ended."""
        return not self.end_markers

    def add(self, interval: ActivityInterval) -> ActivityInterval | None:
        """Adds an interval, or replaces an earlier checkpoint of it. If an interval with the same number and
        conflicting content is stored already, that one is kept and returned."""
        numbers = self.numbers
        is_newest = not numbers or interval.number > numbers[-1]  # the usual case
        index = len(numbers) if is_newest else bisect_left(numbers, interval.number)
        if index < len(numbers) and numbers[index] == interval.number:
            return self._merge(index, interval)
        numbers.insert(index, interval.number)
        self.from_times_ms.insert(index, interval.from_ms)
        self.to_times_ms.insert(index, interval.to_ms)
        self.view_ids.insert(index, interval.view)
        self.encoded_intervals.insert(index, _encode(interval))
        if interval.end:
            self.end_markers[interval.number] = interval.end
        self._extend_contiguous()
        return None

    def _merge(self, index: int, interval: ActivityInterval) -> ActivityInterval | None:
        known = self.interval(index)
        if is_checkpoint_of(known, interval):
            self.to_times_ms[index], self.encoded_intervals[index] = interval.to_ms, _encode(interval)
            self.end_markers[interval.number] = interval.end
            if not interval.end:
                del self.end_markers[interval.number]
            return None
        return None if known == interval or is_checkpoint_of(interval, known) else known

    def add_lost(self, ranges: Iterable[LostIntervals]) -> None:
        """Adds ranges of lost intervals. A stored interval does not count as lost even if it is in such a
        range."""
        new = [lost_range for lost_range in ranges if lost_range not in self.lost]
        self.lost += new
        if new:
            self._extend_contiguous()

    def _extend_contiguous(self) -> None:
        """Moves `last_contiguous` forward over all intervals that are stored or lost."""
        index = bisect_left(self.numbers, self.last_contiguous + 1)
        while True:
            if index < len(self.numbers) and self.numbers[index] == self.last_contiguous + 1:
                self.last_contiguous += 1
                index += 1
                continue
            lost_range = next(
                (one for one in self.lost if one.first <= self.last_contiguous + 1 <= one.last), None
            )
            if lost_range is None:
                return
            self.last_contiguous = lost_range.last
            index = bisect_left(self.numbers, self.last_contiguous + 1)

    def contiguous_from(self, first: int) -> int:
        """The last number up to which all intervals from `first` on are stored."""
        if self.last_contiguous >= first - 1:
            return self.last_contiguous
        index, last = bisect_left(self.numbers, first), first - 1
        while index < len(self.numbers) and self.numbers[index] == last + 1:
            index, last = index + 1, last + 1
        return last

    def drop_before(self, index: int) -> int:
        """Drops all intervals before an index and records them as one lost range. Returns their number."""
        last = self.interval(index - 1)
        earlier_ms = [one.from_ms for one in self.lost if one.first <= last.number]
        from_ms = min([self.from_times_ms[0], *earlier_ms])
        self.lost = [one for one in self.lost if one.first > last.number]
        self.lost.insert(0, LostIntervals(1, last.number, from_ms, last.to_ms, last.seal))
        for column in (
            self.numbers,
            self.from_times_ms,
            self.to_times_ms,
            self.view_ids,
            self.encoded_intervals,
        ):
            del column[:index]
        for number in [number for number in self.end_markers if number <= last.number]:
            del self.end_markers[number]
        return index

    def update_latest(self, report: Report) -> None:
        """Updates the latest state from a report, unless a later report is known. Reports may arrive out of
        order."""
        self._narrow_offset(report)
        if self._is_outdated(report):
            return
        self.sent_ms = report.sent_ms
        self.taken_ms, self.by, self.stage = report.taken_ms, report.by, report.stage
        self.current = report.current
        if report.current:
            self.view = report.view
        if report.open is not None and (self.open is None or report.open.to_ms >= self.open.to_ms):
            self.open = report.open

    def _narrow_offset(self, report: Report) -> None:
        """Intersects the known bounds of the clock offset with those of a report. If the intersection is
        empty, a clock was adjusted, and the newer bounds replace the older ones."""
        if report.offset is None:
            return
        if self.offset is not None and self.clock and self.clock != report.clock:
            return
        known = self.offset or report.offset
        low_ms, high_ms = max(known[0], report.offset[0]), min(known[1], report.offset[1])
        self.offset = ClockOffset(low_ms, high_ms) if low_ms <= high_ms else report.offset
        self.clock = report.clock

    def _is_outdated(self, report: Report) -> bool:
        """Whether a later report is known. Reports are ordered by the director's own clock, since the clocks
        of control servers differ and are adjusted. A report that a later process sent on behalf of this one
        has no usable time of the director, so it is ordered by the time at which a control server accepted
        it."""
        if report.current and self.current and report.sent_ms and self.sent_ms:
            return report.sent_ms < self.sent_ms
        return report.taken_ms < self.taken_ms
