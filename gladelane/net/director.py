"""The director: turns what happens into events for the router, and the router's decisions into actions.

It has no socket and decides nothing. `Director` connects its parts and dispatches between them: `admission`
(requests), `open_exchanges` (requests in flight), `attempt_lifecycle` (attempts), `list_changes` (discovery),
`copy_dates` (purges and dates of copies).
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial

from ..admin.maintenance import MaintenanceRegister
from ..admin.metrics import Metrics
from ..clock import UnixMs
from ..discovery.events import Instance, WatchEvent
from ..endpoints.plan import Endpoints, Options
from ..endpoints.rules import Rules
from ..routing.events import (
    Action,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    Log,
    Lookup,
    Member,
    Outcome,
    Refuse,
    Request,
    SetTimer,
    Settings,
    State,
    Timer,
)
from ..routing.idempotency import KeyWindows, retention_for
from ..routing.router import Router
from ..timer_wheel import TimerWheel
from .admission import Admission
from .attempt_checks import AttemptChecks
from .attempt_lifecycle import AttemptLifecycle
from .attempt_outcomes import AttemptOutcome
from .cache_protocol import Reply
from .copy_dates import CopyDates
from .endpoint_list import EndpointList
from .exchange import AnswerCode, Attempt, ClientRequest, Exchange, FinalAnswer, never
from .interfaces import Audit, Guard, KeyObserver, Sender
from .list_changes import ListChanges
from .open_exchanges import OVERDUE_MS, OpenExchanges

log = logging.getLogger(__name__)


class Director:
    """One director. Times are ms of `clock`, which `timers` share; `keys_most` is how many idempotency keys
    are remembered. `sender` must be set before the first event."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
        keys_most: int,
    ) -> None:
        self.endpoints = endpoints
        self.settings = settings
        self.router = Router(settings, seed)
        self.clock = clock
        self.timers = timers
        self.sender: Sender
        self.guard: Guard | None = None  # where the deployment has control servers for purges
        self.audit: Audit | None = None  # where an operator's file has it
        self.key_observer: KeyObserver | None = None  # the other process during a hot restart
        self.more: Callable[[], list[tuple[str, int]]] = list  # metrics of parts that operators switched on
        self.rev = 0  # of the latest watch event that was applied
        self.metrics = Metrics()
        self.metrics.add_classes(settings.classes)
        self.register = MaintenanceRegister()
        self.keys = KeyWindows(retention_for(settings.classes.values()), keys_most)
        self.endpoint_list = EndpointList(self.register)
        self.copy_dates = CopyDates(self)
        self.attempt_checks = AttemptChecks(self, self.endpoint_list)
        self.list_changes = ListChanges(self, self.endpoint_list, self.copy_dates)
        self._admission = Admission(self)
        self._attempts = AttemptLifecycle(self, self.endpoint_list, self.attempt_checks, self.copy_dates)
        self._exchanges = OpenExchanges()
        self._events: deque[Event] = deque()
        self._is_handling = False
        self._sweep()

    @property
    def live(self) -> Mapping[int, Exchange]:
        """The exchanges in flight, by number."""
        return self._exchanges.by_number

    # --- from the client side

    def admit(
        self, ask: ClientRequest, deliver: Callable[[FinalAnswer], None], has_left: Callable[[], bool] = never
    ) -> Exchange:
        """Admits or rejects a request whose last byte has been read. `deliver` is called with its one final
        answer, perhaps before this returns; `has_left` is called just before each attempt for it."""
        now = self.clock()
        request = self._admission.request_of(ask, now, self.timers.margin())
        exchange = Exchange(
            ask,
            request,
            deliver,
            self.settings.classes[ask.cls],
            self.settings.max_attempts,
            metrics=self.metrics,
            has_left=has_left,
        )
        self.metrics.inflight += 1
        rejection = self._admission.rejection(exchange, now)
        if rejection is not None:
            exchange.finish(rejection)
            return exchange
        self._exchanges.add(exchange)
        self.post(request)
        return exchange

    def refuse_keyed_until(self, until_ms: float) -> None:
        """Rejects all requests with an idempotency key until then."""
        self._admission.reject_keys_until(until_ms)

    def disputes(self, ask: ClientRequest) -> bool:
        """Whether the request's id is open for another object part."""
        return self._exchanges.disputes(ask)

    def gone(self, exchange: Exchange) -> None:
        """The client has gone. Attempts that wait for a dial are given up, also those that the router may not
        cancel, since nothing was sent yet."""
        if exchange.done:
            return
        exchange.finish(None)
        self.post(ClientDisconnected(exchange.request.id))
        for attempt in list(exchange.open.values()):
            if attempt.written_ms:
                self.sender.cancel_unsent(attempt)
            else:
                self._attempts.give_up(attempt, AttemptOutcome.SURPLUS)

    def has_pending(self) -> bool:
        """Whether a request is unanswered."""
        return self._exchanges.has_pending()

    def end_all(self) -> None:
        """Answers all requests that are open as failed."""
        for exchange in self._exchanges.pending():
            self._abort(exchange)

    # --- from discovery and from operators

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Applies an event of discovery; one that was applied before changes nothing."""
        self.list_changes.apply(event)

    def watch_events(self) -> list[WatchEvent]:
        """What a successor has to know of discovery."""
        return self.list_changes.events()

    def take_over(self, rev: int, events: list[WatchEvent]) -> None:
        """Applies the watch events of a predecessor up to revision `rev`, if it is later than ours."""
        self.list_changes.take_over(rev, events)

    def latest_date(self) -> UnixMs:
        """The platform's date now, rather too late than too early. Called from the admin endpoint's thread
        too."""
        return self.copy_dates.latest()

    def known_endpoints(self) -> Mapping[str, tuple[Instance, Member]]:
        """The endpoint list as discovery has it, without maintenance."""
        return self.endpoint_list.known

    def has(self, store: str) -> bool:
        """Whether operators may name this server. Called from the admin endpoint's thread too."""
        return self.endpoint_list.has(store)

    def relay(self, store: str) -> None:
        """Applies a server's changed maintenance state to routing."""
        self.list_changes.relay(store)

    def report(self) -> str:
        """All metrics as text."""
        now, stores, listed = self.clock(), self.router.stores, self.endpoint_list.listed
        down = sum(
            member.state is not State.READY or (name in stores and stores[name].is_ejected(now))
            for name, member in listed.items()
        )
        return self.metrics.render(len(listed), down, self.more())

    def retune(self, settings: Settings) -> None:
        """Changes the settings for requests that come from now on; open ones keep theirs."""
        self.settings = settings
        # an attempt under the old settings may be open: never shorter than was promised for it
        self.keys.retention_ms = max(self.keys.retention_ms, retention_for(settings.classes.values()))
        self.metrics.add_classes(settings.classes)
        self.list_changes.refresh_view()
        self.router.retune(settings)

    def configure(self, options: Options, rules: Rules) -> None:
        """Applies an operator's file to the addresses of servers."""
        self.list_changes.apply_address_change(self.endpoints.configure(options, rules))

    # --- from the connections to servers

    def recheck(self, attempt: Attempt) -> AttemptOutcome | None:
        """Just before an attempt's first byte: how it ends unwritten; None: it may be written."""
        exchange = attempt.exchange
        if not exchange.done and exchange.has_left():
            self.gone(exchange)
        return self._attempts.check_before_write(attempt)

    def written(self) -> None:
        """The last byte of an attempt has left."""
        self.metrics.backend_calls += 1

    def ended(self, attempt: Attempt, end: AttemptOutcome, reply: Reply | None = None) -> None:
        """An attempt has ended; only the first call for it counts."""
        self._attempts.end(attempt, end, reply)

    # --- the router

    def post(self, event: Event) -> None:
        """Passes an event to the router. Events that arise while one is handled follow it, in order."""
        self._events.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling = False

    def _handle(self, event: Event) -> None:
        if isinstance(event, Outcome) and not event.over:
            # the request may have been answered while the event was queued
            exchange = self.live.get(event.id)
            event = replace(event, over=exchange is None or exchange.done)
        try:
            for action in self.router.handle(self.clock(), event):
                self._act(action)
        except Exception:  # an error ends the request that it concerns, and no other
            log.exception("module failed on %s", type(event).__name__)
            if isinstance(event, (Request, Outcome)) and event.id in self.live:
                self._abort(self.live[event.id])
        if isinstance(event, (Outcome, ClientDisconnected)) and event.id in self.live:
            self._exchanges.remove_if_settled(self.live[event.id])

    def _act(self, action: Action) -> None:
        match action:
            case Fetch() | Lookup():
                self._send(action)
            case Cancel():
                if (exchange := self.live.get(action.id)) is not None:
                    self._attempts.cancel(exchange, action)
            case Refuse():
                self._finish(action.id, FinalAnswer(AnswerCode.REFUSED, retry_after_ms=action.retry_after_ms))
            case Fail():
                self._finish(action.id, FinalAnswer(AnswerCode.FAILED))
            case SetTimer():
                self.timers.schedule(action.due_ms, partial(self.post, Timer(action.token)))
            case Log():
                log.info("module: %s", action.text)
            case _:  # discovery sends everything unasked; health checks and messages are not available here
                log.debug("passed over %s", type(action).__name__)

    def _send(self, action: Fetch | Lookup) -> None:
        exchange = self.live.get(action.id)
        if exchange is None:
            log.warning("module sent for a request that is over")
        else:
            self._attempts.send(exchange, action)

    def _finish(self, number: int, final: FinalAnswer) -> None:
        exchange = self.live.get(number)
        if exchange is not None:
            exchange.finish(final)
            # not while attempts are open: what the router sends before it learns of the end must end as moot
            self._exchanges.remove_if_settled(exchange)

    def _sweep(self) -> None:
        """Ends requests that the router failed to end in time."""
        now = self.clock()
        for exchange in self._exchanges.take_overdue(now):
            log.error("overdue id=%s class=%s", exchange.ask.id, exchange.ask.cls)
            self._abort(exchange)
        self.timers.schedule(now + OVERDUE_MS, self._sweep)

    def _abort(self, exchange: Exchange) -> None:
        exchange.finish(FinalAnswer(AnswerCode.FAILED))
        self.post(ClientDisconnected(exchange.request.id))  # the router forgets it and cancels its attempts
        for attempt in list(exchange.open.values()):
            self._attempts.give_up(attempt, AttemptOutcome.CANCELLED)
