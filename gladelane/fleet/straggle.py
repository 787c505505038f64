"""Who is behind, in what and for how long, and what becomes of it. Pure; one judge a feed.

A director is judged by the view that it reported against what was told *and when*: a notice of the list
counts as told when the first director reported it, a purge or a loss when this feed had stored it, an
operator's word from the moment that it names. What was told less than `lag_ms` ago nobody lacks.

The ladder, by how long a director has been behind: told, follows again from the beginning, kept from strict
classes, emptied, out. Three things hold it back:

- Where most directors lack the same, the fault is the source's: all are told, none is moved further. Where
  most are silent, too few are heard to judge by: none is held back.
- Never more than `share` of the fleet is kept, emptied or out at once; a director that is silent counts,
  since it has shut itself out. Feeds share nothing, so each has its part of that share.
- The last of a zone that serves is not emptied or shut out unless it is wrong about all that it serves, that
  is about the list; it is kept from strict classes at the most.

Back it comes once it lacks nothing for `back_ms`, twice as long after each relapse within a minute; at once
where it caught up within `again_ms` and had not lacked anything lately, as one does that slept.
"""

from __future__ import annotations

import math
from array import array
from bisect import bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping

import msgspec

from ..control.positions import BadPosition, Stream, Vector, vector_text
from .tenure import Lacks, Stage, Verdict
from .view import View, positions
from .wire import Expect

MOST_REVS = 4_096
MOST_STREAM = 100_000  # moments kept of one stream's purges
KNOWN_MS = 60_000.0  # for which a director that was heard of counts as one of the fleet
RELAPSE_MS, BACK_MOST = 60_000.0, 32.0
LOOK_MS = 100.0
EXPECTED = ("settings", "operator", "program")
SERVES = Stage.EMPTIED  # from here on a director serves nobody


class Ladder(msgspec.Struct, frozen=True):
    """Since when behind each stage begins, in ms; silent_ms: without a report for so long a director has shut
    itself out."""

    lag_ms: float = 500.0
    again_ms: float = 1_000.0
    kept_ms: float = 2_000.0
    emptied_ms: float = 4_000.0
    out_ms: float = 8_000.0
    back_ms: float = 1_000.0
    share: float = 0.25
    silent_ms: float = 3_000.0

    def stage(self, behind_ms: float) -> Stage:
        bounds = (self.out_ms, self.emptied_ms, self.kept_ms, self.again_ms, self.lag_ms)
        for bound, stage in zip(bounds, sorted(Stage, reverse=True), strict=False):
            if behind_ms > bound:
                return stage
        return Stage.WELL


def ladder_of(behind_ms: float, share: float, tenure_ms: float) -> Ladder:
    """The steps in their usual parts of the time after which a director is shut out."""
    usual = Ladder()
    part = behind_ms / usual.out_ms
    return Ladder(
        min(usual.lag_ms, usual.lag_ms * part),
        usual.again_ms * part,
        usual.kept_ms * part,
        usual.emptied_ms * part,
        behind_ms,
        usual.back_ms,
        share,
        tenure_ms,
    )


class Told:
    """What was told and when, by one feed's clock."""

    def __init__(self, now_ms: float) -> None:
        self.purges: dict[Stream, int] = {}
        self.horizon_ms, self.horizon_at = 0.0, now_ms
        self.expects: dict[str, Expect] = {}
        self._began_ms = now_ms
        self._lists: dict[str, tuple[list[int], list[float]]] = {}  # by board: revisions, first heard
        self._stored: dict[Stream, tuple[int, array[float]]] = {}  # the first number, and each one's moment

    def listed(self, board: str, rev: int, now_ms: float) -> None:
        revs, at = self._lists.setdefault(board, ([], []))
        if not revs or rev > revs[-1]:
            revs.append(rev)
            at.append(now_ms)
            if len(revs) > MOST_REVS:
                del revs[: MOST_REVS // 2], at[: MOST_REVS // 2]

    def reached(self, vector: Vector, now_ms: float) -> None:
        """This feed has stored purges so far."""
        for stream, last in vector.items():
            known = self.purges.get(stream, 0)
            if last <= known:
                continue
            first, at = self._stored.setdefault(stream, (known + 1, array("d")))
            at.extend([now_ms] * (last - known))
            if len(at) > MOST_STREAM:
                gone = len(at) - MOST_STREAM // 2
                self._stored[stream] = first + gone, at[gone:]
            self.purges[stream] = last

    def horizon(self, moment_ms: float, now_ms: float) -> None:
        if moment_ms != self.horizon_ms:
            self.horizon_ms, self.horizon_at = moment_ms, now_ms

    def expect(self, word: Expect) -> bool:
        """Whether it is newer than what was known."""
        known = self.expects.get(word.part)
        if known is not None and (known.since_ms, known.digests) >= (word.since_ms, word.digests):
            return False
        self.expects[word.part] = word
        return True

    def newest(self, board: str) -> int:
        revs, _ = self._lists.get(board, ((), ()))
        return revs[-1] if revs else 0

    def behind(self, view: View) -> dict[str, float]:
        """What a view lacks, each with the moment at which it was told."""
        found: dict[str, float] = {}
        revs, at = self._lists.get(view.board, ([], []))
        place = bisect_right(revs, view.rev)
        if place < len(revs):
            found["list"] = at[place]
        try:
            since = self._purges_since(positions(view.purges))
        except BadPosition:
            since = self._began_ms
        if since < math.inf:
            found["purges"] = since
        if view.horizon_ms < self.horizon_ms:
            found["horizon"] = self.horizon_at
        for part, word in self.expects.items():
            if word.digests and getattr(view, part) not in word.digests:
                found[part] = word.since_ms
        return found

    def _purges_since(self, vector: Vector) -> float:
        since = math.inf
        for stream, last in self.purges.items():
            has = vector.get(stream, 0)
            if has >= last:
                continue
            first, at = self._stored[stream]
            moment = at[has + 1 - first] if has + 1 >= first else self._began_ms
            since = min(since, moment)
        return since

    def lacks(self, view: View, parts: Iterable[str]) -> Lacks:
        """What a view must have to lack these parts no longer."""
        parts = set(parts)
        words = {part: word.digests for part, word in self.expects.items() if part in parts}
        return Lacks(
            view.board,
            self.newest(view.board) if "list" in parts else 0,
            "",
            vector_text(self.purges) if "purges" in parts else "",
            self.horizon_ms if "horizon" in parts else 0.0,
            **words,
        )


class Watched:
    """A director as its judge sees it."""

    __slots__ = (
        "zone",
        "view",
        "heard_ms",
        "behind",
        "stage",
        "why",
        "lacks",
        "well_ms",
        "back_ms",
        "returned_ms",
        "start",
        "mine",
        "held_ms",
        "relapsed",
    )

    def __init__(self) -> None:
        self.zone = ""
        self.view = View()
        self.heard_ms = 0.0
        self.behind: dict[str, float] = {}
        self.stage = Stage.WELL
        self.why = ""
        self.lacks = Lacks()
        self.well_ms = 0.0  # since when it lacks nothing while it is not let back yet, 0: it lacks something
        self.back_ms = 0.0  # for which it has to
        self.returned_ms = -RELAPSE_MS
        self.start = 0
        self.mine = False  # this feed judged it last
        self.held_ms = -RELAPSE_MS  # when it was moved past being told
        self.relapsed = False  # a while after it had been let back


class Explained(msgspec.Struct):
    """One director as this feed judges it."""

    director: str
    zone: str
    stage: str
    why: str
    behind_ms: dict[str, float]
    heard_ms: float  # ago
    next: str
    lets_back_ms: float
    relapses_back_ms: float


class Judge:
    """rank, feeds: this feed's place among those that judge, and how many there are."""

    def __init__(self, ladder: Ladder, now_ms: float, rank: int = 0, feeds: int = 1) -> None:
        self.ladder, self.rank, self.feeds = ladder, rank, feeds
        self.told = Told(now_ms)
        self.alone = False  # no other feed is heard: what operators said meanwhile may be unknown here
        self.source: dict[str, int] = {}  # parts that most lack, and how many do
        self.few = False  # most are silent
        self._directors: dict[str, Watched] = {}
        self._looked_ms = -LOOK_MS

    # --- hearing

    def heard(
        self,
        director: str,
        zone: str,
        view: View,
        now_ms: float,
        start: int = 0,
        elsewhere: Stage | None = None,
    ) -> None:
        """A view that a director reported, here or to another feed, with the stage that it was given there.
        Of two starts of one name the newer is judged."""
        one = self._directors.setdefault(director, Watched())
        if start < one.start or now_ms < one.heard_ms:
            return
        one.zone, one.view, one.heard_ms, one.start = zone, view, now_ms, start
        one.mine = elsewhere is None
        if elsewhere is not None:
            one.stage = elsewhere
        self.told.listed(view.board, view.rev, now_ms)

    def left(self, director: str) -> None:
        """Its process ended on purpose."""
        self._directors.pop(director, None)

    def verdict(self, director: str, now_ms: float) -> Verdict:
        """Of the view that was heard last; for the feed that the director reports to."""
        one = self._directors[director]
        self._look(now_ms)
        was = one.stage
        one.behind = self._behind(one, now_ms)
        if one.behind:
            self._forward(one, now_ms)
        elif was > Stage.TOLD:
            self._back(one, now_ms)
        else:
            one.stage, one.why, one.lacks, one.well_ms = Stage.WELL, "", Lacks(), 0.0
        returning = bool(one.well_ms) and one.stage is not Stage.WELL
        return Verdict(one.stage, one.why, one.lacks, returning)

    def _behind(self, one: Watched, now_ms: float) -> dict[str, float]:
        """For how long it has lacked what, in ms; only what has been told for longer than the lag."""
        found = {part: now_ms - since for part, since in self.told.behind(one.view).items()}
        return {part: age for part, age in found.items() if age > self.ladder.lag_ms}

    def _look(self, now_ms: float, anew: bool = False) -> None:
        """Which parts most of those that are heard lack; looked at again after a while, since each look is at
        the whole fleet."""
        if not anew and 0.0 <= now_ms - self._looked_ms < LOOK_MS:
            return
        self._looked_ms = now_ms
        counts: Counter[str] = Counter()
        heard = known = 0
        for one in self._directors.values():
            known += now_ms - one.heard_ms <= KNOWN_MS
            if now_ms - one.heard_ms <= self.ladder.silent_ms:
                heard += 1
                counts.update(self._behind(one, now_ms).keys())
        self.source = {part: count for part, count in counts.items() if 2 * count > heard and heard > 1}
        self.few = 2 * heard <= known and known > 1

    def _forward(self, one: Watched, now_ms: float) -> None:
        if one.well_ms:
            one.well_ms = 0.0
        most = max(one.behind.values())
        wanted = self.ladder.stage(most)
        parts = sorted(one.behind)
        why = f"lacks {', '.join(parts)} for {most / 1000.0:.1f} s"
        allowed, held = self._allowed(one, wanted, now_ms)
        if not held:  # what it lacks now may be younger: that alone lets nobody back
            allowed = max(allowed, one.stage)
        if allowed > one.stage and one.stage <= Stage.TOLD and allowed > Stage.TOLD:
            relapsed = now_ms - one.returned_ms < RELAPSE_MS
            before = one.back_ms if relapsed else 0.0
            one.back_ms = min(max(2.0 * before, self.ladder.back_ms), BACK_MOST * self.ladder.back_ms)
            one.held_ms, one.relapsed = now_ms, relapsed
        one.stage = allowed
        one.why = f"{why}; {held}" if held else why
        one.lacks = self.told.lacks(one.view, parts)

    def _allowed(self, one: Watched, wanted: Stage, now_ms: float) -> tuple[Stage, str]:
        """How far it is moved, and what holds it back."""
        if wanted <= Stage.TOLD:
            return wanted, ""
        if wanted >= Stage.KEPT > one.stage:
            self._look(now_ms, anew=True)
        theirs = {part for part in one.behind if part not in self.source}
        if not theirs:
            most = ", ".join(f"{part} by {count}" for part, count in sorted(self.source.items()))
            return Stage.TOLD, f"the source's fault: lacked by most ({most})"
        if self.few:
            return min(wanted, Stage.AGAIN), "most of the fleet is silent: too few are heard to judge by"
        if self.alone and theirs <= set(EXPECTED):
            return min(wanted, Stage.AGAIN), "this feed hears no other: operators may have said otherwise"
        if wanted > Stage.AGAIN and one.stage <= Stage.AGAIN and self._slots(now_ms) <= 0:
            return Stage.AGAIN, "the share of the fleet that may be held back is used up"
        if wanted >= SERVES and "list" not in theirs and not self._others(one, now_ms):
            return Stage.KEPT, f"the last that serves zone {one.zone}, and right about the list"
        return wanted, ""

    def _back(self, one: Watched, now_ms: float) -> None:
        one.well_ms = one.well_ms or now_ms
        # one that woke and has heard all by its next report was behind for no fault of its own
        slept = not one.relapsed and now_ms - one.held_ms < self.ladder.again_ms
        if not slept and now_ms - one.well_ms < one.back_ms:
            well_s, back_s = (now_ms - one.well_ms) / 1000.0, one.back_ms / 1000.0
            one.why = f"lacks nothing, for {well_s:.1f} of {back_s:.1f} s"
            if one.stage >= SERVES and not self._others(one, now_ms):
                one.stage = Stage.KEPT  # nobody else serves its zone, and it is right about the list now
            return
        one.stage, one.why, one.lacks, one.well_ms = Stage.WELL, "", Lacks(), 0.0
        one.returned_ms = now_ms

    def _slots(self, now_ms: float) -> int:
        """How many more this feed may hold back."""
        known = [one for one in self._directors.values() if now_ms - one.heard_ms <= KNOWN_MS]
        most = max(int(self.ladder.share * len(known)), 1)
        part = most // self.feeds + (self.rank < most % self.feeds)
        held = [one for one in known if one.stage >= Stage.KEPT]
        silent = sum(
            one.stage < Stage.KEPT and now_ms - one.heard_ms > self.ladder.silent_ms for one in known
        )
        return min(part - sum(one.mine for one in held), most - len(held) - silent)

    def _others(self, one: Watched, now_ms: float) -> int:
        """How many others serve its zone."""
        return sum(
            other is not one
            and other.zone == one.zone
            and other.stage < SERVES
            and now_ms - other.heard_ms <= self.ladder.silent_ms
            for other in self._directors.values()
        )

    # --- seen

    def stragglers(self, now_ms: float) -> list[Explained]:
        """All that are not well, the furthest first."""
        told = [self.explain(name, now_ms) for name in sorted(self._directors)]
        order = {stage.name.lower(): -stage for stage in Stage}
        return sorted(
            (one for one in told if one.stage != "well" or one.behind_ms or one.next == "silent"),
            key=lambda one: order.get(one.stage, 0),
        )

    def explain(self, director: str, now_ms: float) -> Explained:
        """Raises KeyError for one that nobody has heard of."""
        one = self._directors[director]
        behind = self._behind(one, now_ms)
        silent = now_ms - one.heard_ms > self.ladder.silent_ms
        return Explained(
            director,
            one.zone,
            one.stage.name.lower(),
            one.why,
            behind,
            now_ms - one.heard_ms,
            "silent" if silent else self._next(behind),
            max(one.back_ms - (now_ms - one.well_ms), 0.0) if one.well_ms else 0.0,
            one.back_ms,
        )

    def _next(self, behind: Mapping[str, float]) -> str:
        if not behind:
            return ""
        most, ladder = max(behind.values()), self.ladder
        steps = (
            (ladder.again_ms, "again"),
            (ladder.kept_ms, "kept"),
            (ladder.emptied_ms, "emptied"),
            (ladder.out_ms, "out"),
        )
        for bound, word in steps:
            if most <= bound:
                return f"{word} in {(bound - most) / 1000.0:.1f} s"
        return ""

    def forget(self, now_ms: float) -> None:
        for name in [n for n, one in self._directors.items() if now_ms - one.heard_ms > 10 * KNOWN_MS]:
            del self._directors[name]

    def held_back(self) -> int:
        return sum(one.stage >= Stage.KEPT for one in self._directors.values())
