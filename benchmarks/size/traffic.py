"""Requests to one director."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from benchmarks.example_site import request_fields
from gladelane.lab.client import Client

RATE = 25.0  # requests a second and director
OBJECTS, ZIPF = 4000, 1.0
SIZE_KB = 400


@dataclass
class Traffic:
    """Requests to one director at a steady mean pace, on a few connections that are kept."""

    port: int
    rng: random.Random
    asked: int = 0
    served: int = 0
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def run(self, duration_s: float) -> None:
        """Returns once all requests of so many seconds are answered."""
        loop = asyncio.get_running_loop()
        clients = [await Client.to("127.0.0.1", self.port) for _ in range(4)]
        weights = [1.0 / place**ZIPF for place in range(1, OBJECTS + 1)]
        objects = self.rng.choices(range(OBJECTS), weights, k=int(duration_s * RATE * 2) + 100)
        due, ends = loop.time(), loop.time() + duration_s
        while due < ends:
            due += self.rng.expovariate(RATE)
            await asyncio.sleep(max(due - loop.time(), 0.0))
            task = asyncio.create_task(self._ask(self.rng.choice(clients), objects[self.asked]))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        await asyncio.gather(*self.tasks)
        for client in clients:
            await client.close()

    async def _ask(self, client: Client, object_: int) -> None:
        self.asked += 1
        class_name = self.rng.choice(["video-part", "question-item"])
        request_id = f"{self.rng.getrandbits(64):016x}"
        fields = request_fields(class_name, request_id, 3000, f"{object_:016x}", size_kb=str(SIZE_KB))
        answer = await client.ask(fields)
        self.served += answer is not None and answer.code == 0
