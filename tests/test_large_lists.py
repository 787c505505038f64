"""What a decision and a change of the list cost in a large fleet, counted in calls, and that the parts of the list
that decisions use are the same however it came to be."""

from __future__ import annotations

import cProfile
import pstats
import random
from collections.abc import Callable
from dataclasses import replace

import pytest
from conftest import settings

from benchmarks import decisions
from gladelane.routing import store_list
from gladelane.routing.events import (
    Event,
    Fetch,
    ListKind,
    Member,
    Members,
    Outcome,
    Request,
    Settings,
    State,
    Status,
    Timer,
)
from gladelane.routing.router import Router
from gladelane.routing.store_list import (
    MAX_CACHES_USED_ALIKE,
    MIN_OWN_CACHES,
    MIN_SHARED_CACHES,
    OWN_CACHES_SHARE,
    SHARED_CACHES_SHARE,
)

ZONES = ["hub", *(f"z{place}" for place in range(8))]
FEW, MANY = 200, 3200
GROWTH_MOST = 1.3


def large_settings(**changes: object) -> Settings:
    seats = [0] + [25] * 8
    return settings(
        zone="z0", zones=ZONES, hub_of=[0] * 9, seats_by_zone=seats, proxies=200, weights="nominal", **changes
    )


def large_list(count: int) -> list[Member]:
    rng = random.Random(count)
    members = [
        Member(f"c{place}", ZONES[1 + place % 8], "box", weight=rng.choice([4.0, 5.0]))
        for place in range(count)
    ]
    return [
        *members,
        *(Member(f"p{place}", "hub", "mid", weight=20.0) for place in range(4)),
        Member("root", "hub", "root"),
    ]


def calls(act: Callable[[], object]) -> int:
    profile = cProfile.Profile()
    profile.runcall(act)
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


def router_of(count: int, **changes: object) -> Router:
    router = Router(large_settings(**changes), 1)
    router.handle(1000.0, Members(ListKind.COMPLETE, tuple(large_list(count))))
    return router


def serve(router: Router, requests: int, status: Status = Status.OK) -> None:
    now, rng = 2000.0, random.Random(3)
    for number in range(1, requests + 1):
        now += 20.0
        for action in router.handle(
            now, Request(number, "page", rng.randrange(1, 10**9), now + 900.0, 300.0)
        ):
            if isinstance(action, Fetch):
                router.handle(now + 5.0, Outcome(number, 0, action.store, status, 5.0, over=True))
        if not number % 10:
            router.handle(now, Timer("sweep"))


@pytest.mark.parametrize("notes", ["hit", "all", "none"])
def test_decisions_cost_nearly_the_same_before_sixteen_times_the_caches(notes: str) -> None:
    few, many = (
        calls(lambda count=count: serve(router_of(count, notes=notes), 300)) for count in (FEW, MANY)
    )
    whole_list = calls(lambda: router_of(MANY, notes=notes)) - calls(lambda: router_of(FEW, notes=notes))
    assert many - whole_list < GROWTH_MOST * few


def test_a_change_of_the_list_costs_by_its_size() -> None:
    changes = [
        lambda m: replace(m, state=State.DRAINING),
        lambda m: replace(m, state=State.GONE),
        lambda m: replace(m, state=State.READY, started_at_ms=1500.0),
    ]
    costs = {}
    for count in (FEW, MANY):
        router, member = router_of(count), large_list(count)[8]
        events: list[Event] = [Members(ListKind.CHANGES, (change(member),)) for change in changes]
        costs[count] = calls(
            lambda router=router, events=events: [router.handle(1500.0, event) for event in events]
        )
    assert costs[MANY] < GROWTH_MOST * costs[FEW]


def test_a_member_of_another_zone_holds_no_state_of_attempts() -> None:
    router = router_of(MANY)
    serve(router, 200)
    elsewhere = [
        store for store in router.stores.values() if store.member.kind == "box" and store.member.zone != "z0"
    ]
    assert len(elsewhere) == MANY * 7 // 8
    assert not any({"concurrency", "fills", "tokens", "sent"} & set(vars(store)) for store in elsewhere)


def parts(router: Router) -> tuple[list[str], list[str], str | None]:
    return (
        [store.member.store for store in router.caches],
        [store.member.store for store in router.parents],
        router.origin and router.origin.member.store,
    )


def expected(router: Router) -> tuple[list[str], list[str], str | None]:
    named = router.settings
    members = sorted((store.member for store in router.stores.values()), key=lambda member: member.store)
    behind = (named.parent_kind, named.origin_kind)
    origins = [member.store for member in members if member.kind == named.origin_kind]
    return (
        [member.store for member in members if member.kind not in behind and member.zone == named.zone],
        [member.store for member in members if member.kind == named.parent_kind],
        origins[0] if origins else None,
    )


@pytest.mark.parametrize("seed", range(8))
def test_the_parts_of_the_list_are_the_same_by_changes_and_from_all_of_it(seed: int) -> None:
    rng, router = random.Random(seed), Router(large_settings(), 1)
    now = 1000.0
    for step in range(120):
        told = [
            Member(f"s{rng.randrange(25)}", rng.choice(["hub", "z0", "z1"]), rng.choice(["box", "box", "mid", "root"]), 0,
                   rng.choice([State.READY, State.READY, State.DRAINING, State.GONE]), rng.choice([1.0, 5.0]), rng.choice([0.0, now]))
            for _ in range(rng.randint(1, 6))
        ]  # fmt: skip
        now += 100.0
        if step == 60:
            router.retune(replace(router.settings, parent_kind="box", zone="z1"))
        router.handle(
            now, Members(rng.choice([ListKind.CHANGES, ListKind.CHANGES, ListKind.COMPLETE]), tuple(told))
        )
        assert parts(router) == expected(router)
        ready = {store.member.store for store in router.caches if store.member.state is State.READY}
        assert {
            store.member.store for store in router.store_list.caches_for(rng.randrange(99), False, now)
        } == ready


# --- which caches a director uses in a fleet larger than any usual one


def few_keys_again(requests: int) -> list[int]:
    rng = random.Random(5)
    return [rng.choice([rng.randrange(1, 40), rng.randrange(1, 10**6)]) for _ in range(requests)]


def many_keys_again(requests: int) -> list[int]:
    """As popular as their rank: each of some hundreds comes again at some time."""
    rng = random.Random(5)
    return rng.choices(range(1, 4001), [1.0 / rank for rank in range(1, 4001)], k=requests)


def used(router: Router, keys: list[int]) -> set[str]:
    """Caches that are sent to."""
    now, stores = 2000.0, set()
    for number, key in enumerate(keys, 1):
        now += 40.0
        for action in router.handle(now, Request(number, "page", key, now + 900.0, 300.0)):
            if isinstance(action, Fetch):
                stores.add(action.store)
                router.handle(now + 5.0, Outcome(number, 0, action.store, Status.OK, 5.0, over=True))
    return stores


def test_up_to_the_usual_size_all_caches_of_the_zone_are_used_alike() -> None:
    router = router_of(MAX_CACHES_USED_ALIKE)
    assert len(used(router, few_keys_again(2000))) == MAX_CACHES_USED_ALIKE // 8
    assert router.store_list._own_order is None and not router.store_list._recent_keys


def test_in_a_larger_fleet_a_director_keeps_to_a_few_caches_of_its_zone() -> None:
    zone = MANY // 8
    own, shared = (
        MIN_OWN_CACHES + int(zone * OWN_CACHES_SHARE),
        MIN_SHARED_CACHES + int(zone * SHARED_CACHES_SHARE),
    )
    assert own < len(used(router_of(MANY), few_keys_again(2000))) <= own + shared < 100


def test_keys_that_come_again_seldom_wear_through_few_caches_on_a_day() -> None:
    assert (
        len(used(router_of(MANY), many_keys_again(1500))) < 90
    )  # of 400: 40 ms between requests, one minute


def test_keys_that_come_again_go_to_the_cache_that_all_directors_of_the_zone_ask() -> None:
    chosen = []
    for me in range(4):
        router = router_of(MANY, me=me)
        fetches = []
        for number, now in ((1, 2000.0), (2, 2100.0)):
            actions = router.handle(now, Request(number, "page", 77, now + 900.0, 300.0))
            fetches += [action for action in actions if isinstance(action, Fetch)]
            router.handle(now + 5.0, Outcome(number, 0, fetches[-1].store, Status.OK, 5.0, over=True))
        chosen.append((fetches[0].store, fetches[1].store))
    assert len({second for _, second in chosen}) == 1 and len({first for first, _ in chosen}) > 1


def test_a_retry_does_not_make_a_key_one_that_comes_again() -> None:
    router = router_of(MANY)
    first = next(
        a for a in router.handle(2000.0, Request(1, "page", 77, 2900.0, 300.0)) if isinstance(a, Fetch)
    )
    actions = router.handle(2005.0, Outcome(1, 0, first.store, Status.FULL, 5.0))
    retry = next(action for action in actions if isinstance(action, Fetch))
    own = {store.member.store for store in router.store_list._own_subset(router.caches)}
    assert {first.store, retry.store} <= own


def test_when_none_of_the_preferred_can_take_a_request_any_other_does() -> None:
    router = router_of(MANY)
    own = router.store_list._own_subset(router.caches)
    for store in own:
        store.eject(2000.0)
    fetch = next(
        a for a in router.handle(2000.0, Request(1, "page", 77, 2900.0, 300.0)) if isinstance(a, Fetch)
    )
    assert fetch.store not in {store.member.store for store in own}


@pytest.mark.parametrize("step", [1, 8])
def test_directors_prefer_each_cache_about_equally_often(step: int) -> None:
    """However a fleet numbers the directors of one zone: in a row, or every eighth."""
    routers = [router_of(MANY, me=me) for me in range(0, 25 * step, step)]
    counts: dict[str, int] = {store.member.store: 0 for store in routers[0].caches}
    for router in routers:
        for store in router.store_list._own_subset(router.caches):
            counts[store.member.store] += 1
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= mean + 2.5  # drawn at random: mean + 4.5, and a fifth of them unused
    assert sum(count == 0 for count in counts.values()) < len(counts) / 10


def test_a_cache_that_comes_or_goes_changes_one_of_the_preferred_at_most() -> None:
    router, rng = router_of(MANY), random.Random(2)
    before = {store.member.store for store in router.store_list._own_subset(router.caches)}
    for member in rng.sample(large_list(MANY)[:MANY], 60):
        gone = replace(member, state=State.GONE)
        for event in (gone, member):
            router.handle(1500.0, Members(ListKind.CHANGES, (event,)))
            after = {store.member.store for store in router.store_list._own_subset(router.caches)}
            assert len(before - after) <= 1 and len(after - before) <= 1
            before = after


def test_without_the_preference_decisions_are_those_from_before_it(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(store_list, "MAX_CACHES_USED_ALIKE", 10**9)
    digest = decisions.run_scene("larger_list").text()
    assert digest == "be9ea9fc681d33d730fccbbbb62550ff655183b2fbb6e77ef3925daec3175693"
