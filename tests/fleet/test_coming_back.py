"""Hard cases of coming back, each with several real processes of the program: directors and feeds that are killed, stopped,
cut off, and that lose their folders or find older ones."""

from __future__ import annotations

import asyncio
import json
import math
import sys
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import pytest

from benchmarks import comeback
from benchmarks.comeback import AFTER_START_S, time_imports
from gladelane.lab.client import Answer
from gladelane.lab.fake_server import Fault
from gladelane.lab.fleet.client_pool import Pool
from gladelane.lab.fleet.commands import FEED
from gladelane.lab.fleet.day import play
from gladelane.lab.fleet.faults import read_line
from gladelane.lab.fleet.fleet import TOKEN, Fleet
from gladelane.lab.fleet.process import Life
from gladelane.lab.fleet.shape import Shape
from gladelane.lab.fleet.world import World

SAVED = "0 store caches:* save; 0 store hub save; "
FULL_SERVICE_S, REFUSED_SHARE = 6.0, 0.1
REST_IMPORT_S = (
    0.75  # in which a machine at rest imports the program as often as directors are started at once
)
REST_LATE_S = 0.1  # by which clients are late there at most
LEFT_S = 4.7  # in which service can be full again in a run of 8 s: 2 s of it must be seen before its end
MOST_RUNS = 3
SEEDED_S = 30.0  # many times what it takes
BACK = "; 2.1 store caches:* back; 2.1 store hub back"  # with the copies from before the purges


def run(line: str, seconds: float, purges: int = 0, **shape: Any) -> dict[str, Any]:
    figures = asyncio.run(play(line, Shape(**shape), 3, seconds, purges=purges))
    always = {name: figures[name] for name in ("stale_strict", "doubles", "lost", "rules", "pushed_over")}
    assert always == {
        "stale_strict": 0,
        "doubles": 0,
        "lost": 0,
        "rules": [],
        "pushed_over": [],
    }, figures
    assert figures["served"] > 0.5 * figures["asked"], figures
    return figures


class Restart(NamedTuple):
    """A run, and what as many processes took to import the program at once, right before it and right after it."""

    figures: dict[str, Any]
    before_s: float
    after_s: float

    @property
    def is_machine_at_rest(self) -> bool:
        is_fast = max(self.before_s, self.after_s) <= REST_IMPORT_S
        return is_fast and bool(self.figures["clients_late_s"] <= REST_LATE_S)

    @property
    def is_in_time(self) -> bool:
        limit_s = FULL_SERVICE_S + extra_s(self.before_s)
        turned_away = self.figures["refused"] + self.figures["failed"]
        return bool(
            self.figures["full_service_s"] < limit_s and turned_away < REFUSED_SHARE * self.figures["asked"]
        )


def extra_s(import_s: float) -> float:
    """For starts on a machine that is busy: what `benchmarks.comeback` allows there beyond what a run of 8 s allows."""
    limit_s = comeback.Restart(import_s, 0.0).start_limit_s + AFTER_START_S
    return max(limit_s - LEFT_S, 0.0)


def played_restart(line: str, shape: dict[str, Any]) -> Restart:
    before_s = time_imports(shape["directors"])
    figures = run(line, 8.0 + extra_s(before_s), **shape)
    return Restart(figures, before_s, time_imports(shape["directors"]))


@pytest.mark.parametrize(("import_s", "late_s", "full_s", "refused", "is_in_time", "is_at_rest"), [
    (0.75, 0.1, 5.9, 9, True, True), (0.75, 0.1, 6.0, 0, False, True), (0.75, 0.1, 5.9, 10, False, True),
    (0.75, 0.1, math.inf, 0, False, True), (0.5, 0.0, 6.1, 0, False, True),
    (0.75, 0.2, 6.0, 0, False, False), (1.75, 0.1, 6.2, 0, True, False), (1.75, 0.1, 6.4, 0, False, False),
    (1.75, 0.1, math.inf, 0, False, False), (1.75, 0.1, 5.0, 10, False, False),
])  # fmt: skip
def test_a_restart_is_judged_by_one_run_and_its_limits_of_before_on_a_machine_at_rest(
    import_s: float, late_s: float, full_s: float, refused: int, is_in_time: bool, is_at_rest: bool
) -> None:
    figures = {
        "clients_late_s": late_s,
        "full_service_s": full_s,
        "refused": refused,
        "failed": 0,
        "asked": 100,
    }
    restart = Restart(figures, import_s, 0.5)
    assert (restart.is_in_time, restart.is_machine_at_rest) == (is_in_time, is_at_rest)


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
    """How fast they do hangs on the machine: one that was seen to be busy gets more time, and further runs."""
    for _ in range(MOST_RUNS):
        restart = played_restart(line, shape)
        figures = restart.figures
        assert figures["warm"] == warm and figures["failed_starts"] == [] and not any(figures["horizon_open"])
        assert figures["origin_peak_over_usual"] < 3.0
        if restart.is_in_time or restart.is_machine_at_rest:
            break
    assert restart.is_in_time, restart


def test_the_check_of_stale_answers_finds_them_where_losses_are_not_minded() -> None:
    line = SAVED + "0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:* empty" + BACK
    figures = asyncio.run(play(line, Shape(4, lost="serve"), 3, 7.0))
    assert figures["stale_strict"] > 0 and all(figures["horizon_open"]), figures


@pytest.mark.parametrize(("line", "shape", "open_", "standing", "sent_again"), [
    # both empty, no director either: what is lost is said, and strict classes take no copy from before
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:* empty", {}, True, None, False),
    # one of the four directors lives: all purges stand again at both feeds, and may not be all
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 kill directors:1-3 empty", {}, True, 40, True),
    # one feed of two: the other has all that was answered, and says so
    ("0.2 purges 40 for 1; 2 kill feeds:0 empty; 2 kill directors:1-3 empty", {}, False, 40, False),
    # one empty, one older: only its mark shows that
    ("0 save feeds:1; 0.2 purges 40 for 1; 2 kill feeds:0 empty; 2 kill feeds:1 older; 2 kill directors:* empty", {"marks": True}, True, None, False),
    # in the middle of a flood of purges; the origin slow and the hub new on top
    ("0.2 purges 120 for 3; 2 kill feeds:* empty; 2 kill directors:* empty; 2.2 store origin slow for 1; 2.2 store hub renew", {}, True, None, False),
    # half of the directors are cut off from the feeds that came back
    ("0.2 purges 40 for 1; 2 kill feeds:* empty; 2 cut directors:0-1>feeds:* for 3", {}, True, 40, True),
])  # fmt: skip
def test_stored_state_that_is_lost_makes_no_answer_stale(
    line: str, shape: dict[str, Any], open_: bool, standing: int | None, sent_again: bool
) -> None:
    """sent_again: both feeds are emptied while a director lives, which sends them all that they had answered.

    How many that are is told by the purges themselves: beside other work the 40 take longer than the 1.8 s
    before the feeds are killed, and those asked for afterwards are issued by the new starts."""
    figures = run(SAVED + line + BACK, 8.5, **{"directors": 4, **shape})
    assert figures["horizon_open"] == [open_, open_], figures
    # a sender that is refused asks another feed, which makes a purge of its own
    assert standing is None or standing <= min(figures["standing"]) == max(figures["standing"]), figures
    assert standing is None or figures["purges_missing"] == 0, figures
    if sent_again:
        assert figures["reseeded"] >= figures["purges_of_earlier_starts"] > 0, figures
    assert figures["purges"] >= 40
    assert figures["origin_peak"] < 900


@pytest.mark.parametrize(("clocks", "feeds", "line"), [
    (("0:-3600000",), 2, "0.2 purges 30 for 2"),  # wrong from the start; its peer is right
    (("0:-3600000",), 1, "0.2 purges 30 for 2"),  # nobody says so
    (("0:-4000", "0:-4000"), 2, "0.2 purges 30 for 2"),
    (("0:3600000", "0:-3600000"), 2, "0.2 purges 30 for 2"),
    (("4:-3600000,5:3600000,6:-4000,6.5:4000", "4.5:3600000,6:-50"), 2, "0.2 purges 30 for 2"),
    # all directors have them from a feed that was behind when they were away
    (("0:-3600000",), 1, "0.2 purges 30 for 1; 1.5 kill directors:* empty; 1.6 store caches:* back; 1.6 store hub back"),
    (("0:-3600000",), 1, "0.2 purges 30 for 1; 1.5 kill feeds:0 empty; 1.6 store caches:* back; 1.6 store hub back"),
])  # fmt: skip
def test_feeds_whose_clocks_are_wrong_or_stepped_make_no_answer_stale(
    clocks: tuple[str, ...], feeds: int, line: str
) -> None:
    shape = {"directors": 3, "feeds": feeds, "copies": feeds, "feed_clocks": clocks}
    figures = run(SAVED + line, 7.0, 10, **shape)
    assert figures["stale_other"] == 0 and figures["purges"] >= 40, figures
    assert figures["failed"] < 0.02 * figures["asked"], figures


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


async def asked_until_attempted(
    director: Life, fields: dict[str, str], attempts: Callable[[], int]
) -> asyncio.Future[Answer | None]:
    """The request of which an attempt has begun at the origin. One that is refused before any attempt is asked
    again: a director whose process stood still for over 0.1 s sheds load, and nothing is known of the key then."""
    assert director.client is not None
    request: asyncio.Future[Answer | None] | None = None
    async with asyncio.timeout(30.0):
        while not attempts():
            if request is None or request.done():
                request = asyncio.ensure_future(director.client.ask(fields, 3.0))
            await asyncio.sleep(0.005)
    assert request is not None
    return request


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
            attempts = lambda: sum(seen.fields.get("replay") == "5c" * 16 for seen in bank.seen)  # noqa: E731
            first = await asked_until_attempted(one, fields, attempts)
            began = time.monotonic()
            await struck(fleet, "0 kill directors:0 kept")
            assert await first is None
            attempts_before = attempts()
            await bank.set(fleet.world.addresses["bank"], Fault.NONE)
            await asyncio.sleep(max(began + 2.3 - time.monotonic(), 0.0))
            again = Pool(one.port)  # the other was closed: nothing was asked there
            await again.reach()
            answer = await again.ask({**fields, "i": "00000000000000a2"}, 3.0)
            async with asyncio.timeout(30.0):
                while (
                    not kept and attempts() == attempts_before
                ):  # refused for load: see asked_until_attempted
                    answer = await again.ask({**fields, "i": "00000000000000a2"}, 3.0)
            await again.close()
            assert answer is not None
            attempts_after = attempts() - attempts_before
            assert (answer.code == 0, attempts_after) == ((False, 0) if kept else (True, 1))

    asyncio.run(scene())


async def said(*words: str) -> tuple[int, str]:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", FEED, *words, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT
    )
    text = (await process.communicate())[0].decode()
    return process.returncode or 0, text


async def seeded(fleet: Fleet, doors: list[str]) -> bool:
    """Whether all feeds have the purges of before from the director that lived, and all directors know of the
    loss."""
    standing = [await fleet.standing(feed) for feed in fleet.feeds]
    _, text = await said("fleet", "status", "--json", *doors)
    told = json.loads(text)
    return all(standing) and all(told.get(door, {}).get("purges_known_since_ms", 0) > 0 for door in doors)


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
            async with asyncio.timeout(SEEDED_S):
                while not await seeded(fleet, doors):
                    await asyncio.sleep(0.1)
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
