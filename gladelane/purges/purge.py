"""Purges as they are sent and stored, and the sequence numbers and times that an issuer assigns to them.

Each issuer numbers its purges from 1 within an epoch. An epoch starts whenever the issuer starts, and has a
higher number than all epochs before it, so an issuer that was restored from an older disk never uses a
sequence number twice. A purge applies as soon as it is received: the order of arrival does not change the
joined bounds (`bounds`), and delaying a purge until an earlier one arrives would only serve old copies for
longer. Only the position that has been reached depends on the order (`control_plane.positions`).
"""

from __future__ import annotations

import logging
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from ..control_plane.errors import LabelledError
from ..control_plane.positions import ISSUER_PATTERN, Stream
from .peer_clock import PeerClock
from .scope import MAX_SCOPE_CHARS

MAX_PEER_AHEAD_MS = 7_200_000.0  # a clock further ahead is wrong, since no clock step is that large
MAX_KEY_CHARS = 128
MAX_INTEGER = 2**53  # exclusive; larger JSON numbers are not exact in all implementations
MAX_SHOWN_ISSUER_CHARS = 70


class PurgeId(NamedTuple):
    """Identifies a purge in the whole fleet."""

    issuer: str
    epoch: int
    seq: int


class Purge(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """A purge as it is sent and stored.

    Attributes: at_ms, the issuer's clock in Unix ms, which never decreases within what it issues; scope, in
    canonical form; key, the idempotency key of the sender."""

    issuer: str
    epoch: int
    seq: int
    at_ms: float
    scope: str
    key: str = ""

    @property
    def id(self) -> PurgeId:
        """Returns the identifier of this purge."""
        return PurgeId(self.issuer, self.epoch, self.seq)


class InvalidPurgeError(LabelledError, ValueError):
    """A purge or a loss with invalid values, which must not be applied.

    Attributes: found, the invalid value; expected, the valid values, or empty."""

    label = "BadPurge"

    def __init__(self, found: str, expected: str = "") -> None:
        """The message contains both."""
        self.found, self.expected = found, expected
        super().__init__(f"{found}; expected {expected}" if expected else found)


def check_purge(purge: Purge) -> None:
    """Checks all fields except the syntax of the scope. Raises InvalidPurgeError."""
    if not ISSUER_PATTERN.fullmatch(purge.issuer):
        issuer = purge.issuer[:MAX_SHOWN_ISSUER_CHARS]
        raise InvalidPurgeError(f"issuer {issuer!r}", "a name of letters, digits, . _ -")
    if not (0 < purge.epoch < MAX_INTEGER and 0 < purge.seq < MAX_INTEGER):
        raise InvalidPurgeError(f"epoch {purge.epoch}, sequence {purge.seq}", "numbers from 1")
    if not 0.0 < purge.at_ms < MAX_INTEGER:
        raise InvalidPurgeError(f"moment {purge.at_ms}", "Unix milliseconds")
    if len(purge.scope) > MAX_SCOPE_CHARS or len(purge.key) > MAX_KEY_CHARS:
        raise InvalidPurgeError("the scope or the key is too long")


class IssuerClock:
    """The clock by which an issuer dates its purges: the latest of all clocks that may be right.

    If a purge is dated too early, copies from before its request stay valid; if it is dated too late, this
    only costs fetches. The candidates are the monotonic timeline, the wall clock, which may have been
    corrected since the start, and the latest time that the clock of any peer may show."""

    def __init__(self) -> None:
        """Starts without peers."""
        self._peers: dict[str, PeerClock] = {}

    def observe_peer(
        self, peer: str, peer_ms: float, timeline_ms: float, round_trip_ms: float | None = None
    ) -> None:
        """Records the clock of a peer in Unix ms, 0.0 if the peer did not send it. It must be the peer's own
        clock and not one that it took from others, or a single wrong reading would circulate forever.
        `timeline_ms`: when it was received; `round_trip_ms`: see `PeerClock.observe`."""
        if peer_ms:
            self._peers.setdefault(peer, PeerClock()).observe(peer_ms, timeline_ms, round_trip_ms)

    def now_ms(self, timeline_ms: float, wall_ms: float) -> float:
        """Returns the time for a purge that is issued now, in Unix ms."""
        peers_ahead_ms = max((peer.ahead_ms() for peer in self._peers.values()), default=0.0)
        return timeline_ms + max(0.0, wall_ms - timeline_ms, min(peers_ahead_ms, MAX_PEER_AHEAD_MS))


class IssuerSequence:
    """Assigns sequence numbers and times to the purges of an issuer within its current epoch."""

    def __init__(self, issuer: str, known: Iterable[Stream], last_at_ms: float, now_ms: float) -> None:
        """Starts a new epoch. `known`: every epoch that is known from the disk or the peers; `last_at_ms`:
        the latest time that was used before."""
        self.issuer = issuer
        latest = max((epoch for name, epoch in known if name == issuer), default=0)
        # using the clock makes the epoch later than one that was lost with a disk, too
        self.epoch = max(latest + 1, int(now_ms))
        self.seq = 0
        self._last_at_ms = last_at_ms

    def next(self, scope: str, now_ms: float, key: str = "") -> Purge:
        """Issues a purge. If the clock was set back, the last time is used again, so that a later purge never
        has an earlier time."""
        self.seq += 1
        self._last_at_ms = max(now_ms, self._last_at_ms)
        return Purge(self.issuer, self.epoch, self.seq, self._last_at_ms, scope, key)

    def cancel_last(self) -> None:
        """Releases the last number, whose purge could not be stored and was sent to nobody."""
        self.seq -= 1


def log_invalid_purge(log: logging.Logger, purge: Purge, error: Exception) -> None:
    """Logs that a received purge is invalid, without a traceback, since its sender is at fault."""
    log.error("invalid purge issuer=%.64s seq=%s: %s", purge.issuer, purge.seq, error)
