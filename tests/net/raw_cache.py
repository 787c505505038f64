"""A cache whose every byte the test sends, and looks at the connections to it."""

from __future__ import annotations

import asyncio
import socket
from typing import Any

from harness import Client

from gladelane.net.cache_connection import Connection
from gladelane.net.exchange import ClientRequest
from gladelane.server import Server

OK = b"%s served digest=aa,dated=1,remark=h %d\r\n%s\r\n"


class Peer:
    """A cache whose every byte the test sends, at once and not in a turn of the loop."""

    def __init__(self, takes: int = 0) -> None:
        self.listener = socket.socket()
        if takes:
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, takes)
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.listener.setblocking(False)
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"

    async def accepted(self) -> socket.socket:
        sock, _ = await asyncio.wait_for(asyncio.get_running_loop().sock_accept(self.listener), 5.0)
        sock.setblocking(False)
        return sock


async def heard(sock: socket.socket, of: bytes) -> bytes:
    """What came, once it holds that."""
    data = b""
    while of not in data:
        more = await asyncio.wait_for(asyncio.get_running_loop().sock_recv(sock, 65_536), 5.0)
        assert more, f"ended after {data!r:.200}"
        data += more
    return data


async def asked(peer: Peer, client: Client) -> socket.socket:
    """The cache's side of the connection on which it was asked the first request."""
    client.ask(1)
    sock = await peer.accepted()
    await heard(sock, b"\r\n")
    return sock


def only(node: Server, store: str) -> Connection:
    (conn,) = node.upstream._pool[store]
    return conn


def ask(number: int, **fields: Any) -> ClientRequest:
    plain = {"cls": "film", "wait_ms": 2000.0, "object": "7f3a9c21e0b4d655", "part": 3, "group": 17}
    return ClientRequest(id=f"{number:016x}", **{**plain, **fields})
