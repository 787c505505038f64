"""When a director sends a feed the purges that it lacks: a feed that lost its disk is filled again by
whoever still knows. Pure. Purges join, so several at once do no harm; it would only be a crowd, so each
waits for a moment of its own, and mostly finds that another has done it."""

from __future__ import annotations

import random

from ..control.positions import Vector

WAIT_MS = (700.0, 2_500.0)  # from seeing that a feed lacks something: it may be under way from another feed
AGAIN_MS = 3_000.0  # from one sending to the next


class Reseed:
    """For one feed."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._due_ms = 0.0  # 0: it lacks nothing, as far as was seen

    def due(self, known: Vector, told: Vector | None, now_ms: float) -> bool:
        """Whether to send now what is known here beyond what the feed told last; None: it has told nothing
        since the connection came."""
        if told is None or not lacking(known, told):
            self._due_ms = 0.0
            return False
        if not self._due_ms:
            self._due_ms = now_ms + self._rng.uniform(*WAIT_MS)
        if now_ms < self._due_ms:
            return False
        self._due_ms = now_ms + AGAIN_MS + self._rng.uniform(*WAIT_MS)
        return True


def lacking(known: Vector, told: Vector) -> bool:
    return any(last > told.get(stream, 0) for stream, last in known.items())
