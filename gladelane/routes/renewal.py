"""How fast copies are fetched anew where the usual ones may not be used: one budget for all causes. Pure.

Copies become void when a director hears of no feed (only young ones will do), when purges were lost with a
disk (`purges/horizon.py`), and for a while after either. Every director finds out at the same moment, and
all that they ask for next would go to the origin at once. So each director renews `per_s` things a second at
first: its part of what the origin is said to do, or a figure of its own where that is not said. Directors
share nothing, so nobody knows what the others do; what each sees is whether its own renewals come in time.
While they do, the rate grows, by half every second; where one in ten is late or fails it is halved. With a
part of the origin's figure the rate does not exceed that part in the first half minute, so that all
directors together keep to the figure while most is void; after that what is asked anew is mostly what always
was.

Free of it are things that were renewed here already, and those being renewed: their answers are shared; what
turns out to have been renewed by another director is given back. What
is over the budget is refused at once with a moment to come back that grows with the crowd. What earns less
for its class has to leave a reserve to what earns more.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from enum import Enum

BURST_S = 0.5
GROW, CUT = 1.5, 0.5  # of the rate, a second
LATE_SHARE = 0.1  # of a second's renewals that tells of a crowd
LEAST_PART = 0.25  # of the first rate, under which it is never cut
RESERVE = 0.5  # of the burst, kept from the class that earns least
IDLE_MS = 1_000.0
QUIET_MS = 10_000.0  # without a refusal, after which the budget has done its work
PART_MS = 30_000.0  # for which a part of the origin's figure is not exceeded
SHARED_MS = 2_000.0  # for which a renewal that was sent has others wait on it
FOUND_MS = 100.0  # a copy older than its request by so much was there before it
THINGS = 65_536  # renewed ones that are remembered
BACK_MS, BACK_MOST = 1_000.0, 5.0  # advice to who is refused, and the most it grows to
Thing = tuple[int, int]  # object and part


class Cause(Enum):
    CUT_OFF = "cut off from all feeds"
    BACK = "feeds came back"
    LOST = "purges were lost"


class Renewal:
    """per_s: renewals a second at first; most: and at the most, 0: no bound is known. Times in Unix ms."""

    def __init__(self, per_s: float, most: float, now_ms: float, rng: random.Random) -> None:
        self.first, self.most = per_s, most
        self.causes: set[Cause] = set()
        self.rate = per_s
        self.renewed = self.refused = 0
        self._rng = rng
        self._tokens, self._at_ms = 0.0, now_ms
        self._fresh: OrderedDict[Thing, float] = OrderedDict()  # the date of the newest copy seen
        self._out: OrderedDict[Thing, float] = OrderedDict()  # since when it is being renewed
        self._sent = self._late = self._turned = 0  # this second
        self._second_ms = now_ms
        self._began_ms = self._turned_ms = now_ms

    @property
    def binds(self) -> bool:
        return bool(self.causes)

    def begin(self, cause: Cause, now_ms: float) -> None:
        """The first cause sets the budget back; those that come on top share it."""
        if not self.causes:
            self.rate = self.first
            # not all directors with a full burst at the same moment
            self._tokens, self._at_ms = self._rng.random() * self._burst(), now_ms
            self._second_ms = self._began_ms = now_ms
            self._sent = self._late = self._turned = 0
        self._turned_ms = now_ms
        self.causes.add(cause)

    def quiet(self, now_ms: float) -> bool:
        """Whether nothing was turned away for so long that the limit no longer matters."""
        return now_ms - self._turned_ms >= QUIET_MS

    def end(self, cause: Cause) -> None:
        self.causes.discard(cause)

    def idle(self, now_ms: float) -> bool:
        """Whether it turns nobody away, a second long: it binds, and nobody feels it."""
        return now_ms - self._turned_ms >= IDLE_MS

    def admits(self, thing: Thing, worth: float, oldest_ms: float, now_ms: float) -> float:
        """0: it may go on; else refused, and the advice when to come back, ms. worth: from 0 to 1, the most
        that any class earns; oldest_ms: the oldest copy that will do."""
        if not self.causes:
            return 0.0
        self._second(now_ms)
        dated = self._fresh.get(thing)
        if dated is not None and dated >= now_ms - oldest_ms:
            return 0.0
        if self._out.get(thing, -SHARED_MS) > now_ms - SHARED_MS:
            return 0.0
        gained = max(now_ms - self._at_ms, 0.0) / 1000.0 * self.rate
        self._tokens, self._at_ms = min(self._tokens + gained, self._burst()), now_ms
        reserve = RESERVE * (self._burst() - 1.0) * (1.0 - min(max(worth, 0.0), 1.0))
        if self._tokens < 1.0 + reserve:
            self.refused += 1
            self._turned += 1
            self._turned_ms = now_ms
            crowd = min(max(self._turned / max(self.rate, 1.0), 1.0), BACK_MOST)
            return BACK_MS * crowd * (0.5 + self._rng.random())
        self._tokens -= 1.0
        self.renewed += 1
        self._sent += 1
        self._out[thing] = now_ms
        self._out.move_to_end(thing)
        while self._out and next(iter(self._out.values())) <= now_ms - SHARED_MS:
            self._out.popitem(last=False)
        return 0.0

    def answered(self, thing: Thing, dated_ms: float, in_time: bool) -> None:
        """What was sent has ended with a copy of this date (0: with none). Whether anything binds or not:
        dates seen before a cause came spare renewals after it."""
        if dated_ms > self._fresh.get(thing, 0.0):
            self._fresh[thing] = dated_ms
            self._fresh.move_to_end(thing)
            if len(self._fresh) > THINGS:
                self._fresh.popitem(last=False)
        sent_ms = self._out.pop(thing, None)
        if sent_ms is None:
            return
        if 0.0 < dated_ms < sent_ms - FOUND_MS:  # another director had renewed it: the origin was not asked
            self._tokens = min(self._tokens + 1.0, self._burst())
            self.renewed -= 1
            self._sent -= 1
            return
        self._late += not in_time

    def _burst(self) -> float:
        return max(self.rate * BURST_S, 1.0)

    def _second(self, now_ms: float) -> None:
        """The rate, once a second, by what the last one's renewals came to."""
        while now_ms - self._second_ms >= 1000.0:
            if self._late > LATE_SHARE * self._sent:
                self.rate = max(self.rate * CUT, self.first * LEAST_PART)
            elif self._turned and self._sent:  # it binds, and what it lets through comes in time
                self.rate *= GROW
            if self.most and now_ms - self._began_ms < PART_MS:
                self.rate = min(self.rate, self.most)
            self._sent = self._late = self._turned = 0
            self._second_ms += 1000.0
            if now_ms - self._second_ms >= QUIET_MS:  # nobody asked for so long
                self._second_ms = now_ms
