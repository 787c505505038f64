"""Controls the library `syscalls.c` in a running process: which system calls fail, and how.

    faults = SystemCallFaults.create(folder)
    ...  # start a process with `faults.environment()`
    with faults.injecting(Fault(Call.CONNECT, errno.EADDRNOTAVAIL, rate=0.5)):
        ...  # calls fail meanwhile

A span in which nothing was injected raises NothingInjectedError: a test of a fault that never came proves
nothing. Several processes may share one control file; they then share faults and counts.
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
SHORT = 0  # in place of an errno: a transfer of one byte
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
    """What a descriptor has to be for a fault to reach it."""

    ANY = 0
    TCP = 1
    UNIX = 2
    FILE = 4
    ACCEPTED = 8  # TCP connections that the process accepted
    CONNECTED = 16  # and those that it dialled
    UNIX_PEER = 32  # Unix sockets that it accepted or dialled


class NothingInjectedError(AssertionError):
    """A span with a fault ended and no call had failed by it."""

    def __init__(self, fault: Fault, made: int) -> None:
        super().__init__(f"{fault} was injected into none of {made} calls")
        self.fault, self.made = fault, made


@dataclass(frozen=True, slots=True)
class Fault:
    """How a kind of call fails while this is on.

    `error` is an errno or SHORT, `rate` the share of calls that are disturbed, and `most` bounds how many
    are. `port` is that of a listener, which what it accepted shares, or the one that was dialled; 0: any. The
    same seed disturbs the same calls by number.
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
    """`made`: calls in scope since a fault was switched on; `injected`: of those that it disturbed;
    `reached`: all calls of the kind that came by the library since the process started."""

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
        """Compiles the library into `folder`. Raises FileNotFoundError where the machine has no compiler."""
        return cls(compile_library("syscalls", folder), folder / "faults")

    def environment(self) -> dict[str, str]:
        """What a process is to be started with."""
        return {"LD_PRELOAD": str(self._library), VARIABLE: str(self._path)}

    def counts(self, call: Call) -> Counts:
        """How many calls there were since the fault was switched on, and how many it disturbed."""
        return Counts(*_COUNTS.unpack_from(self._shared, self._offset(call) + _ORDER.size))

    def start(self, fault: Fault) -> None:
        """From now on; a fault of the same call that was on is replaced. Counts begin anew."""
        self.stop(fault.call)
        offset = self._offset(fault.call)
        reached = self.counts(fault.call).reached
        _COUNTS.pack_into(self._shared, offset + _ORDER.size, 0, 0, reached)
        rate = min(int(fault.rate * RATE_UNITS), RATE_UNITS - 1)
        order = _ORDER.pack(1, fault.error, rate, int(fault.scope), fault.port, 0, fault.seed, fault.most)
        self._shared[offset + 4 : offset + _ORDER.size] = order[4:]
        self._shared[offset : offset + 4] = order[:4]  # last: the library reads this first

    def stop(self, call: Call) -> None:
        """Calls of this kind fail no more."""
        offset = self._offset(call)
        self._shared[offset : offset + 4] = b"\0\0\0\0"

    @contextmanager
    def injecting(self, *faults: Fault) -> Iterator[None]:
        """Raises NothingInjectedError at the end of a span in which one of them disturbed no call."""
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
