"""asyncio's streams over connected sockets, with a reader that counts the bytes it has buffered."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import SupportsIndex

ADOPT_TRIES, ADOPT_APART_S = 20, 0.05  # of a client's socket, while the system refuses the calls
READ_BYTES = 65_536  # in one read, and half of the buffer at which a transport stops reading


class Reader(asyncio.StreamReader):
    """Counts what it has buffered: a connection with unread bytes is not idle."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.waiting = 0
        self.fed = 0  # bytes received in total

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Called by the transport with received bytes."""
        size = len(bytes(data))
        self.waiting += size
        self.fed += size
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """As asyncio's."""
        data = await super().read(n)
        self.waiting -= len(data)
        return data


class ClientReader(Reader):
    """Has a copy of what it has buffered, which `peek` returns without consuming it."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._copy = bytearray()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Called by the transport with received bytes."""
        self._copy += bytes(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """As asyncio's."""
        data = await super().read(n)
        del self._copy[: len(data)]
        return data

    def peek(self) -> bytes:
        """What it has buffered."""
        return bytes(self._copy)


async def open_stream(sock: socket.socket) -> tuple[Reader, asyncio.StreamWriter]:
    """A stream over a connected socket, which belongs to it from now on, also if this fails."""
    loop, reader = asyncio.get_running_loop(), Reader(READ_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    try:
        if sock.family == socket.AF_UNIX:
            transport, _ = await loop.create_unix_connection(lambda: protocol, sock=sock)
        else:
            transport, _ = await loop.create_connection(lambda: protocol, sock=sock)
    except BaseException:
        sock.close()
        raise
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def accept_stream(accepted: socket.socket) -> tuple[ClientReader, asyncio.StreamWriter]:
    """A stream over an accepted socket. Raises OSError; then the socket remains the caller's.

    The system may fail the calls for a moment, and a request may have been received already, which a close
    would lose: so it retries for a second.
    """
    accepted.setblocking(False)
    with suppress(OSError):  # else the system delays small answers, and a reset discards them
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(ADOPT_TRIES - 1):
        try:
            return await _adopt(accepted)
        except OSError:
            await asyncio.sleep(ADOPT_APART_S)
    return await _adopt(accepted)


async def _adopt(accepted: socket.socket) -> tuple[ClientReader, asyncio.StreamWriter]:
    """Raises OSError, and leaves the socket unchanged then."""
    loop, reader = asyncio.get_running_loop(), ClientReader(READ_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.connect_accepted_socket(lambda: protocol, accepted)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
