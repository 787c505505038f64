"""Connections to a fake server: pausing, the arrival times of bytes, and ending by a reset."""

from __future__ import annotations

import asyncio
import socket
import struct
from bisect import bisect_left
from contextlib import suppress
from typing import cast

from ..sockets import unread_bytes


class Connection:
    """One connection to a fake server, and when its bytes came."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.taken = 0  # bytes, of the commands that were processed
        self._arrivals: list[tuple[int, float]] = []  # how many bytes had come in all, and when that was seen

    def pause(self) -> None:
        """From now on nothing is read; what comes waits with the system."""
        cast(asyncio.ReadTransport, self.writer.transport).pause_reading()

    def resume(self) -> None:
        """What waits is read, unless the connection is closing."""
        if not self.writer.is_closing():
            cast(asyncio.ReadTransport, self.writer.transport).resume_reading()

    def look(self, at: float) -> None:
        """Notes how many bytes have come by `at` (seconds of the loop), read or not."""
        buffered: bytearray = self.reader._buffer  # type: ignore[attr-defined]
        come = self.taken + len(buffered) + unread_bytes(self.writer.get_extra_info("socket"))
        if not self._arrivals or come > self._arrivals[-1][0]:
            self._arrivals.append((come, at))

    def came(self, byte: int) -> float:
        """When it was first seen that so many bytes had come; now, if it was not."""
        place = bisect_left(self._arrivals, (byte, 0.0))
        if place < len(self._arrivals):
            return self._arrivals[place][1]
        return asyncio.get_running_loop().time()

    def forget(self) -> None:
        """What was taken is asked for no more."""
        del self._arrivals[: bisect_left(self._arrivals, (self.taken + 1, 0.0))]


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset rather than a close; a Unix socket knows closes only."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError, ValueError):  # it may have ended just now
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
