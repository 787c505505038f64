"""The records of audit results: rows on what directors did, conflicts and inconsistencies. No I/O."""

from __future__ import annotations

from enum import Enum

import msgspec

from .activity_log import ClassCounts
from .wire import ClockOffset


class BadReportError(ValueError):
    """A report or snapshot has invalid content. `found` is the invalid content, `expected` describes valid
    content."""

    def __init__(self, found: str, expected: str = "") -> None:
        super().__init__(f"{found}; expected {expected}" if expected else found)
        self.found, self.expected = found, expected


class Conflict(msgspec.Struct, array_like=True):
    """Two intervals with the same number and different content, identified by their seals `seal` and `other`.
    Fields are stored by their position."""

    director: str
    start: int
    number: int
    seal: str
    other: str


class Knowledge(Enum):
    """What the audit knows about a time range. The values appear in answers."""

    ACTED = "acted"
    UNKNOWN = "unknown"
    NOT_RUNNING = "not running"


class AuditRow(msgspec.Struct):
    """A time range of one start of a director, in ms of the director's clock.

    `known` is a value of `Knowledge`; with "acted" the fields of the interval follow. `why` is the reason for
    which something is unknown. `offset` bounds how far the control server's clock is ahead of the director's.
    `by` is the control server that accepted the report. The names of the JSON fields are fixed.
    """

    director: str
    start: int
    zone: str
    from_ms: float
    to_ms: float
    known: str
    number: int = 0
    view: str = ""
    counts: dict[str, ClassCounts] = {}
    value: float = msgspec.field(default=0.0, name="worth")
    why: str = ""
    offset: ClockOffset | None = None
    by: str = ""


class Inconsistency(msgspec.Struct):
    """Something in the reports that does not fit together. `what` is altered, dropped, doubled, dated or
    unnamed (a view under a wrong id); or missing: the newest intervals have not arrived yet."""

    director: str
    start: int
    number: int
    what: str
