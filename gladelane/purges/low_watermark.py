"""The low watermark: the time from which on all purges are known, after some were lost with a disk.

A `Loss` says that an issuer started an epoch without all of its past, so that purges which it had
acknowledged before the time `at_ms` may be missing. A copy from before an unknown purge looks like any other,
so all copies from before a loss are suspect. A loss is closed, wholly or in part, by someone who can attest
that purges are known: `since_ms` is the time from which on all purges are known after all, and 0 means that
none is missing.

Losses are joined by (issuer, epoch). The latest reported `at_ms` counts, since a server whose clock is behind
limits it to an earlier one; of several attestations, the one with the earliest `since_ms` counts. Entries are
only removed by age. This is a semilattice, so neither the order nor the repetition of reports matters. The
low watermark is the newest `since_ms` of any entry. It has no effect after the retention, since no copy that
old is accepted.
"""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from ..control_plane.positions import ISSUER_PATTERN, Stream
from .purge import MAX_INTEGER, MAX_SHOWN_ISSUER_CHARS, InvalidPurgeError

MAX_LOSSES = 4_096
MAX_ATTESTATION_CHARS = 256
#: `by` of a loss that a director detected. The other servers did not, so they lack the same purges.
SEEN_BY_DIRECTOR = "seen by a director"
MAX_AHEAD_MS = 60_000.0  # times are limited to this far ahead of the local clock


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """An epoch that started without all of its issuer's past.

    Attributes: at_ms, when it was detected, in Unix ms; since_ms, the time from which on all purges are
    known, in Unix ms, 0 if none is missing; by, who closed it, and on which grounds."""

    issuer: str
    epoch: int
    at_ms: float
    since_ms: float
    by: str = ""


def check_loss(loss: Loss) -> None:
    """Checks the fields of a loss. Raises InvalidPurgeError."""
    if not ISSUER_PATTERN.fullmatch(loss.issuer) or not 0 < loss.epoch < MAX_INTEGER:
        issuer = loss.issuer[:MAX_SHOWN_ISSUER_CHARS]
        raise InvalidPurgeError(f"loss of {issuer!r}, epoch {loss.epoch}", "a name and an epoch")
    if not (0.0 <= loss.since_ms <= loss.at_ms < MAX_INTEGER) or len(loss.by) > MAX_ATTESTATION_CHARS:
        raise InvalidPurgeError(f"loss at {loss.at_ms} since {loss.since_ms}", "0 <= since <= at")


def join_losses(known: Loss, received: Loss) -> Loss:
    """Joins two reports of one loss. An open report closes nothing, however early its time is by the clock of
    its sender."""
    at_ms = max(known.at_ms, received.at_ms)
    closed = [loss for loss in (known, received) if loss.since_ms < loss.at_ms]
    if not closed:
        return msgspec.structs.replace(known, at_ms=at_ms, since_ms=at_ms)
    furthest = min(closed, key=lambda loss: loss.since_ms)
    return msgspec.structs.replace(furthest, at_ms=at_ms)


class LowWatermark:
    """The known losses, and the low watermark that follows from them.

    Attributes: version, a counter of changes, which shows a stream when to send the losses again."""

    def __init__(self) -> None:
        """Starts without a loss."""
        self._losses: dict[Stream, Loss] = {}
        self.version = 0

    def __len__(self) -> int:
        """Returns the number of losses, closed ones included."""
        return len(self._losses)

    def merge(self, losses: Iterable[Loss], now_ms: float) -> list[Loss]:
        """Joins losses with the known ones, and returns the new state of those that changed.

        Raises InvalidPurgeError at the first invalid loss; the losses before it stay merged."""
        changed: list[Loss] = []
        for loss in losses:
            check_loss(loss)
            merged = self._merge_one(_limit_times(loss, now_ms + MAX_AHEAD_MS))
            if merged is not None:
                changed.append(merged)
        self.version += len(changed)
        return changed

    def _merge_one(self, loss: Loss) -> Loss | None:
        """Returns the new state of a loss, or None if nothing changed."""
        key = loss.issuer, loss.epoch
        known = self._losses.get(key)
        if known is None and len(self._losses) >= MAX_LOSSES:
            raise InvalidPurgeError(f"more than {MAX_LOSSES} losses")
        merged = loss if known is None else join_losses(known, loss)
        if merged == known:
            return None
        self._losses[key] = merged
        return merged

    def value_ms(self, now_ms: float, retention_ms: float) -> float:
        """Returns the time from which on all purges are known, in Unix ms; 0.0 if all active ones are."""
        newest_ms = max((loss.since_ms for loss in self._losses.values()), default=0.0)
        return newest_ms if newest_ms > now_ms - retention_ms else 0.0

    def losses(self) -> list[Loss]:
        """Returns all losses, including closed ones, because they may still be open on other servers."""
        return sorted(self._losses.values(), key=lambda loss: (loss.epoch, loss.issuer))

    def open_losses(self, issuer: str = "") -> list[Loss]:
        """Returns the losses that are not fully closed, of one issuer or of all."""
        return [loss for loss in self.losses() if loss.since_ms and issuer in ("", loss.issuer)]

    def attest(self, since_ms: float, by: str) -> list[Loss]:
        """Returns the closed state, to be merged, of the losses that an operator's attestation closes. An
        attestation never reopens a loss."""
        return [
            msgspec.structs.replace(loss, since_ms=since_ms, by=by)
            for loss in self.open_losses()
            if since_ms < loss.since_ms
        ]

    def attest_own(self, issuer: str, by: str) -> list[Loss]:
        """Returns the closed state, to be merged, of the losses of an issuer that an attestation of its peers
        closes. Losses that a director detected are not among them, because the peers lacked the same
        purges."""
        return [
            msgspec.structs.replace(loss, since_ms=0.0, by=by)
            for loss in self.open_losses(issuer)
            if loss.by != SEEN_BY_DIRECTOR
        ]

    def expire(self, now_ms: float, retention_ms: float) -> None:
        """Removes losses past the retention, closed or not, which have no effect. Peers remove them too."""
        oldest_ms = now_ms - retention_ms - MAX_AHEAD_MS
        for key in [key for key, loss in self._losses.items() if loss.at_ms < oldest_ms]:
            del self._losses[key]


def _limit_times(loss: Loss, latest_ms: float) -> Loss:
    """Returns a loss with its times limited to `latest_ms`."""
    if loss.at_ms <= latest_ms:
        return loss
    return msgspec.structs.replace(loss, at_ms=latest_ms, since_ms=min(loss.since_ms, latest_ms))
