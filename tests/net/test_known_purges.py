"""Purges received from discovery: how long they are active is counted from their arrival, and copies are
compared with their date, which comes from the platform."""

from __future__ import annotations

from gladelane.clock import UnixMs
from gladelane.discovery.events import PurgeEvent, WatchEvent
from gladelane.net.known_purges import NO_DATE, KnownPurges

ACTIVE_MS = 1000.0
HOUR_MS = 3_600_000.0


def add_purge(purges: KnownPurges, object_: int, group: int, date_ms: float, now_ms: float) -> WatchEvent:
    event = WatchEvent(1, flush=PurgeEvent(UnixMs(date_ms)))
    purges.add(object_, group, UnixMs(date_ms), event, now_ms)
    return event


def test_a_purge_is_active_from_its_arrival_whatever_its_date() -> None:
    for date_ms in (5.0, 100.0, HOUR_MS):
        purges = KnownPurges()
        add_purge(purges, 7, 0, date_ms, 100.0)
        assert purges.min_copy_date(7, 3, 100.0 + ACTIVE_MS, ACTIVE_MS) == date_ms
        assert purges.min_copy_date(7, 3, 101.0 + ACTIVE_MS, ACTIVE_MS) == NO_DATE


def test_the_newest_date_of_an_object_and_its_group_applies_and_no_other_does() -> None:
    purges = KnownPurges()
    add_purge(purges, 7, 0, 50.0, 100.0)
    add_purge(purges, 0, 3, 60.0, 110.0)
    assert purges.min_copy_date(7, 3, 120.0, ACTIVE_MS) == 60.0
    assert purges.min_copy_date(7, 4, 120.0, ACTIVE_MS) == 50.0
    assert purges.min_copy_date(8, 3, 120.0, ACTIVE_MS) == 60.0
    assert purges.min_copy_date(8, 4, 120.0, ACTIVE_MS) == NO_DATE
    add_purge(
        purges, 0, 3, 40.0, 130.0
    )  # a later purge with an earlier date: the newest date stays, and is active for longer
    assert purges.min_copy_date(8, 3, 130.0 + ACTIVE_MS, ACTIVE_MS) == 60.0


def test_purges_received_long_ago_are_removed() -> None:
    purges = KnownPurges()
    first = add_purge(purges, 7, 0, 50.0, 100.0)
    second, third = add_purge(purges, 7, 0, 51.0, 100.0), add_purge(purges, 7, 0, 52.0, 400.0)
    purges.drop_expired(350.0, 250.0)
    assert purges.watch_events() == [first, second, third]
    purges.drop_expired(351.0, 250.0)
    assert purges.watch_events() == [third]
    assert purges.min_copy_date(7, 0, 400.0, ACTIVE_MS) == 52.0
    purges.drop_expired(651.0, 250.0)
    assert purges.watch_events() == [] and purges.min_copy_date(7, 0, 651.0, ACTIVE_MS) == NO_DATE
