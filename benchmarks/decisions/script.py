"""Drives a single router with random requests, outcomes, changes of the endpoint list and purges."""

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

START_MS = 10_000_000.0  # not 0, which means 'never' in many fields
_OUTCOMES = (
    Status.OK, Status.ERROR, Status.FULL, Status.TIMEOUT, Status.CONNECT_FAILED, Status.RESET, Status.MISS,
)  # fmt: skip
_CHANCES = (0.86, 0.02, 0.03, 0.03, 0.02, 0.03, 0.01)
_TROUBLED_CHANCES = (0.2, 0.1, 0.1, 0.2, 0.2, 0.2, 0.0)  # of a store in `Script.troubled`
TROUBLED_SHARE = 0.1  # of the stores
CHANGE_MS, PURGE_MS, REQUEST_MS = 250.0, 700.0, 8.0  # mean intervals
DISCONNECT_CHANCE, START_CHANCE = 0.03, 0.05


class Script:
    """One router, with the requests, outcomes, list changes and purges that a seeded generator draws."""

    def __init__(self, settings: Settings, members: Sequence[Member], seed: int, sizes_listed: bool) -> None:
        self.settings, self.sizes_listed = settings, sizes_listed
        self.rng = random.Random(seed)
        self.timeline = Timeline()
        self.timeline.now = START_MS
        self.router = Router(settings, seed)
        self.members = {member.store: member for member in members}
        names = sorted(self.members)
        self.troubled = set(self.rng.sample(names, max(int(len(names) * TROUBLED_SHARE), 1)))
        self.class_names = list(settings.classes)
        self.request_count = 0
        self.attempt_counts: dict[int, int] = {}
        self.open_attempts: dict[tuple[int, int], str] = {}
        self.finished: set[int] = set()

    def run(self, duration_ms: float) -> None:
        """Runs for this duration in virtual time."""
        self.handle_event(Members(ListKind.COMPLETE, tuple(self.members.values())))
        self.repeat(REQUEST_MS, self.send_request)
        self.repeat(CHANGE_MS, self.change_members)
        self.repeat(PURGE_MS, self.purge)
        self.timeline.run(START_MS + duration_ms)

    def repeat(self, mean_ms: float, call: Callable[[], None]) -> None:
        """Calls a function repeatedly, at random intervals with this mean."""

        def call_and_repeat() -> None:
            call()
            self.timeline.after(self.rng.expovariate(1.0 / mean_ms), call_and_repeat)

        self.timeline.after(self.rng.expovariate(1.0 / mean_ms), call_and_repeat)

    def handle_event(self, event: Event) -> None:
        """Hands an event to the router and carries out its actions."""
        for action in self.router.handle(self.timeline.now, event):
            match action:
                case Fetch() | Lookup():
                    self.start_attempt(action)
                case Cancel():
                    self.end_attempt(action.id, action.attempt, Status.CANCELLED)
                case Refuse() | Fail():
                    self.finished.add(action.id)
                case SetTimer():
                    self.timeline.at(action.due_ms, partial(self.handle_event, Timer(action.token)))
                case _:
                    pass

    def send_request(self) -> None:
        """Sends a random request; its client may disconnect later."""
        rng = self.rng
        self.request_count += 1
        spec = self.settings.classes[rng.choice(self.class_names)]
        object_id = min(int(rng.paretovariate(0.6)), 20_000)
        size_kb = random.Random(object_id).lognormvariate(5.5, 1.0) if self.sizes_listed else 0.0
        deadline_ms = self.timeline.now + spec.deadline_ms * rng.uniform(0.3, 1.0)
        part = rng.randrange(8) if spec.parts else 0
        if rng.random() < DISCONNECT_CHANCE:
            self.timeline.after(rng.uniform(1.0, 300.0), partial(self.disconnect_client, self.request_count))
        self.handle_event(
            Request(self.request_count, spec.name, object_id, deadline_ms, size_kb, object_id % 8, part)
        )

    def disconnect_client(self, number: int) -> None:
        """Disconnects the client of a request."""
        self.finished.add(number)
        self.handle_event(ClientDisconnected(number))

    def start_attempt(self, action: Fetch | Lookup) -> None:
        """Starts an attempt and schedules an outcome drawn at random."""
        rng, number = self.rng, action.id
        attempt = self.attempt_counts.get(number, 0)
        self.attempt_counts[number] = attempt + 1
        self.open_attempts[number, attempt] = action.store
        source = action.source if isinstance(action, Fetch) else action.store
        is_troubled = action.store in self.troubled or source in self.troubled
        status = rng.choices(_OUTCOMES, _TROUBLED_CHANCES if is_troubled else _CHANCES)[0]
        elapsed_ms = min(rng.lognormvariate(4.0, 1.2), action.timeout_ms)
        if status is Status.TIMEOUT:
            elapsed_ms = action.timeout_ms
        elif rng.random() < START_CHANCE:
            self.timeline.after(elapsed_ms / 2, partial(self.handle_event, Started(number, attempt)))
        self.timeline.after(elapsed_ms, partial(self.end_attempt, number, attempt, status))

    def end_attempt(self, number: int, attempt: int, status: Status) -> None:
        """Reports the outcome of an attempt, unless the attempt has already ended."""
        store = self.open_attempts.pop((number, attempt), None)
        if store is None:
            return
        note, wait_ms = Note.NOT_REPORTED, 0.0
        if status is Status.OK and self.settings.notes != "none":
            note = self.rng.choice([Note.HIT, Note.HIT, Note.AGED, Note.NOT_REPORTED])
        if self.settings.notes == "all":
            note = self.rng.choice([Note.HIT, Note.PARENT_HELD, Note.FROM_ORIGIN, Note.JOINED])
            wait_ms = self.rng.uniform(0.0, 300.0)
            if status in (Status.ERROR, Status.FULL):
                note = self.rng.choice([Note.SOURCE_REFUSED, Note.SOURCE_BROKEN, Note.ORIGIN_FAILED])
        if status is Status.OK:
            self.finished.add(number)
        self.handle_event(
            Outcome(number, attempt, store, status, 0.0, note, wait_ms, number in self.finished)
        )

    def change_members(self) -> None:
        """Changes some members, or reports that the list could not be read."""
        rng = self.rng
        if rng.random() < 0.03:
            self.handle_event(Members(ListKind.FAILED))
            return
        for name in rng.sample(sorted(self.members), min(rng.randint(1, 3), len(self.members))):
            self.members[name] = self.draw_changed_member(self.members[name])
        listed = list(self.members.values())
        if rng.random() < 0.15:
            rng.shuffle(listed)
            listed = [member for member in listed if member.state is not State.GONE]
            self.handle_event(Members(ListKind.COMPLETE, tuple(listed)))
        else:
            self.handle_event(Members(ListKind.CHANGES, tuple(rng.sample(listed, min(3, len(listed))))))

    def draw_changed_member(self, member: Member) -> Member:
        """Returns a member with a random change."""
        rng = self.rng
        if member.state is not State.READY:
            return replace(member, state=State.READY, started_at_ms=float(int(self.timeline.now)))
        state = rng.choice([State.DRAINING, State.GONE, State.READY])
        weight = member.weight * rng.uniform(0.5, 1.5) if rng.random() < 0.3 else member.weight
        return replace(member, state=state, weight=weight)

    def purge(self) -> None:
        """Purges one object or a whole group."""
        object_id = self.rng.choice([0, self.rng.randint(1, 40)])
        self.handle_event(Purge(object_id, self.rng.randrange(8), self.rng.uniform(0.0, 400.0)))
