"""A fake cache of which the test writes and reads every byte, and helpers to inspect the connections to it."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from harness import Client

from gladelane.net.cache_connection import Connection
from gladelane.net.exchange import ClientRequest
from gladelane.server import Server

SERVED_RESPONSE = b"%s served digest=aa,dated=1,remark=h %d\r\n%s\r\n"


class RawCache:
    """A listening socket that stands for a cache. The test itself writes to the accepted sockets, so that bytes are
    sent immediately and not in a later iteration of the event loop."""

    def __init__(self, receive_buffer_bytes: int = 0) -> None:
        self.listener = socket.socket()
        if receive_buffer_bytes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def accept_connection(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), 5.0)
        sock.setblocking(False)
        return sock


async def receive_until(sock: socket.socket, expected: bytes) -> bytes:
    """Reads until the received bytes contain `expected`, and returns all of them."""
    data = b""
    while expected not in data:
        chunk = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65_536), 5.0)
        assert chunk, f"connection closed after {data!r:.200}"
        data += chunk
    return data


async def asked(cache: RawCache, client: Client) -> socket.socket:
    """Sends request 1 and returns the cache's side of the connection on which it arrived."""
    client.ask(1)
    sock = await cache.accept_connection()
    await receive_until(sock, b"\r\n")
    return sock


def get_single_connection(node: Server, store: str) -> Connection:
    (conn,) = node.upstream._pool[store]
    return conn


def build_client_request(number: int, **fields: Any) -> ClientRequest:
    defaults = {"cls": "film", "wait_ms": 2000.0, "object": "7f3a9c21e0b4d655", "part": 3, "group": 17}
    return ClientRequest(id=f"{number:016x}", **{**defaults, **fields})
