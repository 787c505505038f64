"""Compares the audit of a run with independent observations of fake servers, links and the discovery server.

The product is not trusted here: attempts are those that fake servers received, leases those whose requests
and replies passed the relays, endpoint lists those that the discovery server sent. The audit is read from
the folders of the control servers after the run.
"""

from __future__ import annotations

import asyncio
import json
import signal
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import replace
from pathlib import Path
from statistics import quantiles
from typing import Any

from ...audit.audit_queries import directors, rows_between
from ...audit.audit_store import AuditStore
from ...audit.records import AuditRow, Knowledge
from ...audit.report_log import ReportLog
from ...audit.verification import find_inconsistencies
from ...audit.view import parse_positions
from ...audit.view_lease import Stage
from ...control_plane.http import fetch
from ...storage.files import Folder
from .event_loop_stalls import EventLoopStalls
from .fleet import TOKEN, Fleet
from .load import Load
from .relay import ForwardedReport
from .report_positions import positions_at
from .run_checks import SLACK_MS, AcknowledgedPurge, ObservedAttempt, ObservedReply
from .schedule_run import run_schedule
from .shape import Shape

EXPIRY_TOLERANCE_MS = 50.0  # for attempts in flight to a fake server when a lease expires
MAX_OBSERVATION_DELAY_MS = 60.0  # from a decision of a director to its observation at a fake server
SETTLE_S = 1.2  # before the results are read
REPLICATION_TIMEOUT_S = 30.0  # much longer than needed


def read_audit_store(folder: Path) -> AuditStore:
    """Reads the audit from the folder of a control server that has ended."""
    store = AuditStore()
    ReportLog(Folder(folder), store).close()
    return store


class EndpointListHistory:
    """The servers in service at each revision of the endpoint list."""

    def __init__(self, watch_events: list[dict[str, Any]]) -> None:
        self._by_rev: dict[int, frozenset[str]] = {}
        state: dict[str, str] = {}
        for watch_event in watch_events:
            pool = watch_event.get("pool")
            if pool is not None:
                state = {} if pool.get("reset") else state
                state |= {one["instanceId"]: one["lifecycle"] for one in pool["instances"]}
            self._by_rev[watch_event["rev"]] = frozenset(
                n for n, lifecycle in state.items() if lifecycle == "in_service"
            )

    def allows_attempt(self, rev: int, attempt: ObservedAttempt) -> bool:
        """Whether an attempt is possible under a view with this revision."""
        serving = self._by_rev.get(rev, frozenset())
        return attempt.store in serving and (not attempt.source or attempt.source in serving)


def rows_covering(rows: list[AuditRow], at_ms: float, late_ms: float = 0.0) -> list[AuditRow]:
    """The rows whose interval may contain an observation at this time, at most `late_ms` late."""
    return [
        row
        for row in rows
        if row.from_ms - MAX_OBSERVATION_DELAY_MS <= at_ms <= row.to_ms + MAX_OBSERVATION_DELAY_MS + late_ms
    ]


def find_contradictions(
    store: AuditStore,
    attempts: list[ObservedAttempt],
    replies: list[ObservedReply],
    purges: list[AcknowledgedPurge],
    lists: EndpointListHistory,
    stalls: EventLoopStalls,
) -> list[str]:
    """Attempts and replies that contradict the audit.

    - attempts and replies that are impossible under the recorded views;
    - attempts in no interval although the director was running;
    - directors that sent more than their intervals count.

    Observations after a stall of this process may belong to an earlier view.
    """
    found: list[str] = []
    rows = {name: rows_between(store, name, 0.0, 2.0**53) for name in directors(store)}
    start_times_ms = {name: [row.from_ms for row in found_rows] for name, found_rows in rows.items()}
    observed_counts: Counter[str] = Counter()

    def rows_near(director: str, at_ms: float, late_ms: float = 0.0) -> list[AuditRow]:
        candidates = rows.get(director, [])
        end = bisect_right(start_times_ms.get(director, []), at_ms + MAX_OBSERVATION_DELAY_MS)
        return rows_covering(candidates[max(end - 400, 0) : end], at_ms, late_ms)

    for attempt in attempts:
        if not attempt.director:
            continue
        candidates = rows_near(attempt.director, attempt.at_ms, stalls.max_delay_ms(attempt.at_ms))
        if any(row.known == Knowledge.UNKNOWN.value for row in candidates):
            continue
        acted = [row for row in candidates if row.known == Knowledge.ACTED.value and row.view in store.views]
        observed_counts[attempt.director] += 1
        if not acted:
            found.append(f"{attempt.director} sent to {attempt.store} at {attempt.at_ms:.0f}, in no span")
        elif not any(lists.allows_attempt(store.views[row.view].rev, attempt) for row in acted):
            found.append(
                f"{attempt.director} sent to {attempt.store} at {attempt.at_ms:.0f}, not under its views"
            )
    return (
        found
        + find_uncounted_attempts(rows, observed_counts)
        + find_outdated_replies(store, rows_near, replies, purges)
    )


def find_uncounted_attempts(
    rows: Mapping[str, list[AuditRow]], observed_counts: Mapping[str, int]
) -> list[str]:
    """Directors of which fake servers received more attempts than the intervals of the directors count."""
    found = []
    for name, found_rows in rows.items():
        counted = sum(count.sent for row in found_rows for count in row.counts.values())
        if observed_counts[name] > counted:
            found.append(f"{name} sent {observed_counts[name]} that were seen, its spans say {counted}")
    return found


def find_outdated_replies(
    store: AuditStore,
    rows_near: Callable[[str, float], list[AuditRow]],
    replies: list[ObservedReply],
    purges: list[AcknowledgedPurge],
) -> list[str]:
    """Replies from a copy older than a purge that was known to each view that may have applied."""
    found = []
    for reply in replies:
        candidates = rows_near(reply.director, reply.sent_ms)
        acted = [row for row in candidates if row.known == Knowledge.ACTED.value and row.view in store.views]
        if not acted or len(acted) < len(candidates):
            continue
        first = parse_positions(store.views[min(acted, key=lambda row: row.from_ms).view].purges)
        for purge in purges:
            known = first.get((purge.issuer, purge.epoch), 0) >= purge.seq > 0
            if (
                known
                and reply.dated_ms + SLACK_MS < purge.at_ms
                and purge.scope.covers(reply.cls, reply.group, reply.object, reply.part)
            ):
                found.append(f"{reply.director} answered from {reply.dated_ms:.0f}, its view knew a purge")
                break
    return found


def count_actions_without_lease(fleet: Fleet, load: Load, lease_ms: float) -> int:
    """The number of attempts and of strict-class replies by directors without a lease or in quarantine.

    Observations after a stall of this process count from the earliest time when they may have arrived.
    """
    reports_by_director: dict[str, list[ForwardedReport]] = defaultdict(list)
    for (director, _), relay in fleet.links.items():
        reports_by_director[director] += relay.reports
    for reports in reports_by_director.values():
        reports.sort(key=lambda one: one.answered_ms)
    strict = fleet.shape.strict if fleet.shape.alone == "strict" else ()  # otherwise no class may continue
    actions = [
        (attempt.director, attempt.at_ms)
        for attempt in load.attempts
        if attempt.director and (not strict or attempt.cls in strict)
    ]
    actions += [(a.director, a.answered_ms) for a in load.replies if a.cls in fleet.shape.strict]
    violation_count = 0
    for director, at_ms in actions:
        reports = reports_by_director[director]
        earliest_ms = at_ms - load.stalls.max_delay_ms(at_ms)
        end = bisect_right(reports, earliest_ms - EXPIRY_TOLERANCE_MS, key=lambda one: one.answered_ms)
        since = reports[end : bisect_right(reports, at_ms, key=lambda one: one.answered_ms)]
        granted = [one for one in reports[:end] if one.stage < Stage.QUARANTINED][-4:]
        # a reply from shortly before the action may have been received before it
        granted += [one for one in since if one.stage < Stage.QUARANTINED]
        has_lease = any(earliest_ms <= one.requested_ms + lease_ms + EXPIRY_TOLERANCE_MS for one in granted)
        is_quarantined = (
            end
            and reports[end - 1].stage >= Stage.QUARANTINED
            and not any(one.stage < Stage.QUARANTINED for one in since)
        )
        violation_count += not has_lease or bool(is_quarantined)
    return violation_count


def stage_changes(fleet: Fleet) -> dict[str, list[tuple[float, int]]]:
    """The times at which each director was notified of another stage, as observed on its links."""
    found: dict[str, list[tuple[float, int]]] = defaultdict(list)
    for (director, _), relay in fleet.links.items():
        found[director] += [(one.answered_ms, one.stage) for one in relay.reports]
    changes = {}
    for name, notified in found.items():
        previous, changed = 0, []
        for at, stage in sorted(notified):
            if stage != previous:
                changed.append((at, stage))
            previous = stage
        changes[name] = changed
    return changes


def max_restricted_directors(changes: dict[str, list[tuple[float, int]]]) -> int:
    """The largest number of directors that were restricted or worse at the same time."""
    events = sorted((at, name, stage) for name, stages in changes.items() for at, stage in stages)
    restricted: set[str] = set()
    max_count = 0
    for _, name, stage in events:
        (restricted.add if stage >= Stage.RESTRICTED else restricted.discard)(name)
        max_count = max(max_count, len(restricted))
    return max_count


async def query_control_server(fleet: Fleet, number: int, target: str) -> dict[str, Any]:
    """Queries a control server. Raises OSError, HttpStatusError and TimeoutError."""
    port = fleet.control_servers[number].port
    answer: dict[str, Any] = json.loads(await fetch("127.0.0.1", port, "GET", target, TOKEN))
    return answer


async def end_processes(fleet: Fleet) -> list[AuditStore]:
    """Ends all processes and reads what the control servers have stored.

    Directors end first and send their final reports; the control servers end once they have replicated them.
    """
    await asyncio.gather(*(fleet.end(one, signal.SIGTERM) for one in fleet.directors))
    until = asyncio.get_running_loop().time() + REPLICATION_TIMEOUT_S
    while asyncio.get_running_loop().time() < until:
        marks = [await positions_at(one) for one in fleet.control_servers]
        if all(one == marks[0] for one in marks):
            break
        await asyncio.sleep(0.1)
    await asyncio.gather(*(fleet.end(one, signal.SIGTERM) for one in fleet.control_servers))
    return [await asyncio.to_thread(read_audit_store, one.folder / "audit") for one in fleet.control_servers]


def downtime_ms(fleet: Fleet) -> float:
    """The total time from the end of a director until its next process replied."""
    gaps_s = [
        min((up for up in one.ups if up >= down), default=down) - down
        for one in fleet.directors
        for down in one.downs
    ]
    return sum(gaps_s) * 1000.0


def unknown_share(store: AuditStore, excused_ms: float = 0.0) -> float:
    """The share of unknown time between the first and last report of each director, beyond `excused_ms`."""
    unknown_ms = total_ms = 0.0
    for name in directors(store):
        for row in rows_between(store, name, 0.0, 2.0**53):
            if row.to_ms >= 2.0**52:  # after the last report
                continue
            total_ms += row.to_ms - row.from_ms
            unknown_ms += (row.to_ms - row.from_ms) * (row.known == Knowledge.UNKNOWN.value)
    return max(unknown_ms - excused_ms, 0.0) / max(total_ms, 1.0)


def have_same_intervals(one: AuditStore, other: AuditStore) -> bool:
    """Whether two control servers have the same intervals."""
    return one.positions() == other.positions() and one.interval_count == other.interval_count


def compare_audit(fleet: Fleet, load: Load, stores: list[AuditStore], away_ms: float) -> dict[str, Any]:
    """Compares what the control servers stored with what was observed; the keys are those of reports.

    `away_ms`: the total time in which directors had no process."""
    store = max(stores, key=lambda one: one.interval_count)
    lists = EndpointListHistory(fleet.world.discovery.notices)
    stored = sum(path.stat().st_size for path in (fleet.control_servers[0].folder / "audit").iterdir())
    return {
        "attempts": len(load.attempts),
        "spans": store.interval_count,
        "ledger": store,
        "load": load,
        "lists": lists,
        "same": all(have_same_intervals(store, one) for one in stores),
        "wrong": [w for w in find_inconsistencies(store) if w.what != "missing"],
        "contradictions": find_contradictions(
            store, load.attempts, load.replies, load.purges, lists, load.stalls
        ),
        "unknown_share": unknown_share(store),
        "unknown_while_up": unknown_share(store, away_ms),
        "stored_bytes": stored,
    }


def run_with_audit(
    schedule: str,
    shape: Shape,
    seed: int,
    seconds: float,
    per_s: float = 150.0,
    purges: int = 0,
    collect_metrics: Callable[[Fleet, Load], Any] | None = None,
) -> Any:
    """As `schedule_run.run_schedule`, with the comparison of the audit.

    `collect_metrics`: returns further metrics of the running fleet.
    """

    async def collect_all(fleet: Fleet, load: Load) -> dict[str, Any]:
        extra = await collect_metrics(fleet, load) if collect_metrics is not None else {}
        await asyncio.sleep(SETTLE_S)
        changes = stage_changes(fleet)
        before_end = {
            "acted_after_out": count_actions_without_lease(fleet, load, shape.view_lease_ms),
            "stages": changes,
            "most_out_at_once": max_restricted_directors(changes),
            "report_bytes": sum(relay.report_bytes for relay in fleet.links.values()),
        }
        away_ms = downtime_ms(fleet)
        stores = await end_processes(fleet)
        return {**compare_audit(fleet, load, stores, away_ms), **before_end, **extra}

    return run_schedule(
        schedule, replace(shape, audit=True), seed, seconds, per_s, purges, collect_metrics=collect_all
    )


def p99(values: list[float]) -> float:
    """The 99th percentile; 0 without values."""
    return quantiles(values, n=100)[98] if len(values) > 1 else (values[0] if values else 0.0)
