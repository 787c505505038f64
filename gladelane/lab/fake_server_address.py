"""One address of a fake server: its listener and its possible faults."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Awaitable, Callable
from contextlib import suppress
from enum import Enum
from pathlib import Path

from ..endpoints.address import Address, Family
from .fake_server_connection import Connection

MAX_FILL_DIALS = 64  # a listener without a backlog accepts at most so many connections before it drops
BACKLOG = 512
#: For binding an address again. A process that another thread has just forked holds a copy of the closed
#: listener until it executes its program, which can take long on a busy machine.
BIND_TRIES, BIND_INTERVAL_S = 200, 0.01
Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Fault(Enum):
    """What a connection attempt to an address meets. The values are used in reports."""

    NONE = "none"
    REFUSED = "refused"  # for a Unix socket: a stale file
    BLACK_HOLE = "black hole"  # packets are dropped; for a Unix socket: the backlog is full
    RESET_ON_ACCEPT = "reset on accept"
    CLOSED_ON_ACCEPT = "closed on accept"
    LATE = "accepted late"
    STALL = "takes bytes and stalls"
    CUT = "answer cut half way"
    CUT_SILENT = "answer stops half way"
    GARBLED = "garbled"
    FULL = "overload"
    RESET_ON_REQUEST = "reset on request"
    MISSING = "socket file missing"
    NOT_A_SOCKET = "not a socket"


UNIX_ONLY = frozenset({Fault.MISSING, Fault.NOT_A_SOCKET})
#: at these the dial fails, at the others a request may have been read
NO_LISTENER = frozenset({Fault.REFUSED, Fault.BLACK_HOLE, Fault.MISSING, Fault.NOT_A_SOCKET})


class ServedAddress:
    """`open` has the open connections by their writers; `accepted` is the number of all so far."""

    def __init__(self, address: Address, receive_buffer: int = 0) -> None:
        self.address = address
        self.fault = Fault.NONE
        self.server: asyncio.Server | None = None
        self.hole: list[socket.socket] = []  # for a black hole: the listener and its backlog
        self.open: dict[asyncio.StreamWriter, Connection] = {}
        self.accepted = 0
        self.paused = False
        self.receive_buffer = receive_buffer

    async def listen(self, serve: Serve) -> None:
        """Binds the address according to its fault; `serve` is called for each connection. Raises OSError."""
        fault, path = self.fault, Path(self.address.host)
        if fault is Fault.MISSING:
            return
        if fault is Fault.NOT_A_SOCKET:
            path.write_text("no socket")
            return
        sock = await _bind(self.address)
        if self.receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        if fault is Fault.REFUSED:
            sock.close()  # the file of a Unix socket remains, stale
            return
        if fault is Fault.BLACK_HOLE:
            self.hole = [sock]
            await _fill_backlog(sock, self.hole, self.address.family)
            return
        sock.listen(BACKLOG)
        start = asyncio.start_unix_server if self.address.family is Family.UNIX else asyncio.start_server
        self.server = await start(serve, sock=sock)

    async def shut(self) -> None:
        """Closes the listener, and removes the file of a Unix socket. Connections stay open."""
        if self.server is not None:
            self.server.close()
            self.server = None
            await asyncio.sleep(0)  # the loop closes a listener in its next iteration
        for sock in self.hole:
            sock.close()
        self.hole = []
        if self.address.family is Family.UNIX:
            with suppress(FileNotFoundError):
                os.unlink(self.address.host)


async def _bind(address: Address) -> socket.socket:
    """Returns a bound socket. Waits while the address is in use, and raises OSError if it stays so."""
    for _ in range(BIND_TRIES - 1):
        try:
            return _bound(address)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
        await asyncio.sleep(BIND_INTERVAL_S)
    return _bound(address)


def _bound(address: Address) -> socket.socket:
    kind = {Family.V4: socket.AF_INET, Family.V6: socket.AF_INET6, Family.UNIX: socket.AF_UNIX}
    sock = socket.socket(kind[address.family], socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address.host if address.family is Family.UNIX else (address.host, address.port))
    except OSError:
        sock.close()
        raise
    return sock


async def _fill_backlog(sock: socket.socket, opened: list[socket.socket], family: Family) -> None:
    """Fills the backlog of a listener that never accepts, so that it drops further connection attempts.

    The sockets that fill it are added to `opened`. Raises RuntimeError if it does not become full.
    """
    sock.listen(0)
    for _ in range(MAX_FILL_DIALS):
        filler = socket.socket(sock.family, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
        opened.append(filler)
        target = sock.getsockname()
        code = filler.connect_ex(target)
        if family is Family.UNIX and code:
            return
        await asyncio.sleep(0.005)
        try:
            filler.getpeername()
        except OSError:  # still connecting: the backlog is full
            return
    raise RuntimeError("the backlog never filled")
