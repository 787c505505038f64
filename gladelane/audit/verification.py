"""Finds inconsistencies in an audit store: altered, dropped, duplicated and misdated intervals. No I/O, no
clock."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from .activity_log import ActivityInterval, first_seal, is_seal_valid
from .audit_store import AuditStore
from .records import Inconsistency
from .run_history import RunHistory
from .wire import RunId

# an interval that ends later than this after its report was accepted is misdated
FUTURE_TOLERANCE_MS = 2_000.0


@dataclass(frozen=True)
class _Fault:
    number: int
    kind: str


@dataclass(frozen=True)
class _Predecessor:
    """The end of the interval that must precede the next one. Number 0 means that there is none."""

    seal: str
    to_ms: float = 0.0
    number: int = 0


def find_inconsistencies(store: AuditStore) -> list[Inconsistency]:
    """All inconsistencies in a store."""
    found = [
        Inconsistency(director, start, 0, "unnamed") for director, start in store.runs_with_wrong_view_id
    ]
    found += [
        Inconsistency(conflict.director, conflict.start, conflict.number, "doubled")
        for conflict in store.conflicts
    ]
    for (director, start), run in store.runs.items():
        for fault in _faults(RunId(director, start), run):
            found.append(Inconsistency(director, start, fault.number, fault.kind))
    return found


def _faults(run_id: RunId, run: RunHistory) -> Iterator[_Fault]:
    """Follows the chain of seals of one start and yields each fault in it."""
    before = _Predecessor(first_seal(run_id.director, run_id.start))
    for index in range(len(run.numbers)):
        interval = run.interval(index)
        before = _after_gap(run, before)
        yield from _interval_faults(run, before, interval)
        before = _Predecessor(interval.seal, interval.to_ms, interval.number)
    yield from _open_faults(run, before)


def _after_gap(run: RunHistory, before: _Predecessor) -> _Predecessor:
    """The predecessor of the next interval, after a lost range if one follows `before`."""
    lost_range = next((one for one in run.lost if one.first == before.number + 1), None)
    if lost_range is None or run.has(lost_range.first):
        return before
    return _Predecessor(lost_range.seal, lost_range.to_ms, lost_range.last)


def _interval_faults(run: RunHistory, before: _Predecessor, interval: ActivityInterval) -> Iterator[_Fault]:
    if interval.number != before.number + 1:
        yield _Fault(before.number + 1, "dropped")
    elif not is_seal_valid(before.seal, interval):
        yield _Fault(interval.number, "altered")
    elif before.number and interval.from_ms != before.to_ms:
        yield _Fault(interval.number, "dated")
    if run.offset is not None and run.taken_ms:
        if interval.to_ms + run.offset[0] > run.taken_ms + FUTURE_TOLERANCE_MS:
            yield _Fault(interval.number, "dated")


def _open_faults(run: RunHistory, before: _Predecessor) -> Iterator[_Fault]:
    """Faults between the last closed interval and the open one."""
    if run.open is None:
        return
    if run.open.number > before.number + 1 and run.taken_ms:
        yield _Fault(before.number + 1, "missing")  # closed intervals have not arrived yet
    if run.open.number == before.number + 1 and before.number and run.open.from_ms != before.to_ms:
        yield _Fault(run.open.number, "dated")
