"""Whether the server on the other end of a connection still responds. Pure; times are ms.

The limits are those of a network between machines of one operator (round trips of tens of ms at most) and of
a server that writes a reply in one go. They depend on neither classes nor load, so they are no settings.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from itertools import islice

from ..routing.events import Effect, is_informative_timeout
from .exchange import Attempt

STALLED_MS = 250.0  # a reply that has begun and does not go on for so long was cut short
QUIET_MS, QUIET_OPEN = 250.0, 2  # without a byte for so long under so many attempts: new ones go elsewhere
DEAD_MS, DEAD_OPEN = 400.0, 3  # likewise, past their objectives, while later ones are answered elsewhere
RESTED_MS = 1000.0  # after so long without use the server, or a device on the way, may have dropped it
FORGOTTEN_OBJECTIVES = (
    2.0  # how long the first attempt since may take while later ones are answered elsewhere
)
UNRESPONSIVE_AFTER = 2  # attempts in a row that time out without a byte: one alone may be slow


@dataclass(slots=True, eq=False)
class ResponseMonitor:
    """What has been sent and received on one connection, and when."""

    used_ms: float  # the latest write
    heard_ms: float = 0.0  # the latest byte received; 0: none was
    begun_ms: float = 0.0  # since when a reply has been incomplete; 0: none is
    silent_timeouts: int = 0  # attempts in a row that timed out while no byte was received
    is_doubtful: bool = False  # it was unused for long, and nothing was received since it is used again

    def record_write(self, now: float) -> None:
        """An attempt is written."""
        if self.heard_ms and now - max(self.heard_ms, self.used_ms) > RESTED_MS:
            self.is_doubtful = True
        self.used_ms = now

    def record_read(self, now: float) -> None:
        """Bytes were received."""
        self.heard_ms = now
        self.silent_timeouts, self.is_doubtful = 0, False

    def record_reply(self) -> None:
        """A reply is complete."""
        self.begun_ms = 0.0

    def record_rest(self, is_incomplete: bool) -> None:
        """After all complete replies of a read, whether a further one has begun."""
        if not is_incomplete:
            self.begun_ms = 0.0
        elif not self.begun_ms:
            self.begun_ms = self.heard_ms

    def record_timeout(self, attempt: Attempt, now: float) -> bool:
        """An attempt timed out; returns whether that says anything about the server."""
        if self.heard_ms > attempt.written_ms:
            return False
        if not is_informative_timeout(now - attempt.written_ms, attempt.objective_ms):
            return False
        self.silent_timeouts += 1
        return True

    def may_be_stalled(self) -> bool:
        """Whether the server should be dialled at another address, if it has one."""
        return self.silent_timeouts >= UNRESPONSIVE_AFTER or not self.heard_ms

    def is_unresponsive(self) -> bool:
        """Whether the connection should get no new attempts."""
        return self.silent_timeouts >= (1 if self.is_doubtful else UNRESPONSIVE_AFTER)

    def idle_ms(self, now: float) -> float:
        """For how long nothing was sent or received."""
        return now - max(self.heard_ms, self.used_ms)

    def is_quiet(self, open_: Collection[Attempt], max_streams: int, now: float, lag_ms: float) -> bool:
        """Whether new attempts should go elsewhere: a connection may be dead and still open, and several
        attempts have been waiting for a byte for long."""
        under = 1 if self.is_doubtful else _attempts_that_show(QUIET_OPEN, max_streams)
        return self._is_silent_under(open_, under, QUIET_MS, now, lag_ms)

    def is_dead(self, open_: Collection[Attempt], max_streams: int, now: float, lag_ms: float) -> bool:
        """Whether attempts have been waiting for a byte for longer than any of them should take: on a busy
        day all that share a connection may be fills, which take long."""
        under = _attempts_that_show(DEAD_OPEN, max_streams)
        for_ms = max(DEAD_MS, *(attempt.objective_ms for attempt in open_)) if open_ else DEAD_MS
        return self._is_silent_under(open_, under, for_ms, now, lag_ms)

    def _is_silent_under(
        self, open_: Collection[Attempt], under: int, for_ms: float, now: float, lag_ms: float
    ) -> bool:
        last = next(islice(open_, under - 1, None), None)
        if last is None or not last.written_ms:
            return False
        return now - max(self.heard_ms, last.written_ms) > for_ms + lag_ms

    def is_forgotten(self, open_: Collection[Attempt], now: float, lag_ms: float) -> bool:
        """Whether nothing was received since a long rest, for far longer than the first attempt should take.
        One attempt alone may be slow all the same, so only those that are safe to repeat count."""
        first = next(iter(open_), None)
        if not self.is_doubtful or first is None or not first.written_ms:
            return False
        if any(attempt.exchange.spec.effect is not Effect.SAFE for attempt in open_):
            return False
        limit_ms = max(DEAD_MS, FORGOTTEN_OBJECTIVES * first.objective_ms)
        return now - first.written_ms > limit_ms + lag_ms

    def is_cut_short(
        self, reply: tuple[str, float], open_: Mapping[str, Attempt], now: float, lag_ms: float
    ) -> bool:
        """Whether the incomplete reply (its id, the share received) has stopped, or will be too late at its
        present rate. All other attempts on the connection wait behind it."""
        stalled_ms = STALLED_MS + lag_ms
        elapsed_ms = now - self.begun_ms
        if now - self.heard_ms > stalled_ms:
            return True
        if elapsed_ms <= stalled_ms:
            return False
        id_, received = reply
        attempt = open_.get(id_)
        if attempt is not None:
            left_ms = attempt.due_ms - now
        else:  # cancelled: it may take as long as those that wait behind it should
            left_ms = max(min((a.objective_ms for a in open_.values()), default=0.0), STALLED_MS)
        return not received or elapsed_ms / received - elapsed_ms > left_ms


def _attempts_that_show(count: int, max_streams: int) -> int:
    """One silent attempt may be slow, so at least two; a connection may not take as many as `count`."""
    return max(min(count, max_streams), 2)
