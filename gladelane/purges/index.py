"""The index of active purges: finds the time of the newest purge that applies to a request.

Boxes are grouped into facets by class, group and a dyadic range of parts, each of which may be unspecified. A
lookup searches the few facets that a request belongs to. Its cost is a few dict lookups and bisections,
however many purges are active. The index stores only joins of bounds, so it does not depend on the order in
which purges were added. An object that a wider and newer purge covers stays indexed until its own purge
expires: the newest time wins anyway, and searching for such objects would cost time on every addition.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from .bounds import Bound, Limit, newest_at_ms
from .facet import Facet
from .purge_index import PurgeIndex
from .scope import MAX_PART, Box, Scope

MAX_MASKS = 64  # different masks of globs; each of them slows down every lookup in its facet
MAX_RANGE_GLOBS = 64  # globs within ranges, which a lookup scans one by one
PART_LEVELS = MAX_PART.bit_length()
ALL_PARTS = -1  # the level of a facet that holds boxes for every part
MAX_EXPIRED_AT_ONCE = 256

#: Whether a facet has a class, whether it has a group, and the level of its range of 2 ** level parts.
FacetShape = tuple[bool, bool, int]
#: Class, group, and the number of the range of parts. Plain tuples, since a lookup makes one for each shape.
FacetKey = tuple[str, int, int]


class UnsupportedPatternError(ValueError):
    """A scope whose globs would slow down every lookup. The issuer rejects such a purge; another server that
    receives it applies a wider scope.

    Attributes: limit; expected, the kinds of scope that are still accepted."""

    def __init__(self, limit: int, limited: str, expected: str) -> None:
        """`limited`: what there are too many of, in the plural."""
        self.limit, self.expected = limit, expected
        super().__init__(f"more than {limit} {limited} stand; expected {expected}")


class PartRange(NamedTuple):
    """The 2 ** `level` parts from `number` * 2 ** `level` on."""

    level: int
    number: int


EVERY_PART = PartRange(ALL_PARTS, 0)


class _Expiry(NamedTuple):
    """When an entry expires, in Unix ms, and where it is in the index. Expiries are ordered by time."""

    until_ms: float
    shape: FacetShape
    key: FacetKey
    box: Box


def dyadic_ranges(low: int, high: int) -> Iterator[PartRange]:
    """Yields the smallest sequence of dyadic ranges that tiles a range of parts. Both ends are included."""
    end = high + 1
    while low < end:
        alignment = (low & -low).bit_length() - 1 if low else PART_LEVELS
        level = min(alignment, (end - low).bit_length() - 1)
        yield PartRange(level, low >> level)
        low += 1 << level


class Index:
    """Finds the time of the newest active purge of a request.

    Objects are numbers from 0 to 2 ** 64 - 1, groups from 0 to 255, parts from 0 to 2 ** 31. Times are in
    Unix ms."""

    def __init__(self) -> None:
        """Creates an empty index."""
        self._shapes: dict[FacetShape, dict[FacetKey, Facet]] = {}
        self._facets_per_mask: dict[int, int] = {}  # the number of facets that have each mask
        self._range_globs = 0
        self._expiries: list[_Expiry] = []  # a heap
        self._by_age_index: Index | None = None  # local times that are later than the issuer's

    def __len__(self) -> int:
        """Returns the number of entries; boxes that were joined into one count once."""
        return sum(len(facet) for facets in self._shapes.values() for facet in facets.values())

    def check(self, scope: Scope) -> None:
        """Raises UnsupportedPatternError if a scope would slow down lookups for as long as it is indexed."""
        if len(scope.boxes) == 1 and not scope.boxes[0].mask:
            return
        masks = {box.mask for box in scope.boxes if box.mask}
        if not masks:
            return
        if len(masks | self._facets_per_mask.keys()) > MAX_MASKS:
            raise UnsupportedPatternError(MAX_MASKS, "forms of patterns", "a prefix or a range")
        range_globs = sum(1 for box in scope.boxes if box.mask and not box.has_all_objects())
        if self._range_globs + range_globs > MAX_RANGE_GLOBS:
            raise UnsupportedPatternError(MAX_RANGE_GLOBS, "patterns within ranges", "one or the other")

    def add(self, scope: Scope, at_ms: float, until_ms: float = math.inf) -> None:
        """Makes copies from before `at_ms` out of date until `until_ms`. Raises UnsupportedPatternError and
        then changes nothing."""
        self.check(scope)
        bound: Bound = (Limit(at_ms, until_ms),)
        for box in scope.boxes:
            for parts in _part_ranges(box):
                self._add(box, parts, bound)

    def add_by_age(self, scope: Scope, at_ms: float, until_ms: float) -> None:
        """Adds a local time, which only `newest_purge_by_age_ms` considers. Raises UnsupportedPatternError
        and then changes nothing."""
        if self._by_age_index is None:
            self._by_age_index = Index()
        self._by_age_index.add(scope, at_ms, until_ms)

    def add_object_or_group(self, object_: int, group: int, at_ms: float, until_ms: float) -> None:
        """Adds a purge from discovery: of one object, or of a whole group if `object_` is negative."""
        box = Box(low=object_, high=object_) if object_ >= 0 else Box(group=group)
        self._add(box, EVERY_PART, (Limit(at_ms, until_ms),))

    def _add(self, box: Box, parts: PartRange, bound: Bound) -> None:
        level, number = parts
        shape = box.cls != "", box.group >= 0, level
        key = box.cls, box.group, number
        facets = self._shapes.setdefault(shape, {})
        facet = facets.get(key)
        if facet is None:
            facet = facets[key] = Facet()
        if box.mask:
            self._count_patterns(facet, -1)
            facet.add(box, bound)
            self._count_patterns(facet, 1)
        else:
            facet.add(box, bound)
        until_ms = bound[0].until_ms
        if until_ms < math.inf:
            heapq.heappush(self._expiries, _Expiry(until_ms, shape, key, box))

    def _count_patterns(self, facet: Facet, sign: int) -> None:
        """Adds the patterns of a facet to the totals, or removes them if `sign` is -1."""
        self._range_globs += sign * len(facet.range_globs)
        for mask in facet.globs:
            count = self._facets_per_mask.get(mask, 0) + sign
            if count:
                self._facets_per_mask[mask] = count
            else:
                del self._facets_per_mask[mask]

    def newest_purge_by_age_ms(self, cls: str, group: int, object_: int, part: int, now_ms: float) -> float:
        """Returns the same as `newest_purge_ms`, but by the local clock: a copy that existed at this time may
        be from before a purge, whatever the issuer's clock was. 0.0 if there is none."""
        at_ms = self.newest_purge_ms(cls, group, object_, part, now_ms)
        if self._by_age_index is None:
            return at_ms
        return max(at_ms, self._by_age_index.newest_purge_ms(cls, group, object_, part, now_ms))

    def newest_purge_ms(self, cls: str, group: int, object_: int, part: int, now_ms: float) -> float:
        """Returns the time before which no copy of a part may be dated, in Unix ms; 0.0 if there is no limit.

        It runs for every request, so the common lookups are inlined: a call would cost as much as its
        body."""
        at_ms = 0.0
        for (has_class, has_group, level), facets in self._shapes.items():
            facet = facets.get(
                (cls if has_class else "", group if has_group else -1, part >> level if level >= 0 else 0)
            )
            if facet is None:
                continue
            bound = facet.objects.get(object_)
            if bound is not None and bound[0].at_ms > at_ms:
                at_ms = max(at_ms, newest_at_ms(bound, now_ms))
            if facet.ranges is not None:
                bound = facet.ranges.at(object_)
                if bound and bound[0].at_ms > at_ms:
                    at_ms = max(at_ms, newest_at_ms(bound, now_ms))
            if facet.globs:
                for mask, values in facet.globs.items():
                    bound = values.get(object_ & mask)
                    if bound is not None:
                        at_ms = max(at_ms, newest_at_ms(bound, now_ms))
            if facet.range_globs:
                at_ms = max(at_ms, facet.newest_from_range_globs_ms(object_, now_ms))
        return at_ms

    def covers(self, box: Box, at_ms: float) -> bool:
        """Returns whether one facet covers all of a box with limits at `at_ms` or later, so that adding the
        box would change nothing. Ignores when limits expire, and facets that cover the box only together."""
        for (has_class, has_group, level), facets in self._shapes.items():
            number = box.part_low >> level if level >= 0 else 0
            if level >= 0 and box.part_high >> level != number:
                continue
            facet = facets.get((box.cls if has_class else "", box.group if has_group else -1, number))
            if facet is not None and facet.covers_objects(box, at_ms):
                return True
        return False

    def expire(self, now_ms: float, maximum: int = MAX_EXPIRED_AT_ONCE) -> int:
        """Removes at most `maximum` expired entries, so that no call takes long. Returns how many."""
        expired = 0
        if self._by_age_index is not None:
            expired += self._by_age_index.expire(now_ms, maximum)
            if not self._by_age_index._shapes:
                self._by_age_index = None
        while self._expiries and self._expiries[0].until_ms <= now_ms and expired < maximum:
            self._expire_entry(heapq.heappop(self._expiries), now_ms)
            expired += 1
        return expired

    def _expire_entry(self, entry: _Expiry, now_ms: float) -> None:
        facets = self._shapes.get(entry.shape, {})
        facet = facets.get(entry.key)
        if facet is None:
            return
        self._count_patterns(facet, -1)
        facet.expire(entry.box, now_ms)
        self._count_patterns(facet, 1)
        if facet.is_empty():
            del facets[entry.key]
            if not facets:
                del self._shapes[entry.shape]


def _part_ranges(box: Box) -> Iterable[PartRange]:
    """Returns the ranges of parts under which a box is indexed."""
    if box.has_all_parts():
        return (EVERY_PART,)
    return dyadic_ranges(box.part_low, box.part_high)


def scope_index(index: PurgeIndex) -> Index:
    """Returns a router's index as an `Index`, which supports scopes. Raises TypeError for any other index."""
    if not isinstance(index, Index):
        raise TypeError(f"{type(index).__name__} takes no scopes; expected {Index.__name__}")
    return index
