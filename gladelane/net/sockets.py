"""What the system knows of a connected socket that its stream does not tell: looks that take no byte."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Iterable
from contextlib import suppress
from typing import SupportsIndex


class Reader(asyncio.StreamReader):
    """Knows how much it holds that has not been read: a connection with something in there is not idle."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit=limit)
        self.waiting = 0

    def feed_data(self, data: Iterable[SupportsIndex]) -> None:
        self.waiting += len(bytes(data))
        super().feed_data(data)

    async def read(self, n: int = -1) -> bytes:
        data = await super().read(n)
        self.waiting -= len(data)
        return data


def unread_bytes(sock: socket.socket) -> int:
    """How many bytes the system holds that the stream has not been given."""
    try:
        return int(struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.FIONREAD, b"\0\0\0\0"))[0])
    except OSError:
        return 0


def has_unread(sock: socket.socket) -> bool:
    return unread_bytes(sock) > 0


def has_ended(sock: socket.socket) -> bool:
    """Whether the peer has closed, or reset, and nothing it sent is unread: the stream hears of that a turn
    of the loop after the last bytes, when they may have been acted on."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def shut_write_side(sock: socket.socket) -> None:
    """The peer reads an end of file after what it was sent; what it sends still comes, and resets nothing."""
    with suppress(OSError):
        sock.shutdown(socket.SHUT_WR)
