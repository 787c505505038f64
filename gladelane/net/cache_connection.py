"""One connection to a cache, a parent or the origin, from its dial to its end, and the attempts it carries.

Which address it is dialled at, and what was learnt of that, is `endpoints`'; here a race of dials is one
connection until it is won, and from the first byte on nothing falls back.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections import deque
from contextlib import suppress
from functools import partial
from itertools import islice
from typing import Protocol

from ..endpoints.address import Address
from ..endpoints.dialling import Budget, Dialling, alive
from ..endpoints.health import DialEnd
from ..endpoints.plan import Endpoints
from ..sockets import has_ended, has_unread
from .config import ConnLimits
from .ends import DIAL_END, End
from .exchange import Attempt
from .lines import Garbled, Reply, ReplyDecoder, encode_abort, encode_fetch
from .outgoing import Outgoing
from .streams import READ_BYTES, Reader, open_stream
from .wheel import Entry, Wheel

log = logging.getLogger(__name__)

# Times here are those of a network between machines of one operator (round trips of tens of ms at the most)
# and of a peer that writes an answer in one go; counts bound what one connection costs. Neither follows from
# classes or loads, so they hold for any customer; streams, idle times, dials and aims come from the settings.
IDLE_SHARE = 0.8  # of the peer's idle limit: a request must not meet its close
STALLED_MS = 250.0  # an answer that has begun and brings nothing more for so long was cut short
QUIET_MS, QUIET_OPEN = 250.0, 2  # without a byte for so long under so many attempts: new ones go elsewhere
DEAD_MS, DEAD_OPEN = 400.0, 3  # likewise, past their aims, while later ones are answered elsewhere
MUTE_AFTER = 2  # attempts that time out in a row without a byte from the peer: one may just be slow
SPENT = 256  # ids aborted or answered on a connection that are kept off it
STRAYS_MOST = 256  # answers in a row that nobody waits for: more than can cross aborts, or come twice
#: a connection that ends so under requests, and answered none before, has an address better passed over
UNANSWERED = frozenset({End.RESET, End.CLOSED, End.GARBLED, End.CUT_SHORT})
STUCK_MS = 50.0  # a connection with bytes unsent for so long takes no more: its peer reads nothing


class Owner(Protocol):
    """Who sent the attempts."""

    def recheck(self, attempt: Attempt) -> End | None: ...

    def written(self) -> None:
        """The last byte of an attempt has left."""

    def ended(self, attempt: Attempt, end: End, reply: Reply | None = None) -> None: ...


class Pool(Budget, Protocol):
    """What connections share: limits, timers, what is known of addresses, and who is told of results."""

    limits: ConnLimits
    wheel: Wheel
    endpoints: Endpoints
    owner: Owner

    def send(self, attempt: Attempt) -> None:
        """Finds a connection for it anew."""

    def remove(self, conn: Connection) -> None:
        """It has ended."""

    def try_again(self, store: str, address: Address) -> None:
        """Dials an address that is passed over, beside the connections."""


class Connection:
    """One connection, from its dial to its end. Attempts wait here while it is dialled."""

    def __init__(self, pool: Pool, store: str) -> None:
        self.pool = pool
        self.store = store
        self.address: Address | None = None  # the winner's, once it is dialled
        self.dialling: Dialling | None = None
        self.open: dict[str, Attempt] = {}  # by the request's id, which is all that answers carry
        self.spent: dict[str, None] = {}  # the latest, oldest first
        self.waiting: deque[Attempt] = deque()  # until bytes before them have left; some may be over by then
        self.waits: Entry | None = None  # the next look whether they have
        self.decoder = ReplyDecoder()
        self.reader: Reader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.sock: socket.socket | None = None  # the transport's, for looks beside it
        self.out: Outgoing | None = None  # from when it is dialled, as the three above
        self.begun_ms = 0.0  # since when an answer has been under way, 0: none is
        self.strays = 0  # answers in a row that nobody waited for
        self.finished = False
        self.retired = False  # carries on with what is open, takes nothing new
        self.heard_ms = 0.0
        self.used_ms = pool.clock()
        self.mute = 0
        self.answered_ms = 0.0  # when the latest attempt that was answered here had been written
        self.end = End.IDLE  # what it ends of, unless told otherwise
        self.task = asyncio.ensure_future(self._run())
        # beside the `finally` of the task: one that is cancelled before its first step never gets there
        self.task.add_done_callback(lambda _: self._finish(self.end))

    @property
    def peer(self) -> str:
        """For the log."""
        return self.address.text if self.address is not None else self.store

    def takes(self, id_: str) -> bool:
        """An id that is open here, or was aborted or answered, would make its next answer ambiguous: peers
        answer across an abort, and some answer twice."""
        if self.retired or len(self.open) >= self.pool.limits.max_streams:
            return False
        if id_ in self.open or id_ in self.spent:
            return False
        if self.sock is not None and not self.open and has_ended(self.sock):
            return False  # its close has come, unread: what is written into it is lost and counts as run
        return not self._stuck()

    def _backed_ms(self) -> float:
        """Since when bytes have waited to leave; 0: none do."""
        return self.out.backed_since_ms() if self.out is not None else 0.0

    def _stuck(self) -> bool:
        """Whether bytes written a while ago have not left: what is written after them waits too, and would
        go out when its client has left or its window has passed."""
        since_ms = self._backed_ms()
        return bool(since_ms) and self.pool.clock() - since_ms > STUCK_MS + self.pool.wheel.lag()

    def unread(self) -> bool:
        """Whether something has come that was not read yet: an answer that is read late is not lost."""
        return (self.reader is not None and self.reader.waiting > 0) or (
            self.sock is not None and has_unread(self.sock)
        )

    def carry(self, attempt: Attempt) -> None:
        self.open[attempt.exchange.ask.id] = attempt
        if self.writer is not None:
            self.waiting.append(attempt)
            self._write_waiting()

    def _write_waiting(self) -> None:
        """An attempt is written once all before it has left: behind bytes that the peer does not take it
        could not be taken back, and would begin long after its client has gone."""
        if self.waits is not None:
            self.waits.cancel()
            self.waits = None
        while self.waiting and not self.finished:
            attempt = self.waiting[0]
            still_open = self.open.get(attempt.exchange.ask.id) is attempt
            if still_open and self._backed_ms():
                self._wait()
                return
            self.waiting.popleft()  # before it is written: what comes of that may bring a further one here
            if still_open:
                self._write(attempt)

    def _wait(self) -> None:
        if not self._stuck():
            self.waits = self.pool.wheel.at(self.pool.clock(), self._write_waiting)
            return
        waiting, self.waiting = self.waiting, deque()
        for attempt in waiting:
            id_ = attempt.exchange.ask.id
            if self.open.get(id_) is attempt:
                del self.open[id_]
                self.pool.send(attempt)
        self._close_if_done()

    def _write(self, attempt: Attempt) -> None:
        assert self.writer is not None and self.out is not None
        ask = attempt.exchange.ask
        end = End.LOST_UNSENT if self.writer.is_closing() else self.pool.owner.recheck(attempt)
        if end is not None:
            self.open.pop(ask.id, None)
            self.pool.owner.ended(attempt, end)
            return
        now = self.pool.clock()
        attempt.written_ms = self.used_ms = now
        self.out.begin(attempt, encode_fetch(ask.id, attempt.fields(now), ask.body))
        self.count_written()

    def count_written(self) -> None:
        for _ in range(self.out.count_left() if self.out is not None else 0):
            self.pool.owner.written()

    def drop(self, attempt: Attempt, end: End) -> None:
        id_ = attempt.exchange.ask.id
        if self.open.get(id_) is not attempt:
            return
        del self.open[id_]
        self.count_written()
        if attempt.written_ms and self.writer is not None and self.out is not None:
            self._spend(id_)
            if self._stuck():
                # the abort would wait behind what does not leave, and the attempt be out until then: it is
                # given up with the connection, whose other attempts wait in vain too
                self._reset()
            elif not self.writer.is_closing():  # the peer's end may not have been read yet
                self.out.write(encode_abort(id_))
                self.take_back(attempt)
            if end is End.TIMED_OUT and self.heard_ms <= attempt.written_ms:
                self.mute += 1
                # with another way to this store one is enough where nothing ever came
                stalled = (self.mute >= MUTE_AFTER or not self.heard_ms) and self._stalled()
                if stalled and not self.retired:
                    log.warning("stalled peer=%s open=%d", self.peer, len(self.open))
                    self.retire()
                elif self.mute >= MUTE_AFTER and not self.retired:
                    log.warning("mute peer=%s open=%d", self.peer, len(self.open))
                    self.retire()
        self._close_if_done()

    def take_back(self, attempt: Attempt) -> None:
        """Nobody waits for it any more. While no byte of it has left the connection is given up instead, once
        it has been stuck for long enough: else the attempt would begin when the peer reads on."""
        since_ms = self._backed_ms()
        if self.finished or self.out is None or not since_ms or not self.out.holds_whole(attempt):
            return
        if self.pool.clock() >= since_ms + STUCK_MS:
            self._reset()
        else:
            self.pool.wheel.at(since_ms + STUCK_MS, partial(self.take_back, attempt))

    def _reset(self) -> None:
        assert self.out is not None
        log.warning("stuck peer=%s open=%d", self.peer, len(self.open))
        self.end = End.RESET
        self.out.reset()
        self.close()

    def _stalled(self, why: str = "STALLED") -> bool:
        """Whether new attempts are better dialled elsewhere."""
        if self.address is None:
            return False
        return self.pool.endpoints.stalled(self.store, self.address, self.pool.clock(), why)

    def _spend(self, id_: str) -> None:
        self.spent[id_] = None
        if len(self.spent) > SPENT:
            del self.spent[next(iter(self.spent))]

    def withdraw(self) -> None:
        """What waits for a dial is told now that the store may not be used; what was written finishes."""
        if self.writer is None:
            self.end = End.WITHDRAWN
            self.close()
        else:
            self.retire()

    def withdraw_address(self, address: Address) -> None:
        if self.address == address:
            self.retire()
        elif self.dialling is not None:
            self.dialling.withdraw(address)

    def retire(self) -> None:
        self.retired = True
        self._close_if_done()

    def _close_if_done(self) -> None:
        if self.retired and not self.open:
            self.close()

    def close(self) -> None:
        self.retired = True
        self.task.cancel()

    def quiet(
        self, now: float, for_ms: float = QUIET_MS, under: int = QUIET_OPEN, past_aim: bool = False
    ) -> bool:
        """Whether so many attempts have waited so long while not a byte came: a connection may go silent and
        stay open, and what is sent on it then is lost. `past_aim`: also for longer than any of them was to
        take, since on a busy day all that wait on one connection may be fills."""
        under = max(min(under, self.pool.limits.max_streams), 2)  # one alone may just be slow
        last = next(islice(self.open.values(), under - 1, None), None)
        if self.writer is None or last is None or not last.written_ms:
            return False
        if past_aim:
            for_ms = max(for_ms, *(attempt.aim_ms for attempt in self.open.values()))
        return now - max(self.heard_ms, last.written_ms) > for_ms + self.pool.wheel.lag()

    def sweep(self, now: float, answered_ms: float) -> None:
        """Closes what has been idle for long, before the peer does, and what a cut-short answer blocks."""
        if self.writer is None:
            return
        self.count_written()
        quiet = now - max(self.heard_ms, self.used_ms)
        if not self.open and quiet > self.pool.limits.conn_idle_ms * IDLE_SHARE:
            self.close()
        elif self.unread():
            return  # read first: it may be all that is waited for
        elif self.decoder.pending() and self._hopeless(now):
            log.warning("cut short peer=%s open=%d", self.peer, len(self.open))
            self.end = End.CUT_SHORT
            self.close()
        elif self.quiet(now, DEAD_MS, DEAD_OPEN, past_aim=True) and answered_ms > now - DEAD_MS:
            log.warning("silent peer=%s open=%d", self.peer, len(self.open))
            self.end = End.SILENT
            self._stalled(End.SILENT.name)
            self.close()

    def _hopeless(self, now: float) -> bool:
        """Whether the answer under way brings nothing more, or, at the pace it comes at, will not be whole in
        time: all others on the connection wait behind it."""
        stalled = STALLED_MS + self.pool.wheel.lag()
        took = now - self.begun_ms
        if now - self.heard_ms > stalled:
            return True
        if took <= stalled:
            return False
        id_, part = self.decoder.under_way()
        attempt = self.open.get(id_)
        if attempt is not None:
            left = attempt.due_ms - now
        else:  # given up: it is waited for as long as what waits behind it was to take
            left = max(min((a.aim_ms for a in self.open.values()), default=0.0), STALLED_MS)
        return not part or took / part - took > left

    async def _run(self) -> None:
        try:
            self.end = await self._dial() or await self._read()
        except Exception:
            log.exception("connection failed peer=%s", self.peer)
            self.end = End.RESET
        finally:
            self._finish(self.end)  # at once: in a turn of the loop a request could be written into the end

    async def _dial(self) -> End | None:
        pool = self.pool
        plan = pool.endpoints.plan(self.store, pool.clock())
        if not plan.addresses:
            return End.UNREACHABLE
        if plan.trial is not None:
            pool.try_again(self.store, plan.trial)
        dialling = Dialling(self.store, plan, pool.endpoints, pool, pool.limits.dial_timeout_ms)
        self.dialling = dialling
        try:
            while True:
                won = await dialling.winner()
                if isinstance(won, DialEnd):
                    return DIAL_END[won]
                sock, address = won
                with suppress(OSError):
                    reader, writer = await open_stream(sock)
                    # with no byte written the peer's end costs the request nothing: the race goes on, once
                    if not writer.is_closing() and not reader.at_eof() and alive(sock):
                        break
                    writer.close()
                dialling.winner_died()
            dialling.written()
        finally:
            dialling.close()
        self.reader, self.writer, self.address, self.sock = reader, writer, address, sock
        self.out = Outgoing(writer, sock, pool.clock)
        self.waiting.extend(self.open.values())
        self._write_waiting()
        self._close_if_done()
        return None

    async def _read(self) -> End:
        assert self.reader is not None
        try:
            while data := await self.reader.read(READ_BYTES):
                if not self.heard_ms and self.address is not None:
                    self.pool.endpoints.health.answered(self.store, self.address)
                self.heard_ms = self.pool.clock()
                self.mute = 0
                self.count_written()
                for reply in self.decoder.feed(data):
                    self.begun_ms = 0.0
                    self._answered(reply)
                if not self.decoder.pending():
                    self.begun_ms = 0.0
                elif not self.begun_ms:
                    self.begun_ms = self.heard_ms
                self._close_if_done()
        except Garbled as error:
            log.warning("garbled peer=%s: %s", self.peer, error)
            return End.GARBLED
        except OSError:
            return End.RESET
        return End.CLOSED

    def _answered(self, reply: Reply) -> None:
        attempt = self.open.get(reply.id)
        if attempt is None or not attempt.written_ms:
            self.strays += 1
            if self.strays > STRAYS_MOST:  # nothing else bounds what they cost
                raise Garbled("answers that nobody waits for, without end")
            if reply.id not in self.spent:  # else it crossed our abort, or is a second one
                log.warning("answer to nothing asked peer=%s id=%.32s", self.peer, reply.id)
            return
        if reply.end is End.STILL_GOOD and (not attempt.exchange.ask.known or reply.body):
            raise Garbled("still_good for a copy that no client holds")
        del self.open[reply.id]
        self.strays = 0
        self.answered_ms = max(self.answered_ms, attempt.written_ms)
        self._spend(reply.id)
        self.pool.owner.ended(attempt, reply.end, reply)

    def _finish(self, end: End) -> None:
        if self.finished:
            return
        self.finished = self.retired = True
        self.count_written()
        self.pool.remove(self)
        if self.waits is not None:
            self.waits.cancel()
        if self.writer is not None:
            self.writer.close()
        if self.open:
            log.info("connection ended peer=%s end=%s open=%d", self.peer, end.name, len(self.open))
            if not self.answered_ms and end in UNANSWERED:
                self._stalled(end.name)
        ended, self.open = list(self.open.values()), {}
        for attempt in ended:
            # bytes handed to the system may have reached the peer: only an unwritten request surely never ran
            unsent = self.writer is not None and not attempt.written_ms
            self.pool.owner.ended(attempt, End.LOST_UNSENT if unsent else end)
