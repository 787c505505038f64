"""Clients that request popular objects, and an operator who sends purges."""

from __future__ import annotations

import asyncio
import json
import random

from benchmarks.example_site import request_fields
from gladelane.control_plane.http import HttpStatusError, fetch
from gladelane.lab.client import Answer, Client
from gladelane.lab.fake_cache_store import now_ms
from gladelane.lab.fleet.run_checks import AcknowledgedPurge, ObservedReply
from gladelane.purges.scope import parse

from .director_files import TOKEN
from .fleet import Fleet
from .random_scopes import (
    OBJECT_COUNT,
    STRICT_CLASS,
    UNBOUNDED_CLASS,
    DrawnScope,
    draw_scope,
    group_of,
    object_id,
)

PARTS = 2  # of each object that are requested
DEADLINE_MS = 1500
ANSWER_TIMEOUT_S = 4.0
NO_DIRECTOR_RETRY_S, REJECTED_BACKOFF_S, REQUEST_INTERVAL_S, PURGE_RETRY_S = 0.01, 0.05, 0.002, 0.02
SERVED, REJECTED = 0, 1  # codes of answers


class Load:
    """Sends requests and purges.

    `answers` has the served answers and `purges` the purges; the counters cover all requests.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._weights = [1.0 / (number + 1) for number in range(OBJECT_COUNT)]
        self.answers: list[ObservedReply] = []
        self.purges: list[AcknowledgedPurge] = []
        self.lost = self.rejected = self.failed = self.asked = 0
        self.is_running = True

    async def ask(self) -> None:
        """Sends one request after the other until the load ends."""
        while self.is_running:
            number = self._rng.choices(range(OBJECT_COUNT), self._weights)[0]
            usable = self._fleet.directors.usable_clients()
            client = self._rng.choice(usable) if usable else None
            if client is None:
                await asyncio.sleep(NO_DIRECTOR_RETRY_S)
            else:
                await self._ask_for(number, client)
                await asyncio.sleep(REQUEST_INTERVAL_S)

    async def _ask_for(self, number: int, client: Client) -> None:
        class_name, part = (STRICT_CLASS if number % 2 else UNBOUNDED_CLASS), self._rng.randrange(PARTS)
        group, request_id = group_of(number), f"{self._rng.getrandbits(64):016x}"
        fields = request_fields(
            class_name, request_id, DEADLINE_MS, object_id(number), part=part, group=group, size_kb="4"
        )
        self.asked += 1
        sent_ms = now_ms()
        answer = await client.ask(fields, patience_s=ANSWER_TIMEOUT_S)
        if answer is not None and answer.code == SERVED:
            dated_ms = float(answer.body[1:] or 0)
            self.answers.append(
                ObservedReply(class_name, group, int(object_id(number), 16), part, sent_ms, dated_ms)
            )
        else:
            await self._count_unserved(answer)

    async def _count_unserved(self, answer: Answer | None) -> None:
        if answer is None:
            self.lost += 1
        elif answer.code == REJECTED:
            self.rejected += 1
            await asyncio.sleep(REJECTED_BACKOFF_S)
        else:
            self.failed += 1

    async def purge(self, count: int, interval_s: float) -> None:
        """Sends `count` purges, each to random control servers until one answers."""
        for turn in range(count):
            self.purges.append(await self._submit(draw_scope(self._rng), f"k{turn}"))
            await asyncio.sleep(interval_s)

    async def _submit(self, scope: DrawnScope, key: str) -> AcknowledgedPurge:
        body = json.dumps({"scope": scope.text, "tags": scope.tags}).encode()
        while True:
            port = self._rng.choice(self._fleet.control_servers.ports)
            headers = {"Idempotency-Key": key}
            try:
                answer = json.loads(await fetch("127.0.0.1", port, "POST", "/purges", TOKEN, body, headers))
                return AcknowledgedPurge(answer["at_ms"], parse(answer["scope"]))
            except (OSError, HttpStatusError, TimeoutError):
                await asyncio.sleep(PURGE_RETRY_S)

    async def record_purges_without_sending(self, count: int, interval_s: float) -> None:
        """Records `count` purges that are not sent to any server."""
        for _ in range(count):
            scope = draw_scope(self._rng)
            self.purges.append(AcknowledgedPurge(now_ms(), parse(scope.text, scope.tags)))
            await asyncio.sleep(interval_s)
