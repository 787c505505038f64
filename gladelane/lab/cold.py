"""Many directors in front of one server that has just started: a seeded simulation in virtual time. Pure.

Real slow-start budgets (`routing/slow_start.py`) decide; the server only counts. It would be overloaded by
more than N + 2 √N + 2 requests of mean work within the settings' window (N + 3 √N + 3 for N under 30),
where N is what the settings allow at that time. Each window is compared with the smallest bound of any N
that holds between its beginning and its end.

A cache counts the mean work of each request's class, a hub the work of the request itself.
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
from ..routing.slow_start import MEAN_SAMPLES, ColdBudgets, Work
from .cold_falls import FEW_REQUESTS, bound

START_MS = 100_000.0  # when the server's process starts
WINDOW_MS, WARM_MS = 2_000.0, 16_000.0
COLD_FROM, MULTIPLE, LINK = 0.15, 3.0, 40.0
RETRY_MS, RETRIES = 100.0, 2  # until a rejected request is retried, and how often it is
FAILED = 0.1  # share of attempts that fail and are retried
AIM_MS, DEADLINE_MS = 200.0, 100_000.0  # of both classes; requests are larger than any real ones
SURGE_AT = 0.7  # when a surge occurs, as a part of the interval between two surges
KILLED_MS = 1.0  # from a surge until directors are killed
LATE_MS = 5_000.0  # within which the late directors are notified of the server
CLASSES = (0.4, 1.6)  # mean work of two classes, requested equally often; the mean of both is 1


class Server(Enum):
    """The kind of the server that has started. A hub is a parent."""

    CACHE = "cache"
    HUB = "hub"


@dataclass(frozen=True)
class Case:
    """One run. Its random numbers are seeded with its `repr`, so the names of fields and cases are part of
    the seed.

    - `requests`: N when the server starts.
    - `demand`: rate of first attempts, as a multiple of what the server may be sent.
    - `surge_ms`: interval between surges, in which each director gets two requests at once; between them
      there are nearly no requests. 0: no surges.
    - `late`: share of the directors that are notified of the server late.
    - `fresh`: the directors started together with the server and know no mean work yet.
    - `uneven`, `spread`: sigmas (lognormal) of the directors' shares of the demand and of the work in a
      class.
    - `beside`: each director runs as two processes from the middle of the slow start on (hot restart).
    - `restarted`: share of the directors that are killed just after each surge and restart at once.
    - `restart_ms`: interval between such restarts, if there are no surges.
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
    """One attempt that reached the server. `work`: in requests of mean work, as the server counts it."""

    at_ms: float
    work: float


class Measured(NamedTuple):
    """The result of a run, in requests of mean work.

    - `over`: the largest excess of a window's sum over its bound; negative if no window exceeds it.
    - `ratio`: the largest quotient of a window's sum and its bound.
    - `used`: what was sent, as a part of all that the server may be sent during slow start.
    """

    over: float
    ratio: float
    used: float


class Ramp(NamedTuple):
    """What a server that started at `start_ms` may be sent in a window.

    `requests` at first, then rising linearly to `requests / cold_from` at `warm_ms` after the start.
    """

    requests: float
    start_ms: float = START_MS
    cold_from: float = COLD_FROM
    warm_ms: float = WARM_MS
    window_ms: float = WINDOW_MS

    def allowed(self, at_ms: float) -> float:
        """N for a window that begins at this time."""
        age = max(at_ms - self.start_ms, 0.0)
        part = min(self.cold_from + (1.0 - self.cold_from) * age / self.warm_ms, 1.0)
        return self.requests * part / self.cold_from

    def window_bound(self, at_ms: float) -> float:
        """The bound of a window that begins at this time: the least bound at any moment of the window.

        The bound rises with N, except at FEW_REQUESTS, where it drops by a step; a window may contain that.
        """
        first, last = self.allowed(at_ms), self.allowed(at_ms + self.window_ms)
        return min(bound(first), bound(FEW_REQUESTS)) if first < FEW_REQUESTS <= last else bound(first)

    def total(self) -> float:
        """All that may be sent during slow start."""
        mean = (1.0 + self.cold_from) / 2.0
        return self.requests * mean / self.cold_from * self.warm_ms / self.window_ms


def measure(arrivals: Sequence[Arrival], ramp: Ramp) -> Measured:
    """The result over all windows that begin with an arrival. `arrivals` are in the order of their times."""
    inside: deque[Arrival] = deque()
    total, over, ratio = 0.0, -ramp.window_bound(ramp.start_ms), 0.0
    for arrival in reversed(arrivals):  # backwards, so that `inside` is the window that begins here
        inside.appendleft(arrival)
        total += arrival.work
        while inside[-1].at_ms >= arrival.at_ms + ramp.window_ms:
            total -= inside.pop().work
        most = ramp.window_bound(arrival.at_ms)
        over, ratio = max(over, total - most), max(ratio, total / most)
    return Measured(over, ratio, sum(arrival.work for arrival in arrivals) / ramp.total())


def settings_for(case: Case, me: int = 0) -> Settings:
    """The settings of the director with number `me`."""
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
    """One process of a director. `informed_ms`: when it is notified of the server."""

    budgets: ColdBudgets
    tokens: Tokens
    informed_ms: float


class Ask(NamedTuple):
    """An attempt that is due at one director; the first one of a request or a retry."""

    at_ms: float
    order: int
    director: int
    kind: int
    own: float  # work of this request, in ms
    retries: int = 0
    work: Work | None = None  # as the process knew it that got the first attempt


class Run:
    """One case in virtual time."""

    def __init__(self, case: Case) -> None:
        self.case, self.rng = case, random.Random(f"{case}")
        self.settings = settings_for(case)
        kind = "mid" if case.server is Server.HUB else "box"
        self.member = Member("cold", "edge", kind, weight=LINK, started_at_ms=START_MS)
        self.unit = LINK * COLD_FROM * MULTIPLE * WINDOW_MS / case.requests  # ms of work of a mean request
        self.directors = [[self._process(START_MS, self.draw_informed_ms())] for _ in range(case.directors)]
        shares = [math.exp(self.rng.gauss(0.0, case.uneven)) for _ in range(case.directors)]
        self.shares = list(_running_sums(shares))
        self.asks: list[Ask] = []
        self.order = 0
        self.arrivals: list[Arrival] = []

    def draw_informed_ms(self) -> float:
        """Draws when a director is notified of the server."""
        late = self.rng.random() < self.case.late
        return START_MS + (self.rng.random() * LATE_MS if late else 0.0)

    def _process(self, began_ms: float, informed_ms: float) -> _Process:
        budgets = ColdBudgets(self.settings, self.case.directors, random.Random(self.rng.random()))
        budgets.learned_ms = began_ms
        tokens = Tokens()
        tokens.reset(informed_ms)
        for kind, mean in enumerate(CLASSES):
            for _ in range(0 if self.case.fresh else MEAN_SAMPLES):
                budgets.work(str(kind), mean * self.unit)
        return _Process(budgets, tokens, informed_ms)

    def arrive(self) -> list[Arrival]:
        """Runs the case and returns what reached the server during slow start."""
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
        """Records that a request of this class and work reached the server."""
        counted = CLASSES[kind] if self.case.server is Server.CACHE else own / self.unit
        self.arrivals.append(Arrival(at_ms, counted))

    def plan(self) -> None:
        """Draws all first attempts: a Poisson process, and surges in which all come at once."""
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
        """The demand at this time, as a multiple of what the server may be sent.

        Nearly none between surges. With restarted directors the demand goes on after a surge, because by then
        they have forgotten what they had spent.
        """
        case = self.case
        if not case.surge_ms:
            return case.demand
        into = (now - START_MS) % case.surge_ms / case.surge_ms
        return case.demand if case.restarted and into >= SURGE_AT else 0.05

    def _restarts(self) -> list[float]:
        """The moments at which directors are killed."""
        case = self.case
        if not case.restarted:
            return []
        if case.restart_ms:
            return [START_MS + n * case.restart_ms for n in range(1, int(WARM_MS / case.restart_ms))]
        surges = int(WARM_MS / case.surge_ms)
        return [START_MS + (n + SURGE_AT) * case.surge_ms + KILLED_MS for n in range(surges)]

    def _restart(self, now: float) -> None:
        """Replaces processes: the new ones have no tokens saved up and no record of what was sent."""
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
                process.budgets.process_count = len(processes)

    def _decide(self, ask: Ask) -> None:
        process = self.rng.choice(self.directors[ask.director])
        if ask.at_ms < process.informed_ms:
            return
        work = ask.work or process.budgets.work(str(ask.kind), ask.own)
        may_retry = ask.retries < RETRIES
        if process.budgets.allows(self.member, process.tokens, ask.at_ms, work):
            process.budgets.spend(self.member, process.tokens, ask.at_ms, work)
            self.arrived(ask.at_ms, ask.kind, ask.own)
            may_retry = may_retry and self.rng.random() < FAILED
        if may_retry:
            self._push(ask._replace(at_ms=ask.at_ms + RETRY_MS, retries=ask.retries + 1, work=work))


def _running_sums(shares: Iterable[float]) -> Iterable[float]:
    total = 0.0
    for share in shares:
        total += share
        yield total


def play(case: Case) -> Measured:
    """Runs one case."""
    return measure(Run(case).arrive(), Ramp(case.requests))


#: The fields in which the kinds of runs differ; each kind is run for a cache and a hub, with several N and
#: fleet sizes. The names are part of the seeds.
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
    """All kinds of runs for one size of the fleet."""
    return [
        Case(name, server, directors, least, seed, **changes)
        for name, changes in KINDS.items()
        for server in Server
        for least in requests
        for seed in seeds
    ]
