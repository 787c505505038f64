"""The ways in which a disk fails for a while, for the tests of all who store something, and the disks that a process may find
after them."""

from __future__ import annotations

import errno

import pytest

from gladelane.lab.simdisk import EVERY_OPERATION, Fault, Lost, Operation, SimDisk


def fault(error: int, *operations: Operation) -> Fault:
    return Fault(error, frozenset(operations) or EVERY_OPERATION)


#: Each strikes a commit; a file that is renamed or opened in one is written after a failed sync only.
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
#: Those that strike a log which is never synced.
UNSYNCED = [name for name, one in FAULTS.items() if Operation.APPEND in one.operations]


def crashed(disk: SimDisk) -> list[SimDisk]:
    """After a kill, and after a power cut in each of its variants."""
    return [disk.after_kill(), *(disk.after_crash(lost, kept) for lost in Lost for kept in (True, False))]


def said_once(caplog: pytest.LogCaptureFixture, what: str) -> bool:
    """Whether the log has one line that this is not stored, one later that it is again, and no more of either."""
    lines = [record.getMessage() for record in caplog.records if record.getMessage().startswith(what)]
    return len(lines) == 2 and "not stored: " in lines[0] and lines[1] == f"{what} stored again"
