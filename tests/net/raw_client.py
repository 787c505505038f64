"""A raw client socket whose bytes are written immediately, and helpers that delay the handling of its requests."""

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


def encode_request(stream: int, **fields: str) -> bytes:
    defaults = {
        "c": "film",
        "i": f"{stream:016x}",
        "d": "2000",
        "o": "7f3a9c21e0b4d655",
        "chunk": "3",
        "tag": "17",
        "m": "412.5",
    }
    return encode_frame(16, stream, encode_fields({**defaults, **fields}))  # type: ignore[arg-type]


CLIENT_GONE_FRAME = struct.pack(">IBI", 5, 18, 1)


class RawClient:
    """A client socket outside the event loop: it writes immediately, and reads only when the test calls for it."""

    def __init__(self, node: Server, receive_buffer_bytes: int = 0) -> None:
        self.sock = socket.socket()
        if receive_buffer_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.connect(("127.0.0.1", node.port))
        self.sock.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.sock.send(data) == len(data)

    async def receive_until_end(self) -> tuple[list[tuple[int, int, bytes]], str]:
        """Reads until the connection ends. Returns all frames, and "reset" or "end of file"."""
        decoder, frames = FrameDecoder(), list[tuple[int, int, bytes]]()
        try:
            while data := await asyncio.wait_for(
                asyncio.get_running_loop().sock_recv(self.sock, 65_536), 5.0
            ):
                frames += [(f.type, f.stream, f.payload) for f in decoder.feed(data)]
        except ConnectionError:
            return frames, "reset"
        return frames, "end of file"


async def wait_for_server_connection(node: Server, client: RawClient) -> ClientConnection:
    """Waits until the director has accepted the client's connection, and returns the director's side of it."""
    client_address = client.sock.getsockname()
    found: list[ClientConnection] = []

    def is_accepted() -> bool:
        found[:] = [c for c in node.client_listener.connections if c.sock.getpeername() == client_address]
        return bool(found)

    await wait_until(is_accepted)
    return found[0]


def hold_dials_until(
    node: Server, wait: Callable[[Attempt], Coroutine[Any, Any, None]]
) -> list[asyncio.Task[None]]:
    """Delays the dials that an attempt causes until `wait`, called with that attempt, has returned. Returns the tasks
    that run `wait`."""
    tasks: list[asyncio.Task[None]] = []
    send = node.upstream.send

    def send_and_delay_dials(attempt: Attempt) -> None:
        send(attempt)
        for conn in node.upstream._pool.get(attempt.store, []):
            dial = conn._dial

            async def delayed_dial(dial: Any = dial) -> Any:
                await tasks[-1]
                return await dial()

            conn._dial = delayed_dial  # type: ignore[method-assign]
        tasks.append(asyncio.create_task(wait(attempt)))

    node.upstream.send = send_and_delay_dials  # type: ignore[method-assign]
    return tasks
