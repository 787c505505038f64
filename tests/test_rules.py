"""The rules that every decision must keep, in single cases and over random sequences of events.

Checked are when a request may be repeated, that servers out of service get nothing, the age of copies after
purges, the budgets of cold servers, and one final answer within the deadline.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from conftest import BASE_SETTINGS, Driver, actions_of, members, only_action
from hypothesis import given
from hypothesis import strategies as st

from gladelane.routing.events import (
    NEVER_RAN,
    Cancel,
    ClientDisconnected,
    Effect,
    Fail,
    Fetch,
    ListKind,
    Lookup,
    Member,
    Members,
    Note,
    Outcome,
    Purge,
    Refuse,
    Request,
    SetTimer,
    State,
    Status,
    Timer,
)
from gladelane.routing.router import Router


def test_an_unsafe_request_is_neither_repeated_nor_rejected_once_it_may_have_run() -> None:
    for status in (Status.TIMEOUT, Status.RESET, Status.ERROR):
        d = Driver()
        actions = d.answer(only_action(d.ask(cls="pair"), Fetch), status, Note.NOT_REPORTED)
        assert not actions_of(actions, (Fetch, Lookup, Refuse))
        only_action(actions, Fail)


def test_an_unsafe_request_is_retried_after_an_outcome_that_proves_it_never_ran() -> None:
    d = Driver()
    only_action(
        d.answer(only_action(d.ask(cls="pair"), Fetch), Status.CONNECT_FAILED, Note.NOT_REPORTED), Fetch
    )


def test_a_keyed_request_is_repeated_only_within_its_window() -> None:
    d = Driver(straight=True)
    only_action(d.answer(only_action(d.ask(cls="sale"), Lookup), Status.RESET, Note.NOT_REPORTED), Lookup)
    classes = [dict(c, window_ms=100.0) for c in __import__("conftest").BASE_SETTINGS["classes"]]
    d = Driver(straight=True, classes=classes)
    assert not actions_of(
        d.answer(only_action(d.ask(cls="sale"), Lookup), Status.RESET, Note.NOT_REPORTED, after=150.0), Lookup
    )


def test_a_draining_store_gets_no_request_and_is_no_source() -> None:
    d = Driver()
    bad = {"c0", "p0"}
    told = [Member(m.store, m.zone, m.kind, state=State.DRAINING) for m in members() if m.store in bad]
    d.update_members(tuple(told), ListKind.CHANGES)
    for n in range(60):
        fetch = d.serve(object=n)
        assert not {fetch.store, fetch.source} & bad


def test_a_purge_bounds_the_age_of_every_attempt_and_prevents_joining() -> None:
    d = Driver()
    d.serve(object=5)
    d.handle(Purge(5, 0, 80.0))
    d.now += 700.0
    fetch = only_action(d.ask(object=5), Fetch)
    assert 0 < fetch.max_age_ms <= 780.0 and not fetch.join
    again = only_action(d.answer(fetch, Status.CONNECT_FAILED, Note.NOT_REPORTED, after=100.0), Fetch)
    assert 0 < again.max_age_ms <= 880.0 and not again.join


def test_a_purge_of_a_group_applies_to_its_objects_only() -> None:
    d = Driver()
    d.handle(Purge(0, 4, 80.0))
    d.now += 700.0
    assert 0 < only_action(d.ask(object=5, group=4), Fetch).max_age_ms <= 780.0
    assert only_action(d.ask(object=6, group=3), Fetch).max_age_ms == 0.0


def test_a_purge_expires_when_caches_have_dropped_old_copies() -> None:
    d = Driver()
    d.handle(Purge(5, 0, 0.0))
    d.now += 20_000.0
    assert only_action(d.ask(object=5), Fetch).max_age_ms == 0.0


def test_an_age_bound_never_exceeds_the_fresh_time() -> None:
    classes = [dict(c, fresh_ms=300.0) for c in __import__("conftest").BASE_SETTINGS["classes"]]
    d = Driver(classes=classes)
    d.handle(Purge(5, 0, 0.0))
    d.now += 2000.0
    assert only_action(d.ask(cls="page", object=5), Fetch).max_age_ms <= 300.0


def test_a_cold_cache_gets_no_more_than_its_budget_in_any_window() -> None:
    d = Driver(members(caches=3))
    at: list[float] = []
    for n in range(4000):
        d.now += 10.0
        if n == 1500:
            d.update_members((Member("c0", "edge", "box", started_at_ms=d.now),), ListKind.CHANGES)
        if n % 25 == 0:
            d.handle(Timer("sweep"))
        fetch = d.serve(object=n)
        if n >= 1500 and fetch.store == "c0":
            at.append(d.now)
    start = d.now
    assert start
    usual = 1000.0 / 60.0 / 3  # requests per second and cache while all are warm
    for since in at:
        inside = [t for t in at if since <= t < since + 2000.0]
        part = min(1.0, 0.2 + 0.8 * (inside[-1] - at[0] + 2000.0) / 15000.0)
        assert len(inside) <= usual * 2.0 * 3.0 * part + 1


@pytest.mark.parametrize("served_before", [0, 60])
def test_a_cold_parent_gets_no_more_than_its_budget(served_before: int) -> None:
    """A parent without a listed size counts as one transfer at a time, which is 10 of these requests per
    second. A cold parent bears a tenth of that, times 2. A director may send 0.65 of the 4 requests of a
    window, thus 2, and not half of the 30."""
    d = Driver()
    for n in range(served_before):
        d.serve(object=1000 + n)
    d.update_members((Member("p0", "hub", "mid", started_at_ms=d.now),), ListKind.CHANGES)
    sources = [d.serve(object=n).source for n in range(30)]
    assert sources.count("p0") <= 2 and sources.count("p0") + sources.count("p1") == 30


def test_there_is_one_attempt_in_flight_if_second_copies_are_not_allowed() -> None:
    d = Driver(second_copies=False)
    fetch = only_action(d.ask(object=5), Fetch)
    for step in range(30):
        d.now += 100.0
        for token in (f"h:{fetch.id}", f"r:{fetch.id}", "sweep"):
            assert not actions_of(d.handle(Timer(token)), (Fetch, Lookup)), step


def test_the_final_answer_is_given_at_the_deadline_without_any_outcome() -> None:
    d = Driver()
    actions = d.ask(object=5)
    due = [a for a in actions if isinstance(a, SetTimer) and a.token == f"d:{d.last_id}"]
    d.now = due[0].due_ms
    assert actions_of(d.handle(Timer(due[0].token)), (Refuse, Fail))
    assert not d.router.pending


STATUSES = st.sampled_from(list(Status))
NOTES = st.sampled_from(list(Note))
STEP = st.tuples(
    st.sampled_from(["ask", "end", "end", "purge", "group", "drain", "vanish", "restart", "lost", "wait", "gone", "odd"]),
    st.integers(0, 11), STATUSES, NOTES, st.sampled_from([1.0, 40.0, 300.0, 1500.0]),
)  # fmt: skip
SETTINGS_CHANGES = st.fixed_dictionaries({
    "second_copies": st.booleans(), "straight": st.booleans(), "cancel": st.booleans(), "joins": st.booleans(),
    "retry_after": st.booleans(), "notes": st.sampled_from(["all", "hit", "none"]),
    "flow_kb_per_s": st.sampled_from([0.0, 4000.0]),
})  # fmt: skip


class RuleChecker:
    """Applies a random sequence of events to a router and checks every action against the rules."""

    def __init__(self, caches: int, parents: int, changes: dict[str, Any]) -> None:
        self.driver = Driver(members(caches, parents), **changes)
        self.listed = {m.store: m for m in members(caches, parents)}
        self.open_requests: dict[int, Request] = {}
        self.ended: set[int] = set()
        self.in_flight: dict[tuple[int, int], tuple[str, float]] = {}
        self.count: dict[int, int] = {}  # attempts by request
        self.may_have_run_ms: dict[int, float] = {}
        self.unavailable_since_ms: dict[str, float] = {}
        self.purges: dict[tuple[int, int], tuple[float, float]] = {}
        self.timers: list[tuple[float, str]] = []

    def handle(self, event: Any) -> None:
        for action in self.driver.handle(event):
            self.check(action)

    def check(self, action: Any) -> None:
        driver, now = self.driver, self.driver.now
        if isinstance(action, SetTimer):
            self.timers.append((action.due_ms, action.token))
        elif isinstance(action, (Fetch, Lookup)):
            assert action.id in self.open_requests and action.timeout_ms > 0
            request = self.open_requests[action.id]
            spec = driver.settings.get_class(request.cls)
            others = [k for k in self.in_flight if k[0] == action.id]
            assert driver.settings.second_copies or not others
            if spec.effect is Effect.UNSAFE:
                assert not others and action.id not in self.may_have_run_ms
            first = min([self.may_have_run_ms.get(action.id, now), *(self.in_flight[k][1] for k in others)])
            if spec.effect is Effect.KEYED:
                assert now - first <= spec.window_ms
            names = {action.store} | ({action.source} if isinstance(action, Fetch) else set())
            for name in names:
                assert now <= self.unavailable_since_ms.get(name, now) + driver.settings.drain_grace_ms
            if isinstance(action, Lookup):
                assert action.store == "root"
            elif spec.cacheable:  # other requests run at the origin, where no copy can be old
                self.check_age(action, request, now)
            number = self.count.get(action.id, 0)
            assert number < driver.settings.max_attempts
            self.count[action.id] = number + 1
            self.in_flight[(action.id, number)] = (action.store, now)
        elif isinstance(action, (Refuse, Fail)):
            assert action.id in self.open_requests, "a second final answer"
            spec = driver.settings.get_class(self.open_requests[action.id].cls)
            ran = action.id in self.may_have_run_ms or any(k[0] == action.id for k in self.in_flight)
            if isinstance(action, Refuse):
                assert spec.effect is not Effect.UNSAFE or not ran
            del self.open_requests[action.id]
            self.ended.add(action.id)
        elif isinstance(action, Cancel):
            assert driver.settings.cancel and self.count.get(action.id, 0) > action.attempt

    def check_age(self, action: Fetch, request: Request, now: float) -> None:
        for key in ((request.object, 0), (0, request.group)):
            if key in self.purges:
                purged, received = self.purges[key]
                if (
                    received + self.driver.settings.purge_grace_ms
                    < now
                    < purged + self.driver.settings.purge_done_ms
                ):
                    assert 0 < action.max_age_ms <= now - purged and not action.join

    def run_timers(self, until: float) -> None:
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.driver.now = max(self.driver.now, due[0][0])
            self.check_deadlines()
            self.handle(Timer(due[0][1]))
        self.driver.now = until

    def check_deadlines(self) -> None:
        grace_ms = self.driver.settings.answer_grace_ms
        assert all(self.driver.now <= r.deadline_ms + grace_ms for r in self.open_requests.values())

    def step(self, kind: str, number: int, status: Status, note: Note, wait: float) -> None:
        driver = self.driver
        names = sorted(self.listed)
        name = names[number % len(names)]
        member = self.listed[name]
        if kind == "ask":
            driver.last_id += 1
            cls = ("film", "page", "sale", "pair")[number % 4]
            request = Request(
                driver.last_id,
                cls,
                number % 3 + 1,
                driver.now + 400.0 * (number + 1),
                300.0,
                group=number % 2,
                part=number % 5,
            )
            self.open_requests[driver.last_id] = request
            self.handle(request)
        elif kind == "end" and self.in_flight:
            key = sorted(self.in_flight)[number % len(self.in_flight)]
            store, sent = self.in_flight.pop(key)
            over = key[0] in self.ended or status is Status.OK
            if status not in NEVER_RAN:
                self.may_have_run_ms[key[0]] = min(sent, self.may_have_run_ms.get(key[0], sent))
            if over and key[0] in self.open_requests:
                del self.open_requests[key[0]]
                self.ended.add(key[0])
            self.handle(Outcome(key[0], key[1], store, status, driver.now - sent, note, over=over))
        elif kind in ("purge", "group"):
            key = (number % 3 + 1, 0) if kind == "purge" else (0, number % 2)
            self.purges[key] = (driver.now - 50.0, driver.now)
            self.handle(Purge(key[0], number % 2, 50.0))
        elif kind in ("drain", "vanish", "restart"):
            state = {"drain": State.DRAINING, "vanish": State.GONE, "restart": State.READY}[kind]
            if state is State.READY:
                self.unavailable_since_ms.pop(name, None)
            else:
                self.unavailable_since_ms.setdefault(name, driver.now)
            changed = Member(
                name,
                member.zone,
                member.kind,
                state=state,
                started_at_ms=driver.now if kind == "restart" else 0,
            )
            self.handle(Members(ListKind.CHANGES, (changed,)))
        elif kind == "lost":
            self.handle(Members(ListKind.FAILED))
        elif kind == "gone" and self.open_requests:
            request_id = sorted(self.open_requests)[number % len(self.open_requests)]
            del self.open_requests[request_id]
            self.ended.add(request_id)
            self.handle(ClientDisconnected(request_id))
        elif kind == "odd":
            self.handle(Outcome(10_000 + number, 0, "nowhere", status, 1.0, note))
            self.handle(ClientDisconnected(10_000 + number))
        else:
            self.run_timers(driver.now + wait)


@given(st.integers(0, 3), st.integers(0, 2), SETTINGS_CHANGES, st.lists(STEP, max_size=80))
def test_random_sequences_keep_the_rules(
    caches: int, parents: int, changes: dict[str, Any], steps: list[Any]
) -> None:
    checker = RuleChecker(caches, parents, changes)
    for step in steps:
        checker.step(*step)
    checker.run_timers(checker.driver.now + 8000.0)
    assert not checker.open_requests and not checker.driver.router.pending


@given(st.lists(STEP, max_size=40))
def test_same_events_give_the_same_actions(steps: list[Any]) -> None:
    runs = []
    for _ in range(2):
        checker = RuleChecker(3, 2, {})
        answers: list[Any] = []
        tell = checker.driver.handle
        checker.driver.handle = lambda e, tell=tell, answers=answers: (answers.append(a := tell(e)), a)[1]  # type: ignore[method-assign]
        for step in steps:
            checker.step(*step)
        runs.append(answers)
    assert runs[0] == runs[1]


def test_a_request_is_rejected_at_once_if_the_list_is_empty() -> None:
    d = Driver(())
    only_action(d.ask(object=5), Refuse)
    assert isinstance(d.router, Router)


def _classes(**changes: Any) -> list[dict[str, Any]]:
    return [{**c, **changes} for c in BASE_SETTINGS["classes"]]


DEPLOYMENTS: dict[str, tuple[int, int, dict[str, Any]]] = {
    "one cache, no parents": (1, 0, {"parent_kind": ""}),
    "a hundred caches and many proxies": (100, 9, {"seats_by_zone": [0, 40], "proxies": 400}),
    "nothing is kept": (3, 2, {"classes": _classes(cacheable=False)}),
    "a list to be asked for": (3, 2, {"subscribe": True}),
    "keyed by zone": (3, 2, {"straight": True, "classes": _classes(group="zone")}),
    "keyed by cell": (3, 2, {"second_copies": False, "classes": _classes(group="cell")}),
}


@pytest.mark.parametrize("name", DEPLOYMENTS)
def test_unusual_deployments_keep_the_rules(name: str) -> None:
    draw = random.Random(name)
    kinds = ["ask", "ask", "ask", "end", "end", "purge", "group", "drain", "restart", "lost", "wait", "gone"]
    checker = RuleChecker(*DEPLOYMENTS[name])
    for _ in range(600):
        checker.step(
            draw.choice(kinds),
            draw.randrange(12),
            draw.choice(list(Status)),
            draw.choice(list(Note)),
            draw.choice([1.0, 40.0, 300.0]),
        )
    checker.run_timers(checker.driver.now + 8000.0)
    assert checker.count and not checker.open_requests and not checker.driver.router.pending
