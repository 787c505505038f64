"""What a control server hosts: parts that add routes and streams to it, and know nothing of one another."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import NamedTuple, Protocol

from .event_stream import EventSink
from .http import Request

MAX_BODY_BYTES = 65_536  # of a request, where its route says nothing else
MAX_LARGE_BODY_BYTES = 2_000_000  # of a request that carries many records; no route may take more

#: Given the request and the caller's name; returns a JSON body. May raise `Refused`, and ValueError or
#: msgspec's errors for a request that cannot be.
Handler = Callable[[Request, str], Awaitable[bytes]]
#: Returns when the stream has ended; may refuse as a handler does until it has called `EventSink.begin`.
StreamHandler = Callable[[Request, EventSink], Awaitable[None]]


class Route(NamedTuple):
    method: str
    path: str
    handler: Handler
    max_body_bytes: int = MAX_BODY_BYTES


class StreamRoute(NamedTuple):
    """A stream of server-sent events, asked for with GET."""

    path: str
    handler: StreamHandler


class ControlPart(Protocol):
    """A service of the fleet. It recovers its own state before it is given to a server."""

    def routes(self) -> Sequence[Route]: ...

    def streams(self) -> Sequence[StreamRoute]: ...

    def start(self) -> None:
        """Begins background work; the server listens already."""

    async def close(self) -> None:
        """Ends it and closes files; no request is open any more."""
