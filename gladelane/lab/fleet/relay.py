"""A TCP link between two processes that forwards all bytes until a fault is injected."""

from __future__ import annotations

import asyncio
import re
import socket
import struct
import time
from contextlib import suppress
from enum import Enum
from typing import NamedTuple

READ_BYTES = 65_536
REPORT = b"POST /reports "
STAGE = re.compile(rb'"stage":(\d)')
SLOW_S = 0.3  # delay of each read, in both directions
HALFWAY_BYTES = 400  # of the replies, after which a connection is reset


class State(Enum):
    """How a link is disturbed. The values are words of the fault schedule."""

    OPEN = "open"
    CLOSED = "closed"  # open connections are reset, new ones rejected
    SILENT = "silent"  # nothing is forwarded, and no connection is closed
    REPLIES_BLOCKED = "oneway"  # only bytes of the near end are forwarded
    REQUESTS_BLOCKED = "mute"  # only bytes of the far end are forwarded
    SLOW = "slow"
    HALFWAY = "halfway"  # connections are reset in the middle of a reply


class ForwardedReport(NamedTuple):
    """A report to the audit that was forwarded with its reply. Unix ms; `stage`: that of the verdict."""

    requested_ms: float
    answered_ms: float
    stage: int


class Relay:
    """Accepts connections of the near end and forwards them to the port of the far end."""

    def __init__(self, port: int) -> None:
        self.far_port = port
        self.port = 0
        self.state = State.OPEN
        self.truncated_replies = 0
        self.reports: list[ForwardedReport] = []  # as seen here, independent of what both ends record
        self.report_bytes = 0
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task[None], tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}
        self._opened = asyncio.Event()

    async def start(self) -> int:
        """Starts to listen; returns the port. Raises OSError."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def set(self, state: State) -> None:
        """Changes the state. Connections made while the link was silent continue once it is open again."""
        self.state = state
        if state is State.CLOSED:
            for near, far in list(self._open.values()):
                reset(near)
                reset(far)
        if state is State.OPEN:
            self._opened.set()
            self._opened = asyncio.Event()

    async def close(self) -> None:
        """Stops listening and closes all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._open):
            task.cancel()
        await asyncio.gather(*self._open, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.state is State.CLOSED:
            reset(writer)
            return
        try:
            far_reader, far = await asyncio.open_connection("127.0.0.1", self.far_port)
        except OSError:
            reset(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._open[task] = writer, far
        detector = _ReportDetector(self)
        try:
            directions = [
                asyncio.ensure_future(self._forward(reader, far, False, detector)),
                asyncio.ensure_future(self._forward(far_reader, writer, True, detector)),
            ]
            try:
                await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
                await asyncio.sleep(0)
            finally:
                for direction in directions:
                    direction.cancel()
                await asyncio.gather(*directions, return_exceptions=True)
        except asyncio.CancelledError:  # the relay is closed; asyncio would log the exception
            pass
        finally:
            self._open.pop(task, None)
            for one in (writer, far):
                with suppress(OSError):
                    one.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_reply: bool,
        detector: _ReportDetector,
    ) -> None:
        forwarded_bytes = 0
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                while self.state is State.SILENT or self.state is (
                    State.REPLIES_BLOCKED if is_reply else State.REQUESTS_BLOCKED
                ):
                    await self._opened.wait()
                if self.state is State.SLOW:
                    await asyncio.sleep(SLOW_S)
                if is_reply and self.state is State.HALFWAY:
                    remaining_bytes = max(HALFWAY_BYTES - forwarded_bytes, 1)
                    if len(data) > remaining_bytes or forwarded_bytes >= HALFWAY_BYTES:
                        writer.write(data[:remaining_bytes])
                        await writer.drain()
                        self.truncated_replies += 1
                        reset(writer)
                        return
                forwarded_bytes += len(data)
                detector.observe(data, is_reply)
                writer.write(data)
                await writer.drain()


class _ReportDetector:
    """Detects in the bytes of a connection a report to the audit and its reply."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._requested_ms = 0.0
        self._reply = b""

    def observe(self, data: bytes, is_reply: bool) -> None:
        now = time.time() * 1000.0
        if not is_reply:
            if not self._requested_ms and data.startswith(REPORT):
                self._requested_ms = now
            if self._requested_ms:
                self._relay.report_bytes += len(data)
        elif self._requested_ms:
            self._reply += data
            if self._reply.endswith(b"}") and b"200 OK" in self._reply:
                found = STAGE.search(self._reply)
                stage = int(found[1]) if found else 0
                self._relay.reports.append(ForwardedReport(self._requested_ms, now, stage))


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError, ValueError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
