"""Types of values that a setting may have, and the single error type for invalid settings. Pure.

A value type defines which values it accepts, how it converts an accepted value, and how an error message
describes the accepted values. The modules that read settings (`deployment`, `deployment.wire`, `net.config`)
assign a value type to each setting.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from enum import Enum
from sys import float_info
from typing import Any, Final, Protocol

UNBOUNDED = float_info.max  # also rejects infinity and integers that are too large for a float
MAX_SHOWN_CHARS = 60  # of an invalid value in an error message


class _Sentinel(Enum):
    MISSING = "missing"
    REQUIRED = "required"


#: the value of a setting that is absent
MISSING: Final = _Sentinel.MISSING
#: the default of a setting that must be given
REQUIRED: Final = _Sentinel.REQUIRED


class BadSetting(ValueError):  # noqa: N818  the simulator's wire carries the name
    """A setting that cannot be used.

    key: its path in the file, such as `rules.fall_ms` or `classes[0].effect`; empty for the file as a whole.
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
        """The error message, always a single line."""
        prefix = f"{self.file}: " if self.file else ""
        key = self.key or "the whole file"
        if self.found is MISSING:
            return f"{prefix}{key} is missing; expected {self.expected}"
        return f"{prefix}{key} is {_format_value(self.found)}; expected {self.expected}"

    def within(self, parent: str) -> BadSetting:
        """The same error with its key prefixed by `parent`, the key of the object that contains the
        setting."""
        key = f"{parent}.{self.key}" if self.key else parent
        return BadSetting(key, self.found, self.expected, self.file)


def _format_value(value: object) -> str:
    text = ascii(value)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


class ValueType(Protocol):
    """The type of a setting's value."""

    @property
    def expected(self) -> str:
        """A description of the accepted values, which follows 'expected' in an error message."""

    def accepts(self, value: Any) -> bool:
        """Whether the value can be used."""

    def convert(self, value: Any) -> Any:
        """Converts an accepted value to the form that the program stores."""


@dataclass(frozen=True, slots=True)
class Flag:
    """True or false."""

    expected: str = "true or false"

    def accepts(self, value: Any) -> bool:
        """See `ValueType.accepts`."""
        return isinstance(value, bool)

    def convert(self, value: Any) -> bool:
        """See `ValueType.convert`."""
        return bool(value)


@dataclass(frozen=True, slots=True)
class Text:
    """A string of at least `min_length` characters, which is 0 or 1."""

    min_length: int = 1

    @property
    def expected(self) -> str:
        """See `ValueType.expected`."""
        return "a text of at least one character" if self.min_length else "a text"

    def accepts(self, value: Any) -> bool:
        """See `ValueType.accepts`."""
        return isinstance(value, str) and len(value) >= self.min_length

    def convert(self, value: Any) -> str:
        """See `ValueType.convert`."""
        return str(value)


@dataclass(frozen=True, slots=True)
class Choice:
    """One of a fixed set of strings."""

    choices: tuple[str, ...]

    @property
    def expected(self) -> str:
        """See `ValueType.expected`."""
        return f"one of {', '.join(self.choices)}"

    def accepts(self, value: Any) -> bool:
        """See `ValueType.accepts`."""
        return isinstance(value, str) and value in self.choices

    def convert(self, value: Any) -> str:
        """See `ValueType.convert`."""
        return str(value)


@dataclass(frozen=True, slots=True)
class Number:
    """A number from `min_value` to `max_value`, both included; `exclusive_min` excludes `min_value` itself.
    With `integer` it must have no fractional part."""

    min_value: float = 0.0
    max_value: float = UNBOUNDED
    integer: bool = False
    exclusive_min: bool = False

    @property
    def expected(self) -> str:
        """See `ValueType.expected`."""
        noun = "a whole number" if self.integer else "a number"
        if self.exclusive_min:
            return f"{noun} above {self.min_value:g}" + (
                "" if self.max_value == UNBOUNDED else f", {self.max_value:.12g} at most"
            )
        if self.max_value == UNBOUNDED:
            return f"{noun} of {self.min_value:g} or more"
        return f"{noun} from {self.min_value:g} to {self.max_value:.12g}"

    def accepts(self, value: Any) -> bool:
        """See `ValueType.accepts`."""
        if not isinstance(value, (int, float)) or isinstance(value, bool):
            return False
        # NaN is rejected, because every comparison with it is false
        is_in_range = (
            self.min_value < value <= self.max_value
            if self.exclusive_min
            else self.min_value <= value <= self.max_value
        )
        return is_in_range and (not self.integer or value == int(value))

    def convert(self, value: Any) -> int | float:
        """See `ValueType.convert`."""
        return int(value) if self.integer else float(value)


@dataclass(frozen=True, slots=True)
class Parsed:
    """A string with a syntax of its own: `parse` converts it, and raises ValueError if it is malformed."""

    expected: str
    parse: Callable[[str], Any]

    def accepts(self, value: Any) -> bool:
        """See `ValueType.accepts`."""
        if not isinstance(value, str):
            return False
        try:
            self.parse(value)
        except ValueError:
            return False
        return True

    def convert(self, value: Any) -> Any:
        """See `ValueType.convert`."""
        return self.parse(value)


@dataclass(frozen=True, slots=True)
class Field:
    """One setting of an object: its value type and its default. A setting without a default is required."""

    value_type: ValueType
    default: Any = REQUIRED


def read_value(value: Any, value_type: ValueType, key: str) -> Any:
    """Checks and converts one value. Raises BadSetting with this `key`."""
    if not value_type.accepts(value):
        raise BadSetting(key, value, value_type.expected)
    return value_type.convert(value)


def read_object(value: Any, key: str) -> Mapping[str, Any]:
    """Returns the value if it is an object. Raises BadSetting with this `key`."""
    if value is None or value is MISSING:
        raise BadSetting(key, MISSING, "an object")
    if not isinstance(value, Mapping):
        raise BadSetting(key, value, "an object")
    return value


def read_fields(raw: Any, fields: Mapping[str, Field], key: str = "") -> dict[str, Any]:
    """Reads the given fields of the object at the path `key`. Other fields are ignored, and null counts as
    absent. Raises BadSetting."""
    source = read_object(raw, key)
    prefix = f"{key}." if key else ""
    values = {}
    for name, field in fields.items():
        value = source.get(name)
        if value is not None:
            values[name] = read_value(value, field.value_type, f"{prefix}{name}")
        elif field.default is REQUIRED:
            raise BadSetting(f"{prefix}{name}", MISSING, field.value_type.expected)
        else:
            values[name] = field.default
    return values


def read_list(
    value: Any, value_type: ValueType, key: str, length: int | None = None, of: str = ""
) -> tuple[Any, ...]:
    """Reads a list. It must have `length` values, one for each `of` (such as "zone"), unless `length` is
    None.

    A list that is absent or empty gives an empty tuple. Raises BadSetting, whose key is the path of the list
    or of the invalid element."""
    if value is None or (isinstance(value, (list, tuple)) and not value):
        return ()
    length_text = "" if length is None else f" of {length}, one for each {of}"
    if not isinstance(value, (list, tuple)) or length not in (None, len(value)):
        raise BadSetting(key, value, f"a list{length_text}")
    return tuple(read_value(item, value_type, f"{key}[{index}]") for index, item in enumerate(value))
