"""The write-ahead log under crashes at every operation, damage at every byte, full disks and concurrent use."""

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
SEGMENT = 150  # small: a few records each


def state(found: RecoveredLog) -> list[bytes]:
    """Snapshots here hold the records before them, joined."""
    before = found.snapshot.split(b";") if found.snapshot else []
    return [*before, *found.records]


class Work:
    """Appends in batches of one to three, and a snapshot now and then. `committed` counts the committed records."""

    def __init__(self) -> None:
        self.history = [b"record %d " % n + b"x" * (n * 7 % 40) for n in range(24)]
        self.committed = 0

    def run(self, disk: Disk, policy: SyncPolicy) -> None:
        log, _ = recover(disk, policy, SEGMENT)
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
    Work().run(disk, policy)
    return disk.operations


@pytest.mark.parametrize("policy", ["always", "never"])
def test_a_crash_at_every_operation_leaves_a_prefix_with_all_that_was_committed(policy: SyncPolicy) -> None:
    points = 0
    for at in range(1, count_operations(policy) + 1):
        for lost in Lost:
            for names_survive in (True, False):
                disk, work = SimDisk(at), Work()
                with pytest.raises(Crash):
                    work.run(disk, policy)
                left = disk.after_crash(lost, names_survive)
                log, found = recover(left, policy, SEGMENT)
                got = state(found)
                assert got == work.history[: len(got)], (at, lost, names_survive)
                assert policy == "never" or len(got) >= work.committed, (at, lost, names_survive)
                assert log.next_index == len(got)
                log.append(b"after")  # what was found can be built upon, and a second recovery finds the same
                log.commit()
                assert state(recover(left, policy, SEGMENT)[1]) == [*got, b"after"]
                points += 1
    assert points > 400


@pytest.mark.parametrize("policy", ["always"])
def test_a_second_crash_during_recovery_costs_nothing_either(policy: SyncPolicy) -> None:
    for at in range(1, count_operations(policy) + 1, 3):
        disk, work = SimDisk(at), Work()
        with pytest.raises(Crash):
            work.run(disk, policy)
        recovery_crash_at = 0
        while True:
            recovery_crash_at += 1
            left = disk.after_crash(Lost.HALF, True)
            left.crash_at = recovery_crash_at
            try:
                recover(left, policy, SEGMENT)
            except Crash:
                got = state(recover(left.after_crash(Lost.ALL, False), policy, SEGMENT)[1])
                assert got == work.history[: len(got)] and len(got) >= work.committed
            else:
                break


def written(disk: SimDisk, count: int = 6) -> str:
    log, _ = recover(disk)
    for n in range(count):
        log.append(b"payload %d" % n)
    log.commit()
    (name,) = disk.names()
    return name


def test_every_damaged_byte_in_the_middle_is_an_error_with_its_place_and_never_a_shorter_log() -> None:
    plain = SimDisk()
    name = written(plain)
    intact = plain.read(name)
    last = intact.rindex(b"payload") - 22  # where the last record starts
    for at in range(len(intact)):
        disk = SimDisk()
        disk.put(name, intact[:at] + bytes([intact[at] ^ 0x41]) + intact[at + 1 :])
        if at < last:
            with pytest.raises(CorruptLogError, match=name) as caught:
                recover(disk)
            assert caught.value.offset <= at
        else:
            found = recover(disk)[1]
            assert (
                len(found.records) == 5
                and found.truncated_bytes == len(intact) - last
                and found.truncated_at == f"{name}: byte {last}"
            )


def test_a_torn_tail_is_truncated_at_every_length_and_reported() -> None:
    plain = SimDisk()
    name = written(plain)
    intact = plain.read(name)
    for size in range(len(intact)):
        disk = SimDisk()
        disk.put(name, intact[:size])
        log, found = recover(disk)
        assert found.records == [b"payload %d" % n for n in range(len(found.records))]
        remaining = disk.size(name) if name in disk.names() else 0
        assert remaining + found.truncated_bytes == size and log.next_index == len(found.records)
        assert size < HEADER_BYTES or bool(found.truncated_bytes) == (remaining != size)


def test_a_missing_segment_or_a_damaged_snapshot_is_an_error() -> None:
    disk, work = SimDisk(), Work()
    work.history = work.history[:12]
    log, _ = recover(disk, segment_bytes=SEGMENT)
    for payload in work.history:
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
    for at in range(disk.size(name)):
        wrong = SimDisk()
        wrong.put(name, bytes(b ^ (0x20 if n == at else 0) for n, b in enumerate(disk.read(name))))
        with pytest.raises(CorruptLogError):
            recover(wrong)


@settings(max_examples=200)
@given(st.binary(max_size=300), st.booleans())
def test_any_bytes_are_a_log_or_damaged(data: bytes, headed: bool) -> None:
    disk = SimDisk()
    name = "0000000000000000.log"
    if headed:
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
        assert len(found.records) >= headed


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
    log.commit()  # the next sync says yes, also for pages that the last one dropped
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


def test_an_append_a_commit_and_a_close_beside_a_commit_in_a_thread_wait_for_it() -> None:
    # a task that is cancelled leaves its commit running: its number was stored twice, and recovery refused it
    class Slow(SimDisk):
        syncing, go, closed_in_sync = threading.Event(), threading.Event(), False

        def sync(self, name: str) -> None:
            self.syncing.set()
            assert self.go.wait(5.0)
            super().sync(name)
            self.syncing.clear()

        def close(self) -> None:
            self.closed_in_sync = self.syncing.is_set()

    disk = Slow()
    log, _ = recover(disk)
    log.append(b"first")
    first = threading.Thread(target=log.commit)
    first.start()
    assert disk.syncing.wait(5.0)
    done: list[int] = []

    def second() -> None:
        done.append(log.append(b"second"))
        log.commit()
        log.close()

    beside = threading.Thread(target=second)
    beside.start()
    beside.join(0.05)
    assert not done
    disk.go.set()
    first.join(5.0)
    beside.join(5.0)
    assert done == [1] and not disk.closed_in_sync
    assert recover(disk)[1].records == [b"first", b"second"]


def test_a_folder_keeps_what_a_simulated_disk_keeps(tmp_path: Path) -> None:
    folder, disk, work = Folder(tmp_path / "a" / "b"), SimDisk(), Work()
    work.run(folder, "always")
    Work().run(disk, "always")
    assert folder.names() == disk.names() and all(folder.read(n) == disk.read(n) for n in disk.names())
    folder.close()
    assert state(recover(Folder(tmp_path / "a" / "b"))[1]) == work.history


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


def test_a_folder_without_permission_is_an_error_of_its_own(tmp_path: Path) -> None:
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
