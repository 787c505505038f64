"""How far a client has read, as far as the director can know, with times as arguments."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.net.delivery import (
    ASSUMED_READ_BYTES_PER_MS,
    MAX_ACK_DELAY_MS,
    MAX_DELAYED_BYTES,
    MAX_RECEIVE_BUFFER_BYTES,
    MIN_READ_BYTES_PER_MS,
    STALLED_MS,
    Delivery,
)

START_MS = 1_000.0


def delivery_of(written: int, unacknowledged: int) -> Delivery:
    delivery = Delivery()
    delivery.add_written(written, START_MS)
    delivery.update(unacknowledged, START_MS)
    return delivery


def test_a_client_to_which_nothing_was_written_has_read_everything() -> None:
    delivery = Delivery()
    assert delivery.is_complete and delivery.has_been_read(0.0) and not delivery.is_stalled(9e9)


def test_written_bytes_count_as_undelivered_until_they_are_measured_as_acknowledged() -> None:
    delivery = Delivery()
    delivery.add_written(1, START_MS)
    assert not delivery.is_complete
    delivery.update(1, START_MS)
    assert not delivery.is_complete and not delivery.has_been_read(9e9)
    delivery.update(0, START_MS)
    assert delivery.is_complete


def test_acknowledged_bytes_may_wait_in_the_receive_buffer_of_the_client() -> None:
    size = 1_000_000
    delivery = delivery_of(size, 0)
    read_by_ms = START_MS + size / ASSUMED_READ_BYTES_PER_MS
    assert not delivery.has_been_read(read_by_ms - 1.0) and delivery.has_been_read(read_by_ms)


def test_no_more_than_a_receive_buffer_is_assumed_to_be_unread() -> None:
    delivery = delivery_of(100 * MAX_RECEIVE_BUFFER_BYTES, 0)
    assert delivery.has_been_read(START_MS + MAX_RECEIVE_BUFFER_BYTES / ASSUMED_READ_BYTES_PER_MS)


@pytest.mark.parametrize(
    ("acknowledged_at", "now", "is_stalled"),
    [
        ({}, START_MS + STALLED_MS, False),
        ({}, START_MS + STALLED_MS + 1.0, True),
        ({START_MS + STALLED_MS: 1}, START_MS + STALLED_MS + 1.0, False),
        ({START_MS + STALLED_MS: 1}, START_MS + 2.0 * STALLED_MS + 1.0, True),
    ],
)
def test_a_client_that_reads_nothing_for_long_is_stalled(
    acknowledged_at: dict[float, int], now: float, is_stalled: bool
) -> None:
    delivery = delivery_of(10_000_000, 10_000_000)
    for at_ms, count in acknowledged_at.items():
        delivery.update(10_000_000 - count, at_ms)
    assert delivery.is_stalled(now) == is_stalled


@pytest.mark.parametrize(("factor", "is_stalled"), [(0.5, True), (1.5, False)])
def test_a_client_that_reads_forever_but_too_slowly_is_stalled(factor: float, is_stalled: bool) -> None:
    size, step_ms = 1_000_000, 1_000.0
    delivery, now, unacknowledged = delivery_of(size, size), START_MS, float(size)
    was_stalled = False
    while unacknowledged > 0:
        now += step_ms
        unacknowledged -= factor * MIN_READ_BYTES_PER_MS * step_ms
        delivery.update(max(int(unacknowledged), 0), now)
        was_stalled = was_stalled or delivery.is_stalled(now)
    assert was_stalled == is_stalled


def test_a_client_that_reads_all_that_is_due_is_not_stalled_however_long_some_bytes_are_on_their_way() -> (
    None
):
    delivery, now = delivery_of(1_000, 1_000), START_MS
    for _ in range(1_000):
        now += STALLED_MS / 2.0
        delivery.add_written(1_000, now)
        delivery.update(1_000, now)  # the earlier ones are acknowledged
        assert not delivery.is_stalled(now)


@pytest.mark.parametrize(
    ("unacknowledged", "age_ms", "has_backlog"),
    [
        (0, 9e9, False),
        (1, 0.0, False),
        (MAX_DELAYED_BYTES, MAX_ACK_DELAY_MS - 1.0, False),
        (1, MAX_ACK_DELAY_MS, True),
        (MAX_DELAYED_BYTES + 1, 0.0, True),
    ],
)
def test_bytes_that_are_just_on_their_way_are_no_backlog(
    unacknowledged: int, age_ms: float, has_backlog: bool
) -> None:
    delivery = delivery_of(1_000_000, unacknowledged)
    assert delivery.has_backlog(START_MS + age_ms) == has_backlog


def test_a_client_that_acknowledges_late_and_is_written_to_all_the_time_has_no_backlog() -> None:
    delivery, now = delivery_of(1_000, 1_000), START_MS
    for _ in range(100):
        now += MAX_ACK_DELAY_MS / 2.0
        delivery.add_written(1_000, now)
        delivery.update(1_000, now)
        assert not delivery.has_backlog(now)


@given(st.lists(st.tuples(st.integers(0, 300_000), st.floats(0.0, 1.0), st.floats(0.0, 1_000.0))))
def test_estimate_never_falls_below_what_is_unacknowledged(steps: list[tuple[int, float, float]]) -> None:
    delivery, now, outstanding = Delivery(), START_MS, 0
    for written, share, elapsed_ms in steps:
        now += elapsed_ms
        delivery.add_written(written, now)
        outstanding = int((outstanding + written) * share)
        delivery.update(outstanding, now)
        assert delivery.read_by_ms >= now + outstanding / ASSUMED_READ_BYTES_PER_MS or not outstanding
        assert delivery.has_been_read(now) <= (outstanding == 0)
