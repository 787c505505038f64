"""One race of dials to a server's addresses: events in, orders out, time as an argument. RFC 8305 section 5.

The first address is dialled at once, the next when its delay has passed or at once when a dial fails, and so
on. The first that comes up wins; every other dial is closed before a byte of a request may be written. A
winner that is found dead before that first byte may be replaced once. From the first byte on the race is
over, whatever comes: falling back after it would send a request twice.

Every socket beyond the first must be granted (`room`): the first is the connection's own. Without room the
race goes on one address at a time: a dial that has had its share of the time gives its socket to the next.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class Dial(Enum):
    """The state of one address in a race."""

    WAITING = auto()
    DIALLING = auto()
    FAILED = auto()
    CLOSED = auto()  # overtaken by the winner
    YIELDED = auto()  # had its share of the time, and another needed its socket
    WITHDRAWN = auto()  # no longer an address of the server
    WON = auto()


class Phase(Enum):
    RACING = auto()
    WON = auto()  # one socket is up, nothing is written yet
    WRITTEN = auto()  # a byte may have left: over
    LOST = auto()  # over without a winner
    ENDED = auto()  # over from outside: withdrawn, closed


class Order(Enum):
    """What the caller has to do, about the address of the same number."""

    DIAL = auto()
    CLOSE = auto()
    WIN = auto()  # this socket carries the attempts
    LOSE = auto()  # number -1: no address is left, or the time is over


class Step(NamedTuple):
    order: Order
    number: int


OPEN = (Dial.DIALLING, Dial.WON)


class Race:
    """`addresses` counts the addresses, best first; times are ms of the caller's clock.

    wake_ms says when `wake` is due next, infinity: never. Every method returns the steps to carry out, in
    order."""

    __slots__ = (
        "addresses",
        "dials",
        "phase",
        "delay_ms",
        "share_ms",
        "end_ms",
        "next_ms",
        "since",
        "replaced",
    )

    def __init__(self, addresses: int, now: float, delay_ms: float, timeout_ms: float) -> None:
        if addresses < 1 or delay_ms < 0 or timeout_ms <= 0:
            raise ValueError("a race needs an address, a delay of 0 or more and a time-out")
        self.addresses = addresses
        self.dials = [Dial.WAITING] * addresses
        self.phase = Phase.RACING
        # each address gets its turn before the end, however many there are
        self.share_ms = timeout_ms / addresses
        self.delay_ms = min(delay_ms, self.share_ms)
        self.end_ms = now + timeout_ms
        self.next_ms = now
        self.since = [now] * addresses  # when each was dialled
        self.replaced = False

    @property
    def wake_ms(self) -> float:
        if self.phase is not Phase.RACING:
            return float("inf")
        return min(self.next_ms, self.end_ms) if self._next() >= 0 else self.end_ms

    def over(self) -> bool:
        return self.phase in (Phase.WRITTEN, Phase.LOST, Phase.ENDED)

    def open(self) -> int:
        """Sockets that this race holds."""
        return sum(dial in OPEN for dial in self.dials)

    def start(self, now: float) -> list[Step]:
        return self._dial(0, now)

    def wake(self, now: float, room: int) -> list[Step]:
        """Time has passed: the next dial where it is due and there is room, the end where that is reached."""
        if self.phase is not Phase.RACING:
            return []
        if now >= self.end_ms:
            return self._over(Phase.LOST)
        if now < self.next_ms or self._next() < 0:
            return []
        if room > 0 or not self.open():
            return self._dial(self._next(), now)
        oldest = min(self.since[n] for n, dial in enumerate(self.dials) if dial is Dial.DIALLING)
        if now - oldest < self.share_ms:
            self.next_ms = min(now + self.delay_ms, oldest + self.share_ms)
            return []
        number = next(n for n, d in enumerate(self.dials) if d is Dial.DIALLING and self.since[n] == oldest)
        self.dials[number] = Dial.YIELDED
        return [Step(Order.CLOSE, number), *self._dial(self._next(), now)]

    def connected(self, number: int) -> list[Step]:
        """A dial came up. Of two in one tick the first told wins, and the other is closed."""
        if self.dials[number] is not Dial.DIALLING:
            return []
        if self.phase is not Phase.RACING:
            raise AssertionError("a dial was left open behind a race")
        self.phase = Phase.WON
        steps = []
        for other, dial in enumerate(self.dials):
            if other != number and dial is Dial.DIALLING:
                self.dials[other] = Dial.CLOSED
                steps.append(Step(Order.CLOSE, other))
        self.dials[number] = Dial.WON
        return [*steps, Step(Order.WIN, number)]

    def failed(self, number: int, now: float) -> list[Step]:
        """A dial failed: its socket is free, so the next needs no room and goes at once."""
        if self.dials[number] is not Dial.DIALLING:
            return []
        self.dials[number] = Dial.FAILED
        return self._go_on(now)

    def withdrawn(self, number: int, now: float) -> list[Step]:
        """The address was taken from the server. A winner's connection is for its owner to retire."""
        dial = self.dials[number]
        if self.phase is not Phase.RACING or dial not in (Dial.WAITING, Dial.DIALLING):
            return []
        self.dials[number] = Dial.WITHDRAWN
        if dial is Dial.WAITING:  # no socket has come free, and others are still under way
            return []
        return [Step(Order.CLOSE, number), *self._go_on(now)]

    def winner_lost(self, number: int, now: float) -> list[Step]:
        """The winner was reset or closed before the first byte: once, the race goes on among the others, also
        those that it had overtaken."""
        if self.phase is not Phase.WON or self.dials[number] is not Dial.WON:
            return []
        self.dials[number] = Dial.FAILED
        if self.replaced:
            return self._over(Phase.LOST)
        self.replaced = True
        self.phase = Phase.RACING
        back = (Dial.CLOSED, Dial.YIELDED)
        self.dials = [Dial.WAITING if dial in back else dial for dial in self.dials]
        return self._over(Phase.LOST) if now >= self.end_ms else self._go_on(now)

    def written(self) -> None:
        """Called before the first byte is handed to the system. Nothing is ordered from here on."""
        if self.phase is not Phase.WON:
            raise AssertionError(f"written to in {self.phase}")
        self.phase = Phase.WRITTEN

    def end(self) -> list[Step]:
        """The connection is not wanted any more; a winner is left to its owner."""
        return [] if self.phase is not Phase.RACING else self._over(Phase.ENDED)

    def _next(self) -> int:
        """The best address not yet dialled, -1: none."""
        return next((n for n, dial in enumerate(self.dials) if dial is Dial.WAITING), -1)

    def _dial(self, number: int, now: float) -> list[Step]:
        self.dials[number] = Dial.DIALLING
        self.since[number] = now
        self.next_ms = now + self.delay_ms
        return [Step(Order.DIAL, number)]

    def _go_on(self, now: float) -> list[Step]:
        """After a socket has come free: the next address takes it at once (RFC 8305 section 5)."""
        number = self._next()
        if number >= 0:
            return self._dial(number, now)
        return [] if self.open() else self._over(Phase.LOST)

    def _over(self, phase: Phase) -> list[Step]:
        self.phase = phase
        steps = []
        for number, dial in enumerate(self.dials):
            if dial is Dial.DIALLING:
                self.dials[number] = Dial.CLOSED
                steps.append(Step(Order.CLOSE, number))
        return [*steps, Step(Order.LOSE, -1)] if phase is Phase.LOST else steps
