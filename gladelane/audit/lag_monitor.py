"""Decides which directors lag behind the fleet's versions, and how far each is escalated. No I/O, no clock.

Each control server has one monitor. It compares the view that a director reported to the announced versions
(`fleet_versions`). Versions that were announced less than `lag_ms` ago are not required yet. The stages and
their thresholds are defined in `escalation`. Three rules limit an escalation:

- Where most directors lack the same part, its source is assumed to be at fault: these directors are only
  notified. Where most directors are silent, too few are left for a comparison, and none is restricted.
- No more than `share` of the fleet is restricted or worse at once. A silent director counts, since its
  lease has expired. Control servers do not coordinate, so the share is divided among them in advance.
- The last director that serves a zone is not drained or quarantined unless it has the wrong endpoint list,
  on which all that it serves depends. It is restricted at most.

A director is readmitted once it has lacked nothing for `readmit_after_ms`. That time doubles after each
relapse within a minute. A director that caught up within `resync_after_ms` and had not relapsed is readmitted
at once, since its process was probably only suspended for a while.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from .director_state import RELAPSE_WINDOW_MS, DirectorState, DirectorStatus
from .escalation import EscalationPolicy
from .fleet_versions import FleetVersions
from .view import View
from .view_lease import DIGEST_PARTS, Stage, Verdict

MEMBERSHIP_MS = 60_000.0  # a director counts as a member of the fleet for this long after its last report
FORGET_AFTER_MS = 10 * MEMBERSHIP_MS  # a director without a report for this long is removed
MAX_READMIT_FACTOR = 32.0  # the most by which relapses prolong the time to readmission
MAJORITY_REFRESH_INTERVAL_MS = 100.0


@dataclass(frozen=True)
class _Escalation:
    """The stage that a director may reach, and the rule that limits it; empty if no rule does."""

    stage: Stage
    limited_by: str = ""


class LagMonitor:
    """Monitors all directors on behalf of one control server. All times are ms of its clock."""

    def __init__(self, policy: EscalationPolicy, now_ms: float, rank: int = 0, server_count: int = 1) -> None:
        """`server_count` is the number of control servers, `rank` the position of this one among them."""
        self.policy, self.rank, self.server_count = policy, rank, server_count
        self.versions = FleetVersions(now_ms)
        #: no other control server answers, so operators' decisions may be unknown here
        self.is_isolated = False
        #: parts that most directors lack, with the number of these directors
        self.lacked_by_majority: dict[str, int] = {}
        self.is_majority_silent = False  # whether most known directors are silent
        self._directors: dict[str, DirectorState] = {}
        self._majority_refreshed_ms = -MAJORITY_REFRESH_INTERVAL_MS

    def observe(
        self,
        director: str,
        zone: str,
        view: View,
        now_ms: float,
        start: int = 0,
        stage_elsewhere: Stage | None = None,
    ) -> None:
        """Records a view that a director reported here, or to another control server, which gave it
        `stage_elsewhere`. If two processes have one name, only the newer one counts. The only one that still
        reports counts whatever its start number, which may be smaller after a clock adjustment."""
        state = self._directors.setdefault(director, DirectorState())
        if now_ms < state.reported_ms:
            return
        if start < state.start and now_ms - state.reported_ms <= self.policy.silent_ms:
            return
        state.zone, state.view, state.reported_ms, state.start = zone, view, now_ms, start
        state.has_local_verdict = stage_elsewhere is None
        if stage_elsewhere is not None:
            state.stage = stage_elsewhere
        self.versions.announce_list(view.list_source, view.rev, now_ms)

    def remove(self, director: str) -> None:
        """Removes a director that was shut down in order."""
        self._directors.pop(director, None)

    def verdict(self, director: str, now_ms: float) -> Verdict:
        """Decides on the stage of a director that reports to this control server, by its latest view. Raises
        KeyError for an unknown director."""
        state = self._directors[director]
        self._refresh_majority(now_ms)
        state.lagging_ms = self._lagging_ms(state, now_ms)
        if state.lagging_ms:
            self._escalate(state, now_ms)
        elif state.stage > Stage.NOTIFIED:
            self._readmit(state, now_ms)
        else:
            state.recover()
        returning = bool(state.caught_up_ms) and state.stage is not Stage.HEALTHY
        return Verdict(state.stage, state.reason, state.missing, returning)

    def _lagging_ms(self, state: DirectorState, now_ms: float) -> dict[str, float]:
        """The parts that a director has lacked for longer than the tolerated lag, and for how long."""
        lacking = self.versions.missing_since(state.view)
        ages_ms = {part: now_ms - since_ms for part, since_ms in lacking.items()}
        return {part: age_ms for part, age_ms in ages_ms.items() if age_ms > self.policy.lag_ms}

    def _is_silent(self, state: DirectorState, now_ms: float) -> bool:
        return now_ms - state.reported_ms > self.policy.silent_ms

    def _refresh_majority(self, now_ms: float, force: bool = False) -> None:
        """Recomputes which parts a majority of reachable directors lack. Rate-limited to LOOK_INTERVAL_MS
        because it scans the whole fleet."""
        if not force and 0.0 <= now_ms - self._majority_refreshed_ms < MAJORITY_REFRESH_INTERVAL_MS:
            return
        self._majority_refreshed_ms = now_ms
        counts: Counter[str] = Counter()
        reachable = known = 0
        for state in self._directors.values():
            known += now_ms - state.reported_ms <= MEMBERSHIP_MS
            if not self._is_silent(state, now_ms):
                reachable += 1
                counts.update(self._lagging_ms(state, now_ms).keys())
        is_majority = {part: 2 * count > reachable > 1 for part, count in counts.items()}
        self.lacked_by_majority = {part: count for part, count in counts.items() if is_majority[part]}
        self.is_majority_silent = 2 * reachable <= known and known > 1

    def _escalate(self, state: DirectorState, now_ms: float) -> None:
        state.caught_up_ms = 0.0
        longest_ms = max(state.lagging_ms.values())
        parts = sorted(state.lagging_ms)
        escalation = self._limit_escalation(state, self.policy.stage_after(longest_ms), now_ms)
        stage = escalation.stage
        if not escalation.limited_by:
            # the parts lacking now may be newer ones, which is no reason for a lower stage
            stage = max(stage, state.stage)
        if state.stage <= Stage.NOTIFIED < stage:
            self._prolong_readmission(state, now_ms)
        state.stage = stage
        reason = f"lacks {', '.join(parts)} for {longest_ms / 1000.0:.1f} s"
        state.reason = f"{reason}; {escalation.limited_by}" if escalation.limited_by else reason
        state.missing = self.versions.required_for(state.view, parts)

    def _prolong_readmission(self, state: DirectorState, now_ms: float) -> None:
        """Prolongs the time to readmission of a director that was readmitted a short while ago."""
        shortest_ms = self.policy.readmit_after_ms
        state.has_relapsed = now_ms - state.readmitted_ms < RELAPSE_WINDOW_MS
        doubled_ms = 2.0 * state.readmit_after_ms if state.has_relapsed else 0.0
        state.readmit_after_ms = min(max(doubled_ms, shortest_ms), MAX_READMIT_FACTOR * shortest_ms)
        state.escalated_ms = now_ms

    def _limit_escalation(self, state: DirectorState, wanted: Stage, now_ms: float) -> _Escalation:
        """Applies the rules that limit an escalation."""
        if wanted <= Stage.NOTIFIED:
            return _Escalation(wanted)
        if wanted >= Stage.RESTRICTED > state.stage:
            self._refresh_majority(now_ms, force=True)
        own_faults = {part for part in state.lagging_ms if part not in self.lacked_by_majority}
        if not own_faults:
            counts = ", ".join(
                f"{part} by {count}" for part, count in sorted(self.lacked_by_majority.items())
            )
            return _Escalation(Stage.NOTIFIED, f"the source's fault: lacked by most ({counts})")
        if self.is_majority_silent:
            reason = "most of the fleet is silent: too few are heard to judge by"
            return _Escalation(min(wanted, Stage.RESYNCING), reason)
        if self.is_isolated and own_faults <= set(DIGEST_PARTS):
            reason = "this feed hears no other: operators may have said otherwise"
            return _Escalation(min(wanted, Stage.RESYNCING), reason)
        if wanted > Stage.RESYNCING >= state.stage and self._free_restriction_slots(now_ms) <= 0:
            reason = "the share of the fleet that may be held back is used up"
            return _Escalation(Stage.RESYNCING, reason)
        if wanted >= Stage.DRAINED and "list" not in own_faults and not self._others_in_zone(state, now_ms):
            reason = f"the last that serves zone {state.zone}, and right about the list"
            return _Escalation(Stage.RESTRICTED, reason)
        return _Escalation(wanted)

    def _readmit(self, state: DirectorState, now_ms: float) -> None:
        """Readmits a director that lacks nothing, once it has done so for long enough."""
        state.caught_up_ms = state.caught_up_ms or now_ms
        was_suspended = not state.has_relapsed and now_ms - state.escalated_ms < self.policy.resync_after_ms
        healthy_ms = now_ms - state.caught_up_ms
        if was_suspended or healthy_ms >= state.readmit_after_ms:
            state.recover()
            state.readmitted_ms = now_ms
            return
        required_s = state.readmit_after_ms / 1000.0
        state.reason = f"lacks nothing, for {healthy_ms / 1000.0:.1f} of {required_s:.1f} s"
        if state.stage >= Stage.DRAINED and not self._others_in_zone(state, now_ms):
            state.stage = Stage.RESTRICTED  # no other director serves its zone, and its list is up to date

    def _free_restriction_slots(self, now_ms: float) -> int:
        """The number of further directors that this control server may restrict."""
        known = [state for state in self._directors.values() if now_ms - state.reported_ms <= MEMBERSHIP_MS]
        max_restricted = max(int(self.policy.share * len(known)), 1)
        own_quota = max_restricted // self.server_count + (self.rank < max_restricted % self.server_count)
        restricted = [state for state in known if state.stage >= Stage.RESTRICTED]
        silent = sum(state.stage < Stage.RESTRICTED and self._is_silent(state, now_ms) for state in known)
        own_restricted = sum(state.has_local_verdict for state in restricted)
        return min(own_quota - own_restricted, max_restricted - len(restricted) - silent)

    def _others_in_zone(self, state: DirectorState, now_ms: float) -> int:
        """The number of other directors that serve the zone of `state`."""
        return sum(
            other is not state
            and other.zone == state.zone
            and other.stage < Stage.DRAINED
            and not self._is_silent(other, now_ms)
            for other in self._directors.values()
        )

    def lagging_directors(self, now_ms: float) -> list[DirectorStatus]:
        """All directors that lag, are restricted or are silent, highest stage first."""
        names = sorted(self._directors, key=lambda name: (-self._directors[name].stage, name))
        found = [self.status(name, now_ms) for name in names]
        healthy = Stage.HEALTHY.label
        return [
            status
            for status in found
            if status.stage != healthy or status.behind_ms or status.next == "silent"
        ]

    def status(self, director: str, now_ms: float) -> DirectorStatus:
        """The status of a director for answers to commands. Raises KeyError for an unknown director."""
        state = self._directors[director]
        lagging_ms = self._lagging_ms(state, now_ms)
        next_stage = self.policy.describe_next_stage(max(lagging_ms.values())) if lagging_ms else ""
        return DirectorStatus(
            director=director,
            zone=state.zone,
            stage=state.stage.label,
            why=state.reason,
            behind_ms=lagging_ms,
            heard_ms=now_ms - state.reported_ms,
            next="silent" if self._is_silent(state, now_ms) else next_stage,
            lets_back_ms=state.remaining_ms(now_ms),
            relapses_back_ms=state.readmit_after_ms,
        )

    def forget_silent(self, now_ms: float) -> None:
        """Removes directors that have not reported for FORGET_AFTER_MS."""
        for name, state in list(self._directors.items()):
            if now_ms - state.reported_ms > FORGET_AFTER_MS:
                del self._directors[name]

    def restricted_count(self) -> int:
        """The number of directors that are restricted or worse."""
        return sum(state.stage >= Stage.RESTRICTED for state in self._directors.values())
