"""The requests that are open at this director, by number and by the client's id. Pure."""

from __future__ import annotations

from .exchange import ClientRequest, Exchange

OVERDUE_MS = 20.0  # an exchange so long past its deadline, at two checks, is ended by the director itself


class OpenExchanges:
    """Exchanges from their admission until they are answered and all their attempts have ended."""

    def __init__(self) -> None:
        self.by_number: dict[int, Exchange] = {}
        self._by_id: dict[str, Exchange] = {}  # the latest with each client's id
        self._overdue: list[int] = []  # at the last check

    def add(self, exchange: Exchange) -> None:
        """Adds an exchange that was admitted."""
        self.by_number[exchange.request.id] = self._by_id[exchange.ask.id] = exchange

    def remove_if_settled(self, exchange: Exchange) -> None:
        """Removes an exchange without anything pending."""
        if exchange.done and not exchange.open:
            self.by_number.pop(exchange.request.id, None)
            if self._by_id.get(exchange.ask.id) is exchange:
                del self._by_id[exchange.ask.id]

    def disputes(self, ask: ClientRequest) -> bool:
        """Whether the request's id is open for another object part. Ids are new with each request, and a
        server accepts one request for each; a client repeats the same request if its connection broke."""
        other = self._by_id.get(ask.id)
        if other is None or other.done:
            return False
        return (other.ask.cls, other.ask.object, other.ask.part) != (ask.cls, ask.object, ask.part)

    def has_pending(self) -> bool:
        """Whether a request is unanswered."""
        return any(not exchange.done for exchange in self.by_number.values())

    def pending(self) -> list[Exchange]:
        """All requests that are unanswered."""
        return [exchange for exchange in self.by_number.values() if not exchange.done]

    def take_overdue(self, now_ms: float) -> list[Exchange]:
        """Unanswered requests that were past their deadline at the last check too. One check is not enough:
        after the event loop was blocked it may come before the router's own timer."""
        found = [self.by_number.get(number) for number in self._overdue]
        self._overdue = [
            number
            for number, exchange in self.by_number.items()
            if not exchange.done and exchange.request.deadline_ms + OVERDUE_MS < now_ms
        ]
        return [exchange for exchange in found if exchange is not None and not exchange.done]
