"""Explicit-state search: every state that a machine can reach, each invariant checked where the state
changes.

Breadth first, so that a violation comes with one of the shortest ways to it (as in Holzmann, The SPIN Model
Checker, chapter 8). States are told apart by a key; machines are copied, never undone.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import TypeVar

State = TypeVar("State")


class Violation(AssertionError):
    """An invariant does not hold. `path` has the events that lead there, first to last."""

    def __init__(self, what: str, path: tuple[str, ...]) -> None:
        super().__init__(f"{what}; after {' -> '.join(path) or 'the start'}")
        self.path = path


@dataclass(frozen=True)
class Found:
    """How much was searched: distinct states, steps between them, states without a further step."""

    states: int
    steps: int
    ends: int


def search(
    start: Iterable[State],
    key: Callable[[State], Hashable],
    successors: Callable[[State], Iterable[tuple[str, State]]],
    invariant: Callable[[State], str | None],
    most: int = 5_000_000,
) -> Found:
    """Raises Violation at the first state for which `invariant` says what is wrong, OverflowError past `most`
    states.

    A machine's own assertions count: one that is raised while a state is stepped is a violation there."""
    came: dict[Hashable, tuple[Hashable | None, str]] = {}
    waiting: deque[tuple[Hashable, State]] = deque()
    steps = ends = 0

    def path(of: Hashable | None) -> tuple[str, ...]:
        events = []
        while of is not None:
            of, event = came[of]
            events.append(event)
        return tuple(reversed(events))

    def meet(state: State, before: Hashable | None, event: str) -> None:
        name = key(state)
        if name in came:
            return
        if len(came) >= most:
            raise OverflowError(f"more than {most} states")
        came[name] = before, event
        wrong = invariant(state)
        if wrong is not None:
            raise Violation(wrong, path(name))
        waiting.append((name, state))

    for number, state in enumerate(start):
        meet(state, None, f"start {number}")
    while waiting:
        name, state = waiting.popleft()
        further = 0
        try:
            for event, then in successors(state):
                further += 1
                meet(then, name, event)
        except Violation:
            raise
        except AssertionError as error:
            raise Violation(str(error) or "an assertion failed", path(name)) from error
        steps += further
        ends += not further
    return Found(len(came), steps, ends)
