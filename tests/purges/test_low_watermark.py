"""The low watermark: the join of losses, detection at a start, attestations, the search over all interleavings with its
planted faults, and servers on sockets."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import pytest
from harness import wait_until
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

LOSS_LISTS = st.lists(
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


@given(LOSS_LISTS, LOSS_LISTS, LOSS_LISTS)
def test_losses_join_in_any_order_with_repeats_and_never_rise(
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
    assert not merged.merge(one, 1e9)  # no changes


def test_a_loss_applies_until_it_is_closed_or_expires_and_its_time_is_limited() -> None:
    low_watermark = merged_losses([Loss("a", 1, 1000.0, 1000.0)])
    assert low_watermark.value_ms(1500.0, 600.0) == 1000.0 and low_watermark.value_ms(1600.0, 600.0) == 0.0
    closed = low_watermark.attest(400.0, "ops")
    assert low_watermark.attest(1000.0, "ops") == [] and low_watermark.attest_own("b", "peers") == []
    detected = merged_losses([Loss("a", 1, 9.0, 9.0, SEEN_BY_DIRECTOR), Loss("a", 2, 9.0, 9.0)])
    assert [loss.epoch for loss in detected.attest_own("a", "peers")] == [2] and len(
        detected.attest(0.0, "ops")
    ) == 2
    low_watermark.merge(closed, 1500.0)
    assert low_watermark.value_ms(1500.0, 5000.0) == 400.0 and low_watermark.open_losses("a")[0].by == "ops"
    # reported as open by a server that does not know it is closed
    low_watermark.merge([Loss("a", 1, 1000.0, 1000.0)], 1500.0)
    assert low_watermark.value_ms(1500.0, 5000.0) == 400.0
    ahead = LowWatermark()
    ahead.merge([Loss("b", 2, 9e9, 9e9)], 1000.0)
    assert ahead.value_ms(1000.0, 1e12) == 61_000.0
    low_watermark.expire(1e9, 1000.0)
    assert not len(low_watermark)
    for invalid_loss in (
        Loss("", 1, 1.0, 1.0),
        Loss("a", 0, 1.0, 1.0),
        Loss("a", 1, 1.0, 2.0),
        Loss("a", 1, 1.0, -1.0),
    ):
        with pytest.raises(InvalidPurgeError):
            check_loss(invalid_loss)


@pytest.mark.parametrize(
    ("folder", "checkpoint", "is_first_start", "expected"),
    [
        (RecoveredFolder("", 0, {}, True), None, True, ""),
        (RecoveredFolder("", 0, {}, True), None, False, "nobody said"),
        # the option for a first start was left set
        (RecoveredFolder("", 0, {}, True), Checkpoint("a", 5, 0), True, "the mark is not"),
        (RecoveredFolder("a", 5, {("a", 5): 3}, False), Checkpoint("a", 5, 3), False, ""),
        # the last purge was stored, but not acknowledged
        (RecoveredFolder("a", 5, {("a", 5): 4}, False), Checkpoint("a", 5, 3), False, ""),
        (
            RecoveredFolder("a", 5, {("a", 5): 2}, False),
            Checkpoint("a", 5, 3),
            False,
            "purge 2, the mark 5 and 3",
        ),
        (RecoveredFolder("a", 4, {("a", 4): 2}, False), Checkpoint("a", 5, 0), False, "start 4"),
        (RecoveredFolder("a", 5, {}, False), None, False, ""),
        # the folder was written by a version that stored no starts
        (RecoveredFolder("", 0, {("a", 3): 9}, False), None, False, ""),
    ],
)
def test_a_start_detects_a_loss_from_its_folder_and_its_checkpoint(
    folder: RecoveredFolder, checkpoint: Checkpoint | None, is_first_start: bool, expected: str
) -> None:
    reason = detect_loss("a", folder, checkpoint, is_first_start)
    assert expected in reason and bool(reason) == bool(expected)


def test_a_foreign_folder_or_checkpoint_and_an_invalid_checkpoint_are_rejected(tmp_path: Path) -> None:
    with pytest.raises(ForeignFolderError, match="of feed 'b'; expected one of 'a'"):
        detect_loss("a", RecoveredFolder("b", 1, {}, False), None, True)
    with pytest.raises(ForeignFolderError, match="mark is of feed 'b'"):
        detect_loss("a", RecoveredFolder("", 0, {}, True), Checkpoint("b", 1, 0), True)
    checkpoint_file = CheckpointFile(tmp_path / "mark")
    assert checkpoint_file.read() is None
    checkpoint_file.write(Checkpoint("a", 7, 2))
    assert checkpoint_file.read() == Checkpoint("a", 7, 2)
    (tmp_path / "mark").write_text("{")
    with pytest.raises(InvalidCheckpointError, match="mark: .*expected a mark"):
        checkpoint_file.read()


def test_purges_that_only_peers_have_reveal_that_the_folder_of_a_server_is_older() -> None:
    recovered = {("a", 1): 5, ("b", 2): 1}
    assert not detect_older_folder("a", 9, recovered, [(("a", 1), 5), (("a", 9), 3), (("b", 2), 8)])
    assert "purge 1:6" in detect_older_folder("a", 9, recovered, [(("a", 1), 6)]) and detect_older_folder(
        "a", 9, recovered, [(("a", 3), 1)]
    )
    # already part of the known loss
    assert not detect_older_folder("a", 9, recovered, [(("a", 1), 6)], 2) and detect_older_folder(
        "a", 9, recovered, [(("a", 2), 6)], 2
    )


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


def count_states(copies: int, has_checkpoints: bool, plant: Plant = Plant.NONE, max_time: int = 5) -> int:
    return search(
        [World(copies, has_checkpoints, plant)],
        lambda w: w.key(),
        lambda w: steps(w, max_time),
        broken,
        most=400_000,
    ).states


def test_no_interleaving_makes_a_director_assume_a_low_watermark_that_is_too_low() -> None:
    """Purges, losses, restarts and messages in any order must not make a director assume that it knows purges which it
    lacks. `benchmarks.comeback` searches more steps."""
    assert count_states(1, True, max_time=3) > 5_000 and count_states(2, True, max_time=3) > 5_000


@pytest.mark.parametrize(("plant", "copies"), [
    (Plant.FIRST_START, 1), (Plant.SNAPSHOT_FORGETS, 1), (Plant.NEWER, 2), (Plant.SEED_LOWERS, 1), (Plant.ONE_COPY, 1),
    (Plant.EACH_OTHER, 2),
])  # fmt: skip
def test_the_search_finds_each_planted_fault(plant: Plant, copies: int) -> None:
    with pytest.raises(InvariantViolationError, match="but nobody knows"):
        count_states(copies, True, plant)


def test_without_a_checkpoint_two_older_folders_at_once_are_not_detected() -> None:
    with pytest.raises(InvariantViolationError, match="older"):
        count_states(1, False)


def test_a_snapshot_and_a_log_keep_the_low_watermark(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk, is_first_start=False) as purge_server:
            losses = purge_server.active.low_watermark.open_losses("a")
            assert len(losses) == 1
            await send(purge_server.port, "group:1")
            await asyncio.to_thread(purge_server.store.log.snapshot, purge_server.active.snapshot())
        async with running_server(
            tmp_path, disk=disk, is_first_start=False
        ) as restored:  # the folder is no longer empty, but the loss is still open
            assert restored.active.low_watermark.open_losses("a") == losses
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

    run(scenario())


def test_a_purge_is_acknowledged_once_a_peer_has_it_and_a_lost_disk_is_backfilled_by_it(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        async with running_server(tmp_path, "a", copies=2) as a, running_server(tmp_path, "b", copies=2) as b:
            a.subscribe_to_peer("127.0.0.1", b.port)
            with pytest.raises(HttpStatusError, match="not at 2 feeds yet"):
                await send(a.port, "group:1", "k")
            b.subscribe_to_peer("127.0.0.1", a.port)
            assert (await send(a.port, "group:1", "k"))["again"] is True
            await send(a.port, "group:2")
            assert len(b.active) == 2  # replicated before the response
            async with running_server(tmp_path, "a", is_first_start=False, copies=2) as restarted:
                assert restarted.active.low_watermark.open_losses("a")
                restarted.subscribe_to_peer("127.0.0.1", b.port)
                await wait_until(lambda: not restarted.active.low_watermark.open_losses())
                assert (
                    len(restarted.active) == 2 and "peers b" in restarted.active.low_watermark.losses()[0].by
                )
                await wait_until(lambda: len(b.active.low_watermark) == 1 or not len(b.active.low_watermark))
            async with running_server(tmp_path, "a", is_first_start=False, copies=1) as alone:
                alone.subscribe_to_peer("127.0.0.1", b.port)
                await wait_until(lambda: len(alone.active) == 2)
                await asyncio.sleep(0.1)
                # with one copy, it may have acknowledged a purge that no peer received
                assert alone.active.low_watermark.open_losses("a")

    run(scenario())


def test_an_older_folder_is_detected_by_the_checkpoint_or_by_peers(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk, checkpoint_file = SimDisk(), CheckpointFile(tmp_path / "mark")
        async with running_server(tmp_path, "a", disk=disk, checkpoint_file=checkpoint_file) as a:
            await send(a.port, "group:1")
            older_disk = disk.copy()
            await send(a.port, "group:2")
            known = list(a.active.purges_after({}))
        restarted = PurgeLog("a", older_disk.copy(), a.tokens, clock=unix_ms, checkpoint_file=checkpoint_file)
        assert restarted.active.low_watermark.open_losses("a")
        async with running_server(tmp_path, "a", disk=older_disk, is_first_start=False) as restarted:
            assert not restarted.active.low_watermark.open_losses()
            restarted.receive([known[0]])  # contained in its folder
            assert not restarted.active.low_watermark.open_losses()
            restarted.receive([known[1]])
            assert restarted.active.low_watermark.open_losses("a")
            await wait_until(lambda: len(restarted.active) == 2)

    run(scenario())


def test_a_loss_that_a_full_disk_could_not_store_applies_and_is_stored_later(tmp_path: Path) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        disk.capacity_bytes = 0
        async with running_server(tmp_path, "a", disk=disk, is_first_start=False) as a:
            assert a.active.low_watermark.open_losses("a")
            with pytest.raises(HttpStatusError, match="not stored"):
                await send(a.port, "group:1")
            disk.capacity_bytes = 100_000
            await wait_until(lambda: not a.store.has_unsaved_start())
        restored = PurgeLog("a", disk, a.tokens, clock=unix_ms)
        assert restored.active.low_watermark.open_losses("a") and restored.active.start[0] == "a"

    run(scenario())


def test_the_low_watermark_includes_the_skew() -> None:
    active = ActivePurges(Index(), skew_ms=50.0)
    assert active.low_watermark_ms(2000.0) == 0.0
    active.low_watermark.merge([Loss("a", 1, 1000.0, 1000.0)], 2000.0)
    assert active.low_watermark_ms(2000.0) == 1050.0
