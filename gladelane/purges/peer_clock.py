"""An upper bound of how far the clock of a peer is ahead of the local timeline. All times are in Unix ms.

This module does no I/O and reads no clock. A peer sends its clock with each event. An event is received an
unknown time after it was sent, so by itself it only sets a lower bound on the difference: a purge that is
dated by such a bound may be dated before it was requested. The first event of a stream answers the local
server's request, so the peer read its clock after that request was sent. This also sets an upper bound, by
the round trip. Later events answer no request. As the fastest of them took no longer than the round trip, the
difference is at most the highest lower bound plus the round trip.
"""

from __future__ import annotations

import math

#: A shorter round trip is counted as this long, because one on an idle machine says little about a busy one.
#: Dates of copies are compared with the same tolerance.
MIN_ROUND_TRIP_MS = 5.0
#: A longer round trip counts only for one window, because the request may have been answered late. The events
#: of that window come every second, and the fastest of them took no longer than this.
MAX_ROUND_TRIP_MS = 250.0
#: A lower bound is dropped after one to two windows, since two clocks run at different rates.
WINDOW_MS = 30_000.0


class PeerClock:
    """Estimates the clock of one peer from its latest events."""

    def __init__(self) -> None:
        """Starts without any event."""
        self._peer_ms = 0.0  # the clock in the latest event
        self._round_trip_ms = 0.0
        self._window_ends_ms = -math.inf
        # of this window and of the one before
        self._lower_bound_ms = self._previous_lower_bound_ms = -math.inf

    def observe(self, peer_ms: float, received_ms: float, round_trip_ms: float | None = None) -> None:
        """Records the clock in an event that was received at `received_ms` of the local timeline. Events must
        be recorded in order. `round_trip_ms`: the time since the request that the event answers, or None if
        it answers none."""
        if round_trip_ms is not None:
            self._round_trip_ms = max(round_trip_ms, MIN_ROUND_TRIP_MS)
        if round_trip_ms is not None or peer_ms < self._peer_ms:  # a new stream, or the clock was set back
            self._start_window(received_ms, -math.inf)
        elif received_ms >= self._window_ends_ms:
            self._round_trip_ms = min(self._round_trip_ms, MAX_ROUND_TRIP_MS)
            self._start_window(received_ms, self._lower_bound_ms)
        self._peer_ms = peer_ms
        self._lower_bound_ms = max(self._lower_bound_ms, peer_ms - received_ms)

    def _start_window(self, now_ms: float, previous_lower_bound_ms: float) -> None:
        self._window_ends_ms = now_ms + WINDOW_MS
        self._lower_bound_ms, self._previous_lower_bound_ms = -math.inf, previous_lower_bound_ms

    def ahead_ms(self) -> float:
        """Returns the most by which the peer's clock may be ahead of the local timeline, -inf if unknown."""
        return max(self._lower_bound_ms, self._previous_lower_bound_ms) + self._round_trip_ms
