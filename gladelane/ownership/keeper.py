"""A keeper's side of leases: one of an odd number, of which a majority has to grant. Pure.

A keeper grants a number once: higher than any that it has seen for that work, while it knows of no lease that
runs. It counts a lease longer than its holder does, from its own answer, by the drift of two clocks. The
number has to be stored before the answer leaves; leases are not stored: a keeper that starts sits out the
longest lease, whatever its disk holds, and hears so many others that every majority that granted before has
one of them or this keeper's disk. One that has lost its disk therefore learns all numbers again.

Two keepers of three that lose their disks at once could forget a number that nobody else has; who says that
its disk is lost begins above its clock's milliseconds, which no counted number reaches.
"""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

DRIFT = 0.001  # by which two clocks may run apart, as a part of the time
SLACK_MS = 1.0


class Ask(msgspec.Struct, frozen=True, omit_defaults=True):
    """number 0 only asks; else the number that the holder claims or renews. release: gives it back."""

    work: str
    holder: str
    number: int = 0
    length_ms: float = 0.0
    release: bool = False


class Reply(msgspec.Struct, frozen=True, omit_defaults=True):
    """highest: number seen for this work; holder, left_ms: of a lease that runs; ready: this one grants."""

    keeper: str
    granted: bool
    highest: int = 0
    holder: str = ""
    left_ms: float = 0.0
    ready: bool = True


class Granted(msgspec.Struct, frozen=True, array_like=True):
    holder: str
    number: int
    until_ms: float


def majority(keepers: int) -> int:
    return keepers // 2 + 1


def others_needed(keepers: int) -> int:
    """How many other keepers a start has to hear: any majority that granted, this one left out, has one of
    them."""
    return min(keepers - majority(keepers) + 1, keepers - 1)


class Keeper:
    """keepers: how many there are, this one included. lost_ms: Unix ms where this keeper's disk is known to
    be lost, else 0."""

    def __init__(
        self,
        name: str,
        keepers: int,
        longest_ms: float,
        now_ms: float,
        numbers: Mapping[str, int] | None = None,
        lost_ms: float = 0.0,
    ) -> None:
        self.name, self.longest_ms = name, longest_ms
        self.numbers = dict(numbers or {})
        self.floor = int(lost_ms)
        self.heard: set[str] = set()
        self._needed = others_needed(keepers)
        self._from_ms = now_ms + longest_ms * (1.0 + DRIFT) + SLACK_MS
        self._granted: dict[str, Granted] = {}

    def learn(self, other: str, numbers: Mapping[str, int]) -> None:
        """What another keeper has seen, since this one's start."""
        self.heard.add(other)
        for work, number in numbers.items():
            self.numbers[work] = max(self.numbers.get(work, 0), number)

    def ready(self, now_ms: float) -> bool:
        return now_ms >= self._from_ms and len(self.heard) >= self._needed

    def highest(self, work: str) -> int:
        return max(self.numbers.get(work, 0), self.floor)

    def running(self, work: str, now_ms: float) -> Granted | None:
        granted = self._granted.get(work)
        return granted if granted is not None and now_ms < granted.until_ms else None

    def ask(self, ask: Ask, now_ms: float) -> tuple[Reply, bool]:
        """The answer, and whether a number has to be stored before it leaves."""
        granted, running = False, self.running(ask.work, now_ms)
        changed = False
        if ask.release:
            if running is not None and (running.holder, running.number) == (ask.holder, ask.number):
                del self._granted[ask.work]
                running = None
        elif ask.number and self.ready(now_ms):
            if running is not None:
                granted = (running.holder, running.number) == (ask.holder, ask.number)
            elif ask.number > self.highest(ask.work):
                granted = changed = True
                self.numbers[ask.work] = ask.number
            if granted:
                length = min(ask.length_ms, self.longest_ms) * (1.0 + DRIFT) + SLACK_MS
                running = self._granted[ask.work] = Granted(ask.holder, ask.number, now_ms + length)
        left = max(running.until_ms - now_ms, 0.0) if running is not None else 0.0
        holder = running.holder if running is not None else ""
        return Reply(self.name, granted, self.highest(ask.work), holder, left, self.ready(now_ms)), changed
