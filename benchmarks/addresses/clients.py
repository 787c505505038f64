"""A client that follows the protocol and replaces its connection when the director closes it."""

from __future__ import annotations

import asyncio
import time

from gladelane.lab.client import Answer, Client

# The time in which a request may cross with the close of its connection; it is then sent again once
# (PROTOCOL).
CROSSING_S = 0.05


class ReconnectingClient:
    """Replaces a connection that the director closed while no request was open on it.

    A request that crossed with such a close is sent again, once. A request that was open when its connection
    ended, or that got no answer in time, is lost.
    """

    def __init__(self, port: int) -> None:
        self._port = port
        self._connecting = asyncio.Lock()
        self.clients: list[Client] = []  # the last one is in use
        self.crossed = 0

    async def ask(self, fields: dict[str, str], body: bytes, timeout_s: float) -> Answer | None:
        """Sends a request and returns its answer, or None if the request is lost."""
        for is_last_try in (False, True):
            try:
                client = await self._connected()
            except OSError:
                return None
            sent_s = time.monotonic()
            answer = await client.ask(fields, body, timeout_s)
            has_crossed = client.ended and time.monotonic() - sent_s <= CROSSING_S
            if answer is not None or not has_crossed or is_last_try:
                return answer
            self.crossed += 1
        return None

    async def _connected(self) -> Client:
        """Returns a client with an open connection. Raises OSError if none can be opened."""
        async with self._connecting:
            if not self.clients or self.clients[-1].ended:
                self.clients.append(await Client.to("127.0.0.1", self._port))
            return self.clients[-1]

    async def close(self) -> None:
        """Closes all connections."""
        for client in self.clients:
            await client.close()
