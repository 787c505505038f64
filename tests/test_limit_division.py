"""Concurrency limits in zones with many small caches, where directors divide the limit of a cache among them.

The fleets have the same total capacity and traffic, with few large caches or with sixteen times as many small ones."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest
from conftest import settings

from benchmarks import decisions
from gladelane.lab import virtual
from gladelane.lab.virtual import Director, Fleet, Plan
from gladelane.routing.concurrency_limit import MAX_LIMIT, MIN_LIMIT
from gladelane.routing.endpoint_updates import EndpointUpdates
from gladelane.routing.events import ClassSpec, Fetch, ListKind, Lookup, Member, Members
from gladelane.routing.router import Router
from gladelane.routing.server_credit import ObservedStart
from gladelane.routing.store import INITIAL_LIMIT_PER_WEIGHT, MIN_DIVIDED_INITIAL_LIMIT, LimitDivision, Store
from gladelane.routing.store_list import MAX_CACHES_USED_ALIKE, StoreList

ZONES = ["hub", *(f"z{place}" for place in range(8))]
FEW, MANY = 25, 400  # caches of the zone that is simulated; those of seven other zones are only listed
ZONE_TRANSFERS = 1600.0  # transfers at full speed that the links of all caches of the zone carry together
DIRECTORS, SEATS = 24, 25
REQUESTS_PER_S, DURATION_MS = 1200.0, 8000.0
ZIPF = 1.1
MIN_SERVED_RATIO = 0.85  # the share that many caches serve, relative to that of few
MAX_MEAN_STORES_USED = 60.0  # per director: 24 caches of its own subset, and few shared ones


class NumberedDirector(Director):
    """A director with its own number in the zone, as each has in a real fleet; records the stores that it uses."""

    def __init__(self, fleet: Fleet, name: str, zone: str, seed: int) -> None:
        super().__init__(fleet, name, zone, seed)
        self.settings = replace(self.settings, me=int(name.removeprefix("n")))
        self.router = Router(self.settings, seed)
        self.sent_to: set[str] = set()

    def _send(self, action: Fetch | Lookup) -> None:
        self.sent_to.add(action.store)
        super()._send(action)


class UnevenFleet(Fleet):
    """The first director has the fewest clients, the last one 24 times as many."""

    def _try(self, zone: str, spec: ClassSpec, thing: tuple[int, int], size: float, left: int) -> None:
        directors = self._there[zone]
        self.rng.choices(directors, range(1, len(directors) + 1))[0].ask(spec, thing, size, left)


def zone_settings(**changes: Any) -> Any:
    seats = {"seats_by_zone": [0] + [SEATS] * 8, **changes}
    return settings(zone="z0", zones=ZONES, hub_of=[0] * 9, proxies=200, **seats)


def run_fleet(caches: int, weights: str, seed: int) -> Fleet:
    link = ZONE_TRANSFERS / caches
    room_kb = 60_000.0 * FEW / caches
    plan = Plan(zone_settings(weights=weights), caches=caches, locations=1, directors=DIRECTORS, rate=REQUESTS_PER_S, zipf=ZIPF,
                link=link, cache_storage_kb=room_kb)  # fmt: skip
    fleet = UnevenFleet(plan, seed)
    caches_of_other_zones = tuple(
        Member(f"{zone}c{number}", zone, "box", weight=link) for zone in ZONES[2:] for number in range(caches)
    )
    for director in fleet.directors:
        director.tell(Members(ListKind.CHANGES, caches_of_other_zones))
    fleet.run(DURATION_MS)
    assert fleet.broken == []
    return fleet


@pytest.mark.parametrize(("weights", "seed"), [("nominal", 1), ("none", 1), ("none", 2)])
def test_many_small_caches_serve_nearly_as_much_as_few_large_ones(
    weights: str, seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(virtual, "Director", NumberedDirector)
    few, many = (run_fleet(caches, weights, seed) for caches in (FEW, MANY))
    assert few.served_weight > 0.95 * few.requested_weight
    assert (
        many.served_weight / many.requested_weight
        > MIN_SERVED_RATIO * few.served_weight / few.requested_weight
    )
    stores_used = [
        len(director.sent_to) for director in many.directors if isinstance(director, NumberedDirector)
    ]
    assert sum(stores_used) / len(stores_used) <= MAX_MEAN_STORES_USED


# --- the limit of a cache, which is divided among the directors of its zone


def make_zone_list(caches: int, link: float, division: LimitDivision) -> StoreList:
    store_list = StoreList(zone_settings(), division)
    for number in range(caches):
        store_list.add(Store(Member(f"c{number}", "z0", "box", weight=link), is_weighted=True))
    return store_list


@pytest.mark.parametrize(
    ("caches", "link", "directors", "start", "min_limit"),
    [
        (MAX_CACHES_USED_ALIKE, 4.0, 25, INITIAL_LIMIT_PER_WEIGHT * 4.0, MIN_LIMIT),
        (MAX_CACHES_USED_ALIKE, 0.5, 25, MAX_LIMIT, MIN_LIMIT),  # so small a weight is not used there
        (MAX_CACHES_USED_ALIKE + 1, 4.0, 1, INITIAL_LIMIT_PER_WEIGHT * 4.0, MIN_LIMIT),
        (MAX_CACHES_USED_ALIKE + 1, 4.0, 25, MIN_DIVIDED_INITIAL_LIMIT, MIN_LIMIT / 25),
        (MAX_CACHES_USED_ALIKE + 1, 0.5, 25, MIN_DIVIDED_INITIAL_LIMIT, MIN_LIMIT / 25),
        (MAX_CACHES_USED_ALIKE + 1, 40.0, 25, INITIAL_LIMIT_PER_WEIGHT * 40.0 / 25, MIN_LIMIT / 25),
        (MAX_CACHES_USED_ALIKE + 1, 40.0, 2, INITIAL_LIMIT_PER_WEIGHT * 40.0 / 2, MIN_LIMIT / 2),
        (MAX_CACHES_USED_ALIKE + 1, 400.0, 2, 400.0, MIN_LIMIT / 2),
    ],
)
def test_in_a_large_fleet_each_director_starts_with_its_share_of_a_cache_limit(
    caches: int, link: float, directors: int, start: float, min_limit: float
) -> None:
    division = LimitDivision(directors, random.Random(1).random)
    for cache in make_zone_list(caches, link, division).caches:
        assert cache.concurrency.limit == pytest.approx(start) and cache.concurrency.min_limit == min_limit


def test_limits_of_fills_and_of_sources_are_not_divided() -> None:
    store_list = make_zone_list(MAX_CACHES_USED_ALIKE + 1, 4.0, LimitDivision(25, random.Random(1).random))
    parent = store_list.add(Store(Member("p0", "hub", "mid", weight=20.0), is_weighted=True))
    assert (
        parent.concurrency.limit == INITIAL_LIMIT_PER_WEIGHT * 20.0
        and parent.concurrency.min_limit == MIN_LIMIT
    )
    assert store_list.caches[0].fills.limit == MAX_LIMIT and store_list.caches[0].fills.min_limit == MIN_LIMIT


def test_a_learned_limit_is_kept_when_the_fleet_grows_and_shrinks_again() -> None:
    store_list = make_zone_list(MAX_CACHES_USED_ALIKE, 4.0, LimitDivision(25, random.Random(1).random))
    learned, lowest = store_list.caches[0].concurrency, store_list.caches[1].concurrency
    learned.limit = 7.0
    store_list.add(Store(Member("another", "z0", "box", weight=4.0), is_weighted=True))
    assert (learned.limit, learned.min_limit) == (7.0, MIN_LIMIT / 25)
    for step in range(100):
        lowest.learn(1000.0 * step, 1000.0 * step - 1.0, True)
    assert lowest.limit == MIN_LIMIT / 25
    store_list.remove("another")
    assert (learned.limit, learned.min_limit) == (7.0, MIN_LIMIT)
    assert lowest.limit == MIN_LIMIT


def test_a_cache_that_changes_its_zone_gets_the_minimum_limit_of_that_zone() -> None:
    store_list = make_zone_list(MAX_CACHES_USED_ALIKE + 1, 4.0, LimitDivision(25, random.Random(1).random))
    store = store_list.caches[0]
    for zone, min_limit in (("z0", MIN_LIMIT / 25), ("z1", MIN_LIMIT), ("z0", MIN_LIMIT / 25)):
        store_list.update(store, replace(store.member, zone=zone), ObservedStart(1000.0))
        assert store.concurrency.min_limit == min_limit


def test_a_limit_below_one_admits_a_fraction_of_the_requests() -> None:
    store_list = make_zone_list(MAX_CACHES_USED_ALIKE + 1, 4.0, LimitDivision(25, random.Random(1).random))
    limit = store_list.caches[0].concurrency
    limit.limit = limit.min_limit
    assert 40 < sum(limit.has_capacity() for _ in range(1000)) < 120  # 80 on average


def test_requests_beyond_a_shared_cache_s_capacity_go_to_the_director_s_own_subset() -> None:
    """The next shared caches would get connections from all directors at once for the most popular keys."""
    router = Router(zone_settings(weights="nominal", me=3), 1)
    listed = [
        Member(f"c{number}", f"z{number % 8}", "box", weight=4.0)
        for number in range(2 * MAX_CACHES_USED_ALIKE)
    ]
    router.handle(1000.0, Members(ListKind.COMPLETE, tuple(listed)))
    store_list = router.store_list
    own = store_list._own_subset(router.caches)
    for key in range(1, 200):
        shared, *rest = store_list.caches_for(key, True, 1000.0 + key)
        if shared in own:
            continue
        assert set(rest[: len(own)]) == set(own)
        assert set(rest[len(own) :]) == set(router.caches)
        assert rest[0] is next(store_list.caches_for(key, False, 1000.0 + key))


# --- the initial limits of parents and the origin if the endpoint list contains no sizes

SOURCES = (Member("p0", "hub", "mid"), Member("p1", "hub", "mid"), Member("root", "hub", "root"))


def listed_caches(first: int, end: int) -> tuple[Member, ...]:
    return tuple(Member(f"c{number}", f"z{number % 8}", "box") for number in range(first, end))


def router_with(*lists: tuple[Member, ...], **changes: Any) -> Router:
    router = Router(zone_settings(**{"weights": "none", **changes}), 1)
    for position, listed in enumerate(lists):
        router.handle(1000.0, Members(ListKind.CHANGES if position else ListKind.COMPLETE, listed))
    return router


def source_limits(router: Router) -> list[float]:
    return [router.stores[name].concurrency.limit for name in ("p0", "p1", "root")]


def initial_limit(share: float) -> float:
    return min(share + share**0.5 + 1.0, MAX_LIMIT)


@pytest.mark.parametrize(
    ("caches", "seats", "dividing_directors"),
    [
        (MAX_CACHES_USED_ALIKE, 25, None),
        (MAX_CACHES_USED_ALIKE + 1, 25, 25),
        (MAX_CACHES_USED_ALIKE + 1, 3, 3),
        (MAX_CACHES_USED_ALIKE + 1, 2, None),  # too few directors to divide the limit
    ],
)
@pytest.mark.parametrize("in_two_steps", [False, True])
def test_in_a_large_fleet_each_director_starts_with_its_share_of_a_source_of_unknown_size(
    caches: int, seats: int, dividing_directors: int | None, in_two_steps: bool
) -> None:
    lists = [(*SOURCES, *listed_caches(0, 100)), listed_caches(100, caches)] if in_two_steps else [(*SOURCES, *listed_caches(0, caches))]  # fmt: skip
    limits = source_limits(router_with(*lists, seats_by_zone=[0] + [seats] * 8))
    share = MAX_LIMIT / dividing_directors if dividing_directors else MAX_LIMIT
    assert limits == pytest.approx([initial_limit(share), initial_limit(share), initial_limit(2 * share)])


def test_a_source_in_use_keeps_its_limit_when_the_fleet_grows() -> None:
    router = router_with((*SOURCES, *listed_caches(0, MAX_CACHES_USED_ALIKE)))
    in_use, learned = router.stores["p0"], router.stores["root"]
    assert in_use.concurrency.has_capacity()
    learned.concurrency.limit = 20.0
    router.handle(2000.0, Members(ListKind.CHANGES, listed_caches(MAX_CACHES_USED_ALIKE, 3200)))
    assert source_limits(router) == pytest.approx([MAX_LIMIT, initial_limit(MAX_LIMIT / SEATS), 20.0])
    assert in_use.concurrency.min_limit == MIN_LIMIT


def test_a_source_with_a_listed_size_starts_by_that_size_in_any_fleet() -> None:
    sized = (replace(SOURCES[0], weight=100.0), replace(SOURCES[1], weight=40.0), SOURCES[2])
    few, many = (
        router_with((*sized, *listed_caches(0, caches)), weights="nominal")
        for caches in (FEW, MAX_CACHES_USED_ALIKE + 1)
    )
    assert source_limits(few) == source_limits(many)
    assert few.stores["root"].concurrency.max_limit == many.stores["root"].concurrency.max_limit == 100.0


def caches_for_without_spill(self: StoreList, key: int, is_repeated: bool, now: float) -> Iterator[Store]:
    """`StoreList.caches_for` without the rule that repeated keys spill over to the director's own subset."""
    if self._cache_order is None:
        next(original_caches_for(self, key, False, now), None)
    assert self._cache_order is not None
    first = next(self._cache_order.ranked(key), None)
    if is_repeated and self._own_order is not None and first and self._may_share(first, now):
        return self._cache_order.ranked(key)
    return original_caches_for(self, key, False, now)


original_caches_for = StoreList.caches_for


def test_decisions_without_the_three_rules_match_the_recorded_digest(monkeypatch: pytest.MonkeyPatch) -> None:
    """With divided cache limits, divided source limits and spilling switched off, decisions are the ones that were
    recorded before these rules existed."""
    monkeypatch.setattr(StoreList, "_divide_limit", lambda *_: None)
    monkeypatch.setattr(StoreList, "caches_for", caches_for_without_spill)
    monkeypatch.setattr(EndpointUpdates, "_divide_initial_limits", lambda _: None)
    digest = decisions.run_scene("larger_list").text()
    assert digest == "6323edd87e26d3f806f99c892515cb06f5dcbd33a23d12147dbe5b7692867ee5"
