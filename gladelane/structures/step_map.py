"""A map from integers to values that is constant over ranges, and whose values are only ever joined
upwards.

It consists of two parallel lists that are searched by bisection: a lookup costs the logarithm of the number
of steps. A join over a range costs the number of steps inside it, which it merges where the result is equal,
so that the newest wide range also cleans up.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Value = TypeVar("Value")
MAX_KEY = 2**64 - 1


class StepMap(Generic[Value]):
    """Maps each 64-bit integer to a value: `bottom` unless some value was joined there.

    `join` must be commutative, associative and idempotent (the join of a semilattice): then the map does not
    depend on the order of the calls.
    """

    def __init__(self, bottom: Value, join: Callable[[Value, Value], Value]) -> None:
        self._join = join
        self._starts = array("Q", [0])  # each step reaches from its start to the next one's
        self._values = [bottom]

    def __len__(self) -> int:
        """The number of steps."""
        return len(self._starts)

    def at(self, key: int) -> Value:
        """The value of one integer."""
        return self._values[bisect_right(self._starts, key) - 1]

    def join(self, low: int, high: int, value: Value) -> None:
        """Joins a value over `low` to `high`, both included. Raises ValueError for no range of 64-bit
        integers."""
        if not 0 <= low <= high <= MAX_KEY:
            raise ValueError(f"{low} to {high} is no range of numbers of 64 bits")
        index = bisect_right(self._starts, low) - 1
        if self._is_inside_step(index, low, high):
            self._join_inside_step(index, low, high, value)
            return
        first = self._split_at(low)
        last = self._split_at(high + 1) if high < MAX_KEY else len(self._starts)
        join = self._join
        self._replace(first, last, [join(old, value) for old in self._values[first:last]])

    def within(self, low: int, high: int) -> list[Value]:
        """The values of all steps that a range overlaps, both ends included."""
        return self._values[bisect_right(self._starts, low) - 1 : bisect_right(self._starts, high)]

    def update_values(self, change: Callable[[Value], Value]) -> None:
        """Replaces every value by `change(value)`, and merges neighbours that became equal."""
        self._replace(0, len(self._starts), [change(value) for value in self._values])

    def steps(self) -> Iterator[tuple[int, Value]]:
        """Each step's start with its value, ascending."""
        return zip(self._starts, self._values, strict=True)

    def _is_inside_step(self, index: int, low: int, high: int) -> bool:
        """Whether the step at this index begins before the range and ends after it."""
        if self._starts[index] >= low or high >= MAX_KEY:
            return False
        return index + 1 == len(self._starts) or self._starts[index + 1] > high + 1

    def _join_inside_step(self, index: int, low: int, high: int, value: Value) -> None:
        """Splits one step into three. Nearly all joins are of this kind, so both splits are made at once."""
        old = self._values[index]
        new = self._join(old, value)
        if new != old:
            self._starts[index + 1 : index + 1] = array("Q", (low, high + 1))
            self._values[index + 1 : index + 1] = [new, old]

    def _split_at(self, key: int) -> int:
        """The index of the step that starts at a key, which is created if there is none."""
        index = bisect_right(self._starts, key) - 1
        if self._starts[index] == key:
            return index
        self._starts.insert(index + 1, key)
        self._values.insert(index + 1, self._values[index])
        return index + 1

    def _replace(self, first: int, last: int, values: list[Value]) -> None:
        """Sets the values of the steps from `first` up to `last`, which is excluded, and merges equal
        neighbours among them and at both ends."""
        merged_starts = array("Q")
        merged: list[Value] = []
        for start, value in zip(self._starts[first:last], values, strict=True):
            before = merged[-1] if merged else self._values[first - 1] if first else None
            if (merged or first) and value == before:
                continue
            merged_starts.append(start)
            merged.append(value)
        end = merged[-1] if merged else self._values[first - 1]
        if last < len(self._values) and self._values[last] == end:
            last += 1
        self._starts[first:last] = merged_starts
        self._values[first:last] = merged
