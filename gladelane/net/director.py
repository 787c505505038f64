"""Drives the module: events in, actions out, the clock. It holds no socket and takes no decision."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Protocol

from ..choice import Router
from ..endpoints.address import Address
from ..endpoints.book import Change
from ..endpoints.plan import Endpoints, Options
from ..endpoints.rules import Listing, Rules
from ..interface import (
    NEVER_RAN,
    Cancel,
    ClientGone,
    Effect,
    Event,
    Fail,
    Fetch,
    ListKind,
    Log,
    Lookup,
    Member,
    Members,
    Note,
    Outcome,
    Purge,
    Refuse,
    Request,
    SetTimer,
    Settings,
    State,
    Status,
    Timer,
)
from ..operations.figures import Figures
from ..operations.maintenance import Register
from ..routes.keys import KeyWindows, is_past_window, kept_for
from .config import Instance, Notice, Pool
from .ends import STATUS, End
from .exchange import Ask, Attempt, Code, Exchange, Final, never
from .frames import HEX16
from .lines import Reply
from .wheel import TICK_MS, Wheel

log = logging.getLogger(__name__)

STATES = {"in_service": State.READY, "terminating": State.DRAINING, "terminated": State.GONE}
DATED_SLACK_MS = 5.0  # dates and ages are rounded to ms on their way
FLUSH_KEPT_MS = 2000.0  # a purge is kept longer than it binds, for a process that starts late
UNTOLD = (Status.CANCELLED, Status.MOOT, Status.MISS)  # of how a fetch would have ended
OVERDUE_MS = 20.0  # past its deadline, and as long again, an exchange is ended without the module


class Sender(Protocol):
    """The upstream side, as the director sees it."""

    def send(self, attempt: Attempt) -> None: ...

    def abandon(self, attempt: Attempt, end: End) -> None: ...

    def take_back(self, attempt: Attempt) -> None: ...

    def forsake(self, store: str) -> None: ...

    def withdraw(self, store: str, address: Address) -> None: ...


class Guard(Protocol):
    """What purges, known or missed, forbid beyond the module's own bounds."""

    def oldest_ms(self, cls: str) -> float: ...

    def admits(self, cls: str, thing: tuple[int, int], worth: float) -> float: ...

    def answered(self, cls: str, thing: tuple[int, int], dated_ms: float, in_time: bool) -> None: ...

    def listed(self, runs: Mapping[str, tuple[str, float]]) -> None: ...


class Audit(Protocol):
    """Whether this director may still act on what it knows, and what it did under which view."""

    def admits(self, cls: str) -> float: ...

    def may(self, cls: str) -> bool: ...

    def may_answer(self, cls: str) -> bool: ...

    def sent(self, cls: str) -> int: ...

    def served(self, cls: str, number: int) -> None: ...

    def turned(self) -> None: ...


class KeyObserver(Protocol):
    """Hears of each keyed attempt that may have run, before its first byte, and of each that is proven not to
    have. Times are Unix ms."""

    def may_have_run(self, key: str, at_ms: float, store: str) -> None: ...

    def never_ran(self, key: str, at_ms: float, store: str) -> None: ...


class Director:
    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        wheel: Wheel,
        endpoints: Endpoints,
        keys_most: int,
    ) -> None:
        self.endpoints = endpoints
        self.settings = settings
        self.router = Router(settings, seed)
        self.clock = clock
        self.wheel = wheel
        self.sender: Sender
        self.live: dict[int, Exchange] = {}
        self._by_id: dict[str, Exchange] = {}  # the latest of the live ones under a client's id
        self.guard: Guard | None = None  # the fleet's purges, where feeds are followed
        self.audit: Audit | None = None  # where an operator's file asks for it
        self.key_observer: KeyObserver | None = None  # the director's other process, during an upgrade
        self.more: Callable[[], list[tuple[str, int]]] = list  # figures of parts that operators switched on
        self.rev = 0
        self.figures = Figures()
        self.figures.know(settings.classes)
        self.register = Register()
        self.keys = KeyWindows(kept_for(settings.classes.values()), keys_most)
        self._told: dict[str, tuple[Instance, Member]] = {}  # the list's own words
        self._seen: set[str] = set()  # ids that were ever listed
        self._flushes: deque[Notice] = deque()  # purges that still bind, for a process that comes after
        self._listed: dict[str, Member] = {}  # with what operators took out laid over
        self._numbers = 0
        self._events: deque[Event] = deque()
        self._busy = False
        self._overdue: list[int] = []  # requests past their deadline at the last sweep
        self._sweep()

    # --- from the client side

    def admit(
        self, ask: Ask, deliver: Callable[[Final], None], has_left: Callable[[], bool] = never
    ) -> Exchange:
        """Called when the last byte of the request has been read; it came earlier by up to the loop's lag.
        `has_left` is asked just before each attempt for it."""
        self._numbers += 1
        # the module knows 0 as 'no object, a whole group', so objects count from 1
        now = self.clock()
        keyed = self.settings.classes[ask.cls].effect is Effect.KEYED
        ran_ms, ran_at = self.keys.first(ask.key, now) if keyed and ask.key else (0.0, "")
        request = Request(
            self._numbers,
            ask.cls,
            int(ask.object, 16) + 1,
            now + ask.wait_ms - self.wheel.margin(),
            ask.size_kb,
            ask.group,
            ask.part,
            ran_ms=ran_ms,
            ran_at=ran_at,
        )
        spec, most = self.settings.classes[ask.cls], self.settings.max_attempts
        exchange = Exchange(ask, request, deliver, spec, most, figures=self.figures, has_left=has_left)
        self.figures.inflight += 1
        if self.audit is not None and (back := self.audit.admits(ask.cls)):
            exchange.finish(Final(Code.REFUSED, come_back_ms=min(back, self.settings.max_retry_after_ms)))
            return exchange
        if keyed and self.keys.full(ask.key, now):
            exchange.finish(Final(Code.REFUSED))  # it never was sent
            return exchange
        if self.guard is not None and spec.cacheable:
            earns = spec.worth / max((one.worth for one in self.settings.classes.values()), default=1.0)
            back = self.guard.admits(ask.cls, (request.object, request.part), earns)
            if back:
                exchange.finish(Final(Code.REFUSED, come_back_ms=min(back, self.settings.max_retry_after_ms)))
                return exchange
        self.live[self._numbers] = self._by_id[ask.id] = exchange
        self.post(request)
        return exchange

    def disputes(self, ask: Ask) -> bool:
        """Whether its id is open for something else: ids are new with every request, and a cache takes
        one thing under each. The same again is no dispute: a client repeats it where a connection broke."""
        other = self._by_id.get(ask.id)
        if other is None or other.done:
            return False
        return (other.ask.cls, other.ask.object, other.ask.part) != (ask.cls, ask.object, ask.part)

    def gone(self, exchange: Exchange) -> None:
        """Nobody waits for this exchange any more. What waits for a dial is not sent on, also where the
        module may cancel nothing: there is nothing to cancel yet."""
        if not exchange.done:
            exchange.finish(None)
            self.post(ClientGone(exchange.request.id))
            for attempt in list(exchange.open.values()):
                if attempt.written_ms:
                    self.sender.take_back(attempt)
                else:
                    self._give_up(attempt, End.SURPLUS)

    def owed(self) -> bool:
        return any(not exchange.done for exchange in self.live.values())

    def end_all(self) -> None:
        for exchange in list(self.live.values()):
            if not exchange.done:
                self._abort(exchange)

    # --- from the notice board

    def notice(self, notice: Notice) -> None:
        """Repeats are dropped: after a reconnect the board may tell again what is known. What cannot be used
        is passed over by itself: one odd store must not cost the list, nor an odd notice the director."""
        if notice.rev <= self.rev:
            return
        self.rev = notice.rev
        if notice.pool is not None:
            told = [(i, m) for i in notice.pool.instances if (m := self._member(i)) is not None]
            if notice.pool.reset and not told:
                # one bad whole list, sent to all directors, would stop the fleet: the last good one stays
                log.error("bad event: rev=%d is a whole list without a usable store", notice.rev)
                self._turned()
            else:
                self._tell(told, notice.pool.reset)
        if notice.flush is not None:
            asset, group = notice.flush.asset, notice.flush.collection
            if (asset is None) == (group is None) or (asset is not None and not HEX16.fullmatch(asset)):
                log.error("bad event: rev=%d purges neither an object nor a group", notice.rev)
                return
            object_ = 0 if asset is None else int(asset, 16) + 1
            self._flushes.append(notice)
            self._forget_flushes()
            self._turned()
            self.post(Purge(object_, group or 0, max(self.clock() - notice.flush.ms, 0.0)))

    def _turned(self) -> None:
        """What decisions rest on has changed: said before anything is decided on it."""
        if self.audit is not None:
            self.audit.turned()

    def _forget_flushes(self) -> None:
        binds = self.settings.purge_done_ms + FLUSH_KEPT_MS
        while self._flushes and self._flushes[0].flush and self._flushes[0].flush.ms + binds < self.clock():
            self._flushes.popleft()

    def notices(self) -> list[Notice]:
        """What a process that starts now has to know of the board: purges that bind, then the whole list."""
        self._forget_flushes()
        told = [instance for instance, _ in self._told.values()]
        purges = [Notice(min(notice.rev, self.rev - 1), flush=notice.flush) for notice in self._flushes]
        return [*purges, Notice(self.rev, Pool(told, reset=True))] if told else purges

    def take_over(self, rev: int, notices: list[Notice]) -> None:
        """From the process before this one, where it has heard more of the board than this one's file tells.
        Purges may come again: a purge that is known changes nothing."""
        if rev <= self.rev:
            return
        for notice in notices:
            if notice.pool is None:
                self.rev = notice.rev - 1
            self.notice(notice)
        self.rev = rev

    def _member(self, told: Instance) -> Member | None:
        state = STATES.get(told.lifecycle)
        if state is None or told.zone not in self.settings.zones:
            log.error("bad event: store %s lifecycle=%s zone=%s", told.instance_id, told.lifecycle, told.zone)
            return None
        return Member(
            told.instance_id, told.zone, told.machine_type, told.cell, state, told.weight, told.started_at_ms
        )

    def _tell(self, told: list[tuple[Instance, Member]], complete: bool) -> None:
        """What the list says, with what operators took out laid over it, to addresses and to the module."""
        if complete:
            self._told.clear()
        for instance, member in told:
            self._seen.add(member.store)
            if member.state is State.GONE:
                self._told.pop(member.store, None)
            else:
                self._told[member.store] = instance, member
        laid = [(instance, self.register.lay(member)) for instance, member in told]
        self._list(laid, complete)
        kind = ListKind.COMPLETE if complete else ListKind.CHANGES
        self.post(Members(kind, tuple(member for _, member in laid)))

    def told(self) -> Mapping[str, tuple[Instance, Member]]:
        """The list, without what operators took out."""
        return self._told

    def has(self, store: str) -> bool:
        """Whether operators may name it: it is listed, was, or is out. Read in the door's thread too."""
        return store in self._seen or store in self.register.out

    def relay(self, store: str) -> None:
        """Operators have taken it out or put it back."""
        if (told := self._told.get(store)) is not None:
            self._tell([told], False)

    def report(self) -> str:
        now, stores = self.clock(), self.router.stores
        down = sum(
            member.state is not State.READY or (name in stores and stores[name].resting(now))
            for name, member in self._listed.items()
        )
        return self.figures.lines(len(self._listed), down, self.more())

    def _list(self, told: list[tuple[Instance, Member]], complete: bool) -> None:
        if complete:
            self._listed.clear()
        gone: list[str] = []
        listings: dict[str, Listing] = {}
        for instance, member in told:
            if member.state is State.GONE:
                self._listed.pop(member.store, None)
                listings.pop(member.store, None)
                gone.append(member.store)
                continue
            self._listed[member.store] = member
            listings[member.store] = Listing(
                member.store,
                instance.host_port,
                member.zone,
                member.kind,
                member.cell,
                member.state is State.READY,
                member.came_up_ms,
                tuple(instance.addresses),
            )
        self._turned()
        self._apply(self.endpoints.tell(listings.values(), gone, complete))
        if self.guard is not None:
            self.guard.listed({s: (m.kind, m.came_up_ms) for s, m in self._listed.items()})

    def retune(self, settings: Settings) -> None:
        """For requests that come from now on; those that are open keep what they came with."""
        self.settings = settings
        # a try under the old settings may still be out: never less than was stated for it
        self.keys.kept_ms = max(self.keys.kept_ms, kept_for(settings.classes.values()))
        self.figures.know(settings.classes)
        self._turned()
        self.router.retune(settings)

    def configure(self, options: Options, rules: Rules) -> None:
        """A new operator's file, as one change."""
        self._apply(self.endpoints.configure(options, rules))

    def _apply(self, change: Change) -> None:
        # a store that left, moved or came up anew: its connections end there, and may do so in silence
        for store in dict.fromkeys((*change.renewed, *change.gone)):
            self.sender.forsake(store)
        for store, address in change.lost:
            self.sender.withdraw(store, address)

    # --- from the upstream side

    def recheck(self, attempt: Attempt) -> End | None:
        """Just before the first byte: a dial takes time, and clients, lists, purges, windows and the clock go
        on meanwhile."""
        now = self.clock()
        if not attempt.exchange.done and attempt.exchange.has_left():
            self.gone(attempt.exchange)
        if attempt.exchange.done:
            return End.SURPLUS
        if attempt.due_ms - now < 1.0:
            return End.EXPIRED
        if not self._ready(attempt.store) or (attempt.source and not self._ready(attempt.source)):
            return End.WITHDRAWN
        request, spec = attempt.exchange.request, attempt.exchange.spec
        if self._past_window(attempt, now):
            return End.EXPIRED
        if self.audit is not None:
            if not self.audit.may(request.cls):
                return End.SHUT_OUT
            attempt.span = self.audit.sent(request.cls)
        if spec.effect is Effect.KEYED and attempt.exchange.ask.key:
            attempt.ran_ms = now
            self.keys.may_have_run(attempt.exchange.ask.key, now, attempt.store)
            if self.key_observer is not None:
                self.key_observer.may_have_run(attempt.exchange.ask.key, now, attempt.store)
        bound = self.router.age_now(now, request, spec.fresh_ms)
        if bound:
            attempt.max_age_ms = min(attempt.max_age_ms or bound, bound)
        if not spec.cacheable:  # a write has no copy, and its answer must not be taken from it
            return None
        purged = self.router.purges.newest(request.cls, request.group, request.object - 1, request.part, now)
        attempt.bound_ms = min(purged, now)
        if self.guard is not None:
            oldest = self.guard.oldest_ms(request.cls)
            usual = attempt.max_age_ms or spec.fresh_ms
            if not usual or oldest < usual:  # 0: copies of any age would do
                attempt.max_age_ms = oldest
            # what a cache joins may be older all the same
            attempt.bound_ms = max(attempt.bound_ms, now - oldest)
        return None

    def _past_window(self, attempt: Attempt, now: float) -> bool:
        """Of a keyed request. The module has looked when it decided; a dial may take longer than a window
        lasts."""
        exchange = attempt.exchange
        if exchange.spec.effect is not Effect.KEYED:
            return False
        ran = [other.written_ms for other in exchange.open.values() if other.written_ms]
        if exchange.ran_ms:
            ran.append(exchange.ran_ms)
        if exchange.ask.key and (first := self.keys.first(exchange.ask.key, now)[0]):
            ran.append(first)
        return is_past_window(ran, now, exchange.spec.window_ms, self.settings.tick_ms + TICK_MS)

    def _ready(self, store: str) -> bool:
        # the register itself: what operators took out holds before this loop has come to lay it over the list
        if store in self.register.out:
            return False
        return store in self._listed and self._listed[store].state is State.READY

    def written(self) -> None:
        self.figures.backend_calls += 1

    def ended(self, attempt: Attempt, end: End, reply: Reply | None = None) -> None:
        """The one place where an attempt ends; the first end counts."""
        exchange = attempt.exchange
        if exchange.open.pop(attempt.number, None) is None:
            return
        if attempt.timer is not None:
            attempt.timer.cancel()  # else it would keep the request and its body until then
        if reply is not None and reply.dated_ms and reply.dated_ms + DATED_SLACK_MS < attempt.bound_ms:
            if STATUS[end] is Status.OK:
                by = attempt.bound_ms - reply.dated_ms
                log.warning("outdated answer store=%s by_ms=%.0f", attempt.store, by)
                end = End.OUTDATED
        if self.audit is not None and exchange.spec.cacheable and STATUS[end] is Status.OK:
            # a write that was answered has run, whatever is known here: its answer is passed on
            if not self.audit.may_answer(exchange.ask.cls):
                end = End.WITHHELD
        status = STATUS[end]
        if status in NEVER_RAN:
            if attempt.ran_ms:
                self.keys.never_ran(exchange.ask.key, attempt.ran_ms, attempt.store)
                if self.key_observer is not None:
                    self.key_observer.never_ran(exchange.ask.key, attempt.ran_ms, attempt.store)
        elif attempt.written_ms:
            exchange.ran_ms = min(exchange.ran_ms or attempt.written_ms, attempt.written_ms)
        if status is Status.OK and reply is not None:
            if self.audit is not None and not exchange.done:
                self.audit.served(exchange.ask.cls, attempt.span)
            exchange.finish(Final(Code.SERVED, reply.body, valid=end is End.STILL_GOOD))
        now = self.clock()
        if self.guard is not None and exchange.spec.cacheable and status not in UNTOLD:
            request, held = exchange.request, status is Status.OK and reply is not None
            self.guard.answered(
                request.cls,
                (request.object, request.part),
                reply.dated_ms if held and reply else 0.0,
                held and now - attempt.sent_ms <= attempt.aim_ms,
            )
        self.post(
            Outcome(
                exchange.request.id,
                attempt.number,
                attempt.store,
                status,
                now - attempt.sent_ms,
                reply.note if reply else Note.UNTOLD,
                reply.source_wait_ms if reply else 0.0,
                exchange.done,
                reply.report if reply else None,
            )
        )

    # --- the module

    def post(self, event: Event) -> None:
        """Events that arise while one is handled wait for it: the module sees them in order."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._busy = False

    def _handle(self, event: Event) -> None:
        if isinstance(event, Outcome) and not event.over:
            # the request may have ended between the attempt's end and now
            exchange = self.live.get(event.id)
            event = replace(event, over=exchange is None or exchange.done)
        try:
            for action in self.router.handle(self.clock(), event):
                self._act(action)
        except Exception:  # a fault ends the request it happened to, and no other
            log.exception("module failed on %s", type(event).__name__)
            if isinstance(event, (Request, Outcome)) and event.id in self.live:
                self._abort(self.live[event.id])
        if isinstance(event, (Outcome, ClientGone)) and event.id in self.live:
            self._settle(self.live[event.id])

    def _act(self, action: object) -> None:
        match action:
            case Fetch():
                source = "" if action.source == action.store else action.source
                flags = (
                    ("coalesce", action.join),
                    ("shallow", action.source_holds_only),
                    ("transit", action.parent_keeps_none),
                    ("freshen", action.renew),
                )
                hints = tuple(word for word, on in flags if on)
                self._send(action, source, action.rank, action.max_age_ms, hints)
            case Lookup():
                self._send(action)
            case Cancel():
                self._cancel(action)
            case Refuse():
                self._finish(action.id, Final(Code.REFUSED, come_back_ms=action.come_back_ms))
            case Fail():
                self._finish(action.id, Final(Code.FAILED))
            case SetTimer():
                self.wheel.at(action.due_ms, partial(self.post, Timer(action.token)))
            case Log():
                log.info("module: %s", action.text)
            case _:  # the board tells everything unasked; probes and messages are not allowed here
                log.debug("passed over %s", type(action).__name__)

    def _send(
        self,
        action: Fetch | Lookup,
        source: str = "",
        rank: int = 0,
        age: float = 0.0,
        hints: tuple[str, ...] = (),
    ) -> None:
        exchange = self.live.get(action.id)
        if exchange is None:
            log.warning("module sent for a request that is over")
            return
        now = self.clock()
        deadline = exchange.request.deadline_ms
        due = min(now + action.timeout_ms, deadline) if action.timeout_ms else deadline
        aim = exchange.spec.aim_for(exchange.request.size_kb, self.settings.flow_kb_per_s)
        attempt = Attempt(exchange, exchange.sends, action.store, now, due, source, rank, age, hints, aim)
        exchange.sends += 1
        exchange.open[attempt.number] = attempt
        if exchange.done or exchange.sends > exchange.most:
            self.ended(attempt, End.SURPLUS)
        elif not self._ready(action.store):
            self.ended(attempt, End.WITHDRAWN)
        else:
            attempt.timer = self.wheel.at(due, lambda: self._give_up(attempt, End.TIMED_OUT))
            self.sender.send(attempt)

    def _cancel(self, action: Cancel) -> None:
        exchange = self.live.get(action.id)
        attempt = exchange.open.get(action.attempt) if exchange else None
        if attempt is not None:
            # the module gives up in the tick in which its attempt times out, and must hear of the time-out:
            # nothing else tells of a store that swallows requests
            due = attempt.due_ms <= self.clock() + TICK_MS
            self._give_up(attempt, End.TIMED_OUT if due else End.CANCELLED)

    def _give_up(self, attempt: Attempt, end: End) -> None:
        if attempt.number in attempt.exchange.open:
            self.sender.abandon(attempt, end)
            self.ended(attempt, end)

    def _finish(self, number: int, final: Final) -> None:
        exchange = self.live.get(number)
        if exchange is not None:
            exchange.finish(final)
            self._settle(exchange)

    def _settle(self, exchange: Exchange) -> None:
        """Only once the module has heard of the end: what it sends before then must be answered as moot."""
        if exchange.done and not exchange.open:
            self.live.pop(exchange.request.id, None)
            if self._by_id.get(exchange.ask.id) is exchange:
                del self._by_id[exchange.ask.id]

    def _sweep(self) -> None:
        """Should the module have failed to end a request in time, it is ended here: at the second look, since
        after a hold-up of the loop the first may come before the module's own timer."""
        now = self.clock()
        for number in self._overdue:
            exchange = self.live.get(number)
            if exchange is not None and not exchange.done:
                log.error("overdue id=%s class=%s", exchange.ask.id, exchange.ask.cls)
                self._abort(exchange)
        self._overdue = [
            number
            for number, exchange in self.live.items()
            if not exchange.done and exchange.request.deadline_ms + OVERDUE_MS < now
        ]
        self.wheel.at(now + OVERDUE_MS, self._sweep)

    def _abort(self, exchange: Exchange) -> None:
        exchange.finish(Final(Code.FAILED))
        self.post(ClientGone(exchange.request.id))  # the module forgets it and takes back its attempts
        for attempt in list(exchange.open.values()):
            self._give_up(attempt, End.CANCELLED)
