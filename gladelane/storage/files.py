"""File access for stored state: the `Disk` protocol, its implementation `Folder`, and atomic replacement of
files.

`lab.simdisk` implements the same protocol in memory.
"""

from __future__ import annotations

import errno
import fcntl
import os
from contextlib import suppress
from pathlib import Path
from typing import Protocol

LOCK_NAME = "LOCK"
TEMPORARY_SUFFIX = ".half"  # of a file that is still being written
FILE_MODE = 0o600
FOLDER_FLAGS = os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC


class FolderInUseError(OSError):
    """Another process has the folder open. `filename` is its path."""


class Disk(Protocol):
    """A flat set of named files, without subfolders.

    Data is only certain to survive a power cut after `sync` of its file, and a new, removed or changed file
    name only after `sync_folder`. All methods may raise OSError.
    """

    def names(self) -> list[str]:
        """The names of all files, sorted."""

    def read(self, name: str) -> bytes:
        """The content of a file."""

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is created if missing. After an error, part of the data may be written."""

    def size(self, name: str) -> int:
        """The size of a file in bytes."""

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to a size in bytes."""

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""

    def replace(self, name: str, to: str) -> None:
        """Renames a file, in place of any file that has the new name."""

    def remove(self, name: str) -> None:
        """Removes a file."""

    def sync_folder(self) -> None:
        """Makes the names of all files durable."""

    def close(self) -> None:
        """Releases all descriptors and the lock of the folder."""


def write_temporary(disk: Disk, name: str, data: bytes) -> str:
    """Writes and syncs a new file that is to replace `name`; returns its temporary name. Raises OSError."""
    temporary = f"{name}{TEMPORARY_SUFFIX}"
    with suppress(FileNotFoundError):
        disk.remove(temporary)  # left by an earlier attempt
    try:
        disk.append(temporary, data)
        disk.sync(temporary)
    except OSError:
        with suppress(OSError):
            disk.remove(temporary)
        raise
    return temporary


def replace_on_disk(disk: Disk, name: str, data: bytes) -> None:
    """Replaces a complete file durably. If it raises OSError, a later crash may leave the old or the new
    content."""
    disk.replace(write_temporary(disk, name, data), name)
    disk.sync_folder()


def replace_file(path: Path, data: bytes) -> None:
    """Replaces a file atomically and durably; readers see the old content or the new, also after a power cut.

    Raises OSError.
    """
    temporary = path.with_name(f"{path.name}{TEMPORARY_SUFFIX}")
    # An earlier attempt may have left the file after a failed sync. It must not be reused: the kernel may
    # have dropped its unwritten pages, so that a second sync of the same file would succeed without storing
    # them.
    temporary.unlink(missing_ok=True)
    with open(temporary, "wb", opener=lambda name, flags: os.open(name, flags, FILE_MODE)) as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


def rename_damaged_folder(path: Path) -> Path:
    """Renames a folder with unreadable content, so that the path is free and the files can be examined later.

    Returns the new path. Raises OSError.
    """
    number = 1
    while (renamed := path.with_name(f"{path.name}.damaged-{number}")).exists():
        number += 1
    os.rename(path, renamed)
    return renamed


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, FOLDER_FLAGS)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class Folder:
    """A `Disk` in a folder of the file system, locked for this process while it is open."""

    def __init__(self, path: str | Path) -> None:
        """Creates the folder if missing, and locks it.

        Raises FolderInUseError, or another OSError if the folder cannot be created, read or written.
        """
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.path / LOCK_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        self._descriptors: dict[str, int] = {}
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise FolderInUseError(errno.EBUSY, "another process has it open", str(self.path)) from None

    def names(self) -> list[str]:
        """The names of all files but the lock, sorted."""
        return sorted(name for name in os.listdir(self.path) if name != LOCK_NAME)

    def read(self, name: str) -> bytes:
        """The content of a file."""
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        """Appends to a file, which is created if missing."""
        descriptor, remaining = self._descriptor(name), memoryview(data)
        while remaining:
            remaining = remaining[os.write(descriptor, remaining) :]

    def size(self, name: str) -> int:
        """The size of a file in bytes."""
        return (self.path / name).stat().st_size

    def truncate(self, name: str, size: int) -> None:
        """Cuts a file to a size in bytes."""
        os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Makes the content of a file durable."""
        os.fsync(self._descriptor(name))

    def replace(self, name: str, to: str) -> None:
        """Renames a file, in place of any file that has the new name."""
        self._close_descriptor(name)
        self._close_descriptor(to)
        os.replace(self.path / name, self.path / to)

    def remove(self, name: str) -> None:
        """Removes a file."""
        self._close_descriptor(name)
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        """Makes the names of all files durable."""
        _sync_folder(self.path)

    def close(self) -> None:
        """Closes all files and unlocks the folder; may be called again."""
        for name in list(self._descriptors):
            self._close_descriptor(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _descriptor(self, name: str) -> int:
        if name not in self._descriptors:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._descriptors[name] = os.open(self.path / name, flags, FILE_MODE)
        return self._descriptors[name]

    def _close_descriptor(self, name: str) -> None:
        if name in self._descriptors:
            os.close(self._descriptors.pop(name))
