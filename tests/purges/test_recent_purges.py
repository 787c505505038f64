"""The purges received last, and those of them whose stated delay is over."""

from __future__ import annotations

from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.purge import Purge
from gladelane.purges.receipt import EffectiveTimes, Receipt
from gladelane.purges.recent_purges import MAX_RECENT_PURGES

NOW_MS = 1_000_000.0
PART = "film", 17, 5, 3
SINCE_MS = NOW_MS - 5000.0


def received(*at_ms: float, scope: str = "all", now_ms: float = NOW_MS) -> ActivePurges:
    active = ActivePurges()
    for seq, one_ms in enumerate(at_ms, 1):
        active.apply(Purge("a", 1, seq, one_ms, scope), now_ms, Receipt(now_ms, True))
    return active


def test_only_purges_accepted_until_a_time_are_returned_and_each_one_separately() -> None:
    """The index joins purges: the newest one alone would hide that the delay of an older one is over."""
    recent = received(NOW_MS - 1900.0, NOW_MS - 100.0).recent
    assert len(recent.accepted_until(*PART, SINCE_MS, NOW_MS)) == 2
    assert recent.accepted_until(*PART, SINCE_MS, NOW_MS - 1000.0) == (
        EffectiveTimes(NOW_MS - 1900.0, NOW_MS),
    )
    assert recent.accepted_until(*PART, SINCE_MS, NOW_MS - 2000.0) == ()


def test_the_delay_of_a_purge_dated_ahead_begins_when_it_is_received() -> None:
    assert received(NOW_MS + 30_000.0).recent.accepted_until(*PART, SINCE_MS, NOW_MS)


def test_purges_of_other_parts_are_not_returned() -> None:
    for scope in ("object:0000000000000006", "group:16", "class:sheet", "parts:4-9"):
        assert not received(NOW_MS, scope=scope).recent.accepted_until(*PART, SINCE_MS, NOW_MS)
    for scope in ("object:0000000000000005", "objects:00* & class:film", "group:17", "parts:0-3"):
        assert received(NOW_MS, scope=scope).recent.accepted_until(*PART, SINCE_MS, NOW_MS)


def test_a_skew_is_added_to_the_times_but_the_delay_begins_at_the_acceptance() -> None:
    active = ActivePurges(skew_ms=500.0)
    active.apply(Purge("a", 1, 1, NOW_MS, "all"), NOW_MS, None)
    times = EffectiveTimes(NOW_MS + 500.0, NOW_MS + 500.0)
    assert active.recent.accepted_until(*PART, SINCE_MS, NOW_MS) == (times,)


def test_purges_that_are_no_longer_kept_are_known_to_be_missing() -> None:
    active = received(*[NOW_MS] * MAX_RECENT_PURGES)
    assert active.recent.is_complete_since(NOW_MS)
    active.apply(Purge("a", 1, MAX_RECENT_PURGES + 1, NOW_MS, "all"), NOW_MS + 10.0, None)
    assert not active.recent.is_complete_since(NOW_MS)
    assert active.recent.is_complete_since(NOW_MS + 1.0)


def test_purges_that_were_known_before_the_request_was_sent_are_not_returned() -> None:
    active = received(NOW_MS)
    assert active.recent.accepted_until(*PART, NOW_MS, NOW_MS)
    assert not active.recent.accepted_until(*PART, NOW_MS + 1.0, NOW_MS)
