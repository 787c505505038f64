"""A client as the protocol has it, which replaces its connection when the director closes it."""

from __future__ import annotations

import asyncio
import time

from gladelane.lab.client import Answer, Client

# in which a request may meet its connection's close, and is then asked again once (PROTOCOL)
CROSSING_S = 0.05


class ReconnectingClient:
    """A connection that the director closed while nothing was open on it is replaced, and a request that met
    such a close is asked again, once. One that was open when its connection ended, or got no answer in time,
    is lost."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._connecting = asyncio.Lock()
        self.clients: list[Client] = []  # the latest is in use
        self.crossed = 0

    async def ask(self, fields: dict[str, str], body: bytes, patience_s: float) -> Answer | None:
        """None: it is lost."""
        for is_last_try in (False, True):
            try:
                client = await self._connected()
            except OSError:
                return None
            written_s = time.monotonic()
            answer = await client.ask(fields, body, patience_s)
            is_crossed = client.ended and time.monotonic() - written_s <= CROSSING_S
            if answer is not None or not is_crossed or is_last_try:
                return answer
            self.crossed += 1
        return None

    async def _connected(self) -> Client:
        """Raises OSError."""
        async with self._connecting:
            if not self.clients or self.clients[-1].ended:
                self.clients.append(await Client.to("127.0.0.1", self._port))
            return self.clients[-1]

    async def close(self) -> None:
        """Ends all connections."""
        for client in self.clients:
            await client.close()
