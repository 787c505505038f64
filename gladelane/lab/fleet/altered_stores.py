"""Copies of an audit store with one alteration each, which the verification must find. Pure.

Alterations are those of someone who changes stored reports: counts, views and times that differ, intervals
that are missing or stand twice, and a view under the name of another.
"""

from __future__ import annotations

import copy
from collections.abc import Callable
from random import Random

import msgspec

from ...audit.activity_log import ActivityInterval, with_seal
from ...audit.audit_store import AuditStore
from ...audit.verification import find_inconsistencies
from ...audit.wire import RunId

DATE_SHIFT_MS = 5_000.0  # of a date that is altered
UNLIMITED_BYTES = 2**31  # more bytes than a store has
Intervals = list[ActivityInterval]
Change = Callable[[Intervals], Intervals]  # of all intervals of a report


def altered_copies(store: AuditStore, rng: Random) -> dict[str, AuditStore]:
    """Copies of a store with one alteration in each, by name."""
    victim, number = _victim(store, rng)
    own_view = _interval_of(store, victim, number).view
    other_view = next(name for name in store.views if name != own_view)
    changes: dict[str, Change] = {
        "a count altered": _replacing(number, _with_one_more),
        "a view altered": _replacing(
            number, lambda interval: msgspec.structs.replace(interval, view=other_view)
        ),
        "a span dropped": lambda intervals: [one for one in intervals if one.number != number],
        "a span doubled, with other counts": _doubling(number),
        "a span dated later": _replacing(number, lambda one: _shifted(one, DATE_SHIFT_MS)),
        "a span dated earlier": _replacing(number, lambda one: _shifted(one, -DATE_SHIFT_MS)),
        "altered and sealed anew": _replacing(number, lambda one: with_seal("00", _with_one_more(one))),
    }
    found = {name: _altered(store, victim, change) for name, change in changes.items()}
    return {**found, "a view under another's name": _with_altered_view(store, other_view)}


def has_inconsistency(store: AuditStore) -> bool:
    """Whether the verification of a store finds an alteration."""
    return any(wrong.what != "missing" for wrong in find_inconsistencies(store))


def _altered(store: AuditStore, victim: RunId, change: Change) -> AuditStore:
    """A copy with a change in each report of one run."""
    altered_store = AuditStore()
    for report in store.missing_reports({}, UNLIMITED_BYTES):
        intervals = list(report.intervals)
        if report.run_id == victim:
            intervals = change(intervals)
        altered_store.add(msgspec.structs.replace(report, intervals=intervals))
    return altered_store


def _replacing(number: int, replace: Callable[[ActivityInterval], ActivityInterval]) -> Change:
    return lambda intervals: [replace(one) if one.number == number else one for one in intervals]


def _doubling(number: int) -> Change:
    """Adds the interval again at the end, with other counts."""
    return lambda intervals: [*intervals, *(_with_one_more(one) for one in intervals if one.number == number)]


def _with_one_more(interval: ActivityInterval) -> ActivityInterval:
    counts = copy.deepcopy(interval.counts)
    next(iter(counts.values())).sent += 1
    return msgspec.structs.replace(interval, counts=counts)


def _shifted(interval: ActivityInterval, by_ms: float) -> ActivityInterval:
    return msgspec.structs.replace(interval, from_ms=interval.from_ms + by_ms, to_ms=interval.to_ms + by_ms)


def _with_altered_view(store: AuditStore, name: str) -> AuditStore:
    altered = copy.deepcopy(store)
    altered.views[name] = msgspec.structs.replace(altered.views[name], rev=altered.views[name].rev + 7)
    altered_store = AuditStore()
    for report in altered.missing_reports({}, UNLIMITED_BYTES):
        altered_store.add(report)
    return altered_store


def _victim(store: AuditStore, rng: Random) -> tuple[RunId, int]:
    """A random interval with attempts that is neither the first nor the last of its report."""
    candidates = [
        (report.run_id, interval.number)
        for report in store.missing_reports({}, UNLIMITED_BYTES)
        for interval in report.intervals[1:-1]
        if any(count.sent for count in interval.counts.values())
    ]
    return rng.choice(candidates)


def _interval_of(store: AuditStore, run_id: RunId, number: int) -> ActivityInterval:
    report = next(store.missing_reports_of(run_id, number - 1, 1))
    return report.intervals[0]
