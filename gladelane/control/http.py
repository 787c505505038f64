"""HTTP/1.1 as control servers and their clients speak it, on h11: one request a connection, bounded in size
and time."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncGenerator
from http import HTTPStatus
from typing import NamedTuple

import h11
import msgspec

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
MAX_ERROR_TEXT = 2_000  # bytes of an error's text that are kept


class Refused(Exception):
    """An answer that is an error. status: of HTTP; the message is its text, in one line."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class TooLarge(Refused):
    """The body is longer than the route takes."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(413, f"a body of more than {max_bytes} bytes")


#: What a call can end with where the other side is away, refuses, or answers what cannot be read.
CALL_ERRORS = (OSError, Refused, TimeoutError, msgspec.MsgspecError)


class Request(NamedTuple):
    """headers: their names in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader, max_body_bytes: int) -> Request:
    """Raises Refused, h11's errors and OSError; stops reading at the bound of the body."""
    http = h11.Connection(h11.SERVER)
    head: h11.Request | None = None
    body = bytearray()
    while True:
        match http.next_event():
            case h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            case h11.Request() as head:
                pass
            case h11.Data(data=data):
                body += data
                if len(body) > max_body_bytes:
                    raise TooLarge(max_body_bytes)
            case h11.EndOfMessage() if head is not None:
                path, _, query = head.target.decode("ascii").partition("?")
                headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
                return Request(head.method.decode(), path, query, headers, bytes(body))
            case _:
                raise OSError("the connection ended")


def encode_response(status: int, content_type: str, body: bytes | None) -> bytes:
    """A whole response, or without a body the head of a stream that ends with the connection."""
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
        f"Content-Type: {content_type}",
        "Connection: close",
    ]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


async def stream_response(
    host: str,
    port: int,
    method: str,
    target: str,
    token: str = "",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    tls: ssl.SSLContext | None = None,
) -> AsyncGenerator[bytes, None]:
    """The body of a response with status 200, as it comes. Raises Refused, OSError and TimeoutError."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port, ssl=tls)
    try:
        http = h11.Connection(h11.CLIENT)
        lines = [("Host", f"{host}:{port}"), *(headers or {}).items(), ("Content-Length", str(len(body)))]
        if token:
            lines.append(("Authorization", f"Bearer {token}"))
        writer.write(http.send(h11.Request(method=method, target=target, headers=lines)) or b"")
        writer.write((http.send(h11.Data(data=body)) or b"") + (http.send(h11.EndOfMessage()) or b""))
        status, error_text = 0, bytearray()
        while True:
            match http.next_event():
                case h11.NEED_DATA:
                    http.receive_data(await reader.read(READ_BYTES))
                case h11.Response(status_code=status):
                    pass
                case h11.Data(data=data) if status == 200:
                    yield bytes(data)
                case h11.Data(data=data):
                    error_text += data[: max(MAX_ERROR_TEXT - len(error_text), 0)]
                case h11.EndOfMessage() | h11.ConnectionClosed():
                    break
        if status != 200:
            text = " ".join(error_text.decode("utf-8", "replace").split())
            raise Refused(status, text or f"status {status}")
    except h11.RemoteProtocolError as error:
        raise OSError(f"the answer is cut or unreadable: {error}") from None
    finally:
        writer.close()


async def fetch(
    host: str,
    port: int,
    method: str,
    target: str,
    token: str = "",
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    tls: ssl.SSLContext | None = None,
    within_s: float = 5.0,
) -> bytes:
    """The whole body of a response. Raises what `stream_response` does."""
    async with asyncio.timeout(within_s):
        parts = stream_response(host, port, method, target, token, body, headers, tls)
        return b"".join([part async for part in parts])
