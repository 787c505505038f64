"""The attempts that one connection carries: their writes, aborts and replies. Times are ms."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from ..timer_wheel import TimerWheel
from .attempt_outcomes import AttemptOutcome
from .cache_protocol import MalformedReplyError, Reply, encode_abort, encode_fetch
from .exchange import Attempt
from .outgoing import Outgoing
from .response_monitor import ResponseMonitor
from .write_queue import WriteQueue

log = logging.getLogger(__name__)

MAX_COMPLETED_IDS = 256  # ids aborted or answered on a connection that are not used on it again
#: Responses in a row that nobody waits for: more than can cross aborts or come twice.
MAX_UNEXPECTED_RESPONSES = 256


class Owner(Protocol):
    """Whose attempts these are."""

    def recheck(self, attempt: Attempt) -> AttemptOutcome | None:
        """Just before the first byte: how the attempt ends unwritten; None: it may be written."""

    def written(self) -> None:
        """The last byte of an attempt has left."""

    def ended(self, attempt: Attempt, end: AttemptOutcome, reply: Reply | None = None) -> None:
        """An attempt has ended."""


class AttemptPool(Protocol):
    """The pool, as far as attempts need it."""

    timers: TimerWheel
    owner: Owner

    def clock(self) -> float:
        """The time in ms."""

    def send(self, attempt: Attempt) -> None:
        """Finds another connection for an attempt."""


class Carrier(Protocol):
    """The connection itself."""

    @property
    def peer(self) -> str:
        """The server, for the log."""

    def reset(self) -> None:
        """Ends the connection so that what has not left this machine never does."""

    def close_if_done(self) -> None:
        """Ends the connection if it takes nothing new and carries nothing."""


class CarriedAttempts:
    """Attempts by the id of their request, which is all that replies carry. They wait while the connection is
    dialled; `start` is called once it is up, `finish` once it has ended."""

    def __init__(self, pool: AttemptPool, carrier: Carrier) -> None:
        self.open: dict[str, Attempt] = {}
        self.queue = WriteQueue(self, pool.clock, pool.timers)
        self.responses = ResponseMonitor(pool.clock())
        self.answered_ms = 0.0  # when the latest attempt that was answered here had been written
        self.unexpected_responses = 0  # in a row
        self.finished = False
        self._pool = pool
        self._carrier = carrier
        self._writer: asyncio.StreamWriter | None = None
        self._completed_ids: dict[str, None] = {}  # the latest, oldest first

    def takes(self, id_: str) -> bool:
        """Whether an attempt with this request id may be sent here. An id that is open, or was aborted or
        answered, would make its next reply ambiguous: servers reply across an abort, and some twice."""
        return id_ not in self.open and id_ not in self._completed_ids and not self.queue.is_stuck()

    def add(self, attempt: Attempt) -> None:
        """Writes the attempt as soon as possible."""
        self.open[attempt.exchange.ask.id] = attempt
        if self._writer is not None:
            self.queue.add(attempt)

    def start(self, writer: asyncio.StreamWriter, out: Outgoing) -> None:
        """The connection is up: writes the attempts that have waited for it."""
        self._writer, self.queue.out = writer, out
        self.queue.waiting.extend(self.open.values())
        self.queue.write_waiting()

    def is_open(self, attempt: Attempt) -> bool:
        """Whether the attempt is carried here and has not ended."""
        return self.open.get(attempt.exchange.ask.id) is attempt

    def write(self, attempt: Attempt) -> bool:
        """Writes an attempt, or ends it if the owner says so; returns whether it was written."""
        assert self._writer is not None and self.queue.out is not None
        ask, owner = attempt.exchange.ask, self._pool.owner
        outcome = AttemptOutcome.LOST_UNSENT if self._writer.is_closing() else owner.recheck(attempt)
        if outcome is not None:
            self.open.pop(ask.id, None)
            owner.ended(attempt, outcome)
            return False
        now = self._pool.clock()
        self.responses.record_write(now)
        attempt.written_ms = now
        self.queue.out.begin(attempt, encode_fetch(ask.id, attempt.fields(now), ask.body))
        self.count_written()
        return True

    def send_elsewhere(self, attempts: list[Attempt]) -> None:
        """Has the pool find other connections for unwritten attempts."""
        for attempt in attempts:
            if self.is_open(attempt):
                del self.open[attempt.exchange.ask.id]
                self._pool.send(attempt)
        self._carrier.close_if_done()

    def reset(self) -> None:
        """Ends the connection so that what has not left this machine never does."""
        self._carrier.reset()

    def count_written(self) -> None:
        """Reports attempts that have left to the owner."""
        for _ in range(self.queue.out.count_left() if self.queue.out is not None else 0):
            self._pool.owner.written()

    def drop(self, attempt: Attempt) -> bool:
        """The owner has ended an attempt that is carried here; returns whether it had been written, so that
        it is aborted at the server."""
        id_ = attempt.exchange.ask.id
        del self.open[id_]
        self.count_written()
        if not attempt.written_ms or self._writer is None or self.queue.out is None:
            return False
        self._mark_completed(id_)
        if self.queue.is_stuck():
            # the abort would not leave either, and the attempt would stay open: the connection ends, whose
            # other attempts wait in vain too
            self.reset()
        elif not self._writer.is_closing():  # its end may not have been read yet
            self.queue.out.write(encode_abort(id_))
            self.queue.cancel_unsent(attempt)
        return True

    def take_reply(self, reply: Reply) -> None:
        """Ends the attempt that a reply belongs to. Raises MalformedReplyError."""
        self.responses.record_reply()
        attempt = self.open.get(reply.id)
        if attempt is None or not attempt.written_ms:
            self._count_unexpected(reply)
            return
        if reply.outcome is AttemptOutcome.STILL_GOOD and (not attempt.exchange.ask.known or reply.body):
            raise MalformedReplyError("still_good for a copy that no client holds")
        del self.open[reply.id]
        self.unexpected_responses = 0
        self.answered_ms = max(self.answered_ms, attempt.written_ms)
        self._mark_completed(reply.id)
        self._pool.owner.ended(attempt, reply.outcome, reply)

    def finish(self, outcome: AttemptOutcome) -> None:
        """The connection has ended, and with it all open attempts."""
        ended, self.open = list(self.open.values()), {}
        for attempt in ended:
            # bytes passed to the system may have arrived: only an unwritten attempt surely never ran
            unsent = self._writer is not None and not attempt.written_ms
            self._pool.owner.ended(attempt, AttemptOutcome.LOST_UNSENT if unsent else outcome)

    def _count_unexpected(self, reply: Reply) -> None:
        """Raises MalformedReplyError beyond a limit, since nothing else bounds what these cost."""
        self.unexpected_responses += 1
        if self.unexpected_responses > MAX_UNEXPECTED_RESPONSES:
            raise MalformedReplyError("answers that nobody waits for, without end")
        if reply.id not in self._completed_ids:  # else it crossed our abort, or is a second one
            log.warning("answer to nothing asked peer=%s id=%.32s", self._carrier.peer, reply.id)

    def _mark_completed(self, id_: str) -> None:
        self._completed_ids[id_] = None
        if len(self._completed_ids) > MAX_COMPLETED_IDS:
            del self._completed_ids[next(iter(self._completed_ids))]
