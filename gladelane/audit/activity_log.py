"""A director's activity log: what it did under which view, as a sequence of intervals. No I/O, no clock.

An interval lasts from one change of the director's view to the next. It counts attempts and answers by
request class. An attempt counts under the view that is current when its first byte is sent, and carries
the number of that interval. The intervals form a hash chain: the seal of each is a hash of its content and of
the preceding seal, so an interval that was altered, removed or inserted is detected from its neighbours.

The log is bounded. It drops the oldest intervals first. A `LostIntervals` record replaces those that no
control server had stored, and the audit answers *unknown* for them. The work of a killed director after its
last checkpoint is unknown as well.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from hashlib import blake2b
from typing import Literal

import msgspec

from .view import DIGEST_BYTES

INTERVAL_OVERHEAD_BYTES = 120  # memory of an interval without its class counts
CLASS_BYTES = 24  # memory of one class's counts
IntervalEnd = Literal["", "open", "stopped"]
ClassTotals = Mapping[str, list[int]]  # by class: served, refused and failed since the process started


class ClassCounts(msgspec.Struct, array_like=True):
    """Counts of one request class in one interval. `sent_earlier` counts the responses to attempts that were
    sent under an earlier view. Fields are stored by their position."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    sent_earlier: int = 0


class ActivityInterval(msgspec.Struct, frozen=True, array_like=True):
    """One interval. Fields are stored and sent by their position.

    Times are Unix ms of the director's clock, which never goes back. `view` is a `view_id`. `end` is empty if
    the next interval follows without a gap; "open" marks a checkpoint, which is the last interval of a killed
    process; "stopped" means that the process was shut down in order. `value` is the total value of the
    requests that were served.
    """

    number: int
    from_ms: float
    to_ms: float
    view: str
    counts: dict[str, ClassCounts]
    value: float
    end: IntervalEnd = ""
    seal: str = ""


class LostIntervals(msgspec.Struct, frozen=True, array_like=True):
    """A range of intervals that were dropped before a control server had them; `first` and `last` are
    included. `seal` is the seal of the last one. Fields are stored by their position."""

    first: int
    last: int
    from_ms: float
    to_ms: float
    seal: str


def first_seal(director: str, start: int) -> str:
    """The seal that precedes the first interval of a director's start."""
    return blake2b(f"{director}:{start}".encode(), digest_size=DIGEST_BYTES).hexdigest()


def with_seal(before: str, interval: ActivityInterval) -> ActivityInterval:
    """The interval with its seal; `before` is the seal of the preceding interval."""
    bare = msgspec.structs.replace(interval, seal="")
    content = before.encode() + msgspec.msgpack.encode(bare)
    return msgspec.structs.replace(bare, seal=blake2b(content, digest_size=DIGEST_BYTES).hexdigest())


def is_seal_valid(before: str, interval: ActivityInterval) -> bool:
    """Whether the interval's seal matches its content and the preceding seal `before`."""
    return with_seal(before, interval).seal == interval.seal


def estimate_bytes(interval: ActivityInterval) -> int:
    """The approximate memory of an interval, in bytes."""
    return INTERVAL_OVERHEAD_BYTES + CLASS_BYTES * len(interval.counts)


class ActivityLog:
    """The activity log of one start of one director."""

    def __init__(
        self,
        director: str,
        start: int,
        view: str,
        value_by_class: Mapping[str, float],
        now_ms: float,
        max_bytes: int = 4_000_000,
    ) -> None:
        """`start` numbers the director's processes in ascending order. `view` is the id of the first view,
        `value_by_class` the value of one served request of each class."""
        self.director, self.start, self.max_bytes = director, start, max_bytes
        self.number = 1  # of the open interval
        self.view = view
        self.value_by_class = value_by_class
        self.lost: list[LostIntervals] = []
        self.stored = 0  # last number up to which one control server has all intervals
        self.copied = 0  # last number up to which enough control servers have all intervals
        self._seal = first_seal(director, start)
        self._from_ms = now_ms
        self._counts: dict[str, ClassCounts] = {}
        self._totals: dict[str, tuple[int, ...]] = {}
        self._intervals: deque[ActivityInterval] = deque()
        self._bytes = 0

    def record_attempt(self, cls: str) -> int:
        """Counts an attempt whose first byte is about to be sent. Returns the number of the interval, which
        the attempt keeps."""
        count = self._counts.get(cls)
        if count is None:
            count = self._counts[cls] = ClassCounts()
        count.sent += 1
        return self.number

    def record_answer(self, cls: str, number: int) -> None:
        """Counts the response to a request, given by an attempt that was sent in interval `number`."""
        if number != self.number:
            self._counts.setdefault(cls, ClassCounts()).sent_earlier += 1

    def close_interval(
        self, view: str, totals: ClassTotals, now_ms: float, end: IntervalEnd = ""
    ) -> ActivityInterval:
        """Closes the open interval at a change of the view to `view`, or at the end of the process."""
        interval = with_seal(self._seal, self._open_interval(totals, now_ms, end))
        self._totals = {cls: tuple(row) for cls, row in totals.items()}
        self._seal = interval.seal
        self._intervals.append(interval)
        self._bytes += estimate_bytes(interval)
        self.number += 1
        self.view, self._from_ms, self._counts = view, interval.to_ms, {}
        self._drop_excess()
        return interval

    def checkpoint(self, totals: ClassTotals, now_ms: float) -> ActivityInterval:
        """The open interval as it is at `now_ms`."""
        return with_seal(self._seal, self._open_interval(totals, now_ms, "open"))

    def _open_interval(self, totals: ClassTotals, now_ms: float, end: IntervalEnd) -> ActivityInterval:
        counts = {cls: msgspec.structs.replace(count) for cls, count in self._counts.items()}
        value = 0.0
        for cls, row in totals.items():
            before = self._totals.get(cls, (0, 0, 0))
            served, refused, failed = (now - was for now, was in zip(row, before, strict=True))
            if served or refused or failed:
                count = counts.setdefault(cls, ClassCounts())
                count.served, count.refused, count.failed = served, refused, failed
                value += served * self.value_by_class.get(cls, 0.0)
        to_ms = max(now_ms, self._from_ms)
        return ActivityInterval(self.number, self._from_ms, to_ms, self.view, counts, value, end)

    def unreported(self, max_intervals: int) -> list[ActivityInterval]:
        """The oldest intervals that no control server is known to have; at most `max_intervals` of them."""
        found = []
        for interval in self._intervals:
            if interval.number > self.stored:
                found.append(interval)
                if len(found) == max_intervals:
                    break
        return found

    def intervals(self) -> list[ActivityInterval]:
        """All closed intervals that are still in the log, oldest first."""
        return list(self._intervals)

    def acknowledge(self, stored: int, copied: int) -> None:
        """Records that one control server has all intervals up to `stored`, and that enough servers have all
        up to `copied`. A server that lost its data reports a lower `stored`, so that the intervals which are
        still in the log are sent again."""
        self.stored = stored
        self.copied = max(self.copied, min(copied, stored))
        while self._intervals and self._intervals[0].number <= self.copied:
            self._bytes -= estimate_bytes(self._intervals.popleft())
        self.lost = [lost_range for lost_range in self.lost if lost_range.last > self.copied]

    def _drop_excess(self) -> None:
        while self._bytes > self.max_bytes and len(self._intervals) > 1:
            interval = self._intervals.popleft()
            self._bytes -= estimate_bytes(interval)
            if interval.number > self.stored:
                self._record_loss(interval)

    def _record_loss(self, interval: ActivityInterval) -> None:
        first, from_ms = interval.number, interval.from_ms
        if self.lost and self.lost[-1].last + 1 == interval.number:
            preceding = self.lost.pop()
            first, from_ms = preceding.first, preceding.from_ms
        self.lost.append(LostIntervals(first, interval.number, from_ms, interval.to_ms, interval.seal))
