"""Explicit-state model checker: visits every reachable state of a state machine and checks an invariant.

The search is breadth first, so that a violation is reported with a shortest path (as in Holzmann, The SPIN
Model Checker, chapter 8). States are distinguished by a key. Machines are copied before each step.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

State = TypeVar("State")


class InvariantViolationError(AssertionError):
    """An invariant does not hold. `path` has the events that lead to the state, first to last."""

    def __init__(self, what: str, path: tuple[str, ...]) -> None:
        super().__init__(f"{what}; after {' -> '.join(path) or 'the start'}")
        self.path = path


@dataclass(frozen=True)
class Found:
    """The extent of a search: distinct states, steps between them, and states without a further step."""

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
    """Visits all states. Raises InvariantViolationError at the first state for which `invariant` returns a
    text, and OverflowError beyond `most` states.

    An assertion that a machine raises during a step counts as a violation too."""
    visited = _Visited(key, invariant, most)
    steps = ends = 0
    for number, state in enumerate(start):
        visited.add(state, None, f"start {number}")
    while visited.queue:
        name, state = visited.queue.popleft()
        further = 0
        try:
            for event, then in successors(state):
                further += 1
                visited.add(then, name, event)
        except InvariantViolationError:
            raise
        except AssertionError as error:
            raise InvariantViolationError(
                str(error) or "an assertion failed", visited.path_to(name)
            ) from error
        steps += further
        ends += not further
    return Found(len(visited.reached_by), steps, ends)


class _Visited(Generic[State]):
    """The visited states, the event by which each was first reached, and the states still to be expanded."""

    def __init__(
        self,
        key: Callable[[State], Hashable],
        invariant: Callable[[State], str | None],
        most: int,
    ) -> None:
        self._key, self._invariant, self._most = key, invariant, most
        self.reached_by: dict[Hashable, tuple[Hashable | None, str]] = {}  # the previous state, and the event
        self.queue: deque[tuple[Hashable, State]] = deque()

    def path_to(self, name: Hashable | None) -> tuple[str, ...]:
        """The events that lead to a state, first to last."""
        events = []
        while name is not None:
            name, event = self.reached_by[name]
            events.append(event)
        return tuple(reversed(events))

    def add(self, state: State, before: Hashable | None, event: str) -> None:
        """Checks a state and queues it if it is new. Raises InvariantViolationError, OverflowError."""
        name = self._key(state)
        if name in self.reached_by:
            return
        if len(self.reached_by) >= self._most:
            raise OverflowError(f"more than {self._most} states")
        self.reached_by[name] = before, event
        wrong = self._invariant(state)
        if wrong is not None:
            raise InvariantViolationError(wrong, self.path_to(name))
        self.queue.append((name, state))
