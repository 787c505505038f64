"""Decides when a director sends a purge log server the purges that the server lacks.

It does no I/O and reads no clock. A server that lost its disk receives the purges again from any director
that still has them. It does no harm if several directors send the same purges, since a purge is applied only
once. To avoid many transfers at once, each director waits for a random time first, after which another
director has usually sent the purges.
"""

from __future__ import annotations

import random

from ..control_plane.positions import Vector
from .vectors import includes

MIN_WAIT_MS = 700.0  # meanwhile the server may receive what it lacks from another server
MAX_WAIT_MS = 2_500.0
RETRY_MS = 3_000.0  # from one backfill to the next, in addition to the random wait


class BackfillSchedule:
    """Decides when to backfill one server."""

    def __init__(self, rng: random.Random) -> None:
        """`rng` draws the waiting times."""
        self._rng = rng
        self._due_ms = 0.0  # 0.0: the server is not known to lack anything

    def is_due(self, known: Vector, reported: Vector | None, now_ms: float) -> bool:
        """Returns whether to send now the purges of `known` after the position that the server reported last.

        `reported` is None if the server has not reported a position on its current connection."""
        if reported is None or includes(reported, known):
            self._due_ms = 0.0
            return False
        if not self._due_ms:
            self._due_ms = now_ms + self._wait_ms()
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + RETRY_MS + self._wait_ms()
        return True

    def _wait_ms(self) -> float:
        return self._rng.uniform(MIN_WAIT_MS, MAX_WAIT_MS)
