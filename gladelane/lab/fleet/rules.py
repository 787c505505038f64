"""The rules of a whole run, over all processes: told by clients and stand-ins, never by what is watched.

`lab.checks` watches each request; here is what only the sum of all directors shows: answers from copies
older than a purge, keys that ran twice beyond their window, how full the origin got, and the worth answered
in time. Pure."""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import NamedTuple

from ...purges.index import Index
from ...purges.scope import Scope

SLACK_MS = 5.0  # dates are whole ms
DOWN_SLACK_S = 0.05  # between a line's moment and the step that was carried out


class Made(NamedTuple):
    """An answer that was served. Times are Unix ms."""

    cls: str
    group: int
    object: int
    part: int
    sent_ms: float
    dated_ms: float
    director: str = ""
    answered_ms: float = 0.0


class Sent(NamedTuple):
    """An attempt as a server saw it. Unix ms."""

    director: str
    at_ms: float
    store: str
    source: str
    cls: str


class Purged(NamedTuple):
    """A purge that was answered: its moment, and when its sender had the answer. `dated_ms`: as its control
    server dated it, which may be a little late, and as orders carry it."""

    at_ms: float
    scope: Scope
    answered_ms: float = 0.0
    issuer: str = ""
    epoch: int = 0
    seq: int = 0
    dated_ms: float = 0.0


class PurgeName(NamedTuple):
    """What no two purges share: epoch is the start of the issuer in which it was issued."""

    issuer: str
    epoch: int
    seq: int


def name_of(purge: Purged) -> PurgeName:
    return PurgeName(purge.issuer, purge.epoch, purge.seq)


def of_earlier_starts(purges: list[Purged], latest: Mapping[str, int]) -> set[PurgeName]:
    """Answered purges that no feed of now issued: a feed with an empty folder has them from others alone.
    latest: each issuer's epoch now."""
    return {name_of(purge) for purge in purges if purge.epoch < latest.get(purge.issuer, 0)}


class Ran(NamedTuple):
    """A keyed request as a server took it."""

    key: str
    at_ms: float


def stale(made: list[Made], purges: list[Purged], delay_ms: float) -> list[Made]:
    """Answers asked for more than the delay after a purge was answered, from a copy older than it."""
    index, place, found = Index(), 0, []
    ordered = sorted(purges, key=lambda purge: max(purge.at_ms, purge.answered_ms))
    for answer in sorted(made, key=lambda answer: answer.sent_ms):
        while place < len(ordered):
            purge = ordered[place]
            if max(purge.at_ms, purge.answered_ms) + delay_ms > answer.sent_ms:
                break
            index.add(purge.scope, purge.at_ms)
            place += 1
        at = index.newest(answer.cls, answer.group, answer.object, answer.part, answer.sent_ms)
        if answer.dated_ms + SLACK_MS < at:
            found.append(answer)
    return found


def doubles(ran: list[Ran], window_ms: float, slack_ms: float = 20.0) -> list[str]:
    """Keys that ran again after their window: the server no longer knows them for a repeat."""
    first: dict[str, float] = {}
    found = []
    for one in sorted(ran, key=lambda one: one.at_ms):
        if one.at_ms - first.setdefault(one.key, one.at_ms) > window_ms + slack_ms:
            found.append(one.key)
    return found


def busiest(times: list[float], start: float, end: float) -> int:
    """The most in any second, of moments in s."""
    return max(Counter(int(at - start) for at in times if start <= at < end).values(), default=0)


def back_after(ups: list[float], downs: list[float], struck: float, until: float) -> float:
    """When a process that was struck answers again: with the last of `ups` that came of it, its starts and
    when it was resumed; `downs`: when it was ended or stopped. At once where none of these came of the
    fault; infinite: it did not come back. Seconds."""
    last_down = max((moment for moment in downs if struck - DOWN_SLACK_S <= moment < until), default=None)
    if last_down is None:
        return struck
    return max((moment for moment in ups if last_down <= moment < until), default=math.inf)


class Service:
    """The worth that was asked for and the part of it that was answered in time, by when it was due. Seconds
    of one clock.

    A share, no rate: arrivals are random, and what is asked for in two spans of HELD_S differs by more than
    the twentieth that is looked for."""

    SHARE, PERIOD_S, STEP_S = 0.95, 2.0, 0.1

    def __init__(self) -> None:
        self._asked: list[tuple[float, float]] = []  # when due, worth
        self._earned: list[tuple[float, float]] = []

    @classmethod
    def together(cls, services: Iterable[Service]) -> Service:
        joined = cls()
        for service in services:
            joined._asked += service._asked
            joined._earned += service._earned
        return joined

    def ask(self, due_s: float, weight: float) -> None:
        self._asked.append((due_s, weight))

    def earn(self, due_s: float, weight: float) -> None:
        """What was asked for then was answered in time."""
        self._earned.append((due_s, weight))

    def full_after(self, fault: float, before: tuple[float, float], until: float) -> float:
        """Seconds from a fault to the first moment from which 95 % of the share before is kept for 2 s;
        infinite: there is none up to `until`."""
        asked, earned = RunningSum(self._asked), RunningSum(self._earned)

        def share(start: float, end: float) -> float:
            weight = asked.between(start, end)
            return earned.between(start, end) / weight if weight else 0.0

        wanted = self.SHARE * share(*before)
        moment = fault
        while moment + self.PERIOD_S <= until:
            if share(moment, moment + self.PERIOD_S) >= wanted > 0.0:
                return moment - fault
            moment += self.STEP_S
        return float("inf")


class RunningSum:
    """Sums of values over spans of their moments."""

    def __init__(self, rows: list[tuple[float, float]]) -> None:
        ordered = sorted(rows)
        self._moments = [moment for moment, _ in ordered]
        self._sums = [0.0, *accumulate(value for _, value in ordered)]

    def between(self, start: float, end: float) -> float:
        first, last = bisect_left(self._moments, start), bisect_left(self._moments, end)
        return self._sums[last] - self._sums[first]
