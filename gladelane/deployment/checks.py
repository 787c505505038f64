"""Kinds of values that a setting may have, and the single error type for invalid settings. Pure.

A kind of value defines what it accepts, how it converts an accepted value, and how it is described to the
person who has to correct the file. The modules that read settings (`deployment`, `deployment.wire`,
`net/config`) assign a kind to each setting.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from sys import float_info
from typing import Any, Final, Protocol

UNBOUNDED = float_info.max  # infinities and integers that no float can represent are greater
SHOWN = 60  # how many characters of an invalid value a message repeats


class _Mark(Enum):
    MISSING = "missing"
    REQUIRED = "required"


#: stands for the value of a setting that is absent
MISSING: Final = _Mark.MISSING
#: stands for the default of a setting that must be given
REQUIRED: Final = _Mark.REQUIRED


class BadSetting(ValueError):  # noqa: N818  the simulator's wire carries the name
    """A setting that cannot be used.

    key: its path in the file, such as `rules.fall_ms` or `classes[0].effect`; empty for the complete file.
    found: the value there, or MISSING.
    expected: a description of the values that are accepted.
    file: the path of the file; empty if the settings did not come from a file.
    """

    def __init__(self, key: str, found: object, expected: str, file: str = "") -> None:
        super().__init__(key, found, expected, file)
        self.key = key
        self.found = found
        self.expected = expected
        self.file = file

    def __str__(self) -> str:
        """The message, which is a single line whatever the value contains."""
        place = f"{self.file}: " if self.file else ""
        key = self.key or "the whole file"
        if self.found is MISSING:
            return f"{place}{key} is missing; expected {self.expected}"
        return f"{place}{key} is {_shown(self.found)}; expected {self.expected}"

    def within(self, parent: str) -> BadSetting:
        """The same error with its key prefixed by `parent`, the key of the object that it was found in."""
        key = f"{parent}.{self.key}" if self.key else parent
        return BadSetting(key, self.found, self.expected, self.file)


def _shown(value: object) -> str:
    text = ascii(value)
    return text if len(text) <= SHOWN else f"{text[:SHOWN]}..."


class Kind(Protocol):
    """A kind of value."""

    @property
    def expected(self) -> str:
        """The accepted values in words, as they follow 'expected' in a message."""

    def accepts(self, value: Any) -> bool:
        """Whether the value can be used."""

    def convert(self, value: Any) -> Any:
        """Converts an accepted value to the form that the program stores."""


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
    """A string of at least `least` characters, which is 0 or 1."""

    least: int = 1

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
    """One of a fixed set of words."""

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
    """A number from `least` to `most`, both included; `above` excludes `least` itself. With `integer` it must
    have no fractional part."""

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
        # NaN is rejected, because every comparison with it is false
        within = self.least < value <= self.most if self.above else self.least <= value <= self.most
        return within and (not self.integer or value == int(value))

    def convert(self, value: Any) -> int | float:
        """See `Kind.convert`."""
        return int(value) if self.integer else float(value)


@dataclass(frozen=True, slots=True)
class Parsed:
    """A string with its own syntax. `parse` converts it, and raises ValueError if it is malformed."""

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
    """One setting of an object: its kind of value and its default; without a default it is required."""

    kind: Kind
    default: Any = REQUIRED


def read_value(value: Any, kind: Kind, key: str) -> Any:
    """Checks and converts one value. Raises BadSetting, which names `key`."""
    if not kind.accepts(value):
        raise BadSetting(key, value, kind.expected)
    return kind.convert(value)


def read_object(value: Any, key: str) -> Mapping[str, Any]:
    """Returns the value if it is an object. Raises BadSetting, which names `key`."""
    if value is None or value is MISSING:
        raise BadSetting(key, MISSING, "an object")
    if not isinstance(value, Mapping):
        raise BadSetting(key, value, "an object")
    return value


def read_fields(raw: Any, fields: Mapping[str, Field], key: str = "") -> dict[str, Any]:
    """Reads the listed fields of an object, whose own path is `key`. Other fields are ignored, and null
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
    """Reads a list of `length` values, one for each `of` (`zone`, for example), or of any length if `length`
    is None. A list that is absent or empty gives an empty tuple. Raises BadSetting, which names the invalid
    element."""
    if value is None or (isinstance(value, (list, tuple)) and not value):
        return ()
    each = "" if length is None else f" of {length}, one for each {of}"
    if not isinstance(value, (list, tuple)) or length not in (None, len(value)):
        raise BadSetting(key, value, f"a list{each}")
    return tuple(read_value(item, kind, f"{key}[{place}]") for place, item in enumerate(value))
