"""The operators' door: HTTP/1.1 over h11, one call a connection, in a thread with a loop of its own.

The serving loop may be behind: a call is bound here (`Desk.bind`) and carried out there (`Desk.apply`), and
is answered once it was, or in BOUND_S: what was bound holds by itself.
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

from ..sockets import has_unread
from .calls import Answer, BadCall, Call, Word, read_call

log = logging.getLogger(__name__)

BACKLOG = 64
MOST_CALLERS = 24  # connections held, or fewer; the oldest without a whole call gives way to one more
CALL_S = 1.5  # within which a call has to be whole
BOUND_S = 0.6  # for the serving loop to carry it out
LINGER_S = 0.3  # for a caller to take its answer and close
MOST_BYTES = 16_384  # of a call, its body included
READ_BYTES = 4096
RETRY_S = 0.02  # after an accept that failed
YOUNG_S = 0.05  # a caller held for less is not ended for another: its call may lie there unread


class Desk(Protocol):
    """Who carries calls out. `bind` and `late` run in the door's thread, `apply` in the serving loop."""

    def bind(self, call: Call) -> Answer | None:
        """An answer that needs no serving loop; None once the call holds, or is only to be read there."""

    def apply(self, call: Call) -> Answer: ...

    def late(self, call: Call) -> Answer:
        """The answer to a bound call that the serving loop has not come to yet."""


class Caller(msgspec.Struct):
    """A connection that is held."""

    sock: socket.socket
    since_s: float  # of the loop's clock
    is_whole: bool = False  # its call has been read


class Door:
    """`close` may be called from the serving loop; it waits for the thread."""

    def __init__(
        self, desk: Desk, serving: asyncio.AbstractEventLoop, most_callers: int = MOST_CALLERS
    ) -> None:
        self._desk, self._serving = desk, serving
        self._most_callers = min(most_callers, MOST_CALLERS)
        self._loop = asyncio.new_event_loop()
        self._listener: socket.socket
        self._callers: dict[asyncio.Task[None], Caller] = {}  # oldest first
        self._thread = threading.Thread(target=self._run, name="door", daemon=True)
        self.port = 0

    def open(self, host: str, port: int) -> int:
        """Raises OSError where the place is taken."""
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        self._listener = socket.create_server((host, port), family=family, backlog=BACKLOG)
        self._listener.setblocking(False)
        self.port = int(self._listener.getsockname()[1])
        self._thread.start()
        return self.port

    def close(self) -> None:
        if self._thread.is_alive():
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join(LINGER_S * 2)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        accepting = self._loop.create_task(self._accept_all())
        try:
            self._loop.run_forever()
        finally:
            tasks = [accepting, *self._callers]
            for task in tasks:
                task.cancel()
            self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
            self._listener.close()
            self._loop.close()

    async def _accept_all(self) -> None:
        while True:
            await self._make_room()
            try:
                accepted, _ = await self._loop.sock_accept(self._listener)
            except OSError as error:  # the caller has gone, or descriptors are out
                log.warning("door: accept failed: %s", error)
                await asyncio.sleep(RETRY_S)
                continue
            task = self._loop.create_task(self._serve(accepted))
            self._callers[task] = Caller(accepted, self._loop.time())
            task.add_done_callback(lambda done: self._callers.pop(done, None))

    async def _make_room(self) -> None:
        """Below the cap at once; else a caller is ended once one more has come, but none that is young: those
        who come again at once wait in the system's queue, and end nobody whose call is under way."""
        while len(self._callers) >= self._most_callers:
            await _readable(self._loop, self._listener)
            chosen = self._to_end()
            young_s = self._callers[chosen].since_s + YOUNG_S - self._loop.time()
            if young_s > 0.0:
                await asyncio.wait([chosen], timeout=young_s)
            else:
                chosen.cancel()
                await asyncio.wait([chosen])

    def _to_end(self) -> asyncio.Task[None]:
        """The oldest that has no whole call and sent nothing that was not read, else the oldest."""
        first = next(iter(self._callers))
        for task, caller in self._callers.items():
            if not (task.done() or caller.is_whole or has_unread(caller.sock)):
                return task
        return first

    async def _serve(self, accepted: socket.socket) -> None:
        with accepted, suppress(OSError, TimeoutError):
            http = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_BYTES)
            try:
                async with asyncio.timeout(CALL_S):
                    call = await self._read(http, accepted)
                answer = await self._answer(call)
            except BadCall as error:
                answer = error.answer
            except h11.RemoteProtocolError as error:
                answer = Answer(error.error_status_hint, f"{error}\n")
            except TimeoutError:
                answer = Answer(408, f"no whole call in {CALL_S} s\n")
            except Exception:  # a fault here costs this call only
                log.exception("door: call failed")
                answer = Answer(500, "a fault in the director; see its log\n")
            async with asyncio.timeout(LINGER_S):
                await self._loop.sock_sendall(accepted, _encoded(http, answer))
                accepted.shutdown(socket.SHUT_WR)
                # unread bytes would turn the close into a reset, and the answer could be lost with it
                while await self._loop.sock_recv(accepted, READ_BYTES):
                    pass

    async def _read(self, http: h11.Connection, accepted: socket.socket) -> Call:
        """Raises BadCall, h11.RemoteProtocolError, OSError."""
        call: Call | None = None
        taken = 0
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                data = await self._loop.sock_recv(accepted, READ_BYTES)
                taken += len(data)
                if taken > MOST_BYTES:
                    raise BadCall(413, f"over {MOST_BYTES} bytes")
                http.receive_data(data)
            elif isinstance(event, h11.Request):
                call = read_call(event.method.decode(), event.target.decode())
            elif isinstance(event, h11.EndOfMessage) and call is not None:
                task = asyncio.current_task()
                if task in self._callers:
                    self._callers[task].is_whole = True
                return call
            elif isinstance(event, h11.ConnectionClosed):
                raise OSError("the caller left")

    async def _answer(self, call: Call) -> Answer:
        bound = self._desk.bind(call)
        if bound is not None:
            return bound
        done: Future[Answer] = Future()

        def carry_out() -> None:
            try:
                done.set_result(self._desk.apply(call))
            except Exception as error:
                done.set_exception(error)

        try:
            self._serving.call_soon_threadsafe(carry_out)
        except RuntimeError:  # that loop has ended
            return self._desk.late(call)
        try:
            async with asyncio.timeout(BOUND_S):
                answer = await asyncio.shield(asyncio.wrap_future(done, loop=self._loop))
        except TimeoutError:
            answer = self._desk.late(call)
        if call.word not in (Word.HEALTH, Word.STATS):
            log.info("door: %s %s: %d", call.word.value, call.store or "director", answer.status)
        return answer


async def _readable(loop: asyncio.AbstractEventLoop, listener: socket.socket) -> None:
    """Returns once a connection waits to be accepted."""
    came = asyncio.Event()
    loop.add_reader(listener.fileno(), came.set)
    try:
        await came.wait()
    finally:
        loop.remove_reader(listener.fileno())


def _encoded(http: h11.Connection, answer: Answer) -> bytes:
    body = answer.text.encode()
    headers = [
        ("Content-Type", "text/plain; charset=utf-8"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    if http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):  # the call broke off inside HTTP itself
        return b""
    parts = http.send(h11.Response(status_code=answer.status, headers=headers, reason=b""))
    return (parts or b"") + (http.send(h11.Data(data=body)) or b"") + (http.send(h11.EndOfMessage()) or b"")
