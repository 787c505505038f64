"""The purges that were received last, each with the time at which its stated delay begins.

This module does no I/O and reads no clock. The index joins purges, so it knows the newest one for a request
but not which of them were accepted long enough ago to bind an answer. The few purges that arrived while a
request was out are therefore also kept one by one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from .receipt import EffectiveTimes
from .scope import Scope

MAX_RECENT_PURGES = 512


class RecentPurge(NamedTuple):
    """A purge as it was received.

    Attributes: scope; times, from which on it applies; accepted_ms, when a server accepted it, as early as
    that may have been; received_ms, when it was received. All times are in Unix ms."""

    scope: Scope
    times: EffectiveTimes
    accepted_ms: float
    received_ms: float


class RecentPurges:
    """The latest `MAX_RECENT_PURGES` purges, in the order in which they were received."""

    def __init__(self) -> None:
        self._purges: deque[RecentPurge] = deque()
        self._dropped_ms = 0.0  # when the newest purge that is no longer kept was received

    def add(self, purge: RecentPurge) -> None:
        """Adds a purge that was received now."""
        self._purges.append(purge)
        if len(self._purges) > MAX_RECENT_PURGES:
            self._dropped_ms = self._purges.popleft().received_ms

    def is_complete_since(self, since_ms: float) -> bool:
        """Returns whether all purges that were received from a time on are kept."""
        return self._dropped_ms < since_ms

    def accepted_until(
        self, cls: str, group: int, object_: int, part: int, since_ms: float, until_ms: float
    ) -> tuple[EffectiveTimes, ...]:
        """Returns when the purges of one part of an object apply that were received from `since_ms` on and
        accepted until `until_ms`. Objects are numbered from 0."""
        return tuple(
            purge.times
            for purge in self._received_since(since_ms)
            if purge.accepted_ms <= until_ms and purge.scope.covers(cls, group, object_, part)
        )

    def _received_since(self, since_ms: float) -> Iterator[RecentPurge]:
        """Yields the newest purge first."""
        for purge in reversed(self._purges):
            if purge.received_ms < since_ms:
                return
            yield purge
