"""Answers to questions about the audit, as commands read them. No I/O.

Every answer says whose it is and what it may lack.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

from .ledger import Row, Wrong
from .straggle import Explained, Ladder
from .wire import Expect

Views = dict[str, dict[str, Any]]  # by digest: the fields of each view


class ReplyHead(NamedTuple):
    """feed, epoch: of the server that answers, by its clock's now_ms; lacks: a line for each thing that it
    may not know."""

    feed: str
    epoch: int
    now_ms: float
    lacks: list[str]


class Reply(msgspec.Struct):
    """As `ReplyHead`."""

    feed: str
    epoch: int
    now_ms: float
    lacks: list[str]


class AuditReply(Reply):
    """cut: there are more rows than one answer holds."""

    rows: list[Row]
    cut: bool
    views: Views


class VersionsReply(Reply):
    rows: list[Row]
    views: Views
    expects: list[Expect]


class StragglersReply(Reply):
    """source: parts that most directors lack, and how many do; held_back: directors that serve less now."""

    stragglers: list[Explained]
    source: dict[str, int]
    held_back: int


class ExplainReply(Reply):
    explained: Explained
    ladder: Ladder
    source: dict[str, int]


class ExpectReply(Reply):
    expects: list[Expect]


class VerifyReply(Reply):
    wrong: list[Wrong]
