"""A digest of all actions that the routers of this process return."""

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
    """Hashes the kind of every event and the actions that it led to.

    Fields of actions are hashed by position and not by name, so renaming one does not change the digest.
    """

    def __init__(self) -> None:
        self.actions = 0
        self._hash = sha256()

    def add(self, now_ms: float, event: Event, actions: Sequence[Action]) -> None:
        """Adds an event, its time and the actions that the router returned for it."""
        self.actions += len(actions)
        tokens = [f"{now_ms:.6f}", str(_EVENTS.get(type(event), -1))]
        for action in actions:
            tokens.append(str(_ACTIONS[type(action)]))
            tokens += [_format_value(getattr(action, field.name)) for field in fields(action)]
        self._hash.update(" ".join(tokens).encode() + b"\n")

    def text(self) -> str:
        """Returns the hexadecimal digest of everything added so far."""
        return self._hash.hexdigest()


_ACTIONS: dict[type, int] = {
    kind: index for index, kind in enumerate((Fetch, Lookup, Cancel, Refuse, Fail, SetTimer))
}
_EVENTS: dict[type, int] = {
    kind: index
    for index, kind in enumerate((Request, Outcome, Timer, Members, Purge, ClientDisconnected, Started))
}


def _format_value(value: Any) -> str:
    return f"{value:.6f}" if isinstance(value, float) else str(value)


@contextmanager
def recorded_actions() -> Iterator[ActionDigest]:
    """Records the actions of all routers of this process while the context is open.

    `Router.handle` is replaced, because fleets create their routers themselves.
    """
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
