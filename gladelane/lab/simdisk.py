"""A disk in memory that forgets as real ones do, fails when told to, and crashes at any chosen operation.

What was appended reaches the platter with `sync`, what became of names with `sync_folder`; at a crash the
rest is lost, kept, kept in part, or turned to other bytes, as the variant says. A sync that fails drops
what it was asked to store: the process still reads it, and a later sync says yes without having stored it, as
Linux does with pages whose write-back failed. Everything a program does to a disk is counted, so a test goes
through all crash points and all faults instead of drawing some.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass
from enum import Enum
from typing import NoReturn


class Crash(BaseException):
    """The process died here. Not an Exception: nothing may catch it and go on."""


class Lost(Enum):
    """What becomes of bytes that were written and not synced."""

    ALL = "all"
    HALF = "half"
    NOTHING = "nothing"
    GARBLED = "garbled"  # their place is there, their content is not


class Operation(Enum):
    """What a program does to a disk. OPEN: an append to a file that is not there yet."""

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
    """Operations that fail with an error number while they are counted from `first` to `last`."""

    error: int
    operations: frozenset[Operation] = EVERY_OPERATION
    first: int = 1
    last: int = 1 << 60

    def strikes(self, operation: Operation, number: int) -> bool:
        """Whether this operation, the `number`th in all, fails."""
        return operation in self.operations and self.first <= number <= self.last


class _File:
    """One file whatever its name: as the process reads it, and as the platter has it for sure."""

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
        """What is not stored by now never will be, unless it is written again."""
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
    """crash_at: dies at this operation, counted from 1, before it takes effect, or for `append` in its
    middle; 0: never. capacity_bytes: after which appends fail with ENOSPC, half written. fault: what else
    fails; may be changed at any time."""

    def __init__(self, crash_at: int = 0, capacity_bytes: int = 1 << 60, fault: Fault | None = None) -> None:
        self.crash_at = crash_at
        self.capacity_bytes = capacity_bytes
        self.fault = fault
        self.operations = 0
        self._now: dict[str, _File] = {}  # by the name that the process sees
        self._stored: dict[str, _File] = {}  # by the name that the platter has for sure
        self._changed: set[str] = set()  # names that a `sync_folder` would store

    def put(self, name: str, data: bytes) -> None:
        """A file that was stored before the program began."""
        self._now[name] = self._stored[name] = _File(data)

    def after_crash(self, lost: Lost, names_survive: bool) -> SimDisk:
        """The disk that a new process finds after a power cut. names_survive: changes of names came through
        without sync_folder."""
        disk = SimDisk()
        for name, file in (self._now if names_survive else self._stored).items():
            disk.put(name, file.after_crash(lost))
        return disk

    def after_kill(self) -> SimDisk:
        """The disk that a new process finds when the process alone died: the system still has all that was
        written, and still owes the platter what was not synced."""
        disk = SimDisk()
        copies = {id(file): file.copy() for file in (*self._now.values(), *self._stored.values())}
        disk._now = {name: copies[id(file)] for name, file in self._now.items()}
        disk._stored = {name: copies[id(file)] for name, file in self._stored.items()}
        disk._changed = set(self._changed)
        return disk

    def copy(self) -> SimDisk:
        """As it is now, for a start that finds an older disk than the one it left."""
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
        """The files, as the process sees them."""
        return sorted(self._now)

    def read(self, name: str) -> bytes:
        """What the process sees of a file. Raises KeyError where there is none."""
        return self._now[name].now

    def append(self, name: str, data: bytes) -> None:
        """Raises Crash, and OSError where the disk is full or a fault strikes."""
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
        """Bytes of a file. Raises KeyError where there is none."""
        return len(self._now[name].now)

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to `size` bytes. Raises Crash, OSError."""
        self._step(Operation.TRUNCATE)
        self._open(name).truncate(size)

    def sync(self, name: str) -> None:
        """Stores what a file holds. Raises Crash, OSError."""
        self.operations += 1
        if self.operations == self.crash_at:
            raise Crash
        if self._struck(Operation.SYNC):
            self._now[name].drop()
            self._fail()
        self._now[name].sync()

    def replace(self, name: str, to: str) -> None:
        """Gives a file another name, in place of what had it. Raises Crash, OSError."""
        self._step(Operation.REPLACE)
        self._now[to] = self._now.pop(name)
        self._changed.update((name, to))

    def remove(self, name: str) -> None:
        """Raises Crash, and OSError where there is no such file or a fault strikes."""
        self._step(Operation.REMOVE)
        if name not in self._now:
            raise FileNotFoundError(errno.ENOENT, "No such file", name)
        del self._now[name]
        self._changed.add(name)

    def sync_folder(self) -> None:
        """Stores the names of files. Raises Crash, OSError."""
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
        """Nothing: the files are in memory."""
        pass
