"""The purges from discovery that are still active, by their time of arrival and their date. Pure.

How long a purge is active is counted from its arrival, on the monotonic clock. Its date is compared only with
dates of copies: both come from the platform, so this machine's clock takes no part.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from ..clock import UnixMs
from ..discovery.events import WatchEvent

NO_DATE = UnixMs(0.0)


def oldest_by_purge_servers(dated_ms: float, heard_ms: float, now_ms: float, shift_ms: float) -> UnixMs:
    """The date from before which no copy may be served, by the purges of control servers; 0: there are none.

    `dated_ms` is the newest of their own dates, `heard_ms` when that one arrived by our clock, `shift_ms` is
    by `FreshCopies`. A date ahead of our clock counts as now: the server's clock is ahead. Where our clock is
    ahead of the origin's too, a purge has the origin's time of its arrival. Where ours is behind, dates of
    servers were taken for ones ahead, and only the arrival counts."""
    if not heard_ms:
        return NO_DATE
    by_origin_ms = min(heard_ms, now_ms) + shift_ms
    return UnixMs(by_origin_ms if shift_ms > 0.0 else min(dated_ms, by_origin_ms))


class _Heard(NamedTuple):
    heard_ms: float
    dated: UnixMs


class KnownPurges:
    """Active purges. Objects count from 1, and 0 stands for all of a group, as in the router.

    `binds_ms`, for how long a purge is active, is an argument of each question, so that new settings apply to
    earlier purges too."""

    def __init__(self) -> None:
        self._newest: dict[tuple[int, int], _Heard] = {}  # by object and group
        self._events: deque[tuple[float, tuple[int, int], WatchEvent]] = deque()  # in order of arrival

    def add(self, object_: int, group: int, dated: UnixMs, event: WatchEvent, now_ms: float) -> None:
        """Records a purge that arrived now; `event` is the one that carried it."""
        place = object_, group
        known = self._newest.get(place, _Heard(now_ms, NO_DATE))
        self._newest[place] = _Heard(now_ms, max(dated, known.dated))
        self._events.append((now_ms, place, event))

    def newest_date(self, object_: int, group: int, now_ms: float, binds_ms: float) -> UnixMs:
        """The date from before which no copy of an object may be served; `NO_DATE`: any copy may."""
        found = self._newest.get((object_, 0)), self._newest.get((0, group))
        binding = [one.dated for one in found if one is not None and now_ms - one.heard_ms <= binds_ms]
        return max(binding, default=NO_DATE)

    def watch_events(self) -> list[WatchEvent]:
        """The events that carried the purges, in order of arrival."""
        return [event for _, _, event in self._events]

    def drop_expired(self, now_ms: float, retention_ms: float) -> None:
        """Forgets those that arrived longer ago."""
        while self._events and now_ms - self._events[0][0] > retention_ms:
            heard_ms, place, _ = self._events.popleft()
            known = self._newest.get(place)
            if known is not None and known.heard_ms <= heard_ms:
                del self._newest[place]
