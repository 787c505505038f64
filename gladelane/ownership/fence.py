"""What takes effects: the highest number seen for each piece of work, and nothing from a lower one. Pure.

An owner that slept past its lease may still send what it had begun; the fence is what makes that harmless.
Whoever keeps one stores a number that is new before it lets the effect have its way, and takes the stored
numbers at its start. A number that a fence has seen binds also its own owner: what an earlier tenure of the
same owner sends late is refused like anybody else's.
"""

from __future__ import annotations

from collections.abc import Mapping


class Fence:
    def __init__(self, numbers: Mapping[str, int] | None = None) -> None:
        self.numbers = dict(numbers or {})
        self.refused = 0

    def admits(self, work: str, number: int) -> bool:
        """Whether an effect may have its way; a number that is new has to be stored first (`raises`)."""
        if number < self.numbers.get(work, 0):
            self.refused += 1
            return False
        self.numbers[work] = number
        return True

    def raises(self, work: str, number: int) -> bool:
        """Whether a number is higher than any seen."""
        return number > self.numbers.get(work, 0)
