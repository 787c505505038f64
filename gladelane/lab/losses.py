"""Horizons as a machine for `lab.modelcheck`: two feeds and a director in all interleavings of purges,
losses of disks, older disks, restarts, telling and vouching, on the product's own decisions
(`purges/horizon.py`).

The invariant: a director that follows a feed and whose horizon is at 0 knows every purge that was answered,
and one whose horizon is at T knows every answered purge from T on. `Plant` names faults that must be found.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

import msgspec

from ..purges.horizon import SEEN, Folder, Horizon, Loss, Mark, Peer, behind, judged, vouched_by

KEPT_MS = 1e6  # a retention that the search does not reach
NAMES = ("a", "b")


class Plant(Enum):
    NONE = auto()
    TOLD_ALL = auto()  # an empty folder counts as a first start
    SNAPSHOT_FORGETS = auto()  # losses are left out of what a restart finds
    NEWER = auto()  # a join keeps the newest loss alone
    SEED_LOWERS = auto()  # a director's seed closes the feed's loss
    ONE_COPY = auto()  # peers vouch though purges are answered at once
    EACH_OTHER = auto()  # two feeds that both lost vouch for one another


@dataclass
class FeedState:
    name: str
    epoch: int = 1
    known: frozenset[tuple[str, int, int]] = frozenset()  # issuer, epoch, moment, which is its number too
    stored: frozenset[tuple[str, int, int]] = frozenset()
    older: frozenset[tuple[str, int, int]] = frozenset()  # what a copy of the folder would bring back
    older_epoch: int = 0
    had: frozenset[tuple[str, int, int]] = frozenset()
    losses: tuple[Loss, ...] = ()
    kept: tuple[Loss, ...] = ()
    heard: bool = False  # the other's telling, since the start


@dataclass
class World:
    """copies: feeds that store a purge before it is answered."""

    copies: int
    marks: bool
    plant: Plant = Plant.NONE
    now: int = 1
    losses: int = 0  # that happened; bounded
    feeds: dict[str, FeedState] = field(default_factory=lambda: {n: FeedState(n) for n in NAMES})
    answered: frozenset[tuple[str, int, int]] = frozenset()
    mark: dict[str, tuple[int, int]] = field(default_factory=lambda: {n: (1, 0) for n in NAMES})
    director: frozenset[tuple[str, int, int]] = frozenset()
    director_losses: tuple[Loss, ...] = ()
    caught: bool = True

    def copy(self) -> World:
        return replace(
            self, feeds={name: replace(feed) for name, feed in self.feeds.items()}, mark=dict(self.mark)
        )

    def key(self) -> object:
        feeds = tuple(
            (f.epoch, f.known, f.stored, f.older, f.older_epoch, f.had, f.losses, f.kept, f.heard)
            for f in self.feeds.values()
        )
        return (
            feeds,
            self.now,
            self.losses,
            self.answered,
            tuple(self.mark.values()),
            self.director,
            self.director_losses,
            self.caught,
        )


def joined(one: tuple[Loss, ...], told: tuple[Loss, ...], plant: Plant) -> tuple[Loss, ...]:
    if plant is Plant.NEWER:
        return joined(one, told, Plant.NONE)[-1:]
    if one == told or not told:
        return one
    horizon = Horizon()
    horizon.tell(one, 0.0)
    horizon.tell(told, 0.0)
    return tuple(horizon.losses())


def vector(known: frozenset[tuple[str, int, int]]) -> dict[tuple[str, int], int]:
    reached: dict[tuple[str, int], int] = {}
    for issuer, epoch, number in known:
        reached[issuer, epoch] = max(reached.get((issuer, epoch), 0), number)
    return reached


def opened(losses: tuple[Loss, ...], name: str = "") -> list[Loss]:
    horizon = Horizon()
    horizon.tell(losses, 0.0)
    return horizon.open(name)


def steps(world: World, most: int = 4, losses: int = 2) -> Iterator[tuple[str, World]]:
    for name in NAMES:
        other = NAMES[1 - NAMES.index(name)]
        if world.now < most:
            yield f"purge {name}", _purge(world, name, other)
        yield f"{name} hears {other}", _hear(world, name, other)
        if world.losses < losses and world.now < most:
            for how in ("empty", "older"):
                yield f"{name} {how}", _lose(world, name, how)
        if not world.feeds[name].older and world.feeds[name].stored:
            then = world.copy()
            then.feeds[name].older = then.feeds[name].stored
            then.feeds[name].older_epoch = then.feeds[name].epoch
            yield f"copy {name}", then
        yield f"director hears {name}", _tell(world, name)
        if opened(world.feeds[name].losses) and not world.answered - world.feeds[name].known:
            yield f"an operator vouches at {name}", _vouch(world, name)
        if world.caught and not vector_has(world.feeds[name].known, world.director):
            yield f"director seeds {name}", _seed(world, name)
    if world.caught and world.losses:
        then = world.copy()
        then.director, then.director_losses, then.caught = frozenset(), (), False
        yield "director empty", then


def vector_has(known: frozenset[tuple[str, int, int]], other: frozenset[tuple[str, int, int]]) -> bool:
    return other <= known


def _purge(world: World, name: str, other: str) -> World:
    """Answered once `copies` feeds have it; with two it goes to both, whoever hears of it first."""
    then = world.copy()
    then.now += 1
    feed = then.feeds[name]
    purge = name, feed.epoch, then.now
    feed.known |= {purge}
    feed.stored |= {purge}
    then.mark[name] = feed.epoch, then.now
    if then.copies == 2:
        peer = then.feeds[other]
        peer.known |= {purge}
        peer.stored |= {purge}
    then.answered |= {purge}
    return then


def _lose(world: World, name: str, how: str) -> World:
    then = world.copy()
    then.now += 1
    then.losses += 1
    feed = then.feeds[name]
    whole = how == "older" and not feed.older
    found = (feed.stored if whole else feed.older) if how == "older" else frozenset()
    latest = feed.epoch if whole else feed.older_epoch
    lost_losses = () if then.plant is Plant.SNAPSHOT_FORGETS or how == "empty" else feed.kept
    folder = Folder(name if found else "", latest if found else 0, vector(found), not found)
    mark = Mark(name, *then.mark[name]) if then.marks else None
    first = then.plant is Plant.TOLD_ALL
    why = judged(name, folder, mark if not first else None, first)
    feed.epoch = then.now
    feed.known = feed.stored = feed.had = found
    feed.losses, feed.heard = lost_losses, False
    if why:
        loss = Loss(name, feed.epoch, float(then.now), float(then.now))
        feed.losses = joined(feed.losses, (loss,), Plant.NONE)
    feed.kept = feed.losses
    then.mark[name] = feed.epoch, 0
    return then


def _suspect(world: World, feed: FeedState, told: frozenset[tuple[str, int, int]], by: str = "") -> None:
    covered = max((loss.epoch for loss in feed.losses if loss.issuer == feed.name), default=0)
    if behind(feed.name, feed.epoch, vector(feed.had), vector(told).items(), covered):
        loss = Loss(feed.name, feed.epoch, float(world.now), float(world.now), by)
        feed.losses = joined(feed.losses, (loss,), Plant.NONE)


def _hear(world: World, name: str, other: str) -> World:
    then = world.copy()
    feed, peer = then.feeds[name], then.feeds[other]
    _suspect(then, feed, peer.known)
    feed.known |= peer.known
    feed.stored = feed.known
    feed.losses = joined(feed.losses, peer.losses, then.plant)
    feed.heard = True
    copies = 2 if then.plant is Plant.ONE_COPY else then.copies
    losing = bool(opened(feed.losses, other)) and then.plant is not Plant.EACH_OTHER
    by = vouched_by(copies, {other: Peer(feed.heard, other, copies, losing)})
    if by:
        closed = [
            msgspec.structs.replace(loss, since_ms=0.0, by=by)
            for loss in opened(feed.losses, name)
            if loss.by != SEEN
        ]
        feed.losses = joined(feed.losses, tuple(closed), Plant.NONE)
    feed.kept = feed.losses
    return then


def _vouch(world: World, name: str) -> World:
    """Operators tell the truth: nothing that anyone answered for is missing here. A word about one issuer
    alone would not do, as this search found: the folder also held the copies that others rely on."""
    then = world.copy()
    feed = then.feeds[name]
    closed = [msgspec.structs.replace(loss, since_ms=0.0, by="ops") for loss in opened(feed.losses)]
    feed.losses = feed.kept = joined(feed.losses, tuple(closed), Plant.NONE)
    return then


def _tell(world: World, name: str) -> World:
    then = world.copy()
    feed = then.feeds[name]
    then.director |= feed.known
    then.director_losses = joined(then.director_losses, feed.losses, then.plant)
    then.caught = True
    return then


def _seed(world: World, name: str) -> World:
    then = world.copy()
    feed = then.feeds[name]
    _suspect(then, feed, then.director, SEEN)
    feed.known |= then.director
    feed.stored = feed.known
    if then.plant is Plant.SEED_LOWERS:
        feed.losses = tuple(msgspec.structs.replace(loss, since_ms=0.0) for loss in feed.losses)
    else:
        feed.losses = joined(feed.losses, then.director_losses, then.plant)
    feed.kept = feed.losses
    return then


def broken(world: World) -> str | None:
    """What a director would wrongly take for known, having heard all feeds; None: nothing. A purge that
    reached no feed it has heard yet is the link's matter, so only what no feed holds any more counts."""
    if not world.caught:
        return None
    since = max((loss.since_ms for loss in world.director_losses), default=0.0)
    held = world.director.union(*(feed.known for feed in world.feeds.values()))
    told = all(
        set(feed.losses) <= set(world.director_losses) for feed in world.feeds.values()
    )  # losses on their way are the link's matter as well
    missing = [purge for purge in world.answered - held if purge[2] >= since]
    return f"horizon {since:.0f}, but nobody knows {missing[0]}" if missing and told else None
