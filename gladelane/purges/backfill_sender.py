"""Sends purge log servers the purges that they lack. It only does I/O: `backfill` decides when."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from ..control_plane.errors import error_label
from ..control_plane.http import CALL_ERRORS, fetch
from ..control_plane.positions import Vector, format_vector
from .active_purges import ActivePurges
from .backfill import BackfillSchedule
from .subscriber import Subscriber
from .wire import Event, batches, encode_json

log = logging.getLogger(__name__)

FOLLOWS = "follows"  # the state of a subscriber that is connected and has received a position


class _Target(NamedTuple):
    server: Subscriber
    schedule: BackfillSchedule


class BackfillSender:
    """Backfills the servers that a director subscribes to. Attributes: sent, the number of purges sent."""

    def __init__(
        self,
        active: ActivePurges,
        subscribers: Sequence[Subscriber],
        token: Callable[[], str],
        rng: random.Random,
    ) -> None:
        """`token` returns the current token."""
        self.sent = 0
        self._active, self._token = active, token
        self._targets = [_Target(subscriber, BackfillSchedule(rng)) for subscriber in subscribers]
        self._reported: dict[Subscriber, Vector] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def on_position(self, vector: Vector, source: Subscriber) -> None:
        """Records the position that a server reported."""
        self._reported[source] = vector

    def start_due(self, now_ms: float) -> None:
        """Starts the backfills that are due."""
        for server, schedule in self._targets:
            reported = self._reported.get(server) if server.state == FOLLOWS else None
            if schedule.is_due(self._active.positions.vector(), reported, now_ms):
                task = asyncio.create_task(self._send(server, reported or {}))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancels the backfills in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _send(self, server: Subscriber, reported: Vector) -> None:
        """Sends the purges that a server lacks, and then the position that they reach."""
        position = format_vector(self._active.positions.vector())
        events = [Event(purges=batch) for batch in batches(self._active.purges_after(reported))]
        events.append(Event(position=position, losses=self._active.low_watermark.losses()))
        headers = {"Content-Type": "application/json"}
        try:
            for event in events:
                body = encode_json(event)
                await fetch(server.host, server.port, "POST", "/events", self._token(), body, headers)
        except CALL_ERRORS as error:
            log.warning(
                "cannot backfill feed=%s:%d: %s %s", server.host, server.port, error_label(error), error
            )
            return
        sent = sum(len(event.purges) for event in events)
        self.sent += sent
        log.warning("backfilled missing purges feed=%s:%d purges=%d", server.host, server.port, sent)
