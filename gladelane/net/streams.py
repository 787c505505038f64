"""Streams over connected sockets, with readers whose memory is bounded.

asyncio's own readers take what the transport has read: up to 256 KB for one connection in one iteration of
the event loop, and twice their limit before reading pauses. A `Reader` takes no more than its consumer has
asked for; further bytes stay in the system's receive buffer.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import cast

SETUP_TRIES, SETUP_RETRY_INTERVAL_S = 20, 0.05  # of a stream for a client, while system calls fail
READ_BYTES = 65_536  # the most that is read at once

#: All readers of the event loop's thread receive into this buffer, and copy the bytes out at once.
_receive_buffer = memoryview(bytearray(READ_BYTES))


class Reader(asyncio.BufferedProtocol):
    """The reading side of a socket. Holds at most as many bytes as the latest `read` asked for."""

    __slots__ = (
        "_data",
        "_discard_bytes",
        "_error",
        "_has_ended",
        "_max_bytes",
        "_on_discarded",
        "_transport",
        "_waiter",
        "closed",
        "received_bytes",
    )

    def __init__(self, max_bytes: int = READ_BYTES) -> None:
        """`max_bytes` are read before the first call of `read`."""
        self.received_bytes = 0  # in total
        self.closed: asyncio.Future[None] | None = None  # created by a writer that waits for the close
        self._data = bytearray()
        self._max_bytes = max_bytes
        self._discard_bytes = 0
        self._on_discarded: Callable[[], None] | None = None
        self._has_ended = False
        self._error: Exception | None = None
        self._transport: asyncio.Transport | None = None
        self._waiter: asyncio.Future[None] | None = None

    # --- for the consumer

    @property
    def buffered_bytes(self) -> int:
        """The number of bytes that were received and not read yet."""
        return len(self._data)

    @property
    def discard_bytes(self) -> int:
        """The number of bytes that will be discarded before the next ones are kept."""
        return self._discard_bytes

    async def read(self, max_bytes: int) -> bytes:
        """Returns at least one byte, or none at the end of the stream. Raises the error that ended the
        connection."""
        self._max_bytes = max_bytes
        while not self._data and not self._has_ended and self._error is None:
            self._resume()
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        if self._error is not None:
            raise self._error
        data = bytes(memoryview(self._data)[:max_bytes])
        del self._data[: len(data)]
        return data

    def discard(self, count: int, on_discarded: Callable[[], None]) -> None:
        """Discards the next `count` bytes as they arrive, without holding them. `on_discarded` is called
        after the last one."""
        self._on_discarded = on_discarded
        buffered, self._data = self._data, bytearray()
        self._discard_bytes = count
        self._keep(memoryview(buffered))
        self._resume()

    def peek(self) -> bytes:
        """Returns the buffered bytes without consuming them."""
        return bytes(self._data)

    def exception(self) -> Exception | None:
        """The error that ended the connection, if there was one."""
        return self._error

    def at_eof(self) -> bool:
        """Whether the stream has ended and all bytes were read."""
        return self._has_ended and not self._data

    @property
    def is_closed(self) -> bool:
        """Whether the transport no longer uses the socket."""
        return self._transport is None

    def release(self) -> None:
        """Drops the buffered bytes, and the references that would keep a closed connection in memory."""
        self._data = bytearray()
        self._on_discarded = None
        self._transport = None

    # --- for the transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by the transport once it is set up."""
        self._transport = cast(asyncio.Transport, transport)

    def get_buffer(self, _: int) -> memoryview:
        """Called by the transport before it reads."""
        return _receive_buffer[: self._discard_bytes or self._max_bytes]

    def buffer_updated(self, size: int) -> None:
        """Called by the transport after it has read `size` bytes into the buffer."""
        self.feed_data(_receive_buffer[:size])

    def feed_data(self, data: bytes | memoryview) -> None:
        """Adds received bytes. Reading pauses unless the consumer is waiting for them, and after a full read,
        since more bytes are probably waiting."""
        is_waiting = self._waiter is not None and not self._waiter.done()
        is_full = len(data) >= self._max_bytes
        self.received_bytes += len(data)
        self._keep(memoryview(data))
        if self._data:
            self._wake()
            if self._transport is not None and (is_full or not is_waiting):
                self._transport.pause_reading()

    def eof_received(self) -> bool:
        """Called by the transport at the end of the stream. The writing side stays open."""
        self._has_ended = True
        self._wake()
        return True

    def connection_lost(self, error: Exception | None) -> None:
        """Called by the transport once it is closed."""
        self._error = error
        self._has_ended = True
        self._transport = None
        self._wake()
        if self.closed is not None and not self.closed.done():
            self.closed.set_result(None)

    def _keep(self, data: memoryview) -> None:
        """Buffers the bytes that are not to be discarded."""
        if not self._discard_bytes:
            self._data += data
            return
        discarded = min(len(data), self._discard_bytes)
        self._discard_bytes -= discarded
        if self._discard_bytes:
            return
        self._data += data[discarded:]
        if self._on_discarded is not None:
            self._on_discarded()

    def _resume(self) -> None:
        if self._transport is not None and not self._transport.is_closing():
            self._transport.resume_reading()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Writer:
    """The writing side of a socket."""

    __slots__ = ("_reader", "transport")

    def __init__(self, transport: asyncio.Transport, reader: Reader) -> None:
        self.transport = transport
        self._reader = reader

    def write(self, data: bytes) -> None:
        """Sends bytes, or holds those that the system does not accept now."""
        self.transport.write(data)

    def write_eof(self) -> None:
        """Shuts down the writing side once all bytes are sent."""
        self.transport.write_eof()

    def close(self) -> None:
        """Closes the connection once all bytes are sent."""
        self.transport.close()

    def is_closing(self) -> bool:
        """Whether the connection is closed or about to be."""
        return self.transport.is_closing()

    async def wait_closed(self) -> None:
        """Returns once the transport no longer uses the socket."""
        if self._reader.is_closed:
            return
        self._reader.closed = asyncio.get_running_loop().create_future()
        await self._reader.closed


async def open_stream(sock: socket.socket) -> tuple[Reader, Writer]:
    """Creates a stream over a connected socket and takes ownership of the socket, also if it fails."""
    loop, reader = asyncio.get_running_loop(), Reader()
    try:
        if sock.family == socket.AF_UNIX:
            transport, _ = await loop.create_unix_connection(lambda: reader, sock=sock)
        else:
            transport, _ = await loop.create_connection(lambda: reader, sock=sock)
    except BaseException:
        sock.close()
        raise
    return reader, Writer(transport, reader)


async def accept_stream(accepted: socket.socket, read_bytes: int = READ_BYTES) -> tuple[Reader, Writer]:
    """Creates a stream over an accepted socket. Raises OSError; then the caller still owns the socket.
    `read_bytes` are read before the first call of `Reader.read`.

    The system calls may fail for a moment, for lack of resources. The socket may already have received a
    request, which closing it would lose. Therefore this retries for a second.
    """
    accepted.setblocking(False)
    # without TCP_NODELAY the system delays small answers, and a reset of the connection discards them
    with suppress(OSError):
        accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    for _ in range(SETUP_TRIES - 1):
        try:
            return await _create_stream(accepted, read_bytes)
        except OSError:
            await asyncio.sleep(SETUP_RETRY_INTERVAL_S)
    return await _create_stream(accepted, read_bytes)


async def _create_stream(accepted: socket.socket, read_bytes: int) -> tuple[Reader, Writer]:
    """Creates the stream. Raises OSError; then the socket is unchanged."""
    loop, reader = asyncio.get_running_loop(), Reader(read_bytes)
    transport, _ = await loop.connect_accepted_socket(lambda: reader, accepted)
    return reader, Writer(transport, reader)
