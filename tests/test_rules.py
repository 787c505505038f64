"""The five rules, case by case and over random sequences."""

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
    ClientGone,
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


def test_unsafe_is_not_repeated_nor_refused_once_it_may_have_run() -> None:
    for status in (Status.TIMEOUT, Status.RESET, Status.ERROR):
        d = Driver()
        actions = d.answer(only_action(d.ask(cls="pair"), Fetch), status, Note.NOT_REPORTED)
        assert not actions_of(actions, (Fetch, Lookup, Refuse))
        only_action(actions, Fail)


def test_unsafe_goes_on_after_an_outcome_that_proves_it_never_ran() -> None:
    d = Driver()
    only_action(
        d.answer(only_action(d.ask(cls="pair"), Fetch), Status.CONNECT_FAILED, Note.NOT_REPORTED), Fetch
    )


def test_keyed_is_repeated_only_within_its_window() -> None:
    d = Driver(straight=True)
    only_action(d.answer(only_action(d.ask(cls="sale"), Lookup), Status.RESET, Note.NOT_REPORTED), Lookup)
    classes = [dict(c, window_ms=100.0) for c in __import__("conftest").BASE_SETTINGS["classes"]]
    d = Driver(straight=True, classes=classes)
    assert not actions_of(
        d.answer(only_action(d.ask(cls="sale"), Lookup), Status.RESET, Note.NOT_REPORTED, after=150.0), Lookup
    )


def test_nothing_goes_to_a_store_told_to_drain_nor_names_it_as_source() -> None:
    d = Driver()
    bad = {"c0", "p0"}
    told = [Member(m.store, m.zone, m.kind, state=State.DRAINING) for m in members() if m.store in bad]
    d.update_members(tuple(told), ListKind.CHANGES)
    for n in range(60):
        fetch = d.serve(object=n)
        assert not {fetch.store, fetch.source} & bad


def test_a_purge_bounds_the_age_on_every_attempt_and_is_not_joined() -> None:
    d = Driver()
    d.serve(object=5)
    d.handle(Purge(5, 0, 80.0))
    d.now += 700.0
    fetch = only_action(d.ask(object=5), Fetch)
    assert 0 < fetch.max_age_ms <= 780.0 and not fetch.join
    again = only_action(d.answer(fetch, Status.CONNECT_FAILED, Note.NOT_REPORTED, after=100.0), Fetch)
    assert 0 < again.max_age_ms <= 880.0 and not again.join


def test_a_purge_of_a_group_binds_its_objects_and_no_others() -> None:
    d = Driver()
    d.handle(Purge(0, 4, 80.0))
    d.now += 700.0
    assert 0 < only_action(d.ask(object=5, group=4), Fetch).max_age_ms <= 780.0
    assert only_action(d.ask(object=6, group=3), Fetch).max_age_ms == 0.0


def test_a_purge_stops_binding_when_caches_have_dropped_old_copies() -> None:
    d = Driver()
    d.handle(Purge(5, 0, 0.0))
    d.now += 20_000.0
    assert only_action(d.ask(object=5), Fetch).max_age_ms == 0.0


def test_an_aged_bound_never_exceeds_the_fresh_time() -> None:
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
            d.update_members((Member("c0", "edge", "box", came_up_ms=d.now),), ListKind.CHANGES)
        if n % 25 == 0:
            d.handle(Timer("sweep"))
        fetch = d.serve(object=n)
        if n >= 1500 and fetch.store == "c0":
            at.append(d.now)
    start = d.now
    assert start
    usual = 1000.0 / 60.0 / 3  # requests a second and cache while all are warm
    for since in at:
        inside = [t for t in at if since <= t < since + 2000.0]
        part = min(1.0, 0.2 + 0.8 * (inside[-1] - at[0] + 2000.0) / 15000.0)
        assert len(inside) <= usual * 2.0 * 3.0 * part + 1


@pytest.mark.parametrize("served_before", [0, 60])
def test_a_cold_parent_is_spared_too(served_before: int) -> None:
    """Without a listed size it counts as one transfer at a time: 10 of these requests a second, of which a cold
    parent bears a tenth, twice over. One director may send 0.65 of a window's 4, so 2, and not half of the 30."""
    d = Driver()
    for n in range(served_before):
        d.serve(object=1000 + n)
    d.update_members((Member("p0", "hub", "mid", came_up_ms=d.now),), ListKind.CHANGES)
    sources = [d.serve(object=n).source for n in range(30)]
    assert sources.count("p0") <= 2 and sources.count("p0") + sources.count("p1") == 30


def test_never_two_out_where_second_copies_are_not_allowed() -> None:
    d = Driver(second_copies=False)
    fetch = only_action(d.ask(object=5), Fetch)
    for step in range(30):
        d.now += 100.0
        for token in (f"h:{fetch.id}", f"r:{fetch.id}", "sweep"):
            assert not actions_of(d.handle(Timer(token)), (Fetch, Lookup)), step


def test_the_answer_comes_by_the_deadline_of_the_try_without_any_outcome() -> None:
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
SITE = st.fixed_dictionaries({
    "second_copies": st.booleans(), "straight": st.booleans(), "cancel": st.booleans(), "joins": st.booleans(),
    "retry_after": st.booleans(), "notes": st.sampled_from(["all", "hit", "none"]),
    "flow_kb_per_s": st.sampled_from([0.0, 4000.0]),
})  # fmt: skip


class Watched:
    """Plays a random sequence and holds every action against the rules."""

    def __init__(self, caches: int, parents: int, changes: dict[str, Any]) -> None:
        self.d = Driver(members(caches, parents), **changes)
        self.listed = {m.store: m for m in members(caches, parents)}
        self.open: dict[int, Request] = {}
        self.ended: set[int] = set()
        self.out: dict[tuple[int, int], tuple[str, float]] = {}
        self.count: dict[int, int] = {}
        self.maybe: dict[int, float] = {}
        self.told: dict[str, float] = {}
        self.purges: dict[tuple[int, int], tuple[float, float]] = {}
        self.timers: list[tuple[float, str]] = []

    def handle(self, event: Any) -> None:
        for action in self.d.handle(event):
            self.check(action)

    def check(self, a: Any) -> None:
        d, now = self.d, self.d.now
        if isinstance(a, SetTimer):
            self.timers.append((a.due_ms, a.token))
        elif isinstance(a, (Fetch, Lookup)):
            assert a.id in self.open and a.timeout_ms > 0
            request = self.open[a.id]
            spec = d.settings.get_class(request.cls)
            others = [k for k in self.out if k[0] == a.id]
            assert d.settings.second_copies or not others
            if spec.effect is Effect.UNSAFE:
                assert not others and a.id not in self.maybe
            first = min([self.maybe.get(a.id, now), *(self.out[k][1] for k in others)])
            if spec.effect is Effect.KEYED:
                assert now - first <= spec.window_ms
            names = {a.store} | ({a.source} if isinstance(a, Fetch) else set())
            for name in names:
                assert now <= self.told.get(name, now) + d.settings.drain_grace_ms
            if isinstance(a, Lookup):
                assert a.store == "root"
            elif spec.cacheable:  # what is not kept runs at the origin: no copy can be old
                self.check_age(a, request, now)
            number = self.count.get(a.id, 0)
            assert number < d.settings.max_attempts
            self.count[a.id] = number + 1
            self.out[(a.id, number)] = (a.store, now)
        elif isinstance(a, (Refuse, Fail)):
            assert a.id in self.open, "a second final answer"
            spec = d.settings.get_class(self.open[a.id].cls)
            ran = a.id in self.maybe or any(k[0] == a.id for k in self.out)
            if isinstance(a, Refuse):
                assert spec.effect is not Effect.UNSAFE or not ran
            del self.open[a.id]
            self.ended.add(a.id)
        elif isinstance(a, Cancel):
            assert d.settings.cancel and self.count.get(a.id, 0) > a.attempt

    def check_age(self, a: Fetch, request: Request, now: float) -> None:
        for key in ((request.object, 0), (0, request.group)):
            if key in self.purges:
                purged, told = self.purges[key]
                if told + self.d.settings.purge_grace_ms < now < purged + self.d.settings.purge_done_ms:
                    assert 0 < a.max_age_ms <= now - purged and not a.join

    def run_timers(self, until: float) -> None:
        while due := sorted(t for t in self.timers if t[0] <= until):
            self.timers.remove(due[0])
            self.d.now = max(self.d.now, due[0][0])
            self.overdue()
            self.handle(Timer(due[0][1]))
        self.d.now = until

    def overdue(self) -> None:
        late = self.d.settings.answer_grace_ms
        assert all(self.d.now <= r.deadline_ms + late for r in self.open.values())

    def step(self, what: str, n: int, status: Status, note: Note, wait: float) -> None:
        d = self.d
        names = sorted(self.listed)
        name = names[n % len(names)]
        member = self.listed[name]
        if what == "ask":
            d.last_id += 1
            cls = ("film", "page", "sale", "pair")[n % 4]
            request = Request(
                d.last_id, cls, n % 3 + 1, d.now + 400.0 * (n + 1), 300.0, group=n % 2, part=n % 5
            )
            self.open[d.last_id] = request
            self.handle(request)
        elif what == "end" and self.out:
            key = sorted(self.out)[n % len(self.out)]
            store, sent = self.out.pop(key)
            over = key[0] in self.ended or status is Status.OK
            if status not in NEVER_RAN:
                self.maybe[key[0]] = min(sent, self.maybe.get(key[0], sent))
            if over and key[0] in self.open:
                del self.open[key[0]]
                self.ended.add(key[0])
            self.handle(Outcome(key[0], key[1], store, status, d.now - sent, note, over=over))
        elif what in ("purge", "group"):
            key = (n % 3 + 1, 0) if what == "purge" else (0, n % 2)
            self.purges[key] = (d.now - 50.0, d.now)
            self.handle(Purge(key[0], n % 2, 50.0))
        elif what in ("drain", "vanish", "restart"):
            state = {"drain": State.DRAINING, "vanish": State.GONE, "restart": State.READY}[what]
            if state is State.READY:
                self.told.pop(name, None)
            else:
                self.told.setdefault(name, d.now)
            changed = Member(
                name, member.zone, member.kind, state=state, came_up_ms=d.now if what == "restart" else 0
            )
            self.handle(Members(ListKind.CHANGES, (changed,)))
        elif what == "lost":
            self.handle(Members(ListKind.FAILED))
        elif what == "gone" and self.open:
            number = sorted(self.open)[n % len(self.open)]
            del self.open[number]
            self.ended.add(number)
            self.handle(ClientGone(number))
        elif what == "odd":
            self.handle(Outcome(10_000 + n, 0, "nowhere", status, 1.0, note))
            self.handle(ClientGone(10_000 + n))
        else:
            self.run_timers(d.now + wait)


@given(st.integers(0, 3), st.integers(0, 2), SITE, st.lists(STEP, max_size=80))
def test_random_sequences_keep_the_rules(
    caches: int, parents: int, changes: dict[str, Any], steps: list[Any]
) -> None:
    w = Watched(caches, parents, changes)
    for step in steps:
        w.step(*step)
    w.run_timers(w.d.now + 8000.0)
    assert not w.open and not w.d.router.pending


@given(st.lists(STEP, max_size=40))
def test_same_events_give_the_same_actions(steps: list[Any]) -> None:
    runs = []
    for _ in range(2):
        w = Watched(3, 2, {})
        said: list[Any] = []
        told = w.d.handle
        w.d.handle = lambda e, told=told, said=said: (said.append(a := told(e)), a)[1]  # type: ignore[method-assign]
        for step in steps:
            w.step(*step)
        runs.append(said)
    assert runs[0] == runs[1]


def test_an_empty_list_is_refused_at_once() -> None:
    d = Driver(())
    only_action(d.ask(object=5), Refuse)
    assert isinstance(d.router, Router)


def _classes(**changes: Any) -> list[dict[str, Any]]:
    return [{**c, **changes} for c in BASE_SETTINGS["classes"]]


UNLIKE: dict[str, tuple[int, int, dict[str, Any]]] = {
    "one cache, no parents": (1, 0, {"parent_kind": ""}),
    "a hundred caches and many proxies": (100, 9, {"seats_by_zone": [0, 40], "proxies": 400}),
    "nothing is kept": (3, 2, {"classes": _classes(cacheable=False)}),
    "a list to be asked for": (3, 2, {"subscribe": True}),
    "keyed by zone": (3, 2, {"straight": True, "classes": _classes(group="zone")}),
    "keyed by cell": (3, 2, {"second_copies": False, "classes": _classes(group="cell")}),
}


@pytest.mark.parametrize("name", UNLIKE)
def test_deployments_unlike_the_known_ones_keep_the_rules(name: str) -> None:
    draw = random.Random(name)
    kinds = ["ask", "ask", "ask", "end", "end", "purge", "group", "drain", "restart", "lost", "wait", "gone"]
    w = Watched(*UNLIKE[name])
    for _ in range(600):
        w.step(
            draw.choice(kinds),
            draw.randrange(12),
            draw.choice(list(Status)),
            draw.choice(list(Note)),
            draw.choice([1.0, 40.0, 300.0]),
        )
    w.run_timers(w.d.now + 8000.0)
    assert w.count and not w.open and not w.d.router.pending
