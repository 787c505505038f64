"""Copies, the timeline, and the monitors: each rule's planted fault is found, and sound runs are left alone."""

from __future__ import annotations

from collections.abc import Callable

import pytest
from conftest import settings
from hypothesis import given
from hypothesis import strategies as st

from gladelane.lab.checks import Broken, Monitor
from gladelane.lab.model.copies import Copies
from gladelane.lab.model.timeline import Timeline
from gladelane.routing.events import Status

CLASSES = settings().classes
STEPS = st.lists(
    st.tuples(st.integers(0, 8), st.integers(0, 3), st.integers(1, 60), st.booleans()), max_size=60
)


@given(STEPS)
def test_copies_stay_within_room_and_push_out_no_higher_rank(steps: list[tuple[int, int, int, bool]]) -> None:
    copies = Copies[int](100.0)
    held: dict[int, tuple[int, int]] = {}  # rank, size; in order of use
    for date, (thing, rank, size, use) in enumerate(steps):
        if use and thing in held:
            copies.use(thing, rank)
            held[thing] = (rank or held[thing][0], held.pop(thing)[1])
        else:
            kept = copies.keep(thing, rank, float(size), float(date))
            held.pop(thing, None)
            above = sum(s for r, s in held.values() if r > rank)
            assert kept == (rank > 0 and above + size <= 100)
            if kept:
                for low in sorted(
                    held, key=lambda t: held[t][0]
                ):  # stable: in a rank least lately used first
                    if sum(s for _, s in held.values()) + size <= 100:
                        break
                    del held[low]
                held[thing] = (rank, size)
        assert {t for t in range(9) if copies.dated(t) is not None} == held.keys()
        assert copies.used == sum(s for _, s in held.values()) <= 100.0
    assert copies.purge(lambda thing: thing % 2 == 0, 1e9) == sum(t % 2 == 0 for t in held)
    copies.clear()
    assert len(copies) == 0 and copies.used == 0.0


@given(st.lists(st.tuples(st.integers(0, 9), st.booleans()), max_size=40))
def test_moments_come_in_order_and_ties_as_they_were_set(wanted: list[tuple[int, bool]]) -> None:
    line, told = Timeline(), list[tuple[int, int]]()
    for place, (due, cancelled) in enumerate(wanted):
        moment = line.at(float(due), lambda due=due, place=place: told.append((due, place)))
        if cancelled:
            moment.cancel()
    line.run(20.0)
    assert told == sorted((due, place) for place, (due, cancelled) in enumerate(wanted) if not cancelled)
    assert line.now == 20.0 and line.passed == len(told)
    line.at(1.0, lambda: told.append((-1, -1)))  # in the past: next
    line.run(20.0)
    assert told[-1] == (-1, -1)


def sound(m: Monitor) -> None:
    m.request("n0", 1, CLASSES["sale"], 3000.0)
    m.sent("n0", 1, 0, "root", "", 10.0)
    m.ended("n0", 1, 0, Status.TIMEOUT, 900.0)
    m.sent("n0", 1, 1, "root", "", 950.0)
    m.ended("n0", 1, 1, Status.OK, 960.0)
    m.final("n0", 1, 960.0)
    m.request("n0", 2, CLASSES["pair"], 3000.0)
    m.sent("n0", 2, 0, "root", "", 10.0)
    m.ended("n0", 2, 0, Status.FULL, 20.0)
    m.final("n0", 2, 21.0, refused=True)
    m.listed("n0", "c0", False, 100.0)
    m.request("n0", 3, CLASSES["film"], 3000.0)
    m.sent("n0", 3, 0, "c0", "", 1100.0)  # within the grace
    m.purged("n0", 7, 1000.0, 1050.0)
    m.ended("n0", 3, 0, Status.OK, 1200.0, 7, dated_ms=500.0)  # sent before the purge bound
    m.final("n0", 3, 1200.0)
    m.listed("n0", "c0", True, 2000.0)
    m.request("n0", 4, CLASSES["film"], 9000.0)
    m.sent("n0", 4, 0, "c0", "p0", 5000.0)
    m.withdrawn("n0", 4)


def drained(m: Monitor) -> None:
    m.listed("n0", "p0", False, 100.0)
    m.listed("n0", "p0", False, 1000.0)  # told again: the first time counts
    m.request("n0", 9, CLASSES["film"], 9000.0)
    m.sent("n0", 9, 0, "c0", "p0", 1101.0)
    m.final("n0", 9, 1200.0)


def purged(m: Monitor) -> None:
    m.purged("n0", 7, 1000.0, 1050.0)
    m.request("n0", 9, CLASSES["film"], 9000.0)
    m.sent("n0", 9, 0, "c0", "", 1551.0)
    m.ended("n0", 9, 0, Status.OK, 1600.0, 7, dated_ms=999.0)
    m.final("n0", 9, 1600.0)


def again(cls: str, at: float, status: Status | None) -> Callable[[Monitor], None]:
    def plant(m: Monitor) -> None:
        m.request("n0", 9, CLASSES[cls], 9000.0)
        m.sent("n0", 9, 0, "root", "", 10.0)
        if status is not None:
            m.ended("n0", 9, 0, status, 20.0)
        m.sent("n0", 9, 1, "root", "", at)
        m.final("n0", 9, at + 1.0)

    return plant


def finals(*at: float, refused: bool = False, send: bool = False) -> Callable[[Monitor], None]:
    def plant(m: Monitor) -> None:
        m.request("n0", 9, CLASSES["pair"], 3000.0)
        m.sent("n0", 9, 0, "root", "", 10.0)
        for moment in at:
            m.final("n0", 9, moment, refused)
        if send:
            m.sent("n0", 9, 1, "root", "", at[-1] + 1.0)

    return plant


PLANTED: list[tuple[str, Callable[[Monitor], None], str]] = [
    ("drain", drained, "p0, 1001 ms"), ("purge", purged, "older than a purge"),
    ("repeat", again("pair", 30.0, Status.RESET), "pair may have run"), ("repeat", again("pair", 30.0, None), "pair may have run"),
    ("repeat", again("sale", 6011.0, Status.TIMEOUT), "6001 ms after"), ("repeat", again("sale", 6011.0, None), "6001 ms after"),
    ("repeat", finals(50.0, refused=True), "refused and may have run"), ("answer", finals(50.0, 51.0), "second final"),
    ("answer", finals(3009.0), "late"), ("answer", finals(), "never"), ("answer", finals(50.0, send=True), "sent again after"),
]  # fmt: skip


@pytest.mark.parametrize("rule,plant,says", PLANTED)
def test_each_planted_fault_is_found_once_and_a_sound_run_is_left_alone(
    rule: str, plant: Callable[[Monitor], None], says: str
) -> None:
    for faulty in (False, True):
        found: list[Broken] = []
        monitor = Monitor(1000.0, 500.0, 8.0, found.append)
        sound(monitor)
        if faulty:
            plant(monitor)
        monitor.close(20_000.0)
        assert [(b.rule, b.director) for b in found] == ([(rule, "n0")] if faulty else [])
    assert says in found[0].what
