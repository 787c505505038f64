"""Disk faults below a server and below a director: what was acknowledged survives, what others sent is not skipped, each
fault is logged once, and everything is stored after it without a restart."""

from __future__ import annotations

import asyncio
import errno
import json
from pathlib import Path

import pytest
from disk_faults import FAULTS, disks_after_crash, fault, has_one_outage_logged
from harness import until
from test_clocks import options
from test_purge_log import TOKEN, running_server, send, tokens, unix_ms

from gladelane.control_plane.http import HttpStatusError, fetch
from gladelane.lab.simdisk import EVERY_OPERATION, Crash, Fault, Operation, SimDisk
from gladelane.purges import checkpoint_file, log_compaction
from gladelane.purges.checkpoint_file import CheckpointFile
from gladelane.purges.entries import NewPurge
from gladelane.purges.index import Index
from gladelane.purges.loss_detection import Checkpoint
from gladelane.purges.purge import Purge
from gladelane.purges.purge_log import PurgeLog
from gladelane.purges.subscription import PurgeSubscription
from gladelane.purges.subscription_store import SubscriptionStore

HOUR_MS = 3_600_000.0
WAIT_S = 30.0  # many times what it takes


async def is_taking(port: int) -> bool:
    status = json.loads(await fetch("127.0.0.1", port, "GET", "/status", TOKEN))
    return bool(status["takes"])


def names(log: PurgeLog) -> set[str]:
    return {purge.scope for purge in log.active.purges_after({})}


@pytest.mark.parametrize("kind", FAULTS)
def test_a_server_rejects_while_its_disk_fails_and_accepts_after_it_without_a_restart(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk) as one:
            await send(one.port, "group:1")
            disk.fault = FAULTS[kind]
            for group in (2, 3):
                with pytest.raises(HttpStatusError, match="not stored") as refused:
                    await send(one.port, f"group:{group}", f"key-{group}")
                assert refused.value.status == 507
            assert not await is_taking(one.port) and names(one) == {"group:1"}
            disk.fault = None
            await until(lambda: one.store.can_store, WAIT_S)  # nobody asks for anything meanwhile
            assert await is_taking(one.port)
            assert (await send(one.port, "group:2", "key-2"))["seq"] == 2
            for found in disks_after_crash(disk):
                back = PurgeLog("a", found, tokens(tmp_path), clock=unix_ms)
                assert names(back) == {"group:1", "group:2"}
                assert not back.active.low_watermark.open_losses() and back.epoch > one.epoch

    asyncio.run(scene())
    assert has_one_outage_logged(caplog, "feed: purges")


@pytest.mark.parametrize("kind", FAULTS)
def test_all_acknowledged_purges_survive_each_crash_point_with_a_fault_before_it(
    tmp_path: Path, kind: str
) -> None:
    """The fault strikes at one operation and at the three after it; senders try again, each time with another purge."""

    async def run_until_crash(disk: SimDisk, answered: dict[str, Purge]) -> None:
        one = PurgeLog("a", disk, tokens(tmp_path), clock=lambda: 1e12, is_first_start=True)
        for turn in range(3):
            for attempt in range(8):
                entry = NewPurge(
                    f"group:{10 * turn + attempt}",
                    f"k{turn}-{attempt}",
                    asyncio.get_running_loop().create_future(),
                )
                await one.committer.commit([entry])
                if entry.accepted.exception() is None:
                    response = entry.accepted.result()
                    answered[entry.key] = Purge(
                        response.issuer,
                        response.epoch,
                        response.seq,
                        response.at_ms,
                        response.scope,
                        entry.key,
                    )
                    break
            assert entry.key in answered
            assert one.store.can_store

    undisturbed = SimDisk()
    asyncio.run(run_until_crash(undisturbed, {}))
    points = 0
    for first in range(1, undisturbed.operations + 1):
        fault_range = Fault(FAULTS[kind].error, FAULTS[kind].operations, first, first + 3)
        tried = SimDisk(fault=fault_range)
        asyncio.run(run_until_crash(tried, {}))
        for at in range(first + 1, tried.operations + 1):
            disk, answered = SimDisk(at, fault=fault_range), dict[str, Purge]()
            with pytest.raises(Crash):
                asyncio.run(run_until_crash(disk, answered))
            for found in disks_after_crash(disk):
                back = PurgeLog("a", found, tokens(tmp_path), clock=lambda: 1e12)
                recovered = {purge.key: purge for purge in back.active.purges_after({})}
                assert {key: recovered.get(key) for key in answered} == answered, (first, at)
                assert back.epoch > max((p.epoch for p in recovered.values()), default=0)
                points += 1
    assert points > 300


def test_purges_of_a_peer_during_a_disk_fault_are_neither_acknowledged_nor_skipped(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Marks come every second and say that all before them was told."""

    async def scene() -> None:
        disk = SimDisk()
        async with (
            running_server(tmp_path, "a", copies=2) as a,
            running_server(tmp_path, "b", disk, copies=2) as b,
        ):
            peer = b.follow("127.0.0.1", a.port)
            a.follow("127.0.0.1", b.port)
            await send(a.port, "group:1")
            disk.fault = FAULTS["everything fails"]
            waiting = asyncio.ensure_future(send(a.port, "group:2"))
            await until(lambda: len(a.active) == 2, WAIT_S)
            heard_ms = peer.heard_ms
            await until(lambda: peer.heard_ms > heard_ms + 1_500.0, WAIT_S)  # two marks later
            assert names(b) == {"group:1"} and not b.active.positions.covers(a.active.positions.vector())
            disk.fault = None
            await until(lambda: names(b) == {"group:1", "group:2"}, WAIT_S)
            assert b.active.positions.covers(a.active.positions.vector())
            assert (await send(a.port, "group:3"))["seq"] == 3
            for found in disks_after_crash(disk):
                assert names(PurgeLog("b", found, tokens(tmp_path), clock=unix_ms)) == {
                    "group:1",
                    "group:2",
                    "group:3",
                }
            waiting.cancel()

    asyncio.run(scene())
    assert has_one_outage_logged(caplog, "feed: purges")


def test_a_peer_whose_purges_cannot_be_stored_for_long_is_left_and_resumed(tmp_path: Path) -> None:
    async def scene() -> None:
        disk = SimDisk()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("gladelane.purges.committer.MAX_WAITING", 5)
            async with running_server(tmp_path, "a") as a, running_server(tmp_path, "b", disk) as b:
                peer = b.follow("127.0.0.1", a.port)
                await until(lambda: peer.caught_up.is_set(), WAIT_S)
                disk.fault = FAULTS["sync fails"]
                for group in range(20):
                    await send(a.port, f"group:{group}")
                await until(lambda: "too many" in peer.state, WAIT_S)
                disk.fault = None
                await until(lambda: len(b.active) == 20, WAIT_S)
                assert b.active.positions.covers(a.active.positions.vector())

    asyncio.run(scene())


def test_a_start_that_cannot_be_stored_is_stored_once_the_disk_takes_it(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        disk = SimDisk(fault=FAULTS["everything fails"])
        async with running_server(tmp_path, disk=disk, is_first_start=False) as one:
            assert one.store.has_unsaved_start() and not await is_taking(one.port)
            disk.fault = None
            await until(lambda: one.store.can_store, WAIT_S)
            for found in disks_after_crash(disk):
                back = PurgeLog("a", found, tokens(tmp_path), clock=unix_ms)
                assert [loss.epoch for loss in back.active.low_watermark.open_losses()] == [one.epoch]

    asyncio.run(scene())
    assert has_one_outage_logged(caplog, "feed: purges")


def test_a_checkpoint_that_cannot_be_written_is_logged_once_and_written_later(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        mark = CheckpointFile(tmp_path / "a.mark")
        async with running_server(tmp_path, checkpoint_file=mark) as one:
            with pytest.MonkeyPatch.context() as patch:

                def fails(path: Path, data: bytes) -> None:
                    raise OSError(errno.ENOSPC, "No space left on device")

                patch.setattr(checkpoint_file, "replace_file", fails)
                for group in range(3):
                    await send(one.port, f"group:{group}")
            assert mark.read() == Checkpoint("a", one.epoch, 0)
            await until(lambda: mark.read() == Checkpoint("a", one.epoch, 3), WAIT_S)

    asyncio.run(scene())
    assert has_one_outage_logged(caplog, "feed: mark")


def test_a_snapshot_that_cannot_be_stored_fails_no_purge_and_is_retried(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        disk = SimDisk()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(log_compaction, "SNAPSHOT_AFTER", 5)
            patch.setattr(log_compaction, "SNAPSHOT_RETRY_AFTER", 2)
            async with running_server(tmp_path, disk=disk) as one:
                for group in range(4):
                    await send(one.port, f"group:{group}")
                disk.fault = fault(errno.EIO, Operation.REPLACE)
                for group in range(4, 8):
                    await send(one.port, f"group:{group}")
                disk.fault = None
                for group in range(8, 11):
                    await send(one.port, f"group:{group}")
                await until(lambda: any(name.endswith(".snap") for name in disk.names()), WAIT_S)
                for found in disks_after_crash(disk):
                    assert len(PurgeLog("a", found, tokens(tmp_path), clock=unix_ms).active) == 11

    asyncio.run(scene())
    assert has_one_outage_logged(caplog, "feed: snapshot of purges")


class Saves:
    """Counts how often a director's background has tried to store what is pending."""

    def __init__(self, store: SubscriptionStore) -> None:
        self.ended = 0
        self._save = store.save
        store.save = self._counted  # type: ignore[method-assign]

    async def _counted(self) -> None:
        await self._save()
        self.ended += 1

    async def next(self) -> None:
        """Until one that began after this call has ended: the first to end may have begun before."""
        ended = self.ended
        await until(lambda: self.ended >= ended + 2, WAIT_S)


@pytest.mark.parametrize("kind", FAULTS)
def test_a_director_stores_what_it_received_during_a_disk_fault_after_it(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, clock=lambda: unix_ms() - HOUR_MS) as one:
            subscription = PurgeSubscription(options(tmp_path, one.port), Index(), unix_ms, disk)
            saves = Saves(subscription.store)
            subscription.start()
            await subscription.ready()
            await send(one.port, "group:1")
            await until(lambda: len(subscription.active) == 1, WAIT_S)
            await saves.next()
            assert subscription.store.pending.is_empty()
            disk.fault = FAULTS[kind]
            for group in (2, 3):
                await send(one.port, f"group:{group}")
                await until(lambda group=group: len(subscription.active) == group, WAIT_S)  # type: ignore[misc]
                await saves.next()
                assert len(subscription.store.pending.purges) == group - 1  # tried, and in vain
            assert (
                subscription.active.index.newest_by_age("film", 2, 1, 0, unix_ms()) > 0.0
            )  # binds meanwhile
            disk.fault = None
            await saves.next()
            assert subscription.store.pending.is_empty()
            for found in disks_after_crash(disk):
                restored = PurgeSubscription(options(tmp_path, one.port), Index(), unix_ms, found)
                assert sorted(p.scope for p in restored.active.purges_after({})) == [
                    "group:1",
                    "group:2",
                    "group:3",
                ]
                bound_ms = restored.active.index.newest_by_age("film", 3, 1, 0, unix_ms())
                assert bound_ms > unix_ms() - 60_000.0
            await subscription.close()

    asyncio.run(scene())
    assert has_one_outage_logged(caplog, "director: purges")


def test_a_director_with_a_failed_disk_closes_and_a_long_backlog_is_stored_in_parts(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        tokens(tmp_path)
        disk = SimDisk()
        subscription = PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, disk)
        subscription.receive([Purge("a", 1, n, unix_ms(), f"object:{n:016x}") for n in range(1, 1_202)])
        await subscription.store.save()
        restored = PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, disk.after_kill())
        assert len(restored.active) == 1_201 and restored.store.records == 3
        subscription.receive([Purge("a", 1, 1_202, unix_ms(), "group:1")])
        disk.fault = Fault(errno.EIO, EVERY_OPERATION)
        await subscription.close()

    asyncio.run(scene())
    assert "director: purges not stored" in caplog.text


def test_a_directors_snapshot_that_cannot_be_stored_is_retried(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scene() -> None:
        tokens(tmp_path)
        disk = SimDisk()
        subscription = PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, disk)
        for seq in range(1, 12):
            disk.fault = fault(errno.EIO, Operation.REPLACE) if seq < 8 else None
            subscription.receive([Purge("a", 1, seq, unix_ms(), f"group:{seq}")])
            await subscription.store.save()
        assert any(name.endswith(".snap") for name in disk.names())
        for found in disks_after_crash(disk):
            assert len(PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, found).active) == 11

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log_compaction, "SNAPSHOT_AFTER", 5)
        patch.setattr(log_compaction, "SNAPSHOT_RETRY_AFTER", 2)
        asyncio.run(scene())
    assert has_one_outage_logged(caplog, "director: snapshot of purges")
