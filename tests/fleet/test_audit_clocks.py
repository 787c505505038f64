"""The audit with wall clocks of control servers and directors that differ by an hour or were stepped between
two processes."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from test_audit_pure import make_log, make_report

from gladelane.audit.audit_queries import view_of
from gladelane.audit.audit_store import AuditStore
from gladelane.audit.escalation import EscalationPolicy
from gladelane.audit.lag_monitor import LagMonitor
from gladelane.audit.server import AuditServer
from gladelane.audit.view import View
from gladelane.audit.view_lease import Stage
from gladelane.audit.wire import ExpectedDigests, ReplicatedReports, Report
from gladelane.lab.simdisk import SimDisk

HOUR_MS = 3_600_000.0
NOW_MS = 1.7e12
STEPS = [HOUR_MS, -HOUR_MS, 4_000.0, -4_000.0]


@pytest.mark.parametrize("step_ms", STEPS)
def test_age_of_a_replicated_report_does_not_depend_on_the_clock_of_the_sender(
    step_ms: float,
) -> None:
    now_ms = [NOW_MS]

    async def scenario() -> None:
        server = AuditServer("feed", SimDisk(), str, lambda: now_ms[0])
        server.start()
        report = make_report(make_log(1, random.Random(1))[0])
        report.by, report.taken_ms = "peer", NOW_MS + step_ms - 500.0
        await server.intake.handle_replicated(ReplicatedReports("peer", 1, [report], [], NOW_MS + step_ms))
        assert server.monitor.status("d", NOW_MS).heard_ms == pytest.approx(500.0)
        now_ms[0] += 1_000.0
        later = msgspec.structs.replace(report, taken_ms=report.taken_ms + 1_000.0)
        await server.intake.handle_replicated(
            ReplicatedReports("third", 1, [later], [], now_ms[0])
        )  # converted by the clock of the server that accepted it
        assert server.monitor.status("d", now_ms[0]).heard_ms == pytest.approx(500.0)
        await server.close()

    asyncio.run(scenario())


@pytest.mark.parametrize("step_ms", STEPS)
def test_latest_report_counts_after_the_clock_of_the_control_server_stepped(step_ms: float) -> None:
    log, _ = make_log(3, random.Random(1))
    store = AuditStore()
    for number in range(4):
        report = make_report(log, log.intervals()[: number + 1])
        report.view = View("m", number + 1)
        report.sent_ms, report.taken_ms, report.by = NOW_MS + number, NOW_MS + number, "feed"
        if number >= 2:  # the control server was restarted after the step
            report.taken_ms += step_ms
        store.add(report)
        assert view_of(store, "d", 1).rev == number + 1
    restored = AuditStore()
    restored.restore(store.snapshot())
    assert view_of(restored, "d", 1).rev == 4
    late = make_report(log)
    late.view, late.sent_ms, late.taken_ms = View("m", 1), NOW_MS, NOW_MS + 2.0 * HOUR_MS
    restored.add(late)  # replicated by a control server whose clock is ahead
    assert view_of(restored, "d", 1).rev == 4


def observe_director(monitor: LagMonitor, start: int, rev: int, at_ms: float) -> None:
    monitor.observe("d", "z", View("m", rev), at_ms, start)


def test_director_with_a_smaller_start_number_counts_once_its_predecessor_is_silent() -> None:
    """A clock that was set back gives the next process a smaller start number, so that it looks like an older
    process."""
    monitor = LagMonitor(EscalationPolicy(silent_ms=3_000.0), 0.0)
    observe_director(monitor, 9, 1, 1_000.0)
    observe_director(monitor, 5, 2, 2_000.0)  # the older of two processes in an upgrade
    assert monitor._directors["d"].view.rev == 1
    observe_director(monitor, 5, 2, 4_001.0)
    assert monitor._directors["d"].view.rev == 2 and monitor.status("d", 4_001.0).heard_ms == 0.0
    assert (
        monitor.verdict("d", 60_000.0).stage is Stage.HEALTHY
    ), "the verdict must be on its own view, not on that of its predecessor"


@pytest.mark.parametrize("step_ms", STEPS)
def test_operator_decision_takes_effect_on_arrival_whatever_its_own_time(step_ms: float) -> None:
    monitor = LagMonitor(EscalationPolicy(), NOW_MS)
    monitor.versions.expect(ExpectedDigests("settings", ("new",), NOW_MS + step_ms), NOW_MS)
    monitor.observe("d", "z", View("m", 1, settings="old"), NOW_MS + 100.0)
    assert monitor.verdict("d", NOW_MS + 100.0).stage <= Stage.NOTIFIED


def test_reports_without_sent_ms_are_ordered_by_the_clock_of_the_control_server() -> None:
    store, log = AuditStore(), make_log(1, random.Random(1))[0]
    reports: list[Report] = [make_report(log) for _ in range(2)]
    for report, at_ms, rev in zip(reports, (NOW_MS + 5.0, NOW_MS), (2, 1), strict=True):
        report.taken_ms, report.view = at_ms, View("m", rev)
        store.add(report)
    assert view_of(store, "d", 1).rev == 2
