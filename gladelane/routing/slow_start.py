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
from collections.abc import Iterable
from dataclasses import dataclass

from ..clock import CLOCKS_AGREE_MS
from .events import Member, Settings
from .server_credit import NOT_YET, SLOTS, HeardStart, ListedServer, Tokens

# Shares hold for any customer: they are parts of what its settings allow all directors together within the
# window (fall_ms), and the slack above it, N + 2 √N + 2 requests for N allowed, is the same for all. They
# were chosen by the simulation (docs/design/cold.md): they leave room for chance, and for means, links and
# moments of arrival that are known roughly.
STEADY_SHARE = 0.5  # staked steadily
WINDOW_SHARE = 0.65  # staked in any window, and held by those who are asked for little
DEFAULT_WINDOW_MS = 1000.0  # window where none is told: shorter ones only make what is sent smoother
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
# Least link of a warm server, in work a second: a request's work is the time of one transfer at full pace,
# and a link that is idle carries at least one such transfer.
LEAST_LINK = 1000.0
# A change of the list tells of a start within this time, or it is late, or the server's clock is behind.
LISTED_WITHIN_MS = 3000.0


@dataclass(slots=True, eq=False)
class Work:
    """Sending time in ms: of a request, and the bounds within which its class's mean is taken to lie. One for
    all attempts of a request. `usual_of`: the kinds of servers whose usual load it is counted in."""

    own: float
    mean_high: float
    mean_low: float
    usual_of: tuple[_Kind, ...] = ()


class _Mean:
    """The mean work of a class at this director."""

    __slots__ = ("seen", "work")

    def __init__(self) -> None:
        self.seen, self.work = 0, 0.0

    def learn(self, own: float) -> Work:
        """The request with the mean of all, itself too."""
        self.seen = min(self.seen + 1, MEAN_OF)
        self.work += (own - self.work) / self.seen
        uncertainty = 1.0 + UNSURE / self.seen if self.seen < MEAN_OF else 1.0
        return Work(own, self.work * uncertainty, self.work / uncertainty)


class _Kind:
    """Caches, or parents: the figures of the rule, and the work of requests sent to warm ones."""

    def __init__(self, start: float, warm_ms: float, multiple: float, senders: int) -> None:
        self.start, self.warm_ms, self.multiple = start, warm_ms, multiple
        self.senders = max(senders, 1)
        self.sent = 0.0
        self.usual = 0.0  # work a second and warm server

    def count(self, work: Work) -> None:
        """A request is sent to a warm one. It counts once, as what is sent again was not done before, and not
        at what it would cost, as few requests' doubt is no load of the server."""
        if self not in work.usual_of:
            work.usual_of += (self,)
            self.sent += work.own

    def part(self, age_ms: float) -> float:
        """What a cold server of this age can do of what a warm one can."""
        return self.start + (1.0 - self.start) * min(age_ms / self.warm_ms, 1.0)


class ColdBudgets:
    """For the caches of the location, which its directors share, and the parents, which all share."""

    def __init__(self, settings: Settings, directors: int, rng: random.Random) -> None:
        s = settings
        # directors may be given one seed: draws that all win at once would be a crowd
        self.rng = random.Random(f"{s.me} {rng.random()}")
        self.parent_kind = s.parent_kind
        self.weighted = s.weights in ("nominal", "rough")
        self.window_ms = s.fall_ms or DEFAULT_WINDOW_MS
        self.most_ms = WINDOW_SHARE * self.window_ms  # taken in a window, as time in which so much is allowed
        senders = directors if s.seats_by_zone else s.proxies  # untold: all may sit here
        self.caches = _Kind(s.cold_from, s.warm_after_ms, s.fall_multiple, senders)
        self.parents = _Kind(s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple, s.proxies)
        self.learned_ms = NOT_YET  # until when the usual load is learned: from when this process began, first
        self.began_ms = NOT_YET
        self.means: dict[str, _Mean] = {}  # of classes
        # The platform's dates (Member.came_up_ms, Unix ms) less the clock that is passed as `now`. That clock
        # may be monotonic; credit is earned by it alone.
        self.date_offset_ms = 0.0
        self.clocks_disagree = False  # some date lies ahead of the clock that is passed
        self.parts = 1  # processes that are this director: while a new version runs beside the old one, two

    def _of(self, member: Member) -> _Kind:
        return self.parents if member.kind == self.parent_kind else self.caches

    def _is_warm(self, kind: _Kind, member: Member, heard: HeardStart, now: float) -> bool:
        if not member.came_up_ms or not kind.warm_ms:
            return True
        return self._age_ms(member, heard, now) >= kind.warm_ms

    def _age_ms(self, member: Member, heard: HeardStart, now: float) -> float:
        """Rather too little than too much. A server dates its own start, by a clock that may be wrong. Its
        date counts where it is likely; else the server is as old as its start has been known here."""
        known_ms = max(now - heard.at_ms, 0.0) if heard.at_ms > NOT_YET else 0.0
        if not self._is_likely(member, heard):
            return known_ms
        return max(now + self.date_offset_ms - member.came_up_ms, known_ms)

    def _is_likely(self, member: Member, heard: HeardStart) -> bool:
        """Whether a start may have been when it is dated. A change of the list tells it soon. A whole list
        tells old ones too: one that it has as warm is believed, or a director that starts while some clock
        is wrong would make all servers wait."""
        age_ms = heard.at_ms + self.date_offset_ms - member.came_up_ms
        if heard.by_change:
            return not self.clocks_disagree and age_ms <= LISTED_WITHIN_MS
        return not self.clocks_disagree or age_ms >= self._of(member).warm_ms

    def set_date_offset(self, offset_ms: float) -> None:
        """How far the platform's dates are ahead of the clock that is passed, at least, where that clock
        began as this machine's wall clock. Dates ahead of it show that ours or a server's is wrong."""
        self.date_offset_ms = min(offset_ms, 0.0)
        self.clocks_disagree = offset_ms > CLOCKS_AGREE_MS

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
        if self._is_warm(kind, member, tokens.heard, now):
            return True
        cost = self._cost(kind, work)
        together = self._allowed(kind, member, tokens, now) * kind.senders * self.window_ms / 1000.0
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
        if self._is_warm(kind, member, tokens.heard, now):
            kind.count(work)
            return
        cost = self._cost(kind, work)
        self._refill(kind, member, tokens, now)
        tokens.take(tokens.staked if tokens.won >= cost else cost, self._slot(now))
        tokens.won = tokens.staked = 0.0

    def _began(self) -> float:
        return self.learned_ms if self.began_ms == NOT_YET else self.began_ms

    def _withheld_ms(self, member: Member, tokens: Tokens, now: float) -> float:
        """What earlier processes of this director may have taken of a server within the window that ends now,
        as the time in which a director is allowed so much. This one knows nothing of it. Together they took
        at most what is earned since the server came up, and what one director may take in a window."""
        began = self._began()
        if now >= began + self.window_ms:
            return 0.0
        age_ms = self._age_ms(member, tokens.heard, began)
        return min(STEADY_SHARE * age_ms, self.most_ms)

    def _slot(self, now: float) -> int:
        return int(now * SLOTS // self.window_ms)

    def _allowed(self, kind: _Kind, member: Member, tokens: Tokens, now: float) -> float:
        """Work a second that this director's share of the server bears without falling over."""
        part = kind.part(self._age_ms(member, tokens.heard, now))
        warm_share = self.link_share(member) or kind.usual or LEAST_LINK / kind.senders
        return warm_share * part * kind.multiple

    def _refill(self, kind: _Kind, member: Member, tokens: Tokens, now: float) -> float:
        """Adds the credit earned since it was counted last; what may be staked of it now."""
        if tokens.at_ms == NOT_YET:
            tokens.renew(now)
        elif tokens.at_ms > now:  # another process's clock, which handed it over: it can't be dated here
            tokens.left, tokens.at_ms = min(tokens.left, 0.0), now
        allowed_to_director = self._allowed(kind, member, tokens, now) / 1000.0  # work a ms
        allowed = allowed_to_director / self.parts
        most = allowed * self.most_ms
        if now > tokens.at_ms:
            gained = allowed * STEADY_SHARE * max(now - max(tokens.at_ms, self._began()), 0.0)
            tokens.left, tokens.at_ms = min(tokens.left + gained, most), now
            tokens.won = tokens.staked = 0.0
            tokens.forget(self._slot(now))
        withheld = allowed_to_director * self._withheld_ms(member, tokens, now)
        return min(tokens.left, most - withheld - tokens.recent)

    def learn(self, now: float, caches: Iterable[ListedServer], parents: Iterable[ListedServer]) -> None:
        """The usual load of warm servers, from what was sent since it was learned last."""
        if self.learned_ms == NOT_YET:
            self.learned_ms = now
        if self.began_ms == NOT_YET:
            self.began_ms = self.learned_ms
        elapsed_ms = now - self.learned_ms
        known = self.caches.usual or self.parents.usual
        if elapsed_ms < (RATE_MS if known else FIRST_RATE_MS):
            return
        for kind, servers in ((self.caches, caches), (self.parents, parents)):
            warm = sum(self._is_warm(kind, server.member, server.heard, now) for server in servers)
            if warm and kind.sent:  # a time without requests says nothing of what a server bears
                rate = kind.sent / warm / elapsed_ms * 1000.0
                kind.usual = rate if not kind.usual else kind.usual + USUAL_STEP * (rate - kind.usual)
            kind.sent = 0.0
        self.learned_ms = now
