"""Which part of a server's capacity a class may use, and the final answer where a request gets none. Pure."""

from __future__ import annotations

import random
from collections.abc import Mapping

from .context import RoutingContext
from .events import Cancel, Effect, Fail, Refuse, Settings
from .request_state import PendingRequest, RequestTable

#: Part of a server's capacity open to the class of the lowest value for its work.
LOW_VALUE_SHARE = 0.7
#: Mean of the Retry-After sent to clients that heed it. It is spread over half to one and a half of that.
RETRY_AFTER_MS = 400.0
MIN_WORK_MS = 1.0  # below it, a class's value for its work is not told apart


class LoadShedding:
    """Values classes by priority weight for work, and gives up requests that find no server."""

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
        """Values a class anew after its mean work has changed."""
        worth = self._context.settings.classes[class_name].worth
        self._value_by_class[class_name] = worth / max(self._mean_work_ms[class_name], MIN_WORK_MS)
        self._max_value = max(self._value_by_class.values())

    def retune(self, settings: Settings) -> None:
        """Forgets classes that the settings no longer have."""
        values = self._value_by_class
        self._value_by_class = {name: value for name, value in values.items() if name in settings.classes}
        self._max_value = max(self._value_by_class.values(), default=0.0)

    def capacity_share(self, class_name: str) -> float:
        """The part of a server's capacity open to a class: all of it to the one of the highest value."""
        value = self._value_by_class.get(class_name, self._max_value)  # its class may have been removed
        relative = value / self._max_value if self._max_value else 1.0
        return LOW_VALUE_SHARE + (1.0 - LOW_VALUE_SHARE) * relative

    def give_up(self, pending: PendingRequest) -> None:
        """The final answer at once: a rejection where a retry is harmless, otherwise a failure."""
        is_harmless = self._is_retry_harmless(pending)
        self._cancel_attempts(pending)
        if is_harmless:
            self._context.emit(Refuse(pending.request.id, self._retry_after_ms()))
        else:
            self._context.emit(Fail(pending.request.id))
        self._requests.drop(pending)

    def forget(self, number: int) -> None:
        """Ends a request that was answered, or whose client left; attempts in flight are cancelled."""
        pending = self._requests.pending.get(number)
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
        """0 where clients are told no time."""
        settings = self._context.settings
        wait_ms = RETRY_AFTER_MS * (0.5 + self._rng.random()) if settings.retry_after else 0.0
        return min(wait_ms, settings.max_retry_after_ms)
