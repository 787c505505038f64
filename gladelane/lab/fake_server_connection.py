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
    """One connection to a fake server, with the arrival times of its bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.taken = 0  # bytes of the processed commands
        self._arrivals: list[tuple[int, float]] = []  # total bytes that had arrived, and when that was found

    def pause(self) -> None:
        """Stops reading; what arrives stays in the buffers of the kernel."""
        cast(asyncio.ReadTransport, self.writer.transport).pause_reading()

    def resume(self) -> None:
        """Resumes reading, unless the connection is closing."""
        if not self.writer.is_closing():
            cast(asyncio.ReadTransport, self.writer.transport).resume_reading()

    def look(self, at: float) -> None:
        """Records how many bytes have arrived by `at` (seconds of the loop), read or not."""
        buffered: bytearray = self.reader._buffer  # type: ignore[attr-defined]
        come = self.taken + len(buffered) + unread_bytes(self.writer.get_extra_info("socket"))
        if not self._arrivals or come > self._arrivals[-1][0]:
            self._arrivals.append((come, at))

    def came(self, byte: int) -> float:
        """When it was first found that so many bytes had arrived; now, if it was not."""
        place = bisect_left(self._arrivals, (byte, 0.0))
        if place < len(self._arrivals):
            return self._arrivals[place][1]
        return asyncio.get_running_loop().time()

    def forget(self) -> None:
        """Forgets the arrival times of processed bytes."""
        del self._arrivals[: bisect_left(self._arrivals, (self.taken + 1, 0.0))]


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset instead of a close; Unix sockets can only be closed."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError, ValueError):  # it may have ended in the meantime
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
