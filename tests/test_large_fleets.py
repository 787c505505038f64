"""Routing in large fleets: the cost of decisions and of endpoint list changes, counted in function calls; the caches,
parents and origin that a list yields; and the subset of caches that a director prefers."""

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
MAX_GROWTH = 1.3


def large_settings(**changes: object) -> Settings:
    seats = [0] + [25] * 8
    return settings(
        zone="z0", zones=ZONES, hub_of=[0] * 9, seats_by_zone=seats, proxies=200, weights="nominal", **changes
    )


def large_list(count: int) -> list[Member]:
    """An endpoint list with `count` caches in eight zones, four parents and an origin."""
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


def count_calls(function: Callable[[], object]) -> int:
    """The number of function calls that a call makes, as a measure of cost without timing."""
    profile = cProfile.Profile()
    profile.runcall(function)
    return int(pstats.Stats(profile).total_calls)  # type: ignore[attr-defined]


def make_router(count: int, **changes: object) -> Router:
    router = Router(large_settings(**changes), 1)
    router.handle(1000.0, Members(ListKind.COMPLETE, tuple(large_list(count))))
    return router


def serve_requests(router: Router, requests: int, status: Status = Status.OK) -> None:
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
def test_decision_cost_hardly_grows_with_sixteen_times_the_caches(notes: str) -> None:
    few, many = (
        count_calls(lambda count=count: serve_requests(make_router(count, notes=notes), 300))
        for count in (FEW, MANY)
    )
    list_cost = count_calls(lambda: make_router(MANY, notes=notes)) - count_calls(
        lambda: make_router(FEW, notes=notes)
    )
    assert many - list_cost < MAX_GROWTH * few


def test_cost_of_a_list_change_does_not_depend_on_the_length_of_the_list() -> None:
    changes = [
        lambda member: replace(member, state=State.DRAINING),
        lambda member: replace(member, state=State.GONE),
        lambda member: replace(member, state=State.READY, started_at_ms=1500.0),
    ]
    costs = {}
    for count in (FEW, MANY):
        router, member = make_router(count), large_list(count)[8]
        events: list[Event] = [Members(ListKind.CHANGES, (change(member),)) for change in changes]
        costs[count] = count_calls(
            lambda router=router, events=events: [router.handle(1500.0, event) for event in events]
        )
    assert costs[MANY] < MAX_GROWTH * costs[FEW]


def test_members_of_other_zones_have_no_attempt_state() -> None:
    router = make_router(MANY)
    serve_requests(router, 200)
    other_zones = [
        store for store in router.stores.values() if store.member.kind == "box" and store.member.zone != "z0"
    ]
    assert len(other_zones) == MANY * 7 // 8
    assert not any({"concurrency", "fills", "tokens", "sent"} & set(vars(store)) for store in other_zones)


def routing_targets(router: Router) -> tuple[list[str], list[str], str | None]:
    """The caches, parents and origin that the router uses."""
    return (
        [store.member.store for store in router.caches],
        [store.member.store for store in router.parents],
        router.origin and router.origin.member.store,
    )


def expected_targets(router: Router) -> tuple[list[str], list[str], str | None]:
    """The caches, parents and origin, computed from all members."""
    settings_in_use = router.settings
    members = sorted((store.member for store in router.stores.values()), key=lambda member: member.store)
    source_kinds = (settings_in_use.parent_kind, settings_in_use.origin_kind)
    origins = [member.store for member in members if member.kind == settings_in_use.origin_kind]
    return (
        [
            member.store
            for member in members
            if member.kind not in source_kinds and member.zone == settings_in_use.zone
        ],
        [member.store for member in members if member.kind == settings_in_use.parent_kind],
        origins[0] if origins else None,
    )


@pytest.mark.parametrize("seed", range(8))
def test_list_changes_give_the_same_caches_parents_and_origin_as_the_complete_list(seed: int) -> None:
    rng, router = random.Random(seed), Router(large_settings(), 1)
    now = 1000.0
    for step in range(120):
        changed_members = [
            Member(f"s{rng.randrange(25)}", rng.choice(["hub", "z0", "z1"]), rng.choice(["box", "box", "mid", "root"]), 0,
                   rng.choice([State.READY, State.READY, State.DRAINING, State.GONE]), rng.choice([1.0, 5.0]), rng.choice([0.0, now]))
            for _ in range(rng.randint(1, 6))
        ]  # fmt: skip
        now += 100.0
        if step == 60:
            router.retune(replace(router.settings, parent_kind="box", zone="z1"))
        router.handle(
            now,
            Members(
                rng.choice([ListKind.CHANGES, ListKind.CHANGES, ListKind.COMPLETE]), tuple(changed_members)
            ),
        )
        assert routing_targets(router) == expected_targets(router)
        ready = {store.member.store for store in router.caches if store.member.state is State.READY}
        assert {
            store.member.store for store in router.store_list.caches_for(rng.randrange(99), False, now)
        } == ready


# --- which caches a director uses in a fleet of more than MAX_CACHES_USED_ALIKE caches


def keys_with_few_repeated(requests: int) -> list[int]:
    """Half of the requests are for one of 39 keys, the others for random keys."""
    rng = random.Random(5)
    return [rng.choice([rng.randrange(1, 40), rng.randrange(1, 10**6)]) for _ in range(requests)]


def keys_by_popularity(requests: int) -> list[int]:
    """Keys with a popularity of 1 / rank, of which some hundreds are repeated at some time."""
    rng = random.Random(5)
    return rng.choices(range(1, 4001), [1.0 / rank for rank in range(1, 4001)], k=requests)


def used_caches(router: Router, keys: list[int]) -> set[str]:
    """Requests the keys, and returns the caches to which fetches were sent."""
    now, stores = 2000.0, set()
    for number, key in enumerate(keys, 1):
        now += 40.0
        for action in router.handle(now, Request(number, "page", key, now + 900.0, 300.0)):
            if isinstance(action, Fetch):
                stores.add(action.store)
                router.handle(now + 5.0, Outcome(number, 0, action.store, Status.OK, 5.0, over=True))
    return stores


def test_in_a_fleet_of_usual_size_all_caches_of_the_zone_are_used() -> None:
    router = make_router(MAX_CACHES_USED_ALIKE)
    assert len(used_caches(router, keys_with_few_repeated(2000))) == MAX_CACHES_USED_ALIKE // 8
    assert router.store_list._own_order is None and not router.store_list._recent_keys


def test_in_a_larger_fleet_a_director_uses_few_caches_of_its_zone() -> None:
    zone = MANY // 8
    own, shared = (
        MIN_OWN_CACHES + int(zone * OWN_CACHES_SHARE),
        MIN_SHARED_CACHES + int(zone * SHARED_CACHES_SHARE),
    )
    assert own < len(used_caches(make_router(MANY), keys_with_few_repeated(2000))) <= own + shared < 100


def test_rarely_repeated_keys_use_few_caches() -> None:
    assert (
        len(used_caches(make_router(MANY), keys_by_popularity(1500))) < 90
    )  # of 400 caches, with a request each 40 ms for one minute


def test_repeated_keys_go_to_the_same_cache_from_all_directors_of_the_zone() -> None:
    chosen_caches = []
    for me in range(4):
        router = make_router(MANY, me=me)
        fetches = []
        for number, now in ((1, 2000.0), (2, 2100.0)):
            actions = router.handle(now, Request(number, "page", 77, now + 900.0, 300.0))
            fetches += [action for action in actions if isinstance(action, Fetch)]
            router.handle(now + 5.0, Outcome(number, 0, fetches[-1].store, Status.OK, 5.0, over=True))
        chosen_caches.append((fetches[0].store, fetches[1].store))
    assert (
        len({second for _, second in chosen_caches}) == 1 and len({first for first, _ in chosen_caches}) > 1
    )


def test_a_retry_does_not_make_its_key_a_repeated_one() -> None:
    router = make_router(MANY)
    first = next(
        a for a in router.handle(2000.0, Request(1, "page", 77, 2900.0, 300.0)) if isinstance(a, Fetch)
    )
    actions = router.handle(2005.0, Outcome(1, 0, first.store, Status.FULL, 5.0))
    retry = next(action for action in actions if isinstance(action, Fetch))
    own = {store.member.store for store in router.store_list._own_subset(router.caches)}
    assert {first.store, retry.store} <= own


def test_requests_go_to_other_caches_if_no_preferred_one_is_available() -> None:
    router = make_router(MANY)
    own = router.store_list._own_subset(router.caches)
    for store in own:
        store.eject(2000.0)
    fetch = next(
        a for a in router.handle(2000.0, Request(1, "page", 77, 2900.0, 300.0)) if isinstance(a, Fetch)
    )
    assert fetch.store not in {store.member.store for store in own}


@pytest.mark.parametrize("step", [1, 8])
def test_directors_prefer_each_cache_about_equally_often(step: int) -> None:
    """The numbers of a zone's directors may be consecutive or, with eight zones, every eighth number."""
    routers = [make_router(MANY, me=me) for me in range(0, 25 * step, step)]
    counts: dict[str, int] = {store.member.store: 0 for store in routers[0].caches}
    for router in routers:
        for store in router.store_list._own_subset(router.caches):
            counts[store.member.store] += 1
    mean = sum(counts.values()) / len(counts)
    assert max(counts.values()) <= mean + 2.5  # random subsets: mean + 4.5, and a fifth of the caches unused
    assert sum(count == 0 for count in counts.values()) < len(counts) / 10


def test_adding_or_removing_a_cache_changes_at_most_one_preferred_cache() -> None:
    router, rng = make_router(MANY), random.Random(2)
    before = {store.member.store for store in router.store_list._own_subset(router.caches)}
    for member in rng.sample(large_list(MANY)[:MANY], 60):
        removed = replace(member, state=State.GONE)
        for change in (removed, member):
            router.handle(1500.0, Members(ListKind.CHANGES, (change,)))
            after = {store.member.store for store in router.store_list._own_subset(router.caches)}
            assert len(before - after) <= 1 and len(after - before) <= 1
            before = after


def test_decisions_without_preferred_caches_match_the_recorded_digest(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without preferred caches, decisions are the ones that were recorded before directors preferred any."""
    monkeypatch.setattr(store_list, "MAX_CACHES_USED_ALIKE", 10**9)
    digest = decisions.run_scene("larger_list").text()
    assert digest == "be9ea9fc681d33d730fccbbbb62550ff655183b2fbb6e77ef3925daec3175693"
