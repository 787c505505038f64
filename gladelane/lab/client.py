"""A client of the director for experiments: many requests on one connection, with a count of all answers."""

from __future__ import annotations

import asyncio
import os
import socket
from collections import Counter
from typing import NamedTuple

from ..net.client_protocol import FrameDecoder, FrameType, decode_fields, encode_fields, encode_frame
from ..sockets import has_ended


class Answer(NamedTuple):
    """A final answer. `code`: 0 served, 1 refused, 2 failed. `elapsed_ms`: until the last byte of the
    answer."""

    code: int
    body: bytes
    elapsed_ms: float


class Client:
    """One connection. `answers` counts the final answers per stream; any number other than one is a
    breach."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.answers: Counter[int] = Counter()
        self.no_more_requests = False  # the director asked for no further requests here
        self.ended = False  # the connection was closed or has failed
        self._reader, self._writer = reader, writer
        self._stream = 0
        self._waiting: dict[int, tuple[asyncio.Future[Answer], float]] = {}
        self._task = asyncio.ensure_future(self._read())

    @classmethod
    async def to(cls, host: str, port: int) -> Client:
        """Connects a new client. Raises OSError."""
        return cls(*await asyncio.open_connection(host, port))

    async def ask(self, fields: dict[str, str], body: bytes = b"", patience_s: float = 10.0) -> Answer | None:
        """Sends a request; returns its answer, or None if none came in time or the connection ended."""
        if self.ended:
            return None
        loop = asyncio.get_running_loop()
        self._stream += 1
        stream, future = self._stream, loop.create_future()
        self._waiting[stream] = future, loop.time()
        self._writer.write(encode_frame(FrameType.REQUEST, stream, encode_fields(fields) + body))
        try:
            async with asyncio.timeout(patience_s):
                answer: Answer = await future
                return answer
        except (TimeoutError, ConnectionError):
            return None

    def is_closed_by_director(self) -> bool:
        """Whether the end of the connection has arrived, read or not. A client sends no request then."""
        transport_socket = self._writer.get_extra_info("socket")
        if self.ended or transport_socket is None or transport_socket.fileno() < 0:
            return True
        with socket.socket(fileno=os.dup(transport_socket.fileno())) as sock:
            return has_ended(sock)

    async def close(self) -> None:
        """Closes the connection. Pending requests get no answer."""
        self._writer.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _read(self) -> None:
        decoder = FrameDecoder()
        try:
            while data := await self._reader.read(65_536):
                for frame in decoder.feed(data):
                    self.no_more_requests = self.no_more_requests or frame.type == FrameType.NO_MORE
                    if frame.type != FrameType.ANSWER:
                        continue
                    self.answers[frame.stream] += 1
                    waiting = self._waiting.pop(frame.stream, None)
                    if waiting is not None and not waiting[0].done():
                        elapsed_ms = (asyncio.get_running_loop().time() - waiting[1]) * 1000.0
                        body = decode_fields(frame.payload[1:])[1]
                        waiting[0].set_result(Answer(frame.payload[0], body, elapsed_ms))
        except OSError:
            pass
        finally:
            self.ended = True
            for future, _ in self._waiting.values():
                if not future.done():
                    future.set_exception(ConnectionError("the director closed the connection"))
