"""Monitors of the rules: they are notified of each event of a run, and report a breach as soon as it happens.

They store pending requests and attempts only. All times are in ms of the run's clock, real or virtual. A
monitor never reads the state of the parts that it observes: if it shared their records, it would share
their mistakes.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..routing.events import NEVER_RAN, ClassSpec, Effect, Member, Settings, Status


@dataclass(frozen=True, slots=True)
class Broken:
    """A breach: the rule, the time in ms, the director, and what happened."""

    rule: str
    at_ms: float
    director: str
    what: str


@dataclass(frozen=True, slots=True)
class Place:
    """The location of a store: within it, idempotency keys of a class may be shared."""

    zone: str
    cell: int


@dataclass(frozen=True, slots=True)
class _Attempt:
    sent_ms: float
    store: str


@dataclass(slots=True)
class _Tries:
    """Attempts that may have the same effect: those of one request, or of all under one client's key."""

    out: dict[tuple[int, int], _Attempt] = field(default_factory=dict)  # by request and attempt number
    ran: _Attempt | None = None  # the earliest ended attempt that may have been executed

    def first(self) -> _Attempt | None:
        """The earliest attempt that may have been executed or may still be."""
        known = [*self.out.values()] if self.ran is None else [self.ran, *self.out.values()]
        return min(known, key=_sent_ms) if known else None


def _sent_ms(attempt: _Attempt) -> float:
    return attempt.sent_ms


@dataclass(slots=True)
class _Open:
    spec: ClassSpec
    due_ms: float  # the latest time of the final answer, with the tolerance
    tries: _Tries
    sends: int = 0


@dataclass(frozen=True, slots=True)
class _Sent:
    attempt: _Attempt
    tries: _Tries
    spec: ClassSpec


@dataclass(frozen=True, slots=True)
class _Purge:
    notified_ms: float
    purge_ms: float


class Monitor:
    """Checks drains, purges, deadlines, repeats and the number of attempts.

    `on_breach` is called with each breach. A request is identified by its director and its number there.

    `slack_ms` is a tolerance added to every limit. `most_attempts` is the limit per request. `places` is
    required for classes whose idempotency keys are shared only within a zone or a cell.
    """

    def __init__(
        self,
        drain_grace_ms: float,
        purge_grace_ms: float,
        answer_grace_ms: float,
        on_breach: Callable[[Broken], None],
        second_copies: bool = True,
        *,
        slack_ms: float = 0.0,
        most_attempts: int | None = None,
        places: Mapping[str, Place] | None = None,
    ) -> None:
        self._drain, self._purge = drain_grace_ms + slack_ms, purge_grace_ms + slack_ms
        self._answer, self._slack = answer_grace_ms + slack_ms, slack_ms
        self._on_breach, self._second_copies = on_breach, second_copies
        self._most, self._places = most_attempts, places or {}
        self._open: dict[tuple[str, int], _Open] = {}
        self._left: dict[str, dict[str, float]] = defaultdict(
            dict
        )  # by director: stores that drain or are gone, and since when it knows
        self._purged: dict[tuple[str, int], list[_Purge]] = defaultdict(list)  # by director and object
        self._purged_groups: dict[tuple[str, int], list[_Purge]] = defaultdict(list)
        self._sent: dict[tuple[str, int, int], _Sent] = {}
        self._keys: dict[tuple[str, str], _Tries] = defaultdict(_Tries)
        self.requests = self.answers = self.sends = 0

    def request(self, director: str, number: int, spec: ClassSpec, due_ms: float, key: str = "") -> None:
        """A request arrived. `key`: the idempotency key, the same for all attempts of the client."""
        self.requests += 1
        tries = self._keys[director, key] if key else _Tries()
        self._open[director, number] = _Open(spec, due_ms + self._answer, tries)

    def listed(self, director: str, store: str, usable: bool, at_ms: float) -> None:
        """A director was notified that a store may be used, or that it is draining or gone."""
        if usable:
            self._left[director].pop(store, None)
        else:
            self._left[director].setdefault(store, at_ms)

    def purged(self, director: str, object_: int, purge_ms: float, at_ms: float) -> None:
        """A director was notified at `at_ms` of a purge of one object, dated `purge_ms`."""
        self._purged[director, object_].append(_Purge(at_ms, purge_ms))

    def purged_group(self, director: str, group: int, purge_ms: float, at_ms: float) -> None:
        """A director was notified at `at_ms` of a purge of a group of objects, dated `purge_ms`."""
        self._purged_groups[director, group].append(_Purge(at_ms, purge_ms))

    def sent(self, director: str, number: int, attempt: int, store: str, source: str, at_ms: float) -> None:
        """The first byte of an attempt was sent to `store`, which may fill from `source` (empty: none)."""
        self.sends += 1
        for used in {store, source} - {""}:
            since = self._left[director].get(used)
            if since is not None and at_ms > since + self._drain:
                late = f"{number} to {used}, {at_ms - since:.0f} ms after it was told"
                self._breach("drain", at_ms, director, late)
        pending = self._open.get((director, number))
        if pending is None:
            self._breach("answer", at_ms, director, f"{number} is sent again after its final answer")
            return
        pending.sends += 1
        if self._most is not None and pending.sends > self._most:
            self._breach("attempts", at_ms, director, f"{number} is sent {pending.sends} times")
        self._check_repeat(director, number, pending, store, at_ms)
        made = _Attempt(at_ms, store)
        pending.tries.out[number, attempt] = made
        self._sent[director, number, attempt] = _Sent(made, pending.tries, pending.spec)

    def _check_repeat(self, director: str, number: int, pending: _Open, store: str, at_ms: float) -> None:
        if not self._second_copies and any(other == number for other, _ in pending.tries.out):
            self._breach("repeat", at_ms, director, f"{number} has two attempts out")
        first, spec = pending.tries.first(), pending.spec
        if first is None or spec.effect is Effect.SAFE:
            return
        since = at_ms - first.sent_ms
        if spec.effect is Effect.UNSAFE:
            self._breach("repeat", at_ms, director, f"{number} of {spec.name} may have run")
        elif since > spec.window_ms + self._slack:
            self._breach("repeat", at_ms, director, f"{number}, {since:.0f} ms after one that may have run")
        elif not self._same_group(spec, first.store, store):
            self._breach(
                "repeat", at_ms, director, f"{number} to {store}, outside the group of {first.store}"
            )

    def _same_group(self, spec: ClassSpec, first: str, store: str) -> bool:
        one, other = self._places.get(first), self._places.get(store)
        if spec.group == "all" or one is None or other is None:
            return True
        return one.zone == other.zone if spec.group == "zone" else one.cell == other.cell

    def ended(
        self,
        director: str,
        number: int,
        attempt: int,
        status: Status,
        at_ms: float,
        object_: int = 0,
        dated_ms: float | None = None,
        group: int = -1,
    ) -> None:
        """An attempt ended. `dated_ms`: the date of the copy that answered, if any."""
        sent = self._sent.pop((director, number, attempt), None)
        if sent is None:
            return
        sent.tries.out.pop((number, attempt), None)
        ran = sent.tries.ran
        if status not in NEVER_RAN and (ran is None or sent.attempt.sent_ms < ran.sent_ms):
            sent.tries.ran = sent.attempt
        if status is Status.OK and dated_ms is not None:
            self._check_copy(director, number, sent, at_ms, object_, group, dated_ms)

    def _check_copy(
        self, director: str, number: int, sent: _Sent, at_ms: float, object_: int, group: int, dated_ms: float
    ) -> None:
        purges = [*self._purged[director, object_], *self._purged_groups[director, group]]
        sent_ms, spec = sent.attempt.sent_ms, sent.spec
        if any(sent_ms > p.notified_ms + self._purge and dated_ms < p.purge_ms for p in purges):
            self._breach("purge", at_ms, director, f"{number} is answered from a copy older than a purge")
        age = sent_ms - dated_ms
        if spec.fresh_ms and age > spec.fresh_ms + spec.grace_ms + self._slack:
            self._breach("answer", at_ms, director, f"{number} is answered from a copy {age:.0f} ms old")

    def final(self, director: str, number: int, at_ms: float, refused: bool = False) -> None:
        """A request got its final answer. `refused`: the answer says that the request had no effect."""
        pending = self._open.pop((director, number), None)
        if pending is None:
            self._breach("answer", at_ms, director, f"{number} has a second final answer")
            return
        self.answers += 1
        if at_ms > pending.due_ms:
            self._breach(
                "answer", at_ms, director, f"{number} is answered {at_ms - pending.due_ms:.0f} ms late"
            )
        effect = pending.spec.effect
        harmless = effect is Effect.SAFE or (effect is Effect.KEYED and pending.spec.group == "all")
        if refused and not harmless and pending.tries.first() is not None:
            self._breach("repeat", at_ms, director, f"{number} is refused and may have run")

    def withdrawn(self, director: str, number: int) -> None:
        """The client left or the director was killed, so the request needs no answer."""
        self._open.pop((director, number), None)

    def close(self, at_ms: float) -> None:
        """The end of the run: each open request past its deadline was never answered."""
        for (director, number), pending in self._open.items():
            if at_ms > pending.due_ms:
                self._breach("answer", at_ms, director, f"{number} is never answered")

    def _breach(self, rule: str, at_ms: float, director: str, what: str) -> None:
        self._on_breach(Broken(rule, at_ms, director, what))


class Reach:
    """Checks to which stores a director sends and which it names as sources.

    Allowed are stores that its endpoint list contained: caches of its own zone, and what the settings allow
    beyond. `on_breach` is called with each breach."""

    def __init__(self, settings: Settings, on_breach: Callable[[Broken], None]) -> None:
        self._settings, self._on_breach = settings, on_breach
        self._named: dict[str, set[str]] = defaultdict(set)

    def listed(self, director: str, store: str) -> None:
        """The endpoint list of a director contained a store."""
        self._named[director].add(store)

    def sent(self, director: str, zone: str, store: Member, source: Member | None, at_ms: float) -> None:
        """A director in `zone` sent an attempt."""
        for used in (store, source):
            if used is not None and used.store not in self._named[director]:
                self._breach(director, at_ms, f"{used.store} is in none of its lists")
        if not self._is_target(store, zone):
            self._breach(director, at_ms, f"{store.store} may not be asked from {zone}")
        if source is not None and not self._is_source(store, source, zone):
            self._breach(director, at_ms, f"{source.store} may not be a source for {store.store}")

    def _is_cache(self, store: Member) -> bool:
        return store.kind not in (self._settings.parent_kind, self._settings.origin_kind)

    def _is_target(self, store: Member, zone: str) -> bool:
        return store.zone == zone if self._is_cache(store) else self._settings.straight

    def _is_source(self, store: Member, source: Member, zone: str) -> bool:
        if not self._is_cache(store):
            return source.kind == self._settings.origin_kind and store.kind == self._settings.parent_kind
        if not self._is_cache(source):
            return True
        peers = self._settings.peers_fill
        return peers == "any" or (peers == "zone" and source.zone == zone)

    def _breach(self, director: str, at_ms: float, what: str) -> None:
        self._on_breach(Broken("reach", at_ms, director, what))
