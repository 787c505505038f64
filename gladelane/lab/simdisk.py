"""A simulated disk in memory: loses unsynced data like a real one, and injects failures and crashes.

Appended bytes become durable with `sync`, changes of names with `sync_folder`. At a crash all other data is
lost, preserved, preserved in part or garbled, according to the variant. A failed sync discards the data it
should have stored: the process still reads it, and a later sync succeeds without storing it, as Linux does
with pages whose write-back failed. All disk operations are counted, so that a test covers every crash point
and every fault instead of a random selection.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass
from enum import Enum
from typing import NoReturn


class Crash(BaseException):
    """The process crashes here. Not an Exception, so that no handler continues after it."""


class Lost(Enum):
    """What a crash does to written but unsynced bytes."""

    ALL = "all"
    HALF = "half"
    NOTHING = "nothing"
    GARBLED = "garbled"  # the size is right, the content is not


class Operation(Enum):
    """The operations of a program on a disk. OPEN: an append that creates its file."""

    OPEN = "open"
    APPEND = "append"
    TRUNCATE = "truncate"
    SYNC = "sync"
    REPLACE = "replace"
    REMOVE = "remove"
    SYNC_FOLDER = "sync_folder"


EVERY_OPERATION = frozenset(Operation)


@dataclass(frozen=True)
class Fault:
    """Makes operations of a kind fail with an error number; `first` and `last` bound the affected numbers."""

    error: int
    operations: frozenset[Operation] = EVERY_OPERATION
    first: int = 1
    last: int = 1 << 60

    def strikes(self, operation: Operation, number: int) -> bool:
        """Whether this operation fails, which has this number among all operations."""
        return operation in self.operations and self.first <= number <= self.last


class _File:
    """The content of a file, independent of its name: as the process reads it, and as it is durable."""

    def __init__(self, data: bytes = b"") -> None:
        self.now = self.platter = data
        self._dirty: list[tuple[int, int]] = []
        self._resized = False

    def append(self, data: bytes) -> None:
        start = len(self.now)
        self.now += data
        self._dirty.append((start, len(self.now)))
        self._resized = True

    def truncate(self, size: int) -> None:
        self.now = self.now[:size]
        self._dirty = [(start, min(end, size)) for start, end in self._dirty if start < size]
        self._resized = True

    def sync(self) -> None:
        data = bytearray(self.platter)
        for start, end in self._dirty:
            data.extend(bytes(max(end - len(data), 0)))
            data[start:end] = self.now[start:end]
        if self._resized:
            del data[len(self.now) :]
            data.extend(bytes(len(self.now) - len(data)))
        self.platter = bytes(data)
        self.drop()

    def drop(self) -> None:
        """Discards what is not durable: it never will be, unless it is written again."""
        self._dirty, self._resized = [], False

    def after_crash(self, lost: Lost) -> bytes:
        if lost is Lost.ALL:
            return self.platter
        if lost is Lost.NOTHING:
            return self.now
        if lost is Lost.GARBLED:
            return self.platter[: len(self.now)] + bytes(max(len(self.now) - len(self.platter), 0))
        if not self.now.startswith(self.platter):
            return self.platter
        tail = self.now[len(self.platter) :]
        return self.platter + tail[: len(tail) // 2]

    def copy(self) -> _File:
        copied = _File(self.platter)
        copied.now, copied._dirty, copied._resized = self.now, list(self._dirty), self._resized
        return copied


class SimDisk:
    """A disk with its files.

    - `crash_at`: crashes at this operation, counted from 1, before it takes effect, or for `append` in its
      middle; 0: never.
    - `capacity_bytes`: beyond it appends fail with ENOSPC, half written.
    - `fault`: further failures; may be changed at any time.
    """

    def __init__(self, crash_at: int = 0, capacity_bytes: int = 1 << 60, fault: Fault | None = None) -> None:
        self.crash_at = crash_at
        self.capacity_bytes = capacity_bytes
        self.fault = fault
        self.operations = 0
        self._now: dict[str, _File] = {}  # by the name that the process sees
        self._stored: dict[str, _File] = {}  # by the durable name
        self._changed: set[str] = set()  # names that `sync_folder` would make durable

    def put(self, name: str, data: bytes) -> None:
        """Adds a file that was durable before the program started."""
        self._now[name] = self._stored[name] = _File(data)

    def after_crash(self, lost: Lost, names_survive: bool) -> SimDisk:
        """The disk that a new process finds after a power failure.

        `names_survive`: changes of names became durable without `sync_folder`."""
        disk = SimDisk()
        for name, file in (self._now if names_survive else self._stored).items():
            disk.put(name, file.after_crash(lost))
        return disk

    def after_kill(self) -> SimDisk:
        """The disk that a new process finds when only the process crashed.

        The operating system still has everything that was written, but unsynced data is not durable yet."""
        disk = SimDisk()
        copies = {id(file): file.copy() for file in (*self._now.values(), *self._stored.values())}
        disk._now = {name: copies[id(file)] for name, file in self._now.items()}
        disk._stored = {name: copies[id(file)] for name, file in self._stored.items()}
        disk._changed = set(self._changed)
        return disk

    def copy(self) -> SimDisk:
        """A copy of the present state, for a restart that finds an older disk than the process left."""
        return self.after_crash(Lost.NOTHING, names_survive=True)

    def _step(self, operation: Operation) -> None:
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash
        if self._struck(operation):
            self._fail()

    def _struck(self, operation: Operation) -> bool:
        return self.fault is not None and self.fault.strikes(operation, self.operations)

    def _fail(self) -> NoReturn:
        assert self.fault is not None
        raise OSError(self.fault.error, os.strerror(self.fault.error))

    def names(self) -> list[str]:
        """The names of the files, as the process sees them."""
        return sorted(self._now)

    def read(self, name: str) -> bytes:
        """The content of a file, as the process sees it. Raises KeyError if there is none."""
        return self._now[name].now

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file. Raises Crash, and OSError if the disk is full or the fault applies."""
        self.operations += 1
        used = sum(len(file.now) for file in self._now.values())
        if name not in self._now and self.operations != self.crash_at and self._struck(Operation.OPEN):
            self._fail()
        if self.operations == self.crash_at:
            self._open(name).append(data[: len(data) // 2])
            raise Crash
        if self._struck(Operation.APPEND):
            self._open(name).append(data[: len(data) // 2])
            self._fail()
        if used + len(data) > self.capacity_bytes:
            self._open(name).append(data[: max(self.capacity_bytes - used, 0)])
            raise OSError(errno.ENOSPC, "No space left on device")
        self._open(name).append(data)

    def _open(self, name: str) -> _File:
        if name not in self._now:
            self._now[name] = _File()
            self._changed.add(name)
        return self._now[name]

    def size(self, name: str) -> int:
        """The size of a file in bytes. Raises KeyError if there is none."""
        return len(self._now[name].now)

    def truncate(self, name: str, size: int) -> None:
        """Truncates a file to `size` bytes. Raises Crash, OSError."""
        self._step(Operation.TRUNCATE)
        self._open(name).truncate(size)

    def sync(self, name: str) -> None:
        """Makes the content of a file durable. Raises Crash, OSError."""
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash
        if self._struck(Operation.SYNC):
            self._now[name].drop()
            self._fail()
        self._now[name].sync()

    def replace(self, name: str, to: str) -> None:
        """Renames a file, replacing a file of the new name. Raises Crash, OSError."""
        self._step(Operation.REPLACE)
        self._now[to] = self._now.pop(name)
        self._changed.update((name, to))

    def remove(self, name: str) -> None:
        """Removes a file. Raises Crash, and OSError if there is no such file or the fault applies."""
        self._step(Operation.REMOVE)
        if name not in self._now:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        del self._now[name]
        self._changed.add(name)

    def sync_folder(self) -> None:
        """Makes the names of files durable. Raises Crash, OSError."""
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash
        if self._struck(Operation.SYNC_FOLDER):
            self._changed.clear()
            self._fail()
        for name in self._changed:
            if name in self._now:
                self._stored[name] = self._now[name]
            else:
                self._stored.pop(name, None)
        self._changed.clear()

    def close(self) -> None:
        """No effect: the files are in memory."""
        pass
