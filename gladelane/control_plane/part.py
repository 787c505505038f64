"""The protocol of a control server's parts: services that add routes and streams to it, each on its own."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from .event_stream import EventSink
from .http import Request

MAX_BODY_BYTES = 65_536  # of a request, unless its route sets another limit
MAX_LARGE_BODY_BYTES = 2_000_000  # of a request that carries many records, and the limit of all routes

#: Called with a request and the caller's name; returns a JSON body. May raise `HttpStatusError`, and
#: ValueError or msgspec's errors for an invalid request.
Handler = Callable[[Request, str], Awaitable[bytes]]
#: Returns when the stream has ended. May raise what a handler raises until it calls `EventSink.send_header`.
StreamHandler = Callable[[Request, EventSink], Awaitable[None]]


class Route(NamedTuple):
    """A call: method and path, who handles it, and the largest body that it accepts."""

    method: str
    path: str
    handler: Handler
    max_body_bytes: int = MAX_BODY_BYTES


class StreamRoute(NamedTuple):
    """A stream of server-sent events, requested with GET."""

    path: str
    handler: StreamHandler


class ControlPart(Protocol):
    """A service of the fleet. It recovers its own state before it is passed to a server."""

    def routes(self) -> Sequence[Route]:
        """The calls that it handles."""

    def streams(self) -> Sequence[StreamRoute]:
        """The event streams that it serves."""

    def start(self) -> None:
        """Starts background tasks. The server is already listening."""

    async def close(self) -> None:
        """Stops background tasks and closes files. No request is open any more."""
