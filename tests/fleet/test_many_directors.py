"""Behaviour of many directors together: routers in virtual time, whose load on the servers is summed.

Each test guards against a load that is harmless from one director and an overload from forty.
"""

import random
from dataclasses import replace

from conftest import Driver, actions_of

from gladelane.discovery.client import BACKOFF_MAX_S, BACKOFF_START_S
from gladelane.routing.events import Fetch, ListKind, Member, Note, Status, Timer
from gladelane.routing.router import Router
from gladelane.structures.backoff import Backoff

WEIGHT, DIRECTORS_OF_ZONE = 8.0, 8
COLD_FROM, WARM_MS, BUDGET_MULTIPLE, WINDOW_MS = 0.2, 15_000.0, 3.0, 2_000.0


ROOT = Member("root", "hub", "root")
HUBS = (Member("p0", "hub", "mid", weight=40.0), Member("p1", "hub", "mid", weight=40.0))
CACHES = tuple(Member(f"c{n}", "edge", "box", weight=WEIGHT) for n in range(4))


def fleet(stores: tuple[Member, ...], directors: int = 40) -> list[Driver]:
    """Drivers of that many directors with distinct seeds."""
    drivers = [
        Driver((), weights="nominal", notes="hit", seats_by_zone=[0, DIRECTORS_OF_ZONE], proxies=40)
        for _ in range(directors)
    ]
    for seed, driver in enumerate(drivers):
        driver.router = Router(driver.settings, seed)
        driver.update_members(stores)
    return drivers


def test_directors_that_start_with_cold_caches_serve_requests_without_overloading_them() -> None:
    directors = fleet(
        (*(replace(c, started_at_ms=100_000.0) for c in CACHES), *HUBS, ROOT), DIRECTORS_OF_ZONE
    )
    sent: list[tuple[float, str, float]] = []
    for step in range(1000):  # 20 s; each director has 25 requests of 100 ms per second: 2.5 of the 8 links
        for n, driver in enumerate(directors):
            driver.now += 20.0
            if step % 12 == n:
                driver.handle(Timer("sweep"))
            if step % 2 == n % 2:
                for fetch in actions_of(driver.ask(object=step * DIRECTORS_OF_ZONE + n, cls="page"), Fetch):
                    sent.append((driver.now, fetch.store, 100.0))
                    driver.answer(fetch, note=Note.PARENT_HELD, after=0.0)
    started_ms = directors[0].now - 20_000.0
    early_work = [work for at, _, work in sent if at <= started_ms + WINDOW_MS]
    # otherwise the directors refuse until all caches are warm
    assert sum(early_work) > 0.3 * COLD_FROM * WEIGHT * 4 * WINDOW_MS
    for store in ("c0", "c1", "c2", "c3"):
        at = [(t, work) for t, s, work in sent if s == store]
        for window_start_ms, _ in at[::5]:
            admitted_work = sum(work for t, work in at if window_start_ms <= t < window_start_ms + WINDOW_MS)
            share = min(COLD_FROM + (1.0 - COLD_FROM) * (window_start_ms - started_ms) / WARM_MS, 1.0)
            assert admitted_work <= BUDGET_MULTIPLE * share * WEIGHT * WINDOW_MS


def test_fills_of_all_directors_stay_within_the_links_of_hubs_when_all_copies_are_invalid() -> None:
    # with an initial limit of 2.5 links each, 40 directors had 575 fills at the two hubs, and 95 bypassed them
    fills: dict[str, int] = {}
    requests_without_fill = 0
    for seed, driver in enumerate(fleet((*CACHES, *HUBS, ROOT))):
        for n in range(24):  # the requests of a second, each for another object and not yet answered
            for fetch in actions_of(driver.ask(object=1000 * seed + n, cls="page"), Fetch):
                fills[fetch.source] = fills.get(fetch.source, 0) + (fetch.source != fetch.store)
                requests_without_fill += fetch.source == fetch.store
    assert 40 <= sum(fills.values()) <= 4 * 80 and requests_without_fill > 0


def test_concurrency_limit_of_the_origin_grows_with_timely_fills_through_hubs() -> None:
    # a limit that adapts to direct fills only stays at its initial or a reduced value, and refuses a tenth of a
    # light load
    (driver,) = fleet((CACHES[0], HUBS[0], ROOT), 1)
    assert driver.router.origin is not None
    limit = driver.router.origin.concurrency
    initial_limit = limit.limit
    for n in range(20):
        waiting = [f for i in range(3) for f in actions_of(driver.ask(object=10 * n + i, cls="page"), Fetch)]
        for fetch in waiting:
            driver.answer(fetch, note=Note.PARENT_HELD, after=20.0)
    assert initial_limit < 4.0 and limit.limit > 1.2 * initial_limit
    # an endpoint list in parts, or a larger hub that joins later, must not raise the limit at once
    (driver,) = fleet((CACHES[0], ROOT), 1)
    for hub in (HUBS[0], replace(HUBS[1], weight=200.0)):
        driver.update_members((hub,), ListKind.CHANGES)
        assert driver.router.origin is not None and driver.router.origin.concurrency.limit < 4.0


def test_reconnects_to_the_discovery_server_are_spread_when_all_watches_end_at_once() -> None:
    # without jitter, 40 watches that end at once are followed by 40 reconnects in one tick
    backoffs = [Backoff(random.Random(seed), BACKOFF_START_S, BACKOFF_MAX_S) for seed in range(40)]
    due_s = [0.0] * 40
    reconnects_s: list[float] = []
    for n, backoff in enumerate(backoffs):
        while due_s[n] < 60.0:
            due_s[n] += (delay_s := backoff.after(succeeded=False))
            assert delay_s * 2 > BACKOFF_START_S and delay_s <= BACKOFF_MAX_S
            reconnects_s.append(due_s[n])
    in_tick = [sum(int(t / 0.02) == tick for t in reconnects_s) for tick in range(3000)]
    assert max(in_tick) < 15  # of 40
    assert len(reconnects_s) / 40 <= 60.0 / (BACKOFF_MAX_S * 0.5) + 2  # per director in a minute


def test_retries_of_all_directors_stay_below_a_share_of_first_attempts_while_servers_refuse() -> None:
    first_attempts = retries = 0
    for driver in fleet((*CACHES, *HUBS, ROOT)):
        for n in range(240):  # 20 s, 12 requests per second
            driver.now += 83.0
            waiting = actions_of(driver.ask(object=n, cls="page"), Fetch)
            first_attempts += len(waiting)
            while waiting:
                retried = actions_of(driver.answer(waiting.pop(), Status.FULL, after=1.0), Fetch)
                retries += len(retried)
                waiting += retried
    assert first_attempts > 1000
    assert retries <= 0.4 * first_attempts


def test_many_directors_with_few_requests_do_not_overload_a_cold_hub() -> None:
    # the share of one director in the budget of a cold hub is less than one request; if each of forty overdraws
    # it by one request, the hub is overloaded
    directors = fleet((*CACHES, replace(HUBS[0], started_at_ms=100_000.0), HUBS[1], ROOT))
    sent: list[float] = []
    for step in range(160):  # 16 s, 10 requests of 400 ms per second and director
        for n, driver in enumerate(directors):
            driver.now += 100.0
            if step % 3 == 0:
                driver.handle(Timer("sweep"))
            for fetch in actions_of(driver.ask(object=step * 40 + n, size_kb=1600.0), Fetch):
                sent += [driver.now] * (fetch.source == "p0")
                driver.answer(fetch, note=Note.PARENT_HELD, after=0.0)
    for window_start_ms in sorted(set(sent)):
        share = 0.1 + 0.9 * (window_start_ms - 100_000.0) / 15_000.0
        assert (
            400.0 * sum(window_start_ms <= t < window_start_ms + WINDOW_MS for t in sent)
            <= 2.0 * min(share, 1.0) * 40.0 * WINDOW_MS
        )
    assert min(sent) < 105_000.0


def test_credit_saved_for_heavy_requests_does_not_admit_light_ones_of_all_directors_at_once() -> None:
    # credits start at a random part of a heavy request: for a light one, three in four directors had enough
    cold = replace(HUBS[0], weight=5.0, started_at_ms=100_000.0)
    directors = fleet((*CACHES, cold, HUBS[1], ROOT))
    sent: list[tuple[float, float]] = []
    for cls, work in (("film", 1600.0), ("page", 400.0)):
        for n, driver in enumerate(directors):
            driver.now += 100.0
            for object in range(20):  # half of them go to the other hub
                for fetch in actions_of(
                    driver.ask(cls=cls, object=100 * n + object, size_kb=4.0 * work), Fetch
                ):
                    sent += [(driver.now, work)] * (fetch.source == cold.store)
    budget = 5.0 * 0.1 * 2.0 * WINDOW_MS / 1000.0  # in requests of 1000 ms, the mean work of both classes
    assert sum(work for _, work in sent) / 1000.0 <= budget + 2.0 * budget**0.5 + 2.0
