"""Controls the library `syscalls.c` in a running process: which system calls fail, and how.

    faults = SystemCallFaults.create(folder)
    ...  # start a process with `faults.environment()`
    with faults.injecting(Fault(Call.CONNECT, errno.EADDRNOTAVAIL, rate=0.5)):
        ...  # calls fail meanwhile

If no fault was injected in such a block it raises NothingInjectedError, because a test without the fault
proves nothing. Several processes may share a control file; they then share faults and counts.
"""

from __future__ import annotations

import mmap
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import IntEnum, IntFlag
from pathlib import Path

from .build import compile_library

VARIABLE = "GLADELANE_FAULTS"
VERSION = 2
SHORT = 0  # instead of an errno: transfers one byte only
RATE_UNITS = 2**32
UNBOUNDED = -1
_HEADER = struct.Struct("=II")
_ORDER = struct.Struct("=IiIIIIQq")  # is_on, error, rate, scope, port, unused, seed, most
_COUNTS = struct.Struct("=QQQ")  # made, injected, reached
_SLOT_BYTES = _ORDER.size + _COUNTS.size


class Call(IntEnum):
    """A kind of system call, in the order of the library's `enum call`."""

    ACCEPT = 0  # accept, accept4
    SOCKET = 1
    CONNECT = 2
    SETSOCKOPT = 3
    GETSOCKOPT = 4
    READ = 5  # read, readv, recv, recvmsg
    WRITE = 6  # write, writev, send, sendmsg
    WAIT = 7  # poll, epoll_wait, epoll_pwait
    EPOLL_CTL = 8  # additions only
    OPEN = 9  # open, openat
    SYNC = 10  # fsync, fdatasync
    BIND = 11
    LISTEN = 12
    GETSOCKNAME = 13
    CLOSE = 14


TRANSFERS = frozenset({Call.READ, Call.WRITE})


class Scope(IntFlag):
    """Conditions on the descriptors that a fault affects."""

    ANY = 0
    TCP = 1
    UNIX = 2
    FILE = 4
    ACCEPTED = 8  # TCP connections that the process accepted
    CONNECTED = 16  # TCP connections that the process opened
    UNIX_PEER = 32  # Unix sockets that it accepted or opened


class NothingInjectedError(AssertionError):
    """A block with a fault ended, and the fault had affected no call."""

    def __init__(self, fault: Fault, made: int) -> None:
        super().__init__(f"{fault} was injected into none of {made} calls")
        self.fault, self.made = fault, made


@dataclass(frozen=True, slots=True)
class Fault:
    """How a kind of system call fails while the fault is active.

    `error` is an errno or SHORT, `rate` the share of affected calls, and `most` the limit of their number.
    `port` is that of a listener and its accepted connections, or the remote port of an opened connection;
    0: any. The same seed affects the same calls by number.
    """

    call: Call
    error: int
    rate: float = 1.0
    scope: Scope = Scope.TCP
    port: int = 0
    seed: int = 1
    most: int = UNBOUNDED

    def __post_init__(self) -> None:
        if self.error == SHORT and self.call not in TRANSFERS:
            raise ValueError(f"{self.call.name} transfers nothing")
        if not 0.0 < self.rate <= 1.0:
            raise ValueError(f"rate {self.rate} is not above 0 and at most 1")


@dataclass(frozen=True, slots=True)
class Counts:
    """Numbers of calls. `made`: in scope since the fault was activated; `injected`: those that it affected.

    `reached`: all calls of the kind that the library saw since the process started."""

    made: int
    injected: int
    reached: int


class SystemCallFaults:
    """The control file of one or more processes and the library that reads it."""

    def __init__(self, library: Path, path: Path) -> None:
        self._library, self._path = library, path
        size = _HEADER.size + _SLOT_BYTES * len(Call)
        path.write_bytes(_HEADER.pack(VERSION, len(Call)).ljust(size, b"\0"))
        with open(path, "r+b") as file:
            self._shared = mmap.mmap(file.fileno(), size)

    @classmethod
    def create(cls, folder: Path) -> SystemCallFaults:
        """Compiles the library into `folder`. Raises FileNotFoundError if there is no compiler."""
        return cls(compile_library("syscalls", folder), folder / "faults")

    def environment(self) -> dict[str, str]:
        """The environment variables for a process."""
        return {"LD_PRELOAD": str(self._library), VARIABLE: str(self._path)}

    def counts(self, call: Call) -> Counts:
        """The numbers of calls since the fault was activated."""
        return Counts(*_COUNTS.unpack_from(self._shared, self._offset(call) + _ORDER.size))

    def start(self, fault: Fault) -> None:
        """Activates a fault; it replaces one of the same call. Counts start from 0."""
        self.stop(fault.call)
        offset = self._offset(fault.call)
        reached = self.counts(fault.call).reached
        _COUNTS.pack_into(self._shared, offset + _ORDER.size, 0, 0, reached)
        rate = min(int(fault.rate * RATE_UNITS), RATE_UNITS - 1)
        order = _ORDER.pack(1, fault.error, rate, int(fault.scope), fault.port, 0, fault.seed, fault.most)
        self._shared[offset + 4 : offset + _ORDER.size] = order[4:]
        self._shared[offset : offset + 4] = order[:4]  # written last, because the library reads it first

    def stop(self, call: Call) -> None:
        """Deactivates the fault of this call."""
        offset = self._offset(call)
        self._shared[offset : offset + 4] = b"\0\0\0\0"

    @contextmanager
    def injecting(self, *faults: Fault) -> Iterator[None]:
        """Activates the faults for a block. Raises NothingInjectedError if one of them affected no call."""
        for fault in faults:
            self.start(fault)
        try:
            yield
        finally:
            for fault in faults:
                self.stop(fault.call)
        for fault in faults:
            counts = self.counts(fault.call)
            if not counts.injected:
                raise NothingInjectedError(fault, counts.made)

    @staticmethod
    def _offset(call: Call) -> int:
        return _HEADER.size + _SLOT_BYTES * call
