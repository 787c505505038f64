"""Many directors before one server that has just started: a seeded simulation in virtual time. Pure.

Real cold budgets (`routing/slow_start.py`) decide; the server only counts. It would fall over if it got
more than N + 2 √N + 2 requests of mean work within the settings' window (N + 3 √N + 3 for N under 30),
N being what the settings allow it then. A window is held against what any N from its beginning to its end
bears least.

A cache counts the mean work of each request's class, a hub the request's own.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import Any, NamedTuple

from ..routing.events import Member, Settings
from ..routing.server_credit import Tokens
from ..routing.slow_start import MEAN_OF, ColdBudgets, Work
from .cold_falls import FEW_REQUESTS, bound

START_MS = 100_000.0  # of the server's process
WINDOW_MS, WARM_MS = 2_000.0, 16_000.0
COLD_FROM, MULTIPLE, LINK = 0.15, 3.0, 40.0
RETRY_MS, RETRIES = 100.0, 2  # until a request that was turned away comes again, and how often it does
FAILED = 0.1  # share of attempts that fail and are sent again
AIM_MS, DEADLINE_MS = 200.0, 100_000.0  # of both classes; the works are longer than any real ones
SURGE_AT = 0.7  # of the time between two surges
KILLED_MS = 1.0  # after a surge
LATE_MS = 5_000.0  # within which the late ones are told of the server
CLASSES = (0.4, 1.6)  # mean works of two classes that are asked for equally often, in the mean of both


class Server(Enum):
    """What has started."""

    CACHE = "cache"
    HUB = "hub"


@dataclass(frozen=True)
class Case:
    """One run. requests: N when the server starts; demand: what is asked for, in what the server may be sent.

    surge_ms: between moments in which each director asks twice at once; next to nothing is asked for in
    between. late: share of the directors that are told late. fresh: the directors have started with the
    server and know no mean work. uneven, spread: sigmas of the directors' shares of the demand and of a
    class's works (lognormal). beside: each director is two processes from the middle of the warm-up on.
    restarted: share of the directors that are killed just after each surge and start anew at once, as the
    demand comes; restart_ms: between moments in which they are, where there are no surges.
    """

    name: str
    server: Server
    directors: int
    requests: float
    seed: int
    demand: float = 4.0
    surge_ms: float = 0.0
    late: float = 0.0
    fresh: bool = False
    uneven: float = 0.0
    spread: float = 0.0
    beside: bool = False
    restarted: float = 0.0
    restart_ms: float = 0.0


class Arrival(NamedTuple):
    """One attempt that reached the server. work: in requests of mean work, as the server counts it."""

    at_ms: float
    work: float


class Measured(NamedTuple):
    """over: the largest sum in any window less its bound, in requests; ratio: the largest sum over its bound;
    used: what was sent of all that the server may be sent until it is warm."""

    over: float
    ratio: float
    used: float


class Ramp(NamedTuple):
    """What a server that started at `start_ms` may be sent in a window: `requests` at first, rising in a line
    to that over cold_from at warm_ms."""

    requests: float
    start_ms: float = START_MS
    cold_from: float = COLD_FROM
    warm_ms: float = WARM_MS
    window_ms: float = WINDOW_MS

    def allowed(self, at_ms: float) -> float:
        """N for a window that begins then."""
        age = max(at_ms - self.start_ms, 0.0)
        part = min(self.cold_from + (1.0 - self.cold_from) * age / self.warm_ms, 1.0)
        return self.requests * part / self.cold_from

    def bears(self, at_ms: float) -> float:
        """Most requests in a window that begins then, by the least that any of its moments allows. The bound
        rises with N but for FEW_REQUESTS, where it falls by a step: a window may cross that."""
        first, last = self.allowed(at_ms), self.allowed(at_ms + self.window_ms)
        return min(bound(first), bound(FEW_REQUESTS)) if first < FEW_REQUESTS <= last else bound(first)

    def whole(self) -> float:
        """All that may be sent until it is warm."""
        mean = (1.0 + self.cold_from) / 2.0
        return self.requests * mean / self.cold_from * self.warm_ms / self.window_ms


def measure(arrivals: Sequence[Arrival], ramp: Ramp) -> Measured:
    """Over all windows that begin with an arrival; in the order of their times."""
    inside: deque[Arrival] = deque()
    total, over, ratio = 0.0, -ramp.bears(ramp.start_ms), 0.0
    for arrival in reversed(arrivals):  # from the last, so that `inside` is the window this one begins
        inside.appendleft(arrival)
        total += arrival.work
        while inside[-1].at_ms >= arrival.at_ms + ramp.window_ms:
            total -= inside.pop().work
        most = ramp.bears(arrival.at_ms)
        over, ratio = max(over, total - most), max(ratio, total / most)
    return Measured(over, ratio, sum(arrival.work for arrival in arrivals) / ramp.whole())


def settings_for(case: Case, me: int = 0) -> Settings:
    hub = case.server is Server.HUB
    return Settings.read(
        {
            "me": me,
            "proxies": case.directors,
            "zone": "edge",
            "zones": ["hub", "edge"],
            "seats_by_zone": [0, case.directors],
            "origin_kind": "root",
            "parent_kind": "mid",
            "weights": "nominal",
            "max_attempts": 6,
            "max_open": 1000,
            "connect_timeout_ms": 300.0,
            "drain_grace_ms": 1000.0,
            "cold_from": COLD_FROM,
            "warm_after_ms": WARM_MS,
            "fall_multiple": MULTIPLE,
            "fall_ms": WINDOW_MS,
            "parent_cold_from": COLD_FROM if hub else 1.0,
            "parent_cold_ms": WARM_MS,
            "parent_fall_multiple": MULTIPLE,
            "flow_kb_per_s": 1000.0,
            "notes": "hit",
            "second_copies": True,
            "classes": [
                {
                    "name": str(kind),
                    "effect": "safe",
                    "aim_ms": AIM_MS,
                    "deadline_ms": DEADLINE_MS,
                    "worth": 1.0,
                }
                for kind in range(len(CLASSES))
            ],
        }
    )


@dataclass
class _Process:
    """One process of a director."""

    budgets: ColdBudgets
    tokens: Tokens
    told_ms: float


class Ask(NamedTuple):
    """A request, or its next attempt, at one director."""

    at_ms: float
    order: int
    director: int
    kind: int
    own: float
    tries: int = 0
    work: Work | None = None  # as the process that got the first try knew it


class Run:
    """One case in virtual time."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng = case, random.Random(f"{case}")
        self.settings = settings_for(case)
        kind = "mid" if case.server is Server.HUB else "box"
        self.member = Member("cold", "edge", kind, weight=LINK, came_up_ms=START_MS)
        self.unit = LINK * COLD_FROM * MULTIPLE * WINDOW_MS / case.requests  # ms of a request of mean work
        self.directors = [[self._process(START_MS, self.told())] for _ in range(case.directors)]
        shares = [math.exp(self.rng.gauss(0.0, case.uneven)) for _ in range(case.directors)]
        self.shares = list(_running_sums(shares))
        self.asks: list[Ask] = []
        self.order = 0
        self.arrivals: list[Arrival] = []

    def told(self) -> float:
        late = self.rng.random() < self.case.late
        return START_MS + (self.rng.random() * LATE_MS if late else 0.0)

    def _process(self, began_ms: float, told_ms: float) -> _Process:
        budgets = ColdBudgets(self.settings, self.case.directors, random.Random(self.rng.random()))
        budgets.learned_ms = began_ms
        tokens = Tokens()
        tokens.renew(told_ms)
        for kind, mean in enumerate(CLASSES):
            for _ in range(0 if self.case.fresh else MEAN_OF):
                budgets.work(str(kind), mean * self.unit)
        return _Process(budgets, tokens, told_ms)

    def arrive(self) -> list[Arrival]:
        self.plan()
        middle = START_MS + WARM_MS / 2.0
        restarts = deque(self._restarts())
        while self.asks:
            ask = heapq.heappop(self.asks)
            while restarts and restarts[0] <= ask.at_ms:
                self._restart(restarts.popleft())
            if self.case.beside and ask.at_ms >= middle and len(self.directors[0]) == 1:
                self._start_second_processes(ask.at_ms)
            if ask.at_ms < START_MS + WARM_MS:
                self._decide(ask)
        return self.arrivals

    def arrived(self, at_ms: float, kind: int, own: float) -> None:
        """A request of this class and work reached the server."""
        counted = CLASSES[kind] if self.case.server is Server.CACHE else own / self.unit
        self.arrivals.append(Arrival(at_ms, counted))

    def plan(self) -> None:
        """First tries: at chance moments, and in surges all at once."""
        now, end, ramp = START_MS, START_MS + WARM_MS, Ramp(self.case.requests)
        while now < end:
            allowed = ramp.allowed(now)
            demand = self._demand(now)
            rate = max(demand * allowed, 0.0 if self.case.demand < 1.0 else 0.05 * self.case.directors)
            now += self.rng.expovariate(rate / WINDOW_MS)
            director = self.rng.choices(range(self.case.directors), cum_weights=self.shares)[0]
            self._ask(now, director)
        if self.case.surge_ms:
            for step in range(int(WARM_MS / self.case.surge_ms)):
                for director in 2 * list(range(self.case.directors)):
                    self._ask(START_MS + (step + SURGE_AT) * self.case.surge_ms, director)

    def _demand(self, now: float) -> float:
        """In what the server may be sent. Between surges next to nothing, but for restarted directors: the
        demand goes on after the surge, when what they had spent is forgotten."""
        case = self.case
        if not case.surge_ms:
            return case.demand
        into = (now - START_MS) % case.surge_ms / case.surge_ms
        return case.demand if case.restarted and into >= SURGE_AT else 0.05

    def _restarts(self) -> list[float]:
        """When directors are killed."""
        case = self.case
        if not case.restarted:
            return []
        if case.restart_ms:
            return [START_MS + n * case.restart_ms for n in range(1, int(WARM_MS / case.restart_ms))]
        surges = int(WARM_MS / case.surge_ms)
        return [START_MS + (n + SURGE_AT) * case.surge_ms + KILLED_MS for n in range(surges)]

    def _restart(self, now: float) -> None:
        """They have nothing saved up, and know nothing of what they sent."""
        for place in range(int(self.case.restarted * len(self.directors))):
            self.directors[place] = [self._process(now, now)]

    def _ask(self, at_ms: float, director: int) -> None:
        kind, sigma = self.rng.randrange(len(CLASSES)), self.case.spread
        work = CLASSES[kind] * self.unit * math.exp(self.rng.gauss(0.0, sigma) - sigma * sigma / 2.0)
        self._push(Ask(at_ms, 0, director, kind, work))

    def _push(self, ask: Ask) -> None:
        self.order += 1
        heapq.heappush(self.asks, ask._replace(order=self.order))

    def _start_second_processes(self, now: float) -> None:
        for processes in self.directors:
            processes.append(self._process(now, now))
            for process in processes:
                process.budgets.parts = len(processes)

    def _decide(self, ask: Ask) -> None:
        process = self.rng.choice(self.directors[ask.director])
        if ask.at_ms < process.told_ms:
            return
        work = ask.work or process.budgets.work(str(ask.kind), ask.own)
        again = ask.tries < RETRIES
        if process.budgets.allows(self.member, process.tokens, ask.at_ms, work):
            process.budgets.spend(self.member, process.tokens, ask.at_ms, work)
            self.arrived(ask.at_ms, ask.kind, ask.own)
            again = again and self.rng.random() < FAILED
        if again:
            self._push(ask._replace(at_ms=ask.at_ms + RETRY_MS, tries=ask.tries + 1, work=work))


def _running_sums(shares: Iterable[float]) -> Iterable[float]:
    total = 0.0
    for share in shares:
        total += share
        yield total


def play(case: Case) -> Measured:
    return measure(Run(case).arrive(), Ramp(case.requests))


#: What differs between runs; each is played for a cache and a hub, at several N and sizes of the fleet.
KINDS: dict[str, dict[str, Any]] = {
    "told at once": {},
    "told late, uneven": {"late": 0.5, "uneven": 1.0},
    "just started, heavy tails": {"fresh": True, "spread": 1.2},
    "all ask at once": {"surge_ms": 3_000.0},
    "all ask at once after a long rest": {"surge_ms": 12_000.0},
    "all ask at once, heavy tails": {"surge_ms": 3_000.0, "spread": 1.2},
    "just started, all ask at once, heavy tails": {"surge_ms": 3_000.0, "fresh": True, "spread": 1.2},
    "low demand": {"demand": 0.3},
    "two processes each": {"beside": True, "spread": 0.7},
    "restarted after a surge": {"surge_ms": 6_000.0, "restarted": 0.7},
    "all restarted after a surge": {"surge_ms": 6_000.0, "restarted": 1.0},
    "all restarted soon after its start": {"surge_ms": 1_500.0, "restarted": 1.0},
    "restarted again and again": {"restart_ms": 500.0, "restarted": 0.7},
}


def cases(directors: int, requests: Iterable[float], seeds: range) -> list[Case]:
    return [
        Case(name, server, directors, least, seed, **changes)
        for name, changes in KINDS.items()
        for server in Server
        for least in requests
        for seed in seeds
    ]
