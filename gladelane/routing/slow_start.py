"""Slow start: limits what this director sends to servers that started recently and are still cold.

The capacity of a warm server is taken from the size of its link if the endpoint list gives it (the load of
warm servers may exceed their capacity), and otherwise from the load that warm servers of its kind receive. A
cold server is allowed the part of this that its age gives, times the multiple at which it becomes overloaded.
Work is measured as sending time in ms.

Each director has an equal share of the allowed work: a token bucket, with an additional limit on what is
spent in any window. In a large fleet a share is far less than one request, and directors that each
accumulated credit for a complete request would all have it at the same moment. A request that the credit does
not cover is therefore admitted at random: the director stakes its credit, and the request is admitted with
the probability credit / work; the credit is lost if it is not. The mean of what all directors send is then
the sum of their stakes, with the variance of independent events, whenever the requests arrive.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass

from ..clock import CLOCKS_AGREE_MS
from .events import Member, Settings
from .server_credit import NEVER_MS, SLOTS, ListedServer, ObservedStart, Tokens

# The shares apply to any deployment: they are parts of what its settings allow all directors together within
# the window (fall_ms), and the tolerance, N + 2 √N + 2 requests if N are allowed, is the same for all. They
# were determined by simulation (docs/design/cold.md) with a margin for random variation and for errors in the
# estimates of mean work, links and arrival times.
STEADY_SHARE = 0.5  # of the allowed work: the rate at which credit is earned
WINDOW_SHARE = 0.65  # of the allowed work: the most spent in any window, and the most credit accumulated
DEFAULT_WINDOW_MS = 1000.0  # used if the settings give none; a shorter window only makes the load smoother
# A single request must be a small part of a window's work: otherwise a few large requests could by chance
# overload a server that can bear many usual ones. Up to twice the mean work is always permitted, because the
# tolerance includes two requests however small the capacity of a server is.
MAX_REQUEST_SHARE, MAX_REQUEST_MEANS = 0.25, 2.0
# Number of requests over which the mean work of a class is learned; enough for sizes that vary tenfold.
MEAN_SAMPLES = 50
# The mean of n requests may be wrong by a factor of 1 + MEAN_UNCERTAINTY / n, as the first may be untypical.
MEAN_UNCERTAINTY = 4.0
# Hubs account for the work of each request, and a small request costs at least this part of its class's mean.
MIN_HUB_COST_SHARE = 0.5
# Intervals over which the usual load of warm servers is learned. The first is long enough for some tens of
# requests per server if a director sees a few per second. A director without an estimate makes a rough one
# after FIRST_LOAD_INTERVAL_MS, because it sends nothing to cold servers until then.
LOAD_INTERVAL_MS, FIRST_LOAD_INTERVAL_MS = 5000.0, 1000.0
# Learning rate of the usual load. It adapts in about three intervals, as long as servers take to warm up.
LOAD_LEARNING_RATE = 0.3
# Lower bound for the link of a warm server, in work per second. The work of a request is the duration of one
# transfer at the full rate, and an idle link carries at least one such transfer.
MIN_LINK_WORK_PER_S = 1000.0
# A list change normally reports a start within this time. If it takes longer, the report is late or the
# clock of the server is behind.
LISTED_WITHIN_MS = 3000.0


@dataclass(slots=True, eq=False)
class Work:
    """The work of a request (`own`), and bounds for the mean work of its class; sending time in ms. All
    attempts of a request share one. `usual_of` lists the kinds of servers in whose usual load it was
    counted."""

    own: float
    mean_high: float
    mean_low: float
    usual_of: tuple[_ServerKind, ...] = ()


class _Mean:
    """The mean work of the requests of one class at this director."""

    __slots__ = ("samples", "work")

    def __init__(self) -> None:
        self.samples, self.work = 0, 0.0

    def learn(self, own: float) -> Work:
        """Includes a request in the mean; returns its work with bounds for the mean."""
        self.samples = min(self.samples + 1, MEAN_SAMPLES)
        self.work += (own - self.work) / self.samples
        uncertainty = 1.0 + MEAN_UNCERTAINTY / self.samples if self.samples < MEAN_SAMPLES else 1.0
        return Work(own, self.work * uncertainty, self.work / uncertainty)


class _ServerKind:
    """One kind of servers, caches or parents: its slow start settings, and the work sent to warm servers."""

    def __init__(self, start_share: float, warm_ms: float, multiple: float, senders: int) -> None:
        self.start_share, self.warm_ms, self.multiple = start_share, warm_ms, multiple
        self.senders = max(senders, 1)
        self.sent = 0.0
        self.usual = 0.0  # work per second and warm server

    def count(self, work: Work) -> None:
        """Counts a request that is sent to a warm server. Retries are not counted again, because the earlier
        attempt was not completed. It counts with its own work instead of its cost, because the safety margin
        for an uncertain mean is not load on the server."""
        if self not in work.usual_of:
            work.usual_of += (self,)
            self.sent += work.own

    def capacity_share(self, age_ms: float) -> float:
        """The capacity of a cold server of this age as a part of that of a warm one."""
        return self.start_share + (1.0 - self.start_share) * min(age_ms / self.warm_ms, 1.0)


class ColdBudgets:
    """The budgets for cold caches, which the directors of the zone share, and for cold parents, which all
    directors share."""

    def __init__(self, settings: Settings, directors: int, rng: random.Random) -> None:
        s = settings
        # Directors may be given the same seed, but their random admissions must not coincide.
        self.rng = random.Random(f"{s.me} {rng.random()}")
        self.parent_kind = s.parent_kind
        self.is_weighted = s.weights in ("nominal", "rough")
        self.window_ms = s.fall_ms or DEFAULT_WINDOW_MS
        # the most spent in a window, as the time in which that much work is allowed
        self.max_spending_ms = WINDOW_SHARE * self.window_ms
        # all directors may be in this zone if the settings do not give their number
        senders = directors if s.seats_by_zone else s.proxies
        self.caches = _ServerKind(s.cold_from, s.warm_after_ms, s.fall_multiple, senders)
        self.parents = _ServerKind(s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple, s.proxies)
        # when the usual load was last updated; initially, when this process started
        self.learned_ms = NEVER_MS
        self.started_ms = NEVER_MS
        self.means: dict[str, _Mean] = {}  # by class
        # Difference between the platform's dates (Member.started_at_ms, Unix ms) and the clock passed as
        # `now`. That clock may be monotonic; credit is earned by it alone.
        self.date_offset_ms = 0.0
        self.clocks_disagree = False  # whether a date of the platform is ahead of the clock passed as `now`
        self.process_count = 1  # processes of this director: two during a hot restart

    def _kind_of(self, member: Member) -> _ServerKind:
        return self.parents if member.kind == self.parent_kind else self.caches

    def _is_warm(self, kind: _ServerKind, member: Member, observed_start: ObservedStart, now: float) -> bool:
        if not member.started_at_ms or not kind.warm_ms:
            return True
        return self._age_ms(member, observed_start, now) >= kind.warm_ms

    def _age_ms(self, member: Member, observed_start: ObservedStart, now: float) -> float:
        """A conservative estimate of a server's age. A server dates its own start by a clock that may be
        wrong. The date is used if it is plausible; otherwise the age is the time since its start became known
        here."""
        known_ms = max(now - observed_start.at_ms, 0.0) if observed_start.at_ms > NEVER_MS else 0.0
        if not self._is_date_plausible(member, observed_start):
            return known_ms
        return max(now + self.date_offset_ms - member.started_at_ms, known_ms)

    def _is_date_plausible(self, member: Member, observed_start: ObservedStart) -> bool:
        """Whether the date of a start is plausible. A list change reports a start soon after it happened. A
        complete list also contains old starts; a server that is warm by its date is then accepted as warm,
        because otherwise a director that starts while some clock is wrong would treat all servers as cold."""
        age_ms = observed_start.at_ms + self.date_offset_ms - member.started_at_ms
        if observed_start.by_change:
            return not self.clocks_disagree and age_ms <= LISTED_WITHIN_MS
        return not self.clocks_disagree or age_ms >= self._kind_of(member).warm_ms

    def set_date_offset(self, offset_ms: float) -> None:
        """Sets the lower bound for how far the platform's dates are ahead of the clock passed as `now`, which
        started at this machine's wall clock time. Dates ahead of it show that our clock or a server's is
        wrong."""
        self.date_offset_ms = min(offset_ms, 0.0)
        self.clocks_disagree = offset_ms > CLOCKS_AGREE_MS

    def link_share(self, member: Member) -> float:
        """This director's share of the link of a server, in work per second; 0 if the endpoint list does not
        give its size. All directors that send to the server have equal shares. It makes a director that has
        just started, or knows no warm server of the kind, independent of the usual load."""
        if not self.is_weighted or member.weight <= 1.0:
            return 0.0
        return member.weight * 1000.0 / self._kind_of(member).senders

    def work(self, class_name: str, own: float) -> Work:
        """The work of a request that has arrived; called once for all of its attempts."""
        return self.means.setdefault(class_name, _Mean()).learn(own)

    def _cost(self, kind: _ServerKind, work: Work) -> float:
        """The cost of a request as the servers account for it. Caches account for the mean of the class, and
        the actual transfer may take more."""
        return max(work.own, work.mean_high if kind is self.caches else MIN_HUB_COST_SHARE * work.mean_high)

    def allows(self, member: Member, tokens: Tokens, now: float, work: Work) -> bool:
        """Whether a request of this work may be sent now. If it is not sent immediately, the question has to
        be asked again."""
        kind = self._kind_of(member)
        if self._is_warm(kind, member, tokens.observed_start, now):
            return True
        cost = self._cost(kind, work)
        allowed_to_all = self._allowed(kind, member, tokens, now) * kind.senders * self.window_ms / 1000.0
        if cost > MAX_REQUEST_SHARE * allowed_to_all + MAX_REQUEST_MEANS * work.mean_low:
            return False
        credit = self._refill(kind, member, tokens, now)
        if max(tokens.admitted_cost, credit) >= cost:
            return True
        credit = max(credit, 0.0)
        if self.rng.random() * cost >= credit:
            tokens.take(credit, self._slot(now))
            return False
        tokens.admitted_cost, tokens.stake = cost, credit
        return True

    def spend(self, member: Member, tokens: Tokens, now: float, work: Work) -> None:
        """Accounts for a request that is sent."""
        kind = self._kind_of(member)
        if self._is_warm(kind, member, tokens.observed_start, now):
            kind.count(work)
            return
        cost = self._cost(kind, work)
        self._refill(kind, member, tokens, now)
        tokens.take(tokens.stake if tokens.admitted_cost >= cost else cost, self._slot(now))
        tokens.admitted_cost = tokens.stake = 0.0

    def _process_started_ms(self) -> float:
        return self.learned_ms if self.started_ms == NEVER_MS else self.started_ms

    def _withheld_ms(self, member: Member, tokens: Tokens, now: float) -> float:
        """The credit that earlier processes of this director may have spent on a server within the window
        that ends now, as the time in which a director earns it. This process has no record of it. At most it
        is the credit earned since the server started, and the most that a director may spend in a window."""
        started_ms = self._process_started_ms()
        if now >= started_ms + self.window_ms:
            return 0.0
        age_ms = self._age_ms(member, tokens.observed_start, started_ms)
        return min(STEADY_SHARE * age_ms, self.max_spending_ms)

    def _slot(self, now: float) -> int:
        return int(now * SLOTS // self.window_ms)

    def _allowed(self, kind: _ServerKind, member: Member, tokens: Tokens, now: float) -> float:
        """Work per second that this director's share of the server's capacity bears without overload."""
        capacity_share = kind.capacity_share(self._age_ms(member, tokens.observed_start, now))
        warm_share = self.link_share(member) or kind.usual or MIN_LINK_WORK_PER_S / kind.senders
        return warm_share * capacity_share * kind.multiple

    def _refill(self, kind: _ServerKind, member: Member, tokens: Tokens, now: float) -> float:
        """Adds the credit earned since the last call; returns how much of it may be staked now."""
        if tokens.at_ms == NEVER_MS:
            tokens.reset(now)
        elif tokens.at_ms > now:  # handed over by a process with another clock: cannot be converted
            tokens.credit, tokens.at_ms = min(tokens.credit, 0.0), now
        allowed_to_director = self._allowed(kind, member, tokens, now) / 1000.0  # work per ms
        allowed = allowed_to_director / self.process_count
        max_credit = allowed * self.max_spending_ms
        if now > tokens.at_ms:
            earned = allowed * STEADY_SHARE * max(now - max(tokens.at_ms, self._process_started_ms()), 0.0)
            tokens.credit, tokens.at_ms = min(tokens.credit + earned, max_credit), now
            tokens.admitted_cost = tokens.stake = 0.0
            tokens.drop_expired_usage(self._slot(now))
        withheld = allowed_to_director * self._withheld_ms(member, tokens, now)
        return min(tokens.credit, max_credit - withheld - tokens.recently_taken)

    def learn(self, now: float, caches: Iterable[ListedServer], parents: Iterable[ListedServer]) -> None:
        """Updates the usual load of warm servers from the work sent since the last update."""
        if self.learned_ms == NEVER_MS:
            self.learned_ms = now
        if self.started_ms == NEVER_MS:
            self.started_ms = self.learned_ms
        elapsed_ms = now - self.learned_ms
        has_estimate = self.caches.usual or self.parents.usual
        if elapsed_ms < (LOAD_INTERVAL_MS if has_estimate else FIRST_LOAD_INTERVAL_MS):
            return
        for kind, servers in ((self.caches, caches), (self.parents, parents)):
            warm_count = sum(
                self._is_warm(kind, server.member, server.observed_start, now) for server in servers
            )
            if warm_count and kind.sent:  # without requests, nothing is learned about capacity
                rate = kind.sent / warm_count / elapsed_ms * 1000.0
                kind.usual = rate if not kind.usual else kind.usual + LOAD_LEARNING_RATE * (rate - kind.usual)
            kind.sent = 0.0
        self.learned_ms = now
