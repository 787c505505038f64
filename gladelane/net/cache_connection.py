"""One connection to a cache, a parent or the origin, from its dial to its end, and the attempts it carries.

Which addresses are dialled, and what was learnt about them, belongs to `endpoints`: here several dials in
parallel are one connection, until the first succeeds. Once a byte was written, no other address is tried.
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
from .attempt_outcomes import DIAL_END, AttemptOutcome
from .cache_protocol import MalformedReplyError, ReplyDecoder
from .carried_attempts import AttemptPool, CarriedAttempts
from .config import ConnLimits
from .exchange import Attempt
from .outgoing import Outgoing
from .response_monitor import DEAD_MS
from .streams import READ_BYTES, Reader, open_stream

log = logging.getLogger(__name__)

IDLE_SHARE = 0.8  # of the server's idle limit: a request must not cross its close
#: A connection that ends so under requests, and answered none before, has an address better avoided.
UNANSWERED = frozenset(
    {AttemptOutcome.RESET, AttemptOutcome.CLOSED, AttemptOutcome.GARBLED, AttemptOutcome.CUT_SHORT}
)


class Pool(Budget, AttemptPool, Protocol):
    """What connections share: limits, what is known of addresses, and what attempts need."""

    limits: ConnLimits
    endpoints: Endpoints

    async def wait_for_descriptor(self) -> None:
        """Returns once a dial stays within the pool's share of the descriptors."""

    def remove(self, conn: Connection) -> None:
        """A connection has ended."""

    def start_health_check(self, store: str, address: Address) -> None:
        """Dials an ejected address to see whether it works again."""


class Connection:
    """One connection, from its dial to its end. Attempts wait in it while it is dialled."""

    def __init__(self, pool: Pool, store: str) -> None:
        self.pool = pool
        self.store = store
        self.address: Address | None = None  # once a dial has succeeded
        self.dialling: Dialer | None = None
        self.attempts = CarriedAttempts(pool, self)
        self.decoder = ReplyDecoder()
        self.reader: Reader | None = None  # once a dial has succeeded, as the next two
        self.writer: asyncio.StreamWriter | None = None
        self.sock: socket.socket | None = None  # the transport's, for checks beside the stream
        self.finished = False
        self.retired = False  # finishes what is open and takes nothing new
        self.end = AttemptOutcome.IDLE  # why it ends, unless another reason is found
        self.task = asyncio.ensure_future(self._run())
        # beside the task's own `finally`, which a task cancelled before its first step never reaches
        self.task.add_done_callback(lambda _: self._finish(self.end))

    @property
    def peer(self) -> str:
        """The server's address, or its name before there is one; for the log."""
        return self.address.text if self.address is not None else self.store

    @property
    def open(self) -> dict[str, Attempt]:
        """The attempts that it carries, by the id of their request."""
        return self.attempts.open

    # --- attempts

    def takes(self, id_: str) -> bool:
        """Whether an attempt with this request id may be sent here."""
        if self.retired or len(self.open) >= self.pool.limits.max_streams:
            return False
        if self.sock is not None and not self.open and has_ended(self.sock):
            return False  # closed by the server, unread: what is written now is lost but may count as run
        return self.attempts.takes(id_)

    def drop(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """The owner has ended an attempt, which may be carried here: aborts it at the server."""
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
            wording = "stalled peer=%s open=%d" if is_stalled else "mute peer=%s open=%d"
            log.warning(wording, self.peer, len(self.open))
            self.retire()

    # --- its end

    def drain(self) -> None:
        """The server may not be used any more: attempts that wait for a dial end, those written finish."""
        if self.writer is None:
            self.end = AttemptOutcome.WITHDRAWN
            self.close()
        else:
            self.retire()

    def remove_address(self, address: Address) -> None:
        """The server no longer has this address."""
        if self.address == address:
            self.retire()
        elif self.dialling is not None:
            self.dialling.remove_address(address)

    def retire(self) -> None:
        """Takes no new attempts, and closes once those that are open have ended."""
        self.retired = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """Closes it if it takes nothing new and carries nothing."""
        if self.retired and not self.open:
            self.close()

    def close(self) -> None:
        """Ends the connection, and with it all open attempts as `end`."""
        self.retired = True
        self.task.cancel()

    def reset(self) -> None:
        """Ends the connection so that what has not left this machine never does."""
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
            # bytes that have not left belong to attempts that end here: they must not begin later, nor keep
            # the descriptor for as long as the server reads nothing
            self.writer.transport.abort()
        if self.open:
            log.info("connection ended peer=%s end=%s open=%d", self.peer, end.name, len(self.open))
            if not self.attempts.answered_ms and end in UNANSWERED:
                self._report_stalled(end.name)
        self.attempts.finish(end)

    # --- its state

    def unread(self) -> bool:
        """Whether bytes were received that have not been read."""
        return (self.reader is not None and self.reader.waiting > 0) or (
            self.sock is not None and has_unread(self.sock)
        )

    def is_quiet(self, now: float) -> bool:
        """Whether new attempts should go elsewhere, since several get no reply here."""
        if self.writer is None:
            return False
        limits, lag_ms = self.pool.limits, self.pool.timers.lag()
        return self.attempts.responses.is_quiet(self.open.values(), limits.max_streams, now, lag_ms)

    def sweep(self, now: float, answered_ms: float) -> None:
        """Closes the connection if it has been idle for long, before the server does, if a reply was cut
        short, or if it is silent while an attempt written at `answered_ms` was answered elsewhere."""
        if self.writer is None:
            return
        self.attempts.count_written()
        lag_ms = self.pool.timers.lag()
        if (
            not self.open
            and self.attempts.responses.idle_ms(now) > self.pool.limits.conn_idle_ms * IDLE_SHARE
        ):
            self.close()
        elif self.unread():
            return  # read first: it may be all that is waited for
        elif self.decoder.pending() and self.attempts.responses.is_cut_short(
            self.decoder.under_way(), self.open, now, lag_ms
        ):
            log.warning("cut short peer=%s open=%d", self.peer, len(self.open))
            self.end = AttemptOutcome.CUT_SHORT
            self.close()
        elif answered_ms > now - DEAD_MS and self._is_silent(now, lag_ms):
            log.warning("silent peer=%s open=%d", self.peer, len(self.open))
            self.end = AttemptOutcome.SILENT
            if not self.attempts.responses.is_doubtful:  # a long rest says nothing about the address
                self._report_stalled(AttemptOutcome.SILENT.name)
            self.close()

    def _is_silent(self, now: float, lag_ms: float) -> bool:
        open_, responses = self.open.values(), self.attempts.responses
        return responses.is_dead(open_, self.pool.limits.max_streams, now, lag_ms) or responses.is_forgotten(
            open_, now, lag_ms
        )

    def _report_stalled(self, why: str) -> bool:
        """Reports the address as bad; returns whether there is another one to dial."""
        if self.address is None:
            return False
        return self.pool.endpoints.record_stall(self.store, self.address, self.pool.clock(), why)

    # --- dialling and reading

    async def _run(self) -> None:
        try:
            self.end = await self._dial() or await self._read()
        except Exception:
            log.exception("connection failed peer=%s", self.peer)
            self.end = AttemptOutcome.RESET
        finally:
            self._finish(self.end)  # at once: in a later iteration of the loop an attempt could be written

    async def _dial(self) -> AttemptOutcome | None:
        """Connects; returns why that failed."""
        pool = self.pool
        await pool.wait_for_descriptor()
        plan = pool.endpoints.plan(self.store, pool.clock())
        if not plan.addresses:
            return AttemptOutcome.UNREACHABLE
        if plan.address_to_check is not None:
            pool.start_health_check(self.store, plan.address_to_check)
        dialling = Dialer(self.store, plan, pool.endpoints, pool, pool.limits.dial_timeout_ms)
        self.dialling = dialling
        try:
            while True:
                won = await dialling.winner()
                if isinstance(won, DialFailure):
                    return DIAL_END[won]
                sock, address = won
                with suppress(OSError):
                    reader, writer = await open_stream(sock)
                    # no byte was written, so the next dial may still serve if this connection has ended
                    if not writer.is_closing() and not reader.at_eof() and is_open(sock):
                        break
                    writer.close()
                dialling.replace_winner()
            dialling.start_writing()
        finally:
            dialling.close()
        self.reader, self.writer, self.address, self.sock = reader, writer, address, sock
        self.attempts.start(writer, Outgoing(writer, sock, pool.clock))
        self.close_if_done()
        return None

    async def _read(self) -> AttemptOutcome:
        """Takes in replies until the connection ends; returns why it did."""
        assert self.reader is not None
        try:
            while data := await self.reader.read(READ_BYTES):
                if not self.attempts.responses.heard_ms and self.address is not None:
                    self.pool.endpoints.health.record_answer(self.store, self.address)
                self.attempts.responses.record_read(self.pool.clock())
                self.attempts.count_written()
                for reply in self.decoder.feed(data):
                    self.attempts.take_reply(reply)
                self.attempts.responses.record_rest(self.decoder.pending())
                self.close_if_done()
        except MalformedReplyError as error:
            log.warning("garbled peer=%s: %s", self.peer, error)
            return AttemptOutcome.GARBLED
        except OSError:
            return AttemptOutcome.RESET
        return AttemptOutcome.CLOSED
