"""The admin endpoint: HTTP/1.1 over h11, one request per connection, in a thread with its own event loop.

The serving event loop may be overloaded. So a request takes effect in the endpoint's thread (`accept`), is
completed in the serving loop (`complete`), and is answered once that is done or COMPLETE_TIMEOUT_S has
passed: an accepted request is in effect even if it is not completed yet.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from concurrent.futures import Future
from contextlib import suppress
from typing import Protocol

import h11

from ..sockets import close_socket, ms_since_last_data, open_listening_socket
from ..supervision import SupervisedThread, Supervisor
from .endpoint_metrics import EndpointMetrics
from .open_connections import OpenConnection, OpenConnections, Stage
from .requests import AdminAction, AdminRequest, AdminResponse, InvalidAdminRequestError, parse_request

log = logging.getLogger(__name__)

BACKLOG = 1024  # connections that the system queues, so that a crowd of clients keeps no other client out
MAX_CONNECTIONS = 24  # at once; beyond it, a connection without a complete request is closed for a new one
REQUEST_TIMEOUT_S = 1.5  # for receiving a complete request
COMPLETE_TIMEOUT_S = 0.6  # from the arrival of a request, for the serving loop to complete it once accepted
MIN_COMPLETE_TIMEOUT_S = 0.1  # the same for a request that has waited in the system's queue
LINGER_S = 0.3  # for a client to read its response and close
MAX_REQUEST_BYTES = 16_384  # including the body
READ_BYTES = 4096
ACCEPT_RETRY_S = 0.02  # delay after a failed accept
CAPACITY_POLL_S = 0.01  # interval between checks for a connection that may be closed, if there is none
#: After this many disconnected clients there is a pause, since a crowd that reconnects at once must not take
#: the processor time of the serving loop.
DISCONNECTS_PER_PAUSE, PAUSE_S = 16, 0.005


class RequestHandler(Protocol):
    """Executes requests. `accept` and `respond_late` run in the endpoint's thread, `complete` in the serving
    loop."""

    stored: Future[None] | None
    """Done once the last completed request is stored; None if requests are not stored."""

    def accept(self, request: AdminRequest) -> AdminResponse | None:
        """Puts a request into effect and returns None, or returns a response that needs no serving loop. A
        request that only reads data in the serving loop has no effect here."""

    def complete(self, request: AdminRequest) -> AdminResponse:
        """Executes the part of an accepted request that needs the serving loop."""

    def respond_late(self, request: AdminRequest) -> AdminResponse:
        """Returns the response to an accepted request that the serving loop has not completed in time."""


class AdminEndpoint:
    """Listens and serves in its own thread. `close` may be called from the serving loop, and waits until the
    thread has ended. An error in the thread ends its connections, but neither the listener nor the thread.

    Attributes: port; metrics."""

    def __init__(
        self,
        handler: RequestHandler,
        serving_loop: asyncio.AbstractEventLoop,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._handler, self._serving_loop = handler, serving_loop
        self._max_connections = min(max_connections, MAX_CONNECTIONS)
        self._loop = asyncio.new_event_loop()  # after an error the thread replaces it
        self._listener: socket.socket
        self._connections = OpenConnections()
        self._supervisor = Supervisor()
        self._thread = SupervisedThread("admin", self._run_event_loop)
        self.port = 0
        self.metrics = EndpointMetrics()

    @property
    def failures(self) -> int:
        """How often the thread or its accepting task was restarted after an error."""
        return self._thread.failures + self._supervisor.failures

    def open(self, host: str, port: int) -> int:
        """Starts the thread and returns the port it listens on. Raises OSError if the address is in use or
        the system starts no thread."""
        self._listener = open_listening_socket(host, port, BACKLOG)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        self._thread.start()
        return self.port

    def close(self) -> None:
        """Closes all connections and ends the thread."""
        self._thread.stop(self._stop_event_loop, LINGER_S * 2)
        if self.port:
            close_socket(self._listener)

    def _stop_event_loop(self) -> None:
        with suppress(RuntimeError):  # it is closed
            self._loop.call_soon_threadsafe(self._loop.stop)

    def _run_event_loop(self) -> None:
        """Serves until the event loop is stopped."""
        if self._loop.is_closed():
            self._loop = asyncio.new_event_loop()
        self._supervisor = Supervisor(self._supervisor.failures)
        try:
            if not self._thread.is_stopping:
                self._loop.call_soon(self._start_accepting)
                self._loop.run_forever()
        finally:
            with suppress(Exception):  # after an error of the event loop itself
                self._loop.run_until_complete(self._end_tasks())
            for connection in self._connections.values():
                close_socket(connection.sock)
            self._connections.clear()
            self._loop.close()

    def _start_accepting(self) -> None:
        self._supervisor.start("admin endpoint", self._accept_all)

    async def _end_tasks(self) -> None:
        await self._supervisor.close()
        tasks = list(self._connections)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _accept_all(self) -> None:
        while True:
            try:
                accepted = await _accept(self._listener)
            except OSError as error:  # the client disconnected, or the process has no descriptors left
                log.warning("admin: accept failed: %s", error)
                self.metrics.accept_errors += 1
                await asyncio.sleep(ACCEPT_RETRY_S)
                continue
            self.metrics.connections += 1
            connection = OpenConnection(accepted, self._loop.time())
            try:
                has_capacity = await self._wait_for_capacity(connection)
            except BaseException:
                close_socket(accepted)
                raise
            if has_capacity:
                task = self._loop.create_task(self._serve(connection))
                self._connections.add(task, connection)
            else:
                close_socket(accepted)
                await self._record_disconnect()
            await asyncio.sleep(0)  # accepting would otherwise not wait while connections are queued

    async def _wait_for_capacity(self, new: OpenConnection) -> bool:
        """Waits until the number of connections is below the limit, for which other connections may be
        closed. Returns False if the new connection is to be closed instead."""
        while len(self._connections) >= self._max_connections:
            now_s = self._loop.time()
            if new.may_be_closed(now_s):
                return False
            chosen = self._connections.choose_to_close(now_s)
            if chosen is None:
                await asyncio.wait(self._connections, timeout=CAPACITY_POLL_S)
                continue
            is_unanswered = self._connections[chosen].stage is Stage.RECEIVING
            chosen.cancel()
            await asyncio.wait([chosen])
            if is_unanswered:
                await self._record_disconnect()
        return True

    async def _record_disconnect(self) -> None:
        """Counts a client that was disconnected before its request was complete."""
        log.info("admin: closed a connection for a new one open=%d", len(self._connections))
        self.metrics.replaced += 1
        if self.metrics.replaced % DISCONNECTS_PER_PAUSE == 0:
            await asyncio.sleep(PAUSE_S)

    async def _serve(self, connection: OpenConnection) -> None:
        try:
            with suppress(OSError, TimeoutError):
                await self._respond(connection)
        except Exception:  # ends this connection only
            log.exception("admin: connection failed")
        finally:
            close_socket(connection.sock)

    async def _respond(self, connection: OpenConnection) -> None:
        """Serves one request. Raises OSError or TimeoutError if the client has disconnected or does not read
        its response."""
        http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_REQUEST_BYTES)
        response = await self._read_and_handle(http, connection)
        sock = connection.sock
        async with asyncio.timeout(LINGER_S):
            await self._loop.sock_sendall(sock, _encode(http, response))
            self.metrics.answered += 1
            sock.shutdown(socket.SHUT_WR)
            connection.stage = Stage.RESPONDED
            # Closing a socket with unread bytes would send a reset, which could discard the response.
            while await _receive(sock):
                pass

    async def _read_and_handle(self, http: h11.Connection, connection: OpenConnection) -> AdminResponse:
        """Reads a request and returns its response. Raises OSError."""
        try:
            async with asyncio.timeout(REQUEST_TIMEOUT_S):
                request = await self._read(http, connection.sock)
            connection.stage = Stage.HANDLING
            return await self._handle(request, ms_since_last_data(connection.sock) / 1000.0)
        except InvalidAdminRequestError as error:
            return error.response
        except h11.RemoteProtocolError as error:
            return AdminResponse(error.error_status_hint, f"{error}\n")
        except TimeoutError:
            log.info("admin: no complete request in time open=%d", len(self._connections))
            self.metrics.timed_out += 1
            return AdminResponse(408, f"no whole call in {REQUEST_TIMEOUT_S} s\n")
        except OSError:
            raise
        except Exception:  # an internal error must fail this request only
            log.exception("admin: request failed")
            return AdminResponse(500, "a fault in the director; see its log\n")

    async def _read(self, http: h11.Connection, accepted: socket.socket) -> AdminRequest:
        """Reads one request. Raises InvalidAdminRequestError, h11.RemoteProtocolError or OSError."""
        request: AdminRequest | None = None
        received = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await _receive(accepted)
                received += len(data)
                if received > MAX_REQUEST_BYTES:
                    raise InvalidAdminRequestError(413, f"over {MAX_REQUEST_BYTES} bytes")
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                request = parse_request(event.method.decode(), event.target.decode())
            elif isinstance(event, h11.EndOfMessage) and request is not None:
                return request
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the client disconnected before its request was complete")

    async def _handle(self, request: AdminRequest, queued_s: float) -> AdminResponse:
        """Executes a request that arrived `queued_s` ago."""
        self.metrics.requests += 1
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
            else:  # a request that was answered with success must survive a kill of this process
                stored.add_done_callback(lambda _: done.set_result(response))

        try:
            self._serving_loop.call_soon_threadsafe(complete)
        except RuntimeError:  # the serving loop has ended
            return self._handler.respond_late(request)
        try:
            async with asyncio.timeout(max(COMPLETE_TIMEOUT_S - queued_s, MIN_COMPLETE_TIMEOUT_S)):
                response = await asyncio.shield(asyncio.wrap_future(done, loop=self._loop))
        except TimeoutError:
            self.metrics.late += 1
            response = self._handler.respond_late(request)
        if request.action not in (AdminAction.HEALTH, AdminAction.STATS):
            log.info("admin: %s %s: %d", request.action.value, request.store or "director", response.status)
        return response


async def _accept(listener: socket.socket) -> socket.socket:
    """Returns the next connection. Raises OSError.

    `loop.sock_accept` accepts in a callback and loses the connection if its caller is cancelled just then."""
    while True:
        try:
            accepted, _ = listener.accept()
        except BlockingIOError:
            await _wait_readable(listener)
        else:
            accepted.setblocking(False)
            return accepted


async def _receive(sock: socket.socket) -> bytes:
    """Returns the next bytes, empty at the end. Raises OSError. Bytes count as unread until then, so that the
    connection is not closed in between."""
    while True:
        try:
            return sock.recv(READ_BYTES)
        except BlockingIOError:
            await _wait_readable(sock)


async def _wait_readable(sock: socket.socket) -> None:
    loop, readable = asyncio.get_running_loop(), asyncio.Event()
    descriptor = sock.fileno()
    loop.add_reader(descriptor, readable.set)
    try:
        await readable.wait()
    finally:
        loop.remove_reader(descriptor)


def _encode(http: h11.Connection, response: AdminResponse) -> bytes:
    """Encodes a response; empty if the HTTP connection can send none after a protocol error."""
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
