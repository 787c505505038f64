"""The versions of all configuration that a routing decision depends on, as one value. No I/O, no clock.

A view holds the endpoint list (its source, revision and digest), the servers that operators removed, the
purges that are known, and digests of settings, operator's file and program. Endpoint lists and purges are
ordered; the other parts are only equal or different. Views are compared part by part, so their order is
partial: one view is ahead of another only if no part of it is behind or divergent.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from functools import lru_cache
from hashlib import blake2b

import msgspec

from ..control_plane.positions import Vector, parse_vector

DIGEST_BYTES = 8


class Order(Enum):
    """How one view, or one part of it, compares to another."""

    SAME = "same"
    AHEAD = "ahead"
    BEHIND = "behind"
    DIVERGENT = "apart"  # neither is an earlier state of the other


class Part(Enum):
    """The parts of a view. The values appear in reports, answers and commands."""

    LIST = "list"
    OUT = "out"
    PURGES = "purges"
    LOW_WATERMARK = "horizon"
    SETTINGS = "settings"
    OPERATOR = "operator"
    PROGRAM = "program"


ALL_PARTS = frozenset(Part)
UNCACHED_PARTS = ALL_PARTS - {Part.PURGES, Part.LOW_WATERMARK}


class View(msgspec.Struct, frozen=True, array_like=True):
    """The versions on which a director acts. Fields are stored and sent by their position.

    `list_source` is the operators' name of the discovery server, `rev` the latest revision of its endpoint
    list and `list` a digest of that list. `out` holds the sorted ids of servers that operators removed.
    `purges` is a position vector as `format_vector` writes it. All purges after `low_watermark_ms` (Unix ms)
    are known; 0 means that all purges in force are known.
    """

    list_source: str = ""
    rev: int = 0
    list: str = ""
    out: tuple[str, ...] = ()
    purges: str = ""
    low_watermark_ms: float = 0.0
    settings: str = ""
    operator: str = ""
    program: str = ""

    def answer_fields(self) -> dict[str, object]:
        """The view as a JSON object for answers to commands. The keys are fixed."""
        fields: dict[str, object] = msgspec.structs.asdict(self)
        return {ANSWER_KEYS.get(name, name): value for name, value in fields.items()}


#: Keys of a view in answers, where they differ from the field's name.
ANSWER_KEYS = {"list_source": "board", "low_watermark_ms": "horizon_ms"}


def digest(value: object) -> str:
    """The digest of a plain value. The order of keys and set members does not matter."""
    return blake2b(msgspec.json.encode(value, order="sorted"), digest_size=DIGEST_BYTES).hexdigest()


def view_id(view: View) -> str:
    """The digest by which reports refer to a view."""
    return blake2b(msgspec.msgpack.encode(view), digest_size=DIGEST_BYTES).hexdigest()


@lru_cache(maxsize=4096)
def parse_positions(text: str) -> Vector:
    """Parses a position vector. Raises InvalidPositionError."""
    return parse_vector(text)


def covers(known: Vector, required: Vector) -> bool:
    """Whether `known` includes every purge of `required`."""
    return all(known.get(stream, 0) >= last for stream, last in required.items())


def relevant_parts(is_cacheable: bool, is_strict: bool) -> frozenset[Part]:
    """The parts that decisions about a request class depend on. Writes have no cached copies, so purges do
    not matter to classes that are not cacheable; only strict classes depend on purges that may have been
    lost."""
    if not is_cacheable:
        return UNCACHED_PARTS
    return ALL_PARTS if is_strict else ALL_PARTS - {Part.LOW_WATERMARK}


def _combine(is_ahead: bool, is_behind: bool) -> Order:
    if is_ahead:
        return Order.DIVERGENT if is_behind else Order.AHEAD
    return Order.BEHIND if is_behind else Order.SAME


def compare_part(part: Part, one: View, other: View) -> Order:
    """Compares one part of `one` to the same part of `other`. Raises InvalidPositionError for a malformed
    position vector."""
    match part:
        case Part.LIST:
            return _compare_lists(one, other)
        case Part.PURGES:
            return _compare_purges(one, other)
        case Part.LOW_WATERMARK:
            is_same = one.low_watermark_ms == other.low_watermark_ms
        case _:
            is_same = getattr(one, part.value) == getattr(other, part.value)
    return Order.SAME if is_same else Order.DIVERGENT


def _compare_lists(one: View, other: View) -> Order:
    if one.list_source != other.list_source or (one.rev == other.rev and one.list != other.list):
        return Order.DIVERGENT
    return _combine(one.rev > other.rev, one.rev < other.rev)


def _compare_purges(one: View, other: View) -> Order:
    if one.purges == other.purges:
        return Order.SAME
    first, second = parse_positions(one.purges), parse_positions(other.purges)
    return _combine(not covers(second, first), not covers(first, second))


def compare(one: View, other: View, parts: Iterable[Part] = ALL_PARTS) -> Order:
    """Compares two views over some parts. Raises InvalidPositionError."""
    found = {compare_part(part, one, other) for part in parts}
    if Order.DIVERGENT in found:
        return Order.DIVERGENT
    return _combine(Order.AHEAD in found, Order.BEHIND in found)


def list_digest(servers: Mapping[str, tuple[str, str, float]]) -> str:
    """The digest of an endpoint list. `servers` maps a server id to address, lifecycle state and process
    start (Unix ms)."""
    return digest(sorted((name, *entry) for name, entry in servers.items()))
