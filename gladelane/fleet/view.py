"""The version of everything that a decision rests on, as a value. Pure.

A view names the list of servers (board, revision, digest of what it says), the servers that operators took
out, how far purges are known and since when, and digests of settings, operator's file and program. Lists
and purges have an order; the rest is the same or is not. Views are ordered part by part: one is ahead of
another where it is nowhere behind or apart, so any two are the same, ahead, behind or apart, and the order is
partial.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from functools import lru_cache
from hashlib import blake2b

import msgspec

from ..control.positions import Vector, read_vector

DIGEST_BYTES = 8


class Order(Enum):
    SAME = "same"
    AHEAD = "ahead"
    BEHIND = "behind"
    APART = "apart"


class Part(Enum):
    """The values are the words of reports and commands."""

    LIST = "list"
    OUT = "out"
    PURGES = "purges"
    HORIZON = "horizon"
    SETTINGS = "settings"
    OPERATOR = "operator"
    PROGRAM = "program"


ALL = frozenset(Part)
ALWAYS = ALL - {Part.PURGES, Part.HORIZON}


class View(msgspec.Struct, frozen=True, array_like=True):
    """board: the operators' name for who tells the list; rev: its latest notice; list: a digest of the list;
    out: ids that operators took out, sorted; purges: positions, as `vector_text` writes them; horizon_ms: all
    purges from here on are known, 0: all that bind are."""

    board: str = ""
    rev: int = 0
    list: str = ""
    out: tuple[str, ...] = ()
    purges: str = ""
    horizon_ms: float = 0.0
    settings: str = ""
    operator: str = ""
    program: str = ""


def digest(value: object) -> str:
    """Of plain values; sets and objects count by content, not by order."""
    return blake2b(msgspec.json.encode(value, order="sorted"), digest_size=DIGEST_BYTES).hexdigest()


def name_of(view: View) -> str:
    return blake2b(msgspec.msgpack.encode(view), digest_size=DIGEST_BYTES).hexdigest()


@lru_cache(maxsize=4096)
def positions(text: str) -> Vector:
    """Raises BadPosition."""
    return read_vector(text)


def reaches(known: Vector, told: Vector) -> bool:
    return all(known.get(stream, 0) >= last for stream, last in told.items())


def matters(cacheable: bool, strict: bool) -> frozenset[Part]:
    """The parts that decisions about a class rest on: writes have no copies, and only strict classes mind
    what may be lost."""
    if not cacheable:
        return ALWAYS
    return ALL if strict else ALL - {Part.HORIZON}


def _ordered(ahead: bool, behind: bool) -> Order:
    if ahead:
        return Order.APART if behind else Order.AHEAD
    return Order.BEHIND if behind else Order.SAME


def compare_part(part: Part, one: View, other: View) -> Order:
    """How `one` stands to `other`. Raises BadPosition for positions that are none."""
    match part:
        case Part.LIST:
            if one.board != other.board or (one.rev == other.rev and one.list != other.list):
                return Order.APART
            return _ordered(one.rev > other.rev, one.rev < other.rev)
        case Part.PURGES:
            if one.purges == other.purges:
                return Order.SAME
            mine, its = positions(one.purges), positions(other.purges)
            return _ordered(not reaches(its, mine), not reaches(mine, its))
        case Part.HORIZON:
            same = one.horizon_ms == other.horizon_ms
        case Part.OUT:
            same = one.out == other.out
        case _:
            same = getattr(one, part.value) == getattr(other, part.value)
    return Order.SAME if same else Order.APART


def compare(one: View, other: View, parts: Iterable[Part] = ALL) -> Order:
    found = {compare_part(part, one, other) for part in parts}
    if Order.APART in found:
        return Order.APART
    return _ordered(Order.AHEAD in found, Order.BEHIND in found)


def list_digest(told: Mapping[str, tuple[str, str, float]]) -> str:
    """Of servers by id: address, lifecycle, start of the process."""
    return digest(sorted((name, *rest) for name, rest in told.items()))
