"""The requests to one director."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from benchmarks.example_site import request_fields
from gladelane.lab.client import Client

REQUESTS_PER_S = 25.0  # for each director
OBJECT_COUNT, ZIPF_EXPONENT = 4000, 1.0
SIZE_KB = 400


@dataclass
class Traffic:
    """Sends requests to one director at a constant mean rate over a few persistent connections."""

    port: int
    rng: random.Random
    asked: int = 0
    served: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, duration_s: float) -> None:
        """Sends requests for `duration_s`; returns once all are answered."""
        loop = asyncio.get_running_loop()
        clients = [await Client.to("127.0.0.1", self.port) for _ in range(4)]
        weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, OBJECT_COUNT + 1)]
        objects = self.rng.choices(range(OBJECT_COUNT), weights, k=int(duration_s * REQUESTS_PER_S * 2) + 100)
        due_s, end_s = loop.time(), loop.time() + duration_s
        while due_s < end_s:
            due_s += self.rng.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(max(due_s - loop.time(), 0.0))
            task = asyncio.create_task(self._ask(self.rng.choice(clients), objects[self.asked]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        for client in clients:
            await client.close()

    async def _ask(self, client: Client, object_number: int) -> None:
        self.asked += 1
        class_name = self.rng.choice(["video-part", "question-item"])
        request_id = f"{self.rng.getrandbits(64):016x}"
        fields = request_fields(class_name, request_id, 3000, f"{object_number:016x}", size_kb=str(SIZE_KB))
        answer = await client.ask(fields)
        self.served += answer is not None and answer.code == 0
