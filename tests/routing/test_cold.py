"""Slow start budgets: properties of a single director's budget, and the sum over many directors."""

import random
from dataclasses import replace
from functools import partial

import pytest
from conftest import Driver, members, settings
from hypothesis import given
from hypothesis import strategies as st

from gladelane.hot_restart.learned_state import restore, split_learned_state, take_snapshot
from gladelane.lab.cold import (
    KINDS,
    START_MS,
    Arrival,
    Case,
    Ramp,
    Server,
    measure,
    play,
)
from gladelane.lab.cold_falls import bound
from gladelane.lab.cold_routers import play as play_routers
from gladelane.lab.virtual import Fleet, Plan
from gladelane.routing.events import ListKind, Member, Members, State
from gladelane.routing.router import Router
from gladelane.routing.server_credit import ObservedStart, Tokens
from gladelane.routing.slow_start import (
    MAX_REQUEST_MEANS,
    MAX_REQUEST_SHARE,
    MEAN_SAMPLES,
    STEADY_SHARE,
    WINDOW_SHARE,
    ColdBudgets,
    Work,
)
from gladelane.routing.store import Store
from gladelane.routing.store_list import MAX_REMOVED

NOW, WEIGHT, DIRECTORS = 100_000.0, 8.0, 4
CACHE = Member("c0", "edge", "box", weight=WEIGHT, started_at_ms=NOW)
HUB = Member("p0", "hub", "mid", weight=WEIGHT, started_at_ms=NOW)


class AlwaysRejects(random.Random):
    """Rejects every request that is admitted at random."""

    def random(self) -> float:
        return 1.0


class AlwaysAdmits(random.Random):
    """Admits every request on which any credit is staked."""

    def random(self) -> float:
        return 0.0


def work(own: float, mean: float) -> Work:
    return Work(own, mean, mean)


def budgets(me: int = 0, directors: int = DIRECTORS, seed: int = 1) -> ColdBudgets:
    given = settings(me=me, weights="nominal", seats_by_zone=[0, directors], proxies=directors)
    return ColdBudgets(given, directors, random.Random(seed))


def tokens_of(now: float = NOW) -> Tokens:
    tokens = Tokens()
    tokens.reset(now)
    return tokens


def share_ms(age_ms: float) -> float:
    """The complete work that one of DIRECTORS may send to a cold cache in a window, with the settings of
    conftest."""
    part = min(0.2 + 0.8 * age_ms / 15_000.0, 1.0)
    return WEIGHT * part * 3.0 * 2_000.0 / DIRECTORS


STEPS = st.lists(
    st.tuples(st.floats(0.0, 900.0), st.floats(1.0, 6_000.0), st.booleans()), min_size=1, max_size=60
)


@given(STEPS)
def test_a_director_sends_no_more_than_its_share_in_any_window(
    steps: list[tuple[float, float, bool]],
) -> None:
    cold, tokens, now = budgets(), tokens_of(), NOW
    cold.rng = AlwaysRejects()
    sent: list[tuple[float, float]] = []
    for wait, own, send in steps:
        now += wait
        if cold.allows(CACHE, tokens, now, work(own, 0.0)) and send:
            cold.spend(CACHE, tokens, now, work(own, 0.0))
            sent.append((now, own))
        assert tokens.credit <= WINDOW_SHARE * share_ms(now - NOW) + 1e-6
    for since, _ in sent:
        inside = sum(own for at, own in sent if since <= at < since + 2_000.0)
        most = WINDOW_SHARE * share_ms(since - NOW + 2_000.0)
        assert inside <= most + 1e-6


def test_accumulated_credit_and_new_credit_stay_within_the_window_limit() -> None:
    cold, tokens, sent = budgets(), tokens_of(), 0.0
    cold.rng = AlwaysRejects()
    since = NOW + 4_000.0
    for step in range(2_000):  # as many small requests as the budget admits
        if cold.allows(CACHE, tokens, since + step, work(5.0, 5.0)):
            cold.spend(CACHE, tokens, since + step, work(5.0, 5.0))
            sent += 5.0
    assert 0.95 * WINDOW_SHARE * share_ms(4_000.0) < sent <= WINDOW_SHARE * share_ms(6_000.0)


@given(STEPS, st.integers(0, 1000))
def test_asking_for_admission_adds_no_credit(steps: list[tuple[float, float, bool]], seed: int) -> None:
    """A request that is admitted but not sent must add no credit, however often it is admitted."""
    cold, tokens, now = budgets(seed=seed), tokens_of(), NOW
    for wait, own, _ in steps:
        now += wait
        cold.allows(CACHE, tokens, now, work(own, 0.0))
        assert tokens.credit <= WINDOW_SHARE * share_ms(now - NOW) + 1e-6


@pytest.mark.parametrize("own", [300.0, 3_000.0, 9_000.0])
def test_the_mean_of_what_is_sent_is_the_share_for_any_request_size(own: float) -> None:
    server, works, window = replace(CACHE, started_at_ms=NOW - 12_000.0), 0.0, 2_000.0
    for seed in range(300):
        cold, tokens = budgets(seed=seed), tokens_of()
        for step in range(1, 201):
            now = NOW + 10.0 * step
            if cold.allows(server, tokens, now, work(own, own)):
                cold.spend(server, tokens, now, work(own, own))
                works += own
    mean_share = (share_ms(12_000.0) + share_ms(12_000.0 + window)) / 2.0
    assert works / 300 == pytest.approx(STEADY_SHARE * mean_share, rel=0.12)


def test_no_credit_is_earned_before_the_server_is_known_or_the_director_started() -> None:
    cold, late = budgets(), tokens_of(NOW + 5_000.0)
    cold.rng = AlwaysAdmits()
    assert not cold.allows(CACHE, late, NOW + 5_000.0, work(100.0, 100.0))
    unknown = Tokens()  # the bucket of a server that was on the director's first list
    assert not cold.allows(CACHE, unknown, NOW + 9_000.0, work(100.0, 100.0))
    assert cold.allows(CACHE, unknown, NOW + 9_001.0, work(100.0, 100.0))


@pytest.mark.parametrize("base", [0.0, 5e6])
def test_decisions_do_not_depend_on_the_offset_between_dates_and_clock(base: float) -> None:
    """With a monotonic clock and dates in Unix ms, the decisions at each age must be the same."""
    unix_ms = 1_750_000_000_000.0
    usual, shifted = budgets(), budgets()
    shifted.date_offset_ms = unix_ms - base
    listed = replace(CACHE, started_at_ms=unix_ms)
    known, tokens = tokens_of(), tokens_of(base)
    for age in (100.0, 700.0, 4_000.0, 14_999.0, 15_000.0):
        for one, server, bucket, now in ((usual, CACHE, known, NOW), (shifted, listed, tokens, base)):
            one.rng = random.Random(age)
            if one.allows(server, bucket, now + age, work(300.0, 300.0)):
                one.spend(server, bucket, now + age, work(300.0, 300.0))
        assert tokens.credit == pytest.approx(known.credit, abs=1e-6), age
    # only the last request, which went to a warm server
    assert shifted.caches.sent == usual.caches.sent == 300.0
    ahead = tokens_of(base - 5_000.0)  # the date of the server's start is ahead of the clock
    assert shifted.allows(listed, ahead, base - 4_000.0, work(300.0, 300.0))


HOUR_MS = 3_600_000.0
#: Errors of the date of a start, if the server's clock is wrong.
DATE_ERRORS_MS = [-HOUR_MS, -4_000.0, 50.0, 4_000.0, HOUR_MS]


def sent_to(cold: ColdBudgets, server: Member, observed_start: ObservedStart, until: float) -> float:
    """The work that this director sends after it learned of the server, with no random admissions."""
    tokens = Tokens()
    tokens.reset(observed_start.at_ms, observed_start)
    cold.rng = AlwaysRejects()
    return sum(own for _, own in send_small_requests(cold, server, tokens, observed_start.at_ms, until))


@pytest.mark.parametrize("date_error_ms", DATE_ERRORS_MS)
@pytest.mark.parametrize("server", [CACHE, HUB])
def test_the_age_counts_from_the_list_change_if_the_clock_of_the_server_is_wrong(
    server: Member, date_error_ms: float
) -> None:
    observed_start = ObservedStart(NOW, by_change=True)
    right = sent_to(budgets(), server, observed_start, NOW + 6_000.0)
    misdated = replace(server, started_at_ms=NOW + date_error_ms)
    assert sent_to(budgets(), misdated, observed_start, NOW + 6_000.0) == right > 0.0


def test_the_date_is_used_if_a_list_change_reports_the_start_soon() -> None:
    """Lists arrive some 100 ms late. A server with a correct date must not be taken for younger by that
    delay."""
    observed_start = ObservedStart(NOW + 400.0, by_change=True)
    late = replace(CACHE, started_at_ms=NOW + 400.0)
    by_date, by_observation = (
        sent_to(budgets(), server, observed_start, NOW + 6_000.0) for server in (CACHE, late)
    )
    assert by_date > by_observation
    cold = budgets()
    cold.set_date_offset(4_000.0)  # some clock is wrong, so this server's date is not trusted
    assert sent_to(cold, CACHE, observed_start, NOW + 6_000.0) == by_observation


@pytest.mark.parametrize("ahead_ms", [4_000.0, HOUR_MS])
def test_a_date_ahead_of_our_clock_makes_no_other_server_older(ahead_ms: float) -> None:
    """The clock of one server is ahead, and the dates of all others are correct."""
    observed_start, undisturbed, cold = ObservedStart(NOW), budgets(), budgets()
    cold.set_date_offset(ahead_ms)
    assert sent_to(cold, CACHE, observed_start, NOW + 6_000.0) == sent_to(
        undisturbed, CACHE, observed_start, NOW + 6_000.0
    )
    warm, large = replace(CACHE, started_at_ms=NOW - 16_000.0), work(9e6, 9e6)
    # warm by its date: a director that just started need not wait
    assert cold.allows(warm, tokens_of(), NOW, large)


def test_the_age_counts_from_the_first_observation_if_clocks_disagree() -> None:
    """The dates of a complete list are used otherwise, so that a director that starts later need not wait."""
    server, observed_start = replace(CACHE, started_at_ms=NOW - 8_000.0), ObservedStart(NOW)
    by_date, by_observation, just_started = budgets(), budgets(), budgets()
    by_observation.set_date_offset(4_000.0)
    least = sent_to(just_started, CACHE, observed_start, NOW + 6_000.0)
    assert sent_to(by_observation, server, observed_start, NOW + 6_000.0) == least
    by_date.set_date_offset(-20.0)
    assert sent_to(by_date, server, observed_start, NOW + 6_000.0) > 1.5 * least


def test_dates_are_used_if_our_clock_is_ahead_of_them() -> None:
    """A director whose clock is an hour ahead learns of servers that have just started."""
    cold, observed_start = budgets(), ObservedStart(NOW)
    cold.set_date_offset(-HOUR_MS)
    server = replace(CACHE, started_at_ms=NOW - HOUR_MS)
    assert sent_to(cold, server, observed_start, NOW + 6_000.0) == sent_to(
        budgets(), CACHE, observed_start, NOW + 6_000.0
    )


def store_observed_by(driver: Driver, started_at_ms: float, kind: ListKind = ListKind.CHANGES) -> Store:
    driver.update_members((Member("c0", "edge", "box", weight=WEIGHT, started_at_ms=started_at_ms),), kind)
    return driver.router.stores["c0"]


def test_an_earlier_start_date_is_a_restart() -> None:
    d = Driver((), weights="nominal")
    assert store_observed_by(d, d.now, ListKind.COMPLETE).observed_start == ObservedStart(d.now)
    d.now += 60_000.0
    store = store_observed_by(d, d.now - HOUR_MS)
    assert store.observed_start == store.tokens.observed_start == ObservedStart(d.now, by_change=True)
    d.now += 500.0
    # listed again with the same date: not a new start
    assert store_observed_by(d, store.member.started_at_ms).observed_start.at_ms == d.now - 500.0


def test_a_server_that_is_listed_again_keeps_its_age_and_has_no_credit() -> None:
    """If a list loses servers and contains them again later, warm servers must not be treated as cold."""
    d = Driver((), weights="nominal")
    first, started_at_ms = ObservedStart(d.now), d.now - 60_000.0
    store_observed_by(d, started_at_ms, ListKind.COMPLETE)
    for kind in (ListKind.CHANGES, ListKind.COMPLETE):
        d.now += 20_000.0
        if kind is ListKind.CHANGES:
            d.update_members((Member("c0", "edge", "box", state=State.GONE),), kind)
        else:
            d.update_members(members(1)[1:], kind)
        assert "c0" not in d.router.stores
        d.now += 1_000.0
        store = store_observed_by(d, started_at_ms)
        assert (store.observed_start, store.tokens.at_ms, store.tokens.credit) == (first, d.now, 0.0)
        assert d.router.cold.allows(store.member, store.tokens, d.now, work(9e6, 9e6))
    d.update_members((Member("c0", "edge", "box", state=State.GONE),), ListKind.CHANGES)
    assert store_observed_by(d, started_at_ms + 5_000.0).observed_start == ObservedStart(
        d.now, by_change=True
    )


def test_the_number_of_remembered_removed_servers_is_bounded() -> None:
    d = Driver(())
    for number in range(MAX_REMOVED + 10):
        d.update_members((Member(f"c{number}", "edge", "box", started_at_ms=1.0),), ListKind.CHANGES)
        d.update_members((Member(f"c{number}", "edge", "box", state=State.GONE),), ListKind.CHANGES)
    assert len(d.router.store_list._removed) == MAX_REMOVED


def test_the_usual_load_is_divided_by_the_servers_that_count_as_warm() -> None:
    """A server whose date is an hour ahead counts as warm once it has been known for long enough."""
    ahead = replace(CACHE, store="c1", started_at_ms=NOW + HOUR_MS)
    listed = [
        Store(replace(CACHE, started_at_ms=0.0)),
        Store(ahead, observed_start=ObservedStart(NOW, by_change=True)),
    ]
    cold, later = budgets(), NOW + 15_000.0
    cold.learn(later, listed, [])
    for store in listed:
        cold.spend(store.member, store.tokens, later, work(100.0, 100.0))
    cold.learn(later + 1_000.0, listed, [])
    assert cold.caches.usual == pytest.approx(100.0)


def started_process(started_ms: float, offset_ms: float = 0.0) -> ColdBudgets:
    """One process of a director without random admissions: it sends only what its credit covers."""
    cold = budgets()
    cold.rng, cold.date_offset_ms, cold.learned_ms = AlwaysRejects(), offset_ms, started_ms
    cold.learn(started_ms, [], [])
    return cold


MAX_FLOOD = 20_000  # number of requests; the budget of a cold server is far less


def send_small_requests(
    cold: ColdBudgets, server: Member, tokens: Tokens, since: float, until: float
) -> list[tuple[float, float]]:
    """Sends as many small requests as the credit covers; returns the time and the work of each."""
    sent, now, small = [], since, work(10.0, 10.0)
    while now < until:
        while cold.allows(server, tokens, now, small):
            cold.spend(server, tokens, now, small)
            sent.append((now, small.own))
            assert len(sent) < MAX_FLOOD, "it counts as warm"
        now += 40.0
    return sent


@pytest.mark.parametrize("age_ms", [0.0, 300.0, 1_500.0, 2_600.0, 9_000.0])
def test_a_process_withholds_what_an_earlier_one_may_have_spent_within_a_window(
    age_ms: float,
) -> None:
    """An earlier process that was killed may have spent all that a director may, up to what it could earn."""
    offset, started_ms = 7_000_000.0, NOW + age_ms
    server = replace(CACHE, started_at_ms=NOW + offset)
    cold, tokens = started_process(started_ms, offset), tokens_of(started_ms)
    rate = share_ms(age_ms + 2_000.0) / 2_000.0
    most = (WINDOW_SHARE * 2_000.0 - min(STEADY_SHARE * age_ms, WINDOW_SHARE * 2_000.0)) * rate
    sent = sum(own for _, own in send_small_requests(cold, server, tokens, started_ms, started_ms + 1_990.0))
    assert sent <= most + 1e-6 and (sent > 0.0) == (age_ms < 2_600.0)
    assert cold.allows(server, tokens, started_ms + 2_001.0, work(10.0, 10.0))
    # this server started together with the process, so no earlier process has sent to it
    after = replace(CACHE, started_at_ms=started_ms + offset)
    assert (
        sum(
            own
            for _, own in send_small_requests(
                started_process(started_ms, offset),
                after,
                tokens_of(started_ms),
                started_ms,
                started_ms + 1_990.0,
            )
        )
        > 0.0
    )


def test_credit_that_was_handed_over_is_usable_after_the_first_window() -> None:
    started_ms = NOW + 9_000.0
    cold, tokens = started_process(started_ms), tokens_of(started_ms)
    cold.rng, tokens.credit = AlwaysAdmits(), 50.0
    for now in (started_ms + 1.0, started_ms + 1_500.0, started_ms + 1_999.0):
        assert not cold.allows(CACHE, tokens, now, work(1.0, 1.0)) and tokens.credit >= 50.0
    assert cold.allows(CACHE, tokens, started_ms + 2_001.0, work(50.0, 50.0))


def test_credit_earned_in_the_first_window_is_usable_in_the_next() -> None:
    started_ms = NOW + 9_000.0
    cold, tokens = started_process(started_ms), tokens_of(started_ms)
    assert not cold.allows(CACHE, tokens, started_ms + 1_990.0, work(1.0, 1.0))
    sent = sum(
        own for _, own in send_small_requests(cold, CACHE, tokens, started_ms + 2_000.0, started_ms + 2_100.0)
    )
    assert 0.9 * STEADY_SHARE * share_ms(9_000.0) < sent <= WINDOW_SHARE * share_ms(11_100.0)


@given(st.lists(st.floats(1.0, 3_000.0), min_size=2, max_size=4))
def test_successive_processes_send_no_more_than_one_does_in_any_window(lifetimes_ms: list[float]) -> None:
    sent: list[tuple[float, float]] = []
    now = NOW
    for lifetime_ms in lifetimes_ms:
        sent += send_small_requests(started_process(now), CACHE, tokens_of(now), now, now + lifetime_ms)
        now += lifetime_ms
    for since, _ in sent:
        inside = sum(own for at, own in sent if since <= at < since + 2_000.0)
        assert inside <= WINDOW_SHARE * share_ms(since - NOW + 2_000.0) + 1e-6


RESTARTED = "all restarted after a surge"


@pytest.mark.parametrize(
    "server,directors,requests,seed",
    [(Server.CACHE, 30, 20.0, 2), (Server.HUB, 200, 31.0, 1), (Server.HUB, 200, 80.0, 0)],
)
def test_a_restart_of_all_directors_within_a_window_overloads_no_server(
    server: Server, directors: int, requests: float, seed: int
) -> None:
    """360 runs found 1.01 to 1.05 times the bound: all directors get requests after an idle time and are
    killed, and the requests continue at the processes that replace them."""
    measured = play(Case(RESTARTED, server, directors, requests, seed, **KINDS[RESTARTED]))
    assert measured.over <= 0.0 < measured.used, measured


def test_credit_counted_by_another_clock_is_discarded() -> None:
    cold, tokens = budgets(), tokens_of(1_750_000_000_000.0)
    tokens.credit = 900.0
    assert not cold.allows(CACHE, tokens, NOW, work(500.0, 500.0)) and tokens.credit == 0.0
    assert cold.allows(CACHE, tokens, NOW + 2_000.0, work(500.0, 500.0))


def test_an_unused_random_admission_expires() -> None:
    cold, tokens, cost = budgets(), tokens_of(), work(500.0, 500.0)
    cold.rng = AlwaysAdmits()
    assert cold.allows(CACHE, tokens, NOW + 10.0, cost)
    cold.rng = AlwaysRejects()
    assert cold.allows(CACHE, tokens, NOW + 10.0, cost)  # another request at the same moment takes its place
    assert not cold.allows(CACHE, tokens, NOW + 20.0, cost)


def test_directors_with_the_same_seed_do_not_admit_requests_together() -> None:
    """In a fleet of real processes with one seed, all eight directors sent a request at the same moment."""
    fleet = [(budgets(me=me, directors=30), tokens_of()) for me in range(30)]
    for step in range(1, 30):
        now, admitted = NOW + 1_000.0 * step / 2.0, 0
        for cold, tokens in fleet:
            if cold.allows(CACHE, tokens, now, work(2_000.0, 2_000.0)):
                cold.spend(CACHE, tokens, now, work(2_000.0, 2_000.0))
                admitted += 1
        assert admitted <= 15, step


def test_two_processes_of_one_director_together_earn_what_one_does() -> None:
    cold, alone, halved = budgets(), tokens_of(), tokens_of()
    cold.rng = AlwaysRejects()
    cold.allows(CACHE, alone, NOW + 500.0, work(100.0, 100.0))
    cold.process_count = 2
    cold.allows(CACHE, halved, NOW + 500.0, work(100.0, 100.0))
    assert halved.credit == pytest.approx(alone.credit / 2.0) and alone.credit > 0.0


def test_all_directors_count_if_the_number_in_the_zone_is_not_given() -> None:
    given = settings(weights="nominal", seats_by_zone=[], proxies=50)
    assert ColdBudgets(given, 1, random.Random(1)).link_share(CACHE) == WEIGHT * 1000.0 / 50


def test_a_cold_server_gets_requests_if_no_window_is_given() -> None:
    given = settings(weights="nominal", seats_by_zone=[0, 1], fall_ms=0.0)
    cold, tokens = ColdBudgets(given, 1, random.Random(1)), tokens_of()
    assert cold.allows(CACHE, tokens, NOW + 1_000.0, work(500.0, 500.0))


def test_a_large_request_is_admitted_once_it_is_a_small_part_of_a_window() -> None:
    cold, mean = budgets(), 400.0
    cold.rng = AlwaysAdmits()
    at_first = MAX_REQUEST_SHARE * share_ms(0.0) * DIRECTORS + MAX_REQUEST_MEANS * mean
    heavy = work(1.5 * at_first, mean)
    tokens = tokens_of()
    assert not cold.allows(CACHE, tokens, NOW + 100.0, heavy)
    assert cold.allows(CACHE, tokens, NOW + 200.0, work(at_first, mean))
    assert cold.allows(CACHE, tokens, NOW + 8_000.0, heavy)
    always = work(MAX_REQUEST_MEANS * mean, mean)
    assert cold.allows(replace(CACHE, weight=1.01), tokens, NOW + 8_001.0, always)


@pytest.mark.parametrize(
    ("server", "own", "mean", "cost"),
    [(CACHE, 100.0, 400.0, 400.0), (CACHE, 900.0, 400.0, 900.0), (HUB, 100.0, 400.0, 200.0), (HUB, 300.0, 400.0, 300.0)],
)  # fmt: skip
def test_cost_of_a_request(server: Member, own: float, mean: float, cost: float) -> None:
    cold, tokens = budgets(), tokens_of()
    cold.spend(server, tokens, NOW, work(own, mean))
    assert tokens.credit == -cost


def test_the_usual_load_of_warm_servers_is_the_work_sent_to_them() -> None:
    cold, warm = budgets(), replace(CACHE, started_at_ms=0.0)
    cold.learn(NOW, [Store(warm)], [])
    # by its first request alone the mean may be 500
    cold.spend(warm, tokens_of(), NOW, cold.work("page", 100.0))
    cold.learn(NOW + 1_000.0, [Store(warm)], [])
    assert cold.caches.usual == pytest.approx(100.0)


def test_retries_do_not_count_in_the_usual_load() -> None:
    """In an overload each request is sent several times, which must not make warm servers appear more
    capable."""
    cold, warm, parent = budgets(), replace(CACHE, started_at_ms=0.0), replace(HUB, started_at_ms=0.0)
    cold.learn(NOW, [Store(warm)], [Store(parent)])
    request = work(100.0, 100.0)
    for server in (warm, parent, warm, replace(warm, store="c1"), parent):
        cold.spend(server, tokens_of(), NOW, request)
    cold.spend(warm, tokens_of(), NOW, work(100.0, 100.0))  # another request
    cold.learn(NOW + 1_000.0, [Store(warm)], [Store(parent)])
    assert (cold.caches.usual, cold.parents.usual) == (pytest.approx(200.0), pytest.approx(100.0))


def work_and_bounds(work: Work) -> tuple[float, float, float]:
    return work.own, work.mean_high, work.mean_low


def test_the_bounds_of_a_mean_narrow_with_the_number_of_requests() -> None:
    cold = budgets()
    learned = [cold.work("page", 100.0) for _ in range(MEAN_SAMPLES)]
    assert work_and_bounds(learned[0]) == pytest.approx((100.0, 500.0, 20.0))
    assert work_and_bounds(learned[-1]) == pytest.approx((100.0, 100.0, 100.0))
    assert [w.mean_high for w in learned] == sorted((w.mean_high for w in learned), reverse=True)
    assert [w.mean_low for w in learned] == sorted(w.mean_low for w in learned)
    assert work_and_bounds(cold.work("film", 7.0)) == pytest.approx((7.0, 35.0, 1.4))


def test_a_successor_gets_no_credit_and_a_parallel_process_gets_half() -> None:
    old = Driver(members(2)).router
    old.stores["c0"].tokens.credit, old.stores["c0"].tokens.at_ms = 80.0, 4.0
    after, beside = Driver(members(2)).router, Driver(members(2)).router
    restore(after, take_snapshot(old))
    assert after.stores["c0"].tokens.credit == 0.0
    restore(beside, split_learned_state(old))
    assert beside.stores["c0"].tokens.credit == old.stores["c0"].tokens.credit == 40.0


def test_a_restart_of_a_server_discards_its_credit() -> None:
    d = Driver(members(1), weights="nominal")
    d.router.stores["c0"].tokens.credit = 5e6
    d.update_members((Member("c0", "edge", "box", weight=WEIGHT, started_at_ms=d.now),), ListKind.CHANGES)
    assert d.router.stores["c0"].tokens.credit == 0.0 and d.router.stores["c0"].tokens.at_ms == d.now


def test_the_simulation_measures_the_excess_over_the_bound() -> None:
    ramp = Ramp(4.0)
    assert ramp.allowed(START_MS) == pytest.approx(4.0) and bound(4.0) == 13.0
    together = [Arrival(START_MS, 1.0)] * 14
    assert measure(together, ramp).over == pytest.approx(1.0)
    apart = [Arrival(START_MS + 2_000.0 * n, 13.0) for n in range(4)]  # each in its own window
    assert measure(apart, ramp).over == pytest.approx(0.0)
    assert measure([], ramp).over == -13.0


def test_bound_of_a_cold_server_by_number_of_allowed_requests() -> None:
    assert [bound(n) for n in (1.0, 4.0, 25.0)] == [7.0, 13.0, 43.0]
    assert [bound(n) for n in (36.0, 100.0)] == [50.0, 122.0]
    assert bound(29.999) > bound(30.0) == pytest.approx(42.954, abs=0.001)
    crossing = Ramp(29.0)  # within the window a larger number of allowed requests gives a lower bound
    assert crossing.window_bound(START_MS) == bound(30.0) < bound(29.0)
    assert Ramp(20.0).window_bound(START_MS) == bound(20.0) and Ramp(40.0).window_bound(START_MS) == bound(
        40.0
    )


@pytest.mark.parametrize("directors", [1, 30, 1000])
def test_no_fleet_overloads_a_cold_server(directors: int) -> None:
    for name, changes in KINDS.items():
        for server in Server:
            for requests in (2.0, 20.0):
                case = Case(name, server, directors, requests, 1, **changes)
                measured = play(case)
                assert measured.over <= 0.0, (case, measured)
                if name == "told at once" and requests == 20.0 and directors <= 30:
                    assert measured.used > 0.3, (case, measured)


@pytest.mark.parametrize("directors", [2, 30])
def test_complete_routers_with_retries_and_hedging_overload_no_cold_server(directors: int) -> None:
    for name in ("told at once", "all ask at once", "just started, heavy tails"):
        for server in Server:
            for requests in (2.0, 20.0):
                case = Case(name, server, directors, requests, 2, **KINDS[name])
                measured = play_routers(case)
                assert measured.over <= 0.0, (case, measured)
                if name == "told at once" and requests == 20.0:
                    assert measured.used > 0.3, (case, measured)


def restart_all_caches_and_directors(weights: str) -> Fleet:
    """All caches restart cold, and 1.6 s later all directors restart without learned state."""
    given = settings(
        zone="z0", zones=["hub", "z0", "z1"], hub_of=[0, 0, 0], weights=weights, seats_by_zone=[0, 1, 1]
    )
    fleet = Fleet(Plan(given, locations=2), 1)
    fleet.run(8_000.0)
    for cache in fleet.caches:
        fleet.crash(cache)
        fleet.line.after(200.0, partial(fleet.restart, cache))
    fleet.run(9_800.0)
    for place, director in enumerate(fleet.directors):
        director.router = Router(director.settings, place)
        director.tell(Members(ListKind.COMPLETE, tuple(fleet.members.values())))
    return fleet


def test_directors_that_start_among_cold_servers_of_unknown_size_use_them() -> None:
    """Without a usual load cold servers got nothing, so that no request was served in any of 13 seconds."""
    fleet = restart_all_caches_and_directors("none")
    fleet.run(12_000.0)
    for second in range(10):
        served, asked = fleet.served_weight, fleet.requested_weight
        fleet.run(13_000.0 + 1_000.0 * second)
        assert fleet.served_weight - served > 0.05 * (fleet.requested_weight - asked), second
    assert fleet.broken == []


@pytest.mark.parametrize("server", [CACHE, HUB])
def test_a_server_of_unknown_size_counts_as_one_transfer_until_a_usual_load_is_learned(
    server: Member,
) -> None:
    given = settings(weights="none", seats_by_zone=[0, DIRECTORS], proxies=DIRECTORS)
    unknown, same = ColdBudgets(given, DIRECTORS, random.Random(1)), budgets()
    one_transfer, tokens, expected = replace(server, weight=1.001), tokens_of(), tokens_of()
    unknown.allows(server, tokens, NOW + 900.0, work(9_000.0, 9_000.0))
    same.allows(one_transfer, expected, NOW + 900.0, work(9_000.0, 9_000.0))
    assert (
        tokens.recently_taken == pytest.approx(expected.recently_taken, rel=0.01)
        and tokens.recently_taken > 0.0
    )
    (unknown.parents if server is HUB else unknown.caches).usual = 1.0
    assert unknown.allows(server, tokens, NOW + 1_900.0, work(9_000.0, 9_000.0)) is False
    assert tokens.recently_taken == pytest.approx(expected.recently_taken, rel=0.02)
