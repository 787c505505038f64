"""The ordinary path of a request: choice of cache and source, admission, utility and rank."""

import pytest
from conftest import BASE_SETTINGS, Driver, members, only_action

from gladelane.routing.events import Fetch, Lookup, Member, Note, SetTimer, State, Status, Timer


def test_a_fill_is_kept_from_the_second_counted_request() -> None:
    d = Driver()
    assert d.serve(object=5).rank == 0
    assert d.serve(object=5).rank > 0


def test_parts_requested_in_turn_count_once_and_admission_covers_all_parts() -> None:
    d = Driver()
    assert [d.serve(object=5, part=p).rank for p in range(6)] == [0] * 6
    assert d.serve(object=5, part=0).rank > 0
    # parts that were requested only once are kept as well: resetting the gate must not leave out every other
    # part
    assert all(d.serve(object=5, part=p).rank > 0 for p in range(1, 9))


def test_a_request_counts_for_all_directors_of_the_zone_if_there_are_many() -> None:
    """With eight directors per zone, 85 % of the fills were not kept, and one in five of them was filled
    again."""
    for directors, is_kept_at_first in ((2, False), (3, True), (16, True)):
        d = Driver(seats_by_zone=[0, directors], proxies=16)
        kept = [d.serve(object=7, cls="page").rank > 0 for _ in range(2)]
        assert kept == [is_kept_at_first, True]
        assert (d.serve(object=8, part=3).rank > 0) is is_kept_at_first


def test_few_requests_give_the_lowest_rank_if_many_directors_share_a_zone() -> None:
    for directors, ranks in ((1, {2, 3}), (16, {1})):
        d = Driver(members(caches=1), seats_by_zone=[0, directors], proxies=16)
        for n in range(1, 10):
            d.serve(object=n, cls="page")
        d.now += 1000.0
        d.handle(Timer("sweep"))
        assert {d.serve(object=n, cls="page").rank for n in (8, 9)} <= ranks


def test_an_admitted_object_is_kept_at_once_after_a_restart_of_its_cache() -> None:
    d = Driver()
    home = [d.serve(object=5) for _ in range(3)][-1].store
    d.update_members((Member(home, "edge", "box", started_at_ms=d.now - 60_000.0),))
    fetch = only_action(d.ask(object=5), Fetch)
    d.answer(fetch, Status.OK, Note.FROM_ORIGIN)
    assert fetch.rank > 0


def test_an_object_part_has_one_cache_and_all_caches_are_used() -> None:
    d = Driver()
    assert len({d.serve(object=5).store for _ in range(10)}) == 1
    assert {d.serve(object=n).store for n in range(200)} == {"c0", "c1", "c2"}


def test_source_is_the_first_ready_parent_in_hash_order() -> None:
    d = Driver()
    first = d.serve(object=5).source
    assert first in ("p0", "p1")
    assert {d.serve(object=n).source for n in range(50)} == {"p0", "p1"}
    gone = tuple(m for m in members() if m.store != first)
    d.update_members((*gone, Member(first, "hub", "mid", state=State.DRAINING)))
    assert d.serve(object=5).source == ({"p0", "p1"} - {first}).pop()


def test_origin_is_the_source_if_there_are_no_parents() -> None:
    assert Driver(members(parents=0)).serve(object=5).source == "root"


def test_utility_is_weighted_by_the_source_of_answers() -> None:
    gained = {}
    for note in (Note.HIT, Note.PARENT_HELD, Note.FROM_ORIGIN, Note.NOT_REPORTED):
        d = Driver()
        d.answer(only_action(d.ask(object=5), Fetch), note=note)
        gained[note] = d.router.objects[5].utility
    base = gained[Note.NOT_REPORTED]
    assert gained == {
        Note.HIT: 100 * base,
        Note.PARENT_HELD: 10 * base,
        Note.FROM_ORIGIN: base,
        Note.NOT_REPORTED: base,
    }
    assert base == 2.0  # the priority weight of the class times one counted request


def test_rank_is_the_third_of_the_utility() -> None:
    d = Driver(members(caches=1))
    for n in range(1, 10):
        for _ in range(n + 1):
            d.serve(object=n, cls="page")
    d.router.housekeeping.thresholds_ms = 0.0
    d.router.housekeeping.sweep()
    ranks = [d.serve(object=n, cls="page").rank for n in range(1, 10)]
    assert ranks == sorted(ranks) and set(ranks) == {1, 2, 3}


def test_counts_and_utility_are_halved_periodically() -> None:
    d = Driver()
    d.serve(object=5)
    before = d.router.objects[5].utility
    d.now += 10_000.0
    d.router.handle(d.now, Timer("sweep"))
    assert d.router.objects[5].utility == before / 2


def test_an_uncacheable_request_goes_through_a_cache_without_being_kept() -> None:
    d = Driver()
    fetch = only_action(d.ask(cls="pair"), Fetch)
    assert (fetch.rank, fetch.source) == (0, "root")


@pytest.mark.parametrize("deadline", [600.0, 3000.0])
def test_backoffs_of_a_write_that_the_origin_rejects_scale_with_its_deadline(deadline: float) -> None:
    """With a fixed backoff of 100 ms and 300 ms that had to be left, a class with a deadline of 600 ms was
    retried only once."""
    sale = next(spec for spec in BASE_SETTINGS["classes"] if spec["name"] == "sale")
    others = [spec for spec in BASE_SETTINGS["classes"] if spec is not sale]
    driver = Driver(straight=True, classes=[*others, {**sale, "deadline_ms": deadline}])
    attempts, actions = 1, driver.ask("sale", part=0)
    while lookups := [a for a in actions if isinstance(a, Lookup)]:
        waits = [
            a
            for a in driver.answer(lookups[0], Status.FULL, Note.NOT_REPORTED, 5.0)
            if isinstance(a, SetTimer)
        ]
        if not waits:
            break
        assert waits[0].due_ms - driver.now == pytest.approx(deadline / 30 * attempts)
        driver.now = waits[0].due_ms
        attempts, actions = attempts + 1, driver.handle(Timer(waits[0].token))
    assert attempts == 5
