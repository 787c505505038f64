"""The server's end of a stream of server-sent events."""

from __future__ import annotations

import asyncio

from ..sse import encode_event
from .http import encode_response

MAX_UNSENT_BYTES = 1_000_000  # after which the sender waits for a subscriber that reads slowly


class EventSink:
    """Sends events at the pace of the one who reads them."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer

    def begin(self) -> None:
        """Sends the head of the response. Before it a request may still be refused."""
        self._writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._writer.write(encode_response(200, "text/event-stream", None))

    async def send(self, data: bytes) -> None:
        """One event; data holds no line break. Raises OSError once the subscriber has left."""
        self._writer.write(encode_event(data.decode()))
        await self._writer.drain()
