"""Random names and numbers for generated deployments: one source, so that one seed gives one deployment."""

from __future__ import annotations

import random


class Draws:
    """A source of random names and numbers. Callers use `rng` as well. No name is returned twice."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self._names: set[str] = set()

    def name(self) -> str:
        """A new name of letters, such as `abc-def`."""
        while True:
            number, letters = self.rng.randrange(1 << 28), ""
            while number or not letters:
                number, letter = divmod(number, 26)
                letters += chr(ord("a") + letter)
            name = f"{letters[:3]}-{letters[3:]}"
            if name not in self._names:
                self._names.add(name)
                return name

    def between(self, least: float, most: float) -> float:
        """A number with a uniformly distributed logarithm, so that small values are as likely as large
        ones."""
        return float(least * (most / least) ** self.rng.random())
