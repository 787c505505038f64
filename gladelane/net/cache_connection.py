"""One connection to a cache, a parent or the origin, from its dial to its end, and the attempts it carries.

The package `endpoints` chooses the addresses to dial and records their health. Several dials in parallel
count as one connection here, and the first that succeeds is used. Once a byte of an attempt was written, no
other address is tried.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from contextlib import suppress
from typing import Protocol

from ..endpoints.address import Address
from ..endpoints.connect import is_open
from ..endpoints.dialer import Budget, Dialer
from ..endpoints.health import DialFailure
from ..endpoints.plan import Endpoints
from ..sockets import has_ended, has_unread
from .attempt_outcomes import OUTCOME_BY_DIAL_END, AttemptOutcome
from .cache_protocol import MalformedReplyError, ReplyDecoder
from .carried_attempts import AttemptPool, CarriedAttempts
from .config import ConnLimits
from .exchange import Attempt
from .outgoing import Outgoing
from .reply_memory import UNRESERVED_REPLY_BYTES, ReplyMemory
from .response_monitor import DEAD_AFTER_MS
from .streams import READ_BYTES, Reader, Writer, open_stream

log = logging.getLogger(__name__)

IDLE_SHARE = 0.8  # share of the server's idle limit; closing earlier keeps requests from crossing its close
#: If a connection that never answered ends like this with open attempts, its address is reported as stalled.
STALLED_OUTCOMES = frozenset(
    {AttemptOutcome.RESET, AttemptOutcome.CLOSED, AttemptOutcome.GARBLED, AttemptOutcome.CUT_SHORT}
)


class Pool(Budget, AttemptPool, Protocol):
    """What connections share: limits, knowledge about addresses, and what their attempts need."""

    limits: ConnLimits
    endpoints: Endpoints
    reply_memory: ReplyMemory

    async def wait_for_descriptor(self) -> None:
        """Returns once a dial would not exceed the pool's share of the descriptors."""

    def remove(self, conn: Connection) -> None:
        """Removes a connection that has ended."""

    def start_health_check(self, store: str, address: Address) -> None:
        """Dials an ejected address to see whether it works again."""


class Connection:
    """One connection, from its dial to its end. Attempts wait in it while it is dialled."""

    def __init__(self, pool: Pool, store: str) -> None:
        self.pool = pool
        self.store = store
        self.address: Address | None = None  # set once a dial has succeeded
        self.dialer: Dialer | None = None
        self.attempts = CarriedAttempts(pool, self)
        self.decoder = ReplyDecoder()
        self._reserved_bytes = 0  # for the incomplete reply
        # reader, writer and sock are set once a dial has succeeded
        self.reader: Reader | None = None
        self.writer: Writer | None = None
        self.sock: socket.socket | None = None  # the transport's socket, for checks outside of the stream
        self.finished = False
        self.retired = False  # open attempts finish, and no new ones are accepted
        self.end = AttemptOutcome.IDLE  # the outcome that the end of the connection gives to open attempts
        self.task = asyncio.ensure_future(self._run())
        # needed besides the `finally` in `_run`, which a task cancelled before its first step never reaches
        self.task.add_done_callback(lambda _: self._finish(self.end))

    @property
    def peer(self) -> str:
        """The address of the server, or its name before a dial has succeeded. For the log."""
        return self.address.text if self.address is not None else self.store

    @property
    def open(self) -> dict[str, Attempt]:
        """The open attempts by request id."""
        return self.attempts.open

    # --- attempts

    def accepts(self, id_: str) -> bool:
        """Whether an attempt with this request id may be sent here."""
        if self.retired or len(self.open) >= self.pool.limits.max_streams:
            return False
        if self.sock is not None and not self.open and has_ended(self.sock):
            # The server has closed the connection, which was not read yet. An attempt written now would be
            # lost, and yet count as one that may have run.
            return False
        return self.attempts.accepts(id_)

    def drop(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Aborts an attempt at the server after the owner has ended it, if it is carried here."""
        if self.attempts.is_open(attempt):
            was_written = self.attempts.drop(attempt)
            if was_written and outcome is AttemptOutcome.TIMED_OUT:
                self._retire_if_unresponsive(attempt)
            self.close_if_done()

    def _retire_if_unresponsive(self, attempt: Attempt) -> None:
        responses = self.attempts.responses
        if not responses.record_timeout(attempt, self.pool.clock()):
            return
        is_stalled = responses.may_be_stalled() and self._report_stalled("STALLED")
        if self.retired:
            return
        if is_stalled or responses.is_unresponsive():
            message = "stalled peer=%s open=%d" if is_stalled else "unresponsive peer=%s open=%d"
            log.warning(message, self.peer, len(self.open))
            self.retire()

    # --- its end

    def drain(self) -> None:
        """Ends the use of a server: attempts that wait for a dial end, and attempts that were written
        finish."""
        if self.writer is None:
            self.end = AttemptOutcome.WITHDRAWN
            self.close()
        else:
            self.retire()

    def remove_address(self, address: Address) -> None:
        """Stops using an address that the server no longer has."""
        if self.address == address:
            self.retire()
        elif self.dialer is not None:
            self.dialer.remove_address(address)

    def retire(self) -> None:
        """Accepts no new attempts from now on, and closes once the open ones have ended."""
        self.retired = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Closes the connection if it is retired and has no open attempts."""
        if self.retired and not self.open:
            self.close()

    def close(self) -> None:
        """Ends the connection, and all open attempts with the outcome `end`."""
        self.retired = True
        self.task.cancel()

    def fail(self) -> None:
        """Ends the connection after an internal error."""
        self.end = AttemptOutcome.RESET
        self.close()

    def reset(self) -> None:
        """Ends the connection so that bytes that have not left this machine are discarded."""
        assert self.attempts.queue.out is not None
        log.warning("stuck peer=%s open=%d", self.peer, len(self.open))
        self.end = AttemptOutcome.RESET
        self.attempts.queue.out.reset()
        self.close()

    def _finish(self, end: AttemptOutcome) -> None:
        if self.finished:
            return
        self.finished = self.retired = self.attempts.finished = True
        self.attempts.count_written()
        self.pool.remove(self)
        self.attempts.queue.cancel_check()
        if self.writer is not None:
            # Unsent bytes belong to attempts that end here. The server must not start these later, and the
            # bytes must not keep the descriptor open for as long as the server does not read.
            self.writer.transport.abort()
        if self.open:
            log.info("connection ended peer=%s end=%s open=%d", self.peer, end.name, len(self.open))
            if not self.attempts.answered_ms and end in STALLED_OUTCOMES:
                self._report_stalled(end.name)
        self.attempts.finish(end)

    # --- its state

    def has_unread_bytes(self) -> bool:
        """Whether bytes were received that have not been read."""
        return (self.reader is not None and self.reader.buffered_bytes > 0) or (
            self.sock is not None and has_unread(self.sock)
        )

    def is_suspect(self, now: float) -> bool:
        """Whether new attempts should go elsewhere, since several open ones get no reply."""
        if self.writer is None:
            return False
        limits, lag_ms = self.pool.limits, self.pool.timers.lag()
        return self.attempts.responses.is_suspect(self.open.values(), limits.max_streams, now, lag_ms)

    def sweep(self, now: float, answered_ms: float) -> None:
        """Closes the connection in these cases: it has been idle for almost as long as the server permits, a
        reply was cut short, or the server does not respond here although an attempt that was written at
        `answered_ms` was answered on one of its connections."""
        if self.writer is None:
            return
        self.attempts.count_written()
        lag_ms = self.pool.timers.lag()
        if (
            not self.open
            and self.attempts.responses.idle_ms(now) > self.pool.limits.conn_idle_ms * IDLE_SHARE
        ):
            self.close()
        elif self.has_unread_bytes():
            return  # the unread bytes may be the awaited reply
        elif self.decoder.has_incomplete_reply() and self.attempts.responses.is_cut_short(
            self.decoder.reply_in_progress(), self.open, now, lag_ms
        ):
            log.warning("reply cut short peer=%s open=%d", self.peer, len(self.open))
            self.end = AttemptOutcome.CUT_SHORT
            self.close()
        elif answered_ms > now - DEAD_AFTER_MS and self._is_dead(now, lag_ms):
            log.warning("no response peer=%s open=%d", self.peer, len(self.open))
            self.end = AttemptOutcome.SILENT
            # a connection that was lost during a long idle time says nothing about the address
            if not self.attempts.responses.is_unverified:
                self._report_stalled(AttemptOutcome.SILENT.name)
            self.close()

    def _is_dead(self, now: float, lag_ms: float) -> bool:
        open_, responses = self.open.values(), self.attempts.responses
        return responses.is_dead(
            open_, self.pool.limits.max_streams, now, lag_ms
        ) or responses.is_dead_after_idle(open_, now, lag_ms)

    def _report_stalled(self, reason: str) -> bool:
        """Reports the address as stalled. Returns whether there is another address to dial."""
        if self.address is None:
            return False
        return self.pool.endpoints.record_stall(self.store, self.address, self.pool.clock(), reason)

    # --- dialling and reading

    async def _run(self) -> None:
        try:
            self.end = await self._dial() or await self._read()
        except Exception:
            log.exception("connection failed peer=%s", self.peer)
            self.end = AttemptOutcome.RESET
        finally:
            # at once, since an attempt could be written before a later iteration of the event loop
            self._finish(self.end)
            self._release_reply()
            self.decoder = ReplyDecoder()
            if self.reader is not None:
                self.reader.release()

    async def _dial(self) -> AttemptOutcome | None:
        """Connects. Returns the outcome for open attempts if that failed, else None."""
        pool = self.pool
        await pool.wait_for_descriptor()
        plan = pool.endpoints.plan(self.store, pool.clock())
        if not plan.addresses:
            return AttemptOutcome.UNREACHABLE
        if plan.address_to_check is not None:
            pool.start_health_check(self.store, plan.address_to_check)
        dialer = Dialer(self.store, plan, pool.endpoints, pool, pool.limits.dial_timeout_ms)
        self.dialer = dialer
        try:
            while True:
                result = await dialer.winner()
                if isinstance(result, DialFailure):
                    return OUTCOME_BY_DIAL_END[result]
                sock, address = result
                with suppress(OSError):
                    reader, writer = await open_stream(sock)
                    # if this connection has already ended, the next dial may be used: no byte was written
                    if not writer.is_closing() and not reader.at_eof() and is_open(sock):
                        break
                    writer.close()
                dialer.replace_winner()
            dialer.start_writing()
        finally:
            dialer.close()
        self.reader, self.writer, self.address, self.sock = reader, writer, address, sock
        self.attempts.start(writer, Outgoing(writer, sock, pool.clock))
        self.close_if_done()
        return None

    async def _read(self) -> AttemptOutcome:
        """Reads replies until the connection ends. Returns the outcome for attempts that are still open."""
        assert self.reader is not None
        try:
            while data := await self.reader.read(self._read_bytes()):
                if not self.attempts.responses.received_ms and self.address is not None:
                    self.pool.endpoints.health.record_answer(self.store, self.address)
                self.attempts.responses.record_read(self.pool.clock())
                self.attempts.count_written()
                for reply in self.decoder.feed(data):
                    self._release_reply()
                    self.attempts.handle_reply(reply)
                self.attempts.responses.record_incomplete(self.decoder.has_incomplete_reply())
                self.close_if_done()
                await self._reserve_reply()
        except MalformedReplyError as error:
            log.warning("malformed reply peer=%s: %s", self.peer, error)
            return AttemptOutcome.GARBLED
        except OSError:
            return AttemptOutcome.RESET
        return AttemptOutcome.CLOSED

    # --- memory for the incomplete reply

    def _read_bytes(self) -> int:
        """How many bytes to read at once: what is missing of a reply that was reserved, else few."""
        if not self._reserved_bytes:
            return UNRESERVED_REPLY_BYTES
        return max(min(self.decoder.missing_bytes(), READ_BYTES), UNRESERVED_REPLY_BYTES)

    async def _reserve_reply(self) -> None:
        """Waits until memory for the incomplete reply is reserved, if its size is known."""
        size = self.decoder.body_bytes()
        if size and not self._reserved_bytes:
            await self.pool.reply_memory.reserve(size)
            self._reserved_bytes = size

    def _release_reply(self) -> None:
        size, self._reserved_bytes = self._reserved_bytes, 0
        if size:
            self.pool.reply_memory.release(size)
