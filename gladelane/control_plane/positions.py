"""Positions, which track how far this and other servers have received streams of numbered entries. Pure.

An issuer numbers its entries from 1 in each epoch, and each start of an issuer begins a new epoch. A position
moves past an entry only once all earlier entries of its epoch were received, so that gaps are detected and
requested again. A vector holds the positions of all streams.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

from .errors import LabelledError

ISSUER_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
VECTOR_ITEM_PATTERN = re.compile(r"([^:=,]{1,64}):([0-9]{1,16})=([0-9]{1,16})", re.ASCII)
MAX_AHEAD = 200_000  # entries of one epoch that were received beyond a gap
MAX_STREAMS = 4_096  # over the epochs of all issuers
MAX_GAPS = 64  # per report
MAX_QUOTED_CHARS = 80  # of invalid input in an error message
Stream = tuple[str, int]  # issuer and epoch
Vector = Mapping[Stream, int]  # for each stream, the last number up to which all entries were received


class InvalidPositionError(LabelledError, ValueError):
    """A position or vector that is malformed or exceeds a limit, and must not be used."""

    label = "BadPosition"


class Gap(NamedTuple):
    """Missing entries of an epoch, from `first` to `last` inclusive, that are known to exist."""

    issuer: str
    epoch: int
    first: int
    last: int


class Positions:
    """Tracks the received entries of all streams, as positions and entries beyond gaps."""

    def __init__(self) -> None:
        """Starts without any received entry."""
        self._received: dict[Stream, int] = {}  # highest number without an earlier gap
        self._ahead: dict[Stream, set[int]] = {}  # numbers received beyond a gap
        self._announced: dict[Stream, int] = {}  # highest number that exists according to any server

    def contains(self, issuer: str, epoch: int, seq: int) -> bool:
        """Returns whether an entry was received."""
        stream = issuer, epoch
        return seq <= self._received.get(stream, 0) or seq in self._ahead.get(stream, ())

    def open_stream(self, issuer: str, epoch: int) -> int:
        """Makes room for the entries of a stream; returns the number up to which all were received.

        To be called before an entry is stored, since one that is stored has to be added.
        Raises InvalidPositionError if there are too many streams.
        """
        stream = issuer, epoch
        if stream not in self._received:
            if len(self._received) >= MAX_STREAMS:
                raise InvalidPositionError(f"more than {MAX_STREAMS} epochs")
            self._received[stream] = 0
        return self._received[stream]

    def add(self, issuer: str, epoch: int, seq: int) -> bool:
        """Records a received entry; returns whether it is new.

        Raises InvalidPositionError if there are too many streams or too many entries beyond a gap.
        """
        stream = issuer, epoch
        received = self.open_stream(issuer, epoch)
        ahead = self._ahead.get(stream)
        if seq == received + 1 and not ahead:  # the usual case
            self._received[stream] = seq
            return True
        if ahead is None:
            ahead = self._ahead[stream] = set()
        if seq <= received or seq in ahead:
            return False
        if len(ahead) >= MAX_AHEAD:
            raise InvalidPositionError(f"more than {MAX_AHEAD} purges past a gap")
        ahead.add(seq)
        self._received[stream] = _close_gap(received, ahead)
        return True

    def announce(self, vector: Vector) -> None:
        """Records that all entries up to a vector exist, so that those not received are gaps."""
        for stream, last in vector.items():
            self._announced[stream] = max(self._announced.get(stream, 0), last)

    def advance_to(self, vector: Vector) -> None:
        """Records that all entries up to a vector were received, as entries or as part of a snapshot."""
        for stream, last in vector.items():
            if last <= self._received.get(stream, 0):
                continue
            ahead = {seq for seq in self._ahead.get(stream, ()) if seq > last}
            self._received[stream] = _close_gap(last, ahead)
            self._ahead[stream] = ahead
        self.announce(vector)

    def vector(self) -> dict[Stream, int]:
        """Returns the positions of all streams, without those at position 0."""
        return {stream: received for stream, received in self._received.items() if received}

    def gaps(self, limit: int = MAX_GAPS) -> list[Gap]:
        """Returns up to `limit` gaps, oldest epochs first."""
        gaps: list[Gap] = []
        streams = self._received.keys() | self._announced.keys()
        for issuer, epoch in sorted(streams, key=lambda stream: (stream[1], stream[0])):
            gaps += self._stream_gaps(issuer, epoch)
            if len(gaps) >= limit:
                break
        return gaps[:limit]

    def covers(self, vector: Vector) -> bool:
        """Returns whether all entries up to a vector were received."""
        return all(self._received.get(stream, 0) >= last for stream, last in vector.items())

    def _stream_gaps(self, issuer: str, epoch: int) -> list[Gap]:
        stream = issuer, epoch
        ahead = self._ahead.get(stream, set())
        last = max(self._announced.get(stream, 0), max(ahead, default=0))
        first = self._received.get(stream, 0) + 1
        gaps: list[Gap] = []
        for seq in (*sorted(seq for seq in ahead if seq <= last), last + 1):
            if first < seq:
                gaps.append(Gap(issuer, epoch, first, seq - 1))
            first = seq + 1
        return gaps


def _close_gap(received: int, ahead: set[int]) -> int:
    """Advances a position over the entries that follow it directly, and removes these from `ahead`."""
    while received + 1 in ahead:
        received += 1
        ahead.remove(received)
    return received


def format_vector(vector: Vector) -> str:
    """Returns the text of a vector: items `issuer:epoch=last`, sorted and joined by commas."""
    return ",".join(f"{issuer}:{epoch}={last}" for (issuer, epoch), last in sorted(vector.items()))


def parse_vector(text: str) -> dict[Stream, int]:
    """Parses a text in the form of `format_vector`. Raises InvalidPositionError."""
    vector: dict[Stream, int] = {}
    for item in text.split(",") if text else ():
        match = VECTOR_ITEM_PATTERN.fullmatch(item)
        if match is None or not ISSUER_PATTERN.fullmatch(match[1]) or len(vector) >= MAX_STREAMS:
            raise InvalidPositionError(f"position {item[:MAX_QUOTED_CHARS]!r}; expected issuer:epoch=number")
        vector[match[1], int(match[2])] = int(match[3])
    return vector
