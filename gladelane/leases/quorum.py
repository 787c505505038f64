"""Quorum sizes, and expiry times that allow for the clock drift between holders and servers. Pure.

A holder counts its lease shorter than the duration that it asked for, and a server counts it longer. Two
leases therefore never overlap as long as the rates of any two clocks differ by at most `CLOCK_DRIFT`. Times
are in milliseconds of a monotonic clock that continues during suspend (CLOCK_BOOTTIME).
"""

from __future__ import annotations

CLOCK_DRIFT = 0.001  # the largest relative difference in rate between two clocks
CLOCK_SLACK_MS = 1.0  # for rounding, on top of the drift


def majority(server_count: int) -> int:
    """Returns the smallest number of servers of which any two sets share a server."""
    return server_count // 2 + 1


def recovery_quorum(server_count: int) -> int:
    """Returns how many peers have to answer a restarted server before it may grant leases.

    Every majority that granted a lease without the restarted server contains at least one of these peers.
    """
    return min(server_count - majority(server_count) + 1, server_count - 1)


def holder_expiry_ms(sent_ms: float, duration_ms: float) -> float:
    """Returns when a holder has to stop acting on a lease that it asked for at `sent_ms`."""
    return sent_ms + duration_ms * (1.0 - CLOCK_DRIFT) - CLOCK_SLACK_MS


def server_expiry_ms(granted_ms: float, duration_ms: float) -> float:
    """Returns when a server may grant a resource again whose lease it granted at `granted_ms`."""
    return granted_ms + (duration_ms * (1.0 + CLOCK_DRIFT) + CLOCK_SLACK_MS)
