"""Subscribes to one purge log: resumes from the position reached, and knows when it has caught up and when it
is cut off."""

from __future__ import annotations

import asyncio
import logging
import random
import ssl
from collections.abc import Callable
from contextlib import aclosing

from ..control.http import CALL_ERRORS, stream_response
from ..control.positions import BadPosition, Vector, read_vector, vector_text
from ..sse import EventStream
from ..structures.backoff import Backoff
from .order import BadPurge, Purge
from .wire import HEARTBEAT_TIMEOUT_S, Event, event_decoder

log = logging.getLogger(__name__)

STREAM_ERRORS = (*CALL_ERRORS, BadPurge, BadPosition)  # the stream is lost, and is resumed
MIN_BACKOFF_S, MAX_BACKOFF_S = 0.1, 1.0


class Subscriber:
    """`vector` says what is known already; `on_purges` is given what is told, in order; `on_losses` hears who
    tells and what was lost, before the `on_mark` that it came with. What they raise of `STREAM_ERRORS` ends
    the stream, which is resumed.

    heard_ms: when the latest mark came; caught_ms: when everything that a mark named was known, 0: not
    yet."""

    def __init__(
        self,
        host: str,
        port: int,
        token: Callable[[], str],
        vector: Callable[[], Vector],
        on_purges: Callable[[list[Purge]], None],
        on_mark: Callable[[Vector], None],
        clock: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        on_losses: Callable[[Event], None] = lambda _: None,
        as_peer: bool = False,
    ) -> None:
        self.host, self.port = host, port
        self.heard_ms = self.caught_ms = 0.0
        self.state = "not reached yet"
        self.caught_up = asyncio.Event()
        self._token, self._vector, self._clock, self._tls = token, vector, clock, tls
        self._on_purges, self._on_mark, self._on_losses = on_purges, on_mark, on_losses
        self._peer_flag = "&peer=1" if as_peer else ""
        self._from_beginning = False
        self._stream: asyncio.Task[None] | None = None

    async def run(self) -> None:
        backoff = Backoff(random.Random(), MIN_BACKOFF_S, MAX_BACKOFF_S)
        while True:
            heard_before_ms = self.heard_ms
            self._stream = asyncio.ensure_future(self._subscribe())
            try:
                await self._stream
                self.state = "ended"
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if not self._from_beginning or (task is not None and task.cancelling()):
                    raise  # not the stream alone: this task is to end
                self.state = "follows again"
            except STREAM_ERRORS as error:
                self.state = f"lost: {type(error).__name__} {error}"
                log.warning("feed lost feed=%s:%d: %s %s", self.host, self.port, type(error).__name__, error)
            except Exception:  # a director that no longer listens would go on by old purges
                log.exception("feed failed")
            await asyncio.sleep(backoff.after(self.heard_ms > heard_before_ms))

    def restart(self) -> None:
        """From the beginning, on a new connection: what went wrong on the way here may lie in the stream."""
        self._from_beginning = True
        if self._stream is not None:
            self._stream.cancel()

    async def _subscribe(self) -> None:
        events = EventStream()
        known = {} if self._from_beginning else self._vector()
        self._from_beginning = False
        target = f"/follow?from={vector_text(known)}{self._peer_flag}"
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
        event = event_decoder.decode(text)
        if event.purges:
            self._on_purges(event.purges)
        if event.losses or event.name:
            self._on_losses(event)
        if event.mark is None:
            return
        vector = read_vector(event.mark)
        self._on_mark(vector)
        self.heard_ms = self._clock()
        self.state = "follows"
        known = self._vector()
        if all(known.get(stream, 0) >= last for stream, last in vector.items()):
            self.caught_ms = self.heard_ms
            self.caught_up.set()
