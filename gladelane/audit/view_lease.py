"""The view lease: how long a director may act on its view without a reply from a control server. No I/O, no
clock.

A control server grants the lease with each reply to a report. The lease counts from before the report was
sent, on a monotonic clock that also advances while the machine is suspended, so it has expired on the
director whenever the server assumes that it has. A late reply therefore grants a short lease, or none. Only
replies renew it; reports alone do not.

A process that was suspended past the end of its lease does nothing until it has reported again. If it reports
and gets no reply, it may continue with requests of classes that are not strict if the operator allows it
(`alone="strict"`), as long as it keeps reporting. With `list_lease_ms` the endpoint list has a lease of its
own, which the discovery server renews.

A verdict lists the parts that the director's view lacks. The director rejects a verdict if the view that it
reported lacks none of them, since such a server knows less than the director does.
"""

from __future__ import annotations

from enum import IntEnum
from typing import Literal

import msgspec

from ..control_plane.positions import InvalidPositionError
from .view import View, covers, parse_positions

CLOCK_DRIFT = 0.001  # the greatest relative difference in rate between two monotonic clocks
CLOCK_READING_MS = 1.0  # the greatest error of one clock reading
DIGEST_PARTS = ("settings", "operator", "program")
IsolationPolicy = Literal["out", "strict"]


class Stage(IntEnum):
    """The escalation stage of a lagging director. The numbers are sent in reports and metrics."""

    HEALTHY = 0
    NOTIFIED = 1
    RESYNCING = 2  # follows all control servers from the beginning, reconnects to the discovery server
    RESTRICTED = 3  # does not serve strict classes
    DRAINED = 4  # fails its readiness check and tells clients to disconnect
    QUARANTINED = 5  # sends no attempts and no responses

    @property
    def label(self) -> str:
        """The stage's fixed name in logs, answers and commands."""
        return STAGE_LABELS[self]


STAGE_LABELS = {
    Stage.HEALTHY: "well",
    Stage.NOTIFIED: "told",
    Stage.RESYNCING: "again",
    Stage.RESTRICTED: "kept",
    Stage.DRAINED: "emptied",
    Stage.QUARANTINED: "out",
}


class MissingParts(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a view must have in order not to lag: at least this revision of the list, these purges and this
    low watermark, and one of these digests for each other part. A default value means that the part is not
    lacking."""

    list_source: str = msgspec.field(default="", name="board")
    rev: int = 0
    list: str = ""
    purges: str = ""
    low_watermark_ms: float = msgspec.field(default=0.0, name="horizon_ms")
    settings: tuple[str, ...] = ()
    operator: tuple[str, ...] = ()
    program: tuple[str, ...] = ()


class Verdict(msgspec.Struct, frozen=True, omit_defaults=True):
    """A control server's decision on a director. `reason` is for logs. `returning` means that the director
    has caught up and will be readmitted later."""

    stage: Stage = Stage.HEALTHY
    reason: str = msgspec.field(default="", name="why")
    missing: MissingParts = msgspec.field(default=MissingParts(), name="lacks")
    returning: bool = False


def parts_still_missing(view: View, missing: MissingParts) -> list[str]:
    """The names of the parts that a view still lacks."""
    found = []
    if _lacks_list(view, missing):
        found.append("list")
    if missing.purges and _lacks_purges(view, missing):
        found.append("purges")
    if missing.low_watermark_ms > view.low_watermark_ms:
        found.append("horizon")
    for part in DIGEST_PARTS:
        accepted = getattr(missing, part)
        if accepted and getattr(view, part) not in accepted:
            found.append(part)
    return found


def _lacks_list(view: View, missing: MissingParts) -> bool:
    if not missing.rev or missing.list_source != view.list_source:
        return False
    if view.rev < missing.rev:
        return True
    return bool(missing.list) and view.rev == missing.rev and view.list != missing.list


def _lacks_purges(view: View, missing: MissingParts) -> bool:
    try:
        return not covers(parse_positions(view.purges), parse_positions(missing.purges))
    except InvalidPositionError:
        return False


class ViewLease:
    """A director's lease. All times are ms of one monotonic clock."""

    def __init__(self, alone: IsolationPolicy = "out", list_lease_ms: float = 0.0) -> None:
        """`alone` is the policy while no control server answers. `list_lease_ms` is how long the endpoint
        list is valid without a reply from the discovery server; 0 means without limit."""
        self.alone, self.list_lease_ms = alone, list_lease_ms
        self.expires_ms = 0.0
        #: until when requests that are not strict are permitted without a lease
        self.isolation_expires_ms = 0.0
        self.list_expires_ms = 0.0
        self.stage = Stage.HEALTHY
        self.reason = ""
        self.rejected_verdicts = 0

    def renew(self, requested_ms: float, duration_ms: float) -> None:
        """Extends the lease after a reply to a report that was sent after `requested_ms`."""
        usable_ms = duration_ms * (1.0 - CLOCK_DRIFT) - CLOCK_READING_MS
        self.expires_ms = max(self.expires_ms, requested_ms + max(usable_ms, 0.0))

    def record_unanswered(self, requested_ms: float, duration_ms: float) -> None:
        """Records that a report which was sent after `requested_ms` got no reply."""
        usable_ms = duration_ms * (1.0 - CLOCK_DRIFT) - CLOCK_READING_MS
        self.isolation_expires_ms = max(self.isolation_expires_ms, requested_ms + usable_ms)

    def renew_list(self, requested_ms: float) -> None:
        """Extends the lease of the endpoint list after a reply to a poll that was sent after
        `requested_ms`."""
        self.list_expires_ms = max(self.list_expires_ms, requested_ms + self.list_lease_ms)

    def apply_verdict(self, verdict: Verdict, view: View) -> bool:
        """Applies a server's verdict on the reported `view`. Returns False if the verdict is rejected, which
        leaves the director healthy."""
        if verdict.returning:
            is_valid = verdict.stage <= self.stage
        else:
            is_valid = verdict.stage is Stage.HEALTHY or bool(parts_still_missing(view, verdict.missing))
        if is_valid:
            self.stage, self.reason = verdict.stage, verdict.reason
        else:
            self.rejected_verdicts += 1
            self.stage, self.reason = Stage.HEALTHY, ""
        return is_valid

    def permits(self, is_strict: bool, now_ms: float) -> bool:
        """Whether the director may now send an attempt, or the response to a request of a strict class."""
        if self.list_lease_ms and now_ms >= self.list_expires_ms:
            return False
        if now_ms < self.expires_ms:
            return self.stage < Stage.RESTRICTED or (self.stage < Stage.QUARANTINED and not is_strict)
        if self.alone != "strict" or is_strict:
            return False
        return now_ms < self.isolation_expires_ms and self.stage < Stage.QUARANTINED

    def is_expired(self, now_ms: float) -> bool:
        """Whether the director may send nothing at all."""
        return not self.permits(False, now_ms)
