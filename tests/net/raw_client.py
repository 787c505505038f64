"""A client whose every byte is written at once, and barriers on the way of its requests."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Coroutine
from typing import Any

from harness import wait_until

from gladelane.net.client_connection import ClientConnection
from gladelane.net.client_protocol import FrameDecoder, encode_fields, encode_frame
from gladelane.net.exchange import Attempt
from gladelane.server import Server


def request(stream: int, **fields: str) -> bytes:
    plain = {
        "c": "film",
        "i": f"{stream:016x}",
        "d": "2000",
        "o": "7f3a9c21e0b4d655",
        "chunk": "3",
        "tag": "17",
        "m": "412.5",
    }
    return encode_frame(16, stream, encode_fields({**plain, **fields}))  # type: ignore[arg-type]


GONE = struct.pack(">IBI", 5, 18, 1)


class Raw:
    """A client without a loop of its own: it writes at once, and reads only what it is told to."""

    def __init__(self, node: Server, takes: int = 0) -> None:
        self.sock = socket.socket()
        if takes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, takes)
        self.sock.connect(("127.0.0.1", node.port))
        self.sock.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.sock.send(data) == len(data)

    async def rest(self) -> tuple[list[tuple[int, int, bytes]], str]:
        """All frames to the end, and how it ended."""
        decoder, frames = FrameDecoder(), list[tuple[int, int, bytes]]()
        try:
            while data := await asyncio.wait_for(
                asyncio.get_running_loop().sock_recv(self.sock, 65_536), 5.0
            ):
                frames += [(f.type, f.stream, f.payload) for f in decoder.feed(data)]
        except ConnectionError:
            return frames, "reset"
        return frames, "end of file"


async def connected(node: Server, raw: Raw) -> ClientConnection:
    """The director's side of it."""
    name = raw.sock.getsockname()
    found: list[ClientConnection] = []

    def there() -> bool:
        found[:] = [c for c in node.client_listener.connections if c.sock.getpeername() == name]
        return bool(found)

    await wait_until(there)
    return found[0]


def waits_for_a_dial(
    node: Server, happens: Callable[[Attempt], Coroutine[Any, Any, None]]
) -> list[asyncio.Task[None]]:
    """Holds each dial until `happens` has: the attempt waits meanwhile."""
    tasks: list[asyncio.Task[None]] = []
    send = node.upstream.send

    def sends(attempt: Attempt) -> None:
        send(attempt)
        for conn in node.upstream._pool.get(attempt.store, []):
            dial = conn._dial

            async def held(dial: Any = dial) -> Any:
                await tasks[-1]
                return await dial()

            conn._dial = held  # type: ignore[method-assign]
        tasks.append(asyncio.create_task(happens(attempt)))

    node.upstream.send = sends  # type: ignore[method-assign]
    return tasks
