"""A request that is written slowly while another one is open: it is taken and never answered."""

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
    unix_ms,
    with_trouble,
)

BODY_BYTES = 48_000  # "a single write carries up to 48,000"
WRITE_S = 2.8  # a slow client needs that long for it
PIECES = 56
SLOW_ANSWER_S = 4.0  # of the request that is open meanwhile


async def case(record: Record) -> str:
    """A sheet that is written slowly while another request is open."""

    async def answer(fetch: Fetch) -> bytes | None:
        await asyncio.sleep(SLOW_ANSWER_S if fetch.fields["profile"] == "video-part" else 0.02)
        return served(fetch, b"done")

    stores, board = small_list(record, answer)
    for one in (*stores, board):
        await one.start()
    rows = [
        class_row("video-part", "retryable", 6000.0, aim_ms=5000.0),
        class_row("answer-submit", "dedup", 3000.0, window_ms=2000.0, value=3.0),
    ]
    director = Director(record, board, settings(rows, [False, True]))
    client = Client(record)
    try:
        await director.start()
        await client.connect(director.port)
        await client.send(client.make("video-part", 6000.0))
        sheet = client.make("answer-submit", 3000.0, b"s" * BODY_BYTES, k="5c0f6e1a2b3d4c59a8b7c6d5e4f30211")
        data = sheet.encode()
        pieces = PIECES if with_trouble() else 1
        size = -(-len(data) // pieces)
        start_ms = unix_ms()
        for number in range(pieces):
            await client.write(data[number * size : (number + 1) * size])
            if number < pieces - 1:
                await asyncio.sleep(WRITE_S / pieces)
        client.sent(sheet)
        record.write(f"the sheet took {unix_ms() - start_ms:.0f} ms to write")
        await asyncio.sleep(0.2)
        last = await client.send(client.make("answer-submit", 3000.0, b"short", k="1" * 32))  # at once
        await client.has_answer(sheet, 3000.0 + 500.0)
        with suppress(TimeoutError):
            await asyncio.wait_for(client.ended.wait(), 4.0)
        record.write(f"connection: {client.end or 'open'}, answers on stream 0: {client.errors}")
        lost = [one for one in (sheet, last) if not one.answers]
        for one in lost:
            record.write(f"no answer stream={one.stream} {one.fields['c']} body={len(one.body)}")
        if not lost:
            return ""
        return f"{len(lost)} of 3 requests written whole got no answer; connection {client.end or 'open'}"
    finally:
        client.close()
        for one in (*stores, board):
            one.stop()
        await director.stop()


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
