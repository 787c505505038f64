"""Which fills a cache keeps, and with which rank: counting, utility and thirds. Pure.

This is the mechanism of the edge collaborative caching paper (docs/design.md says what was kept of it).
Counts and utility carry no unit and are halved periodically. Tables bound this process's memory.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from .context import RoutingContext
from .events import Note, Request
from .request_state import PendingRequest
from .store import Store

LAMBDA = 2  # counted requests until a fill is kept; the design's two
RANKED_FROM = 3.0  # aged count from which thirds mean anything where passes are scattered
AGEING_MS = 10_000.0  # counts and utility halve this often
AGEING_FACTOR = 0.5
FORGET_BELOW = 0.2  # aged count under which an entry is dropped
WEIGHTS = {Note.HIT: 100.0, Note.AGED: 100.0, Note.PARENT_HELD: 10.0}  # other notes, or none: 1
MAX_OBJECTS = 8192  # entries of the table; the least recently requested are evicted
MAX_SENT_OBJECTS = 512  # objects remembered for each cache, for its thirds
PART_BITS = 63  # mask of the parts that are told apart


@dataclass(slots=True)
class ObjectStats:
    """What is known of one object. `gate` counts its requests until it is admitted, and `parts` has a bit for
    each part requested so far; `work` is the shortest time an answer took, ms, where no size is known."""

    count: float = 0.0
    utility: float = 0.0
    gate: int = 0
    parts: int = 0
    admitted: bool = False
    work: float = 0.0


class CacheAdmission:
    """The table of objects, the least recently requested first."""

    def __init__(self, context: RoutingContext) -> None:
        self._context = context
        self.objects: OrderedDict[int, ObjectStats] = OrderedDict()

    def count_request(self, request: Request) -> None:
        """Counts a request. Where a pass over the parts comes through this director, parts requested in turn
        are one request. Where it is scattered over many directors, each request seen here stands for as many
        as share the zone: LAMBDA counts requests of the zone, since otherwise no object is admitted in time.
        An admitted object keeps all its parts, also where a cache lost them."""
        entry = self.objects.get(request.object)
        if entry is None:
            entry = self.objects[request.object] = ObjectStats()
            if len(self.objects) > MAX_OBJECTS:
                self.objects.popitem(last=False)
        self.objects.move_to_end(request.object)
        entry.count += 1.0
        if not entry.admitted:
            self._advance_gate(entry, 1 << (request.part & PART_BITS))

    def _advance_gate(self, entry: ObjectStats, part: int) -> None:
        if self._context.is_scattered:
            entry.gate += self._context.directors_in_zone
        elif not entry.parts or entry.parts & part:
            entry.gate += 1
        entry.parts |= part
        if entry.gate >= LAMBDA:
            entry.admitted, entry.gate, entry.parts = True, 0, 0

    def add_utility(self, pending: PendingRequest, note: Note) -> None:
        """Credits an answer to its object, by its class's priority weight and where the answer came from."""
        entry = self.objects.get(pending.request.object)
        if entry is not None:
            entry.utility += pending.spec.worth * entry.count * WEIGHTS.get(note, 1.0)

    def rank(self, object_: int, cache: Store) -> int:
        """The rank under which the cache is to keep the object; 0: it keeps no copy."""
        entry = self.objects.get(object_)
        if entry is None or not entry.admitted:
            return 0
        if self._context.is_scattered and entry.count < RANKED_FROM:
            return 1  # utility of so few requests is chance: directors would change one copy's rank in turn
        low, high = cache.cuts
        return 1 + (entry.utility >= low) + (entry.utility >= high)

    def record_sent(self, object_: int, cache: Store) -> None:
        """Remembers that the cache was asked for the object."""
        cache.sent[object_] = None
        cache.sent.move_to_end(object_)
        if len(cache.sent) > MAX_SENT_OBJECTS:
            cache.sent.popitem(last=False)

    def age_counts(self) -> None:
        """Halves all counts and utilities, and drops objects that are hardly requested."""
        for entry in self.objects.values():
            entry.count *= AGEING_FACTOR
            entry.utility *= AGEING_FACTOR
        for object_ in [key for key, entry in self.objects.items() if entry.count < FORGET_BELOW]:
            del self.objects[object_]

    def update_rank_thresholds(self, caches: Iterable[Store]) -> None:
        """Divides the utilities of what each cache was sent into thirds anew."""
        for cache in caches:
            if "sent" not in vars(cache):  # made when first used: nothing was sent there yet
                continue
            utilities = sorted(
                entry.utility
                for object_ in cache.sent
                if (entry := self.objects.get(object_)) and entry.admitted
            )
            if utilities:
                third = len(utilities) // 3
                cache.cuts = (utilities[third], utilities[2 * len(utilities) // 3])
