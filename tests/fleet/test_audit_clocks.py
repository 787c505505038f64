"""The audit where wall clocks differ by an hour, or were stepped between two processes: of feeds, and of a director."""

from __future__ import annotations

import asyncio
import random

import msgspec
import pytest
from test_audit_pure import report, trail_of

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
def test_a_report_is_as_old_as_it_is_whatever_the_clock_of_the_feed_that_hands_it_on_shows(
    step_ms: float,
) -> None:
    now_ms = [NOW_MS]

    async def scene() -> None:
        collector = AuditServer("feed", SimDisk(), str, lambda: now_ms[0])
        collector.start()
        told = report(trail_of(1, random.Random(1))[0])
        told.by, told.taken_ms = "peer", NOW_MS + step_ms - 500.0
        await collector.intake.handle_replicated(ReplicatedReports("peer", 1, [told], [], NOW_MS + step_ms))
        assert collector.monitor.status("d", NOW_MS).heard_ms == pytest.approx(500.0)
        now_ms[0] += 1_000.0
        later = msgspec.structs.replace(told, taken_ms=told.taken_ms + 1_000.0)
        await collector.intake.handle_replicated(
            ReplicatedReports("third", 1, [later], [], now_ms[0])
        )  # by the clock of who took it
        assert collector.monitor.status("d", now_ms[0]).heard_ms == pytest.approx(500.0)
        await collector.close()

    asyncio.run(scene())


@pytest.mark.parametrize("step_ms", STEPS)
def test_the_latest_report_of_a_director_counts_after_a_step_of_the_feeds_clock(step_ms: float) -> None:
    trail, _ = trail_of(3, random.Random(1))
    ledger = AuditStore()
    for number in range(4):
        told = report(trail, trail.intervals()[: number + 1])
        told.view = View("m", number + 1)
        told.sent_ms, told.taken_ms, told.by = NOW_MS + number, NOW_MS + number, "feed"
        if number >= 2:  # the feed was started again after the step
            told.taken_ms += step_ms
        ledger.add(told)
        assert view_of(ledger, "d", 1).rev == number + 1
    restored = AuditStore()
    restored.restore(ledger.snapshot())
    assert view_of(restored, "d", 1).rev == 4
    late = report(trail)
    late.view, late.sent_ms, late.taken_ms = View("m", 1), NOW_MS, NOW_MS + 2.0 * HOUR_MS
    restored.add(late)  # handed on by a feed whose clock is ahead
    assert view_of(restored, "d", 1).rev == 4


def heard(judge: LagMonitor, start: int, rev: int, at_ms: float) -> None:
    judge.observe("d", "z", View("m", rev), at_ms, start)


def test_a_director_that_started_after_a_step_back_is_judged_once_the_one_before_is_silent() -> None:
    judge = LagMonitor(EscalationPolicy(silent_ms=3_000.0), 0.0)
    heard(judge, 9, 1, 1_000.0)
    heard(judge, 5, 2, 2_000.0)  # the older of two in an upgrade
    assert judge._directors["d"].view.rev == 1
    heard(judge, 5, 2, 4_001.0)
    assert judge._directors["d"].view.rev == 2 and judge.status("d", 4_001.0).heard_ms == 0.0
    assert (
        judge.verdict("d", 60_000.0).stage is Stage.HEALTHY
    ), "its own view is judged, not that of the one before"


@pytest.mark.parametrize("step_ms", STEPS)
def test_an_operators_word_lets_everybody_the_time_since_it_was_heard(step_ms: float) -> None:
    judge = LagMonitor(EscalationPolicy(), NOW_MS)
    judge.versions.expect(ExpectedDigests("settings", ("new",), NOW_MS + step_ms), NOW_MS)
    judge.observe("d", "z", View("m", 1, settings="old"), NOW_MS + 100.0)
    assert judge.verdict("d", NOW_MS + 100.0).stage <= Stage.NOTIFIED


def test_reports_without_a_moment_of_their_own_go_by_the_feeds_clock_as_before() -> None:
    ledger, trail = AuditStore(), trail_of(1, random.Random(1))[0]
    told: list[Report] = [report(trail) for _ in range(2)]
    for one, at_ms, rev in zip(told, (NOW_MS + 5.0, NOW_MS), (2, 1), strict=True):
        one.taken_ms, one.view = at_ms, View("m", rev)
        ledger.add(one)
    assert view_of(ledger, "d", 1).rev == 2
