"""Views, trails, ledgers, tenures and the ladder by tables and properties; the searches with their planted faults."""

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
from gladelane.lab.fleet.altered_stores import caught, planted
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
def test_views_are_a_partial_order(one: View, other: View, third: View) -> None:
    mirrored = {
        Order.SAME: Order.SAME,
        Order.DIVERGENT: Order.DIVERGENT,
        Order.AHEAD: Order.BEHIND,
        Order.BEHIND: Order.AHEAD,
    }
    assert compare(one, one) is Order.SAME and compare(other, one) is mirrored[compare(one, other)]
    assert (compare(one, other) is Order.SAME) == (one == other)
    upward = (Order.SAME, Order.BEHIND)
    if compare(one, other) in upward and compare(other, third) in upward:
        assert compare(one, third) in upward


@pytest.mark.parametrize(("part", "one", "other", "found"), [
    (Part.LIST, View("m", 2, "x"), View("m", 1, "y"), Order.AHEAD), (Part.LIST, View("m", 2, "x"), View("m", 2, "y"), Order.DIVERGENT),
    (Part.LIST, View("m", 2), View("n", 2), Order.DIVERGENT), (Part.PURGES, View(purges="f:1=2"), View(purges="f:1=2,g:1=1"), Order.BEHIND),
    (Part.PURGES, View(purges="f:1=2"), View(purges="f:1=1,g:1=1"), Order.DIVERGENT), (Part.SETTINGS, View(settings="a"), View(), Order.DIVERGENT),
])  # fmt: skip
def test_parts_of_views_compare_as_their_kind_can(part: Part, one: View, other: View, found: Order) -> None:
    assert compare_part(part, one, other) is found


def test_which_parts_matter_to_which_class() -> None:
    assert relevant_parts(True, True) == ALL_PARTS and Part.LOW_WATERMARK not in relevant_parts(True, False)
    assert not {Part.PURGES, Part.LOW_WATERMARK} & relevant_parts(
        False, False
    ) and Part.LIST in relevant_parts(False, False)


def trail_of(
    changes: int, rng: random.Random, director: str = "d", start: int = 1, **more: Any
) -> tuple[ActivityLog, dict[str, int]]:
    """A trail through so many changes of view, and what was sent by class."""
    totals: dict[str, list[int]] = {"film": [0, 0, 0]}
    sent = {"film": 0, "sheet": 0}
    trail = ActivityLog(director, start, view_name(0), {"film": 2.0}, 1000.0, **more)
    for turn in range(1, changes + 1):
        for _ in range(rng.randrange(4)):
            cls = rng.choice(("film", "sheet"))
            assert trail.record_attempt(cls) == turn
            sent[cls] += 1
            totals.setdefault(cls, [0, 0, 0])[rng.randrange(3)] += 1
        trail.close_interval(view_name(turn), totals, 1000.0 + turn * 10.0)
    return trail, sent


def view_of(turn: int) -> View:
    return View("m", turn + 1, f"l{turn}")


def view_name(turn: int) -> str:
    return view_id(view_of(turn))


def report(trail: ActivityLog, spans: list[ActivityInterval] | None = None, **more: Any) -> Report:
    spans = trail.intervals() if spans is None else spans
    named = {view_name(turn): view_of(turn) for turn in range(60)}
    return Report(
        trail.director,
        trail.start,
        "z",
        0.0,
        view_of(0),
        spans,
        {s.view: named[s.view] for s in spans},
        **more,
    )


@given(st.integers(1, 20), st.integers(0, 2**32))
def test_spans_count_exactly_what_was_done_and_follow_one_another(changes: int, seed: int) -> None:
    trail, sent = trail_of(changes, random.Random(seed))
    spans = trail.intervals()
    assert [span.number for span in spans] == list(range(1, changes + 1))
    assert all(one.to_ms == then.from_ms for one, then in zip(spans, spans[1:], strict=False))
    for cls, count in sent.items():
        assert sum(span.counts[cls].sent for span in spans if cls in span.counts) == count
    ledger = AuditStore()
    ledger.add(report(trail))
    assert find_inconsistencies(ledger) == [] and ledger.stored_upto(("d", 1)) == changes


def test_an_attempt_that_is_answered_under_a_later_view_is_counted_there_as_older() -> None:
    trail = ActivityLog("d", 1, "a", {"film": 2.0}, 0.0)
    number = trail.record_attempt("film")
    trail.close_interval("b", {"film": [0, 0, 0]}, 10.0)
    trail.record_answer("film", number)
    span = trail.close_interval("c", {"film": [1, 0, 0]}, 20.0)
    assert (
        span.counts["film"].sent,
        span.counts["film"].served,
        span.counts["film"].sent_earlier,
        span.value,
    ) == (
        0,
        1,
        1,
        2.0,
    )
    assert (
        trail.checkpoint({"film": [1, 0, 0]}, 25.0).end == "open"
        and trail.checkpoint({"film": [1, 0, 0]}, 5.0).to_ms == 20.0
    )


def test_a_full_trail_loses_what_feeds_have_first_and_says_what_else_it_lost() -> None:
    trail, _ = trail_of(0, random.Random(1), max_bytes=2_000)
    for turn in range(1, 11):
        trail.close_interval(view_name(turn), {}, 1000.0 + turn)
    trail.acknowledge(8, 0)  # one feed has them, two are wanted
    for turn in range(11, 31):
        trail.close_interval(view_name(turn), {}, 1000.0 + turn)
    assert len(trail.lost) == 1 and (trail.lost[0].first, trail.lost[0].last) == (
        9,
        trail.intervals()[0].number - 1,
    )
    ledger = AuditStore()
    ledger.add(report(trail, lost=trail.lost))
    assert [
        row.why for row in rows_between(ledger, "d", 0.0, 2000.0) if row.known == "unknown" and row.number
    ] == [f"{trail.lost[0].last - 8} spans are gone"]
    full, _ = trail_of(30, random.Random(1))
    ledger.add(report(full, full.intervals()[:8]))
    assert find_inconsistencies(ledger) == [] and ledger.stored_upto(("d", 1)) == 30


@given(st.lists(st.integers(0, 7), max_size=30), st.integers(0, 2**32))
def test_ledgers_end_up_the_same_whatever_is_lost_repeated_or_out_of_order(
    order: list[int], seed: int
) -> None:
    rng = random.Random(seed)
    trails = [trail_of(6, rng, name)[0] for name in ("d", "e")]
    parts = [report(trail, trail.intervals()[n : n + 2]) for trail in trails for n in (0, 2, 4, 3)]
    one, other = AuditStore(), AuditStore()
    for place in [*order, *range(8)]:
        one.add(msgspec.json.decode(msgspec.json.encode(parts[place]), type=Report))
    for place in rng.sample(range(8), 8):
        other.add(parts[place])
    assert (
        one.interval_count == other.interval_count == 12
        and one.positions() == other.positions()
        and find_inconsistencies(one) == find_inconsistencies(other) == []
    )
    partly = AuditStore()
    partly.add(report(trails[0], trails[0].intervals()[3:]))  # it lost what came before, and so did its peers
    assert (
        partly.stored_upto(("d", 1)),
        partly.stored_upto(("d", 1), 4),
        partly.stored_upto(("d", 1), 7),
    ) == (0, 6, 6)
    third = AuditStore()
    for told in one.missing_reports({("d", 1): 4}, 3):
        third.add(told)
    assert third.stored_upto(("e", 1)) == 6 and third.interval_count == 8
    again = AuditStore()
    again.restore(one.snapshot())
    assert again.positions() == one.positions() and msgspec.to_builtins(
        rows_between(again, "d", 0.0, 1e9)
    ) == msgspec.to_builtins(rows_between(one, "d", 0.0, 1e9))


@pytest.mark.parametrize(("change", "what"), [
    ({"value": 9.0}, "altered"), ({"view": "other"}, "altered"), ({"from_ms": 1015.0}, "altered"), (None, "dropped"), ({"seal": "00"}, "altered"),
])  # fmt: skip
def test_reports_that_were_tampered_with_are_seen(change: dict[str, Any] | None, what: str) -> None:
    trail, _ = trail_of(6, random.Random(1))
    spans = trail.intervals()
    spans[2:3] = [] if change is None else [msgspec.structs.replace(spans[2], **change)]
    ledger = AuditStore()
    ledger.add(Report("d", 1, "z", 0.0, view_of(0), spans))
    assert any(wrong.number == 3 and wrong.what == what for wrong in find_inconsistencies(ledger))
    ledger.add(report(trail))
    assert change is None or any(wrong.what == "doubled" for wrong in find_inconsistencies(ledger))


def test_each_planted_alteration_is_caught_in_the_store() -> None:
    log = ActivityLog("d", 1, view_name(0), {"film": 2.0}, 10_000.0)
    for turn in range(1, 7):
        log.record_attempt("film")
        log.close_interval(view_name(turn), {"film": [turn, 0, 0]}, 10_000.0 + turn * 10.0)
    store = AuditStore()
    store.add(report(log))
    altered = planted(store, random.Random(1))
    assert len(altered) == 8 and not caught(store)
    assert [name for name, one in altered.items() if not caught(one)] == []


def test_views_under_wrong_names_and_moments_after_the_report_are_seen() -> None:
    trail, _ = trail_of(3, random.Random(1))
    lied = report(trail)
    lied.views[view_name(1)] = view_of(40)
    ledger = AuditStore()
    ledger.add(lied)
    assert [wrong.what for wrong in find_inconsistencies(ledger)] == ["unnamed"]
    ledger = AuditStore()
    ledger.add(report(trail, offset=(9_000.0, 9_010.0), taken_ms=1100.0, clock="f"))
    assert {wrong.what for wrong in find_inconsistencies(ledger)} == {"dated"}


@pytest.mark.parametrize("bad", [
    {"director": "d d"}, {"start": 0}, {"zone": "z" * 70}, {"sent_ms": -1.0}, {"offset": (2.0, 1.0)}, {"intervals": [ActivityInterval(0, 1.0, 2.0, "v", {}, 0.0)]},
    {"intervals": [ActivityInterval(1, 3.0, 2.0, "v", {}, 0.0)]},
])  # fmt: skip
def test_reports_that_cannot_be_are_refused(bad: dict[str, Any]) -> None:
    with pytest.raises(BadReportError, match="expected"):
        AuditStore().add(Report(**{"director": "d", "start": 1, "zone": "z", "sent_ms": 0.0, **bad}))


def test_the_audit_says_unknown_after_a_kill_and_not_running_after_a_stop() -> None:
    ledger = AuditStore()
    killed, _ = trail_of(2, random.Random(1))
    ledger.add(
        report(
            killed,
            open=killed.checkpoint({"film": [9, 9, 9]}, 1030.0),
            taken_ms=1031.0,
            offset=(-1.0, 2.0),
            clock="f",
        )
    )
    stopped = ActivityLog("d", 2, view_name(0), {}, 1100.0)
    stopped.close_interval(view_name(0), {}, 1200.0, "stopped")
    ledger.add(report(stopped))
    third = ActivityLog("d", 3, view_name(1), {}, 1300.0)
    ledger.add(report(third, open=third.checkpoint({}, 1400.0)))
    rows = [
        (row.start, row.known, row.from_ms, row.to_ms) for row in rows_between(ledger, "d", 1005.0, 1390.0)
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
    assert [row.known for row in rows_at(ledger, 1050.0)] == ["unknown"] and rows_between(
        ledger, "d", 1050.0, 1050.0
    )[0].offset == (-1.0, 2.0)
    assert [row.known for row in rows_between(ledger, "d", 1500.0, 1500.0)] == ["unknown"] and rows_between(
        ledger, "d", 1500.0, 1500.0
    )[0].why == "not told yet"
    assert [row.start for row in latest_rows(ledger)] == [3]
    ledger.add(
        report(killed, current=False, spans=[killed.checkpoint({"film": [9, 9, 9]}, 1040.0)])
    )  # what its folder still had
    assert [row.from_ms for row in rows_between(ledger, "d", 1035.0, 1060.0) if row.known == "unknown"] == [
        1040.0
    ]


def test_a_ledger_forgets_what_is_past_the_retention_and_says_that_it_was() -> None:
    ledger = AuditStore(retention_ms=100.0)
    trail, _ = trail_of(30, random.Random(1))
    ledger.add(report(trail, taken_ms=1300.0))
    ledger.add(report(trail_of(2, random.Random(1), "old")[0], taken_ms=1050.0))
    assert (
        ledger.forget_expired(1305.0) == 22
        and directors(ledger) == ["d"]
        and ledger.interval_count == 10
        and find_inconsistencies(ledger) == []
    )
    assert [row.why for row in rows_between(ledger, "d", 1100.0, 1100.0)] == ["20 spans are gone"] and len(
        ledger.views
    ) == 11
    other = AuditStore()
    for told in ledger.missing_reports({}, 100):
        other.add(told)
    assert other.stored_upto(("d", 1)) == 30 and find_inconsistencies(other) == []
    other = AuditStore()
    other.restore(ledger.snapshot())
    assert other.interval_count == 10 and other.stored_upto(("d", 1)) == 30 and other.views == ledger.views


def test_pages_of_a_book_join_to_what_a_killed_process_had_not_told() -> None:
    trail, _ = trail_of(4, random.Random(1))
    first, second, third, fourth = trail.intervals()
    open_ = trail.checkpoint({"film": [9, 9, 9]}, 1100.0)
    pages = join_pages([LogPage("d", 1, [first, second]), LogPage("d", 1, [third], open=fourth, copied=1), LogPage("d", 1, [fourth], open=open_, copied=2),
                    LogPage("d", 2, [], copied=0)])  # fmt: skip
    assert [
        (page.start, [span.number for span in page.intervals], page.open and page.open.number)
        for page in pages
    ] == [(1, [3, 4], 5), (2, [], None)]


@pytest.mark.parametrize(("alone", "at", "strict", "may"), [
    ("out", 100.0, True, True), ("out", 2998.0, True, False), ("out", 2990.0, False, True), ("out", 3500.0, False, False),
    ("strict", 3500.0, False, True), ("strict", 3500.0, True, False), ("strict", 6000.0, False, False),
])  # fmt: skip
def test_a_tenure_counts_from_before_the_question_and_who_asks_in_vain_may_go_on_only_where_so_set(
    alone: Any, at: float, strict: bool, may: bool
) -> None:
    tenure = ViewLease(alone)
    tenure.renew(0.0, 3000.0)
    tenure.record_unanswered(2500.0, 3000.0)
    assert tenure.permits(strict, at) is may


def test_stages_hold_back_and_the_board_has_a_tenure_of_its_own() -> None:
    tenure = ViewLease(list_lease_ms=2000.0)
    tenure.renew(0.0, 60_000.0)
    assert not tenure.permits(False, 10.0)
    tenure.renew_list(5.0)
    assert tenure.permits(True, 2000.0) and tenure.is_expired(2006.0)
    tenure.renew_list(50_000.0)
    view = View("m", 3, purges="f:1=4")
    for stage, strict, other in (
        (Stage.RESYNCING, True, True),
        (Stage.RESTRICTED, False, True),
        (Stage.DRAINED, False, True),
        (Stage.QUARANTINED, False, False),
    ):
        assert tenure.apply_verdict(Verdict(stage, "w", MissingParts("m", 5)), view)
        assert (tenure.permits(True, 100.0), tenure.permits(False, 100.0)) == (strict, other)
    # a feed that knows less than the director: what it names is not lacking
    assert (
        not tenure.apply_verdict(Verdict(Stage.QUARANTINED, "w", MissingParts("m", 3, purges="f:1=4")), view)
        and tenure.permits(True, 100.0)
        and tenure.rejected_verdicts == 1
    )
    assert not tenure.apply_verdict(
        Verdict(Stage.QUARANTINED, returning=True), view
    ), "a return never moves further out"


class Fleet:
    """Directors that report to one judge every 400 ms."""

    def __init__(self, zones: dict[str, str], **ladder: Any) -> None:
        self.monitor, self.now = LagMonitor(EscalationPolicy(**ladder), 0.0), 1000.0
        self.zones, self.views = zones, dict.fromkeys(zones, View("m", 1, settings="s"))
        self.silent: set[str] = set()
        self.stages: dict[str, Stage] = {}

    def run(self, ms: float) -> dict[str, Stage]:
        until = self.now + ms
        while self.now < until:
            self.now += 400.0
            for name, zone in self.zones.items():
                if name not in self.silent:
                    self.monitor.observe(name, zone, self.views[name], self.now)
                    self.stages[name] = self.monitor.verdict(name, self.now).stage
        return {name: stage for name, stage in self.stages.items() if stage}

    def change(self, names: str, **view: Any) -> None:
        for name in names:
            self.views[name] = msgspec.structs.replace(self.views[name], **view)


def test_a_straggler_goes_up_the_ladder_and_comes_back_slower_after_each_relapse() -> None:
    fleet = Fleet(dict.fromkeys("abcdefgh", "z"))
    assert fleet.run(2000.0) == {}
    fleet.change("bcdefgh", rev=2)
    seen = [fleet.run(400.0).get("a", Stage.HEALTHY) for _ in range(22)]
    assert seen == sorted(seen) and set(seen) == set(Stage)
    took = []
    for rev in (3, 4, 5):
        fleet.views["a"] = fleet.views["b"]
        began = fleet.now
        while fleet.run(400.0) and fleet.now < began + 20_000.0:
            pass
        took.append(fleet.now - began)
        fleet.change("bcdefgh", rev=rev)
        fleet.run(3000.0)
        assert (
            fleet.stages["a"] is Stage.RESTRICTED and "lacks list" in fleet.monitor.status("a", fleet.now).why
        )
    assert took[0] < took[1] < took[2] <= 5000.0


def test_one_that_slept_and_has_heard_all_by_its_next_report_is_let_back_at_once_but_not_twice() -> None:
    fleet = Fleet(dict.fromkeys("abcdefgh", "z"))
    fleet.run(1000.0)
    for rev, at_once in ((2, True), (3, False)):
        fleet.silent = {"a"}
        fleet.change("bcdefgh", rev=rev)
        fleet.run(6000.0)
        fleet.silent = set()
        assert fleet.run(400.0) == {"a": Stage.DRAINED}, "it does not act on what it knew"
        fleet.change("a", rev=rev)
        assert (fleet.run(400.0) == {}) is at_once
        fleet.run(2500.0)


@pytest.mark.parametrize(("zones", "behind", "change", "stages", "why"), [
    # more than the share: one is held back, the others are only told
    (dict.fromkeys("abcdefgh", "z"), "abc", {"rev": 1}, {"a": Stage.QUARANTINED, "b": Stage.RESYNCING, "c": Stage.RESYNCING}, "share of the fleet"),
    # most lack it: the fault is the source's
    (dict.fromkeys("abcdefgh", "z"), "abcde", {"rev": 1}, dict.fromkeys("abcde", Stage.NOTIFIED), "the source's fault"),
    # the last of its zone is right about the list, not about purges
    ({**dict.fromkeys("abcdefg", "z"), "h": "y"}, "h", {"purges": ""}, {"h": Stage.RESTRICTED}, "the last that serves zone y"),
    # and out where it is wrong about the list
    ({**dict.fromkeys("abcdefg", "z"), "h": "y"}, "h", {"rev": 1}, {"h": Stage.QUARANTINED}, "lacks list"),
    ({**dict.fromkeys("abcdefg", "z"), "h": "y"}, "a", {"settings": "old"}, {"a": Stage.QUARANTINED}, "lacks settings"),
])  # fmt: skip
def test_what_holds_the_ladder_back(
    zones: dict[str, str], behind: str, change: dict[str, Any], stages: dict[str, Stage], why: str
) -> None:
    fleet = Fleet(zones, share=0.125)
    fleet.run(1000.0)
    fleet.monitor.versions.announce_purges({("f", 1): 1}, fleet.now)
    fleet.monitor.versions.expect(ExpectedDigests("settings", ("s",), fleet.now), fleet.now)
    fleet.change("abcdefgh", rev=2, purges="f:1=1")
    fleet.change(behind, **change)
    assert fleet.run(12_000.0) == stages
    assert any(why in fleet.monitor.status(name, fleet.now).why for name in behind)
    assert {one.director for one in fleet.monitor.lagging_directors(fleet.now)} == set(behind)
    fleet.change(behind, rev=2, purges="f:1=1", settings="s")
    assert fleet.run(3000.0) == {}


def test_a_feed_that_is_alone_or_hears_few_holds_nobody_back_and_feeds_share_what_may_be() -> None:
    fleet = Fleet(dict.fromkeys("abcdefgh", "z"))
    fleet.run(1000.0)
    fleet.monitor.versions.expect(ExpectedDigests("settings", ("new",), fleet.now), fleet.now)
    fleet.change("abcdefg", settings="new")
    fleet.monitor.is_isolated = True
    assert fleet.run(10_000.0) == {"h": Stage.RESYNCING}, "operators may have said otherwise elsewhere"
    fleet.monitor.is_isolated = False
    fleet.silent = set("abcde")
    fleet.run(3000.0)
    assert (
        fleet.run(1000.0) == {"h": Stage.RESYNCING}
        and "most of the fleet is silent" in fleet.monitor.status("h", fleet.now).why
    )
    fleet.silent = set()
    fleet.monitor.server_count, fleet.monitor.rank, fleet.monitor.policy = (
        2,
        1,
        scaled_policy(4000.0, 0.125, 3000.0),
    )
    assert fleet.run(8000.0) == {"h": Stage.RESYNCING}, "the other feed has the only place"
    fleet.monitor.rank = 0
    assert fleet.run(8000.0) == {"h": Stage.QUARANTINED}
    fleet.monitor.remove("h")
    assert fleet.monitor.restricted_count() == 0


@given(st.lists(st.tuples(st.sampled_from("abcdef"), st.sampled_from(["cut", "heal", "silent", "heard", "news", "purge"]), st.integers(1, 12)),
                max_size=25))  # fmt: skip
def test_no_sequence_of_cuts_and_heals_leaves_a_healthy_director_out(
    events: list[tuple[str, str, int]],
) -> None:
    fleet = Fleet({**dict.fromkeys("abcd", "z"), "e": "y", "f": "y"})
    cut: set[str] = set()
    news = {"rev": 1, "purges": ""}
    for name, what, steps in events:
        match what:
            case "cut":
                cut.add(name)
            case "heal":
                cut.discard(name)
            case "silent":
                fleet.silent.add(name)
            case "heard":
                fleet.silent.discard(name)
            case "news":
                news["rev"] = int(news["rev"]) + 1
            case "purge":
                count = len(fleet.monitor.versions.purges) and fleet.monitor.versions.purges["f", 1]
                fleet.monitor.versions.announce_purges({("f", 1): count + 1}, fleet.now)
                news["purges"] = f"f:1={count + 1}"
        for one in fleet.zones:
            if one not in cut:
                fleet.change(one, **news)
        fleet.run(steps * 400.0)
        held = [
            one
            for one, stage in fleet.stages.items()
            if stage >= Stage.RESTRICTED and one not in fleet.silent
        ]
        assert len(held) <= max(int(0.25 * 6), 1)
    fleet.silent.clear()
    for one in fleet.zones:
        fleet.change(one, **news)
    assert fleet.run(40_000.0) == {}


def test_searches_of_tenure_and_ladder_find_nothing_and_each_planted_fault() -> None:
    assert "violation" not in searched_all(5, 1)
    found = {plant.name: searched(plant) for plant in (*LEASE_PLANTS, *ESCALATION_PLANTS)}
    assert all(isinstance(what, str) for what in found.values()), found
