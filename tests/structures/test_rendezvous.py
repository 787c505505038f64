"""Rendezvous hashing: the table ranks members as a direct computation does, without scoring all of them."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.structures import rendezvous
from gladelane.structures.rendezvous import RECENT_KEYS, TOP_COUNT, RendezvousTable, hash_key, score

NUMBERS = st.integers(0, 2**64 - 1)


def rank_directly(salts: list[int], weights: list[float], key: int) -> list[int]:
    return sorted(range(len(salts)), key=lambda index: -score(hash_key(salts[index], key), weights[index]))


@given(
    members=st.lists(st.tuples(NUMBERS, st.sampled_from([0.01, 1.0, 5.0, 5.5, 1000.0]) | st.floats(0.01, 1e6)), max_size=60),
    keys=st.lists(st.integers(0, 2**80), min_size=1, max_size=5),
)  # fmt: skip
def test_ranks_equal_those_of_the_direct_computation(
    members: list[tuple[int, float]], keys: list[int]
) -> None:
    salts, weights = [salt for salt, _ in members], [weight for _, weight in members]
    table = RendezvousTable(range(len(members)), salts, weights)
    for key in (*keys, *keys):  # the second time from the cache
        assert list(table.ranked(key)) == rank_directly(salts, weights, key)


@pytest.mark.parametrize("count", [1, TOP_COUNT, TOP_COUNT + 1, 400, 3200])
@pytest.mark.parametrize("equal_weights", [True, False])
def test_first_rank_is_found_without_scoring_all_members(
    count: int, equal_weights: bool, monkeypatch: pytest.MonkeyPatch
) -> None:
    rng = random.Random(count)
    salts = [rng.getrandbits(64) for _ in range(count)]
    weights = [5.0 if equal_weights else rng.uniform(1.0, 9.0) for _ in range(count)]
    table = RendezvousTable(range(count), salts, weights)
    scored = 0

    def counting_score(hashed: int, weight: float) -> float:
        nonlocal scored
        scored += 1
        return score(hashed, weight)

    monkeypatch.setattr(rendezvous, "score", counting_score)
    keys = [rng.getrandbits(40) for _ in range(40)]
    firsts = [next(table.ranked(key)) for key in keys]
    assert scored <= min(count, 2 * TOP_COUNT) * len(keys)
    monkeypatch.undo()
    assert firsts == [rank_directly(salts, weights, key)[0] for key in keys]


def test_members_with_equal_scores_keep_the_order_of_the_table() -> None:
    assert list(RendezvousTable("abcdefghijkl", [7] * 12, [2.0] * 12).ranked(5)) == list("abcdefghijkl")


def test_rank_cache_is_bounded() -> None:
    table = RendezvousTable(range(10), list(range(10)), [1.0] * 10)
    for key in range(RECENT_KEYS + 100):
        next(table.ranked(key))
    assert len(table._recent) == RECENT_KEYS


def test_members_rank_first_in_proportion_to_their_weights() -> None:
    rng = random.Random(1)
    weights = [1.0, 2.0, 5.0] * 10
    table = RendezvousTable(range(30), [rng.getrandbits(64) for _ in weights], weights)
    first_counts = [0] * 30
    for key in range(16_000):
        first_counts[next(table.ranked(key))] += 1
    for index, weight in enumerate(weights):
        assert first_counts[index] == pytest.approx(16_000 * weight / sum(weights), rel=0.25)
