"""The objects of the site, and scopes of purges drawn at random."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

STRICT, LOOSE = "question-item", "video-part"  # classes with and without a bound on the age of answers
OBJECTS = 300
GROUPS = 16


@dataclass(frozen=True)
class DrawnScope:
    """A scope as an operator writes it, with the meaning of the tags that it names."""

    text: str
    tags: dict[str, str] = field(default_factory=dict)


def object_id(number: int) -> str:
    """The 16 hex digits of an object; those of neighbours differ in all places."""
    return f"{number * 0x9E3779B97F4A7C15 & (2**64 - 1):016x}"


def group_of(number: int) -> int:
    """The group to which an object belongs."""
    return number % GROUPS


def draw_scope(rng: random.Random) -> DrawnScope:
    """Mostly one object of the site, sometimes many."""
    number = rng.randrange(OBJECTS)
    match rng.randrange(10):
        case 0:
            return DrawnScope(f"group:{rng.randrange(GROUPS)} & class:{LOOSE}")
        case 1:
            return DrawnScope(f"objects:{object_id(number)[:2]}* & parts:0")
        case 2:
            ids = [object_id(rng.randrange(OBJECTS)) for _ in range(4)]
            return DrawnScope("tag:signs", {"signs": " | ".join(f"object:{one}" for one in ids)})
        case 3:
            return DrawnScope(f"objects:*{object_id(number)[-1]} & group:{group_of(number)}")
    return DrawnScope(f"object:{object_id(number)}")


def draw_scope_of_any_kind(rng: random.Random) -> str:
    """Over all 64 bits of object ids, with every form that the index keeps apart."""
    match rng.randrange(20):
        case kind if kind < 10:
            return f"object:{rng.getrandbits(64):016x}"
        case kind if kind < 12:
            return f"objects:{rng.getrandbits(40):010x}* & class:{STRICT}"
        case kind if kind < 15:
            return f"objects:{rng.getrandbits(48):012x}*"
        case 15:
            return f"group:{rng.randrange(256)} & objects:{rng.getrandbits(32):08x}*"
        case kind if kind < 18:
            low = rng.getrandbits(63)
            return f"objects:{low:016x}..{low + rng.getrandbits(40):016x}"
        case 18:
            return f"object:{rng.getrandbits(64):016x} & parts:{rng.randrange(5)}"
    return f"objects:*{rng.getrandbits(16):04x}"
