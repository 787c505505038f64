"""Answers to questions about the audit, as commands read them. No I/O.

Every answer names the control server that gives it and what that server may not know. The names of the JSON
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
    """What directors did. `cut`: there are more rows than one answer holds."""

    rows: list[AuditRow]
    cut: bool
    views: Views


class VersionsReply(Reply):
    """What each director acts on now, and what operators expect."""

    rows: list[AuditRow]
    views: Views
    expects: list[ExpectedDigests]


class LaggingReply(Reply):
    """Which directors lag. `source` holds the parts that most directors lack, and how many do;
    `restricted` counts the directors that are restricted or worse."""

    directors: list[DirectorStatus] = msgspec.field(name="stragglers")
    source: dict[str, int]
    restricted: int = msgspec.field(name="held_back")


class ExplainReply(Reply):
    """The state of one director, and the policy by which it is judged."""

    explained: DirectorStatus
    policy: EscalationPolicy = msgspec.field(name="ladder")
    source: dict[str, int]


class ExpectReply(Reply):
    """What operators expect."""

    expects: list[ExpectedDigests]


class VerifyReply(Reply):
    """What does not fit together in the reports."""

    wrong: list[Inconsistency]
