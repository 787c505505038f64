"""The escalation policy: which stage a lagging director reaches after which time. No I/O, no clock."""

from __future__ import annotations

import msgspec

from .view_lease import Stage


class EscalationPolicy(msgspec.Struct, frozen=True):
    """For how long a director must lag before each stage begins, in ms.

    A lag up to `lag_ms` is tolerated. A director that lacks nothing for `readmit_after_ms` is readmitted. At
    most `share` of the fleet is restricted or worse at once. A director without a report for `silent_ms`
    counts as quarantined, since its lease has expired. The names of the JSON fields are fixed.
    """

    lag_ms: float = 500.0
    resync_after_ms: float = msgspec.field(default=1_000.0, name="again_ms")
    restrict_after_ms: float = msgspec.field(default=2_000.0, name="kept_ms")
    drain_after_ms: float = msgspec.field(default=4_000.0, name="emptied_ms")
    quarantine_after_ms: float = msgspec.field(default=8_000.0, name="out_ms")
    readmit_after_ms: float = msgspec.field(default=1_000.0, name="back_ms")
    share: float = 0.25
    silent_ms: float = 3_000.0

    def stage_after(self, lagging_ms: float) -> Stage:
        """The stage that a director reaches after lagging for so long."""
        reached = Stage.HEALTHY
        for stage, threshold_ms in self._thresholds():
            if lagging_ms > threshold_ms:
                reached = stage
        return reached

    def describe_next_stage(self, lagging_ms: float) -> str:
        """The next stage and when it begins, as text for answers to commands; empty after the last stage."""
        for stage, threshold_ms in self._thresholds()[1:]:
            if lagging_ms <= threshold_ms:
                return f"{stage.label} in {(threshold_ms - lagging_ms) / 1000.0:.1f} s"
        return ""

    def _thresholds(self) -> tuple[tuple[Stage, float], ...]:
        """The stages and the lag after which each begins, in ascending order."""
        return (
            (Stage.NOTIFIED, self.lag_ms),
            (Stage.RESYNCING, self.resync_after_ms),
            (Stage.RESTRICTED, self.restrict_after_ms),
            (Stage.DRAINED, self.drain_after_ms),
            (Stage.QUARANTINED, self.quarantine_after_ms),
        )


def scaled_policy(quarantine_after_ms: float, share: float, lease_ms: float) -> EscalationPolicy:
    """The policy whose thresholds keep the default proportions, with quarantine after the given time."""
    default = EscalationPolicy()
    factor = quarantine_after_ms / default.quarantine_after_ms
    return EscalationPolicy(
        lag_ms=min(default.lag_ms, default.lag_ms * factor),
        resync_after_ms=default.resync_after_ms * factor,
        restrict_after_ms=default.restrict_after_ms * factor,
        drain_after_ms=default.drain_after_ms * factor,
        quarantine_after_ms=quarantine_after_ms,
        readmit_after_ms=default.readmit_after_ms,
        share=share,
        silent_ms=lease_ms,
    )
