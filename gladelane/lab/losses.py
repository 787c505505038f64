"""Low watermarks as a state machine for `lab.modelcheck`, with the decisions of `purges.low_watermark`.

Two control servers and a director, in all interleavings of purges, losses of disks, restored older disks,
restarts, replication and attestation.

The invariant: a subscribed director with watermark T knows every acknowledged purge from T on, and with
watermark 0 every acknowledged purge. `Plant` names faults that the search must find.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

import msgspec

from ..purges.loss_detection import (
    Checkpoint,
    PeerState,
    RecoveredFolder,
    attesting_peers,
    detect_loss,
    detect_older_folder,
)
from ..purges.low_watermark import SEEN_BY_DIRECTOR, Loss, LowWatermark

RETENTION_MS = 1e6  # longer than any run of the search
NAMES = ("a", "b")


class Plant(Enum):
    """Planted faults that the search has to find."""

    NONE = auto()
    FIRST_START = auto()  # an empty folder is taken for a first start
    SNAPSHOT_FORGETS = auto()  # losses are missing from the snapshot that a restart reads
    NEWER = auto()  # merging keeps only the newest loss
    SEED_LOWERS = auto()  # a backfill from a director closes the server's loss
    ONE_COPY = auto()  # peers attest although purges are acknowledged before replication
    EACH_OTHER = auto()  # two servers that both had losses attest for each other


@dataclass
class ServerState:
    """One control server: the purges that it knows and has stored, and its known losses."""

    name: str
    epoch: int = 1
    known: frozenset[tuple[str, int, int]] = frozenset()  # issuer, epoch, and time, which is also the number
    stored: frozenset[tuple[str, int, int]] = frozenset()
    older: frozenset[tuple[str, int, int]] = frozenset()  # the content of an older copy of the folder
    older_epoch: int = 0
    had: frozenset[tuple[str, int, int]] = frozenset()
    losses: tuple[Loss, ...] = ()
    persisted: tuple[Loss, ...] = ()
    heard: bool = False  # whether it got the state of the other server since its start


@dataclass
class World:
    """A state of the model. `copies`: the number of servers that store a purge before it is acknowledged."""

    copies: int
    marks: bool
    plant: Plant = Plant.NONE
    now: int = 1
    losses: int = 0  # the number of losses so far, which is bounded
    servers: dict[str, ServerState] = field(default_factory=lambda: {n: ServerState(n) for n in NAMES})
    answered: frozenset[tuple[str, int, int]] = frozenset()
    mark: dict[str, tuple[int, int]] = field(default_factory=lambda: {n: (1, 0) for n in NAMES})
    director: frozenset[tuple[str, int, int]] = frozenset()
    director_losses: tuple[Loss, ...] = ()
    caught: bool = True

    def copy(self) -> World:
        """A copy that shares no mutable state."""
        return replace(
            self,
            servers={name: replace(server) for name, server in self.servers.items()},
            mark=dict(self.mark),
        )

    def key(self) -> object:
        """Identifies the state: states with the same key behave alike."""
        servers = tuple(
            (f.epoch, f.known, f.stored, f.older, f.older_epoch, f.had, f.losses, f.persisted, f.heard)
            for f in self.servers.values()
        )
        return (
            servers,
            self.now,
            self.losses,
            self.answered,
            tuple(self.mark.values()),
            self.director,
            self.director_losses,
            self.caught,
        )


def merged(one: tuple[Loss, ...], announced: tuple[Loss, ...], plant: Plant) -> tuple[Loss, ...]:
    """The known losses of a server after another one has announced its losses."""
    if plant is Plant.NEWER:
        return merged(one, announced, Plant.NONE)[-1:]
    if one == announced or not announced:
        return one
    watermark = LowWatermark()
    watermark.merge(one, 0.0)
    watermark.merge(announced, 0.0)
    return tuple(watermark.losses())


def positions(known: frozenset[tuple[str, int, int]]) -> dict[tuple[str, int], int]:
    """The last known number of each issuer and epoch."""
    reached: dict[tuple[str, int], int] = {}
    for issuer, epoch, number in known:
        reached[issuer, epoch] = max(reached.get((issuer, epoch), 0), number)
    return reached


def open_losses(losses: tuple[Loss, ...], name: str = "") -> list[Loss]:
    """Losses that nobody has attested to be repaired; if an issuer is named, only of this one."""
    watermark = LowWatermark()
    watermark.merge(losses, 0.0)
    return watermark.open_losses(name)


def steps(world: World, most: int = 4, losses: int = 2) -> Iterator[tuple[str, World]]:
    """Every event that is possible in a state, with the state after it.

    Purges stop at time `most`; at most `losses` folders are lost."""
    for name in NAMES:
        other = NAMES[1 - NAMES.index(name)]
        if world.now < most:
            yield f"purge {name}", _purge(world, name, other)
        yield f"{name} hears {other}", _hear(world, name, other)
        if world.losses < losses and world.now < most:
            for how in ("empty", "older"):
                yield f"{name} {how}", _lose(world, name, how)
        if not world.servers[name].older and world.servers[name].stored:
            then = world.copy()
            then.servers[name].older = then.servers[name].stored
            then.servers[name].older_epoch = then.servers[name].epoch
            yield f"copy {name}", then
        yield f"director hears {name}", _tell(world, name)
        if open_losses(world.servers[name].losses) and not world.answered - world.servers[name].known:
            yield f"an operator vouches at {name}", _attest(world, name)
        if world.caught and not has_all(world.servers[name].known, world.director):
            yield f"director seeds {name}", _seed(world, name)
    if world.caught and world.losses:
        then = world.copy()
        then.director, then.director_losses, then.caught = frozenset(), (), False
        yield "director empty", then


def has_all(known: frozenset[tuple[str, int, int]], other: frozenset[tuple[str, int, int]]) -> bool:
    """Whether `known` contains all of `other`."""
    return other <= known


def _purge(world: World, name: str, other: str) -> World:
    """A purge is acknowledged once `copies` servers have it; with two, both get it at once."""
    then = world.copy()
    then.now += 1
    server = then.servers[name]
    purge = name, server.epoch, then.now
    server.known |= {purge}
    server.stored |= {purge}
    then.mark[name] = server.epoch, then.now
    if then.copies == 2:
        peer = then.servers[other]
        peer.known |= {purge}
        peer.stored |= {purge}
    then.answered |= {purge}
    return then


def _lose(world: World, name: str, how: str) -> World:
    then = world.copy()
    then.now += 1
    then.losses += 1
    server = then.servers[name]
    is_current = how == "older" and not server.older
    found = (server.stored if is_current else server.older) if how == "older" else frozenset()
    latest = server.epoch if is_current else server.older_epoch
    lost_losses = () if then.plant is Plant.SNAPSHOT_FORGETS or how == "empty" else server.persisted
    folder = RecoveredFolder(name if found else "", latest if found else 0, positions(found), not found)
    mark = Checkpoint(name, *then.mark[name]) if then.marks else None
    first = then.plant is Plant.FIRST_START
    why = detect_loss(name, folder, mark if not first else None, first)
    server.epoch = then.now
    server.known = server.stored = server.had = found
    server.losses, server.heard = lost_losses, False
    if why:
        loss = Loss(name, server.epoch, float(then.now), float(then.now))
        server.losses = merged(server.losses, (loss,), Plant.NONE)
    server.persisted = server.losses
    then.mark[name] = server.epoch, 0
    return then


def _suspect(
    world: World, server: ServerState, announced: frozenset[tuple[str, int, int]], by: str = ""
) -> None:
    covered = max((loss.epoch for loss in server.losses if loss.issuer == server.name), default=0)
    if detect_older_folder(
        server.name, server.epoch, positions(server.had), positions(announced).items(), covered
    ):
        loss = Loss(server.name, server.epoch, float(world.now), float(world.now), by)
        server.losses = merged(server.losses, (loss,), Plant.NONE)


def _hear(world: World, name: str, other: str) -> World:
    then = world.copy()
    server, peer = then.servers[name], then.servers[other]
    _suspect(then, server, peer.known)
    server.known |= peer.known
    server.stored = server.known
    server.losses = merged(server.losses, peer.losses, then.plant)
    server.heard = True
    copies = 2 if then.plant is Plant.ONE_COPY else then.copies
    losing = bool(open_losses(server.losses, other)) and then.plant is not Plant.EACH_OTHER
    by = attesting_peers(copies, {other: PeerState(server.heard, other, copies, losing)})
    if by:
        closed = [
            msgspec.structs.replace(loss, since_ms=0.0, by=by)
            for loss in open_losses(server.losses, name)
            if loss.by != SEEN_BY_DIRECTOR
        ]
        server.losses = merged(server.losses, tuple(closed), Plant.NONE)
    server.persisted = server.losses
    return then


def _attest(world: World, name: str) -> World:
    """An operator attests that no acknowledged purge is missing here; attestations are assumed to be true.

    An attestation for one issuer is not enough, as this search found: the folder also had the copies on which
    other servers rely."""
    then = world.copy()
    server = then.servers[name]
    closed = [msgspec.structs.replace(loss, since_ms=0.0, by="ops") for loss in open_losses(server.losses)]
    server.losses = server.persisted = merged(server.losses, tuple(closed), Plant.NONE)
    return then


def _tell(world: World, name: str) -> World:
    then = world.copy()
    server = then.servers[name]
    then.director |= server.known
    then.director_losses = merged(then.director_losses, server.losses, then.plant)
    then.caught = True
    return then


def _seed(world: World, name: str) -> World:
    then = world.copy()
    server = then.servers[name]
    _suspect(then, server, then.director, SEEN_BY_DIRECTOR)
    server.known |= then.director
    server.stored = server.known
    if then.plant is Plant.SEED_LOWERS:
        server.losses = tuple(msgspec.structs.replace(loss, since_ms=0.0) for loss in server.losses)
    else:
        server.losses = merged(server.losses, then.director_losses, then.plant)
    server.persisted = server.losses
    return then


def broken(world: World) -> str | None:
    """How a director would wrongly assume that it knows all purges; None if it would not.

    Only purges that no server has any more count: one that is still to be sent is the responsibility of the
    connection."""
    if not world.caught:
        return None
    since = max((loss.since_ms for loss in world.director_losses), default=0.0)
    surviving = world.director.union(*(server.known for server in world.servers.values()))
    announced = all(
        set(server.losses) <= set(world.director_losses) for server in world.servers.values()
    )  # the connection is also responsible for losses in flight
    missing = [purge for purge in world.answered - surviving if purge[2] >= since]
    return f"horizon {since:.0f}, but nobody knows {missing[0]}" if missing and announced else None
