"""Weighted rendezvous hashing over a fixed table of members, for tables of thousands.

Each member has a score for a key, and the members are ranked by it. A direct implementation computes and
sorts all scores for every key. Here only the few members that can rank first are scored:

- The hashes of all members are computed together, as one long integer with a 128-bit lane for each member:
  the hash multiplies twice by 64-bit constants, and a product fits its lane without reaching into the next.
- A member can only be among the first few if its hash reaches a threshold that depends on its weight alone.
  The thresholds are chosen so that TOP_COUNT members pass on average, and are computed once for each table.
- The ranks of recent keys are cached.

The ranking is exactly that of `score`, with ties in the order of the table; tests compare the two.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator, Sequence
from math import exp, log
from struct import pack
from typing import Generic, TypeVar

Item = TypeVar("Item")

MASK = (1 << 64) - 1
HASH_BITS, LANE_BITS = 64, 128  # a hash is in the lower half of its lane; products also need the upper half
#: Average number of members that pass their thresholds. Hardly any request needs more.
TOP_COUNT = 6
#: Tolerance for rounded thresholds: below this multiple of the minimum score the ranking may be incomplete.
MARGIN = 1.0 + 1e-9
#: Number of keys whose ranks are cached.
RECENT_KEYS = 2048
_KEY_FACTOR, _FIRST_FACTOR, _SECOND_FACTOR = 0x9E3779B97F4A7C15, 0xBF58476D1CE4E5B9, 0x94D049BB133111EB


def hash_key(salt: int, key: int) -> int:
    """The 64-bit hash of a key for one member. It is the same in every process, as Python's own hash of
    strings is not."""
    x = (salt ^ (key * _KEY_FACTOR)) & MASK
    x = ((x ^ (x >> 30)) * _FIRST_FACTOR) & MASK
    x = ((x ^ (x >> 27)) * _SECOND_FACTOR) & MASK
    return x ^ (x >> 31)


def score(hashed: int, weight: float) -> float:
    """A member's score for a key, from its hash and its weight. The greatest score ranks first. Each member
    ranks first for a share of the keys that equals its share of the total weight."""
    return -weight / log((hashed + 1) / (MASK + 2))


class RendezvousTable(Generic[Item]):
    """An immutable table of weighted members that ranks them for a key."""

    def __init__(self, items: Sequence[Item], salts: Sequence[int], weights: Sequence[float]) -> None:
        """For each member: the item, its salt (64 bits, a hash of the member's name) and its positive
        weight."""
        self._items, self._salts, self._weights = tuple(items), tuple(salts), tuple(weights)
        self._min_score = sum(self._weights) / TOP_COUNT
        self._ones = _lanes([1] * len(self._items))
        self._mask = self._ones * MASK
        self._salt_lanes = _lanes(self._salts)
        thresholds = {weight: self._threshold(weight) for weight in set(self._weights)}
        self._threshold_lanes = _lanes([thresholds[weight] for weight in self._weights])
        self._recent: OrderedDict[int, tuple[Item, ...]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._items)

    def ranked(self, key: int) -> Iterator[Item]:
        """Yields all members by rank. Those after the first few are only ranked when the iteration reaches
        them."""
        top = self._recent.get(key)
        if top is None:
            top = self._recent[key] = self._rank_top(key)
            if len(self._recent) > RECENT_KEYS:
                self._recent.popitem(last=False)
        else:
            self._recent.move_to_end(key)
        yield from top
        if len(top) < len(self._items):
            yield from self._rank(range(len(self._items)), key)[len(top) :]

    def _threshold(self, weight: float) -> int:
        """The smallest hash with which a member of this weight reaches the minimum score."""
        return int(exp(-weight / self._min_score) * (MASK + 2) / MARGIN)

    def _rank_top(self, key: int) -> tuple[Item, ...]:
        """Returns the first few members by rank. By chance there may be none."""
        if len(self._items) <= TOP_COUNT:
            return tuple(self._rank(range(len(self._items)), key))
        return tuple(self._rank(self._candidates(key), key, MARGIN * self._min_score))

    def _rank(self, indices: Sequence[int], key: int, min_score: float = 0.0) -> list[Item]:
        """The members at these indices by rank, without those whose score is below `min_score`."""
        salts, weights = self._salts, self._weights
        scored = [(-score(hash_key(salts[index], key), weights[index]), index) for index in indices]
        scored.sort()
        return [self._items[index] for negative, index in scored if -negative >= min_score]

    def _candidates(self, key: int) -> list[int]:
        """The indices of the members whose hashes reach their thresholds."""
        mask = self._mask
        x = self._salt_lanes ^ (self._ones * ((key * _KEY_FACTOR) & MASK))
        x = (((x ^ (x >> 30)) & mask) * _FIRST_FACTOR) & mask
        x = (((x ^ (x >> 27)) & mask) * _SECOND_FACTOR) & mask
        x = (x ^ (x >> 31)) & mask
        # The bit above each hash absorbs the borrow of the subtraction, and remains set if the hash reaches
        # the threshold.
        reached = (((x | (self._ones << HASH_BITS)) - self._threshold_lanes) >> HASH_BITS) & self._ones
        indices = []
        while reached:
            top_bit = reached.bit_length() - 1
            indices.append(top_bit // LANE_BITS)
            reached ^= 1 << top_bit
        return indices


def _lanes(numbers: Sequence[int]) -> int:
    """One long integer with each number in a lane of its own, the first one lowest."""
    halves = [0] * (2 * len(numbers))
    halves[::2] = numbers
    return int.from_bytes(pack(f"<{len(halves)}Q", *halves), "little")
