"""Coming back, the pure parts and their folder: the budget of renewals, phases, what a start may take, keys that
outlive a kill, and when feeds are filled again."""

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

from gladelane.hot_restart.learnt import take_snapshot
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
    decayed,
    document_age_ms,
    reason_to_reject,
    settings_digest,
)
from gladelane.routing.events import ListKind, Members, Request
from gladelane.routing.idempotency import KeyWindows
from gladelane.routing.router import Router
from gladelane.storage.boot import BootMoment
from gladelane.storage.files import Disk, Folder

KEPT_MS = 10_000.0

# --- renewals


def asked(
    budget: RefetchBudget, at: float, per_s: int, late: float = 0.0, found: bool = False, worth: float = 1.0
) -> int:
    """One second of new things; how many were let through. late: the part that comes too late."""
    admitted = 0
    for n in range(per_s):
        now = at + n * 1000.0 / per_s
        thing = int(now * 1000) + 1, 0
        if not budget.admit(thing, worth, 3600e3, now):
            admitted += 1
            dated = now - 5_000.0 if found else now
            budget.record_answer(thing, dated, n >= late * per_s)
    return admitted


def test_nothing_is_bounded_without_a_cause_and_each_cause_shares_one_budget() -> None:
    budget = RefetchBudget(20.0, 0.0, 0.0, random.Random(1))
    assert asked(budget, 0.0, 500) == 500
    budget.activate(Cause.LOST, 1000.0)
    first = asked(budget, 1000.0, 500)
    assert 20 <= first <= 30
    budget.activate(Cause.CUT_OFF, 2000.0)  # on top of it: no second burst, and no rate set back
    assert asked(budget, 2000.0, 500) <= 46 and budget.rejected > 900
    budget.deactivate(Cause.LOST)
    assert budget.is_active
    budget.deactivate(Cause.CUT_OFF)
    assert not budget.is_active and asked(budget, 3000.0, 500) == 500


def test_the_rate_grows_while_renewals_come_in_time_and_falls_when_one_in_ten_is_late() -> None:
    budget = RefetchBudget(20.0, 0.0, 0.0, random.Random(2))
    budget.activate(Cause.BACK, 0.0)
    rates = [asked(budget, second * 1000.0, 2000) for second in range(6)]
    assert (
        all(later > sooner for sooner, later in zip(rates, rates[1:], strict=False))
        and rates[-1] > 5 * rates[0]
    )
    was = budget.rate_per_s
    asked(budget, 6000.0, 2000, late=0.5)
    asked(budget, 7000.0, 2000, late=0.5)
    assert budget.rate_per_s <= was * 0.75
    for second in range(8, 20):
        asked(budget, second * 1000.0, 500, late=1.0)
    assert budget.rate_per_s >= 20.0 * 0.25  # never so low that it cannot find out


def test_with_a_part_of_the_origins_figure_all_directors_together_keep_to_it() -> None:
    directors = [RefetchBudget(100.0 / 8, 100.0 / 8, 0.0, random.Random(n)) for n in range(8)]
    for one in directors:
        one.activate(Cause.LOST, 0.0)
    seconds = [sum(asked(one, second * 1000.0, 400) for one in directors) for second in range(10)]
    assert max(seconds) <= 150 and sum(seconds) <= 10 * 100 + 8 * 7
    for second in range(10, 60):  # most is renewed by now: what is new is what always was
        asked(directors[0], second * 1000.0, 400)
    assert directors[0].rate_per_s > 100.0


def test_what_was_renewed_or_is_under_way_is_free_and_what_others_renewed_is_given_back() -> None:
    budget = RefetchBudget(2.0, 0.0, 0.0, random.Random(3))
    budget.record_answer((1, 0), 500.0, True)  # before anything happened
    budget.activate(Cause.LOST, 1000.0)
    budget._tokens = 1.0
    assert budget.admit((1, 0), 1.0, 500.0, 1000.0) == 0.0  # dated 500 at the earliest
    assert budget.admit((2, 0), 1.0, 10.0, 1000.0) == 0.0 and budget.refetched == 1
    assert budget.admit((2, 0), 1.0, 10.0, 1001.0) == 0.0 and budget.refetched == 1  # joins it
    assert budget.admit((3, 0), 1.0, 10.0, 1002.0) > 0.0
    budget.record_answer((2, 0), 700.0, True)  # found: its token comes back
    assert budget.refetched == 0 and budget.admit((3, 0), 1.0, 10.0, 1003.0) == 0.0
    assert budget.admit((2, 0), 1.0, 10.0, 1100.0) > 0.0  # it has grown too old meanwhile
    assert asked(RefetchBudget(5.0, 0.0, 0.0, random.Random(4)), 0.0, 50, found=True) == 50


def test_what_earns_less_leaves_a_reserve_and_advice_grows_with_the_crowd_and_is_spread() -> None:
    budget = RefetchBudget(40.0, 0.0, 0.0, random.Random(5))
    budget.activate(Cause.LOST, 0.0)
    budget._tokens = 20.0
    cheap = sum(not budget.admit((n, 0), 0.1, 1.0, 0.0) for n in range(20))
    dear = sum(not budget.admit((100 + n, 0), 1.0, 1.0, 0.0) for n in range(20))
    assert 10 <= cheap <= 12 and cheap + dear == 20
    few = [budget.admit((200 + n, 0), 1.0, 1.0, 0.0) for n in range(20)]
    many = [budget.admit((300 + n, 0), 1.0, 1.0, 0.0) for n in range(400)]
    assert min(few) >= 500.0 and len(set(few)) > 15 and sum(many[-20:]) > 2 * sum(few) and max(many) <= 7500.0
    assert not budget.is_quiet(QUIET_MS - 1.0) and budget.is_quiet(QUIET_MS) and budget.is_idle(1000.0)


@given(
    st.lists(st.tuples(st.integers(0, 5), st.floats(0.0, 400.0), st.booleans()), max_size=60),
    st.integers(0, 99),
)
def test_over_any_stretch_no_more_is_let_through_than_the_rates_and_a_burst(
    steps: list[tuple[int, float, bool]], seed: int
) -> None:
    budget = RefetchBudget(10.0, 10.0, 0.0, random.Random(seed))
    budget.activate(Cause.CUT_OFF, 0.0)
    now, paid = 0.0, 0
    for thing, gap, late in steps:
        now += gap
        before = budget.refetched
        budget.admit((thing, 0), 1.0, 1.0, now)
        paid += budget.refetched - before
        budget.record_answer((thing, 0), now if not late else 0.0, not late)
        assert paid <= 10.0 * now / 1000.0 + 5.0 + 1e-6


# --- phases


WELL = ServiceSnapshot(True, True, True, False, 0.0, 0.0)


def test_a_director_goes_from_starting_to_full_with_the_reason_it_is_not_further() -> None:
    phases = Phases(0.0)
    told: list[tuple[Phase, Reason]] = []
    script = [
        (0.0, WELL._replace(listens=False)),
        (500.0, WELL._replace(caught_up=False, follows=False)),
        (1000.0, WELL._replace(follows=False)),
        (1500.0, WELL._replace(renewing=True)),
        (2000.0, WELL._replace(asked=100.0, earned=50.0)),
        (2500.0, WELL._replace(asked=200.0, earned=145.0)),
        (5000.0, WELL._replace(asked=300.0, earned=245.0)),
        (5100.0, WELL._replace(asked=400.0, earned=345.0)),
        (7000.0, WELL._replace(asked=500.0, earned=445.0)),
    ]
    for at, seen in script:
        phases.update(seen, at)
        told.append((phases.phase, phases.reason))
    assert told == [
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
    assert not phases.update(WELL._replace(asked=600.0, earned=535.0), 7500.0)  # 0.9 for a moment: still full
    assert phases.update(WELL._replace(asked=900.0, earned=600.0), 9000.0) and phases.reason is Reason.SERVED
    assert phases.since_ms == 9000.0 and phases.recovered_after_ms == 0.0


def test_a_director_that_nobody_asks_is_full_once_nothing_else_is_missing() -> None:
    phases = Phases(0.0)
    assert [phases.update(WELL, at) or phases.phase for at in (100.0, 1000.0, 2100.0)][-1] is True
    assert phases.phase is Phase.FULL and phases.recovered_after_ms == 2100.0


# --- what a start may take


def busy(seed: int = 1, **changes: Any) -> Router:
    router = Router(settings(**changes), seed)
    router.handle(1000.0, Members(ListKind.COMPLETE, members()))
    for n in range(60):
        router.handle(1000.0 + n, Request(n + 1, "film", n % 7 + 1, 9000.0, size_kb=100.0))
    router.stores["c0"].failure_score = 2.0
    router.stores["c0"].ejected_until_ms = 5000.0
    router.stores["c0"].concurrency.limit = 9.0
    return router


def document(router: Router, at: float = 2000.0, name: str = "n0") -> WarmStartDocument:
    return WarmStartDocument(FORMAT, name, settings_digest(router.settings), at, take_snapshot(router))


def test_what_was_learnt_is_taken_only_of_the_same_director_settings_and_servers_and_not_too_old() -> None:
    told = document(busy())
    mine = settings_digest(settings())
    assert not reason_to_reject(told, "n0", mine, 500.0, 60_000.0)
    assert settings_digest(settings(me=1)) == mine and settings_digest(settings(max_attempts=3)) != mine
    for changed, says in ((msgspec.structs.replace(told, format=9), "format 9"), (msgspec.structs.replace(told, name="n1"), "of 'n1'"),
                          (msgspec.structs.replace(told, settings="x"), "other settings"),
                          (msgspec.structs.replace(told, written_ms=3000.0), "age -500"),
                          (msgspec.structs.replace(told, written_ms=-99_000.0), "expected 0 to 60000")):  # fmt: skip
        assert says in reason_to_reject(
            changed, "n0", mine, document_age_ms(changed, 2500.0, BootMoment("", 0.0)), 60_000.0
        )
    fresh = Router(settings(), 2)
    fresh.handle(2500.0, Members(ListKind.COMPLETE, members(caches=9)[4:]))
    assert "of 8 servers are the same" in apply_document(fresh, told, 2500.0, 500.0) and not fresh.objects


def test_a_start_has_the_counts_limits_and_health_that_are_still_true_and_no_more_saved_up() -> None:
    old = busy()
    old.budgets.retries = 30.0
    fresh = Router(settings(), 2)
    fresh.handle(2500.0, Members(ListKind.COMPLETE, members()))
    assert not apply_document(fresh, document(old), 2500.0, 500.0)
    assert fresh.objects.keys() == old.objects.keys() and all(o.admitted for o in fresh.objects.values())
    assert fresh.stores["c0"].concurrency.limit == 9.0 and fresh.stores["c0"].ejected_until_ms == 5000.0
    assert (
        fresh.budgets.retries == 15.0
        and not fresh.pending
        and all(s.concurrency.in_flight == 0 for s in fresh.stores.values())
    )
    assert (
        old.budgets.retries == 30.0 and old.stores["c0"].concurrency.in_flight > 0
    )  # looking takes nothing away


@pytest.mark.parametrize(("age_ms", "objects", "health", "limits"), [
    (0.0, 7, 2.0, True), (10_000.0, 7, 2.0, True), (10_001.0, 7, 0.0, True), (60_001.0, 0, None, False),
])  # fmt: skip
def test_each_part_ages_by_itself(age_ms: float, objects: int, health: float | None, limits: bool) -> None:
    learnt = decayed(take_snapshot(busy()), age_ms)
    assert len(learnt.objects) == objects and bool(learnt.stores) is limits
    if health is not None:
        assert next(s for s in learnt.stores if s.store == "c0").failure_score == health
    if objects and age_ms:
        assert all(o.count < 9.0 * 0.51 for o in learnt.objects)


def test_a_kept_folder_survives_a_kill_and_a_torn_or_foreign_one_is_passed_over(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    now = [2000.0]

    def state_store(router: Router, name: str = "n0") -> StateStore:
        moment = lambda: BootMoment("boot", now[0])  # noqa: E731
        return StateStore(tmp_path / "warm", name, router, lambda: now[0], 1000.0, 60_000.0, moment)

    def fresh() -> Router:
        router = Router(settings(), 3)
        router.handle(now[0], Members(ListKind.COMPLETE, members()))
        return router

    first = state_store(busy())
    asyncio.run(first.write())
    asyncio.run(first.write())
    first.keys.write("k", 2000.0, "root")
    first.close()
    now[0] = 4000.0
    router, keys = fresh(), KeyWindows(KEPT_MS, 100)
    second = state_store(router)
    second.take_over(keys)
    second.close()
    assert second.is_warm and len(router.objects) == 7 and keys.first_attempt("k", 4000.0) == (2000.0, "root")
    third = state_store(other := fresh(), "n1")
    third.take_over(KeyWindows(KEPT_MS, 100))
    third.close()
    assert not third.is_warm and not other.objects and "passed over: of 'n0'" in caplog.text
    snapshot = next((tmp_path / "warm" / "learnt").glob("*.snap"))
    snapshot.write_bytes(snapshot.read_bytes()[:-9])
    torn = state_store(other)
    torn.take_over(KeyWindows(KEPT_MS, 100))
    asyncio.run(torn.write())
    torn.close()
    assert (
        not torn.is_warm
        and "set aside as" in caplog.text
        and (tmp_path / "warm" / "learnt.damaged-1").is_dir()
    )


def test_keys_are_stored_before_they_are_tried_and_two_files_take_turns(tmp_path: Path) -> None:
    now = [1000.0]

    def key_log(disk: Disk, at_ms: float) -> KeyLog:
        now[0] = at_ms
        return KeyLog(disk, lambda: now[0], KEPT_MS, lambda: BootMoment("boot", now[0]))

    def write(to: KeyLog, key: str, at_ms: float) -> None:
        now[0] = at_ms
        to.write(key, at_ms, "root")

    disk = SimDisk()
    first = key_log(disk, 1000.0)
    for n in range(60):
        write(first, f"k{n}", 1000.0 + n * 1000.0)
    assert {*KEY_FILES} < set(disk.names()) and sum(disk.size(name) for name in KEY_FILES) < 60 * 60
    disk.append(KEY_FILES[0], b"\x5a\xa5torn")
    again = key_log(disk, 60_000.0)
    assert sorted(again.found, key=lambda key: int(key[1:])) == [f"k{n}" for n in range(49, 60)]
    assert key_log(disk, 60_000.0 + 2 * KEPT_MS).found == {}
    disk.capacity_bytes = 0
    full = key_log(disk, 60_000.0)
    write(full, "k", 60_001.0)  # a full disk costs no request
    disk.capacity_bytes = 40
    write(full, "half", 60_002.0)
    disk.capacity_bytes = 10_000
    write(full, "later", 60_003.0)  # what could not be stored before is stored with it
    assert {"k", "half", "later"} <= key_log(disk.copy(), 60_004.0).found.keys()
    log_on_disk = key_log(Folder(tmp_path / "keys"), 1000.0)
    write(log_on_disk, "k", 1001.0)


# --- feeds that lack something


def test_a_feed_is_told_what_it_lacks_once_it_still_does_at_a_moment_of_ones_own() -> None:
    known, told = {("a", 1): 5}, {("a", 1): 3}
    moments = []
    for seed in range(20):
        reseed = BackfillSchedule(random.Random(seed))
        due = [at for at in range(0, 12_000, 100) if reseed.due(known, told, at + 1.0)]
        moments.append(due[0])
        assert 700 <= due[0] <= 2600 and all(
            later - sooner >= 3600 for sooner, later in zip(due, due[1:], strict=False)
        )
    assert len(set(moments)) > 8
    reseed = BackfillSchedule(random.Random(1))
    assert not reseed.due(known, told, 1.0) and not reseed.due(known, known, 5000.0)  # another had told it
    assert not reseed.due(known, told, 5100.0) and not reseed.due(known, None, 9000.0)
    assert not reseed.due(known, told, 9100.0)


@given(st.lists(st.integers(1, 400), max_size=40))
def test_batches_hold_all_in_order(sizes: list[int]) -> None:
    purges = [Purge("a", 1, n + 1, 1.0, "x" * size) for n, size in enumerate(sizes)]
    made = list(batches(purges))
    assert [p for batch in made for p in batch] == purges and all(batch for batch in made)
