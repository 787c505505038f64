"""What is harmless in one director and hurts when forty do it: real routers in virtual time, counted over all."""

import random
from dataclasses import replace

from conftest import Driver, actions_of

from gladelane.discovery.client import BACKOFF_MAX_S, BACKOFF_START_S
from gladelane.routing.events import Fetch, ListKind, Member, Note, Status, Timer
from gladelane.routing.router import Router
from gladelane.structures.backoff import Backoff

WEIGHT, SEATS = 8.0, 8
COLD_FROM, WARM_MS, MULTIPLE, WINDOW_MS = 0.2, 15_000.0, 3.0, 2_000.0


ROOT = Member("root", "hub", "root")
HUBS = (Member("p0", "hub", "mid", weight=40.0), Member("p1", "hub", "mid", weight=40.0))
FOUR = tuple(Member(f"c{n}", "edge", "box", weight=WEIGHT) for n in range(4))


def fleet(stores: tuple[Member, ...], directors: int = 40) -> list[Driver]:
    """Each with a seed of its own, as real ones have."""
    made = [
        Driver((), weights="nominal", notes="hit", seats_by_zone=[0, SEATS], proxies=40)
        for _ in range(directors)
    ]
    for seed, d in enumerate(made):
        d.router = Router(d.settings, seed)
        d.update_members(stores)
    return made


def test_a_branch_that_comes_back_cold_is_served_by_directors_that_started_with_it_and_not_pushed_over() -> (
    None
):
    directors = fleet((*(replace(c, started_at_ms=100_000.0) for c in FOUR), *HUBS, ROOT), SEATS)
    sent: list[tuple[float, str, float]] = []
    for step in range(1000):  # 20 s; each asks 25 times a second, of 100 ms each: 2.5 links of 8
        for n, d in enumerate(directors):
            d.now += 20.0
            if step % 12 == n:
                d.handle(Timer("sweep"))
            if step % 2 == n % 2:
                for fetch in actions_of(d.ask(object=step * SEATS + n, cls="page"), Fetch):
                    sent.append((d.now, fetch.store, 100.0))
                    d.answer(fetch, note=Note.PARENT_HELD, after=0.0)
    began = directors[0].now - 20_000.0
    first = [work for at, _, work in sent if at <= began + WINDOW_MS]
    assert sum(first) > 0.3 * COLD_FROM * WEIGHT * 4 * WINDOW_MS  # else they refuse until all are warm
    for store in ("c0", "c1", "c2", "c3"):
        at = [(t, work) for t, s, work in sent if s == store]
        for since, _ in at[::5]:
            inside = sum(work for t, work in at if since <= t < since + WINDOW_MS)
            part = min(COLD_FROM + (1.0 - COLD_FROM) * (since - began) / WARM_MS, 1.0)
            assert inside <= MULTIPLE * part * WEIGHT * WINDOW_MS


def test_when_all_copies_are_void_at_once_the_directors_together_ask_hubs_for_what_their_links_carry() -> (
    None
):
    # 40 directors that each started at 2.5 links had 575 fills at two hubs, and 95 more went past them
    fills: dict[str, int] = {}
    looks = 0
    for me, d in enumerate(fleet((*FOUR, *HUBS, ROOT))):
        for n in range(24):  # a second's requests, each for another object, and not an answer yet
            for fetch in actions_of(d.ask(object=1000 * me + n, cls="page"), Fetch):
                fills[fetch.source] = fills.get(fetch.source, 0) + (fetch.source != fetch.store)
                looks += fetch.source == fetch.store
    assert 40 <= sum(fills.values()) <= 4 * 80 and looks > 0


def test_the_room_at_the_origin_grows_with_timely_fills_through_hubs() -> None:
    # it learned from direct fills alone: one start or cut held for the day, and refused a tenth of a calm one
    (d,) = fleet((FOUR[0], HUBS[0], ROOT), 1)
    assert d.router.origin is not None
    limit = d.router.origin.concurrency
    began = limit.limit
    for n in range(20):
        waiting = [f for i in range(3) for f in actions_of(d.ask(object=10 * n + i, cls="page"), Fetch)]
        for fetch in waiting:
            d.answer(fetch, note=Note.PARENT_HELD, after=20.0)
    assert began < 4.0 and limit.limit > 1.2 * began
    # a list that comes in parts, and a wider hub that joins later: neither opens the origin to all at once
    (d,) = fleet((FOUR[0], ROOT), 1)
    for hub in (HUBS[0], replace(HUBS[1], weight=200.0)):
        d.update_members((hub,), ListKind.CHANGES)
        assert d.router.origin is not None and d.router.origin.concurrency.limit < 4.0


def test_directors_whose_board_ends_at_one_moment_do_not_call_again_as_one() -> None:
    # 40 feeds fell silent at once, and 40 calls came back in one tick
    backoffs = [Backoff(random.Random(seed), BACKOFF_START_S, BACKOFF_MAX_S) for seed in range(40)]
    due = [0.0] * 40
    calls: list[float] = []
    for n, backoff in enumerate(backoffs):
        while due[n] < 60.0:
            due[n] += (wait := backoff.after(succeeded=False))
            assert wait * 2 > BACKOFF_START_S and wait <= BACKOFF_MAX_S
            calls.append(due[n])
    in_tick = [sum(int(t / 0.02) == tick for t in calls) for tick in range(3000)]
    assert max(in_tick) < 15  # of 40
    assert len(calls) / 40 <= 60.0 / (BACKOFF_MAX_S * 0.5) + 2  # a minute, each


def test_repeats_of_all_directors_stay_a_part_of_first_attempts_while_everything_is_refused() -> None:
    firsts = repeats = 0
    for d in fleet((*FOUR, *HUBS, ROOT)):
        for n in range(240):  # 20 s of 12 a second
            d.now += 83.0
            waiting = actions_of(d.ask(object=n, cls="page"), Fetch)
            firsts += len(waiting)
            while waiting:
                again = actions_of(d.answer(waiting.pop(), Status.FULL, after=1.0), Fetch)
                repeats += len(again)
                waiting += again
    assert firsts > 1000
    assert repeats <= 0.4 * firsts


def test_directors_that_each_see_little_do_not_push_a_cold_hub_over_with_one_request_each() -> None:
    # a director's part of a cold hub's budget is less than one request: forty that each overdraw it are a crowd
    directors = fleet((*FOUR, replace(HUBS[0], started_at_ms=100_000.0), HUBS[1], ROOT))
    sent: list[float] = []
    for step in range(160):  # 16 s, 10 requests a second and director, of 400 ms
        for n, d in enumerate(directors):
            d.now += 100.0
            if step % 3 == 0:
                d.handle(Timer("sweep"))
            for fetch in actions_of(d.ask(object=step * 40 + n, size_kb=1600.0), Fetch):
                sent += [d.now] * (fetch.source == "p0")
                d.answer(fetch, note=Note.PARENT_HELD, after=0.0)
    for since in sorted(set(sent)):
        part = 0.1 + 0.9 * (since - 100_000.0) / 15_000.0
        assert (
            400.0 * sum(since <= t < since + WINDOW_MS for t in sent)
            <= 2.0 * min(part, 1.0) * 40.0 * WINDOW_MS
        )
    assert min(sent) < 105_000.0


def test_directors_that_saved_for_a_heavy_request_do_not_all_send_a_light_one_at_once() -> None:
    # each began somewhere within the heavy one, by chance: three in four had enough for the light one
    cold = replace(HUBS[0], weight=5.0, started_at_ms=100_000.0)
    directors = fleet((*FOUR, cold, HUBS[1], ROOT))
    sent: list[tuple[float, float]] = []
    for cls, work in (("film", 1600.0), ("page", 400.0)):
        for n, d in enumerate(directors):
            d.now += 100.0
            for object in range(20):  # half of them go to the other hub
                for fetch in actions_of(d.ask(cls=cls, object=100 * n + object, size_kb=4.0 * work), Fetch):
                    sent += [(d.now, work)] * (fetch.source == cold.store)
    allowed = 5.0 * 0.1 * 2.0 * WINDOW_MS / 1000.0  # in requests of 1000 ms, the mean of both
    assert sum(work for _, work in sent) / 1000.0 <= allowed + 2.0 * allowed**0.5 + 2.0
