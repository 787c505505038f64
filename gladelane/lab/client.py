"""A client of the director for experiments: many requests on one connection, each answer counted."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import NamedTuple

from ..net.client_protocol import FrameDecoder, Type, decode_fields, encode_fields, encode_frame


class Answer(NamedTuple):
    """code: 0 served, 1 refused, 2 failed. elapsed_ms: from the request to the answer's last byte."""

    code: int
    body: bytes
    elapsed_ms: float


class Client:
    """`answers` counts the final answers a stream got: any other number than one is a broken rule."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.answers: Counter[int] = Counter()
        self.no_more_requests = False  # to send no more requests here
        self.ended = False  # by the director, or broken
        self._reader, self._writer = reader, writer
        self._stream = 0
        self._waiting: dict[int, tuple[asyncio.Future[Answer], float]] = {}
        self._task = asyncio.ensure_future(self._read())

    @classmethod
    async def to(cls, host: str, port: int) -> Client:
        """A client with a new connection. Raises OSError."""
        return cls(*await asyncio.open_connection(host, port))

    async def ask(self, fields: dict[str, str], body: bytes = b"", patience_s: float = 10.0) -> Answer | None:
        """None: no answer in time, or the connection ended before it."""
        if self.ended:
            return None
        loop = asyncio.get_running_loop()
        self._stream += 1
        stream, future = self._stream, loop.create_future()
        self._waiting[stream] = future, loop.time()
        self._writer.write(encode_frame(Type.REQUEST, stream, encode_fields(fields) + body))
        try:
            async with asyncio.timeout(patience_s):
                answer: Answer = await future
                return answer
        except (TimeoutError, ConnectionError):
            return None

    async def close(self) -> None:
        """Closes the connection; requests that wait get no answer."""
        self._writer.close()
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    async def _read(self) -> None:
        decoder = FrameDecoder()
        try:
            while data := await self._reader.read(65_536):
                for frame in decoder.feed(data):
                    self.no_more_requests = self.no_more_requests or frame.type == Type.NO_MORE
                    if frame.type != Type.ANSWER:
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
