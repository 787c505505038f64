"""Every decision of the router. The interface (settings, events, actions) is gladelane/interface.py.

Map, top to bottom:
  constants       each tuned value, with its unit and reason
  Store           a cache, parent or origin as this router knows it: list state, circuit breaker, cold budget
  Object, Pending an entry of the object table; a request that is owed its answer, with its attempts
  Router          handle() -> one method an event; then the ordinary path (admission, rank, cache, source),
                  the age bound after purges, further attempts, giving up, health, the cold budget, the sweep

Ordinary path: LUULRU-Fetch of the edge collaborative caching paper (docs/design.md says what was kept).
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from hashlib import blake2b
from math import log

from .interface import (
    NEVER_RAN,
    Action,
    Cancel,
    ClassSpec,
    ClientGone,
    Effect,
    Event,
    Fail,
    Fetch,
    ListKind,
    Lookup,
    Member,
    Members,
    Note,
    Outcome,
    Purge,
    PurgeIndex,
    Refuse,
    Request,
    SetTimer,
    Settings,
    Started,
    State,
    Status,
    Subscribe,
    Timer,
)
from .purges.index import Index
from .routes.cold import ColdBudgets, Tokens, Work
from .routes.concurrency import LATE_STEP, LIMIT_LEAST, LIMIT_MOST, ConcurrencyLimit

# Shares, steps and counts carry no unit. Tables bound this process's memory, whatever comes.
# Times are the machines' and the network's, not a class's: a process that died is back after seconds, answers
# cross in tens of ms, one tells of a crowd for half a second. So any customer's may be the same.
LAMBDA = 2  # counted requests until a fill is kept; the design's two
WHOLE_PASS_SEATS = 2  # proxies in a location among which most of a pass over an object's parts is still seen
RANKED_FROM = 3.0  # aged count from which thirds mean anything where passes are scattered
AGEING_MS = 10_000.0  # counts and utility halve this often
FORGET_BELOW = 0.2  # aged count under which a table entry is dropped
WEIGHTS = {Note.HIT: 100.0, Note.AGED: 100.0, Note.PARENT_HELD: 10.0}  # all else, or untold: 1
TABLE = 8192  # objects kept in the table, least lately asked for leave first
LINGERING = 2048  # attempts still out of requests that have ended
SENT_TABLE = 512  # objects remembered a cache, for its thirds
CUTS_MS = 1000.0  # how often the thirds are cut anew
SWEEP_MS = 250.0  # housekeeping period
PURGE_SLACK_MS = 500.0  # a purge binds this much longer than the caches need to drop old copies
FLOOR_MS, LAST_TRY_MS = 60.0, 15.0  # least time left for a second copy, and for any further attempt
WORK_STEP = 0.02  # learning rate of a class's mean work
LIST_AGAIN_MS = 1000.0  # wait until a list that failed is asked for again
WRITE_AGAIN, WRITE_LEFT, WRITE_TRIES = 1 / 30, 0.1, 5  # of the deadline: waits for a refusing origin, growing
HEDGE_AT = 0.5  # part of the aim after which a second copy is sent
DOWN_MS, DOWN_MOST_MS = 400.0, 4000.0  # first rest of a tripped store, doubling up to the most
SILENT_AFTER = 3  # unanswered attempts in a row that make a store down
ALIVE_MS = 500.0  # a store that answered so lately is not down for errors and resets
ERRORS_MOST, ERROR_MS = 2, 50.0  # errors so soon after a send that show it is the request that is no good
SOURCE_DOUBT = 2.0  # aged count of failures that makes a source down
DOUBT_KEPT = 0.75  # part of a source's doubt left by one good answer where fills are not told apart
RETRY_SHARE, RETRY_MOST = 0.3, 30.0  # further attempts earned a request, and how many can be saved up
HEDGE_SHARE, HEDGE_MOST = 0.05, 5.0  # second copies, likewise
FLAW_STEP, FLAWED = 0.2, 0.6  # aged share of a source's fills that end in an error at once; where it rests
RECENT_MS = 1000.0  # a source that filled so lately is in use
START_BY_LINK = 2.5  # a store's limit at first, in answers that its link carries at full pace
START_SHARED = 1.2  # a hub's, for all proxies together where they are many; the origin's, by all hubs' links
SPILL_SHARE = 0.8  # part of its room that a cache gives to what the one before it had no room for
DEAR_SHARE = 0.7  # part of a cache's room open to the class that earns least for its work
INLET_SHARE = 0.2  # the same for the fills of all caches of the location together
INLET_LEAST = 1.0  # fills a cache of the location always let through, by all its proxies together
ALONE_OVER, ALONE_BY = 2.0, 0.1  # a source is late alone where it is so much more than each other in use
ALONE_CUT = 0.5  # its lateness from which it is asked for less: one that is far off is late now and then
COME_BACK_MS = 400.0  # advice to a refused client
MASK = (1 << 64) - 1


def mixed(salt: int, key: int) -> int:
    """A 64-bit hash that is the same in every process (the language's own hash of texts is not)."""
    x = (salt ^ (key * 0x9E3779B97F4A7C15)) & MASK
    x = ((x ^ (x >> 30)) * 0xBF58476D1CE4E5B9) & MASK
    x = ((x ^ (x >> 27)) * 0x94D049BB133111EB) & MASK
    return x ^ (x >> 31)


class Store:
    """One member of the list, what its outcomes told, and its cold budget."""

    def __init__(self, member: Member, weighted: bool = False) -> None:
        self.member = member
        self.salt = int.from_bytes(blake2b(member.store.encode(), digest_size=8).digest(), "big")
        self.fails = 0.0
        self.answered_ms = 0.0  # when it last answered well
        self.lateness = 0.0  # aged share of late fills from here
        self.flaw = 0.0  # aged share of fills from here that ended in an error at once
        self.filled_ms = 0.0  # when the latest fill from here ended
        self.down_until = 0.0
        self.rest_ms = DOWN_MS
        self.trial_at = -1.0
        # the weight, where told, is the answers the link carries at full pace
        most = max(LIMIT_MOST, member.weight if weighted else 0.0)
        self.concurrency = ConcurrencyLimit(most=most)
        self.fills = ConcurrencyLimit(most=most)
        if weighted and member.weight > 1.0:
            self.concurrency.limit = min(most, START_BY_LINK * member.weight)
        self.timely_ms = 0.0  # when the latest attempt that was answered in time was sent
        self.tokens = Tokens()
        self.opened = False  # the origin, once parents tell how wide it may start
        self.sent: OrderedDict[int, None] = OrderedDict()
        self.cuts = (0.0, 0.0)

    def score(self, key: int, weighted: bool) -> float:
        unit = (mixed(self.salt, key) + 1) / (MASK + 2)
        return -(max(self.member.weight, 0.01) if weighted else 1.0) / log(unit)

    def resting(self, now: float) -> bool:
        """Down by its outcomes; once rested, one trial at a time is let through."""
        return now < self.down_until or (self.rest_ms > DOWN_MS and self.trial_at > now)

    def trip(self, now: float) -> None:
        self.fails = 0.0
        self.down_until = now + self.rest_ms
        self.rest_ms = min(self.rest_ms * 2, DOWN_MOST_MS)
        self.trial_at = -1.0

    def close(self) -> None:
        self.fails = 0.0
        self.down_until = 0.0
        self.rest_ms = DOWN_MS
        self.trial_at = -1.0


@dataclass(slots=True)
class Object:
    count: float = 0.0
    utility: float = 0.0
    gate: int = 0
    parts: int = 0
    admitted: bool = False
    work: float = 0.0


@dataclass(slots=True)
class Try:
    store: str
    source: str
    sent_ms: float
    aim_ms: float
    fills: bool
    charged: list[ConcurrencyLimit]


@dataclass(slots=True)
class Pending:
    request: Request
    spec: ClassSpec
    came_ms: float
    aim_ms: float
    most: int
    work: Work
    attempts: int = 0
    out: dict[int, Try] = field(default_factory=dict)
    tried: list[str] = field(default_factory=list)
    bad_sources: list[str] = field(default_factory=list)
    suspects: list[str] = field(default_factory=list)  # sources of fills that ended in an error at once
    may_have_run: bool = False
    first_ran_ms: float = 0.0
    ran_at: str = ""
    started: bool = False
    missed: bool = False
    errors: int = 0


class Router:
    """The decisions of one proxy. `handle` takes the clock and one event and returns what to do."""

    def __init__(self, settings: Settings, seed: int, purges: PurgeIndex | None = None) -> None:
        self.settings = settings
        self.purges: PurgeIndex = Index() if purges is None else purges  # shared; objects count from 0 there
        self.random = random.Random(seed)
        self.now = 0.0
        self.actions: list[Action] = []
        self.stores: dict[str, Store] = {}
        self.caches: list[Store] = []
        self.parents: list[Store] = []
        self.origin: Store | None = None
        self.pending: dict[int, Pending] = {}
        self.objects: OrderedDict[int, Object] = OrderedDict()
        self.lingering: OrderedDict[tuple[int, int], Try] = OrderedDict()
        self.retries = RETRY_MOST / 2
        self.hedges = HEDGE_MOST / 2
        self.inlet = ConcurrencyLimit(INLET_SHARE, self.random.random)
        self.work_of: dict[str, float] = {}
        self.earn: dict[str, float] = {}  # worth for work, a class
        self.earn_most = 0.0
        self.aged_at = self.cut_at = -1.0
        self.ticking = False
        self.weighted = settings.weights in ("nominal", "rough")
        self.seats = dict(zip(settings.zones, settings.seats_by_zone, strict=False)).get(settings.zone, 1)
        self.scattered = self.seats > WHOLE_PASS_SEATS
        self.cold = ColdBudgets(settings, self.seats, self.random)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.now = now_ms
        self.actions = []
        if not self.ticking:
            self.ticking = True
            self.aged_at = self.cut_at = self.cold.learned_ms = now_ms
            self.emit(SetTimer("sweep", now_ms + SWEEP_MS))
            if self.settings.subscribe:
                self.emit(Subscribe(True))
        match event:
            case Request():
                self.on_request(event)
            case Outcome():
                self.on_outcome(event)
            case Timer():
                self.on_timer(event.token)
            case Members():
                self.on_members(event)
            case Purge():
                self.on_purge(event)
            case ClientGone():
                self.forget(event.id)
            case Started():
                if event.id in self.pending:
                    self.pending[event.id].started = True
            case _:
                pass
        return self.actions

    def retune(self, settings: Settings) -> None:
        """Classes and attempts change under load; who is owed an answer keeps those that it came with."""
        self.settings = settings
        self.earn = {name: earned for name, earned in self.earn.items() if name in settings.classes}
        self.earn_most = max(self.earn.values(), default=0.0)

    def emit(self, action: Action) -> None:
        self.actions.append(action)

    # --- events

    def on_members(self, event: Members) -> None:
        if event.kind is ListKind.FAILED:
            self.emit(SetTimer("list", self.now + LIST_AGAIN_MS))
            return
        listed = {m.store: m for m in event.stores}
        if event.kind is not ListKind.CHANGES:
            for name in [n for n in self.stores if n not in listed]:
                del self.stores[name]
        for name, member in listed.items():
            known = self.stores.get(name)
            if member.state is State.GONE:
                self.stores.pop(name, None)
            elif known is None:
                self.stores[name] = Store(member, self.weighted)
                self.stores[name].tokens.renew(self.now)
                if member.kind == self.settings.parent_kind:
                    self.start_shared(self.stores[name], self.cold.link_share(member))
            else:
                if member.came_up_ms > known.member.came_up_ms:  # a new process: what the old one did is void
                    known.close()
                    known.tokens.renew(self.now)
                known.member = member
        of = sorted(self.stores)
        self.caches = [s for n in of if self.is_cache(s := self.stores[n])]
        self.inlet.least = min(LIMIT_LEAST, INLET_LEAST * max(len(self.caches), 1) / max(self.seats, 1))
        self.parents = [s for n in of if (s := self.stores[n]).member.kind == self.settings.parent_kind]
        origins = [s for n in of if (s := self.stores[n]).member.kind == self.settings.origin_kind]
        self.origin = origins[0] if origins else None
        if self.origin and self.parents:  # it is told no size; all that parents lack passes it
            widest = max(p.concurrency.most for p in self.parents)
            if self.origin.opened:  # what was learnt is not widened away by a larger parent that comes
                self.origin.concurrency.most = max(self.origin.concurrency.most, widest)
            else:
                self.origin.opened = True
                self.origin.concurrency.widen(widest)
                self.start_shared(self.origin, sum(self.cold.link_share(p.member) for p in self.parents))

    def start_shared(self, store: Store, link: float) -> None:
        """Many proxies that each start at what a link carries burst to many times that before one learns."""
        if self.scattered and link:
            share = START_SHARED * link / 1000.0
            store.concurrency.limit = min(share + share**0.5 + 1.0, store.concurrency.limit)

    def bears(self, store: Store, work: Work) -> bool:
        return self.cold.allows(store.member, store.tokens, self.now, work)

    def is_cache(self, store: Store) -> bool:
        behind = (self.settings.parent_kind, self.settings.origin_kind)
        return store.member.kind not in behind and store.member.zone == self.settings.zone

    def on_purge(self, event: Purge) -> None:
        at = self.now - event.age_ms
        until = at + self.settings.purge_done_ms + PURGE_SLACK_MS  # dropped everywhere by then
        self.purges.add_one(event.object - 1, event.group, at, until)

    def on_request(self, request: Request) -> None:
        spec = self.settings.class_named(request.cls)
        work = self.learn_work(request, spec)
        self.learn_earning(spec.name)
        aim = min(spec.aim_ms + spec.aim_stretch * work, spec.deadline_ms)
        told = self.cold.work(spec.name, work)
        owed = Pending(request, spec, self.now, aim, self.settings.max_attempts, told)
        if request.ran_ms:  # the window of a key is one for all tries
            owed.may_have_run, owed.first_ran_ms, owed.ran_at = True, request.ran_ms, request.ran_at
        self.pending[request.id] = owed
        self.emit(SetTimer(f"d:{request.id}", request.deadline_ms))
        self.retries = min(self.retries + RETRY_SHARE, RETRY_MOST)
        self.hedges = min(self.hedges + HEDGE_SHARE, HEDGE_MOST)
        if spec.cacheable:
            self.count(request)
        self.advance(owed)

    def on_timer(self, token: str) -> None:
        if token == "sweep":
            self.sweep()
        elif token == "list":
            self.emit(Subscribe(True))
        else:
            kind, _, number = token.partition(":")
            owed = self.pending.get(int(number))
            if owed is None or owed.started:
                return
            if kind == "d":
                self.give_up(owed)
            elif kind == "h":
                self.hedge(owed)
            elif not owed.out:
                self.advance(owed)

    def on_outcome(self, event: Outcome) -> None:
        owed = self.pending.get(event.id)
        attempt = owed.out.pop(event.attempt, None) if owed else None
        store = self.stores.get(event.store)
        attempt = attempt or self.lingering.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        for concurrency in attempt.charged:
            concurrency.release()
        if store:
            self.pace(attempt, event, store)
        self.judge(owed, attempt, event, store)
        if owed is None:
            return
        if event.over or event.status is Status.OK:
            if event.status is Status.OK and owed.spec.cacheable:
                self.add_utility(owed, event.note)
            self.forget(event.id)
            return
        if event.status not in NEVER_RAN and not owed.may_have_run:
            owed.may_have_run, owed.first_ran_ms, owed.ran_at = True, attempt.sent_ms, attempt.store
        if not owed.out:
            self.advance(owed, event)

    def pace(self, attempt: Try, event: Outcome, store: Store) -> None:
        """Late answers of what the cache held tell that it is crowded; late fills, that filling there or the
        source is; late fills known to come from the origin, that the origin is. An attempt that ran out of
        time but was overtaken, one sent later being answered in time, was lost and tells of no crowd."""
        took = self.now - attempt.sent_ms
        late = took > attempt.aim_ms
        if event.status is Status.OK and not late:
            store.timely_ms = max(store.timely_ms, attempt.sent_ms)
        elif event.status is Status.TIMEOUT and attempt.sent_ms < store.timely_ms:
            return
        if event.status is Status.FULL and event.note is Note.UNTOLD:
            # where notes don't tell a refusing source from a full cache, hits there are not to pay for it
            by_source = attempt.fills and self.settings.notes != "all"
            blamed = self.stores.get(attempt.source) if by_source else store
            if blamed:
                blamed.concurrency.learn(self.now, attempt.sent_ms, True)
        if event.status not in (Status.OK, Status.TIMEOUT, Status.CANCELLED):
            return
        told = [store.concurrency]
        if attempt.fills and event.note not in (Note.HIT, Note.AGED):
            source = self.origin if event.note is Note.FROM_ORIGIN else self.stores.get(attempt.source)
            waited = event.note is Note.UNTOLD or event.source_wait_ms > took / 2
            if source and self.settings.notes != "all" and self.late_alone(source, late):
                if source.lateness > ALONE_CUT:
                    source.concurrency.learn(self.now, attempt.sent_ms, late)
                return
            told = [store.fills] if event.note is Note.UNTOLD or not (late and waited) else []
            if self.scattered and told and event.status is Status.OK:
                told.append(self.inlet)
            if source and (waited or not late):
                told.append(source.concurrency)
            if self.scattered and self.origin and source is not self.origin and not late:
                told.append(self.origin.concurrency)  # few fills go there straight: too few to learn from
        for concurrency in told:
            concurrency.learn(self.now, attempt.sent_ms, late)

    def late_alone(self, source: Store, late: bool) -> bool:
        """Where no note tells what a late fill waited for: whether this source is late and the others in use
        are not, so that neither the caches that ask it nor the link in are to pay for it."""
        source.lateness += LATE_STEP * (late - source.lateness)
        source.filled_ms = self.now
        others = [
            s.lateness
            for s in (*self.parents, self.origin)
            if s and s is not source and self.now - s.filled_ms < RECENT_MS
        ]
        return late and bool(others) and source.lateness > ALONE_OVER * max(others) + ALONE_BY

    def filling(self, cache: Store) -> list[ConcurrencyLimit]:
        """Where many proxies share a location, each sees too few fills a cache to learn in time that the link
        in is full: they are also counted together. Answers only: what is lost tells of no link. A few slow
        caches stay under INLET_SHARE."""
        return [cache.fills, self.inlet] if self.scattered else [cache.fills]

    # --- the ordinary path

    def learn_work(self, request: Request, spec: ClassSpec) -> float:
        """Sending time of the request; cold budgets learn a mean of their own."""
        if request.size_kb and self.settings.flow_kb_per_s:
            # no more than can be sent in time: a size made up is not to spoil the mean
            work = min(request.size_kb / self.settings.flow_kb_per_s * 1000.0, spec.deadline_ms)
            mean = self.work_of.get(spec.name, work)
            self.work_of[spec.name] = mean + WORK_STEP * (work - mean)
            return work
        entry = self.objects.get(request.object)
        return max(self.work_of.setdefault(spec.name, spec.aim_ms / 2), entry.work if entry else 0.0)

    def learn_earning(self, name: str) -> None:
        self.earn[name] = self.settings.classes[name].worth / max(self.work_of[name], 1.0)
        self.earn_most = max(self.earn.values())

    def count(self, request: Request) -> None:
        """Gate and aged count. Where a pass over the parts comes through this proxy, parts asked for in turn
        are one request. Where it is scattered over many proxies, each request seen here stands for as many
        as share the location: λ counts those of the location, else no gate opens in time anywhere. An
        admitted object keeps all its parts, also where a cache lost them."""
        entry = self.objects.get(request.object)
        if entry is None:
            entry = self.objects[request.object] = Object()
            if len(self.objects) > TABLE:
                self.objects.popitem(last=False)
        self.objects.move_to_end(request.object)
        entry.count += 1.0
        bit = 1 << (request.part & 63)
        if not entry.admitted:
            if self.scattered or not entry.parts or entry.parts & bit:
                entry.gate += self.seats if self.scattered else 1
            entry.parts |= bit
            if entry.gate >= LAMBDA:
                entry.admitted, entry.gate, entry.parts = True, 0, 0

    def add_utility(self, owed: Pending, note: Note) -> None:
        entry = self.objects.get(owed.request.object)
        if entry is not None:
            if not owed.request.size_kb:  # size untold: the shortest time a part of the object ever took
                took = self.now - owed.came_ms
                entry.work = min(entry.work or took, took)
                mean = self.work_of[owed.spec.name]
                self.work_of[owed.spec.name] = mean + WORK_STEP * (entry.work - mean)
            entry.utility += owed.spec.worth * entry.count * WEIGHTS.get(note, 1.0)

    def rank(self, request: Request, cache: Store) -> int:
        entry = self.objects.get(request.object)
        if entry is None or not entry.admitted:
            return 0
        if self.scattered and entry.count < RANKED_FROM:
            return 1  # utility of so few requests is chance: proxies would rank one copy up and down in turn
        low, high = cache.cuts
        return 1 + (entry.utility >= low) + (entry.utility >= high)

    def key(self, request: Request) -> int:
        return request.object * 64 + (request.part & 63)

    def order(self, stores: list[Store], key: int) -> list[Store]:
        return sorted(stores, key=lambda s: -s.score(key, self.weighted))

    def pick_cache(self, owed: Pending) -> Store | None:
        """The first usable cache of the zone in hash order."""
        share = self.share(owed)
        for cache in self.order(self.caches, self.key(owed.request)):
            name = cache.member.store
            if cache.member.state is State.READY and name not in owed.tried and not cache.resting(self.now):
                if self.bears(cache, owed.work):
                    if cache.concurrency.room(share):
                        return cache
                    share *= SPILL_SHARE
        return None

    def share(self, owed: Pending) -> float:
        """The part of a crowd's room open to a class: all of it to the one that earns most for its work."""
        earned = self.earn.get(owed.spec.name, self.earn_most)  # its class may have gone
        return DEAR_SHARE + (1.0 - DEAR_SHARE) * (earned / self.earn_most if self.earn_most else 1.0)

    def no_cache_runs(self) -> bool:
        """Passing the caches by is for when none runs: doing it when they are busy only moves the jam."""
        return not any(c.member.state is State.READY and not c.resting(self.now) for c in self.caches)

    def pick_source(self, owed: Pending) -> Store | None:
        """The first parent in hash order that is up and bears it, else the origin."""
        share = self.share(owed)
        for parent in self.order(self.parents, owed.request.object):
            name = parent.member.store
            if parent.member.state is State.READY and name not in owed.bad_sources:
                up = not parent.resting(self.now) and parent.concurrency.room(share)
                if up and self.bears(parent, owed.work):
                    return parent
        return self.origin if self.origin and self.origin.member.state is State.READY else None

    def age_bound(self, request: Request, fresh: float) -> tuple[float, bool]:
        """Oldest copy that will do (0: the class's fresh time) and whether a purge set it."""
        at = self.purges.newest(request.cls, request.group, request.object - 1, request.part, self.now)
        if not at:
            return 0.0, False
        bound = max(self.now - at - self.settings.tick_ms, 1.0)
        return (min(bound, fresh) if fresh else bound), True

    def age_now(self, now_ms: float, request: Request, fresh: float) -> float:
        """For a send that leaves later than it was decided: a purge may have been told in between."""
        self.now = now_ms
        return self.age_bound(request, fresh)[0]

    # --- attempts

    def advance(self, owed: Pending, after: Outcome | None = None) -> None:
        left = owed.request.deadline_ms - self.now
        spent = owed.attempts >= owed.most or owed.errors >= ERRORS_MOST
        if spent or left <= LAST_TRY_MS or not self.may_repeat(owed):
            self.give_up(owed)
            return
        looked = after is not None and after.status is Status.MISS
        if looked and owed.tried:
            owed.tried.pop()
        elif owed.attempts:
            if self.retries < 1.0:
                self.give_up(owed)
                return
            self.retries -= 1.0
        sent = self.send_read(owed, left) if owed.spec.cacheable else self.send_write(owed, left, after)
        if not sent:
            self.give_up(owed)

    def may_repeat(self, owed: Pending) -> bool:
        """Whether a further attempt can do no harm, by class and by what earlier attempts proved."""
        if owed.out and not self.settings.second_copies:
            return False
        if owed.spec.effect is Effect.SAFE or not (owed.may_have_run or owed.out):
            return True
        if owed.spec.effect is Effect.UNSAFE:
            return False
        first = owed.first_ran_ms if owed.may_have_run else min(t.sent_ms for t in owed.out.values())
        return self.now - first < owed.spec.window_ms - 2 * self.settings.tick_ms

    def in_group(self, owed: Pending, store: Store) -> bool:
        """Whether a keyed request that may have run is dropped as a repeat at this store."""
        ran = self.stores.get(owed.ran_at)
        if owed.spec.effect is not Effect.KEYED or not owed.may_have_run or owed.spec.group == "all":
            return True
        if ran is None:
            return False
        if owed.spec.group == "zone":
            return store.member.zone == ran.member.zone
        return store.member.cell == ran.member.cell

    def send_read(self, owed: Pending, left: float) -> bool:
        cache = self.pick_cache(owed)
        source = self.pick_source(owed)
        age, purged = self.age_bound(owed.request, owed.spec.fresh_ms)
        if cache is None and self.settings.straight and source is not None and self.no_cache_runs():
            return self.in_group(owed, source) and self.fetch(
                owed, source, source, left, 0, age, False, False
            )
        if cache is None or not self.in_group(owed, cache):
            return False
        if source is None or not all(limit.room(self.share(owed)) for limit in self.filling(cache)):
            if owed.missed:
                return False
            source, owed.missed = cache, True
        held_only = False
        if self.origin and source is not cache and not self.origin.concurrency.room(self.share(owed)):
            if owed.missed:
                return False
            if source is self.origin or source is None:
                source = cache
            held_only, owed.missed = source is not cache, True
        rank = self.rank(owed.request, cache)
        renew = rank > 0 and owed.spec.fresh_ms > 0 and not purged
        cache.sent[owed.request.object] = None
        cache.sent.move_to_end(owed.request.object)
        if len(cache.sent) > SENT_TABLE:
            cache.sent.popitem(last=False)
        return self.fetch(owed, cache, source or cache, left, rank, age, not purged, renew, held_only)

    def fetch(
        self,
        owed: Pending,
        store: Store,
        source: Store,
        timeout: float,
        rank: int,
        age: float,
        join: bool,
        renew: bool,
        held_only: bool = False,
    ) -> bool:
        for target in {store.member.store: store, source.member.store: source}.values():
            if target is not self.origin:
                self.cold.spend(target.member, target.tokens, self.now, owed.work)
            if target.rest_ms > DOWN_MS:
                target.trial_at = self.now + timeout
        self.emit(
            Fetch(
                owed.request.id,
                store.member.store,
                timeout,
                source.member.store,
                rank,
                age,
                join and self.settings.joins,
                held_only,
                renew=renew,
            )
        )
        self.sent(owed, store, source, held_only)
        if owed.attempts == 1 and self.settings.second_copies and owed.spec.effect is Effect.SAFE:
            at = owed.came_ms + owed.aim_ms * HEDGE_AT
            if at < owed.request.deadline_ms:
                self.emit(SetTimer(f"h:{owed.request.id}", at))
        return True

    def sent(self, owed: Pending, store: Store, source: Store, held_only: bool = False) -> None:
        charged = [store.concurrency]
        if source is not store:
            charged += [*self.filling(store), source.concurrency]
            if self.origin and source is not self.origin and not held_only:
                charged.append(self.origin.concurrency)
        for concurrency in charged:
            concurrency.out += 1
        fills, names = source is not store, (store.member.store, source.member.store)
        owed.out[owed.attempts] = Try(*names, self.now, owed.aim_ms, fills, charged)
        owed.attempts += 1
        owed.tried.append(store.member.store)

    def hedge(self, owed: Pending) -> None:
        """A second copy elsewhere when the first is late enough to miss the aim."""
        if len(owed.out) != 1 or owed.attempts >= owed.most or self.hedges < 1.0:
            return
        self.hedges -= 1.0
        left = owed.request.deadline_ms - self.now
        if self.may_repeat(owed) and left > FLOOR_MS:
            self.send_read(owed, left)

    def send_write(self, owed: Pending, left: float, after: Outcome | None) -> bool:
        """Uncacheable: straight to the origin where allowed, else through a cache, filled from the origin."""
        if self.origin is None or self.origin.member.state is not State.READY:
            return False
        refused = after is not None and after.status is Status.FULL
        whole = owed.spec.deadline_ms
        if refused and left > WRITE_LEFT * whole and owed.attempts < WRITE_TRIES:
            self.emit(SetTimer(f"r:{owed.request.id}", self.now + WRITE_AGAIN * whole * owed.attempts))
            return True
        once = owed.spec.effect is Effect.UNSAFE
        timeout = left if once or owed.attempts else min(left, max(owed.aim_ms, left / 2))
        if self.settings.straight:
            if not self.in_group(owed, self.origin):
                return False
            self.emit(Lookup(owed.request.id, self.origin.member.store, timeout))
            self.sent(owed, self.origin, self.origin)
            return True
        cache = self.pick_cache(owed)
        if cache is None or not self.in_group(owed, cache):
            return False
        return self.fetch(owed, cache, self.origin, timeout, 0, 0.0, False, False)

    def give_up(self, owed: Pending) -> None:
        """The final answer at once: a refusal where a new try is harmless, else a failure."""
        maybe = owed.may_have_run or bool(owed.out)
        harmless = owed.spec.effect is Effect.SAFE or not maybe
        if owed.spec.effect is Effect.KEYED and owed.spec.group == "all":
            harmless = True
        if self.settings.cancel:
            for number in owed.out:
                self.emit(Cancel(owed.request.id, number))
        if harmless:
            wait = COME_BACK_MS * (0.5 + self.random.random()) if self.settings.retry_after else 0.0
            self.emit(Refuse(owed.request.id, min(wait, self.settings.max_retry_after_ms)))
        else:
            self.emit(Fail(owed.request.id))
        self.drop(owed)

    def forget(self, number: int) -> None:
        owed = self.pending.get(number)
        if owed is None:
            return
        if self.settings.cancel:
            for attempt in owed.out:
                self.emit(Cancel(number, attempt))
        self.drop(owed)

    def drop(self, owed: Pending) -> None:
        """The request has ended; what is still out goes on telling of its store."""
        self.pending.pop(owed.request.id, None)
        for number, attempt in owed.out.items():
            self.lingering[(owed.request.id, number)] = attempt
        while len(self.lingering) > LINGERING:
            for concurrency in self.lingering.popitem(last=False)[1].charged:
                concurrency.release()

    # --- health, learned from outcomes

    def judge(self, owed: Pending | None, attempt: Try, event: Outcome, store: Store | None) -> None:
        source = self.stores.get(attempt.source) if attempt.source != attempt.store else None
        status, note = event.status, event.note
        if status is Status.OK:
            for name in owed.suspects if owed else ():
                self.blame(name)
            if store:
                store.close()
                store.answered_ms = self.now
            if source and note in (Note.PARENT_HELD, Note.FROM_ORIGIN):
                source.flaw *= 1.0 - FLAW_STEP
                if source.flaw < FLAWED:
                    source.close()
            elif source and note is Note.UNTOLD:
                source.fails *= DOUBT_KEPT
            return
        if status in (Status.CANCELLED, Status.MOOT, Status.MISS):
            return
        # one connection that ends takes many attempts along, and an error may be for what the client asked
        at_once = status is Status.ERROR and self.now - attempt.sent_ms < ERROR_MS
        if owed and at_once:
            owed.errors += 1
            if source and source is not self.origin and note is Note.UNTOLD and self.settings.notes != "all":
                owed.bad_sources.append(attempt.source)  # the next try takes another cache and another source
                owed.suspects.append(attempt.source)
        flawed = at_once and source is not None and source.flaw >= FLAWED
        # one that ran out of time while later ones were answered was lost on its way
        lost = status is Status.TIMEOUT and store is not None and attempt.sent_ms < store.timely_ms
        by_store = at_once or lost or status in (Status.RESET, Status.CONNECT_FAILED)
        alive = store is not None and self.now - store.answered_ms < ALIVE_MS
        blamed = note in (Note.SOURCE_REFUSED, Note.SOURCE_BROKEN, Note.ORIGIN_FAILED)
        if blamed or (note is Note.UNTOLD and self.settings.notes != "all" and not by_store):
            if owed:
                owed.bad_sources.append(attempt.source)
            if source:
                source.fails += 1.0
                parent = source is not self.origin and note is not Note.ORIGIN_FAILED
                if parent and source.fails >= SOURCE_DOUBT:
                    source.trip(self.now)
        if owed and blamed and owed.tried and owed.tried[-1] == attempt.store:
            owed.tried.pop()  # the cache did nothing wrong: ask it again, with another source
        if store and not blamed and status is not Status.FULL:
            if not lost and not flawed and not (alive and status in (Status.RESET, Status.ERROR)):
                store.fails += 1.0
            if status is Status.CONNECT_FAILED or store.fails >= SILENT_AFTER:
                store.trip(self.now)
            elif owed and status is Status.RESET and owed.tried and owed.tried[-1] == attempt.store:
                owed.tried.pop()  # it runs but loses answers: ask again where the copy is

    def blame(self, name: str) -> None:
        """A fill from there ended in an error at once, and the same request was answered elsewhere: so it was
        not the request's fault. The source from which most end so is at fault, whichever caches ask it."""
        source = self.stores.get(name)
        if source:
            source.flaw += FLAW_STEP * (1.0 - source.flaw)
            if source.flaw >= FLAWED and self.now >= source.down_until:
                source.trip(self.now)

    # --- housekeeping

    def sweep(self) -> None:
        self.emit(SetTimer("sweep", self.now + SWEEP_MS))
        self.cold.learn(self.now, (s.member for s in self.caches), (s.member for s in self.parents))
        if self.now - self.aged_at >= AGEING_MS:
            self.aged_at = self.now
            for entry in self.objects.values():
                entry.count *= 0.5
                entry.utility *= 0.5
            for name in [n for n, e in self.objects.items() if e.count < FORGET_BELOW]:
                del self.objects[name]
        if self.now - self.cut_at >= CUTS_MS:
            self.cut_at = self.now
            for cache in self.caches:
                known = sorted(e.utility for n in cache.sent if (e := self.objects.get(n)) and e.admitted)
                if known:
                    cache.cuts = (known[len(known) // 3], known[2 * len(known) // 3])
        self.purges.expire(self.now)
