"""A subscription to one purge log server, which resumes from the position reached and records when it has
caught up."""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Callable
from contextlib import aclosing
from typing import Protocol

from ..control_plane.errors import error_label
from ..control_plane.http import CALL_ERRORS, stream_response
from ..control_plane.positions import InvalidPositionError, Vector, format_vector, parse_vector
from ..sse import EventStream
from ..structures.backoff import Backoff
from .purge import InvalidPurgeError, Purge
from .vectors import includes
from .wire import HEARTBEAT_TIMEOUT_S, Event, event_decoder

log = logging.getLogger(__name__)

#: Errors that end a stream, which is then resumed.
STREAM_ERRORS = (
    *CALL_ERRORS,
    InvalidPurgeError,
    InvalidPositionError,
)
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0


class SubscriptionHandler(Protocol):
    """Handles what a server sends. If a method raises one of `STREAM_ERRORS`, the stream ends and is
    resumed."""

    def known_vector(self) -> Vector:
        """Returns the position from which a stream resumes."""

    def on_purges(self, purges: list[Purge], source: Subscriber) -> None:
        """Handles purges in the order in which they were sent."""

    def on_losses(self, event: Event, source: Subscriber) -> None:
        """Handles the name of the server and the losses, before the position of the same event."""

    def on_position(self, vector: Vector, source: Subscriber) -> None:
        """Handles the position up to which everything was sent."""


class Subscriber:
    """Receives the stream of one server.

    Attributes: host and port; state, as text; position_received_ms, when the latest position was received, in
    Unix ms; caught_up_ms, when everything up to a received position was last known, 0.0 if never; caught_up,
    set from then on. For the event that is being handled: server_clock_ms, the server's clock when it was
    sent, 0.0 if unknown; received_ms, when it was received, in Unix ms; round_trip_ms, the time since the
    request if it is the first event of a stream, otherwise None."""

    def __init__(
        self,
        host: str,
        port: int,
        token: Callable[[], str],
        handler: SubscriptionHandler,
        clock: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        is_peer: bool = False,
    ) -> None:
        """`token` and `clock` return the current token and Unix ms; `is_peer`: whether to subscribe as
        another server and not as a director."""
        self.host, self.port = host, port
        self.position_received_ms = self.caught_up_ms = self.server_clock_ms = self.received_ms = 0.0
        self.round_trip_ms: float | None = None
        self.state = "not reached yet"
        self.caught_up = asyncio.Event()
        self._token, self._handler, self._clock, self._tls = token, handler, clock, tls
        self._peer_flag = "&peer=1" if is_peer else ""
        self._requested_ms: float | None = None  # set until the first event of a stream
        self._from_beginning = False
        self._stream: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Receives until it is cancelled; a stream that ends is resumed after a backoff. After an unexpected
        error, which it raises, it may be run again."""
        backoff = Backoff(random.Random(), MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            previous_position_received_ms = self.position_received_ms
            self._stream = asyncio.ensure_future(self._subscribe())
            try:
                await self._stream
                self.state = "ended"
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if not self._from_beginning or (task is not None and task.cancelling()):
                    raise  # this task was cancelled, not only the stream
                self.state = "follows again"
            except STREAM_ERRORS as error:
                self.state = f"lost: {error_label(error)} {error}"
                log.warning(
                    "stream ended by an error feed=%s:%d: %s %s",
                    self.host,
                    self.port,
                    error_label(error),
                    error,
                )
            except Exception:
                self.state = "failed"
                raise
            await asyncio.sleep(backoff.after(self.position_received_ms > previous_position_received_ms))

    @property
    def is_live(self) -> bool:
        """Whether the whole backlog of the server was received at any time since this process started."""
        return self.caught_up.is_set()

    def restart(self) -> None:
        """Subscribes from the beginning on a new connection, in case the stream lost something."""
        self._from_beginning = True
        if self._stream is not None:
            self._stream.cancel()

    async def _subscribe(self) -> None:
        events = EventStream()
        known = {} if self._from_beginning else self._handler.known_vector()
        self._from_beginning = False
        target = f"/follow?from={format_vector(known)}{self._peer_flag}"
        self._requested_ms = self._clock()
        response = stream_response(self.host, self.port, "GET", target, self._token(), tls=self._tls)
        async with aclosing(response) as stream:
            while True:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_S):
                    data = await anext(stream, None)
                if data is None:
                    return
                for text in events.feed(data):
                    self._receive(text)

    def _receive(self, text: str) -> None:
        self.received_ms = self._clock()
        self.round_trip_ms = None if self._requested_ms is None else self.received_ms - self._requested_ms
        self._requested_ms = None
        event = event_decoder.decode(text)
        self.server_clock_ms = event.sent_ms
        if event.purges:
            self._handler.on_purges(event.purges, self)
        if event.losses or event.name:
            self._handler.on_losses(event, self)
        if event.position is None:
            return
        vector = parse_vector(event.position)
        self._handler.on_position(vector, self)
        self.position_received_ms = self._clock()
        self.state = "follows"
        if includes(self._handler.known_vector(), vector):
            self.caught_up_ms = self.position_received_ms
            self.caught_up.set()
