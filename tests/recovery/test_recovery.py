"""The parts of recovery: the refetch budget, phases, warm starts, the key log, and the backfill of purge log
servers."""

from __future__ import annotations

import asyncio
import random
from pathlib import Path
from typing import Any

import msgspec
import pytest
from conftest import members, settings
from hypothesis import given
from hypothesis import strategies as st

from gladelane.hot_restart.learned_state import take_snapshot
from gladelane.lab.simdisk import SimDisk
from gladelane.purges.backfill import BackfillSchedule
from gladelane.purges.purge import Purge
from gladelane.purges.refetch_budget import QUIET_MS, Cause, RefetchBudget
from gladelane.purges.wire import batches
from gladelane.recovery.key_log import KEY_FILES, KeyLog
from gladelane.recovery.phases import Phase, Phases, Reason, ServiceSnapshot
from gladelane.recovery.state_store import StateStore
from gladelane.recovery.warm_start import (
    FORMAT,
    WarmStartDocument,
    apply_document,
    decay_learned_state,
    document_age_ms,
    reason_to_reject,
    settings_digest,
)
from gladelane.routing.events import ListKind, Members, Request
from gladelane.routing.idempotency import KeyWindows
from gladelane.routing.router import Router
from gladelane.storage.boot import BootTimestamp
from gladelane.storage.files import Disk, Folder

RETENTION_MS = 10_000.0

# --- the refetch budget


def refetch_for_one_second(
    budget: RefetchBudget,
    started_ms: float,
    per_s: int,
    late_share: float = 0.0,
    found: bool = False,
    value: float = 1.0,
) -> int:
    """Requests `per_s` new objects within one second; returns how many were admitted.

    late_share: of the requests, those that are answered too late; found: answers are copies of an earlier date.
    """
    admitted = 0
    for n in range(per_s):
        now_ms = started_ms + n * 1000.0 / per_s
        facet = int(now_ms * 1000) + 1, 0
        if not budget.admit(facet, value, 3600e3, now_ms):
            admitted += 1
            dated_ms = now_ms - 5_000.0 if found else now_ms
            budget.record_answer(facet, dated_ms, n >= late_share * per_s)
    return admitted


def test_refetches_are_unlimited_without_a_cause_and_all_causes_share_one_budget() -> None:
    budget = RefetchBudget(20.0, 0.0, 0.0, random.Random(1))
    assert refetch_for_one_second(budget, 0.0, 500) == 500
    budget.activate(Cause.LOST, 1000.0)
    first = refetch_for_one_second(budget, 1000.0, 500)
    assert 20 <= first <= 30
    budget.activate(Cause.CUT_OFF, 2000.0)  # a second cause gives no second burst and doesn't reset the rate
    assert refetch_for_one_second(budget, 2000.0, 500) <= 46 and budget.rejected > 900
    budget.deactivate(Cause.LOST)
    assert budget.is_active
    budget.deactivate(Cause.CUT_OFF)
    assert not budget.is_active and refetch_for_one_second(budget, 3000.0, 500) == 500


def test_the_rate_grows_while_refetches_are_in_time_and_falls_when_one_in_ten_is_late() -> None:
    budget = RefetchBudget(20.0, 0.0, 0.0, random.Random(2))
    budget.activate(Cause.RECONNECTED, 0.0)
    rates = [refetch_for_one_second(budget, second * 1000.0, 2000) for second in range(6)]
    assert (
        all(later > earlier for earlier, later in zip(rates, rates[1:], strict=False))
        and rates[-1] > 5 * rates[0]
    )
    rate_before = budget.rate_per_s
    refetch_for_one_second(budget, 6000.0, 2000, late_share=0.5)
    refetch_for_one_second(budget, 7000.0, 2000, late_share=0.5)
    assert budget.rate_per_s <= rate_before * 0.75
    for second in range(8, 20):
        refetch_for_one_second(budget, second * 1000.0, 500, late_share=1.0)
    assert budget.rate_per_s >= 20.0 * 0.25  # the minimum keeps enough refetches to notice an improvement


def test_all_directors_together_keep_the_origins_limit_if_each_has_its_share() -> None:
    budgets = [RefetchBudget(100.0 / 8, 100.0 / 8, 0.0, random.Random(n)) for n in range(8)]
    for budget in budgets:
        budget.activate(Cause.LOST, 0.0)
    admitted_per_s = [
        sum(refetch_for_one_second(budget, second * 1000.0, 400) for budget in budgets)
        for second in range(10)
    ]
    assert max(admitted_per_s) <= 150 and sum(admitted_per_s) <= 10 * 100 + 8 * 7
    for second in range(10, 60):  # by now most copies are refetched, and the limit no longer applies
        refetch_for_one_second(budgets[0], second * 1000.0, 400)
    assert budgets[0].rate_per_s > 100.0


def test_refetched_and_pending_objects_are_free_and_copies_found_elsewhere_return_the_token() -> None:
    budget = RefetchBudget(2.0, 0.0, 0.0, random.Random(3))
    budget.record_answer((1, 0), 500.0, True)  # before the budget is active
    budget.activate(Cause.LOST, 1000.0)
    budget._tokens = 1.0
    assert budget.admit((1, 0), 1.0, 500.0, 1000.0) == 0.0  # its copy is dated 500, which is new enough
    assert budget.admit((2, 0), 1.0, 10.0, 1000.0) == 0.0 and budget.refetched == 1
    assert budget.admit((2, 0), 1.0, 10.0, 1001.0) == 0.0 and budget.refetched == 1  # joins that refetch
    assert budget.admit((3, 0), 1.0, 10.0, 1002.0) > 0.0
    budget.record_answer((2, 0), 700.0, True)  # a copy that existed before: the token is returned
    assert budget.refetched == 0 and budget.admit((3, 0), 1.0, 10.0, 1003.0) == 0.0
    assert budget.admit((2, 0), 1.0, 10.0, 1100.0) > 0.0  # the copy has become too old meanwhile
    assert refetch_for_one_second(RefetchBudget(5.0, 0.0, 0.0, random.Random(4)), 0.0, 50, found=True) == 50


def test_low_value_requests_leave_a_reserve_and_advised_delays_grow_with_the_load_and_are_spread() -> None:
    budget = RefetchBudget(40.0, 0.0, 0.0, random.Random(5))
    budget.activate(Cause.LOST, 0.0)
    budget._tokens = 20.0
    low_value = sum(not budget.admit((n, 0), 0.1, 1.0, 0.0) for n in range(20))
    high_value = sum(not budget.admit((100 + n, 0), 1.0, 1.0, 0.0) for n in range(20))
    assert 10 <= low_value <= 12 and low_value + high_value == 20
    few = [budget.admit((200 + n, 0), 1.0, 1.0, 0.0) for n in range(20)]
    many = [budget.admit((300 + n, 0), 1.0, 1.0, 0.0) for n in range(400)]
    assert min(few) >= 500.0 and len(set(few)) > 15 and sum(many[-20:]) > 2 * sum(few) and max(many) <= 7500.0
    assert (
        not budget.has_no_recent_rejection(QUIET_MS - 1.0)
        and budget.has_no_recent_rejection(QUIET_MS)
        and budget.is_idle(1000.0)
    )


@given(
    st.lists(st.tuples(st.integers(0, 5), st.floats(0.0, 400.0), st.booleans()), max_size=60),
    st.integers(0, 99),
)
def test_refetches_never_exceed_the_rate_plus_one_burst(
    steps: list[tuple[int, float, bool]], seed: int
) -> None:
    budget = RefetchBudget(10.0, 10.0, 0.0, random.Random(seed))
    budget.activate(Cause.CUT_OFF, 0.0)
    now_ms, refetched = 0.0, 0
    for object_id, gap_ms, is_late in steps:
        now_ms += gap_ms
        before = budget.refetched
        budget.admit((object_id, 0), 1.0, 1.0, now_ms)
        refetched += budget.refetched - before
        budget.record_answer((object_id, 0), now_ms if not is_late else 0.0, not is_late)
        assert refetched <= 10.0 * now_ms / 1000.0 + 5.0 + 1e-6


# --- phases


HEALTHY = ServiceSnapshot(True, True, True, False, 0.0, 0.0)


def test_a_director_goes_from_starting_to_full_and_reports_the_blocking_reason() -> None:
    phases = Phases(0.0)
    reported: list[tuple[Phase, Reason]] = []
    script = [
        (0.0, HEALTHY._replace(is_listening=False)),
        (500.0, HEALTHY._replace(has_caught_up=False, is_following=False)),
        (1000.0, HEALTHY._replace(is_following=False)),
        (1500.0, HEALTHY._replace(is_refetch_budget_exhausted=True)),
        (2000.0, HEALTHY._replace(requested_value=100.0, earned_value=50.0)),
        (2500.0, HEALTHY._replace(requested_value=200.0, earned_value=145.0)),
        (5000.0, HEALTHY._replace(requested_value=300.0, earned_value=245.0)),
        (5100.0, HEALTHY._replace(requested_value=400.0, earned_value=345.0)),
        (7000.0, HEALTHY._replace(requested_value=500.0, earned_value=445.0)),
    ]
    for now_ms, snapshot in script:
        phases.update(snapshot, now_ms)
        reported.append((phases.phase, phases.reason))
    assert reported == [
        (Phase.STARTING, Reason.NO_CLIENTS_YET),
        (Phase.CATCHING_UP, Reason.NO_FEED),
        (Phase.RAMPING, Reason.CUT_OFF),
        (Phase.RAMPING, Reason.RENEWING),
        (Phase.RAMPING, Reason.SERVED),
        (Phase.RAMPING, Reason.SERVED),
        (Phase.RAMPING, Reason.TOO_YOUNG),
        (Phase.RAMPING, Reason.TOO_YOUNG),
        (Phase.FULL, Reason.NONE),
    ]
    assert phases.recovered_after_ms == 7000.0
    assert not phases.update(
        HEALTHY._replace(requested_value=600.0, earned_value=535.0), 7500.0
    )  # 0.9 for a moment: still full
    assert (
        phases.update(HEALTHY._replace(requested_value=900.0, earned_value=600.0), 9000.0)
        and phases.reason is Reason.SERVED
    )
    assert phases.since_ms == 9000.0 and phases.recovered_after_ms == 0.0


def test_a_director_without_requests_is_full_once_all_other_conditions_are_met() -> None:
    phases = Phases(0.0)
    assert [phases.update(HEALTHY, now_ms) or phases.phase for now_ms in (100.0, 1000.0, 2100.0)][-1] is True
    assert phases.phase is Phase.FULL and phases.recovered_after_ms == 2100.0


# --- warm starts


def make_busy_router(seed: int = 1, **changes: Any) -> Router:
    router = Router(settings(**changes), seed)
    router.handle(1000.0, Members(ListKind.COMPLETE, members()))
    for n in range(60):
        router.handle(1000.0 + n, Request(n + 1, "film", n % 7 + 1, 9000.0, size_kb=100.0))
    router.stores["c0"].failure_score = 2.0
    router.stores["c0"].ejected_until_ms = 5000.0
    router.stores["c0"].concurrency.limit = 9.0
    return router


def make_document(router: Router, written_ms: float = 2000.0, name: str = "n0") -> WarmStartDocument:
    return WarmStartDocument(
        FORMAT, name, settings_digest(router.settings), written_ms, take_snapshot(router)
    )


def test_learned_state_is_used_only_for_the_same_director_settings_and_servers_and_if_recent() -> None:
    document = make_document(make_busy_router())
    digest = settings_digest(settings())
    assert not reason_to_reject(document, "n0", digest, 500.0, 60_000.0)
    assert settings_digest(settings(me=1)) == digest and settings_digest(settings(max_attempts=3)) != digest
    for changed, reason in ((msgspec.structs.replace(document, format=9), "format 9"),
                            (msgspec.structs.replace(document, name="n1"), "written by 'n1'"),
                            (msgspec.structs.replace(document, settings="x"), "other settings"),
                            (msgspec.structs.replace(document, written_ms=3000.0), "age -500"),
                            (msgspec.structs.replace(document, written_ms=-99_000.0), "expected 0 to 60000")):  # fmt: skip
        assert reason in reason_to_reject(
            changed, "n0", digest, document_age_ms(changed, 2500.0, BootTimestamp("", 0.0)), 60_000.0
        )
    fresh = Router(settings(), 2)
    fresh.handle(2500.0, Members(ListKind.COMPLETE, members(caches=9)[4:]))
    assert "of 8 servers are the same" in apply_document(fresh, document, 2500.0, 500.0) and not fresh.objects


def test_a_warm_start_restores_valid_counts_limits_and_health_but_no_saved_retry_budget() -> None:
    old = make_busy_router()
    old.budgets.retries = 30.0
    fresh = Router(settings(), 2)
    fresh.handle(2500.0, Members(ListKind.COMPLETE, members()))
    assert not apply_document(fresh, make_document(old), 2500.0, 500.0)
    assert fresh.objects.keys() == old.objects.keys() and all(o.admitted for o in fresh.objects.values())
    assert fresh.stores["c0"].concurrency.limit == 9.0 and fresh.stores["c0"].ejected_until_ms == 5000.0
    assert (
        fresh.budgets.retries == 15.0
        and not fresh.pending
        and all(s.concurrency.in_flight == 0 for s in fresh.stores.values())
    )
    assert (
        old.budgets.retries == 30.0 and old.stores["c0"].concurrency.in_flight > 0
    )  # the snapshot changed nothing


@pytest.mark.parametrize(("age_ms", "objects", "health", "limits"), [
    (0.0, 7, 2.0, True), (10_000.0, 7, 2.0, True), (10_001.0, 7, 0.0, True), (60_001.0, 0, None, False),
])  # fmt: skip
def test_each_part_of_learned_state_expires_separately(
    age_ms: float, objects: int, health: float | None, limits: bool
) -> None:
    learned_state = decay_learned_state(take_snapshot(make_busy_router()), age_ms)
    assert len(learned_state.objects) == objects and bool(learned_state.stores) is limits
    if health is not None:
        assert next(s for s in learned_state.stores if s.store == "c0").failure_score == health
    if objects and age_ms:
        assert all(o.count < 9.0 * 0.51 for o in learned_state.objects)


def test_a_folder_survives_a_kill_and_a_damaged_or_foreign_one_is_not_used(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    now = [2000.0]

    def open_state_store(router: Router, name: str = "n0") -> StateStore:
        boot_clock = lambda: BootTimestamp("boot", now[0])  # noqa: E731
        return StateStore(tmp_path / "warm", name, router, lambda: now[0], 1000.0, 60_000.0, boot_clock)

    def make_router() -> Router:
        router = Router(settings(), 3)
        router.handle(now[0], Members(ListKind.COMPLETE, members()))
        return router

    first = open_state_store(make_busy_router())
    asyncio.run(first.write())
    asyncio.run(first.write())
    first.keys.write("k", 2000.0, "root")
    first.close()
    now[0] = 4000.0
    router, keys = make_router(), KeyWindows(RETENTION_MS, 100)
    second = open_state_store(router)
    second.restore(keys)
    second.close()
    assert second.is_warm and len(router.objects) == 7 and keys.first_attempt("k", 4000.0) == (2000.0, "root")
    third = open_state_store(other := make_router(), "n1")
    third.restore(KeyWindows(RETENTION_MS, 100))
    third.close()
    assert not third.is_warm and not other.objects and "not used: written by 'n0'" in caplog.text
    snapshot = next((tmp_path / "warm" / "learnt").glob("*.snap"))
    snapshot.write_bytes(snapshot.read_bytes()[:-9])
    damaged = open_state_store(other)
    damaged.restore(KeyWindows(RETENTION_MS, 100))
    asyncio.run(damaged.write())
    damaged.close()
    assert (
        not damaged.is_warm
        and "learned state damaged, folder renamed to" in caplog.text
        and (tmp_path / "warm" / "learnt.damaged-1").is_dir()
    )


def test_keys_are_stored_in_two_alternating_files_and_survive_a_full_disk(tmp_path: Path) -> None:
    now = [1000.0]

    def open_key_log(disk: Disk, at_ms: float) -> KeyLog:
        now[0] = at_ms
        return KeyLog(disk, lambda: now[0], RETENTION_MS, lambda: BootTimestamp("boot", now[0]))

    def write(key_log: KeyLog, key: str, at_ms: float) -> None:
        now[0] = at_ms
        key_log.write(key, at_ms, "root")

    disk = SimDisk()
    first = open_key_log(disk, 1000.0)
    for n in range(60):
        write(first, f"k{n}", 1000.0 + n * 1000.0)
    assert {*KEY_FILES} < set(disk.names()) and sum(disk.size(name) for name in KEY_FILES) < 60 * 60
    disk.append(KEY_FILES[0], b"\x5a\xa5torn")
    restarted = open_key_log(disk, 60_000.0)
    assert sorted(restarted.recovered_attempts, key=lambda key: int(key[1:])) == [
        f"k{n}" for n in range(49, 60)
    ]
    assert open_key_log(disk, 60_000.0 + 2 * RETENTION_MS).recovered_attempts == {}
    disk.capacity_bytes = 0
    full = open_key_log(disk, 60_000.0)
    write(full, "k", 60_001.0)  # a full disk must not fail the request
    disk.capacity_bytes = 40
    write(full, "half", 60_002.0)
    disk.capacity_bytes = 10_000
    write(full, "later", 60_003.0)  # this also stores the records that failed before
    assert {"k", "half", "later"} <= open_key_log(disk.copy(), 60_004.0).recovered_attempts.keys()
    log_in_folder = open_key_log(Folder(tmp_path / "keys"), 1000.0)
    write(log_in_folder, "k", 1001.0)


# --- backfill of purge log servers


def test_a_server_gets_a_backfill_after_a_random_delay_only_if_it_still_lacks_purges() -> None:
    known, reported = {("a", 1): 5}, {("a", 1): 3}
    first_due_ms = []
    for seed in range(20):
        schedule = BackfillSchedule(random.Random(seed))
        due_ms = [at_ms for at_ms in range(0, 12_000, 100) if schedule.is_due(known, reported, at_ms + 1.0)]
        first_due_ms.append(due_ms[0])
        assert 700 <= due_ms[0] <= 2600 and all(
            later - earlier >= 3600 for earlier, later in zip(due_ms, due_ms[1:], strict=False)
        )
    assert len(set(first_due_ms)) > 8
    schedule = BackfillSchedule(random.Random(1))
    # at 5000 another director has sent the backfill
    assert not schedule.is_due(known, reported, 1.0) and not schedule.is_due(known, known, 5000.0)
    assert not schedule.is_due(known, reported, 5100.0) and not schedule.is_due(known, None, 9000.0)
    assert not schedule.is_due(known, reported, 9100.0)


@given(st.lists(st.integers(1, 400), max_size=40))
def test_batches_contain_all_purges_in_order(sizes: list[int]) -> None:
    purges = [Purge("a", 1, n + 1, 1.0, "x" * size) for n, size in enumerate(sizes)]
    encoded = list(batches(purges))
    assert [p for batch in encoded for p in batch] == purges and all(batch for batch in encoded)
