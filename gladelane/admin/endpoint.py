"""The admin endpoint: HTTP/1.1 over h11, one request a connection, in a thread with an event loop of its
own.

The serving loop may be overloaded: a request is put into force here (`accept`), completed there (`complete`),
and answered once it was, or after COMPLETE_S: what was accepted is in force by itself.
"""

from __future__ import annotations

import asyncio
import logging
import socket
import threading
from concurrent.futures import Future
from contextlib import suppress
from typing import Protocol

import h11
import msgspec

from ..sockets import close_socket, has_unread, open_listening_socket
from .requests import AdminAction, AdminRequest, AdminResponse, InvalidAdminRequestError, parse_request

log = logging.getLogger(__name__)

BACKLOG = 64
MAX_CONNECTIONS = 24  # at once; the oldest without a complete request is closed for a new one
REQUEST_S = 1.5  # within which a request has to be complete
COMPLETE_S = 0.6  # for the serving loop to complete it
LINGER_S = 0.3  # for a client to take its response and close
MAX_REQUEST_BYTES = 16_384  # its body included
READ_BYTES = 4096
ACCEPT_RETRY_S = 0.02  # after an accept that failed
MIN_AGE_S = 0.05  # a younger connection is not closed for another: its request may lie there unread


class RequestHandler(Protocol):
    """Carries requests out. `accept` and `respond_late` run in the endpoint's thread, `complete` in the
    serving loop."""

    stored: Future[None] | None
    """Done once the last completed request is stored; None where nothing stores it."""

    def accept(self, request: AdminRequest) -> AdminResponse | None:
        """A response that needs no serving loop; None once the request is in force, or is only to be read
        there."""

    def complete(self, request: AdminRequest) -> AdminResponse:
        """The rest of an accepted request."""

    def respond_late(self, request: AdminRequest) -> AdminResponse:
        """The response to an accepted request that the serving loop has not come to yet."""


class _Connection(msgspec.Struct):
    sock: socket.socket
    since_s: float  # of the loop's clock
    is_complete: bool = False  # its request has been read


class AdminEndpoint:
    """Listens and serves in its own thread. `close` may be called from the serving loop; it waits for the
    thread."""

    def __init__(
        self,
        handler: RequestHandler,
        serving: asyncio.AbstractEventLoop,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._handler, self._serving = handler, serving
        self._max_connections = min(max_connections, MAX_CONNECTIONS)
        self._loop = asyncio.new_event_loop()
        self._listener: socket.socket
        self._connections: dict[asyncio.Task[None], _Connection] = {}  # oldest first
        self._thread = threading.Thread(target=self._run, name="admin", daemon=True)
        self.port = 0

    def open(self, host: str, port: int) -> int:
        """The port it listens on. Raises OSError where the address is in use."""
        self._listener = open_listening_socket(host, port, BACKLOG)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        self._thread.start()
        return self.port

    def close(self) -> None:
        """Ends all connections and the thread."""
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(LINGER_S * 2)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        accepting = self._loop.create_task(self._accept_all())
        try:
            self._loop.run_forever()
        finally:
            tasks = [accepting, *self._connections]
            for task in tasks:
                task.cancel()
            self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            close_socket(self._listener)
            self._loop.close()

    async def _accept_all(self) -> None:
        while True:
            await self._wait_for_capacity()
            try:
                accepted, _ = await self._loop.sock_accept(self._listener)
            except OSError as error:  # the client has gone, or the process has no descriptors left
                log.warning("admin: accept failed: %s", error)
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            task = self._loop.create_task(self._serve(accepted))
            self._connections[task] = _Connection(accepted, self._loop.time())
            task.add_done_callback(lambda done: self._connections.pop(done, None))

    async def _wait_for_capacity(self) -> None:
        """Returns at once below the limit. Else a connection is closed once a new one has come, but none that
        is young: clients that reconnect at once wait in the system's queue, and close nobody whose request is
        under way."""
        while len(self._connections) >= self._max_connections:
            await _wait_readable(self._loop, self._listener)
            chosen = self._choose_to_close()
            young_s = self._connections[chosen].since_s + MIN_AGE_S - self._loop.time()
            if young_s > 0.0:
                await asyncio.wait([chosen], timeout=young_s)
            else:
                chosen.cancel()
                await asyncio.wait([chosen])

    def _choose_to_close(self) -> asyncio.Task[None]:
        """The oldest that has no complete request and sent nothing that was not read, else the oldest."""
        oldest = next(iter(self._connections))
        for task, connection in self._connections.items():
            if not (task.done() or connection.is_complete or has_unread(connection.sock)):
                return task
        return oldest

    async def _serve(self, accepted: socket.socket) -> None:
        try:
            with suppress(OSError, TimeoutError):
                await self._respond(accepted)
        finally:
            close_socket(accepted)

    async def _respond(self, accepted: socket.socket) -> None:
        """Raises OSError, TimeoutError where the client has gone or takes no response."""
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        response = await self._read_and_handle(http, accepted)
        async with asyncio.timeout(LINGER_S):
            await self._loop.sock_sendall(accepted, _encode(http, response))
            accepted.shutdown(socket.SHUT_WR)
            # Unread bytes would turn the close into a reset, and the response could be lost with it.
            while await self._loop.sock_recv(accepted, READ_BYTES):
                pass

    async def _read_and_handle(self, http: h11.Connection, accepted: socket.socket) -> AdminResponse:
        """Raises OSError."""
        try:
            async with asyncio.timeout(REQUEST_S):
                request = await self._read(http, accepted)
            return await self._handle(request)
        except InvalidAdminRequestError as error:
            return error.response
        except h11.RemoteProtocolError as error:
            return AdminResponse(error.error_status_hint, f"{error}\n")
        except TimeoutError:
            return AdminResponse(408, f"no whole call in {REQUEST_S} s\n")
        except OSError:
            raise
        except Exception:  # a fault here costs this request only
            log.exception("admin: request failed")
            return AdminResponse(500, "a fault in the director; see its log\n")

    async def _read(self, http: h11.Connection, accepted: socket.socket) -> AdminRequest:
        """Raises InvalidAdminRequestError, h11.RemoteProtocolError, OSError."""
        request: AdminRequest | None = None
        received = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await self._loop.sock_recv(accepted, READ_BYTES)
                received += len(data)
                if received > MAX_REQUEST_BYTES:
                    raise InvalidAdminRequestError(413, f"over {MAX_REQUEST_BYTES} bytes")
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = parse_request(event.method.decode(), event.target.decode())
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                task = asyncio.current_task()
                if task in self._connections:
                    self._connections[task].is_complete = True
                return request
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the client left")

    async def _handle(self, request: AdminRequest) -> AdminResponse:
        immediate = self._handler.accept(request)
        if immediate is not None:
            return immediate
        done: Future[AdminResponse] = Future()

        def complete() -> None:
            try:
                response = self._handler.complete(request)
            except Exception as error:
                done.set_exception(error)
                return
            stored, self._handler.stored = self._handler.stored, None
            if stored is None:
                done.set_result(response)
            else:  # a yes holds if this process is killed
                stored.add_done_callback(lambda _: done.set_result(response))

        try:
            self._serving.call_soon_threadsafe(complete)
        except RuntimeError:  # that loop has ended
            return self._handler.respond_late(request)
        try:
            async with asyncio.timeout(COMPLETE_S):
                response = await asyncio.shield(asyncio.wrap_future(done, loop=self._loop))
        except TimeoutError:
            response = self._handler.respond_late(request)
        if request.action not in (AdminAction.HEALTH, AdminAction.STATS):
            log.info("admin: %s %s: %d", request.action.value, request.store or "director", response.status)
        return response


async def _wait_readable(loop: asyncio.AbstractEventLoop, listener: socket.socket) -> None:
    """Returns once a connection waits to be accepted."""
    readable = asyncio.Event()
    loop.add_reader(listener.fileno(), readable.set)
    try:
        await readable.wait()
    finally:
        loop.remove_reader(listener.fileno())


def _encode(http: h11.Connection, response: AdminResponse) -> bytes:
    """Empty where the request broke off inside HTTP itself."""
    if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
        return b""
    body = response.text.encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    events = (
        h11.Response(status_code=response.status, headers=headers, reason=b""),
        h11.Data(data=body),
        h11.EndOfMessage(),
    )
    return b"".join(http.send(event) or b"" for event in events)
