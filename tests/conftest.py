"""Shared test set-up: a complete set of settings, and a driver for one router without sockets or timers."""

from __future__ import annotations

from typing import Any, TypeVar

from hypothesis import settings as hypothesis_settings

from gladelane.routing.events import (
    Action,
    Event,
    Fetch,
    ListKind,
    Lookup,
    Member,
    Members,
    Note,
    Outcome,
    Request,
    Settings,
    State,
    Status,
)
from gladelane.routing.router import Router

hypothesis_settings.register_profile("steady", derandomize=True, deadline=None, max_examples=80)
hypothesis_settings.load_profile("steady")

Kind = TypeVar("Kind")

BASE_SETTINGS: dict[str, Any] = {
    "me": 0, "proxies": 2, "zone": "edge", "zones": ["hub", "edge"], "hub_of": [0, 0], "seats_by_zone": [0, 2],
    "origin_kind": "root", "parent_kind": "mid", "reports": "none", "notes": "all", "peers_fill": "any",
    "weights": "none", "straight": False, "joins": True, "flow_kb_per_s": 4000.0, "cancel": True,
    "second_copies": True, "retry_after": True, "max_retry_after_ms": 1000.0, "max_attempts": 6,
    "max_open": 1000, "connect_timeout_ms": 300.0, "drain_grace_ms": 1000.0, "answer_grace_ms": 8.0,
    "tick_ms": 2.0, "cold_from": 0.2, "warm_after_ms": 15000.0, "fall_multiple": 3.0, "fall_ms": 2000.0,
    "parent_cold_from": 0.1, "parent_cold_ms": 15000.0, "parent_fall_multiple": 2.0,
    "purge_grace_ms": 500.0, "purge_done_ms": 5000.0,
    "classes": [
        {"name": "film", "effect": "safe", "aim_ms": 600.0, "aim_stretch": 2.0, "deadline_ms": 5000.0,
         "worth": 2.0, "late_worth": 0.1, "parts": True},
        {"name": "page", "effect": "safe", "aim_ms": 300.0, "aim_stretch": 2.0, "deadline_ms": 3000.0,
         "worth": 1.0, "fresh_ms": 8000.0},
        {"name": "sale", "effect": "keyed", "group": "all", "window_ms": 6000.0, "aim_ms": 600.0,
         "deadline_ms": 3000.0, "worth": 3.0, "cacheable": False},
        {"name": "pair", "effect": "unsafe", "aim_ms": 600.0, "deadline_ms": 3000.0, "worth": 3.0,
         "cacheable": False},
    ],
}  # fmt: skip


def settings(**changes: Any) -> Settings:
    """The settings BASE_SETTINGS with some of them changed."""
    return Settings.read({**BASE_SETTINGS, **changes})


def members(caches: int = 3, parents: int = 2, **changes: Any) -> tuple[Member, ...]:
    """The members of an endpoint list: caches, parents, and an origin with the given changes."""
    listed = [Member(f"c{n}", "edge", "box") for n in range(caches)]
    listed += [Member(f"p{n}", "hub", "mid") for n in range(parents)]
    return (*listed, Member("root", "hub", "root", **changes))


class Driver:
    """One router with its clock, which counts the attempts of each request."""

    def __init__(self, stores: tuple[Member, ...] | None = None, **changes: Any) -> None:
        self.settings = settings(**changes)
        self.router = Router(self.settings, 7)
        self.now = 100_000.0
        self.last_id = 0
        self.attempt_numbers: dict[int, int] = {}
        self.timers: list[tuple[float, str]] = []
        self.update_members(stores if stores is not None else members(), ListKind.REMEMBERED)

    def handle(self, event: Event) -> list[Action]:
        actions = self.router.handle(self.now, event)
        for action in actions:
            if isinstance(action, (Fetch, Lookup)):
                self.attempt_numbers[action.id] = self.attempt_numbers.get(action.id, -1) + 1
        return actions

    def update_members(self, stores: tuple[Member, ...], kind: ListKind = ListKind.COMPLETE) -> list[Action]:
        return self.handle(Members(kind, stores))

    def ask(self, cls: str = "film", object: int = 1, part: int = 0, **more: Any) -> list[Action]:
        self.last_id += 1
        deadline = self.now + self.settings.get_class(cls).deadline_ms
        return self.handle(
            Request(self.last_id, cls, object, deadline, more.pop("size_kb", 400.0), part=part, **more)
        )

    def answer(
        self, action: Fetch | Lookup, status: Status = Status.OK, note: Note = Note.HIT, after: float = 50.0
    ) -> list[Action]:
        self.now += after
        over = status is Status.OK
        number = self.attempt_numbers[action.id]
        return self.handle(Outcome(action.id, number, action.store, status, after, note, over=over))

    def serve(self, **request: Any) -> Fetch:
        fetch = only_action(self.ask(**request), Fetch)
        self.answer(fetch)
        return fetch


def only_action(actions: list[Action], kind: type[Kind]) -> Kind:
    """The single action of a kind; fails if there is none or more than one."""
    matches = [action for action in actions if isinstance(action, kind)]
    assert len(matches) == 1, actions
    return matches[0]


def actions_of(actions: list[Action], kind: type[Kind]) -> list[Kind]:
    """All actions of a kind."""
    return [action for action in actions if isinstance(action, kind)]


__all__ = ["Driver", "State", "actions_of", "members", "only_action", "settings"]
