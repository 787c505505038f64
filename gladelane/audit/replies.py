"""The control server's answers to audit queries, as commands read them. No I/O.

Every answer names its control server and lists what that server may not know. The names of the JSON
fields are fixed.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from .director_state import DirectorStatus
from .escalation import EscalationPolicy
from .records import AuditRow, Inconsistency
from .wire import ExpectedDigests

Views = dict[str, dict[str, Any]]  # by id: the fields of each view


class ReplyHead(NamedTuple):
    """The first fields of each answer: the control server's name and epoch, its clock, and a line for each
    thing that it may not know."""

    server: str
    epoch: int
    now_ms: float
    lacks: list[str]


class Reply(msgspec.Struct):
    """The fields of `ReplyHead`."""

    server: str = msgspec.field(name="feed")
    epoch: int
    now_ms: float
    lacks: list[str]


class AuditReply(Reply):
    """What directors did. `cut` is true if there were more rows than one answer can hold."""

    rows: list[AuditRow]
    cut: bool
    views: Views


class VersionsReply(Reply):
    """The view that each director acts on now, and the digests that operators expect."""

    rows: list[AuditRow]
    views: Views
    expects: list[ExpectedDigests]


class LaggingReply(Reply):
    """The directors that lag. `source` holds the parts that most directors lack, with the number of these
    directors; `restricted` counts the directors that are restricted or worse."""

    directors: list[DirectorStatus] = msgspec.field(name="stragglers")
    source: dict[str, int]
    restricted: int = msgspec.field(name="held_back")


class ExplainReply(Reply):
    """The state of one director, and the escalation policy that applies to it."""

    explained: DirectorStatus
    policy: EscalationPolicy = msgspec.field(name="ladder")
    source: dict[str, int]


class ExpectReply(Reply):
    """The digests that operators expect."""

    expects: list[ExpectedDigests]


class VerifyReply(Reply):
    """The inconsistencies found in the stored reports."""

    wrong: list[Inconsistency]
