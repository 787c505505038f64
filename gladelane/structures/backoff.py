"""Waits between calls of one service: doubling, and spread, so that many cut off as one come back apart."""

from __future__ import annotations

import random

SPREAD = 0.5  # part of a wait that chance may take off; none is longer than its bound


class Backoff:
    """From `first_s`, doubling up to `most_s` while a call brings nothing new, each shortened by chance."""

    def __init__(self, rng: random.Random, first_s: float, most_s: float) -> None:
        self._rng, self._first_s, self._most_s = rng, first_s, most_s
        self._wait_s = first_s

    def after(self, heard: bool) -> float:
        """The wait after a call that brought something new, or nothing."""
        self._wait_s = self._first_s if heard else min(self._wait_s * 2, self._most_s)
        return self._wait_s * (1.0 - SPREAD * self._rng.random())
