"""The connections of the clients to one director."""

from __future__ import annotations

import contextlib

from ..client import Answer, Client

MAX_REQUESTS_PER_CONNECTION = 12  # requests in flight on a connection before another one is opened
MAX_CONNECTIONS = 16


class ClientPool:
    """Connections to one director, with few requests on each, because a director rejects more than 32.

    The director closes idle connections. A request that coincides with the close is retried on a new
    connection, as the protocol allows.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._clients: list[tuple[Client, list[int]]] = []  # with the requests in flight
        self._closed = False

    async def open_connection(self) -> None:
        """Opens a connection. Raises OSError."""
        client = await Client.to("127.0.0.1", self._port)
        self._clients.append((client, [0]))  # the list may have been replaced meanwhile

    async def ask(self, fields: dict[str, str], timeout_s: float) -> Answer | None:
        """Sends a request; None if no reply comes in time."""
        answer, ended = await self._ask(fields, timeout_s)
        if answer is None and ended and not self._closed:
            answer, _ = await self._ask(fields, timeout_s)
        return answer

    async def _ask(self, fields: dict[str, str], timeout_s: float) -> tuple[Answer | None, bool]:
        """The reply, and whether the connection was closed meanwhile."""
        self._clients = [entry for entry in self._clients if not entry[0].ended]
        least_busy = min(self._clients, key=lambda entry: entry[1][0], default=None)
        if least_busy is None or (
            least_busy[1][0] >= MAX_REQUESTS_PER_CONNECTION and len(self._clients) < MAX_CONNECTIONS
        ):
            with contextlib.suppress(OSError):
                await self.open_connection()
                least_busy = self._clients[-1]
        if least_busy is None:
            return None, False
        client, in_flight = least_busy
        in_flight[0] += 1
        try:
            return await client.ask(fields, patience_s=timeout_s), client.ended
        finally:
            in_flight[0] -= 1

    async def close(self) -> None:
        """Closes all connections."""
        self._closed = True
        for client, _ in self._clients:
            await client.close()
