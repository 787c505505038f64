"""The register of what is out, the drain's state, and the metrics: tables and properties, no clock."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gladelane.admin.drain import CLOSE_AFTER_MS, FIRST_REQUEST_MS, REJECT_AFTER_MS, Drain
from gladelane.admin.maintenance import MaintenanceRegister
from gladelane.admin.metrics import Metrics
from gladelane.routing.events import Member, State

STEPS = st.lists(
    st.tuples(st.sampled_from(["out", "back", "list"]), st.sampled_from("ab"), st.sampled_from(list(State)))
)


@given(STEPS)
def test_what_is_out_reads_as_draining_whatever_the_list_says(steps: list[tuple[str, str, State]]) -> None:
    register, out, back = MaintenanceRegister(), set[str](), dict[str, int]()
    for now, (word, store, state) in enumerate(steps, 1):
        if word == "out":
            assert register.take_out(store, now) == (store not in out)
            out.add(store)
        elif word == "back":
            if register.put_back(store, now):
                back[store] = now
            out.discard(store)
        laid = register.overlay(Member(store, "edge", "box", state=state, came_up_ms=3.0))
        if state is State.GONE:
            assert laid.state is State.GONE
        elif store in out:
            assert laid.state is State.DRAINING
        else:
            assert laid.state is state and laid.came_up_ms == max(3.0, back.get(store, 0))


def test_two_calls_out_need_one_back_and_one_back_is_not_cold_without_having_been_out() -> None:
    register = MaintenanceRegister()
    assert not register.put_back("a", 1.0) and register.overlay(Member("a", "edge", "box")).came_up_ms == 0.0
    assert register.take_out("a", 2.0) and not register.take_out("a", 3.0) and register.out == {"a": 2.0}
    assert register.put_back("a", 4.0) and not register.out


def test_a_drain_is_told_closed_and_undone() -> None:
    drain = Drain()
    assert (
        drain.ready
        and not drain.ok()
        and not drain.should_notify(0.0, 9e9)
        and not drain.should_close(0.0, 9e9)
    )
    assert drain.fail(1000.0) and not drain.fail(2000.0) and not drain.ready and drain.failed_ms == 1000.0
    assert not drain.should_notify(1000.0, 999.0 + FIRST_REQUEST_MS) and drain.should_notify(
        1000.0, 1000.0 + FIRST_REQUEST_MS
    )
    assert not drain.should_close(1000.0, 999.0 + CLOSE_AFTER_MS) and drain.should_close(
        1000.0, 1000.0 + CLOSE_AFTER_MS
    )
    assert not drain.rejects(0.0, 9e9) and not drain.rejects(1000.0, 999.0 + REJECT_AFTER_MS)
    assert drain.rejects(1000.0, 1000.0 + REJECT_AFTER_MS) and REJECT_AFTER_MS < 2000.0
    assert drain.ok() and drain.ready and drain.should_close(1000.0, 5000.0)  # what it told holds
    drain.shut_down()
    assert not drain.ready and not drain.rejects(1000.0, 9000.0)
    drain.fail(1.0)
    drain.ok()
    assert not drain.ready  # an operator's call does not bring back a process that leaves


def test_figures_name_all_classes_and_count_what_has_none() -> None:
    metrics = Metrics()
    metrics.know(["b", "a"])
    metrics.answered("a", 0)
    metrics.answered("a", 2)
    metrics.answered(None, 2)
    metrics.know(["c"])
    lines = metrics.lines(7, 2).splitlines()
    assert lines[:4] == [
        "director.calls.a.success=1",
        "director.calls.a.busy=0",
        "director.calls.a.failure=1",
        "director.calls.b.success=0",
    ]
    assert {
        "director.hosts_listed=7",
        "director.hosts_down=2",
        "director.unusable=1",
        "director.calls.c.busy=0",
    } <= set(lines)
    assert all(line.partition("=")[2].isdecimal() for line in lines)
