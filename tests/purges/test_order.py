"""The state of active purges: any order of arrival, gaps, epochs, clocks and snapshots."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.control_plane.positions import (
    Gap,
    InvalidPositionError,
    Positions,
    format_vector,
    parse_vector,
)
from gladelane.purges.active_purges import CLOCK_MARGIN_MS, MAX_AHEAD_MS, SKEW_MS, ActivePurges
from gladelane.purges.purge import InvalidPurgeError, IssuerSequence, Purge
from gladelane.purges.scope import InvalidScopeError
from gladelane.purges.vectors import merge_vectors

NOW = 1_764_576_000_000.0
SCOPES = ["object:00000000000000aa", "objects:7f*", "group:3", "class:film & parts:0-3", "all", "objects:*a"]
REQUESTS = [("film", 3, 0xAA, 0), ("page", 4, 0x7F << 56, 9), ("film", 1, 5, 2), ("page", 3, 0xFA, 0)]


def issue_purges(seed: int, count: int = 12) -> list[Purge]:
    rng = random.Random(seed)
    sequences = [IssuerSequence(name, (), 0.0, NOW) for name in "ab"]
    return [
        rng.choice(sequences).next(rng.choice(SCOPES), NOW + rng.randrange(-500, 500)) for _ in range(count)
    ]


def newest_times(active: ActivePurges, now: float = NOW) -> list[float]:
    return [active.index.newest_purge_ms(*request, now) for request in REQUESTS]


@given(st.integers(0, 1000), st.randoms(use_true_random=False))
def test_bounds_and_positions_do_not_depend_on_the_order_or_on_repeats(seed: int, rng: random.Random) -> None:
    purges = issue_purges(seed)
    in_order, out_of_order = ActivePurges(), ActivePurges()
    for purge in purges:
        assert in_order.apply(purge, NOW)
    shuffled = purges + rng.sample(purges, 4)
    rng.shuffle(shuffled)
    assert sum(out_of_order.apply(purge, NOW) for purge in shuffled) == len(purges)
    assert newest_times(in_order) == newest_times(out_of_order)
    assert (
        in_order.positions.vector() == out_of_order.positions.vector() and not out_of_order.positions.gaps()
    )
    restored = ActivePurges()
    restored.restore(out_of_order.snapshot(), NOW)
    assert (
        newest_times(restored) == newest_times(in_order)
        and restored.positions.vector() == in_order.positions.vector()
    )
    assert not any(restored.apply(purge, NOW) for purge in purges)


@given(st.integers(0, 1000), st.sets(st.integers(0, 11), max_size=6))
def test_gaps_are_exact_survive_a_snapshot_and_close(seed: int, missing: set[int]) -> None:
    purges = issue_purges(seed)
    active = ActivePurges()
    for index, purge in enumerate(purges):
        if index not in missing:
            active.apply(purge, NOW)
    complete: dict[Any, int] = {}
    for purge in purges:
        complete[purge.issuer, purge.epoch] = purge.seq
    active.positions.announce(complete)
    restored = ActivePurges()
    restored.restore(active.snapshot(), NOW)
    restored.positions.announce(complete)
    for state in (active, restored):
        found = {
            (g.issuer, g.epoch, seq) for g in state.positions.gaps() for seq in range(g.first, g.last + 1)
        }
        assert found == {(purges[n].issuer, purges[n].epoch, purges[n].seq) for n in missing}
        assert state.positions.covers(complete) is not bool(missing)
        for index in missing:
            assert state.apply(purges[index], NOW)
        assert not state.positions.gaps() and state.positions.covers(complete)


def test_an_issuer_with_an_older_disk_reuses_no_number_and_its_lost_purges_stay_active() -> None:
    first = IssuerSequence("a", (), 0.0, NOW)
    subscriber = ActivePurges()
    for _ in range(5):
        subscriber.apply(first.next("objects:7f*", NOW), NOW)
    restarted = IssuerSequence("a", [("a", first.epoch)], NOW, NOW - 60_000.0)  # its clock was also set back
    late_purge = restarted.next("group:3", NOW - 60_000.0)
    assert restarted.epoch > first.epoch and late_purge.at_ms >= NOW
    assert subscriber.apply(late_purge, NOW) and subscriber.positions.vector() == {
        ("a", first.epoch): 5,
        ("a", restarted.epoch): 1,
    }
    assert subscriber.index.newest_purge_ms("page", 4, 0x7F << 56, 0, NOW) == NOW + SKEW_MS
    late_subscriber = ActivePurges()
    late_subscriber.apply(late_purge, NOW)
    late_subscriber.positions.announce(subscriber.positions.vector())
    assert late_subscriber.positions.gaps() == [Gap("a", first.epoch, 1, 5)]


def test_times_far_ahead_are_limited_and_expired_purges_do_not_apply() -> None:
    active = ActivePurges(retention_ms=10_000.0)
    active.apply(Purge("a", 1, 1, NOW + 9e9, "group:3"), NOW)
    assert active.index.newest_purge_ms("film", 3, 1, 0, NOW) == NOW + MAX_AHEAD_MS + SKEW_MS
    expired_ms = NOW - 10_000.0 - CLOCK_MARGIN_MS
    active.apply(Purge("a", 1, 2, expired_ms - 1.0, "group:4"), NOW)
    assert active.index.newest_purge_ms("film", 4, 1, 0, NOW) == 0.0 and active.positions.vector() == {
        ("a", 1): 2
    }
    assert active.expire(NOW) == 1 and len(active) == 1
    assert active.max_copy_age_ms() == 10_000.0


def test_a_snapshot_omits_purges_that_a_wider_and_newer_one_covers() -> None:
    active = ActivePurges()
    sequence = IssuerSequence("a", (), 0.0, NOW)
    for n in range(50):
        active.apply(sequence.next(f"object:7f{n:014x}", NOW + n), NOW)
    active.apply(sequence.next("group:9 & parts:3", NOW + 60), NOW)
    active.apply(sequence.next("objects:7f*", NOW + 100), NOW)
    restored = ActivePurges()
    restored.restore(active.snapshot(), NOW)
    assert len(restored) == 2 and newest_times(restored) == newest_times(active)
    assert restored.positions.vector() == active.positions.vector()


@pytest.mark.parametrize("purge", [
    Purge("", 1, 1, NOW, "all"), Purge("a b", 1, 1, NOW, "all"), Purge("a", 0, 1, NOW, "all"), Purge("a", 1, 0, NOW, "all"),
    Purge("a", 1, 1, float("nan"), "all"), Purge("a", 1, 1, -1.0, "all"), Purge("a", 2**60, 1, NOW, "all"),
    Purge("a", 1, 1, NOW, "rubbish"), Purge("a", 1, 1, NOW, "objects:*"), Purge("a", 1, 1, NOW, "all", "k" * 200),
])  # fmt: skip
def test_an_invalid_purge_is_rejected_and_changes_nothing(purge: Purge) -> None:
    active = ActivePurges()
    with pytest.raises((InvalidPurgeError, InvalidScopeError)):
        active.apply(purge, NOW)
    assert not len(active) and not active.positions.vector() and newest_times(active) == [0.0] * 4


def test_purges_with_too_many_patterns_apply_to_a_wider_scope() -> None:
    active = ActivePurges()
    sequence = IssuerSequence("a", (), 0.0, NOW)
    for n in range(80):
        digits = f"{n:08b}".replace("0", "?").replace("1", "a")
        active.apply(sequence.next(f"objects:{digits}{'?' * 7}1 & class:film", NOW + n), NOW)
    assert active.widened_count == 16 and len(active) == 80
    assert active.index.newest_purge_ms("film", 0, 0xAAAAAAAAAAAAAAA1, 0, NOW) == NOW + 79 + SKEW_MS
    assert active.index.newest_purge_ms("page", 0, 0xAAAAAAAAAAAAAAA1, 0, NOW) == 0.0


@given(st.text(max_size=40))
def test_any_text_is_a_vector_that_round_trips_or_an_error(text: str) -> None:
    vector = {("a", 5): 3, ("b.c", 7): 1}
    assert parse_vector(format_vector(vector)) == vector and parse_vector("") == {}
    try:
        assert parse_vector(format_vector(parse_vector(text))) == parse_vector(text)
    except InvalidPositionError as error:
        assert "expected issuer:epoch=number" in str(error)


def test_positions_are_bounded_and_vectors_merge() -> None:
    positions = Positions()
    assert merge_vectors([{("a", 1): 3}, {("a", 1): 2, ("b", 1): 1}]) == {("a", 1): 3, ("b", 1): 1}
    for epoch in range(1, 4097):
        positions.add("a", epoch, 1)
    with pytest.raises(InvalidPositionError, match="epochs"):
        positions.add("a", 5000, 1)
