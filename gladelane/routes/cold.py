"""The budget of servers that started lately: how much this director may send while they are cold. Pure.

What a server can do is told from its link where the list tells its size (warm ones may be sent more than they
can do), else from what warm ones of its kind are sent: its part of that by its age, times the multiple at
which it falls over. Work is sending time in ms.

Each director has an equal share of that: a token bucket, and a limit on what it gives in any window. In a
large fleet a share is far less than one request, and directors that each saved up for a whole one would all
have it in the same moment. So a request that the credit does not cover is drawn for: the credit is staked,
and the request is admitted with the probability that the stake is of its work; a stake that loses is gone.
What directors send together is then, on average, the sum of their stakes, and it scatters no more than
independent events do, whatever moments they are asked in.
"""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from ..interface import Member, Settings

# Shares hold for any customer: they are parts of what its settings allow all directors together within the
# window (fall_ms), and the slack above it, N + 2 √N + 2 requests for N allowed, is the same for all. They
# were chosen by the simulation (docs/design/cold.md): they leave room for chance, and for means, links and
# moments of arrival that are known roughly.
STEADY_SHARE = 0.5  # staked steadily
WINDOW_SHARE = 0.65  # staked in any window, and held by those who are asked for little
UNTOLD_MS = 1000.0  # window where none is told: shorter ones only make what is sent smoother
SLOTS = 8  # parts of a window by which stakes are remembered: the limit holds for a window and one part more
# One request is never much of a window's, or a few heavy ones by chance push over what bears many usual ones.
# Two mean ones always pass: the slack of two requests is there however little a server can do.
LARGEST_SHARE, LARGEST_MEANS = 0.25, 2.0
MEAN_OF = 50  # requests over which a class's mean work is learned: enough for sizes that differ tenfold
UNSURE = 4.0  # a mean of n requests is known within a factor of 1 + this over n: the first may be a rare one
HUB_MEAN = 0.5  # hubs count each request's own work; a small one still costs this part of its class's mean
# Spans over which the usual load of warm servers is learned. Long enough for some tens of requests a server
# where a director sees a few a second; a director that knows none takes a rough guess within a second, as it
# sends cold servers nothing until then.
RATE_MS, FIRST_RATE_MS = 5000.0, 1000.0
USUAL_STEP = 0.3  # learning rate of the usual load: three spans, about as long as servers take to get warm


class Work(NamedTuple):
    """Sending time in ms: of a request, and the bounds within which its class's mean is taken to lie."""

    own: float
    mean_high: float
    mean_low: float


class _Mean:
    """The mean work of a class at this director."""

    __slots__ = ("seen", "work")

    def __init__(self) -> None:
        self.seen, self.work = 0, 0.0

    def learn(self, own: float) -> Work:
        """The request with the mean of all, itself too."""
        self.seen = min(self.seen + 1, MEAN_OF)
        self.work += (own - self.work) / self.seen
        doubt = 1.0 + UNSURE / self.seen if self.seen < MEAN_OF else 1.0
        return Work(own, self.work * doubt, self.work / doubt)


class Tokens:
    """The bucket of one cold server at this director, work in ms. `left`: credit, below 0 a debt; `at_ms`:
    until when it is counted, below 0: not yet; `recent`: staked and spent within the last window; `won`: the
    cost of a request that won its draw in this moment and is not sent yet, `staked`: what it takes."""

    __slots__ = ("left", "at_ms", "recent", "won", "staked", "_slots")

    def __init__(self) -> None:
        self.renew(-1.0)

    def renew(self, now: float) -> None:
        """A new process was told of: nothing is saved up, credit comes from now on."""
        self.left, self.at_ms, self.recent = 0.0, now, 0.0
        self.won = self.staked = 0.0
        self._slots: deque[tuple[int, float]] = (
            deque()
        )  # number of a part of a window, and what was taken in it

    def take(self, work: float, slot: int) -> None:
        """Staked and lost, or spent."""
        self.left -= work
        self.recent += work
        if self._slots and self._slots[-1][0] == slot:
            work += self._slots.pop()[1]
        self._slots.append((slot, work))

    def forget(self, slot: int) -> None:
        """What was taken more than a window before this part of one."""
        while self._slots and self._slots[0][0] < slot - SLOTS:
            self.recent -= self._slots.popleft()[1]
        if not self._slots:
            self.recent = 0.0  # without what rounding has left


class _Kind:
    """Caches, or parents: the figures of the rule, and the work sent to warm ones."""

    def __init__(self, start: float, warm_ms: float, multiple: float, senders: int) -> None:
        self.start, self.warm_ms, self.multiple = start, warm_ms, multiple
        self.senders = max(senders, 1)
        self.sent = 0.0
        self.usual = 0.0  # work a second and warm server

    def warm(self, member: Member, now: float) -> bool:
        return not member.came_up_ms or not self.warm_ms or now - member.came_up_ms >= self.warm_ms

    def part(self, member: Member, now: float) -> float:
        """What a cold server can do of what a warm one can."""
        age = max(now - member.came_up_ms, 0.0)
        return self.start + (1.0 - self.start) * min(age / self.warm_ms, 1.0)


class ColdBudgets:
    """For the caches of the location, which its directors share, and the parents, which all share."""

    def __init__(self, settings: Settings, seats: int, rng: random.Random) -> None:
        s = settings
        # directors may be given one seed: draws that all win at once would be a crowd
        self.rng = random.Random(f"{s.me} {rng.random()}")
        self.parent_kind = s.parent_kind
        self.weighted = s.weights in ("nominal", "rough")
        self.window_ms = s.fall_ms or UNTOLD_MS
        seats = seats if s.seats_by_zone else s.proxies  # untold: all may sit here
        self.caches = _Kind(s.cold_from, s.warm_after_ms, s.fall_multiple, seats)
        self.parents = _Kind(s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple, s.proxies)
        self.learned_ms = -1.0
        self.means: dict[str, _Mean] = {}  # of classes
        self.parts = 1  # processes that are this director: while a new version runs beside the old one, two

    def _of(self, member: Member) -> _Kind:
        return self.parents if member.kind == self.parent_kind else self.caches

    def link_share(self, member: Member) -> float:
        """Work a second of this director's part of a link whose size is told, all who send there having one;
        0: it is not told. A director that has just started, or knows no warm server of that kind, has no
        usual load to go by."""
        if not self.weighted or member.weight <= 1.0:
            return 0.0
        return member.weight * 1000.0 / self._of(member).senders

    def work(self, class_name: str, own: float) -> Work:
        """Of a request that has come, once for all its attempts."""
        return self.means.setdefault(class_name, _Mean()).learn(own)

    def _cost(self, kind: _Kind, work: Work) -> float:
        """As the servers count it. Caches count a class's mean, and send what the request takes."""
        return max(work.own, work.mean_high if kind is self.caches else HUB_MEAN * work.mean_high)

    def allows(self, member: Member, tokens: Tokens, now: float, work: Work) -> bool:
        """Whether a request of this work may be sent now. One that is allowed and not sent at once has to be
        asked for again."""
        kind = self._of(member)
        if kind.warm(member, now):
            return True
        cost = self._cost(kind, work)
        together = self._allowed(kind, member, now) * kind.senders * self.window_ms / 1000.0
        if cost > LARGEST_SHARE * together + LARGEST_MEANS * work.mean_low:
            return False
        credit = self._refill(kind, member, tokens, now)
        if max(tokens.won, credit) >= cost:
            return True
        credit = max(credit, 0.0)
        if self.rng.random() * cost >= credit:
            tokens.take(credit, self._slot(now))
            return False
        tokens.won, tokens.staked = cost, credit
        return True

    def spend(self, member: Member, tokens: Tokens, now: float, work: Work) -> None:
        """It is sent."""
        kind = self._of(member)
        if kind.warm(member, now):
            kind.sent += work.own  # not what it would cost: few requests' doubt is no load of the server
            return
        cost = self._cost(kind, work)
        self._refill(kind, member, tokens, now)
        tokens.take(tokens.staked if tokens.won >= cost else cost, self._slot(now))
        tokens.won = tokens.staked = 0.0

    def _slot(self, now: float) -> int:
        return int(now * SLOTS // self.window_ms)

    def _allowed(self, kind: _Kind, member: Member, now: float) -> float:
        """Work a second that this director's share of the server bears without falling over."""
        return (self.link_share(member) or kind.usual) * kind.part(member, now) * kind.multiple

    def _refill(self, kind: _Kind, member: Member, tokens: Tokens, now: float) -> float:
        """Adds the credit earned since it was counted last; what may be staked of it now."""
        if tokens.at_ms < 0:
            tokens.renew(now)
        allowed = self._allowed(kind, member, now) / self.parts / 1000.0  # work a ms
        most = allowed * WINDOW_SHARE * self.window_ms
        if now > tokens.at_ms:
            gained = allowed * STEADY_SHARE * (now - tokens.at_ms)
            tokens.left, tokens.at_ms = min(tokens.left + gained, most), now
            tokens.won = tokens.staked = 0.0
            tokens.forget(self._slot(now))
        return min(tokens.left, most - tokens.recent)

    def learn(self, now: float, caches: Iterable[Member], parents: Iterable[Member]) -> None:
        """The usual load of warm servers, from what was sent since it was learned last."""
        if self.learned_ms < 0:
            self.learned_ms = now
        span = now - self.learned_ms
        known = self.caches.usual or self.parents.usual
        if span < (RATE_MS if known else FIRST_RATE_MS):
            return
        for kind, members in ((self.caches, caches), (self.parents, parents)):
            warm = sum(kind.warm(member, now) for member in members)
            if warm:
                rate = kind.sent / warm / span * 1000.0
                kind.usual = rate if not kind.usual else kind.usual + USUAL_STEP * (rate - kind.usual)
            kind.sent = 0.0
        self.learned_ms = now
