"""Leases, keepers, fences and shards: tables, properties, and the search with its planted faults."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.lab.leases import Plant, searched
from gladelane.ownership.fence import Fence
from gladelane.ownership.keeper import Ask, Keeper, majority, others_needed
from gladelane.ownership.lease import Lease, Phase, later_ms
from gladelane.ownership.shards import Sharded, shard_of, work_of, works
from gladelane.purges.order import Purge
from gladelane.purges.orders import Orders


def keepers(count: int = 3, now: float = 0.0) -> list[Keeper]:
    made = [Keeper(f"k{n}", count, 3000.0, now) for n in range(count)]
    for one in made:
        for other in made:
            if one is not other:
                one.learn(other.name, {})
    return made


@pytest.mark.parametrize(("count", "most", "others"), [(1, 1, 0), (3, 2, 2), (5, 3, 3), (7, 4, 4)])
def test_how_many_grant_and_how_many_others_a_start_hears(count: int, most: int, others: int) -> None:
    assert majority(count) == most and others_needed(count) == others


def test_a_keeper_grants_a_number_once_and_nothing_while_a_lease_runs() -> None:
    one = keepers()[0]
    assert not one.ask(Ask("w", "a", 1, 2000.0), 2000.0)[0].ready
    grant, changed = one.ask(Ask("w", "a", 1, 2000.0), 4000.0)
    assert grant.granted and changed and grant.left_ms > 2000.0
    told = [
        one.ask(Ask("w", holder, number, 2000.0), 4500.0)[0]
        for holder, number in (("b", 1), ("b", 2), ("a", 2))
    ]
    assert [(reply.granted, reply.highest, reply.holder) for reply in told] == [(False, 1, "a")] * 3
    assert (
        one.ask(Ask("w", "a", 1, 9000.0), 5000.0)[0].left_ms < 3010.0
    ), "never for longer than the longest lease"
    assert (
        not one.ask(Ask("w", "b", 1, 2000.0), 9000.0)[0].granted
        and one.ask(Ask("w", "b", 2, 2000.0), 9000.0)[0].granted
    )
    assert (
        not one.ask(Ask("w", "a", 1, release=True), 9000.0)[0].granted
        and one.running("w", 9000.0) is not None
    )
    one.ask(Ask("w", "b", 2, release=True), 9000.0)
    assert one.running("w", 9000.0) is None and one.ask(Ask("v", "b", 1, 2000.0), 9000.0)[0].granted


def test_a_keeper_that_starts_sits_out_the_longest_lease_and_learns_from_the_others() -> None:
    one = Keeper("k0", 3, 3000.0, 10_000.0, {"w": 4})
    one.learn("k1", {"w": 9})
    assert not one.ready(20_000.0), "the other majority may have gone on without it"
    one.learn("k2", {"w": 6})
    assert not one.ready(13_000.0) and one.ready(13_010.0) and one.highest("w") == 9
    assert Keeper("k0", 3, 3000.0, 0.0, {}, lost_ms=5e12).highest("w") == 5e12


def drive(lease: Lease, made: list[Keeper], now: float, deaf: set[int] | None = None) -> None:
    ask = lease.next(now)
    while ask is not None:
        turn = None
        for n, keeper in enumerate(made):
            if n not in (deaf or ()):
                turn = lease.heard(ask, keeper.ask(ask, now)[0], now) or turn
        ask = turn


@given(
    st.integers(0, 2**32),
    st.integers(2, 5),
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 2)), max_size=60),
)
def test_two_never_hold_at_once_whoever_is_deaf_to_whom(
    seed: int, candidates: int, events: list[tuple[int, int]]
) -> None:
    rng = random.Random(seed)
    made, now = keepers(), 4000.0
    leases = [Lease("w", f"c{n}", 3, 1500.0, rng, now, n) for n in range(candidates)]
    numbers: dict[int, str] = {}
    deaf: dict[int, set[int]] = {}
    for who, keeper in events:
        now += rng.uniform(10.0, 700.0)
        deaf.setdefault(who, set()).symmetric_difference_update({keeper})
        for n, lease in enumerate(leases):
            if rng.random() < 0.8:  # else it is stopped for a while
                drive(lease, made, now, deaf.get(n))
        held = [lease for lease in leases if lease.holds(now)]
        assert len(held) <= 1
        for lease in held:
            assert numbers.setdefault(lease.number, lease.holder) == lease.holder
    assert sorted(numbers) == list(numbers)


def test_an_owner_that_ends_is_followed_within_its_lease_and_one_that_hands_over_at_once() -> None:
    made, rng = keepers(), random.Random(3)
    leases = [Lease("w", f"c{n}", 3, 1500.0, rng, 4000.0, n) for n in range(4)]
    now, asked = 4000.0, 0
    while now < 14_000.0:
        now += 50.0
        for lease in leases:
            asked += lease.phase is Phase.IDLE and lease._due_ms <= now
            drive(lease, made, now)
    assert [lease.holds(now) for lease in leases] == [True, False, False, False] and leases[0].number == 1
    assert asked < 60, "who waits does not ask all the while"
    began = now
    while not any(lease.holds(now) for lease in leases[1:]) and now < began + 5000.0:
        now += 50.0
        for lease in leases[1:]:
            drive(lease, made, now)
    second = next(lease for lease in leases[1:] if lease.holds(now))
    assert now - began < 1500.0 + 1000.0 and second.number == 2 and second.since_ms == now
    back = second.stop()
    assert back is not None and back.release and second.next(now + 9000.0) is None
    for keeper in made:
        keeper.ask(back, now)
    assert all(keeper.running("w", now) is None for keeper in made) and later_ms(100) > later_ms(2)


def test_a_fence_refuses_lower_numbers_also_of_the_same_owner_and_after_a_start() -> None:
    fence = Fence({"w": 3})
    assert [fence.admits("w", number) for number in (2, 3, 5, 3, 5, 4)] == [
        False,
        True,
        True,
        False,
        True,
        False,
    ]
    assert fence.refused == 3 and fence.raises("w", 6) and not fence.raises("w", 5) and fence.admits("v", 1)
    assert not Fence(fence.numbers).admits("w", 4)


@pytest.mark.parametrize(("shards", "directors"), [(16, 3), (16, 40), (8, 1)])
def test_shards_are_spread_over_directors_and_each_has_one_first_place(shards: int, directors: int) -> None:
    places = [works(shards, me, directors) for me in range(directors)]
    firsts = [sum(place == 0 for place in one.values()) for one in places]
    assert sum(firsts) == shards and max(firsts) - min(firsts) <= 1
    assert all(sorted(one[work_of(n)] for one in places) == list(range(directors)) for n in range(shards))


def test_orders_go_on_where_the_owner_before_was_acknowledged() -> None:
    made = [Purge("f", 1, seq, 100.0 * seq, "all") for seq in range(1, 6)]

    def sharded(held: bool, alone: bool = False) -> tuple[Orders, Sharded]:
        orders = Orders(50.0, 8, 0.0)
        one = Sharded(orders, 4, lambda work: held, lambda: alone, lambda: {("f", 1): len(orders._all)})
        orders.owned = one.owned
        orders.servers({"c0": 7.0})
        orders.add(made[:3])
        return orders, one

    first, of_first = sharded(True)
    work = of_first.work("c0")
    assert work == work_of(shard_of("c0", 4)) and of_first.progress(work) == ""
    for order in first.next(100.0):
        first.acknowledged(order)
    left = of_first.progress(work)
    second, of_second = sharded(True)
    of_second.resume(work, left)
    second.add(made[3:])
    assert [purge.seq for order in second.next(100.0) for purge in order.purges] == [4, 5]
    idle, of_idle = sharded(False)
    of_idle.resume(work, "{"), of_idle.resume(work, '{"c0":[7.0,"f:1=x"]}')
    assert idle.next(100.0) == [] and len(sharded(False, alone=True)[0].next(100.0)) == 1
    renewed, of_renewed = sharded(True)
    renewed.servers({"c0": 8.0})  # its process is another: it may have lost what that one dropped
    of_renewed.resume(work, left)
    assert len(renewed.next(100.0)[0].purges) == 3


@pytest.mark.parametrize("plant", [plant for plant in Plant if plant is not Plant.NONE])
def test_the_search_finds_each_planted_fault(plant: Plant) -> None:
    found: Any = searched(plant, 4, int(plant is Plant.FORGETS))
    assert isinstance(found, str), found


def test_the_search_finds_nothing_in_what_is_built() -> None:
    states = searched(Plant.NONE, 3, 0)
    assert isinstance(states, int) and states > 5_000, states
