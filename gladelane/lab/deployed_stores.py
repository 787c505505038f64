"""The stores of a generated deployment and the network in front of them.

`StoreSide` implements `virtual_sender.World`, into which virtual senders write. It drives the models of
`lab.model`; `ColdFalls` decides whether a store in slow start is overloaded.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from ..clock import UnixMs
from ..net.attempt_outcomes import AttemptOutcome
from ..routing.events import Member, Note, Settings, State, Status
from .cold_falls import ColdFalls, ColdRule
from .deployed_clocks import WallClock
from .deployments import (
    OBJECTS_OF_CLASS,
    Deployment,
    Fault,
    StoreSpec,
    class_of,
    group_of,
)
from .model.pipe import Pipe
from .model.stores import Build, Cache, Filled, Origin, Parent, PartKey, Work
from .model.timeline import Timeline
from .virtual_sender import Sent

FILL_PACE = 3.0  # rate of a fill, as a multiple of the rate of a transfer to a client
SIZE_SIGMA = 0.7  # standard deviation of the logarithm of sizes
ERROR_MS = 2.0  # until a failing store answers with an error
AGEING_FROM = 0.8  # part of the fresh time after which a copy is renewed in the background
MAX_CACHED_AT_START = 25  # objects of each class in a store when the run begins
OLDEST_AT_START_MS = 20_000.0  # the greatest age of these copies


@dataclass(slots=True, eq=False)
class Store:
    """The true state of a store. `member` is its latest entry in the endpoint list, which reaches directors
    later."""

    spec: StoreSpec
    model: Cache | Parent | None  # None for the origin
    member: Member
    up: bool = True
    started_ms: float = 0.0
    fallen: bool = False  # overloaded in slow start or removed: it does not restart
    silent: bool = False  # receives, but never answers
    error_part: float = 0.0  # part of its requests that it answers with an error


class StoreSide:
    """All stores of a deployment. `fallen` is called with a store that is overloaded in slow start."""

    def __init__(
        self,
        deployment: Deployment,
        line: Timeline,
        rng: random.Random,
        falls: ColdFalls,
        fallen: Callable[[Store], None],
    ) -> None:
        self.deployment, self.line, self.rng = deployment, line, rng
        self.falls, self._fallen = falls, fallen
        self.settings: Settings = deployment.settings(0)
        self.flow = self.settings.flow_kb_per_s / 1000.0  # KB per ms
        self.broken_off: Callable[[Sent], None] = _nothing  # called with an attempt that meets no process
        self._specs = list(self.settings.classes.values())
        self._cold_cache, self._cold_parent = cold_rules(self.settings)
        self._sizes: dict[PartKey, float] = {}
        self._works: dict[Sent, Work] = {}
        self._origin_clock = WallClock(deployment.origin.name, deployment.clocks.steps, line.now)
        self._make_stores()

    # --- construction

    def _make_stores(self) -> None:
        plan, line = self.deployment, self.line
        wide = self.flow * FILL_PACE
        self.origin = Origin(
            line,
            plan.origin_spec.workers,
            plan.origin_spec.service_ms,
            plan.origin_spec.max_requests,
            Pipe(line, self.flow * plan.origin_spec.link, wide),
        )
        self.inlets = {z: Pipe(line, self.flow * link, wide) for z, link in plan.inlets.items()}
        self.stores: dict[str, Store] = {}
        for spec in (*plan.caches, *plan.joining):
            cache = Cache(self.inlets[spec.zone], plan.most_fills, line, self._build_cache(spec))
            self._add_store(spec, cache)
        for spec in plan.parents:
            self._add_store(spec, Parent(self.origin, line, self._build_parent(spec)))
        self._add_store(plan.origin, None)

    def _build_cache(self, spec: StoreSpec) -> Build:
        link, s = self.flow * spec.link, self.settings
        return Build(self.deployment.cache_storage_kb, link, self.flow, s.cold_from, s.warm_after_ms)

    def _build_parent(self, spec: StoreSpec) -> Build:
        link, s = self.flow * spec.link, self.settings
        storage_kb = self.deployment.parent_storage_kb
        return Build(storage_kb, link, self.flow * FILL_PACE, s.parent_cold_from, s.parent_cold_ms)

    def _add_store(self, spec: StoreSpec, model: Cache | Parent | None) -> None:
        started = self.line.now - spec.age_ms if spec.age_ms else 0.0
        member = Member(spec.name, spec.zone, spec.kind, spec.cell, State.READY, spec.weight, started)
        self.stores[spec.name] = Store(spec, model, member, started_ms=started)

    def fill_at_start(self) -> None:
        """Fills running stores with random copies of popular objects, at the lowest rank."""
        for store in self.stores.values():
            if store.model is None or store.started_ms or not store.up:
                continue
            for place, load in enumerate(self.deployment.classes):
                if not self._specs[place].cacheable:
                    continue
                for object_ in range(min(load.objects, MAX_CACHED_AT_START)):
                    key = place * OBJECTS_OF_CLASS + object_, self.rng.randrange(load.parts)
                    dated = self.line.now - self.rng.uniform(0.0, OLDEST_AT_START_MS)
                    store.model.copies.keep(key, 1, self.size(key), dated)

    # --- starts, crashes and purges

    def begin_cold(self, store: Store) -> None:
        """Starts a cache or parent with an empty cache, in slow start."""
        if store.model is None:
            return
        store.model.start()
        rule = self._cold_parent if isinstance(store.model, Parent) else self._cold_cache
        self.falls.started(store.spec.name, store.started_ms, store.spec.link, rule)

    def stop(self, store: Store) -> None:
        """Crashes a store: it loses its copies and all work in progress."""
        store.up = False
        self.falls.stopped(store.spec.name)
        if store.model is not None:
            store.model.crash()

    def purge(self, store: Store, fault: Fault, before_ms: float) -> None:
        """Schedules the removal of the purged copies, after a random delay within the limit of the
        settings."""
        model = store.model
        if model is not None:
            drop = self.rng.uniform(0.2, 1.0) * self.settings.purge_done_ms
            self.line.after(drop, partial(_drop, model, fault, before_ms))

    def _reached(self, store: Store, sent: Sent) -> bool:
        """Counts work that reached a store; False if the store is overloaded by it and crashes."""
        work = self.deployment.mean_work_ms(class_of(object_of(sent)))
        is_informed = self.falls.is_informed(sent.director, store.spec.name)
        if not self.falls.reached(store.spec.name, work, is_informed, self.line.now):
            return True
        store.fallen = True
        self._fallen(store)
        return False

    # --- the network, called by the senders

    def way(self, zone: str, store: str) -> float:
        """Draws the one-way delay in ms between a zone and a store."""
        net = self.deployment.network
        way = net.near_ms if self.stores[store].spec.zone == zone else net.far_ms
        return way * (1.0 + net.jitter * self.rng.random())

    def dial_ms(self, zone: str, store: str) -> float:
        """Draws the time until a connection is established."""
        net = self.deployment.network
        slow = net.slow_dial_ms if self.rng.random() < net.slow_dial_chance else 0.0
        return 2.0 * self.way(zone, store) + slow

    def dial_end(self, store: str) -> AttemptOutcome | None:
        """How a connection attempt fails that reaches the store now; None if it succeeds."""
        one = self.stores[store]
        if one.silent:
            return AttemptOutcome.DIAL_TIMED_OUT
        return None if one.up else AttemptOutcome.REFUSED

    def answer_ms(self, sent: Sent) -> float | None:
        """Draws the delay of an answer; None if it is lost."""
        net = self.deployment.network
        if self.rng.random() < net.lost_answer_chance or self.stores[sent.store].silent:
            return None
        late = net.late_answer_ms if self.rng.random() < net.late_answer_chance else 0.0
        return self.way(sent.zone, sent.store) + late

    def copy_date(self, given_out_ms: float) -> UnixMs:
        """The date that the origin's wall clock gave to a copy sent out at this moment."""
        return self._origin_clock.date_at(given_out_ms)

    def aborted(self, sent: Sent) -> None:
        """The store learns that an attempt was given up. A cache stops its transfer, but not a fill; other
        stores finish the work."""
        work = self._works.pop(sent, None)
        if work is not None and not work.over:
            work.over = True
            model = self.stores[sent.store].model
            if isinstance(model, Cache):
                model.abort(work)

    # --- requests that reach a store

    def arrived(self, sent: Sent) -> None:
        """An attempt reached its store, which begins to serve it unless it is down or silent."""
        store = self.stores[sent.store]
        if store.silent:
            return
        if not store.up:
            self.broken_off(sent)
            return
        if not self._reached(store, sent) or sent.given_up:
            return
        key = object_of(sent), sent.attempt.exchange.request.part
        work = Work(key, self.size(key), partial(self._answer, sent), least_date=self._least_date(sent))
        self._works[sent] = work
        if self.rng.random() < store.error_part:
            self.line.after(ERROR_MS, partial(work.finish, Status.ERROR))
        elif store.model is None:
            self.origin.fetch(work.size, partial(_finish_straight, work))
        elif isinstance(store.model, Parent):
            straight = partial(_finish_straight, work)
            store.model.get(key, work.size, self._oldest(sent), straight, not sent.source)
        else:
            self._serve(store.model, sent, work)

    def _serve(self, cache: Cache, sent: Sent, work: Work) -> None:
        spec, oldest = sent.attempt.exchange.spec, self._oldest(sent)
        fill = partial(self._fetch_from_source, sent, work) if sent.source else None
        rank = sent.rank if spec.cacheable else 0
        cached_ms = cache.cached_date(work.key, oldest)
        ageing = cached_ms is not None and self.line.now - cached_ms >= spec.fresh_ms * AGEING_FROM > 0.0
        cache.serve(work, rank, oldest, "coalesce" in sent.hints and self.settings.joins, fill)
        if ageing and "freshen" in sent.hints and fill is not None:
            cache.renew(work.key, work.size, rank, fill)

    def _oldest(self, sent: Sent) -> float:
        """The date of the oldest copy that may be the answer."""
        spec = sent.attempt.exchange.spec
        if not spec.cacheable:
            return float("inf")
        age = sent.max_age_ms or spec.fresh_ms
        if spec.fresh_ms:
            age = min(age, spec.fresh_ms + spec.grace_ms)
        return self.line.now - age if age else 0.0

    def _least_date(self, sent: Sent) -> float:
        spec = sent.attempt.exchange.spec
        return self.line.now - spec.fresh_ms - spec.grace_ms if spec.fresh_ms and spec.cacheable else 0.0

    def _fetch_from_source(self, sent: Sent, work: Work, came: Filled) -> None:
        way = self.way(sent.zone, sent.source)

        def back(dated: float | None, asked: bool) -> None:
            self.line.after(self.way(sent.zone, sent.source), partial(came, dated, asked))

        self.line.after(way, partial(self._at_source, sent, work, back))

    def _at_source(self, sent: Sent, work: Work, back: Filled) -> None:
        source = self.stores[sent.source]
        if source.silent or not source.up:
            return  # the cache abandons the fill after model.stores.GIVE_UP
        if not self._reached(source, sent):
            return
        if self.rng.random() < source.error_part:
            self.line.after(ERROR_MS, partial(back, None, True))
        elif source.model is None:
            self.origin.fetch(work.size, lambda dated: back(dated, True))
        elif isinstance(source.model, Parent):
            holds_only = "shallow" in sent.hints
            source.model.get(work.key, work.size, self._oldest(sent), back, holds_only)
        else:  # a peer cache answers from its own copies only
            back(source.model.cached_date(work.key, self._oldest(sent)), False)

    def _answer(self, sent: Sent, status: Status, note: Note, dated: float) -> None:
        self._works.pop(sent, None)
        if status is Status.RESET:
            return  # the end of the connection is reported to the director separately
        request = sent.attempt.exchange.request
        sent.body = body_of(request.object - 1, request.part)
        sent.answer(status, self._reported_note(note), dated)

    def _reported_note(self, note: Note) -> Note:
        """The note as this deployment reports it: all notes, only hits, or none."""
        notes = self.settings.notes
        if notes == "hit":
            if note in (Note.PARENT_HELD, Note.FROM_ORIGIN):
                return Note.PARENT_HELD
            return note if note in (Note.HIT, Note.JOINED, Note.AGED) else Note.NOT_REPORTED
        return note if notes == "all" else Note.NOT_REPORTED

    def size(self, key: PartKey) -> float:
        """The size of an object part in KB, drawn at its first use."""
        size = self._sizes.get(key)
        if size is None:
            mean = self.deployment.classes[class_of(key[0])].mean_kb
            spread = self.rng.lognormvariate(-SIZE_SIGMA * SIZE_SIGMA / 2.0, SIZE_SIGMA)
            size = self._sizes[key] = max(mean * spread, 0.5)
        return size


def _nothing(sent: Sent) -> None:
    pass


def cold_rules(s: Settings) -> tuple[ColdRule, ColdRule]:
    """The slow-start rules of caches and of parents."""
    return (
        ColdRule(s.cold_from, s.warm_after_ms, s.fall_multiple, s.fall_ms),
        ColdRule(s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple, s.fall_ms),
    )


def object_of(sent: Sent) -> int:
    """The number of an attempt's object. Routing numbers objects from 1, the lab from 0."""
    return sent.attempt.exchange.request.object - 1


def body_of(object_: int, part: int) -> bytes:
    """The test content of an object part, which clients verify."""
    return f"{object_}:{part}".encode()


def _finish_straight(work: Work, dated: float | None, asked: bool = True) -> None:
    if dated is not None:
        work.finish(Status.OK, Note.FROM_ORIGIN if asked else Note.HIT, dated)
    else:
        work.finish(Status.FULL if asked else Status.MISS)


def _drop(model: Cache | Parent, fault: Fault, before_ms: float) -> None:
    def covered(key: PartKey) -> bool:
        return key[0] == fault.object or (fault.group >= 0 and group_of(key[0]) == fault.group)

    model.purge(covered, before_ms)
