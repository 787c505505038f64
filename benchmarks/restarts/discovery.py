"""A discovery server that answers, is slow, or is down when many processes start."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import Enum

from gladelane.lab.free_ports import free_port

BACKLOG = 512  # of the discovery server, so that many processes can connect at once


class DiscoveryState(Enum):
    """Whether discovery answers, accepts connections without an answer, or refuses them."""

    UP = "up"
    SLOW = "slow"
    DOWN = "down"


async def serve_discovery(state: DiscoveryState) -> tuple[asyncio.Server | None, str]:
    """Returns a discovery server, None if discovery is down, and its address."""
    if state is DiscoveryState.DOWN:
        return None, f"127.0.0.1:{free_port()}"

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(b"\r\n\r\n")
            if state is DiscoveryState.UP:
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n: \n\n")
            await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0, backlog=BACKLOG)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
