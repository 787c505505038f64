"""Discovery as it may be when many processes start."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

from gladelane.lab.free_ports import free_port

BACKLOG = 512  # of discovery


class Discovery(Enum):
    """Whether discovery answers, accepts and says nothing, or refuses."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"


async def serve_discovery(how: Discovery) -> tuple[asyncio.Server | None, str]:
    """A server for the watch, None where it is down, and its address."""
    if how is Discovery.DOWN:
        return None, f"127.0.0.1:{free_port()}"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if how is Discovery.UP:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: \n\n")
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=BACKLOG)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
