"""View leases and the lag monitor as state machines for `lab.modelcheck`.

The decisions are those of `audit.view_lease` and `audit.lag_monitor`.

The lease: a director sends requests for renewal, a control server replies, replies arrive late or never, the
process is suspended, and its wall clock is set back. An attempt is decided at one time and its first byte
is sent at a later one. The invariant: no byte is sent after the expiry that the server assumes, counted
from its reply.

The escalation: three directors in two zones may report to a monitor, and may be notified of a purge and of
a new list. The invariants concern the share of restricted directors, the last director of a zone, faults of
the source, and that no director which lacks nothing stays restricted. `Plant` names faults that the search
must find.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, auto

from ..audit.director_state import DirectorState
from ..audit.escalation import EscalationPolicy
from ..audit.lag_monitor import LagMonitor
from ..audit.view import View
from ..audit.view_lease import Stage, Verdict, ViewLease
from ..control_plane.positions import format_vector
from .modelcheck import InvariantViolationError, search

TICK_MS = 1_000.0
LENGTH = 2  # ticks of a lease


class Plant(Enum):
    """Planted faults that the searches have to find."""

    NONE = auto()
    # of the lease
    WALL = auto()  # the lease is measured with a clock that is stepped
    FROM_ANSWER = auto()  # the lease is counted from the arrival of the reply
    BY_REPORT = auto()  # the request already renews the lease
    NO_RECHECK = auto()  # the lease is checked when an attempt is decided, not at its first byte
    # of the escalation
    NO_SHARE = auto()
    NO_LAST = auto()  # the last director of a zone may be quarantined
    NO_SOURCE = auto()  # what a majority lacks counts against each director
    NEVER_BACK = auto()
    APART = auto()  # a director ahead of the purge log server counts as lagging


LEASE_PLANTS = (Plant.WALL, Plant.FROM_ANSWER, Plant.BY_REPORT, Plant.NO_RECHECK)
ESCALATION_PLANTS = (Plant.NO_SHARE, Plant.NO_LAST, Plant.NO_SOURCE, Plant.NEVER_BACK, Plant.APART)


# --- the lease


@dataclass
class Holder:
    """A state of the lease. All times are in ticks.

    - `wall`: by how much the wall clock was set back.
    - `until`: when the lease of the director expires.
    - `over`: when the lease expires by the assumption of the server.
    - `asked`: requests in flight, by when they were sent.
    - `answers`: replies in flight, by when the request was sent and when the server replied.
    - `decided`: whether an attempt is waiting for its connection.
    """

    plant: Plant = Plant.NONE
    now: int = 0
    wall: int = 0
    until: int = 0
    over: int = 0
    asked: frozenset[int] = frozenset()
    answers: frozenset[tuple[int, int]] = frozenset()
    decided: bool = False
    acted: bool = False  # a byte was sent in this step

    def key(self) -> object:
        """Identifies the state: states with the same key behave alike."""
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
        """The clock with which the director measures its lease, in ticks."""
        return self.now - (self.wall - 10 if self.plant is Plant.WALL else 0)

    def lease(self) -> ViewLease:
        """The lease of the director."""
        lease = ViewLease()
        lease.expires_ms = self.until * TICK_MS
        return lease

    def granted(self, asked: int) -> int:
        """The tick at which a lease expires that was requested at tick `asked`."""
        lease = self.lease()
        lease.renew(asked * TICK_MS, LENGTH * TICK_MS)
        return int(-(-lease.expires_ms // TICK_MS))  # rounded up: a started tick counts

    def may(self) -> bool:
        """Whether the director may send now, according to its own clock."""
        return self.lease().permits(False, self.clock() * TICK_MS)


def holder_steps(one: Holder, most: int = 6) -> Iterator[tuple[str, Holder]]:
    """Every event that is possible in a state, with the state after it, up to tick `most`."""
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
            "server answers",
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
    """How a state violates the invariant, or None."""
    if one.acted and one.now >= one.over:
        return f"acts at {one.now}, its lease expired at {one.over}"
    return None


# --- the escalation

ZONES = {"d0": "a", "d1": "a", "d2": "b"}
STEP_MS = 3_000.0
POLICY = EscalationPolicy(share=0.4, silent_ms=2 * STEP_MS - 1.0)
NEWS = ("list", "purges")


class _Planted(LagMonitor):
    """The monitor with a planted fault."""

    plant = Plant.NONE

    def copy(self) -> _Planted:
        """A copy, as deep as a search modifies it."""
        other, versions = copy.copy(self), copy.copy(self.versions)
        other._directors = {name: copy.copy(state) for name, state in self._directors.items()}
        other.versions = versions
        versions.purges, versions._streams = dict(versions.purges), dict(versions._streams)
        versions._lists = copy.deepcopy(versions._lists)
        return other

    def _free_restriction_slots(self, now_ms: float) -> int:
        return 9 if self.plant is Plant.NO_SHARE else super()._free_restriction_slots(now_ms)

    def _others_in_zone(self, state: DirectorState, now_ms: float) -> int:
        return 9 if self.plant is Plant.NO_LAST else super()._others_in_zone(state, now_ms)

    def _refresh_majority(self, now_ms: float, force: bool = False) -> None:
        del force
        super()._refresh_majority(now_ms, True)  # all reports of a step have the same time here
        if self.plant is Plant.NO_SOURCE:
            self.lacked_by_majority = {}

    def _lagging_ms(self, state: DirectorState, now_ms: float) -> dict[str, float]:
        found = super()._lagging_ms(state, now_ms)
        if self.plant is Plant.APART and state.view.purges != format_vector(self.versions.purges):
            found["purges"] = now_ms
        return found

    def _readmit(self, state: DirectorState, now_ms: float) -> None:
        if self.plant is not Plant.NEVER_BACK:
            super()._readmit(state, now_ms)


@dataclass
class Scene:
    """A state of the escalation.

    - `announced`: what directors should have been notified of, by when it was announced.
    - `has`: what each director has been notified of.
    - `heard`: when each director reported last.
    - `well`: the number of successive reports in which a director lacked nothing.
    - `elsewhere`: the other server has the purge, so directors may know more than this one.
    """

    plant: Plant = Plant.NONE
    now: int = 0
    announced: dict[str, int] = field(default_factory=dict)
    has: dict[str, frozenset[str]] = field(default_factory=lambda: dict.fromkeys(ZONES, frozenset()))
    heard: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ZONES, 0))
    stages: dict[str, Stage] = field(default_factory=lambda: dict.fromkeys(ZONES, Stage.HEALTHY))
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    well: dict[str, int] = field(default_factory=lambda: dict.fromkeys(ZONES, 0))
    monitor: _Planted = field(default_factory=lambda: _Planted(POLICY, 0.0))
    elsewhere: bool = False
    moved_up: bool = False
    moved: str = ""  # the director whose verdict was made in this step

    def copy(self) -> Scene:
        """A copy that shares no mutable state."""
        return replace(
            self,
            announced=dict(self.announced),
            has=dict(self.has),
            heard=dict(self.heard),
            moved="",
            moved_up=False,
            stages=dict(self.stages),
            verdicts=dict(self.verdicts),
            well=dict(self.well),
            monitor=self.monitor.copy(),
        )

    def key(self) -> object:
        """Identifies the state: states with the same key behave alike."""
        return (
            self.now,
            tuple(sorted(self.announced.items())),
            tuple(self.has.values()),
            tuple(self.heard.values()),
            tuple(self.stages.values()),
            tuple(self.well.values()),
            self.moved,
            self.elsewhere,
            tuple((bool(one.caught_up_ms), one.readmit_after_ms) for one in self.monitor._directors.values()),
        )


def first_scene(plant: Plant) -> Scene:
    """The first state, in which all directors have reported an empty view."""
    scene = Scene(plant)
    scene.monitor.plant = plant
    for name, zone in ZONES.items():
        scene.monitor.observe(name, zone, view_of(frozenset()), 0.0)
    return scene


def view_of(has: frozenset[str]) -> View:
    """The view of a director that has been notified of these."""
    return View("main", 2 if "list" in has else 1, "", (), "f:1=1" if "purges" in has else "")


def scene_steps(scene: Scene, most: int = 3) -> Iterator[tuple[str, Scene]]:
    """Every event that is possible in a state, with the state after it, up to step `most`."""
    if scene.now < most:
        then = scene.copy()
        then.now += 1
        yield "time passes", then
    for news in NEWS:
        if news not in scene.announced and scene.now < 2:
            then = scene.copy()
            then.announced[news] = scene.now
            if news == "purges":
                then.monitor.versions.announce_purges({("f", 1): 1}, scene.now * STEP_MS)
            else:
                then.monitor.versions.announce_list("main", 2, scene.now * STEP_MS)
            yield f"{news} announced", then
    if not scene.elsewhere and "purges" not in scene.announced and scene.now < 2:
        then = scene.copy()
        then.elsewhere = True
        yield "the other server has a purge", then
    for name in ZONES:
        if scene.heard[name] >= scene.now:
            continue
        may = scene.announced.keys() | ({"purges"} if scene.elsewhere else set())
        yield f"{name} reports", _reported(scene, name, scene.has[name])
        unheard = may - scene.has[name]
        for news in sorted(unheard):
            yield f"{name} reports, has heard of {news}", _reported(scene, name, scene.has[name] | {news})
        if len(unheard) > 1:
            yield f"{name} reports, has heard of all", _reported(scene, name, frozenset(may))


def _reported(scene: Scene, name: str, has: frozenset[str]) -> Scene:
    then, now = scene.copy(), scene.now * STEP_MS
    then.heard[name], then.has[name] = scene.now, has
    then.monitor.observe(name, ZONES[name], view_of(has), now)
    verdict = then.monitor.verdict(name, now)
    then.moved_up = verdict.stage > scene.stages[name]
    then.stages[name], then.verdicts[name], then.moved = verdict.stage, verdict, name
    then.well[name] = 0 if _lacks(then, name) else scene.well[name] + 1
    return then


def _lacks(scene: Scene, name: str) -> bool:
    """Whether a director lacks something that was announced in an earlier step."""
    return any(scene.now > at and news not in scene.has[name] for news, at in scene.announced.items())


def scene_broken(scene: Scene) -> str | None:
    """Which invariant a state violates, or None."""
    name = scene.moved
    if not name:
        return None
    restricted = [one for one, stage in scene.stages.items() if stage >= Stage.RESTRICTED]
    if len(restricted) > 1:  # the share 0.4 allows one of three
        return f"{', '.join(restricted)} are restricted at once"
    stage, has = scene.stages[name], scene.has[name]
    fresh = [one for one in ZONES if scene.now - scene.heard[one] < 2]
    serving = [one for one in fresh if scene.stages[one] < Stage.DRAINED and ZONES[one] == ZONES[name]]
    right = "list" in has or "list" not in scene.announced
    if stage >= Stage.DRAINED and right and not serving:
        return f"{name} is drained, the last of its zone, and right about the list"
    for news, at in scene.announced.items():
        lacking = [one for one in fresh if news not in scene.has[one] and scene.now > at]
        others = [n for n in scene.announced if n != news and n not in has and scene.now > scene.announced[n]]
        if stage >= Stage.RESTRICTED and 2 * len(lacking) > len(fresh) > 1 and name in lacking and not others:
            if all(one in _reported_lacking(scene, news) for one in lacking):
                return f"{name} is restricted for what most lack"
    if scene.moved_up and not _lacks(scene, name):
        return f"{name} lacks nothing and is restricted"
    if stage >= Stage.RESTRICTED and scene.well[name] >= 3:
        return f"{name} lacks nothing, has said so three times, and is {stage.label}"
    return None


def _reported_lacking(scene: Scene, news: str) -> list[str]:
    """The directors that lack something according to their reports."""
    found = []
    for one in ZONES:
        if scene.heard[one] > scene.announced[news] and news not in scene.has[one]:
            found.append(one)
    return found


def searched(plant: Plant, most: int = 0) -> int | str:
    """The number of states, or the violation that was found."""
    try:
        if plant in LEASE_PLANTS:
            start = [Holder(plant)]
            return search(start, Holder.key, lambda s: holder_steps(s, most or 6), holder_broken).states
        first = [first_scene(plant)]
        return search(first, Scene.key, lambda s: scene_steps(s, most or 3), scene_broken).states
    except InvariantViolationError as error:
        return str(error)


def searched_all(most_lease: int = 6, most_escalation: int = 3) -> dict[str, int | str]:
    """Searches without a planted fault: the numbers of states, or the violation that was found."""
    found: dict[str, int | str] = {}
    try:
        found["lease"] = search(
            [Holder()], Holder.key, lambda s: holder_steps(s, most_lease), holder_broken
        ).states
        found["escalation"] = search(
            [first_scene(Plant.NONE)], Scene.key, lambda s: scene_steps(s, most_escalation), scene_broken
        ).states
    except InvariantViolationError as error:
        found["violation"] = str(error)
    return found
