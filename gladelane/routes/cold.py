"""The budget of servers that started lately: how much this director may send while they are cold. Pure.

What a server can do is told from its link where the list tells its size (warm ones may be sent more than they
can do), else from what warm ones of its kind are sent: its part of that by its age, times the multiple at
which it falls over. Work is sending time in ms.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from ..interface import Member, Settings

COLD_RATE, COLD_BURST = 0.35, 0.15  # parts of a cold server's bearing that are sent steadily, and at once
RATE_MS, FIRST_RATE_MS = 5000.0, 1000.0  # spans over which the usual load of warm servers is learned
USUAL_STEP = 0.3  # learning rate of the usual load


class Tokens:
    """A cold server's budget at this director: work that may be sent now, when it was counted, and the most
    that one request took."""

    __slots__ = ("left", "at_ms", "most")

    def __init__(self) -> None:
        self.left, self.at_ms, self.most = 0.0, -1.0, 0.0

    def renew(self) -> None:
        """A new process: what was sent to the old one is void."""
        self.at_ms = -1.0


class _Kind:
    """Caches, or parents: the figures of the rule, and the work sent to warm ones."""

    def __init__(self, start: float, warm_ms: float, multiple: float, senders: int) -> None:
        self.start, self.warm_ms, self.multiple = start, warm_ms, multiple
        self.senders = max(senders, 1)
        self.sent = 0.0
        self.usual = 0.0  # work a second and warm server

    def warm(self, member: Member, now: float) -> bool:
        return not member.came_up_ms or not self.warm_ms or now - member.came_up_ms >= self.warm_ms


class ColdBudgets:
    """For the caches of the location, which its directors share, and the parents, which all share."""

    def __init__(self, settings: Settings, seats: int, rng: random.Random) -> None:
        s = settings
        self.rng = rng
        self.parent_kind = s.parent_kind
        self.weighted = s.weights in ("nominal", "rough")
        self.fall_ms = s.fall_ms
        self.caches = _Kind(s.cold_from, s.warm_after_ms, s.fall_multiple, seats)
        self.parents = _Kind(s.parent_cold_from, s.parent_cold_ms, s.parent_fall_multiple, s.proxies)
        self.learned_ms = -1.0
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

    def allows(self, member: Member, tokens: Tokens, now: float, work: float) -> bool:
        """Whether it can take this much more."""
        kind = self._of(member)
        if kind.warm(member, now):
            return True
        self._refill(kind, member, tokens, now, work)
        return tokens.left >= work

    def spend(self, member: Member, tokens: Tokens, now: float, work: float) -> None:
        kind = self._of(member)
        if kind.warm(member, now):
            kind.sent += work
        else:
            self._refill(kind, member, tokens, now, work)
            tokens.left -= work

    def _refill(self, kind: _Kind, member: Member, tokens: Tokens, now: float, work: float) -> None:
        """One that carries less than a request of its own saves up for it: forty that each sent one on credit
        would be a crowd. Where in that they begin is chance, or all would have saved enough at one moment."""
        part = kind.start + (1.0 - kind.start) * max(now - member.came_up_ms, 0.0) / kind.warm_ms
        # work a second
        bearing = (self.link_share(member) or kind.usual) * part * kind.multiple / self.parts
        depth = bearing * COLD_BURST * self.fall_ms / 1000.0
        if tokens.at_ms < 0:
            tokens.left, tokens.at_ms = self.rng.random() * work if 0.0 < depth < work else 0.0, now
        tokens.most = max(tokens.most, work)
        gained = bearing * COLD_RATE * (now - tokens.at_ms) / 1000.0
        tokens.left, tokens.at_ms = min(tokens.left + gained, max(depth, tokens.most)), now

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
