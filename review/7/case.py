"""A client that reads slowly while an operator drains the director: its answers are destroyed by a reset."""

from __future__ import annotations

import asyncio
import sys
from contextlib import suppress
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_2"))

from fleet import (  # noqa: E402
    Client,
    Director,
    Fetch,
    Record,
    class_row,
    run_case,
    served,
    settings,
    small_list,
    with_trouble,
)

READ_BYTES_PER_S = 1_000_000.0  # "some clients read at most 1 MB a second"
RECEIVE_BUFFER = 65_536  # of the client's socket
PART_BYTES, PARTS = 240_000, 12
DRAIN_AFTER_S = 0.3
USE_EVERY_S, USE_FOR_S = 0.25, 2.5  # the client goes on using its connection


async def case(record: Record) -> str:
    """An operator drains the director while a client reads its answers slowly."""

    async def answer(fetch: Fetch) -> bytes | None:
        await asyncio.sleep(0.01)
        return served(fetch, b"x" * (PART_BYTES if fetch.fields["profile"] == "video-part" else 100))

    stores, board = small_list(record, answer)
    for one in (*stores, board):
        await one.start()
    rows = [class_row("video-part", "retryable", 6000.0), class_row("question-item", "retryable", 3000.0)]
    director = Director(record, board, settings(rows, [False, False]))
    client = Client(record, read_bytes_per_s=READ_BYTES_PER_S)
    try:
        _, ops = await director.start()
        await client.connect(director.port, RECEIVE_BUFFER)
        parts = [await client.send(client.make("video-part", 6000.0, m="1200")) for _ in range(PARTS)]
        await asyncio.sleep(DRAIN_AFTER_S)
        if with_trouble():
            await director.call(ops, "POST", "/healthcheck/fail")
        await use(client)
        with suppress(TimeoutError):
            await asyncio.wait_for(client.ended.wait(), 6.0)
        record.write(f"connection: {client.end or 'open'}")
        lost = [one for one in parts if not one.answers]
        for one in client.unanswered():
            record.write(f"no answer stream={one.stream} {one.fields['c']}")
        if not lost:
            return ""
        return f"{len(lost)} of {PARTS} requests written before the drain got no answer: {client.end}"
    finally:
        client.close()
        for one in (*stores, board):
            one.stop()
        await director.stop()


async def use(client: Client) -> None:
    """Sends small requests until the client has read that it is to send no more, or its connection ends."""
    for _ in range(int(USE_FOR_S / USE_EVERY_S)):
        if client.asked_to_leave.is_set() or client.ended.is_set():
            return
        with suppress(OSError):
            await client.send(client.make("question-item", 3000.0))
        await asyncio.sleep(USE_EVERY_S)


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
