"""Sends purges to subscribers, each at its own pace: first all that the subscriber lacks, then new ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from contextlib import suppress

from ..control_plane.event_stream import EventSink
from ..control_plane.positions import Vector, format_vector
from .active_purges import ActivePurges
from .purge import Purge
from .wire import HEARTBEAT_S, Event, batches, encode_json

#: Recent purges in order of arrival. A subscriber that is further behind is served from all active purges.
MAX_RECENT = 10_000
NOT_SENT = -1  # lower than any version of the losses


class RecentPurges:
    """The latest purges in the order in which they were stored. The offset of a purge never changes."""

    def __init__(self) -> None:
        """Starts empty."""
        self._purges: list[Purge] = []
        self._first_offset = 0  # the offset of the oldest purge that is kept

    @property
    def end(self) -> int:
        """The offset of the next purge."""
        return self._first_offset + len(self._purges)

    def append(self, purge: Purge) -> None:
        """Adds a purge, and removes the oldest if there are too many."""
        self._purges.append(purge)
        if len(self._purges) > 2 * MAX_RECENT:
            del self._purges[:MAX_RECENT]
            self._first_offset += MAX_RECENT

    def since(self, offset: int) -> list[Purge] | None:
        """Returns all purges from an offset on, or None if some of them were removed."""
        return self._purges[offset - self._first_offset :] if offset >= self._first_offset else None


class PurgeStream:
    """Serves the subscribers of one server. Attributes: subscribers, the number of connected ones."""

    def __init__(self, active: ActivePurges, name: str, copies: int, clock: Callable[[], float]) -> None:
        """`name`, `copies` and `clock` are those of the server, for its events; `clock` returns Unix ms."""
        self.subscribers = 0
        self._clock = clock
        self._active, self._name, self._copies = active, name, copies
        self._recent = RecentPurges()
        self._changed = asyncio.Event()

    def append(self, purge: Purge) -> None:
        """Adds an active purge, which is sent after the next `wake`."""
        self._recent.append(purge)

    def wake(self) -> None:
        """Makes the streams of all subscribers check for changes."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, sink: EventSink, vector: Vector) -> None:
        """Serves a subscriber until its connection ends. `vector`: the position that it has reached."""
        sink.send_header()
        self.subscribers += 1
        try:
            await self._send_all(sink, vector)
        finally:
            self.subscribers -= 1

    async def _send_all(self, sink: EventSink, vector: Vector) -> None:
        low_watermark, positions = self._active.low_watermark, self._active.positions
        sent_version = NOT_SENT
        offset = self._recent.end
        reached = positions.vector()
        backlog: Iterable[Purge] = self._active.purges_after(vector)
        while True:
            for batch in batches(backlog):
                await sink.send(encode_json(Event(purges=batch, sent_ms=self._clock())))
            event = Event(position=format_vector(reached), sent_ms=self._clock())
            if sent_version != low_watermark.version:
                sent_version = low_watermark.version
                event.losses, event.name, event.copies = low_watermark.losses(), self._name, self._copies
            await sink.send(encode_json(event))
            changed = self._changed
            if offset == self._recent.end and sent_version == low_watermark.version:
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await changed.wait()
            recent = self._recent.since(offset)
            backlog = recent if recent is not None else self._active.purges_after(reached)
            offset = self._recent.end
            reached = positions.vector()
