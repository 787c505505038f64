"""Follows one feed: resumes from the position reached, and knows when it has caught up and when it is cut
off."""

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
from .wire import SILENT_S, Event, event_decoder

log = logging.getLogger(__name__)

LOST = (*CALL_ERRORS, BadPurge, BadPosition)
BACKOFF_S, BACKOFF_MOST_S = 0.1, 1.0


class Follower:
    """`take` is given what is told, in order; `vector` says what is known already; `said` hears who tells and
    what was lost, before the mark that it came with.

    heard_ms: when the latest mark came; caught_ms: when everything that a mark named was known, 0: not
    yet."""

    def __init__(
        self,
        host: str,
        port: int,
        token: Callable[[], str],
        vector: Callable[[], Vector],
        take: Callable[[list[Purge]], None],
        mark: Callable[[Vector], None],
        clock: Callable[[], float],
        tls: ssl.SSLContext | None = None,
        said: Callable[[Event], None] = lambda _: None,
        peer: bool = False,
    ) -> None:
        self.host, self.port = host, port
        self.heard_ms = self.caught_ms = 0.0
        self.state = "not reached yet"
        self._token, self._vector, self._take, self._mark = token, vector, take, mark
        self._clock, self._tls, self._said = clock, tls, said
        self._as_peer = "&peer=1" if peer else ""
        self.caught_up = asyncio.Event()
        self._again = False
        self._stream: asyncio.Task[None] | None = None

    async def run(self) -> None:
        backoff = Backoff(random.Random(), BACKOFF_S, BACKOFF_MOST_S)
        while True:
            before = self.heard_ms
            self._stream = asyncio.ensure_future(self._follow())
            try:
                await self._stream
                self.state = "ended"
            except asyncio.CancelledError:
                task = asyncio.current_task()
                if not self._again or (task is not None and task.cancelling()):
                    raise  # not the stream alone: this task is to end
                self.state = "follows again"
            except LOST as error:
                self.state = f"lost: {type(error).__name__} {error}"
                log.warning("feed lost feed=%s:%d: %s %s", self.host, self.port, type(error).__name__, error)
            except Exception:  # a director that no longer listens would go on by old purges
                log.exception("feed failed")
            await asyncio.sleep(backoff.after(self.heard_ms > before))

    def follow_again(self) -> None:
        """From the beginning, on a new connection: what went wrong on the way here may lie in the stream."""
        self._again = True
        if self._stream is not None:
            self._stream.cancel()

    async def _follow(self) -> None:
        events = EventStream()
        reached = {} if self._again else self._vector()
        self._again = False
        target = f"/follow?from={vector_text(reached)}{self._as_peer}"
        async with aclosing(
            stream_response(self.host, self.port, "GET", target, self._token(), tls=self._tls)
        ) as stream:
            while True:
                async with asyncio.timeout(SILENT_S):
                    data = await anext(stream, None)
                if data is None:
                    return
                for text in events.feed(data):
                    self._event(text)

    def _event(self, text: str) -> None:
        event = event_decoder.decode(text)
        if event.purges:
            self._take(event.purges)
        if event.losses or event.name:
            self._said(event)
        if event.mark is not None:
            vector = read_vector(event.mark)
            self._mark(vector)
            self.heard_ms = self._clock()
            self.state = "follows"
            if all(self._vector().get(stream, 0) >= last for stream, last in vector.items()):
                self.caught_ms = self.heard_ms
                self.caught_up.set()
