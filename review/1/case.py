"""A new configuration that lacks a key of a class is taken, and a keyed request then runs in two cells."""

# ruff: noqa: D103, C901, PLR0915

from __future__ import annotations

import asyncio
import copy
import secrets
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand"))
from harness import (
    TROUBLE,
    Answer,
    Attempt,
    Board,
    Case,
    Client,
    class_row,
    free_port,
    request_fields,
    run_case,
    settings,
    stats,
    unix_ms,
)  # fmt: skip

REQUESTS = 20
SETTLE_S = 2.5  # clients name the new settings 1.2 s after SIGHUP; by then only one file is in force
DEADLINE_MS = 1500.0


async def play(case: Case) -> str:
    record = case.record
    runs: dict[str, list[tuple[str, int]]] = {}  # by key: the caches that ran it, with their cell

    async def cache(attempt: Attempt) -> Answer:
        """Drops a key that its cell has seen; else runs it, and answers 'error' (it may have run)."""
        store = next(s for s in case.stores if attempt in s.attempts)
        key = attempt.fields.get("replay", "")
        if any(cell == store.cell for _, cell in runs.get(key, [])):
            return f"served digest=aa,dated={unix_ms():.0f},remark=f", b"done before"
        runs.setdefault(key, []).append((store.name, store.cell))
        record(f"{store.name} RUNS key={key} cell={store.cell}")
        await asyncio.sleep(0.01)
        return "crashed -", b""

    async def source(_: Attempt) -> Answer:
        return f"served digest=aa,dated={unix_ms():.0f},remark=h", b"content"

    caches = [await case.store(f"cache-{n}", "standard", cache, cell=n % 2) for n in range(4)]
    parent, origin = await case.store("hub-1", "parent", source), await case.store("bank", "origin", source)
    board = await Board().start()
    board.tell_list([*caches, parent, origin])
    values = settings(
        [
            class_row("video-part", "retryable", 6000.0),
            class_row("answer-submit", "dedup", 3000.0, group="cell", window_ms=2000.0),
        ],
        pass_on=[False, True],
    )
    values["family_info"]["straight"] = False  # requests go through a cache
    listen, ops = free_port(), free_port()
    config = case.write_config(board, listen, values)
    director = await case.director(config, listen, ops)
    await asyncio.sleep(1.0)  # SIGHUP never comes in the first second
    if TROUBLE:
        lacking = copy.deepcopy(values)
        del lacking["classes"][1]["group"]
        case.write_config(board, listen, lacking)
        director.signal(signal.SIGHUP)
        record("SIGHUP: the new file lacks settings.classes[1].group")
    await asyncio.sleep(SETTLE_S)
    figures = await stats(ops)
    record(f"reconfig_ok={figures.get('reconfig_ok')} reconfig_failed={figures.get('reconfig_failed')}")

    client = await Client.to(listen, record)
    for _ in range(REQUESTS):
        key = secrets.token_hex(16)
        fields = request_fields("answer-submit", DEADLINE_MS, k=key)
        record(f"client sends id={fields['i']} key={key}")
        final = await client.answer(client.send(fields, b"sheet"), 3.0)
        record(f"client gets id={fields['i']} {final.word if final else 'nothing'}")
    client.close()
    if not runs:
        return ""
    twice = {key: where for key, where in runs.items() if len({cell for _, cell in where}) > 1}
    record(f"keys run={len(runs)} run in two cells={len(twice)}")
    if twice:
        key, where = next(iter(twice.items()))
        return f"{len(twice)} of {len(runs)} keyed requests ran in two cells, such as key {key} at {where}"
    return ""


if __name__ == "__main__":
    run_case(__file__, play)
