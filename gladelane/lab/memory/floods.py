"""Clients that make a director hold as much memory as possible.

A flood opens many connections at once, writes what its kind says on each, and then keeps the connections open
or closes them. No flood reads an answer, except where its kind says so.
"""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass

from ...net.client_protocol import FrameType, encode_fields, encode_frame
from ...sockets import reset

MAX_FRAME_BYTES = 262_144
MAX_WRITE_BODY_BYTES = 48_000
MAX_OPEN_REQUESTS = 32
FRAME_HEADER = struct.Struct(">IBI")
SHORT_FIELD = b"\x01a\x00\x00"
CONNECT_TIMEOUT_S = 5.0

Chunks = Callable[[random.Random], Iterator[bytes]]


@dataclass(frozen=True)
class Flood:
    """One kind of flood. `chunks` yields what one client writes, chunk by chunk."""

    name: str
    chunks: Chunks
    interval_s: float = 0.0  # between two chunks of a client


def request_fields(rng: random.Random, cls: str, **fields: str) -> dict[str, str]:
    """The fields of a request with a new id for a random object."""
    key = {"k": f"{rng.getrandbits(128):032x}"} if cls == "answer-submit" else {}
    return {
        "c": cls,
        "i": f"{rng.getrandbits(64):016x}",
        "d": "1500",
        "o": f"{rng.randrange(200):016x}",
        "chunk": "0",
        "tag": "1",
        "m": "1",
        **key,
        **fields,
    }


def _half_sent_frame(rng: random.Random) -> Iterator[bytes]:
    size = rng.randrange(190_000, 255_000)
    yield FRAME_HEADER.pack(MAX_FRAME_BYTES, FrameType.REQUEST, 1) + bytes(size)


def _half_sent_write(rng: random.Random) -> Iterator[bytes]:
    fields = encode_fields(request_fields(rng, "answer-submit"))
    frame = encode_frame(FrameType.REQUEST, 1, fields + bytes(MAX_WRITE_BODY_BYTES))
    yield frame[: len(frame) // 2]


def _half_sent_short_fields(_: random.Random) -> Iterator[bytes]:
    yield FRAME_HEADER.pack(MAX_FRAME_BYTES, FrameType.REQUEST, 1) + b"\xff" + SHORT_FIELD * 50_000


def _slowly_written_frame(rng: random.Random) -> Iterator[bytes]:
    yield FRAME_HEADER.pack(MAX_FRAME_BYTES, FrameType.REQUEST, 1)
    for _ in range(MAX_FRAME_BYTES // 4096 - 1):
        yield bytes([rng.randrange(256)]) * 4096


def _unsound_frames(rng: random.Random) -> Iterator[bytes]:
    for stream in range(1, MAX_OPEN_REQUESTS + 1):
        yield encode_frame(FrameType.REQUEST, stream, bytes([rng.randrange(1, 256)]) * 262_000)


def _requests_with_long_field(rng: random.Random) -> Iterator[bytes]:
    for stream in range(1, MAX_OPEN_REQUESTS + 1):
        fields = request_fields(rng, "question-item", further="x" * 60_000)
        yield encode_frame(FrameType.REQUEST, stream, encode_fields(fields))


def _writes(rng: random.Random) -> Iterator[bytes]:
    for stream in range(1, MAX_OPEN_REQUESTS + 1):
        fields = request_fields(rng, "answer-submit")
        body = rng.randbytes(16) * (MAX_WRITE_BODY_BYTES // 16)
        yield encode_frame(FrameType.REQUEST, stream, encode_fields(fields) + body)


def _requests_with_short_fields(rng: random.Random) -> Iterator[bytes]:
    short = {f"f{number}": "" for number in range(240)}
    for stream in range(1, MAX_OPEN_REQUESTS + 1):
        fields = request_fields(rng, "question-item", **short)
        yield encode_frame(FrameType.REQUEST, stream, encode_fields(fields))


def _small_requests(rng: random.Random) -> Iterator[bytes]:
    for stream in range(1, MAX_OPEN_REQUESTS + 1):
        fields = request_fields(rng, "question-item")
        yield encode_frame(FrameType.REQUEST, stream, encode_fields(fields))


def _nothing(_: random.Random) -> Iterator[bytes]:
    yield from ()


FLOODS = {
    flood.name: flood
    for flood in (
        Flood("half_sent_frame", _half_sent_frame),
        Flood("half_sent_write", _half_sent_write),
        Flood("half_sent_short_fields", _half_sent_short_fields),
        Flood("slowly_written_frame", _slowly_written_frame, interval_s=0.01),
        Flood("unsound_frames", _unsound_frames),
        Flood("requests_with_long_field", _requests_with_long_field),
        Flood("writes", _writes),
        Flood("requests_with_short_fields", _requests_with_short_fields),
        Flood("small_requests", _small_requests),
        Flood("nothing", _nothing),
    )
}


class FloodClients:
    """The clients of one flood, until `close`."""

    def __init__(self, port: int, flood: Flood, rng: random.Random) -> None:
        self._port, self._flood = port, flood
        self._rng = rng
        self._sockets: list[socket.socket] = []
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, clients: int) -> None:
        """Connects so many further clients at once; each writes its chunks."""
        for _ in range(clients):
            task = asyncio.create_task(self._run(random.Random(self._rng.getrandbits(64))))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def close(self, by_reset: bool = False) -> None:
        """Closes or resets all connections."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            if by_reset:
                reset(sock)
            sock.close()
        self._sockets.clear()

    async def _run(self, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await loop.sock_connect(sock, ("127.0.0.1", self._port))
            for chunk in self._flood.chunks(rng):
                await loop.sock_sendall(sock, chunk)
                await asyncio.sleep(self._flood.interval_s)
