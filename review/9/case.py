"""An answer that is under way when its object is purged is passed on after the stated delay."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_2"))

from fleet import (  # noqa: E402
    SERVED,
    CannotRunError,
    Client,
    Director,
    Feed,
    Fetch,
    Link,
    Record,
    Request,
    class_row,
    reply,
    run_case,
    settings,
    small_list,
    unix_ms,
    with_trouble,
)

DELAY_MS, SLACK_MS = 2000.0, 50.0  # the stated delay; by how much time limits are longer on sockets
DEADLINE_MS = 6000.0
SENDING_S = 0.3  # a part of this class takes 0.3 to 0.49 s to send
PARTITION_S = 4.0  # the pages have 6 s
OBJECT = "7f3a9c21e0b4d655"


async def case(record: Record) -> str:
    """A cache is cut off while it answers; meanwhile an operator purges the object."""
    copies: dict[str, float] = {}  # the date of the copy, by store

    async def answer(fetch: Fetch) -> bytes | None:
        """Serves the copy if it is not older than `accept`, else one that the origin gives out now."""
        name, accept = fetch.store.name, float(fetch.fields.get("accept", 0.0))
        if name not in copies or (accept and unix_ms() - copies[name] > accept):
            copies[name] = unix_ms()
        dated = int(copies[name])
        await asyncio.sleep(SENDING_S)
        return reply(fetch, "served", f"digest=d{dated},dated={dated},remark=h", str(dated).encode())

    link = Link()
    stores, board = small_list(record, answer, link)
    for one in (*stores, board, link):
        await one.start()
    values = settings([class_row("video-part", "retryable", DEADLINE_MS)], [False], may_duplicate=False)
    director = Director(record, board, values)
    feed = Feed(record, director.folder)
    client = Client(record)
    try:
        await feed.start()
        follow(director, feed)
        _, ops = await director.start()
        await client.connect(director.port)
        if not await served(client, await ask(client)):
            raise CannotRunError("the first request is not served")
        await asyncio.sleep(0.5)
        request = await ask(client)
        await asyncio.sleep(SENDING_S / 2)
        if with_trouble():
            record.write("the cache is cut off")
            link.cut()
        await asyncio.sleep(SENDING_S / 2 + 0.2)
        status, text = await feed.purge(f"object:{OBJECT}", "ticket-1")
        yes_ms = unix_ms()
        if status != 200:
            raise CannotRunError("the purge is not taken")
        await asyncio.sleep(0.2)
        if await director.figure(ops, "purges_standing") != 1.0:
            raise CannotRunError("the director does not know the purge")
        await asyncio.sleep(PARTITION_S - 0.2)
        record.write("the cache is back")
        link.mend()
        dated = await served(client, request)
        return judge(record, request, dated, float(json.loads(text)["at_ms"]), yes_ms)
    finally:
        client.close()
        for one in (*stores, board, link):
            one.stop()
        await feed.stop()
        await director.stop()


def follow(director: Director, feed: Feed) -> None:
    """Writes the operator's file, by which the director follows the feed."""
    path = director.folder / "operator.json5"
    purges = {"feeds": [f"127.0.0.1:{feed.port}"], "token_file": str(feed.token_file)}
    path.write_text(json.dumps({"purges": {**purges, "delay_ms": DELAY_MS, "strict": ["video-part"]}}))
    director.env["GW_OPERATOR"] = str(path)


async def ask(client: Client) -> Request:
    """Asks for a part of the object."""
    return await client.send(client.make("video-part", DEADLINE_MS, o=OBJECT))


async def served(client: Client, request: Request) -> float:
    """The date of the copy that a request is served from; 0 if it is not served."""
    if not await client.has_answer(request, DEADLINE_MS + 500.0):
        return 0.0
    _, code, body = request.answers[0]
    return float(body) if code == SERVED else 0.0


def judge(record: Record, request: Request, dated: float, purged_ms: float, yes_ms: float) -> str:
    """From the stated delay on, no answer comes from a copy older than the purge."""
    if not request.answers:
        return ""
    late_ms = request.answers[0][0] - yes_ms - DELAY_MS
    record.write(f"copy dated {dated:.0f}, purged {purged_ms:.0f}, {late_ms:.0f} ms after the stated delay")
    if 0.0 < dated < purged_ms and late_ms > SLACK_MS:
        return f"an answer from an older copy came {late_ms:.0f} ms after the stated delay"
    return ""


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
