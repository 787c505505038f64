"""One router under requests, outcomes, changes of the list and purges drawn at random."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import replace
from functools import partial

from gladelane.lab.model.timeline import Timeline
from gladelane.routing.events import (
    Cancel,
    ClientDisconnected,
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

START_MS = 10_000_000.0  # 0 stands for 'never' in many places
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

    def run(self, duration_ms: float) -> None:
        """Plays for so long in virtual time."""
        self.tell(Members(ListKind.COMPLETE, tuple(self.members.values())))
        self.repeat(ASK_MS, self.ask)
        self.repeat(CHANGE_MS, self.change)
        self.repeat(PURGE_MS, self.purge)
        self.line.run(START_MS + duration_ms)

    def repeat(self, mean_ms: float, call: Callable[[], None]) -> None:
        """Calls at random moments of this mean distance."""

        def call_and_repeat() -> None:
            call()
            self.line.after(self.rng.expovariate(1.0 / mean_ms), call_and_repeat)

        self.line.after(self.rng.expovariate(1.0 / mean_ms), call_and_repeat)

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
        self.tell(ClientDisconnected(number))

    def send(self, action: Fetch | Lookup) -> None:
        """An attempt, with an outcome drawn at random."""
        rng, number = self.rng, action.id
        attempt = self.sends.get(number, 0)
        self.sends[number] = attempt + 1
        self.open[number, attempt] = action.store
        source = action.source if isinstance(action, Fetch) else action.store
        bad = action.store in self.troubled or source in self.troubled
        status = rng.choices(_OUTCOMES, _BAD_CHANCES if bad else _CHANCES)[0]
        elapsed_ms = min(rng.lognormvariate(4.0, 1.2), action.timeout_ms)
        if status is Status.TIMEOUT:
            elapsed_ms = action.timeout_ms
        elif rng.random() < START_CHANCE:
            self.line.after(elapsed_ms / 2, partial(self.tell, Started(number, attempt)))
        self.line.after(elapsed_ms, partial(self.end, number, attempt, status))

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
        listed = list(self.members.values())
        if rng.random() < 0.15:
            rng.shuffle(listed)
            listed = [member for member in listed if member.state is not State.GONE]
            self.tell(Members(ListKind.COMPLETE, tuple(listed)))
        else:
            self.tell(Members(ListKind.CHANGES, tuple(rng.sample(listed, min(3, len(listed))))))

    def changed(self, member: Member) -> Member:
        """A member after its change."""
        rng = self.rng
        if member.state is not State.READY:
            return replace(member, state=State.READY, started_at_ms=float(int(self.line.now)))
        state = rng.choice([State.DRAINING, State.GONE, State.READY])
        weight = member.weight * rng.uniform(0.5, 1.5) if rng.random() < 0.3 else member.weight
        return replace(member, state=state, weight=weight)

    def purge(self) -> None:
        """Of an object, or of a whole group."""
        object_ = self.rng.choice([0, self.rng.randint(1, 40)])
        self.tell(Purge(object_, self.rng.randrange(8), self.rng.uniform(0.0, 400.0)))
