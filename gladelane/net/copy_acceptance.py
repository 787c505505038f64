"""Decides whether a copy may answer a request now. Pure.

Two bounds limit the date of a copy. The bound at the send follows from all that was known when the request
was written: every purge, being cut off, losses and the retention. The bound at the answer follows from what
is promised at the moment at which an answer is passed on: purges whose stated delay is over, being cut off,
and losses. Either may be the later one. A purge binds a new request at once, but an answer only after its
delay, since the caller of a request that is out would otherwise wait for a second attempt without need.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple

from ..clock import UnixMs
from .known_purges import NO_DATE

DATE_SLACK_MS = 5.0  # tolerance, since dates and ages are rounded to ms on the wire


class CopyVerdict(Enum):
    """What becomes of a copy."""

    ACCEPTED = auto()
    NONCOMPLIANT = auto()  # older than its request permitted: the server is at fault
    PURGED = auto()  # a purge came while it was out, and its delay is over: the server is sound
    TOO_OLD = auto()  # being cut off or a loss limits copies more than at the send: the server is sound


class AnswerBounds(NamedTuple):
    """The oldest dates that a copy may have when it is passed on; `NO_DATE` if there is no limit.

    Attributes: by_purges; by_age, which follows from being cut off and from losses."""

    by_purges: UnixMs = NO_DATE
    by_age: UnixMs = NO_DATE


class Judgement(NamedTuple):
    """A verdict, and by how much the copy is too old, in ms; 0.0 if it is accepted."""

    verdict: CopyVerdict
    excess_ms: float = 0.0


def judge_copy(dated: UnixMs, at_send: UnixMs, at_answer: AnswerBounds) -> Judgement:
    """Judges a copy by its date. One without a date counts as the oldest that its request permitted, since
    the server was told that bound and nothing else is known of the copy."""
    if dated and dated + DATE_SLACK_MS < at_send:
        return Judgement(CopyVerdict.NONCOMPLIANT, at_send - dated)
    effective_date = dated or at_send
    if effective_date + DATE_SLACK_MS < at_answer.by_purges:
        return Judgement(CopyVerdict.PURGED, at_answer.by_purges - effective_date)
    if effective_date + DATE_SLACK_MS < at_answer.by_age:
        return Judgement(CopyVerdict.TOO_OLD, at_answer.by_age - effective_date)
    return Judgement(CopyVerdict.ACCEPTED)
