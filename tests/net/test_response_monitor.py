"""Whether a server still responds, as `net.response_monitor` judges it: tables, without sockets."""

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


def attempt(
    written_ms: float, objective_ms: float = 100.0, effect: Effect = Effect.SAFE, due_ms: float = 9e9
) -> Any:
    spec = SimpleNamespace(effect=effect)
    return SimpleNamespace(
        written_ms=written_ms, objective_ms=objective_ms, due_ms=due_ms, exchange=SimpleNamespace(spec=spec)
    )


@pytest.mark.parametrize(
    ("written", "max_streams", "after_ms", "expected"),
    [
        ([1000.0, 1000.0], STREAMS, SUSPECT_AFTER_MS, False),
        ([1000.0, 1000.0], STREAMS, SUSPECT_AFTER_MS + 1.0, True),
        ([1000.0], STREAMS, 9000.0, False),  # one alone may be slow
        ([1000.0], 1, 9000.0, False),
        ([1000.0, 0.0], STREAMS, 9000.0, False),  # the second has not been written
        ([], STREAMS, 9000.0, False),
    ],
)
def test_a_connection_is_quiet_under_two_attempts_without_a_byte(
    written: list[float], max_streams: int, after_ms: float, expected: bool
) -> None:
    monitor = ResponseMonitor(1000.0)
    open_ = [attempt(written_ms) for written_ms in written]
    assert monitor.is_suspect(open_, max_streams, 1000.0 + after_ms, 0.0) is expected
    assert not monitor.is_suspect(open_, max_streams, 1000.0 + after_ms, after_ms)  # the loop was late itself


def test_after_a_long_rest_one_attempt_is_enough_until_a_byte_comes() -> None:
    monitor = ResponseMonitor(0.0)
    monitor.record_read(1000.0)
    now = 1000.0 + LONG_IDLE_MS + 1.0
    monitor.record_write(now)
    later = now + SUSPECT_AFTER_MS + 1.0
    assert monitor.is_unverified and monitor.is_suspect([attempt(now)], STREAMS, later, 0.0)
    monitor.record_read(later)
    assert not monitor.is_unverified and not monitor.is_suspect([attempt(now)], STREAMS, later, 0.0)


def test_a_connection_is_dead_once_all_are_past_their_objectives() -> None:
    monitor = ResponseMonitor(1000.0)
    fast = [attempt(1000.0) for _ in range(3)]
    assert monitor.is_dead(fast, STREAMS, 1001.0 + DEAD_AFTER_MS, 0.0)
    assert not monitor.is_dead(fast[:2], STREAMS, 1001.0 + DEAD_AFTER_MS, 0.0)
    assert monitor.is_dead(fast[:2], 2, 1001.0 + DEAD_AFTER_MS, 0.0)
    slow = [*fast, attempt(1000.0, objective_ms=3 * DEAD_AFTER_MS)]
    assert not monitor.is_dead(slow, STREAMS, 1001.0 + DEAD_AFTER_MS, 0.0)
    assert monitor.is_dead(slow, STREAMS, 1001.0 + 3 * DEAD_AFTER_MS, 0.0)


@pytest.mark.parametrize(
    ("effect", "expected"), [(Effect.SAFE, True), (Effect.KEYED, False), (Effect.UNSAFE, False)]
)
def test_only_what_is_safe_to_repeat_shows_that_a_connection_was_forgotten(
    effect: Effect, expected: bool
) -> None:
    monitor = ResponseMonitor(0.0, is_unverified=True)
    one = attempt(1000.0, effect=effect)
    assert monitor.is_dead_after_idle([one], 1001.0 + DEAD_AFTER_MS, 0.0) is expected
    assert not monitor.is_dead_after_idle([one], 1000.0 + DEAD_AFTER_MS, 0.0)
    monitor.is_unverified = False
    assert not monitor.is_dead_after_idle([one], 9000.0, 0.0)


@pytest.mark.parametrize(
    ("received_ms", "reply", "now", "expected"),
    [
        (1000.0, ("a", 0.5), 1000.0 + STALLED_MS + 1.0, True),  # nothing more came
        (1200.0, ("a", 0.5), 1200.0, False),  # too early to judge its rate
        (1300.0, ("a", 0.5), 1300.0, False),  # 300 ms for half of it, and 700 ms are left
        (1300.0, ("a", 0.25), 1300.0, True),  # 900 ms more at this rate
        (1300.0, ("a", 0.0), 1300.0, True),
        (1300.0, ("b", 0.5), 1300.0, True),  # was cancelled, and others wait behind it for 250 ms at most
    ],
)
def test_a_reply_is_cut_short_that_stops_or_comes_too_slowly(
    received_ms: float, reply: tuple[str, float], now: float, expected: bool
) -> None:
    monitor = ResponseMonitor(0.0, received_ms=received_ms, reply_started_ms=1000.0)
    assert monitor.is_cut_short(reply, {"a": attempt(900.0, due_ms=2000.0)}, now, 0.0) is expected


def test_time_outs_count_in_a_row_and_only_without_a_byte_since() -> None:
    monitor = ResponseMonitor(0.0, received_ms=500.0)
    assert not monitor.record_timeout(attempt(400.0), 9000.0) and not monitor.unanswered_timeouts
    for _ in range(UNRESPONSIVE_TIMEOUTS):
        assert not monitor.is_unresponsive() and not monitor.may_be_stalled()
        assert monitor.record_timeout(attempt(600.0), 9000.0)
    assert monitor.is_unresponsive() and monitor.may_be_stalled()
    monitor.record_read(9001.0)
    assert not monitor.is_unresponsive() and not monitor.unanswered_timeouts
    assert ResponseMonitor(0.0).may_be_stalled()  # nothing ever came


def test_a_reply_is_incomplete_from_the_read_in_which_it_begins() -> None:
    monitor = ResponseMonitor(0.0)
    monitor.record_read(1000.0)
    monitor.record_incomplete(True)
    monitor.record_read(1100.0)
    monitor.record_incomplete(True)
    assert monitor.reply_started_ms == 1000.0
    monitor.record_read(1200.0)
    monitor.record_reply()
    monitor.record_incomplete(True)  # the next one began in the same read
    assert monitor.reply_started_ms == 1200.0
    monitor.record_incomplete(False)
    assert monitor.reply_started_ms == 0.0
