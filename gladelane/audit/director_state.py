"""The state that a control server keeps of each director, and the answer to queries about one. No I/O, no
clock."""

from __future__ import annotations

import msgspec

from .view import View
from .view_lease import MissingParts, Stage

RELAPSE_WINDOW_MS = 60_000.0  # a director that lags again within this time after readmission has relapsed


class DirectorState:
    """A director as the lag monitor sees it. All times are ms of the control server's clock."""

    __slots__ = (
        "zone",
        "view",
        "reported_ms",
        "start",
        "has_local_verdict",
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
        self.reported_ms = 0.0  # when the view was reported
        self.start = 0
        self.has_local_verdict = False  # the latest verdict came from this control server
        self.lagging_ms: dict[str, float] = {}  # by part of the view: for how long the director has lacked it
        self.stage = Stage.HEALTHY
        self.reason = ""
        self.missing = MissingParts()
        self.caught_up_ms = 0.0  # since when it has lacked nothing but is not readmitted; 0 otherwise
        self.readmit_after_ms = 0.0  # for how long it must lack nothing before it is readmitted
        self.readmitted_ms = -RELAPSE_WINDOW_MS
        self.escalated_ms = -RELAPSE_WINDOW_MS  # when it was last moved past `NOTIFIED`
        self.has_relapsed = False

    def recover(self) -> None:
        """Marks the director as healthy."""
        self.stage, self.reason, self.missing = Stage.HEALTHY, "", MissingParts()
        self.caught_up_ms = 0.0

    def remaining_ms(self, now_ms: float) -> float:
        """The time until readmission if the director continues to lack nothing; 0 if it is not waiting for
        readmission."""
        if not self.caught_up_ms:
            return 0.0
        return max(self.readmit_after_ms - (now_ms - self.caught_up_ms), 0.0)


class DirectorStatus(msgspec.Struct):
    """One director in answers to commands. `behind_ms` holds, by part, for how long the director has lacked
    it; `heard_ms` is the time since its last report. `lets_back_ms` is the time until it is readmitted, and
    `relapses_back_ms` the time for which it must lack nothing before that. The names of the JSON fields are
    fixed."""

    director: str
    zone: str
    stage: str
    why: str
    behind_ms: dict[str, float]
    heard_ms: float
    next: str
    lets_back_ms: float
    relapses_back_ms: float
