"""Decides whether a starting purge log server may lack purges that it had acknowledged, and who can attest
that it does not. This module does no I/O and reads no clock."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..control_plane.positions import Stream, Vector

MIN_ATTESTING_COPIES = 2  # with one copy, no other server need have the last purge before a loss


class ForeignFolderError(Exception):
    """The folder or the checkpoint belongs to another server.

    Attributes: owner, the name of that server; name, the name of the server that was started with it."""

    def __init__(self, found: str, owner: str, name: str, alternative: str = "") -> None:
        """`found`: the folder or the mark, that is, the checkpoint; `alternative`: what else is expected."""
        self.owner, self.name = owner, name
        super().__init__(f"the {found} is of feed {owner!r}; expected one of {name!r}{alternative}")


class Checkpoint(msgspec.Struct, frozen=True):
    """The latest epoch of an issuer and the last purge that it acknowledged in that epoch. It is stored
    outside the folder."""

    name: str
    epoch: int
    seq: int


class RecoveredFolder(NamedTuple):
    """What a start recovers from its folder.

    Attributes: owner, the server whose folder it is, or empty if no start was stored; epoch, of the latest
    stored start, 0 if there is none; vector, the positions reached; is_empty, whether the folder contains
    nothing."""

    owner: str
    epoch: int
    vector: Vector
    is_empty: bool


def detect_loss(
    name: str, folder: RecoveredFolder, checkpoint: Checkpoint | None, is_first_start: bool
) -> str:
    """Returns why acknowledged purges may be missing, or an empty text if none are. Raises
    ForeignFolderError.

    Without a checkpoint, an older folder looks like the newest one. Peers that have more purges reveal it
    (`detect_older_folder`)."""
    if folder.owner and folder.owner != name:
        raise ForeignFolderError("folder", folder.owner, name, ", or an empty one")
    if checkpoint is None:
        is_unexplained = folder.is_empty and not is_first_start
        return "the folder is empty, and nobody said that this is the first start" if is_unexplained else ""
    if checkpoint.name != name:
        raise ForeignFolderError("mark", checkpoint.name, name)
    if folder.is_empty:
        return "the folder is empty, the mark is not"
    reached = folder.vector.get((name, checkpoint.epoch), 0)
    if checkpoint.epoch > folder.epoch or reached < checkpoint.seq:
        known = f"the folder knows start {folder.epoch} and purge {reached}"
        return f"{known}, the mark {checkpoint.epoch} and {checkpoint.seq}"
    return ""


def detect_older_folder(
    name: str,
    epoch: int,
    recovered: Vector,
    reported: Iterable[tuple[Stream, int]],
    last_lost_epoch: int = 0,
) -> str:
    """Returns why the folder must be an older one, or an empty text if there is no sign of it.

    It is older if others report purges of this issuer that it did not contain, from epochs other than the
    current one. Purges from before `last_lost_epoch`, the epoch of the latest known loss, are ignored,
    because that loss already includes them."""
    for (issuer, reported_epoch), last in reported:
        if issuer != name or reported_epoch == epoch or reported_epoch < last_lost_epoch:
            continue
        last_recovered = recovered.get((issuer, reported_epoch), 0)
        if last > last_recovered:
            return f"others know purge {reported_epoch}:{last} of this feed, its folder had {last_recovered}"
    return ""


class PeerState(NamedTuple):
    """The state of a peer when a loss of this server is to be closed.

    Attributes: has_sent_all, whether it has sent all its purges since this server started; name; copies, the
    number of servers that store a purge before the peer acknowledges it; has_open_loss, whether a loss of its
    own is open."""

    has_sent_all: bool
    name: str
    copies: int
    has_open_loss: bool


def attesting_peers(copies: int, peers: Mapping[str, PeerState]) -> str:
    """Returns as a text whose attestation closes a loss of this server, or an empty text if nobody's does.

    A purge is acknowledged once `copies` servers have stored it. With two or more copies, each acknowledged
    purge is on another server. Since it is unknown on which, all peers must have sent all their purges, and
    none may have lost any itself. With one copy nobody can attest: the last purge before the loss may have
    reached no peer, and one unknown purge makes all older copies suspect."""
    if copies < MIN_ATTESTING_COPIES or not peers:
        return ""
    if not all(_can_attest(peer) for peer in peers.values()):
        return ""
    return "peers " + ",".join(sorted(peer.name for peer in peers.values()))


def _can_attest(peer: PeerState) -> bool:
    return peer.has_sent_all and peer.copies >= MIN_ATTESTING_COPIES and not peer.has_open_loss
