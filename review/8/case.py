"""New settings and a new version within a second: the new process forgets that the old effect still binds."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "stand_2"))

from fleet import (  # noqa: E402
    FAILED,
    Client,
    Director,
    Fetch,
    Record,
    Store,
    class_row,
    reply,
    run_case,
    served,
    settings,
    small_list,
    unix_ms,
    with_trouble,
)

SWITCH_MS = 1200.0  # after SIGHUP, clients use the new settings; until then the old ones
EVERY_S, FOR_S = 0.02, 1.15
ERROR_EVERY = 4  # of so many requests, one ends in an error at the origin, which has run it


def rows(effect: str) -> list[dict[str, object]]:
    """The classes, with this effect of `answer-submit`."""
    return [
        class_row("question-item", "retryable", 3000.0),
        class_row("answer-submit", effect, 3000.0, value=3.0),
    ]


async def case(record: Record) -> str:
    """New settings, and at once a new version beside the old one."""

    async def answer(fetch: Fetch) -> bytes | None:
        await asyncio.sleep(0.02)
        if fetch.fields["profile"] == "answer-submit" and int(fetch.id, 16) % ERROR_EVERY == 0:
            return reply(fetch, "crashed")
        return served(fetch, b"done")

    stores, board = small_list(record, answer)
    for one in (*stores, board):
        await one.start()
    director = Director(record, board, settings(rows("fragile"), [False, True]))
    clients: list[Client] = []
    try:
        old, _ = await director.start()
        await asyncio.sleep(1.5)
        if with_trouble():
            director.config["settings"] = settings(rows("retryable"), [False, True])
            director.write_config()
            director.signal(old, signal.SIGHUP)
        hup_ms = unix_ms()
        upgrade = asyncio.ensure_future(replace(director, old))
        while unix_ms() - hup_ms < FOR_S * 1000.0:
            client = Client(record, f"client-{len(clients)}")
            clients.append(client)
            await client.connect(director.port)
            await client.send(client.make("answer-submit", 3000.0, b"sheet"))
            await asyncio.sleep(EVERY_S)
        new_ready_ms = await upgrade - hup_ms
        await asyncio.sleep(1.5)
        record.write(f"the new process was ready {new_ready_ms:.0f} ms after SIGHUP")
        return judge(record, stores[2], clients, hup_ms)
    finally:
        for client in clients:
            client.close()
        for one in (*stores, board):
            one.stop()
        await director.stop()


async def replace(director: Director, old: asyncio.subprocess.Process) -> float:
    """Starts `run` a second time, and ends the old process once the new one takes clients."""
    await director.start()
    director.signal(old, signal.SIGTERM)
    return unix_ms()


def judge(record: Record, bank: Store, clients: list[Client], hup_ms: float) -> str:
    """For `fragile`: a further attempt only if each earlier one is proven never to have run."""
    twice = 0
    for client in clients:
        request = client.requests[1]
        times = [one.arrived_ms for one in bank.fetches if one.id == request.fields["i"]]
        if len(times) > 1 and request.written_ms - hup_ms < SWITCH_MS:
            twice += 1
            after = [round(one - times[0]) for one in times]
            record.write(f"{client.name}: run {len(times)} times, after ms={after}, "
                         f"written {request.written_ms - hup_ms:.0f} ms after SIGHUP")  # fmt: skip
    served_count = sum(any(a[1] != FAILED for a in c.requests[1].answers) for c in clients)
    record.write(f"requests={len(clients)} served={served_count}")
    return f"{twice} of {len(clients)} requests that must not run twice ran twice" if twice else ""


if __name__ == "__main__":
    sys.exit(run_case(HERE, case))
