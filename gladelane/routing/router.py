"""Dispatches each event to the parts that make the decisions. The interface (settings, events, actions) is
gladelane/routing/events.py.

The parts, each a module of this package:
  cache_admission     which fills a cache keeps: request counts, utility and ranks
  request_work        estimates of the work of a request
  selection           choice of cache and source by rendezvous hashing, with spill-over
  freshness           the age limit of copies after purges
  attempts            sending attempts; `retries` has the budgets, backoff and repetition rules
  load_shedding       capacity by class, and rejections with a Retry-After
  outlier_detection   failure scores and ejection
  latency_feedback    adaptation of concurrency limits to latency
  endpoint_updates    changes to the endpoint list
  housekeeping        periodic work
They share a `context.RoutingContext` and the `request_state.RequestTable`. The ordinary path is the algorithm
LUULRU-Fetch of the edge collaborative caching paper (docs/design.md says which parts are used).
"""

from __future__ import annotations

import random

from ..purges.index import Index
from ..purges.purge_index import PurgeIndex
from .attempts import Attempts, SendingParts
from .cache_admission import CacheAdmission
from .concurrency_limit import ConcurrencyLimit
from .context import (
    DEADLINE_TIMER,
    HEDGE_TIMER,
    LIST_TOKEN,
    SWEEP_TOKEN,
    RoutingContext,
    directors_in_zone,
)
from .endpoint_updates import EndpointUpdates
from .events import (
    NEVER_RAN,
    Action,
    ClientDisconnected,
    Event,
    Members,
    Outcome,
    Purge,
    Request,
    SetTimer,
    Settings,
    Started,
    Status,
    Subscribe,
    Timer,
    is_informative_timeout,
)
from .freshness import Freshness
from .housekeeping import Housekeeping
from .latency_feedback import LatencyFeedback
from .load_shedding import LoadShedding
from .outlier_detection import OutlierDetection
from .request_state import PendingRequest, RequestTable
from .request_work import WorkEstimates
from .retries import RepeatRules, RetryBudgets
from .selection import FillLimits, Selection, hash_key
from .slow_start import ColdBudgets
from .store import LimitDivision, Store
from .store_list import StoreList

#: Share of late fills among all fills of a zone above which its ingress link is congested. A few slow caches
#: stay below it.
INGRESS_MAX_LATENESS = 0.2


class Router:
    """The decisions of one director. `handle` takes the clock and one event and returns what to do."""

    def __init__(self, settings: Settings, seed: int, purges: PurgeIndex | None = None) -> None:
        """`purges` may be shared with other users of the index; without it, only `Purge` events are
        applied."""
        rng = random.Random(seed)
        directors = directors_in_zone(settings)
        self.store_list = StoreList(settings, LimitDivision(max(directors, 1), rng.random))
        cold = ColdBudgets(settings, directors, rng)
        self.context = RoutingContext(settings, self.store_list, cold, directors)
        self.ingress_limit = ConcurrencyLimit(INGRESS_MAX_LATENESS, rng.random)
        self.requests = RequestTable()
        self.admission = CacheAdmission(self.context)
        self.freshness = Freshness(self.context, Index() if purges is None else purges)
        self.work = WorkEstimates(self.context, self.admission.objects)
        self.shedding = LoadShedding(self.context, self.requests, self.work.mean_ms, rng)
        self.budgets = RetryBudgets()
        fill_limits = FillLimits(self.context, self.ingress_limit)
        self.attempts = self._make_attempts(fill_limits)
        self.outliers = OutlierDetection(self.context)
        self.latency = LatencyFeedback(self.context, fill_limits)
        self.endpoint_updates = EndpointUpdates(self.context, self.ingress_limit)
        self.housekeeping = Housekeeping(self.context, self.admission, self.purges)
        self.stores = self.store_list.stores
        self.caches, self.parents = self.store_list.caches, self.store_list.parents
        self.pending, self.lingering = self.requests.pending, self.requests.lingering
        self.objects = self.admission.objects
        self._is_started = False

    def _make_attempts(self, fill_limits: FillLimits) -> Attempts:
        rules = RepeatRules(self.context)
        selection = Selection(self.context, self.shedding, rules, fill_limits)
        parts = SendingParts(
            self.admission, self.freshness, self.shedding, selection, fill_limits, self.budgets, rules
        )
        return Attempts(self.context, parts)

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self.context.settings

    @settings.setter
    def settings(self, settings: Settings) -> None:
        self.context.settings = settings

    @property
    def cold(self) -> ColdBudgets:
        """The slow start budgets of servers that started recently."""
        return self.context.cold

    @cold.setter
    def cold(self, budgets: ColdBudgets) -> None:
        self.context.cold = budgets

    @property
    def origin(self) -> Store | None:
        """The origin that is in use."""
        return self.store_list.origin

    @property
    def purges(self) -> PurgeIndex:
        """The active purges; objects are numbered from 0 there."""
        return self.freshness.purges

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Processes an event that happens at `now_ms`; returns the actions to take, in order."""
        self.context.now_ms = now_ms
        actions = self.context.actions = []
        if not self._is_started:
            self._start()
        match event:
            case Request():
                self.on_request(event)
            case Outcome():
                self.on_outcome(event)
            case Timer():
                self.on_timer(event.token)
            case Members():
                self.endpoint_updates.apply(event)
            case Purge():
                self.freshness.add_purge(event)
            case ClientDisconnected():
                self.shedding.end_request(event.id)
            case Started():
                self.requests.mark_started(event.id)
            case _:
                pass
        return actions

    def retune(self, settings: Settings) -> None:
        """Applies new settings to requests that arrive from now on."""
        self.settings = settings
        self.shedding.retune(settings)

    def current_age_bound(self, now_ms: float, request: Request, fresh_ms: float) -> float:
        """The age bound of a request that is sent some time after the decision, as a purge may have arrived
        since then."""
        self.context.now_ms = now_ms
        return self.freshness.age_bound(request, fresh_ms)[0]

    def on_request(self, request: Request) -> None:
        """Makes the first attempt of a new request, or rejects the request."""
        context = self.context
        spec = context.settings.get_class(request.cls)
        work_ms = self.work.estimate(request, spec)
        self.shedding.learn_value(spec.name)
        objective_ms = min(spec.aim_ms + spec.aim_stretch * work_ms, spec.deadline_ms)
        work = context.cold.work(spec.name, work_ms)
        max_attempts = context.settings.max_attempts
        pending = PendingRequest(request, spec, context.now_ms, objective_ms, max_attempts, work)
        if request.ran_ms:  # all requests with the same key share one window
            pending.mark_may_have_run(request.ran_ms, request.ran_at)
        self.requests.pending[request.id] = pending
        context.emit(SetTimer(f"{DEADLINE_TIMER}:{request.id}", request.deadline_ms))
        self.budgets.earn()
        if spec.cacheable:
            self.admission.count_request(request)
        pending.is_recent_key = self.store_list.record_key(hash_key(request))
        self.attempts.advance(pending)

    def on_timer(self, token: str) -> None:
        """Does the work of a timer that this router set."""
        if token == SWEEP_TOKEN:
            self.housekeeping.sweep()
        elif token == LIST_TOKEN:
            self.context.emit(Subscribe(True))
        else:
            timer, _, number = token.partition(":")
            pending = self.requests.pending.get(int(number))
            if pending is not None and not pending.has_started:
                self._on_request_timer(timer, pending)

    def _on_request_timer(self, timer: str, pending: PendingRequest) -> None:
        if timer == DEADLINE_TIMER:
            self.shedding.give_up(pending)
        elif timer == HEDGE_TIMER:
            self.attempts.hedge(pending)
        elif not pending.in_flight:
            self.attempts.advance(pending)

    def on_outcome(self, event: Outcome) -> None:
        """Learns from the outcome of an attempt, and ends or retries its request."""
        pending = self.requests.pending.get(event.id)
        attempt = self.requests.take_attempt(event.id, event.attempt)
        if attempt is None:
            return
        for limit in attempt.limits:
            limit.release()
        waited_ms = attempt.elapsed_ms(self.context.now_ms, event.unread_ms)
        if event.status is not Status.TIMEOUT or is_informative_timeout(waited_ms, attempt.objective_ms):
            store = self.store_list.stores.get(event.store)
            if store:
                self.latency.learn(attempt, event, store)
            self.outliers.record_outcome(pending, attempt, event, store)
        if pending is None:
            return
        if event.over or event.status is Status.OK:
            self._end_request(pending, event)
            return
        if event.status not in NEVER_RAN and not pending.may_have_run:
            pending.mark_may_have_run(attempt.sent_ms, attempt.store)
        if event.status is Status.SUPERSEDED:
            self.attempts.record_superseded(pending, event.store)
        if not pending.in_flight:
            self.attempts.advance(pending, event)

    def _end_request(self, pending: PendingRequest, event: Outcome) -> None:
        if event.status is Status.OK and pending.spec.cacheable:
            self.work.learn_elapsed(pending)
            self.admission.add_utility(pending, event.note)
        self.shedding.end_request(event.id)

    def _start(self) -> None:
        self._is_started = True
        self.housekeeping.start()
        if self.context.settings.subscribe:
            self.context.emit(Subscribe(True))
