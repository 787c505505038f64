"""HTTP/1.1 for control servers and their clients, based on h11. A connection carries one request, whose size
and duration are limited.
"""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import AsyncGenerator
from contextlib import aclosing
from http import HTTPStatus
from typing import NamedTuple

import h11
import msgspec

from .errors import LabelledError

READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
MAX_ERROR_BYTES = 2_000  # of an error's text; a client drops the rest


class HttpStatusError(LabelledError):
    """An error response: raised by a handler to send it, and by a client that has received it.

    `status` is the HTTP status, and the message is the text of the body in one line.
    """

    label = "Refused"

    def __init__(self, status: int, text: str) -> None:
        """`text` is the message."""
        super().__init__(text)
        self.status = status


class BodyTooLargeError(HttpStatusError):
    """The body of a request is longer than the `max_bytes` that its route accepts."""

    label = "TooLarge"

    def __init__(self, max_bytes: int) -> None:
        """Sets status 413."""
        super().__init__(413, f"a body of more than {max_bytes} bytes")
        self.max_bytes = max_bytes


#: The errors of a call if the server is unreachable, rejects the call, or sends a body that cannot be
#: decoded.
CALL_ERRORS = (OSError, HttpStatusError, TimeoutError, msgspec.MsgspecError)


class Request(NamedTuple):
    """A complete request. The header names are in lower case."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes


async def read_request(reader: asyncio.StreamReader, max_body_bytes: int) -> Request:
    """Reads one request and stops once its body exceeds the limit.

    Raises HttpStatusError, h11's errors, and OSError if the connection ends early.
    """
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
                    raise BodyTooLargeError(max_body_bytes)
            case h11.EndOfMessage() if head is not None:
                return _decode_request(head, bytes(body))
            case _:
                raise OSError("the connection ended")


def _decode_request(head: h11.Request, body: bytes) -> Request:
    path, _, query = head.target.decode("ascii").partition("?")
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), path, query, headers, body)


def encode_response(status: int, content_type: str, body: bytes | None) -> bytes:
    """Returns a complete response, or without a body the header of a stream that ends with the connection."""
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
    """Sends a request and yields the body of a response with status 200 as it arrives.

    Raises HttpStatusError for any other status, OSError and TimeoutError.
    """
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        reader, writer = await asyncio.open_connection(host, port, ssl=tls)
    try:
        http = h11.Connection(h11.CLIENT)
        fields = [("Host", f"{host}:{port}"), *(headers or {}).items(), ("Content-Length", str(len(body)))]
        if token:
            fields.append(("Authorization", f"Bearer {token}"))
        writer.write(http.send(h11.Request(method=method, target=target, headers=fields)) or b"")
        writer.write((http.send(h11.Data(data=body)) or b"") + (http.send(h11.EndOfMessage()) or b""))
        async with aclosing(_receive_body(http, reader)) as parts:
            async for part in parts:
                yield part
    except h11.RemoteProtocolError as error:
        raise OSError(f"the answer is cut or unreadable: {error}") from None
    finally:
        writer.close()


async def _receive_body(http: h11.Connection, reader: asyncio.StreamReader) -> AsyncGenerator[bytes, None]:
    """Yields the body of a response with status 200; raises HttpStatusError with the text of any other."""
    status, error_text = 0, bytearray()
    while True:
        match http.next_event():
            case h11.NEED_DATA:
                http.receive_data(await reader.read(READ_BYTES))
            case h11.Response(status_code=status):
                pass
            case h11.Data(data=data) if status == HTTPStatus.OK:
                yield bytes(data)
            case h11.Data(data=data):
                error_text += data[: max(MAX_ERROR_BYTES - len(error_text), 0)]
            case h11.EndOfMessage() | h11.ConnectionClosed():
                break
    if status != HTTPStatus.OK:
        text = " ".join(error_text.decode("utf-8", "replace").split())
        raise HttpStatusError(status, text or f"status {status}")


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
    """Sends a request and returns the complete body of the response. Times out after `within_s` seconds.

    Raises the errors of `stream_response`.
    """
    async with asyncio.timeout(within_s):
        parts = stream_response(host, port, method, target, token, body, headers, tls)
        return b"".join([part async for part in parts])
