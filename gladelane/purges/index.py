"""For a request, the newest moment that any active purge sets.

Boxes are filed by facet: class, group and a dyadic range of parts, each given or not. A look-up asks the few
facets that a request falls under; each holds single objects in a dict, ranges of objects in a step map, and
globs by their mask. So it costs dict look-ups and bisections, however many purges stand. Nothing depends on
the order of adding, since all that is kept are joins (`bounds`). Single objects that a wider, newer purge
covers stay until they expire: the newest moment wins, and a sweep costs nothing for each request.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import TypeVar

from ..interface import PurgeIndex
from ..structures.stepmap import StepMap
from .bounds import NOTHING, Bound, in_force, join, newest
from .scope import OBJECT_MOST, PART_MOST, Box, Scope

MAX_MASKS = 64  # different masks of globs: each costs every look-up of its facet
MAX_RANGE_GLOBS = 64  # boxes of a glob within a range, which are looked through one by one
PART_LEVELS = PART_MOST.bit_length()
_FOREVER = float("inf")
Key = TypeVar("Key")
#: conditions that a facet has: class, group, and its range of parts, 2 ** level long, -1: all parts
Shape = tuple[bool, bool, int]
Name = tuple[str, int, int]  # class, group, number of the range of parts


class UnsupportedPattern(ValueError):
    """A scope that would slow every look-up down. The purge that has it is refused, or widened by who takes
    it."""


class Facet:
    """All boxes of one class, group and dyadic range of parts."""

    __slots__ = ("objects", "ranges", "globs", "range_globs", "ended")

    def __init__(self) -> None:
        self.objects: dict[int, Bound] = {}
        self.ranges: StepMap[Bound] | None = None
        self.globs: dict[int, dict[int, Bound]] = {}  # by mask, then value
        self.range_globs: dict[tuple[int, int, int, int], Bound] = {}
        self.ended = 0  # ranges that ended since they were gone through

    def add(self, box: Box, bound: Bound) -> None:
        if box.mask and (box.low, box.high) != (0, OBJECT_MOST):
            key = box.low, box.high, box.mask, box.value
            self.range_globs[key] = join(self.range_globs.get(key, NOTHING), bound)
        elif box.mask:
            values = self.globs.setdefault(box.mask, {})
            values[box.value] = join(values.get(box.value, NOTHING), bound)
        elif box.low == box.high:
            self.objects[box.low] = join(self.objects.get(box.low, NOTHING), bound)
        else:
            if self.ranges is None:
                self.ranges = StepMap(NOTHING, join)
            self.ranges.join(box.low, box.high, bound)

    def expire(self, box: Box, now: float) -> None:
        """Drops what no longer binds where one box was filed. Ranges are gone through once enough have ended:
        until then their steps are passed over by `newest`."""
        if box.mask and (box.low, box.high) != (0, OBJECT_MOST):
            _left(self.range_globs, (box.low, box.high, box.mask, box.value), now)
        elif box.mask:
            values = self.globs.get(box.mask, {})
            _left(values, box.value, now)
            if not values:
                self.globs.pop(box.mask, None)
        elif box.low == box.high:
            _left(self.objects, box.low, now)
        elif self.ranges is not None:
            self.ended += 1
            if self.ended * 4 >= len(self.ranges):
                self.ended = 0
                self.ranges.keep(lambda bound: in_force(bound, now))
                if len(self.ranges) == 1 and not self.ranges.at(0):
                    self.ranges = None

    def empty(self) -> bool:
        return not (self.objects or self.globs or self.range_globs or self.ranges is not None)


def _left(bounds: dict[Key, Bound], key: Key, now: float) -> None:
    left = in_force(bounds.get(key, NOTHING), now)
    if left:
        bounds[key] = left
    else:
        bounds.pop(key, None)


def dyadic(low: int, high: int) -> Iterator[tuple[int, int]]:
    """A range of parts as the fewest (level, number) with level-sized pieces: number * 2 ** level and so
    on."""
    high += 1
    while low < high:
        level = min((low & -low).bit_length() - 1 if low else PART_LEVELS, (high - low).bit_length() - 1)
        yield level, low >> level
        low += 1 << level


class Index:
    """`add` takes what stands, `newest` answers for a request, `expire` forgets.

    Objects are numbers from 0 to 2 ** 64 - 1, groups 0 to 255, parts 0 to 2 ** 31; times are Unix ms."""

    def __init__(self) -> None:
        self._shapes: dict[Shape, dict[Name, Facet]] = {}
        self._masks: dict[int, int] = {}  # each with how many facets have it
        self._range_globs = 0
        self._due: list[tuple[float, Shape, Name, Box]] = []  # a heap: what ends next, and where it is filed

    def __len__(self) -> int:
        """Entries held: what is joined into one counts once."""
        return sum(
            len(f.objects)
            + len(f.range_globs)
            + sum(map(len, f.globs.values()))
            + (sum(1 for _, bound in f.ranges.steps() if bound) if f.ranges is not None else 0)
            for f in self._facets()
        )

    def _facets(self) -> Iterator[Facet]:
        return (facet for facets in self._shapes.values() for facet in facets.values())

    def check(self, scope: Scope) -> None:
        """Raises UnsupportedPattern where adding it would slow look-ups down for good."""
        if len(scope.boxes) == 1 and not scope.boxes[0].mask:
            return
        masks = {box.mask for box in scope.boxes if box.mask}
        if not masks:
            return
        range_globs = sum(1 for box in scope.boxes if box.mask and (box.low, box.high) != (0, OBJECT_MOST))
        if len(masks | self._masks.keys()) > MAX_MASKS:
            raise UnsupportedPattern(
                f"more than {MAX_MASKS} forms of patterns stand; expected a prefix or a range"
            )
        if self._range_globs + range_globs > MAX_RANGE_GLOBS:
            raise UnsupportedPattern(
                f"more than {MAX_RANGE_GLOBS} patterns within ranges stand; expected one or the other"
            )

    def add(self, scope: Scope, at: float, until: float = _FOREVER) -> None:
        """Copies from before `at` are out of date, until then. Raises UnsupportedPattern and changes
        nothing."""
        self.check(scope)
        bound: Bound = ((at, until),)
        for box in scope.boxes:
            if (box.part_low, box.part_high) == (0, PART_MOST):
                self._add(box, -1, 0, bound)
                continue
            for level, number in dyadic(box.part_low, box.part_high):
                self._add(box, level, number, bound)

    def add_one(self, object_: int, group: int, at: float, until: float) -> None:
        """One object, or below 0 a whole group: what the notice board tells."""
        box = Box(low=object_, high=object_) if object_ >= 0 else Box(group=group)
        self._add(box, -1, 0, ((at, until),))

    def _add(self, box: Box, level: int, number: int, bound: Bound) -> None:
        shape = box.cls != "", box.group >= 0, level
        name = box.cls, box.group, number
        facets = self._shapes.setdefault(shape, {})
        facet = facets.get(name)
        if facet is None:
            facet = facets[name] = Facet()
        if box.mask:
            self._count_masks(facet, -1)
            facet.add(box, bound)
            self._count_masks(facet, 1)
        else:
            facet.add(box, bound)
        until = bound[0][1]
        if until < _FOREVER:
            heapq.heappush(self._due, (until, shape, name, box))

    def _count_masks(self, facet: Facet, by: int) -> None:
        """Takes a facet's patterns out of the count, or puts them in."""
        self._range_globs += by * len(facet.range_globs)
        for mask in facet.globs:
            count = self._masks.get(mask, 0) + by
            if count:
                self._masks[mask] = count
            else:
                del self._masks[mask]

    def newest(self, cls: str, group: int, object_: int, part: int, now: float) -> float:
        """The newest moment from before which no copy may be served, 0: none."""
        # the one hot path here: written out, since each call inside would cost as much as what it does
        at = 0.0
        for (by_class, by_group, level), facets in self._shapes.items():
            facet = facets.get(
                (cls if by_class else "", group if by_group else -1, part >> level if level >= 0 else 0)
            )
            if facet is None:
                continue
            bound = facet.objects.get(object_)
            if bound is not None and bound[0][0] > at:
                at = max(at, newest(bound, now))
            if facet.ranges is not None:
                bound = facet.ranges.at(object_)
                if bound and bound[0][0] > at:
                    at = max(at, newest(bound, now))
            if facet.globs:
                for mask, values in facet.globs.items():
                    bound = values.get(object_ & mask)
                    if bound is not None and bound[0][0] > at:
                        at = max(at, newest(bound, now))
            if facet.range_globs:
                for (low, high, mask, value), bound in facet.range_globs.items():
                    if low <= object_ <= high and object_ & mask == value:
                        at = max(at, newest(bound, now))
        return at

    def covers(self, box: Box, at: float) -> bool:
        """Whether all of a box is bound by something as new that lasts for ever: it would add nothing. Says
        no where only several facets together do."""
        for (by_class, by_group, level), facets in self._shapes.items():
            number = box.part_low >> level if level >= 0 else 0
            inside = level < 0 or box.part_high >> level == number
            facet = facets.get((box.cls if by_class else "", box.group if by_group else -1, number))
            if facet is None or not inside:
                continue
            if box.low == box.high and (bound := facet.objects.get(box.low)) and bound[0][0] >= at:
                return True
            if facet.ranges is not None and all(
                bound and bound[0][0] >= at for bound in facet.ranges.within(box.low, box.high)
            ):
                return True
        return False

    def expire(self, now: float, most: int = 256) -> int:
        """Forgets what ended, so many at most, so that no call takes long; gives how many."""
        gone = 0
        while self._due and self._due[0][0] <= now and gone < most:
            _, shape, name, box = heapq.heappop(self._due)
            gone += 1
            facets = self._shapes.get(shape, {})
            facet = facets.get(name)
            if facet is None:
                continue
            self._count_masks(facet, -1)
            facet.expire(box, now)
            self._count_masks(facet, 1)
            if facet.empty():
                del facets[name]
                if not facets:
                    del self._shapes[shape]
        return gone


def scope_index(index: PurgeIndex) -> Index:
    """A router's index as the one that takes scopes. Raises TypeError for any other."""
    if not isinstance(index, Index):
        raise TypeError(f"{type(index).__name__} takes no scopes; expected {Index.__name__}")
    return index
