"""Bytes on their way out of one connection to a cache, and whether they have left this machine."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from ..sockets import reset, unsent_bytes
from .exchange import Attempt


class Outgoing:
    """Written to the transport, which hands all that the system takes to it at once; what the peer does not
    take waits in the system, then in the transport. Times are ms of the clock."""

    def __init__(self, writer: asyncio.StreamWriter, sock: socket.socket, clock: Callable[[], float]) -> None:
        self.latest: Attempt | None = None  # of those written, while not all of it has left
        self._latest_bytes = 0  # written since it began, its own among them
        self._in_transport = 0  # attempts some of whose bytes the transport may still hold
        self._backed_ms = 0.0  # since when bytes have waited to leave, 0: none do
        self._writer, self._sock, self._clock = writer, sock, clock

    def write(self, data: bytes) -> None:
        self._writer.write(data)
        self._latest_bytes += len(data)
        if not self._unsent():
            self.latest = None
        elif not self._backed_ms:
            self._backed_ms = self._clock()

    def begin(self, attempt: Attempt, data: bytes) -> None:
        """Its first byte, and all others."""
        self.latest, self._latest_bytes = attempt, 0
        self._in_transport += 1
        self.write(data)

    def backed_since_ms(self) -> float:
        """Since when bytes have waited to leave; 0: none do."""
        if not self._backed_ms and not self._writer.transport.get_write_buffer_size():
            return 0.0
        self._backed_ms = (self._backed_ms or self._clock()) if self._unsent() else 0.0
        return self._backed_ms

    def holds_whole(self, attempt: Attempt) -> bool:
        """Whether no byte of it has left."""
        return self.latest is attempt and self._unsent() >= self._latest_bytes

    def count_left(self) -> int:
        """How many attempts have left the transport since this was last asked. It writes in the order it was
        given, so an empty buffer means all of them."""
        if self._writer.transport.get_write_buffer_size():
            return 0
        left, self._in_transport = self._in_transport, 0
        return left

    def reset(self) -> None:
        """Ends the connection; what has not left never does."""
        reset(self._sock)
        self._writer.transport.abort()

    def _unsent(self) -> int:
        return self._writer.transport.get_write_buffer_size() + unsent_bytes(self._sock)
