"""Wrong and stepped clocks of purge log servers and directors, while they run and across restarts. Whichever clock is
wrong, copies from before a purge are rejected, and copies from after it are accepted."""

from __future__ import annotations

import asyncio
import json
import random
from pathlib import Path
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from harness import wait_until
from hypothesis import given
from hypothesis import strategies as st
from test_purge_log import RecordingSubscriber, ServedLog, running_server, send, tokens, unix_ms

from gladelane.clock import (
    DATE_ROUNDING_MS,
    MAX_FRESH_COPY_AGE_MS,
    REQUIRED_FRESH_COPIES,
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
from gladelane.net.known_purges import min_date_by_purge_servers
from gladelane.purges.active_purges import (
    CLOCK_MARGIN_MS,
    MAX_AHEAD_MS,
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

TRUE_MS = 1_764_576_000_000.0  # the origin's clock when the purge is requested
HOUR_MS = 3_600_000.0
STEPS = (-HOUR_MS, -4_000.0, -50.0, 0.0, 50.0, 4_000.0, HOUR_MS)
DATED_SLACK_MS = 5.0  # the tolerance of a director for dates, which are whole ms
MAX_ONE_WAY_MS = 80.0  # between a director and the origin, in either direction
NETWORK_DELAY_MS = 3.0  # from a purge log server to a director
REQUEST = ("film", 3, 1, 0)


class Copy(NamedTuple):
    """A copy that was made at `made_ms` by the origin's clock, which is also its date."""

    made_ms: float


def is_accepted_by_age(active: ActivePurges, copy: Copy, true_ms: float, director_ms: float) -> bool:
    """Whether a cache server returns the copy: a request has a maximum age, and the server measures ages itself."""
    max_age_ms = max(director_ms - active.index.newest_purge_by_age_ms(*REQUEST, director_ms), 1.0)
    return true_ms - copy.made_ms <= max_age_ms


def oldest_by_date(active: ActivePurges, director_ms: float, shift_ms: float) -> float:
    index = active.index
    by_date_ms, by_age_ms = (
        index.newest_purge_ms(*REQUEST, director_ms),
        index.newest_purge_by_age_ms(*REQUEST, director_ms),
    )
    return float(min_date_by_purge_servers(by_date_ms, by_age_ms, director_ms, shift_ms))


def is_accepted_by_date(active: ActivePurges, copy: Copy, director_ms: float, shift_ms: float = 0.0) -> bool:
    """Whether a director accepts a response with the copy."""
    return copy.made_ms + DATED_SLACK_MS >= oldest_by_date(active, director_ms, shift_ms)


def fresh_copies(director_offset_ms: float, true_ms: float) -> FreshCopies:
    """Copies that the origin made for a director, with network delays of 1 to `MAX_ONE_WAY_MS` each way."""
    copies, rng = FreshCopies(), random.Random(3)
    for number in range(2 * REQUIRED_FRESH_COPIES):
        made_ms = true_ms - 1_000.0 + number
        requested_ms, received_ms = (
            made_ms + sign * rng.uniform(1.0, MAX_ONE_WAY_MS) + director_offset_ms for sign in (-1.0, 1.0)
        )
        copies.record_copy(UnixMs(float(int(made_ms))), requested_ms, received_ms)
    return copies


@pytest.mark.parametrize("server_offset_ms", STEPS)
@pytest.mark.parametrize("director_offset_ms", STEPS)
@pytest.mark.parametrize("is_live", [True, False])
def test_only_copies_from_after_a_purge_are_accepted_whichever_clock_is_wrong(
    server_offset_ms: float, director_offset_ms: float, is_live: bool
) -> None:
    """The purge is received live, or in a backlog ten minutes later."""
    active = ActivePurges()
    received_true_ms = TRUE_MS + (NETWORK_DELAY_MS if is_live else 600_000.0)
    sent_ms = received_true_ms - NETWORK_DELAY_MS + server_offset_ms
    receipt = Receipt(sent_ms, is_live, TRUE_MS - 700.0)
    active.apply(
        Purge("a", 1, 1, TRUE_MS + server_offset_ms, "group:3"),
        received_true_ms + director_offset_ms,
        receipt,
    )
    # in a backlog, a clock difference within the network delay is not detected; `skew_ms` is meant to cover it
    skew_ms = 0.0 if is_live else CLOCKS_AGREE_MS
    for later_ms in (0.0, 10.0, 1_000.0, 30_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
        true_ms = received_true_ms + later_ms
        director_ms = true_ms + director_offset_ms
        for before_ms in (0.5, 100.0, 3_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
            old = Copy(TRUE_MS - before_ms - skew_ms)
            assert not is_accepted_by_age(active, old, true_ms, director_ms), (later_ms, before_ms)
        # if the clocks of the server and the director are both ahead, the purge's time is in the future of the
        # origin, and without fresh copies nothing shows that
        if min(server_offset_ms, director_offset_ms) <= 0.0:
            assert is_accepted_by_date(active, Copy(true_ms), director_ms), later_ms
    # an issuer whose clock is ahead causes unnecessary fetches for no longer than `MAX_AHEAD_MS`
    true_ms = received_true_ms + MAX_AHEAD_MS + 2_000.0
    after = Copy(received_true_ms + MAX_AHEAD_MS + 1_000.0)
    assert is_accepted_by_age(active, after, true_ms, true_ms + director_offset_ms)
    if min(server_offset_ms, director_offset_ms) <= 0.0:
        assert is_accepted_by_date(active, after, true_ms + director_offset_ms)


@pytest.mark.parametrize("server_offset_ms", STEPS)
@pytest.mark.parametrize("director_offset_ms", STEPS)
@pytest.mark.parametrize("is_live", [True, False])
def test_with_a_known_clock_offset_only_copies_from_after_a_purge_are_accepted(
    server_offset_ms: float, director_offset_ms: float, is_live: bool
) -> None:
    """Only dates are compared, as when a cache joins a fill and does not check the copy's age."""
    active = ActivePurges()
    received_true_ms = TRUE_MS + (NETWORK_DELAY_MS if is_live else 600_000.0)
    receipt = Receipt(received_true_ms - NETWORK_DELAY_MS + server_offset_ms, is_live, TRUE_MS - 700.0)
    active.apply(
        Purge("a", 1, 1, TRUE_MS + server_offset_ms, "group:3"),
        received_true_ms + director_offset_ms,
        receipt,
    )
    shift_ms = fresh_copies(director_offset_ms, received_true_ms).shift_ms(
        received_true_ms + director_offset_ms
    )
    assert bool(shift_ms) == (abs(director_offset_ms) > CLOCKS_AGREE_MS)
    if shift_ms > 0.0:
        uncertainty_ms = MAX_ONE_WAY_MS + (0.0 if is_live else CLOCKS_AGREE_MS)
    else:  # an offset that is too small to be detected is not corrected
        uncertainty_ms = 0.0 if shift_ms else max(-director_offset_ms, 0.0)
    # how far the purge's time is ahead of the director's clock, within the limit
    ahead_ms = min(max(server_offset_ms - director_offset_ms, 0.0), MAX_AHEAD_MS)
    for later_ms in (0.0, 10.0, 3.0 * MAX_ONE_WAY_MS, 1_000.0, 30_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
        true_ms = received_true_ms + later_ms
        director_ms = true_ms + director_offset_ms
        # a server that is behind dates a purge too early; the maximum age of a request to a cache covers that
        if shift_ms > 0.0 or server_offset_ms >= 0.0:
            for before_ms in (0.5, 100.0, 3_000.0, HOUR_MS / 2, HOUR_MS, 24 * HOUR_MS):
                old = Copy(TRUE_MS - DATED_SLACK_MS - before_ms - uncertainty_ms)
                assert not is_accepted_by_date(active, old, director_ms, shift_ms), (later_ms, before_ms)
        if shift_ms < 0.0:
            is_due = later_ms >= ahead_ms + 3.0 * MAX_ONE_WAY_MS
        else:
            is_due = shift_ms > 0.0 or min(server_offset_ms, director_offset_ms) <= 0.0
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
    st.lists(
        st.tuples(st.floats(0.0, 400.0), st.floats(0.0, 400.0)), min_size=REQUIRED_FRESH_COPIES, max_size=20
    ),
    st.floats(-2 * HOUR_MS, 2 * HOUR_MS),
    st.integers(0, REQUIRED_FRESH_COPIES - 1),
    st.floats(0.0, 1e13),
)
def test_the_clock_offset_is_never_overestimated_although_one_date_is_corrupt(
    one_way_times_ms: list[tuple[float, float]],
    origin_offset_ms: float,
    corrupt_index: int,
    corrupt_date_ms: float,
) -> None:
    """A single corrupt date must not make a director correct its clock by more than the clock is wrong.
    `one_way_times_ms`: to the origin and back."""
    copies, now_ms = FreshCopies(), TRUE_MS
    for number, (outward_ms, return_ms) in enumerate(one_way_times_ms):
        requested_ms, now_ms = now_ms, now_ms + outward_ms + return_ms
        dated_ms = float(int(requested_ms + outward_ms + origin_offset_ms))
        is_corrupt = number == len(one_way_times_ms) - 1 - corrupt_index
        copies.record_copy(UnixMs(corrupt_date_ms if is_corrupt else dated_ms), requested_ms, now_ms)
    shift_ms = copies.shift_ms(now_ms)
    if shift_ms < 0.0:
        assert shift_ms >= origin_offset_ms - 1e-3
    elif shift_ms > 0.0:
        assert shift_ms <= origin_offset_ms + 1e-3


def test_the_clock_offset_is_zero_without_enough_recent_fresh_copies() -> None:
    copies = FreshCopies()
    for number in range(REQUIRED_FRESH_COPIES):
        assert copies.shift_ms(TRUE_MS) == 0.0
        copies.record_copy(UnixMs(TRUE_MS - HOUR_MS), TRUE_MS - 10.0, TRUE_MS + number)
    assert copies.shift_ms(TRUE_MS) == DATE_ROUNDING_MS + 10.0 - HOUR_MS
    assert copies.shift_ms(TRUE_MS + MAX_FRESH_COPY_AGE_MS) != 0.0
    assert copies.shift_ms(TRUE_MS + MAX_FRESH_COPY_AGE_MS + 1.0) == 0.0


@pytest.mark.parametrize("server_offset_ms", STEPS)
@pytest.mark.parametrize("step_ms", STEPS)
def test_a_restart_with_a_stepped_clock_ends_no_purge_before_its_retention(
    server_offset_ms: float, step_ms: float
) -> None:
    retention_ms = 24 * HOUR_MS
    active = ActivePurges(retention_ms=retention_ms)
    active.apply(Purge("a", 1, 1, TRUE_MS + server_offset_ms, "group:3"), TRUE_MS, Receipt(is_live=True))
    restored = ActivePurges(retention_ms=retention_ms)
    last_ms = TRUE_MS + retention_ms - 1.0  # an older copy is not accepted anyway
    restored.restore(active.snapshot(), last_ms + step_ms)
    for state, now_ms in ((active, last_ms), (restored, last_ms + step_ms)):
        state.expire(now_ms)
        assert len(state) == 1 and state.index.newest_purge_by_age_ms(*REQUEST, now_ms) > 0.0
    past_ms = TRUE_MS + retention_ms + CLOCK_MARGIN_MS + 2 * HOUR_MS
    for state in (active, restored):
        state.expire(past_ms)
        assert (
            not len(state)
            and state.index.newest_purge_by_age_ms(*REQUEST, past_ms) == 0.0
            and not len(state.index)
        )
        assert state.index._by_age_index is None


def test_a_snapshot_keeps_a_covered_purge_whose_local_time_is_later() -> None:
    """A purge that is older by its issuer's clock than a wider one may apply from a later local time on. A snapshot that
    omitted it would make old copies valid again."""
    active = ActivePurges()
    active.apply(Purge("a", 1, 1, TRUE_MS - HOUR_MS, "group:3"), TRUE_MS, Receipt(is_live=True))
    active.apply(Purge("b", 1, 1, TRUE_MS - HOUR_MS / 2, "all"), TRUE_MS)
    restored = ActivePurges()
    restored.restore(active.snapshot(), TRUE_MS)
    assert len(restored) == 2 and restored.index.newest_purge_by_age_ms(*REQUEST, TRUE_MS) == TRUE_MS


def test_local_times_of_too_many_patterns_apply_to_a_wider_scope() -> None:
    """The index of local times has a limit of patterns as well. Purges beyond it must apply to more, not be dropped."""
    active = ActivePurges()
    for n in range(80):
        digits = f"{n:08b}".replace("0", "?").replace("1", "a")
        scope = f"objects:{digits}{'?' * 7}1 & class:film"
        active.apply(Purge("a", 1, n + 1, TRUE_MS - HOUR_MS, scope), TRUE_MS, Receipt(is_live=True))
    assert active.index.newest_purge_by_age_ms("film", 0, 0xAAAAAAAAAAAAAAA1, 0, TRUE_MS) == TRUE_MS
    assert active.index.newest_purge_ms("film", 0, 0xAAAAAAAAAAAAAAA1, 0, TRUE_MS) == TRUE_MS - HOUR_MS


# --- issuers


@pytest.mark.parametrize(
    ("wall_ms", "peer_ms", "expected_ms"),
    [
        (0.0, None, 0.0),
        (HOUR_MS, None, HOUR_MS),  # corrected after the start
        (-HOUR_MS, None, 0.0),  # set back: the timeline continues
        (0.0, HOUR_MS, HOUR_MS),  # the local clock was wrong at the start
        (0.0, -HOUR_MS, 0.0),
        (4_000.0, HOUR_MS, HOUR_MS),
        (0.0, 24 * HOUR_MS, MAX_PEER_AHEAD_MS),
    ],
)
def test_an_issuer_dates_purges_by_the_latest_clock_that_may_be_right(
    wall_ms: float, peer_ms: float | None, expected_ms: float
) -> None:
    clock = IssuerClock()
    if peer_ms is not None:
        clock.observe_peer("b", TRUE_MS + peer_ms, TRUE_MS)
    assert clock.now_ms(TRUE_MS + 1_000.0, TRUE_MS + 1_000.0 + wall_ms) == TRUE_MS + 1_000.0 + expected_ms


def test_a_peer_clock_that_was_corrected_no_longer_affects_the_dates_of_purges() -> None:
    clock = IssuerClock()
    clock.observe_peer("b", TRUE_MS + HOUR_MS, TRUE_MS)
    clock.observe_peer("c", TRUE_MS + 10.0, TRUE_MS)
    clock.observe_peer("b", TRUE_MS, TRUE_MS)
    clock.observe_peer("b", 0.0, TRUE_MS)  # from a version that does not send its clock
    assert clock.now_ms(TRUE_MS, TRUE_MS) == TRUE_MS + 10.0


@given(st.lists(st.sampled_from(STEPS), max_size=12), st.integers(0, 1000))
def test_times_of_an_issuer_never_decrease_and_are_never_before_the_true_time(
    steps_ms: list[float], seed: int
) -> None:
    """The issuer's clock was right at the start, and is then stepped repeatedly."""
    rng, clock, true_ms, last_ms = random.Random(seed), IssuerClock(), TRUE_MS, 0.0
    sequence = IssuerSequence("a", (), 0.0, true_ms)
    for step_ms in steps_ms:
        true_ms += rng.uniform(1.0, 60_000.0)
        at_ms = sequence.next("group:3", clock.now_ms(true_ms, true_ms + step_ms)).at_ms
        assert at_ms >= max(true_ms, last_ms)
        last_ms = at_ms


def observe_event(clock: IssuerClock, peer_offset_ms: float, sent_ms: float, delay_ms: float) -> None:
    """Records an event that answers no request. The local timeline is the true time; the peer's clock has an offset."""
    clock.observe_peer("b", sent_ms + peer_offset_ms, sent_ms + delay_ms)


def observe_stream_start(
    clock: IssuerClock, peer_offset_ms: float, requested_ms: float, outward_ms: float, return_ms: float
) -> float:
    """Records the first event of a stream. Returns when it was received."""
    sent_ms, received_ms = requested_ms + outward_ms, requested_ms + outward_ms + return_ms
    clock.observe_peer("b", sent_ms + peer_offset_ms, received_ms, outward_ms + return_ms)
    return received_ms


ONE_WAY_TIMES = st.floats(0.0, 3_000.0)


@given(
    st.floats(0.0, HOUR_MS),
    ONE_WAY_TIMES,
    ONE_WAY_TIMES,
    st.lists(st.tuples(ONE_WAY_TIMES, ONE_WAY_TIMES), max_size=20),
)
def test_a_purge_is_dated_no_earlier_than_its_request_and_no_later_than_a_round_trip_after_it(
    peer_offset_ms: float, outward_ms: float, return_ms: float, events: list[tuple[float, float]]
) -> None:
    """A purge must be dated correctly by a peer's clock, however long each event took and whichever direction of the
    round trip was slow. `events`: the time since the previous event and the delay of each; all are received within
    the first window."""
    clock = IssuerClock()
    now_ms = started_ms = observe_stream_start(clock, peer_offset_ms, TRUE_MS, outward_ms, return_ms)
    sent_ms = TRUE_MS + outward_ms
    latest_ms = peer_offset_ms + max(outward_ms + return_ms, MIN_ROUND_TRIP_MS)
    for number, (after_ms, delay_ms) in enumerate([(0.0, 0.0), *events]):
        if number:
            sent_ms += after_ms
            now_ms = max(now_ms, sent_ms + delay_ms)
            if now_ms >= started_ms + WINDOW_MS:
                break
            observe_event(clock, peer_offset_ms, sent_ms, now_ms - sent_ms)
        assert (
            -1e-3
            <= clock.now_ms(now_ms, now_ms) - now_ms - peer_offset_ms
            <= latest_ms - peer_offset_ms + 1e-3
        )


@given(st.floats(0.0, HOUR_MS), st.floats(0.0, 100.0), st.floats(0.0, 100.0), st.integers(0, 1000))
def test_purges_are_not_dated_too_early_while_one_event_of_each_window_is_fast(
    peer_offset_ms: float, outward_ms: float, return_ms: float, seed: int
) -> None:
    """A stream of five minutes, in which all but one in twenty events are delayed by up to a second."""
    rng, clock = random.Random(seed), IssuerClock()
    received_ms = observe_stream_start(clock, peer_offset_ms, TRUE_MS, outward_ms, return_ms)
    sent_ms, max_error_ms = TRUE_MS + outward_ms, max(outward_ms + return_ms, MIN_ROUND_TRIP_MS)
    for number in range(300):
        sent_ms += 1_000.0
        delay_ms = rng.uniform(0.0, outward_ms + return_ms if number % 20 == 0 else 1_000.0)
        received_ms = max(received_ms, sent_ms + delay_ms)
        observe_event(clock, peer_offset_ms, sent_ms, received_ms - sent_ms)
        now_ms = received_ms + rng.uniform(0.0, 1_000.0)
        assert -1e-3 <= clock.now_ms(now_ms, now_ms) - now_ms - peer_offset_ms <= max_error_ms + 1e-3


@pytest.mark.parametrize("drift", [-0.0001, 0.0001])
def test_the_date_of_a_purge_follows_a_peer_whose_clock_drifts(drift: float) -> None:
    """The clocks drift apart for six hours on one stream. `drift`: how much faster the peer's clock runs."""
    clock, rng = IssuerClock(), random.Random(5)
    observe_stream_start(clock, HOUR_MS, TRUE_MS, 2.0, 1.0)
    for second in range(6 * 3_600):
        sent_ms, offset_ms = TRUE_MS + second * 1_000.0, HOUR_MS + second * 1_000.0 * drift
        observe_event(clock, offset_ms, sent_ms, rng.uniform(0.5, 2.0))
        now_ms = sent_ms + 500.0
        error_ms = clock.now_ms(now_ms, now_ms) - now_ms - offset_ms
        assert 0.0 <= error_ms <= MIN_ROUND_TRIP_MS + 2.0 * WINDOW_MS * abs(drift)


def test_a_slow_round_trip_is_limited_after_the_first_window() -> None:
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 900.0, 900.0)
    assert clock.ahead_ms() == 0.0  # the response took the whole round trip
    clock.observe(TRUE_MS + 1_000.0, TRUE_MS + 1_001.0)
    assert clock.ahead_ms() == 899.0
    clock.observe(TRUE_MS + WINDOW_MS + 900.0, TRUE_MS + WINDOW_MS + 901.0)
    assert clock.ahead_ms() == MAX_ROUND_TRIP_MS - 1.0


def test_the_round_trip_of_a_new_stream_replaces_the_previous_one() -> None:
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 10.0, 10.0)
    clock.observe(TRUE_MS + 1_000.0, TRUE_MS + 1_100.0, 200.0)
    assert clock.ahead_ms() == 100.0
    clock.observe(TRUE_MS + 2_000.0, TRUE_MS + 2_000.5, 1.0)
    assert clock.ahead_ms() == MIN_ROUND_TRIP_MS - 0.5


@pytest.mark.parametrize("step_ms", [HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0])
def test_a_step_of_a_peer_clock_takes_effect_with_its_next_event(step_ms: float) -> None:
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 2.0, 6.0)
    clock.observe(TRUE_MS + 1_000.0 + step_ms, TRUE_MS + 1_001.0)
    assert clock.ahead_ms() == step_ms + 5.0


def test_events_that_were_received_late_do_not_lower_the_estimate() -> None:
    """If the process was stopped, the first event that it reads afterwards is as old as the stop, and would lower the
    estimate of the peer's clock if a single event counted."""
    clock = PeerClock()
    clock.observe(TRUE_MS, TRUE_MS + 2.0, 6.0)
    for number in range(1, 100):
        clock.observe(TRUE_MS + number * 1_000.0, TRUE_MS + 100_000.0)
        assert 0.0 <= clock.ahead_ms() <= 6.0


def test_a_server_whose_clock_was_wrong_at_the_start_dates_purges_by_its_peer(tmp_path: Path) -> None:
    async def scenario() -> None:
        behind = lambda: unix_ms() - HOUR_MS  # noqa: E731
        async with (
            running_server(tmp_path, "a", clock=behind) as wrong_server,
            running_server(tmp_path, "b") as right_server,
        ):
            subscribed_ms = unix_ms()
            peer = wrong_server.subscribe_to_peer("127.0.0.1", right_server.port)
            right_server.subscribe_to_peer("127.0.0.1", wrong_server.port)
            await asyncio.wait_for(peer.caught_up.wait(), 5.0)
            requested_ms = unix_ms()
            round_trip_ms = max(requested_ms - subscribed_ms, MIN_ROUND_TRIP_MS)
            response = await send(wrong_server.port, "group:3")
            assert requested_ms <= response["at_ms"] <= unix_ms() + round_trip_ms
            # peers are sent its own clock
            assert wrong_server.server_clock.own_ms() < requested_ms - HOUR_MS / 2

    asyncio.run(scenario())


def test_a_purge_waits_until_the_clocks_of_peers_are_known(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A server listens before its streams from peers are open. A purge that it issued at once would be dated by its own
    clock, which may be an hour behind."""
    serve_without_delay = PurgeStream.serve

    async def serve_with_delay(stream: PurgeStream, sink: EventSink, vector: Vector) -> None:
        await asyncio.sleep(0.2)
        await serve_without_delay(stream, sink, vector)

    monkeypatch.setattr(PurgeStream, "serve", serve_with_delay)

    async def scenario() -> None:
        async with running_server(tmp_path, "b") as right_server, running_server(tmp_path, "c") as other:
            wrong_server = ServedLog(
                "a", SimDisk(), tokens(tmp_path), clock=lambda: unix_ms() - HOUR_MS, is_first_start=True
            )
            for peer in (other, right_server):
                wrong_server.subscribe_to_peer("127.0.0.1", peer.port)
            await wrong_server.serve()
            requested_ms = unix_ms()
            response = await send(wrong_server.port, "group:3")
            assert requested_ms <= response["at_ms"] <= unix_ms() + MAX_ROUND_TRIP_MS
            await wrong_server.end()

    asyncio.run(scenario())


def test_purges_wait_for_unreachable_peers_only_briefly_after_a_start(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        purge_server = ServedLog("a", SimDisk(), tokens(tmp_path), clock=unix_ms, is_first_start=True)
        purge_server.subscribe_to_peer("127.0.0.1", 1)
        await purge_server.serve()
        started_ms = unix_ms()
        await send(purge_server.port, "group:3")
        assert CLOCKS_WAIT_S * 900.0 <= unix_ms() - started_ms <= 10 * CLOCKS_WAIT_S * 1_000.0
        started_ms = unix_ms()
        for number in range(10):
            await send(purge_server.port, f"group:{number}")
        assert unix_ms() - started_ms < 10 * CLOCKS_WAIT_S * 1_000.0  # otherwise each would have waited
        await purge_server.end()

    asyncio.run(scenario())


# --- losses


def test_a_loss_reported_by_a_server_whose_clock_is_behind_stays_open() -> None:
    """A server whose clock is behind limits the time of a loss. When it reports the loss to others, that earlier time must
    not count as an attestation."""
    behind, current = LowWatermark(), LowWatermark()
    loss = Loss("a", 5, TRUE_MS, TRUE_MS)
    current.merge([loss], TRUE_MS)
    behind.merge([loss], TRUE_MS - HOUR_MS)
    assert behind.value_ms(TRUE_MS - HOUR_MS, HOUR_MS) == TRUE_MS - HOUR_MS + MAX_AHEAD_MS
    for low_watermark, other in ((current, behind), (behind, current)):
        low_watermark.merge(other.losses(), TRUE_MS)
        assert low_watermark.value_ms(TRUE_MS, HOUR_MS) == TRUE_MS
    attested = current.attest(TRUE_MS - 500.0, "ops")
    behind.merge(attested, TRUE_MS)
    behind.merge([loss], TRUE_MS)
    assert behind.value_ms(TRUE_MS, HOUR_MS) == TRUE_MS - 500.0


@given(st.lists(st.tuples(st.integers(1, 5), st.integers(0, 5)), min_size=1, max_size=5), st.randoms())
def test_losses_with_different_times_join_in_any_order(
    reported: list[tuple[int, int]], rng: random.Random
) -> None:
    losses = [Loss("a", 1, float(at), float(min(at, since))) for at, since in reported]

    def join_all(given_losses: list[Loss]) -> Loss:
        known = given_losses[0]
        for loss in given_losses[1:]:
            known = join_losses(known, loss)
        return known

    shuffled = losses * 2
    rng.shuffle(shuffled)
    assert join_all(losses) == join_all(shuffled)
    assert join_all(losses).since_ms >= min(loss.since_ms for loss in losses)


def test_a_clock_that_is_ahead_ends_no_low_watermark_early() -> None:
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


@pytest.mark.parametrize(("server_offset_ms", "director_offset_ms"), [
    (-HOUR_MS, 0.0), (HOUR_MS, 0.0), (0.0, -HOUR_MS), (0.0, HOUR_MS), (-4_000.0, 4_000.0),
])  # fmt: skip
def test_a_director_applies_live_and_missed_purges_from_the_true_time_on_also_after_a_restart(
    tmp_path: Path, server_offset_ms: float, director_offset_ms: float
) -> None:
    """One purge is received in a backlog and one live. Copies that are a second older than either must be rejected."""

    async def scenario() -> None:
        disk, now_ms = SimDisk(), lambda: unix_ms() + director_offset_ms
        async with running_server(tmp_path, clock=lambda: unix_ms() + server_offset_ms) as purge_server:
            await send(purge_server.port, "group:4")
            missed_purge_ms = unix_ms()
            director = PurgeSubscription(options(tmp_path, purge_server.port), Index(), now_ms, disk)
            director.start()
            await director.ready()
            assert director.cut_off.link is not Link.CUT_OFF
            await send(purge_server.port, "group:3")
            live_purge_ms = unix_ms()
            await wait_until(lambda: len(director.active) == 2)
            await director.close()
            restored = PurgeSubscription(options(tmp_path, purge_server.port), Index(), now_ms, disk)
            for subscription in (director, restored):
                for group, purged_ms in ((4, missed_purge_ms), (3, live_purge_ms)):
                    at_ms = now_ms()
                    max_age_ms = max(
                        at_ms - subscription.active.index.newest_purge_by_age_ms("film", group, 1, 0, at_ms),
                        1.0,
                    )
                    assert max_age_ms < unix_ms() - purged_ms + 1_000.0
            await restored.close()

    asyncio.run(scenario())


def test_a_loss_of_a_server_whose_clock_is_behind_invalidates_all_copies_from_before_it(
    tmp_path: Path,
) -> None:
    """The director corrects the first loss by the server's clock. It dates the second one by its own clock, because it
    had received everything else before."""

    async def scenario() -> None:
        async with running_server(
            tmp_path, clock=lambda: unix_ms() - HOUR_MS, is_first_start=False
        ) as purge_server:
            started_ms = unix_ms()
            director = PurgeSubscription(options(tmp_path, purge_server.port), Index(), unix_ms)
            director.start()
            await director.ready()
            assert director.lines()[1][1] > 0
            assert director.max_copy_age_ms("film") < unix_ms() - started_ms + 1_000.0
            at_ms = unix_ms() - HOUR_MS + 5.0
            purge_server.active.low_watermark.merge([Loss("z", 9, at_ms, at_ms)], unix_ms())
            purge_server.stream.wake()
            previous_ms = director.low_watermark_ms
            await wait_until(lambda: director.low_watermark_ms != previous_ms)
            assert director.max_copy_age_ms("film") < 2_000.0
            status = json.loads(
                await fetch("127.0.0.1", purge_server.port, "GET", "/status", "a-token-of-the-operators")
            )
            assert status["horizon_ms"] == director.low_watermark_ms
            await director.close()

    asyncio.run(scenario())


def test_a_clock_within_the_network_delay_or_an_unknown_one_does_not_count_as_behind() -> None:
    assert clock_behind_ms(0.0, TRUE_MS) == 0.0
    assert clock_behind_ms(TRUE_MS - CLOCKS_AGREE_MS, TRUE_MS) == 0.0
    assert clock_behind_ms(TRUE_MS + HOUR_MS, TRUE_MS) == 0.0
    assert clock_behind_ms(TRUE_MS - HOUR_MS, TRUE_MS) == HOUR_MS


def test_purges_of_a_server_that_sends_no_clock_are_applied(tmp_path: Path) -> None:
    async def scenario() -> None:
        async with running_server(tmp_path) as purge_server:
            purge_server.stream._clock = lambda: 0.0
            recorder = RecordingSubscriber(purge_server.port)
            await wait_until(lambda: recorder.subscribers[0].caught_up.is_set())
            await send(purge_server.port, "group:3")
            await wait_until(lambda: len(recorder.active) == 1)
            assert recorder.subscribers[0].server_clock_ms == 0.0
            await recorder.close()

    asyncio.run(scenario())
