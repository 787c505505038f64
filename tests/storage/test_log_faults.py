"""The write-ahead log under transient disk faults: each operation of a short workload fails in turn, alone or with
those after it, and the process is killed or the power is cut at each later operation."""

from __future__ import annotations

import errno
from contextlib import suppress

import pytest

from gladelane.lab.simdisk import EVERY_OPERATION, Crash, Fault, Lost, Operation, SimDisk
from gladelane.storage.files import Disk
from gladelane.storage.log import RecoveredLog, SyncPolicy, WriteAheadLog, recover

SEGMENT_BYTES = 120  # small: two records or three
SYNCS = frozenset({Operation.SYNC, Operation.SYNC_FOLDER})
ROUNDS = 7


def state(found: RecoveredLog) -> list[bytes]:
    """Snapshots here hold the records before them, joined."""
    before = found.snapshot.split(b";") if found.snapshot else []
    return [*before, *found.records]


class Work:
    """Offers a batch of one or two records a round, and a snapshot now and then. What fails is offered again,
    or in every third round dropped for good. `accepted`: what was committed; `offered`: all that ever was."""

    def __init__(self) -> None:
        self.accepted: list[bytes] = []
        self.offered: set[bytes] = set()

    def run(self, disk: Disk, policy: SyncPolicy, rounds: int = ROUNDS) -> WriteAheadLog:
        log, found = recover(disk, policy, SEGMENT_BYTES)
        assert state(found) == self.accepted
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


def recovered(disk: SimDisk, policy: SyncPolicy) -> list[bytes]:
    return state(recover(disk, policy, SEGMENT_BYTES)[1])


def check(work: Work, disk: SimDisk, policy: SyncPolicy, power_cut: bool, where: object) -> None:
    """All that was accepted is there, in its order, and behind it at most what was being offered last; what a
    start has found is found again after the power was cut, whatever the disk before it had dropped."""
    log, found = recover(disk, policy, SEGMENT_BYTES)
    got = state(found)
    if policy == "always" or not power_cut:
        assert got[: len(work.accepted)] == work.accepted, where
        extra = got[len(work.accepted) :]
        assert len(extra) <= 2 and set(extra) <= work.offered, where
    else:  # the end of a log that does not sync may be lost, never its middle
        shorter = min(len(got), len(work.accepted))
        assert got[:shorter] == work.accepted[:shorter], where
    if policy == "always":
        for lost in (Lost.ALL, Lost.GARBLED):
            assert recovered(disk.after_crash(lost, False), policy) == got, (where, lost)
    log.append(b"after")
    log.commit()
    assert recovered(disk.after_kill(), policy) == [*got, b"after"], where


def counted(fault: Fault | None, policy: SyncPolicy) -> int:
    disk = SimDisk(fault=fault)
    with suppress(OSError):
        Work().run(disk, policy)
    return disk.operations


def after(disk: SimDisk) -> list[tuple[bool, SimDisk]]:
    """The disks that a process may find after the crash, and whether the power was cut."""
    found = [
        (True, disk.after_crash(lost, names_survive)) for lost in Lost for names_survive in (True, False)
    ]
    return [(False, disk.after_kill()), *found]


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
def test_a_fault_at_each_operation_and_a_crash_at_each_later_one_lose_nothing_that_was_accepted(
    name: str, fault_length: int, policy: SyncPolicy
) -> None:
    operations, error = FAULTS[name]
    points = 0
    for first in range(1, counted(None, policy) + 1):
        fault = Fault(error, operations, first, first + fault_length - 1)
        for crash_at in range(first + 1, counted(fault, policy) + 1):
            disk, work = SimDisk(crash_at, fault=fault), Work()
            with suppress(Crash, OSError):
                work.run(disk, policy)
            for power_cut, left in after(disk):
                check(work, left, policy, power_cut, (first, crash_at, power_cut))
                points += 1
    assert points > 3_000


@pytest.mark.parametrize("name", FAULTS)
def test_the_log_resumes_without_a_restart_once_the_fault_ends(name: str) -> None:
    operations, error = FAULTS[name]
    struck = 0
    for first in range(1, counted(None, "always") + 1):
        disk, work = SimDisk(fault=Fault(error, operations, first)), Work()
        try:
            log = work.run(disk, "always")
        except OSError:  # raised by the start alone
            assert first <= 2
            continue
        disk.fault = None
        struck += len(work.accepted) < 10
        before = len(work.accepted)
        for round_number in range(20, 26):
            work.offer(log, round_number)
        assert len(work.accepted) == before + 9
        for power_cut, left in after(disk):
            check(work, left, "always", power_cut, first)
    assert struck > 5


@pytest.mark.parametrize("name", FAULTS)
def test_a_start_while_the_disk_fails_reads_all_and_stores_again_once_it_does_not(name: str) -> None:
    operations, error = FAULTS[name]
    for crash_at in range(1, counted(None, "always") + 1):
        disk, work = SimDisk(crash_at), Work()
        with suppress(Crash):
            work.run(disk, "always")
        left = disk.after_kill()
        left.fault = Fault(error, operations)
        log, found = recover(left, "always", SEGMENT_BYTES)
        got = state(found)
        assert got[: len(work.accepted)] == work.accepted
        left.fault = None
        log.append(b"after")
        log.commit()
        for lost in Lost:
            assert recovered(left.after_crash(lost, False), "always") == [*got, b"after"], crash_at


@pytest.mark.parametrize(
    "operation", [Operation.REPLACE, Operation.SYNC_FOLDER, Operation.REMOVE, Operation.SYNC]
)
def test_records_behind_a_snapshot_that_failed_half_way_are_found_with_it_and_without_it(
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
    for _, left in after(disk):
        assert recovered(left, "always") == [b"a", b"b", b"c"]
    log.snapshot(b"a;b;c")
    assert [name for name in disk.names() if name.endswith(".snap")] == ["0000000000000003.snap"]
