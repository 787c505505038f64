"""Scopes, bounds and the index: texts in tables, and properties compared with a simple scan."""

from __future__ import annotations

import itertools
import random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.purges.bounds import Bound, Limit, join, newest_at_ms, unexpired_limits
from gladelane.purges.index import MAX_MASKS, Index, UnsupportedPatternError, dyadic_ranges
from gladelane.purges.scope import MAX_BOXES, Box, InvalidScopeError, intersect, parse
from gladelane.structures.step_map import StepMap

CATALOG = {
    "signs": "object:00000000000000aa | objects:7f3a* & class:page", "all-signs": "tag:signs | group:3",
    "loop": "tag:loop", "wide": "objects:* & parts:0-2147483648",
}  # fmt: skip


@pytest.mark.parametrize("text,canonical", [
    ("object:00000000000000AA", "object:00000000000000aa"), ("objects:7F3A*", "objects:7f3a*"),
    ("objects:7f..80", "objects:7f00000000000000..80ffffffffffffff"), ("objects:7f..7f", "objects:7f*"),
    ("objects:1..1", "objects:1*"), ("objects:00000000000000a?", "objects:00000000000000a*"),
    ("objects:*3f", "objects:??????????????3f"), ("objects:7*1", "objects:7??????????????1"),
    ("parts:0-7 & class:film & group:9", "class:film & group:9 & parts:0-7"), ("parts:4-4 & group:1", "group:1 & parts:4"),
    ("group:2 | group:1|group:2", "group:1 | group:2"), ("all", "all"), ("all & group:1", "group:1"),
    ("objects:7f* & objects:7f3*", "objects:7f3*"), ("objects:*f & objects:7f3a*", "objects:7f3a* & objects:???????????????f"),
    ("objects:*f & object:000000000000000f", "object:000000000000000f"),
    ("tag:signs", "object:00000000000000aa | class:page & objects:7f3a*"),
    ("tag:all-signs & parts:1", "object:00000000000000aa & parts:1 | group:3 & parts:1 | class:page & objects:7f3a* & parts:1"),
])  # fmt: skip
def test_a_scope_has_one_canonical_form(text: str, canonical: str) -> None:
    scope = parse(text, CATALOG)
    assert sorted(scope.text().split(" | ")) == sorted(canonical.split(" | "))
    assert parse(scope.text()) == scope


@pytest.mark.parametrize("text,message", [
    ("", "no term"), ("object:aa", "expected 16 hex digits"), ("objects:xyz*", "no pattern"), ("objects:a*b*c", "no pattern"),
    ("objects:7f", "no pattern"), ("objects:7f..6f", "range is empty"), ("group:256", "from 0 to 255"), ("group:-1", "no number"),
    ("group:\u0663", "no number"), ("parts:9-3", "range is empty"), ("parts:99999999999", "no number"), ("class:a b", "no class"),
    ("tag:none", "no such tag"), ("tag:loop", "within itself"), ("colour:red", "unknown kind"), ("group:1 & group:2", "nothing can be"),
    ("object:00000000000000aa & objects:*f", "nothing can be"), ("objects:*", "covers everything"), ("parts:0-2147483648", "covers everything"),
    ("tag:wide", "covers everything"), ("group:1 | objects:*", "covers everything"), ("group:1 &", "no term"), ("x" * 300_000, "characters"),
    (" | ".join(f"object:{n:016x}" for n in range(MAX_BOXES + 1)), "parts once its tags are put in"),
])  # fmt: skip
def test_an_invalid_scope_is_reported_in_one_line(text: str, message: str) -> None:
    with pytest.raises(InvalidScopeError, match=message) as error_info:
        parse(text, CATALOG)
    assert "\n" not in str(error_info.value) and len(str(error_info.value)) < 400


@given(st.text(alphabet="objectsgrupla:tn&|*?.-0123456789abcdf ", max_size=60))
def test_any_text_is_a_scope_or_a_clear_error(text: str) -> None:
    try:
        scope = parse(text, CATALOG)
    except InvalidScopeError as error:
        assert "expected" in str(error)
    else:
        assert parse(scope.text()) == scope


OBJECTS = [0, 1, 0xAA, 0x7F3A000000000000, 0x7F3AFFFFFFFFFFFF, 0x7F3B000000000000, 2**64 - 1]
TERMS = ["object:00000000000000aa", "objects:7f3a*", "objects:7f3a..7f3b", "objects:*f", "objects:7*0", "group:1", "group:2",
         "class:film", "class:page", "parts:0-2", "parts:3", "parts:2-9", "all"]  # fmt: skip


@st.composite
def boxes(draw: Any) -> Box:
    made: Box | None = Box()
    for term in draw(st.lists(st.sampled_from(TERMS), min_size=1, max_size=4, unique=True)):
        made = intersect(made, parse(term).boxes[0]) if made else None
    return made or Box(group=1)


REQUESTS = list(itertools.product(("film", "page"), (1, 2), OBJECTS, (0, 2, 3, 9)))


@given(boxes(), boxes())
def test_an_intersection_covers_what_both_boxes_cover(one: Box, other: Box) -> None:
    intersection = intersect(one, other)
    for request in REQUESTS:
        assert bool(intersection and intersection.covers(*request)) == (
            one.covers(*request) and other.covers(*request)
        )


BOUNDS = st.lists(st.tuples(st.sampled_from([1.0, 2.0, 3.0]), st.sampled_from([5.0, 6.0, 7.0])), max_size=4)


def made(pairs: list[tuple[float, float]]) -> Bound:
    bound: Bound = ()
    for pair in pairs:
        bound = join(bound, (Limit(*pair),))
    return bound


@given(BOUNDS, BOUNDS, BOUNDS)
def test_joining_bounds_is_a_semilattice_and_equals_a_scan(a: Any, b: Any, c: Any) -> None:
    x, y, z = made(a), made(b), made(c)
    assert join(x, y) == join(y, x) and join(x, join(y, z)) == join(join(x, y), z) and join(x, x) == x
    for now in (4.0, 5.0, 6.0, 7.0):
        scan = max((at for at, until in (*a, *b) if until > now), default=0.0)
        assert newest_at_ms(join(x, y), now) == scan == newest_at_ms(unexpired_limits(join(x, y), now), now)


@given(st.lists(st.tuples(st.integers(0, 40), st.integers(0, 12), st.integers(0, 9)), max_size=30))
def test_a_step_map_equals_a_list_and_has_no_redundant_steps(joins: list[tuple[int, int, int]]) -> None:
    steps, expected = StepMap[int](0, max), [0] * 60
    for low, length, value in joins:
        steps.join(low, low + length, value)
        for n in range(low, low + length + 1):
            expected[n] = max(expected[n], value)
    assert [steps.at(n) for n in range(60)] == expected
    assert len(steps) == 1 + sum(a != b for a, b in itertools.pairwise(expected))
    steps.update_values(lambda value: value // 5)
    assert [steps.at(n) for n in range(60)] == [v // 5 for v in expected]


@given(st.integers(0, 2**31), st.integers(0, 2**31))
def test_dyadic_ranges_tile_a_range_and_are_few(a: int, b: int) -> None:
    low, high = min(a, b), max(a, b)
    pieces = list(dyadic_ranges(low, high))
    at = low
    for level, number in pieces:
        assert number << level == at
        at += 1 << level
    assert at == high + 1 and len(pieces) <= 62


PURGES = st.lists(
    st.tuples(boxes(), st.sampled_from([10.0, 20.0, 30.0]), st.sampled_from([50.0, 60.0, float("inf")])),
    max_size=12,
)


@given(PURGES, st.randoms(use_true_random=False))
def test_the_index_equals_a_scan_in_any_order_and_removes_expired_entries(
    purges: Any, rng: random.Random
) -> None:
    index, other = Index(), Index()
    shuffled = purges[:]
    rng.shuffle(shuffled)
    for target, added in ((index, purges), (other, [*shuffled, *purges[:2]])):  # repeats have no effect
        for box, at, until in added:
            target.add(type(parse("all"))((box,)), at, until)
    for now in (40.0, 50.0, 60.0):
        for request in REQUESTS:
            scan = max((at for box, at, until in purges if until > now and box.covers(*request)), default=0.0)
            cls, group, object_, part = request
            assert (
                index.newest_purge_ms(cls, group, object_, part, now)
                == other.newest_purge_ms(cls, group, object_, part, now)
                == scan
            )
        while index.expire(now):
            pass
        for request in REQUESTS:
            cls, group, object_, part = request
            assert index.newest_purge_ms(cls, group, object_, part, now) == other.newest_purge_ms(
                cls, group, object_, part, now
            )
    if all(until < 60.1 for _, _, until in purges):
        assert not len(index) and not index._shapes and not index._expiries


def test_patterns_that_would_slow_down_lookups_are_rejected_and_change_nothing() -> None:
    index = Index()
    for n in range(MAX_MASKS):
        digits = f"{n:08b}".replace("0", "?").replace("1", "a")
        index.add(parse(f"objects:{digits}{'?' * 7}1"), 1.0)
    with pytest.raises(UnsupportedPatternError, match="expected a prefix or a range"):
        index.add(parse("objects:*2? | group:7"), 2.0)
    assert index.newest_purge_ms("film", 7, 5, 0, 0.0) == 0.0
    index.add(parse(f"objects:{'?' * 8}{'?' * 7}2"), 2.0)  # a form that is already in the index
