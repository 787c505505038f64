"""asyncio streams over connected sockets, with readers that count the bytes they have buffered."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import SupportsIndex

SETUP_TRIES, SETUP_RETRY_INTERVAL_S = 20, 0.05  # of a stream for a client, while system calls fail
READ_BYTES = 65_536  # read at once; a transport stops reading when twice as much is buffered


class Reader(asyncio.StreamReader):
    """A stream reader that counts its buffered bytes, since a connection with unread bytes is not idle."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.buffered_bytes = 0  # received and not read yet
        self.received_bytes = 0  # in total

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Called by the transport with received bytes."""
        size = len(bytes(data))
        self.buffered_bytes += size
        self.received_bytes += size
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Like `asyncio.StreamReader.read`."""
        data = await super().read(n)
        self.buffered_bytes -= len(data)
        return data


class ClientReader(Reader):
    """A reader whose buffered bytes can be inspected by `peek` without consuming them."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self._copy = bytearray()

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        """Called by the transport with received bytes."""
        self._copy += bytes(data)
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        """Like `asyncio.StreamReader.read`."""
        data = await super().read(n)
        del self._copy[: len(data)]
        return data

    def peek(self) -> bytes:
        """Returns the buffered bytes without consuming them."""
        return bytes(self._copy)


async def open_stream(sock: socket.socket) -> tuple[Reader, asyncio.StreamWriter]:
    """Creates a stream over a connected socket and takes ownership of the socket, also if it fails."""
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
    """Creates a stream over an accepted socket. Raises OSError; then the caller still owns the socket.

    The system calls may fail for a moment, for lack of resources. The socket may already have received a
    request, which closing it would lose. Therefore this retries for a second.
    """
    accepted.setblocking(False)
    # without TCP_NODELAY the system delays small answers, and a reset of the connection discards them
    with suppress(OSError):
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(SETUP_TRIES - 1):
        try:
            return await _create_stream(accepted)
        except OSError:
            await asyncio.sleep(SETUP_RETRY_INTERVAL_S)
    return await _create_stream(accepted)


async def _create_stream(accepted: socket.socket) -> tuple[ClientReader, asyncio.StreamWriter]:
    """Creates the stream. Raises OSError; then the socket is unchanged."""
    loop, reader = asyncio.get_running_loop(), ClientReader(READ_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    transport, _ = await loop.connect_accepted_socket(lambda: protocol, accepted)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
