"""Replacement of a log by snapshots, also if a snapshot cannot be stored."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

import pytest
from disk_faults import disks_after_crash, fault, has_one_outage_logged

from gladelane.lab.simdisk import Operation, SimDisk
from gladelane.storage.compaction import LogCompaction
from gladelane.storage.log import recover
from gladelane.storage.outage import Outage

Write = Callable[[LogCompaction, bytes], None]
WRITE_METHODS: list[Write] = [
    lambda compaction, payload: asyncio.run(compaction.write(payload)),
    lambda compaction, payload: compaction.write_blocking(payload),
]


def open_compaction(disk: SimDisk, retry_after_records: int) -> LogCompaction:
    log, found = recover(disk)
    outage = Outage(logging.getLogger("test"), "snapshot")
    return LogCompaction(log, outage, len(found.records), 5, retry_after_records)


@pytest.mark.parametrize("write", WRITE_METHODS)
def test_a_snapshot_is_due_after_the_configured_number_of_records_and_replaces_the_log(write: Write) -> None:
    disk = SimDisk()
    compaction = open_compaction(disk, 0)
    compaction.add(4)
    assert not compaction.is_due
    compaction.add(1)
    assert compaction.is_due
    write(compaction, b"state")
    assert not compaction.is_due and compaction.record_count == 0
    for found in (recover(crashed_disk)[1] for crashed_disk in disks_after_crash(disk)):
        assert found.snapshot == b"state" and not found.records


@pytest.mark.parametrize("write", WRITE_METHODS)
@pytest.mark.parametrize("retry_after_records", [0, 2])
def test_a_snapshot_that_fails_is_due_again_after_the_configured_number_of_records(
    write: Write, retry_after_records: int, caplog: pytest.LogCaptureFixture
) -> None:
    disk = SimDisk()
    compaction = open_compaction(disk, retry_after_records)
    compaction.add(6)
    disk.fault = fault(errno.EIO, Operation.REPLACE)
    for _ in range(2):
        write(compaction, b"state")
        for _ in range(retry_after_records):
            assert not compaction.is_due
            compaction.add(1)
        assert compaction.is_due
    disk.fault = None
    write(compaction, b"state")
    assert not compaction.is_due
    assert has_one_outage_logged(caplog, "snapshot")
