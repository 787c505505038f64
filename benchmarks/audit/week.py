"""A simulated week of a large fleet: its size in bytes, and the times of queries, snapshot and recovery."""

from __future__ import annotations

import time
from dataclasses import dataclass
from random import Random

from gladelane.audit.activity_log import ActivityLog
from gladelane.audit.audit_queries import rows_at, rows_between
from gladelane.audit.audit_store import AuditStore
from gladelane.audit.view import View, view_id
from gladelane.audit.wire import Report

HOUR_MS = 3_600_000.0
WEEK_MS = 7 * 24 * HOUR_MS
QUERIES = 20
CLASSES = ("question-item", "video-part", "answer-submit")


@dataclass(frozen=True)
class WeekFigures:
    """The figures, under the names of the report."""

    week_spans: int
    query_ms: float
    week_bytes_per_director_hour: int
    snapshot_ms: int
    recover_s: float


def measure_week(directors: int, intervals: int) -> WeekFigures:
    """Simulates a week and measures it. `intervals` is the number of activity intervals of each director."""
    store = AuditStore()
    step_ms = WEEK_MS / intervals
    views = [
        View("main", revision, f"{revision:016x}", (), f"f:1={revision}")
        for revision in range(1, intervals + 1)
    ]
    for number in range(directors):
        store.add(_report_of_week(number, views, step_ms))
    slowest_ms = _slowest_query_ms(store, directors)
    started_s = time.perf_counter()
    snapshot = store.snapshot()
    stored_s = time.perf_counter()
    restored = AuditStore()
    restored.restore(snapshot)
    assert restored.interval_count == store.interval_count
    restored_s = time.perf_counter()
    return WeekFigures(
        week_spans=store.interval_count,
        query_ms=round(slowest_ms, 1),
        week_bytes_per_director_hour=round(len(snapshot) / directors / (WEEK_MS / HOUR_MS)),
        snapshot_ms=round((stored_s - started_s) * 1000.0),
        recover_s=round(restored_s - stored_s, 2),
    )


def _report_of_week(number: int, views: list[View], step_ms: float) -> Report:
    """Returns the report of a director with one attempt of each class in each interval."""
    view_ids = [view_id(view) for view in views]
    log = ActivityLog(f"director-{number}", 1, view_ids[0], {CLASSES[0]: 1.0}, 0.0, 10**9)
    totals = {class_name: [0, 0, 0] for class_name in CLASSES}
    for index in range(1, len(views)):
        for class_name, counts in totals.items():
            log.record_attempt(class_name)
            counts[0] += 1
        log.close_interval(view_ids[index], totals, index * step_ms)
    return Report(
        log.director,
        1,
        "branch",
        0.0,
        views[-1],
        log.intervals(),
        dict(zip(view_ids, views, strict=True)),
        taken_ms=WEEK_MS,
        by="feed",
    )


def _slowest_query_ms(store: AuditStore, directors: int) -> float:
    """Returns the longest time of the queries for a point in time and for an hour of one director."""
    rng = Random(7)
    elapsed_s = []
    for _ in range(QUERIES):
        at_ms = rng.uniform(0.0, WEEK_MS)
        started_s = time.perf_counter()
        rows = rows_at(store, at_ms)
        elapsed_s.append(time.perf_counter() - started_s)
        assert len(rows) >= directors - 1
        started_s = time.perf_counter()
        rows_between(store, f"director-{rng.randrange(directors)}", at_ms, at_ms + HOUR_MS)
        elapsed_s.append(time.perf_counter() - started_s)
    return max(elapsed_s) * 1000.0
