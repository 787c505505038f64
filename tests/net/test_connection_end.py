"""When a client connection may end: a table of cases, with times as arguments."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest

from gladelane.admin.drain import CLOSE_AFTER_MS, CLOSE_BY_MS, DRAINED_MS, Drain
from gladelane.net.connection_end import (
    CLIENT_IDLE_MS,
    FIRST_FRAME_TIMEOUT_MS,
    FLOOD_STALLED_MS,
    FRAME_TIMEOUT_MS,
    IDLE_TIMEOUT_MS,
    LATE_READER_QUIET_MS,
    LINGER_TIMEOUT_MS,
    Step,
    next_step,
)
from gladelane.net.delivery import ASSUMED_READ_BYTES_PER_MS, STALLED_MS, Delivery

NOW_MS = 100_000.0


@dataclass
class Connection:
    """A connection of an idle client that has read everything and was active just now."""

    accepted_ms: float = NOW_MS - 60_000.0
    last_active_ms: float = NOW_MS
    goaway_ms: float = 0.0
    write_closed_ms: float = 0.0
    incomplete_since_ms: float = 0.0
    has_sent_valid_frame: bool = True
    discards_input: bool = False
    is_flooding: bool = False
    delivery: Delivery = field(default_factory=Delivery)
    closing: bool = False
    receiving: bool = False
    idle: bool = True

    def is_closing(self) -> bool:
        return self.closing

    def is_receiving(self) -> bool:
        return self.receiving

    def is_idle(self) -> bool:
        return self.idle and not self.delivery.unacknowledged


def unread(read_ms: float) -> Delivery:
    """The delivery to a client that has everything and needs `read_ms` from now to read it."""
    delivery = Delivery()
    delivery.add_written(int(read_ms * ASSUMED_READ_BYTES_PER_MS), NOW_MS)
    delivery.update(0, NOW_MS)
    return delivery


def unacknowledged(without_progress_ms: float = 0.0) -> Delivery:
    delivery = Delivery()
    delivery.add_written(100_000, NOW_MS - without_progress_ms)
    delivery.update(100_000, NOW_MS - without_progress_ms)
    return delivery


def read_since(elapsed_ms: float) -> Delivery:
    """The delivery to a client that has presumably read everything for `elapsed_ms`."""
    delivery = Delivery()
    delivery.read_by_ms = NOW_MS - elapsed_ms
    return delivery


IDLE = {"last_active_ms": NOW_MS - IDLE_TIMEOUT_MS - 1.0}
NOTIFIED = {"goaway_ms": NOW_MS - CLOSE_AFTER_MS, "last_active_ms": NOW_MS - CLOSE_AFTER_MS}
LATE_READER = {"goaway_ms": NOW_MS - 2_500.0}  # still active later than CLOSE_AFTER_MS after that
CLOSE_BY = {"goaway_ms": NOW_MS - CLOSE_BY_MS}
LINGERING = {"write_closed_ms": NOW_MS - LINGER_TIMEOUT_MS - 1.0, "discards_input": True}
LATE_FRAME = {"incomplete_since_ms": NOW_MS - FRAME_TIMEOUT_MS - 1.0}


@pytest.mark.parametrize(
    ("state", "step"),
    [
        ({}, Step.KEEP),
        # unused
        (IDLE, Step.SHUT_WRITE_SIDE),
        (IDLE | {"idle": False}, Step.KEEP),
        (IDLE | {"delivery": unacknowledged()}, Step.KEEP),
        (IDLE | {"delivery": unread(1_000.0)}, Step.KEEP),
        (IDLE | {"delivery": read_since(CLIENT_IDLE_MS - 100.0)}, Step.KEEP),
        (IDLE | {"delivery": read_since(CLIENT_IDLE_MS + 1.0)}, Step.SHUT_WRITE_SIDE),
        (
            {"has_sent_valid_frame": False, "accepted_ms": NOW_MS - FIRST_FRAME_TIMEOUT_MS - 1.0},
            Step.SHUT_WRITE_SIDE,
        ),
        ({"has_sent_valid_frame": False, "accepted_ms": NOW_MS - 1_000.0}, Step.KEEP),
        # asked to leave
        (NOTIFIED, Step.SHUT_WRITE_SIDE),
        (NOTIFIED | {"goaway_ms": NOW_MS - CLOSE_AFTER_MS + 1.0}, Step.KEEP),
        (NOTIFIED | {"idle": False}, Step.KEEP),
        (NOTIFIED | {"delivery": unacknowledged()}, Step.KEEP),
        (NOTIFIED | {"delivery": unread(1.0)}, Step.KEEP),
        (NOTIFIED | {"last_active_ms": NOW_MS - CLOSE_AFTER_MS + 1.0}, Step.KEEP),
        (LATE_READER | {"last_active_ms": NOW_MS - LATE_READER_QUIET_MS + 1.0}, Step.KEEP),
        (LATE_READER | {"last_active_ms": NOW_MS - LATE_READER_QUIET_MS}, Step.SHUT_WRITE_SIDE),
        # at the latest time for idle connections of a drained director
        (CLOSE_BY, Step.SHUT_WRITE_SIDE),
        (CLOSE_BY | {"delivery": unread(1.0)}, Step.KEEP),
        (
            CLOSE_BY | {"delivery": unread(1.0), "last_active_ms": NOW_MS - LATE_READER_QUIET_MS},
            Step.SHUT_WRITE_SIDE,
        ),
        (CLOSE_BY | {"delivery": unacknowledged()}, Step.KEEP),
        # after the write side was shut down
        (LINGERING, Step.CLOSE),
        (LINGERING | {"write_closed_ms": NOW_MS - LINGER_TIMEOUT_MS}, Step.KEEP),
        (LINGERING | {"delivery": unacknowledged()}, Step.KEEP),
        (LINGERING | {"delivery": read_since(LINGER_TIMEOUT_MS - 1.0)}, Step.KEEP),
        (LINGERING | {"closing": True}, Step.KEEP),
        ({"discards_input": True} | IDLE, Step.KEEP),
        # an incomplete frame
        (LATE_FRAME, Step.FAIL_FRAME),
        (LATE_FRAME | {"receiving": True}, Step.KEEP),
        # a client that does not read
        ({"delivery": unacknowledged(STALLED_MS)}, Step.KEEP),
        ({"delivery": unacknowledged(STALLED_MS + 1.0)}, Step.ABORT),
        (LINGERING | {"delivery": unacknowledged(STALLED_MS + 1.0)}, Step.ABORT),
        ({"is_flooding": True, "delivery": unacknowledged(FLOOD_STALLED_MS + 1.0)}, Step.ABORT),
        ({"is_flooding": True, "delivery": unacknowledged(FLOOD_STALLED_MS)}, Step.KEEP),
    ],
)
def test_step_that_is_taken(state: dict[str, Any], step: Step) -> None:
    assert next_step(Connection(**state), Drain(), NOW_MS) is step


def test_a_client_that_connected_before_the_drain_is_notified() -> None:
    drain = Drain()
    drain.request_drain(NOW_MS)
    assert next_step(Connection(), drain, NOW_MS) is Step.NOTIFY
    assert next_step(Connection(accepted_ms=NOW_MS), drain, NOW_MS) is Step.KEEP


def test_the_latest_time_counts_from_the_start_of_a_drain_that_goes_on() -> None:
    drain = Drain()
    drain.request_drain(NOW_MS - CLOSE_BY_MS)
    connection = Connection(goaway_ms=NOW_MS - 2_500.0, delivery=unread(1.0))
    connection.last_active_ms = NOW_MS - LATE_READER_QUIET_MS
    assert next_step(connection, drain, NOW_MS) is Step.SHUT_WRITE_SIDE
    drain.cancel_request()
    assert next_step(connection, drain, NOW_MS) is Step.KEEP
    assert CLOSE_BY_MS < DRAINED_MS
