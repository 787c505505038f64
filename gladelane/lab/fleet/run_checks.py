"""Checks of a whole run over all processes, from observations of clients and fake servers only. Pure.

`lab.checks` checks single requests. The checks here need the observations of all directors: replies from
copies older than a purge, idempotency keys executed twice beyond their window, the peak load of the origin,
and the weight of the requests that were answered in time.
"""

from __future__ import annotations

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Iterable, Mapping
from itertools import accumulate
from typing import NamedTuple

from ...purges.index import Index
from ...purges.scope import Scope

SLACK_MS = 5.0  # dates are rounded to ms
DOWN_SLACK_S = 0.05  # between the scheduled time of a step and its recorded execution


class ObservedReply(NamedTuple):
    """A successful reply. Times are Unix ms."""

    cls: str
    group: int
    object: int
    part: int
    sent_ms: float
    dated_ms: float
    director: str = ""
    answered_ms: float = 0.0


class ObservedAttempt(NamedTuple):
    """An attempt as a fake server received it. Unix ms."""

    director: str
    at_ms: float
    store: str
    source: str
    cls: str


class AcknowledgedPurge(NamedTuple):
    """A purge that was acknowledged: its time, and when its sender had the reply.

    `dated_ms`: the date that its control server assigned, which may be a little late, and which orders carry.
    """

    at_ms: float
    scope: Scope
    answered_ms: float = 0.0
    issuer: str = ""
    epoch: int = 0
    seq: int = 0
    dated_ms: float = 0.0


class PurgeName(NamedTuple):
    """Identifies a purge. `epoch`: the start of the issuer in which it was issued."""

    issuer: str
    epoch: int
    seq: int


def purge_name(purge: AcknowledgedPurge) -> PurgeName:
    """The identifier of a purge."""
    return PurgeName(purge.issuer, purge.epoch, purge.seq)


def purges_of_earlier_starts(purges: list[AcknowledgedPurge], latest: Mapping[str, int]) -> set[PurgeName]:
    """Acknowledged purges that were issued in an earlier start of their control server.

    A control server with an empty folder can have them from others only. `latest`: the present epoch of
    each issuer.
    """
    return {purge_name(purge) for purge in purges if purge.epoch < latest.get(purge.issuer, 0)}


class KeyedRequest(NamedTuple):
    """A request with an idempotency key, as a server received it."""

    key: str
    at_ms: float


def find_stale_replies(
    replies: list[ObservedReply], purges: list[AcknowledgedPurge], delay_ms: float
) -> list[ObservedReply]:
    """Replies from a copy older than a purge, to requests later than its acknowledgement plus the delay."""
    index, next_purge, found = Index(), 0, []
    ordered = sorted(purges, key=lambda purge: max(purge.at_ms, purge.answered_ms))
    for reply in sorted(replies, key=lambda reply: reply.sent_ms):
        while next_purge < len(ordered):
            purge = ordered[next_purge]
            if max(purge.at_ms, purge.answered_ms) + delay_ms > reply.sent_ms:
                break
            index.add(purge.scope, purge.at_ms)
            next_purge += 1
        at = index.newest_purge_ms(reply.cls, reply.group, reply.object, reply.part, reply.sent_ms)
        if reply.dated_ms + SLACK_MS < at:
            found.append(reply)
    return found


def find_late_duplicates(
    keyed_requests: list[KeyedRequest], window_ms: float, slack_ms: float = 20.0
) -> list[str]:
    """Keys that were executed again after their window, when the server no longer detects the duplicate."""
    first: dict[str, float] = {}
    found = []
    for one in sorted(keyed_requests, key=lambda one: one.at_ms):
        if one.at_ms - first.setdefault(one.key, one.at_ms) > window_ms + slack_ms:
            found.append(one.key)
    return found


def max_per_second(times: list[float], start: float, end: float) -> int:
    """The largest number of times in any second between start and end."""
    return max(Counter(int(at - start) for at in times if start <= at < end).values(), default=0)


def time_back(ups: list[float], downs: list[float], fault_s: float, until: float) -> float:
    """When a process replies again after a fault, in seconds.

    - `ups`: when it started or was resumed; the last one that followed from the fault counts.
    - `downs`: when it was ended or stopped.

    Returns `fault_s` if the process was not down because of the fault, and infinity if it did not come back.
    """
    last_down = max((moment for moment in downs if fault_s - DOWN_SLACK_S <= moment < until), default=None)
    if last_down is None:
        return fault_s
    return max((moment for moment in ups if last_down <= moment < until), default=math.inf)


class Service:
    """The weight of requests, and of those that were answered in time, by due time. Seconds of one clock.

    Compares shares, not rates: arrivals are random, so the requested weight in two periods of PERIOD_S
    differs by more than the 5 % that the comparison has to detect.
    """

    SHARE, PERIOD_S, STEP_S = 0.95, 2.0, 0.1

    def __init__(self) -> None:
        self._requested: list[tuple[float, float]] = []  # due time, weight
        self._timely: list[tuple[float, float]] = []

    @classmethod
    def together(cls, services: Iterable[Service]) -> Service:
        """The sum of several services."""
        joined = cls()
        for service in services:
            joined._requested += service._requested
            joined._timely += service._timely
        return joined

    def record_request(self, due_s: float, weight: float) -> None:
        """Records a request."""
        self._requested.append((due_s, weight))

    def record_timely_reply(self, due_s: float, weight: float) -> None:
        """Records that a request was answered in time."""
        self._timely.append((due_s, weight))

    def seconds_until_full(self, fault: float, before: tuple[float, float], until: float) -> float:
        """Seconds from a fault until at least 95 % of the earlier share is reached for PERIOD_S.

        Infinity if this does not happen before `until`.
        """
        requested, timely = RunningSum(self._requested), RunningSum(self._timely)

        def share(start: float, end: float) -> float:
            weight = requested.between(start, end)
            return timely.between(start, end) / weight if weight else 0.0

        wanted = self.SHARE * share(*before)
        moment = fault
        while moment + self.PERIOD_S <= until:
            if share(moment, moment + self.PERIOD_S) >= wanted > 0.0:
                return moment - fault
            moment += self.STEP_S
        return float("inf")


class RunningSum:
    """Sums of values by time."""

    def __init__(self, rows: list[tuple[float, float]]) -> None:
        ordered = sorted(rows)
        self._moments = [moment for moment, _ in ordered]
        self._sums = [0.0, *accumulate(value for _, value in ordered)]

    def between(self, start: float, end: float) -> float:
        """The sum of the values from `start` to before `end`."""
        first, last = bisect_left(self._moments, start), bisect_left(self._moments, end)
        return self._sums[last] - self._sums[first]
