"""Happy Eyeballs (RFC 8305 section 5): one connect to a server with several addresses, as a state machine.

Events in, commands out, time as an argument. The first address is dialled at once, the next when its delay
has passed or at once when a dial fails, and so on. The first dial to connect wins; every other one is closed
before a byte of a request may be written. A winner that is found closed before that first byte may be
replaced once. After the first byte nothing is dialled, whatever happens: falling back then would send a
request twice.

Every socket beyond the first must be available (`spare_sockets`): the first is the connection's own. Without
one the addresses are dialled one at a time: a dial that has had its share of the time gives its socket to the
next.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class DialState(Enum):
    """The state of one address."""

    WAITING = auto()
    DIALLING = auto()
    FAILED = auto()
    CLOSED = auto()  # another dial connected first
    YIELDED = auto()  # had its share of the time, and another needed its socket
    REMOVED = auto()  # no longer an address of the server
    WON = auto()


class Phase(Enum):
    """The state of the connect as a whole."""

    CONNECTING = auto()
    WON = auto()  # one dial has connected, nothing is written yet
    WRITTEN = auto()  # a byte may have left: over
    LOST = auto()  # over without a winner
    CANCELLED = auto()  # over because the connection is not wanted any more


class Action(Enum):
    """What the caller has to do with an address."""

    DIAL = auto()
    CLOSE = auto()
    WIN = auto()  # this socket becomes the connection
    LOSE = auto()  # index NO_INDEX: no address is left, or the time is over


class Command(NamedTuple):
    """An action for one address, by its index among those of the connect."""

    action: Action
    address_index: int


NO_INDEX = -1
OPEN_STATES = (DialState.DIALLING, DialState.WON)
RETRIED_STATES = (DialState.CLOSED, DialState.YIELDED)  # dialled again if the winner is lost


class HappyEyeballs:
    """One connect to `address_count` addresses, best first; times are ms of the caller's monotonic clock.

    wake_ms says when `wake` is due next, infinity: never. Every method returns the commands to carry out, in
    order."""

    __slots__ = (
        "address_count",
        "states",
        "phase",
        "delay_ms",
        "share_ms",
        "end_ms",
        "next_ms",
        "started_ms",
        "was_replaced",
    )

    def __init__(self, address_count: int, now: float, delay_ms: float, timeout_ms: float) -> None:
        if address_count < 1 or delay_ms < 0 or timeout_ms <= 0:
            raise ValueError("expected an address at least, a delay of 0 or more and a time-out")
        self.address_count = address_count
        self.states = [DialState.WAITING] * address_count
        self.phase = Phase.CONNECTING
        # each address is dialled before the end, however many there are
        self.share_ms = timeout_ms / address_count
        self.delay_ms = min(delay_ms, self.share_ms)
        self.end_ms = now + timeout_ms
        self.next_ms = now
        self.started_ms = [now] * address_count  # when each was dialled
        self.was_replaced = False

    @property
    def wake_ms(self) -> float:
        """When `wake` is due next."""
        if self.phase is not Phase.CONNECTING:
            return float("inf")
        return min(self.next_ms, self.end_ms) if self._next_index() >= 0 else self.end_ms

    def is_over(self) -> bool:
        """Whether no command can follow any more."""
        return self.phase in (Phase.WRITTEN, Phase.LOST, Phase.CANCELLED)

    def count_open(self) -> int:
        """The number of sockets in use."""
        return sum(state in OPEN_STATES for state in self.states)

    def start(self, now: float) -> list[Command]:
        """Dials the first address."""
        return self._dial(0, now)

    def wake(self, now: float, spare_sockets: int) -> list[Command]:
        """Time has passed: dials the next address if it is due and there is a socket, or ends at the
        time-out."""
        if self.phase is not Phase.CONNECTING:
            return []
        if now >= self.end_ms:
            return self._finish(Phase.LOST)
        if now < self.next_ms or self._next_index() < 0:
            return []
        if spare_sockets > 0 or not self.count_open():
            return self._dial(self._next_index(), now)
        return self._replace_oldest(now)

    def _replace_oldest(self, now: float) -> list[Command]:
        """Gives the socket of the oldest dial to the next address, once the dial has had its share of the
        time."""
        dialling = [n for n, state in enumerate(self.states) if state is DialState.DIALLING]
        oldest = min(dialling, key=self.started_ms.__getitem__)
        if now - self.started_ms[oldest] < self.share_ms:
            self.next_ms = min(now + self.delay_ms, self.started_ms[oldest] + self.share_ms)
            return []
        self.states[oldest] = DialState.YIELDED
        return [Command(Action.CLOSE, oldest), *self._dial(self._next_index(), now)]

    def connected(self, index: int) -> list[Command]:
        """A dial has connected. Of two in one turn of the event loop the first reported wins."""
        if self.states[index] is not DialState.DIALLING:
            return []
        if self.phase is not Phase.CONNECTING:
            raise AssertionError("a dial was left open after the end")
        self.phase = Phase.WON
        commands = self._close_dials(index)
        self.states[index] = DialState.WON
        return [*commands, Command(Action.WIN, index)]

    def failed(self, index: int, now: float) -> list[Command]:
        """A dial failed: its socket is free, so the next address is dialled at once."""
        if self.states[index] is not DialState.DIALLING:
            return []
        self.states[index] = DialState.FAILED
        return self._dial_next(now)

    def removed(self, index: int, now: float) -> list[Command]:
        """The address is no longer the server's. A winner's connection is for its owner to retire."""
        state = self.states[index]
        if self.phase is not Phase.CONNECTING or state not in (DialState.WAITING, DialState.DIALLING):
            return []
        self.states[index] = DialState.REMOVED
        if state is DialState.WAITING:  # no socket has become free, and other dials are still in flight
            return []
        return [Command(Action.CLOSE, index), *self._dial_next(now)]

    def winner_lost(self, index: int, now: float) -> list[Command]:
        """The winner was reset or closed before the first byte: once, the other addresses are dialled again,
        also those that were closed for it."""
        if self.phase is not Phase.WON or self.states[index] is not DialState.WON:
            return []
        self.states[index] = DialState.FAILED
        if self.was_replaced:
            return self._finish(Phase.LOST)
        self.was_replaced = True
        self.phase = Phase.CONNECTING
        self.states = [DialState.WAITING if state in RETRIED_STATES else state for state in self.states]
        return self._finish(Phase.LOST) if now >= self.end_ms else self._dial_next(now)

    def written(self) -> None:
        """Called before the first byte is handed to the system. No command follows."""
        if self.phase is not Phase.WON:
            raise AssertionError(f"written to in {self.phase}")
        self.phase = Phase.WRITTEN

    def cancel(self) -> list[Command]:
        """The connection is not wanted any more; a winner's socket is left to its owner."""
        return [] if self.phase is not Phase.CONNECTING else self._finish(Phase.CANCELLED)

    def _next_index(self) -> int:
        """The best address not yet dialled; NO_INDEX if there is none."""
        waiting = (n for n, state in enumerate(self.states) if state is DialState.WAITING)
        return next(waiting, NO_INDEX)

    def _dial(self, index: int, now: float) -> list[Command]:
        self.states[index] = DialState.DIALLING
        self.started_ms[index] = now
        self.next_ms = now + self.delay_ms
        return [Command(Action.DIAL, index)]

    def _dial_next(self, now: float) -> list[Command]:
        """After a socket has become free: the next address takes it at once (RFC 8305 section 5)."""
        index = self._next_index()
        if index >= 0:
            return self._dial(index, now)
        return [] if self.count_open() else self._finish(Phase.LOST)

    def _finish(self, phase: Phase) -> list[Command]:
        self.phase = phase
        commands = self._close_dials()
        return [*commands, Command(Action.LOSE, NO_INDEX)] if phase is Phase.LOST else commands

    def _close_dials(self, winner: int = NO_INDEX) -> list[Command]:
        """Closes every dial in flight but the winner's."""
        commands = []
        for index, state in enumerate(self.states):
            if index != winner and state is DialState.DIALLING:
                self.states[index] = DialState.CLOSED
                commands.append(Command(Action.CLOSE, index))
        return commands
