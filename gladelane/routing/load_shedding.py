"""Decides which part of a server's capacity a class may use, and how requests without capacity end.

The module does no I/O. Times are ms of the caller's clock.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from .context import RoutingContext
from .events import Cancel, Effect, Fail, Refuse, Settings
from .request_state import PendingRequest, RequestTable

#: Minimum part of a server's capacity that a class may use, however low its value per work is.
LOW_VALUE_SHARE = 0.7
#: Mean of the Retry-After that is sent to clients. The values are spread from 0.5 to 1.5 times the mean.
RETRY_AFTER_MS = 400.0
MIN_WORK_MS = 1.0  # lower bound of a class's mean work when its value per work is computed


class LoadShedding:
    """Values classes by priority weight per work, and ends requests for which no server has capacity."""

    def __init__(
        self,
        context: RoutingContext,
        requests: RequestTable,
        mean_work_ms: Mapping[str, float],
        rng: random.Random,
    ) -> None:
        self._context = context
        self._requests = requests
        self._mean_work_ms = mean_work_ms
        self._rng = rng
        self._value_by_class: dict[str, float] = {}
        self._max_value = 0.0

    def learn_value(self, class_name: str) -> None:
        """Recomputes the value of a class after its mean work has changed."""
        worth = self._context.settings.classes[class_name].worth
        self._value_by_class[class_name] = worth / max(self._mean_work_ms[class_name], MIN_WORK_MS)
        self._max_value = max(self._value_by_class.values())

    def retune(self, settings: Settings) -> None:
        """Removes classes that are not in the new settings."""
        values = self._value_by_class
        self._value_by_class = {name: value for name, value in values.items() if name in settings.classes}
        self._max_value = max(self._value_by_class.values(), default=0.0)

    def capacity_share(self, class_name: str) -> float:
        """The part of a server's capacity that a class may use; all of it for the class with the highest
        value."""
        value = self._value_by_class.get(class_name, self._max_value)  # the class may have been removed
        relative = value / self._max_value if self._max_value else 1.0
        return LOW_VALUE_SHARE + (1.0 - LOW_VALUE_SHARE) * relative

    def give_up(self, pending: PendingRequest) -> None:
        """Ends a request with a final answer: a rejection if a retry is harmless, otherwise a failure."""
        is_harmless = self._is_retry_harmless(pending)
        self._cancel_attempts(pending)
        if is_harmless:
            self._context.emit(Refuse(pending.request.id, self._retry_after_ms()))
        else:
            self._context.emit(Fail(pending.request.id))
        self._requests.drop(pending)

    def end_request(self, request_id: int) -> None:
        """Ends a request that was answered or whose client disconnected, and cancels its attempts in
        flight."""
        pending = self._requests.pending.get(request_id)
        if pending is not None:
            self._cancel_attempts(pending)
            self._requests.drop(pending)

    def _is_retry_harmless(self, pending: PendingRequest) -> bool:
        if pending.spec.effect is Effect.SAFE:
            return True
        if pending.spec.effect is Effect.KEYED and pending.spec.group == "all":
            return True
        return not (pending.may_have_run or pending.in_flight)

    def _cancel_attempts(self, pending: PendingRequest) -> None:
        if self._context.settings.cancel:
            for attempt_number in pending.in_flight:
                self._context.emit(Cancel(pending.request.id, attempt_number))

    def _retry_after_ms(self) -> float:
        """A randomized Retry-After; 0 if the settings turn it off."""
        settings = self._context.settings
        wait_ms = RETRY_AFTER_MS * (0.5 + self._rng.random()) if settings.retry_after else 0.0
        return min(wait_ms, settings.max_retry_after_ms)
