"""Writes to one connection to a server, and tracks whether the bytes have left this machine."""

from __future__ import annotations

import socket
from collections.abc import Callable

from ..sockets import reset, unsent_bytes
from .exchange import Attempt
from .streams import Writer


class Outgoing:
    """Writes to the transport, which passes on at once what the operating system accepts. Bytes that the
    server does not read wait in the system's send buffer, and once that is full in the transport's. Times
    are ms of `clock`."""

    def __init__(self, writer: Writer, sock: socket.socket, clock: Callable[[], float]) -> None:
        self.latest: Attempt | None = None  # the latest written attempt, until all of it has left
        self._latest_bytes = 0  # written since the start of the latest attempt, including its own bytes
        self._own_bytes = 0  # of the latest attempt alone
        self._in_transport = 0  # attempts of which the transport may still hold bytes
        self._unsent_since_ms = 0.0  # since when bytes have been unsent; 0: all bytes have left
        self._writer, self._sock, self._clock = writer, sock, clock

    def write(self, data: bytes) -> None:
        """Writes bytes, such as an abort, that start no new attempt."""
        self._writer.write(data)
        self._latest_bytes += len(data)
        if not self._unsent():
            self.latest = None
        elif not self._unsent_since_ms:
            self._unsent_since_ms = self._clock()

    def begin(self, attempt: Attempt, data: bytes) -> None:
        """Writes all bytes of an attempt."""
        self.latest, self._latest_bytes, self._own_bytes = attempt, 0, len(data)
        self._in_transport += 1
        self.write(data)

    def unsent_since_ms(self) -> float:
        """Since when bytes have been unsent; 0: all bytes have left."""
        if not self._unsent_since_ms and not self._writer.transport.get_write_buffer_size():
            return 0.0
        self._unsent_since_ms = (self._unsent_since_ms or self._clock()) if self._unsent() else 0.0
        return self._unsent_since_ms

    def is_entirely_unsent(self, attempt: Attempt) -> bool:
        """Whether no byte of the attempt has left this machine."""
        return self.latest is attempt and self._unsent() >= self._latest_bytes

    def is_partly_unsent(self, attempt: Attempt) -> bool:
        """Whether a part of the attempt has not left this machine, so that the server cannot have started
        it."""
        return self.latest is attempt and self._unsent() > self._latest_bytes - self._own_bytes

    def take_sent_count(self) -> int:
        """How many attempts have left the transport since the last call. Only an empty buffer shows that, and
        then all of them have left."""
        if self._writer.transport.get_write_buffer_size():
            return 0
        sent, self._in_transport = self._in_transport, 0
        return sent

    def reset(self) -> None:
        """Resets the connection; bytes that have not left this machine are discarded."""
        reset(self._sock)
        self._writer.transport.abort()

    def _unsent(self) -> int:
        return self._writer.transport.get_write_buffer_size() + unsent_bytes(self._sock)
