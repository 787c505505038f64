"""Whether a purge log server that starts may lack purges that it had acknowledged, and who can attest that it
does not. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

import msgspec

from ..control_plane.positions import Stream, Vector

MIN_ATTESTING_COPIES = 2  # with one copy, nobody else may have the last purge before a loss


class ForeignFolderError(Exception):
    """The folder, or the checkpoint, belongs to another server.

    Attributes: owner, whose it is; name, of the server that found it."""

    def __init__(self, what: str, owner: str, name: str, alternative: str = "") -> None:
        """`what`: the folder or the mark; `alternative`: what else would have been right."""
        self.owner, self.name = owner, name
        super().__init__(f"the {what} is of feed {owner!r}; expected one of {name!r}{alternative}")


class Checkpoint(msgspec.Struct, frozen=True):
    """The latest epoch of an issuer and the last purge that it acknowledged in it, stored outside the
    folder."""

    name: str
    epoch: int
    seq: int


class RecoveredFolder(NamedTuple):
    """What a start recovers from its folder.

    Attributes: owner, the server whose folder it is, empty if none was stored; epoch, of the latest start
    that was stored, 0 if none was; vector, the positions reached; is_empty, whether nothing at all was
    stored."""

    owner: str
    epoch: int
    vector: Vector
    is_empty: bool


def detect_loss(
    name: str, folder: RecoveredFolder, checkpoint: Checkpoint | None, is_first_start: bool
) -> str:
    """Returns why acknowledged purges may be missing, or an empty text if none is. Raises ForeignFolderError.

    Without a checkpoint, an older folder cannot be told from the newest one; peers that know more reveal it
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

    Others report purges of this issuer, from epochs other than the current one, that the folder did not have.
    What is missing from before `last_lost_epoch`, the epoch of the latest known loss, was reported with
    it."""
    for (issuer, reported_epoch), last in reported:
        if issuer != name or reported_epoch == epoch or reported_epoch < last_lost_epoch:
            continue
        recovered_last = recovered.get((issuer, reported_epoch), 0)
        if last > recovered_last:
            return f"others know purge {reported_epoch}:{last} of this feed, its folder had {recovered_last}"
    return ""


class PeerState(NamedTuple):
    """What is known of a peer when a loss is to be closed.

    Attributes: has_sent_all, whether it has sent all that it knows since our start; copies, the servers that
    store a purge before it acknowledges it; has_open_loss, whether a loss of its own is open."""

    has_sent_all: bool
    name: str
    copies: int
    has_open_loss: bool


def attesting_peers(copies: int, peers: Mapping[str, PeerState]) -> str:
    """Returns whose attestation closes a loss of ours, as a text, or an empty text if nobody can attest.

    A purge is acknowledged once `copies` servers have stored it. With two or more, another server has every
    acknowledged purge. Which one is not known, so all must have sent what they know, and none may have lost
    anything itself. With one copy nobody can attest: the last purge before the loss may have reached no peer,
    and one unknown purge makes all older copies suspect."""
    if copies < MIN_ATTESTING_COPIES or not peers:
        return ""
    if not all(_can_attest(peer) for peer in peers.values()):
        return ""
    return "peers " + ",".join(sorted(peer.name for peer in peers.values()))


def _can_attest(peer: PeerState) -> bool:
    return peer.has_sent_all and peer.copies >= MIN_ATTESTING_COPIES and not peer.has_open_loss
