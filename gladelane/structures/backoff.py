"""Exponential backoff with jitter, so that many clients that lost a server at once return at different
times."""

from __future__ import annotations

import random

#: The part of a wait that jitter may take off. Jitter never adds: no wait exceeds its bound.
JITTER = 0.5


class Backoff:
    """Waits that start at `first_s` and double up to `max_s` for as long as calls bring nothing new."""

    def __init__(self, rng: random.Random, first_s: float, max_s: float) -> None:
        self._rng = rng
        self._first_s = first_s
        self._max_s = max_s
        self._wait_s = first_s

    def after(self, succeeded: bool) -> float:
        """The wait in s after a call. One that succeeded, or brought something new, starts over."""
        self._wait_s = self._first_s if succeeded else min(self._wait_s * 2, self._max_s)
        return self._wait_s * (1.0 - JITTER * self._rng.random())
