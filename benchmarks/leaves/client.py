"""A client that leaves in one of four ways."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress

from benchmarks.example_site import request_fields
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_fields, encode_frame

from .counts import Leaves
from .places import WRITE, Place

ANSWERED_S = 3.0  # for the answers to who shut its write side: its wait and 0.5 s
CLOSE, RESET, CANCEL, HALF_CLOSE = "close", "reset", "type 18", "half close"


class Leaver:
    """A client that asks, waits a moment and leaves, again and again."""

    def __init__(self, port: int, place: Place, rng: random.Random, leaves: Leaves) -> None:
        self.port, self.place, self.rng, self.leaves = port, place, rng, leaves
        self._sock: socket.socket | None = None
        self._decoder = FrameDecoder()
        self._stream = 0
        self._open: dict[int, str] = {}

    async def run(self) -> None:
        """Until cancelled."""
        try:
            while True:
                with suppress(OSError):
                    await self._once()
        finally:
            self._end()

    async def _once(self) -> None:
        if self._sock is None or self._ended():
            await self._connect()
        frames = [self._request() for _ in range(max(self.place.flood, 1))]
        how = self.rng.choice((CLOSE, RESET, CANCEL, HALF_CLOSE))
        if self.place.flood and how == CANCEL:
            frames += self._cancels()
        await self._write(b"".join(frames))
        if self.place.flood and how == CANCEL:
            self._note()
        await asyncio.sleep(self.rng.uniform(*self.place.waits_s))
        if self._ended():
            self._end()
        elif how == CANCEL:
            await self._write(b"".join(self._cancels()))
            self._note()
        elif how == HALF_CLOSE:
            await self._half_close()
        else:
            self._end(reset=how == RESET)
            self._note()

    async def _half_close(self) -> None:
        """Sends nothing more, and waits for its answers."""
        assert self._sock is not None
        open_ = dict(self._open)
        self._sock.shutdown(socket.SHUT_WR)
        self._note()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWERED_S):
                while data := await asyncio.get_running_loop().sock_recv(self._sock, 65_536):
                    for frame in self._decoder.feed(data):
                        if frame.type == FrameType.ANSWER:
                            open_.pop(frame.stream, None)
        self.leaves.unanswered += len(open_)
        self._end()

    async def _connect(self) -> None:
        self._end()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if self.place.receive_buffer:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.place.receive_buffer)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self._sock, ("127.0.0.1", self.port))
        self._decoder, self._stream = FrameDecoder(), 0

    def _request(self) -> bytes:
        self._stream += 1
        id_ = f"{self.rng.getrandbits(64):016x}"
        self._open[self._stream] = id_
        fields = request_fields(self.place.cls, id_, 2500, f"{self.rng.randrange(200):016x}")
        if self.place.cls == WRITE:
            fields["k"] = id_ * 2
        return encode_frame(FrameType.REQUEST, self._stream, encode_fields(fields) + b"x" * self.place.body)

    def _cancels(self) -> list[bytes]:
        return [encode_frame(FrameType.GONE, stream) for stream in self._open]

    async def _write(self, data: bytes) -> None:
        assert self._sock is not None
        loop = asyncio.get_running_loop()
        while self.place.pieces and len(data) > 1:
            size = self.rng.randint(1, len(data))
            await loop.sock_sendall(self._sock, data[:size])
            data = data[size:]
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        await loop.sock_sendall(self._sock, data)

    def _note(self) -> None:
        """All that is open has been left now."""
        self.leaves.note(self._open.values(), asyncio.get_running_loop().time())
        self._open.clear()

    def _ended(self) -> bool:
        """Takes what has come: what was answered is not left any more."""
        assert self._sock is not None
        try:
            while data := self._sock.recv(65_536):
                for frame in self._decoder.feed(data):
                    if frame.type == FrameType.ANSWER:
                        self._open.pop(frame.stream, None)
        except BlockingIOError:
            return False
        except OSError:
            pass
        return True

    def _end(self, reset: bool = False) -> None:
        if self._sock is not None:
            if reset:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._sock.close()
            self._sock = None
