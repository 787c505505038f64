"""Order and state of purges: permutations, gaps, epochs, clocks, snapshots."""

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
from gladelane.purges.active_purges import AHEAD_MS, CLOCK_MARGIN_MS, SKEW_MS, ActivePurges
from gladelane.purges.purge import InvalidPurgeError, IssuerSequence, Purge
from gladelane.purges.scope import InvalidScopeError
from gladelane.purges.vectors import merge_vectors

NOW = 1_764_576_000_000.0
SCOPES = ["object:00000000000000aa", "objects:7f*", "group:3", "class:film & parts:0-3", "all", "objects:*a"]
REQUESTS = [("film", 3, 0xAA, 0), ("page", 4, 0x7F << 56, 9), ("film", 1, 5, 2), ("page", 3, 0xFA, 0)]


def issued(seed: int, count: int = 12) -> list[Purge]:
    rng = random.Random(seed)
    stamps = [IssuerSequence(name, (), 0.0, NOW) for name in "ab"]
    return [rng.choice(stamps).next(rng.choice(SCOPES), NOW + rng.randrange(-500, 500)) for _ in range(count)]


def answers(active: ActivePurges, now: float = NOW) -> list[float]:
    return [active.index.newest(*request, now) for request in REQUESTS]


@given(st.integers(0, 1000), st.randoms(use_true_random=False))
def test_bounds_and_positions_do_not_depend_on_the_order_or_on_repeats(seed: int, rng: random.Random) -> None:
    purges = issued(seed)
    straight, mixed = ActivePurges(), ActivePurges()
    for purge in purges:
        assert straight.apply(purge, NOW)
    shuffled = purges + rng.sample(purges, 4)
    rng.shuffle(shuffled)
    assert sum(mixed.apply(purge, NOW) for purge in shuffled) == len(purges)
    assert answers(straight) == answers(mixed)
    assert straight.positions.vector() == mixed.positions.vector() and not mixed.positions.gaps()
    restored = ActivePurges()
    restored.restore(mixed.snapshot(), NOW)
    assert (
        answers(restored) == answers(straight) and restored.positions.vector() == straight.positions.vector()
    )
    assert not any(restored.apply(purge, NOW) for purge in purges)


@given(st.integers(0, 1000), st.sets(st.integers(0, 11), max_size=6))
def test_gaps_are_named_exactly_survive_a_snapshot_and_close(seed: int, lacking: set[int]) -> None:
    purges = issued(seed)
    active = ActivePurges()
    for place, purge in enumerate(purges):
        if place not in lacking:
            active.apply(purge, NOW)
    full: dict[Any, int] = {}
    for purge in purges:
        full[purge.issuer, purge.epoch] = purge.seq
    active.positions.announce(full)
    restored = ActivePurges()
    restored.restore(active.snapshot(), NOW)
    restored.positions.announce(full)
    for one in (active, restored):
        named = {(g.issuer, g.epoch, seq) for g in one.positions.gaps() for seq in range(g.first, g.last + 1)}
        assert named == {(purges[n].issuer, purges[n].epoch, purges[n].seq) for n in lacking}
        assert one.positions.covers(full) is not bool(lacking)
        for place in lacking:
            assert one.apply(purges[place], NOW)
        assert not one.positions.gaps() and one.positions.covers(full)


def test_an_issuer_with_an_older_disk_repeats_no_number_and_its_lost_purges_stay_active() -> None:
    first = IssuerSequence("a", (), 0.0, NOW)
    subscriber = ActivePurges()
    for _ in range(5):
        subscriber.apply(first.next("objects:7f*", NOW), NOW)
    back = IssuerSequence("a", [("a", first.epoch)], NOW, NOW - 60_000.0)  # its clock stepped back too
    late = back.next("group:3", NOW - 60_000.0)
    assert back.epoch > first.epoch and late.at_ms >= NOW
    assert subscriber.apply(late, NOW) and subscriber.positions.vector() == {
        ("a", first.epoch): 5,
        ("a", back.epoch): 1,
    }
    assert subscriber.index.newest("page", 4, 0x7F << 56, 0, NOW) == NOW + SKEW_MS
    other = ActivePurges()
    other.apply(late, NOW)
    other.positions.announce(subscriber.positions.vector())
    assert other.positions.gaps() == [Gap("a", first.epoch, 1, 5)]


def test_a_clock_far_ahead_binds_no_further_than_it_may_and_what_is_past_its_retention_does_not() -> None:
    active = ActivePurges(retention_ms=10_000.0)
    active.apply(Purge("a", 1, 1, NOW + 9e9, "group:3"), NOW)
    assert active.index.newest("film", 3, 1, 0, NOW) == NOW + AHEAD_MS + SKEW_MS
    past = NOW - 10_000.0 - CLOCK_MARGIN_MS
    active.apply(Purge("a", 1, 2, past - 1.0, "group:4"), NOW)
    assert active.index.newest("film", 4, 1, 0, NOW) == 0.0 and active.positions.vector() == {("a", 1): 2}
    assert active.expire(NOW) == 1 and len(active) == 1
    assert active.max_copy_age_ms() == 10_000.0


def test_a_snapshot_leaves_out_what_a_wider_newer_purge_covers() -> None:
    active = ActivePurges()
    stamps = IssuerSequence("a", (), 0.0, NOW)
    for n in range(50):
        active.apply(stamps.next(f"object:7f{n:014x}", NOW + n), NOW)
    active.apply(stamps.next("group:9 & parts:3", NOW + 60), NOW)
    active.apply(stamps.next("objects:7f*", NOW + 100), NOW)
    restored = ActivePurges()
    restored.restore(active.snapshot(), NOW)
    assert len(restored) == 2 and answers(restored) == answers(active)
    assert restored.positions.vector() == active.positions.vector()


@pytest.mark.parametrize("purge", [
    Purge("", 1, 1, NOW, "all"), Purge("a b", 1, 1, NOW, "all"), Purge("a", 0, 1, NOW, "all"), Purge("a", 1, 0, NOW, "all"),
    Purge("a", 1, 1, float("nan"), "all"), Purge("a", 1, 1, -1.0, "all"), Purge("a", 2**60, 1, NOW, "all"),
    Purge("a", 1, 1, NOW, "rubbish"), Purge("a", 1, 1, NOW, "objects:*"), Purge("a", 1, 1, NOW, "all", "k" * 200),
])  # fmt: skip
def test_what_cannot_be_is_refused_and_changes_nothing(purge: Purge) -> None:
    active = ActivePurges()
    with pytest.raises((InvalidPurgeError, InvalidScopeError)):
        active.apply(purge, NOW)
    assert not len(active) and not active.positions.vector() and answers(active) == [0.0] * 4


def test_patterns_too_many_to_look_up_bind_wider_and_never_narrower() -> None:
    active = ActivePurges()
    stamps = IssuerSequence("a", (), 0.0, NOW)
    for n in range(80):
        places = f"{n:08b}".replace("0", "?").replace("1", "a")
        active.apply(stamps.next(f"objects:{places}{'?' * 7}1 & class:film", NOW + n), NOW)
    assert active.widened == 16 and len(active) == 80
    assert active.index.newest("film", 0, 0xAAAAAAAAAAAAAAA1, 0, NOW) == NOW + 79 + SKEW_MS
    assert active.index.newest("page", 0, 0xAAAAAAAAAAAAAAA1, 0, NOW) == 0.0


@given(st.text(max_size=40))
def test_a_vector_reads_back_or_is_an_error(text: str) -> None:
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
