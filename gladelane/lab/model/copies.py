"""What a cache keeps: copies by rank, the lowest rank leaving first, in a rank what was used longest ago.

Pure. A copy pushes out only what has its own rank or a lower one; where that is not enough it is not kept.
Sizes in KB, dates in ms: when the origin gave the copy out.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Thing = TypeVar("Thing", bound=Hashable)
RANKS = 3  # 1 to 3; 0 keeps nothing


class Copies(Generic[Thing]):
    def __init__(self, room: float) -> None:
        self.room = room
        self.used = 0.0
        # of each rank, least lately used first
        self._ranks: list[OrderedDict[Thing, None]] = [OrderedDict() for _ in range(RANKS)]
        self._sums = [0.0] * RANKS
        self._held: dict[Thing, tuple[int, float, float]] = {}  # rank, size, date

    def __len__(self) -> int:
        return len(self._held)

    def dated(self, thing: Thing) -> float | None:
        held = self._held.get(thing)
        return None if held is None else held[2]

    def use(self, thing: Thing, rank: int) -> None:
        """A hit sets the rank anew; 0 leaves it."""
        was, size, dated = self._held[thing]
        del self._ranks[was - 1][thing]
        self._sums[was - 1] -= size
        self._sums[(rank or was) - 1] += size
        self._held[thing] = (rank or was, size, dated)
        self._ranks[(rank or was) - 1][thing] = None

    def keep(self, thing: Thing, rank: int, size: float, dated: float) -> bool:
        """Whether it is kept. A copy that is there already goes, also where the new one finds no room."""
        self.drop(thing)
        if not rank or size > self.room - sum(self._sums[rank:]):
            return False
        for lower in self._ranks[:rank]:
            while self.used + size > self.room and lower:
                self.drop(next(iter(lower)))
        self._held[thing] = (rank, size, dated)
        self._ranks[rank - 1][thing] = None
        self.used += size
        self._sums[rank - 1] += size
        return True

    def drop(self, thing: Thing) -> None:
        held = self._held.pop(thing, None)
        if held is not None:
            del self._ranks[held[0] - 1][thing]
            self.used -= held[1]
            self._sums[held[0] - 1] -= held[1]

    def purge(self, covered: Callable[[Thing], bool], at: float) -> int:
        """Drops covered copies that are older; gives how many."""
        gone = [thing for thing, (_, _, dated) in self._held.items() if dated < at and covered(thing)]
        for thing in gone:
            self.drop(thing)
        return len(gone)

    def clear(self) -> None:
        """The process began anew."""
        for thing in list(self._held):
            self.drop(thing)
