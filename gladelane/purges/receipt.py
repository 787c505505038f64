"""How a purge was received, and from which moments on it binds because of it. Pure.

Any clock may be wrong. So a received purge binds twice. By age: what existed when it was issued, by the local
clock. For a purge that was issued while we were subscribed this is when it was received; for one of a backlog
it is its age by the clock of the server that sent it. By date: from its own moment, raised to the newest date
that any copy was seen with, but not past the moment of receipt. So an issuer whose clock is behind leaves no
copy valid from before the purge, and a local clock that is ahead makes no copy void from after it.
"""

from __future__ import annotations

from typing import NamedTuple

CLOCKS_AGREE_MS = 250.0  # a server's clock behind ours by less than this may just be the time on the network
SAME_MOMENT_MS = 20.0  # a purge received within this binds once, by the moment of receipt


class Receipt(NamedTuple):
    """How a purge was received.

    Attributes: server_clock_ms, the clock of the server when it sent the purge, in Unix ms, 0.0 if unknown;
    is_live, whether the server had sent its whole backlog before, so that the purge was issued since;
    newest_date_ms, the newest date of any copy seen until then, in Unix ms, 0.0 if none was seen."""

    server_clock_ms: float = 0.0
    is_live: bool = False
    newest_date_ms: float = 0.0


class BindingMoments(NamedTuple):
    """From when on a purge binds, in Unix ms: by the dates of copies, and by the local clock."""

    by_date_ms: float
    by_age_ms: float


def clock_behind_ms(server_clock_ms: float, now_ms: float) -> float:
    """Returns how far the clock of a server is behind ours; 0.0 if the network may explain the difference."""
    difference_ms = now_ms - server_clock_ms
    return difference_ms if server_clock_ms and difference_ms > CLOCKS_AGREE_MS else 0.0


def binding_moments(at_ms: float, receipt: Receipt, now_ms: float) -> BindingMoments:
    """Returns the moments for a purge with the moment `at_ms`, which was limited to a credible value."""
    behind_ms = clock_behind_ms(receipt.server_clock_ms, now_ms)
    by_age_ms = now_ms if receipt.is_live else at_ms + behind_ms
    by_age_ms = max(at_ms, min(by_age_ms, now_ms))
    if by_age_ms - at_ms <= SAME_MOMENT_MS:
        return BindingMoments(by_age_ms, by_age_ms)
    by_date_ms = max(at_ms, min(by_age_ms, receipt.newest_date_ms))
    return BindingMoments(by_date_ms, by_age_ms)
