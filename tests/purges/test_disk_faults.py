"""Disk faults of purge log servers and directors: acknowledged purges survive, received purges are not skipped, each fault
is logged once, and everything is stored after the fault without a restart."""

from __future__ import annotations

import asyncio
import errno
import json
import threading
from collections.abc import Callable
from pathlib import Path

import pytest
from disk_faults import FAULTS, disks_after_crash, fault, has_one_outage_logged
from harness import wait_until
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
from gladelane.storage.log import WriteAheadLog

HOUR_MS = 3_600_000.0
WAIT_S = 30.0  # much longer than needed


async def accepts_writes(port: int) -> bool:
    status = json.loads(await fetch("127.0.0.1", port, "GET", "/status", TOKEN))
    return bool(status["takes"])


def scopes_of(log: PurgeLog) -> set[str]:
    return {purge.scope for purge in log.active.purges_after({})}


@pytest.mark.parametrize("kind", FAULTS)
def test_a_server_rejects_while_its_disk_fails_and_accepts_after_it_without_a_restart(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk) as purge_server:
            await send(purge_server.port, "group:1")
            disk.fault = FAULTS[kind]
            for group in (2, 3):
                with pytest.raises(HttpStatusError, match="not stored") as rejected:
                    await send(purge_server.port, f"group:{group}", f"key-{group}")
                assert rejected.value.status == 507
            assert not await accepts_writes(purge_server.port) and scopes_of(purge_server) == {"group:1"}
            disk.fault = None
            await wait_until(
                lambda: purge_server.store.can_store, WAIT_S
            )  # without any request in the meantime
            assert await accepts_writes(purge_server.port)
            assert (await send(purge_server.port, "group:2", "key-2"))["seq"] == 2
            for remaining_disk in disks_after_crash(disk):
                restarted = PurgeLog("a", remaining_disk, tokens(tmp_path), clock=unix_ms)
                assert scopes_of(restarted) == {"group:1", "group:2"}
                assert (
                    not restarted.active.low_watermark.open_losses() and restarted.epoch > purge_server.epoch
                )

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "feed: purges")


@pytest.mark.parametrize("kind", FAULTS)
def test_all_acknowledged_purges_survive_each_crash_point_with_a_fault_before_it(
    tmp_path: Path, kind: str
) -> None:
    """The fault affects one operation and the three after it. A failed request is repeated with another purge."""

    async def run_until_crash(disk: SimDisk, acknowledged: dict[str, Purge]) -> None:
        purge_server = PurgeLog("a", disk, tokens(tmp_path), clock=lambda: 1e12, is_first_start=True)
        for turn in range(3):
            for attempt in range(8):
                entry = NewPurge(
                    f"group:{10 * turn + attempt}",
                    f"k{turn}-{attempt}",
                    asyncio.get_running_loop().create_future(),
                )
                await purge_server.committer.commit([entry])
                if entry.accepted.exception() is None:
                    response = entry.accepted.result()
                    acknowledged[entry.key] = Purge(
                        response.issuer,
                        response.epoch,
                        response.seq,
                        response.at_ms,
                        response.scope,
                        entry.key,
                    )
                    break
            assert entry.key in acknowledged
            assert purge_server.store.can_store

    faultless = SimDisk()
    asyncio.run(run_until_crash(faultless, {}))
    crash_points = 0
    for first_fault in range(1, faultless.operations + 1):
        fault_range = Fault(FAULTS[kind].error, FAULTS[kind].operations, first_fault, first_fault + 3)
        faulty = SimDisk(fault=fault_range)
        asyncio.run(run_until_crash(faulty, {}))
        for crash_at in range(first_fault + 1, faulty.operations + 1):
            disk, acknowledged = SimDisk(crash_at, fault=fault_range), dict[str, Purge]()
            with pytest.raises(Crash):
                asyncio.run(run_until_crash(disk, acknowledged))
            for remaining_disk in disks_after_crash(disk):
                restarted = PurgeLog("a", remaining_disk, tokens(tmp_path), clock=lambda: 1e12)
                recovered = {purge.key: purge for purge in restarted.active.purges_after({})}
                assert {key: recovered.get(key) for key in acknowledged} == acknowledged, (
                    first_fault,
                    crash_at,
                )
                assert restarted.epoch > max((p.epoch for p in recovered.values()), default=0)
                crash_points += 1
    assert crash_points > 300


def test_purges_of_a_peer_during_a_disk_fault_are_neither_acknowledged_nor_skipped(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """A peer sends its position every second. A server that could not store purges must not adopt that position, because
    it would never receive those purges again."""

    async def scenario() -> None:
        disk = SimDisk()
        async with (
            running_server(tmp_path, "a", copies=2) as a,
            running_server(tmp_path, "b", disk, copies=2) as b,
        ):
            peer = b.subscribe_to_peer("127.0.0.1", a.port)
            a.subscribe_to_peer("127.0.0.1", b.port)
            await send(a.port, "group:1")
            disk.fault = FAULTS["everything fails"]
            pending_request = asyncio.ensure_future(send(a.port, "group:2"))
            await wait_until(lambda: len(a.active) == 2, WAIT_S)
            previous_ms = peer.position_received_ms
            # wait for two more positions
            await wait_until(lambda: peer.position_received_ms > previous_ms + 1_500.0, WAIT_S)
            assert scopes_of(b) == {"group:1"} and not b.active.positions.covers(a.active.positions.vector())
            disk.fault = None
            await wait_until(lambda: scopes_of(b) == {"group:1", "group:2"}, WAIT_S)
            assert b.active.positions.covers(a.active.positions.vector())
            assert (await send(a.port, "group:3"))["seq"] == 3
            for remaining_disk in disks_after_crash(disk):
                assert scopes_of(PurgeLog("b", remaining_disk, tokens(tmp_path), clock=unix_ms)) == {
                    "group:1",
                    "group:2",
                    "group:3",
                }
            pending_request.cancel()

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "feed: purges")


def test_the_stream_from_a_peer_ends_while_its_purges_cannot_be_stored_and_resumes_later(
    tmp_path: Path,
) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr("gladelane.purges.committer.MAX_WAITING", 5)
            async with running_server(tmp_path, "a") as a, running_server(tmp_path, "b", disk) as b:
                peer = b.subscribe_to_peer("127.0.0.1", a.port)
                await wait_until(lambda: peer.caught_up.is_set(), WAIT_S)
                disk.fault = FAULTS["sync fails"]
                for group in range(20):
                    await send(a.port, f"group:{group}")
                await wait_until(lambda: "too many" in peer.state, WAIT_S)
                disk.fault = None
                await wait_until(lambda: len(b.active) == 20, WAIT_S)
                assert b.active.positions.covers(a.active.positions.vector())

    asyncio.run(scenario())


def test_a_start_that_cannot_be_stored_is_stored_once_the_disk_accepts_writes(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        disk = SimDisk(fault=FAULTS["everything fails"])
        async with running_server(tmp_path, disk=disk, is_first_start=False) as purge_server:
            assert purge_server.store.has_unsaved_start() and not await accepts_writes(purge_server.port)
            disk.fault = None
            await wait_until(lambda: purge_server.store.can_store, WAIT_S)
            for remaining_disk in disks_after_crash(disk):
                restarted = PurgeLog("a", remaining_disk, tokens(tmp_path), clock=unix_ms)
                assert [loss.epoch for loss in restarted.active.low_watermark.open_losses()] == [
                    purge_server.epoch
                ]

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "feed: purges")


def test_a_checkpoint_that_cannot_be_written_is_logged_once_and_written_later(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        checkpoint = CheckpointFile(tmp_path / "a.mark")
        async with running_server(tmp_path, checkpoint_file=checkpoint) as purge_server:
            with pytest.MonkeyPatch.context() as patch:

                def fail(path: Path, data: bytes) -> None:
                    raise OSError(errno.ENOSPC, "No space left on device")

                patch.setattr(checkpoint_file, "replace_file", fail)
                for group in range(3):
                    await send(purge_server.port, f"group:{group}")
            assert checkpoint.read() == Checkpoint("a", purge_server.epoch, 0)
            await wait_until(lambda: checkpoint.read() == Checkpoint("a", purge_server.epoch, 3), WAIT_S)

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "feed: mark")


def test_a_snapshot_that_cannot_be_stored_fails_no_purge_and_is_retried(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(log_compaction, "SNAPSHOT_AFTER", 5)
            patch.setattr(log_compaction, "SNAPSHOT_RETRY_AFTER", 2)
            async with running_server(tmp_path, disk=disk) as purge_server:
                for group in range(4):
                    await send(purge_server.port, f"group:{group}")
                disk.fault = fault(errno.EIO, Operation.REPLACE)
                for group in range(4, 8):
                    await send(purge_server.port, f"group:{group}")
                disk.fault = None
                for group in range(8, 11):
                    await send(purge_server.port, f"group:{group}")
                await wait_until(lambda: any(name.endswith(".snap") for name in disk.names()), WAIT_S)
                for remaining_disk in disks_after_crash(disk):
                    assert len(PurgeLog("a", remaining_disk, tokens(tmp_path), clock=unix_ms).active) == 11

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "feed: snapshot of purges")


class SaveCounter:
    """Counts how often a director's background task has tried to store pending purges."""

    def __init__(self, store: SubscriptionStore) -> None:
        self.finished = 0
        self._save = store.save
        store.save = self._counted  # type: ignore[method-assign]

    async def _counted(self) -> None:
        await self._save()
        self.finished += 1

    async def wait_for_next(self) -> None:
        """Waits for a save that started after this call; the next one to end may have started before it."""
        previous_count = self.finished
        await wait_until(lambda: self.finished >= previous_count + 2, WAIT_S)


@pytest.mark.parametrize("kind", FAULTS)
def test_a_director_stores_purges_received_during_a_disk_fault_once_it_is_over(
    tmp_path: Path, kind: str, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, clock=lambda: unix_ms() - HOUR_MS) as purge_server:
            subscription = PurgeSubscription(options(tmp_path, purge_server.port), Index(), unix_ms, disk)
            saves = SaveCounter(subscription.store)
            subscription.start()
            await subscription.ready()
            await send(purge_server.port, "group:1")
            await wait_until(lambda: len(subscription.active) == 1, WAIT_S)
            await saves.wait_for_next()
            assert subscription.store.pending.is_empty()
            disk.fault = FAULTS[kind]
            for group in (2, 3):
                await send(purge_server.port, f"group:{group}")
                await wait_until(lambda group=group: len(subscription.active) == group, WAIT_S)  # type: ignore[misc]
                await saves.wait_for_next()
                assert len(subscription.store.pending.purges) == group - 1  # the saves have failed
            # a purge applies although it is not stored
            assert subscription.active.index.newest_purge_by_age_ms("film", 2, 1, 0, unix_ms()) > 0.0
            disk.fault = None
            await saves.wait_for_next()
            assert subscription.store.pending.is_empty()
            for remaining_disk in disks_after_crash(disk):
                restored = PurgeSubscription(
                    options(tmp_path, purge_server.port), Index(), unix_ms, remaining_disk
                )
                assert sorted(p.scope for p in restored.active.purges_after({})) == [
                    "group:1",
                    "group:2",
                    "group:3",
                ]
                newest_purge_ms = restored.active.index.newest_purge_by_age_ms("film", 3, 1, 0, unix_ms())
                assert newest_purge_ms > unix_ms() - 60_000.0
            await subscription.close()

    asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "director: purges")


def test_a_director_with_a_failed_disk_closes_and_a_long_backlog_is_stored_in_parts(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
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

    asyncio.run(scenario())
    assert "director: purges not stored" in caplog.text


def test_a_directors_snapshot_that_cannot_be_stored_is_retried(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        tokens(tmp_path)
        disk = SimDisk()
        subscription = PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, disk)
        for seq in range(1, 12):
            disk.fault = fault(errno.EIO, Operation.REPLACE) if seq < 8 else None
            subscription.receive([Purge("a", 1, seq, unix_ms(), f"group:{seq}")])
            await subscription.store.save()
        assert any(name.endswith(".snap") for name in disk.names())
        for remaining_disk in disks_after_crash(disk):
            assert len(PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, remaining_disk).active) == 11

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(log_compaction, "SNAPSHOT_AFTER", 5)
        patch.setattr(log_compaction, "SNAPSHOT_RETRY_AFTER", 2)
        asyncio.run(scenario())
    assert has_one_outage_logged(caplog, "director: snapshot of purges")


def refuse_thread(thread: threading.Thread) -> None:
    raise RuntimeError("can't start new thread")


def fail_unexpectedly(*args: object) -> None:
    raise ValueError("an error of the program")


#: What fails: a class and its method, and the error.
UNEXPECTED_ERRORS = pytest.mark.parametrize(
    ("owner", "name", "fail"),
    [(threading.Thread, "start", refuse_thread), (WriteAheadLog, "commit", fail_unexpectedly)],
    ids=["no thread", "unexpected error"],
)


@UNEXPECTED_ERRORS
def test_received_purges_and_numbers_survive_a_commit_that_fails_unexpectedly(
    owner: type, name: str, fail: Callable[..., None], tmp_path: Path
) -> None:
    received = Purge("b", 1, 1, unix_ms(), "group:1")

    async def scenario() -> None:
        disk = SimDisk()
        async with running_server(tmp_path, disk=disk) as purge_server:
            with pytest.MonkeyPatch.context() as patch:
                patch.setattr(owner, name, fail)
                purge_server.receive([received])
                with pytest.raises(HttpStatusError, match="not stored"):
                    await purge_server.submit("group:2")
                assert not scopes_of(purge_server)
            await wait_until(lambda: scopes_of(purge_server) == {"group:1"}, WAIT_S)
            assert (await purge_server.submit("group:3")).seq == 1
            for remaining_disk in disks_after_crash(disk):
                restarted = PurgeLog("a", remaining_disk, tokens(tmp_path), clock=unix_ms)
                assert (
                    scopes_of(restarted) == {"group:1", "group:3"} and not restarted.active.positions.gaps()
                )

    asyncio.run(scenario())


@UNEXPECTED_ERRORS
def test_received_purges_stay_pending_after_a_save_that_fails_unexpectedly(
    owner: type, name: str, fail: Callable[..., None], tmp_path: Path
) -> None:
    async def scenario() -> None:
        tokens(tmp_path)
        disk = SimDisk()
        subscription = PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, disk)
        subscription.receive([Purge("b", 1, 1, unix_ms(), "group:1")])
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(owner, name, fail)
            await subscription.store.save()
        await subscription.store.save()
        for remaining_disk in disks_after_crash(disk):
            restored = PurgeSubscription(options(tmp_path, 1), Index(), unix_ms, remaining_disk)
            assert [purge.scope for purge in restored.active.purges_after({})] == ["group:1"]

    asyncio.run(scenario())
