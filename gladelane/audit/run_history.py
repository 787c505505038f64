"""All that was reported of one start of a director. Pure.

Intervals are kept encoded, beside arrays of their numbers and moments that are searched by bisection.
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


def is_continued_by(one: ActivityInterval, other: ActivityInterval) -> bool:
    """Whether `one` is a checkpoint, and `other` a later state of the same interval."""
    if one.end != "open" or one == other or one.to_ms > other.to_ms:
        return False
    if (one.number, one.from_ms, one.view) != (other.number, other.from_ms, other.view):
        return False
    return all(
        cls in other.counts and count.sent <= other.counts[cls].sent for cls, count in one.counts.items()
    )


class RunHistory:
    """One start of a director. `froms_ms`, `tos_ms`, `view_ids` and the encoded intervals are parallel to
    `numbers`, which ascends."""

    __slots__ = (
        "zone",
        "numbers",
        "froms_ms",
        "tos_ms",
        "ends",
        "view_ids",
        "encoded",
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
        "upto",
    )

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.numbers = array("Q")
        self.froms_ms = array("d")
        self.tos_ms = array("d")
        self.ends: dict[int, str] = {}  # of intervals that the next one does not follow at once
        self.view_ids: list[str] = []
        self.encoded: list[bytes] = []
        self.lost: list[LostIntervals] = []
        self.open: ActivityInterval | None = None
        self.offset: ClockOffset | None = None
        self.clock = self.by = ""
        self.sent_ms = self.taken_ms = 0.0  # of the latest report
        self.current = True
        self.stage = 0
        self.view = View()
        self.upto = 0  # all intervals up to this number are here, or known to be lost

    def interval(self, index: int) -> ActivityInterval:
        """Decodes the interval at an index."""
        return _decoder.decode(self.encoded[index])

    def intervals(self, first: int, count: int) -> list[ActivityInterval]:
        """Decodes `count` intervals at most from index `first` on."""
        return [self.interval(index) for index in range(first, min(first + count, len(self.numbers)))]

    def has(self, number: int) -> bool:
        """Whether the interval of this number is here."""
        index = bisect_left(self.numbers, number)
        return index < len(self.numbers) and self.numbers[index] == number

    @property
    def began_ms(self) -> float:
        """When the first interval began; 0 if nothing is known."""
        if len(self.froms_ms):
            return self.froms_ms[0]
        return self.open.from_ms if self.open is not None else 0.0

    @property
    def last_known_ms(self) -> float:
        """The end of the last thing that is known."""
        ended_ms = self.tos_ms[-1] if len(self.tos_ms) else 0.0
        return max(ended_ms, self.open.to_ms if self.open is not None else 0.0)

    @property
    def is_running(self) -> bool:
        """Whether nothing says that the process ended."""
        return not self.ends

    def add(self, interval: ActivityInterval) -> ActivityInterval | None:
        """Adds an interval, or replaces the checkpoint that it continues. Returns a conflicting interval of
        the same number, if there is one; the first of the two stays."""
        numbers = self.numbers
        is_newest = not numbers or interval.number > numbers[-1]  # nearly always
        index = len(numbers) if is_newest else bisect_left(numbers, interval.number)
        if index < len(numbers) and numbers[index] == interval.number:
            return self._merge(index, interval)
        numbers.insert(index, interval.number)
        self.froms_ms.insert(index, interval.from_ms)
        self.tos_ms.insert(index, interval.to_ms)
        self.view_ids.insert(index, interval.view)
        self.encoded.insert(index, _encode(interval))
        if interval.end:
            self.ends[interval.number] = interval.end
        self._advance()
        return None

    def _merge(self, index: int, interval: ActivityInterval) -> ActivityInterval | None:
        known = self.interval(index)
        if is_continued_by(known, interval):
            self.tos_ms[index], self.encoded[index] = interval.to_ms, _encode(interval)
            self.ends[interval.number] = interval.end
            if not interval.end:
                del self.ends[interval.number]
            return None
        return None if known == interval or is_continued_by(interval, known) else known

    def add_lost(self, ranges: Iterable[LostIntervals]) -> None:
        """Adds ranges of lost intervals. An interval that is here nevertheless is not lost."""
        new = [one for one in ranges if one not in self.lost]
        self.lost += new
        if new:
            self._advance()

    def _advance(self) -> None:
        """Moves `upto` over all intervals that are here or lost."""
        index = bisect_left(self.numbers, self.upto + 1)
        while True:
            if index < len(self.numbers) and self.numbers[index] == self.upto + 1:
                self.upto += 1
                index += 1
                continue
            gap = next((one for one in self.lost if one.first <= self.upto + 1 <= one.last), None)
            if gap is None:
                return
            self.upto = gap.last
            index = bisect_left(self.numbers, self.upto + 1)

    def contiguous_from(self, first: int) -> int:
        """The last number up to which all intervals are here, starting at `first`."""
        if self.upto >= first - 1:
            return self.upto
        index, last = bisect_left(self.numbers, first), first - 1
        while index < len(self.numbers) and self.numbers[index] == last + 1:
            index, last = index + 1, last + 1
        return last

    def drop_before(self, index: int) -> int:
        """Drops all intervals before an index, of which a lost range remains. Returns how many."""
        last = self.interval(index - 1)
        earlier_ms = [one.from_ms for one in self.lost if one.first <= last.number]
        from_ms = min([self.froms_ms[0], *earlier_ms])
        self.lost = [one for one in self.lost if one.first > last.number]
        self.lost.insert(0, LostIntervals(1, last.number, from_ms, last.to_ms, last.seal))
        for column in (self.numbers, self.froms_ms, self.tos_ms, self.view_ids, self.encoded):
            del column[:index]
        for number in [number for number in self.ends if number <= last.number]:
            del self.ends[number]
        return index

    def update_latest(self, report: Report) -> None:
        """Takes over what the newest report says. Reports may arrive out of order."""
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
        """Bounds of one difference both hold. If they contradict each other a clock was adjusted, and the
        newer bounds count."""
        if report.offset is None:
            return
        if self.offset is not None and self.clock and self.clock != report.clock:
            return
        known = self.offset or report.offset
        low_ms, high_ms = max(known[0], report.offset[0]), min(known[1], report.offset[1])
        self.offset = ClockOffset(low_ms, high_ms) if low_ms <= high_ms else report.offset
        self.clock = report.clock

    def _is_outdated(self, report: Report) -> bool:
        """Whether a later report is known. Clocks of control servers differ and are adjusted, so reports go
        by the director's own clock; it says nothing in a report that a later process sent."""
        if report.current and self.current and report.sent_ms and self.sent_ms:
            return report.sent_ms < self.sent_ms
        return report.taken_ms < self.taken_ms
