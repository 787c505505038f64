"""What travels between directors, feeds and commands about the audit. No I/O.

POST /reports   a `Report`, answered with an `Answer` once what is new of it is stored
POST /handed    reports that another feed took (`Handed`), answered with `Marks` once stored
GET  /fleet/... questions of commands, answered with JSON
POST /fleet/expect   an operator's word on which settings, operator's file or program are to be used
"""

from __future__ import annotations

import msgspec

from .tenure import Verdict
from .trail import Lost, Span
from .view import View

A_REPORT = 400  # spans in one report
MOST_REPORT = 2_000_000  # bytes
A_HANDING = 2_000  # spans in one message between feeds


class Report(msgspec.Struct, omit_defaults=True):
    """Of one start of a director. sent_ms: its Unix clock. offset: bounds of what the feed's clock shows
    beyond its own, in ms, with `clock`, the feed's name, as found in earlier exchanges. current: the process
    lives; else it tells what the one before it left behind. first: the first span that the sender still has;
    what lies before it two feeds had once. The feed that takes it adds `taken_ms`, by its own clock, and its
    name as `by`."""

    director: str
    start: int
    zone: str
    sent_ms: float
    view: View = View()
    spans: list[Span] = []
    views: dict[str, View] = {}
    open: Span | None = None
    lost: list[Lost] = []
    offset: tuple[float, float] | None = None
    clock: str = ""
    current: bool = True
    stage: int = 0
    taken_ms: float = 0.0
    by: str = ""
    first: int = 1


class Answer(msgspec.Struct, omit_defaults=True):
    """stored, copied: the last span up to which this feed has all, and two feeds have. tenure_ms: from before
    the question was sent. now_ms: the feed's clock."""

    feed: str
    epoch: int
    now_ms: float
    stored: int
    copied: int
    tenure_ms: float
    verdict: Verdict = Verdict()


class Expect(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """An operator's word: `part` is settings, operator or program; digests: those that are right from
    `since_ms` on, none: any. The latest word counts."""

    part: str
    digests: tuple[str, ...] = ()
    since_ms: float = 0.0
    by: str = ""


class Handed(msgspec.Struct, omit_defaults=True):
    feed: str
    epoch: int
    reports: list[Report] = []
    expects: list[Expect] = []


class Mark(msgspec.Struct, array_like=True):
    director: str
    start: int
    upto: int


class Marks(msgspec.Struct, omit_defaults=True):
    """Up to where a feed has all spans of each start; whole: all starts that it knows are named."""

    feed: str
    epoch: int
    marks: list[Mark] = []
    whole: bool = False


report_decoder: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)
answer_decoder: msgspec.json.Decoder[Answer] = msgspec.json.Decoder(Answer)
handed_decoder: msgspec.json.Decoder[Handed] = msgspec.json.Decoder(Handed)
marks_decoder: msgspec.json.Decoder[Marks] = msgspec.json.Decoder(Marks)
expect_decoder: msgspec.json.Decoder[Expect] = msgspec.json.Decoder(Expect)
encode_json = msgspec.json.encode
