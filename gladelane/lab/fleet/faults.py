"""Parses fault schedules: lines of text with the faults of a run, each at its time. Pure.

    2 save feeds:*; 3 kill feeds:* empty; 3 kill directors:90% empty; 4 cut directors:0-3>feeds:* for 2

A step has a time in seconds, an action, its targets, a mode, and a duration. Targets are `directors`, `feeds`
(the control servers), `caches`, `hub`, `origin` or `board` (the discovery server), with `:N`, `:N-M`, `:*`
or `:P%` (a random selection by the seed). A link is `FROM>TO`.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from random import Random

#: action -> the kind of its targets, and its modes; the first mode is the default
ACTIONS: dict[str, tuple[str, tuple[str, ...]]] = {
    "kill": ("process", ("kept", "empty", "older", "torn", "swapped", "readonly")),
    "term": ("process", ("kept",)),
    "stop": ("process", ("kept",)),
    "save": ("process", ("kept",)),  # saves the folders, for `older`
    "full": ("process", ("kept",)),  # the disk is full
    "cut": ("link", ("closed", "silent", "oneway", "mute", "slow", "halfway")),
    "board": ("board", ("late", "restart")),
    "store": ("store", ("save", "back", "slow", "renew")),  # saves or restores copies; slow; restarts
    "drain": ("store", ("out", "in")),
    "purges": ("none", ("flood",)),  # the mode is the number of purges, sent during the duration
    "await": ("process", ("level",)),  # waits until these control servers have replicated; delays later steps
}
PROCESSES, STORES = ("directors", "feeds"), ("caches", "hub", "origin")
NUMBER = r"\d+(?:\.\d+)?"
STEP = re.compile(rf"(?P<at>{NUMBER}) (?P<word>\w+)(?: (?P<rest>.+?))?(?: for (?P<last>{NUMBER}))?", re.ASCII)
TARGET = re.compile(r"(?P<kind>[a-z]+)(?::(?P<which>\*|\d+(?:-\d+)?|\d+%))?")


class FaultScheduleError(ValueError):
    """A step cannot be parsed; the message has the step and what was expected."""


@dataclass(frozen=True, slots=True)
class Step:
    """A step of a schedule.

    `at` is in seconds. `targets` has (kind, number) of processes and stores, `links` pairs of those.
    """

    at: float
    action: str
    targets: tuple[tuple[str, int], ...]
    links: tuple[tuple[tuple[str, int], tuple[str, int]], ...]
    mode: str
    duration_s: float
    text: str


def parse_schedule(schedule: str, counts: dict[str, int], rng: Random) -> list[Step]:
    """The steps ordered by time. `counts`: the number of targets of each kind. Raises FaultScheduleError."""
    steps = [_step(text.strip(), counts, rng) for text in schedule.split(";") if text.strip()]
    return sorted(steps, key=lambda step: step.at)


def _step(text: str, counts: dict[str, int], rng: Random) -> Step:
    found = STEP.fullmatch(text)
    if found is None or found["word"] not in ACTIONS:
        raise FaultScheduleError(
            f"{text!r}; expected SECOND ACTION TARGETS MODE for SECONDS, an action of {', '.join(ACTIONS)}"
        )
    target_kind, modes = ACTIONS[found["word"]]
    arguments = (found["rest"] or "").split()
    target = "" if target_kind == "none" or not arguments or arguments[0] in modes else arguments.pop(0)
    mode = arguments.pop(0) if arguments else modes[0]
    if arguments or not (mode in modes or (found["word"] == "purges" and mode.isdigit())):
        raise FaultScheduleError(f"{text!r}: {mode!r}; expected one of {', '.join(modes)}")
    targets: tuple[tuple[str, int], ...] = ()
    links: tuple[tuple[tuple[str, int], tuple[str, int]], ...] = ()
    if target_kind == "link":
        near, _, far = target.partition(">")
        links = tuple(
            (one, other)
            for one in _targets(text, near, counts, rng, PROCESSES)
            for other in _targets(text, far, counts, rng, ("feeds", "board"))
            if one != other
        )
    elif target_kind in ("process", "store"):
        targets = _targets(text, target, counts, rng, PROCESSES if target_kind == "process" else STORES)
    return Step(float(found["at"]), found["word"], targets, links, mode, float(found["last"] or 0.0), text)


def _targets(
    text: str, target: str, counts: dict[str, int], rng: Random, kinds: tuple[str, ...]
) -> tuple[tuple[str, int], ...]:
    found = TARGET.fullmatch(target)
    if found is None or found["kind"] not in kinds:
        raise FaultScheduleError(
            f"{text!r}: {target!r}; expected one of {', '.join(kinds)}, with :N, :N-M, :* or :P%"
        )
    kind, which = found["kind"], found["which"] or "*"
    count = counts.get(kind, 1)
    if which == "*":
        numbers = list(range(count))
    elif which.endswith("%"):
        numbers = sorted(rng.sample(range(count), round(count * int(which[:-1]) / 100)))
    else:
        first, _, last = which.partition("-")
        numbers = list(range(int(first), int(last or first) + 1))
    if not numbers or numbers[-1] >= count:
        raise FaultScheduleError(f"{text!r}: {target!r}; there are {count} {kind}")
    return tuple((kind, number) for number in numbers)
