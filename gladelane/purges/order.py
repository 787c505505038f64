"""Purges as they travel and are stored, and an issuer's own numbers and moments.

Each issuer numbers its purges from 1 in every epoch; an epoch begins whenever the issuer starts, and is later
than all before it. So an issuer that came back from an older disk goes on in a new epoch and never gives one
number to two purges. A purge binds as soon as it is heard: bounds are joins of moments, which no order
changes (`bounds`), and holding one back until an earlier one is found would only serve old copies for longer.
What is kept in order is the position (`control.positions`).
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..control.positions import ISSUER, Stream
from .scope import MAX_TEXT


class Purge(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One purge as it travels and is stored. at_ms: the issuer's Unix clock, which never goes back within
    what it issued; scope: canonical; key: the sender's idempotency key."""

    issuer: str
    epoch: int
    seq: int
    at_ms: float
    scope: str
    key: str = ""


class BadPurge(ValueError):
    """A purge or a loss that cannot be: nobody may act on it."""


def check(purge: Purge) -> None:
    """Raises BadPurge."""
    if not ISSUER.fullmatch(purge.issuer):
        raise BadPurge(f"issuer {purge.issuer[:70]!r}; expected a name of letters, digits, . _ -")
    if not (0 < purge.epoch < 2**53 and 0 < purge.seq < 2**53):
        raise BadPurge(f"epoch {purge.epoch}, sequence {purge.seq}; expected numbers from 1")
    if not 0.0 < purge.at_ms < 2**53:
        raise BadPurge(f"moment {purge.at_ms}; expected Unix milliseconds")
    if len(purge.scope) > MAX_TEXT or len(purge.key) > 128:
        raise BadPurge("the scope or the key is too long")


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
