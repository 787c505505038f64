"""The digest of all actions that routers of this process give."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import fields
from hashlib import sha256
from typing import Any

from gladelane.routing.events import (
    Action,
    Cancel,
    ClientDisconnected,
    Event,
    Fail,
    Fetch,
    Lookup,
    Members,
    Outcome,
    Purge,
    Refuse,
    Request,
    SetTimer,
    Started,
    Timer,
)
from gladelane.routing.router import Router


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
    kind: place
    for place, kind in enumerate((Request, Outcome, Timer, Members, Purge, ClientDisconnected, Started))
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
