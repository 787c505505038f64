"""When a director sends a purge log server the purges that it lacks. Pure.

A server that lost its disk is filled again by any director that still has the purges. Several may do so at
once without harm, since purges are joined. To avoid a crowd, each waits for a random time, after which it
mostly finds that another director was first.
"""

from __future__ import annotations

import random

from ..control_plane.positions import Vector
from .vectors import includes

MIN_WAIT_MS = 700.0  # what a server lacks may be on its way from another server
MAX_WAIT_MS = 2_500.0
RETRY_MS = 3_000.0  # from one backfill to the next, in addition to the wait


class BackfillSchedule:
    """Decides when to backfill one server."""

    def __init__(self, rng: random.Random) -> None:
        """`rng` draws the waiting times."""
        self._rng = rng
        self._due_ms = 0.0  # 0.0: the server was not seen to lack anything

    def due(self, known: Vector, reported: Vector | None, now_ms: float) -> bool:
        """Returns whether to send now what `known` has beyond the position that the server reported last.

        `reported` is None if the server has reported nothing on its current connection."""
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
