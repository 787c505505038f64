"""The times from which on a received purge applies, given that any clock may be wrong.

This module does no I/O and reads no clock. A received purge applies in two ways.

By age: a copy that already existed when the purge was issued, by the local clock, is out of date. For a purge
that was issued while this process was subscribed, that time is the time of receipt. For a purge of a backlog,
it follows from the age of the purge by the clock of the server that sent it.

By date: a copy that is dated before the purge is out of date. The time is the purge's own, raised to the
newest date of any copy seen until then, but not past the time of receipt.

So if the issuer's clock is behind, no copy from before the purge stays valid; if the local clock is ahead, no
copy from after the purge becomes invalid.
"""

from __future__ import annotations

from typing import NamedTuple

#: A server's clock that seems to be behind the local one by less than this may be right: the difference may
#: be network delay.
CLOCKS_AGREE_MS = 250.0
SAME_TIME_TOLERANCE_MS = 20.0  # if the two times differ by no more than this, the later one serves for both


class Receipt(NamedTuple):
    """How a purge was received.

    Attributes: server_clock_ms, the clock of the server when it sent the purge, in Unix ms, 0.0 if unknown;
    is_live, whether the server had sent its whole backlog before, so that the purge was issued after that;
    newest_date_ms, the newest date of any copy seen until then, in Unix ms, 0.0 if none was seen."""

    server_clock_ms: float = 0.0
    is_live: bool = False
    newest_date_ms: float = 0.0


class EffectiveTimes(NamedTuple):
    """The times from which on a purge applies, in Unix ms: by the dates of copies, and by the local clock."""

    by_date_ms: float
    by_age_ms: float


def clock_behind_ms(server_clock_ms: float, now_ms: float) -> float:
    """Returns how far the clock of a server is behind the local one; 0.0 if network delay may explain the
    difference."""
    difference_ms = now_ms - server_clock_ms
    return difference_ms if server_clock_ms and difference_ms > CLOCKS_AGREE_MS else 0.0


def effective_times(at_ms: float, receipt: Receipt, now_ms: float) -> EffectiveTimes:
    """Returns the times from which on a purge applies. `at_ms`: the purge's own time, limited to a credible
    value."""
    behind_ms = clock_behind_ms(receipt.server_clock_ms, now_ms)
    by_age_ms = now_ms if receipt.is_live else at_ms + behind_ms
    by_age_ms = max(at_ms, min(by_age_ms, now_ms))
    if by_age_ms - at_ms <= SAME_TIME_TOLERANCE_MS:
        return EffectiveTimes(by_age_ms, by_age_ms)
    by_date_ms = max(at_ms, min(by_age_ms, receipt.newest_date_ms))
    return EffectiveTimes(by_date_ms, by_age_ms)
