"""The write-ahead log under transient disk faults: each operation of a short workload fails in turn, alone or
with those after it, and the process is killed or the power is cut at each later operation."""

from __future__ import annotations

import errno
from contextlib import suppress

import pytest

from gladelane.lab.simdisk import EVERY_OPERATION, Crash, Fault, Lost, Operation, SimDisk
from gladelane.storage.files import Disk
from gladelane.storage.log import RecoveredLog, SyncPolicy, WriteAheadLog, recover

SEGMENT_BYTES = 120  # small, so that a segment has two or three records
SYNCS = frozenset({Operation.SYNC, Operation.SYNC_FOLDER})
ROUNDS = 7


def recovered_records(found: RecoveredLog) -> list[bytes]:
    """All records. The snapshots of these tests consist of the records before them, joined by semicolons."""
    snapshot_records = found.snapshot.split(b";") if found.snapshot else []
    return [*snapshot_records, *found.records]


class Workload:
    """Appends a batch of one or two records in each round, and writes a snapshot after every fourth round.

    A failed commit is retried, except in every third round, where the batch is discarded. `accepted` has the
    committed records, `offered` all records that were ever appended."""

    def __init__(self) -> None:
        self.accepted: list[bytes] = []
        self.offered: set[bytes] = set()

    def run(self, disk: Disk, policy: SyncPolicy, rounds: int = ROUNDS) -> WriteAheadLog:
        log, found = recover(disk, policy, SEGMENT_BYTES)
        assert recovered_records(found) == self.accepted
        for round_number in range(rounds):
            self.offer(log, round_number)
        return log

    def offer(self, log: WriteAheadLog, round_number: int) -> None:
        batch = [
            b"%d.%d " % (round_number, n) + b"x" * (round_number * 7 % 20)
            for n in range(1 + round_number % 2)
        ]
        self.offered.update(batch)
        for payload in batch:
            log.append(payload)
        for _ in range(1 if round_number % 3 == 2 else 3):
            with suppress(OSError):
                log.commit()
                self.accepted += batch
                break
        else:
            log.discard_uncommitted()
        if round_number % 4 == 3:
            with suppress(OSError):
                log.snapshot(b";".join(self.accepted))


def recover_records(disk: SimDisk, policy: SyncPolicy) -> list[bytes]:
    return recovered_records(recover(disk, policy, SEGMENT_BYTES)[1])


def check(workload: Workload, disk: SimDisk, policy: SyncPolicy, power_cut: bool, where: object) -> None:
    """Checks that all accepted records are recovered in order, followed at most by those of the last batch.
    What one recovery found must also be found after a power cut, whichever unsynced bytes the disk lost."""
    log, found = recover(disk, policy, SEGMENT_BYTES)
    got = recovered_records(found)
    if policy == "always" or not power_cut:
        assert got[: len(workload.accepted)] == workload.accepted, where
        extra = got[len(workload.accepted) :]
        assert len(extra) <= 2 and set(extra) <= workload.offered, where
    else:  # a log that does not sync may lose its end, but no record before that
        common_count = min(len(got), len(workload.accepted))
        assert got[:common_count] == workload.accepted[:common_count], where
    if policy == "always":
        for lost in (Lost.ALL, Lost.GARBLED):
            assert recover_records(disk.after_crash(lost, False), policy) == got, (where, lost)
    log.append(b"after")
    log.commit()
    assert recover_records(disk.after_kill(), policy) == [*got, b"after"], where


def count_operations(fault: Fault | None, policy: SyncPolicy) -> int:
    disk = SimDisk(fault=fault)
    with suppress(OSError):
        Workload().run(disk, policy)
    return disk.operations


def disks_after_crash(disk: SimDisk) -> list[tuple[bool, SimDisk]]:
    """The disks that a process may find after a crash, each with whether the power was cut."""
    after_power_cut = [
        (True, disk.after_crash(lost, names_survive)) for lost in Lost for names_survive in (True, False)
    ]
    return [(False, disk.after_kill()), *after_power_cut]


FAULTS = {
    "all": (EVERY_OPERATION, errno.EIO),
    "syncs": (SYNCS, errno.EIO),
    "writes": (frozenset({Operation.APPEND, Operation.OPEN}), errno.ENOSPC),
    "names": (frozenset({Operation.REPLACE, Operation.REMOVE, Operation.SYNC_FOLDER}), errno.EIO),
    "undone": (frozenset({Operation.APPEND, Operation.TRUNCATE, Operation.REMOVE}), errno.EIO),
}


@pytest.mark.parametrize("policy", ["always", "never"])
@pytest.mark.parametrize("fault_length", [1, 3, 12])
@pytest.mark.parametrize("name", FAULTS)
def test_a_fault_at_each_operation_and_a_crash_at_each_later_one_lose_no_accepted_record(
    name: str, fault_length: int, policy: SyncPolicy
) -> None:
    operations, error = FAULTS[name]
    points = 0
    for first in range(1, count_operations(None, policy) + 1):
        fault = Fault(error, operations, first, first + fault_length - 1)
        for crash_at in range(first + 1, count_operations(fault, policy) + 1):
            disk, workload = SimDisk(crash_at, fault=fault), Workload()
            with suppress(Crash, OSError):
                workload.run(disk, policy)
            for power_cut, crashed_disk in disks_after_crash(disk):
                check(workload, crashed_disk, policy, power_cut, (first, crash_at, power_cut))
                points += 1
    assert points > 3_000


@pytest.mark.parametrize("name", FAULTS)
def test_the_log_resumes_without_a_restart_once_the_fault_ends(name: str) -> None:
    operations, error = FAULTS[name]
    affected_count = 0
    for first in range(1, count_operations(None, "always") + 1):
        disk, workload = SimDisk(fault=Fault(error, operations, first)), Workload()
        try:
            log = workload.run(disk, "always")
        except OSError:  # only opening the log may raise
            assert first <= 2
            continue
        disk.fault = None
        affected_count += len(workload.accepted) < 10
        accepted_count = len(workload.accepted)
        for round_number in range(20, 26):
            workload.offer(log, round_number)
        assert len(workload.accepted) == accepted_count + 9
        for power_cut, crashed_disk in disks_after_crash(disk):
            check(workload, crashed_disk, "always", power_cut, first)
    assert affected_count > 5


@pytest.mark.parametrize("name", FAULTS)
def test_a_start_during_a_fault_reads_all_records_and_accepts_new_ones_once_it_ends(name: str) -> None:
    operations, error = FAULTS[name]
    for crash_at in range(1, count_operations(None, "always") + 1):
        disk, workload = SimDisk(crash_at), Workload()
        with suppress(Crash):
            workload.run(disk, "always")
        disk_after_kill = disk.after_kill()
        disk_after_kill.fault = Fault(error, operations)
        log, found = recover(disk_after_kill, "always", SEGMENT_BYTES)
        got = recovered_records(found)
        assert got[: len(workload.accepted)] == workload.accepted
        disk_after_kill.fault = None
        log.append(b"after")
        log.commit()
        for lost in Lost:
            assert recover_records(disk_after_kill.after_crash(lost, False), "always") == [
                *got,
                b"after",
            ], crash_at


@pytest.mark.parametrize(
    "operation", [Operation.REPLACE, Operation.SYNC_FOLDER, Operation.REMOVE, Operation.SYNC]
)
def test_records_after_a_partly_failed_snapshot_are_recovered_with_or_without_it(
    operation: Operation,
) -> None:
    disk = SimDisk()
    log, _ = recover(disk)
    for payload in (b"a", b"b"):
        log.append(payload)
        log.commit()
    disk.fault = Fault(errno.EIO, frozenset({operation}))
    with pytest.raises(OSError, match="Input/output"):
        log.snapshot(b"a;b")
    disk.fault = None
    log.append(b"c")
    log.commit()
    for _, crashed_disk in disks_after_crash(disk):
        assert recover_records(crashed_disk, "always") == [b"a", b"b", b"c"]
    log.snapshot(b"a;b;c")
    assert [name for name in disk.names() if name.endswith(".snap")] == ["0000000000000003.snap"]
