"""The control server, which accepts connections, authenticates callers and routes requests to its parts."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Sequence
from contextlib import suppress

import h11
import msgspec

from .event_stream import EventSink
from .http import BodyTooLargeError, HttpStatusError, Request, encode_response, read_request
from .part import MAX_BODY_BYTES, MAX_LARGE_BODY_BYTES, ControlPart, Route, StreamHandler
from .tokens import Tokens

REQUEST_TIMEOUT_S = 5.0  # for reading a complete request, and again for sending the response
MAX_CONNECTIONS = 1024
BACKLOG = 512  # connections that the kernel queues until they are accepted


class ControlServer:
    """Owns the listener, its open connections, and the routes of all parts."""

    def __init__(self, tokens: Tokens, parts: Sequence[ControlPart]) -> None:
        """Collects the routes of the parts, without listening yet."""
        self.port = 0  # set by `start`
        self._tokens = tokens
        self._parts = parts
        self._routes: dict[tuple[str, str], Route] = {}
        self._streams: dict[str, StreamHandler] = {}
        for part in parts:
            self._routes |= {(route.method, route.path): route for route in part.routes()}
            self._streams |= {route.path: route.handler for route in part.streams()}
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self, host: str, port: int, tls: ssl.SSLContext | None = None) -> int:
        """Listens, then starts the parts; returns the port, chosen by the system for 0. Raises OSError."""
        self._server = await asyncio.start_server(self._serve, host, port, ssl=tls, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]
        for part in self._parts:
            part.start()
        return self.port

    async def close(self) -> None:
        """Closes the listener and all connections, then the parts."""
        if self._server is not None:
            self._server.close()
        connections = list(self._connections)
        for task in connections:
            task.cancel()
        await asyncio.gather(*connections, return_exceptions=True)
        for part in self._parts:
            await part.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the one request of a connection, and closes it."""
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._respond(reader, writer)
            with suppress(TimeoutError):
                async with asyncio.timeout(REQUEST_TIMEOUT_S):
                    await writer.drain()
        except OSError:
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def _respond(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Writes the response, or an error response if an exception was raised."""
        try:
            request = await self._read(reader)
            caller = self._authenticate(request)
            stream = self._streams.get(request.path) if request.method == "GET" else None
            if stream is not None:
                await stream(request, EventSink(writer))
                return
            body = await self._handle(request, caller)
            writer.write(encode_response(200, "application/json", body))
        except (msgspec.MsgspecError, ValueError, h11.RemoteProtocolError) as error:
            writer.write(encode_response(400, "text/plain", f"{error}\n".encode()))
        except HttpStatusError as error:
            writer.write(encode_response(error.status, "text/plain", f"{error}\n".encode()))
        except TimeoutError:
            writer.write(encode_response(408, "text/plain", b"the request did not end in time\n"))

    async def _read(self, reader: asyncio.StreamReader) -> Request:
        """Reads a request within the limits of its route. Raises HttpStatusError, h11's errors, OSError."""
        async with asyncio.timeout(REQUEST_TIMEOUT_S):
            request = await read_request(reader, MAX_LARGE_BODY_BYTES)
        limits = [route.max_body_bytes for route in self._routes.values() if route.path == request.path]
        max_bytes = max(limits, default=MAX_BODY_BYTES)
        if len(request.body) > max_bytes:
            raise BodyTooLargeError(max_bytes)
        if len(self._connections) > MAX_CONNECTIONS:
            raise HttpStatusError(503, "too many connections")
        return request

    def _authenticate(self, request: Request) -> str:
        """Returns the name of the caller, found by its token. Raises HttpStatusError for an unknown token."""
        name = self._tokens.caller_name(request.headers.get("authorization", ""))
        if not name:
            raise HttpStatusError(401, "expected a known token: Authorization: Bearer TOKEN")
        return name

    async def _handle(self, request: Request, caller: str) -> bytes:
        """Returns the response body of the route's handler. Raises HttpStatusError if no route matches."""
        route = self._routes.get((request.method, request.path))
        if route is None:
            raise HttpStatusError(404, f"{request.method} {request.path}: no such thing here")
        return await route.handler(request, caller)
