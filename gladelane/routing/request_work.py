"""Estimates the work of a request: the time in ms that sending its answer takes. The module does no I/O."""

from __future__ import annotations

from collections.abc import Mapping

from .cache_admission import ObjectStats
from .context import RoutingContext
from .events import ClassSpec, Request
from .request_state import PendingRequest

WORK_STEP = 0.02  # learning rate of the mean work of a class
INITIAL_WORK_SHARE = 0.5  # initial work of a class, relative to its latency objective


class WorkEstimates:
    """Learns the mean work of each class. `slow_start.ColdBudgets` learns separate means."""

    def __init__(self, context: RoutingContext, objects: Mapping[int, ObjectStats]) -> None:
        self._context = context
        self._objects = objects
        #: Mean work by class, ms.
        self.mean_ms: dict[str, float] = {}

    def estimate(self, request: Request, spec: ClassSpec) -> float:
        """The work of a request in ms. If its size is known, the mean of its class is updated with it."""
        flow_kb_per_s = self._context.settings.flow_kb_per_s
        if request.size_kb and flow_kb_per_s:
            # limited to what can be sent before the deadline, so that a wrong size cannot distort the mean
            work_ms = min(request.size_kb / flow_kb_per_s * 1000.0, spec.deadline_ms)
            mean_ms = self.mean_ms.get(spec.name, work_ms)
            self.mean_ms[spec.name] = mean_ms + WORK_STEP * (work_ms - mean_ms)
            return work_ms
        entry = self._objects.get(request.object)
        mean_ms = self.mean_ms.setdefault(spec.name, spec.aim_ms * INITIAL_WORK_SHARE)
        return max(mean_ms, entry.work if entry else 0.0)

    def learn_elapsed(self, pending: PendingRequest) -> None:
        """Learns the work of an object of unknown size: the shortest time that any part of it took."""
        if pending.request.size_kb:
            return
        entry = self._objects.get(pending.request.object)
        if entry is None:
            return
        elapsed_ms = self._context.now_ms - pending.arrived_ms
        entry.work = min(entry.work or elapsed_ms, elapsed_ms)
        mean_ms = self.mean_ms[pending.spec.name]
        self.mean_ms[pending.spec.name] = mean_ms + WORK_STEP * (entry.work - mean_ms)
