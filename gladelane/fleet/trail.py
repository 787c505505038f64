"""What one director did under which view: spans, each from one change of its view to the next. Pure.

A span counts by class what was sent (each attempt is counted under the view at its first byte, and carries
the span's number from there on) and what was answered. Its seal covers its content and the seal before it, so
one that is altered, left out or put in is seen by whoever holds its neighbours.

A trail is bounded. Loss order: first the oldest spans that a feed has stored, then the oldest that none has;
of the latter a `Lost` stays, so that the audit says *unknown* there. What a killed director did after its
last checkpoint is unknown as well: nothing is made up.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from hashlib import blake2b
from typing import Literal

import msgspec

from .view import DIGEST_BYTES

OVERHEAD = 120  # bytes that a span takes beside its classes
A_CLASS = 24
End = Literal["", "open", "stopped"]
Totals = Mapping[str, list[int]]  # served, refused, failed since the start, by class


class Count(msgspec.Struct, array_like=True):
    """Of one class. older: served from an attempt that was sent under an earlier view."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    older: int = 0


class Span(msgspec.Struct, frozen=True, array_like=True):
    """Unix ms of the director's clock, which never goes back. view: its name. end: empty where the next span
    follows at once; "open": as far as it had come at a checkpoint, the last one of a process that was killed;
    "stopped": the process ended on purpose. worth: earned."""

    number: int
    from_ms: float
    to_ms: float
    view: str
    counts: dict[str, Count]
    worth: float
    end: End = ""
    seal: str = ""


class Lost(msgspec.Struct, frozen=True, array_like=True):
    """Spans that were dropped before a feed had them; numbers included. seal: of the last."""

    first: int
    last: int
    from_ms: float
    to_ms: float
    seal: str


def first_seal(director: str, start: int) -> str:
    return blake2b(f"{director}:{start}".encode(), digest_size=DIGEST_BYTES).hexdigest()


def sealed(before: str, span: Span) -> Span:
    bare = msgspec.structs.replace(span, seal="")
    content = before.encode() + msgspec.msgpack.encode(bare)
    return msgspec.structs.replace(bare, seal=blake2b(content, digest_size=DIGEST_BYTES).hexdigest())


def is_sealed(before: str, span: Span) -> bool:
    return sealed(before, span).seal == span.seal


def size_of(span: Span) -> int:
    return OVERHEAD + A_CLASS * len(span.counts)


class Trail:
    """One start of one director. worths: what a served request of each class earns."""

    def __init__(
        self,
        director: str,
        start: int,
        view: str,
        worths: Mapping[str, float],
        now_ms: float,
        most_bytes: int = 4_000_000,
    ) -> None:
        self.director, self.start, self.most_bytes = director, start, most_bytes
        self.number = 1  # of the open span
        self.view = view
        self.worths = worths
        self.lost: list[Lost] = []
        self.stored = self.copied = 0  # the last number that a feed has, and that enough feeds have
        self._seal = first_seal(director, start)
        self._from_ms = now_ms
        self._counts: dict[str, Count] = {}
        self._totals: dict[str, tuple[int, ...]] = {}
        self._kept: deque[Span] = deque()
        self._bytes = 0

    def sent(self, cls: str) -> int:
        """An attempt's first byte is about to leave; the number that the attempt carries."""
        count = self._counts.get(cls)
        if count is None:
            count = self._counts[cls] = Count()
        count.sent += 1
        return self.number

    def served(self, cls: str, number: int) -> None:
        """An attempt that was sent in a span is the answer."""
        if number != self.number:
            self._counts.setdefault(cls, Count()).older += 1

    def turn(self, view: str, totals: Totals, now_ms: float, end: End = "") -> Span:
        """Closes the span at a change of the view, or at the end. totals: since the start of the process."""
        span = sealed(self._seal, self._span(totals, now_ms, end))
        self._totals = {cls: tuple(row) for cls, row in totals.items()}
        self._seal = span.seal
        self._kept.append(span)
        self._bytes += size_of(span)
        self.number += 1
        self.view, self._from_ms, self._counts = view, span.to_ms, {}
        self._shrink()
        return span

    def checkpoint(self, totals: Totals, now_ms: float) -> Span:
        """The open span as far as it has come."""
        return sealed(self._seal, self._span(totals, now_ms, "open"))

    def _span(self, totals: Totals, now_ms: float, end: End) -> Span:
        counts = {cls: msgspec.structs.replace(count) for cls, count in self._counts.items()}
        worth = 0.0
        for cls, row in totals.items():
            before = self._totals.get(cls, (0, 0, 0))
            served, refused, failed = (now - was for now, was in zip(row, before, strict=True))
            if served or refused or failed:
                count = counts.setdefault(cls, Count())
                count.served, count.refused, count.failed = served, refused, failed
                worth += served * self.worths.get(cls, 0.0)
        to_ms = max(now_ms, self._from_ms)
        return Span(self.number, self._from_ms, to_ms, self.view, counts, worth, end)

    def waiting(self, most: int) -> list[Span]:
        """The oldest that no feed is known to have."""
        found = []
        for span in self._kept:
            if span.number > self.stored:
                found.append(span)
                if len(found) == most:
                    break
        return found

    def kept(self) -> list[Span]:
        return list(self._kept)

    def acknowledged(self, stored: int, copied: int) -> None:
        """A feed has all up to `stored`, and enough feeds have all up to `copied`. One that has lost what it
        had says less: what is still here is sent again."""
        self.stored = stored
        self.copied = max(self.copied, min(copied, stored))
        while self._kept and self._kept[0].number <= self.copied:
            self._bytes -= size_of(self._kept.popleft())
        self.lost = [one for one in self.lost if one.last > self.copied]

    def _shrink(self) -> None:
        while self._bytes > self.most_bytes and len(self._kept) > 1:
            span = self._kept.popleft()
            self._bytes -= size_of(span)
            if span.number <= self.stored:
                continue
            if self.lost and self.lost[-1].last + 1 == span.number:
                first = self.lost.pop()
                self.lost.append(Lost(first.first, span.number, first.from_ms, span.to_ms, span.seal))
            else:
                self.lost.append(Lost(span.number, span.number, span.from_ms, span.to_ms, span.seal))
