"""When a cold store falls over, and whether that breaks the rule. A monitor, beside `lab.checks`.

A store that started lately can do a part of what its link carries. What reaches it within any window of the
settings' length is counted, in ms of sending time at its class's mean; beyond the settings' multiple of what
it can do at that moment, and what chance allows on top, it falls over and stays down. The rule is broken
where over two thirds of that work came from directors that had been told of the start when they sent it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt

from .checks import Broken

TOLD_SHARE = 2.0 / 3.0  # of the work in the window, above which the directors are at fault
FEW_REQUESTS = 30.0  # below so many allowed, chance is given more room


def bound(allowed: float) -> float:
    """Most requests of mean work that leave a server standing, of which `allowed` are not put down to
    chance."""
    slack = 3.0 if allowed < FEW_REQUESTS else 2.0
    return allowed + slack * sqrt(allowed) + slack


@dataclass(frozen=True, slots=True)
class ColdRule:
    """What the settings say of one kind of store: the part of its link that it gives at its start, within how
    long that rises to all of it, and how much more than it can do for how long makes it fall."""

    cold_from: float
    warm_ms: float
    multiple: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_ms: float
    work_ms: float
    told: bool


@dataclass(slots=True)
class _Start:
    """One start of a store. `told` are the directors that have heard of it."""

    at_ms: float
    link: float
    rule: ColdRule
    told: set[str] = field(default_factory=set)
    window: deque[_Arrival] = field(default_factory=deque)


class ColdFalls:
    """`report` hears each breach. Links are in transfers at full pace, which is ms of work a ms."""

    def __init__(self, report: Callable[[Broken], None]) -> None:
        self._report = report
        self._starts: dict[str, _Start] = {}
        self.falls = 0

    def started(self, store: str, at_ms: float, link: float, rule: ColdRule) -> None:
        self._starts[store] = _Start(at_ms, link, rule)

    def stopped(self, store: str) -> None:
        self._starts.pop(store, None)

    def told(self, director: str, store: str, started_ms: float) -> None:
        """A director heard when this store started last."""
        start = self._starts.get(store)
        if start is not None and started_ms >= start.at_ms:
            start.told.add(director)

    def is_told(self, director: str, store: str) -> bool:
        start = self._starts.get(store)
        return start is not None and director in start.told

    def reached(self, store: str, work_ms: float, told: bool, at_ms: float) -> bool:
        """Work came to a store, served or not; whether the store falls over of it. `told`: its director knew
        of the start as it sent this."""
        start = self._starts.get(store)
        if start is None or at_ms - start.at_ms >= start.rule.warm_ms:
            return False
        window = start.window
        window.append(_Arrival(at_ms, work_ms, told))
        while window[0].at_ms <= at_ms - start.rule.window_ms:
            window.popleft()
        work = sum(arrival.work_ms for arrival in window)
        allowed = _allowed(start, at_ms)
        if work <= allowed:
            return False
        self.falls += 1
        informed = sum(arrival.work_ms for arrival in window if arrival.told) / work
        if informed > TOLD_SHARE:
            age = at_ms - start.at_ms
            what = f"{store} falls {age:.0f} ms old, of {work:.0f} ms of work where it bears {allowed:.0f}"
            self._report(Broken("cold", at_ms, "", f"{what}, {informed:.0%} of it from those told"))
        del self._starts[store]
        return True


def _allowed(start: _Start, at_ms: float) -> float:
    """Work in the window that does no harm: the bound of N requests. A request counts as the mean weighted by
    work: of many small ones and a few large, the large ones make the chance."""
    rule, window = start.rule, start.window
    part = rule.cold_from + (1.0 - rule.cold_from) * (at_ms - start.at_ms) / rule.warm_ms
    bearable = start.link * part * rule.multiple * rule.window_ms
    total = sum(arrival.work_ms for arrival in window)
    mean = sum(arrival.work_ms**2 for arrival in window) / total if total else 0.0
    if not mean:
        return bearable
    return bound(bearable / mean) * mean
