"""Budgets of servers that started lately: one director's by properties, many directors' by their sum."""

import random
from dataclasses import replace

import pytest
from conftest import Driver, members, settings
from hypothesis import given
from hypothesis import strategies as st

from gladelane.interface import ListKind, Member
from gladelane.lab.cold import (
    KINDS,
    START_MS,
    Arrival,
    Case,
    Ramp,
    Server,
    bound,
    measure,
    play,
)
from gladelane.lab.cold_routers import play as play_routers
from gladelane.routes.cold import (
    LARGEST_MEANS,
    LARGEST_SHARE,
    MEAN_OF,
    STEADY_SHARE,
    WINDOW_SHARE,
    ColdBudgets,
    Tokens,
    Work,
)
from gladelane.upgrade.learnt import restore, split_off, take_snapshot

NOW, WEIGHT, SEATS = 100_000.0, 8.0, 4
CACHE = Member("c0", "edge", "box", weight=WEIGHT, came_up_ms=NOW)
HUB = Member("p0", "hub", "mid", weight=WEIGHT, came_up_ms=NOW)


class Unlucky(random.Random):
    """Loses every draw."""

    def random(self) -> float:
        return 1.0


class Lucky(random.Random):
    """Wins every draw on which anything is staked."""

    def random(self) -> float:
        return 0.0


def work(own: float, mean: float) -> Work:
    return Work(own, mean, mean)


def budgets(me: int = 0, seats: int = SEATS, seed: int = 1) -> ColdBudgets:
    told = settings(me=me, weights="nominal", seats_by_zone=[0, seats], proxies=seats)
    return ColdBudgets(told, seats, random.Random(seed))


def tokens_of(now: float = NOW) -> Tokens:
    tokens = Tokens()
    tokens.renew(now)
    return tokens


def share_ms(age_ms: float) -> float:
    """Work that one director of SEATS may send a cold cache in a window, all of it; settings of conftest."""
    part = min(0.2 + 0.8 * age_ms / 15_000.0, 1.0)
    return WEIGHT * part * 3.0 * 2_000.0 / SEATS


STEPS = st.lists(
    st.tuples(st.floats(0.0, 900.0), st.floats(1.0, 6_000.0), st.booleans()), min_size=1, max_size=60
)


@given(STEPS)
def test_a_bucket_gives_no_more_than_its_share_in_any_window(steps: list[tuple[float, float, bool]]) -> None:
    cold, tokens, now = budgets(), tokens_of(), NOW
    cold.rng = Unlucky()
    sent: list[tuple[float, float]] = []
    for wait, own, send in steps:
        now += wait
        if cold.allows(CACHE, tokens, now, work(own, 0.0)) and send:
            cold.spend(CACHE, tokens, now, work(own, 0.0))
            sent.append((now, own))
        assert tokens.left <= WINDOW_SHARE * share_ms(now - NOW) + 1e-6
    for since, _ in sent:
        inside = sum(own for at, own in sent if since <= at < since + 2_000.0)
        most = WINDOW_SHARE * share_ms(since - NOW + 2_000.0)
        assert inside <= most + 1e-6


def test_what_was_held_is_not_given_beside_what_is_earned_meanwhile() -> None:
    cold, tokens, sent = budgets(), tokens_of(), 0.0
    cold.rng = Unlucky()
    since = NOW + 4_000.0
    for step in range(2_000):  # as much as it lets through, in small requests
        if cold.allows(CACHE, tokens, since + step, work(5.0, 5.0)):
            cold.spend(CACHE, tokens, since + step, work(5.0, 5.0))
            sent += 5.0
    assert 0.95 * WINDOW_SHARE * share_ms(4_000.0) < sent <= WINDOW_SHARE * share_ms(6_000.0)


@given(STEPS, st.integers(0, 1000))
def test_credit_is_never_made_by_asking(steps: list[tuple[float, float, bool]], seed: int) -> None:
    """What is not sent adds nothing, however often a draw was won for it."""
    cold, tokens, now = budgets(seed=seed), tokens_of(), NOW
    for wait, own, _ in steps:
        now += wait
        cold.allows(CACHE, tokens, now, work(own, 0.0))
        assert tokens.left <= WINDOW_SHARE * share_ms(now - NOW) + 1e-6


@pytest.mark.parametrize("own", [300.0, 3_000.0, 9_000.0])
def test_on_average_the_share_is_sent_whatever_a_request_takes(own: float) -> None:
    server, works, window = replace(CACHE, came_up_ms=NOW - 12_000.0), 0.0, 2_000.0
    for seed in range(300):
        cold, tokens = budgets(seed=seed), tokens_of()
        for step in range(1, 201):
            now = NOW + 10.0 * step
            if cold.allows(server, tokens, now, work(own, own)):
                cold.spend(server, tokens, now, work(own, own))
                works += own
    mean_share = (share_ms(12_000.0) + share_ms(12_000.0 + window)) / 2.0
    assert works / 300 == pytest.approx(STEADY_SHARE * mean_share, rel=0.12)


def test_nothing_is_saved_up_before_a_director_was_told_or_started() -> None:
    cold, late = budgets(), tokens_of(NOW + 5_000.0)
    cold.rng = Lucky()
    assert not cold.allows(CACHE, late, NOW + 5_000.0, work(100.0, 100.0))
    untold = Tokens()  # of a director that knows the server from its first list
    assert not cold.allows(CACHE, untold, NOW + 9_000.0, work(100.0, 100.0))
    assert cold.allows(CACHE, untold, NOW + 9_001.0, work(100.0, 100.0))


def test_a_draw_that_was_won_and_not_used_is_no_credit_later() -> None:
    cold, tokens, cost = budgets(), tokens_of(), work(500.0, 500.0)
    cold.rng = Lucky()
    assert cold.allows(CACHE, tokens, NOW + 10.0, cost)
    cold.rng = Unlucky()
    assert cold.allows(CACHE, tokens, NOW + 10.0, cost)  # another of the same moment takes its place
    assert not cold.allows(CACHE, tokens, NOW + 20.0, cost)


def test_directors_that_were_given_one_seed_do_not_win_their_draws_together() -> None:
    # in a fleet of real processes with one seed all eight sent in the same moment
    fleet = [(budgets(me=me, seats=30), tokens_of()) for me in range(30)]
    for step in range(1, 30):
        now, won = NOW + 1_000.0 * step / 2.0, 0
        for cold, tokens in fleet:
            if cold.allows(CACHE, tokens, now, work(2_000.0, 2_000.0)):
                cold.spend(CACHE, tokens, now, work(2_000.0, 2_000.0))
                won += 1
        assert won <= 15, step


def test_two_processes_of_one_director_earn_what_one_does() -> None:
    cold, alone, halved = budgets(), tokens_of(), tokens_of()
    cold.rng = Unlucky()
    cold.allows(CACHE, alone, NOW + 500.0, work(100.0, 100.0))
    cold.parts = 2
    cold.allows(CACHE, halved, NOW + 500.0, work(100.0, 100.0))
    assert halved.left == pytest.approx(alone.left / 2.0) and alone.left > 0.0


def test_where_seats_are_untold_all_directors_may_sit_here() -> None:
    told = settings(weights="nominal", seats_by_zone=[], proxies=50)
    assert ColdBudgets(told, 1, random.Random(1)).link_share(CACHE) == WEIGHT * 1000.0 / 50


def test_where_no_window_is_told_a_cold_server_is_sent_something_all_the_same() -> None:
    told = settings(weights="nominal", seats_by_zone=[0, 1], fall_ms=0.0)
    cold, tokens = ColdBudgets(told, 1, random.Random(1)), tokens_of()
    assert cold.allows(CACHE, tokens, NOW + 1_000.0, work(500.0, 500.0))


def test_a_heavy_request_waits_until_the_server_bears_it_among_others() -> None:
    cold, mean = budgets(), 400.0
    cold.rng = Lucky()
    at_first = LARGEST_SHARE * share_ms(0.0) * SEATS + LARGEST_MEANS * mean
    heavy = work(1.5 * at_first, mean)
    tokens = tokens_of()
    assert not cold.allows(CACHE, tokens, NOW + 100.0, heavy)
    assert cold.allows(CACHE, tokens, NOW + 200.0, work(at_first, mean))
    assert cold.allows(CACHE, tokens, NOW + 8_000.0, heavy)
    always = work(LARGEST_MEANS * mean, mean)
    assert cold.allows(replace(CACHE, weight=1.01), tokens, NOW + 8_001.0, always)


@pytest.mark.parametrize(
    ("server", "own", "mean", "cost"),
    [(CACHE, 100.0, 400.0, 400.0), (CACHE, 900.0, 400.0, 900.0), (HUB, 100.0, 400.0, 200.0), (HUB, 300.0, 400.0, 300.0)],
)  # fmt: skip
def test_what_a_request_costs(server: Member, own: float, mean: float, cost: float) -> None:
    cold, tokens = budgets(), tokens_of()
    cold.spend(server, tokens, NOW, work(own, mean))
    assert tokens.left == -cost


def test_the_usual_load_of_warm_servers_is_what_they_were_sent() -> None:
    cold, warm = budgets(), replace(CACHE, came_up_ms=0.0)
    cold.learn(NOW, [warm], [])
    cold.spend(warm, tokens_of(), NOW, cold.work("page", 100.0))  # its first request: the mean may be 500
    cold.learn(NOW + 1_000.0, [warm], [])
    assert cold.caches.usual == pytest.approx(100.0)


def test_a_mean_of_few_requests_is_known_roughly() -> None:
    cold = budgets()
    told = [cold.work("page", 100.0) for _ in range(MEAN_OF)]
    assert told[0] == pytest.approx((100.0, 500.0, 20.0)) and told[-1] == pytest.approx((100.0, 100.0, 100.0))
    assert [w.mean_high for w in told] == sorted((w.mean_high for w in told), reverse=True)
    assert [w.mean_low for w in told] == sorted(w.mean_low for w in told)
    assert cold.work("film", 7.0) == pytest.approx((7.0, 35.0, 1.4))


def test_a_start_after_a_process_has_no_credit_of_its_and_one_beside_it_a_half() -> None:
    old = Driver(members(2)).router
    old.stores["c0"].tokens.left, old.stores["c0"].tokens.at_ms = 80.0, 4.0
    after, beside = Driver(members(2)).router, Driver(members(2)).router
    restore(after, take_snapshot(old))
    assert after.stores["c0"].tokens.left == 0.0
    restore(beside, split_off(old))
    assert beside.stores["c0"].tokens.left == old.stores["c0"].tokens.left == 40.0


def test_a_server_that_comes_up_anew_voids_what_was_saved_up() -> None:
    d = Driver(members(1), weights="nominal")
    d.router.stores["c0"].tokens.left = 5e6
    d.members((Member("c0", "edge", "box", weight=WEIGHT, came_up_ms=d.now),), ListKind.CHANGES)
    assert d.router.stores["c0"].tokens.left == 0.0 and d.router.stores["c0"].tokens.at_ms == d.now


def test_what_the_simulation_measures() -> None:
    ramp = Ramp(4.0)
    assert ramp.allowed(START_MS) == pytest.approx(4.0) and bound(4.0) == 10.0
    eleven = [Arrival(START_MS, 1.0)] * 11
    assert measure(eleven, ramp).over == pytest.approx(1.0)
    apart = [Arrival(START_MS + 2_000.0 * n, 10.0) for n in range(4)]  # each in a window of its own
    assert measure(apart, ramp).over == pytest.approx(0.0)
    assert measure([], ramp).over == -10.0


@pytest.mark.parametrize("directors", [1, 30, 1000])
def test_no_fleet_pushes_a_cold_server_over(directors: int) -> None:
    for name, changes in KINDS.items():
        for server in Server:
            for requests in (2.0, 20.0):
                case = Case(name, server, directors, requests, 1, **changes)
                measured = play(case)
                assert measured.over <= 0.0, (case, measured)
                if name == "told at once" and requests == 20.0 and directors <= 30:
                    assert measured.used > 0.3, (case, measured)


@pytest.mark.parametrize("directors", [2, 30])
def test_further_attempts_and_second_copies_of_whole_routers_count(directors: int) -> None:
    for name in ("told at once", "all ask at once", "just started, heavy tails"):
        for server in Server:
            for requests in (2.0, 20.0):
                case = Case(name, server, directors, requests, 2, **KINDS[name])
                measured = play_routers(case)
                assert measured.over <= 0.0, (case, measured)
                if name == "told at once" and requests == 20.0:
                    assert measured.used > 0.3, (case, measured)
