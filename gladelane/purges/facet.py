"""A facet: the boxes of one class, group and range of parts, indexed by how they select objects."""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import NamedTuple, TypeVar

from ..structures.step_map import StepMap
from .bounds import NO_BOUND, Bound, join, newest_at_ms, unexpired_limits
from .scope import Box

EXPIRY_SHARE = 4  # the step map is cleaned once one in this many of its ranges has expired
Key = TypeVar("Key", bound=Hashable)


class RangeGlob(NamedTuple):
    """A glob within a range of ids."""

    low: int
    high: int
    mask: int
    value: int


class Facet:
    """The bounds of one facet. A lookup costs one or two dict lookups and a bisection.

    Attributes: objects, the bounds of single objects; ranges, those of ranges of ids, or None if there are
    none; globs, those of globs, by mask and then by value; range_globs, those of globs within ranges.
    `Index.newest_purge_ms` reads these attributes directly."""

    __slots__ = ("objects", "ranges", "globs", "range_globs", "_expired_ranges")

    def __init__(self) -> None:
        """Creates an empty facet."""
        self.objects: dict[int, Bound] = {}
        self.ranges: StepMap[Bound] | None = None
        self.globs: dict[int, dict[int, Bound]] = {}
        self.range_globs: dict[RangeGlob, Bound] = {}
        self._expired_ranges = 0  # since the step map was last cleaned

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
        """Removes expired limits from the entry of one box.

        The step map is cleaned as a whole, once enough of its ranges have expired. Until then
        `bounds.newest_at_ms` skips the expired limits."""
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
        self._expired_ranges += 1
        if self._expired_ranges * EXPIRY_SHARE < len(ranges):
            return
        self._expired_ranges = 0
        ranges.update_values(lambda bound: unexpired_limits(bound, now_ms))
        if len(ranges) == 1 and not ranges.at(0):
            self.ranges = None

    def newest_from_range_globs_ms(self, object_: int, now_ms: float) -> float:
        """Returns the newest time that a glob within a range sets for an object, in Unix ms, or 0.0."""
        matching = (
            bound
            for glob, bound in self.range_globs.items()
            if glob.low <= object_ <= glob.high and object_ & glob.mask == glob.value
        )
        return max((newest_at_ms(bound, now_ms) for bound in matching), default=0.0)

    def covers_objects(self, box: Box, at_ms: float) -> bool:
        """Returns whether every object of a box has a limit at `at_ms` or later. Ignores globs."""
        if box.low == box.high and _has_limit_from(self.objects.get(box.low, NO_BOUND), at_ms):
            return True
        return self.ranges is not None and _all_have_limit_from(self.ranges.within(box.low, box.high), at_ms)

    def is_empty(self) -> bool:
        """Returns whether the facet has no entries."""
        return not (self.objects or self.globs or self.range_globs or self.ranges is not None)


def _range_glob_of(box: Box) -> RangeGlob:
    return RangeGlob(box.low, box.high, box.mask, box.value)


def _has_limit_from(bound: Bound, at_ms: float) -> bool:
    return bool(bound) and bound[0].at_ms >= at_ms


def _all_have_limit_from(bounds: Iterable[Bound], at_ms: float) -> bool:
    return all(_has_limit_from(bound, at_ms) for bound in bounds)


def _join_at(bounds: dict[Key, Bound], key: Key, bound: Bound) -> None:
    bounds[key] = join(bounds.get(key, NO_BOUND), bound)


def _expire_at(bounds: dict[Key, Bound], key: Key, now_ms: float) -> None:
    remaining = unexpired_limits(bounds.get(key, NO_BOUND), now_ms)
    if remaining:
        bounds[key] = remaining
    else:
        bounds.pop(key, None)
