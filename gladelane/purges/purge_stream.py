"""Telling subscribers: all that one lacks, then what comes, at its pace. Decides nothing."""

from __future__ import annotations

import asyncio
from contextlib import suppress

from ..control.event_stream import EventSink
from ..control.positions import Vector, vector_text
from .active_purges import ActivePurges
from .order import Purge
from .wire import HEARTBEAT_S, Event, batches, encode_json

MAX_RECENT = 10_000  # purges kept as they came; a subscriber further behind is served from those in force


class RecentPurges:
    """The latest purges in the order in which they were stored, each at a place that does not change."""

    def __init__(self) -> None:
        self._purges: list[Purge] = []
        self._first = 0  # the place of the first that is kept

    @property
    def end(self) -> int:
        """The place of the next one."""
        return self._first + len(self._purges)

    def append(self, purge: Purge) -> None:
        self._purges.append(purge)
        if len(self._purges) > 2 * MAX_RECENT:
            del self._purges[:MAX_RECENT]
            self._first += MAX_RECENT

    def since(self, place: int) -> list[Purge] | None:
        """All from a place on, None: some of them are no longer kept."""
        return self._purges[place - self._first :] if place >= self._first else None


class PurgeStream:
    """One purge log's subscribers. name, copies: of the log, as its events say."""

    def __init__(self, active: ActivePurges, name: str, copies: int) -> None:
        self.subscribers = 0
        self._active, self._name, self._copies = active, name, copies
        self._recent = RecentPurges()
        self._changed = asyncio.Event()

    def append(self, purge: Purge) -> None:
        """It is in force; it leaves with the next `wake`."""
        self._recent.append(purge)

    def wake(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def serve(self, sink: EventSink, vector: Vector) -> None:
        """vector: what the subscriber knows. Ends with its connection."""
        sink.begin()
        self.subscribers += 1
        try:
            await self._tell(sink, vector)
        finally:
            self.subscribers -= 1

    async def _tell(self, sink: EventSink, vector: Vector) -> None:
        horizon, positions = self._active.horizon, self._active.positions
        told_version = -1  # of the horizon
        place = self._recent.end
        reached = positions.vector()
        backlog = list(self._active.beyond(vector))
        while True:
            for batch in batches(backlog):
                await sink.send(encode_json(Event(purges=batch)))
            mark = Event(mark=vector_text(reached))
            if told_version != horizon.version:
                told_version = horizon.version
                mark = Event(mark=mark.mark, losses=horizon.losses(), name=self._name, copies=self._copies)
            await sink.send(encode_json(mark))
            changed = self._changed
            if place == self._recent.end and told_version == horizon.version:
                with suppress(TimeoutError):
                    async with asyncio.timeout(HEARTBEAT_S):
                        await changed.wait()
            recent = self._recent.since(place)
            backlog = recent if recent is not None else list(self._active.beyond(reached))
            place = self._recent.end
            reached = positions.vector()
