"""From which moment on all purges are known, after some were lost with a disk. Pure.

A *loss* says: this issuer started at this epoch without all of its past, so purges that it had answered for
may be missing that are as new as `at_ms`. A copy from before an unknown purge looks like any other, so all
copies from before a loss are in doubt. A loss is *closed*, wholly or in part, by who can vouch: `since_ms` is
the moment from which on all purges are known after all, 0: none is missing.

Losses by (issuer, epoch) are joined as purges are: a loss that anyone knows of is known, and what of it was
closed stays closed. Each entry only ever falls, entries are never taken away but by age: a semilattice, so
neither order nor repeats matter. The horizon is the newest moment of any entry; it ends with the retention,
since no copy that old is accepted anyway.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..control.positions import ISSUER, Stream, Vector
from .order import BadPurge

MAX_LOSSES = 4_096
SEEN = "seen by a director"  # `by` of a loss that other feeds did not show: they lack what they should have
AHEAD_MS = 60_000.0  # a clock further ahead than this is not believed


class Loss(msgspec.Struct, frozen=True, array_like=True):
    """`by`: who closed it, and on whose word."""

    issuer: str
    epoch: int
    at_ms: float
    since_ms: float
    by: str = ""


def check(loss: Loss) -> None:
    """Raises BadPurge."""
    if not ISSUER.fullmatch(loss.issuer) or not 0 < loss.epoch < 2**53:
        raise BadPurge(f"loss of {loss.issuer[:70]!r}, epoch {loss.epoch}; expected a name and an epoch")
    if not (0.0 <= loss.since_ms <= loss.at_ms < 2**53) or len(loss.by) > 256:
        raise BadPurge(f"loss at {loss.at_ms} since {loss.since_ms}; expected 0 <= since <= at")


class Horizon:
    def __init__(self) -> None:
        self._losses: dict[Stream, Loss] = {}
        self.version = 0  # counts changes, for those who tell it on

    def __len__(self) -> int:
        return len(self._losses)

    def tell(self, losses: Iterable[Loss], now_ms: float) -> list[Loss]:
        """Joins; what changed, as it is known now. Raises BadPurge and changes nothing further."""
        changed: list[Loss] = []
        for loss in losses:
            check(loss)
            if loss.at_ms > now_ms + AHEAD_MS:
                at = now_ms + AHEAD_MS
                loss = msgspec.structs.replace(loss, at_ms=at, since_ms=min(loss.since_ms, at))
            key = loss.issuer, loss.epoch
            known = self._losses.get(key)
            if known is None:
                if len(self._losses) >= MAX_LOSSES:
                    raise BadPurge(f"more than {MAX_LOSSES} losses")
                self._losses[key] = loss
                changed.append(loss)
            elif loss.since_ms < known.since_ms:  # `at_ms` is the first's: a clipped clock must not make two
                self._losses[key] = msgspec.structs.replace(loss, at_ms=known.at_ms)
                changed.append(self._losses[key])
        self.version += len(changed)
        return changed

    def moment(self, now_ms: float, retention_ms: float) -> float:
        """All purges from here on are known, 0: all that bind are."""
        newest = max((loss.since_ms for loss in self._losses.values()), default=0.0)
        return newest if newest > now_ms - retention_ms else 0.0

    def losses(self) -> list[Loss]:
        """All, closed ones too: who has not heard that one is closed still holds it open."""
        return sorted(self._losses.values(), key=lambda loss: (loss.epoch, loss.issuer))

    def open(self, issuer: str = "") -> list[Loss]:
        """What still binds, of one issuer or all."""
        return [loss for loss in self.losses() if loss.since_ms and issuer in ("", loss.issuer)]

    def close(self, since_ms: float, by: str) -> list[Loss]:
        """What an operator's word closes, to be told. Never opens further."""
        return [
            msgspec.structs.replace(loss, since_ms=since_ms, by=by)
            for loss in self.open()
            if since_ms < loss.since_ms
        ]

    def close_own(self, issuer: str, by: str) -> list[Loss]:
        """What peers' word closes: an issuer's own losses, but none that the peers themselves missed."""
        return [
            msgspec.structs.replace(loss, since_ms=0.0, by=by)
            for loss in self.open(issuer)
            if loss.by != SEEN
        ]

    def forget(self, now_ms: float, retention_ms: float) -> None:
        """One whose moment is past the retention binds nothing, closed or not. Its peers forget it as
        well."""
        past = now_ms - retention_ms - AHEAD_MS
        for key in [key for key, loss in self._losses.items() if loss.at_ms < past]:
            del self._losses[key]


# --- what a feed that starts makes of its folder


class Foreign(Exception):
    """The folder is another feed's."""


class Mark(msgspec.Struct, frozen=True):
    """Kept outside the folder: the issuer's latest start, and the last purge that it answered for."""

    name: str
    epoch: int
    seq: int


class Folder(NamedTuple):
    """What a start finds. name: whose it is, empty: not written; epoch: of the latest start known to it, 0:
    none was stored; vector: its positions; empty: nothing at all was in it."""

    name: str
    epoch: int
    vector: Vector
    empty: bool


def judged(name: str, folder: Folder, mark: Mark | None, first: bool) -> str:
    """Why purges that were answered for may be missing; empty: none is. Raises Foreign.

    Without a mark, an older folder cannot be told from the newest one here; others who know more show it
    (`behind`)."""
    if folder.name and folder.name != name:
        raise Foreign(f"the folder is of feed {folder.name!r}; expected one of {name!r}, or an empty one")
    if mark is not None and mark.name != name:
        raise Foreign(f"the mark is of feed {mark.name!r}; expected one of {name!r}")
    if mark is not None:
        reached = folder.vector.get((name, mark.epoch), 0)
        if folder.empty:
            return "the folder is empty, the mark is not"
        if mark.epoch > folder.epoch or reached < mark.seq:
            knows = f"the folder knows start {folder.epoch} and purge {reached}"
            return f"{knows}, the mark {mark.epoch} and {mark.seq}"
        return ""
    if folder.empty and not first:
        return "the folder is empty, and nobody said that this is the first start"
    return ""


def behind(name: str, epoch: int, had: Vector, told: Iterable[tuple[Stream, int]], covered: int = 0) -> str:
    """Why the folder that `had` so much at the start must be an older one: others know purges of its issuer,
    of other epochs than this start's, that it does not. Empty: no sign of it. covered: the epoch of the
    latest loss that is known already; what is missing from before it was said then."""
    for (issuer, of), last in told:
        if issuer == name and of != epoch and of >= covered and last > had.get((issuer, of), 0):
            had_last = had.get((issuer, of), 0)
            return f"others know purge {of}:{last} of this feed, its folder had {had_last}"
    return ""


class Peer(NamedTuple):
    """A feed that this one follows: whether it told all since our start, its name, how many copies it answers
    for, and whether a loss of its own is open."""

    told_all: bool
    name: str
    copies: int
    losing: bool


def vouched_by(copies: int, peers: Mapping[str, Peer]) -> str:
    """Whose word closes a loss of ours; empty: nobody's.

    A purge is answered once `copies` feeds have stored it. With two or more, another feed has all that was
    ever answered here; which one is not known, so all must have told, and none may have lost anything
    itself. With one copy nobody can vouch: the last purge before the loss may have been heard by none, and
    one unknown purge puts all older copies in doubt."""
    if copies < 2 or not peers:
        return ""
    if not all(p.told_all and p.copies >= 2 and not p.losing for p in peers.values()):
        return ""
    return "peers " + ",".join(sorted(p.name for p in peers.values()))
