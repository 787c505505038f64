"""asyncio's streams over connected sockets, with a reader that knows what it holds."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterable
from contextlib import suppress
from typing import SupportsIndex

READ_BYTES = 65_536  # in one read, and half of what a reader holds before its connection is read no more


class Reader(asyncio.StreamReader):
    """Knows how much it holds that has not been read: a connection with something in there is not idle."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.waiting = 0
        self.fed = 0  # bytes in all

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        size = len(bytes(data))
        self.waiting += size
        self.fed += size
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.waiting -= len(data)
        return data

    def peek(self) -> bytes:
        """What it holds."""
        return bytes(self._buffer)  # type: ignore[attr-defined]


async def open_stream(sock: socket.socket) -> tuple[Reader, asyncio.StreamWriter]:
    """Takes the socket over: it is closed with the stream, or here if there is none."""
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


async def accept_stream(accepted: socket.socket) -> tuple[Reader, asyncio.StreamWriter]:
    """Of a client. Raises OSError; the socket stays the caller's then."""
    loop, reader = asyncio.get_running_loop(), Reader(READ_BYTES)
    protocol = asyncio.StreamReaderProtocol(reader)
    accepted.setblocking(False)
    with suppress(OSError):  # else small answers wait in the system, and go with a reset
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    transport, _ = await loop.connect_accepted_socket(lambda: protocol, accepted)
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)
