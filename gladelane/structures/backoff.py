"""Exponential backoff with jitter, so that clients that lost a server at the same moment retry at different
times."""

from __future__ import annotations

import random

#: The share of a wait that jitter may subtract. Jitter is never added, so no wait exceeds its maximum.
JITTER = 0.5


class Backoff:
    """Waits that start at `first_s` and double up to `max_s` while attempts do not succeed."""

    def __init__(self, rng: random.Random, first_s: float, max_s: float) -> None:
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s
        self._wait_s = first_s

    def after(self, succeeded: bool) -> float:
        """Returns the wait in s after an attempt. A success resets the wait to `first_s`."""
        self._wait_s = self._first_s if succeeded else min(self._wait_s * 2, self._max_s)
        return self._wait_s * (1.0 - JITTER * self._rng.random())
