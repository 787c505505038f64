"""Kinds of values that a setting may have, and the one error for all settings that cannot be used. Pure.

A kind of value says what it accepts, into what it is converted, and how to describe it to whoever has to
correct the file. Which setting is of which kind stands with its reader (`deployment`, `settings_wire`,
`net/config`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from sys import float_info
from typing import Any, Final, Protocol

UNBOUNDED = float_info.max  # infinities, and whole numbers that no float holds, lie beyond it
SHOWN = 60  # characters of a wrong value that a message repeats


class _Mark(Enum):
    MISSING = "missing"
    REQUIRED = "required"


#: in place of a value: there is none
MISSING: Final = _Mark.MISSING
#: in place of a default: the setting may not be left out
REQUIRED: Final = _Mark.REQUIRED


class BadSetting(ValueError):  # noqa: N818  the simulator is told an error by its name
    """A setting that cannot be used.

    key: its path as the file has it, such as `rules.fall_ms` or `classes[0].effect`; empty: all of the file.
    found: the value there, MISSING where there is none.
    expected: what would do, in words.
    file: the path of the file; empty where the settings did not come from one.
    """

    def __init__(self, key: str, found: object, expected: str, file: str = "") -> None:
        super().__init__(key, found, expected, file)
        self.key = key
        self.found = found
        self.expected = expected
        self.file = file

    def __str__(self) -> str:
        """One line, whatever the value holds."""
        place = f"{self.file}: " if self.file else ""
        key = self.key or "the whole file"
        if self.found is MISSING:
            return f"{place}{key} is missing; expected {self.expected}"
        return f"{place}{key} is {_shown(self.found)}; expected {self.expected}"

    def within(self, parent: str) -> BadSetting:
        """The same of an object that is itself the value of a key."""
        key = f"{parent}.{self.key}" if self.key else parent
        return BadSetting(key, self.found, self.expected, self.file)


def _shown(value: object) -> str:
    text = ascii(value)
    return text if len(text) <= SHOWN else f"{text[:SHOWN]}..."


class Kind(Protocol):
    """A kind of value."""

    @property
    def expected(self) -> str:
        """In words, after 'expected'."""

    def accepts(self, value: Any) -> bool:
        """Whether a value can be used."""

    def convert(self, value: Any) -> Any:
        """An accepted value in the form in which it is kept."""


@dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""

    expected: str = "true or false"

    def accepts(self, value: Any) -> bool:
        """See `Kind.accepts`."""
        return isinstance(value, bool)

    def convert(self, value: Any) -> bool:
        """See `Kind.convert`."""
        return bool(value)


@dataclass(frozen=True, slots=True)
class Text:
    """A text of at least `least` characters, 0 or 1."""

    least: int = 1  # characters

    @property
    def expected(self) -> str:
        """See `Kind.expected`."""
        return "a text of at least one character" if self.least else "a text"

    def accepts(self, value: Any) -> bool:
        """See `Kind.accepts`."""
        return isinstance(value, str) and len(value) >= self.least

    def convert(self, value: Any) -> str:
        """See `Kind.convert`."""
        return str(value)


@dataclass(frozen=True, slots=True)
class Choice:
    """One of several words."""

    words: tuple[str, ...]

    @property
    def expected(self) -> str:
        """See `Kind.expected`."""
        return f"one of {', '.join(self.words)}"

    def accepts(self, value: Any) -> bool:
        """See `Kind.accepts`."""
        return isinstance(value, str) and value in self.words

    def convert(self, value: Any) -> str:
        """See `Kind.convert`."""
        return str(value)


@dataclass(frozen=True, slots=True)
class Number:
    """From `least` to `most`, both included; with `above`, `least` itself will not do."""

    least: float = 0.0
    most: float = UNBOUNDED
    integer: bool = False
    above: bool = False

    @property
    def expected(self) -> str:
        """See `Kind.expected`."""
        noun = "a whole number" if self.integer else "a number"
        if self.above:
            return f"{noun} above {self.least:g}" + (
                "" if self.most == UNBOUNDED else f", {self.most:.12g} at most"
            )
        if self.most == UNBOUNDED:
            return f"{noun} of {self.least:g} or more"
        return f"{noun} from {self.least:g} to {self.most:.12g}"

    def accepts(self, value: Any) -> bool:
        """See `Kind.accepts`."""
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            return False
        # of NaN every comparison is false
        within = self.least < value <= self.most if self.above else self.least <= value <= self.most
        return within and (not self.integer or value == int(value))

    def convert(self, value: Any) -> int | float:
        """See `Kind.convert`."""
        return int(value) if self.integer else float(value)


@dataclass(frozen=True, slots=True)
class Parsed:
    """A text of a form of its own. `parse` raises ValueError for what has another."""

    expected: str
    parse: Callable[[str], Any]

    def accepts(self, value: Any) -> bool:
        """See `Kind.accepts`."""
        if not isinstance(value, str):
            return False
        try:
            self.parse(value)
        except ValueError:
            return False
        return True

    def convert(self, value: Any) -> Any:
        """See `Kind.convert`."""
        return self.parse(value)


@dataclass(frozen=True, slots=True)
class Field:
    """One setting of an object: its kind of value, and its default unless it is required."""

    kind: Kind
    default: Any = REQUIRED


def read_value(value: Any, kind: Kind, key: str) -> Any:
    """The value, converted. Raises BadSetting, which names `key`."""
    if not kind.accepts(value):
        raise BadSetting(key, value, kind.expected)
    return kind.convert(value)


def read_object(value: Any, key: str) -> Mapping[str, Any]:
    """The value as an object. Raises BadSetting, which names `key`."""
    if value is None or value is MISSING:
        raise BadSetting(key, MISSING, "an object")
    if not isinstance(value, Mapping):
        raise BadSetting(key, value, "an object")
    return value


def read_fields(raw: Any, fields: Mapping[str, Field], key: str = "") -> dict[str, Any]:
    """The values of an object's fields; `key` is its own path. Other fields of it are ignored, and null
    counts as absent. Raises BadSetting."""
    found = read_object(raw, key)
    prefix = f"{key}." if key else ""
    values = {}
    for name, field in fields.items():
        value = found.get(name)
        if value is not None:
            values[name] = read_value(value, field.kind, f"{prefix}{name}")
        elif field.default is REQUIRED:
            raise BadSetting(f"{prefix}{name}", MISSING, field.kind.expected)
        else:
            values[name] = field.default
    return values


def read_list(value: Any, kind: Kind, key: str, length: int | None = None, of: str = "") -> tuple[Any, ...]:
    """The values of a list: one for each of `length` items, which `of` names, or any number if that is None.
    A list that is absent or empty gives none. Raises BadSetting, which names the element at fault."""
    if value is None or (isinstance(value, (list, tuple)) and not value):
        return ()
    each = "" if length is None else f" of {length}, one for each {of}"
    if not isinstance(value, (list, tuple)) or length not in (None, len(value)):
        raise BadSetting(key, value, f"a list{each}")
    return tuple(read_value(item, kind, f"{key}[{place}]") for place, item in enumerate(value))
