"""What a purge covers: one parser, one canonical text.

    scope  = box *( "|" box )               a union
    box    = term *( "&" term )             an intersection
    term   = "object:" HEX16                one object
           | "objects:" PREFIX "*"          all whose id begins so
           | "objects:" FROM ".." TO        ids, both included; short ends are filled up with 0 and f
           | "objects:" GLOB                16 places of hex digits and "?"; one "*" for missing places
           | "group:" 0..255 | "class:" NAME | "parts:" N [ "-" M ]
           | "tag:" NAME                    what the catalog says: a union
           | "all"                          everything, and the only way to say so

Canonical: tags expanded, terms and boxes sorted, ids in lower case. Parsing a canonical text gives it back.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import NamedTuple

OBJECT_MOST = 2**64 - 1
PART_MOST = 2**31
MAX_BOXES = 4096  # of one scope, after tags
MAX_TEXT = 200_000
MAX_DEPTH = 8  # tags within tags
DIGITS = 16
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_HEX = re.compile(r"[0-9a-fA-F]{1,16}")
_PLAIN = re.compile(r"object(?::([0-9a-f]{16})|s:([0-9a-f]{1,15})\*)")  # canonical, one object or a prefix
_GLOB = re.compile(r"[0-9a-fA-F?]*\*?[0-9a-fA-F?]*")
EXPECTED = "object:, objects:, group:, class:, parts:, tag: or all, joined by & and |"


class BadScope(ValueError):
    """What is wrong with a scope, and what was expected, in one line."""

    def __init__(self, text: str, why: str, expected: str = EXPECTED) -> None:
        shown = text if len(text) <= 60 else f"{text[:57]}..."
        super().__init__(f"{shown!r}: {why}; expected {expected}")


class Box(NamedTuple):
    """An intersection: every given condition must hold. Objects are ids as numbers, all bounds are included.

    mask and value: of an id, the bits under the mask must equal the value; they hold a glob that is no
    range."""

    cls: str = ""
    group: int = -1
    low: int = 0
    high: int = OBJECT_MOST
    mask: int = 0
    value: int = 0
    part_low: int = 0
    part_high: int = PART_MOST

    def covers(self, cls: str, group: int, object_: int, part: int) -> bool:
        return (
            self.low <= object_ <= self.high
            and self.part_low <= part <= self.part_high
            and object_ & self.mask == self.value
            and self.cls in ("", cls)
            and self.group in (-1, group)
        )

    def text(self) -> str:
        terms = []
        if self.cls:
            terms.append(f"class:{self.cls}")
        if self.group >= 0:
            terms.append(f"group:{self.group}")
        if self.low == self.high:
            terms.append(f"object:{self.low:016x}")
        elif (self.low, self.high) != (0, OBJECT_MOST):
            terms.append(f"objects:{_range_text(self.low, self.high)}")
        if self.mask:
            terms.append(f"objects:{_glob_text(self.mask, self.value)}")
        if (self.part_low, self.part_high) != (0, PART_MOST):
            one = self.part_low == self.part_high
            terms.append(f"parts:{self.part_low}" + ("" if one else f"-{self.part_high}"))
        return " & ".join(terms) or "all"


class Scope(NamedTuple):
    """A union of boxes, sorted, none of them twice."""

    boxes: tuple[Box, ...]

    def covers(self, cls: str, group: int, object_: int, part: int) -> bool:
        return any(box.covers(cls, group, object_, part) for box in self.boxes)

    def text(self) -> str:
        return " | ".join(box.text() for box in self.boxes)


Catalog = Mapping[str, str]  # a tag's name and the scope that it stands for
ALL = Box()


def parse(text: str, catalog: Catalog | None = None) -> Scope:
    """Raises BadScope."""
    if (plain := _PLAIN.fullmatch(text)) is not None:  # most that is stored: recovery reads 100,000 of these
        low = (plain[1] or plain[2]).ljust(DIGITS, "0")
        return Scope((Box("", -1, int(low, 16), int((plain[1] or plain[2]).ljust(DIGITS, "f"), 16)),))
    if len(text) > MAX_TEXT:
        raise BadScope(text, f"{len(text)} characters", f"{MAX_TEXT} at most")
    boxes = _union(text, catalog or {}, ())
    return Scope(tuple(boxes) if len(boxes) == 1 else tuple(sorted(set(boxes))))


def _union(text: str, catalog: Catalog, within: tuple[str, ...]) -> list[Box]:
    boxes: list[Box] = []
    for part in text.split("|"):
        said, made = False, [ALL]
        for term in part.split("&"):
            term = term.strip()
            if term == "all":
                said = True
                continue
            narrower = _term(term, catalog, within)
            if made == [ALL]:  # as good as always, and a meeting with everything changes nothing
                made = list(dict.fromkeys(narrower))
                continue
            met = (meet(a, b) for a in made for b in narrower)
            made = list(dict.fromkeys(box for box in met if box is not None))
            if len(made) > MAX_BOXES:
                raise BadScope(part, f"{len(made)} parts once its tags are put in", f"{MAX_BOXES} at most")
        if not made:
            raise BadScope(part.strip(), "nothing can be all of these at once")
        if ALL in made and not said:
            raise BadScope(part.strip(), "this covers everything", "the word `all` where that is meant")
        boxes += made
        if len(boxes) > MAX_BOXES:
            raise BadScope(text, f"{len(boxes)} parts once its tags are put in", f"{MAX_BOXES} at most")
    return boxes


def _term(term: str, catalog: Catalog, within: tuple[str, ...]) -> list[Box]:
    kind, colon, value = term.partition(":")
    if not colon or not value:
        raise BadScope(term, "no term")
    match kind:
        case "object":
            if not _HEX.fullmatch(value) or len(value) != DIGITS:
                raise BadScope(term, "no object", f"{DIGITS} hex digits")
            return [Box(low=int(value, 16), high=int(value, 16))]
        case "objects":
            return [_objects(term, value)]
        case "group":
            return [Box(group=_whole(term, value, 255))]
        case "class":
            if not _NAME.fullmatch(value):
                raise BadScope(term, "no class", "a name of letters, digits, . _ -")
            return [Box(cls=value)]
        case "parts":
            first, dash, last = value.partition("-")
            low = _whole(term, first, PART_MOST)
            high = _whole(term, last, PART_MOST) if dash else low
            if low > high:
                raise BadScope(term, "the range is empty", "its smaller end first")
            return [Box(part_low=low, part_high=high)]
        case "tag":
            if value not in catalog:
                raise BadScope(term, "no such tag", "a tag of the catalog, or one sent along")
            if value in within or len(within) >= MAX_DEPTH:
                raise BadScope(term, "it stands within itself", f"tags at most {MAX_DEPTH} deep")
            return _union(catalog[value], catalog, (*within, value))
    raise BadScope(term, f"unknown kind {kind!r}")


def _whole(term: str, text: str, most: int) -> int:
    if not (text.isascii() and text.isdecimal() and len(text) <= 10 and int(text) <= most):
        raise BadScope(term, f"{text!r} is no number here", f"a whole number from 0 to {most}")
    return int(text)


def _objects(term: str, value: str) -> Box:
    low, dots, high = value.partition("..")
    if dots:
        if not (_HEX.fullmatch(low) and _HEX.fullmatch(high)):
            raise BadScope(term, "no range of objects", "FROM..TO in hex digits")
        first, last = int(low.ljust(DIGITS, "0"), 16), int(high.ljust(DIGITS, "f"), 16)
        if first > last:
            raise BadScope(term, "the range is empty", "its smaller end first")
        return Box(low=first, high=last)
    known = len(value) - value.count("*")
    if not _GLOB.fullmatch(value) or known > DIGITS or (known < DIGITS and "*" not in value):
        raise BadScope(term, "no pattern", f"{DIGITS} places of hex digits and ?, or fewer with one *")
    places = value.replace("*", "?" * (DIGITS - known))
    fixed = len(places.rstrip("?"))
    if "?" not in places[:fixed]:  # a prefix, or one object
        return Box(
            low=int(places[:fixed].ljust(DIGITS, "0"), 16), high=int(places[:fixed].ljust(DIGITS, "f"), 16)
        )
    mask = int("".join("0" if place == "?" else "f" for place in places), 16)
    return Box(mask=mask, value=int(places.replace("?", "0"), 16))


def _range_text(low: int, high: int) -> str:
    """A prefix where it is one."""
    differ = low ^ high
    free = (differ.bit_length() + 3) // 4 * 4
    if differ == (1 << differ.bit_length()) - 1 and differ.bit_length() == free and low & differ == 0:
        return f"{low:016x}"[: DIGITS - free // 4] + "*"
    return f"{low:016x}..{high:016x}"


def _glob_text(mask: int, value: int) -> str:
    places = "".join(
        digit if known == "f" else "?" for known, digit in zip(f"{mask:016x}", f"{value:016x}", strict=True)
    )
    return places


def meet(one: Box, other: Box) -> Box | None:
    """What both cover; None: nothing."""
    if one.cls and other.cls and one.cls != other.cls:
        return None
    if one.group >= 0 and other.group >= 0 and one.group != other.group:
        return None
    shared = one.mask & other.mask
    if one.value & shared != other.value & shared:
        return None
    low, high = max(one.low, other.low), min(one.high, other.high)
    part_low, part_high = max(one.part_low, other.part_low), min(one.part_high, other.part_high)
    if low > high or part_low > part_high:
        return None
    mask, value = one.mask | other.mask, one.value | other.value
    if mask and low == high:
        if low & mask != value:
            return None
        mask = value = 0
    elif mask == OBJECT_MOST:  # every place is known: one object
        if not low <= value <= high:
            return None
        low = high = value
        mask = value = 0
    return Box(one.cls or other.cls, max(one.group, other.group), low, high, mask, value, part_low, part_high)
