"""What the phases ask of the fleet's purges, as protocols: `recovery` imports nothing of `purges`."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Subscription(Protocol):
    """One purge log server that is followed. caught_ms: when all that it named was known, 0: not yet."""

    caught_ms: float


class RenewalBudget(Protocol):
    """The budget of renewals after copies became void."""

    @property
    def binds(self) -> bool: ...

    def idle(self, now_ms: float) -> bool:
        """Whether it turns nobody away, a second long."""


class PurgeSource(Protocol):
    """A director's purges."""

    @property
    def followers(self) -> Sequence[Subscription]: ...

    @property
    def renewal(self) -> RenewalBudget: ...

    @property
    def follows(self) -> bool:
        """Whether some server has told all that it knows, lately."""

    def lines(self) -> list[tuple[str, int]]:
        """For the operators' figures."""
