"""Whether the decisions are still the same: a digest of every action over seeded runs in virtual time.

`python -m benchmarks.decisions [--quick]`. A change that only makes the module faster or clearer leaves every
digest as it is; one that changes a decision, however seldom, changes at least one of them. GOLDEN has those
of the quick form; a change of decisions that is intended writes them anew with `--record`.

- `site_hints`, `site_notes`: fleets of real routers before models of all they talk to, in the manner of the
  two known deployments (sizes told and notes of hits only; no sizes told and notes of everything);
- `shared_zone`: a location that many directors share;
- `large_list`: one router before many caches of many weights, with changes of the list; `larger_list`: the
  same before more than any usual fleet has (routing.store_list, MAX_CACHES_USED_ALIKE);
- `generated`: one router for each of the generated deployments, under outcomes drawn at random;
- `deployed` (printed, not in GOLDEN): generated fleets with the real `net.director`, so changes of that show
  here too.

Exits with 1 if a digest is not the golden one.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from dataclasses import fields, replace
from functools import partial
from hashlib import sha256
from pathlib import Path
from typing import Any

from benchmarks import conclude
from gladelane.lab.deployed import DeployedFleet
from gladelane.lab.deployment_draw import draw_deployment
from gladelane.lab.deployments import StoreSpec
from gladelane.lab.model.timeline import Timeline
from gladelane.lab.virtual import Fleet, Plan
from gladelane.routing.events import (
    Action,
    Cancel,
    ClientGone,
    Event,
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
    Settings,
    Started,
    State,
    Status,
    Timer,
)
from gladelane.routing.router import Router

GOLDEN = Path(__file__).with_name("decisions.json")
START_MS = 10_000_000.0  # 0 stands for 'never' in many places
GENERATED, GENERATED_LONG = 50, 500  # deployments
DEPLOYED, DEPLOYED_LONG = 10, 100
FLEET_MS, FLEET_LONG_MS = 20_000.0, 120_000.0
SCRIPT_MS = 8000.0
LARGE_CACHES, LARGER_CACHES, LARGE_MS = 200, 400, 8000.0  # of one zone

_SETTINGS: dict[str, Any] = {
    "me": 0, "proxies": 4, "zone": "z0", "zones": ["hub", "z0", "z1"], "hub_of": [0, 0, 0],
    "seats_by_zone": [0, 2, 2], "origin_kind": "root", "parent_kind": "mid", "reports": "none",
    "notes": "hit", "peers_fill": "zone", "weights": "nominal", "straight": True, "joins": True,
    "flow_kb_per_s": 5000.0, "cancel": True, "second_copies": True, "retry_after": True,
    "max_retry_after_ms": 1000.0, "max_attempts": 8, "max_open": 20000, "connect_timeout_ms": 400.0,
    "drain_grace_ms": 1000.0, "answer_grace_ms": 8.0, "tick_ms": 2.0, "cold_from": 0.3,
    "warm_after_ms": 9000.0, "fall_multiple": 3.0, "fall_ms": 2000.0, "parent_cold_from": 0.1,
    "parent_cold_ms": 15000.0, "parent_fall_multiple": 2.0, "purge_grace_ms": 1000.0,
    "purge_done_ms": 6000.0,
    "classes": [
        {"name": "part", "effect": "safe", "aim_ms": 600.0, "aim_stretch": 1.6, "deadline_ms": 6000.0,
         "worth": 2.0, "late_worth": 0.15, "parts": True},
        {"name": "item", "effect": "safe", "aim_ms": 400.0, "aim_stretch": 2.0, "deadline_ms": 3000.0,
         "worth": 1.0, "late_worth": 0.2, "fresh_ms": 8000.0, "grace_ms": 12000.0},
        {"name": "submit", "effect": "keyed", "group": "all", "window_ms": 2000.0, "aim_ms": 800.0,
         "deadline_ms": 3000.0, "worth": 3.0, "cacheable": False},
        {"name": "once", "effect": "unsafe", "aim_ms": 800.0, "deadline_ms": 3000.0, "worth": 3.0,
         "cacheable": False},
    ],
}  # fmt: skip


def site_settings(**changes: Any) -> Settings:
    """Settings in the manner of the first known deployment."""
    return Settings.read({**_SETTINGS, **changes})


class ActionDigest:
    """Takes in every event's kind and the actions that it led to. Fields count by their place, not by their
    names, so a rename leaves the digest as it is."""

    def __init__(self) -> None:
        self.actions = 0
        self._hash = sha256()

    def add(self, now_ms: float, event: Event, actions: Sequence[Action]) -> None:
        """An event at this moment, and the actions that the router gave for it."""
        self.actions += len(actions)
        words = [f"{now_ms:.6f}", str(_EVENTS.get(type(event), -1))]
        for action in actions:
            words.append(str(_ACTIONS[type(action)]))
            words += [_word(getattr(action, field.name)) for field in fields(action)]
        self._hash.update(" ".join(words).encode() + b"\n")

    def text(self) -> str:
        """The digest of all that was added."""
        return self._hash.hexdigest()


_ACTIONS: dict[type, int] = {
    kind: place for place, kind in enumerate((Fetch, Lookup, Cancel, Refuse, Fail, SetTimer))
}
_EVENTS: dict[type, int] = {
    kind: place for place, kind in enumerate((Request, Outcome, Timer, Members, Purge, ClientGone, Started))
}


def _word(value: Any) -> str:
    return f"{value:.6f}" if isinstance(value, float) else str(value)


@contextmanager
def recorded() -> Iterator[ActionDigest]:
    """Every router of the process reports to the digest meanwhile: fleets make their routers themselves."""
    digest, handle = ActionDigest(), Router.handle

    def handle_recorded(self: Router, now_ms: float, event: Event) -> list[Action]:
        actions = handle(self, now_ms, event)
        digest.add(now_ms, event, [action for action in actions if type(action) in _ACTIONS])
        return actions

    Router.handle = handle_recorded  # type: ignore[method-assign]
    try:
        yield digest
    finally:
        Router.handle = handle  # type: ignore[method-assign]


# --- fleets of routers before models


def run_fleet(plan: Plan, seed: int, span_ms: float) -> None:
    """Crashes, drains, restarts and purges all along."""
    fleet = Fleet(plan, seed)
    line, rng = fleet.line, random.Random(seed)
    at = 1500.0
    while at < span_ms:
        store = rng.choice([*fleet.caches, *fleet.parents])
        if rng.random() < 0.7:
            line.at(at, partial(fleet.crash, store))
        else:
            line.at(at, partial(fleet.drain, store))
            line.at(at + 1500.0, partial(fleet.crash, store))
        line.at(at + rng.uniform(2000.0, 6000.0), partial(fleet.restart, store))
        line.at(at + 300.0, partial(fleet.purge, rng.randrange(8)))
        at += rng.uniform(700.0, 2500.0)
    fleet.run(span_ms)


def run_site_hints(quick: bool) -> None:
    """Sizes of objects are listed, and notes tell of hits only."""
    plan = Plan(site_settings(), caches=5, locations=2, directors=2, parents=3, rate=150.0, link=1.8)
    run_fleet(plan, 11, FLEET_MS if quick else FLEET_LONG_MS)


def run_site_notes(quick: bool) -> None:
    """No sizes are listed, and notes tell of everything."""
    settings = site_settings(notes="all", weights="none", straight=False, joins=False, peers_fill="none")
    plan = Plan(settings, caches=4, locations=2, directors=2, parents=3, rate=150.0, link=2.2)
    run_fleet(plan, 12, FLEET_MS if quick else FLEET_LONG_MS)


def run_shared_zone(quick: bool) -> None:
    """Many directors in one location."""
    settings = site_settings(proxies=16, seats_by_zone=[0, 8, 8])
    plan = Plan(
        settings, caches=10, locations=2, directors=8, parents=4, rate=220.0, link=1.3, origin_workers=6
    )
    run_fleet(plan, 13, FLEET_MS if quick else FLEET_LONG_MS)


# --- one router under outcomes drawn at random

_OUTCOMES = (
    Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT, Status.CONNECT_FAILED, Status.RESET, Status.MISS,
)  # fmt: skip
_CHANCES = (0.86, 0.02, 0.03, 0.03, 0.02, 0.03, 0.01)
_BAD_CHANCES = (0.2, 0.1, 0.1, 0.2, 0.2, 0.2, 0.0)  # of a store that is in trouble
TROUBLED = 0.1  # part of the stores that are
CHANGE_MS, PURGE_MS, ASK_MS = 250.0, 700.0, 8.0  # mean times between changes, purges and requests
LEAVE_CHANCE, START_CHANCE = 0.03, 0.05


class Script:
    """One router, told what a seeded generator draws: requests, outcomes, changes of the list, purges."""

    def __init__(self, settings: Settings, members: Sequence[Member], seed: int, sizes_listed: bool) -> None:
        self.settings, self.sizes_listed = settings, sizes_listed
        self.rng = random.Random(seed)
        self.line = Timeline()
        self.line.now = START_MS
        self.router = Router(settings, seed)
        self.members = {member.store: member for member in members}
        names = sorted(self.members)
        self.troubled = set(self.rng.sample(names, max(int(len(names) * TROUBLED), 1)))
        self.names = list(settings.classes)
        self.numbers = 0
        self.sends: dict[int, int] = {}
        self.open: dict[tuple[int, int], str] = {}
        self.over: set[int] = set()

    def run(self, span_ms: float) -> None:
        """Plays for so long in virtual time."""
        self.tell(Members(ListKind.COMPLETE, tuple(self.members.values())))
        self.repeat(ASK_MS, self.ask)
        self.repeat(CHANGE_MS, self.change)
        self.repeat(PURGE_MS, self.purge)
        self.line.run(START_MS + span_ms)

    def repeat(self, mean_ms: float, call: Callable[[], None]) -> None:
        """Calls at random moments of this mean distance."""

        def again() -> None:
            call()
            self.line.after(self.rng.expovariate(1.0 / mean_ms), again)

        self.line.after(self.rng.expovariate(1.0 / mean_ms), again)

    def tell(self, event: Event) -> None:
        """Hands an event to the router and carries out its actions."""
        for action in self.router.handle(self.line.now, event):
            match action:
                case Fetch() | Lookup():
                    self.send(action)
                case Cancel():
                    self.end(action.id, action.attempt, Status.CANCELLED)
                case Refuse() | Fail():
                    self.over.add(action.id)
                case SetTimer():
                    self.line.at(action.due_ms, partial(self.tell, Timer(action.token)))
                case _:
                    pass

    def ask(self) -> None:
        """A request, which its client may leave."""
        rng = self.rng
        self.numbers += 1
        spec = self.settings.classes[rng.choice(self.names)]
        object_ = min(int(rng.paretovariate(0.6)), 20_000)
        size = random.Random(object_).lognormvariate(5.5, 1.0) if self.sizes_listed else 0.0
        deadline = self.line.now + spec.deadline_ms * rng.uniform(0.3, 1.0)
        part = rng.randrange(8) if spec.parts else 0
        if rng.random() < LEAVE_CHANCE:
            self.line.after(rng.uniform(1.0, 300.0), partial(self.leave, self.numbers))
        self.tell(Request(self.numbers, spec.name, object_, deadline, size, object_ % 8, part))

    def leave(self, number: int) -> None:
        """The client of this request goes."""
        self.over.add(number)
        self.tell(ClientGone(number))

    def send(self, action: Fetch | Lookup) -> None:
        """An attempt, with an outcome drawn at random."""
        rng, number = self.rng, action.id
        attempt = self.sends.get(number, 0)
        self.sends[number] = attempt + 1
        self.open[number, attempt] = action.store
        source = action.source if isinstance(action, Fetch) else action.store
        bad = action.store in self.troubled or source in self.troubled
        status = rng.choices(_OUTCOMES, _BAD_CHANCES if bad else _CHANCES)[0]
        took = min(rng.lognormvariate(4.0, 1.2), action.timeout_ms)
        if status is Status.TIMEOUT:
            took = action.timeout_ms
        elif rng.random() < START_CHANCE:
            self.line.after(took / 2, partial(self.tell, Started(number, attempt)))
        self.line.after(took, partial(self.end, number, attempt, status))

    def end(self, number: int, attempt: int, status: Status) -> None:
        """The outcome of an attempt, unless it is over."""
        store = self.open.pop((number, attempt), None)
        if store is None:
            return
        note, wait = Note.NOT_REPORTED, 0.0
        if status is Status.OK and self.settings.notes != "none":
            note = self.rng.choice([Note.HIT, Note.HIT, Note.AGED, Note.NOT_REPORTED])
        if self.settings.notes == "all":
            note = self.rng.choice([Note.HIT, Note.PARENT_HELD, Note.FROM_ORIGIN, Note.JOINED])
            wait = self.rng.uniform(0.0, 300.0)
            if status in (Status.ERROR, Status.FULL):
                note = self.rng.choice([Note.SOURCE_REFUSED, Note.SOURCE_BROKEN, Note.ORIGIN_FAILED])
        if status is Status.OK:
            self.over.add(number)
        self.tell(Outcome(number, attempt, store, status, 0.0, note, wait, number in self.over))

    def change(self) -> None:
        """Some members change, or the list cannot be had."""
        rng = self.rng
        if rng.random() < 0.03:
            self.tell(Members(ListKind.FAILED))
            return
        for name in rng.sample(sorted(self.members), min(rng.randint(1, 3), len(self.members))):
            self.members[name] = self.changed(self.members[name])
        told = list(self.members.values())
        if rng.random() < 0.15:
            rng.shuffle(told)
            told = [member for member in told if member.state is not State.GONE]
            self.tell(Members(ListKind.COMPLETE, tuple(told)))
        else:
            self.tell(Members(ListKind.CHANGES, tuple(rng.sample(told, min(3, len(told))))))

    def changed(self, member: Member) -> Member:
        """A member after its change."""
        rng = self.rng
        if member.state is not State.READY:
            return replace(member, state=State.READY, came_up_ms=float(int(self.line.now)))
        state = rng.choice([State.DRAINING, State.GONE, State.READY])
        weight = member.weight * rng.uniform(0.5, 1.5) if rng.random() < 0.3 else member.weight
        return replace(member, state=state, weight=weight)

    def purge(self) -> None:
        """Of an object, or of a whole group."""
        object_ = self.rng.choice([0, self.rng.randint(1, 40)])
        self.tell(Purge(object_, self.rng.randrange(8), self.rng.uniform(0.0, 400.0)))


def run_large_list(_quick: bool, caches: int = LARGE_CACHES) -> None:
    """Many caches in the router's own location, and as many elsewhere; weights that differ, or do not."""
    for seed, (weights, seats) in enumerate((("nominal", 2), ("rough", 60), ("none", 60))):
        rng = random.Random(seed)
        settings = site_settings(weights=weights, seats_by_zone=[0, seats, seats], proxies=seats * 2)
        members = [
            Member(f"{zone}-{place}", zone, "box", place % 7, weight=weight)
            for zone in ("z0", "z1")
            for place in range(caches)
            for weight in [rng.choice([4.0, 6.0, rng.uniform(1.0, 9.0)])]
        ]
        members += [Member(f"p{place}", "hub", "mid", weight=30.0) for place in range(40)]
        members.append(Member("root", "hub", "root"))
        Script(settings, members, seed, sizes_listed=True).run(LARGE_MS)


def run_generated(quick: bool) -> None:
    """One router for each generated deployment."""
    for seed in range(GENERATED if quick else GENERATED_LONG):
        plan = draw_deployment(random.Random(seed))
        specs = (*plan.caches, *plan.joining, *plan.parents, plan.origin)
        members = [_member(spec) for spec in specs]
        Script(plan.settings(0), members, seed, plan.sizes_listed).run(SCRIPT_MS)


def _member(spec: StoreSpec) -> Member:
    came_up = START_MS - spec.age_ms if spec.age_ms else 0.0
    return Member(spec.name, spec.zone, spec.kind, spec.cell, State.READY, spec.weight, came_up)


def run_deployed(quick: bool) -> None:
    """Generated fleets with the real director."""
    for seed in range(DEPLOYED if quick else DEPLOYED_LONG):
        DeployedFleet(draw_deployment(random.Random(seed))).run()


SCENES: dict[str, Callable[[bool], None]] = {
    "site_hints": run_site_hints,
    "site_notes": run_site_notes,
    "shared_zone": run_shared_zone,
    "large_list": run_large_list,
    "larger_list": partial(run_large_list, caches=LARGER_CACHES),
    "generated": run_generated,
    "deployed": run_deployed,
}
NOT_GOLDEN = frozenset({"deployed"})


def run_scene(name: str, quick: bool = True) -> ActionDigest:
    """The digest of this scene."""
    with recorded() as digest:
        SCENES[name](quick)
    return digest


def golden() -> dict[str, str]:
    """The recorded digests, by scene."""
    known: dict[str, str] = json.loads(GOLDEN.read_text())
    return known


def main() -> int:
    """The exit code."""
    words = sys.argv[1:]
    quick = "--quick" in words
    began = time.process_time()
    digests: dict[str, str] = {}
    actions = 0
    for name in SCENES:
        digest = run_scene(name, quick)
        digests[name], actions = digest.text(), actions + digest.actions
        print(f"{name}: {digest.actions} actions, {digest.text()}", flush=True)
    if "--record" in words and quick:
        kept = {name: text for name, text in digests.items() if name not in NOT_GOLDEN}
        GOLDEN.write_text(json.dumps(kept, indent=1) + "\n")
    changed = [name for name, text in golden().items() if quick and digests[name] != text]
    figures = {
        "quick": quick,
        "actions": actions,
        "digests": digests,
        "seconds": round(time.process_time() - began, 1),
    }
    return conclude(figures, changed)


if __name__ == "__main__":
    sys.exit(main())
