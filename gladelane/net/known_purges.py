"""The purges from discovery that are still active, with their arrival times and dates. Pure.

How long a purge has been active is measured from its arrival, on the monotonic clock. Its date is compared
only with dates of copies. Both dates come from the platform, so the clock of this machine has no influence.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ..clock import UnixMs
from ..discovery.events import WatchEvent

NO_DATE = UnixMs(0.0)


def min_date_by_purge_servers(dated_ms: float, received_ms: float, now_ms: float, shift_ms: float) -> UnixMs:
    """The oldest date that a copy may have by the purges of control servers; 0 if there are no purges.

    `dated_ms` is the newest date of a purge by the control servers' clocks, `received_ms` is when that purge
    arrived by our clock, and `shift_ms` is what `FreshCopies` returns. A date after its arrival comes from a
    server whose clock is ahead of ours, so the arrival counts instead. The arrival is converted to the
    origin's time. If our clock is behind the origin's, correct dates of control servers seem to be ahead too,
    so only the arrival counts then."""
    if not received_ms:
        return NO_DATE
    by_origin_ms = min(received_ms, now_ms) + shift_ms
    return UnixMs(by_origin_ms if shift_ms > 0.0 else min(dated_ms, by_origin_ms))


class _ReceivedPurge(NamedTuple):
    received_ms: float
    dated: UnixMs


class KnownPurges:
    """The active purges. As in the router, objects are numbered from 1, and 0 stands for all of a group.

    How long a purge is active is passed as `active_ms` with each query, so that changed settings apply to
    earlier purges too."""

    def __init__(self) -> None:
        self._newest: dict[tuple[int, int], _ReceivedPurge] = {}  # by object and group
        self._events: deque[tuple[float, tuple[int, int], WatchEvent]] = deque()  # in order of arrival

    def add(self, object_: int, group: int, dated: UnixMs, event: WatchEvent, now_ms: float) -> None:
        """Records a purge that arrived now, carried by `event`."""
        target = object_, group
        known = self._newest.get(target, _ReceivedPurge(now_ms, NO_DATE))
        self._newest[target] = _ReceivedPurge(now_ms, max(dated, known.dated))
        self._events.append((now_ms, target, event))

    def min_copy_date(self, object_: int, group: int, now_ms: float, active_ms: float) -> UnixMs:
        """The oldest date that a copy of an object may have; `NO_DATE` if any copy may be served."""
        found = self._newest.get((object_, 0)), self._newest.get((0, group))
        active = [one.dated for one in found if one is not None and now_ms - one.received_ms <= active_ms]
        return max(active, default=NO_DATE)

    def watch_events(self) -> list[WatchEvent]:
        """The events that carried the purges, in order of arrival."""
        return [event for _, _, event in self._events]

    def drop_expired(self, now_ms: float, retention_ms: float) -> None:
        """Drops purges that arrived longer than `retention_ms` ago."""
        while self._events and now_ms - self._events[0][0] > retention_ms:
            received_ms, target, _ = self._events.popleft()
            known = self._newest.get(target)
            if known is not None and known.received_ms <= received_ms:
                del self._newest[target]
