"""Adaptive limit on concurrent attempts: additive increase, multiplicative decrease (AIMD).

There is one limit for each cache, for the fills at each cache, for each source, and for all fills of a zone.
Limits and counts are numbers of attempts, times are ms of the caller's clock, and shares have no unit. The
module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable

MIN_LIMIT, MAX_LIMIT = 2.0, 64.0  # bounds of a limit; the weight of a server may raise the upper one
MIN_USE_TO_GROW = 0.7  # part of the limit that must be in use before a timely answer raises it
MAX_GROWTH = 0.25  # upper bound for one increase, as a part of the limit
# Learning rate of the moving average of late answers, and the share of them above which there is overload.
LATENESS_LEARNING_RATE, MAX_LATENESS = 0.1, 0.15
# Factor of a decrease. There is one decrease per overload, and further ones at this interval if it lasts.
DECREASE_FACTOR, DECREASE_INTERVAL_MS = 0.8, 500.0


class ConcurrencyLimit:
    """Limits the attempts in flight: late answers lower the limit by a fifth, timely ones raise it slightly.

    `chance` returns a random number from [0, 1), which decides about attempts while the limit is below one.
    `lateness` is the moving average of the share of late answers."""

    __slots__ = (
        "max_lateness",
        "chance",
        "max_limit",
        "min_limit",
        "in_flight",
        "limit",
        "decreased_ms",
        "lateness",
    )

    def __init__(
        self,
        max_lateness: float = MAX_LATENESS,
        chance: Callable[[], float] = lambda: 0.0,
        max_limit: float = MAX_LIMIT,
    ) -> None:
        self.max_lateness, self.chance, self.max_limit = max_lateness, chance, max_limit
        self.min_limit = MIN_LIMIT
        self.in_flight = 0
        self.limit = max_limit
        self.decreased_ms = -1.0
        self.lateness = 0.0

    def has_capacity(self, part: float = 1.0) -> bool:
        """Whether another attempt may be sent within this part of the limit. A limit below one, which occurs
        if many directors share a server, is the probability of admitting a single attempt."""
        capacity = self.limit * part
        return (
            self.in_flight < capacity if capacity >= 1.0 else not self.in_flight and self.chance() < capacity
        )

    def raise_max_limit(self, max_limit: float) -> None:
        """Raises the upper bound and sets the limit to it; does nothing if the bound is not higher."""
        if max_limit > self.max_limit:
            self.max_limit = self.limit = max_limit

    def divide(self, directors: int, chance: Callable[[], float]) -> None:
        """Divides the lower bound among the directors that use the same cache independently of each other, so
        that all of them together may have as many attempts in flight as a single one always may."""
        self.chance = chance
        self.min_limit = MIN_LIMIT / directors
        self.limit = max(self.limit, self.min_limit)

    def release(self) -> None:
        """Ends the count of an attempt that is no longer in flight."""
        self.in_flight = max(self.in_flight - 1, 0)

    def learn(self, now: float, sent_ms: float, is_late: bool) -> None:
        """Adapts the limit to an answer. Late answers to attempts sent before the last decrease belong to the
        same overload and do not lower the limit again, unless the lateness lasts."""
        self.lateness += LATENESS_LEARNING_RATE * (is_late - self.lateness)
        is_new = sent_ms > self.decreased_ms or now - self.decreased_ms > DECREASE_INTERVAL_MS
        if is_late and is_new and self.lateness > self.max_lateness:
            self.limit = max(min(self.limit, self.in_flight + 1.0) * DECREASE_FACTOR, self.min_limit)
            self.decreased_ms = now
        elif not is_late and self.in_flight + 1.0 >= self.limit * MIN_USE_TO_GROW:
            # the limit takes as many answers to reach a high upper bound as a low one
            step = self.max_limit / MAX_LIMIT / self.limit
            self.limit = min(self.limit + min(step, self.limit * MAX_GROWTH), self.max_limit)
