"""The write-ahead log under crashes at every operation, damage at every byte, full disks and concurrent
use."""

from __future__ import annotations

import errno
import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladelane.lab.simdisk import Crash, Fault, Lost, Operation, SimDisk
from gladelane.storage.files import Disk, Folder, FolderInUseError
from gladelane.storage.log import (
    HEADER_BYTES,
    CorruptLogError,
    RecoveredLog,
    SyncPolicy,
    WriteAheadLog,
    recover,
)

ROOT = Path(__file__).parents[2]
SEGMENT_BYTES = 150  # small, so that a segment has only a few records


def recovered_records(found: RecoveredLog) -> list[bytes]:
    """All records. The snapshots of these tests consist of the records before them, joined by semicolons."""
    snapshot_records = found.snapshot.split(b";") if found.snapshot else []
    return [*snapshot_records, *found.records]


class Workload:
    """Appends batches of one to three records, and writes a snapshot after every fourth batch.

    `committed` is the number of committed records."""

    def __init__(self) -> None:
        self.history = [b"record %d " % n + b"x" * (n * 7 % 40) for n in range(24)]
        self.committed = 0

    def run(self, disk: Disk, policy: SyncPolicy) -> None:
        log, _ = recover(disk, policy, SEGMENT_BYTES)
        batch = 0
        while self.committed < len(self.history):
            batch += 1
            end = min(self.committed + 1 + batch % 3, len(self.history))
            for payload in self.history[self.committed : end]:
                log.append(payload)
            log.commit()
            self.committed = end
            if batch % 4 == 0:
                log.snapshot(b";".join(self.history[:end]))


def count_operations(policy: SyncPolicy) -> int:
    disk = SimDisk()
    Workload().run(disk, policy)
    return disk.operations


@pytest.mark.parametrize("policy", ["always", "never"])
def test_a_crash_at_every_operation_leaves_a_prefix_with_all_committed_records(policy: SyncPolicy) -> None:
    points = 0
    for crash_at in range(1, count_operations(policy) + 1):
        for lost in Lost:
            for names_survive in (True, False):
                disk, workload = SimDisk(crash_at), Workload()
                with pytest.raises(Crash):
                    workload.run(disk, policy)
                disk_after_crash = disk.after_crash(lost, names_survive)
                log, found = recover(disk_after_crash, policy, SEGMENT_BYTES)
                got = recovered_records(found)
                assert got == workload.history[: len(got)], (crash_at, lost, names_survive)
                assert policy == "never" or len(got) >= workload.committed, (crash_at, lost, names_survive)
                assert log.next_index == len(got)
                log.append(b"after")  # the log accepts new records, and a second recovery finds the same ones
                log.commit()
                assert recovered_records(recover(disk_after_crash, policy, SEGMENT_BYTES)[1]) == [
                    *got,
                    b"after",
                ]
                points += 1
    assert points > 400


@pytest.mark.parametrize("policy", ["always"])
def test_a_second_crash_during_recovery_loses_no_committed_record(policy: SyncPolicy) -> None:
    for crash_at in range(1, count_operations(policy) + 1, 3):
        disk, workload = SimDisk(crash_at), Workload()
        with pytest.raises(Crash):
            workload.run(disk, policy)
        recovery_crash_at = 0
        while True:
            recovery_crash_at += 1
            disk_after_crash = disk.after_crash(Lost.HALF, True)
            disk_after_crash.crash_at = recovery_crash_at
            try:
                recover(disk_after_crash, policy, SEGMENT_BYTES)
            except Crash:
                got = recovered_records(
                    recover(disk_after_crash.after_crash(Lost.ALL, False), policy, SEGMENT_BYTES)[1]
                )
                assert got == workload.history[: len(got)] and len(got) >= workload.committed
            else:
                break


def write_segment(disk: SimDisk, count: int = 6) -> str:
    """Writes a log of `count` records and returns the name of its only segment."""
    log, _ = recover(disk)
    for n in range(count):
        log.append(b"payload %d" % n)
    log.commit()
    (name,) = disk.names()
    return name


def test_a_damaged_byte_before_the_last_record_is_an_error_with_its_place_and_never_a_shorter_log() -> None:
    intact_disk = SimDisk()
    name = write_segment(intact_disk)
    intact = intact_disk.read(name)
    last = intact.rindex(b"payload") - 22  # where the last record starts
    for offset in range(len(intact)):
        disk = SimDisk()
        disk.put(name, intact[:offset] + bytes([intact[offset] ^ 0x41]) + intact[offset + 1 :])
        if offset < last:
            with pytest.raises(CorruptLogError, match=name) as caught:
                recover(disk)
            assert caught.value.offset <= offset
        else:
            found = recover(disk)[1]
            assert (
                len(found.records) == 5
                and found.truncated_bytes == len(intact) - last
                and found.truncated_at == f"{name}: byte {last}"
            )


def test_a_torn_tail_is_truncated_at_every_length_and_reported() -> None:
    intact_disk = SimDisk()
    name = write_segment(intact_disk)
    intact = intact_disk.read(name)
    for size in range(len(intact)):
        disk = SimDisk()
        disk.put(name, intact[:size])
        log, found = recover(disk)
        assert found.records == [b"payload %d" % n for n in range(len(found.records))]
        remaining = disk.size(name) if name in disk.names() else 0
        assert remaining + found.truncated_bytes == size and log.next_index == len(found.records)
        assert size < HEADER_BYTES or bool(found.truncated_bytes) == (remaining != size)


def test_a_missing_segment_or_a_damaged_snapshot_is_an_error() -> None:
    disk, workload = SimDisk(), Workload()
    workload.history = workload.history[:12]
    log, _ = recover(disk, segment_bytes=SEGMENT_BYTES)
    for payload in workload.history:
        log.append(payload)
        log.commit()
    names = disk.names()
    assert len(names) >= 3
    incomplete = SimDisk()
    for name in names:
        if name != names[1]:
            incomplete.put(name, disk.read(name))
    with pytest.raises(CorruptLogError, match="a segment is missing"):
        recover(incomplete)
    log.snapshot(b"state")
    (name,) = disk.names()
    for damaged_offset in range(disk.size(name)):
        damaged = SimDisk()
        damaged.put(
            name, bytes(b ^ (0x20 if n == damaged_offset else 0) for n, b in enumerate(disk.read(name)))
        )
        with pytest.raises(CorruptLogError):
            recover(damaged)


@settings(max_examples=200)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_give_a_log_or_a_corruption_error(data: bytes, has_header: bool) -> None:
    disk = SimDisk()
    name = "0000000000000000.log"
    if has_header:
        log, _ = recover(disk)
        log.append(b"x")
        log.commit()
        data = disk.read(name) + data
    disk.put(name, data)
    try:
        found = recover(disk)[1]
    except CorruptLogError as error:
        assert 0 <= error.offset <= len(data)
    else:
        assert len(found.records) >= has_header


def test_a_full_disk_rejects_commits_keeps_earlier_ones_and_resumes_once_there_is_space() -> None:
    disk = SimDisk(capacity_bytes=400)
    log, _ = recover(disk)
    committed = 0
    with pytest.raises(OSError, match="No space"):
        while True:
            log.append(b"y" * 50)
            log.commit()
            committed += 1
    assert committed > 2 and len(recover(disk)[1].records) == committed
    disk.capacity_bytes = 10_000
    log.commit()
    assert len(recover(disk)[1].records) == committed + 1
    log.append(b"z")
    disk.capacity_bytes = 0
    with pytest.raises(OSError):
        log.commit()
    log.discard_uncommitted()
    disk.capacity_bytes = 10_000
    log.append(b"last")
    log.commit()
    assert recover(disk)[1].records[-2:] == [b"y" * 50, b"last"]


def test_after_a_failed_sync_records_go_to_a_new_file_once_the_disk_works() -> None:
    disk = SimDisk()
    log, _ = recover(disk)
    log.append(b"a")
    log.commit()
    disk.fault = Fault(errno.EIO, frozenset({Operation.SYNC}))
    log.append(b"b")
    for _ in range(3):
        with pytest.raises(OSError, match="Input/output"):
            log.commit()
    assert recover(disk.after_crash(Lost.ALL, False))[1].records == [b"a"]
    disk.fault = None
    log.commit()  # the next sync succeeds, also for pages that the failed one dropped
    log.append(b"c")
    log.commit()
    for lost in Lost:
        assert recover(disk.after_crash(lost, False))[1].records == [b"a", b"b", b"c"]
    disk.fault = Fault(errno.EIO, frozenset({Operation.SYNC}))
    log.append(b"refused")
    with pytest.raises(OSError, match="Input/output"):
        log.commit()
    log.discard_uncommitted()
    disk.fault = None
    log.append(b"d")
    log.commit()
    assert recover(disk.after_crash(Lost.NOTHING, True))[1].records == [b"a", b"b", b"c", b"d"]


def test_an_append_a_commit_and_a_close_wait_for_a_commit_in_another_thread() -> None:
    """A cancelled task leaves its commit running in a thread. Without a lock, a second commit then stored a
    record with the same index, and recovery rejected the log."""

    class SlowDisk(SimDisk):
        syncing, may_continue, closed_in_sync = threading.Event(), threading.Event(), False

        def sync(self, name: str) -> None:
            self.syncing.set()
            assert self.may_continue.wait(5.0)
            super().sync(name)
            self.syncing.clear()

        def close(self) -> None:
            self.closed_in_sync = self.syncing.is_set()

    disk = SlowDisk()
    log, _ = recover(disk)
    log.append(b"first")
    first = threading.Thread(target=log.commit)
    first.start()
    assert disk.syncing.wait(5.0)
    appended_indexes: list[int] = []

    def append_commit_and_close() -> None:
        appended_indexes.append(log.append(b"second"))
        log.commit()
        log.close()

    second = threading.Thread(target=append_commit_and_close)
    second.start()
    second.join(0.05)
    assert not appended_indexes
    disk.may_continue.set()
    first.join(5.0)
    second.join(5.0)
    assert appended_indexes == [1] and not disk.closed_in_sync
    assert recover(disk)[1].records == [b"first", b"second"]


def test_a_folder_stores_the_same_files_as_a_simulated_disk(tmp_path: Path) -> None:
    folder, disk, workload = Folder(tmp_path / "a" / "b"), SimDisk(), Workload()
    workload.run(folder, "always")
    Workload().run(disk, "always")
    assert folder.names() == disk.names() and all(folder.read(n) == disk.read(n) for n in disk.names())
    folder.close()
    assert recovered_records(recover(Folder(tmp_path / "a" / "b"))[1]) == workload.history


def test_two_processes_cannot_open_one_folder(tmp_path: Path) -> None:
    folder = Folder(tmp_path)
    code = f"from gladelane.storage.files import Folder; Folder({str(tmp_path)!r})"
    for _ in range(2):
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=False
        )
        assert "FolderInUseError" in done.stderr and done.returncode == 1
        with pytest.raises(FolderInUseError):
            Folder(tmp_path)
    folder.close()
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT, check=False).returncode == 0


def test_a_path_below_a_file_and_a_folder_without_permission_are_errors(tmp_path: Path) -> None:
    (tmp_path / "file").write_text("x")
    for path in (tmp_path / "file" / "below", tmp_path / "file"):
        with pytest.raises(OSError):
            Folder(path)
    if os.geteuid():  # root may write anywhere
        (tmp_path / "closed").mkdir(mode=0o500)
        with pytest.raises(PermissionError):
            Folder(tmp_path / "closed")


def test_a_record_that_is_too_large_is_rejected_before_anything_is_written() -> None:
    log: WriteAheadLog = recover(SimDisk())[0]
    with pytest.raises(ValueError, match="16000000 at most"):
        log.append(bytes(16_000_001))
