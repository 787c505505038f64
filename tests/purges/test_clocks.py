"""Wrong and stepped clocks: of feeds, of directors, within a life and across restarts. Whichever clock is wrong, no copy
from before a purge is accepted, and copies from after it are."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from harness import until
from hypothesis import given
from hypothesis import strategies as st
from test_purge_log import RecordingSubscriber, ServedLog, running_server, send, tokens, unix_ms

from gladelane.clock import (
    DATES_ROUNDED_MS,
    FRESH_COPIES,
    FRESH_COPY_COUNTS_MS,
    FreshCopies,
    UnixMs,
)
from gladelane.control_plane.event_stream import EventSink
from gladelane.control_plane.http import fetch
from gladelane.control_plane.positions import Vector
from gladelane.lab.simdisk import SimDisk
from gladelane.net.attempt_lifecycle import AttemptLifecycle
from gladelane.net.attempt_outcomes import AttemptOutcome
from gladelane.net.cache_protocol import Reply
from gladelane.net.copy_dates import is_fresh_copy
from gladelane.net.known_purges import oldest_by_purge_servers
from gladelane.purges.active_purges import (
    AHEAD_MS,
    CLOCK_MARGIN_MS,
    ActivePurges,
)
from gladelane.purges.cutoff import Link
from gladelane.purges.index import Index
from gladelane.purges.low_watermark import Loss, LowWatermark, join_losses
from gladelane.purges.options import Options
from gladelane.purges.peer_clock import MAX_ROUND_TRIP_MS, MIN_ROUND_TRIP_MS, WINDOW_MS, PeerClock
from gladelane.purges.peers import CLOCKS_WAIT_S
from gladelane.purges.purge import MAX_PEER_AHEAD_MS, IssuerClock, IssuerSequence, Purge
from gladelane.purges.purge_stream import PurgeStream
from gladelane.purges.receipt import CLOCKS_AGREE_MS, Receipt, clock_behind_ms
from gladelane.purges.subscription import PurgeSubscription
from gladelane.routing.events import Member, Note

TRUE_MS = 1_764_576_000_000.0  # the origin's clock when the purge is asked for
HOUR_MS = 3_600_000.0
STEPS = (-HOUR_MS, -4_000.0, -50.0, 0.0, 50.0, 4_000.0, HOUR_MS)
DATED_SLACK_MS = 5.0  # of `net.director`: dates are whole ms
SLOWEST_MS = 80.0  # from a director to the origin, and back
WAY_MS = 3.0  # from a feed to a director
REQUEST = ("film", 3, 1, 0)


class Copy(NamedTuple):
    """made_ms: by the origin's clock, which is its date as well."""

    made_ms: float


def is_accepted_by_age(active: ActivePurges, copy: Copy, true_ms: float, director_ms: float) -> bool:
    """As a server does: it is asked for copies up to an age, and counts ages itself."""
    most_ms = max(director_ms - active.index.newest_by_age(*REQUEST, director_ms), 1.0)
    return true_ms - copy.made_ms <= most_ms


def oldest_by_date(active: ActivePurges, director_ms: float, shift_ms: float) -> float:
    index = active.index
    dated_ms, heard_ms = index.newest(*REQUEST, director_ms), index.newest_by_age(*REQUEST, director_ms)
    return float(oldest_by_purge_servers(dated_ms, heard_ms, director_ms, shift_ms))


def is_accepted_by_date(active: ActivePurges, copy: Copy, director_ms: float, shift_ms: float = 0.0) -> bool:
    """As a director does with the answer."""
    return copy.made_ms + DATED_SLACK_MS >= oldest_by_date(active, director_ms, shift_ms)


def fresh_copies(director_off_ms: float, true_ms: float) -> FreshCopies:
    """What a director has heard by then of copies that the origin made for it, on ways of 1 to `SLOWEST_MS`."""
    copies, rng = FreshCopies(), random.Random(3)
    for number in range(2 * FRESH_COPIES):
        made_ms = true_ms - 1_000.0 + number
        asked_ms, heard_ms = (
            made_ms + sign * rng.uniform(1.0, SLOWEST_MS) + director_off_ms for sign in (-1.0, 1.0)
        )
        copies.hear(UnixMs(float(int(made_ms))), asked_ms, heard_ms)
    return copies


@pytest.mark.parametrize("feed_off_ms", STEPS)
@pytest.mark.parametrize("director_off_ms", STEPS)
@pytest.mark.parametrize("is_live", [True, False])
def test_no_copy_from_before_a_purge_is_accepted_and_those_from_after_it_are(
    feed_off_ms: float, director_off_ms: float, is_live: bool
) -> None:
    """Live, or of a backlog ten minutes later."""
    active = ActivePurges()
    heard_true_ms = TRUE_MS + (WAY_MS if is_live else 600_000.0)
    sent_ms = heard_true_ms - WAY_MS + feed_off_ms
    heard = Receipt(sent_ms, is_live, TRUE_MS - 700.0)
    active.apply(Purge("a", 1, 1, TRUE_MS + feed_off_ms, "group:3"), heard_true_ms + director_off_ms, heard)
    # clocks that differ by less than an event may take on its way are what `skew_ms` is for, in a backlog
    skew_ms = 0.0 if is_live else CLOCKS_AGREE_MS
    for later_ms in (0.0, 10.0, 1_000.0, 30_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
        true_ms = heard_true_ms + later_ms
        director_ms = true_ms + director_off_ms
        for before_ms in (0.5, 100.0, 3_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
            old = Copy(TRUE_MS - before_ms - skew_ms)
            assert not is_accepted_by_age(active, old, true_ms, director_ms), (later_ms, before_ms)
        # without fresh copies a feed and a director that are both ahead of the origin agree on a moment that
        # it has not reached
        if min(feed_off_ms, director_off_ms) <= 0.0:
            assert is_accepted_by_date(active, Copy(true_ms), director_ms), later_ms
    # an issuer whose clock is ahead costs fetches for no longer than that is believed
    true_ms = heard_true_ms + AHEAD_MS + 2_000.0
    after = Copy(heard_true_ms + AHEAD_MS + 1_000.0)
    assert is_accepted_by_age(active, after, true_ms, true_ms + director_off_ms)
    if min(feed_off_ms, director_off_ms) <= 0.0:
        assert is_accepted_by_date(active, after, true_ms + director_off_ms)


@pytest.mark.parametrize("feed_off_ms", STEPS)
@pytest.mark.parametrize("director_off_ms", STEPS)
@pytest.mark.parametrize("is_live", [True, False])
def test_by_dates_of_fresh_copies_none_from_before_a_purge_is_accepted_and_those_from_after_it_soon(
    feed_off_ms: float, director_off_ms: float, is_live: bool
) -> None:
    """Dates alone, as where a cache joins a fill and does not look at the copy's age."""
    active = ActivePurges()
    heard_true_ms = TRUE_MS + (WAY_MS if is_live else 600_000.0)
    heard = Receipt(heard_true_ms - WAY_MS + feed_off_ms, is_live, TRUE_MS - 700.0)
    active.apply(Purge("a", 1, 1, TRUE_MS + feed_off_ms, "group:3"), heard_true_ms + director_off_ms, heard)
    shift_ms = fresh_copies(director_off_ms, heard_true_ms).shift_ms(heard_true_ms + director_off_ms)
    assert bool(shift_ms) == (abs(director_off_ms) > CLOCKS_AGREE_MS)
    if shift_ms > 0.0:
        unsure_ms = SLOWEST_MS + (0.0 if is_live else CLOCKS_AGREE_MS)
    else:  # a director that is behind by too little to be proven compares with its own present
        unsure_ms = 0.0 if shift_ms else max(-director_off_ms, 0.0)
    # how long the purge's moment lies ahead of the director's clock, as far as it is believed
    ahead_ms = min(max(feed_off_ms - director_off_ms, 0.0), AHEAD_MS)
    for later_ms in (0.0, 10.0, 3.0 * SLOWEST_MS, 1_000.0, 30_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
        true_ms = heard_true_ms + later_ms
        director_ms = true_ms + director_off_ms
        # a feed that is behind dates a purge by its own clock; the age that caches are asked for covers that
        if shift_ms > 0.0 or feed_off_ms >= 0.0:
            for before_ms in (0.5, 100.0, 3_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
                old = Copy(TRUE_MS - DATED_SLACK_MS - before_ms - unsure_ms)
                assert not is_accepted_by_date(active, old, director_ms, shift_ms), (later_ms, before_ms)
        if shift_ms < 0.0:
            is_due = later_ms >= ahead_ms + 3.0 * SLOWEST_MS
        else:
            is_due = shift_ms > 0.0 or min(feed_off_ms, director_off_ms) <= 0.0
        assert is_accepted_by_date(active, Copy(true_ms), director_ms, shift_ms) or not is_due, later_ms


@pytest.mark.parametrize(
    ("store", "hints", "known", "reply", "expected"),
    [
        ("c0", (), "", Reply("", AttemptOutcome.SERVED, Note.FROM_ORIGIN), True),
        ("r0", (), "", Reply("", AttemptOutcome.SERVED), True),
        ("c0", (), "", Reply("", AttemptOutcome.SERVED), False),
        ("c0", (), "", Reply("", AttemptOutcome.SERVED, Note.JOINED), False),
        ("c0", (), "", Reply("", AttemptOutcome.SERVED, Note.PARENT_HELD), False),
        ("c0", (), "", Reply("", AttemptOutcome.STILL_GOOD, Note.FROM_ORIGIN), False),
        ("c0", ("freshen",), "", Reply("", AttemptOutcome.SERVED, Note.FROM_ORIGIN), False),
        ("c0", (), "a digest", Reply("", AttemptOutcome.SERVED, Note.FROM_ORIGIN), False),
    ],
)
def test_only_a_copy_that_the_origin_made_for_the_request_is_fresh(
    store: str, hints: tuple[str, ...], known: str, reply: Reply, expected: bool
) -> None:
    listed = {"c0": Member("c0", "edge", "box"), "r0": Member("r0", "hub", "root")}
    lifecycle: Any = SimpleNamespace(
        _endpoint_list=SimpleNamespace(listed=listed),
        _context=SimpleNamespace(settings=SimpleNamespace(origin_kind="root")),
    )
    is_origin = AttemptLifecycle._is_origin(lifecycle, store)
    attempt: Any = SimpleNamespace(
        exchange=SimpleNamespace(ask=SimpleNamespace(known=known), spec=SimpleNamespace(cacheable=True)),
        store=store,
        hints=hints,
        written_ms=1.0,
    )
    assert is_fresh_copy(attempt, reply, is_origin) is expected
    attempt.written_ms = 0.0
    assert not is_fresh_copy(attempt, reply, is_origin)


@given(
    st.lists(st.tuples(st.floats(0.0, 400.0), st.floats(0.0, 400.0)), min_size=FRESH_COPIES, max_size=20),
    st.floats(-2 * HOUR_MS, 2 * HOUR_MS),
    st.integers(0, FRESH_COPIES - 1),
    st.floats(0.0, 1e13),
)
def test_fresh_copies_never_place_a_moment_wrongly_with_any_one_date_spoilt(
    ways_ms: list[tuple[float, float]], origin_off_ms: float, spoilt: int, spoilt_date_ms: float
) -> None:
    """`ways_ms`: to the origin and back."""
    copies, now_ms = FreshCopies(), TRUE_MS
    for number, (there_ms, back_ms) in enumerate(ways_ms):
        asked_ms, now_ms = now_ms, now_ms + there_ms + back_ms
        dated_ms = float(int(asked_ms + there_ms + origin_off_ms))
        is_spoilt = number == len(ways_ms) - 1 - spoilt
        copies.hear(UnixMs(spoilt_date_ms if is_spoilt else dated_ms), asked_ms, now_ms)
    shift_ms = copies.shift_ms(now_ms)
    if shift_ms < 0.0:
        assert shift_ms >= origin_off_ms - 1e-3
    elif shift_ms > 0.0:
        assert shift_ms <= origin_off_ms + 1e-3


def test_a_clock_counts_as_right_until_enough_fresh_copies_show_otherwise_and_once_they_are_old() -> None:
    copies = FreshCopies()
    for number in range(FRESH_COPIES):
        assert copies.shift_ms(TRUE_MS) == 0.0
        copies.hear(UnixMs(TRUE_MS - HOUR_MS), TRUE_MS - 10.0, TRUE_MS + number)
    assert copies.shift_ms(TRUE_MS) == DATES_ROUNDED_MS + 10.0 - HOUR_MS
    assert copies.shift_ms(TRUE_MS + FRESH_COPY_COUNTS_MS) != 0.0
    assert copies.shift_ms(TRUE_MS + FRESH_COPY_COUNTS_MS + 1.0) == 0.0


@pytest.mark.parametrize("feed_off_ms", STEPS)
@pytest.mark.parametrize("step_ms", STEPS)
def test_a_restart_with_a_stepped_clock_ends_no_purge_before_its_retention(
    feed_off_ms: float, step_ms: float
) -> None:
    retention_ms = 24 * HOUR_MS
    active = ActivePurges(retention_ms=retention_ms)
    active.apply(Purge("a", 1, 1, TRUE_MS + feed_off_ms, "group:3"), TRUE_MS, Receipt(is_live=True))
    again = ActivePurges(retention_ms=retention_ms)
    last_ms = TRUE_MS + retention_ms - 1.0  # an older copy is not accepted anyway
    again.restore(active.snapshot(), last_ms + step_ms)
    for one, now_ms in ((active, last_ms), (again, last_ms + step_ms)):
        one.expire(now_ms)
        assert len(one) == 1 and one.index.newest_by_age(*REQUEST, now_ms) > 0.0
    past_ms = TRUE_MS + retention_ms + CLOCK_MARGIN_MS + 2 * HOUR_MS
    for one in (active, again):
        one.expire(past_ms)
        assert not len(one) and one.index.newest_by_age(*REQUEST, past_ms) == 0.0 and not len(one.index)
        assert one.index._by_age is None


def test_a_snapshot_drops_no_purge_that_binds_later_than_one_that_covers_it_by_its_moment() -> None:
    active = ActivePurges()
    active.apply(Purge("a", 1, 1, TRUE_MS - HOUR_MS, "group:3"), TRUE_MS, Receipt(is_live=True))
    active.apply(Purge("b", 1, 1, TRUE_MS - HOUR_MS / 2, "all"), TRUE_MS)
    again = ActivePurges()
    again.restore(active.snapshot(), TRUE_MS)
    assert len(again) == 2 and again.index.newest_by_age(*REQUEST, TRUE_MS) == TRUE_MS


def test_a_bound_of_our_own_clock_may_be_a_pattern_too_many_and_binds_wider_then() -> None:
    active = ActivePurges()
    for n in range(80):
        places = f"{n:08b}".replace("0", "?").replace("1", "a")
        scope = f"objects:{places}{'?' * 7}1 & class:film"
        active.apply(Purge("a", 1, n + 1, TRUE_MS - HOUR_MS, scope), TRUE_MS, Receipt(is_live=True))
    assert active.index.newest_by_age("film", 0, 0xAAAAAAAAAAAAAAA1, 0, TRUE_MS) == TRUE_MS
    assert active.index.newest("film", 0, 0xAAAAAAAAAAAAAAA1, 0, TRUE_MS) == TRUE_MS - HOUR_MS


# --- issuers


@pytest.mark.parametrize(
    ("wall_ms", "peer_ms", "expected_ms"),
    [
        (0.0, None, 0.0),
        (HOUR_MS, None, HOUR_MS),  # set right after the start
        (-HOUR_MS, None, 0.0),  # set back: the timeline counts on
        (0.0, HOUR_MS, HOUR_MS),  # our clock was wrong at the start
        (0.0, -HOUR_MS, 0.0),
        (4_000.0, HOUR_MS, HOUR_MS),
        (0.0, 24 * HOUR_MS, MAX_PEER_AHEAD_MS),
    ],
)
def test_an_issuer_dates_by_the_latest_clock_that_may_be_right(
    wall_ms: float, peer_ms: float | None, expected_ms: float
) -> None:
    clock = IssuerClock()
    if peer_ms is not None:
        clock.observe_peer("b", TRUE_MS + peer_ms, TRUE_MS)
    assert clock.now_ms(TRUE_MS + 1_000.0, TRUE_MS + 1_000.0 + wall_ms) == TRUE_MS + 1_000.0 + expected_ms


def test_a_peers_clock_that_was_wrong_for_a_moment_counts_no_longer_than_it_says_so() -> None:
    clock = IssuerClock()
    clock.observe_peer("b", TRUE_MS + HOUR_MS, TRUE_MS)
    clock.observe_peer("c", TRUE_MS + 10.0, TRUE_MS)
    clock.observe_peer("b", TRUE_MS, TRUE_MS)
    clock.observe_peer("b", 0.0, TRUE_MS)  # of a version that does not say
    assert clock.now_ms(TRUE_MS, TRUE_MS) == TRUE_MS + 10.0


@given(st.lists(st.sampled_from(STEPS), max_size=12), st.integers(0, 1000))
def test_an_issuers_moments_never_go_back_and_are_never_before_the_true_one(
    steps_ms: list[float], seed: int
) -> None:
    """Its clock was right at the start, and is stepped again and again."""
    rng, clock, true_ms, last_ms = random.Random(seed), IssuerClock(), TRUE_MS, 0.0
    stamps = IssuerSequence("a", (), 0.0, true_ms)
    for step_ms in steps_ms:
        true_ms += rng.uniform(1.0, 60_000.0)
        at_ms = stamps.next("group:3", clock.now_ms(true_ms, true_ms + step_ms)).at_ms
        assert at_ms >= max(true_ms, last_ms)
        last_ms = at_ms


def heard(clock: IssuerClock, peer_off_ms: float, sent_ms: float, late_ms: float) -> None:
    """An event that answers no request. Our timeline is the true time, off which the peer's clock is."""
    clock.observe_peer("b", sent_ms + peer_off_ms, sent_ms + late_ms)


def opened(clock: IssuerClock, peer_off_ms: float, asked_ms: float, there_ms: float, back_ms: float) -> float:
    """The first event of a stream. Returns when it was heard."""
    sent_ms, heard_ms = asked_ms + there_ms, asked_ms + there_ms + back_ms
    clock.observe_peer("b", sent_ms + peer_off_ms, heard_ms, there_ms + back_ms)
    return heard_ms


WAYS = st.floats(0.0, 3_000.0)


@given(st.floats(0.0, HOUR_MS), WAYS, WAYS, st.lists(st.tuples(WAYS, WAYS), max_size=20))
def test_a_purge_is_dated_no_earlier_than_its_request_and_no_later_than_a_round_trip_after_it(
    peer_off_ms: float, there_ms: float, back_ms: float, events: list[tuple[float, float]]
) -> None:
    """By a peer's clock, however long each event took and whichever way of an exchange was the slow one. `events`: how
    long after the one before it each was sent and how long it took; all are heard while the exchange counts."""
    clock = IssuerClock()
    now_ms = began_ms = opened(clock, peer_off_ms, TRUE_MS, there_ms, back_ms)
    sent_ms = TRUE_MS + there_ms
    latest_ms = peer_off_ms + max(there_ms + back_ms, MIN_ROUND_TRIP_MS)
    for number, (after_ms, late_ms) in enumerate([(0.0, 0.0), *events]):
        if number:
            sent_ms += after_ms
            now_ms = max(now_ms, sent_ms + late_ms)
            if now_ms >= began_ms + WINDOW_MS:
                break
            heard(clock, peer_off_ms, sent_ms, now_ms - sent_ms)
        assert -1e-3 <= clock.now_ms(now_ms, now_ms) - now_ms - peer_off_ms <= latest_ms - peer_off_ms + 1e-3


@given(st.floats(0.0, HOUR_MS), st.floats(0.0, 100.0), st.floats(0.0, 100.0), st.integers(0, 1000))
def test_a_date_stays_careful_for_as_long_as_one_event_of_a_window_is_no_slower_than_the_round_trip(
    peer_off_ms: float, there_ms: float, back_ms: float, seed: int
) -> None:
    """Five minutes of a stream, of whose events all but one in twenty are late by up to a second."""
    rng, clock = random.Random(seed), IssuerClock()
    heard_ms = opened(clock, peer_off_ms, TRUE_MS, there_ms, back_ms)
    sent_ms, most_ms = TRUE_MS + there_ms, max(there_ms + back_ms, MIN_ROUND_TRIP_MS)
    for number in range(300):
        sent_ms += 1_000.0
        late_ms = rng.uniform(0.0, there_ms + back_ms if number % 20 == 0 else 1_000.0)
        heard_ms = max(heard_ms, sent_ms + late_ms)
        heard(clock, peer_off_ms, sent_ms, heard_ms - sent_ms)
        now_ms = heard_ms + rng.uniform(0.0, 1_000.0)
        assert -1e-3 <= clock.now_ms(now_ms, now_ms) - now_ms - peer_off_ms <= most_ms + 1e-3


@pytest.mark.parametrize("share", [-0.0001, 0.0001])
def test_a_date_follows_a_peer_whose_clock_runs_at_another_rate(share: float) -> None:
    """For six hours on one stream. `share`: by which the peer's is faster."""
    clock, rng = IssuerClock(), random.Random(5)
    opened(clock, HOUR_MS, TRUE_MS, 2.0, 1.0)
    for second in range(6 * 3_600):
        sent_ms, off_ms = TRUE_MS + second * 1_000.0, HOUR_MS + second * 1_000.0 * share
        heard(clock, off_ms, sent_ms, rng.uniform(0.5, 2.0))
        now_ms = sent_ms + 500.0
        late_ms = clock.now_ms(now_ms, now_ms) - now_ms - off_ms
        assert 0.0 <= late_ms <= MIN_ROUND_TRIP_MS + 2.0 * WINDOW_MS * abs(share)


def test_a_round_trip_that_was_slow_counts_in_full_until_later_events_say_more() -> None:
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 900.0, 900.0)
    assert clock.ahead_ms() == 0.0  # the answer took all of it
    clock.observe(TRUE_MS + 1_000.0, TRUE_MS + 1_001.0)
    assert clock.ahead_ms() == 899.0
    clock.observe(TRUE_MS + WINDOW_MS + 900.0, TRUE_MS + WINDOW_MS + 901.0)
    assert clock.ahead_ms() == MAX_ROUND_TRIP_MS - 1.0


def test_a_new_stream_counts_by_its_own_round_trip() -> None:
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 10.0, 10.0)
    clock.observe(TRUE_MS + 1_000.0, TRUE_MS + 1_100.0, 200.0)
    assert clock.ahead_ms() == 100.0
    clock.observe(TRUE_MS + 2_000.0, TRUE_MS + 2_000.5, 1.0)
    assert clock.ahead_ms() == MIN_ROUND_TRIP_MS - 0.5


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0])
def test_a_step_of_a_peers_clock_counts_from_its_next_event(step_ms: float) -> None:
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 2.0, 6.0)
    clock.observe(TRUE_MS + 1_000.0 + step_ms, TRUE_MS + 1_001.0)
    assert clock.ahead_ms() == step_ms + 5.0


def test_events_that_waited_while_we_were_stopped_date_nothing_early() -> None:
    """The first of those that are read after a stop is as old as the stop."""
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 2.0, 6.0)
    for number in range(1, 100):
        clock.observe(TRUE_MS + number * 1_000.0, TRUE_MS + 100_000.0)
        assert 0.0 <= clock.ahead_ms() <= 6.0


def test_a_feed_whose_clock_was_wrong_at_the_start_dates_by_its_peer(tmp_path: Path) -> None:
    async def scene() -> None:
        behind = lambda: unix_ms() - HOUR_MS  # noqa: E731
        async with (
            running_server(tmp_path, "a", clock=behind) as wrong,
            running_server(tmp_path, "b") as right,
        ):
            followed_ms = unix_ms()
            peer = wrong.follow("127.0.0.1", right.port)
            right.follow("127.0.0.1", wrong.port)
            await asyncio.wait_for(peer.caught_up.wait(), 5.0)
            asked_ms = unix_ms()
            round_trip_ms = max(asked_ms - followed_ms, MIN_ROUND_TRIP_MS)
            answer = await send(wrong.port, "group:3")
            assert asked_ms <= answer["at_ms"] <= unix_ms() + round_trip_ms
            assert wrong.server_clock.own_ms() < asked_ms - HOUR_MS / 2  # what peers are told is its own

    asyncio.run(scene())


def test_a_purge_that_comes_before_the_peers_clocks_waits_for_them(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A server listens before its streams to peers are open, and its own clock may be an hour behind."""
    serve_at_once = PurgeStream.serve

    async def serve_later(stream: PurgeStream, sink: EventSink, vector: Vector) -> None:
        await asyncio.sleep(0.2)
        await serve_at_once(stream, sink, vector)

    monkeypatch.setattr(PurgeStream, "serve", serve_later)

    async def scene() -> None:
        async with running_server(tmp_path, "b") as right, running_server(tmp_path, "c") as other:
            wrong = ServedLog(
                "a", SimDisk(), tokens(tmp_path), clock=lambda: unix_ms() - HOUR_MS, is_first_start=True
            )
            for peer in (other, right):
                wrong.follow("127.0.0.1", peer.port)
            await wrong.serve()
            asked_ms = unix_ms()
            answer = await send(wrong.port, "group:3")
            assert asked_ms <= answer["at_ms"] <= unix_ms() + MAX_ROUND_TRIP_MS
            await wrong.end()

    asyncio.run(scene())


def test_purges_wait_for_peers_that_cannot_be_reached_at_a_start_only_and_not_for_long(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        one = ServedLog("a", SimDisk(), tokens(tmp_path), clock=unix_ms, is_first_start=True)
        one.follow("127.0.0.1", 1)
        await one.serve()
        began_ms = unix_ms()
        await send(one.port, "group:3")
        assert CLOCKS_WAIT_S * 900.0 <= unix_ms() - began_ms <= 10 * CLOCKS_WAIT_S * 1_000.0
        began_ms = unix_ms()
        for number in range(10):
            await send(one.port, f"group:{number}")
        assert unix_ms() - began_ms < 10 * CLOCKS_WAIT_S * 1_000.0  # or each would have waited
        await one.end()

    asyncio.run(scene())


# --- losses


def test_a_loss_that_a_slow_clock_tells_neither_closes_nor_lowers_it() -> None:
    behind, right = LowWatermark(), LowWatermark()
    loss = Loss("a", 5, TRUE_MS, TRUE_MS)
    right.merge([loss], TRUE_MS)
    behind.merge([loss], TRUE_MS - HOUR_MS)
    assert behind.value_ms(TRUE_MS - HOUR_MS, HOUR_MS) == TRUE_MS - HOUR_MS + AHEAD_MS
    for horizon, other in ((right, behind), (behind, right)):
        horizon.merge(other.losses(), TRUE_MS)
        assert horizon.value_ms(TRUE_MS, HOUR_MS) == TRUE_MS
    vouched = right.attest(TRUE_MS - 500.0, "ops")
    behind.merge(vouched, TRUE_MS)
    behind.merge([loss], TRUE_MS)
    assert behind.value_ms(TRUE_MS, HOUR_MS) == TRUE_MS - 500.0


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(0, 5)), min_size=1, max_size=5), st.randoms())
def test_losses_with_moments_that_differ_join_in_any_order(
    told: list[tuple[int, int]], rng: random.Random
) -> None:
    losses = [Loss("a", 1, float(at), float(min(at, since))) for at, since in told]

    def all_of(given_losses: list[Loss]) -> Loss:
        known = given_losses[0]
        for loss in given_losses[1:]:
            known = join_losses(known, loss)
        return known

    shuffled = losses * 2
    rng.shuffle(shuffled)
    assert all_of(losses) == all_of(shuffled)
    assert all_of(losses).since_ms >= min(loss.since_ms for loss in losses)


def test_a_horizon_is_not_closed_early_by_a_clock_that_is_ahead() -> None:
    active = ActivePurges(retention_ms=24 * HOUR_MS)
    active.low_watermark.merge([Loss("a", 1, TRUE_MS, TRUE_MS)], TRUE_MS)
    now_ms = TRUE_MS + 24 * HOUR_MS - 1.0 + HOUR_MS
    active.expire(now_ms)
    assert active.low_watermark_ms(now_ms) == TRUE_MS
    assert active.low_watermark_ms(now_ms + CLOCK_MARGIN_MS) == 0.0


# --- directors


def options(tmp: Path, *ports: int) -> Options:
    return Options(
        servers=tuple(("127.0.0.1", port) for port in ports),
        token_file=str(tmp / "tokens"),
        folder="",
        retention_ms=24 * HOUR_MS,
        skew_ms=0.0,
        delay_ms=2_000.0,
        strict=frozenset({"film"}),
        cut_off_per_s=40.0,
        start_wait_ms=3_000.0,
    )


@pytest.mark.parametrize(("feed_off_ms", "director_off_ms"), [
    (-HOUR_MS, 0.0), (HOUR_MS, 0.0), (0.0, -HOUR_MS), (0.0, HOUR_MS), (-4_000.0, 4_000.0),
])  # fmt: skip
def test_a_director_binds_what_comes_and_what_was_missed_from_the_true_moment_and_after_a_restart(
    tmp_path: Path, feed_off_ms: float, director_off_ms: float
) -> None:
    """One backlog purge, one live; the copies are a second older than each."""

    async def scene() -> None:
        disk, now_ms = SimDisk(), lambda: unix_ms() + director_off_ms
        async with running_server(tmp_path, clock=lambda: unix_ms() + feed_off_ms) as one:
            await send(one.port, "group:4")
            missed_ms = unix_ms()
            holder = PurgeSubscription(options(tmp_path, one.port), Index(), now_ms, disk)
            holder.start()
            await holder.ready()
            assert holder.cut_off.link is not Link.CUT_OFF
            await send(one.port, "group:3")
            live_ms = unix_ms()
            await until(lambda: len(holder.active) == 2)
            await holder.close()
            again = PurgeSubscription(options(tmp_path, one.port), Index(), now_ms, disk)
            for held in (holder, again):
                for group, purged_ms in ((4, missed_ms), (3, live_ms)):
                    at_ms = now_ms()
                    most_ms = max(at_ms - held.active.index.newest_by_age("film", group, 1, 0, at_ms), 1.0)
                    assert most_ms < unix_ms() - purged_ms + 1_000.0
            await again.close()

    asyncio.run(scene())


def test_a_loss_of_a_feed_whose_clock_is_behind_voids_copies_from_before_the_true_moment(
    tmp_path: Path,
) -> None:
    """At the start by what the feed's clock says now; later because it was heard of after all else."""

    async def scene() -> None:
        async with running_server(tmp_path, clock=lambda: unix_ms() - HOUR_MS, is_first_start=False) as one:
            began_ms = unix_ms()
            holder = PurgeSubscription(options(tmp_path, one.port), Index(), unix_ms)
            holder.start()
            await holder.ready()
            assert holder.lines()[1][1] > 0
            assert holder.max_copy_age_ms("film") < unix_ms() - began_ms + 1_000.0
            at_ms = unix_ms() - HOUR_MS + 5.0
            one.active.low_watermark.merge([Loss("z", 9, at_ms, at_ms)], unix_ms())
            one.stream.wake()
            since = holder.low_watermark_ms
            await until(lambda: holder.low_watermark_ms != since)
            assert holder.max_copy_age_ms("film") < 2_000.0
            status = json.loads(
                await fetch("127.0.0.1", one.port, "GET", "/status", "a-token-of-the-operators")
            )
            assert status["horizon_ms"] == holder.low_watermark_ms
            await holder.close()

    asyncio.run(scene())


def test_how_far_a_clock_is_behind_is_not_read_from_an_ordinary_way_or_from_nothing() -> None:
    assert clock_behind_ms(0.0, TRUE_MS) == 0.0
    assert clock_behind_ms(TRUE_MS - CLOCKS_AGREE_MS, TRUE_MS) == 0.0
    assert clock_behind_ms(TRUE_MS + HOUR_MS, TRUE_MS) == 0.0
    assert clock_behind_ms(TRUE_MS - HOUR_MS, TRUE_MS) == HOUR_MS


def test_events_of_a_feed_that_says_nothing_of_its_clock_are_taken_by_their_moments(tmp_path: Path) -> None:
    async def scene() -> None:
        async with running_server(tmp_path) as one:
            one.stream._clock = lambda: 0.0
            watcher = RecordingSubscriber(one.port)
            await until(lambda: watcher.subscribers[0].caught_up.is_set())
            await send(one.port, "group:3")
            await until(lambda: len(watcher.active) == 1)
            assert watcher.subscribers[0].server_clock_ms == 0.0
            await watcher.close()

    asyncio.run(scene())
