"""How far the clock of one peer is ahead of ours, no less than it can be. Pure. All times are in Unix ms.

A peer sends its clock with each event. An event is read after it was sent, by an unknown time, so each one
bounds the difference from below only: a purge that is dated by it alone may be dated before it was requested.
The first event of a stream answers our request, so its clock was also read after we sent that: it bounds the
difference from above as well, by the round trip. Later events answer nothing. As their fastest took no longer
than the round trip, the difference is at most the best bound from below plus the round trip.
"""

from __future__ import annotations

import math

#: A round trip on an idle machine says little about a busy one. Dates of copies are compared with this slack.
MIN_ROUND_TRIP_MS = 5.0
#: A request may have been answered late, so the events of the window after it, which come every second, count
#: more: the fastest of them took no longer than this.
MAX_ROUND_TRIP_MS = 250.0
#: A bound is dropped after one to two windows, since the rates of two clocks differ.
WINDOW_MS = 30_000.0


class PeerClock:
    """The clock of one peer by its latest events."""

    def __init__(self) -> None:
        """Nothing is known yet."""
        self._peer_ms = 0.0  # of the latest event
        self._round_trip_ms = 0.0
        self._window_ends_ms = -math.inf
        self._at_least_ms = self._at_least_before_ms = -math.inf  # in this window and in the one before

    def observe(self, peer_ms: float, heard_ms: float, round_trip_ms: float | None = None) -> None:
        """Records the clock of an event that was read at `heard_ms` of our timeline. Events come in their
        order. `round_trip_ms`: since the request that it answers, None for an event that answers none."""
        if round_trip_ms is not None:
            self._round_trip_ms = max(round_trip_ms, MIN_ROUND_TRIP_MS)
        if round_trip_ms is not None or peer_ms < self._peer_ms:  # or it was set back
            self._start_window(heard_ms, -math.inf)
        elif heard_ms >= self._window_ends_ms:
            self._round_trip_ms = min(self._round_trip_ms, MAX_ROUND_TRIP_MS)
            self._start_window(heard_ms, self._at_least_ms)
        self._peer_ms = peer_ms
        self._at_least_ms = max(self._at_least_ms, peer_ms - heard_ms)

    def _start_window(self, now_ms: float, at_least_before_ms: float) -> None:
        self._window_ends_ms = now_ms + WINDOW_MS
        self._at_least_ms, self._at_least_before_ms = -math.inf, at_least_before_ms

    def ahead_ms(self) -> float:
        """Returns the most that the peer's clock may be ahead of our timeline, -inf if nothing is known."""
        return max(self._at_least_ms, self._at_least_before_ms) + self._round_trip_ms
