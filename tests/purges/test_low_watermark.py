"""The low watermark: the join of losses, what a start detects, who may attest, the search over all interleavings with
its planted faults, and servers on their own sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from harness import until
from hypothesis import given
from hypothesis import strategies as st
from test_purge_log import TOKEN, run, running_server, send, unix_ms

from gladelane.control_plane.http import HttpStatusError, fetch
from gladelane.lab.losses import Plant, World, broken, steps
from gladelane.lab.modelcheck import InvariantViolationError, search
from gladelane.lab.simdisk import SimDisk
from gladelane.purges.active_purges import ActivePurges
from gladelane.purges.checkpoint_file import CheckpointFile, InvalidCheckpointError
from gladelane.purges.index import Index
from gladelane.purges.loss_detection import (
    Checkpoint,
    ForeignFolderError,
    PeerState,
    RecoveredFolder,
    attesting_peers,
    detect_loss,
    detect_older_folder,
)
from gladelane.purges.low_watermark import SEEN_BY_DIRECTOR, Loss, LowWatermark, check_loss
from gladelane.purges.purge import InvalidPurgeError
from gladelane.purges.purge_log import PurgeLog

LOSSES = st.lists(
    st.builds(
        lambda issuer, epoch, since: Loss(issuer, epoch, epoch * 10.0, min(since, epoch * 10.0)),
        st.sampled_from("ab"), st.integers(1, 4), st.sampled_from([0.0, 5.0, 15.0, 99.0]),
    ), max_size=6,
)  # fmt: skip


def merged_losses(*reports: list[Loss]) -> LowWatermark:
    low_watermark = LowWatermark()
    for losses in reports:
        low_watermark.merge(losses, 1e9)
    return low_watermark


@given(LOSSES, LOSSES, LOSSES)
def test_losses_join_in_any_order_any_number_of_times_and_only_fall(
    one: list[Loss], two: list[Loss], three: list[Loss]
) -> None:
    merged = merged_losses(one, two, three)
    assert (
        merged.losses()
        == merged_losses(three, one, two, one).losses()
        == merged_losses(merged_losses(two, one).losses(), three).losses()
    )
    assert merged.value_ms(1e9, 1e12) == max((loss.since_ms for loss in merged.losses()), default=0.0)
    for loss in (*one, *two, *three):
        recovered = next(x for x in merged.losses() if (x.issuer, x.epoch) == (loss.issuer, loss.epoch))
        assert recovered.since_ms <= loss.since_ms and recovered.at_ms == loss.at_ms
    assert not merged.merge(one, 1e9)  # nothing new


def test_a_loss_binds_until_it_is_closed_or_past_the_retention_and_a_clock_ahead_is_not_believed() -> None:
    low_watermark = merged_losses([Loss("a", 1, 1000.0, 1000.0)])
    assert low_watermark.value_ms(1500.0, 600.0) == 1000.0 and low_watermark.value_ms(1600.0, 600.0) == 0.0
    closed = low_watermark.attest(400.0, "ops")
    assert low_watermark.attest(1000.0, "ops") == [] and low_watermark.attest_own("b", "peers") == []
    seen = merged_losses([Loss("a", 1, 9.0, 9.0, SEEN_BY_DIRECTOR), Loss("a", 2, 9.0, 9.0)])
    assert [loss.epoch for loss in seen.attest_own("a", "peers")] == [2] and len(seen.attest(0.0, "ops")) == 2
    low_watermark.merge(closed, 1500.0)
    assert low_watermark.value_ms(1500.0, 5000.0) == 400.0 and low_watermark.open_losses("a")[0].by == "ops"
    low_watermark.merge([Loss("a", 1, 1000.0, 1000.0)], 1500.0)  # who has not heard tells it open again
    assert low_watermark.value_ms(1500.0, 5000.0) == 400.0
    ahead = LowWatermark()
    ahead.merge([Loss("b", 2, 9e9, 9e9)], 1000.0)
    assert ahead.value_ms(1000.0, 1e12) == 61_000.0
    low_watermark.expire(1e9, 1000.0)
    assert not len(low_watermark)
    for bad in (
        Loss("", 1, 1.0, 1.0),
        Loss("a", 0, 1.0, 1.0),
        Loss("a", 1, 1.0, 2.0),
        Loss("a", 1, 1.0, -1.0),
    ):
        with pytest.raises(InvalidPurgeError):
            check_loss(bad)


@pytest.mark.parametrize(
    ("folder", "mark", "first", "lost"),
    [
        (RecoveredFolder("", 0, {}, True), None, True, ""),
        (RecoveredFolder("", 0, {}, True), None, False, "nobody said"),
        (
            RecoveredFolder("", 0, {}, True),
            Checkpoint("a", 5, 0),
            True,
            "the mark is not",
        ),  # a first start that was said for good
        (RecoveredFolder("a", 5, {("a", 5): 3}, False), Checkpoint("a", 5, 3), False, ""),
        (
            RecoveredFolder("a", 5, {("a", 5): 4}, False),
            Checkpoint("a", 5, 3),
            False,
            "",
        ),  # stored, and not answered
        (
            RecoveredFolder("a", 5, {("a", 5): 2}, False),
            Checkpoint("a", 5, 3),
            False,
            "purge 2, the mark 5 and 3",
        ),
        (RecoveredFolder("a", 4, {("a", 4): 2}, False), Checkpoint("a", 5, 0), False, "start 4"),
        (RecoveredFolder("a", 5, {}, False), None, False, ""),
        (RecoveredFolder("", 0, {("a", 3): 9}, False), None, False, ""),  # of a version that wrote no starts
    ],
)
def test_a_start_detects_a_loss_from_its_folder_and_its_checkpoint(
    folder: RecoveredFolder, mark: Checkpoint | None, first: bool, lost: str
) -> None:
    why = detect_loss("a", folder, mark, first)
    assert lost in why and bool(why) == bool(lost)


def test_a_foreign_folder_or_checkpoint_is_rejected_and_an_invalid_checkpoint_named(tmp_path: Path) -> None:
    with pytest.raises(ForeignFolderError, match="of feed 'b'; expected one of 'a'"):
        detect_loss("a", RecoveredFolder("b", 1, {}, False), None, True)
    with pytest.raises(ForeignFolderError, match="mark is of feed 'b'"):
        detect_loss("a", RecoveredFolder("", 0, {}, True), Checkpoint("b", 1, 0), True)
    file = CheckpointFile(tmp_path / "mark")
    assert file.read() is None
    file.write(Checkpoint("a", 7, 2))
    assert file.read() == Checkpoint("a", 7, 2)
    (tmp_path / "mark").write_text("{")
    with pytest.raises(InvalidCheckpointError, match="mark: .*expected a mark"):
        file.read()


def test_peers_that_know_more_of_a_server_reveal_that_its_folder_is_older() -> None:
    had = {("a", 1): 5, ("b", 2): 1}
    assert not detect_older_folder("a", 9, had, [(("a", 1), 5), (("a", 9), 3), (("b", 2), 8)])
    assert "purge 1:6" in detect_older_folder("a", 9, had, [(("a", 1), 6)]) and detect_older_folder(
        "a", 9, had, [(("a", 3), 1)]
    )
    assert not detect_older_folder("a", 9, had, [(("a", 1), 6)], 2) and detect_older_folder(
        "a", 9, had, [(("a", 2), 6)], 2
    )  # said already


def test_peers_attest_only_if_none_of_them_can_lack_an_acknowledged_purge() -> None:
    complete = PeerState(True, "b", 2, False)
    assert attesting_peers(2, {"x": complete, "y": complete._replace(name="c")}) == "peers b,c"
    for peers in (
        {},
        {"x": complete._replace(has_sent_all=False)},
        {"x": complete._replace(has_open_loss=True)},
        {"x": complete._replace(copies=1)},
        {"x": complete, "y": complete._replace(has_open_loss=True)},
    ):
        assert not attesting_peers(2, peers)
    assert not attesting_peers(1, {"x": complete})


def searched(copies: int, marks: bool, plant: Plant = Plant.NONE, most: int = 5) -> int:
    return search(
        [World(copies, marks, plant)], lambda w: w.key(), lambda w: steps(w, most), broken, most=400_000
    ).states


def test_no_order_of_purges_losses_restarts_and_words_makes_a_director_believe_too_much() -> None:
    """Deeper in `benchmarks.comeback`."""
    assert searched(1, True, most=3) > 5_000 and searched(2, True, most=3) > 5_000


@pytest.mark.parametrize(("plant", "copies"), [
    (Plant.FIRST_START, 1), (Plant.SNAPSHOT_FORGETS, 1), (Plant.NEWER, 2), (Plant.SEED_LOWERS, 1), (Plant.ONE_COPY, 1),
    (Plant.EACH_OTHER, 2),
])  # fmt: skip
def test_the_search_finds_each_planted_fault(plant: Plant, copies: int) -> None:
    with pytest.raises(InvariantViolationError, match="but nobody knows"):
        searched(copies, True, plant)


def test_without_a_checkpoint_two_older_folders_at_once_go_unseen_as_the_page_says() -> None:
    with pytest.raises(InvariantViolationError, match="older"):
        searched(1, False)


def test_a_snapshot_and_a_log_keep_the_low_watermark(tmp_path: Path) -> None:
    async def scene() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk, is_first_start=False) as one:
            lost = one.active.low_watermark.open_losses("a")
            assert len(lost) == 1
            await send(one.port, "group:1")
            await asyncio.to_thread(one.store.log.snapshot, one.active.snapshot())
        async with running_server(
            tmp_path, disk=disk, is_first_start=False
        ) as restored:  # not empty now, and still in doubt
            assert restored.active.low_watermark.open_losses("a") == lost
            body = json.dumps({"since_ms": 0, "why": "sent again"}).encode()
            await fetch("127.0.0.1", restored.port, "POST", "/vouch", TOKEN, body)
            with pytest.raises(HttpStatusError, match="no loss is open"):
                await fetch("127.0.0.1", restored.port, "POST", "/vouch", TOKEN, body)
        async with running_server(tmp_path, disk=disk, is_first_start=False) as last:
            assert last.active.low_watermark.open_losses() == [] and last.active.low_watermark.losses()[
                0
            ].by.endswith("sent again")
            status: dict[str, Any] = json.loads(await fetch("127.0.0.1", last.port, "GET", "/status", TOKEN))
            assert status["horizon_ms"] == 0 and len(status["losses"]) == 1

    run(scene())


def test_a_purge_is_acknowledged_once_a_peer_has_it_and_a_lost_disk_is_backfilled_by_it(
    tmp_path: Path,
) -> None:
    async def scene() -> None:
        async with running_server(tmp_path, "a", copies=2) as a, running_server(tmp_path, "b", copies=2) as b:
            a.follow("127.0.0.1", b.port)
            with pytest.raises(HttpStatusError, match="not at 2 feeds yet"):
                await send(a.port, "group:1", "k")
            b.follow("127.0.0.1", a.port)
            assert (await send(a.port, "group:1", "k"))["again"] is True
            await send(a.port, "group:2")
            assert len(b.active) == 2  # before the answer, not after it
            async with running_server(tmp_path, "a", is_first_start=False, copies=2) as back:
                assert back.active.low_watermark.open_losses("a")
                back.follow("127.0.0.1", b.port)
                await until(lambda: not back.active.low_watermark.open_losses())
                assert len(back.active) == 2 and "peers b" in back.active.low_watermark.losses()[0].by
                await until(lambda: len(b.active.low_watermark) == 1 or not len(b.active.low_watermark))
            async with running_server(tmp_path, "a", is_first_start=False, copies=1) as alone:
                alone.follow("127.0.0.1", b.port)
                await until(lambda: len(alone.active) == 2)
                await asyncio.sleep(0.1)
                assert alone.active.low_watermark.open_losses(
                    "a"
                )  # it may have answered for what nobody heard

    run(scene())


def test_an_older_folder_is_detected_by_the_checkpoint_or_by_peers(tmp_path: Path) -> None:
    async def scene() -> None:
        disk, mark = SimDisk(), CheckpointFile(tmp_path / "mark")
        async with running_server(tmp_path, "a", disk=disk, checkpoint_file=mark) as a:
            await send(a.port, "group:1")
            older = disk.copy()
            await send(a.port, "group:2")
            known = list(a.active.purges_after({}))
        with_mark = PurgeLog("a", older.copy(), a.tokens, clock=unix_ms, checkpoint_file=mark)
        assert with_mark.active.low_watermark.open_losses("a")
        async with running_server(tmp_path, "a", disk=older, is_first_start=False) as back:
            assert not back.active.low_watermark.open_losses()
            back.receive([known[0]])  # what its folder had
            assert not back.active.low_watermark.open_losses()
            back.receive([known[1]])
            assert back.active.low_watermark.open_losses("a")
            await until(lambda: len(back.active) == 2)

    run(scene())


def test_a_full_disk_at_the_start_binds_all_the_same_and_is_made_up_for(tmp_path: Path) -> None:
    async def scene() -> None:
        disk = SimDisk()
        disk.capacity_bytes = 0
        async with running_server(tmp_path, "a", disk=disk, is_first_start=False) as a:
            assert a.active.low_watermark.open_losses("a")
            with pytest.raises(HttpStatusError, match="not stored"):
                await send(a.port, "group:1")
            disk.capacity_bytes = 100_000
            await until(lambda: not a.store.has_unsaved_start())
        restored = PurgeLog("a", disk, a.tokens, clock=unix_ms)
        assert restored.active.low_watermark.open_losses("a") and restored.active.start[0] == "a"

    run(scene())


def test_the_low_watermark_includes_the_skew() -> None:
    active = ActivePurges(Index(), skew_ms=50.0)
    assert active.low_watermark_ms(2000.0) == 0.0
    active.low_watermark.merge([Loss("a", 1, 1000.0, 1000.0)], 2000.0)
    assert active.low_watermark_ms(2000.0) == 1050.0
