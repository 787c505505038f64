"""The sockets of one Happy Eyeballs connect. This module does the I/O that the `happy_eyeballs` state machine
orders, and reports the results to `health`."""

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
from .health import FAMILY_FAILURES, DialFailure
from .plan import Endpoints, Plan


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancels the call."""


class Budget(Protocol):
    """The socket budget of a process, with its clock and timers."""

    def clock(self) -> float:
        """Monotonic time in ms."""

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer:
        """Schedules a call at a time of `clock`."""

    def spare_sockets(self) -> int:
        """Returns how many more sockets may be opened. May close an idle connection to make room for one."""

    def hold(self, sockets: int) -> None:
        """Adds to the number of sockets in use; a negative number releases sockets."""


class Dialer:
    """One connect to a server. `winner` returns the socket that connected first, or how the connect failed.

    The caller then calls `start_writing` before it writes the first byte to the winner. If the winner is
    closed before that, it calls `replace_winner` and awaits `winner` again. `close` ends the connect at
    any time. All sockets except the first are taken from the budget."""

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
        self._failures: dict[int, DialFailure] = {}
        self._timer: Timer | None = None
        self._extra_sockets = 0
        self._winner_started_ms = 0.0
        self._result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._winner: tuple[socket.socket, Address] | None = None
        self._execute(self.machine.start(now))

    async def winner(self) -> tuple[socket.socket, Address] | DialFailure:
        """Returns the connected socket and its address, or how the connect failed. Closes all sockets if it
        is cancelled."""
        try:
            index = await self._result
        except asyncio.CancelledError:
            self.close()
            raise
        self._result = asyncio.get_running_loop().create_future()
        if index < 0 or self._winner is None:
            return self._combined_failure()
        winner, self._winner = self._winner, None
        return winner

    def start_writing(self) -> None:
        """Must be called before the first byte of a request is written. From then on nothing is dialled."""
        self.machine.start_writing()

    def replace_winner(self) -> None:
        """Dials the other addresses after the winner was reset or closed before the first byte. The caller
        closes the winner's socket."""
        index = next(n for n, state in enumerate(self.machine.states) if state is DialState.WON)
        self._record_failure(index, DialFailure.DIED)
        self._execute(self.machine.winner_lost(index, self.budget.clock()))

    def remove_address(self, address: Address) -> None:
        """Ends the dial to an address that is no longer one of this server."""
        if address in self.addresses and not self.machine.is_over():
            index = self.addresses.index(address)
            self._execute(self.machine.removed(index, self.budget.clock()))

    def close(self) -> None:
        """Ends all dials, and closes a winner that `winner` has not returned yet."""
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
            self.endpoints.health.record_first_dial(self.server, address, now)
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
        # Only asked for if it is needed, since an idle connection may be closed for it.
        is_dial_due = now >= self.machine.next_ms and DialState.WAITING in self.machine.states
        self._execute(self.machine.wake(now, self.budget.spare_sockets() if is_dial_due else 0))

    # --- results of dials

    def _on_done(self, index: int, sock: socket.socket | None, failure: DialFailure | None) -> None:
        del self._connects[index]
        now, started_ms = self.budget.clock(), self.machine.started_ms[index]
        if sock is None:
            self._record_failure(index, failure or DialFailure.UNREACHABLE)
            self._execute(self.machine.failed(index, now))
            return
        self._winner, self._winner_started_ms = (sock, self.addresses[index]), started_ms
        self._execute(self.machine.connected(index))
        self.endpoints.health.record_connect(self.server, self.addresses[index], now - started_ms)
        self._record_lost_families(index, now)

    def _record_lost_families(self, winner: int, now: float) -> None:
        """Records a failure of each family whose dials were lost while a dial of another family connected."""
        for index, failure in self._failures.items():
            family = self.addresses[index].family
            if failure in FAMILY_FAILURES and family is not self.addresses[winner].family:
                self.endpoints.health.record_family_failure(self.server, family, now)

    def _record_closed(self, index: int, now: float) -> None:
        """Records a dial that was closed: because the connect timed out, or because a later dial was faster.
        In other cases it says nothing about the address."""
        machine, started_ms = self.machine, self.machine.started_ms[index]
        had_full_delay = now - started_ms >= machine.delay_ms
        if machine.phase is Phase.LOST and now >= machine.end_ms:
            self._record_failure(index, DialFailure.TIMED_OUT)
        elif machine.phase is Phase.WON and started_ms < self._winner_started_ms and had_full_delay:
            self._record_failure(index, DialFailure.OVERTAKEN)
        else:
            self.endpoints.health.record_cancel(self.server, self.addresses[index])

    def _record_failure(self, index: int, failure: DialFailure) -> None:
        self._failures[index] = failure
        self.endpoints.health.record_failure(self.server, self.addresses[index], failure, self.budget.clock())

    def _combined_failure(self) -> DialFailure:
        """How the connect as a whole failed."""
        failures = set(self._failures.values())
        for failure in (DialFailure.NO_SOCKET, DialFailure.TIMED_OUT, DialFailure.DIED):
            if failure in failures:
                return failure
        return DialFailure.REFUSED if failures == {DialFailure.REFUSED} else DialFailure.UNREACHABLE
