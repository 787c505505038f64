"""Whether a server still responds, by the rules of `net.response_monitor`: tables of cases, without sockets."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from gladelane.net.response_monitor import (
    DEAD_AFTER_MS,
    LONG_IDLE_MS,
    STALLED_MS,
    SUSPECT_AFTER_MS,
    UNRESPONSIVE_TIMEOUTS,
    ResponseMonitor,
)
from gladelane.routing.events import Effect

STREAMS = 8


def make_attempt(
    written_ms: float, objective_ms: float = 100.0, effect: Effect = Effect.SAFE, due_ms: float = 9e9
) -> Any:
    spec = SimpleNamespace(effect=effect)
    return SimpleNamespace(
        written_ms=written_ms, objective_ms=objective_ms, due_ms=due_ms, exchange=SimpleNamespace(spec=spec)
    )


@pytest.mark.parametrize(
    ("written_at_ms", "max_streams", "elapsed_ms", "expected"),
    [
        ([1000.0, 1000.0], STREAMS, SUSPECT_AFTER_MS, False),
        ([1000.0, 1000.0], STREAMS, SUSPECT_AFTER_MS + 1.0, True),
        ([1000.0], STREAMS, 9000.0, False),  # a single attempt may just be slow
        ([1000.0], 1, 9000.0, False),
        ([1000.0, 0.0], STREAMS, 9000.0, False),  # the second has not been written
        ([], STREAMS, 9000.0, False),
    ],
)
def test_a_connection_is_quiet_when_two_attempts_receive_no_byte(
    written_at_ms: list[float], max_streams: int, elapsed_ms: float, expected: bool
) -> None:
    monitor = ResponseMonitor(1000.0)
    open_attempts = [make_attempt(written_ms) for written_ms in written_at_ms]
    assert monitor.is_suspect(open_attempts, max_streams, 1000.0 + elapsed_ms, 0.0) is expected
    # no connection is quiet while the director's own loop is that late
    assert not monitor.is_suspect(open_attempts, max_streams, 1000.0 + elapsed_ms, elapsed_ms)


def test_after_a_long_idle_time_one_attempt_is_enough_until_a_byte_is_received() -> None:
    monitor = ResponseMonitor(0.0)
    monitor.record_read(1000.0)
    now = 1000.0 + LONG_IDLE_MS + 1.0
    monitor.record_write(now)
    quiet_at = now + SUSPECT_AFTER_MS + 1.0
    assert monitor.is_unverified and monitor.is_suspect([make_attempt(now)], STREAMS, quiet_at, 0.0)
    monitor.record_read(quiet_at)
    assert not monitor.is_unverified and not monitor.is_suspect([make_attempt(now)], STREAMS, quiet_at, 0.0)


def test_a_connection_is_dead_once_all_attempts_exceeded_their_objectives() -> None:
    monitor = ResponseMonitor(1000.0)
    fast_attempts = [make_attempt(1000.0) for _ in range(3)]
    assert monitor.is_dead(fast_attempts, STREAMS, 1001.0 + DEAD_AFTER_MS, 0.0)
    assert not monitor.is_dead(fast_attempts[:2], STREAMS, 1001.0 + DEAD_AFTER_MS, 0.0)
    assert monitor.is_dead(fast_attempts[:2], 2, 1001.0 + DEAD_AFTER_MS, 0.0)
    with_slow_attempt = [*fast_attempts, make_attempt(1000.0, objective_ms=3 * DEAD_AFTER_MS)]
    assert not monitor.is_dead(with_slow_attempt, STREAMS, 1001.0 + DEAD_AFTER_MS, 0.0)
    assert monitor.is_dead(with_slow_attempt, STREAMS, 1001.0 + 3 * DEAD_AFTER_MS, 0.0)


@pytest.mark.parametrize(
    ("effect", "expected"), [(Effect.SAFE, True), (Effect.KEYED, False), (Effect.UNSAFE, False)]
)
def test_only_safely_repeatable_attempts_show_that_a_connection_was_forgotten(
    effect: Effect, expected: bool
) -> None:
    monitor = ResponseMonitor(0.0, is_unverified=True)
    attempt = make_attempt(1000.0, effect=effect)
    assert monitor.is_dead_after_idle([attempt], 1001.0 + DEAD_AFTER_MS, 0.0) is expected
    assert not monitor.is_dead_after_idle([attempt], 1000.0 + DEAD_AFTER_MS, 0.0)
    monitor.is_unverified = False
    assert not monitor.is_dead_after_idle([attempt], 9000.0, 0.0)


@pytest.mark.parametrize(
    ("last_byte_ms", "reply", "now", "expected"),
    [
        (1000.0, ("a", 0.5), 1000.0 + STALLED_MS + 1.0, True),  # no further byte was received
        (1200.0, ("a", 0.5), 1200.0, False),  # too early to judge the rate
        (1300.0, ("a", 0.5), 1300.0, False),  # half was received in 300 ms, and 700 ms are left for the rest
        (1300.0, ("a", 0.25), 1300.0, True),  # at this rate the rest takes 900 ms more
        (1300.0, ("a", 0.0), 1300.0, True),
        (1300.0, ("b", 0.5), 1300.0, True),  # canceled: it may delay the replies behind it by 250 ms at most
    ],
)
def test_a_reply_that_stalls_or_arrives_too_slowly_is_cut_short(
    last_byte_ms: float, reply: tuple[str, float], now: float, expected: bool
) -> None:
    monitor = ResponseMonitor(0.0, received_ms=last_byte_ms, reply_started_ms=1000.0)
    assert monitor.is_cut_short(reply, {"a": make_attempt(900.0, due_ms=2000.0)}, now, 0.0) is expected


def test_only_consecutive_timeouts_without_a_received_byte_count() -> None:
    monitor = ResponseMonitor(0.0, received_ms=500.0)
    assert not monitor.record_timeout(make_attempt(400.0), 9000.0) and not monitor.unanswered_timeouts
    for _ in range(UNRESPONSIVE_TIMEOUTS):
        assert not monitor.is_unresponsive() and not monitor.may_be_stalled()
        assert monitor.record_timeout(make_attempt(600.0), 9000.0)
    assert monitor.is_unresponsive() and monitor.may_be_stalled()
    monitor.record_read(9001.0)
    assert not monitor.is_unresponsive() and not monitor.unanswered_timeouts
    assert ResponseMonitor(0.0).may_be_stalled()  # nothing was ever received


def test_a_reply_is_incomplete_from_the_read_in_which_it_starts() -> None:
    monitor = ResponseMonitor(0.0)
    monitor.record_read(1000.0)
    monitor.record_incomplete(True)
    monitor.record_read(1100.0)
    monitor.record_incomplete(True)
    assert monitor.reply_started_ms == 1000.0
    monitor.record_read(1200.0)
    monitor.record_reply()
    monitor.record_incomplete(True)  # the next reply began in the same read
    assert monitor.reply_started_ms == 1200.0
    monitor.record_incomplete(False)
    assert monitor.reply_started_ms == 0.0
