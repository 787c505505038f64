"""Orders to cache servers: every purge reaches every server in order, within the limits, and again after a restart."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from gladelane.purges.orders import MAX_BATCH, Orders
from gladelane.purges.purge import Purge


def make_purges(first: int, count: int) -> list[Purge]:
    return [Purge("a", 1, n, 1.0, "group:1") for n in range(first, first + count)]


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "ack", "fail", "restart", "leave", "time", "compact"]), st.integers(0, 2)
        ),
        max_size=40,
    )
)
def test_each_process_of_each_server_receives_all_purges_in_order_within_the_limits(
    actions: list[tuple[str, int]],
) -> None:
    orders, now, total = Orders(100.0, 2, 0.0), 0.0, 0
    process_starts = {f"s{n}": 1.0 for n in range(3)}
    received: dict[tuple[str, float], list[int]] = {}
    in_flight: list = []  # type: ignore[type-arg]
    orders.set_servers(process_starts)
    for action, index in actions:
        name = f"s{index}"
        if action == "add":
            orders.add(make_purges(total + 1, 30))
            total += 30
        elif action in ("ack", "fail") and in_flight:
            order = in_flight.pop(index % len(in_flight))
            if action == "ack":
                if process_starts.get(order.server) == order.process_start:
                    received.setdefault((order.server, order.process_start), []).extend(
                        p.seq for p in order.purges
                    )
                orders.record_acknowledged(order)
            else:
                orders.record_failure(order, now)
        elif action == "restart":
            process_starts[name] = process_starts.get(name, 0.0) + 1.0
            orders.set_servers(process_starts)
        elif action == "leave":
            process_starts.pop(name, None)
            orders.set_servers(process_starts)
        elif action == "compact":
            orders.compact(make_purges(1, total), total)
        now += 500.0 if action == "time" else 1.0
        in_flight += orders.next_orders(now)
        assert orders._in_flight == sum(server.is_in_flight for server in orders._servers.values()) <= 2
    for _ in range(200):
        now += 20_000.0
        in_flight += orders.next_orders(now)
        for order in in_flight:
            if process_starts.get(order.server) == order.process_start:
                received.setdefault((order.server, order.process_start), []).extend(
                    p.seq for p in order.purges
                )
            orders.record_acknowledged(order)
        in_flight = []
    for name, process_start in process_starts.items():
        # a server that was removed and added again without a restart may receive purges twice, which is harmless
        assert orders.is_purged(name) and list(
            dict.fromkeys(received.get((name, process_start), []))
        ) == list(range(1, total + 1))
    assert orders.pending_count() == 0


def test_a_failing_server_is_retried_with_backoff_and_delays_no_other() -> None:
    orders = Orders(1000.0, 8, 0.0)
    orders.set_servers({"bad": 1.0, "good": 1.0})
    orders.add(make_purges(1, 3 * MAX_BATCH))
    now, attempts_ms, received_count = 0.0, [], 0
    while now < 60_000.0:
        for order in orders.next_orders(now):
            if order.server == "bad":
                attempts_ms.append(now)
                orders.record_failure(order, now)
            else:
                received_count += len(order.purges)
                orders.record_acknowledged(order)
        now += 10.0
    assert received_count == 3 * MAX_BATCH and orders.is_purged("good") and not orders.is_purged("bad")
    intervals_ms = [b - a for a, b in zip(attempts_ms, attempts_ms[1:], strict=False)]
    assert intervals_ms[0] < 300.0 and max(intervals_ms) >= 10_000.0 and len(attempts_ms) < 15


def test_the_rate_of_orders_is_limited() -> None:
    orders, sent = Orders(10.0, 1000, 0.0), 0
    orders.set_servers({f"s{n}": 1.0 for n in range(500)})
    orders.add(make_purges(1, 1))
    for tick in range(1000):
        for order in orders.next_orders(tick * 10.0):
            sent += 1
            orders.record_acknowledged(order)
    assert 100 <= sent <= 112
