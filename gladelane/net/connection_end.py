"""When a client connection may end: the one rule for every end that this side chooses. Pure.

A connection ends in two steps. First the write side is shut down, which tells the client that no answer
follows; a request that the client writes more than 50 ms later is lost. Then the socket is closed; bytes
that arrive from then on reset the connection, and a reset destroys whatever the client's system has not
acknowledged. Therefore

- the write side of an unfinished connection is not shut down while something is unacknowledged, nor before
  the client has presumably read that it is to leave;
- the socket is not closed while something is unacknowledged, unless the client has stopped reading.

All times are ms of the caller's clock.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from ..admin.drain import CLOSE_AFTER_MS, Drain
from .delivery import STALLED_MS, Delivery

FLOOD_STALLED_MS = 1_000.0  # instead of STALLED_MS, for a client that floods the director
#: By the protocol, clients close a connection after 4 s without a request. One that does not is closed here.
CLIENT_IDLE_MS = 4_000.0
IDLE_TIMEOUT_MS = CLIENT_IDLE_MS + 200.0
#: How long to wait for the client's close after this side has shut down its own and the client has read
#: everything. That is many round trips; a request that crossed the shutdown arrives within 50 ms.
LINGER_TIMEOUT_MS = 500.0
FIRST_FRAME_TIMEOUT_MS = 2_000.0  # a client that has sent no valid frame this long after connecting is closed
#: A client whose incomplete frame is not completed within this time is closed. The protocol allows 3 s from
#: connecting.
FRAME_TIMEOUT_MS = 2_000.0
#: How long a client has to be inactive before its connection ends, if it was still active CLOSE_AFTER_MS
#: after it was asked to leave: it had not read that by then.
LATE_READER_QUIET_MS = 1_000.0


class Step(Enum):
    """What to do with a connection now."""

    KEEP = auto()
    NOTIFY = auto()  # ask the client to leave
    FAIL_FRAME = auto()  # answer the incomplete frame as failed, and shut the write side down
    SHUT_WRITE_SIDE = auto()
    CLOSE = auto()
    ABORT = auto()  # the client does not read: what it has not read is given up


class ConnectionState(Protocol):
    """What the rule has to know of a connection. A time of 0 means that it has not happened."""

    accepted_ms: float
    last_active_ms: float  # when the client last sent something, or was seen to read its answers
    goaway_ms: float  # when the client was asked to leave
    write_closed_ms: float  # when the write side was shut down
    incomplete_since_ms: float  # since when a frame has been incomplete
    has_sent_valid_frame: bool  # by the client
    discards_input: bool  # the write side will be shut down once the open requests are answered
    is_flooding: bool
    delivery: Delivery

    def is_closing(self) -> bool:
        """Whether the socket is closed or about to be."""

    def is_receiving(self) -> bool:
        """Whether received bytes are being handled or wait to be read."""

    def is_idle(self) -> bool:
        """Whether no request is open, no answer unacknowledged, and no received byte unhandled."""


def next_step(conn: ConnectionState, drain: Drain, now: float) -> Step:
    """Decides about a connection whose `delivery` was just measured."""
    if conn.delivery.is_stalled(now, FLOOD_STALLED_MS if conn.is_flooding else STALLED_MS):
        return Step.ABORT
    if conn.is_closing():
        return Step.KEEP
    if conn.write_closed_ms:
        return Step.CLOSE if _has_lingered(conn, now) else Step.KEEP
    if conn.discards_input:
        return Step.KEEP
    if _is_frame_late(conn, now) and not conn.is_receiving():
        return Step.FAIL_FRAME
    if not conn.goaway_ms and drain.should_notify(conn.accepted_ms, now):
        return Step.NOTIFY
    if _is_due(conn, drain, now) and conn.is_idle():
        return Step.SHUT_WRITE_SIDE
    return Step.KEEP


def _has_lingered(conn: ConnectionState, now: float) -> bool:
    """Whether a client that has everything has not closed its side for long."""
    delivery = conn.delivery
    return not delivery.unacknowledged and (
        now - max(conn.write_closed_ms, delivery.read_by_ms) > LINGER_TIMEOUT_MS
    )


def _is_frame_late(conn: ConnectionState, now: float) -> bool:
    return bool(conn.incomplete_since_ms) and now - conn.incomplete_since_ms > FRAME_TIMEOUT_MS


def _is_due(conn: ConnectionState, drain: Drain, now: float) -> bool:
    """Whether a connection is to end if it is idle."""
    if not conn.has_sent_valid_frame and now - conn.accepted_ms > FIRST_FRAME_TIMEOUT_MS:
        return True
    return _has_left(conn, drain, now) or _is_unused(conn, now)


def _is_unused(conn: ConnectionState, now: float) -> bool:
    is_inactive = now - conn.last_active_ms > IDLE_TIMEOUT_MS
    return is_inactive and now - conn.delivery.read_by_ms > CLIENT_IDLE_MS


def _has_left(conn: ConnectionState, drain: Drain, now: float) -> bool:
    """Whether the client has presumably read that it is to leave. At the latest time at which a drained
    director may hold an idle connection, either sign is enough: that it had the time to read everything, or
    that it has been quiet."""
    if not drain.should_close(conn.goaway_ms, now):
        return False
    was_late = conn.last_active_ms - conn.goaway_ms > CLOSE_AFTER_MS
    is_quiet = now - conn.last_active_ms >= (LATE_READER_QUIET_MS if was_late else CLOSE_AFTER_MS)
    has_read = conn.delivery.has_been_read(now)
    if now >= drain.close_by_ms(conn.goaway_ms):
        return is_quiet or has_read
    return is_quiet and has_read
