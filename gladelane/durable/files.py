"""What the log asks of a disk, and a folder that gives it. `lab.simdisk` gives the same without one."""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class InUse(OSError):
    """Another process has the folder open."""


class Disk(Protocol):
    """Files by plain names. Nothing is sure to outlive a crash before `sync` of the file and, for names that
    came, went or changed, `sync_folder`."""

    def names(self) -> list[str]: ...

    def read(self, name: str) -> bytes: ...

    def append(self, name: str, data: bytes) -> None:
        """At the end of a file, which is made if there is none. An error may leave a part of it written."""

    def size(self, name: str) -> int: ...

    def truncate(self, name: str, size: int) -> None: ...

    def sync(self, name: str) -> None: ...

    def replace(self, name: str, to: str) -> None:
        """Gives a file another name, in place of what had it."""

    def remove(self, name: str) -> None: ...

    def sync_folder(self) -> None: ...

    def close(self) -> None: ...


def replace_file(path: Path, data: bytes) -> None:
    """As a whole and for good: a reader finds the old bytes or the new ones, also after a power cut."""
    fresh = path.with_name(f"{path.name}.half")
    with open(fresh, "wb", opener=lambda name, flags: os.open(name, flags, 0o600)) as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(fresh, path)
    folder = os.open(path.parent, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


def set_aside(path: Path) -> Path:
    """Gives a folder that cannot be read another name, for whoever looks into it; its place is free again."""
    number = 1
    while (aside := path.with_name(f"{path.name}.damaged-{number}")).exists():
        number += 1
    os.rename(path, aside)
    return aside


class Folder:
    """A folder of the file system, locked for this process as long as it is open."""

    def __init__(self, path: str | Path) -> None:
        """Raises InUse, or OSError where the folder cannot be made, read or written."""
        self.path = Path(path)
        self.path.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.path / "LOCK", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self._open: dict[str, int] = {}
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock)
            raise InUse(errno.EBUSY, "another process has it open", str(self.path)) from None

    def names(self) -> list[str]:
        return sorted(name for name in os.listdir(self.path) if name != "LOCK")

    def read(self, name: str) -> bytes:
        return (self.path / name).read_bytes()

    def append(self, name: str, data: bytes) -> None:
        view = memoryview(data)
        while view:
            view = view[os.write(self._file(name), view) :]

    def size(self, name: str) -> int:
        return (self.path / name).stat().st_size

    def truncate(self, name: str, size: int) -> None:
        os.ftruncate(self._file(name), size)

    def sync(self, name: str) -> None:
        os.fsync(self._file(name))

    def replace(self, name: str, to: str) -> None:
        self._forget(name)
        self._forget(to)
        os.replace(self.path / name, self.path / to)

    def remove(self, name: str) -> None:
        self._forget(name)
        os.unlink(self.path / name)

    def sync_folder(self) -> None:
        folder = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)

    def close(self) -> None:
        for name in list(self._open):
            self._forget(name)
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def _file(self, name: str) -> int:
        if name not in self._open:
            flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC
            self._open[name] = os.open(self.path / name, flags, 0o600)
        return self._open[name]

    def _forget(self, name: str) -> None:
        if name in self._open:
            os.close(self._open.pop(name))
