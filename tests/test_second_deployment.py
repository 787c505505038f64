"""The rules of routing with the settings of a second deployment: no duplicate attempts, any cache as a source,
short grace periods, copies that are valid until they are purged, and a write that must not be repeated and has
no key."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from conftest import Driver, members, only_action, settings
from harness import REFUSED_ADDRESS, Command, ScriptedCache, async_test, config, hit, running_director
from hypothesis import given
from hypothesis import strategies as st
from test_net_rules import make_pool_event, run_during_dial
from test_rules import RuleChecker

from gladelane.routing.events import (
    Action,
    Event,
    Fetch,
    Lookup,
    Member,
    Note,
    Outcome,
    Purge,
    Refuse,
    State,
    Status,
)
from gladelane.routing.server_credit import Tokens
from gladelane.routing.slow_start import ColdBudgets

CLASSES = [
    {"name": "film", "effect": "safe", "aim_ms": 600.0, "aim_stretch": 1.6, "deadline_ms": 6000.0, "worth": 2.0,
     "late_worth": 0.15, "parts": True},
    {"name": "page", "effect": "safe", "aim_ms": 400.0, "aim_stretch": 2.0, "deadline_ms": 2500.0, "worth": 1.0},
    *({"name": name, "effect": "unsafe", "aim_ms": 800.0, "deadline_ms": 3000.0, "worth": 3.0, "cacheable": False}
      for name in ("sale", "pair")),
]  # fmt: skip
SECOND_DEPLOYMENT: dict[str, Any] = {
    "classes": CLASSES, "reports": "inline", "report_fields": ["busy", "x1"], "notes": "all", "peers_fill": "any",
    "weights": "nominal", "straight": True, "second_copies": False, "max_retry_after_ms": 2000.0, "max_attempts": 8,
    "drain_grace_ms": 250.0, "cold_from": 0.15, "warm_after_ms": 18_000.0, "fall_multiple": 4.0, "fall_ms": 1000.0,
    "parent_cold_from": 0.066, "parent_cold_ms": 21_000.0, "parent_fall_multiple": 2.0, "purge_grace_ms": 1000.0,
    "purge_done_ms": 6000.0,
}  # fmt: skip


@pytest.mark.parametrize("seed", range(6))
def test_random_sequences_of_events_break_no_rule(seed: int) -> None:
    rng = random.Random(seed)
    step_kinds = [
        "ask",
        "ask",
        "ask",
        "end",
        "end",
        "purge",
        "group",
        "drain",
        "vanish",
        "restart",
        "wait",
        "gone",
    ]
    watched = RuleChecker(4, 3, SECOND_DEPLOYMENT)
    for _ in range(500):
        status, note = rng.choice(list(Status)), rng.choice(list(Note))
        watched.step(rng.choice(step_kinds), rng.randrange(12), status, note, rng.choice([1.0, 40.0, 300.0]))
    watched.run_timers(watched.driver.now + 8000.0)
    assert watched.count and not watched.open_requests and not watched.driver.router.pending


@pytest.mark.parametrize("is_parent", [False, True])
@given(
    directors=st.integers(1, 5),
    weight=st.sampled_from([4.0, 12.0, 60.0]),
    work_ms=st.sampled_from([40.0, 400.0]),
)
def test_all_directors_together_never_exceed_the_limit_of_a_cold_store_in_any_second(
    is_parent: bool, directors: int, weight: float, work_ms: float
) -> None:
    """From the start of the store on, each director sends as many requests as its budget allows."""
    deployment = settings(**SECOND_DEPLOYMENT, proxies=directors, seats_by_zone=[0, directors])
    cold_from, warm_ms, multiple = (0.066, 21_000.0, 2.0) if is_parent else (0.15, 18_000.0, 4.0)
    budgets = [ColdBudgets(deployment, directors, random.Random(n)) for n in range(directors)]
    tokens_by_director = [Tokens() for _ in budgets]
    member = Member("s", "hub", "mid", weight=weight, started_at_ms=1.0) if is_parent else Member(
        "s", "edge", "box", weight=weight, started_at_ms=1.0)  # fmt: skip
    sent: list[tuple[float, float]] = []
    now_ms = 1.0
    while now_ms < 6000.0:
        for budget, tokens in zip(budgets, tokens_by_director, strict=True):
            while budget.allows(member, tokens, now_ms, work := budget.work("page", work_ms)):
                budget.spend(member, tokens, now_ms, work)
                sent.append((now_ms, work_ms))
        now_ms += 20.0
    for window_start_ms, _ in sent:
        sent_in_window = sum(
            cost for sent_ms, cost in sent if window_start_ms <= sent_ms < window_start_ms + 1000.0
        )
        # the work that the store can do in a second, in ms
        capacity = weight * 1000.0 * (cold_from + (1.0 - cold_from) * window_start_ms / warm_ms)
        allowed = multiple * capacity / work_ms  # requests
        # half of the random excess over the limit that the platform tolerates
        assert sent_in_window / work_ms <= allowed + allowed**0.5 + 1.0


STATES = st.sampled_from(list(State))


@given(st.lists(STATES, min_size=3, max_size=3), st.lists(STATES, min_size=2, max_size=2), st.integers(1, 40))
def test_a_source_is_a_ready_parent_or_the_origin_although_any_cache_may_be_a_source(
    parents: list[State], others: list[State], object_: int
) -> None:
    listed = [Member(f"c{n}", "edge", "box", weight=8.0) for n in range(3)]
    listed += [Member(f"p{n}", "hub", "mid", weight=30.0, state=state) for n, state in enumerate(parents)]
    listed += [Member(f"far{n}", "hub", "box", weight=8.0, state=state) for n, state in enumerate(others)]
    driver = Driver((*listed, Member("root", "hub", "root")), **SECOND_DEPLOYMENT)
    ready = {member.store for member in listed if member.state is State.READY} | {"root"}
    fetch = only_action(driver.ask(object=object_), Fetch)
    assert fetch.store in ready and fetch.source in ready
    assert fetch.source == fetch.store or fetch.source.startswith("p") or fetch.source == "root"
    assert not fetch.store.startswith("far")


def test_the_origin_is_the_source_once_the_budgets_of_cold_parents_are_used_up() -> None:
    members_with_cold_parents = tuple(
        Member(m.store, m.zone, m.kind, weight=30.0, started_at_ms=99_999.0 if m.kind == "mid" else 0.0)
        for m in members(4, 2)
    )
    driver = Driver(members_with_cold_parents, **SECOND_DEPLOYMENT)
    sources = [only_action(driver.ask(object=n, size_kb=1600.0), Fetch).source for n in range(1, 12)]
    assert "root" in sources


@pytest.mark.parametrize("retry_after", [True, False])
def test_a_refusal_has_a_retry_delay_only_if_the_settings_allow_it(retry_after: bool) -> None:
    driver = Driver((), **{**SECOND_DEPLOYMENT, "retry_after": retry_after})
    delays_ms = [only_action(driver.ask(object=n), Refuse).retry_after_ms for n in range(1, 30)]
    assert all(0.0 < delay_ms <= 2000.0 if retry_after else delay_ms == 0.0 for delay_ms in delays_ms)


@given(st.sampled_from([s for s in Status if s is not Status.OK]), st.sampled_from(list(Note)))
def test_an_unsafe_write_is_retried_or_refused_only_if_it_certainly_did_not_run(
    status: Status, note: Note
) -> None:
    driver = Driver(**SECOND_DEPLOYMENT)
    first = only_action(driver.ask(cls="pair"), Lookup)
    actions = driver.handle(Outcome(first.id, 0, first.store, status, 50.0, note))
    did_not_run = status in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS)
    assert did_not_run or not any(isinstance(action, (Fetch, Lookup, Refuse)) for action in actions)


def test_purges_of_most_groups_at_once_apply_to_their_objects_and_no_others() -> None:
    driver = Driver(**SECOND_DEPLOYMENT)
    for group in range(174):  # 68 % of 256
        driver.handle(Purge(0, group, 70.0))
    driver.now += 5.0
    for group in (0, 90, 173):
        purged = only_action(driver.ask(object=1000 + group, group=group), Fetch)
        assert 0 < purged.max_age_ms <= 75.0 and not purged.join
    not_purged = only_action(driver.ask(object=5000, group=200), Fetch)
    assert not_purged.max_age_ms == 0.0 and not_purged.join


def second_deployment_config(addresses: dict[str, str]) -> bytes:
    raw = json.loads(config(addresses, may_duplicate=False, max_streams=32, retry_after=True))
    raw["settings"]["classes"][1] = {**raw["settings"]["classes"][1], "effect": "fragile"}
    raw["settings"]["family_info"]["notes_given"] = "all"
    raw["settings"]["rules"]["drain_grace_ms"] = 250.0
    return json.dumps(raw).encode()


@pytest.mark.parametrize("ending", ["reset", "crashed"])
def test_an_unsafe_write_that_may_have_run_fails_and_is_not_sent_again(ending: str) -> None:
    origin = ScriptedCache(lambda command: None)

    def end_attempt(command: Command) -> tuple[str, bytes] | None:
        if ending == "crashed":
            return "crashed remark=x,first=3", b""
        for conn in origin.connections:
            conn.transport.abort()
        return None

    origin.script = end_attempt

    @async_test
    async def send_write() -> None:
        async with running_director(
            second_deployment_config({"c0": REFUSED_ADDRESS, "r0": await origin.start()})
        ) as (
            _,
            client,
        ):
            client.ask(1, body=b"alarm", c="sheet")
            assert (await client.next())[:3] == (17, 1, 2)
            assert len(origin.received) == 1
            assert "replay" not in origin.received[0][1] and origin.received[0][2] == b"alarm"

    send_write()


@async_test
async def test_answers_are_passed_on_also_if_their_notes_waits_and_reports_are_malformed() -> None:
    heads = ["remark=f,first=12,report=util:0.61;x1:2", "remark=?,first=soon,report=util:;x1,dated=never"]
    cache = ScriptedCache(
        lambda command: (f"served digest=aa,dated=1,{heads[len(cache.received) % 2]}", hit(command)[1])
    )  # type: ignore[index]
    reported: list[tuple[Note, object]] = []
    async with running_director(
        second_deployment_config({"c0": await cache.start(), "r0": REFUSED_ADDRESS})
    ) as (
        node,
        client,
    ):
        handle = node.director.router.handle

        def record_and_handle(now_ms: float, event: Event) -> list[Action]:
            if isinstance(event, Outcome):
                reported.append((event.note, event.report))
            return handle(now_ms, event)

        node.director.router.handle = record_and_handle  # type: ignore[method-assign]
        for stream in range(1, 7):
            client.ask(stream)
            assert (await client.next())[:3] == (17, stream, 0)
        assert cache.closed_count == 0 and len(cache.connections) == 1
    assert {note for note, _ in reported} == {Note.PARENT_HELD, Note.NOT_REPORTED}
    assert [report for note, report in reported if note is Note.PARENT_HELD] == [
        {"util": 0.61, "x1": 2.0}
    ] * 3
    assert [report for note, report in reported if note is Note.NOT_REPORTED] == [None] * 3


@async_test
async def test_a_parent_that_starts_to_drain_while_the_cache_is_dialled_is_no_longer_the_source() -> None:
    cache = ScriptedCache(hit)
    addresses = {"c0": await cache.start(), "p0": "127.0.0.1:9", "r0": REFUSED_ADDRESS}
    async with running_director(second_deployment_config(addresses)) as (node, client):
        draining = make_pool_event(2, {"instanceId": "p0", "hostPort": addresses["p0"], "zone": "hub", "machineType": "mid",
                              "lifecycle": "terminating"})  # fmt: skip
        run_during_dial(node, lambda: node.director.apply_watch_event(draining))
        client.ask(1)
        assert (await client.next())[:2] == (17, 1)
        client.ask(2)
        assert (await client.next())[:3] == (17, 2, 0)
        assert [command[1].get("parent", "") for command in cache.received].count("p0") == 0
