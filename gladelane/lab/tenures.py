"""Tenures and the ladder as machines for `lab.modelcheck`, on the product's own decisions (`fleet.tenure`,
`fleet.straggle`).

Tenure: a director asks, a feed answers, answers arrive late or never, the process sleeps, its wall clock is
set back; an attempt is decided at one moment and its first byte leaves at a later one. The invariant: no byte
leaves past the moment up to which the feed takes the director's tenure to last, counted from its own answer.

Ladder: three directors in two zones report to a judge or do not, hear of a purge and a new list or do not.
The invariants: the share, the last of a zone, the source's faults, and that nobody who lacks nothing stays
out. `Plant` names faults that must be found.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from ..control.positions import vector_text
from ..fleet.straggle import Judge, Ladder, Watched
from ..fleet.tenure import Stage, Tenure, Verdict
from ..fleet.view import View
from .modelcheck import Violation, search

TICK_MS = 1_000.0
LENGTH = 2  # ticks of a tenure


class Plant(Enum):
    NONE = auto()
    # of the tenure
    WALL = auto()  # counted on a clock that steps
    FROM_ANSWER = auto()  # counted from when the answer came
    BY_REPORT = auto()  # renewed by asking
    NO_RECHECK = auto()  # looked at when an attempt is decided, not at its first byte
    # of the ladder
    NO_SHARE = auto()
    NO_LAST = auto()  # the last of a zone is shut out like any other
    NO_SOURCE = auto()  # what most lack is held against each
    NEVER_BACK = auto()
    APART = auto()  # who is ahead of the feed counts as behind


TENURE_PLANTS = (Plant.WALL, Plant.FROM_ANSWER, Plant.BY_REPORT, Plant.NO_RECHECK)
LADDER_PLANTS = (Plant.NO_SHARE, Plant.NO_LAST, Plant.NO_SOURCE, Plant.NEVER_BACK, Plant.APART)


# --- the tenure


@dataclass
class Holder:
    """Ticks. wall: the wall clock is so far behind; asked: questions on their way, by when they were sent;
    answers: likewise, with when the feed answered; over: up to when the feed takes the tenure to last;
    decided: an attempt that waits for its connection."""

    plant: Plant = Plant.NONE
    now: int = 0
    wall: int = 0
    until: int = 0
    over: int = 0
    asked: frozenset[int] = frozenset()
    answers: frozenset[tuple[int, int]] = frozenset()
    decided: bool = False
    acted: bool = False  # just now

    def key(self) -> object:
        return (
            self.now,
            self.wall,
            self.until,
            self.over,
            self.asked,
            self.answers,
            self.decided,
            self.acted,
        )

    def clock(self) -> int:
        return self.now - (self.wall - 10 if self.plant is Plant.WALL else 0)

    def tenure(self) -> Tenure:
        told = Tenure()
        told.until = self.until * TICK_MS
        return told

    def granted(self, asked: int) -> int:
        told = self.tenure()
        told.granted(asked * TICK_MS, LENGTH * TICK_MS)
        return int(-(-told.until // TICK_MS))  # up: a tick that has begun

    def may(self) -> bool:
        return self.tenure().may(False, self.clock() * TICK_MS)


def holder_steps(one: Holder, most: int = 6) -> Iterator[tuple[str, Holder]]:
    if one.acted:
        one = replace(one, acted=False)
    if one.now < most:
        yield "time passes", replace(one, now=one.now + 1)
    if one.wall < 3 and one.now > 1:
        yield "the wall clock is set back", replace(one, wall=one.wall + 3)
    if not one.asked and len(one.answers) < 2:
        until = one.granted(one.clock()) if one.plant is Plant.BY_REPORT else one.until
        yield "asks", replace(one, asked=one.asked | {one.clock()}, until=until)
    for asked in sorted(one.asked):
        gone = one.asked - {asked}
        yield "question lost", replace(one, asked=gone)
        yield (
            "feed answers",
            replace(one, asked=gone, answers=one.answers | {(asked, one.now)}, over=one.now + LENGTH),
        )
    for asked, at in sorted(one.answers):
        gone2 = one.answers - {(asked, at)}
        yield "answer lost", replace(one, answers=gone2)
        begins = one.clock() if one.plant is Plant.FROM_ANSWER else asked
        yield "answer comes", replace(one, answers=gone2, until=one.granted(begins))
    if not one.decided and one.may():
        yield "an attempt is decided", replace(one, decided=True)
    if one.decided and (one.plant is Plant.NO_RECHECK or one.may()):
        yield "its first byte leaves", replace(one, decided=False, acted=True)
    if one.decided and not one.may():
        yield "it is given up", replace(one, decided=False)


def holder_broken(one: Holder) -> str | None:
    if one.acted and one.now >= one.over:
        return f"acts at {one.now}, its tenure was over at {one.over}"
    return None


# --- the ladder

ZONES = {"d0": "a", "d1": "a", "d2": "b"}
STEP_MS = 3_000.0
LADDER = Ladder(share=0.4, silent_ms=2 * STEP_MS - 1.0)
NEWS = ("list", "purges")


class _Planted(Judge):
    plant = Plant.NONE

    def copy(self) -> _Planted:
        """As deep as a search changes it."""
        then, told = copy.copy(self), copy.copy(self.told)
        then._directors = {name: copy.copy(one) for name, one in self._directors.items()}
        then.told = told
        told.purges, told._stored = dict(told.purges), dict(told._stored)
        told._lists = {board: (list(revs), list(at)) for board, (revs, at) in told._lists.items()}
        return then

    def _slots(self, now_ms: float) -> int:
        return 9 if self.plant is Plant.NO_SHARE else super()._slots(now_ms)

    def _others(self, one: Watched, now_ms: float) -> int:
        return 9 if self.plant is Plant.NO_LAST else super()._others(one, now_ms)

    def _look(self, now_ms: float, anew: bool = False) -> None:
        super()._look(now_ms, True)  # here all reports of a step have one moment
        if self.plant is Plant.NO_SOURCE:
            self.source = {}

    def _behind(self, one: Watched, now_ms: float) -> dict[str, float]:
        found = super()._behind(one, now_ms)
        if self.plant is Plant.APART and one.view.purges != vector_text(self.told.purges):
            found["purges"] = now_ms
        return found

    def _back(self, one: Watched, now_ms: float) -> None:
        if self.plant is not Plant.NEVER_BACK:
            super()._back(one, now_ms)


@dataclass
class Scene:
    """has: what each director has heard; told: what is there to hear, by when; well: how many reports in a
    row a director lacked nothing. elsewhere: the other feed has the purge, so directors may know more than
    this one."""

    plant: Plant = Plant.NONE
    now: int = 0
    told: dict[str, int] = field(default_factory=dict)
    has: dict[str, frozenset[str]] = field(default_factory=lambda: dict.fromkeys(ZONES, frozenset()))
    heard: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ZONES, 0))
    stages: dict[str, Stage] = field(default_factory=lambda: dict.fromkeys(ZONES, Stage.WELL))
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    well: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ZONES, 0))
    judge: _Planted = field(default_factory=lambda: _Planted(LADDER, 0.0))
    elsewhere: bool = False
    moved_up: bool = False
    moved: str = ""  # the director whose verdict came just now

    def copy(self) -> Scene:
        return replace(
            self,
            told=dict(self.told),
            has=dict(self.has),
            heard=dict(self.heard),
            moved="",
            moved_up=False,
            stages=dict(self.stages),
            verdicts=dict(self.verdicts),
            well=dict(self.well),
            judge=self.judge.copy(),
        )

    def key(self) -> object:
        return (
            self.now,
            tuple(sorted(self.told.items())),
            tuple(self.has.values()),
            tuple(self.heard.values()),
            tuple(self.stages.values()),
            tuple(self.well.values()),
            self.moved,
            self.elsewhere,
            tuple((bool(one.well_ms), one.back_ms) for one in self.judge._directors.values()),
        )


def first_scene(plant: Plant) -> Scene:
    scene = Scene(plant)
    scene.judge.plant = plant
    for name, zone in ZONES.items():
        scene.judge.heard(name, zone, view_of(frozenset()), 0.0)
    return scene


def view_of(has: frozenset[str]) -> View:
    return View("main", 2 if "list" in has else 1, "", (), "f:1=1" if "purges" in has else "")


def scene_steps(scene: Scene, most: int = 3) -> Iterator[tuple[str, Scene]]:
    if scene.now < most:
        then = scene.copy()
        then.now += 1
        yield "time passes", then
    for news in NEWS:
        if news not in scene.told and scene.now < 2:
            then = scene.copy()
            then.told[news] = scene.now
            if news == "purges":
                then.judge.told.reached({("f", 1): 1}, scene.now * STEP_MS)
            else:
                then.judge.told.listed("main", 2, scene.now * STEP_MS)
            yield f"{news} told", then
    if not scene.elsewhere and "purges" not in scene.told and scene.now < 2:
        then = scene.copy()
        then.elsewhere = True
        yield "the other feed has a purge", then
    for name in ZONES:
        if scene.heard[name] >= scene.now:
            continue
        may = scene.told.keys() | ({"purges"} if scene.elsewhere else set())
        yield f"{name} reports", _reported(scene, name, scene.has[name])
        unheard = may - scene.has[name]
        for news in sorted(unheard):
            yield f"{name} reports, has heard of {news}", _reported(scene, name, scene.has[name] | {news})
        if len(unheard) > 1:
            yield f"{name} reports, has heard of all", _reported(scene, name, frozenset(may))


def _reported(scene: Scene, name: str, has: frozenset[str]) -> Scene:
    then, now = scene.copy(), scene.now * STEP_MS
    then.heard[name], then.has[name] = scene.now, has
    then.judge.heard(name, ZONES[name], view_of(has), now)
    verdict = then.judge.verdict(name, now)
    then.moved_up = verdict.stage > scene.stages[name]
    then.stages[name], then.verdicts[name], then.moved = verdict.stage, verdict, name
    then.well[name] = 0 if _lacks(then, name) else scene.well[name] + 1
    return then


def _lacks(scene: Scene, name: str) -> bool:
    """Whether a director has not heard of what was told a while ago."""
    return any(scene.now > at and news not in scene.has[name] for news, at in scene.told.items())


def scene_broken(scene: Scene) -> str | None:
    name = scene.moved
    if not name:
        return None
    held = [one for one, stage in scene.stages.items() if stage >= Stage.KEPT]
    if len(held) > 1:  # of three, 0.4 of them
        return f"{', '.join(held)} are held back at once"
    stage, has = scene.stages[name], scene.has[name]
    fresh = [one for one in ZONES if scene.now - scene.heard[one] < 2]
    serving = [one for one in fresh if scene.stages[one] < Stage.EMPTIED and ZONES[one] == ZONES[name]]
    right = "list" in has or "list" not in scene.told
    if stage >= Stage.EMPTIED and right and not serving:
        return f"{name} is emptied, the last of its zone, and right about the list"
    for news, at in scene.told.items():
        lacking = [one for one in fresh if news not in scene.has[one] and scene.now > at]
        others = [n for n in scene.told if n != news and n not in has and scene.now > scene.told[n]]
        if stage >= Stage.KEPT and 2 * len(lacking) > len(fresh) > 1 and name in lacking and not others:
            if all(one in _reported_lacking(scene, news) for one in lacking):
                return f"{name} is held back for what most lack"
    if scene.moved_up and not _lacks(scene, name):
        return f"{name} lacks nothing and is held back"
    if stage >= Stage.KEPT and scene.well[name] >= 3:
        return f"{name} lacks nothing, has said so three times, and is {stage.name.lower()}"
    return None


def _reported_lacking(scene: Scene, news: str) -> list[str]:
    """Who lacks something by what the judge has heard."""
    found = []
    for one in ZONES:
        if scene.heard[one] > scene.told[news] and news not in scene.has[one]:
            found.append(one)
    return found


def searched(plant: Plant, most: int = 0) -> int | str:
    """States, or what was found."""
    try:
        if plant in TENURE_PLANTS:
            start = [Holder(plant)]
            return search(start, Holder.key, lambda s: holder_steps(s, most or 6), holder_broken).states
        first = [first_scene(plant)]
        return search(first, Scene.key, lambda s: scene_steps(s, most or 3), scene_broken).states
    except Violation as error:
        return str(error)


def searched_all(most_tenure: int = 6, most_ladder: int = 3) -> dict[str, int | str]:
    """Without a planted fault: the states of both machines, or what was found."""
    found: dict[str, int | str] = {}
    try:
        found["tenure"] = search(
            [Holder()], Holder.key, lambda s: holder_steps(s, most_tenure), holder_broken
        ).states
        found["ladder"] = search(
            [first_scene(Plant.NONE)], Scene.key, lambda s: scene_steps(s, most_ladder), scene_broken
        ).states
    except Violation as error:
        found["violation"] = str(error)
    return found
