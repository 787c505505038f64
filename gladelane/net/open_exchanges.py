"""The open requests of this director, by number and by the id that the client chose. Pure."""

from __future__ import annotations

from .exchange import ClientRequest, Exchange

OVERDUE_MS = 20.0  # the director itself ends an exchange this long past its deadline, at the second check


class OpenExchanges:
    """The exchanges that are unanswered or have open attempts."""

    def __init__(self) -> None:
        self.by_number: dict[int, Exchange] = {}
        self._by_id: dict[str, Exchange] = {}  # the latest exchange with each id
        self._overdue: list[int] = []  # numbers of those that were overdue at the last check

    def add(self, exchange: Exchange) -> None:
        """Adds an admitted exchange."""
        self.by_number[exchange.request.id] = self._by_id[exchange.ask.id] = exchange

    def remove_if_settled(self, exchange: Exchange) -> None:
        """Removes an exchange if it is answered and has no open attempts."""
        if exchange.done and not exchange.open:
            self.by_number.pop(exchange.request.id, None)
            if self._by_id.get(exchange.ask.id) is exchange:
                del self._by_id[exchange.ask.id]

    def conflicts_with_open_request(self, client_request: ClientRequest) -> bool:
        """Whether an open request with the same id is for another object part. Clients use a new id for each
        request, and repeat a request with its id only if their connection broke. Servers accept one request
        per id."""
        other = self._by_id.get(client_request.id)
        if other is None or other.done:
            return False
        return (other.ask.cls, other.ask.object, other.ask.part) != (
            client_request.cls,
            client_request.object,
            client_request.part,
        )

    def has_pending(self) -> bool:
        """Whether a request is unanswered."""
        return any(not exchange.done for exchange in self.by_number.values())

    def pending(self) -> list[Exchange]:
        """All requests that are unanswered."""
        return [exchange for exchange in self.by_number.values() if not exchange.done]

    def take_overdue(self, now_ms: float) -> list[Exchange]:
        """Returns the unanswered requests that were already past their deadline at the last check. One check
        is not enough: after the event loop was blocked, it may run before the timer of the router."""
        found = [self.by_number.get(number) for number in self._overdue]
        self._overdue = [
            number
            for number, exchange in self.by_number.items()
            if not exchange.done and exchange.request.deadline_ms + OVERDUE_MS < now_ms
        ]
        return [exchange for exchange in found if exchange is not None and not exchange.done]
