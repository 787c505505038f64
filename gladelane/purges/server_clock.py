"""The clocks of a purge log server. All times are in Unix ms."""

from __future__ import annotations

from collections.abc import Callable

from .purge import IssuerClock


class ServerClock:
    """Reads the monotonic timeline and the wall clock, and takes the clocks of peers into account."""

    def __init__(self, timeline: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        """`timeline` never steps; `wall_clock` is the clock of the machine as it is set now."""
        self._timeline, self._wall_clock = timeline, wall_clock
        self._issuer_clock = IssuerClock()

    def timeline_ms(self) -> float:
        """Returns the time that never steps."""
        return self._timeline()

    def own_ms(self) -> float:
        """Returns the time that peers are sent, which does not depend on theirs."""
        return max(self._timeline(), self._wall_clock())

    def issue_ms(self) -> float:
        """Returns the moment for a purge that is issued now."""
        return self._issuer_clock.now_ms(self._timeline(), self._wall_clock())

    def observe_peer(self, peer: str, peer_ms: float, heard_ms: float, round_trip_ms: float | None) -> None:
        """Records the clock of a peer, 0.0 if it did not send it. `heard_ms`: when it was read, by the
        timeline; `round_trip_ms`: since the request that it answers, None if it answers none."""
        self._issuer_clock.observe_peer(peer, peer_ms, heard_ms, round_trip_ms)
