"""A function of whole numbers that is constant over ranges, and is only ever joined upwards.

Two parallel lists, searched by bisection: a look-up costs the logarithm of the number of steps. A join over a
range costs the steps inside it, which it replaces where it covers them, so the newest wide range also cleans
up.
"""

from __future__ import annotations

from array import array
from bisect import bisect_right
from collections.abc import Callable, Iterator
from typing import Generic, TypeVar

Value = TypeVar("Value")
MOST = 2**64 - 1


class StepMap(Generic[Value]):
    """Over the numbers of 64 bits; `nothing` holds wherever nothing was joined.

    join must be commutative, associative and idempotent (a join of a semilattice): then the map does not
    depend on the order of the calls."""

    def __init__(self, nothing: Value, join: Callable[[Value, Value], Value]) -> None:
        self._nothing = nothing
        self._join = join
        self._starts = array("Q", [0])  # each step holds from its start to the next one's
        self._values = [nothing]

    def __len__(self) -> int:
        """Steps held."""
        return len(self._starts)

    def at(self, number: int) -> Value:
        return self._values[bisect_right(self._starts, number) - 1]

    def join(self, low: int, high: int, value: Value) -> None:
        """Joins a value over low to high, both included."""
        if not 0 <= low <= high <= MOST:
            raise ValueError(f"{low} to {high} is no range of numbers of 64 bits")
        place = bisect_right(self._starts, low) - 1
        if (
            self._starts[place] < low
            and high < MOST
            and (place + 1 == len(self._starts) or self._starts[place + 1] > high + 1)
        ):  # strictly inside one step, as nearly all are: both cuts at once
            old = self._values[place]
            new = self._join(old, value)
            if new != old:
                self._starts[place + 1 : place + 1] = array("Q", (low, high + 1))
                self._values[place + 1 : place + 1] = [new, old]
            return
        first = self._cut(low)
        last = self._cut(high + 1) if high < MOST else len(self._starts)
        join = self._join
        self._put(first, last, [join(old, value) for old in self._values[first:last]])

    def within(self, low: int, high: int) -> list[Value]:
        """The values of all steps that a range touches."""
        return self._values[bisect_right(self._starts, low) - 1 : bisect_right(self._starts, high)]

    def keep(self, change: Callable[[Value], Value]) -> None:
        """Changes every value, and joins neighbours that came to be equal."""
        self._put(0, len(self._starts), [change(value) for value in self._values])

    def steps(self) -> Iterator[tuple[int, Value]]:
        """Each start with its value, ascending."""
        return zip(self._starts, self._values, strict=True)

    def _cut(self, number: int) -> int:
        """The place of the step that starts at a number, made if there is none."""
        place = bisect_right(self._starts, number) - 1
        if self._starts[place] == number:
            return place
        self._starts.insert(place + 1, number)
        self._values.insert(place + 1, self._values[place])
        return place + 1

    def _put(self, first: int, last: int, values: list[Value]) -> None:
        """Sets the values from first on, up to last, and merges equal neighbours there and at both edges."""
        kept_starts = array("Q")
        kept: list[Value] = []
        for start, value in zip(self._starts[first:last], values, strict=True):
            before = kept[-1] if kept else self._values[first - 1] if first else None
            if (kept or first) and value == before:
                continue
            kept_starts.append(start)
            kept.append(value)
        edge = kept[-1] if kept else self._values[first - 1]
        if last < len(self._values) and self._values[last] == edge:
            last += 1
        self._starts[first:last] = kept_starts
        self._values[first:last] = kept
