"""Transient disk faults for the tests of all packages that store state, and the disks that a process may find
after a crash."""

from __future__ import annotations

import errno

import pytest

from gladelane.lab.simdisk import EVERY_OPERATION, Fault, Lost, Operation, SimDisk


def fault(error: int, *operations: Operation) -> Fault:
    return Fault(error, frozenset(operations) or EVERY_OPERATION)


#: Each makes a commit fail. A commit only renames or opens a file after a failed sync, so faults of these
#: operations come together with a fault of the sync.
FAULTS = {
    "full": fault(errno.ENOSPC, Operation.OPEN, Operation.APPEND),
    "full when synced": fault(errno.ENOSPC, Operation.SYNC),
    "write fails": fault(errno.EIO, Operation.APPEND),
    "write fails and cannot be taken back": fault(errno.EIO, Operation.APPEND, Operation.TRUNCATE),
    "sync fails": fault(errno.EIO, Operation.SYNC),
    "folder sync and sync fail": fault(errno.EIO, Operation.SYNC_FOLDER, Operation.SYNC),
    "rename and sync fail": fault(errno.EIO, Operation.REPLACE, Operation.SYNC),
    "open and sync fail": fault(errno.EIO, Operation.OPEN, Operation.SYNC),
    "everything fails": fault(errno.EIO),
}
#: The faults that also affect a log that is never synced.
UNSYNCED_LOG_FAULTS = [name for name, each in FAULTS.items() if Operation.APPEND in each.operations]


def disks_after_crash(disk: SimDisk) -> list[SimDisk]:
    """The disk after a kill of the process, and after a power cut in each of its variants."""
    return [
        disk.after_kill(),
        *(disk.after_crash(lost, names_survive) for lost in Lost for names_survive in (True, False)),
    ]


def has_one_outage_logged(caplog: pytest.LogCaptureFixture, data_name: str) -> bool:
    """Whether the log has exactly one line that the data is not stored, and after it one that it is stored
    again."""
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith(data_name)]
    return len(lines) == 2 and "not stored: " in lines[0] and lines[1] == f"{data_name} stored again"
