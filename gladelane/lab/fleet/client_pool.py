"""The clients' connections to one director."""

from __future__ import annotations

import contextlib

from ..client import Answer, Client

ON_ONE, CONNECTIONS = (
    12,
    16,
)  # requests open on a connection before a further one is made; connections at most


class Pool:
    """Connections to one director, few requests on each: a director turns away more than 32. One that idles
    is closed by it; a request that met the close is asked again on a new one, as the protocol lets clients
    do."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._clients: list[tuple[Client, list[int]]] = []  # with the number of requests open
        self._closed = False

    async def reach(self) -> None:
        """One connection. Raises OSError."""
        client = await Client.to("127.0.0.1", self._port)
        self._clients.append((client, [0]))  # the list may have been made anew meanwhile

    async def ask(self, fields: dict[str, str], patience_s: float) -> Answer | None:
        answer, ended = await self._ask(fields, patience_s)
        if answer is None and ended and not self._closed:
            answer, _ = await self._ask(fields, patience_s)
        return answer

    async def _ask(self, fields: dict[str, str], patience_s: float) -> tuple[Answer | None, bool]:
        """And whether the connection ended under it."""
        self._clients = [entry for entry in self._clients if not entry[0].ended]
        least = min(self._clients, key=lambda entry: entry[1][0], default=None)
        if least is None or (least[1][0] >= ON_ONE and len(self._clients) < CONNECTIONS):
            with contextlib.suppress(OSError):
                await self.reach()
                least = self._clients[-1]
        if least is None:
            return None, False
        client, held = least
        held[0] += 1
        try:
            return await client.ask(fields, patience_s=patience_s), client.ended
        finally:
            held[0] -= 1

    async def close(self) -> None:
        self._closed = True
        for client, _ in self._clients:
            await client.close()
