"""Decides when a store in slow start is overloaded, and whether that is a breach. A monitor.

A store that started lately can use a part of its link only. All work that reaches it within a window of the
settings' length is summed, in ms of sending time at the mean of its class. If the sum exceeds the settings'
multiple of what the store can do at that moment, plus an allowance for chance, the store is down for the rest
of the run. The rule is broken if more than two thirds of that work came from directors that had been notified
of the start when they sent it.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt

from .checks import Broken

INFORMED_SHARE = 2.0 / 3.0  # of the work in the window; above it the directors are at fault
FEW_REQUESTS = 30.0  # with fewer allowed, the allowance for chance is larger


def bound(allowed: float) -> float:
    """The most requests of mean work that a server stands in a window in which it is meant to get `allowed`:
    the surplus is the allowance for chance."""
    slack = 3.0 if allowed < FEW_REQUESTS else 2.0
    return allowed + slack * sqrt(allowed) + slack


@dataclass(frozen=True, slots=True)
class ColdRule:
    """The slow start of one kind of store, from the settings.

    A store uses the part `cold_from` of its link at its start; the part rises to 1 within `warm_ms`. It is
    overloaded by `multiple` times what it can do during `window_ms`."""

    cold_from: float
    warm_ms: float
    multiple: float
    window_ms: float


@dataclass(frozen=True, slots=True)
class _Arrival:
    """Work that reached a store. `is_informed`: its director knew of the start."""

    at_ms: float
    work_ms: float
    is_informed: bool


@dataclass(slots=True)
class _Start:
    """One start of a store. `informed` has the directors that have been notified of it."""

    at_ms: float
    link: float
    rule: ColdRule
    informed: set[str] = field(default_factory=set)
    window: deque[_Arrival] = field(default_factory=deque)


class ColdFalls:
    """Counts the work that reaches each starting store, and decides when the store is overloaded.

    `report` is called with each breach. Links are in transfers at full rate, that is, ms of work per ms."""

    def __init__(self, report: Callable[[Broken], None]) -> None:
        self._report = report
        self._starts: dict[str, _Start] = {}
        self.falls = 0  # overloads, whether they were a breach or not

    def started(self, store: str, at_ms: float, link: float, rule: ColdRule) -> None:
        """A store has started: what reaches it counts from now on."""
        self._starts[store] = _Start(at_ms, link, rule)

    def stopped(self, store: str) -> None:
        """A store has crashed or left: nothing counts until its next start."""
        self._starts.pop(store, None)

    def notified(self, director: str, store: str, started_ms: float) -> None:
        """A director was notified that the store started at this moment."""
        start = self._starts.get(store)
        if start is not None and started_ms >= start.at_ms:
            start.informed.add(director)

    def is_informed(self, director: str, store: str) -> bool:
        """Whether a director has been notified of the last start of a store."""
        start = self._starts.get(store)
        return start is not None and director in start.informed

    def reached(self, store: str, work_ms: float, is_informed: bool, at_ms: float) -> bool:
        """Counts work that reached a store, served or not. Returns whether the work overloads the store.

        `is_informed`: the director knew of the start when it sent this."""
        start = self._starts.get(store)
        if start is None or at_ms - start.at_ms >= start.rule.warm_ms:
            return False
        window = start.window
        window.append(_Arrival(at_ms, work_ms, is_informed))
        while window[0].at_ms <= at_ms - start.rule.window_ms:
            window.popleft()
        work = sum(arrival.work_ms for arrival in window)
        allowed = _allowed(start, at_ms)
        if work <= allowed:
            return False
        self.falls += 1
        informed = sum(arrival.work_ms for arrival in window if arrival.is_informed) / work
        if informed > INFORMED_SHARE:
            age = at_ms - start.at_ms
            what = f"{store} falls {age:.0f} ms old, of {work:.0f} ms of work where it bears {allowed:.0f}"
            self._report(Broken("cold", at_ms, "", f"{what}, {informed:.0%} of it from those told"))
        del self._starts[store]
        return True


def _allowed(start: _Start, at_ms: float) -> float:
    """The most work in the window that does not overload the store: the bound of N requests.

    The size of a request is taken as the mean weighted by work: where a few large requests come among many
    small ones, the large ones determine the variance."""
    rule, window = start.rule, start.window
    part = rule.cold_from + (1.0 - rule.cold_from) * (at_ms - start.at_ms) / rule.warm_ms
    bearable = start.link * part * rule.multiple * rule.window_ms
    total = sum(arrival.work_ms for arrival in window)
    mean = sum(arrival.work_ms**2 for arrival in window) / total if total else 0.0
    if not mean:
        return bearable
    return bound(bearable / mean) * mean
