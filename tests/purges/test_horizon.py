"""What is known since when: the join, what a start makes of its folder and mark, who may vouch, the search over all
interleavings with its planted faults, and feeds on their own sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from harness import until
from hypothesis import given
from hypothesis import strategies as st
from test_feed import TOKEN, feed, run, send

from gladelane.control.http import Refused, fetch
from gladelane.lab.losses import Plant, World, broken, steps
from gladelane.lab.modelcheck import Violation, search
from gladelane.lab.simdisk import SimDisk
from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.horizon import (
    SEEN,
    Folder,
    Foreign,
    Horizon,
    Loss,
    Mark,
    Peer,
    behind,
    check,
    judged,
    vouched_by,
)
from gladelane.purges.index import Index
from gladelane.purges.markfile import BadMark, MarkFile
from gladelane.purges.order import BadPurge
from gladelane.purges.purge_log import PurgeLog

LOSSES = st.lists(
    st.builds(
        lambda issuer, epoch, since: Loss(issuer, epoch, epoch * 10.0, min(since, epoch * 10.0)),
        st.sampled_from("ab"), st.integers(1, 4), st.sampled_from([0.0, 5.0, 15.0, 99.0]),
    ), max_size=6,
)  # fmt: skip


def held(*told: list[Loss]) -> Horizon:
    horizon = Horizon()
    for losses in told:
        horizon.tell(losses, 1e9)
    return horizon


@given(LOSSES, LOSSES, LOSSES)
def test_losses_join_in_any_order_any_number_of_times_and_only_fall(
    one: list[Loss], two: list[Loss], three: list[Loss]
) -> None:
    whole = held(one, two, three)
    assert (
        whole.losses() == held(three, one, two, one).losses() == held(held(two, one).losses(), three).losses()
    )
    assert whole.moment(1e9, 1e12) == max((loss.since_ms for loss in whole.losses()), default=0.0)
    for loss in (*one, *two, *three):
        kept = next(x for x in whole.losses() if (x.issuer, x.epoch) == (loss.issuer, loss.epoch))
        assert kept.since_ms <= loss.since_ms and kept.at_ms == loss.at_ms
    assert not whole.tell(one, 1e9)  # nothing new


def test_a_loss_binds_until_it_is_closed_or_past_the_retention_and_a_clock_ahead_is_not_believed() -> None:
    horizon = held([Loss("a", 1, 1000.0, 1000.0)])
    assert horizon.moment(1500.0, 600.0) == 1000.0 and horizon.moment(1600.0, 600.0) == 0.0
    closed = horizon.close(400.0, "ops")
    assert horizon.close(1000.0, "ops") == [] and horizon.close_own("b", "peers") == []
    seen = held([Loss("a", 1, 9.0, 9.0, SEEN), Loss("a", 2, 9.0, 9.0)])
    assert [loss.epoch for loss in seen.close_own("a", "peers")] == [2] and len(seen.close(0.0, "ops")) == 2
    horizon.tell(closed, 1500.0)
    assert horizon.moment(1500.0, 5000.0) == 400.0 and horizon.open("a")[0].by == "ops"
    horizon.tell([Loss("a", 1, 1000.0, 1000.0)], 1500.0)  # who has not heard tells it open again
    assert horizon.moment(1500.0, 5000.0) == 400.0
    ahead = Horizon()
    ahead.tell([Loss("b", 2, 9e9, 9e9)], 1000.0)
    assert ahead.moment(1000.0, 1e12) == 61_000.0
    horizon.forget(1e9, 1000.0)
    assert not len(horizon)
    for bad in (
        Loss("", 1, 1.0, 1.0),
        Loss("a", 0, 1.0, 1.0),
        Loss("a", 1, 1.0, 2.0),
        Loss("a", 1, 1.0, -1.0),
    ):
        with pytest.raises(BadPurge):
            check(bad)


@pytest.mark.parametrize(
    ("folder", "mark", "first", "lost"),
    [
        (Folder("", 0, {}, True), None, True, ""),
        (Folder("", 0, {}, True), None, False, "nobody said"),
        (
            Folder("", 0, {}, True),
            Mark("a", 5, 0),
            True,
            "the mark is not",
        ),  # a first start that was said for good
        (Folder("a", 5, {("a", 5): 3}, False), Mark("a", 5, 3), False, ""),
        (Folder("a", 5, {("a", 5): 4}, False), Mark("a", 5, 3), False, ""),  # stored, and not answered
        (Folder("a", 5, {("a", 5): 2}, False), Mark("a", 5, 3), False, "purge 2, the mark 5 and 3"),
        (Folder("a", 4, {("a", 4): 2}, False), Mark("a", 5, 0), False, "start 4"),
        (Folder("a", 5, {}, False), None, False, ""),
        (Folder("", 0, {("a", 3): 9}, False), None, False, ""),  # of a version that wrote no starts
    ],
)
def test_what_a_start_makes_of_its_folder_and_its_mark(
    folder: Folder, mark: Mark | None, first: bool, lost: str
) -> None:
    why = judged("a", folder, mark, first)
    assert lost in why and bool(why) == bool(lost)


def test_a_folder_or_a_mark_of_another_feed_is_refused_and_a_spoilt_mark_named(tmp_path: Path) -> None:
    with pytest.raises(Foreign, match="of feed 'b'; expected one of 'a'"):
        judged("a", Folder("b", 1, {}, False), None, True)
    with pytest.raises(Foreign, match="mark is of feed 'b'"):
        judged("a", Folder("", 0, {}, True), Mark("b", 1, 0), True)
    file = MarkFile(tmp_path / "mark")
    assert file.read() is None
    file.write(Mark("a", 7, 2))
    assert file.read() == Mark("a", 7, 2)
    (tmp_path / "mark").write_text("{")
    with pytest.raises(BadMark, match="mark: .*expected a mark"):
        file.read()


def test_others_who_know_more_of_a_feed_show_that_its_folder_is_older() -> None:
    had = {("a", 1): 5, ("b", 2): 1}
    assert not behind("a", 9, had, [(("a", 1), 5), (("a", 9), 3), (("b", 2), 8)])
    assert "purge 1:6" in behind("a", 9, had, [(("a", 1), 6)]) and behind("a", 9, had, [(("a", 3), 1)])
    assert not behind("a", 9, had, [(("a", 1), 6)], 2) and behind(
        "a", 9, had, [(("a", 2), 6)], 2
    )  # said already


def test_peers_vouch_only_where_none_of_them_can_lack_an_answered_purge() -> None:
    whole = Peer(True, "b", 2, False)
    assert vouched_by(2, {"x": whole, "y": whole._replace(name="c")}) == "peers b,c"
    for peers in (
        {},
        {"x": whole._replace(told_all=False)},
        {"x": whole._replace(losing=True)},
        {"x": whole._replace(copies=1)},
        {"x": whole, "y": whole._replace(losing=True)},
    ):
        assert not vouched_by(2, peers)
    assert not vouched_by(1, {"x": whole})


def searched(copies: int, marks: bool, plant: Plant = Plant.NONE, most: int = 5) -> int:
    return search(
        [World(copies, marks, plant)], lambda w: w.key(), lambda w: steps(w, most), broken, most=400_000
    ).states


def test_no_order_of_purges_losses_restarts_and_words_makes_a_director_believe_too_much() -> None:
    """Deeper in `benchmarks.comeback`."""
    assert searched(1, True, most=3) > 5_000 and searched(2, True, most=3) > 5_000


@pytest.mark.parametrize(("plant", "copies"), [
    (Plant.TOLD_ALL, 1), (Plant.SNAPSHOT_FORGETS, 1), (Plant.NEWER, 2), (Plant.SEED_LOWERS, 1), (Plant.ONE_COPY, 1),
    (Plant.EACH_OTHER, 2),
])  # fmt: skip
def test_the_search_finds_each_planted_fault(plant: Plant, copies: int) -> None:
    with pytest.raises(Violation, match="but nobody knows"):
        searched(copies, True, plant)


def test_without_a_mark_two_older_folders_at_once_go_unseen_as_the_page_says() -> None:
    with pytest.raises(Violation, match="older"):
        searched(1, False)


def test_a_snapshot_and_a_log_keep_the_horizon(tmp_path: Path) -> None:
    async def scene() -> None:
        disk = SimDisk()
        async with feed(tmp_path, disk=disk, first=False) as one:
            lost = one.active.horizon.open("a")
            assert len(lost) == 1
            await send(one.port, "group:1")
            await asyncio.to_thread(one.store.log.snapshot, one.active.snapshot())
        async with feed(tmp_path, disk=disk, first=False) as again:  # not empty now, and still in doubt
            assert again.active.horizon.open("a") == lost
            body = json.dumps({"since_ms": 0, "why": "sent again"}).encode()
            await fetch("127.0.0.1", again.port, "POST", "/vouch", TOKEN, body)
            with pytest.raises(Refused, match="no loss is open"):
                await fetch("127.0.0.1", again.port, "POST", "/vouch", TOKEN, body)
        async with feed(tmp_path, disk=disk, first=False) as last:
            assert last.active.horizon.open() == [] and last.active.horizon.losses()[0].by.endswith(
                "sent again"
            )
            told: dict[str, Any] = json.loads(await fetch("127.0.0.1", last.port, "GET", "/status", TOKEN))
            assert told["horizon_ms"] == 0 and len(told["losses"]) == 1

    run(scene())


def test_a_purge_is_answered_once_another_feed_has_it_and_one_that_lost_its_disk_is_made_whole_by_it(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        async with feed(tmp_path, "a", copies=2) as a, feed(tmp_path, "b", copies=2) as b:
            a.follow("127.0.0.1", b.port)
            with pytest.raises(Refused, match="not at 2 feeds yet"):
                await send(a.port, "group:1", "k")
            b.follow("127.0.0.1", a.port)
            assert (await send(a.port, "group:1", "k"))["again"] is True
            await send(a.port, "group:2")
            assert len(b.active) == 2  # before the answer, not after it
            async with feed(tmp_path, "a", first=False, copies=2) as back:
                assert back.active.horizon.open("a")
                back.follow("127.0.0.1", b.port)
                await until(lambda: not back.active.horizon.open())
                assert len(back.active) == 2 and "peers b" in back.active.horizon.losses()[0].by
                await until(lambda: len(b.active.horizon) == 1 or not len(b.active.horizon))
            async with feed(tmp_path, "a", first=False, copies=1) as alone:
                alone.follow("127.0.0.1", b.port)
                await until(lambda: len(alone.active) == 2)
                await asyncio.sleep(0.1)
                assert alone.active.horizon.open("a")  # it may have answered for what nobody heard

    run(scene())


def test_a_folder_that_is_older_is_seen_by_the_mark_or_by_what_others_know(tmp_path: Path) -> None:
    async def scene() -> None:
        disk, mark = SimDisk(), MarkFile(tmp_path / "mark")
        async with feed(tmp_path, "a", disk=disk, mark=mark) as a:
            await send(a.port, "group:1")
            older = disk.copy()
            await send(a.port, "group:2")
            known = list(a.active.beyond({}))
        with_mark = PurgeLog("a", older.copy(), a.tokens, mark=mark)
        assert with_mark.active.horizon.open("a")
        async with feed(tmp_path, "a", disk=older, first=False) as back:
            assert not back.active.horizon.open()
            back.receive([known[0]])  # what its folder had
            assert not back.active.horizon.open()
            back.receive([known[1]])
            assert back.active.horizon.open("a")
            await until(lambda: len(back.active) == 2)

    run(scene())


def test_a_full_disk_at_the_start_binds_all_the_same_and_is_made_up_for(tmp_path: Path) -> None:
    async def scene() -> None:
        disk = SimDisk()
        disk.room = 0
        async with feed(tmp_path, "a", disk=disk, first=False) as a:
            assert a.active.horizon.open("a")
            with pytest.raises(Refused, match="not stored"):
                await send(a.port, "group:1")
            disk.room = 100_000
            await until(lambda: not a.store.owes_start())
        again = PurgeLog("a", disk, a.tokens)
        assert again.active.horizon.open("a") and again.active.start[0] == "a"

    run(scene())


def test_standing_tells_the_moment_with_the_skew() -> None:
    standing = ActivePurges(Index(), skew_ms=50.0)
    assert standing.known_since(2000.0) == 0.0
    standing.horizon.tell([Loss("a", 1, 1000.0, 1000.0)], 2000.0)
    assert standing.known_since(2000.0) == 1050.0
