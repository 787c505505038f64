"""The shared link against a plain one that is stepped through."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.lab.model.link import Link

STARTS = st.lists(st.tuples(st.floats(0.0, 400.0), st.floats(1.0, 500.0)), min_size=1, max_size=12)


@given(STARTS)
def test_ends_are_those_of_a_link_stepped_through(starts: list[tuple[float, float]]) -> None:
    link, told = Link(capacity=10.0, flow=4.0), []
    for key, (at, size) in enumerate(sorted(starts)):
        told += link.ended(at)
        link.start(at, key, size)
    while (at_ := link.next_end()) is not None:
        told += link.ended(at_)
    left: dict[int, float] = {}
    plain: dict[int, float] = {}
    waiting = list(enumerate(sorted(starts)))
    now = 0.0
    while waiting or left:
        rate = min(4.0, 10.0 / max(len(left), 1))
        step = min([size / rate for size in left.values()] + ([waiting[0][1][0] - now] if waiting else []))
        now += step
        left = {key: size - step * rate for key, size in left.items()}
        for key in [k for k, size in left.items() if size <= 1e-9]:
            plain[key] = now
            del left[key]
        while waiting and waiting[0][1][0] <= now + 1e-12:
            key, (_, size) = waiting.pop(0)
            left[key] = size
    assert {key: pytest.approx(at, abs=1e-3) for at, key in told} == plain
    assert [at for at, _ in told] == sorted(at for at, _ in told) and not len(link)


def test_one_that_is_stopped_leaves_its_part_to_the_others_and_is_not_told() -> None:
    link = Link(capacity=4.0, flow=4.0)
    link.start(0.0, 1, 100.0)
    link.start(0.0, 2, 100.0)
    assert link.stop(10.0, 2) == pytest.approx(80.0) and link.stop(10.0, 2) == 0.0
    assert link.ended(100.0) == [(pytest.approx(30.0), 1)]
    with pytest.raises(ValueError):
        link.start(50.0, 3, 1.0)
    with pytest.raises(ValueError):
        link.start(100.0, 3, 0.0)
    link.start(100.0, 3, 4.0)
    with pytest.raises(ValueError):
        link.start(200.0, 4, 1.0)  # the other ended meanwhile, and nobody asked
