"""Decides whether the server at the other end of a connection still responds. Pure; times are in ms.

The limits suit a network between machines of one operator, with round trips of tens of ms at most, and
servers that write a reply in one go. They depend neither on request classes nor on load, so they are not
settings.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import islice

from ..routing.events import Effect, is_informative_timeout
from .exchange import Attempt

STALLED_MS = 250.0  # an incomplete reply of which no further byte arrives for this long was cut short
#: A connection on which this many attempts have waited this long without a received byte is suspect: new
#: attempts go elsewhere.
SUSPECT_AFTER_MS, SUSPECT_ATTEMPTS = 250.0, 2
#: A connection on which this many attempts have waited this long, and longer than any of their objectives, is
#: dead if attempts that were written later were answered on other connections.
DEAD_AFTER_MS, DEAD_ATTEMPTS = 400.0, 3
LONG_IDLE_MS = 1000.0  # after this time without use the server or a network device may have dropped it
#: How many latency objectives the first attempt after a long idle time may take, if later attempts were
#: answered on other connections.
MAX_OBJECTIVES_AFTER_IDLE = 2.0
UNRESPONSIVE_TIMEOUTS = 2  # timed-out attempts in a row without a received byte; one alone may just be slow


@dataclass(slots=True, eq=False)
class ResponseMonitor:
    """Records when bytes were sent and received on one connection, and judges it by that."""

    used_ms: float  # time of the latest write
    received_ms: float = 0.0  # when the latest byte was received; 0: no byte was received
    reply_started_ms: float = 0.0  # since when a reply has been incomplete; 0: no reply is
    unanswered_timeouts: int = 0  # attempts in a row that timed out while no byte was received
    is_unverified: bool = False  # used again after a long idle time, and no byte was received since

    def record_write(self, now: float) -> None:
        """Records that an attempt is written."""
        if self.received_ms and now - max(self.received_ms, self.used_ms) > LONG_IDLE_MS:
            self.is_unverified = True
        self.used_ms = now

    def record_read(self, now: float) -> None:
        """Records that bytes were received."""
        self.received_ms = now
        self.unanswered_timeouts, self.is_unverified = 0, False

    def record_reply(self) -> None:
        """Records that a reply is complete."""
        self.reply_started_ms = 0.0

    def record_incomplete(self, is_incomplete: bool) -> None:
        """Records, after all complete replies of a read, whether a further reply has begun."""
        if not is_incomplete:
            self.reply_started_ms = 0.0
        elif not self.reply_started_ms:
            self.reply_started_ms = self.received_ms

    def record_timeout(self, attempt: Attempt, now: float) -> bool:
        """Records that an attempt timed out. Returns whether that says anything about the server."""
        if self.received_ms > attempt.written_ms:
            return False
        if not is_informative_timeout(now - attempt.written_ms, attempt.objective_ms):
            return False
        self.unanswered_timeouts += 1
        return True

    def may_be_stalled(self) -> bool:
        """Whether the server should be dialled at another address, if it has one."""
        return self.unanswered_timeouts >= UNRESPONSIVE_TIMEOUTS or not self.received_ms

    def is_unresponsive(self) -> bool:
        """Whether so many attempts timed out without a reply that the connection should get no new ones."""
        return self.unanswered_timeouts >= (1 if self.is_unverified else UNRESPONSIVE_TIMEOUTS)

    def idle_ms(self, now: float) -> float:
        """How long ago the latest byte was sent or received."""
        return now - max(self.received_ms, self.used_ms)

    def is_suspect(self, open_: Collection[Attempt], max_streams: int, now: float, lag_ms: float) -> bool:
        """Whether new attempts should go elsewhere, since several attempts have waited long for a byte. A
        connection whose server is gone may still look open."""
        min_attempts = 1 if self.is_unverified else _required_attempts(SUSPECT_ATTEMPTS, max_streams)
        return self._has_no_response(open_, min_attempts, SUSPECT_AFTER_MS, now, lag_ms)

    def is_dead(self, open_: Collection[Attempt], max_streams: int, now: float, lag_ms: float) -> bool:
        """Whether attempts have waited for a byte for longer than any of them should take. The longest
        objective counts because under high load all attempts on a connection may be fills, which take
        long."""
        min_attempts = _required_attempts(DEAD_ATTEMPTS, max_streams)
        limit_ms = (
            max(DEAD_AFTER_MS, *(attempt.objective_ms for attempt in open_)) if open_ else DEAD_AFTER_MS
        )
        return self._has_no_response(open_, min_attempts, limit_ms, now, lag_ms)

    def _has_no_response(
        self, open_: Collection[Attempt], min_attempts: int, limit_ms: float, now: float, lag_ms: float
    ) -> bool:
        """Whether at least `min_attempts` attempts have waited for a byte for longer than `limit_ms`."""
        last = next(islice(open_, min_attempts - 1, None), None)
        if last is None or not last.written_ms:
            return False
        return now - max(self.received_ms, last.written_ms) > limit_ms + lag_ms

    def is_dead_after_idle(self, open_: Collection[Attempt], now: float, lag_ms: float) -> bool:
        """Whether no byte was received after a long idle time, for far longer than the first attempt should
        take. That attempt alone may still just be slow, so this holds only if all open attempts are safe to
        repeat."""
        first = next(iter(open_), None)
        if not self.is_unverified or first is None or not first.written_ms:
            return False
        if any(attempt.exchange.spec.effect is not Effect.SAFE for attempt in open_):
            return False
        limit_ms = max(DEAD_AFTER_MS, MAX_OBJECTIVES_AFTER_IDLE * first.objective_ms)
        return now - first.written_ms > limit_ms + lag_ms

    def is_cut_short(
        self, reply: tuple[str, float], open_: Mapping[str, Attempt], now: float, lag_ms: float
    ) -> bool:
        """Whether the incomplete `reply` (its id and the share of it that was received) has stopped, or will
        be too late at its present rate. All other attempts on the connection wait behind it."""
        stalled_ms = STALLED_MS + lag_ms
        elapsed_ms = now - self.reply_started_ms
        if now - self.received_ms > stalled_ms:
            return True
        if elapsed_ms <= stalled_ms:
            return False
        id_, received_share = reply
        attempt = open_.get(id_)
        if attempt is not None:
            left_ms = attempt.due_ms - now
        else:  # cancelled: it may take as long as the attempts that wait behind it should take
            left_ms = max(min((a.objective_ms for a in open_.values()), default=0.0), STALLED_MS)
        return not received_share or elapsed_ms / received_share - elapsed_ms > left_ms


def _required_attempts(count: int, max_streams: int) -> int:
    """How many unanswered attempts are required: `count`, or fewer if a connection can carry only fewer, but
    at least two, since one alone may just be slow."""
    return max(min(count, max_streams), 2)
