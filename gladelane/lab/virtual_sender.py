"""The upstream connections of a director in virtual time, without sockets.

Behaves as `net.connection_pool` does on sockets, as far as a director can observe it: attempts wait until a
connection is established, are checked once more just before their first byte is written, share a connection
as streams, and end when the connection ends. This module makes no routing decision.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

from ..clock import UnixMs
from ..endpoints.address import Address
from ..net.attempt_outcomes import STATUS, AttemptOutcome
from ..net.cache_protocol import Reply
from ..net.config import ConnLimits
from ..net.director import Director
from ..net.exchange import Attempt
from ..routing.events import Note, Status
from ..timer_wheel import TimerWheel
from .model.timeline import Timeline

#: the answer by which a store reports each status
ANSWERS: dict[Status, AttemptOutcome] = {
    Status.OK: AttemptOutcome.SERVED,
    Status.MISS: AttemptOutcome.NOT_HERE,
    Status.FULL: AttemptOutcome.OVERLOAD,
    Status.ERROR: AttemptOutcome.CRASHED,
    Status.MOOT: AttemptOutcome.NOBODY,
}


class VirtualTimers(TimerWheel):
    """A timer wheel that a timeline advances, so that it is never late."""

    def advance(self) -> None:
        """Runs what is due at the current tick, without counting any time as lateness."""
        self._last_tick_ms = self._clock()
        super().advance()


@dataclass(slots=True, eq=False)
class Sent:
    """A written attempt, with the fields of its frame. The store calls `answer` at most once."""

    director: str
    zone: str
    attempt: Attempt
    store: str
    source: str
    rank: int
    max_age_ms: float  # 0: the default of the class applies
    hints: frozenset[str]
    answer: Callable[[Status, Note, float], None]
    body: bytes = b""  # of the answer; set by the store
    given_up: bool = False  # by the director, before it was answered


class Watcher(Protocol):
    """Observes all that is written and how it ends. It is notified before the director is."""

    def written(self, sent: Sent) -> None:
        """An attempt was written to a connection."""

    def ended(self, sent: Sent, status: Status, dated_ms: float | None) -> None:
        """A written attempt ended. `dated_ms` is the date of the copy that answered it, if any."""

    def cancelled(self, sent: Sent) -> None:
        """The director cancelled an attempt that had been written."""


class World(Protocol):
    """The stores and the network that a sender's connections lead to. Times are in ms."""

    def way(self, zone: str, store: str) -> float:
        """Draws the one-way delay between a zone and a store."""

    def dial_ms(self, zone: str, store: str) -> float:
        """Draws the time until a connection is established, if the store accepts it."""

    def dial_end(self, store: str) -> AttemptOutcome | None:
        """How a connection attempt fails that reaches the store now; None if it succeeds."""

    def arrived(self, sent: Sent) -> None:
        """An attempt reached its store."""

    def aborted(self, sent: Sent) -> None:
        """The store learns that the director has given the attempt up."""

    def answer_ms(self, sent: Sent) -> float | None:
        """Draws the delay of the answer on its way back; None if it is lost."""

    def copy_date(self, given_out_ms: float) -> UnixMs:
        """The date that the origin wrote on a copy that it sent out at this moment of the run."""


@dataclass(slots=True, eq=False)
class _Connection:
    """One connection. A retired one accepts no further attempts and is closed once it carries none."""

    store: str
    up: bool = False
    retired: bool = False
    ended: bool = False
    open: dict[str, Attempt] = field(default_factory=dict)  # by request id, which answers carry
    sent: dict[str, Sent] = field(default_factory=dict)  # the written ones among `open`
    completed_ids: set[str] = field(default_factory=set)  # their late answers may still arrive

    def accepts(self, id_: str, max_streams: int) -> bool:
        """Whether a request with this id may be sent here. No id is used twice on one connection: a late
        answer to the first use would be taken for one to the second."""
        is_known = id_ in self.open or id_ in self.completed_ids
        return not self.retired and len(self.open) < max_streams and not is_known


class VirtualSender:
    """All upstream connections of one director."""

    def __init__(
        self, name: str, owner: Director, line: Timeline, world: World, watcher: Watcher, limits: ConnLimits
    ) -> None:
        self.name, self.owner, self.line = name, owner, line
        self.world, self.watcher, self.limits = world, watcher, limits
        self._pool: dict[str, list[_Connection]] = {}

    # --- called by the director

    def send(self, attempt: Attempt) -> None:
        """Sends on the least loaded connection that accepts the attempt, else opens one."""
        id_ = attempt.exchange.ask.id
        able = [c for c in self._pool.get(attempt.store, ()) if c.accepts(id_, self.limits.max_streams)]
        connection = min(able, key=lambda c: len(c.open), default=None) or self._dial(attempt.store)
        connection.open[id_] = attempt
        if connection.up:
            self._write(connection, attempt)

    def abandon(self, attempt: Attempt, end: AttemptOutcome) -> None:
        """Gives the attempt up, whether it has been written or not."""
        id_ = attempt.exchange.ask.id
        for connection in list(self._pool.get(attempt.store, ())):
            if connection.open.get(id_) is not attempt:
                continue
            del connection.open[id_]
            sent = connection.sent.pop(id_, None)
            if sent is not None:
                connection.completed_ids.add(id_)
                self._abort(sent, end)
            self._close_if_done(connection)

    def _abort(self, sent: Sent, end: AttemptOutcome) -> None:
        if end is AttemptOutcome.CANCELLED:
            self.watcher.cancelled(sent)
        self.watcher.ended(sent, STATUS[end], None)
        sent.given_up = True
        self.line.after(self.world.way(sent.zone, sent.store), partial(self.world.aborted, sent))

    def cancel_unsent(self, attempt: Attempt) -> None:
        """No effect: written frames are never queued here."""

    def drop_server(self, store: str) -> None:
        """Retires all connections of a server that left the endpoint list."""
        for connection in list(self._pool.get(store, ())):
            connection.retired = True
            if not connection.up:
                self._end(connection, AttemptOutcome.WITHDRAWN)
            else:
                self._close_if_done(connection)

    def remove_address(self, store: str, _address: Address) -> None:
        """Each store has one address here, so removing it is the same as dropping the server."""
        self.drop_server(store)

    # --- called by the fleet

    def break_connections(self, store: str, chosen: Callable[[], bool] = lambda: True) -> None:
        """Resets established connections to a store, with all attempts that they carry."""
        for connection in list(self._pool.get(store, ())):
            if connection.up and chosen():
                self._end(connection, AttemptOutcome.RESET)

    # --- connections

    def _dial(self, store: str) -> _Connection:
        connection = _Connection(store)
        self._pool.setdefault(store, []).append(connection)
        elapsed_ms, limit_ms = (
            self.world.dial_ms(self.owner.settings.zone, store),
            self.limits.dial_timeout_ms,
        )
        if elapsed_ms >= limit_ms:
            self.line.after(limit_ms, partial(self._end, connection, AttemptOutcome.DIAL_TIMED_OUT))
        else:
            self.line.after(elapsed_ms, partial(self._dialled, connection, limit_ms - elapsed_ms))
        return connection

    def _dialled(self, connection: _Connection, left_ms: float) -> None:
        if connection.ended:
            return
        end = self.world.dial_end(connection.store)
        if end is AttemptOutcome.DIAL_TIMED_OUT:
            self.line.after(left_ms, partial(self._end, connection, end))
            return
        if end is not None:
            self._end(connection, end)
            return
        connection.up = True
        for attempt in list(connection.open.values()):
            if connection.open.get(attempt.exchange.ask.id) is attempt:
                self._write(connection, attempt)
        self._close_if_done(connection)

    def _write(self, connection: _Connection, attempt: Attempt) -> None:
        id_ = attempt.exchange.ask.id
        end = self.owner.check_before_write(attempt)
        if end is not None:
            connection.open.pop(id_, None)
            self.owner.ended(attempt, end)
            return
        attempt.written_ms = self.owner.clock()
        sent = self._on_the_wire(connection, attempt)
        connection.sent[id_] = sent
        self.watcher.written(sent)
        self.owner.written()
        self.line.after(self.world.way(sent.zone, sent.store), partial(self.world.arrived, sent))

    def _on_the_wire(self, connection: _Connection, attempt: Attempt) -> Sent:
        """The attempt as the store reads it: from the fields of its frame, which are rounded."""
        fields = attempt.fields(self.owner.clock())

        def answer(status: Status, note: Note, dated_ms: float) -> None:
            delay_ms = self.world.answer_ms(sent)
            if delay_ms is not None:
                self.line.after(delay_ms, partial(self._answered, connection, sent, status, note, dated_ms))

        sent = Sent(
            self.name,
            self.owner.settings.zone,
            attempt,
            attempt.store,
            fields.get("parent", ""),
            int(fields.get("shelf", "0")),
            float(fields.get("accept", "0")),
            frozenset(fields.get("hints", "").split("+")) - {""},
            answer,
        )
        return sent  # noqa: RET504  `answer` refers to it

    def _answered(
        self, connection: _Connection, sent: Sent, status: Status, note: Note, dated_ms: float
    ) -> None:
        id_ = sent.attempt.exchange.ask.id
        if connection.ended or connection.sent.get(id_) is not sent:
            return
        del connection.open[id_], connection.sent[id_]
        connection.completed_ids.add(id_)
        self.watcher.ended(sent, status, dated_ms if status is Status.OK else None)
        copy_date = float(self.world.copy_date(dated_ms))
        dated = UnixMs(float(int(copy_date)) if status is Status.OK else 0.0)
        self.owner.ended(
            sent.attempt, ANSWERS[status], Reply(id_, ANSWERS[status], note, 0.0, sent.body, dated)
        )
        self._close_if_done(connection)

    def _close_if_done(self, connection: _Connection) -> None:
        if connection.retired and not connection.open:
            self._end(connection, AttemptOutcome.IDLE)

    def _end(self, connection: _Connection, end: AttemptOutcome) -> None:
        if connection.ended:
            return
        connection.ended = connection.retired = True
        self._pool[connection.store].remove(connection)
        opened, connection.open = connection.open, {}
        for id_, attempt in opened.items():
            sent = connection.sent.get(id_)
            if sent is not None:
                self.watcher.ended(sent, STATUS[end], None)
                self.owner.ended(attempt, end)
            else:
                self.owner.ended(attempt, AttemptOutcome.LOST_UNSENT if connection.up else end)
