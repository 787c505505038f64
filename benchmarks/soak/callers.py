"""Callers of the admin endpoint that send no usable request, or do not read the response."""

from __future__ import annotations

import asyncio
import contextlib
import random
from enum import Enum

HOLD_S = 4.0  # for which a caller keeps its connection


class Behaviour(Enum):
    """What a caller does on its connection."""

    SILENT = b""
    HALF_REQUEST = b"GET /stats HT"
    RUBBISH = bytes(range(256))
    NEVER_READS = b"GET /stats HTTP/1.1\r\nHost: x\r\n\r\n"
    RESETS = b"POST /caches/x/maint HTTP/1.1\r\n"


class Callers:
    """A number of callers, each with one connection at a time until `end`."""

    def __init__(self, port: int, count: int, behaviour: Behaviour, rng: random.Random) -> None:
        self._port, self._behaviour = port, behaviour
        pauses_s = [rng.uniform(0.0, 0.2) for _ in range(count)]
        self._tasks = [asyncio.create_task(self._call(pause_s)) for pause_s in pauses_s]

    async def end(self) -> None:
        """Resets all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _call(self, pause_s: float) -> None:
        while True:
            await asyncio.sleep(pause_s)
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(HOLD_S):
                    await self._use_connection()

    async def _use_connection(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        try:
            writer.write(self._behaviour.value)
            match self._behaviour:
                case Behaviour.NEVER_READS:
                    await asyncio.sleep(HOLD_S)
                case Behaviour.RESETS:
                    await writer.drain()
                case _:
                    while await reader.read(4096):
                        pass
        finally:
            writer.transport.abort()
