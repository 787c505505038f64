"""The maintenance register, the state of a drain, and the metrics, with times as arguments."""

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
def test_server_in_maintenance_counts_as_draining_whatever_the_list_says(
    steps: list[tuple[str, str, State]],
) -> None:
    register, out, back = MaintenanceRegister(), set[str](), dict[str, int]()
    for now, (step, store, state) in enumerate(steps, 1):
        if step == "out":
            assert register.take_out(store, now) == (store not in out)
            out.add(store)
        elif step == "back":
            if register.put_back(store, now):
                back[store] = now
            out.discard(store)
        overlaid = register.overlay(Member(store, "edge", "box", state=state, started_at_ms=3.0))
        if state is State.GONE:
            assert overlaid.state is State.GONE
        elif store in out:
            assert overlaid.state is State.DRAINING
        else:
            assert overlaid.state is state and overlaid.started_at_ms == max(3.0, back.get(store, 0))


def test_one_put_back_undoes_two_take_outs_and_does_nothing_without_one() -> None:
    register = MaintenanceRegister()
    assert (
        not register.put_back("a", 1.0) and register.overlay(Member("a", "edge", "box")).started_at_ms == 0.0
    )
    assert register.take_out("a", 2.0) and not register.take_out("a", 3.0) and register.out == {"a": 2.0}
    assert register.put_back("a", 4.0) and not register.out


def test_drain_notifies_closes_rejects_and_can_be_cancelled() -> None:
    drain = Drain()
    assert (
        drain.is_ready
        and not drain.cancel_request()
        and not drain.should_notify(0.0, 9e9)
        and not drain.should_close(0.0, 9e9)
    )
    assert (
        drain.request_drain(1000.0)
        and not drain.request_drain(2000.0)
        and not drain.is_ready
        and drain.requested_ms == 1000.0
    )
    assert not drain.should_notify(1000.0, 999.0 + FIRST_REQUEST_MS) and drain.should_notify(
        1000.0, 1000.0 + FIRST_REQUEST_MS
    )
    assert not drain.should_close(1000.0, 999.0 + CLOSE_AFTER_MS) and drain.should_close(
        1000.0, 1000.0 + CLOSE_AFTER_MS
    )
    assert not drain.rejects(0.0, 9e9) and not drain.rejects(1000.0, 999.0 + REJECT_AFTER_MS)
    assert drain.rejects(1000.0, 1000.0 + REJECT_AFTER_MS) and REJECT_AFTER_MS < 2000.0
    assert (
        drain.cancel_request() and drain.is_ready and drain.should_close(1000.0, 5000.0)
    )  # notified clients still leave
    drain.shut_down()
    assert not drain.is_ready and not drain.rejects(1000.0, 9000.0)
    drain.request_drain(1.0)
    drain.cancel_request()
    assert not drain.is_ready  # an operator cannot cancel a shutdown


def test_metrics_list_all_classes_and_count_requests_without_a_class() -> None:
    metrics = Metrics()
    metrics.add_classes(["b", "a"])
    metrics.answered("a", 0)
    metrics.answered("a", 2)
    metrics.answered(None, 2)
    metrics.add_classes(["c"])
    lines = metrics.render(7, 2).splitlines()
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
