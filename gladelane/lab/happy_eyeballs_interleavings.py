"""Model check of Happy Eyeballs (RFC 8305): every interleaving of events that can reach one dialing attempt.

Time advances in whole units: the connection attempt delay is one unit, the time-out about three. In each
state any of these events may come next: a connection attempt succeeds or fails, time passes, an address is
removed, the winning connection is lost, the request is written, the caller cancels; with or without a spare
descriptor. The invariants are checked against the model's own record of sockets and of bytes written.
"""

from __future__ import annotations

from collections.abc import Callable, Hashable, Iterator

from ..endpoints.happy_eyeballs import Action, Command, HappyEyeballs, Phase
from .modelcheck import Found, search

UNIT = 1.0  # of model time
Make = Callable[[int], HappyEyeballs]  # makes a state machine for a number of addresses


class World:
    """One dialing attempt (`attempt`), and the model's own record of its effects."""

    def __init__(self, attempt: HappyEyeballs) -> None:
        self.attempt = attempt
        self.now = 0.0
        self.sockets: frozenset[int] = frozenset()  # open sockets, by address index
        self.granted = 0  # further sockets that the descriptor limit allowed
        self.bytes: frozenset[int] = frozenset()  # indices of addresses to which a byte was written
        self.winner = -1
        self.ended = False
        self.wrong: str | None = None

    def copy(self) -> World:
        """An independent copy: the successors of a state change it without affecting each other."""
        other = World.__new__(World)
        other.__dict__.update(self.__dict__)
        other.attempt = type(self.attempt).__new__(type(self.attempt))
        for name in HappyEyeballs.__slots__:
            value = getattr(self.attempt, name)
            setattr(other.attempt, name, list(value) if isinstance(value, list) else value)
        return other

    def key(self) -> Hashable:
        """Identifies the state; two states with the same key have the same future."""
        attempt = self.attempt
        return (
            tuple(attempt.states),
            attempt.phase,
            attempt.next_ms,
            tuple(attempt.started_ms),
            attempt.was_replaced,
            attempt.address_count,
            self.now,
            self.sockets,
            self.granted,
            self.bytes,
            self.winner,
            self.ended,
        )

    def carry_out(self, commands: list[Command], spare_sockets: int) -> World:
        """Applies the commands to the model and records a violation in `wrong`."""
        for action, number in commands:
            if self.ended:
                self.wrong = f"{action.name} {number} after the end"
            if action is Action.DIAL:
                self._dial(number)
            elif action is Action.CLOSE:
                self._close(number)
            elif action is Action.WIN:
                self._win(number)
            else:
                self._lose()
        extra = len(self.sockets) - 1
        if extra > self.granted:
            if extra - self.granted > spare_sockets:
                self.wrong = (
                    f"{len(self.sockets)} sockets with room for {self.granted + spare_sockets} further ones"
                )
            self.granted = extra
        return self

    def _dial(self, number: int) -> None:
        if number in self.sockets:
            self.wrong = f"address {number} is dialled twice at once"
        self.sockets |= {number}

    def _close(self, number: int) -> None:
        if number not in self.sockets:
            self.wrong = f"address {number} is closed without a socket"
        self.sockets -= {number}

    def _win(self, number: int) -> None:
        if self.winner >= 0:
            self.wrong = f"a second winner {number} beside {self.winner}"
        if self.sockets != {number}:
            self.wrong = f"{sorted(self.sockets)} are open as {number} wins"
        self.winner = number

    def _lose(self) -> None:
        if self.sockets:
            self.wrong = f"{sorted(self.sockets)} are open as the race is lost"
        self.ended = True

    def invariant(self) -> str | None:
        """The first violated invariant in words; None if all hold."""
        attempt = self.attempt
        if self.wrong:
            return self.wrong
        if len(self.bytes) > 1:
            return f"addresses {sorted(self.bytes)} were given bytes of one attempt"
        if attempt.is_over() and self.sockets - {self.winner}:
            return f"over with {sorted(self.sockets)} open"
        if attempt.phase is Phase.CONNECTING and not self.sockets:
            return "racing without a socket: nothing would ever end it but the clock"
        if attempt.phase is Phase.CONNECTING and self.now > attempt.end_ms:
            return "still racing after its time"
        return None


def _successors(world: World) -> Iterator[tuple[str, World]]:
    """Every event that may come next, with the state that it leads to."""
    attempt = world.attempt
    for number in sorted(world.sockets - {world.winner}):
        then = world.copy()
        yield f"up {number}", then.carry_out(then.attempt.connected(number), 0)
        then = world.copy()
        then.sockets -= {number}
        yield f"fail {number}", then.carry_out(then.attempt.failed(number, then.now), 0)
    if attempt.phase is Phase.CONNECTING:
        for spare_sockets in (0, 1):
            then = world.copy()
            then.now += UNIT
            yield (
                f"time, room {spare_sockets}",
                then.carry_out(then.attempt.wake(then.now, spare_sockets), spare_sockets),
            )
        for number in range(attempt.address_count):
            then = world.copy()
            steps = then.attempt.removed(number, then.now)
            if steps or then.attempt.states != attempt.states:
                yield f"withdraw {number}", then.carry_out(steps, 0)
        then = world.copy()
        steps = then.attempt.cancel()
        then = then.carry_out(steps, 0)
        then.ended = True
        yield "end", then
    if attempt.phase is Phase.WON:
        then = world.copy()
        then.attempt.start_writing()
        then.bytes |= {then.winner}
        yield "write", then
        then = world.copy()
        lost, then.winner = then.winner, -1
        then.sockets -= {lost}
        yield f"winner {lost} lost", then.carry_out(then.attempt.winner_lost(lost, then.now), 0)


def check(most: int = 4, units: int = 3, make: Make | None = None) -> Found:
    """Explores dialing attempts with 1 to `most` addresses. Raises InvariantViolationError."""

    def plain(addresses: int) -> HappyEyeballs:
        # The delay is limited to time-out / addresses; this time-out keeps it at one unit.
        return HappyEyeballs(addresses, 0.0, UNIT, max(units, addresses) * UNIT)

    def starts() -> Iterator[World]:
        for addresses in range(1, most + 1):
            world = World((make or plain)(addresses))
            yield world.carry_out(world.attempt.start(0.0), 0)

    return search(starts(), World.key, _successors, World.invariant)
