"""Leases as a machine for `lab.modelcheck`: three keepers, two candidates and a taker with a fence, on the
product's own decisions (`ownership/`).

Candidates pause as long as they like, at any point; answers come at once, late or never; keepers start anew
with their disk, with an older one or with none; an effect that was begun is sent whenever it is sent. The
invariants: no two hold at once by their own clocks, no number is held by two, and whoever takes effects takes
none of a lower number after a higher one. `Plant` names faults that must be found.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from ..ownership.fence import Fence
from ..ownership.keeper import Ask, Keeper, Reply
from ..ownership.lease import Lease, Phase
from .modelcheck import Violation, search

TICK_MS = 1_000.0
LENGTH_MS = TICK_MS
KEEPERS = 3
TRIES, LOST = 1, 1
WORK = "w"


class Plant(Enum):
    NONE = auto()
    NO_FENCE = auto()  # effects are taken whatever their number
    FROM_ANSWER = auto()  # a lease counts from when the answer came
    WALL = auto()  # on a clock that was set back
    FORGETS = auto()  # a keeper that starts grants at once, with what its disk has
    BY_CANDIDATE = auto()  # a candidate counts numbers by itself, and keepers take its word
    ANSWERS = auto()  # a majority of answers, not of keepers


class NoChance(random.Random):
    """The shortest of every wait: the search itself delays what may be delayed."""

    def uniform(self, a: float, b: float) -> float:
        return min(a, b, 0.0)


class _Keeper(Keeper):
    plant = Plant.NONE

    def highest(self, work: str) -> int:
        return 0 if self.plant is Plant.BY_CANDIDATE else super().highest(work)

    def ready(self, now_ms: float) -> bool:
        return self.plant is Plant.FORGETS or super().ready(now_ms)


class _Lease(Lease):
    plant = Plant.NONE

    def heard(self, ask: Ask, reply: Reply, now_ms: float) -> Ask | None:
        if self.plant is Plant.ANSWERS and reply.granted:
            reply = Reply(f"{reply.keeper} {len(self._granted)}", True, reply.highest)
        if self.plant is Plant.FROM_ANSWER:
            self._asked_ms = now_ms
        return super().heard(ask, reply, now_ms)


@dataclass
class World:
    """back: how far a candidate's wall clock was set back; late: answers on their way, (candidate, ask,
    reply); begun: effects that a candidate began while it held."""

    plant: Plant = Plant.NONE
    now: int = 2  # all keepers have sat out
    keepers: list[_Keeper] = field(default_factory=list)
    leases: list[_Lease] = field(default_factory=list)
    asking: list[Ask | None] = field(default_factory=lambda: [None, None])
    back: int = 0
    late: frozenset[tuple[int, Ask, Reply]] = frozenset()
    begun: frozenset[int] = frozenset()
    taken: int = 0
    wrong: str = ""
    owners: dict[int, int] = field(default_factory=dict)
    restarts: int = 0
    lost: int = 0  # questions; a few do
    tries: list[int] = field(default_factory=lambda: [0, 0])  # to get it; a few do as well
    fence: Fence = field(default_factory=Fence)

    def copy(self) -> World:
        keepers = [copy.copy(keeper) for keeper in self.keepers]
        for keeper in keepers:
            keeper.numbers, keeper.heard = dict(keeper.numbers), set(keeper.heard)
            keeper._granted = dict(keeper._granted)
        leases = [copy.copy(lease) for lease in self.leases]
        for lease in leases:
            lease._heard, lease._granted = set(lease._heard), set(lease._granted)
            lease._refused = set(lease._refused)
        return replace(
            self,
            keepers=keepers,
            leases=leases,
            asking=list(self.asking),
            owners=dict(self.owners),
            tries=list(self.tries),
            fence=Fence(self.fence.numbers),
        )

    def key(self) -> object:
        keepers = tuple(
            (tuple(k.numbers.items()), tuple(k._granted.items()), k._from_ms, tuple(sorted(k.heard)))
            for k in self.keepers
        )
        leases = tuple(
            (
                one.phase,
                one.number,
                one.until_ms,
                one._due_ms,
                one._asked_ms,
                one._highest,
                tuple(sorted(one._heard)),
                tuple(sorted(one._granted)),
                tuple(sorted(one._refused)),
            )
            for one in self.leases
        )
        return (
            keepers,
            leases,
            self.now,
            tuple(self.asking),
            self.back,
            self.late,
            self.begun,
            self.taken,
            self.wrong,
            self.restarts,
            self.lost,
            tuple(self.tries),
        )

    def clock(self, candidate: int) -> float:
        back = self.back if self.plant is Plant.WALL and candidate == 0 else 0
        return (self.now - back) * TICK_MS


def first(plant: Plant) -> World:
    world = World(plant)
    names = [f"k{n}" for n in range(KEEPERS)]
    for name in names:
        keeper = _Keeper(name, KEEPERS, LENGTH_MS, 0.0)
        keeper.plant = plant
        keeper.heard = set(names) - {name}
        world.keepers.append(keeper)
    for n in range(2):
        lease = _Lease(WORK, f"c{n}", KEEPERS, LENGTH_MS, NoChance(0), world.now * TICK_MS)
        lease.plant = plant
        world.leases.append(lease)
    return world


def steps(world: World, most: int = 4, restarts: int = 1) -> Iterator[tuple[str, World]]:
    if world.wrong:
        return
    if world.now < most:
        then = world.copy()
        then.now += 1
        yield "time passes", then
    if world.plant is Plant.WALL and not world.back:
        then = world.copy()
        then.back = 2
        yield "c0's wall clock is set back", then
    for n in range(2):
        yield from _candidate(world, n)
    for n, ask, reply in sorted(world.late, key=repr):
        then = world.copy()
        then.late = world.late - {(n, ask, reply)}
        _hear(then, n, ask, reply)
        yield f"{reply.keeper}'s late answer reaches c{n}", then
    for number in sorted(world.begun):
        then = world.copy()
        then.begun = world.begun - {number}
        _take(then, number)
        yield f"effect {number} arrives", then
    if world.restarts < restarts:
        for k, keeper in enumerate(world.keepers):
            for how in ("kept", "lost"):
                then = world.copy()
                then.restarts += 1
                numbers = keeper.numbers if how == "kept" else {}
                started = _Keeper(keeper.name, KEEPERS, LENGTH_MS, world.now * TICK_MS, numbers)
                started.plant = world.plant
                then.keepers[k] = started
                yield f"{keeper.name} starts anew, disk {how}", then
    for k, keeper in enumerate(world.keepers):
        for other in world.keepers:
            if other is not keeper and other.name not in keeper.heard and world.plant is not Plant.FORGETS:
                then = world.copy()
                then.keepers[k].learn(other.name, other.numbers)
                yield f"{keeper.name} learns from {other.name}", then


def _candidate(world: World, n: int) -> Iterator[tuple[str, World]]:
    """What it asks, it asks all keepers in one step; one of them may be missed, or answer late."""
    lease, now = world.leases[n], world.clock(n)
    then = world.copy()
    ask, then.asking[n] = then.asking[n], None
    if ask is None and (world.tries[n] < TRIES or lease.phase is not Phase.IDLE):
        ask = then.leases[n].next(now)
        then.tries[n] += then.leases[n].phase is Phase.LOOKING and lease.phase is not Phase.LOOKING
        if ask is None and then.leases[n].phase is not lease.phase:
            yield f"c{n} begins anew", then
    if ask is not None:
        if world.plant is Plant.BY_CANDIDATE and not ask.number:
            then.leases[n].phase, then.leases[n].number = Phase.CLAIMING, lease.number + 1
            ask = Ask(WORK, f"c{n}", lease.number + 1, LENGTH_MS)
        said = f"c{n} asks {_said(ask)}"
        yield said, _round(then, n, ask, frozenset(), False)
        # keepers are alike: which are slow to the first candidate and which to the other is all that counts
        if world.lost < LOST:
            few = frozenset({1, 2}) if n == 0 else frozenset({0})
            missed = _round(then, n, ask, few, False)
            missed.lost += 1
            yield f"{said}, {', '.join(f'k{k}' for k in sorted(few))} missed", missed
        if not world.late:
            yield f"{said}, k{n} answers late", _round(then, n, ask, frozenset({n}), True)
    if lease.holds(now) and lease.number not in world.begun:
        then = world.copy()
        then.begun = world.begun | {lease.number}
        yield f"c{n} begins effect {lease.number}", then


def _round(world: World, n: int, ask: Ask, odd: frozenset[int], late: bool) -> World:
    then = world.copy()
    for k in range(KEEPERS):
        if k in odd and not late:
            continue
        reply, _ = then.keepers[k].ask(ask, world.now * TICK_MS)
        if k in odd:
            then.late = then.late | {(n, ask, reply)}
        else:
            _hear(then, n, ask, reply)
            if then.plant is Plant.ANSWERS and k == 0:
                _hear(then, n, ask, reply)  # the same answer twice
    return then


def _said(ask: Ask | None) -> str:
    if ask is None:
        return "nothing"
    return "for the number" if not ask.number else f"{'back' if ask.release else 'for'} {ask.number}"


def _hear(world: World, n: int, ask: Ask, reply: Reply) -> None:
    lease = world.leases[n]
    turn = lease.heard(ask, reply, world.clock(n))
    if turn is not None:
        world.asking[n] = turn
    if lease.phase is Phase.HOLDING and lease.number:
        owner = world.owners.setdefault(lease.number, n)
        if owner != n:
            world.wrong = f"number {lease.number} is held by c{owner} and by c{n}"
    if all(one.holds(world.clock(m)) for m, one in enumerate(world.leases)):
        world.wrong = f"both hold, numbers {[one.number for one in world.leases]}"


def _take(world: World, number: int) -> None:
    if world.plant is not Plant.NO_FENCE and not world.fence.admits(WORK, number):
        return
    if number < world.taken:
        world.wrong = f"effect {number} is taken after {world.taken}"
    world.taken = max(world.taken, number)


def broken(world: World) -> str | None:
    return world.wrong or None


def searched(plant: Plant, most: int = 4, restarts: int = 1) -> int | str:
    """States, or what was found."""
    try:
        return search([first(plant)], World.key, lambda w: steps(w, most, restarts), broken).states
    except Violation as error:
        return str(error)
