"""The objects of the site, and random scopes of purges."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

STRICT_CLASS, UNBOUNDED_CLASS = (
    "question-item",
    "video-part",
)  # classes with and without a bound on the age of answers
OBJECT_COUNT = 300
GROUP_COUNT = 16


@dataclass(frozen=True)
class DrawnScope:
    """A scope as an operator writes it, with the scopes of the tags that it names."""

    text: str
    tags: dict[str, str] = field(default_factory=dict)


def object_id(number: int) -> str:
    """Returns the 16 hex digits of an object; the ids of neighbouring numbers differ in all digits."""
    return f"{number * 0x9E3779B97F4A7C15 & (2**64 - 1):016x}"


def group_of(number: int) -> int:
    """Returns the group to which an object belongs."""
    return number % GROUP_COUNT


def draw_scope(rng: random.Random) -> DrawnScope:
    """Draws a scope: mostly one object of the site, sometimes many."""
    number = rng.randrange(OBJECT_COUNT)
    match rng.randrange(10):
        case 0:
            return DrawnScope(f"group:{rng.randrange(GROUP_COUNT)} & class:{UNBOUNDED_CLASS}")
        case 1:
            return DrawnScope(f"objects:{object_id(number)[:2]}* & parts:0")
        case 2:
            ids = [object_id(rng.randrange(OBJECT_COUNT)) for _ in range(4)]
            return DrawnScope("tag:signs", {"signs": " | ".join(f"object:{id_}" for id_ in ids)})
        case 3:
            return DrawnScope(f"objects:*{object_id(number)[-1]} & group:{group_of(number)}")
    return DrawnScope(f"object:{object_id(number)}")


def draw_scope_of_any_kind(rng: random.Random) -> str:
    """Draws a scope over all 64 bits of object ids, in one of the forms that the index stores separately."""
    match rng.randrange(20):
        case kind if kind < 10:
            return f"object:{rng.getrandbits(64):016x}"
        case kind if kind < 12:
            return f"objects:{rng.getrandbits(40):010x}* & class:{STRICT_CLASS}"
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
