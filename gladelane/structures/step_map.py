"""A map from integers to values that is constant over ranges, and in which a value changes by joins only.

It consists of two parallel lists that are searched by bisection, so a lookup takes time logarithmic in the
number of steps. A join over a range takes time linear in the number of steps inside it. It merges neighbours
that become equal, so that a join over a wide range also reduces the number of steps.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Value = TypeVar("Value")
MAX_KEY = 2**64 - 1


class StepMap(Generic[Value]):
    """Maps each 64-bit integer to a value, which is `bottom` until a value is joined there.

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
        """Returns the value of one integer."""
        return self._values[bisect_right(self._starts, key) - 1]

    def join(self, low: int, high: int, value: Value) -> None:
        """Joins a value to the values from `low` to `high`, both included. Raises ValueError if this is not a
        range of 64-bit integers."""
        if not 0 <= low <= high <= MAX_KEY:
            raise ValueError(f"{low} to {high} is not a range of 64-bit integers")
        index = bisect_right(self._starts, low) - 1
        if self._is_inside_step(index, low, high):
            self._join_inside_step(index, low, high, value)
            return
        first = self._split_at(low)
        last = self._split_at(high + 1) if high < MAX_KEY else len(self._starts)
        join = self._join
        self._replace(first, last, [join(old, value) for old in self._values[first:last]])

    def within(self, low: int, high: int) -> list[Value]:
        """Returns the values of all steps that overlap the range from `low` to `high`, both included."""
        return self._values[bisect_right(self._starts, low) - 1 : bisect_right(self._starts, high)]

    def update_values(self, change: Callable[[Value], Value]) -> None:
        """Replaces every value by `change(value)`, and merges neighbours that become equal."""
        self._replace(0, len(self._starts), [change(value) for value in self._values])

    def steps(self) -> Iterator[tuple[int, Value]]:
        """Yields the start and the value of each step, in ascending order."""
        return zip(self._starts, self._values, strict=True)

    def _is_inside_step(self, index: int, low: int, high: int) -> bool:
        """Whether the step at this index begins before the range and ends after it."""
        if self._starts[index] >= low or high >= MAX_KEY:
            return False
        return index + 1 == len(self._starts) or self._starts[index + 1] > high + 1

    def _join_inside_step(self, index: int, low: int, high: int, value: Value) -> None:
        """Joins a value inside one step, which becomes three. Nearly all joins are of this kind, so both
        splits are made in one operation."""
        old = self._values[index]
        new = self._join(old, value)
        if new != old:
            self._starts[index + 1 : index + 1] = array("Q", (low, high + 1))
            self._values[index + 1 : index + 1] = [new, old]

    def _split_at(self, key: int) -> int:
        """Returns the index of the step that starts at a key, and creates that step if there is none."""
        index = bisect_right(self._starts, key) - 1
        if self._starts[index] == key:
            return index
        self._starts.insert(index + 1, key)
        self._values.insert(index + 1, self._values[index])
        return index + 1

    def _replace(self, first: int, last: int, values: list[Value]) -> None:
        """Sets the values of the steps from `first` up to but excluding `last`, and merges equal neighbours
        among them and at both ends."""
        merged_starts = array("Q")
        merged: list[Value] = []
        for start, value in zip(self._starts[first:last], values, strict=True):
            previous = merged[-1] if merged else self._values[first - 1] if first else None
            if (merged or first) and value == previous:
                continue
            merged_starts.append(start)
            merged.append(value)
        last_value = merged[-1] if merged else self._values[first - 1]
        if last < len(self._values) and self._values[last] == last_value:
            last += 1
        self._starts[first:last] = merged_starts
        self._values[first:last] = merged
