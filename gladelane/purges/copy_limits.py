"""How old a copy may be for strict classes, and the budget for refetching older ones. Times are in Unix
ms."""

from __future__ import annotations

import logging
import math
from collections.abc import Sequence
from typing import Protocol

from .active_purges import ActivePurges
from .cutoff import CutOff, Link
from .options import Options
from .receipt import clock_behind_ms
from .refetch_budget import Cause, PartKey, RefetchBudget

log = logging.getLogger(__name__)

MIN_COPY_AGE_MS = 1.0  # 0 would mean no limit


class Source(Protocol):
    """The state of the subscription to one server; see `Subscriber`."""

    position_received_ms: float
    caught_up_ms: float
    server_clock_ms: float

    @property
    def is_live(self) -> bool:
        """Whether the whole backlog of the server was received."""


class CopyLimits:
    """The limits that follow from the link to the servers and from lost purges.

    Attributes: cut_off; refetch_budget; low_watermark_ms, the time before which copies may be older than a
    lost purge, 0.0 if no purge is missing; newest_date_ms, the newest date of all copies seen."""

    def __init__(
        self,
        options: Options,
        active: ActivePurges,
        refetch_budget: RefetchBudget,
        sources: Sequence[Source],
        now_ms: float,
    ) -> None:
        """Starts in the state CUT_OFF. `active` must have been recovered before."""
        self.cut_off = CutOff(options.delay_ms, options.strict, log.warning)
        self.refetch_budget = refetch_budget
        self.refetch_budget.activate(Cause.CUT_OFF, now_ms)
        self.low_watermark_ms = 0.0
        self.newest_date_ms = 0.0
        self._options, self._active, self._sources = options, active, sources
        self._watermark_late_ms = 0.0  # how much later the low watermark is by the local clock

    def update_low_watermark(self, now_ms: float) -> bool:
        """Updates the low watermark, and returns whether it changed.

        A rise invalidates copies for strict classes, a fall makes them valid again."""
        current_ms, previous_ms = self._active.low_watermark_ms(now_ms), self.low_watermark_ms
        if current_ms == previous_ms:
            return False
        self.low_watermark_ms = current_ms
        is_rise = current_ms > previous_ms
        # a loss that a caught-up subscription receives has just happened, so its time is the local one
        is_live = is_rise and any(source.is_live for source in self._sources)
        self._watermark_late_ms = max(now_ms - current_ms, 0.0) if is_live else 0.0
        if is_rise:
            self._log_rise()
            if self._voids_copies():
                self.refetch_budget.activate(Cause.LOST, now_ms)
        else:
            log.warning("low watermark lowered since=%.0f", current_ms)
            if not current_ms:
                self.refetch_budget.deactivate(Cause.LOST)
        return True

    def _voids_copies(self) -> bool:
        return self._options.lost == "void"

    def _log_rise(self) -> None:
        losses = self._active.low_watermark.open_losses()
        log.error(
            "purges may be lost since=%.0f lost=%s: older copies are %s for strict=%s, served for others",
            self.low_watermark_ms,
            ",".join(f"{loss.issuer}:{loss.epoch}" for loss in losses),
            "void" if self._voids_copies() else "served",
            ",".join(sorted(self._options.strict)) or "none",
        )

    def update_link(self, now_ms: float) -> bool:
        """Updates whether the director is cut off and which causes still limit refetches. Returns whether the
        low watermark changed. A server counts only if this director has everything up to its position."""
        previous = self.cut_off.link
        self.cut_off.update(self._caught_up_ms(), now_ms)
        link = self.cut_off.link
        if link is not previous:
            self._activate_budget(link, now_ms)
        if link is not Link.CUT_OFF:
            self.refetch_budget.deactivate(Cause.CUT_OFF)
        has_changed = self.update_low_watermark(now_ms)  # a loss expires after the retention
        if self.refetch_budget.has_no_recent_rejection(now_ms):
            self.refetch_budget.deactivate(Cause.LOST)
            if link is Link.FOLLOWS:
                self.refetch_budget.deactivate(Cause.RECONNECTED)
        return has_changed

    def is_update_due(self, now_ms: float) -> bool:
        """Returns whether the director is cut off and `update_link` has not noticed it yet."""
        return self.cut_off.link is not Link.CUT_OFF and not self.cut_off.is_fresh(
            self._caught_up_ms(), now_ms
        )

    def _caught_up_ms(self) -> float:
        return max((source.caught_up_ms for source in self._sources), default=0.0)

    def _activate_budget(self, link: Link, now_ms: float) -> None:
        if link is Link.CUT_OFF:
            self.refetch_budget.activate(Cause.CUT_OFF, now_ms)
        elif link is Link.RETURNING:
            self.refetch_budget.activate(Cause.RECONNECTED, now_ms)

    def max_copy_age_ms(self, cls: str, now_ms: float) -> float:
        """Returns the age above which no copy may be used for a class, which is never more than the
        retention."""
        return min(self._active.max_copy_age_ms(), self.max_age_at_answer_ms(cls, now_ms))

    def max_age_at_answer_ms(self, cls: str, now_ms: float) -> float:
        """Returns the age above which no copy may be passed on for a class, `inf` if there is no limit.

        The retention limits what is sent, but not what is passed on: purges stay active for longer than it,
        by more than any request takes."""
        limit_ms = math.inf
        if cls not in self._options.strict:
            return limit_ms
        limit_ms = self.cut_off.max_copy_age_ms(cls) or limit_ms
        if self.low_watermark_ms and self._voids_copies():
            since_watermark_ms = now_ms - self.low_watermark_ms - self._watermark_behind_ms()
            limit_ms = min(limit_ms, max(since_watermark_ms, MIN_COPY_AGE_MS))
        return limit_ms

    def _watermark_behind_ms(self) -> float:
        """Returns how much later the low watermark may be by the local clock than by its issuer's."""
        behind_ms = (
            clock_behind_ms(source.server_clock_ms, source.position_received_ms) for source in self._sources
        )
        return max(self._watermark_late_ms, *behind_ms, 0.0)

    def admit(self, cls: str, part: PartKey, weight: float, now_ms: float) -> float:
        """Returns 0.0 if a request is admitted, or the time in ms after which to retry it. `weight`: the
        value of the class relative to the most valuable one, from 0 to 1."""
        if cls not in self._options.strict:
            return 0.0
        return self.refetch_budget.admit(part, weight, self.max_copy_age_ms(cls, now_ms), now_ms)

    def record_answer(self, cls: str, part: PartKey, dated_ms: float, in_time: bool) -> None:
        """Records that an attempt ended. `dated_ms`: the date of the copy, 0.0 if there was none."""
        self.newest_date_ms = max(self.newest_date_ms, dated_ms)
        if cls in self._options.strict:
            self.refetch_budget.record_answer(part, dated_ms, in_time)
