"""Order and state of purges: permutations, gaps, epochs, clocks, snapshots."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.control.positions import BadPosition, Gap, Positions, read_vector, vector_text
from gladelane.purges.active_purges import AHEAD_MS, SKEW_MS, ActivePurges, merged
from gladelane.purges.order import BadPurge, Purge, Stamps
from gladelane.purges.scope import BadScope

NOW = 1_764_576_000_000.0
SCOPES = ["object:00000000000000aa", "objects:7f*", "group:3", "class:film & parts:0-3", "all", "objects:*a"]
REQUESTS = [("film", 3, 0xAA, 0), ("page", 4, 0x7F << 56, 9), ("film", 1, 5, 2), ("page", 3, 0xFA, 0)]


def issued(seed: int, count: int = 12) -> list[Purge]:
    rng = random.Random(seed)
    stamps = [Stamps(name, (), 0.0, NOW) for name in "ab"]
    return [rng.choice(stamps).next(rng.choice(SCOPES), NOW + rng.randrange(-500, 500)) for _ in range(count)]


def answers(standing: ActivePurges, now: float = NOW) -> list[float]:
    return [standing.index.newest(*request, now) for request in REQUESTS]


@given(st.integers(0, 1000), st.randoms(use_true_random=False))
def test_bounds_and_positions_do_not_depend_on_the_order_or_on_repeats(seed: int, rng: random.Random) -> None:
    purges = issued(seed)
    straight, mixed = ActivePurges(), ActivePurges()
    for purge in purges:
        assert straight.take(purge, NOW)
    shuffled = purges + rng.sample(purges, 4)
    rng.shuffle(shuffled)
    assert sum(mixed.take(purge, NOW) for purge in shuffled) == len(purges)
    assert answers(straight) == answers(mixed)
    assert straight.positions.vector() == mixed.positions.vector() and not mixed.positions.gaps()
    again = ActivePurges()
    again.restore(mixed.snapshot(), NOW)
    assert answers(again) == answers(straight) and again.positions.vector() == straight.positions.vector()
    assert not any(again.take(purge, NOW) for purge in purges)


@given(st.integers(0, 1000), st.sets(st.integers(0, 11), max_size=6))
def test_gaps_are_named_exactly_survive_a_snapshot_and_close(seed: int, lacking: set[int]) -> None:
    purges = issued(seed)
    standing = ActivePurges()
    for place, purge in enumerate(purges):
        if place not in lacking:
            standing.take(purge, NOW)
    full: dict[Any, int] = {}
    for purge in purges:
        full[purge.issuer, purge.epoch] = purge.seq
    standing.positions.said(full)
    again = ActivePurges()
    again.restore(standing.snapshot(), NOW)
    again.positions.said(full)
    for one in (standing, again):
        named = {(g.issuer, g.epoch, seq) for g in one.positions.gaps() for seq in range(g.first, g.last + 1)}
        assert named == {(purges[n].issuer, purges[n].epoch, purges[n].seq) for n in lacking}
        assert one.positions.reaches(full) is not bool(lacking)
        for place in lacking:
            assert one.take(purges[place], NOW)
        assert not one.positions.gaps() and one.positions.reaches(full)


def test_an_issuer_back_from_an_older_disk_gives_no_number_twice_and_what_it_lost_stands_on() -> None:
    first = Stamps("a", (), 0.0, NOW)
    follower = ActivePurges()
    for _ in range(5):
        follower.take(first.next("objects:7f*", NOW), NOW)
    back = Stamps("a", [("a", first.epoch)], NOW, NOW - 60_000.0)  # its clock stepped back too
    late = back.next("group:3", NOW - 60_000.0)
    assert back.epoch > first.epoch and late.at_ms >= NOW
    assert follower.take(late, NOW) and follower.positions.vector() == {
        ("a", first.epoch): 5,
        ("a", back.epoch): 1,
    }
    assert follower.index.newest("page", 4, 0x7F << 56, 0, NOW) == NOW + SKEW_MS
    other = ActivePurges()
    other.take(late, NOW)
    other.positions.said(follower.positions.vector())
    assert other.positions.gaps() == [Gap("a", first.epoch, 1, 5)]


def test_a_clock_far_ahead_binds_no_further_than_it_may_and_what_is_past_its_retention_does_not() -> None:
    standing = ActivePurges(retention_ms=10_000.0)
    standing.take(Purge("a", 1, 1, NOW + 9e9, "group:3"), NOW)
    assert standing.index.newest("film", 3, 1, 0, NOW) == NOW + AHEAD_MS + SKEW_MS
    standing.take(Purge("a", 1, 2, NOW - 20_000.0, "group:4"), NOW)
    assert standing.index.newest("film", 4, 1, 0, NOW) == 0.0 and standing.positions.vector() == {("a", 1): 2}
    assert standing.forget(NOW) == 1 and len(standing) == 1
    assert standing.oldest_ms() == 10_000.0


def test_a_snapshot_leaves_out_what_a_wider_newer_purge_covers() -> None:
    standing = ActivePurges()
    stamps = Stamps("a", (), 0.0, NOW)
    for n in range(50):
        standing.take(stamps.next(f"object:7f{n:014x}", NOW + n), NOW)
    standing.take(stamps.next("group:9 & parts:3", NOW + 60), NOW)
    standing.take(stamps.next("objects:7f*", NOW + 100), NOW)
    again = ActivePurges()
    again.restore(standing.snapshot(), NOW)
    assert len(again) == 2 and answers(again) == answers(standing)
    assert again.positions.vector() == standing.positions.vector()


@pytest.mark.parametrize("purge", [
    Purge("", 1, 1, NOW, "all"), Purge("a b", 1, 1, NOW, "all"), Purge("a", 0, 1, NOW, "all"), Purge("a", 1, 0, NOW, "all"),
    Purge("a", 1, 1, float("nan"), "all"), Purge("a", 1, 1, -1.0, "all"), Purge("a", 2**60, 1, NOW, "all"),
    Purge("a", 1, 1, NOW, "rubbish"), Purge("a", 1, 1, NOW, "objects:*"), Purge("a", 1, 1, NOW, "all", "k" * 200),
])  # fmt: skip
def test_what_cannot_be_is_refused_and_changes_nothing(purge: Purge) -> None:
    standing = ActivePurges()
    with pytest.raises((BadPurge, BadScope)):
        standing.take(purge, NOW)
    assert not len(standing) and not standing.positions.vector() and answers(standing) == [0.0] * 4


def test_patterns_too_many_to_look_up_bind_wider_and_never_narrower() -> None:
    standing = ActivePurges()
    stamps = Stamps("a", (), 0.0, NOW)
    for n in range(80):
        places = f"{n:08b}".replace("0", "?").replace("1", "a")
        standing.take(stamps.next(f"objects:{places}{'?' * 7}1 & class:film", NOW + n), NOW)
    assert standing.widened == 16 and len(standing) == 80
    assert standing.index.newest("film", 0, 0xAAAAAAAAAAAAAAA1, 0, NOW) == NOW + 79 + SKEW_MS
    assert standing.index.newest("page", 0, 0xAAAAAAAAAAAAAAA1, 0, NOW) == 0.0


@given(st.text(max_size=40))
def test_a_vector_reads_back_or_is_an_error(text: str) -> None:
    vector = {("a", 5): 3, ("b.c", 7): 1}
    assert read_vector(vector_text(vector)) == vector and read_vector("") == {}
    try:
        assert read_vector(vector_text(read_vector(text))) == read_vector(text)
    except BadPosition as error:
        assert "expected issuer:epoch=number" in str(error)


def test_positions_are_bounded_and_vectors_merge() -> None:
    positions = Positions()
    assert merged([{("a", 1): 3}, {("a", 1): 2, ("b", 1): 1}]) == {("a", 1): 3, ("b", 1): 1}
    for epoch in range(1, 4097):
        positions.take("a", epoch, 1)
    with pytest.raises(BadPosition, match="epochs"):
        positions.take("a", 5000, 1)
