"""Happy Eyeballs (RFC 8305 section 5): one connect to a server with several addresses, as a state machine.

The caller reports events with the current time, and executes the commands that are returned. The first
address is dialled at once. Each further address is dialled when the delay has passed, or at once when a dial
fails. The first dial to connect wins, and all others are closed before a byte of a request may be written. A
winner that turns out to be closed before that first byte may be replaced once. After the first byte nothing
is dialled any more, since a fallback could send a request twice.

The first socket belongs to the connection itself. Each further one must be available (`spare_sockets`). If
none is, the addresses are dialled one at a time: a dial that has had its share of the time gives its socket
to the next.
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
    YIELDED = auto()  # closed after its share of the time, because another dial needed its socket
    REMOVED = auto()  # no longer an address of the server
    WON = auto()


class Phase(Enum):
    """The state of the connect as a whole."""

    CONNECTING = auto()
    WON = auto()  # one dial has connected, and nothing is written yet
    WRITTEN = auto()  # over: a byte may have been sent
    LOST = auto()  # over: there is no winner
    CANCELLED = auto()  # over: the connection is no longer needed


class Action(Enum):
    """What the caller has to do for an address."""

    DIAL = auto()
    CLOSE = auto()
    WIN = auto()  # this socket becomes the connection
    LOSE = auto()  # the connect has failed: no address is left, or it timed out; the index is NO_INDEX


class Command(NamedTuple):
    """An action for one address, which is given by its index among the addresses of the connect."""

    action: Action
    address_index: int


NO_INDEX = -1
OPEN_STATES = (DialState.DIALLING, DialState.WON)
RETRIED_STATES = (DialState.CLOSED, DialState.YIELDED)  # these are dialled again if the winner is lost


class HappyEyeballs:
    """One connect to `address_count` addresses, best first. Times are ms of the caller's monotonic clock.

    Methods for events return the commands to execute, in order."""

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
            raise ValueError("expected at least one address, a delay of 0 or more and a positive timeout")
        self.address_count = address_count
        self.states = [DialState.WAITING] * address_count
        self.phase = Phase.CONNECTING
        # So that each address is dialled before the timeout, however many there are.
        self.share_ms = timeout_ms / address_count
        self.delay_ms = min(delay_ms, self.share_ms)
        self.end_ms = now + timeout_ms
        self.next_ms = now
        self.started_ms = [now] * address_count  # when each was dialled
        self.was_replaced = False

    @property
    def wake_ms(self) -> float:
        """When `wake` is due next; infinity if it is not."""
        if self.phase is not Phase.CONNECTING:
            return float("inf")
        return min(self.next_ms, self.end_ms) if self._next_index() >= 0 else self.end_ms

    def is_over(self) -> bool:
        """Whether no more commands can follow."""
        return self.phase in (Phase.WRITTEN, Phase.LOST, Phase.CANCELLED)

    def count_open(self) -> int:
        """The number of sockets in use."""
        return sum(state in OPEN_STATES for state in self.states)

    def start(self, now: float) -> list[Command]:
        """Dials the first address."""
        return self._dial(0, now)

    def wake(self, now: float, spare_sockets: int) -> list[Command]:
        """Dials the next address if it is due and a socket is available, or ends the connect at the
        timeout."""
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
        """Handles a dial that connected. If two connect at the same time, the first one reported wins."""
        if self.states[index] is not DialState.DIALLING:
            return []
        if self.phase is not Phase.CONNECTING:
            raise AssertionError("a dial was left open after the end")
        self.phase = Phase.WON
        commands = self._close_dials(index)
        self.states[index] = DialState.WON
        return [*commands, Command(Action.WIN, index)]

    def failed(self, index: int, now: float) -> list[Command]:
        """Handles a dial that failed. Its socket is free, so the next address is dialled at once."""
        if self.states[index] is not DialState.DIALLING:
            return []
        self.states[index] = DialState.FAILED
        return self._dial_next(now)

    def removed(self, index: int, now: float) -> list[Command]:
        """Handles an address that the server no longer has. An established connection is the caller's to
        close."""
        state = self.states[index]
        if self.phase is not Phase.CONNECTING or state not in (DialState.WAITING, DialState.DIALLING):
            return []
        self.states[index] = DialState.REMOVED
        if state is DialState.WAITING:  # no socket has become free, and a dial is still in flight
            return []
        return [Command(Action.CLOSE, index), *self._dial_next(now)]

    def winner_lost(self, index: int, now: float) -> list[Command]:
        """Handles a winner that was reset or closed before the first byte. The first time, the other
        addresses are dialled, including those whose dials were closed before."""
        if self.phase is not Phase.WON or self.states[index] is not DialState.WON:
            return []
        self.states[index] = DialState.FAILED
        if self.was_replaced:
            return self._finish(Phase.LOST)
        self.was_replaced = True
        self.phase = Phase.CONNECTING
        self.states = [DialState.WAITING if state in RETRIED_STATES else state for state in self.states]
        return self._finish(Phase.LOST) if now >= self.end_ms else self._dial_next(now)

    def start_writing(self) -> None:
        """Must be called before the first byte is passed to the operating system. No command follows."""
        if self.phase is not Phase.WON:
            raise AssertionError(f"start_writing() called in {self.phase}")
        self.phase = Phase.WRITTEN

    def cancel(self) -> list[Command]:
        """Ends a connect that is no longer needed. The socket of a winner stays open for its owner."""
        return [] if self.phase is not Phase.CONNECTING else self._finish(Phase.CANCELLED)

    def _next_index(self) -> int:
        """Returns the index of the best address that is not dialled yet, or NO_INDEX."""
        waiting = (n for n, state in enumerate(self.states) if state is DialState.WAITING)
        return next(waiting, NO_INDEX)

    def _dial(self, index: int, now: float) -> list[Command]:
        self.states[index] = DialState.DIALLING
        self.started_ms[index] = now
        self.next_ms = now + self.delay_ms
        return [Command(Action.DIAL, index)]

    def _dial_next(self, now: float) -> list[Command]:
        """Dials the next address with a socket that has become free (RFC 8305 section 5)."""
        index = self._next_index()
        if index >= 0:
            return self._dial(index, now)
        return [] if self.count_open() else self._finish(Phase.LOST)

    def _finish(self, phase: Phase) -> list[Command]:
        self.phase = phase
        commands = self._close_dials()
        return [*commands, Command(Action.LOSE, NO_INDEX)] if phase is Phase.LOST else commands

    def _close_dials(self, winner: int = NO_INDEX) -> list[Command]:
        """Closes every dial in flight except the winner's."""
        commands = []
        for index, state in enumerate(self.states):
            if index != winner and state is DialState.DIALLING:
                self.states[index] = DialState.CLOSED
                commands.append(Command(Action.CLOSE, index))
        return commands
