"""The director: turns input into events for the router, and the router's decisions into actions.

It has no sockets and makes no routing decisions. `Director` connects its parts and dispatches between them:
`admission` (new requests), `open_exchanges` (requests in flight), `attempt_lifecycle` (attempts),
`list_changes` (discovery), `copy_dates` (purges and dates of copies).
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
from .exchange import AnswerCode, Attempt, ClientRequest, Exchange, FinalAnswer, never_gone
from .interfaces import Audit, Guard, KeyObserver, Sender
from .list_changes import ListChanges
from .open_exchanges import OVERDUE_MS, OpenExchanges

log = logging.getLogger(__name__)


class Director:
    """One director. Times are ms of `clock`, which `timers` uses too. At most `max_keys` idempotency keys are
    remembered. `sender` must be set before the first event."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        timers: TimerWheel,
        endpoints: Endpoints,
        max_keys: int,
    ) -> None:
        self.endpoints = endpoints
        self.settings = settings
        self.router = Router(settings, seed)
        self.clock = clock
        self.timers = timers
        self.sender: Sender
        self.guard: Guard | None = None  # set if the deployment has control servers for purges
        self.audit: Audit | None = None  # set if an operator's file switches it on
        self.key_observer: KeyObserver | None = None  # replicates keys to the other process of a hot restart
        # returns the metrics of parts that operators switched on
        self.extra_metrics: Callable[[], list[tuple[str, int]]] = list
        self.rev = 0  # revision of the latest watch event that was applied
        self.metrics = Metrics()
        self.metrics.add_classes(settings.classes)
        self.register = MaintenanceRegister()
        self.keys = KeyWindows(retention_for(settings.classes.values()), max_keys)
        self.endpoint_list = EndpointList(self.register)
        self.copy_dates = CopyDates(self)
        self.attempt_checks = AttemptChecks(self, self.endpoint_list)
        self.list_changes = ListChanges(self, self.endpoint_list, self.copy_dates)
        self._admission = Admission(self)
        self._attempts = AttemptLifecycle(
            self, self.endpoint_list, self.attempt_checks, self.copy_dates, self._admission
        )
        self._exchanges = OpenExchanges()
        self._events: deque[Event] = deque()
        self._is_handling = False
        timers.repeat(OVERDUE_MS, self._end_overdue)

    @property
    def live(self) -> Mapping[int, Exchange]:
        """The exchanges in flight, by number."""
        return self._exchanges.by_number

    # --- from the client side

    def admit(
        self,
        client_request: ClientRequest,
        deliver: Callable[[FinalAnswer], None],
        is_client_gone: Callable[[], bool] = never_gone,
    ) -> Exchange:
        """Admits or rejects a request that was read completely. `deliver` is called with its one final
        answer, possibly before this returns. `is_client_gone` is called just before each attempt."""
        now = self.clock()
        request = self._admission.create_request(client_request, now, self.timers.margin())
        exchange = Exchange(
            client_request,
            request,
            deliver,
            self.settings.classes[client_request.cls],
            self.settings.max_attempts,
            metrics=self.metrics,
            is_client_gone=is_client_gone,
        )
        self.metrics.inflight += 1
        rejection = self._admission.rejection(exchange, now)
        if rejection is not None:
            exchange.finish(rejection)
            return exchange
        self._exchanges.add(exchange)
        self.post(request)
        return exchange

    def reject_keys_until(self, until_ms: float) -> None:
        """Rejects all requests with an idempotency key until `until_ms`."""
        self._admission.reject_keys_until(until_ms)

    def conflicts_with_open_request(self, client_request: ClientRequest) -> bool:
        """Whether an open request with the same id is for another object part."""
        return self._exchanges.conflicts_with_open_request(client_request)

    def handle_disconnect(self, exchange: Exchange) -> None:
        """Ends a request whose client has disconnected. Attempts that were not written yet are ended too,
        even if the router may not cancel them, since nothing was sent."""
        if exchange.done:
            return
        exchange.finish(None)
        self.post(ClientDisconnected(exchange.request.id))
        for attempt in list(exchange.open.values()):
            if attempt.written_ms:
                self.sender.cancel_unsent(attempt)
            else:
                self._attempts.abandon(attempt, AttemptOutcome.SURPLUS)

    def has_pending(self) -> bool:
        """Whether a request is unanswered."""
        return self._exchanges.has_pending()

    def fail_open_requests(self) -> None:
        """Answers all open requests as failed."""
        for exchange in self._exchanges.pending():
            self._try_abort(exchange)

    # --- from discovery and from operators

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Applies an event of discovery. An event that was applied before has no effect."""
        self.list_changes.apply(event)

    def watch_events(self) -> list[WatchEvent]:
        """The events that pass the known state of discovery on to a successor."""
        return self.list_changes.events()

    def take_over(self, rev: int, events: list[WatchEvent]) -> None:
        """Applies the watch events of a predecessor up to `rev`, if that is later than `self.rev`."""
        self.list_changes.take_over(rev, events)

    def latest_date(self) -> UnixMs:
        """The platform's current date, or a later one if it is not known exactly. Also called from the thread
        of the admin endpoint."""
        return self.copy_dates.latest()

    def known_endpoints(self) -> Mapping[str, tuple[Instance, Member]]:
        """The endpoint list as discovery sent it, without the operators' maintenance."""
        return self.endpoint_list.known

    def has(self, store: str) -> bool:
        """Whether operators may name this server. Also called from the thread of the admin endpoint."""
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
        return self.metrics.render(len(listed), down, self.extra_metrics())

    def retune(self, settings: Settings) -> None:
        """Changes the settings for new requests. Open requests keep theirs."""
        self.settings = settings
        # the retention never shrinks, since attempts under the old settings may still be open
        self.keys.retention_ms = max(self.keys.retention_ms, retention_for(settings.classes.values()))
        self.metrics.add_classes(settings.classes)
        self.list_changes.refresh_view()
        self.router.retune(settings)

    def configure(self, options: Options, rules: Rules) -> None:
        """Applies an operator's file to the addresses of servers."""
        self.list_changes.apply_address_change(self.endpoints.configure(options, rules))

    # --- from the connections to servers

    def check_before_write(self, attempt: Attempt) -> AttemptOutcome | None:
        """Called just before the first byte of an attempt is written. Returns the outcome with which the
        attempt ends unwritten; None if it may be written."""
        exchange = attempt.exchange
        if not exchange.done and exchange.is_client_gone():
            self.handle_disconnect(exchange)
        return self._attempts.check_before_write(attempt)

    def written(self) -> None:
        """Counts an attempt whose last byte has left the process."""
        self.metrics.backend_calls += 1

    def ended(self, attempt: Attempt, outcome: AttemptOutcome, reply: Reply | None = None) -> None:
        """Ends an attempt. Only the first call for an attempt has an effect."""
        self._attempts.end(attempt, outcome, reply)

    # --- the router

    def post(self, event: Event) -> None:
        """Passes an event to the router. Events that arise while one is handled are handled after it, in
        order."""
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
            actions = self.router.handle(self.clock(), event)
        except Exception:  # an error ends only the request that it concerns
            log.exception("the router failed to handle %s", type(event).__name__)
            self._abort_request_of(event)
            # the periodic work of the router depends on the timers that it has set
            actions = [action for action in self.router.context.actions if isinstance(action, SetTimer)]
        for action in actions:
            try:
                self._execute(action)
            except Exception:
                log.exception("failed to execute %s", type(action).__name__)
                self._abort_request_of(event)
        if isinstance(event, (Outcome, ClientDisconnected)) and event.id in self.live:
            self._exchanges.remove_if_settled(self.live[event.id])

    def _abort_request_of(self, event: Event) -> None:
        if isinstance(event, (Request, Outcome)) and event.id in self.live:
            self._abort(self.live[event.id])

    def _execute(self, action: Action) -> None:
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
                log.info("router: %s", action.text)
            case _:  # discovery needs no polling; health checks and messages are not available here
                log.debug("ignored an action of the router: %s", type(action).__name__)

    def _send(self, action: Fetch | Lookup) -> None:
        exchange = self.live.get(action.id)
        if exchange is None:
            log.warning("the router sent an attempt for a request that has ended")
        else:
            self._attempts.send(exchange, action)

    def _finish(self, number: int, final: FinalAnswer) -> None:
        exchange = self.live.get(number)
        if exchange is not None:
            exchange.finish(final)
            # not while attempts are open: an attempt that the router sends before it learns of the end must
            # still find the exchange and end as moot
            self._exchanges.remove_if_settled(exchange)

    def _end_overdue(self) -> None:
        """Ends requests that the router failed to end in time. Called periodically."""
        for exchange in self._exchanges.take_overdue(self.clock()):
            log.error("overdue id=%s class=%s", exchange.ask.id, exchange.ask.cls)
            self._try_abort(exchange)

    def _try_abort(self, exchange: Exchange) -> None:
        """Ends a request. An error in that must not leave other requests without an answer."""
        try:
            self._abort(exchange)
        except Exception:
            log.exception("failed to end a request id=%s", exchange.ask.id)

    def _abort(self, exchange: Exchange) -> None:
        exchange.finish(FinalAnswer(AnswerCode.FAILED))
        self.post(
            ClientDisconnected(exchange.request.id)
        )  # the router drops the request and cancels its attempts
        for attempt in list(exchange.open.values()):
            self._attempts.abandon(attempt, AttemptOutcome.CANCELLED)
