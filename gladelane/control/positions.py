"""How far each stream of numbered entries was taken, and how far two servers that tell each other have come.
Pure.

An issuer numbers its entries from 1 in every epoch, which is one start of it. The position moves over an
entry only once all earlier ones of its epoch were taken, so a gap is seen, and asked for again.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

ISSUER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MAX_AHEAD = 200_000  # numbers of one epoch taken beyond a gap
MAX_STREAMS = 4_096  # epochs of all issuers
Stream = tuple[str, int]  # issuer and epoch
Vector = Mapping[Stream, int]  # the last number of each stream up to which all was taken


class BadPosition(ValueError):
    """A position or a vector that cannot be: nobody may act on it."""


class Gap(NamedTuple):
    """Entries that were not taken though later ones were, or were said to exist; both ends included."""

    issuer: str
    epoch: int
    first: int
    last: int


class Positions:
    """How far each stream was taken."""

    def __init__(self) -> None:
        self._upto: dict[Stream, int] = {}
        self._ahead: dict[Stream, set[int]] = {}
        self._said: dict[Stream, int] = {}  # the last number that anyone said exists

    def taken(self, issuer: str, epoch: int, seq: int) -> bool:
        return seq <= self._upto.get((issuer, epoch), 0) or seq in self._ahead.get((issuer, epoch), ())

    def take(self, issuer: str, epoch: int, seq: int) -> bool:
        """Whether it is new. Raises BadPosition where there are too many streams or too many numbers past a
        gap."""
        stream = issuer, epoch
        upto = self._upto.get(stream)
        if upto is None:
            if len(self._upto) >= MAX_STREAMS:
                raise BadPosition(f"more than {MAX_STREAMS} epochs")
            upto = self._upto[stream] = 0
        ahead = self._ahead.get(stream)
        if seq == upto + 1 and not ahead:  # nearly always
            self._upto[stream] = seq
            return True
        if ahead is None:
            ahead = self._ahead[stream] = set()
        if seq <= upto or seq in ahead:
            return False
        if len(ahead) >= MAX_AHEAD:
            raise BadPosition(f"more than {MAX_AHEAD} purges past a gap")
        ahead.add(seq)
        while upto + 1 in ahead:
            upto += 1
            ahead.remove(upto)
        self._upto[stream] = upto
        return True

    def said(self, vector: Vector) -> None:
        """Somebody has come so far: what lacks up to there is a gap."""
        for stream, last in vector.items():
            self._said[stream] = max(self._said.get(stream, 0), last)

    def adopt(self, vector: Vector) -> None:
        """All up to there was told, or is covered by what was: a snapshot was read whole."""
        for stream, last in vector.items():
            if last <= self._upto.get(stream, 0):
                continue
            self._upto[stream] = last
            ahead = {seq for seq in self._ahead.get(stream, ()) if seq > last}
            while self._upto[stream] + 1 in ahead:
                self._upto[stream] += 1
                ahead.remove(self._upto[stream])
            self._ahead[stream] = ahead
        self.said(vector)

    def vector(self) -> dict[Stream, int]:
        return {stream: upto for stream, upto in self._upto.items() if upto}

    def gaps(self, most: int = 64) -> list[Gap]:
        """What lacks, oldest epochs first."""
        found: list[Gap] = []
        for issuer, epoch in sorted(self._upto.keys() | self._said.keys(), key=lambda s: (s[1], s[0])):
            stream = issuer, epoch
            upto, ahead = self._upto.get(stream, 0), self._ahead.get(stream, set())
            last = max(self._said.get(stream, 0), max(ahead, default=0))
            first = upto + 1
            for seq in (*sorted(seq for seq in ahead if seq <= last), last + 1):
                if first < seq:
                    found.append(Gap(issuer, epoch, first, seq - 1))
                first = seq + 1
            if len(found) >= most:
                break
        return found[:most]

    def reaches(self, vector: Vector) -> bool:
        """Whether all that a vector names was taken."""
        return all(self._upto.get(stream, 0) >= last for stream, last in vector.items())


def vector_text(vector: Vector) -> str:
    """`issuer:epoch=last`, joined by commas, sorted."""
    return ",".join(f"{issuer}:{epoch}={last}" for (issuer, epoch), last in sorted(vector.items()))


def read_vector(text: str) -> dict[Stream, int]:
    """Raises BadPosition."""
    vector: dict[Stream, int] = {}
    for item in text.split(",") if text else ():
        found = re.fullmatch(r"([^:=,]{1,64}):([0-9]{1,16})=([0-9]{1,16})", item, re.ASCII)
        if found is None or not ISSUER.fullmatch(found[1]) or len(vector) >= MAX_STREAMS:
            raise BadPosition(f"position {item[:80]!r}; expected issuer:epoch=number")
        vector[found[1], int(found[2])] = int(found[3])
    return vector
