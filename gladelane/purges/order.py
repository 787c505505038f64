"""Purges by issuer, epoch and sequence: what was taken, what lacks, and how far two who tell each other have
come.

Each issuer numbers its purges from 1 in every epoch; an epoch begins whenever the issuer starts, and is later
than all before it. So an issuer that came back from an older disk goes on in a new epoch and never gives one
number to two purges. A purge binds as soon as it is heard: bounds are joins of moments, which no order
changes (`bounds`), and holding one back until an earlier one is found would only serve old copies for longer.
What is kept in order is the position: it moves over a purge only once all earlier ones of its epoch were
taken, so a gap is seen, and asked for again.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from .scope import MOST_TEXT

ISSUER = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
MOST_AHEAD = 200_000  # numbers of one epoch taken beyond a gap
MOST_STREAMS = 4_096  # epochs of all issuers
Stream = tuple[str, int]  # issuer and epoch
Vector = Mapping[Stream, int]


class Purge(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One purge as it travels and is stored. at_ms: the issuer's Unix clock, which never goes back within
    what it issued; scope: canonical; key: the sender's idempotency key."""

    issuer: str
    epoch: int
    seq: int
    at_ms: float
    scope: str
    key: str = ""


class Gap(NamedTuple):
    """Purges that were not taken though later ones were, or were said to exist; both ends included."""

    issuer: str
    epoch: int
    first: int
    last: int


class BadPurge(ValueError):
    """A purge or a vector that cannot be: nobody may act on it."""


def check(purge: Purge) -> None:
    """Raises BadPurge."""
    if not ISSUER.fullmatch(purge.issuer):
        raise BadPurge(f"issuer {purge.issuer[:70]!r}; expected a name of letters, digits, . _ -")
    if not (0 < purge.epoch < 2**53 and 0 < purge.seq < 2**53):
        raise BadPurge(f"epoch {purge.epoch}, sequence {purge.seq}; expected numbers from 1")
    if not 0.0 < purge.at_ms < 2**53:
        raise BadPurge(f"moment {purge.at_ms}; expected Unix milliseconds")
    if len(purge.scope) > MOST_TEXT or len(purge.key) > 128:
        raise BadPurge("the scope or the key is too long")


class Positions:
    """How far each stream was taken."""

    def __init__(self) -> None:
        self._upto: dict[Stream, int] = {}
        self._ahead: dict[Stream, set[int]] = {}
        self._said: dict[Stream, int] = {}  # the last number that anyone said exists

    def taken(self, issuer: str, epoch: int, seq: int) -> bool:
        return seq <= self._upto.get((issuer, epoch), 0) or seq in self._ahead.get((issuer, epoch), ())

    def take(self, issuer: str, epoch: int, seq: int) -> bool:
        """Whether it is new. Raises BadPurge where there are too many streams or too many numbers past a
        gap."""
        stream = issuer, epoch
        upto = self._upto.get(stream)
        if upto is None:
            if len(self._upto) >= MOST_STREAMS:
                raise BadPurge(f"more than {MOST_STREAMS} epochs")
            upto = self._upto[stream] = 0
        ahead = self._ahead.get(stream)
        if seq == upto + 1 and not ahead:  # nearly always
            self._upto[stream] = seq
            return True
        if ahead is None:
            ahead = self._ahead[stream] = set()
        if seq <= upto or seq in ahead:
            return False
        if len(ahead) >= MOST_AHEAD:
            raise BadPurge(f"more than {MOST_AHEAD} purges past a gap")
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
    """Raises BadPurge."""
    vector: dict[Stream, int] = {}
    for item in text.split(",") if text else ():
        found = re.fullmatch(r"([^:=,]{1,64}):([0-9]{1,16})=([0-9]{1,16})", item, re.ASCII)
        if found is None or not ISSUER.fullmatch(found[1]) or len(vector) >= MOST_STREAMS:
            raise BadPurge(f"position {item[:80]!r}; expected issuer:epoch=number")
        vector[found[1], int(found[2])] = int(found[3])
    return vector


class Stamps:
    """An issuer's own numbers and moments: one epoch, from 1, and a clock that never goes back."""

    def __init__(self, issuer: str, known: Iterable[Stream], last_at_ms: float, now_ms: float) -> None:
        """known: every epoch of this issuer that its disk or its peers know of."""
        self.issuer = issuer
        latest = max((epoch for name, epoch in known if name == issuer), default=0)
        self.epoch = max(latest + 1, int(now_ms))  # also later than one that an older disk does not know of
        self.seq = 0
        self._last_at_ms = last_at_ms

    def next(self, scope: str, now_ms: float, key: str = "") -> Purge:
        """A clock set back counts on from the last moment: a later purge never binds less than an earlier
        one."""
        self.seq += 1
        self._last_at_ms = max(now_ms, self._last_at_ms)
        return Purge(self.issuer, self.epoch, self.seq, self._last_at_ms, scope, key)

    def take_back(self) -> None:
        """The last one could not be stored, and nobody heard of it."""
        self.seq -= 1
