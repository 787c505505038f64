"""Purges that discovery told: they bind by when they were heard, and date copies by the platform's own dates."""

from __future__ import annotations

from gladelane.clock import UnixMs
from gladelane.discovery.events import PurgeEvent, WatchEvent
from gladelane.net.known_purges import NO_DATE, KnownPurges

BINDS_MS = 1000.0
HOUR_MS = 3_600_000.0


def told(purges: KnownPurges, object_: int, group: int, dated: float, now_ms: float) -> WatchEvent:
    notice = WatchEvent(1, flush=PurgeEvent(UnixMs(dated)))
    purges.add(object_, group, UnixMs(dated), notice, now_ms)
    return notice


def test_a_purge_binds_from_when_it_was_heard_however_it_is_dated() -> None:
    for dated in (5.0, 100.0, HOUR_MS):
        purges = KnownPurges()
        told(purges, 7, 0, dated, 100.0)
        assert purges.min_copy_date(7, 3, 100.0 + BINDS_MS, BINDS_MS) == dated
        assert purges.min_copy_date(7, 3, 101.0 + BINDS_MS, BINDS_MS) == NO_DATE


def test_the_newest_of_object_and_group_counts_and_others_do_not() -> None:
    purges = KnownPurges()
    told(purges, 7, 0, 50.0, 100.0)
    told(purges, 0, 3, 60.0, 110.0)
    assert purges.min_copy_date(7, 3, 120.0, BINDS_MS) == 60.0
    assert purges.min_copy_date(7, 4, 120.0, BINDS_MS) == 50.0
    assert purges.min_copy_date(8, 3, 120.0, BINDS_MS) == 60.0
    assert purges.min_copy_date(8, 4, 120.0, BINDS_MS) == NO_DATE
    told(purges, 0, 3, 40.0, 130.0)  # heard again, dated earlier: the newest date stays, and binds on
    assert purges.min_copy_date(8, 3, 130.0 + BINDS_MS, BINDS_MS) == 60.0


def test_what_was_heard_long_ago_is_forgotten_once() -> None:
    purges = KnownPurges()
    first = told(purges, 7, 0, 50.0, 100.0)
    second, third = told(purges, 7, 0, 51.0, 100.0), told(purges, 7, 0, 52.0, 400.0)
    purges.drop_expired(350.0, 250.0)
    assert purges.watch_events() == [first, second, third]
    purges.drop_expired(351.0, 250.0)
    assert purges.watch_events() == [third]
    assert purges.min_copy_date(7, 0, 400.0, BINDS_MS) == 52.0
    purges.drop_expired(651.0, 250.0)
    assert purges.watch_events() == [] and purges.min_copy_date(7, 0, 651.0, BINDS_MS) == NO_DATE
