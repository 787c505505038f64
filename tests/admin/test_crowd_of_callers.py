"""Calls to the admin endpoint of a real process beside a crowd of other callers, which connect again when disconnected."""

from __future__ import annotations

import asyncio
import contextlib
import time
from pathlib import Path

import pytest
from test_calls_after_callers_have_left import ANSWER_LIMIT_S, HEALTH_CHECK, running_process

CALLS = 8
NO_BYTES, HALF_REQUEST, UNUSABLE = b"", HEALTH_CHECK[:10], bytes(range(256))


class Crowd:
    """Callers that send the same bytes on each new connection, and read nothing if `never_reads`."""

    def __init__(self, port: int, size: int, payload: bytes, never_reads: bool) -> None:
        self._port, self._payload, self._never_reads = port, payload, never_reads
        self._tasks = [asyncio.create_task(self._call()) for _ in range(size)]

    async def _call(self) -> None:
        while True:
            with contextlib.suppress(OSError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
                try:
                    writer.write(self._payload)
                    async with asyncio.timeout(4.0):
                        await (asyncio.sleep(4.0) if self._never_reads else reader.read())
                finally:
                    writer.transport.abort()

    async def end(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@pytest.mark.parametrize(
    ("size", "payload", "never_reads"),
    [(200, NO_BYTES, False), (100, HALF_REQUEST, False), (60, HEALTH_CHECK, True), (100, UNUSABLE, False)],
    ids=["silent", "half a request", "never read", "unusable"],
)
def test_each_call_beside_a_crowd_of_callers_is_answered_within_the_limit(
    size: int, payload: bytes, never_reads: bool, tmp_path: Path
) -> None:
    async def scenario() -> None:
        async with running_process(tmp_path) as (processes, _):
            crowd = Crowd(processes.ops[0], size, payload, never_reads)
            answers = []
            for number in range(CALLS):
                action = "maint" if number % 2 == 0 else "ready"
                started_s = time.monotonic()
                status, _ = await processes.call("POST", f"/caches/c1/{action}")
                answers.append((status, time.monotonic() - started_s <= ANSWER_LIMIT_S))
                await asyncio.sleep(0.1)
            await crowd.end()
            assert answers == [(200, True)] * CALLS

    asyncio.run(scenario())
