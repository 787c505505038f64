"""Hard cases of coming back, each with several real processes of the program: directors and feeds that are killed, stopped,
cut off, and that lose their folders or find older ones."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from gladelane.lab.fleet.day import play
from gladelane.lab.fleet.fleet import Shape

SAVED = "0 store caches:* save; 0 store hub save; "
BACK = "; 2.1 store caches:* back; 2.1 store hub back"  # with the copies from before the purges


def run(line: str, seconds: float, purges: int = 0, **shape: Any) -> dict[str, Any]:
    figures = asyncio.run(play(line, Shape(**shape), 3, seconds, purges=purges))
    always = {name: figures[name] for name in ("stale_strict", "doubles", "lost", "rules_broken", "pushed_over")}
    assert always == {"stale_strict": 0, "doubles": 0, "lost": 0, "rules_broken": 0, "pushed_over": []}, figures
    assert figures["served"] > 0.5 * figures["asked"], figures
    return figures


@pytest.mark.parametrize(("line", "shape", "warm"), [
    ("1 kill directors:* empty", {"directors": 12}, 0),
    ("1 kill directors:90% kept", {"directors": 12}, 11),
    ("0.5 kill directors:0-5; 0.7 kill directors:3-8; 0.9 kill directors:6-11", {"directors": 12}, 12),
    # one of them torn: it is the one that starts cold
    ("0.5 kill directors:0; 1 kill directors:0; 1.5 kill directors:0; 2 kill directors:0; 2.5 kill directors:1 torn", {"directors": 3}, 2),
])  # fmt: skip
def test_directors_that_are_killed_come_back_to_full_service(line: str, shape: dict[str, Any], warm: int) -> None:
    figures = run(line, 6.0, **shape)
    assert figures["warm"] == warm and figures["failed_starts"] == [] and not any(figures["horizon_open"])
    assert figures["full_service_s"] < 4.0 and figures["refused"] + figures["failed"] < 0.1 * figures["asked"], figures
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
    line = SAVED + "0 save feeds:*; 0.2 purges 40 for 1; 2 kill feeds:* older; 2 kill directors:1-3 empty" + BACK
    figures = asyncio.run(play(line, Shape(4), 3, 8.0))
    assert figures["horizon_open"] == [True, True] and min(figures["standing"]) >= 40, figures
    assert figures["doubles"] == figures["lost"] == figures["rules_broken"] == 0


def test_a_feed_refuses_anothers_folder_and_a_folder_that_cannot_be_locked_ends_a_start_with_one_line() -> None:
    figures = run("1 kill feeds:0 swapped; 1 kill directors:0 readonly", 5.0, 10, directors=3)
    swapped, locked = sorted(figures["failed_starts"], key=lambda text: "feed-1" not in text)
    assert swapped == "gladelane: the folder is of feed 'feed-1'; expected one of 'feed-0', or an empty one"
    assert locked.startswith("gladelane: ") and locked.endswith("director-0/purges/LOCK'")
    assert figures["standing"][0] == -1 and figures["standing"][1] >= 10 and 4 in figures["phases"]


def test_full_disks_and_then_a_kill_lose_no_purge_that_was_answered() -> None:
    line = "0.2 full feeds:* for 2; 0.2 full directors:* for 2; 0.3 purges 20 for 1; 3.5 kill directors:*; 3.5 kill feeds:*"
    figures = run(line, 7.0, 10, directors=4)
    assert min(figures["standing"]) >= 30 and figures["disk_faults"] == 12 and not any(figures["horizon_open"]), figures


def test_directors_back_on_old_folders_while_the_board_is_behind_use_nothing_that_drained_before() -> None:
    line = "0 save directors:*; 0.5 drain caches:0 out; 1 board late for 2; 1.6 kill directors:* older; 2 drain caches:1 out"
    figures = run(line, 6.0, 10, directors=4)
    assert figures["after_drain"] == 0 and figures["warm"] == 4, figures


def test_directors_that_slept_through_purges_and_a_drain_answer_nothing_stale() -> None:
    figures = run("1 stop directors:0-1 for 1.5; 1.2 drain caches:0 out; 1.2 purges 20 for 1", 6.0, 10, directors=4)
    assert min(figures["standing"]) >= 30 and figures["served"] > 0.7 * figures["asked"], figures
