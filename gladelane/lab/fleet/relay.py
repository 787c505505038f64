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


class Reported(NamedTuple):
    """A report to the audit that was forwarded with its reply. Unix ms; `stage`: that of the verdict."""

    asked_ms: float
    answered_ms: float
    stage: int


class Relay:
    """Accepts connections of the near end and forwards them to the port of the far end."""

    def __init__(self, port: int) -> None:
        self.far = port
        self.port = 0
        self.state = State.OPEN
        self.cut_short = 0
        self.reported: list[Reported] = []  # as seen here, independent of what both ends record
        self.report_bytes = 0
        self._server: asyncio.Server | None = None
        self._open: dict[asyncio.Task[None], tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = {}
        self._healed = asyncio.Event()

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
            self._healed.set()
            self._healed = asyncio.Event()

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
            far_reader, far = await asyncio.open_connection("127.0.0.1", self.far)
        except OSError:
            reset(writer)
            return
        task = asyncio.current_task()
        assert task is not None
        self._open[task] = writer, far
        watch = _Watch(self)
        try:
            ways = [
                asyncio.ensure_future(self._pass(reader, far, False, watch)),
                asyncio.ensure_future(self._pass(far_reader, writer, True, watch)),
            ]
            try:
                await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
                await asyncio.sleep(0)
            finally:
                for way in ways:
                    way.cancel()
                await asyncio.gather(*ways, return_exceptions=True)
        except asyncio.CancelledError:  # the relay is closed; asyncio would log the exception
            pass
        finally:
            self._open.pop(task, None)
            for one in (writer, far):
                with suppress(OSError):
                    one.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, back: bool, watch: _Watch
    ) -> None:
        passed = 0
        with suppress(OSError):
            while data := await reader.read(READ_BYTES):
                while self.state is State.SILENT or self.state is (
                    State.REPLIES_BLOCKED if back else State.REQUESTS_BLOCKED
                ):
                    await self._healed.wait()
                if self.state is State.SLOW:
                    await asyncio.sleep(SLOW_S)
                if back and self.state is State.HALFWAY:
                    left = max(HALFWAY_BYTES - passed, 1)
                    if len(data) > left or passed >= HALFWAY_BYTES:
                        writer.write(data[:left])
                        await writer.drain()
                        self.cut_short += 1
                        reset(writer)
                        return
                passed += len(data)
                watch.passes(data, back)
                writer.write(data)
                await writer.drain()


class _Watch:
    """Detects in the bytes of a connection a report to the audit and its reply."""

    def __init__(self, relay: Relay) -> None:
        self._relay = relay
        self._asked_ms = 0.0
        self._said = b""

    def passes(self, data: bytes, back: bool) -> None:
        now = time.time() * 1000.0
        if not back:
            if not self._asked_ms and data.startswith(REPORT):
                self._asked_ms = now
            if self._asked_ms:
                self._relay.report_bytes += len(data)
        elif self._asked_ms:
            self._said += data
            if self._said.endswith(b"}") and b"200 OK" in self._said:
                found = STAGE.search(self._said)
                stage = int(found[1]) if found else 0
                self._relay.reported.append(Reported(self._asked_ms, now, stage))


def reset(writer: asyncio.StreamWriter) -> None:
    """Closes a connection with RST."""
    sock = writer.get_extra_info("socket")
    with suppress(OSError, ValueError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
