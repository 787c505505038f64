"""The rules as monitors: told what happens as it happens, on either clock, they say at once what was broken.

They keep what is open and no more. Milliseconds of one clock, the run's. Nothing is asked of the parts that
are watched: a monitor that shared their bookkeeping would share their mistakes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..interface import NEVER_RAN, ClassSpec, Effect, Status


@dataclass(frozen=True, slots=True)
class Broken:
    rule: str
    at_ms: float
    director: str
    what: str


@dataclass(slots=True)
class _Open:
    spec: ClassSpec
    due_ms: float  # by when it is owed its answer, slack included
    out: dict[int, float] = field(default_factory=dict)  # attempts under way, by when they were sent
    ran_ms: float = 0.0  # when the first attempt that may have run was sent


class Monitor:
    """`told` hears each breach. A request is named by its director and its number there."""

    def __init__(
        self,
        drain_grace_ms: float,
        purge_grace_ms: float,
        answer_grace_ms: float,
        told: Callable[[Broken], None],
        second_copies: bool = True,
    ) -> None:
        self._drain, self._purge, self._answer = drain_grace_ms, purge_grace_ms, answer_grace_ms
        self._told, self._second_copies = told, second_copies
        self._open: dict[tuple[str, int], _Open] = {}
        self._left: dict[str, dict[str, float]] = defaultdict(dict)  # who drains or is gone, since when told
        self._purged: dict[str, dict[int, float]] = defaultdict(dict)  # objects, when the director was told
        self._void: dict[str, dict[int, float]] = defaultdict(dict)  # and the date that is too old since
        self._sent_ms: dict[tuple[str, int, int], float] = {}
        self.requests = self.answers = self.sends = 0

    def request(self, director: str, number: int, spec: ClassSpec, due_ms: float) -> None:
        self.requests += 1
        self._open[director, number] = _Open(spec, due_ms + self._answer)

    def listed(self, director: str, store: str, usable: bool, at_ms: float) -> None:
        if usable:
            self._left[director].pop(store, None)
        else:
            self._left[director].setdefault(store, at_ms)

    def purged(self, director: str, object_: int, purge_ms: float, at_ms: float) -> None:
        self._purged[director][object_] = at_ms
        self._void[director][object_] = purge_ms

    def sent(self, director: str, number: int, attempt: int, store: str, source: str, at_ms: float) -> None:
        self.sends += 1
        for used in {store, source} - {""}:
            since = self._left[director].get(used)
            if since is not None and at_ms > since + self._drain:
                late = f"{number} to {used}, {at_ms - since:.0f} ms after it was told"
                self._breach("drain", at_ms, director, late)
        owed = self._open.get((director, number))
        if owed is None:
            self._breach("answer", at_ms, director, f"{number} is sent again after its final answer")
            return
        self._sent_ms[director, number, attempt] = at_ms
        if owed.out and not self._second_copies:
            self._breach("repeat", at_ms, director, f"{number} has two attempts out")
        first = min([*owed.out.values(), *([owed.ran_ms] if owed.ran_ms else [])], default=0.0)
        if first and owed.spec.effect is Effect.UNSAFE:
            self._breach("repeat", at_ms, director, f"{number} of {owed.spec.name} may have run")
        elif first and owed.spec.effect is Effect.KEYED and at_ms - first > owed.spec.window_ms:
            after = f"{number}, {at_ms - first:.0f} ms after one that may have run"
            self._breach("repeat", at_ms, director, after)
        owed.out[attempt] = at_ms

    def ended(
        self,
        director: str,
        number: int,
        attempt: int,
        status: Status,
        at_ms: float,
        object_: int = 0,
        dated_ms: float | None = None,
    ) -> None:
        """`dated_ms`: of the copy that answered."""
        sent = self._sent_ms.pop((director, number, attempt), None)
        told = self._purged[director].get(object_)
        if status is Status.OK and dated_ms is not None and told is not None and sent is not None:
            if sent > told + self._purge and dated_ms < self._void[director][object_]:
                self._breach("purge", at_ms, director, f"{number} is answered from a copy older than a purge")
        owed = self._open.get((director, number))
        if owed is not None:
            began = owed.out.pop(attempt, 0.0)
            if status not in NEVER_RAN and began and not owed.ran_ms:
                owed.ran_ms = began

    def final(self, director: str, number: int, at_ms: float, refused: bool = False) -> None:
        owed = self._open.pop((director, number), None)
        if owed is None:
            self._breach("answer", at_ms, director, f"{number} has a second final answer")
            return
        self.answers += 1
        if at_ms > owed.due_ms:
            self._breach("answer", at_ms, director, f"{number} is answered {at_ms - owed.due_ms:.0f} ms late")
        unsafe = owed.spec.effect is Effect.UNSAFE
        if refused and unsafe and (owed.ran_ms or owed.out):
            self._breach("repeat", at_ms, director, f"{number} is refused and may have run")

    def withdrawn(self, director: str, number: int) -> None:
        """Its client left, or its director was killed: no answer is owed."""
        self._open.pop((director, number), None)

    def close(self, at_ms: float) -> None:
        """The end: what is still open past its time was never answered."""
        for (director, number), owed in self._open.items():
            if at_ms > owed.due_ms:
                self._breach("answer", at_ms, director, f"{number} is never answered")

    def _breach(self, rule: str, at_ms: float, director: str, what: str) -> None:
        self._told(Broken(rule, at_ms, director, what))
