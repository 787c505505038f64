"""A client that abandons its requests in one of four ways."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from contextlib import suppress

from benchmarks.example_site import request_fields
from gladelane.net.client_protocol import FrameDecoder, FrameType, encode_fields, encode_frame

from .abandonments import Abandonments
from .scenarios import WRITE, Scenario

ANSWER_TIMEOUT_S = 3.0  # after a half close: the request deadline and 0.5 s
CLOSE, RESET, CANCEL, HALF_CLOSE = "close", "reset", "type 18", "half close"


class AbandoningClient:
    """Sends requests, waits for a moment and abandons them, repeatedly."""

    def __init__(self, port: int, scenario: Scenario, rng: random.Random, abandonments: Abandonments) -> None:
        self.port, self.scenario, self.rng, self.abandonments = port, scenario, rng, abandonments
        self._sock: socket.socket | None = None
        self._decoder = FrameDecoder()
        self._stream = 0
        self._open: dict[int, str] = {}

    async def run(self) -> None:
        """Runs until cancelled."""
        try:
            while True:
                with suppress(OSError):
                    await self._abandon_once()
        finally:
            self._close()

    async def _abandon_once(self) -> None:
        if self._sock is None or self._has_ended_after_reading():
            await self._connect()
        frames = [self._request_frame() for _ in range(max(self.scenario.requests_per_write, 1))]
        method = self.rng.choice((CLOSE, RESET, CANCEL, HALF_CLOSE))
        if self.scenario.requests_per_write and method == CANCEL:
            frames += self._cancel_frames()
        await self._write(b"".join(frames))
        if self.scenario.requests_per_write and method == CANCEL:
            self._record_abandoned()
        await asyncio.sleep(self.rng.uniform(*self.scenario.waits_s))
        if self._has_ended_after_reading():
            self._close()
        elif method == CANCEL:
            await self._write(b"".join(self._cancel_frames()))
            self._record_abandoned()
        elif method == HALF_CLOSE:
            await self._half_close()
        else:
            self._close(reset=method == RESET)
            self._record_abandoned()

    async def _half_close(self) -> None:
        """Shuts down the write side and waits for the answers to the open requests."""
        assert self._sock is not None
        unanswered = dict(self._open)
        self._sock.shutdown(socket.SHUT_WR)
        self._record_abandoned()
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while data := await asyncio.get_running_loop().sock_recv(self._sock, 65_536):
                    for frame in self._decoder.feed(data):
                        if frame.type == FrameType.ANSWER:
                            unanswered.pop(frame.stream, None)
        self.abandonments.unanswered += len(unanswered)
        self._close()

    async def _connect(self) -> None:
        self._close()
        self._sock = socket.socket()
        self._sock.setblocking(False)
        if self.scenario.receive_buffer_bytes:
            self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.scenario.receive_buffer_bytes)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.get_running_loop().sock_connect(self._sock, ("127.0.0.1", self.port))
        self._decoder, self._stream = FrameDecoder(), 0

    def _request_frame(self) -> bytes:
        self._stream += 1
        request_id = f"{self.rng.getrandbits(64):016x}"
        self._open[self._stream] = request_id
        fields = request_fields(self.scenario.class_name, request_id, 2500, f"{self.rng.randrange(200):016x}")
        if self.scenario.class_name == WRITE:
            fields["k"] = request_id * 2
        return encode_frame(
            FrameType.REQUEST, self._stream, encode_fields(fields) + b"x" * self.scenario.body_bytes
        )

    def _cancel_frames(self) -> list[bytes]:
        return [encode_frame(FrameType.GONE, stream) for stream in self._open]

    async def _write(self, data: bytes) -> None:
        assert self._sock is not None
        loop = asyncio.get_running_loop()
        while self.scenario.is_sent_in_pieces and len(data) > 1:
            size = self.rng.randint(1, len(data))
            await loop.sock_sendall(self._sock, data[:size])
            data = data[size:]
            await asyncio.sleep(self.rng.uniform(0.0, 0.02))
        await loop.sock_sendall(self._sock, data)

    def _record_abandoned(self) -> None:
        """Records that all open requests have been abandoned now."""
        self.abandonments.record(self._open.values(), asyncio.get_running_loop().time())
        self._open.clear()

    def _has_ended_after_reading(self) -> bool:
        """Reads what has arrived and removes answered requests; returns whether the connection has ended."""
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

    def _close(self, reset: bool = False) -> None:
        if self._sock is not None:
            if reset:
                self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self._sock.close()
            self._sock = None
