"""A facet: the boxes of one class, group and range of parts, filed by how they select objects."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import NamedTuple, TypeVar

from ..structures.step_map import StepMap
from .bounds import NO_BOUND, Bound, join, newest, still_binding
from .scope import Box

EXPIRY_SHARE = 4  # the step map is cleaned once at least one in so many of its ranges has ended
Key = TypeVar("Key", bound=Hashable)


class RangeGlob(NamedTuple):
    """A glob within a range of ids."""

    low: int
    high: int
    mask: int
    value: int


class Facet:
    """The bounds of one facet. A look-up costs one or two dict look-ups and a bisection.

    Attributes: objects, bounds of single objects; ranges, of ranges of ids, or None if there is none; globs,
    by mask and then by value; range_globs, of globs within ranges. `Index.newest` reads them directly."""

    __slots__ = ("objects", "ranges", "globs", "range_globs", "_ended_ranges")

    def __init__(self) -> None:
        """Creates an empty facet."""
        self.objects: dict[int, Bound] = {}
        self.ranges: StepMap[Bound] | None = None
        self.globs: dict[int, dict[int, Bound]] = {}
        self.range_globs: dict[RangeGlob, Bound] = {}
        self._ended_ranges = 0  # since the step map was cleaned

    def __len__(self) -> int:
        """Returns the number of entries; boxes that were joined into one count once."""
        globs = sum(len(values) for values in self.globs.values())
        ranges = 0 if self.ranges is None else sum(1 for _, bound in self.ranges.steps() if bound)
        return len(self.objects) + len(self.range_globs) + globs + ranges

    def add(self, box: Box, bound: Bound) -> None:
        """Joins a bound to those of a box."""
        if box.mask and not box.has_all_objects():
            _join_at(self.range_globs, _range_glob_of(box), bound)
        elif box.mask:
            _join_at(self.globs.setdefault(box.mask, {}), box.value, bound)
        elif box.low == box.high:
            _join_at(self.objects, box.low, bound)
        else:
            if self.ranges is None:
                self.ranges = StepMap(NO_BOUND, join)
            self.ranges.join(box.low, box.high, bound)

    def expire(self, box: Box, now_ms: float) -> None:
        """Drops the limits that have ended from the entry of one box.

        The step map is cleaned as a whole, once enough ranges have ended. Until then `bounds.newest` skips
        the limits that have ended."""
        if box.mask and not box.has_all_objects():
            _expire_at(self.range_globs, _range_glob_of(box), now_ms)
        elif box.mask:
            values = self.globs.get(box.mask, {})
            _expire_at(values, box.value, now_ms)
            if not values:
                self.globs.pop(box.mask, None)
        elif box.low == box.high:
            _expire_at(self.objects, box.low, now_ms)
        elif self.ranges is not None:
            self._expire_ranges(self.ranges, now_ms)

    def _expire_ranges(self, ranges: StepMap[Bound], now_ms: float) -> None:
        self._ended_ranges += 1
        if self._ended_ranges * EXPIRY_SHARE < len(ranges):
            return
        self._ended_ranges = 0
        ranges.update_values(lambda bound: still_binding(bound, now_ms))
        if len(ranges) == 1 and not ranges.at(0):
            self.ranges = None

    def newest_of_range_globs(self, object_: int, now_ms: float) -> float:
        """Returns the newest moment that a glob within a range sets for an object, in Unix ms, or 0.0."""
        matching = (
            bound
            for glob, bound in self.range_globs.items()
            if glob.low <= object_ <= glob.high and object_ & glob.mask == glob.value
        )
        return max((newest(bound, now_ms) for bound in matching), default=0.0)

    def covers_objects(self, box: Box, at_ms: float) -> bool:
        """Returns whether every object of a box has a limit at `at_ms` or later. Globs are not considered."""
        if box.low == box.high and _binds_from(self.objects.get(box.low, NO_BOUND), at_ms):
            return True
        return self.ranges is not None and _all_bind_from(self.ranges.within(box.low, box.high), at_ms)

    def is_empty(self) -> bool:
        """Returns whether nothing is filed here."""
        return not (self.objects or self.globs or self.range_globs or self.ranges is not None)


def _range_glob_of(box: Box) -> RangeGlob:
    return RangeGlob(box.low, box.high, box.mask, box.value)


def _binds_from(bound: Bound, at_ms: float) -> bool:
    return bool(bound) and bound[0].at_ms >= at_ms


def _all_bind_from(bounds: Iterable[Bound], at_ms: float) -> bool:
    return all(_binds_from(bound, at_ms) for bound in bounds)


def _join_at(bounds: dict[Key, Bound], key: Key, bound: Bound) -> None:
    bounds[key] = join(bounds.get(key, NO_BOUND), bound)


def _expire_at(bounds: dict[Key, Bound], key: Key, now_ms: float) -> None:
    remaining = still_binding(bounds.get(key, NO_BOUND), now_ms)
    if remaining:
        bounds[key] = remaining
    else:
        bounds.pop(key, None)
