"""The sockets of a race and of trials. It decides nothing: `race` says what to dial, `health` is told what
came."""

from __future__ import annotations

import asyncio
import errno
import os
import socket
from collections.abc import Callable, Sequence
from contextlib import suppress
from functools import partial
from typing import Any, Protocol

from .address import Address, Family
from .health import FAMILY_ENDS, DialEnd
from .plan import Endpoints, Plan
from .race import Dial, Order, Phase, Race, Step

OUT_OF_SOCKETS = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})
_KINDS = {Family.V4: socket.AF_INET, Family.V6: socket.AF_INET6, Family.UNIX: socket.AF_UNIX}
TRIAL_LINE = 256  # bytes read of the answer to a trial


Done = Callable[[socket.socket | None, DialEnd | None], None]


class Timer(Protocol):
    def cancel(self) -> None: ...


class Budget(Protocol):
    """Who counts sockets and keeps the time."""

    def clock(self) -> float: ...

    def at(self, due_ms: float, call: Callable[[], None]) -> Timer: ...

    def room(self) -> int:
        """Sockets that may be opened beyond those held."""

    def hold(self, sockets: int) -> None:
        """So many more are held, or fewer."""


def _end_of(code: int) -> DialEnd:
    if code == errno.ECONNREFUSED:
        return DialEnd.REFUSED
    return DialEnd.NO_SOCKET if code in OUT_OF_SOCKETS else DialEnd.UNREACHABLE


class Connect:
    """One dial. `done` hears of it once, never from within the constructor, and not after `cancel`."""

    def __init__(self, address: Address, done: Done) -> None:
        self.loop = asyncio.get_running_loop()
        self.done = done
        self.sock: socket.socket | None = None
        self._watched = False
        self._soon: asyncio.Handle | None = None
        try:
            self.sock = socket.socket(_KINDS[address.family], socket.SOCK_STREAM | socket.SOCK_NONBLOCK)
            if address.family is not Family.UNIX:
                self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            code = self.sock.connect_ex(self._target(address))
        except (OSError, ValueError) as error:  # no descriptor, no such zone, a family this host lacks
            code = getattr(error, "errno", None) or errno.EINVAL
        if code == errno.EINPROGRESS and self.sock is not None:
            self._watched = True
            self.loop.add_writer(self.sock.fileno(), self._ready)
        else:
            # EAGAIN of a Unix socket means a full backlog: waiting for it to be writable would end at once,
            # and as if it were connected
            self._soon = self.loop.call_soon(self._told, code)

    @staticmethod
    def _target(address: Address) -> Any:
        if address.family is Family.UNIX:
            return address.host
        if address.family is Family.V4:
            return address.host, address.port
        scope = address.scope
        number = int(scope) if scope.isdecimal() else socket.if_nametoindex(scope) if scope else 0
        return address.host, address.port, 0, number

    def _ready(self) -> None:
        assert self.sock is not None
        self._unwatch()
        self._told(self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR))

    def _told(self, code: int) -> None:
        self._soon = None
        sock, self.sock = self.sock, None
        if code == 0 and sock is not None:
            self.done(sock, None)
            return
        if sock is not None:
            sock.close()
        self.done(None, _end_of(code))

    def _unwatch(self) -> None:
        if self._watched and self.sock is not None:
            self.loop.remove_writer(self.sock.fileno())
        self._watched = False

    def cancel(self) -> None:
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        self._unwatch()
        if self.sock is not None:
            self.sock.close()
            self.sock = None


def alive(sock: socket.socket) -> bool:
    """Whether a connected socket has neither ended nor failed so far; takes no byte from it."""
    try:
        return sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
    except BlockingIOError:
        return True
    except OSError:
        return False


class Dialling:
    """One race carried out: `winner` gives the socket that came up first, or how the race was lost.

    The caller tells what becomes of the winner: `written` before its first byte, or `winner_died`, then asks
    again. `close` ends it at any time."""

    def __init__(
        self, server: str, plan: Plan, endpoints: Endpoints, budget: Budget, timeout_ms: float
    ) -> None:
        now = budget.clock()
        self.server = server
        self.addresses = plan.addresses
        self.endpoints, self.budget = endpoints, budget
        self.race = Race(len(plan.addresses), now, plan.delay_ms, timeout_ms)
        self._ways = len({address.family for address in plan.addresses})
        self._dials: dict[int, Connect] = {}
        self._ends: dict[int, DialEnd] = {}
        self._timer: Timer | None = None
        self._held = 0
        self._won_since = 0.0  # when the winner was dialled
        self._result: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._won: tuple[socket.socket, Address] | None = None
        self._carry_out(self.race.start(now))

    async def winner(self) -> tuple[socket.socket, Address] | DialEnd:
        """Cancelled from outside, it leaves no socket behind."""
        try:
            number = await self._result
        except asyncio.CancelledError:
            self.close()
            raise
        self._result = asyncio.get_running_loop().create_future()
        if number < 0 or self._won is None:
            return self._lost_as()
        won, self._won = self._won, None
        return won

    def written(self) -> None:
        self.race.written()

    def winner_died(self) -> None:
        """Reset or closed before the first byte; its socket is the caller's to close."""
        number = next(n for n, dial in enumerate(self.race.dials) if dial is Dial.WON)
        self._failed(number, DialEnd.DIED)
        self._carry_out(self.race.winner_lost(number, self.budget.clock()))

    def withdraw(self, address: Address) -> None:
        """It is no longer an address of this server."""
        if address in self.addresses and not self.race.over():
            number = self.addresses.index(address)
            self._carry_out(self.race.withdrawn(number, self.budget.clock()))

    def close(self) -> None:
        self._carry_out(self.race.end())
        if self._won is not None:
            self._won[0].close()
            self._won = None
        if self._timer is not None:
            self._timer.cancel()

    # --- inside

    def _carry_out(self, steps: Sequence[Step]) -> None:
        now = self.budget.clock()
        for order, number in steps:
            if order is Order.DIAL:
                if not self._dials and self._ways > 1:
                    self.endpoints.health.dialled(self.server, self.addresses[number], now)
                self._dials[number] = Connect(self.addresses[number], partial(self._told, number))
            elif order is Order.CLOSE:
                self._dials.pop(number).cancel()
                self._overtaken(number, now)
            elif not self._result.done():
                self._result.set_result(number)
        extra = max(self.race.open() - 1, 0)
        if extra != self._held:
            self.budget.hold(extra - self._held)
            self._held = extra
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.race.phase is Phase.RACING:
            self._timer = self.budget.at(self.race.wake_ms, self._wake)

    def _overtaken(self, number: int, now: float) -> None:
        """A closed dial. What it tells depends on why: its time was over, a later one was quicker, or
        nothing."""
        health, address, began = self.endpoints.health, self.addresses[number], self.race.since[number]
        if self.race.phase is Phase.LOST and now >= self.race.end_ms:
            self._failed(number, DialEnd.TIMED_OUT)
        elif self.race.phase is Phase.WON and began < self._won_since and now - began >= self.race.delay_ms:
            self._failed(number, DialEnd.OVERTAKEN)
        else:
            health.dropped(self.server, address)

    def _failed(self, number: int, end: DialEnd) -> None:
        self._ends[number] = end
        self.endpoints.health.failed(self.server, self.addresses[number], end, self.budget.clock())

    def _told(self, number: int, sock: socket.socket | None, end: DialEnd | None) -> None:
        del self._dials[number]
        now, began = self.budget.clock(), self.race.since[number]
        if sock is None:
            self._failed(number, end or DialEnd.UNREACHABLE)
            self._carry_out(self.race.failed(number, now))
            return
        self._won, self._won_since = (sock, self.addresses[number]), began
        self._carry_out(self.race.connected(number))
        health, family = self.endpoints.health, self.addresses[number].family
        health.connected(self.server, self.addresses[number], now - began)
        for other, how in self._ends.items():
            lost = self.addresses[other].family
            if how in FAMILY_ENDS and lost is not family:
                health.family_failed(self.server, lost, now)

    def _wake(self) -> None:
        now = self.budget.clock()
        # room is looked for only where it is wanted: finding some may close an idle connection
        wanted = now >= self.race.next_ms and Dial.WAITING in self.race.dials
        self._carry_out(self.race.wake(now, self.budget.room() if wanted else 0))

    def _lost_as(self) -> DialEnd:
        ends = set(self._ends.values())
        for end in (DialEnd.NO_SOCKET, DialEnd.TIMED_OUT, DialEnd.DIED):
            if end in ends:
                return end
        return DialEnd.REFUSED if ends == {DialEnd.REFUSED} else DialEnd.UNREACHABLE


async def try_again(
    server: str, address: Address, endpoints: Endpoints, budget: Budget, timeout_ms: float
) -> None:
    """A trial, for which nobody waits: a dial, and to an address that had stalled the question whether its
    connection works (`alive`), which runs nothing. Health is told how it ended."""
    health, began = endpoints.health, budget.clock()
    health.tried(server, address)
    budget.hold(1)
    known = health.at(server, address)
    told: asyncio.Future[socket.socket | DialEnd] = asyncio.get_running_loop().create_future()

    def done(sock: socket.socket | None, end: DialEnd | None) -> None:
        if not told.done():
            told.set_result(sock if sock is not None else end or DialEnd.UNREACHABLE)

    connect = Connect(address, done)
    sock: socket.socket | None = None
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            result = await told
            if isinstance(result, DialEnd):
                health.failed(server, address, result, budget.clock())
                return
            sock, took = result, budget.clock() - began
            stalled = known is not None and known.stalled
            if stalled and not await _green(sock):
                health.failed(server, address, DialEnd.DIED, budget.clock())
                return
        if stalled:
            health.answered(server, address)
        health.connected(server, address, took)
    except TimeoutError:
        health.failed(server, address, DialEnd.TIMED_OUT, budget.clock())
    except BaseException:
        health.dropped(server, address)
        raise
    finally:
        connect.cancel()
        if sock is not None:
            sock.close()
        budget.hold(-1)


async def _green(sock: socket.socket) -> bool:
    """Whether the answer to `alive` under a tag of ours begins as it should."""
    loop, tag = asyncio.get_running_loop(), os.urandom(8).hex()
    held = b""
    with suppress(OSError):
        await loop.sock_sendall(sock, f"alive {tag}\r\n".encode())
        while b"\n" not in held and len(held) < TRIAL_LINE:
            chunk = await loop.sock_recv(sock, TRIAL_LINE)
            if not chunk:
                break
            held += chunk
    return held.startswith(f"{tag} green".encode())
