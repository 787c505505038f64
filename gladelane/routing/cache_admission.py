"""Decides which fills a cache keeps and with which rank, from counts and utilities of objects.

This is the mechanism of the edge collaborative caching paper (docs/design.md says which parts are used).
Counts and utilities have no unit and are halved periodically. The size of each table is bounded. The module
does no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from .context import RoutingContext
from .events import Note, Request
from .request_state import PendingRequest
from .store import Store

ADMISSION_REQUESTS = 2  # counted requests from which fills are kept, as in the paper's design
MIN_RANKED_COUNT = 3.0  # aged count from which utility is compared if requests are spread over many directors
AGEING_MS = 10_000.0  # interval at which counts and utilities are halved
AGEING_FACTOR = 0.5
FORGET_BELOW = 0.2  # aged count below which an entry is dropped
UTILITY_WEIGHTS = {Note.HIT: 100.0, Note.AGED: 100.0, Note.PARENT_HELD: 10.0}  # 1 for any other note
MAX_OBJECTS = 8192  # objects in the table; the least recently requested ones are evicted
MAX_SENT_OBJECTS = 512  # objects remembered for each cache, from which its rank thresholds are computed
PART_MASK = 63  # mask of the part numbers that are distinguished


@dataclass(slots=True)
class ObjectStats:
    """The statistics of one object. `gate` counts its requests until it is admitted, and `parts` has a bit
    for each part requested so far. `work` is the shortest time in ms that an answer took, if its size is not
    known."""

    count: float = 0.0
    utility: float = 0.0
    gate: int = 0
    parts: int = 0
    admitted: bool = False
    work: float = 0.0


class CacheAdmission:
    """The statistics of objects, ordered from the least to the most recently requested."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context
        self.objects: OrderedDict[int, ObjectStats] = OrderedDict()

    def count_request(self, request: Request) -> None:
        """Counts a request. Parts of an object that are requested in turn count as one request, if they all
        come to this director. If they are spread over many directors, each request at this director counts as
        many times as there are directors in the zone: ADMISSION_REQUESTS is a number of requests in the zone,
        and otherwise no object would be admitted in time. All parts of an admitted object are kept, also
        after a cache has lost them."""
        entry = self.objects.get(request.object)
        if entry is None:
            entry = self.objects[request.object] = ObjectStats()
            if len(self.objects) > MAX_OBJECTS:
                self.objects.popitem(last=False)
        self.objects.move_to_end(request.object)
        entry.count += 1.0
        if not entry.admitted:
            self._advance_gate(entry, 1 << (request.part & PART_MASK))

    def _advance_gate(self, entry: ObjectStats, part: int) -> None:
        if self._context.is_scattered:
            entry.gate += self._context.directors_in_zone
        elif not entry.parts or entry.parts & part:
            entry.gate += 1
        entry.parts |= part
        if entry.gate >= ADMISSION_REQUESTS:
            entry.admitted, entry.gate, entry.parts = True, 0, 0

    def add_utility(self, pending: PendingRequest, note: Note) -> None:
        """Adds to the utility of an object by the priority weight of the class and the source of the
        answer."""
        entry = self.objects.get(pending.request.object)
        if entry is not None:
            entry.utility += pending.spec.worth * entry.count * UTILITY_WEIGHTS.get(note, 1.0)

    def rank(self, object_: int, cache: Store) -> int:
        """The rank with which the cache keeps the object; 0: it keeps no copy."""
        entry = self.objects.get(object_)
        if entry is None or not entry.admitted:
            return 0
        if self._context.is_scattered and entry.count < MIN_RANKED_COUNT:
            return (
                1  # the utility of so few requests is random: directors would change the rank back and forth
            )
        low, high = cache.rank_thresholds
        return 1 + (entry.utility >= low) + (entry.utility >= high)

    def record_sent(self, object_: int, cache: Store) -> None:
        """Remembers that the cache was asked for the object."""
        cache.sent_objects[object_] = None
        cache.sent_objects.move_to_end(object_)
        if len(cache.sent_objects) > MAX_SENT_OBJECTS:
            cache.sent_objects.popitem(last=False)

    def age_counts(self) -> None:
        """Halves all counts and utilities, and drops objects that are hardly requested."""
        for entry in self.objects.values():
            entry.count *= AGEING_FACTOR
            entry.utility *= AGEING_FACTOR
        for object_ in [key for key, entry in self.objects.items() if entry.count < FORGET_BELOW]:
            del self.objects[object_]

    def update_rank_thresholds(self, caches: Iterable[Store]) -> None:
        """Recomputes the thresholds that divide the utilities of the objects at each cache into thirds."""
        for cache in caches:
            if "sent_objects" not in vars(
                cache
            ):  # a cached property, not computed yet: nothing was sent to this cache
                continue
            utilities = sorted(
                entry.utility
                for object_ in cache.sent_objects
                if (entry := self.objects.get(object_)) and entry.admitted
            )
            if utilities:
                third = len(utilities) // 3
                cache.rank_thresholds = (utilities[third], utilities[2 * len(utilities) // 3])
