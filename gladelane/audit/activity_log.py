"""A director's activity log: what it did under which view, as a sequence of intervals. Pure.

An interval lasts from one change of the director's view to the next. It counts attempts and answers by
request class. An attempt counts under the view at its first byte, and carries the number of that interval.
Each interval has a seal over its content and the seal before it, so anyone who has its neighbours detects an
interval that was altered, removed or inserted.

The log is bounded. It drops first the oldest intervals that a control server has stored, then the oldest that
none has; a `LostIntervals` record remains of the latter, and the audit answers *unknown* for them. The work
of a killed director after its last checkpoint is unknown as well.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from hashlib import blake2b
from typing import Literal

import msgspec

from .view import DIGEST_BYTES

INTERVAL_OVERHEAD_BYTES = 120  # of an interval in memory, beside its classes
CLASS_BYTES = 24
End = Literal["", "open", "stopped"]
Totals = Mapping[str, list[int]]  # served, refused, failed since the process started, by class


class ClassCounts(msgspec.Struct, array_like=True):
    """What an interval counted of one request class. `older` are answers to attempts that were sent under an
    earlier view. Fields are stored by their position."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    older: int = 0


class ActivityInterval(msgspec.Struct, frozen=True, array_like=True):
    """One interval. Fields are stored and sent by their position.

    Moments are Unix ms of the director's clock, which never goes back. `view` is a `view_id`. `end` is empty
    where the next interval follows at once; "open" marks a checkpoint, which is the last interval of a killed
    process; "stopped" means that the process ended on purpose. `value` is what the answered requests earned.
    """

    number: int
    from_ms: float
    to_ms: float
    view: str
    counts: dict[str, ClassCounts]
    value: float
    end: End = ""
    seal: str = ""


class LostIntervals(msgspec.Struct, frozen=True, array_like=True):
    """A range of intervals that were dropped before a control server had them; `first` and `last` are
    included. `seal` is that of the last. Fields are stored by their position."""

    first: int
    last: int
    from_ms: float
    to_ms: float
    seal: str


def first_seal(director: str, start: int) -> str:
    """The seal that stands before the first interval of a director's start."""
    return blake2b(f"{director}:{start}".encode(), digest_size=DIGEST_BYTES).hexdigest()


def sealed(before: str, interval: ActivityInterval) -> ActivityInterval:
    """The interval with its seal, where `before` is the seal of the interval before it."""
    bare = msgspec.structs.replace(interval, seal="")
    content = before.encode() + msgspec.msgpack.encode(bare)
    return msgspec.structs.replace(bare, seal=blake2b(content, digest_size=DIGEST_BYTES).hexdigest())


def is_sealed(before: str, interval: ActivityInterval) -> bool:
    """Whether the interval's seal fits its content and the seal before it."""
    return sealed(before, interval).seal == interval.seal


def size_of(interval: ActivityInterval) -> int:
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
        most_bytes: int = 4_000_000,
    ) -> None:
        """`start` numbers the director's processes in ascending order. `view` is the id of the first view,
        `value_by_class` what an answered request of each class earns."""
        self.director, self.start, self.most_bytes = director, start, most_bytes
        self.number = 1  # of the open interval
        self.view = view
        self.value_by_class = value_by_class
        self.lost: list[LostIntervals] = []
        self.stored = 0  # the last number that one control server has
        self.copied = 0  # the last number that enough control servers have
        self._seal = first_seal(director, start)
        self._from_ms = now_ms
        self._counts: dict[str, ClassCounts] = {}
        self._totals: dict[str, tuple[int, ...]] = {}
        self._intervals: deque[ActivityInterval] = deque()
        self._bytes = 0

    def record_attempt(self, cls: str) -> int:
        """Counts an attempt whose first byte is about to leave. Returns the interval's number, which the
        attempt carries."""
        count = self._counts.get(cls)
        if count is None:
            count = self._counts[cls] = ClassCounts()
        count.sent += 1
        return self.number

    def record_answer(self, cls: str, number: int) -> None:
        """Notes that an attempt of interval `number` was the answer to its request."""
        if number != self.number:
            self._counts.setdefault(cls, ClassCounts()).older += 1

    def close_interval(self, view: str, totals: Totals, now_ms: float, end: End = "") -> ActivityInterval:
        """Closes the open interval at a change of the view to `view`, or at the end of the process."""
        interval = sealed(self._seal, self._open_interval(totals, now_ms, end))
        self._totals = {cls: tuple(row) for cls, row in totals.items()}
        self._seal = interval.seal
        self._intervals.append(interval)
        self._bytes += size_of(interval)
        self.number += 1
        self.view, self._from_ms, self._counts = view, interval.to_ms, {}
        self._drop_excess()
        return interval

    def checkpoint(self, totals: Totals, now_ms: float) -> ActivityInterval:
        """The open interval up to now."""
        return sealed(self._seal, self._open_interval(totals, now_ms, "open"))

    def _open_interval(self, totals: Totals, now_ms: float, end: End) -> ActivityInterval:
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

    def unreported(self, most: int) -> list[ActivityInterval]:
        """The oldest intervals that no control server is known to have, `most` at most."""
        found = []
        for interval in self._intervals:
            if interval.number > self.stored:
                found.append(interval)
                if len(found) == most:
                    break
        return found

    def intervals(self) -> list[ActivityInterval]:
        """All closed intervals that are still here, oldest first."""
        return list(self._intervals)

    def acknowledge(self, stored: int, copied: int) -> None:
        """One control server has all intervals up to `stored`, and enough servers have those up to `copied`.
        A server that lost its data reports a lower number, and what is still here is sent to it again."""
        self.stored = stored
        self.copied = max(self.copied, min(copied, stored))
        while self._intervals and self._intervals[0].number <= self.copied:
            self._bytes -= size_of(self._intervals.popleft())
        self.lost = [one for one in self.lost if one.last > self.copied]

    def _drop_excess(self) -> None:
        while self._bytes > self.most_bytes and len(self._intervals) > 1:
            interval = self._intervals.popleft()
            self._bytes -= size_of(interval)
            if interval.number > self.stored:
                self._record_loss(interval)

    def _record_loss(self, interval: ActivityInterval) -> None:
        first, from_ms = interval.number, interval.from_ms
        if self.lost and self.lost[-1].last + 1 == interval.number:
            preceding = self.lost.pop()
            first, from_ms = preceding.first, preceding.from_ms
        self.lost.append(LostIntervals(first, interval.number, from_ms, interval.to_ms, interval.seal))
