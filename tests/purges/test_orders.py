"""Orders to cache servers: everything reaches every server in order, within the budget, and again after a restart."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gladelane.purges.orders import MAX_BATCH, Orders
from gladelane.purges.purge import Purge


def purges(first: int, count: int) -> list[Purge]:
    return [Purge("a", 1, n, 1.0, "group:1") for n in range(first, first + count)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "ack", "fail", "restart", "leave", "time", "compact"]), st.integers(0, 2)
        ),
        max_size=40,
    )
)
def test_each_run_of_each_server_gets_all_in_order_and_bounds_hold(moves: list[tuple[str, int]]) -> None:
    orders, now, total = Orders(100.0, 2, 0.0), 0.0, 0
    runs = {f"s{n}": 1.0 for n in range(3)}
    got: dict[tuple[str, float], list[int]] = {}
    out: list = []  # type: ignore[type-arg]
    orders.servers(runs)
    for what, which in moves:
        name = f"s{which}"
        if what == "add":
            orders.add(purges(total + 1, 30))
            total += 30
        elif what in ("ack", "fail") and out:
            order = out.pop(which % len(out))
            if what == "ack":
                if runs.get(order.server) == order.run:
                    got.setdefault((order.server, order.run), []).extend(p.seq for p in order.purges)
                orders.acknowledged(order)
            else:
                orders.failed(order, now)
        elif what == "restart":
            runs[name] = runs.get(name, 0.0) + 1.0
            orders.servers(runs)
        elif what == "leave":
            runs.pop(name, None)
            orders.servers(runs)
        elif what == "compact":
            orders.compact(purges(1, total), total)
        now += 500.0 if what == "time" else 1.0
        out += orders.next(now)
        assert orders._out == sum(server.out for server in orders._servers.values()) <= 2
    for _ in range(200):
        now += 20_000.0
        out += orders.next(now)
        for order in out:
            if runs.get(order.server) == order.run:
                got.setdefault((order.server, order.run), []).extend(p.seq for p in order.purges)
            orders.acknowledged(order)
        out = []
    for name, run in runs.items():
        # a server that left and came back as it was may get some again: that does no harm
        assert orders.purged(name) and list(dict.fromkeys(got.get((name, run), []))) == list(
            range(1, total + 1)
        )
    assert orders.pending_count() == 0


def test_a_server_that_fails_is_asked_later_and_later_and_holds_up_no_other() -> None:
    orders = Orders(1000.0, 8, 0.0)
    orders.servers({"bad": 1.0, "good": 1.0})
    orders.add(purges(1, 3 * MAX_BATCH))
    now, asked, served = 0.0, [], 0
    while now < 60_000.0:
        for order in orders.next(now):
            if order.server == "bad":
                asked.append(now)
                orders.failed(order, now)
            else:
                served += len(order.purges)
                orders.acknowledged(order)
        now += 10.0
    assert served == 3 * MAX_BATCH and orders.purged("good") and not orders.purged("bad")
    pauses = [b - a for a, b in zip(asked, asked[1:], strict=False)]
    assert pauses[0] < 300.0 and max(pauses) >= 10_000.0 and len(asked) < 15


def test_the_budget_bounds_orders_a_second() -> None:
    orders, sent = Orders(10.0, 1000, 0.0), 0
    orders.servers({f"s{n}": 1.0 for n in range(500)})
    orders.add(purges(1, 1))
    for tick in range(1000):
        for order in orders.next(tick * 10.0):
            sent += 1
            orders.acknowledged(order)
    assert 100 <= sent <= 112
