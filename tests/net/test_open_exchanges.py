"""The table of requests in flight, `net.open_exchanges`, without sockets."""

from __future__ import annotations

from typing import Any

from gladelane.net.exchange import ClientRequest, Exchange, FinalAnswer
from gladelane.net.open_exchanges import OVERDUE_MS, OpenExchanges
from gladelane.routing.events import Request

DEADLINE_MS = 2000.0


def make_exchange(number: int, id_: str, object_: str = "00000000000000aa") -> Exchange:
    client_request = ClientRequest(id_, "film", 1000.0, object_, 0, 1)
    request = Request(number, "film", 171, DEADLINE_MS, 0.0, 1, 0)
    spec: Any = None
    return Exchange(client_request, request, lambda _: None, spec, 3)


def test_an_exchange_stays_until_it_is_done_and_has_no_open_attempt() -> None:
    exchanges, exchange = OpenExchanges(), make_exchange(1, "a")
    exchanges.add(exchange)
    attempt: Any = object()
    exchange.open[0] = attempt
    assert exchanges.has_pending() and exchanges.pending() == [exchange]
    exchange.finish(None)
    exchanges.remove_if_settled(exchange)
    assert not exchanges.has_pending() and list(exchanges.by_number) == [1]
    exchange.open.clear()
    exchanges.remove_if_settled(exchange)
    assert not exchanges.by_number


def test_an_id_is_disputed_while_it_is_open_for_another_object() -> None:
    exchanges, exchange = OpenExchanges(), make_exchange(1, "a")
    exchanges.add(exchange)
    other = make_exchange(2, "a", "00000000000000bb").ask
    assert exchanges.conflicts_with_open_request(other) and not exchanges.conflicts_with_open_request(
        exchange.ask
    )
    assert not exchanges.conflicts_with_open_request(make_exchange(3, "c").ask)
    exchange.finish(None)
    assert not exchanges.conflicts_with_open_request(other)


def test_the_removal_of_an_earlier_exchange_leaves_the_later_one_under_its_id() -> None:
    exchanges, first, second = OpenExchanges(), make_exchange(1, "a"), make_exchange(2, "a")
    for exchange in (first, second):
        exchanges.add(exchange)
    first.finish(None)
    exchanges.remove_if_settled(first)
    assert exchanges.conflicts_with_open_request(make_exchange(3, "a", "00000000000000bb").ask)


def test_a_request_is_overdue_at_the_second_check_past_its_deadline() -> None:
    exchanges, late, answered = OpenExchanges(), make_exchange(1, "a"), make_exchange(2, "b")
    for exchange in (late, answered):
        exchanges.add(exchange)
    assert exchanges.take_overdue(DEADLINE_MS + OVERDUE_MS) == []
    assert exchanges.take_overdue(DEADLINE_MS + OVERDUE_MS + 1.0) == []
    answered.finish(FinalAnswer(0))  # type: ignore[arg-type]
    assert exchanges.take_overdue(DEADLINE_MS + 2 * OVERDUE_MS) == [late]
