"""How much work a request is, as the time in ms that sending its answer takes. Pure."""

from __future__ import annotations

from collections.abc import Mapping

from .cache_admission import ObjectStats
from .context import RoutingContext
from .events import ClassSpec, Request
from .request_state import PendingRequest

WORK_STEP = 0.02  # learning rate of a class's mean work
START_SHARE = 0.5  # of its latency objective: a class's work before any was seen


class WorkEstimates:
    """Mean work of each class. `slow_start.ColdBudgets` learns means of its own."""

    def __init__(self, context: RoutingContext, objects: Mapping[int, ObjectStats]) -> None:
        self._context = context
        self._objects = objects
        #: By class, ms.
        self.mean_ms: dict[str, float] = {}

    def estimate(self, request: Request, spec: ClassSpec) -> float:
        """The work of a request, ms; where its size is known, its class's mean learns of it."""
        flow_kb_per_s = self._context.settings.flow_kb_per_s
        if request.size_kb and flow_kb_per_s:
            # no more than can be sent in time: a made-up size must not spoil the mean
            work_ms = min(request.size_kb / flow_kb_per_s * 1000.0, spec.deadline_ms)
            mean_ms = self.mean_ms.get(spec.name, work_ms)
            self.mean_ms[spec.name] = mean_ms + WORK_STEP * (work_ms - mean_ms)
            return work_ms
        entry = self._objects.get(request.object)
        mean_ms = self.mean_ms.setdefault(spec.name, spec.aim_ms * START_SHARE)
        return max(mean_ms, entry.work if entry else 0.0)

    def learn_elapsed(self, pending: PendingRequest) -> None:
        """Without a known size, an object's work is the shortest time that any part of it took."""
        if pending.request.size_kb:
            return
        entry = self._objects.get(pending.request.object)
        if entry is None:
            return
        elapsed_ms = self._context.now_ms - pending.arrived_ms
        entry.work = min(entry.work or elapsed_ms, elapsed_ms)
        mean_ms = self.mean_ms[pending.spec.name]
        self.mean_ms[pending.spec.name] = mean_ms + WORK_STEP * (entry.work - mean_ms)
