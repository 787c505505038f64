"""The interface of a control server's parts: independent services that add routes and streams to it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from .event_stream import EventSink
from .http import Request

MAX_BODY_BYTES = 65_536  # of a request, unless its route sets another limit
MAX_LARGE_BODY_BYTES = 2_000_000  # of a request with many records; no route may set a higher limit

#: Called with a request and the caller's name; returns a JSON body. May raise `HttpStatusError`, and
#: ValueError or msgspec's errors for an invalid request.
Handler = Callable[[Request, str], Awaitable[bytes]]
#: Returns when the stream has ended. May raise the errors of a `Handler` before `EventSink.send_header`.
StreamHandler = Callable[[Request, EventSink], Awaitable[None]]


class Route(NamedTuple):
    """A call with its method, path and handler, and the size limit of its request body."""

    method: str
    path: str
    handler: Handler
    max_body_bytes: int = MAX_BODY_BYTES


class StreamRoute(NamedTuple):
    """A stream of server-sent events, requested with GET."""

    path: str
    handler: StreamHandler


class ControlPart(Protocol):
    """A service of the fleet, which has recovered its state before it is passed to a server."""

    def routes(self) -> Sequence[Route]:
        """Returns the calls that it handles."""

    def streams(self) -> Sequence[StreamRoute]:
        """Returns the event streams that it serves."""

    def start(self) -> None:
        """Starts background tasks. Called when the server is already listening."""

    async def close(self) -> None:
        """Stops background tasks and closes files. Called when no request is open any more."""
