"""The sockets of one Happy Eyeballs connect. It does I/O; `happy_eyeballs` decides, and `health` is
informed."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Sequence
from functools import partial
from typing import Protocol

from ..sockets import close_socket
from .address import Address
from .connect import Connect
from .happy_eyeballs import Action, Command, DialState, HappyEyeballs, Phase
from .health import FAMILY_ENDS, DialEnd
from .plan import Endpoints, Plan


class Timer(Protocol):
    """A call that is due later."""

    def cancel(self) -> None:
        """The call is not made."""


class Budget(Protocol):
    """Counts the sockets of a process, and keeps its time."""

    def clock(self) -> float:
        """Monotonic time in ms."""

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Calls at a time of `clock`."""

    def spare_sockets(self) -> int:
        """How many sockets may be opened beside those in use. May close an idle connection to have one."""

    def hold(self, sockets: int) -> None:
        """So many more are in use; fewer, if negative."""


class Dialer:
    """One connect to a server: `winner` gives the socket that connected first, or how all dials ended.

    The caller reports what becomes of the winner: `written` before its first byte, or `winner_died`, and then
    awaits `winner` again. `close` ends the connect at any time. The sockets beyond the first are taken from
    the budget."""

    def __init__(
        self, server: str, plan: Plan, endpoints: Endpoints, budget: Budget, timeout_ms: float
    ) -> None:
        now = budget.clock()
        self.server = server
        self.addresses = plan.addresses
        self.endpoints, self.budget = endpoints, budget
        self.machine = HappyEyeballs(len(plan.addresses), now, plan.delay_ms, timeout_ms)
        self._family_count = len({address.family for address in plan.addresses})
        self._connects: dict[int, Connect] = {}
        self._ends: dict[int, DialEnd] = {}
        self._timer: Timer | None = None
        self._extra_sockets = 0
        self._winner_started_ms = 0.0
        self._result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._winner: tuple[socket.socket, Address] | None = None
        self._execute(self.machine.start(now))

    async def winner(self) -> tuple[socket.socket, Address] | DialEnd:
        """The connected socket and its address. If it is cancelled it leaves no socket behind."""
        try:
            index = await self._result
        except asyncio.CancelledError:
            self.close()
            raise
        self._result = asyncio.get_running_loop().create_future()
        if index < 0 or self._winner is None:
            return self._combined_end()
        winner, self._winner = self._winner, None
        return winner

    def written(self) -> None:
        """Called before the first byte of a request is written: nothing is dialled from here on."""
        self.machine.written()

    def winner_died(self) -> None:
        """The winner was reset or closed before the first byte; its socket is the caller's to close."""
        index = next(n for n, state in enumerate(self.machine.states) if state is DialState.WON)
        self._record_failure(index, DialEnd.DIED)
        self._execute(self.machine.winner_lost(index, self.budget.clock()))

    def remove_address(self, address: Address) -> None:
        """It is no longer an address of this server."""
        if address in self.addresses and not self.machine.is_over():
            index = self.addresses.index(address)
            self._execute(self.machine.removed(index, self.budget.clock()))

    def close(self) -> None:
        """Ends all dials, and closes a winner that was not taken."""
        self._execute(self.machine.cancel())
        if self._winner is not None:
            close_socket(self._winner[0])
            self._winner = None
        if self._timer is not None:
            self._timer.cancel()

    # --- commands of the state machine

    def _execute(self, commands: Sequence[Command]) -> None:
        now = self.budget.clock()
        for action, index in commands:
            if action is Action.DIAL:
                self._dial(index, now)
            elif action is Action.CLOSE:
                self._connects.pop(index).cancel()
                self._record_closed(index, now)
            elif not self._result.done():
                self._result.set_result(index)
        self._update_budget()
        self._set_timer()

    def _dial(self, index: int, now: float) -> None:
        address = self.addresses[index]
        if not self._connects and self._family_count > 1:
            self.endpoints.health.first_dial_started(self.server, address, now)
        self._connects[index] = Connect(address, partial(self._on_done, index))

    def _update_budget(self) -> None:
        extra = max(self.machine.count_open() - 1, 0)
        if extra != self._extra_sockets:
            self.budget.hold(extra - self._extra_sockets)
            self._extra_sockets = extra

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.machine.phase is Phase.CONNECTING:
            self._timer = self.budget.at(self.machine.wake_ms, self._wake)

    def _wake(self) -> None:
        now = self.budget.clock()
        # asked for only if it is needed: an idle connection may be closed for it
        is_dial_due = now >= self.machine.next_ms and DialState.WAITING in self.machine.states
        self._execute(self.machine.wake(now, self.budget.spare_sockets() if is_dial_due else 0))

    # --- ends of dials

    def _on_done(self, index: int, sock: socket.socket | None, end: DialEnd | None) -> None:
        del self._connects[index]
        now, started_ms = self.budget.clock(), self.machine.started_ms[index]
        if sock is None:
            self._record_failure(index, end or DialEnd.UNREACHABLE)
            self._execute(self.machine.failed(index, now))
            return
        self._winner, self._winner_started_ms = (sock, self.addresses[index]), started_ms
        self._execute(self.machine.connected(index))
        self.endpoints.health.connected(self.server, self.addresses[index], now - started_ms)
        self._record_lost_families(index, now)

    def _record_lost_families(self, winner: int, now: float) -> None:
        """Counts a failure against each family whose dials got lost while another one connected."""
        for index, end in self._ends.items():
            family = self.addresses[index].family
            if end in FAMILY_ENDS and family is not self.addresses[winner].family:
                self.endpoints.health.family_failed(self.server, family, now)

    def _record_closed(self, index: int, now: float) -> None:
        """Records a dial that was closed: its time was over, a later dial was quicker, or nothing is
        learnt."""
        machine, started_ms = self.machine, self.machine.started_ms[index]
        had_its_delay = now - started_ms >= machine.delay_ms
        if machine.phase is Phase.LOST and now >= machine.end_ms:
            self._record_failure(index, DialEnd.TIMED_OUT)
        elif machine.phase is Phase.WON and started_ms < self._winner_started_ms and had_its_delay:
            self._record_failure(index, DialEnd.OVERTAKEN)
        else:
            self.endpoints.health.cancelled(self.server, self.addresses[index])

    def _record_failure(self, index: int, end: DialEnd) -> None:
        self._ends[index] = end
        self.endpoints.health.failed(self.server, self.addresses[index], end, self.budget.clock())

    def _combined_end(self) -> DialEnd:
        """How the connect as a whole was lost."""
        ends = set(self._ends.values())
        for end in (DialEnd.NO_SOCKET, DialEnd.TIMED_OUT, DialEnd.DIED):
            if end in ends:
                return end
        return DialEnd.REFUSED if ends == {DialEnd.REFUSED} else DialEnd.UNREACHABLE
