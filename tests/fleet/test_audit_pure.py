"""Tables and properties of the audit's decisions without I/O: views, activity logs, the audit store, view
leases and escalation; the exhaustive searches of `lab.view_leases`, and that they find each planted fault."""

from __future__ import annotations

import random
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from gladelane.audit.activity_log import ActivityInterval, ActivityLog
from gladelane.audit.activity_log_store import LogPage, join_pages
from gladelane.audit.audit_queries import directors, latest_rows, rows_at, rows_between
from gladelane.audit.audit_store import AuditStore
from gladelane.audit.escalation import EscalationPolicy, scaled_policy
from gladelane.audit.lag_monitor import LagMonitor
from gladelane.audit.records import BadReportError
from gladelane.audit.verification import find_inconsistencies
from gladelane.audit.view import ALL_PARTS, Order, Part, View, compare, compare_part, relevant_parts, view_id
from gladelane.audit.view_lease import MissingParts, Stage, Verdict, ViewLease
from gladelane.audit.wire import ExpectedDigests, Report
from gladelane.lab.fleet.altered_stores import altered_copies, has_inconsistency
from gladelane.lab.view_leases import ESCALATION_PLANTS, LEASE_PLANTS, searched, searched_all

views = st.builds(
    View,
    st.sampled_from("ab"),
    st.integers(1, 3),
    st.sampled_from("xy"),
    st.sampled_from([(), ("c0",)]),
    st.sampled_from(["", "f:1=1", "f:1=2", "f:1=1,g:1=1", "g:1=2"]),
    st.sampled_from([0.0, 5.0]),
    st.sampled_from("pq"),
)


@given(views, views, views)
def test_comparison_of_views_is_a_partial_order(one: View, other: View, third: View) -> None:
    mirrored = {
        Order.SAME: Order.SAME,
        Order.DIVERGENT: Order.DIVERGENT,
        Order.AHEAD: Order.BEHIND,
        Order.BEHIND: Order.AHEAD,
    }
    assert compare(one, one) is Order.SAME and compare(other, one) is mirrored[compare(one, other)]
    assert (compare(one, other) is Order.SAME) == (one == other)
    not_ahead = (Order.SAME, Order.BEHIND)
    if compare(one, other) in not_ahead and compare(other, third) in not_ahead:
        assert compare(one, third) in not_ahead


@pytest.mark.parametrize(("part", "one", "other", "found"), [
    (Part.LIST, View("m", 2, "x"), View("m", 1, "y"), Order.AHEAD), (Part.LIST, View("m", 2, "x"), View("m", 2, "y"), Order.DIVERGENT),
    (Part.LIST, View("m", 2), View("n", 2), Order.DIVERGENT), (Part.PURGES, View(purges="f:1=2"), View(purges="f:1=2,g:1=1"), Order.BEHIND),
    (Part.PURGES, View(purges="f:1=2"), View(purges="f:1=1,g:1=1"), Order.DIVERGENT), (Part.SETTINGS, View(settings="a"), View(), Order.DIVERGENT),
])  # fmt: skip
def test_comparison_of_each_part_of_a_view(part: Part, one: View, other: View, found: Order) -> None:
    assert compare_part(part, one, other) is found


def test_relevant_parts_of_each_kind_of_class() -> None:
    assert relevant_parts(True, True) == ALL_PARTS and Part.LOW_WATERMARK not in relevant_parts(True, False)
    assert not {Part.PURGES, Part.LOW_WATERMARK} & relevant_parts(
        False, False
    ) and Part.LIST in relevant_parts(False, False)


def make_log(
    changes: int, rng: random.Random, director: str = "d", start: int = 1, **more: Any
) -> tuple[ActivityLog, dict[str, int]]:
    """An activity log with `changes` changes of the view, and the number of attempts by class."""
    totals: dict[str, list[int]] = {"film": [0, 0, 0]}
    sent = {"film": 0, "sheet": 0}
    log = ActivityLog(director, start, make_view_id(0), {"film": 2.0}, 1000.0, **more)
    for turn in range(1, changes + 1):
        for _ in range(rng.randrange(4)):
            cls = rng.choice(("film", "sheet"))
            assert log.record_attempt(cls) == turn
            sent[cls] += 1
            totals.setdefault(cls, [0, 0, 0])[rng.randrange(3)] += 1
        log.close_interval(make_view_id(turn), totals, 1000.0 + turn * 10.0)
    return log, sent


def make_view(turn: int) -> View:
    return View("m", turn + 1, f"l{turn}")


def make_view_id(turn: int) -> str:
    return view_id(make_view(turn))


def make_report(log: ActivityLog, intervals: list[ActivityInterval] | None = None, **more: Any) -> Report:
    intervals = log.intervals() if intervals is None else intervals
    named = {make_view_id(turn): make_view(turn) for turn in range(60)}
    return Report(
        log.director,
        log.start,
        "z",
        0.0,
        make_view(0),
        intervals,
        {interval.view: named[interval.view] for interval in intervals},
        **more,
    )


@given(st.integers(1, 20), st.integers(0, 2**32))
def test_intervals_count_all_attempts_and_are_contiguous(changes: int, seed: int) -> None:
    log, sent = make_log(changes, random.Random(seed))
    intervals = log.intervals()
    assert [interval.number for interval in intervals] == list(range(1, changes + 1))
    assert all(
        earlier.to_ms == later.from_ms for earlier, later in zip(intervals, intervals[1:], strict=False)
    )
    for cls, count in sent.items():
        assert sum(interval.counts[cls].sent for interval in intervals if cls in interval.counts) == count
    store = AuditStore()
    store.add(make_report(log))
    assert find_inconsistencies(store) == [] and store.stored_upto(("d", 1)) == changes


def test_response_under_a_later_view_is_counted_as_sent_earlier() -> None:
    log = ActivityLog("d", 1, "a", {"film": 2.0}, 0.0)
    number = log.record_attempt("film")
    log.close_interval("b", {"film": [0, 0, 0]}, 10.0)
    log.record_answer("film", number)
    interval = log.close_interval("c", {"film": [1, 0, 0]}, 20.0)
    assert (
        interval.counts["film"].sent,
        interval.counts["film"].served,
        interval.counts["film"].sent_earlier,
        interval.value,
    ) == (
        0,
        1,
        1,
        2.0,
    )
    assert (
        log.checkpoint({"film": [1, 0, 0]}, 25.0).end == "open"
        and log.checkpoint({"film": [1, 0, 0]}, 5.0).to_ms == 20.0
    )


def test_full_log_records_dropped_intervals_that_no_server_had() -> None:
    """A log at its memory limit drops the oldest intervals. Those that no control server has stored must be
    recorded as lost, and a server that gets them later must fill the gap."""
    log, _ = make_log(0, random.Random(1), max_bytes=2_000)
    for turn in range(1, 11):
        log.close_interval(make_view_id(turn), {}, 1000.0 + turn)
    log.acknowledge(8, 0)  # one control server has them, two are required
    for turn in range(11, 31):
        log.close_interval(make_view_id(turn), {}, 1000.0 + turn)
    assert len(log.lost) == 1 and (log.lost[0].first, log.lost[0].last) == (
        9,
        log.intervals()[0].number - 1,
    )
    store = AuditStore()
    store.add(make_report(log, lost=log.lost))
    assert [
        row.why for row in rows_between(store, "d", 0.0, 2000.0) if row.known == "unknown" and row.number
    ] == [f"{log.lost[0].last - 8} spans are gone"]
    full, _ = make_log(30, random.Random(1))
    store.add(make_report(full, full.intervals()[:8]))
    assert find_inconsistencies(store) == [] and store.stored_upto(("d", 1)) == 30


@given(st.lists(st.integers(0, 7), max_size=30), st.integers(0, 2**32))
def test_stores_converge_for_any_loss_repetition_and_order_of_reports(order: list[int], seed: int) -> None:
    rng = random.Random(seed)
    logs = [make_log(6, rng, name)[0] for name in ("d", "e")]
    reports = [make_report(log, log.intervals()[n : n + 2]) for log in logs for n in (0, 2, 4, 3)]
    one, other = AuditStore(), AuditStore()
    for index in [*order, *range(8)]:
        one.add(msgspec.json.decode(msgspec.json.encode(reports[index]), type=Report))
    for index in rng.sample(range(8), 8):
        other.add(reports[index])
    assert (
        one.interval_count == other.interval_count == 12
        and one.positions() == other.positions()
        and find_inconsistencies(one) == find_inconsistencies(other) == []
    )
    incomplete = AuditStore()
    incomplete.add(
        make_report(logs[0], logs[0].intervals()[3:])
    )  # this store and its peers lost the earlier intervals
    assert (
        incomplete.stored_upto(("d", 1)),
        incomplete.stored_upto(("d", 1), 4),
        incomplete.stored_upto(("d", 1), 7),
    ) == (0, 6, 6)
    caught_up = AuditStore()
    for report in one.missing_reports({("d", 1): 4}, 3):
        caught_up.add(report)
    assert caught_up.stored_upto(("e", 1)) == 6 and caught_up.interval_count == 8
    restored = AuditStore()
    restored.restore(one.snapshot())
    assert restored.positions() == one.positions() and msgspec.to_builtins(
        rows_between(restored, "d", 0.0, 1e9)
    ) == msgspec.to_builtins(rows_between(one, "d", 0.0, 1e9))


@pytest.mark.parametrize(("change", "kind"), [
    ({"value": 9.0}, "altered"), ({"view": "other"}, "altered"), ({"from_ms": 1015.0}, "altered"), (None, "dropped"), ({"seal": "00"}, "altered"),
])  # fmt: skip
def test_altered_dropped_and_duplicated_intervals_are_found(change: dict[str, Any] | None, kind: str) -> None:
    log, _ = make_log(6, random.Random(1))
    intervals = log.intervals()
    intervals[2:3] = [] if change is None else [msgspec.structs.replace(intervals[2], **change)]
    store = AuditStore()
    store.add(Report("d", 1, "z", 0.0, make_view(0), intervals))
    assert any(
        inconsistency.number == 3 and inconsistency.what == kind
        for inconsistency in find_inconsistencies(store)
    )
    store.add(make_report(log))
    assert change is None or any(
        inconsistency.what == "doubled" for inconsistency in find_inconsistencies(store)
    )


def test_each_planted_alteration_is_found_in_the_store() -> None:
    log = ActivityLog("d", 1, make_view_id(0), {"film": 2.0}, 10_000.0)
    for turn in range(1, 7):
        log.record_attempt("film")
        log.close_interval(make_view_id(turn), {"film": [turn, 0, 0]}, 10_000.0 + turn * 10.0)
    store = AuditStore()
    store.add(make_report(log))
    altered = altered_copies(store, random.Random(1))
    assert len(altered) == 8 and not has_inconsistency(store)
    assert [name for name, altered_store in altered.items() if not has_inconsistency(altered_store)] == []


def test_views_with_wrong_ids_and_intervals_later_than_their_report_are_found() -> None:
    log, _ = make_log(3, random.Random(1))
    misnamed = make_report(log)
    misnamed.views[make_view_id(1)] = make_view(40)
    store = AuditStore()
    store.add(misnamed)
    assert [inconsistency.what for inconsistency in find_inconsistencies(store)] == ["unnamed"]
    store = AuditStore()
    store.add(make_report(log, offset=(9_000.0, 9_010.0), taken_ms=1100.0, clock="f"))
    assert {inconsistency.what for inconsistency in find_inconsistencies(store)} == {"dated"}


@pytest.mark.parametrize("invalid", [
    {"director": "d d"}, {"start": 0}, {"zone": "z" * 70}, {"sent_ms": -1.0}, {"offset": (2.0, 1.0)}, {"intervals": [ActivityInterval(0, 1.0, 2.0, "v", {}, 0.0)]},
    {"intervals": [ActivityInterval(1, 3.0, 2.0, "v", {}, 0.0)]},
])  # fmt: skip
def test_reports_with_invalid_content_are_rejected(invalid: dict[str, Any]) -> None:
    with pytest.raises(BadReportError, match="expected"):
        AuditStore().add(Report(**{"director": "d", "start": 1, "zone": "z", "sent_ms": 0.0, **invalid}))


def test_time_after_a_kill_is_unknown_and_after_a_shutdown_not_running() -> None:
    store = AuditStore()
    killed, _ = make_log(2, random.Random(1))
    store.add(
        make_report(
            killed,
            open=killed.checkpoint({"film": [9, 9, 9]}, 1030.0),
            taken_ms=1031.0,
            offset=(-1.0, 2.0),
            clock="f",
        )
    )
    stopped = ActivityLog("d", 2, make_view_id(0), {}, 1100.0)
    stopped.close_interval(make_view_id(0), {}, 1200.0, "stopped")
    store.add(make_report(stopped))
    third = ActivityLog("d", 3, make_view_id(1), {}, 1300.0)
    store.add(make_report(third, open=third.checkpoint({}, 1400.0)))
    rows = [
        (row.start, row.known, row.from_ms, row.to_ms) for row in rows_between(store, "d", 1005.0, 1390.0)
    ]
    assert rows == [
        (1, "acted", 1000.0, 1010.0),
        (1, "acted", 1010.0, 1020.0),
        (1, "acted", 1020.0, 1030.0),
        (1, "unknown", 1030.0, 1100.0),
        (2, "acted", 1100.0, 1200.0),
        (2, "not running", 1200.0, 1300.0),
        (3, "acted", 1300.0, 1400.0),
    ]
    assert [row.known for row in rows_at(store, 1050.0)] == ["unknown"] and rows_between(
        store, "d", 1050.0, 1050.0
    )[0].offset == (-1.0, 2.0)
    assert [row.known for row in rows_between(store, "d", 1500.0, 1500.0)] == ["unknown"] and rows_between(
        store, "d", 1500.0, 1500.0
    )[0].why == "not told yet"
    assert [row.start for row in latest_rows(store)] == [3]
    store.add(
        make_report(killed, current=False, intervals=[killed.checkpoint({"film": [9, 9, 9]}, 1040.0)])
    )  # what was left in the folder of the killed process
    assert [row.from_ms for row in rows_between(store, "d", 1035.0, 1060.0) if row.known == "unknown"] == [
        1040.0
    ]


def test_expired_intervals_are_dropped_and_reported_as_lost() -> None:
    store = AuditStore(retention_ms=100.0)
    log, _ = make_log(30, random.Random(1))
    store.add(make_report(log, taken_ms=1300.0))
    store.add(make_report(make_log(2, random.Random(1), "old")[0], taken_ms=1050.0))
    assert (
        store.forget_expired(1305.0) == 22
        and directors(store) == ["d"]
        and store.interval_count == 10
        and find_inconsistencies(store) == []
    )
    assert [row.why for row in rows_between(store, "d", 1100.0, 1100.0)] == ["20 spans are gone"] and len(
        store.views
    ) == 11
    replica = AuditStore()
    for report in store.missing_reports({}, 100):
        replica.add(report)
    assert replica.stored_upto(("d", 1)) == 30 and find_inconsistencies(replica) == []
    restored = AuditStore()
    restored.restore(store.snapshot())
    assert (
        restored.interval_count == 10
        and restored.stored_upto(("d", 1)) == 30
        and restored.views == store.views
    )


def test_joined_pages_hold_what_a_killed_process_had_not_reported() -> None:
    log, _ = make_log(4, random.Random(1))
    first, second, third, fourth = log.intervals()
    checkpoint = log.checkpoint({"film": [9, 9, 9]}, 1100.0)
    pages = join_pages([LogPage("d", 1, [first, second]), LogPage("d", 1, [third], open=fourth, copied=1), LogPage("d", 1, [fourth], open=checkpoint, copied=2),
                    LogPage("d", 2, [], copied=0)])  # fmt: skip
    assert [
        (page.start, [interval.number for interval in page.intervals], page.open and page.open.number)
        for page in pages
    ] == [(1, [3, 4], 5), (2, [], None)]


@pytest.mark.parametrize(("alone", "now_ms", "is_strict", "is_permitted"), [
    ("out", 100.0, True, True), ("out", 2998.0, True, False), ("out", 2990.0, False, True), ("out", 3500.0, False, False),
    ("strict", 3500.0, False, True), ("strict", 3500.0, True, False), ("strict", 6000.0, False, False),
])  # fmt: skip
def test_lease_counts_from_the_request_and_unanswered_requests_extend_only_alone_strict(
    alone: Any, now_ms: float, is_strict: bool, is_permitted: bool
) -> None:
    lease = ViewLease(alone)
    lease.renew(0.0, 3000.0)
    lease.record_unanswered(2500.0, 3000.0)
    assert lease.permits(is_strict, now_ms) is is_permitted


def test_stages_restrict_classes_and_the_endpoint_list_has_its_own_lease() -> None:
    lease = ViewLease(list_lease_ms=2000.0)
    lease.renew(0.0, 60_000.0)
    assert not lease.permits(False, 10.0)
    lease.renew_list(5.0)
    assert lease.permits(True, 2000.0) and lease.is_expired(2006.0)
    lease.renew_list(50_000.0)
    view = View("m", 3, purges="f:1=4")
    for stage, permits_strict, permits_other in (
        (Stage.RESYNCING, True, True),
        (Stage.RESTRICTED, False, True),
        (Stage.DRAINED, False, True),
        (Stage.QUARANTINED, False, False),
    ):
        assert lease.apply_verdict(Verdict(stage, "w", MissingParts("m", 5)), view)
        assert (lease.permits(True, 100.0), lease.permits(False, 100.0)) == (permits_strict, permits_other)
    # a control server that knows less than the director: the view lacks nothing of what the verdict names
    assert (
        not lease.apply_verdict(Verdict(Stage.QUARANTINED, "w", MissingParts("m", 3, purges="f:1=4")), view)
        and lease.permits(True, 100.0)
        and lease.rejected_verdicts == 1
    )
    assert not lease.apply_verdict(
        Verdict(Stage.QUARANTINED, returning=True), view
    ), "a readmission never raises the stage"


class SimulatedFleet:
    """Directors that report to one lag monitor every 400 ms."""

    def __init__(self, zones: dict[str, str], **policy_fields: Any) -> None:
        self.monitor, self.now_ms = LagMonitor(EscalationPolicy(**policy_fields), 0.0), 1000.0
        self.zones, self.views = zones, dict.fromkeys(zones, View("m", 1, settings="s"))
        self.silent: set[str] = set()
        self.stages: dict[str, Stage] = {}

    def run_for(self, duration_ms: float) -> dict[str, Stage]:
        until_ms = self.now_ms + duration_ms
        while self.now_ms < until_ms:
            self.now_ms += 400.0
            for name, zone in self.zones.items():
                if name not in self.silent:
                    self.monitor.observe(name, zone, self.views[name], self.now_ms)
                    self.stages[name] = self.monitor.verdict(name, self.now_ms).stage
        return {name: stage for name, stage in self.stages.items() if stage}

    def change_views(self, names: str, **view: Any) -> None:
        for name in names:
            self.views[name] = msgspec.structs.replace(self.views[name], **view)


def test_lagging_director_passes_all_stages_and_each_relapse_delays_readmission() -> None:
    fleet = SimulatedFleet(dict.fromkeys("abcdefgh", "z"))
    assert fleet.run_for(2000.0) == {}
    fleet.change_views("bcdefgh", rev=2)
    stages = [fleet.run_for(400.0).get("a", Stage.HEALTHY) for _ in range(22)]
    assert stages == sorted(stages) and set(stages) == set(Stage)
    readmission_ms = []
    for rev in (3, 4, 5):
        fleet.views["a"] = fleet.views["b"]
        started_ms = fleet.now_ms
        while fleet.run_for(400.0) and fleet.now_ms < started_ms + 20_000.0:
            pass
        readmission_ms.append(fleet.now_ms - started_ms)
        fleet.change_views("bcdefgh", rev=rev)
        fleet.run_for(3000.0)
        assert (
            fleet.stages["a"] is Stage.RESTRICTED
            and "lacks list" in fleet.monitor.status("a", fleet.now_ms).why
        )
    assert readmission_ms[0] < readmission_ms[1] < readmission_ms[2] <= 5000.0


def test_suspended_director_that_catches_up_is_readmitted_at_once_only_the_first_time() -> None:
    fleet = SimulatedFleet(dict.fromkeys("abcdefgh", "z"))
    fleet.run_for(1000.0)
    for rev, at_once in ((2, True), (3, False)):
        fleet.silent = {"a"}
        fleet.change_views("bcdefgh", rev=rev)
        fleet.run_for(6000.0)
        fleet.silent = set()
        assert fleet.run_for(400.0) == {"a": Stage.DRAINED}, "it must not act on its old view"
        fleet.change_views("a", rev=rev)
        assert (fleet.run_for(400.0) == {}) is at_once
        fleet.run_for(2500.0)


@pytest.mark.parametrize(("zones", "lagging", "change", "stages", "reason"), [
    # more than the share: one is quarantined, the others only resynchronise
    (dict.fromkeys("abcdefgh", "z"), "abc", {"rev": 1}, {"a": Stage.QUARANTINED, "b": Stage.RESYNCING, "c": Stage.RESYNCING}, "share of the fleet"),
    # most directors lack it: the source is at fault
    (dict.fromkeys("abcdefgh", "z"), "abcde", {"rev": 1}, dict.fromkeys("abcde", Stage.NOTIFIED), "the source's fault"),
    # the last director of its zone lacks purges, but has the current list: it is restricted at most
    ({**dict.fromkeys("abcdefg", "z"), "h": "y"}, "h", {"purges": ""}, {"h": Stage.RESTRICTED}, "the last that serves zone y"),
    # the last director of its zone lacks the list: it is quarantined
    ({**dict.fromkeys("abcdefg", "z"), "h": "y"}, "h", {"rev": 1}, {"h": Stage.QUARANTINED}, "lacks list"),
    ({**dict.fromkeys("abcdefg", "z"), "h": "y"}, "a", {"settings": "old"}, {"a": Stage.QUARANTINED}, "lacks settings"),
])  # fmt: skip
def test_rules_that_limit_an_escalation(
    zones: dict[str, str], lagging: str, change: dict[str, Any], stages: dict[str, Stage], reason: str
) -> None:
    fleet = SimulatedFleet(zones, share=0.125)
    fleet.run_for(1000.0)
    fleet.monitor.versions.announce_purges({("f", 1): 1}, fleet.now_ms)
    fleet.monitor.versions.expect(ExpectedDigests("settings", ("s",), fleet.now_ms), fleet.now_ms)
    fleet.change_views("abcdefgh", rev=2, purges="f:1=1")
    fleet.change_views(lagging, **change)
    assert fleet.run_for(12_000.0) == stages
    assert any(reason in fleet.monitor.status(name, fleet.now_ms).why for name in lagging)
    assert {status.director for status in fleet.monitor.lagging_directors(fleet.now_ms)} == set(lagging)
    fleet.change_views(lagging, rev=2, purges="f:1=1", settings="s")
    assert fleet.run_for(3000.0) == {}


def test_isolated_server_or_mostly_silent_fleet_restricts_no_director_and_servers_divide_the_share() -> None:
    fleet = SimulatedFleet(dict.fromkeys("abcdefgh", "z"))
    fleet.run_for(1000.0)
    fleet.monitor.versions.expect(ExpectedDigests("settings", ("new",), fleet.now_ms), fleet.now_ms)
    fleet.change_views("abcdefg", settings="new")
    fleet.monitor.is_isolated = True
    assert fleet.run_for(10_000.0) == {
        "h": Stage.RESYNCING
    }, "operators may have decided otherwise at another control server"
    fleet.monitor.is_isolated = False
    fleet.silent = set("abcde")
    fleet.run_for(3000.0)
    assert (
        fleet.run_for(1000.0) == {"h": Stage.RESYNCING}
        and "most of the fleet is silent" in fleet.monitor.status("h", fleet.now_ms).why
    )
    fleet.silent = set()
    fleet.monitor.server_count, fleet.monitor.rank, fleet.monitor.policy = (
        2,
        1,
        scaled_policy(4000.0, 0.125, 3000.0),
    )
    assert fleet.run_for(8000.0) == {
        "h": Stage.RESYNCING
    }, "the only place belongs to the other control server"
    fleet.monitor.rank = 0
    assert fleet.run_for(8000.0) == {"h": Stage.QUARANTINED}
    fleet.monitor.remove("h")
    assert fleet.monitor.restricted_count() == 0


@given(st.lists(st.tuples(st.sampled_from("abcdef"), st.sampled_from(["cut", "heal", "silent", "heard", "news", "purge"]), st.integers(1, 12)),
                max_size=25))  # fmt: skip
def test_no_sequence_of_partitions_leaves_a_healthy_director_restricted(
    events: list[tuple[str, str, int]],
) -> None:
    fleet = SimulatedFleet({**dict.fromkeys("abcd", "z"), "e": "y", "f": "y"})
    partitioned: set[str] = set()
    latest = {"rev": 1, "purges": ""}
    for name, event, steps in events:
        match event:
            case "cut":
                partitioned.add(name)
            case "heal":
                partitioned.discard(name)
            case "silent":
                fleet.silent.add(name)
            case "heard":
                fleet.silent.discard(name)
            case "news":
                latest["rev"] = int(latest["rev"]) + 1
            case "purge":
                count = len(fleet.monitor.versions.purges) and fleet.monitor.versions.purges["f", 1]
                fleet.monitor.versions.announce_purges({("f", 1): count + 1}, fleet.now_ms)
                latest["purges"] = f"f:1={count + 1}"
        for director in fleet.zones:
            if director not in partitioned:
                fleet.change_views(director, **latest)
        fleet.run_for(steps * 400.0)
        restricted = [
            director
            for director, stage in fleet.stages.items()
            if stage >= Stage.RESTRICTED and director not in fleet.silent
        ]
        assert len(restricted) <= max(int(0.25 * 6), 1)
    fleet.silent.clear()
    for director in fleet.zones:
        fleet.change_views(director, **latest)
    assert fleet.run_for(40_000.0) == {}


def test_searches_of_lease_and_escalation_find_only_the_planted_faults() -> None:
    assert "violation" not in searched_all(5, 1)
    found = {plant.name: searched(plant) for plant in (*LEASE_PLANTS, *ESCALATION_PLANTS)}
    assert all(isinstance(violation, str) for violation in found.values()), found
