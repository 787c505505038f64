"""A disk in memory that forgets as real ones do, and crashes at any chosen operation.

What was appended reaches the platter with `sync`, what became of names with `sync_folder`; at a crash the
rest is lost, kept, kept in part, or turned to other bytes, as the variant says. Everything a program does to
a disk is counted, so a test goes through all crash points instead of drawing some.
"""

from __future__ import annotations

import errno
from enum import Enum


class Crash(BaseException):
    """The process died here. Not an Exception: nothing may catch it and go on."""


class Lost(Enum):
    """What becomes of bytes that were written and not synced."""

    ALL = "all"
    HALF = "half"
    NOTHING = "nothing"
    GARBLED = "garbled"  # their place is there, their content is not


class SimDisk:
    """crash_at: dies at this operation, counted from 1, before it takes effect, or for `append` in its
    middle; 0: never. room: bytes after which appends fail with ENOSPC, half written."""

    def __init__(self, crash_at: int = 0, room: int = 1 << 60) -> None:
        self.crash_at = crash_at
        self.room = room
        self.operations = 0
        self._now: dict[str, bytes] = {}  # as the process sees it
        self._stored: dict[str, bytes] = {}  # by the name that is stored
        self._synced: dict[str, int] = {}  # bytes of a file that are sure, by its present name
        self.fail_sync = False

    def after_crash(self, lost: Lost, names_kept: bool) -> SimDisk:
        """The disk that a new process finds. names_kept: changes of names came through without
        sync_folder."""
        disk = SimDisk()
        names = self._now if names_kept else self._stored
        for name, stored in names.items():
            data = self._now.get(name, stored) if not names_kept else stored
            sure = self._synced.get(name, 0) if name in self._now else len(stored)
            sure = min(sure, len(data))
            tail = data[sure:]
            if lost is Lost.ALL:
                tail = b""
            elif lost is Lost.HALF:
                tail = tail[: len(tail) // 2]
            elif lost is Lost.GARBLED:
                tail = bytes(len(tail))
            disk._now[name] = data[:sure] + tail
            disk._synced[name] = len(disk._now[name])
        disk._stored = dict(disk._now)
        return disk

    def copy(self) -> SimDisk:
        """As it is now, for a start that finds an older disk than the one it left."""
        disk = SimDisk()
        disk._now, disk._stored, disk._synced = dict(self._now), dict(self._now), dict(self._synced)
        return disk

    def _step(self) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash

    def names(self) -> list[str]:
        return sorted(self._now)

    def read(self, name: str) -> bytes:
        return self._now[name]

    def append(self, name: str, data: bytes) -> None:
        self.operations += 1
        used = sum(map(len, self._now.values()))
        if self.operations == self.crash_at:
            self._now[name] = self._now.get(name, b"") + data[: len(data) // 2]
            raise Crash
        if used + len(data) > self.room:
            self._now[name] = self._now.get(name, b"") + data[: max(self.room - used, 0)]
            raise OSError(errno.ENOSPC, "No space left on device")
        self._now[name] = self._now.get(name, b"") + data

    def size(self, name: str) -> int:
        return len(self._now[name])

    def truncate(self, name: str, size: int) -> None:
        self._step()
        self._now[name] = self._now[name][:size]
        self._synced[name] = min(self._synced.get(name, 0), size)

    def sync(self, name: str) -> None:
        self._step()
        if self.fail_sync:
            raise OSError(errno.EIO, "Input/output error")
        self._synced[name] = len(self._now[name])
        if name in self._stored:
            self._stored[name] = self._now[name]

    def replace(self, name: str, to: str) -> None:
        self._step()
        self._now[to] = self._now.pop(name)
        self._synced[to] = self._synced.pop(name, 0)

    def remove(self, name: str) -> None:
        self._step()
        if name not in self._now:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        del self._now[name]
        self._synced.pop(name, None)

    def sync_folder(self) -> None:
        self._step()
        self._stored = dict(self._now)

    def close(self) -> None:
        pass
