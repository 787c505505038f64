"""Messages between directors, control servers and commands about the audit. No I/O.

    POST /reports        a `Report`, answered with a `ReportReply` once its new content is stored
    POST /handed         reports that another control server accepted (`ReplicatedReports`), answered with
                         `StoredPositions` once stored
    GET  /fleet/...      queries of commands, answered with JSON
    POST /fleet/expect   an operator's decision on which settings, operator's file or program are to be used

The names of JSON fields are fixed. Where one differs from the attribute's name, `msgspec.field` sets it.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from .activity_log import ActivityInterval, LostIntervals
from .view import View
from .view_lease import Verdict

MAX_REPORT_INTERVALS = 400  # intervals in one report
MAX_REPLICATED_INTERVALS = 2_000  # intervals in one message between control servers


class RunId(NamedTuple):
    """Identifies one start of a director. Stored as an array."""

    director: str
    start: int


class ClockOffset(NamedTuple):
    """Bounds of how far the control server's clock is ahead of the director's, in ms. Sent as an array."""

    low_ms: float
    high_ms: float


class Report(msgspec.Struct, omit_defaults=True):
    """A report on the activity of one start of a director.

    `sent_ms` is Unix ms by the director's clock. `offset` bounds how far the clock of the control server
    named `clock` is ahead of it, as measured in earlier exchanges. `current` is false in a report on behalf
    of an earlier process. `first` is the first interval that the sender still has; two control servers have
    stored those before it. The control server that accepts the report adds `taken_ms`, by its own clock, and
    its name as `by`.
    """

    director: str
    start: int
    zone: str
    sent_ms: float
    view: View = View()
    intervals: list[ActivityInterval] = msgspec.field(default_factory=list, name="spans")
    views: dict[str, View] = {}
    open: ActivityInterval | None = None
    lost: list[LostIntervals] = []
    offset: ClockOffset | None = None
    clock: str = ""
    current: bool = True
    stage: int = 0
    taken_ms: float = 0.0
    by: str = ""
    first: int = 1

    @property
    def run_id(self) -> RunId:
        """The director and the start that the report is about."""
        return RunId(self.director, self.start)


class ReportReply(msgspec.Struct, omit_defaults=True):
    """A control server's answer to a report.

    This server has all intervals up to `stored`, and two servers have all up to `copied`. The lease of
    `lease_ms` counts from before the report was sent. `now_ms` is the server's clock. `stores` is false while
    its disk accepts no writes.
    """

    server: str = msgspec.field(name="feed")
    epoch: int
    now_ms: float
    stored: int
    copied: int
    lease_ms: float = msgspec.field(name="tenure_ms")
    verdict: Verdict = Verdict()
    stores: bool = True


class ExpectedDigests(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """An operator's decision: from `since_ms` (Unix ms) on `part` (settings, operator or program) must have
    one of `digests`; without digests any is accepted. The latest decision on a part counts."""

    part: str
    digests: tuple[str, ...] = ()
    since_ms: float = 0.0
    by: str = ""


class ReplicatedReports(msgspec.Struct, omit_defaults=True):
    """The replication message from one control server to another. `sent_ms` is by the sender's clock; 0 means
    unknown."""

    server: str = msgspec.field(name="feed")
    epoch: int
    reports: list[Report] = []
    expects: list[ExpectedDigests] = []
    sent_ms: float = 0.0


class StoredPosition(msgspec.Struct, array_like=True):
    """States that a control server has all intervals of one start up to `last_number`."""

    director: str
    start: int
    last_number: int


class StoredPositions(msgspec.Struct, omit_defaults=True):
    """How far a control server has stored each start. `is_complete` means that all starts that it knows are
    included."""

    server: str = msgspec.field(name="feed")
    epoch: int
    marks: list[StoredPosition] = []
    is_complete: bool = msgspec.field(default=False, name="whole")


report_decoder: msgspec.json.Decoder[Report] = msgspec.json.Decoder(Report)
reply_decoder: msgspec.json.Decoder[ReportReply] = msgspec.json.Decoder(ReportReply)
replicated_decoder: msgspec.json.Decoder[ReplicatedReports] = msgspec.json.Decoder(ReplicatedReports)
positions_decoder: msgspec.json.Decoder[StoredPositions] = msgspec.json.Decoder(StoredPositions)
expected_decoder: msgspec.json.Decoder[ExpectedDigests] = msgspec.json.Decoder(ExpectedDigests)
encode_json = msgspec.json.encode
