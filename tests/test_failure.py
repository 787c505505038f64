"""What the router does when things fail: one test a failure found, each driven without the bench."""

from __future__ import annotations

from dataclasses import replace

from conftest import Driver, actions_of, members, only_action

from gladelane.routing.cache_admission import MAX_OBJECTS, MAX_SENT_OBJECTS
from gladelane.routing.concurrency_limit import LIMIT_LEAST
from gladelane.routing.events import (
    Fetch,
    ListKind,
    Lookup,
    Member,
    Note,
    Outcome,
    Purge,
    Refuse,
    SetTimer,
    Status,
    Timer,
)
from gladelane.routing.request_state import MAX_LINGERING


def late(d: Driver, fetch: Fetch, note: Note = Note.HIT, wait: float = 0.0) -> None:
    """The attempt is answered after its aim."""
    d.now += 3000.0
    d.handle(
        Outcome(fetch.id, d.attempt_numbers[fetch.id], fetch.store, Status.OK, 3000.0, note, wait, over=True)
    )


def open_fetches(d: Driver, count: int, **request: object) -> list[Fetch]:
    return [f for n in range(count) for f in actions_of(d.ask(object=1000 + n, **request), Fetch)]  # type: ignore[arg-type]


def test_a_first_attempt_runs_to_the_deadline() -> None:
    # time-outs at the aim threw half-sent answers away and fed the jam with repeats
    d = Driver()
    assert only_action(d.ask(), Fetch).timeout_ms == 5000.0


def test_late_hits_shrink_what_a_cache_is_given_and_the_rest_is_refused_at_once() -> None:
    d = Driver(members(caches=1), second_copies=False)
    for fetch in open_fetches(d, 12):
        late(d, fetch)
    limit = d.router.caches[0].concurrency.limit
    assert limit < 12
    actions = [d.ask(object=2000 + n) for n in range(20)]
    assert len([a for a in actions if actions_of(a, Fetch)]) <= limit + 1
    refused = [r for a in actions for r in actions_of(a, Refuse)]
    assert refused and all(r.come_back_ms > 0 for r in refused)


def test_late_fills_leave_hits_alone() -> None:
    # iaf7f4b: filling was slow and one limit refused hits with misses
    d = Driver(members(caches=1), second_copies=False)
    for fetch in open_fetches(d, 12):
        late(d, fetch, Note.PARENT_HELD)
    cache = d.router.caches[0]
    assert cache.concurrency.limit > 12 > cache.fills.limit
    d.router.parents[0].concurrency.limit = d.router.parents[1].concurrency.limit = 64.0
    asked = open_fetches(d, 12)
    held_only = [f for f in asked if f.source == f.store]
    assert held_only and len(asked) == 12
    # a miss is given one more try for room, then its answer at once
    assert only_action(d.answer(held_only[0], Status.MISS, Note.NOT_REPORTED, after=1.0), Refuse)


def test_timely_answers_open_the_limit_again() -> None:
    d = Driver(members(caches=1), second_copies=False)
    for fetch in open_fetches(d, 12):
        late(d, fetch)
    concurrency = d.router.caches[0].concurrency
    before = concurrency.limit
    for round_ in range(60):
        for fetch in open_fetches(d, int(concurrency.limit) + 1, part=round_ % 5):
            d.answer(fetch, after=1.0)
    assert concurrency.limit > before


def test_a_limit_is_as_wide_as_the_weight_tells_where_it_tells_the_size() -> None:
    # fleet seed 12: links of 190 transfers were given 64 attempts a director, and half was refused
    for weights, most in (("nominal", 190.0), ("none", 64.0)):
        stores = tuple(replace(m, weight=1.0 if m.kind == "root" else 190.0) for m in members())
        d = Driver(stores, weights=weights)
        limits = (*(c.concurrency for c in d.router.caches), *(c.fills for c in d.router.caches))
        assert {c.limit for c in limits} == {most}
        assert d.router.origin and d.router.origin.concurrency.limit == most


def test_a_small_link_starts_with_what_it_answers_in_time_and_timely_answers_open_it() -> None:
    # reload, lbsim overload: 64 out at links of 12 made all late at once, and the cuts refused for 20 s
    stores = tuple(replace(m, weight=1.0 if m.kind == "root" else 12.0) for m in members(caches=1))
    d = Driver(stores, weights="nominal", second_copies=False)
    cache = d.router.caches[0]
    assert (cache.concurrency.limit, cache.fills.limit) == (30.0, 64.0)
    asked = open_fetches(d, 40, cls="film")
    assert len(asked) == 30
    for fetch in asked:
        d.answer(fetch, after=1.0)
    assert cache.concurrency.limit > 30.0


def test_a_refused_fill_costs_its_source_and_not_the_hits_where_notes_tell_no_cause() -> None:
    # fleet seed 12: a few refusals of the origin closed caches that were serving hits in time
    for notes, cut in (("hit", False), ("all", True)):
        d = Driver(members(caches=1, parents=1), notes=notes, second_copies=False)
        for fetch in open_fetches(d, 6):
            d.answer(fetch, Status.FULL, Note.NOT_REPORTED, after=5.0)
        assert (d.router.caches[0].concurrency.limit < 64) is cut
        assert (d.router.parents[0].concurrency.limit < 64) is not cut


def test_one_crowd_cuts_the_limit_once() -> None:
    d = Driver(members(caches=1), second_copies=False)
    fetches = open_fetches(d, 14)
    late(d, fetches.pop(0))
    assert d.router.caches[0].concurrency.limit > 14  # one late answer is no crowd
    fetch = fetches.pop(0)
    d.handle(Outcome(fetch.id, 0, fetch.store, Status.OK, 3000.0, Note.HIT, over=True))
    before = d.router.caches[0].concurrency.limit
    for fetch in fetches[1:]:
        d.handle(Outcome(fetch.id, 0, fetch.store, Status.OK, 3000.0, Note.HIT, over=True))
    assert before < 14 and d.router.caches[0].concurrency.limit == before


def test_a_source_that_keeps_fills_waiting_gives_way_to_the_next_parent() -> None:
    # h541844: one slow parent closed filling at every cache
    d = Driver(second_copies=False)
    for _ in range(3):
        slow = only_action(d.ask(object=5), Fetch)
        late(d, slow, Note.PARENT_HELD, 2900.0)
    source = d.router.stores[slow.source]
    assert source.concurrency.limit <= LIMIT_LEAST and d.router.stores[slow.store].fills.limit > 12
    others = {f.source for n in range(8) for f in actions_of(d.ask(object=5, part=n), Fetch)}
    assert len(others) == 2


def test_a_slow_origin_leaves_what_parents_hold() -> None:
    # h18f72c: the origin was slow and fills that parents could have served were refused
    d = Driver(second_copies=False)
    for n in range(6):
        late(d, only_action(d.ask(object=n), Fetch), Note.FROM_ORIGIN, 2900.0)
    asked = open_fetches(d, 12)
    assert len(asked) == 12 and any(f.source_holds_only and f.source != "root" for f in asked)


def test_time_outs_do_not_blame_a_source_where_notes_would_have_named_it() -> None:
    # iaf9a66: attempts that merely ran out of time put both parents to rest
    for notes, rests in (("all", False), ("none", True)):
        d = Driver(members(parents=1), notes=notes, second_copies=False)
        for n in range(2):
            fetch = only_action(d.ask(object=n), Fetch)
            d.answer(fetch, Status.TIMEOUT, Note.NOT_REPORTED, after=100.0)
        assert any(p.down_until > 0 for p in d.router.parents) is rests


def test_a_told_failure_of_the_source_asks_the_same_cache_with_another_source() -> None:
    d = Driver()
    fetch = only_action(d.ask(object=5), Fetch)
    again = only_action(d.answer(fetch, Status.ERROR, Note.SOURCE_BROKEN), Fetch)
    assert again.store == fetch.store and again.source != fetch.source


def test_a_cache_that_cannot_be_reached_rests_then_gets_one_trial() -> None:
    d = Driver(members(caches=2))
    home = only_action(d.ask(object=5), Fetch)
    other = only_action(d.answer(home, Status.CONNECT_FAILED, Note.NOT_REPORTED), Fetch)
    assert other.store != home.store
    assert {d.serve(object=n).store for n in range(6)} == {other.store}
    d.now += 500.0
    trials = [f for n in range(40) for f in actions_of(d.ask(object=n), Fetch) if f.store == home.store]
    assert len(trials) == 1


def test_outcomes_after_the_answer_still_tell_of_their_store() -> None:
    # a store that swallows attempts is only seen by time-outs that come when the request has ended
    d = Driver(members(caches=2), second_copies=False)
    while not any(c.down_until for c in d.router.caches):
        fetch = only_action(d.ask(object=5), Fetch)
        d.now += 5000.0
        d.handle(Timer(f"d:{fetch.id}"))
        d.answer(fetch, Status.TIMEOUT, Note.NOT_REPORTED, after=0.0)
        assert d.last_id < 10
    assert all(c.concurrency.out == 0 for c in d.router.caches)


def test_busy_caches_are_not_passed_by_but_stopped_ones_are() -> None:
    # valle: busy caches sent everything straight to the parents, which only moved the jam
    d = Driver(members(caches=1), straight=True, second_copies=False)
    d.router.caches[0].concurrency.limit = 0.0
    only_action(d.ask(object=5), Refuse)
    d.router.caches[0].trip(d.now)
    fetch = only_action(d.ask(object=5), Fetch)
    assert fetch.store == fetch.source and fetch.store.startswith("p") and fetch.rank == 0


def test_the_class_that_earns_least_for_its_work_leaves_room_for_the_others() -> None:
    d = Driver(members(caches=1), second_copies=False)
    d.ask(cls="page", size_kb=40.0)
    d.ask(cls="film", size_kb=4000.0)
    cache = d.router.caches[0]
    cache.concurrency.limit, cache.concurrency.out = 10.0, 8
    only_action(d.ask(cls="film", size_kb=4000.0), Refuse)
    only_action(d.ask(cls="page", size_kb=40.0), Fetch)


def test_a_keyed_request_is_tried_again_after_a_refusing_origin_and_never_twice_at_once() -> None:
    d = Driver(straight=True, second_copies=False)
    actions = d.answer(only_action(d.ask(cls="sale"), Lookup), Status.FULL, Note.NOT_REPORTED)
    timer = only_action(actions, SetTimer)
    assert not actions_of(actions, (Lookup, Refuse))
    d.now = timer.due_ms
    only_action(d.handle(Timer(timer.token)), Lookup)


def test_tables_stay_bounded_over_a_long_run() -> None:
    d = Driver()
    for n in range(3 * MAX_OBJECTS):
        d.now += 1.0
        d.ask(object=n, part=n % 9)
        d.handle(Purge(n, n % 7, 10.0))
        if n % 250 == 0:
            d.handle(Timer("sweep"))
        d.handle(Timer(f"d:{d.last_id}"))
    r = d.router
    assert len(r.objects) <= MAX_OBJECTS and len(r.lingering) <= MAX_LINGERING and not r.pending
    assert all(len(c.sent) <= MAX_SENT_OBJECTS for c in r.caches)
    assert len(r.purges) <= d.settings.purge_done_ms + 1000 + 7


def test_a_store_in_a_strange_zone_or_kind_is_never_used_as_a_cache() -> None:
    d = Driver((*members(), Member("far", "hub", "box")))
    assert "far" not in {d.serve(object=n).store for n in range(60)}


def test_a_large_object_of_untold_size_is_not_late_once_it_is_known() -> None:
    # branch-content, quiet: large objects read as late answers and a quiet zone was refused a tenth
    d = Driver(members(caches=1), second_copies=False, flow_kb_per_s=0.0)
    for _ in range(12):
        fetch = only_action(d.ask(object=5, size_kb=0.0), Fetch)
        d.answer(fetch, after=1500.0)
    assert d.router.objects[5].work == 1500.0
    before = d.router.caches[0].concurrency.lateness
    d.answer(only_action(d.ask(object=5, size_kb=0.0), Fetch), after=1600.0)
    assert d.router.caches[0].concurrency.lateness < before


def test_many_proxies_learn_of_a_full_inlet_from_the_fills_of_all_caches_together() -> None:
    # branch-content-later big-1: one proxy of ten sees a fill a second of each cache; the inlet stayed jammed
    for seats, closed in ((2, False), (10, True)):
        d = Driver(members(caches=8), second_copies=False, seats_by_zone=[0, seats], proxies=seats)
        one_each = {f.store: f for f in open_fetches(d, 40)}
        d.now += 3000.0
        for fetch in one_each.values():
            d.now += 700.0
            d.handle(Outcome(fetch.id, 0, fetch.store, Status.OK, 3000.0, Note.PARENT_HELD, 40.0, over=True))
        asked = open_fetches(d, 12)
        assert any(f.source == f.store for f in asked) is closed


def test_a_single_reset_asks_the_same_cache_again_and_three_in_a_row_rest_it() -> None:
    # kscfb-media-later: a quarter of answers was reset, and one reset rested caches that mostly worked
    d = Driver(members(caches=2))
    fetch = only_action(d.ask(object=5), Fetch)
    again = only_action(d.answer(fetch, Status.RESET, Note.NOT_REPORTED), Fetch)
    assert again.store == fetch.store
    again = only_action(d.answer(again, Status.RESET, Note.NOT_REPORTED), Fetch)
    assert again.store == fetch.store
    assert only_action(d.answer(again, Status.RESET, Note.NOT_REPORTED), Fetch).store != fetch.store


def test_what_later_timely_answers_overtook_was_lost_and_cuts_no_limit() -> None:
    # valle-branches-later: lost answers ran to the deadline and read as a crowd
    for overtaken in (True, False):
        d = Driver(members(caches=1), second_copies=False)
        lost = [only_action(d.ask(object=n), Fetch) for n in range(6)]
        if overtaken:
            d.now += 10.0
            d.answer(only_action(d.ask(object=50), Fetch), after=50.0)
        d.now += 5000.0
        before = d.router.caches[0].fills.limit
        for fetch in lost:
            d.answer(fetch, Status.TIMEOUT, Note.NOT_REPORTED, after=0.0)
        assert (d.router.caches[0].fills.limit == before) is overtaken


def test_a_full_inlet_shared_by_many_proxies_is_left_less_than_one_fill_a_proxy() -> None:
    # i393817: 27 proxies with two fills each were six times what the link in of six caches carries
    d = Driver(members(caches=4), second_copies=False, seats_by_zone=[0, 40], proxies=40)
    d.router.ingress_limit.limit = d.router.ingress_limit.least
    first = []
    for n in range(200):
        fetch = only_action(d.ask(object=n), Fetch)
        first.append(fetch.source != fetch.store)
        d.router.ingress_limit.out = 0
    assert 5 < sum(first) < 40


def test_a_source_late_alone_is_asked_for_less_and_no_cache_pays_where_notes_tell_no_wait() -> None:
    # wide, seed 3: a parent stood still, and each cache's limit on fills fell from 64 to 5 for its sake
    def fills(alone: bool) -> Driver:
        d = Driver(notes="hit", second_copies=False)
        for _ in range(6):
            asked = open_fetches(d, 6)
            timely = [f for f in asked if f.source == "p1" and alone]
            for fetch in timely:
                d.answer(fetch, note=Note.PARENT_HELD, after=1.0)
            d.now += 900.0
            for fetch in asked:
                if fetch not in timely:
                    d.answer(fetch, note=Note.PARENT_HELD, after=0.0)
        return d

    d = fills(alone=True)
    assert d.router.stores["p0"].concurrency.limit <= 4 < d.router.stores["p1"].concurrency.limit
    assert all(cache.fills.limit > 12 for cache in d.router.caches)
    assert all(cache.fills.limit <= 12 for cache in fills(alone=False).router.caches)


def test_a_proxy_that_starts_soon_knows_what_a_cold_store_can_bear() -> None:
    # reload: for 5 s after each restart a parent that had come up 10 s ago got nothing, the other all
    d = Driver(members(parents=1), second_copies=False)
    d.update_members((Member("p9", "hub", "mid", came_up_ms=d.now - 10_000.0),), ListKind.CHANGES)
    sources = set()
    for n in range(60):
        sources.add(d.serve(object=n).source)
        d.handle(Timer("sweep"))
    assert d.now < 100_000.0 + 4000.0 and sources == {"p0", "p9"}


def test_one_connection_that_ends_under_many_attempts_rests_no_store_that_answers() -> None:
    # rude+garble+fleet: a spoilt answer cost its connection, and the cache rested for up to 4 s
    d = Driver(members(caches=1), notes="hit", second_copies=False)
    fetch = d.serve()
    asked = open_fetches(d, 8)
    again = [only_action(d.answer(f, Status.RESET, Note.NOT_REPORTED, after=0.0), Fetch) for f in asked]
    assert [(f.store, f.source) for f in again] == [
        (f.store, f.source) for f in asked
    ]  # the source did nothing
    d.now += 1000.0  # the same from one that has not answered for long
    for f in again:
        d.answer(f, Status.RESET, Note.NOT_REPORTED, after=0.0)
    assert d.router.stores[fetch.store].down_until > d.now


def test_a_request_that_stores_find_wrong_at_once_ends_and_costs_them_nothing() -> None:
    # bad clients' requests took eight attempts each, the budget for repeats, and put parents to rest
    d = Driver(notes="hit", second_copies=False)
    for n in range(30):
        d.serve(object=n)
    for n in range(6):
        first = only_action(d.ask(object=900 + n), Fetch)
        second = only_action(d.answer(first, Status.ERROR, Note.NOT_REPORTED, after=3.0), Fetch)
        only_action(d.answer(second, Status.ERROR, Note.NOT_REPORTED, after=3.0), Refuse)
    assert not any(store.resting(d.now) for store in d.router.stores.values())
    slow = only_action(
        d.answer(only_action(d.ask(object=990), Fetch), Status.ERROR, Note.NOT_REPORTED, after=100.0), Fetch
    )
    only_action(
        d.answer(slow, Status.ERROR, Note.NOT_REPORTED, after=100.0), Fetch
    )  # a failed fill is no such error


def test_a_size_that_cannot_be_sent_in_time_does_not_spoil_what_is_known_of_a_class() -> None:
    d = Driver(second_copies=False)
    for n in range(20):
        d.serve(object=n)
    before = d.router.work.mean_ms["film"]
    d.ask(object=99, size_kb=9e8)
    assert d.router.work.mean_ms["film"] <= before + 0.03 * 5000.0


def test_a_parent_whose_fills_mostly_end_in_an_error_at_once_rests_and_is_tried_again() -> None:
    # retune+scrape, seed 59411683802: one of two parents ended four in five fills in an error after 9 ms; 860 of 1,926
    # attempts with it as source, all blamed on the request, and one in twenty requests was refused after two of them
    d = Driver(notes="hit", second_copies=False)
    bad, errors, refused = "p0", 0, 0
    for n in range(300):
        fetch = only_action(d.ask(object=1000 + n), Fetch)
        while fetch is not None:
            if fetch.source == bad and n % 5:
                errors += n >= 60
                actions = d.answer(fetch, Status.ERROR, Note.NOT_REPORTED, after=9.0)
                refused += bool(actions_of(actions, Refuse))
                fetch = next(iter(actions_of(actions, Fetch)), None)
            else:
                d.answer(fetch, Status.OK, Note.PARENT_HELD, after=9.0)
                fetch = None
    assert refused == 0 and errors < 12  # of some 90 that ask it first; the trials after its rests
    assert not any(d.router.stores[name].resting(d.now) for name in ("c0", "c1", "c2", "p1"))
    for n in range(400):  # it is mended, and found so
        d.now += 100.0
        d.answer(only_action(d.ask(object=5000 + n), Fetch), Status.OK, Note.PARENT_HELD, after=9.0)
    assert not d.router.stores[bad].resting(d.now) and d.router.stores[bad].error_rate < 0.6
