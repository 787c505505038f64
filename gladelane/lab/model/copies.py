"""Cache storage with ranks: evicts from the lowest rank first, within a rank the least recently used copy.

Pure. A copy evicts only copies of its own rank or a lower one; if that does not free enough, it is not
stored. Sizes are in KB. The date of a copy is when the origin sent it out, in ms.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
RANKS = 3  # ranks are 1 to 3; rank 0 means that a copy is not stored


class Copies(Generic[Key]):
    """The copies of one store, with a total size of at most `storage_kb`."""

    def __init__(self, storage_kb: float) -> None:
        self.storage_kb = storage_kb
        self.used = 0.0
        # the keys of each rank, least recently used first
        self._ranks: list[OrderedDict[Key, None]] = [OrderedDict() for _ in range(RANKS)]
        self._sums = [0.0] * RANKS
        self._copies: dict[Key, tuple[int, float, float]] = {}  # rank, size, date

    def __len__(self) -> int:
        return len(self._copies)

    def dated(self, key: Key) -> float | None:
        """The date of a copy; None if there is no copy."""
        copy = self._copies.get(key)
        return None if copy is None else copy[2]

    def use(self, key: Key, rank: int) -> None:
        """Records a hit, which sets the rank; 0 leaves the rank unchanged."""
        was, size, dated = self._copies[key]
        del self._ranks[was - 1][key]
        self._sums[was - 1] -= size
        self._sums[(rank or was) - 1] += size
        self._copies[key] = (rank or was, size, dated)
        self._ranks[(rank or was) - 1][key] = None

    def keep(self, key: Key, rank: int, size: float, dated: float) -> bool:
        """Stores a copy; False if there is no capacity. An earlier copy is removed in either case."""
        self.drop(key)
        if not rank or size > self.storage_kb - sum(self._sums[rank:]):
            return False
        for lower in self._ranks[:rank]:
            while self.used + size > self.storage_kb and lower:
                self.drop(next(iter(lower)))
        self._copies[key] = (rank, size, dated)
        self._ranks[rank - 1][key] = None
        self.used += size
        self._sums[rank - 1] += size
        return True

    def drop(self, key: Key) -> None:
        """Removes a copy, if there is one."""
        copy = self._copies.pop(key, None)
        if copy is not None:
            del self._ranks[copy[0] - 1][key]
            self.used -= copy[1]
            self._sums[copy[0] - 1] -= copy[1]

    def purge(self, covered: Callable[[Key], bool], at: float) -> int:
        """Removes the covered copies that are older than `at`; returns their number."""
        gone = [key for key, (_, _, dated) in self._copies.items() if dated < at and covered(key)]
        for key in gone:
            self.drop(key)
        return len(gone)

    def clear(self) -> None:
        """Removes all copies, as a restart of the process does."""
        for key in list(self._copies):
            self.drop(key)
