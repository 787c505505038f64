"""The sending side of a stream of server-sent events."""

from __future__ import annotations

import asyncio

from ..sse import encode_event
from .http import encode_response

MAX_UNSENT_BYTES = 1_000_000  # limit of the buffer of a slow subscriber, at which the sender waits


class EventSink:
    """Sends events to one subscriber, at most as fast as the subscriber reads them."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        """`writer` is a connection whose request has been read."""
        self._writer = writer

    def send_header(self) -> None:
        """Sends the header of the response. Before that the request can still be rejected with an error."""
        self._writer.transport.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._writer.write(encode_response(200, "text/event-stream", None))

    async def send(self, data: bytes) -> None:
        """Sends one event, whose data has no line break. Raises OSError after a disconnect."""
        self._writer.write(encode_event(data.decode()))
        await self._writer.drain()
