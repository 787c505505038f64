"""A client that reads slowly: its connection counts as idle, and a reset destroys its answers."""

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

READ_BYTES_PER_S = 200_000.0  # "some clients read at most 1 MB a second"
USUAL_BYTES_PER_S = 20_000_000.0
RECEIVE_BUFFER = 65_536  # of the client's socket
PART_BYTES, PARTS = 200_000, 8
PAUSE_S = 5.2  # until the client sends its next request; it reads all the time


async def case(record: Record) -> str:
    """A client asks for eight parts at once, reads them slowly, and asks for one more meanwhile."""

    async def answer(fetch: Fetch) -> bytes | None:
        await asyncio.sleep(0.01)
        return served(fetch, b"x" * (PART_BYTES if fetch.fields["profile"] == "video-part" else 100))

    stores, board = small_list(record, answer)
    for one in (*stores, board):
        await one.start()
    rows = [class_row("video-part", "retryable", 6000.0), class_row("question-item", "retryable", 3000.0)]
    director = Director(record, board, settings(rows, [False, False]))
    client = Client(record, read_bytes_per_s=READ_BYTES_PER_S if with_trouble() else USUAL_BYTES_PER_S)
    try:
        await director.start()
        await client.connect(director.port, RECEIVE_BUFFER)
        parts = [await client.send(client.make("video-part", 6000.0, m="1200")) for _ in range(PARTS)]
        for _ in range(3):
            await asyncio.sleep(PAUSE_S / 3 if with_trouble() else 0.5)
        with suppress(OSError):
            await client.send(client.make("question-item", 3000.0))
        with suppress(TimeoutError):
            await asyncio.wait_for(client.ended.wait(), 10.0)
        record.write(f"connection: {client.end or 'open'}")
        lost = [one for one in parts if not one.answers]
        for one in client.unanswered():
            record.write(f"no answer stream={one.stream} {one.fields['c']}")
        if not lost:
            return ""
        return f"{len(lost)} of {PARTS} requests got no whole answer: {client.end}"
    finally:
        client.close()
        for one in (*stores, board):
            one.stop()
        await director.stop()


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
