"""Rules at the figures of a second deployment: no second copies, any cache as a source, short graces, copies
that are good until purged, a write that may not be repeated and has no key."""

from __future__ import annotations

import json
import random
from typing import Any

import pytest
from conftest import Driver, members, only, settings
from harness import Cache, Command, config, hit, running, trial
from hypothesis import given
from hypothesis import strategies as st
from test_net_rules import during_the_dial, notice
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

REFUSED = "127.0.0.1:1"
CLASSES = [
    {"name": "film", "effect": "safe", "aim_ms": 600.0, "aim_stretch": 1.6, "deadline_ms": 6000.0, "worth": 2.0,
     "late_worth": 0.15, "parts": True},
    {"name": "page", "effect": "safe", "aim_ms": 400.0, "aim_stretch": 2.0, "deadline_ms": 2500.0, "worth": 1.0},
    *({"name": name, "effect": "unsafe", "aim_ms": 800.0, "deadline_ms": 3000.0, "worth": 3.0, "cacheable": False}
      for name in ("sale", "pair")),
]  # fmt: skip
SITE: dict[str, Any] = {
    "classes": CLASSES, "reports": "inline", "report_fields": ["busy", "x1"], "notes": "all", "peers_fill": "any",
    "weights": "nominal", "straight": True, "second_copies": False, "max_retry_after_ms": 2000.0, "max_attempts": 8,
    "drain_grace_ms": 250.0, "cold_from": 0.15, "warm_after_ms": 18_000.0, "fall_multiple": 4.0, "fall_ms": 1000.0,
    "parent_cold_from": 0.066, "parent_cold_ms": 21_000.0, "parent_fall_multiple": 2.0, "purge_grace_ms": 1000.0,
    "purge_done_ms": 6000.0,
}  # fmt: skip


@pytest.mark.parametrize("seed", range(6))
def test_random_sequences_keep_the_rules_at_its_figures(seed: int) -> None:
    draw = random.Random(seed)
    kinds = [
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
    watched = RuleChecker(4, 3, SITE)
    for _ in range(500):
        status, note = draw.choice(list(Status)), draw.choice(list(Note))
        watched.step(draw.choice(kinds), draw.randrange(12), status, note, draw.choice([1.0, 40.0, 300.0]))
    watched.run_timers(watched.driver.now + 8000.0)
    assert watched.count and not watched.open_requests and not watched.driver.router.pending


@pytest.mark.parametrize("hub", [False, True])
@given(
    directors=st.integers(1, 5),
    weight=st.sampled_from([4.0, 12.0, 60.0]),
    work=st.sampled_from([40.0, 400.0]),
)
def test_all_directors_together_stay_under_the_fall_of_a_cold_store_in_every_window(
    hub: bool, directors: int, weight: float, work: float
) -> None:
    # each sends as much as its budget lets through, from the moment of the start on
    told = settings(**SITE, proxies=directors, seats_by_zone=[0, directors])
    start, warm_ms, multiple = (0.066, 21_000.0, 2.0) if hub else (0.15, 18_000.0, 4.0)
    budgets = [ColdBudgets(told, directors, random.Random(n)) for n in range(directors)]
    tokens = [Tokens() for _ in budgets]
    member = Member("s", "hub", "mid", weight=weight, started_at_ms=1.0) if hub else Member(
        "s", "edge", "box", weight=weight, started_at_ms=1.0)  # fmt: skip
    sent: list[tuple[float, float]] = []
    now = 1.0
    while now < 6000.0:
        for budget, own in zip(budgets, tokens, strict=True):
            while budget.allows(member, own, now, asked := budget.work("page", work)):
                budget.spend(member, own, now, asked)
                sent.append((now, work))
        now += 20.0
    for begin, _ in sent:
        inside = sum(cost for at, cost in sent if begin <= at < begin + 1000.0)
        capacity = weight * 1000.0 * (start + (1.0 - start) * begin / warm_ms)  # ms of sending a second
        allowed = multiple * capacity / work  # requests
        assert inside / work <= allowed + allowed**0.5 + 1.0  # half of what is put down to chance


STATES = st.sampled_from(list(State))


@given(st.lists(STATES, min_size=3, max_size=3), st.lists(STATES, min_size=2, max_size=2), st.integers(1, 40))
def test_a_source_is_a_parent_or_the_origin_that_runs_also_where_any_cache_may_be_one(
    parents: list[State], others: list[State], object_: int
) -> None:
    listed = [Member(f"c{n}", "edge", "box", weight=8.0) for n in range(3)]
    listed += [Member(f"p{n}", "hub", "mid", weight=30.0, state=state) for n, state in enumerate(parents)]
    listed += [Member(f"far{n}", "hub", "box", weight=8.0, state=state) for n, state in enumerate(others)]
    driver = Driver((*listed, Member("root", "hub", "root")), **SITE)
    runs = {member.store for member in listed if member.state is State.READY} | {"root"}
    sent = only(driver.ask(object=object_), Fetch)
    assert sent.store in runs and sent.source in runs
    assert sent.source == sent.store or sent.source.startswith("p") or sent.source == "root"
    assert not sent.store.startswith("far")


def test_a_cold_parent_is_no_source_beyond_its_budget_and_the_next_or_the_origin_is() -> None:
    cold = tuple(
        Member(m.store, m.zone, m.kind, weight=30.0, started_at_ms=99_999.0 if m.kind == "mid" else 0.0)
        for m in members(4, 2)
    )
    driver = Driver(cold, **SITE)
    sources = [only(driver.ask(object=n, size_kb=1600.0), Fetch).source for n in range(1, 12)]
    assert "root" in sources


@pytest.mark.parametrize("advised", [True, False])
def test_a_refusal_advises_when_to_come_back_only_where_clients_are_told(advised: bool) -> None:
    driver = Driver((), **{**SITE, "retry_after": advised})
    waits = [only(driver.ask(object=n), Refuse).retry_after_ms for n in range(1, 30)]
    assert all(0.0 < wait <= 2000.0 if advised else wait == 0.0 for wait in waits)


@given(st.sampled_from([s for s in Status if s is not Status.OK]), st.sampled_from(list(Note)))
def test_a_write_that_may_not_be_repeated_goes_out_again_only_with_proof(status: Status, note: Note) -> None:
    driver = Driver(**SITE)
    first = only(driver.ask(cls="pair"), Lookup)
    after = driver.tell(Outcome(first.id, 0, first.store, status, 50.0, note))
    proven = status in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT, Status.MISS)
    assert proven or not any(isinstance(action, (Fetch, Lookup, Refuse)) for action in after)


def test_purges_of_most_groups_at_once_bind_each_of_their_objects_and_no_others() -> None:
    driver = Driver(**SITE)
    for group in range(174):  # 68 % of 256
        driver.tell(Purge(0, group, 70.0))
    driver.now += 5.0
    for group in (0, 90, 173):
        sent = only(driver.ask(object=1000 + group, group=group), Fetch)
        assert 0 < sent.max_age_ms <= 75.0 and not sent.join
    free = only(driver.ask(object=5000, group=200), Fetch)
    assert free.max_age_ms == 0.0 and free.join


def site_config(places: dict[str, str]) -> bytes:
    raw = json.loads(config(places, may_duplicate=False, max_streams=32, retry_after=True))
    raw["settings"]["classes"][1] = {**raw["settings"]["classes"][1], "effect": "fragile"}
    raw["settings"]["family_info"]["notes_given"] = "all"
    raw["settings"]["rules"]["drain_grace_ms"] = 250.0
    return json.dumps(raw).encode()


@pytest.mark.parametrize("end", ["reset", "crashed"])
def test_a_write_without_a_key_that_may_have_run_is_failed_and_sent_no_second_time(end: str) -> None:
    origin = Cache(lambda command: None)

    def script(command: Command) -> tuple[str, bytes] | None:
        if end == "crashed":
            return "crashed remark=x,first=3", b""
        for conn in origin.conns:
            conn.transport.abort()
        return None

    origin.script = script

    @trial
    async def scene() -> None:
        async with running(site_config({"c0": REFUSED, "r0": await origin.start()})) as (_, client):
            client.ask(1, body=b"alarm", c="sheet")
            assert (await client.next())[:3] == (17, 1, 2)
            assert len(origin.seen) == 1
            assert "replay" not in origin.seen[0][1] and origin.seen[0][2] == b"alarm"

    scene()


@trial
async def test_answers_with_notes_waits_and_reports_are_passed_on_also_where_those_are_torn() -> None:
    heads = ["remark=f,first=12,report=util:0.61;x1:2", "remark=?,first=soon,report=util:;x1,dated=never"]
    cache = Cache(lambda command: (f"served digest=aa,dated=1,{heads[len(cache.seen) % 2]}", hit(command)[1]))  # type: ignore[index]
    told: list[tuple[Note, object]] = []
    async with running(site_config({"c0": await cache.start(), "r0": REFUSED})) as (node, client):
        handle = node.director.router.handle

        def watched(now_ms: float, event: Event) -> list[Action]:
            if isinstance(event, Outcome):
                told.append((event.note, event.report))
            return handle(now_ms, event)

        node.director.router.handle = watched  # type: ignore[method-assign]
        for stream in range(1, 7):
            client.ask(stream)
            assert (await client.next())[:3] == (17, stream, 0)
        assert cache.closed == 0 and len(cache.conns) == 1
    assert {note for note, _ in told} == {Note.PARENT_HELD, Note.NOT_REPORTED}
    assert [report for note, report in told if note is Note.PARENT_HELD] == [{"util": 0.61, "x1": 2.0}] * 3
    assert [report for note, report in told if note is Note.NOT_REPORTED] == [None] * 3


@trial
async def test_a_source_that_drains_while_the_cache_is_dialled_is_named_no_more() -> None:
    cache = Cache(hit)
    places = {"c0": await cache.start(), "p0": "127.0.0.1:9", "r0": REFUSED}
    async with running(site_config(places)) as (node, client):
        leaving = notice(2, {"instanceId": "p0", "hostPort": places["p0"], "zone": "hub", "machineType": "mid",
                             "lifecycle": "terminating"})  # fmt: skip
        during_the_dial(node, lambda: node.director.apply_watch_event(leaving))
        client.ask(1)
        assert (await client.next())[:2] == (17, 1)
        client.ask(2)
        assert (await client.next())[:3] == (17, 2, 0)
        assert [command[1].get("parent", "") for command in cache.seen].count("p0") == 0
