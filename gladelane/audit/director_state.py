"""What a control server knows of each director, and what it answers about one. Pure."""

from __future__ import annotations

import msgspec

from .view import View
from .view_lease import MissingParts, Stage

RELAPSE_WINDOW_MS = 60_000.0  # a director that lags again so soon after it was readmitted has relapsed


class DirectorState:
    """A director as the lag monitor sees it. All moments are ms of the control server's clock."""

    __slots__ = (
        "zone",
        "view",
        "heard_ms",
        "start",
        "is_judged_here",
        "lagging_ms",
        "stage",
        "reason",
        "missing",
        "caught_up_ms",
        "readmit_after_ms",
        "readmitted_ms",
        "escalated_ms",
        "has_relapsed",
    )

    def __init__(self) -> None:
        self.zone = ""
        self.view = View()
        self.heard_ms = 0.0  # when the view was reported
        self.start = 0
        self.is_judged_here = False  # this control server gave it the latest verdict
        self.lagging_ms: dict[str, float] = {}  # by part: for how long it has lacked it
        self.stage = Stage.HEALTHY
        self.reason = ""
        self.missing = MissingParts()
        self.caught_up_ms = 0.0  # since when it lacks nothing but is not readmitted; 0: it is not so
        self.readmit_after_ms = 0.0  # for how long it has to lack nothing
        self.readmitted_ms = -RELAPSE_WINDOW_MS
        self.escalated_ms = -RELAPSE_WINDOW_MS  # when it was last moved past `NOTIFIED`
        self.has_relapsed = False

    def recover(self) -> None:
        """Marks the director as healthy."""
        self.stage, self.reason, self.missing = Stage.HEALTHY, "", MissingParts()
        self.caught_up_ms = 0.0

    def remaining_ms(self, now_ms: float) -> float:
        """In how many ms it is readmitted if it goes on to lack nothing; 0 if it does not wait for that."""
        if not self.caught_up_ms:
            return 0.0
        return max(self.readmit_after_ms - (now_ms - self.caught_up_ms), 0.0)


class DirectorStatus(msgspec.Struct):
    """One director in answers to commands. `behind_ms` says by part for how long it has lacked it, `heard_ms`
    how long ago it reported. `lets_back_ms` is the time until it is readmitted, `relapses_back_ms` the time
    that it has to lack nothing for that. All names are those of the JSON fields."""

    director: str
    zone: str
    stage: str
    why: str
    behind_ms: dict[str, float]
    heard_ms: float
    next: str
    lets_back_ms: float
    relapses_back_ms: float
