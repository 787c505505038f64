"""The attempts that one connection carries: their writes, aborts and replies. Times are in ms."""

from __future__ import annotations

import logging
from typing import Protocol

from ..timer_wheel import TimerWheel
from .attempt_outcomes import AttemptOutcome
from .cache_protocol import MalformedReplyError, Reply, encode_abort, encode_fetch
from .exchange import Attempt
from .outgoing import Outgoing
from .response_monitor import ResponseMonitor
from .streams import Writer
from .write_queue import WriteQueue

log = logging.getLogger(__name__)

MAX_COMPLETED_IDS = 256  # latest aborted or answered ids of a connection, which are not used on it again
#: Replies in a row that match no open attempt. Aborts that cross replies and duplicate replies cause fewer.
MAX_UNEXPECTED_RESPONSES = 256


class AttemptOwner(Protocol):
    """The director, as the owner of attempts."""

    def check_before_write(self, attempt: Attempt) -> AttemptOutcome | None:
        """Called just before the first byte of an attempt is written. Returns the outcome if it may not be
        written, else None."""

    def written(self) -> None:
        """Called when the last byte of an attempt has left the process."""

    def ended(self, attempt: Attempt, outcome: AttemptOutcome, reply: Reply | None = None) -> None:
        """Called when an attempt has ended."""


class AttemptPool(Protocol):
    """The part of the connection pool that attempts need."""

    timers: TimerWheel
    owner: AttemptOwner

    def clock(self) -> float:
        """The current time in ms."""

    def send(self, attempt: Attempt) -> None:
        """Sends an attempt on another connection."""


class Carrier(Protocol):
    """The part of a connection that its attempts need."""

    @property
    def peer(self) -> str:
        """The address or name of the server, for the log."""

    def reset(self) -> None:
        """Ends the connection so that bytes that have not left this machine are discarded."""

    def close_if_done(self) -> None:
        """Ends the connection if it is retired and has no open attempts."""


class CarriedAttempts:
    """The attempts of a connection by request id, which is the only reference that replies carry. Attempts
    wait while the connection is dialled. `start` is called once it is established, `finish` once it has
    ended."""

    def __init__(self, pool: AttemptPool, carrier: Carrier) -> None:
        self.open: dict[str, Attempt] = {}
        self.queue = WriteQueue(self, pool.clock, pool.timers)
        self.responses = ResponseMonitor(pool.clock())
        self.answered_ms = 0.0  # the latest write time of an attempt that was answered here
        self.unexpected_responses = 0  # in a row
        self.finished = False
        self._pool = pool
        self._carrier = carrier
        self._writer: Writer | None = None
        self._completed_ids: dict[str, None] = {}  # the latest ids, oldest first

    def accepts(self, id_: str) -> bool:
        """Whether an attempt with this request id may be sent here. If the id is open, or was aborted or
        answered here, the next reply with this id would be ambiguous: a reply may cross an abort, and some
        servers reply twice."""
        return id_ not in self.open and id_ not in self._completed_ids and not self.queue.is_stuck()

    def add(self, attempt: Attempt) -> None:
        """Adds an attempt and writes it as soon as possible."""
        self.open[attempt.exchange.ask.id] = attempt
        if self._writer is not None:
            self.queue.add(attempt)

    def start(self, writer: Writer, out: Outgoing) -> None:
        """Writes the waiting attempts, now that the connection is established."""
        self._writer, self.queue.out = writer, out
        self.queue.waiting.extend(self.open.values())
        self.queue.write_waiting()

    def is_open(self, attempt: Attempt) -> bool:
        """Whether the attempt is carried here and has not ended."""
        return self.open.get(attempt.exchange.ask.id) is attempt

    def write(self, attempt: Attempt) -> bool:
        """Writes an attempt, or ends it if the owner does not permit it. Returns whether it was written."""
        assert self._writer is not None and self.queue.out is not None
        client_request, owner = attempt.exchange.ask, self._pool.owner
        outcome = (
            AttemptOutcome.LOST_UNSENT if self._writer.is_closing() else owner.check_before_write(attempt)
        )
        if outcome is not None:
            self.open.pop(client_request.id, None)
            owner.ended(attempt, outcome)
            return False
        now = self._pool.clock()
        self.responses.record_write(now)
        attempt.written_ms = now
        self.queue.out.begin(
            attempt, encode_fetch(client_request.id, attempt.fields(now), client_request.body)
        )
        self.count_written()
        return True

    def send_elsewhere(self, attempts: list[Attempt]) -> None:
        """Has the pool send unwritten attempts on other connections."""
        for attempt in attempts:
            if self.is_open(attempt):
                del self.open[attempt.exchange.ask.id]
                self._pool.send(attempt)
        self._carrier.close_if_done()

    def reset(self) -> None:
        """Ends the connection so that bytes that have not left this machine are discarded."""
        self._carrier.reset()

    def count_written(self) -> None:
        """Reports to the owner each attempt whose last byte has left the process."""
        for _ in range(self.queue.out.take_sent_count() if self.queue.out is not None else 0):
            self._pool.owner.written()

    def drop(self, attempt: Attempt) -> bool:
        """Removes an attempt that the owner has ended, and aborts it at the server if it had been written.
        Returns whether it had been written."""
        id_ = attempt.exchange.ask.id
        del self.open[id_]
        self.count_written()
        if not attempt.written_ms or self._writer is None or self.queue.out is None:
            return False
        self._mark_completed(id_)
        if self.queue.is_stuck():
            # The abort would not leave this machine either, so the server would still run the attempt later.
            # The other attempts on the connection wait in vain too, so the connection is reset.
            self.reset()
        elif not self._writer.is_closing():  # the end of the connection may not have been read yet
            self.queue.out.write(encode_abort(id_))
            self.queue.cancel_unsent(attempt)
        return True

    def handle_reply(self, reply: Reply) -> None:
        """Ends the attempt that a reply belongs to. Raises MalformedReplyError."""
        self.responses.record_reply()
        attempt = self.open.get(reply.id)
        if attempt is None or not attempt.written_ms:
            self._count_unexpected(reply)
            return
        if reply.outcome is AttemptOutcome.STILL_GOOD and (not attempt.exchange.ask.known or reply.body):
            raise MalformedReplyError("still_good for a request without a copy to confirm, or with a body")
        del self.open[reply.id]
        self.unexpected_responses = 0
        self.answered_ms = max(self.answered_ms, attempt.written_ms)
        self._mark_completed(reply.id)
        self._pool.owner.ended(attempt, reply.outcome, reply)

    def finish(self, outcome: AttemptOutcome) -> None:
        """Ends all open attempts after the connection has ended."""
        ended, self.open = list(self.open.values()), {}
        for attempt in ended:
            # written bytes may have arrived, so only an attempt that was not written surely never ran
            is_unsent = self._writer is not None and not attempt.written_ms
            self._pool.owner.ended(attempt, AttemptOutcome.LOST_UNSENT if is_unsent else outcome)

    def _count_unexpected(self, reply: Reply) -> None:
        """Counts a reply that matches no open attempt. Raises MalformedReplyError beyond a limit, since
        nothing else bounds the cost of such replies."""
        self.unexpected_responses += 1
        if self.unexpected_responses > MAX_UNEXPECTED_RESPONSES:
            raise MalformedReplyError("too many replies in a row that match no open attempt")
        if reply.id not in self._completed_ids:  # otherwise it crossed the abort, or is a duplicate
            log.warning("reply to an unknown request peer=%s id=%.32s", self._carrier.peer, reply.id)

    def _mark_completed(self, id_: str) -> None:
        self._completed_ids[id_] = None
        if len(self._completed_ids) > MAX_COMPLETED_IDS:
            del self._completed_ids[next(iter(self._completed_ids))]
