"""Hard cases of coming back, each with several real processes of the program: directors and feeds that are killed, stopped,
cut off, and that lose their folders or find older ones."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any

import pytest
from harness import until

from gladelane.lab.fleet.day import play
from gladelane.lab.fleet.faults import read_line
from gladelane.lab.fleet.fleet import FEED, TOKEN, Fleet, Pool, Shape
from gladelane.lab.fleet.world import World
from gladelane.lab.standins import Fault

SAVED = "0 store caches:* save; 0 store hub save; "
BACK = "; 2.1 store caches:* back; 2.1 store hub back"  # with the copies from before the purges


def run(line: str, seconds: float, purges: int = 0, **shape: Any) -> dict[str, Any]:
    figures = asyncio.run(play(line, Shape(**shape), 3, seconds, purges=purges))
    always = {
        name: figures[name] for name in ("stale_strict", "doubles", "lost", "rules_broken", "pushed_over")
    }
    assert always == {
        "stale_strict": 0,
        "doubles": 0,
        "lost": 0,
        "rules_broken": 0,
        "pushed_over": [],
    }, figures
    assert figures["served"] > 0.5 * figures["asked"], figures
    return figures


@pytest.mark.parametrize(("line", "shape", "warm"), [
    ("1 kill directors:* empty", {"directors": 12}, 0),
    ("1 kill directors:90% kept", {"directors": 12}, 11),
    ("0.5 kill directors:0-5; 0.7 kill directors:3-8; 0.9 kill directors:6-11", {"directors": 12}, 12),
    # one of them torn: it is the one that starts cold
    ("0.5 kill directors:0; 1 kill directors:0; 1.5 kill directors:0; 2 kill directors:0; 2.5 kill directors:1 torn", {"directors": 3}, 2),
])  # fmt: skip
def test_directors_that_are_killed_come_back_to_full_service(
    line: str, shape: dict[str, Any], warm: int
) -> None:
    figures = run(line, 8.0, **shape)
    assert figures["warm"] == warm and figures["failed_starts"] == [] and not any(figures["horizon_open"])
    assert (
        figures["full_service_s"] < 6.0 and figures["refused"] + figures["failed"] < 0.1 * figures["asked"]
    ), figures
    assert figures["origin_peak_over_usual"] < 3.0


def test_the_check_of_stale_answers_finds_them_where_losses_are_not_minded() -> None:
    line = SAVED + "0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:* empty" + BACK
    figures = asyncio.run(play(line, Shape(4, lost="serve"), 3, 7.0))
    assert figures["stale_strict"] > 0 and all(figures["horizon_open"]), figures


@pytest.mark.parametrize(("line", "shape", "open_", "standing", "reseeded"), [
    # both empty, no director either: what is lost is said, and strict classes take no copy from before
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:* empty", {}, True, None, 0),
    # one of the four directors lives: all purges stand again at both feeds, and may not be all
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:1-3 empty", {}, True, 40, 40),
    # one feed of two: the other has all that was answered, and says so
    ("0.2 purges 40 for 1; 2 kill feeds:0 empty; 2 kill directors:1-3 empty", {}, False, 40, 0),
    # one empty, one older: only its mark shows that
    ("0 save feeds:1; 0.2 purges 40 for 1; 2 kill feeds:0 empty; 2 kill feeds:1 older; 2 kill directors:* empty", {"marks": True}, True, None, 0),
    # in the middle of a flood of purges; the origin slow and the hub new on top
    ("0.2 purges 120 for 3; 2 kill feeds:* empty; 2 kill directors:* empty; 2.2 store origin slow for 1; 2.2 store hub renew", {}, True, None, 0),
    # half of the directors are cut off from the feeds that came back
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 cut directors:0-1>feeds:* for 3", {}, True, 40, 40),
])  # fmt: skip
def test_stored_state_that_is_lost_makes_no_answer_stale(
    line: str, shape: dict[str, Any], open_: bool, standing: int | None, reseeded: int
) -> None:
    figures = run(SAVED + line + BACK, 8.5, **{"directors": 4, **shape})
    assert figures["horizon_open"] == [open_, open_], figures
    # a sender that is refused asks another feed, which makes a purge of its own
    assert standing is None or standing <= min(figures["standing"]) == max(figures["standing"]), figures
    assert figures["reseeded"] >= reseeded and figures["purges"] >= 40
    assert figures["origin_peak"] < 900


def test_older_folders_without_marks_are_seen_by_the_director_that_lived_and_peers_do_not_vouch() -> None:
    line = (
        SAVED + "0 save feeds:*; 0.2 purges 40 for 1; 2 kill feeds:* older; 2 kill directors:1-3 empty" + BACK
    )
    figures = asyncio.run(play(line, Shape(4), 3, 8.0))
    assert figures["horizon_open"] == [True, True] and min(figures["standing"]) >= 40, figures
    assert figures["doubles"] == figures["lost"] == figures["rules_broken"] == 0


def test_a_feed_refuses_anothers_folder_and_a_folder_that_cannot_be_locked_ends_a_start_with_one_line() -> (
    None
):
    figures = run("1 kill feeds:0 swapped; 1 kill directors:0 readonly", 5.0, 10, directors=3)
    swapped, locked = sorted(figures["failed_starts"], key=lambda text: "feed-1" not in text)
    assert swapped == "gladelane: the folder is of feed 'feed-1'; expected one of 'feed-0', or an empty one"
    assert locked.startswith("gladelane: ") and locked.endswith("director-0/purges/LOCK'")
    assert figures["standing"][0] == -1 and figures["standing"][1] >= 10 and 4 in figures["phases"]


def test_full_disks_and_then_a_kill_lose_no_purge_that_was_answered() -> None:
    line = "0.2 full feeds:* for 2; 0.2 full directors:* for 2; 0.3 purges 20 for 1; 3.5 kill directors:*; 3.5 kill feeds:*"
    figures = run(line, 7.0, 10, directors=4)
    assert (
        min(figures["standing"]) >= 30 and figures["disk_faults"] == 12 and not any(figures["horizon_open"])
    ), figures


def test_directors_back_on_old_folders_while_the_board_is_behind_use_nothing_that_drained_before() -> None:
    line = "0 save directors:*; 0.5 drain caches:0 out; 1 board late for 2; 1.6 kill directors:* older; 2 drain caches:1 out"
    figures = run(line, 6.0, 10, directors=4)
    assert figures["after_drain"] == 0 and figures["warm"] == 4, figures


def test_directors_that_slept_through_purges_and_a_drain_answer_nothing_stale() -> None:
    figures = run(
        "1 stop directors:0-1 for 1.5; 1.2 drain caches:0 out; 1.2 purges 20 for 1", 6.0, 10, directors=4
    )
    assert min(figures["standing"]) >= 30 and figures["served"] > 0.7 * figures["asked"], figures


@asynccontextmanager
async def fleet_of(folder: Path, **shape: Any) -> AsyncIterator[Fleet]:
    world = World()
    fleet = Fleet(folder, world, Shape(**shape), Random(1))
    try:
        await world.start()
        await fleet.start()
        yield fleet
    finally:
        await fleet.close()
        await world.close()


async def struck(fleet: Fleet, line: str) -> None:
    for step in read_line(line, {"directors": len(fleet.directors), "feeds": len(fleet.feeds)}, Random(1)):
        await fleet.strike(step)


@pytest.mark.parametrize("kept", [True, False])
def test_a_key_that_was_tried_is_not_tried_past_its_window_by_the_director_that_came_back(
    tmp_path: Path, kept: bool
) -> None:
    """Without the folder it is: what a killed director was asked before, nobody knows."""

    async def scene() -> None:
        async with fleet_of(tmp_path, directors=1, feeds=0, warm=kept) as fleet:
            one, bank = fleet.directors[0], fleet.world.standins["bank"]
            await bank.set(fleet.world.addresses["bank"], Fault.STALL)
            fields = {"c": "answer-submit", "i": "00000000000000a1", "d": "1500", "o": "00000000000000ff", "chunk": "0", "tag": "1",
                      "m": "4", "k": "5c" * 16}  # fmt: skip
            assert one.client is not None
            first = asyncio.ensure_future(one.client.ask(fields, 3.0))
            tries = lambda: [seen for seen in bank.seen if seen.fields.get("replay") == "5c" * 16]  # noqa: E731
            await until(lambda: len(tries()) == 1)
            began = time.monotonic()
            await struck(fleet, "0 kill directors:0 kept")
            assert await first is None
            await bank.set(fleet.world.addresses["bank"], Fault.NONE)
            await asyncio.sleep(max(began + 2.3 - time.monotonic(), 0.0))
            again = Pool(one.port)  # the other was closed: nothing was asked there
            await again.reach()
            answer = await again.ask({**fields, "i": "00000000000000a2"}, 3.0)
            await again.close()
            assert answer is not None
            assert (answer.code == 0, len(tries())) == ((False, 1) if kept else (True, 2))

    asyncio.run(scene())


async def said(*words: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", FEED, *words, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    text = (await process.communicate())[0].decode()
    return process.returncode or 0, text


def test_the_runbook_for_lost_state_command_by_command(tmp_path: Path) -> None:
    async def scene() -> None:
        async with fleet_of(tmp_path, directors=2, feeds=2) as fleet:
            doors = [f"127.0.0.1:{one.door}" for one in fleet.directors]
            feed = ["--feed", f"127.0.0.1:{fleet.feeds[0].port}", "--tokens", str(tmp_path / "tokens")]
            code, text = await said("purge", "send", "group:3", *feed)
            assert code == 0 and "group:3" in text
            code, text = await said("purge", "vouch", "--all", *feed)
            assert code == 1 and "no loss is open" in text
            await struck(fleet, "0 kill feeds:* empty; 0 kill directors:1 empty")
            await asyncio.sleep(4.0)  # director-0 has seeded the feeds
            code, text = await said("purge", "status", *feed)
            assert code == 0 and "standing: 1" in text and "horizon_ms: 0.0" not in text
            code, text = await said("fleet", "status", "--json", *doors)
            told = json.loads(text)
            assert all(told[door]["purges_known_since_ms"] > 0 for door in doors)
            assert (await said("purge", "vouch", *feed))[0] == 1 and "expected Unix ms" in (
                await said("purge", "vouch", "--since", "noon", *feed)
            )[1]
            code, text = await said("purge", "vouch", "--all", "--why", "ticket 4711", *feed)
            assert code == 0 and text.count("is closed from 0 on") == 2
            for _ in range(60):
                code, text = await said("fleet", "status", *doors)
                if code == 0:
                    break
            assert code == 0 and text.count("full") >= 2 and text.count(" all ") == 2, text
            status = await fleet.status(fleet.feeds[1])
            assert (
                all("lab: ticket 4711" in loss[4] for loss in status["losses"]) and status["horizon_ms"] == 0
            )
            assert TOKEN not in text
            code, text = await said("fleet", "status", doors[0], "127.0.0.1:1")
            assert code == 1 and "no answer" in text

    asyncio.run(scene())
