"""The clocks of a purge log server. All times are in Unix ms."""

from __future__ import annotations

from collections.abc import Callable

from .purge import IssuerClock


class ServerClock:
    """Combines the monotonic timeline and the wall clock of a server with the clocks of its peers."""

    def __init__(self, timeline: Callable[[], float], wall_clock: Callable[[], float]) -> None:
        """`timeline` returns a time that never steps; `wall_clock` returns the time of the machine's
        clock."""
        self._timeline, self._wall_clock = timeline, wall_clock
        self._issuer_clock = IssuerClock()

    def timeline_ms(self) -> float:
        """Returns the time of the monotonic timeline."""
        return self._timeline()

    def own_ms(self) -> float:
        """Returns the time that is sent to peers, which does not depend on their clocks."""
        return max(self._timeline(), self._wall_clock())

    def issue_ms(self) -> float:
        """Returns the time for a purge that is issued now."""
        return self._issuer_clock.now_ms(self._timeline(), self._wall_clock())

    def observe_peer(
        self, peer: str, peer_ms: float, received_ms: float, round_trip_ms: float | None
    ) -> None:
        """Records the clock of a peer, 0.0 if the peer did not send it. `received_ms`: when it was received,
        by the timeline; `round_trip_ms`: the time since the request that it answers, None if it answers
        none."""
        self._issuer_clock.observe_peer(peer, peer_ms, received_ms, round_trip_ms)
