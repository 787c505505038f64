"""The log under crashes at every operation, damage at every byte, full disks, and two who want one folder."""

from __future__ import annotations

import os
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gladelane.durable.files import Disk, Folder, InUse
from gladelane.durable.log import HEAD_BYTES, Broken, Damaged, Log, Policy, Recovery, recover
from gladelane.lab.simdisk import Crash, Lost, SimDisk

ROOT = Path(__file__).parents[2]
SEGMENT = 150  # small: a few records each


def state(found: Recovery) -> list[bytes]:
    """Snapshots here hold the records before them, joined."""
    before = found.snapshot.split(b";") if found.snapshot else []
    return [*before, *found.records]


class Work:
    """Appends in batches of one to three, and a snapshot now and then. `sure` counts what was committed."""

    def __init__(self) -> None:
        self.history = [b"record %d " % n + b"x" * (n * 7 % 40) for n in range(24)]
        self.sure = 0

    def run(self, disk: Disk, policy: Policy) -> None:
        log, _ = recover(disk, policy, SEGMENT)
        batch = 0
        while self.sure < len(self.history):
            batch += 1
            upto = min(self.sure + 1 + batch % 3, len(self.history))
            for payload in self.history[self.sure : upto]:
                log.append(payload)
            log.commit()
            self.sure = upto
            if batch % 4 == 0:
                log.snapshot(b";".join(self.history[:upto]))


def count_operations(policy: Policy) -> int:
    disk = SimDisk()
    Work().run(disk, policy)
    return disk.operations


@pytest.mark.parametrize("policy", ["always", "never"])
def test_a_crash_at_every_operation_leaves_a_prefix_with_all_that_was_committed(policy: Policy) -> None:
    points = 0
    for at in range(1, count_operations(policy) + 1):
        for lost in Lost:
            for names_kept in (True, False):
                disk, work = SimDisk(at), Work()
                with pytest.raises(Crash):
                    work.run(disk, policy)
                left = disk.after_crash(lost, names_kept)
                log, found = recover(left, policy, SEGMENT)
                got = state(found)
                assert got == work.history[: len(got)], (at, lost, names_kept)
                assert policy == "never" or len(got) >= work.sure, (at, lost, names_kept)
                assert log.next_index == len(got)
                log.append(b"after")  # what was found can be built upon, and a second recovery finds the same
                log.commit()
                assert state(recover(left, policy, SEGMENT)[1]) == [*got, b"after"]
                points += 1
    assert points > 400


@pytest.mark.parametrize("policy", ["always"])
def test_a_second_crash_during_recovery_costs_nothing_either(policy: Policy) -> None:
    for at in range(1, count_operations(policy) + 1, 3):
        disk, work = SimDisk(at), Work()
        with pytest.raises(Crash):
            work.run(disk, policy)
        again = 0
        while True:
            again += 1
            left = disk.after_crash(Lost.HALF, True)
            left.crash_at = again
            try:
                recover(left, policy, SEGMENT)
            except Crash:
                got = state(recover(left.after_crash(Lost.ALL, False), policy, SEGMENT)[1])
                assert got == work.history[: len(got)] and len(got) >= work.sure
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
    whole = plain.read(name)
    last = whole.rindex(b"payload") - 22  # where the last record starts
    for at in range(len(whole)):
        disk = SimDisk()
        disk._now[name] = whole[:at] + bytes([whole[at] ^ 0x41]) + whole[at + 1 :]
        if at < last:
            with pytest.raises(Damaged, match=name) as caught:
                recover(disk)
            assert caught.value.at <= at
        else:
            found = recover(disk)[1]
            assert (
                len(found.records) == 5
                and found.cut == len(whole) - last
                and found.cut_at == f"{name}: byte {last}"
            )


def test_a_torn_tail_is_cut_at_every_length_and_said() -> None:
    plain = SimDisk()
    name = written(plain)
    whole = plain.read(name)
    for size in range(len(whole)):
        disk = SimDisk()
        disk._now[name] = whole[:size]
        log, found = recover(disk)
        assert found.records == [b"payload %d" % n for n in range(len(found.records))]
        kept = disk.size(name) if name in disk.names() else 0
        assert kept + found.cut == size and log.next_index == len(found.records)
        assert size < HEAD_BYTES or bool(found.cut) == (kept != size)


def test_a_segment_or_snapshot_that_lacks_or_is_wrong_is_an_error() -> None:
    disk, work = SimDisk(), Work()
    work.history = work.history[:12]
    log, _ = recover(disk, segment_bytes=SEGMENT)
    for payload in work.history:
        log.append(payload)
        log.commit()
    names = disk.names()
    assert len(names) >= 3
    lacking = SimDisk()
    lacking._now = {name: disk.read(name) for name in names if name != names[1]}
    with pytest.raises(Damaged, match="a segment lacks"):
        recover(lacking)
    log.snapshot(b"state")
    (name,) = disk.names()
    for at in range(disk.size(name)):
        wrong = SimDisk()
        wrong._now[name] = bytes(b ^ (0x20 if n == at else 0) for n, b in enumerate(disk.read(name)))
        with pytest.raises(Damaged):
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
    disk._now[name] = data
    try:
        found = recover(disk)[1]
    except Damaged as error:
        assert 0 <= error.at <= len(data)
    else:
        assert len(found.records) >= headed


def test_a_full_disk_refuses_and_keeps_what_was_committed_and_goes_on_once_there_is_room() -> None:
    disk = SimDisk(room=400)
    log, _ = recover(disk)
    kept = 0
    with pytest.raises(OSError, match="No space"):
        while True:
            log.append(b"y" * 50)
            log.commit()
            kept += 1
    assert kept > 2 and len(recover(disk)[1].records) == kept
    disk.room = 10_000
    log.commit()
    assert len(recover(disk)[1].records) == kept + 1
    log.append(b"z")
    disk.room = 0
    with pytest.raises(OSError):
        log.commit()
    log.drop()
    disk.room = 10_000
    log.append(b"last")
    log.commit()
    assert recover(disk)[1].records[-2:] == [b"y" * 50, b"last"]


def test_after_a_failed_sync_nothing_more_is_taken() -> None:
    disk = SimDisk()
    log, _ = recover(disk)
    log.append(b"a")
    log.commit()
    disk.fail_sync = True
    log.append(b"b")
    with pytest.raises(Broken, match="sync failed"):
        log.commit()
    disk.fail_sync = False
    with pytest.raises(Broken):
        log.commit()


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
    code = f"from gladelane.durable.files import Folder; Folder({str(tmp_path)!r})"
    for _ in range(2):
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=False
        )
        assert "InUse" in done.stderr and done.returncode == 1
        with pytest.raises(InUse):
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


def test_a_record_that_is_too_large_is_refused_before_anything_is_written() -> None:
    log: Log = recover(SimDisk())[0]
    with pytest.raises(ValueError, match="16000000 at most"):
        log.append(bytes(16_000_001))
