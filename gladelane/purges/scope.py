"""The scope of a purge: the text that names what is purged, its parser, and its canonical form.

    scope  = box *( "|" box )               a union
    box    = term *( "&" term )             an intersection
    term   = "object:" HEX16                one object
           | "objects:" PREFIX "*"          all objects whose id starts with the prefix
           | "objects:" FROM ".." TO        ids, both included; padded with 0 and with f to 16 digits
           | "objects:" GLOB                16 hex digits or "?"; one "*" stands for all missing digits
           | "group:" 0..255 | "class:" NAME | "parts:" N [ "-" M ]
           | "tag:" NAME                    the scope that the catalog has under this name
           | "all"                          everything; no other term may cover everything

In the canonical form tags are expanded, terms and boxes are sorted, and ids are in lower case. Parsing a
canonical text returns the same scope.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from typing import NamedTuple

MAX_OBJECT_ID = 2**64 - 1
MAX_PART = 2**31
MAX_GROUP = 255
MAX_BOXES = 4096  # of one scope, after its tags are expanded
MAX_SCOPE_CHARS = 200_000
MAX_TAG_DEPTH = 8  # tags within tags
OBJECT_ID_DIGITS = 16
MAX_INTEGER_DIGITS = 10
MAX_SHOWN_CHARS = 60  # of an invalid text, in an error message
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_HEX = re.compile(r"[0-9a-fA-F]{1,16}")
_PLAIN = re.compile(r"object(?::([0-9a-f]{16})|s:([0-9a-f]{1,15})\*)")  # canonical, one object or a prefix
_GLOB = re.compile(r"[0-9a-fA-F?]*\*?[0-9a-fA-F?]*")
EXPECTED = "object:, objects:, group:, class:, parts:, tag: or all, joined by & and |"


class InvalidScopeError(ValueError):
    """A text that is not a valid scope. The message is one line.

    Attributes: text, the invalid part; reason, why it is invalid; expected, what would be valid."""

    def __init__(self, text: str, reason: str, expected: str = EXPECTED) -> None:
        """Shortens a long text in the message, but not in the attribute."""
        self.text, self.reason, self.expected = text, reason, expected
        shown = text if len(text) <= MAX_SHOWN_CHARS else f"{text[: MAX_SHOWN_CHARS - 3]}..."
        super().__init__(f"{shown!r}: {reason}; expected {expected}")


class Box(NamedTuple):
    """An intersection of conditions: a request is covered if it meets all of them. Any request meets a
    condition with its default value.

    Object ids are numbers, and both ends of a range are included. `mask` and `value` represent a glob that is
    not a range: the bits of an id under the mask must equal the value."""

    cls: str = ""
    group: int = -1
    low: int = 0
    high: int = MAX_OBJECT_ID
    mask: int = 0
    value: int = 0
    part_low: int = 0
    part_high: int = MAX_PART

    def covers(self, cls: str, group: int, object_: int, part: int) -> bool:
        """Returns whether a request for one part of an object is covered."""
        return (
            self.low <= object_ <= self.high
            and self.part_low <= part <= self.part_high
            and object_ & self.mask == self.value
            and self.cls in ("", cls)
            and self.group in (-1, group)
        )

    def has_all_objects(self) -> bool:
        """Returns whether the range of ids includes all ids. A glob may still limit the ids."""
        return (self.low, self.high) == (0, MAX_OBJECT_ID)

    def has_all_parts(self) -> bool:
        """Returns whether every part of an object is covered."""
        return (self.part_low, self.part_high) == (0, MAX_PART)

    def text(self) -> str:
        """Returns the canonical text."""
        terms = []
        if self.cls:
            terms.append(f"class:{self.cls}")
        if self.group >= 0:
            terms.append(f"group:{self.group}")
        if self.low == self.high:
            terms.append(f"object:{self.low:016x}")
        elif not self.has_all_objects():
            terms.append(f"objects:{_range_text(self.low, self.high)}")
        if self.mask:
            terms.append(f"objects:{_glob_text(self.mask, self.value)}")
        if not self.has_all_parts():
            end = "" if self.part_low == self.part_high else f"-{self.part_high}"
            terms.append(f"parts:{self.part_low}{end}")
        return " & ".join(terms) or "all"


class Scope(NamedTuple):
    """A union of distinct boxes in sorted order."""

    boxes: tuple[Box, ...]

    def covers(self, cls: str, group: int, object_: int, part: int) -> bool:
        """Returns whether any box covers a request for one part of an object."""
        return any(box.covers(cls, group, object_, part) for box in self.boxes)

    def text(self) -> str:
        """Returns the canonical text."""
        return " | ".join(box.text() for box in self.boxes)


Catalog = Mapping[str, str]  # the name of a tag, and the text of its scope
ALL = Box()


def parse(text: str, catalog: Catalog | None = None) -> Scope:
    """Parses a scope. `catalog`: the tags that it may contain. Raises InvalidScopeError."""
    # a fast path, as nearly all stored scopes have this form and a recovery parses up to 100,000 of them
    if (plain := _PLAIN.fullmatch(text)) is not None:
        digits = plain[1] or plain[2]
        return Scope((Box("", -1, _lowest_id(digits), _highest_id(digits)),))
    if len(text) > MAX_SCOPE_CHARS:
        raise InvalidScopeError(text, f"{len(text)} characters", f"{MAX_SCOPE_CHARS} at most")
    boxes = _parse_union(text, catalog or {}, ())
    return Scope(tuple(boxes) if len(boxes) == 1 else tuple(sorted(set(boxes))))


def _lowest_id(digits: str) -> int:
    return int(digits.ljust(OBJECT_ID_DIGITS, "0"), 16)


def _highest_id(digits: str) -> int:
    return int(digits.ljust(OBJECT_ID_DIGITS, "f"), 16)


def _parse_union(text: str, catalog: Catalog, outer_tags: tuple[str, ...]) -> list[Box]:
    """Parses a union. `outer_tags`: the tags whose expansion contains this text, by which loops are
    detected."""
    boxes: list[Box] = []
    for part in text.split("|"):
        boxes += _parse_intersection(part, catalog, outer_tags)
        _check_size(text, len(boxes))
    return boxes


def _parse_intersection(text: str, catalog: Catalog, outer_tags: tuple[str, ...]) -> list[Box]:
    """Parses an intersection. The result has several boxes if a tag in it is a union."""
    has_all_term = False
    boxes = [ALL]
    for term in map(str.strip, text.split("&")):
        if term == "all":
            has_all_term = True
            continue
        term_boxes = _parse_term(term, catalog, outer_tags)
        if boxes == [ALL]:  # the usual case, for which no intersection is needed
            boxes = list(dict.fromkeys(term_boxes))
            continue
        both = (intersect(one, other) for one in boxes for other in term_boxes)
        boxes = list(dict.fromkeys(box for box in both if box is not None))
        _check_size(text, len(boxes))
    if not boxes:
        raise InvalidScopeError(text.strip(), "nothing can be all of these at once")
    if ALL in boxes and not has_all_term:
        raise InvalidScopeError(text.strip(), "this covers everything", "the word `all` where that is meant")
    return boxes


def _check_size(text: str, count: int) -> None:
    if count > MAX_BOXES:
        raise InvalidScopeError(text, f"{count} parts once its tags are put in", f"{MAX_BOXES} at most")


def _parse_term(term: str, catalog: Catalog, outer_tags: tuple[str, ...]) -> list[Box]:
    kind, colon, value = term.partition(":")
    if not colon or not value:
        raise InvalidScopeError(term, "no term")
    if kind == "tag":
        return _expand_tag(term, value, catalog, outer_tags)
    if kind not in _TERM_PARSERS:
        raise InvalidScopeError(term, f"unknown kind {kind!r}")
    return [_TERM_PARSERS[kind](term, value)]


def _expand_tag(term: str, tag: str, catalog: Catalog, outer_tags: tuple[str, ...]) -> list[Box]:
    if tag not in catalog:
        raise InvalidScopeError(term, "no such tag", "a tag of the catalog, or one sent along")
    if tag in outer_tags or len(outer_tags) >= MAX_TAG_DEPTH:
        raise InvalidScopeError(term, "it stands within itself", f"tags at most {MAX_TAG_DEPTH} deep")
    return _parse_union(catalog[tag], catalog, (*outer_tags, tag))


def _parse_object(term: str, value: str) -> Box:
    if not _HEX.fullmatch(value) or len(value) != OBJECT_ID_DIGITS:
        raise InvalidScopeError(term, "no object", f"{OBJECT_ID_DIGITS} hex digits")
    return Box(low=int(value, 16), high=int(value, 16))


def _parse_objects(term: str, value: str) -> Box:
    low, dots, high = value.partition("..")
    return _parse_range(term, low, high) if dots else _parse_glob(term, value)


def _parse_range(term: str, low: str, high: str) -> Box:
    if not (_HEX.fullmatch(low) and _HEX.fullmatch(high)):
        raise InvalidScopeError(term, "no range of objects", "FROM..TO in hex digits")
    first, last = _lowest_id(low), _highest_id(high)
    if first > last:
        raise InvalidScopeError(term, "the range is empty", "its smaller end first")
    return Box(low=first, high=last)


def _parse_glob(term: str, value: str) -> Box:
    digit_count = len(value) - value.count("*")
    has_wrong_length = digit_count > OBJECT_ID_DIGITS or (digit_count < OBJECT_ID_DIGITS and "*" not in value)
    if not _GLOB.fullmatch(value) or has_wrong_length:
        expected = f"{OBJECT_ID_DIGITS} places of hex digits and ?, or fewer with one *"
        raise InvalidScopeError(term, "no pattern", expected)
    digits = value.replace("*", "?" * (OBJECT_ID_DIGITS - digit_count))
    prefix = digits.rstrip("?")
    if "?" not in prefix:  # a prefix, or one object
        return Box(low=_lowest_id(prefix), high=_highest_id(prefix))
    mask = int("".join("0" if digit == "?" else "f" for digit in digits), 16)
    return Box(mask=mask, value=int(digits.replace("?", "0"), 16))


def _parse_group(term: str, value: str) -> Box:
    return Box(group=_parse_integer(term, value, MAX_GROUP))


def _parse_class(term: str, value: str) -> Box:
    if not _NAME.fullmatch(value):
        raise InvalidScopeError(term, "no class", "a name of letters, digits, . _ -")
    return Box(cls=value)


def _parse_parts(term: str, value: str) -> Box:
    first, dash, last = value.partition("-")
    low = _parse_integer(term, first, MAX_PART)
    high = _parse_integer(term, last, MAX_PART) if dash else low
    if low > high:
        raise InvalidScopeError(term, "the range is empty", "its smaller end first")
    return Box(part_low=low, part_high=high)


_TERM_PARSERS: dict[str, Callable[[str, str], Box]] = {
    "object": _parse_object,
    "objects": _parse_objects,
    "group": _parse_group,
    "class": _parse_class,
    "parts": _parse_parts,
}


def _parse_integer(term: str, text: str, maximum: int) -> int:
    is_integer = text.isascii() and text.isdecimal() and len(text) <= MAX_INTEGER_DIGITS
    if not is_integer or int(text) > maximum:
        raise InvalidScopeError(term, f"{text!r} is no number here", f"a whole number from 0 to {maximum}")
    return int(text)


def _range_text(low: int, high: int) -> str:
    """Formats a range, as a prefix if it is one."""
    difference = low ^ high
    bits = difference.bit_length()
    is_digit_aligned = bits % 4 == 0
    has_all_suffixes = difference == (1 << bits) - 1 and low & difference == 0
    if is_digit_aligned and has_all_suffixes:
        return f"{low:016x}"[: OBJECT_ID_DIGITS - bits // 4] + "*"
    return f"{low:016x}..{high:016x}"


def _glob_text(mask: int, value: int) -> str:
    digits = zip(f"{mask:016x}", f"{value:016x}", strict=True)
    return "".join(digit if known == "f" else "?" for known, digit in digits)


def intersect(one: Box, other: Box) -> Box | None:
    """Returns the box of everything that both boxes cover, or None if that is nothing."""
    if one.cls and other.cls and one.cls != other.cls:
        return None
    if one.group >= 0 and other.group >= 0 and one.group != other.group:
        return None
    part_low, part_high = max(one.part_low, other.part_low), min(one.part_high, other.part_high)
    if part_low > part_high:
        return None
    ids = _intersect_ids(one, other)
    if ids is None:
        return None
    group = max(one.group, other.group)
    return Box(one.cls or other.cls, group, ids.low, ids.high, ids.mask, ids.value, part_low, part_high)


class _Ids(NamedTuple):
    """The conditions of a box on object ids."""

    low: int
    high: int
    mask: int
    value: int


def _intersect_ids(one: Box, other: Box) -> _Ids | None:
    shared = one.mask & other.mask
    if one.value & shared != other.value & shared:
        return None
    low, high = max(one.low, other.low), min(one.high, other.high)
    if low > high:
        return None
    mask, value = one.mask | other.mask, one.value | other.value
    if mask and low == high:
        return _Ids(low, high, 0, 0) if low & mask == value else None
    if mask == MAX_OBJECT_ID:  # all digits are given, so this is one object
        return _Ids(value, value, 0, 0) if low <= value <= high else None
    return _Ids(low, high, mask, value)
